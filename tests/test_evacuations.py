"""Test that evacuated zones get nothing, and cold targets only if needed."""

import random

import pytest

from sesameward.messages import StoredObject
from sesameward.serving.attempts import AttemptPolicy
from sesameward.serving.attempts import SendReason
from sesameward.serving.attempts import SubRequestFailure
from sesameward.serving.budget_window import BudgetWindow
from sesameward.serving.cold_targets import ColdTargets
from sesameward.serving.evacuations import BACK_DELAY_S
from sesameward.serving.evacuations import Evacuations
from sesameward.serving.evacuations import MAX_BACK_DELAY_S
from sesameward.serving.evacuations import WRITE_AGAIN_S
from sesameward.serving.evacuations import ZoneChange
from sesameward.serving.relay import Finish
from sesameward.serving.relay import Relay
from sesameward.serving.relay import Verdict
from sesameward.serving.replica_choice import ReplicaSelector
from sesameward.serving.routes import OneService
from sesameward.serving.routes import Repeat
from sesameward.serving.routes import Route
from sesameward.serving.store_copy import Changed
from sesameward.serving.store_copy import Restored
from sesameward.serving.target_limits import TargetLimits
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.serving.targets import TargetTable

NOW = 100.0
KIND = 'evacuations'
RATE_PER_S = 10.0
# Revision of the store when an evacuation is removed.
REMOVED_REVISION = 6


def put(zone, value=b'{}'):
    return StoredObject(KIND, zone, 5, value)


def removed(zone):
    return StoredObject(KIND, zone, REMOVED_REVISION, b'', deleted=True)


@pytest.fixture
def evacuations():
    return Evacuations()


@pytest.fixture
def changes(evacuations):
    changes = []
    evacuations.on_change = lambda *change: changes.append(change)
    return changes


@pytest.fixture
def evacuated(evacuations):
    evacuations.update(Changed([put('z1')]), NOW)
    return evacuations


def settle_all(evacuations, now):
    evacuations.settle(now, REMOVED_REVISION, now)


def test_evacuation_holds_until_it_is_removed(evacuations, changes):
    evacuations.update(Changed([put('z1')]), NOW)
    assert evacuations.contains('z1')
    assert not evacuations.contains('z2')
    settle_all(evacuations, NOW + 1_000.0)
    assert evacuations.contains('z1')
    evacuations.update(Changed([removed('z1')]), NOW + 1_000.0)
    settle_all(evacuations, NOW + 1_000.0 + BACK_DELAY_S)
    assert not evacuations.contains('z1')
    assert changes == [
        ('z1', ZoneChange.EVACUATED),
        ('z1', ZoneChange.BACK),
    ]


# An operator's typing error in the body must not send requests to the zone.
@pytest.mark.parametrize('value', [b'', b'{', b'\xff' * 9, b'[]'])
def test_only_the_name_of_an_evacuation_counts(evacuations, value):
    evacuations.update(Changed([put('z1', value)]), NOW)
    assert evacuations.contains('z1')


# The zone's targets became cold just before its evacuation ended, and this
# node has not read that yet.
def test_zone_is_back_only_after_the_registrations_were_read(evacuated):
    evacuated.update(Changed([removed('z1')]), NOW)
    evacuated.settle(NOW, REMOVED_REVISION, NOW + 0.9 * BACK_DELAY_S)
    assert evacuated.contains('z1')
    evacuated.settle(NOW, REMOVED_REVISION - 1, NOW + 1.1 * BACK_DELAY_S)
    assert evacuated.contains('z1')
    evacuated.settle(NOW, REMOVED_REVISION, NOW + 1.1 * BACK_DELAY_S)
    assert not evacuated.contains('z1')


def test_zone_is_back_although_the_store_has_failed(evacuated):
    evacuated.update(Changed([removed('z1')]), NOW)
    evacuated.settle(NOW, REMOVED_REVISION - 1, NOW + MAX_BACK_DELAY_S)
    assert not evacuated.contains('z1')


def test_evacuation_is_kept_after_a_restore_until_it_is_written(evacuated):
    evacuated.update(Restored([]), NOW)
    settle_all(evacuated, NOW + WRITE_AGAIN_S - 0.1)
    assert evacuated.contains('z1')
    evacuated.update(Changed([put('z1')]), NOW + WRITE_AGAIN_S)
    settle_all(evacuated, NOW + 100.0)
    assert evacuated.contains('z1')


def test_evacuation_that_is_not_written_again_ends(evacuated):
    evacuated.update(Restored([]), NOW)
    # The store is away: it may have the evacuation again.
    evacuated.settle(NOW + 1.0, REMOVED_REVISION, NOW + 60.0)
    assert evacuated.contains('z1')
    settle_all(evacuated, NOW + 60.0)
    settle_all(evacuated, NOW + 60.0 + BACK_DELAY_S)
    assert not evacuated.contains('z1')


def test_second_restore_begins_the_time_again(evacuated):
    evacuated.update(Restored([]), NOW)
    evacuated.update(Restored([]), NOW + 4.0)
    settle_all(evacuated, NOW + 4.0 + WRITE_AGAIN_S - 0.1)
    assert evacuated.contains('z1')


# A node that starts after a restore has never seen the evacuation. If nodes
# passed on what they have from each other, it would never end.
@pytest.mark.parametrize('is_noticed', [True, False])
def test_kept_evacuation_reaches_a_new_node_but_goes_no_further(
    evacuated, is_noticed
):
    # The node that is asked may not have noticed the restore yet.
    if is_noticed:
        evacuated.update(Restored([]), NOW)
    new = Evacuations()
    new.apply_kept(evacuated.kept(), NOW + 4.0)
    assert new.contains('z1')
    assert new.kept() == ()
    settle_all(new, NOW + 4.0 + WRITE_AGAIN_S)
    settle_all(new, NOW + 4.0 + WRITE_AGAIN_S + BACK_DELAY_S)
    assert not new.contains('z1')


