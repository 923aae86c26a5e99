"""Check that newer routes and targets replace older ones, never vice versa."""

import random
import types

import pytest

from sesameward.exceptions import DeclarationError
from sesameward.messages import StoredObject
from sesameward.metrics import Metrics
from sesameward.serving.budget_window import BudgetWindow
from sesameward.serving.kept_routes import KeptRoutes
from sesameward.serving.pools import Pools
from sesameward.serving.replica_choice import ReplicaSelector
from sesameward.serving.restored_targets import REGISTER_AGAIN_S
from sesameward.serving.restored_targets import RestoredTargets
from sesameward.serving.routes import CallerLimits
from sesameward.serving.routes import OneService
from sesameward.serving.routes import Repeat
from sesameward.serving.routes import Route
from sesameward.serving.routes import RouteTable
from sesameward.serving.routing_state import ROUTES_DOUBTFUL_S
from sesameward.serving.routing_state import RoutingState
from sesameward.serving.splits import Splits
from sesameward.serving.store_copy import Changed
from sesameward.serving.store_copy import Restored
from sesameward.serving.targets import DepartureSource
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.serving.targets import TargetTable

REGISTRATION_TTL_S = 4.0


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
    published = []
    routing_state = RoutingState(
        Decoder(),
        TargetTable(),
        ReplicaSelector('z', rng),
        Pools(metrics, rng, lambda: now[0], lambda _: None),
        Splits(),
        BudgetWindow(0.2, 50.0, 10.0, 0.0),
        KeptRoutes('config', 'n1', published.append),
        RestoredTargets(REGISTRATION_TTL_S),
        metrics,
        lambda: now[0],
    )
    routing_state.now = now
    routing_state.published = published
    routing_state.targets_mirror = types.SimpleNamespace(
        age_s=lambda now: routing_state.read_age_s
    )
    routing_state.read_age_s = 0.0
    routing_state.left = []
    routing_state.on_target_left = lambda target_id, started_ms: (
        routing_state.left.append((target_id, started_ms))
        or routing_state.mark_leaving(
            target_id, DepartureSource.REGISTRATION, started_ms
        )
    )
    return routing_state


def config(value, revision=1):
    return Changed([StoredObject('config', 'main', revision, value)])


def registration(value, revision=1, deleted=False):
    return Changed(
        [StoredObject('servers', 'i-1', revision, value, deleted=deleted)]
    )


def candidates(routing_state):
    return routing_state._targets.candidates('s')


def test_newer_versions_replace_older_ones(routing_state):
    routing_state.update_routes(config(b'3'))
    routing_state.update_routes(config(b'7'))
    assert routing_state.route_table.version == 7


def test_older_versions_never_come_back(routing_state):
    routing_state.update_routes(config(b'7'))
    routing_state.update_routes(config(b'3'))
    assert routing_state.route_table.version == 7


def test_unreadable_configuration_leaves_the_last_one(routing_state):
    routing_state.update_routes(config(b'7'))
    routing_state.update_routes(config(b'bad'))
    assert routing_state.route_table.version == 7


def test_target_comes_and_drains(routing_state):
    routing_state.update_targets(registration(b'5 ready'))
    assert candidates(routing_state) == ('i-1',)
    routing_state.update_targets(registration(b'5 draining'))
    assert candidates(routing_state) == ()


def test_earlier_lifetime_does_not_replace_a_later_one(routing_state):
    routing_state.update_targets(registration(b'5 draining'))
    routing_state.update_targets(registration(b'9 ready'))
    routing_state.update_targets(registration(b'5 draining'))
    assert candidates(routing_state) == ('i-1',)


@pytest.mark.parametrize(
    'change',
    [registration(b'', deleted=True), registration(b'bad')],
    ids=['gone', 'bad'],
)
def test_entry_that_is_gone_or_unreadable_names_no_target(
    routing_state, change
):
    routing_state.update_targets(registration(b'5 ready'))
    routing_state.update_targets(change)
    routing_state.now[0] += 3.0
    routing_state.drop_expired()
    assert candidates(routing_state) == ()


def test_others_learn_which_targets_are_dropped(routing_state):
    dropped = []
    routing_state.on_target_dropped = dropped.append
    routing_state.update_targets(registration(b'5 ready'))
    routing_state.update_targets(registration(b'', deleted=True))
    routing_state.now[0] += 3.0
    routing_state.drop_expired()
    assert dropped == ['i-1']


def test_leaving_mark_outlasts_the_registration_of_a_target(routing_state):
    routing_state.update_targets(registration(b'5 ready'))
    assert routing_state.mark_leaving('i-1', DepartureSource.ANSWER, 5)
    assert candidates(routing_state) == ()
    routing_state.update_targets(registration(b'5 ready', revision=2))
    assert candidates(routing_state) == ()
    routing_state.update_targets(registration(b'', deleted=True))
    routing_state.now[0] += 10.0
    routing_state.drop_expired()
    routing_state.update_targets(registration(b'5 ready', revision=3))
    assert candidates(routing_state) == ()
    routing_state.update_targets(registration(b'9 ready', revision=4))
    assert candidates(routing_state) == ('i-1',)


