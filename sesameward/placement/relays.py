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


class Relays:
    """Keep the assignment of relays to targets, as one node computes it.

    The assignment of a zone is computed again only if its relays or its
    relayed targets have changed.
    """

    def __init__(self, node: NodeId = NodeId('')):
        self._node = node
        self._members: typing.Sequence[Member] = ()
        self._targets: dict[ZoneName, tuple[TargetId, ...]] = {}
        self._relays: dict[ZoneName, tuple[NodeId, ...]] = {}
        self._by_zone: dict[ZoneName, dict[TargetId, RelayPair]] = {}
        self._by_target: dict[TargetId, RelayPair] = {}
        self._weights: dict[ZoneName, dict[tuple[str, str], int]] = {}

    def __bool__(self) -> bool:
        """Return True if any target has relays."""
        return bool(self._by_target)

    def update(
        self,
        members: typing.Sequence[Member],
        targets: typing.Iterable[tuple[TargetId, ZoneName]],
    ) -> None:
        """Replace the members and the targets that need relays."""
        by_zone: dict[ZoneName, list[TargetId]] = collections.defaultdict(list)
        for target_id, zone in targets:
            by_zone[zone].append(target_id)
        sorted_targets = {
            zone: tuple(sorted(ids)) for zone, ids in by_zone.items()
        }
        if members is self._members and sorted_targets == self._targets:
            return
        is_changed = sorted_targets.keys() != self._targets.keys()
        for zone, ids in sorted_targets.items():
            relays = choose_relays(zone, members, len(ids))
            if relays != self._relays.get(zone) or ids != self._targets.get(
                zone
            ):
                is_changed = True
                self._relays[zone] = relays
                self._by_zone[zone] = self._assign(zone, relays, ids)
        for zone in self._targets.keys() - sorted_targets.keys():
            del self._relays[zone]
            del self._by_zone[zone]
            del self._weights[zone]
        self._members = members
        self._targets = sorted_targets
        if is_changed:
            self._by_target = {
                target_id: pair
                for pairs in self._by_zone.values()
                for target_id, pair in pairs.items()
            }

    def _assign(
        self,
        zone: ZoneName,
        relays: tuple[NodeId, ...],
        targets: tuple[TargetId, ...],
    ) -> dict[TargetId, RelayPair]:
        # Hashing takes most of the time, and most pairs were there before.
        old = self._weights.get(zone, {})
        weights = self._weights[zone] = {}

        def weight(key: str, node: str) -> int:
            found = old.get((key, node))
            if found is None:
                found = rendezvous.weight(key, node)
            weights[key, node] = found
            return found

        return assign(relays, targets, weight)

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
                for relays in self._relays.values()
                for node in relays
                if node != self._node
            )
        )
