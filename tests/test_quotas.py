"""Test the limits of organisations over many nodes, without a network.

Each test measures both sides: what runs in any window, and what is refused
that one token bucket of the whole limit would admit.
"""

import pytest

from sesameward.organisations.quotas import PRIORITY
from sesameward.serving.node import FIRST_COUNTS_INTERVAL_S
from sesameward.serving.routes import CallerLimits
from sesameward.serving.routes import RouteTable
from sesameward.serving.target_limits import Denial
from tests.limit_fleet import TARGET
from tests.quota_fleet import QuotaFleet
from tests.quota_fleet import QuotaNode

NODES = [1, 5, 26, 300]
SMALL = 9.0, 9.0
LARGE = 120.0, 60.0
LIMITS = [SMALL, LARGE]
# Time within which a fleet that has just started has all shares in one place.
SETTLED_S = 8.0


def make_fleet(nodes, limit, seed=1):
    fleet = QuotaFleet(nodes, *limit, seed=seed)
    fleet.run(SETTLED_S)
    return fleet


def demand(fleet, factor, names=None):
    names = fleet.names if names is None else names
    rate_per_s = factor * fleet.organisation.rate_per_s / len(names)
    fleet.start_demand(dict.fromkeys(names, rate_per_s))


# Guards against limits that are divided among nodes in advance, of which each
# node has less than a request.
@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('limit', LIMITS)
@pytest.mark.parametrize('nodes', NODES)
@pytest.mark.parametrize('factor', [0.6, 1.0, 9.0])
def test_in_calm_conditions_nothing_below_the_limit_is_refused(
    nodes, limit, factor, seed
):
    fleet = make_fleet(nodes, limit, seed)
    fleet.is_shaped = True
    demand(fleet, factor)
    fleet.run(20.0)
    fleet.check_bound()
    assert len(fleet.requests) > 0.5 * min(factor, 1.0) * limit[0] * 20.0
    assert fleet.refused() == []


# Guards against nodes that refuse requests below the limit for half a minute,
# because they refused one while the shares of starting nodes were still tiny.
@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('limit', LIMITS)
@pytest.mark.parametrize('nodes', NODES)
def test_refusals_while_nodes_start_end_with_the_start(nodes, limit, seed):
    fleet = make_fleet(nodes, limit, seed)
    for name in fleet.names:
        fleet.kill(name)
    fleet.run(0.3)
    for name in fleet.names:
        fleet.restart(name)
    demand(fleet, 20.0)
    fleet.run(0.5)
    assert fleet.refused()
    fleet.run(SETTLED_S - 1.5)
    since = fleet.now
    fleet.is_shaped = True
    demand(fleet, 0.9)
    fleet.run(20.0)
    fleet.check_bound()
    assert [at for at in fleet.refused() if at >= since] == []


@pytest.mark.parametrize('limit', LIMITS)
@pytest.mark.parametrize('nodes', NODES)
def test_far_above_the_limit_it_is_used_whole(nodes, limit):
    fleet = make_fleet(nodes, limit)
    demand(fleet, 9.0)
    fleet.run(20.0)
    fleet.check_bound()
    assert len(fleet.arrivals) >= 0.97 * (limit[0] * 20.0 + limit[1])


# Guards against requests that one node gets alone being held to its share.
@pytest.mark.parametrize('nodes', NODES)
def test_one_node_may_use_the_whole_limit(nodes):
    fleet = make_fleet(nodes, SMALL)
    fleet.is_shaped = True
    demand(fleet, 2.0, fleet.names[-1:])
    fleet.run(20.0)
    fleet.check_bound()
    assert fleet.refused() == []


def burst_of_requests(fleet, count):
    for n in range(count):
        fleet.request(fleet.nodes[fleet.names[n % len(fleet.names)]], 1)
    fleet.run(1.0)


@pytest.mark.parametrize('nodes', NODES)
def test_burst_is_admitted_whole_after_a_pause(nodes):
    fleet = make_fleet(nodes, LARGE)
    burst_of_requests(fleet, 60)
    assert len(fleet.arrivals) == 60


