"""Test what a helper node passes on about the targets that it sends to."""

import asyncio
import random

import msgspec
import pytest

from sesameward.messages import StoredObject
from sesameward.metrics import Metrics
from sesameward.platform.wire import PlatformWire
from sesameward.serving.attempts import AttemptPolicy
from sesameward.serving.attempts import SubRequestFailure
from sesameward.serving.budget_window import BudgetWindow
from sesameward.serving.crashes import Crashes
from sesameward.serving.delegate_server import _Batch
from sesameward.serving.delegate_server import MIN_UNACKNOWLEDGED_ITEMS
from sesameward.serving.delegation import BatchItem
from sesameward.serving.delegation import BatchResults
from sesameward.serving.delegation import DelegatedBatch
from sesameward.serving.delegation import ItemResult
from sesameward.serving.delegation import LoadFigures
from sesameward.serving.delegation import TargetNotice
from sesameward.serving.evacuations import Evacuations
from sesameward.serving.exchange import ExchangeDeps
from sesameward.serving.limit_exchange import LimitExchange
from sesameward.serving.replica_choice import ReplicaSelector
from sesameward.serving.store_copy import Changed
from sesameward.serving.target_connection import Reply
from sesameward.serving.target_limits import TargetLimits
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.serving.targets import TargetTable


class Connection:
    """Keep what is sent until the test answers it."""

    echoes_request_ids = False
    is_abandoned = False
    sent = None

    def send(self, data, on_end, is_own_reply, *args):
        self.sent = data
        self._on_end = on_end
        self._is_own_reply = is_own_reply

    def abandon(self):
        self.is_abandoned = True

    def answer(self, reply):
        assert self._is_own_reply(reply)
        self._on_end(reply)


class Pools:
    """Give out one connection."""

    def __init__(self):
        self.conn = Connection()

    def acquire(self, target_id, on_connection, max_idle_s, rank):
        on_connection(self.conn)


def lose_links(links, targets):
    """Make a node believe that it reaches none of its targets."""
    assert links.record_failure(1.0, 1.0)
    while not links.is_lost:
        for _ in links.targets_to_check(targets, 1.0):
            links.check_failed(False)


@pytest.fixture
def run_batch():
    """Return a function that plays a scenario on a batch of one item.

    The scenario gets the batch, the connection to the target and the outbox.
    Targets in relayed have relays. Of more items than one, only the first has
    a target that the node knows.
    """

    def run(
        scenario,
        cut_off=False,
        may_send=True,
        relayed=(),
        items=1,
        evacuated=False,
        may_filter=True,
        is_overdue=False,
        **fields,
    ):
        async def main():
            clock = asyncio.get_running_loop().time
            metrics = Metrics('t')
            targets = TargetTable()
            selector = ReplicaSelector('z', random.Random(1))
            target = Target('t0', 's0', 'h', 1, 'z', 2, TargetState.READY)
            targets.put(target)
            selector.declare(target)
            limits = TargetLimits('me', 'me:1', clock())
            budget = BudgetWindow(0.0, 0.0, 10.0, clock())
            evacuations = Evacuations()
            if evacuated:
                stored = StoredObject('evacuations', 'z', 1, b'{}')
                evacuations.update(Changed([stored]), clock())
            pools = Pools()
            tools = ExchangeDeps(
                PlatformWire(),
                AttemptPolicy(targets, selector, budget, limits, evacuations),
                pools,
                Crashes('me', metrics, random.Random(1)),
                LimitExchange('me', limits, tuple, print, metrics, clock),
                metrics,
                clock,
            )
            tools.relays.update((), [(one, 'z') for one in relayed])
            if is_overdue:
                selector.sent('t0', 'route', clock() - 0.1)
            if cut_off:
                lose_links(tools.links, targets)
            message = DelegatedBatch(
                1,
                'r1',
                'route',
                b'GET',
                b'GET h/',
                b'',
                b'',
                500,
                10,
                tuple(BatchItem(n, f't{n}') for n in range(items)),
                may_filter,
                **fields,
            )
            outbox = asyncio.Queue()
            batch = _Batch(tools, message, outbox, may_send)
            batch.start()
            scenario(batch, pools.conn, outbox)

        asyncio.run(main())

    return run


def reply_with_load(load):
    """Return a target's reply with the given figures of its load."""
    headers = [
        (b'Sesameward-Server-Stamp', b's'),
        (b'Sesameward-Server-Load', load),
    ]
    return Reply(200, b'OK', headers, b'b' * 100)


# Guards against each node learning the load of a target only by itself.
def test_figures_of_a_target_travel_with_its_result(run_batch):
    def scenario(batch, conn, outbox):
        conn.answer(reply_with_load(b'3,1,2,250'))
        (figures,) = outbox.get_nowait().figures
        assert figures == LoadFigures('t0', 3, 1, 250, 0)

    run_batch(scenario)


def test_three_figures_are_not_passed_on(run_batch):
    def scenario(batch, conn, outbox):
        conn.answer(reply_with_load(b'3,1,2'))
        assert outbox.get_nowait().figures == ()

    run_batch(scenario)


class PreviousBatchResults(msgspec.Struct, frozen=True, array_like=True):
    """BatchResults of the release before figures were passed on."""

    batch_no: int
    item_results: tuple[ItemResult, ...]
    records: bytes = b''
    notices: tuple[TargetNotice, ...] = ()


