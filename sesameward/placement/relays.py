"""Decide which node of a target's zone, its relay, sends to the target.

Load pattern: nodes outnumber the connections that a target accepts. If each
node sends by itself, nine of ten sub-requests open a new connection, which
occupies one of the target's few slots. So all nodes send the sub-requests to a
target through the same relay. Each node computes the assignment by itself from
the members and targets that it knows. Nodes that disagree for a moment use
different relays, which costs a few connections and is otherwise harmless.
"""

from __future__ import annotations

import collections
import enum
import math
import typing

from .. import rendezvous
from ..messages import Member
from ..types import NodeId
from ..types import TargetId
from ..types import ZoneName

# One relay serves about this many targets. With fewer, a querying node sends
# more messages; with more, a relay of half a core sends too many sub-requests
# of one query.
TARGETS_PER_RELAY = 12
# With two relays a zone, each target has a second one if its first one fails.
MIN_RELAYS = 2
# Larger zones are divided into groups of at least this many targets, each with
# relays of its own: the time to assign relays grows with targets times relays.
# It is 0.6 ms for 90 targets, and 30 ms at most for a group of 30,000 targets.
MIN_GROUP_TARGETS = 384
# A group has at least about this many nodes, enough for the relays of up to
# twice MIN_GROUP_TARGETS targets.
MIN_GROUP_NODES = 64
# Number of groups that one call of update() assigns. All groups of 30,000
# targets would take some 2 s, in which the node would do nothing else.
MAX_GROUPS_PER_UPDATE = 4
# A relay is the first one of at most this many times the mean of its zone.
MAX_IMBALANCE = 1.25


class RelayRole(enum.Enum):
    """What a node is to a target.

    UNRELAYED: the target has no relays, because each node may keep a
    connection to it. FIRST, SECOND: the node is this relay of the target.
    OTHER: other nodes are.
    """

    UNRELAYED = 'unrelayed'
    FIRST = 'first'
    SECOND = 'second'
    OTHER = 'other'


class RelayPair(typing.NamedTuple):
    """First and second relay of a target; None if the zone has too few."""

    first: NodeId | None
    second: NodeId | None


NO_RELAYS = RelayPair(None, None)


def choose_relays(
    zone: ZoneName, members: typing.Iterable[Member], targets: int
) -> tuple[NodeId, ...]:
    """Return the nodes that are relays for a number of targets of a zone.

    A suspected member remains a relay: a false suspicion would move its
    targets to another node and back.
    """
    ready = [
        member.node
        for member in members
        if member.zone == zone
        and member.entries
        and member.reaches_targets
        and not member.leaving
    ]
    count = max(MIN_RELAYS, math.ceil(targets / TARGETS_PER_RELAY))
    return tuple(rendezvous.pick(f'relays:{zone}', ready, count))


def assign(
    relays: typing.Sequence[NodeId],
    targets: typing.Iterable[TargetId],
    weight: typing.Callable[[str, str], int] = rendezvous.weight,
) -> dict[TargetId, RelayPair]:
    """Return the first and the second relay of each target.

    Of all pairs of a target and a relay, those of greater weight are settled
    first, as long as the relay has room. So if a relay leaves, only its own
    targets move, and a few that they push out elsewhere.
    """
    ids = tuple(targets)
    if not relays or not ids:
        return dict.fromkeys(ids, NO_RELAYS)
    mean = len(ids) / len(relays)
    room = dict.fromkeys(
        relays, max(math.ceil(mean), int(mean * MAX_IMBALANCE))
    )
    pairs = sorted(
        (
            (weight(target_id, node), target_id, node)
            for target_id in ids
            for node in relays
        ),
        reverse=True,
    )
    first: dict[TargetId, NodeId] = {}
    for _, target_id, node in pairs:
        if target_id not in first and room[node] > 0:
            first[target_id] = node
            room[node] -= 1
    second: dict[TargetId, NodeId] = {}
    for _, target_id, node in pairs:
        if target_id not in second and first[target_id] != node:
            second[target_id] = node
    return {
        target_id: RelayPair(first[target_id], second.get(target_id))
        for target_id in ids
    }