# Guards against a raised limit that takes effect late, and a lowered one that
# is exceeded on the strength of what was saved up before.
@pytest.mark.parametrize('nodes', NODES)
def test_changed_limit_is_followed(nodes):
    fleet = make_fleet(nodes, SMALL)
    demand(fleet, 50.0)
    fleet.run(10.0)
    fleet.check_bound()
    fleet.set_limit(60.0, 20.0)
    fleet.run(2.0)
    since = fleet.now
    fleet.run(10.0)
    fleet.check_bound()
    assert fleet.used_per_s(since, fleet.now) > 0.95 * 60.0
    fleet.set_limit(5.0, 5.0)
    fleet.run(1.0)
    since = fleet.now
    fleet.run(12.0)
    # The window that begins with the change has what was admitted before it.
    fleet.check_bound(since)
    assert fleet.used_per_s(since, fleet.now) > 0.9 * 5.0


@pytest.mark.parametrize('limit', LIMITS)
@pytest.mark.parametrize('nodes', [2, 5, 26, 300])
def test_bound_holds_across_a_partition_and_after_it(nodes, limit):
    fleet = make_fleet(nodes, limit)
    demand(fleet, 9.0)
    fleet.run(6.0)
    fleet.set_cut(fleet.names[: nodes // 2])
    fleet.run(15.0)
    since = fleet.now
    fleet.run(5.0)
    # Both halves together use the limit, as far as it can be divided.
    assert fleet.used_per_s(since, fleet.now) > 0.9 * limit[0]
    fleet.set_cut(())
    fleet.run(15.0)
    fleet.check_bound()
    assert fleet.used_per_s(fleet.now - 5.0, fleet.now) > 0.95 * limit[0]


# Guards against nodes that each admit a request of their own when that is more
# than the slack.
@pytest.mark.parametrize('nodes', [5, 26, 29, 30, 91])
def test_bound_holds_while_no_node_reaches_another(nodes):
    fleet = make_fleet(nodes, SMALL)
    demand(fleet, 9.0)
    fleet.run(5.0)
    fleet.lost = 1.0
    for _ in range(3):
        fleet.run(10.0)
        fleet.start_demand({})
        fleet.run(6.0)
        demand(fleet, 9.0)
    fleet.lost = 0.0
    fleet.run(10.0)
    fleet.check_bound()


# Guards against a share that is used in two places when the coordinator dies,
# pauses or restarts, and against limits that stay unused after that.
@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('limit', LIMITS)
@pytest.mark.parametrize('nodes', [5, 26, 300])
def test_bound_holds_while_coordinators_die_pause_and_restart(
    nodes, limit, seed
):
    fleet = make_fleet(nodes, limit, seed)
    demand(fleet, 9.0)
    fleet.run(5.0)
    for _ in range(4):
        coordinator = fleet.nodes[fleet.names[-1]].limits.coordinator
        fleet.kill(coordinator)
        fleet.run(1.0)
        fleet.restart(coordinator)
        fleet.run(4.0)
        coordinator = fleet.nodes[fleet.names[-1]].limits.coordinator
        fleet.freeze(coordinator)
        fleet.run(3.0)
        fleet.thaw(coordinator)
        fleet.run(4.0)
    fleet.check_bound()
    fleet.run(10.0)
    assert fleet.used_per_s(fleet.now - 5.0, fleet.now) > 0.95 * limit[0]


# Guards against a share that is used in two places because a coordinator was
# taken for ended, and against permits of several coordinators that add up.
@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('limit', LIMITS)
@pytest.mark.parametrize('nodes', [2, 5, 26, 91, 300])
def test_bound_holds_while_coordinators_crash_one_after_the_other(
    nodes, limit, seed
):
    fleet = make_fleet(nodes, limit, seed)
    demand(fleet, 9.0)
    fleet.run(5.0)
    for _ in range(8):
        coordinator = fleet.coordinator()
        fleet.crash(coordinator)
        fleet.run(fleet.rng.uniform(0.01, 1.2))
        fleet.restart(coordinator)
        fleet.run(fleet.rng.uniform(0.01, 1.2))
    fleet.run(6.0)
    fleet.check_bound()


# Guards against shares that stay unused for the rest of a lease although it is
# proven that the coordinator's process has ended: half of the requests of the
# next six seconds were refused then.
@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('limit', LIMITS)
@pytest.mark.parametrize('nodes', [5, 26, 91, 300])
def test_crashed_coordinator_is_replaced_at_once(nodes, limit, seed):
    fleet = make_fleet(nodes, limit, seed)
    fleet.is_shaped = True
    demand(fleet, 0.3)
    fleet.run(5.0)
    crashed_at = fleet.now
    fleet.crash(fleet.coordinator())
    fleet.run(6.0)
    fleet.check_bound()
    refused = fleet.refused()
    assert [at for at in refused if at > crashed_at + 0.5] == []
    assert len(refused) <= 4 + 0.05 * limit[0]


# Guards against requests refused while a coordinator leaves: it gives the
# shares back, and each node has another one within one call.
@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('limit', LIMITS)
@pytest.mark.parametrize('nodes', [5, 26, 91, 300])
def test_coordinator_that_leaves_costs_few_requests(nodes, limit, seed):
    fleet = make_fleet(nodes, limit, seed)
    fleet.is_shaped = True
    demand(fleet, 0.3)
    fleet.run(5.0)
    fleet.stop(fleet.coordinator())
    fleet.run(8.0)
    fleet.check_bound()
    assert len(fleet.refused()) <= 3 + 0.03 * limit[0]


# Guards against new processes that use up a share again that their
# predecessors have used.
@pytest.mark.parametrize('nodes', [1, 5, 26])
def test_bound_holds_while_all_nodes_restart_again_and_again(nodes):
    fleet = make_fleet(nodes, LARGE)
    demand(fleet, 9.0)
    fleet.run(5.0)
    for _ in range(4):
        for name in fleet.names:
            fleet.kill(name)
        fleet.run(0.3)
        for name in fleet.names:
            fleet.restart(name)
        fleet.run(2.0)
    fleet.check_bound()


# Guards against nodes that refuse what is below the limit for some seconds
# after all of them were restarted, although the store still lists them, and
# against a bound that is exceeded because the former processes used it up.
@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('limit', [SMALL, LARGE])
@pytest.mark.parametrize('nodes', [5, 26, 91])
def test_restarted_nodes_use_the_limit_as_soon_as_they_know_each_other(
    nodes, limit, seed
):
    fleet = make_fleet(nodes, limit, seed)
    demand(fleet, 2.0)
    fleet.run(5.0)
    for name in fleet.names:
        fleet.kill(name)
    fleet.run(0.5)
    restarted_at = fleet.now
    for name in fleet.names:
        fleet.restart(name)
        node = fleet.nodes[name]
        node.limits.set_registered_nodes(nodes, fleet.now)
    fleet.run(4.0)
    fleet.check_bound()
    admitted = sum(at >= restarted_at + 1.0 for at in fleet.arrivals)
    assert admitted >= 0.8 * 3.0 * fleet.organisation.rate_per_s - 1


# Guards against permits that accrue only once most nodes have started, and
# against counts of the others that come too late: 10 requests were refused.
@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('limit', LIMITS)
@pytest.mark.parametrize('nodes', [5, 26, 91, 300])
def test_restart_of_all_nodes_refuses_little(nodes, limit, seed):
    fleet = make_fleet(nodes, limit, seed)
    fleet.is_shaped = True
    demand(fleet, 0.3)
    fleet.run(5.0)
    fleet.restart_all(FIRST_COUNTS_INTERVAL_S)
    restarted_at = fleet.now
    fleet.run(6.0)
    fleet.check_bound()
    refused = [at for at in fleet.refused() if at >= restarted_at]
    assert [at for at in refused if at > restarted_at + 1.0] == []
    assert len(refused) <= 3 + 0.08 * limit[0]


# Guards against restarts one after the other, at nine times the load, whose
# nodes use their whole shares before they have seen the others.
@pytest.mark.parametrize('limit', LIMITS)
@pytest.mark.parametrize('nodes', [2, 5, 26, 91])
def test_bound_holds_while_registered_nodes_restart_again_and_again(
    nodes, limit
):
    fleet = make_fleet(nodes, limit)
    demand(fleet, 9.0)
    fleet.run(5.0)
    for _ in range(5):
        fleet.restart_all(FIRST_COUNTS_INTERVAL_S)
        fleet.run(1.5)
    fleet.run(5.0)
    fleet.check_bound()


# Guards against restarted nodes that know only some of the others, each of
# which would use the share of a small fleet.
@pytest.mark.parametrize('nodes', [26, 91])
def test_bound_holds_while_restarted_nodes_are_partitioned(nodes):
    fleet = make_fleet(nodes, LARGE)
    demand(fleet, 9.0)
    fleet.run(5.0)
    for name in fleet.names:
        fleet.kill(name)
    fleet.run(0.3)
    for name in fleet.names:
        fleet.restart(name)
        fleet.nodes[name].limits.set_registered_nodes(nodes, fleet.now)
    fleet.set_cut(fleet.names[: nodes // 2])
    fleet.run(10.0)
    fleet.check_bound()


# Guards against requests refused for minutes because the first one came when
# the node, just started, had a thousandth of its share.
@pytest.mark.parametrize('nodes', [1, 5, 26])
def test_refusal_at_the_start_does_not_outlast_it(nodes):
    fleet = QuotaFleet(nodes, *SMALL)
    node = QuotaNode(fleet, 'n0', fleet.now)
    node.limits.set_nodes(nodes, fleet.now)
    for passed_s in (0.004, 0.4, 4.0, 5.0):
        now = fleet.now + passed_s
        assert node.limits.next_call((), now) is None
        taken = node.limits.acquire(TARGET, PRIORITY, now)
        assert taken is Denial.NONE_LEFT or passed_s >= 4.0
        wait_s = node.limits.wait_s(TARGET, PRIORITY, now)
        # At the end it is known that the others entrust nothing.
        shares = 1.0 if passed_s <= 4.0 else 1.0 / nodes
        assert wait_s <= 1.0 / (shares * SMALL[0]) + 1e-6


# Guards against a killed node whose part is missing for as long as it counts.
def test_one_killed_node_costs_nothing_of_the_limit():
    fleet = make_fleet(26, LARGE)
    others = fleet.names[1:]
    coordinator = fleet.nodes[others[0]].limits.coordinator
    killed = next(n for n in fleet.names if n != coordinator)
    fleet.kill(killed)
    fleet.run(4.0)
    fleet.is_shaped = True
    demand(fleet, 2.0, [n for n in fleet.names if n != killed])
    fleet.run(20.0)
    fleet.check_bound()
    assert fleet.refused() == []


# Guards against a bound that is exceeded because nodes that are cut from the
# store, among them possibly the coordinator, know an earlier limit.
@pytest.mark.parametrize('seed', [1, 2, 3, 4])
@pytest.mark.parametrize('nodes', [5, 26])
def test_bound_holds_while_half_of_the_nodes_know_an_earlier_limit(
    nodes, seed
):
    fleet = make_fleet(nodes, SMALL, seed)
    demand(fleet, 50.0)
    fleet.run(6.0)
    former = fleet.organisation
    fleet.set_limit(60.0, 20.0)
    cut_off = fleet.names[::2]
    for name in cut_off:
        fleet.at(1.0, fleet.nodes[name].apply, former)
    fleet.run(10.0)
    # The higher limit is in force as a whole; it is only not used everywhere.
    fleet.check_bound()
    fleet.set_cut(cut_off)
    fleet.run(10.0)
    fleet.check_bound()
    fleet.set_cut(())
    fleet.set_limit(*SMALL)
    fleet.run(1.0)
    since = fleet.now
    fleet.run(10.0)
    fleet.check_bound(since)


# Guards against limits of an organisation that outlast the configuration.
def test_limit_that_is_removed_admits_everything():
    fleet = make_fleet(5, SMALL)
    demand(fleet, 9.0)
    fleet.run(3.0)
    for node in fleet.nodes.values():
        node.limits.configured.apply_table(
            RouteTable(2, (), (), CallerLimits(), [])
        )
        assert not node.limits.is_active(fleet.now)
    fleet.run(0.5)
    since = fleet.now
    fleet.run(5.0)
    assert [at for at in fleet.refused() if at >= since] == []