# Guards against requests to a target that asked for none with Retry-After: its
# registration was gone for longer than the target is kept, and came back.
@pytest.mark.parametrize(
    ('returned', 'left_s'), [(b'5 ready', 57.0), (b'9 ready', 0.0)]
)
def test_rest_that_a_target_asked_for_outlasts_its_registration(
    routing_state, returned, left_s
):
    selector = routing_state._selector
    routing_state.update_targets(registration(b'5 ready'))
    selector.back_off('i-1', 60.0, routing_state.now[0])
    routing_state.update_targets(registration(b'', deleted=True))
    routing_state.now[0] += 3.0
    routing_state.drop_expired()
    assert routing_state._targets.get('i-1') is None
    routing_state.update_targets(registration(returned, revision=2))
    now = routing_state.now[0]
    assert selector.backoff_left_s('i-1', now) == pytest.approx(left_s)
    assert selector.resting('i-1', now) is (left_s > 0.0)


# The store was restored from an older copy.


def restored(*values, kind='servers'):
    """Return the objects of a restored store, by their names."""
    return Restored(
        [StoredObject(kind, name, 1, value) for name, value in values]
    )


def pass_time(routing_state, seconds):
    routing_state.now[0] += seconds
    routing_state.drop_expired()


def test_newest_version_stays_in_force_against_a_restored_store(routing_state):
    routing_state.update_routes(config(b'7', 9))
    routing_state.update_routes(restored(('main', b'3'), kind='config'))
    assert routing_state.route_table.version == 7
    (kept,) = routing_state.kept_routes.objects()
    assert kept.value == b'7'
    routing_state.update_routes(config(b'5', 2))
    assert routing_state.route_table.version == 7
    routing_state.update_routes(config(b'7', 3))
    assert routing_state.kept_routes.objects() == ()
    routing_state.update_routes(config(b'8', 4))
    assert routing_state.route_table.version == 8


def test_version_stays_in_force_where_the_copy_has_none(routing_state):
    routing_state.update_routes(config(b'7', 9))
    routing_state.update_routes(restored(kind='config'))
    assert routing_state.route_table.version == 7
    assert routing_state.kept_routes.is_store_behind


# Guards against a node that refuses, for good, a path whose route another
# node had in force before the restore.
def test_unknown_path_is_doubtful_after_a_restore(routing_state):
    routing_state.update_routes(config(b'7', 9))
    assert not routing_state.may_lack_routes(routing_state.now[0])
    routing_state.update_routes(restored(('main', b'7'), kind='config'))
    assert routing_state.may_lack_routes(routing_state.now[0])
    routing_state.now[0] += ROUTES_DOUBTFUL_S
    assert not routing_state.may_lack_routes(routing_state.now[0])
    routing_state.update_routes(restored(('main', b'3'), kind='config'))
    routing_state.now[0] += ROUTES_DOUBTFUL_S
    assert routing_state.may_lack_routes(routing_state.now[0])


def test_kept_version_is_announced_and_taken_by_others(routing_state):
    routing_state.update_routes(config(b'7', 9))
    routing_state.update_routes(restored(('main', b'3'), kind='config'))
    (rumor,) = routing_state.published
    behind = KeptRoutes('config', 'n2', lambda _: None)
    behind.record_in_force(StoredObject('config', 'main', 1, b'5'), 5)
    assert behind.find_source(rumor) == 'n1'
    behind.record_in_force(StoredObject('config', 'main', 2, b'7'), 7)
    assert behind.find_source(rumor) is None
    routing_state.apply_kept_routes([StoredObject('config', 'main', 1, b'9')])
    assert routing_state.route_table.version == 9
    routing_state.apply_kept_routes([StoredObject('config', 'main', 1, b'8')])
    assert routing_state.route_table.version == 9


# Guards against requests to a target whose departure the copy does not have.
@pytest.mark.parametrize('shown', [b'5 ready', b'0 ready', b'3 ready'])
def test_draining_target_stays_out_of_use_after_a_restore(
    routing_state, shown
):
    routing_state.update_targets(registration(b'5 draining'))
    routing_state.update_targets(restored(('i-1', shown)))
    assert candidates(routing_state) == ()
    pass_time(routing_state, 60.0)
    assert candidates(routing_state) == ()


def test_departure_that_the_copy_lacks_is_told_to_others(routing_state):
    routing_state.update_targets(registration(b'5 draining'))
    routing_state.update_targets(registration(b'', deleted=True))
    pass_time(routing_state, 10.0)
    routing_state.update_targets(restored(('i-1', b'5 ready')))
    assert candidates(routing_state) == ()
    assert routing_state.left == [('i-1', 5)]
    routing_state.update_targets(restored(('i-1', b'9 ready')))
    assert candidates(routing_state) == ('i-1',)


