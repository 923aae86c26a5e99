"""Check that newer routes and targets replace older ones, never vice versa."""

import random

import pytest

from sesameward.exceptions import DeclarationError
from sesameward.messages import StoredObject
from sesameward.metrics import Metrics
from sesameward.serving.budget_window import BudgetWindow
from sesameward.serving.pools import Pools
from sesameward.serving.replica_choice import ReplicaSelector
from sesameward.serving.routes import CallerLimits
from sesameward.serving.routes import OneService
from sesameward.serving.routes import Repeat
from sesameward.serving.routes import Route
from sesameward.serving.routes import RouteTable
from sesameward.serving.routing_state import RoutingState
from sesameward.serving.splits import Splits
from sesameward.serving.targets import DepartureSource
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.serving.targets import TargetTable


class Decoder:
    """Decode a route table's version, or a target's start and state."""

    def routes(self, stored):
        if stored.value == b'bad':
            raise DeclarationError('value', 'is bad', 'write it again')
        route = Route(
            'r', 'h', '/', Repeat.SAFE, 1.0, 0.1, 1, 1, OneService('s')
        )
        return RouteTable(int(stored.value), [route], [], CallerLimits())

    def target(self, stored):
        if stored.value == b'bad':
            raise DeclarationError('value', 'is bad', 'write it again')
        started, _, state = stored.value.partition(b' ')
        return Target(
            stored.name,
            's',
            'h',
            1,
            'z',
            2,
            TargetState(state.decode()),
            started_ms=int(started),
        )


@pytest.fixture
def routing_state():
    rng = random.Random(1)
    metrics = Metrics('t')
    now = [100.0]
    routing_state = RoutingState(
        Decoder(),
        TargetTable(),
        ReplicaSelector('z', rng),
        Pools(metrics, rng, lambda: now[0], lambda _: None),
        Splits(),
        BudgetWindow(0.2, 50.0, 10.0, 0.0),
        metrics,
        lambda: now[0],
    )
    routing_state.now = now
    return routing_state


def config(value, revision=1):
    return [StoredObject('config', 'main', revision, value)]


def registration(value, revision=1, deleted=False):
    return [StoredObject('servers', 'i-1', revision, value, deleted=deleted)]


def candidates(routing_state):
    return routing_state._targets.candidates('s')


def test_newer_versions_replace_older_ones(routing_state):
    routing_state.apply_routes(config(b'3'))
    routing_state.apply_routes(config(b'7'))
    assert routing_state.route_table.version == 7


def test_older_versions_never_come_back(routing_state):
    routing_state.apply_routes(config(b'7'))
    routing_state.apply_routes(config(b'3'))
    assert routing_state.route_table.version == 7


def test_unreadable_configuration_leaves_the_last_one(routing_state):
    routing_state.apply_routes(config(b'7'))
    routing_state.apply_routes(config(b'bad'))
    assert routing_state.route_table.version == 7


def test_target_comes_and_drains(routing_state):
    routing_state.apply_targets(registration(b'5 ready'))
    assert candidates(routing_state) == ('i-1',)
    routing_state.apply_targets(registration(b'5 draining'))
    assert candidates(routing_state) == ()


def test_earlier_lifetime_does_not_replace_a_later_one(routing_state):
    routing_state.apply_targets(registration(b'5 draining'))
    routing_state.apply_targets(registration(b'9 ready'))
    routing_state.apply_targets(registration(b'5 draining'))
    assert candidates(routing_state) == ('i-1',)


@pytest.mark.parametrize(
    'change',
    [registration(b'', deleted=True), registration(b'bad')],
    ids=['gone', 'bad'],
)
def test_entry_that_is_gone_or_unreadable_names_no_target(
    routing_state, change
):
    routing_state.apply_targets(registration(b'5 ready'))
    routing_state.apply_targets(change)
    routing_state.now[0] += 3.0
    routing_state.drop_expired()
    assert candidates(routing_state) == ()


def test_others_learn_which_targets_are_dropped(routing_state):
    dropped = []
    routing_state.on_target_dropped = dropped.append
    routing_state.apply_targets(registration(b'5 ready'))
    routing_state.apply_targets(registration(b'', deleted=True))
    routing_state.now[0] += 3.0
    routing_state.drop_expired()
    assert dropped == ['i-1']


def test_leaving_mark_outlasts_the_registration_of_a_target(routing_state):
    routing_state.apply_targets(registration(b'5 ready'))
    assert routing_state.mark_leaving('i-1', DepartureSource.ANSWER, 5)
    assert candidates(routing_state) == ()
    routing_state.apply_targets(registration(b'5 ready', revision=2))
    assert candidates(routing_state) == ()
    routing_state.apply_targets(registration(b'', deleted=True))
    routing_state.now[0] += 10.0
    routing_state.drop_expired()
    routing_state.apply_targets(registration(b'5 ready', revision=3))
    assert candidates(routing_state) == ()
    routing_state.apply_targets(registration(b'9 ready', revision=4))
    assert candidates(routing_state) == ('i-1',)