# Nodes of two releases serve side by side during an update.
def test_results_with_figures_are_readable_by_the_previous_release():
    notices = (TargetNotice('t0', True, 1.5),)
    results = (ItemResult(0, None, b's'),)
    figures = (LoadFigures('t0', 3, 1, 250, 40),)
    new = BatchResults(1, results, b'r', notices, figures)
    old = PreviousBatchResults(1, results, b'r', notices)
    encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
    assert decode(encode(new), type=PreviousBatchResults) == old
    read = decode(encode(old), type=BatchResults)
    assert read == BatchResults(1, results, b'r', notices)
    assert decode(encode(new), type=BatchResults) == new


REST = Reply(
    503,
    b'',
    [(b'Sesameward-Not-Executed', b'1'), (b'Retry-After', b'1.5')],
    b'',
)


# A node went on sending to a target that wanted a rest: the target had said so
# in a reply to a helper node, after the query had ended.
def test_notice_in_a_reply_to_a_cancelled_batch_is_passed_on(run_batch):
    def scenario(batch, conn, outbox):
        batch.cancel()
        conn.answer(REST)
        message = outbox.get_nowait()
        assert message.item_results == ()
        assert message.notices == (TargetNotice('t0', False, 1.5),)

    run_batch(scenario)


def test_result_of_a_batch_carries_its_notice(run_batch):
    def scenario(batch, conn, outbox):
        conn.answer(REST)
        (item,) = outbox.get_nowait().item_results
        assert item.rest_s == 1.5

    run_batch(scenario)


def test_node_without_connections_says_so_for_each_item(run_batch):
    def scenario(batch, conn, outbox):
        (item,) = outbox.get_nowait().item_results
        assert item.end is SubRequestFailure.NOT_SENT
        assert item.no_links

    run_batch(scenario, cut_off=True)


# Guards against sub-requests that a node begins just before it ends.
def test_node_that_ends_sends_the_asking_node_elsewhere(run_batch):
    def scenario(batch, conn, outbox):
        (item,) = outbox.get_nowait().item_results
        assert item.end is SubRequestFailure.NOT_SENT
        assert item.no_links
        assert not hasattr(conn, '_on_end')

    run_batch(scenario, may_send=False)


# A node that does not know of an evacuation, perhaps of an earlier release,
# asks a helper to send to the zone.
def test_helper_sends_nothing_to_an_evacuated_zone(run_batch):
    def scenario(batch, conn, outbox):
        (item,) = outbox.get_nowait().item_results
        assert item.end is SubRequestFailure.NOT_SENT
        assert not item.no_links
        assert not hasattr(conn, '_on_end')

    run_batch(scenario, evacuated=True)


OK = Reply(200, b'OK', [(b'Sesameward-Server-Stamp', b's')], b'b' * 100)


def test_reply_to_a_single_request_is_returned_whole(run_batch):
    def scenario(batch, conn, outbox):
        assert outbox.get_nowait().item_results == ()
        conn.answer(OK)
        (item,) = outbox.get_nowait().item_results
        assert item.end is None
        assert (item.reply.status, item.reply.body) == (200, OK.body)
        assert item.reply.headers == OK.headers

    run_batch(scenario, is_single=True)


# The node that asked has ended, so nobody else sends the request again.
@pytest.mark.parametrize('runs_once', [True, False])
def test_request_that_runs_once_goes_on_without_the_node(
    run_batch, runs_once, monkeypatch
):
    def scenario(batch, conn, outbox):
        monkeypatch.setattr(
            asyncio.BaseEventLoop,
            'call_later',
            lambda loop, delay_s, act, *args: act(*args),
        )
        batch.cancel()
        assert conn.is_abandoned is not runs_once

    run_batch(scenario, is_single=True, runs_once=runs_once)


# Guards against a relay that is taken for frozen because the few targets of a
# batch pause.
def test_small_batch_of_a_relay_is_acknowledged(run_batch):
    def scenario(batch, conn, outbox):
        ack = outbox.get_nowait()
        assert (ack.item_results, ack.notices) == ((), ())
        conn.answer(OK)
        (item,) = outbox.get_nowait().item_results
        assert item.end is None

    run_batch(scenario, relayed=('t0',))


# Other batches are not acknowledged: a helper that sends nothing is frozen.
@pytest.mark.parametrize(
    ('relayed', 'items'), [((), 1), (('t0',), MIN_UNACKNOWLEDGED_ITEMS)]
)
def test_other_batches_are_not_acknowledged(run_batch, relayed, items):
    def scenario(batch, conn, outbox):
        assert outbox.empty()
        conn.answer(OK)
        assert len(outbox.get_nowait().item_results) == items

    run_batch(scenario, relayed=relayed, items=items)


# Guards against a target that is slow for seconds, of which each of many nodes
# would learn only from its own few requests. The relay knows it from the
# requests of all nodes; a hedge or retry is sent in any case.
@pytest.mark.parametrize(
    ('relayed', 'may_filter', 'is_sent'),
    [(('t0',), True, False), (('t0',), False, True), ((), True, True)],
)
def test_relay_skips_a_target_with_an_overdue_request(
    run_batch, relayed, may_filter, is_sent
):
    def scenario(batch, conn, outbox):
        assert bool(conn.sent) is is_sent

    run_batch(
        scenario, relayed=relayed, may_filter=may_filter, is_overdue=True
    )