def test_target_that_was_gone_waits_for_its_next_registration(routing_state):
    routing_state.update_targets(registration(b'5 ready'))
    routing_state.update_targets(registration(b'', deleted=True))
    pass_time(routing_state, 10.0)
    routing_state.update_targets(restored(('i-1', b'5 ready')))
    assert candidates(routing_state) == ()
    routing_state.update_targets(registration(b'5 ready', revision=2))
    assert candidates(routing_state) == ('i-1',)


# A target that was gone may be back, and its registration need not change.
# The store removes the registration of a silent one, so one that stays is of
# a target that runs.
def test_target_that_was_gone_is_used_where_its_registration_stays(
    routing_state,
):
    routing_state.update_targets(registration(b'5 ready'))
    routing_state.update_targets(registration(b'', deleted=True))
    pass_time(routing_state, 10.0)
    routing_state.update_targets(restored(('i-1', b'5 ready')))
    pass_time(routing_state, REGISTER_AGAIN_S + REGISTRATION_TTL_S - 0.1)
    assert candidates(routing_state) == ()
    pass_time(routing_state, 0.2)
    assert candidates(routing_state) == ('i-1',)


# Guards against a target that is used for ever without a registration: the
# store removed that which it had shown while the target was held back.
@pytest.mark.parametrize(
    'change',
    [registration(b'', 2, deleted=True), registration(b'bad', 2)],
    ids=['removed', 'unreadable'],
)
def test_target_held_back_is_not_used_once_its_registration_is_gone(
    routing_state, change
):
    routing_state.update_targets(registration(b'5 ready'))
    routing_state.update_targets(registration(b'', deleted=True))
    pass_time(routing_state, 10.0)
    routing_state.update_targets(restored(('i-1', b'5 ready')))
    routing_state.update_targets(change)
    pass_time(routing_state, 60.0)
    assert candidates(routing_state) == ()


def test_missing_target_is_used_until_it_could_have_registered_again(
    routing_state,
):
    routing_state.update_targets(registration(b'5 ready'))
    routing_state.update_targets(restored(('i-2', b'5 ready')))
    assert candidates(routing_state) == ('i-1', 'i-2')
    pass_time(routing_state, REGISTER_AGAIN_S - 0.1)
    assert candidates(routing_state) == ('i-1', 'i-2')
    pass_time(routing_state, 0.2)
    assert candidates(routing_state) == ('i-2',)


def test_missing_target_that_registers_again_is_used_on(routing_state):
    routing_state.update_targets(registration(b'5 ready'))
    routing_state.update_targets(restored())
    routing_state.update_targets(registration(b'5 ready'))
    pass_time(routing_state, 10.0)
    assert candidates(routing_state) == ('i-1',)


# Guards against a target that is dropped because this node could not read the
# store in the time in which the target registered again.
def test_missing_target_is_used_while_the_store_can_not_be_read(routing_state):
    routing_state.update_targets(registration(b'5 ready'))
    routing_state.update_targets(restored())
    routing_state.read_age_s = 10.0
    pass_time(routing_state, 10.0)
    assert candidates(routing_state) == ('i-1',)


# Guards against a target that stays for ever, since the second copy is
# compared with the first one, which lacks it as well.
def test_target_that_two_copies_lack_is_dropped_in_the_end(routing_state):
    routing_state.update_targets(registration(b'5 ready'))
    routing_state.update_targets(restored(('i-2', b'5 ready')))
    pass_time(routing_state, REGISTER_AGAIN_S / 2)
    routing_state.update_targets(restored(('i-2', b'5 ready')))
    pass_time(routing_state, REGISTER_AGAIN_S * 0.9)
    assert candidates(routing_state) == ('i-1', 'i-2')
    pass_time(routing_state, REGISTER_AGAIN_S)
    assert candidates(routing_state) == ('i-2',)


# Start times of targets come from their wall clocks, which may go back.
def test_target_whose_clock_went_back_is_used_once_its_former_process_is_gone(
    routing_state,
):
    routing_state.update_targets(registration(b'9 ready'))
    routing_state.update_targets(registration(b'5 ready', revision=2))
    assert routing_state._targets.get('i-1').started_ms == 9
    routing_state.update_targets(registration(b'', deleted=True))
    pass_time(routing_state, 3.0)
    routing_state.update_targets(registration(b'5 ready', revision=4))
    assert candidates(routing_state) == ('i-1',)
    assert routing_state._targets.get('i-1').started_ms == 5


# The operator may write a version again, and a restored store shows it with
# another revision.
def test_version_that_is_given_out_again_replaces_itself(routing_state):
    routing_state.update_routes(config(b'7', 9))
    routing_state.update_routes(config(b'7', 2))
    assert routing_state.route_table.version == 7
