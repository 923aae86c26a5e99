"""Test that a cold target gets no more than it can bear, from all nodes.

Load pattern: a target of a service without other usable targets is cold, and
far more is asked for than its rate. It ends if it gets more than the settings
allow in any second.
"""

import pytest

from sesameward.serving.cold_targets import ColdTargets
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from tests.limit_fleet import LimitFleet
from tests.limit_fleet import RUMOR_S
from tests.limit_fleet import TARGET
from tests.limit_fleet import WARMUP_OVERSHOOT
from tests.limit_fleet import WARMUP_SLACK

# Time for which the targets of these tests are cold.
COLD_S = 30.0
# Demand as a multiple of the rate, and at least this many requests a second.
DEMAND_FACTOR = 4.0
MIN_DEMAND_PER_S = 20.0
# Part of the rate that is used at least, once all nodes know it.
LEAST_USED = 0.5
KNOWN_AFTER_S = 4.0
NOW = 100.0


def make_target(warmup_s=0.0, seq=1, started_ms=7, target_id='t'):
    return Target(
        target_id,
        's',
        'h',
        1,
        'z',
        2,
        TargetState.READY,
        warmup_s,
        started_ms,
        seq,
    )


class Changes(list):
    """Record the changes that a ColdTargets reports."""

    def add(self, target_id, limit, before):
        self.append((target_id, limit, before))


@pytest.fixture
def changes():
    return Changes()


@pytest.fixture
def cold(changes):
    cold = ColdTargets(WARMUP_OVERSHOOT, WARMUP_SLACK)
    cold.on_change = changes.add
    cold.set_rates({'s': 10.0}, NOW)
    return cold


def test_target_is_cold_for_the_whole_time_from_when_it_was_read(cold):
    cold.on_registered(make_target(2.0), NOW)
    cold.settle(NOW + 1.9)
    assert 't' in cold
    cold.settle(NOW + 2.0)
    assert 't' not in cold


# A copy of the registration comes again from another node or a restored
# store. Each time, the target became cold anew, and its service slow.
@pytest.mark.parametrize('seq', [1, 2])
def test_same_or_older_registration_does_not_make_it_cold_again(cold, seq):
    cold.on_registered(make_target(2.0, seq=2), NOW)
    cold.settle(NOW + 3.0)
    cold.on_registered(make_target(2.0, seq), NOW + 4.0)
    assert 't' not in cold


def test_target_may_become_cold_again(cold, changes):
    cold.on_registered(make_target(2.0), NOW)
    cold.on_registered(make_target(0.0, seq=2), NOW + 1.0)
    assert 't' not in cold
    cold.on_registered(make_target(2.0, seq=3), NOW + 9.0)
    assert cold.left_s('t', NOW + 10.0) == 1.0
    assert [limit is None for _, limit, _ in changes] == [False, True, False]


def test_later_process_is_cold_whatever_its_sequence_number(cold):
    cold.on_registered(make_target(0.0, seq=9), NOW)
    cold.on_registered(make_target(2.0, seq=1, started_ms=8), NOW)
    assert 't' in cold


def test_answer_makes_a_target_cold_and_its_registration_not_warm(cold):
    cold.on_answer(make_target(), 3.0, NOW)
    cold.on_registered(make_target(0.0), NOW + 1.0)
    assert cold.left_s('t', NOW + 1.0) == 2.0


def test_registration_may_be_read_before_the_configuration(changes):
    cold = ColdTargets(WARMUP_OVERSHOOT, WARMUP_SLACK)
    cold.on_change = changes.add
    cold.on_registered(make_target(2.0), NOW)
    assert 't' not in cold
    cold.set_rates({'s': 10.0}, NOW + 1.0)
    assert 't' in cold
    cold.set_rates({}, NOW + 1.5)
    assert 't' not in cold


def test_no_target_is_cold_without_the_setting(changes):
    cold = ColdTargets()
    cold.on_change = changes.add
    cold.set_rates({'s': 10.0}, NOW)
    cold.on_registered(make_target(2.0), NOW)
    cold.on_answer(make_target(), 2.0, NOW)
    assert not cold
    assert changes == []


def test_forgotten_target_has_no_limit(cold, changes):
    cold.on_registered(make_target(2.0), NOW)
    cold.forget('t')
    assert 't' not in cold
    assert changes[-1][1] is None


# Many nodes, without a network.


def start_fleet(nodes, rate_per_s, seed=1):
    fleet = LimitFleet(nodes, None, seed)
    fleet.make_cold(rate_per_s, COLD_S)
    fleet.run(RUMOR_S[1])
    total = max(DEMAND_FACTOR * rate_per_s, MIN_DEMAND_PER_S)
    fleet.start_demand(dict.fromkeys(fleet.names, total / nodes))
    return fleet


