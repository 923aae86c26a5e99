"""Test the requests that run without a permit while a coordinator is silent.

Each test of the bound uses as much as it can: a full bucket, a load far above
the limit, and the reserve of every node that has one.
"""

import pytest

from sesameward.organisations.quotas import PRIORITY
from sesameward.organisations.reserve import Bound
from sesameward.organisations.reserve import Reserve
from sesameward.organisations.reserve import reserved_nodes
from sesameward.serving.routes import Organisation
from sesameward.serving.target_limits import Denial
from sesameward.serving.target_limits import Permit
from tests.limit_fleet import TARGET
from tests.quota_fleet import OVERSHOOT
from tests.quota_fleet import QuotaFleet
from tests.quota_fleet import SLACK
from tests.quota_fleet import WINDOW_S

BOUND = Bound(OVERSHOOT, SLACK, WINDOW_S)
LIMITS = [(0.5, 2.0), (2.0, 4.0), (9.0, 9.0), (20.0, 40.0), (120.0, 60.0)]
NODES = [2, 5, 26, 29, 30, 91, 300]
NOW = 100.0


def silence_by_death(fleet):
    fleet.kill(fleet.coordinator())


def silence_by_pause(fleet):
    coordinator = fleet.coordinator()
    fleet.freeze(coordinator)
    fleet.at(2.8, fleet.thaw, coordinator)


def silence_by_partition(fleet):
    fleet.set_cut([fleet.coordinator()])
    fleet.at(8.0, fleet.set_cut, ())


def silence_by_halves(fleet):
    fleet.set_cut(fleet.names[: len(fleet.names) // 2])
    fleet.at(8.0, fleet.set_cut, ())


def silence_everywhere(fleet):
    fleet.lost = 1.0


SILENCES = [
    silence_by_death,
    silence_by_pause,
    silence_by_partition,
    silence_by_halves,
    silence_everywhere,
]


# Guards against reserves that, together with what a bucket has saved and what
# accrues, or with a partition's buckets, exceed the bound.
@pytest.mark.parametrize('silence', SILENCES)
@pytest.mark.parametrize('limit', LIMITS)
@pytest.mark.parametrize('nodes', NODES)
def test_bound_holds_if_every_node_uses_its_reserve(nodes, limit, silence):
    fleet = QuotaFleet(nodes, *limit)
    # The bucket is full, and no reserve has been used.
    fleet.run(20.0)
    silence(fleet)
    rate_per_s = max(9.0 * limit[0] / nodes, 4.0)
    fleet.start_demand(dict.fromkeys(fleet.names, rate_per_s))
    fleet.run(7.0)
    silence(fleet)
    fleet.run(7.0)
    fleet.check_bound()


# Guards against more nodes with a reserve than the bound allows, and against
# no reserve where it allows one.
@pytest.mark.parametrize('limit', LIMITS)
@pytest.mark.parametrize('nodes', [1, *NODES])
def test_as_many_nodes_have_a_reserve_as_the_bound_allows(nodes, limit):
    organisation = Organisation(TARGET, (), None, *limit)
    names = [f'n{n}' for n in range(nodes)]
    taken = 0
    for name in names:
        reserve = Reserve(name, BOUND, NOW - 60.0)
        reserve.add_nodes(names)
        taken += reserve.take(organisation, nodes, NOW)
        assert not reserve.take(organisation, nodes, NOW + 5.4)
    assert taken == reserved_nodes(organisation, nodes, BOUND)


# (9 x 5 + 9) x 1.1 + 20 = 79.4, less 49.6 that accrue in 5.25 s at 1.05 of the
# rate and 10.97 saved ones leaves 18.8. Of 26 nodes, each may save a permit.
@pytest.mark.parametrize(
    ('nodes', 'limit', 'count'),
    [
        (91, (9.0, 9.0), 18),
        (26, (9.0, 9.0), 8),
        (5, (9.0, 9.0), 5),
        (26, (2.0, 4.0), 19),
    ],
)
def test_reserved_nodes(nodes, limit, count):
    organisation = Organisation(TARGET, (), None, *limit)
    assert reserved_nodes(organisation, nodes, BOUND) == count


# Guards against a process that uses the reserve that its predecessor has used,
# and one that does not know the nodes that come before it.
def test_no_reserve_for_new_processes_or_unknown_nodes():
    organisation = Organisation(TARGET, (), None, 9.0, 9.0)
    reserve = Reserve('n0', BOUND, NOW)
    reserve.add_nodes(f'n{n}' for n in range(5))
    assert not reserve.take(organisation, 5, NOW + 5.4)
    assert not reserve.take(organisation, 6, NOW + 5.6)
    reserve.defer(NOW + 6.0)
    assert not reserve.take(organisation, 5, NOW + 11.4)
    assert reserve.take(organisation, 5, NOW + 11.6)


# Guards against a request that is refused, or waits for the coordinator's
# answer, although the reserve admits it.
def test_silent_coordinator_does_not_refuse_the_first_request():
    fleet = QuotaFleet(5, 9.0, 9.0)
    fleet.run(20.0)
    coordinator = fleet.coordinator()
    fleet.kill(coordinator)
    node = next(n for n in fleet.nodes.values() if n.name != coordinator)
    assert node.limits.acquire(TARGET, PRIORITY, fleet.now) is Denial.REMOTE
    permit = node.limits.acquire_unanswered(TARGET, fleet.now)
    assert isinstance(permit, Permit)
    assert node.limits.acquire_unanswered(TARGET, fleet.now) is None


def test_no_reserve_is_used_while_the_coordinator_answers():
    fleet = QuotaFleet(5, 9.0, 9.0)
    fleet.run(20.0)
    fleet.start_demand(dict.fromkeys(fleet.names, 20.0))
    fleet.run(10.0)
    used = len(fleet.arrivals)
    assert used <= 9.0 * 10.0 * 1.05 + 9.0 + 2.0
    assert len(fleet.refused()) > used
