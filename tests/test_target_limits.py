"""Test that many nodes together keep to the limit of a target, and use it.

Load pattern: far more requests than a target accepts, from one node or from
hundreds, while nodes are restarted, frozen or cut from each other.
"""

import pytest

from tests.limit_fleet import LimitFleet
from tests import promises

KNOWN_AFTER_S = promises.LIMIT_KNOWN_AFTER_S
LEAST_USED = 0.7
# Demand as a multiple of the limit, and at least this many requests a second.
DEMAND_FACTOR = 4.0
MIN_DEMAND_PER_S = 20.0
# Length of a pause of the coordinator, and time from one to the next.
PAUSE_S = 0.8
PAUSE_INTERVAL_S = 5.0


def even_demand(fleet):
    limit = fleet.limit or 0.0
    total = max(DEMAND_FACTOR * limit, MIN_DEMAND_PER_S)
    return {name: total / len(fleet.names) for name in fleet.names}


def uneven_demand(fleet):
    """Return demand of which the first node sends four fifths."""
    total = sum(even_demand(fleet).values())
    rest = total / 5 / len(fleet.names)
    rates = dict.fromkeys(fleet.names, rest)
    rates[fleet.names[0]] += total * 4 / 5
    return rates


def check_kept(fleet, limit):
    promises.check_limit(fleet.arrivals, limit, fleet.named_at)


def check_used(fleet, limit, since=None):
    since = fleet.named_at + KNOWN_AFTER_S if since is None else since
    used = fleet.used_per_s(since, fleet.now)
    assert used >= LEAST_USED * limit, (used, limit)


# Each node took the whole limit for itself, or divided it by a number of
# nodes, so that a target got a multiple of its limit or a fraction of it.
@pytest.mark.parametrize('demand', [even_demand, uneven_demand])
@pytest.mark.parametrize('limit', [0.5, 2.0, 8.5, 60.0, 500.0])
@pytest.mark.parametrize('nodes', [1, 5, 24, 100, 300])
def test_limit_is_kept_and_used(nodes, limit, demand):
    fleet = LimitFleet(nodes, limit)
    fleet.start_demand(demand(fleet))
    # A small limit allows few requests, so it takes longer to see it used.
    fleet.run(10.0 + min(30.0, 20.0 / limit))
    check_kept(fleet, limit)
    check_used(fleet, limit)


# With a limit of 0, or near 0, nothing may be sent but a request now and then.
@pytest.mark.parametrize('limit', [0.0, 0.1])
def test_target_that_takes_next_to_nothing_is_tried_now_and_then(limit):
    fleet = LimitFleet(24, limit)
    fleet.start_demand(even_demand(fleet))
    fleet.run(40.0)
    check_kept(fleet, limit)
    assert fleet.used_per_s(fleet.now - 30.0, fleet.now) > 0.1
    fleet.limit = 10.0
    fleet.run(20.0)
    check_used(fleet, 10.0, since=fleet.now - 10.0)


@pytest.mark.parametrize('nodes', [1, 5, 24, 100])
def test_changed_limit_is_followed(nodes):
    fleet = LimitFleet(nodes, 20.0)
    fleet.start_demand(dict.fromkeys(fleet.names, 100.0 / nodes))
    fleet.run(8.0)
    for limit in (5.0, 40.0, 2.0):
        fleet.limit = limit
        fleet.arrivals.clear()
        fleet.named_at = fleet.now
        fleet.run(20.0)
        check_kept(fleet, limit)
        check_used(fleet, limit)


@pytest.mark.parametrize('nodes', [1, 5, 24, 100])
def test_target_that_names_no_limit_any_more_is_free(nodes):
    fleet = LimitFleet(nodes, 5.0)
    fleet.start_demand(dict.fromkeys(fleet.names, 100.0 / nodes))
    fleet.run(8.0)
    fleet.limit = None
    fleet.run(10.0)
    assert fleet.used_per_s(fleet.now - 2.0, fleet.now) > 80.0
    fleet.limit = 5.0
    fleet.arrivals.clear()
    fleet.named_at = fleet.now
    fleet.run(12.0)
    check_kept(fleet, 5.0)


@pytest.mark.parametrize('named_by', [0.2, 0.5])
def test_limit_named_by_some_replies_is_kept(named_by):
    fleet = LimitFleet(24, 5.0, named_by=named_by)
    fleet.start_demand(even_demand(fleet))
    fleet.run(40.0)
    check_kept(fleet, 5.0)
    check_used(fleet, 5.0)


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('limit', [0.5, 5.0, 60.0])
@pytest.mark.parametrize('nodes', [5, 24])
def test_limit_is_kept_while_nodes_restart(nodes, limit, seed):
    fleet = LimitFleet(nodes, limit, seed)
    fleet.start_demand(even_demand(fleet))
    fleet.run(6.0)
    for name in list(fleet.names)[:5]:
        fleet.kill(name)
        fleet.run(fleet.rng.uniform(0.2, 3.0))
        fleet.restart(name)
        fleet.run(fleet.rng.uniform(0.2, 3.0))
    fleet.run(6.0)
    check_kept(fleet, limit)


