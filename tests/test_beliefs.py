"""Check that newer routes and targets replace older ones, never vice versa."""

import random

import pytest

from sesameward.exceptions import DeclarationError
from sesameward.messages import StoredObject
from sesameward.metrics import Metrics
from sesameward.serving.beliefs import Beliefs
from sesameward.serving.budget_window import BudgetWindow
from sesameward.serving.choice import Choice
from sesameward.serving.pools import Pools
from sesameward.serving.routes import CallerLimits
from sesameward.serving.routes import OneService
from sesameward.serving.routes import Repeat
from sesameward.serving.routes import Route
from sesameward.serving.routes import RouteTable
from sesameward.serving.splits import Splits
from sesameward.serving.targets import Source
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.serving.targets import TargetTable


class Decoder:
    """Decode a version, or a target's start time and state, from text."""

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
def beliefs():
    rng = random.Random(1)
    metrics = Metrics('t')
    now = [100.0]
    beliefs = Beliefs(
        Decoder(),
        TargetTable(),
        Choice('z', rng),
        Pools(metrics, rng, lambda: now[0], lambda _: None),
        Splits(),
        BudgetWindow(0.2, 50.0, 10.0, 0.0),
        metrics,
        lambda: now[0],
    )
    beliefs.now = now
    return beliefs


def config(value, revision=1):
    return [StoredObject('config', 'main', revision, value)]


def registration(value, revision=1, deleted=False):
    return [StoredObject('servers', 'i-1', revision, value, deleted=deleted)]


def candidates(beliefs):
    return beliefs._targets.candidates('s')


def test_newer_versions_replace_older_ones(beliefs):
    beliefs.apply_routes(config(b'3'))
    beliefs.apply_routes(config(b'7'))
    assert beliefs.table.version == 7


def test_older_versions_never_come_back(beliefs):
    beliefs.apply_routes(config(b'7'))
    beliefs.apply_routes(config(b'3'))
    assert beliefs.table.version == 7


def test_unreadable_configuration_leaves_the_last_one(beliefs):
    beliefs.apply_routes(config(b'7'))
    beliefs.apply_routes(config(b'bad'))
    assert beliefs.table.version == 7


def test_target_comes_and_drains(beliefs):
    beliefs.apply_targets(registration(b'5 ready'))
    assert candidates(beliefs) == ('i-1',)
    beliefs.apply_targets(registration(b'5 draining'))
    assert candidates(beliefs) == ()


def test_earlier_lifetime_does_not_replace_a_later_one(beliefs):
    beliefs.apply_targets(registration(b'5 draining'))
    beliefs.apply_targets(registration(b'9 ready'))
    beliefs.apply_targets(registration(b'5 draining'))
    assert candidates(beliefs) == ('i-1',)


@pytest.mark.parametrize(
    'change',
    [registration(b'', deleted=True), registration(b'bad')],
    ids=['gone', 'bad'],
)
def test_entry_that_is_gone_or_unreadable_names_no_target(beliefs, change):
    beliefs.apply_targets(registration(b'5 ready'))
    beliefs.apply_targets(change)
    beliefs.now[0] += 3.0
    beliefs.drop_expired()
    assert candidates(beliefs) == ()


def test_others_learn_which_targets_are_dropped(beliefs):
    dropped = []
    beliefs.on_target_dropped = dropped.append
    beliefs.apply_targets(registration(b'5 ready'))
    beliefs.apply_targets(registration(b'', deleted=True))
    beliefs.now[0] += 3.0
    beliefs.drop_expired()
    assert dropped == ['i-1']


def test_leaving_mark_outlasts_the_registration_of_a_target(beliefs):
    beliefs.apply_targets(registration(b'5 ready'))
    assert beliefs.mark_leaving('i-1', Source.ANSWER, 5)
    assert candidates(beliefs) == ()
    beliefs.apply_targets(registration(b'5 ready', revision=2))
    assert candidates(beliefs) == ()
    beliefs.apply_targets(registration(b'', deleted=True))
    beliefs.now[0] += 10.0
    beliefs.drop_expired()
    beliefs.apply_targets(registration(b'5 ready', revision=3))
    assert candidates(beliefs) == ()
    beliefs.apply_targets(registration(b'9 ready', revision=4))
    assert candidates(beliefs) == ('i-1',)
