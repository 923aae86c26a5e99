"""Test which node of a zone becomes the relay of each target."""

import collections
import math

import pytest

from sesameward.messages import Address
from sesameward.messages import Member
from sesameward.placement.relays import assign
from sesameward.placement.relays import choose_relays
from sesameward.placement.relays import MAX_IMBALANCE
from sesameward.placement.relays import MIN_RELAYS
from sesameward.placement.relays import NO_RELAYS
from sesameward.placement.relays import RelayRole
from sesameward.placement.relays import Relays
from sesameward.placement.relays import TARGETS_PER_RELAY
from sesameward.types import MemberState

ZONES = ('a', 'b', 'c')
# Targets of each zone: 90 shards with one replica in each zone.
TARGETS_PER_ZONE = 90
NODE_COUNTS = (26, 91, 300)


def make_member(node, zone, **kwargs):
    entry = Address(node, 'h', 1, zone, 1.0)
    return Member(node, zone, 'h', 1, 2, 3, **({'entries': (entry,)} | kwargs))


def make_members(count):
    return tuple(
        make_member(f'n{n}', ZONES[n % len(ZONES)]) for n in range(count)
    )


def make_targets(per_zone=TARGETS_PER_ZONE):
    return [(f't-{zone}-{n}', zone) for zone in ZONES for n in range(per_zone)]


def make_relays(members, targets=None, node='n0'):
    relays = Relays(node)
    relays.update(members, make_targets() if targets is None else targets)
    return relays


def pairs_of(relays, targets=None):
    return {
        target_id: relays.get(target_id)
        for target_id, _ in targets or make_targets()
    }


def count_moved(before, after):
    return sum(before[one].first != after[one].first for one in before)


@pytest.mark.parametrize('nodes', NODE_COUNTS)
@pytest.mark.parametrize('per_zone', [1, 2, 5, 13, 90, 300])
def test_no_relay_has_more_than_its_part(nodes, per_zone):
    targets = make_targets(per_zone)
    members = make_members(nodes)
    zone_of = {member.node: member.zone for member in members}
    pairs = pairs_of(make_relays(members, targets), targets)
    for zone in ZONES:
        firsts = collections.Counter(
            pairs[target_id].first
            for target_id, target_zone in targets
            if target_zone == zone
        )
        size = len([one for one in members if one.zone == zone])
        wanted = max(MIN_RELAYS, math.ceil(per_zone / TARGETS_PER_RELAY))
        mean = per_zone / min(wanted, size)
        assert len(firsts) <= wanted
        assert {zone_of[node] for node in firsts} == {zone}
        assert max(firsts.values()) <= max(
            math.ceil(mean), MAX_IMBALANCE * mean
        )
    assert all(
        pair.second not in (None, pair.first) for pair in pairs.values()
    )


# Guards against relays that all nodes change whenever one of them restarts.
@pytest.mark.parametrize('nodes', NODE_COUNTS)
def test_few_targets_move_when_a_node_leaves_or_joins(nodes):
    members = make_members(nodes)
    before = pairs_of(make_relays(members))
    firsts = collections.Counter(pair.first for pair in before.values())
    for member in members:
        left = tuple(one for one in members if one is not member)
        after = pairs_of(make_relays(left))
        own = firsts[member.node]
        if not own:
            assert after == before
        # Besides the targets of the relay that left, some move to its
        # successor, which takes the targets of greatest weight for it.
        part = TARGETS_PER_ZONE / min(8, nodes // len(ZONES))
        assert count_moved(before, after) <= own + 2.0 * part


@pytest.mark.parametrize('nodes', NODE_COUNTS)
def test_nodes_with_different_lists_mostly_agree(nodes):
    members = make_members(nodes)
    known = tuple(one for n, one in enumerate(members) if n % 25 != 24)
    one, other = make_relays(members), make_relays(known, node='n1')
    before, after = pairs_of(one), pairs_of(other)
    assert count_moved(before, after) < 0.5 * len(before)
    for target_id, pair in before.items():
        assert None not in (pair.first, after[target_id].first)


def test_all_nodes_choose_the_same_relays_whatever_the_order():
    members = make_members(91)
    one = make_relays(members)
    other = make_relays(members[::-1], make_targets()[::-1], 'n50')
    assert pairs_of(one) == pairs_of(other)


# Guards against an assignment that depends on what a node knew before.
def test_history_does_not_matter():
    members = make_members(91)
    relays = make_relays(members[:50])
    relays.update(members[20:], make_targets(40))
    relays.update(members, make_targets())
    assert pairs_of(relays) == pairs_of(make_relays(members))


@pytest.mark.parametrize(
    'change', [{'leaving': True}, {'entries': ()}, {'reaches_targets': False}]
)
def test_nodes_that_can_not_serve_are_no_relays(change):
    members = (make_member('x', 'a', **change), make_member('y', 'a'))
    assert choose_relays('a', members, 1) == ('y',)


# Guards against targets that move away and back at each false suspicion.
def test_suspected_node_remains_a_relay():
    members = (make_member('x', 'a', state=MemberState.SUSPECT),)
    assert choose_relays('a', members, 1) == ('x',)


def test_roles():
    members = tuple(make_member(f'n{n}', 'a') for n in range(5))
    targets = [(f't{n}', 'a') for n in range(24)]
    for member in members:
        relays = make_relays(members, targets, member.node)
        for target_id, _ in targets:
            pair = relays.get(target_id)
            expected = {
                pair.first: RelayRole.FIRST,
                pair.second: RelayRole.SECOND,
            }.get(member.node, RelayRole.OTHER)
            assert relays.role(target_id) is expected
        assert relays.role('unknown') is RelayRole.UNRELAYED
        assert member.node not in relays.nodes()


def test_target_that_needs_relays_no_longer_has_none():
    members = make_members(91)
    relays = make_relays(members)
    relays.update(members, make_targets(1))
    assert relays.get('t-a-1') is None
    assert relays.get('t-a-0') is not None
    relays.update(members, [])
    assert not relays
    assert relays.nodes() == ()


def test_zone_without_nodes():
    assert assign((), ('t',)) == {'t': NO_RELAYS}
    relays = make_relays((make_member('x', 'b'),), [('t', 'a')])
    assert relays.get('t') == NO_RELAYS
    assert relays.role('t') is RelayRole.OTHER


def test_only_node_of_a_zone_is_the_first_relay():
    relays = make_relays((make_member('x', 'a'),), [('t', 'a')], 'x')
    assert relays.get('t') == ('x', None)


# Guards against a node that does nothing else for seconds after its start in
# the largest deployment, and against relays with too many targets there.
def test_large_zones_are_assigned_step_by_step():
    members = make_members(4_800)
    targets = make_targets(3_000)
    relays = Relays('n0')
    rounds = 0
    while rounds == 0 or not relays.is_settled:
        relays.update(members, targets)
        rounds += 1
    assert rounds > 1
    pairs = pairs_of(relays, targets)
    firsts = collections.Counter(pair.first for pair in pairs.values())
    assert max(firsts.values()) <= MAX_IMBALANCE * TARGETS_PER_RELAY
    assert None not in firsts
    left = members[:100] + members[101:]
    relays.update(left, targets)
    assert relays.is_settled
    after = pairs_of(relays, targets)
    assert count_moved(pairs, after) <= 3 * TARGETS_PER_RELAY


def test_unassigned_targets_have_no_relays_yet():
    members = make_members(4_800)
    relays = make_relays(members, make_targets(3_000))
    assert not relays.is_settled
    pairs = pairs_of(relays, make_targets(3_000))
    assert NO_RELAYS in pairs.values()
    assert None not in pairs.values()
