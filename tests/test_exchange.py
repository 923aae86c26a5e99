"""Test that a sub-request returns what it took if it is not sent."""

import random
import types

import pytest

from sesameward.metrics import Metrics
from sesameward.serving.exchange import SubRequestExchange
from sesameward.serving.pools import Pools
from sesameward.serving.target_connection import TargetConnection
from sesameward.serving.target_limits import Permit
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState

TARGET = Target('i-1', 's', '127.0.0.1', 80, 'z', 2, TargetState.READY)


class Limits:
    """Hold back the permits, and record those that are given back."""

    def __init__(self):
        self.on_permit = None
        self.given_back = []

    def acquire(self, target_id, priority, on_permit):
        self.on_permit = on_permit

    def give_back(self, permit, now):
        self.given_back.append(permit)


@pytest.fixture
def limits():
    return Limits()


@pytest.fixture
def pools():
    """Return pools with one target that has one idle connection."""
    pools = Pools(Metrics('t'), random.Random(1), lambda: 0.0, lambda _: None)
    pools.declare(TARGET)
    pool = pools._pools['i-1']
    conn = TargetConnection(lambda conn: pools._connection_freed(pool, conn))
    pool.open.add(conn)
    conn.release()
    return pools


# Guards against an idle connection that nobody uses any more, but which counts
# against the node's share until the target closes it.
def test_sub_request_that_ends_before_its_permit_takes_no_connection(
    limits, pools
):
    is_wanted = [True]
    results = []
    exchange = SubRequestExchange(
        types.SimpleNamespace(
            limits=limits,
            pools=pools,
            policy=types.SimpleNamespace(limits=limits),
            clock=lambda: 0.0,
        ),
        types.SimpleNamespace(
            priority=0, share_group='', deadline_at=1.0, runs_once=False
        ),
        'i-1',
        lambda: is_wanted[0],
        results.append,
    )
    assert pools.has_idle('i-1')
    exchange.start()
    is_wanted[0] = False
    permit = Permit('i-1')
    limits.on_permit(permit)
    assert pools.has_idle('i-1')
    assert limits.given_back == [permit]
    assert results == []