def group_count(targets: int, nodes: int) -> int:
    """Return the number of groups of a zone, a power of two.

    So it rarely changes, and if it does, half of the targets keep their group.
    """
    wanted = min(targets // MIN_GROUP_TARGETS, nodes // MIN_GROUP_NODES)
    return 1 << max(wanted.bit_length() - 1, 0)


class _Group:
    """Relays of some targets of one zone.

    The fields relays and targets are those that pairs was computed from.
    """

    def __init__(self):
        self.relays: tuple[NodeId, ...] = ()
        self.targets: tuple[TargetId, ...] = ()
        self.pairs: dict[TargetId, RelayPair] = {}
        self._weights: dict[tuple[str, str], int] = {}

    def assign(
        self, relays: tuple[NodeId, ...], targets: tuple[TargetId, ...]
    ) -> None:
        """Compute the pairs of these relays and targets."""
        # Hashing takes most of the time, and most pairs were there before.
        old, self._weights = self._weights, {}
        weights = self._weights

        def weight(key: str, node: str) -> int:
            found = old.get((key, node))
            if found is None:
                found = rendezvous.weight(key, node)
            weights[key, node] = found
            return found

        self.relays = relays
        self.targets = targets
        self.pairs = assign(relays, targets, weight)


class Relays:
    """Keep the assignment of relays to targets, as one node computes it.

    The assignment of a group is computed again only if its relays or its
    targets have changed. Until a target is assigned, it has NO_RELAYS.
    is_settled is False while groups wait for the next update().
    """

    def __init__(self, node: NodeId = NodeId('')):
        self._node = node
        self._groups: dict[tuple[ZoneName, int], _Group] = {}
        self._by_target: dict[TargetId, RelayPair] = {}
        self.is_settled = True

    def __bool__(self) -> bool:
        """Return True if any target has relays."""
        return bool(self._by_target)

    def update(
        self,
        members: typing.Sequence[Member],
        targets: typing.Iterable[tuple[TargetId, ZoneName]],
    ) -> None:
        """Replace the members and the targets that need relays.

        Assigns at most MAX_GROUPS_PER_UPDATE groups.
        """
        ids: dict[ZoneName, list[TargetId]] = collections.defaultdict(list)
        for target_id, zone in targets:
            ids[zone].append(target_id)
        wanted: dict[
            tuple[ZoneName, int],
            tuple[tuple[NodeId, ...], tuple[TargetId, ...]],
        ] = {}
        for zone, zone_ids in ids.items():
            zone_members = [one for one in members if one.zone == zone]
            count = group_count(len(zone_ids), len(zone_members))
            grouped_members = _divide(
                zone_members, count, lambda member: member.node
            )
            grouped_ids = _divide(sorted(zone_ids), count, lambda one: one)
            for number in range(count):
                relays = choose_relays(
                    zone, grouped_members[number], len(grouped_ids[number])
                )
                wanted[zone, number] = relays, tuple(grouped_ids[number])
        for key in self._groups.keys() - wanted.keys():
            del self._groups[key]
        changed = []
        for key, (relays, group_ids) in wanted.items():
            group = self._groups.setdefault(key, _Group())
            if (group.relays, group.targets) != (relays, group_ids):
                changed.append((group, relays, group_ids))
        for group, relays, group_ids in changed[:MAX_GROUPS_PER_UPDATE]:
            group.assign(relays, group_ids)
        self.is_settled = len(changed) <= MAX_GROUPS_PER_UPDATE
        self._by_target = {
            target_id: self._groups[key].pairs.get(target_id, NO_RELAYS)
            for key, (_, group_ids) in wanted.items()
            for target_id in group_ids
        }

    def get(self, target_id: TargetId) -> RelayPair | None:
        """Return the relays of a target, None if it needs none."""
        return self._by_target.get(target_id)

    def role(self, target_id: TargetId) -> RelayRole:
        """Return what this node is to a target."""
        pair = self._by_target.get(target_id)
        if pair is None:
            return RelayRole.UNRELAYED
        if pair.first == self._node:
            return RelayRole.FIRST
        if pair.second == self._node:
            return RelayRole.SECOND
        return RelayRole.OTHER

    def nodes(self) -> tuple[NodeId, ...]:
        """Return the nodes that are relays in any zone, without this one."""
        return tuple(
            dict.fromkeys(
                node
                for group in self._groups.values()
                for node in group.relays
                if node != self._node
            )
        )


_Item = typing.TypeVar('_Item')


def _divide(
    items: typing.Iterable[_Item],
    count: int,
    key: typing.Callable[[_Item], str],
) -> list[list[_Item]]:
    """Divide items by a hash of their keys."""
    if count == 1:
        return [list(items)]
    groups: list[list[_Item]] = [[] for _ in range(count)]
    for item in items:
        groups[rendezvous.weight('group', key(item)) % count].append(item)
    return groups