def most_in_one_second(times):
    times = sorted(times)
    most = 0
    first = 0
    for index, at in enumerate(times):
        while at - times[first] >= 1.0:
            first += 1
        most = max(most, index - first + 1)
    return most


def check_bound(fleet, rate_per_s):
    allowed = rate_per_s * WARMUP_OVERSHOOT + WARMUP_SLACK
    most = most_in_one_second(fleet.arrivals)
    assert most <= allowed, f'{most} in one second, {allowed} allowed'


# Each node took the whole rate for itself, or waited for a reply to name it.
@pytest.mark.parametrize('rate_per_s', [0.0, 1.0, 10.0, 60.0])
@pytest.mark.parametrize('nodes', [1, 5, 26, 300])
def test_cold_target_gets_no_more_than_its_bound(nodes, rate_per_s):
    fleet = start_fleet(nodes, rate_per_s)
    fleet.run(15.0)
    check_bound(fleet, rate_per_s)
    used = fleet.used_per_s(fleet.now - 15.0 + KNOWN_AFTER_S, fleet.now)
    assert used >= LEAST_USED * rate_per_s
    if rate_per_s:
        assert fleet.arrivals


# The coordinator ends a limit that replies no longer name. Those of a cold
# target never name it.
def test_replies_do_not_end_the_limit_of_a_cold_target():
    fleet = start_fleet(5, 10.0)
    fleet.run(25.0)
    check_bound(fleet, 10.0)
    assert all(node.limits.limit(TARGET) for node in fleet.nodes.values())


def test_lower_one_of_two_limits_takes_effect():
    fleet = start_fleet(26, 10.0)
    fleet.limit = 3.0
    fleet.run(10.0)
    fleet.arrivals.clear()
    fleet.run(10.0)
    assert fleet.used_per_s(fleet.now - 10.0, fleet.now) <= 3.0 * 1.2


def test_warm_target_has_no_limit():
    fleet = start_fleet(26, 10.0)
    fleet.run(COLD_S + 2.0)
    denied = fleet.denied
    fleet.run(5.0)
    assert fleet.denied == denied


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('nodes', [5, 26, 300])
def test_bound_holds_while_nodes_are_cut_off(nodes, seed):
    fleet = start_fleet(nodes, 10.0, seed)
    fleet.run(3.0)
    fleet.set_cut(fleet.rng.sample(fleet.names, nodes // 2))
    fleet.run(8.0)
    fleet.set_cut(())
    fleet.run(8.0)
    check_bound(fleet, 10.0)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('nodes', [5, 26, 300])
def test_bound_holds_while_nodes_restart(nodes, seed):
    fleet = start_fleet(nodes, 10.0, seed)
    fleet.run(3.0)
    for _ in range(4):
        name = fleet.rng.choice(fleet.names)
        fleet.kill(name)
        fleet.run(1.0)
        fleet.restart(name)
        fleet.run(3.0)
    check_bound(fleet, 10.0)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('nodes', [5, 26, 300])
def test_bound_holds_while_nodes_are_paused(nodes, seed):
    fleet = start_fleet(nodes, 10.0, seed)
    fleet.run(3.0)
    for _ in range(4):
        name = fleet.rng.choice(fleet.names)
        fleet.freeze(name)
        fleet.run(1.5)
        fleet.thaw(name)
        fleet.run(2.5)
    check_bound(fleet, 10.0)


# Unused permits add up while nothing is asked for, and are then used at once.
@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('rate_per_s', [1.0, 10.0, 60.0, 300.0])
@pytest.mark.parametrize('nodes', [1, 5, 26, 300])
def test_bound_holds_for_requests_in_bursts(nodes, rate_per_s, seed):
    fleet = start_fleet(nodes, rate_per_s, seed)
    for _ in range(10):
        for factor in (1.0, 20.0, 0.0):
            total = max(factor * rate_per_s, factor * MIN_DEMAND_PER_S)
            fleet.start_demand(dict.fromkeys(fleet.names, total / nodes))
            fleet.run(0.6)
    check_bound(fleet, rate_per_s)


# No node reaches another one, and each saves up one permit from its own share.
# With the rate as their limit, 24 nodes sent 24 requests at once.
@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('nodes', [18, 20, 22, 24, 26])
def test_bound_holds_for_nodes_that_are_each_alone(nodes, seed):
    fleet = start_fleet(nodes, 10.0, seed)
    fleet.isolate_all()
    fleet.run(5.0)
    for _ in range(3):
        for total in (0.0, 100.0 * nodes):
            fleet.start_demand(dict.fromkeys(fleet.names, total / nodes))
            fleet.run(4.0)
    check_bound(fleet, 10.0)