# Guards against permits of several coordinators that add up, each of which had
# its shares at once after the one before had ended.
@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('limit', [0.5, 5.0, 60.0, 500.0])
@pytest.mark.parametrize('nodes', [2, 5, 24, 100])
def test_limit_is_kept_while_coordinators_crash(nodes, limit, seed):
    fleet = LimitFleet(nodes, limit, seed)
    fleet.start_demand(even_demand(fleet))
    fleet.run(6.0)
    for _ in range(8):
        running = next(n for n in fleet.names if n not in fleet.down)
        coordinator = fleet.nodes[running].limits.coordinator
        fleet.crash(coordinator)
        fleet.run(fleet.rng.uniform(0.01, 1.2))
        fleet.restart(coordinator)
        fleet.run(fleet.rng.uniform(0.01, 1.2))
    fleet.run(6.0)
    check_kept(fleet, limit)


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('limit', [0.5, 5.0, 60.0])
@pytest.mark.parametrize('nodes', [5, 24, 100])
def test_limit_is_kept_by_nodes_cut_from_each_other(nodes, limit, seed):
    fleet = LimitFleet(nodes, limit, seed)
    fleet.start_demand(even_demand(fleet))
    fleet.run(6.0)
    for count in (1, nodes // 2):
        fleet.set_cut(fleet.rng.sample(fleet.names, count))
        fleet.run(8.0)
        fleet.set_cut(())
        fleet.run(5.0)
    healed_at = fleet.now
    fleet.run(5.0 + 10.0 / limit)
    check_kept(fleet, limit)
    check_used(fleet, limit, since=healed_at)


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('limit', [0.5, 5.0, 60.0])
def test_limit_is_kept_while_nodes_freeze(limit, seed):
    fleet = LimitFleet(24, limit, seed)
    fleet.start_demand(even_demand(fleet))
    fleet.run(6.0)
    for _ in range(6):
        coordinator = fleet.nodes[fleet.names[0]].limits.coordinator
        for name in (coordinator, fleet.rng.choice(fleet.names)):
            fleet.freeze(name)
            fleet.run(fleet.rng.uniform(0.3, 4.0))
            fleet.thaw(name)
        fleet.run(1.0)
    check_kept(fleet, limit)


# After each pause of the coordinator, nodes waited until it could not hold
# their shares any more, and then used another one for two seconds: of a limit
# of 0.5 less than half was used by 24 nodes.
@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('limit', [0.5, 2.0, 5.0, 60.0])
@pytest.mark.parametrize('nodes', [2, 5, 24])
def test_limit_is_used_while_the_coordinator_pauses(nodes, limit, seed):
    fleet = LimitFleet(nodes, limit, seed)
    fleet.start_demand(even_demand(fleet))
    fleet.run(8.0)
    paused_from = fleet.now
    for _ in range(8):
        coordinator = fleet.nodes[fleet.names[0]].limits.coordinator
        fleet.freeze(coordinator)
        fleet.run(PAUSE_S)
        fleet.thaw(coordinator)
        fleet.run(PAUSE_INTERVAL_S - PAUSE_S)
    check_kept(fleet, limit)
    check_used(fleet, limit, since=paused_from)


@pytest.mark.parametrize('limit', [0.5, 5.0, 60.0])
def test_limit_is_kept_while_messages_are_lost(limit):
    fleet = LimitFleet(24, limit)
    fleet.lost = 0.2
    fleet.start_demand(even_demand(fleet))
    fleet.run(30.0)
    check_kept(fleet, limit)


# Nodes that know fewer others than there are would take larger shares.
@pytest.mark.parametrize('limit', [0.5, 5.0, 60.0])
def test_limit_is_kept_by_nodes_with_an_old_list(limit):
    fleet = LimitFleet(24, limit)
    for name in fleet.names[:12]:
        fleet.counted[name] = 3
    fleet.start_demand(even_demand(fleet))
    fleet.run(10.0)
    fleet.set_cut(fleet.names[:6])
    fleet.run(10.0)
    check_kept(fleet, limit)


@pytest.mark.parametrize('limit', [5.0, 60.0])
def test_new_nodes_don_t_add_to_the_limit(limit):
    fleet = LimitFleet(5, limit)
    fleet.start_demand(even_demand(fleet))
    fleet.run(6.0)
    for n in range(5, 10):
        fleet.restart(f'n{n}')
    fleet.start_demand(even_demand(fleet))
    fleet.run(15.0)
    check_kept(fleet, limit)
    check_used(fleet, limit, since=fleet.now - 6.0)


def test_more_valued_requests_come_first():
    fleet = LimitFleet(10, 10.0)
    fleet.priorities = {f'n{n}': n % 2 for n in range(10)}
    fleet.start_demand(dict.fromkeys(fleet.names, 4.0))
    fleet.run(8.0)
    fleet.sent.clear()
    fleet.run(20.0)
    check_kept(fleet, 10.0)
    check_used(fleet, 10.0)
    assert fleet.sent[0] > 3 * fleet.sent.get(1, 0)


def test_requests_below_the_limit_are_not_refused():
    fleet = LimitFleet(24, 60.0)
    fleet.start_demand(dict.fromkeys(fleet.names, 1.0))
    fleet.run(6.0)
    fleet.denied = 0
    fleet.arrivals.clear()
    fleet.run(20.0)
    assert fleet.denied < 0.02 * len(fleet.arrivals)