def test_all_zones_are_held_until_the_evacuations_are_known():
    evacuations = Evacuations(is_known=False)
    assert evacuations.are_any
    assert evacuations.contains('z9')
    evacuations.is_known = True
    assert not evacuations.are_any


# The choice of targets.


def make_policy(zones):
    """Return a policy for targets of one service, named by their zones."""
    targets = TargetTable()
    selector = ReplicaSelector('z1', random.Random(1))
    for zone in zones:
        target = Target(
            zone.replace('z', 't'), 's', 'h', 1, zone, 2, TargetState.READY
        )
        targets.put(target)
        selector.declare(target)
    limits = TargetLimits('me', 'me:1', 0.0)
    limits.set_nodes(1, NOW)
    limits.next_call((), NOW)
    cold = ColdTargets(1.5, 5.0)
    cold.set_rates({'s': RATE_PER_S}, NOW)
    cold.on_change = lambda target_id, limit, before: limits.set_cold_limit(
        target_id, limit
    )
    budget = BudgetWindow(0.2, 500.0, 10.0, 0.0)
    return AttemptPolicy(
        targets, selector, budget, limits, Evacuations(), cold
    )


@pytest.fixture
def policy():
    return make_policy(('z1', 'z2', 'z3'))


def evacuate(policy, *zones):
    policy.evacuations.update(Changed([put(zone) for zone in zones]), NOW)


def make_cold(policy, *target_ids):
    for target_id in target_ids:
        policy.cold.on_answer(policy.targets.get(target_id), 9.0, NOW)


def picked(policy, asked=(), reason=SendReason.FIRST):
    return {policy.pick('s', asked, reason, NOW) for _ in range(30)}


@pytest.mark.parametrize('reason', SendReason)
def test_no_attempt_goes_to_an_evacuated_zone(policy, reason):
    evacuate(policy, 'z1', 'z2')
    assert picked(policy, (), reason) == {'t3'}
    assert picked(policy, ('t3',), reason) <= {None, 't3'}


# The zone was evacuated while a sub-request waited for its connection, or
# another node, which does not know it yet, asks this node to send.
def test_sub_request_is_not_sent_to_a_zone_evacuated_meanwhile(policy):
    assert policy.may_send('t1', NOW)
    evacuate(policy, 'z1')
    assert not policy.may_send('t1', NOW)
    assert policy.may_send('t2', NOW)


def test_no_target_is_available_if_all_zones_are_evacuated(policy):
    evacuate(policy, 'z1', 'z2', 'z3')
    assert picked(policy) == {None}
    assert policy.available_in_s('s', 1, NOW) is None


def make_relay(policy, repeat):
    route = Route('r', 'h', '/p/', repeat, 1.0, 0.3, 1, 2, OneService('s'))
    return Relay(route, 's', policy, NOW + 1.0)


@pytest.mark.parametrize('repeat', Repeat)
def test_request_without_a_usable_zone_is_refused_at_once(policy, repeat):
    evacuate(policy, 'z1', 'z2', 'z3')
    assert make_relay(policy, repeat).start(NOW) == [Finish(Verdict.REFUSED)]


# A refusal says that the request has not run. One that was sent before the
# evacuation may have run.
@pytest.mark.parametrize(
    ('end', 'verdict'),
    [
        (SubRequestFailure.NOT_SENT, Verdict.REFUSED),
        (SubRequestFailure.NOT_RUN, Verdict.REFUSED),
        (SubRequestFailure.BROKEN, Verdict.FAILED),
    ],
)
def test_request_that_may_have_run_is_not_refused(policy, end, verdict):
    relay = make_relay(policy, Repeat.ONCE)
    (send,) = relay.start(NOW)
    evacuate(policy, 'z1', 'z2', 'z3')
    assert relay.failed(send.attempt, end, NOW) == [Finish(verdict)]


@pytest.mark.parametrize('reason', SendReason)
def test_cold_target_is_not_chosen_beside_a_warm_one(policy, reason):
    make_cold(policy, 't1', 't2')
    assert picked(policy, (), reason) == {'t3'}
    assert 't1' not in picked(policy, ('t3',), reason)


def test_cold_target_is_chosen_if_the_others_are_evacuated(policy):
    make_cold(policy, 't1')
    evacuate(policy, 'z2', 'z3')
    assert picked(policy) == {'t1'}


def test_cold_target_is_chosen_if_the_others_rest(policy):
    make_cold(policy, 't1')
    for target_id in ('t2', 't3'):
        policy.selector.back_off(target_id, 5.0, NOW)
    assert picked(policy) == {'t1'}
    assert policy.available_in_s('s', 1, NOW) == 0.0


def test_cold_target_without_a_permit_is_not_chosen(policy):
    make_cold(policy, 't1', 't2', 't3')
    for target_id in ('t1', 't2', 't3'):
        policy.limits.record_none_left(target_id, 1, 0.2, NOW)
    assert policy.pick('s', (), SendReason.FIRST, NOW, 0.0, 1) is None
    assert policy.available_in_s('s', 1, NOW) == pytest.approx(0.2)


# A permit of the time before the target became cold is void.
def test_sub_request_that_waits_needs_a_permit_once_its_target_is_cold(policy):
    permit = policy.limits.acquire('t1', 1, NOW)
    make_cold(policy, 't1')
    assert not policy.limits.is_valid(permit, NOW)
