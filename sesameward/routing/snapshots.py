"""Choose the one snapshot from which a query is answered."""

from __future__ import annotations

import collections
import dataclasses
import typing

from ..configuration.declared import Service
from ..configuration.declared import Shard
from ..configuration.declared import ShardMap
from ..types import ShardId
from ..types import Snapshot
from ..types import TargetId

Holdings = typing.Mapping[
    ShardId, typing.Mapping[TargetId, typing.Collection[Snapshot]]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Hold shards which the same targets can answer."""

    shards: tuple[ShardId, ...]
    candidates: tuple[TargetId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Pin:
    """Fix the shard map and the snapshot of one answer."""

    shard_map: ShardMap
    snapshot: Snapshot
    groups: tuple[Group, ...]
    without_replica: tuple[ShardId, ...] = ()
    without_snapshot: tuple[ShardId, ...] = ()

    @property
    def shards(self) -> int:
        """Return how many shards it concerns."""
        return (
            sum(len(group.shards) for group in self.groups)
            + len(self.without_replica)
            + len(self.without_snapshot)
        )

    @property
    def complete(self) -> bool:
        """Tell whether every shard has a replica at the snapshot."""
        return not self.without_replica and not self.without_snapshot


def pin(service: Service, holdings: Holdings) -> Pin | None:
    """Pin the newest map and snapshot which every shard can serve.

    Where no snapshot is served by all shards, pin the one that most shards
    serve. Return None where no shard reports any snapshot.
    """
    best: Pin | None = None
    maps = sorted(service.maps, key=lambda m: m.generation, reverse=True)
    for shard_map in maps:
        found = _pin_map(shard_map, holdings)
        if found is None:
            continue
        if found.complete:
            return found
        if best is None or _covered(found) > _covered(best):
            best = found
    return best


def narrow(pinned: Pin, shards: typing.Collection[ShardId]) -> Pin:
    """Keep of a pin what concerns the given shards."""
    groups = (
        Group(tuple(s for s in g.shards if s in shards), g.candidates)
        for g in pinned.groups
    )
    return Pin(
        pinned.shard_map,
        pinned.snapshot,
        tuple(g for g in groups if g.shards),
        tuple(s for s in pinned.without_replica if s in shards),
        tuple(s for s in pinned.without_snapshot if s in shards),
    )


def _covered(pinned: Pin) -> int:
    return sum(len(group.shards) for group in pinned.groups)


def _pin_map(shard_map: ShardMap, holdings: Holdings) -> Pin | None:
    counts: collections.Counter[Snapshot] = collections.Counter()
    for shard in shard_map.shards:
        held = holdings.get(shard.id, {})
        counts.update({s for versions in held.values() for s in versions})
    if not counts:
        return None
    snapshot = max(counts, key=lambda s: (counts[s], s))
    return _group(shard_map.shards, shard_map, snapshot, holdings)


def _group(
    shards: typing.Iterable[Shard],
    shard_map: ShardMap,
    snapshot: Snapshot,
    holdings: Holdings,
) -> Pin:
    members: dict[tuple[TargetId, ...], list[ShardId]] = {}
    without_replica: list[ShardId] = []
    without_snapshot: list[ShardId] = []
    for shard in shards:
        held = holdings.get(shard.id, {})
        candidates = tuple(
            sorted(t for t, versions in held.items() if snapshot in versions)
        )
        if candidates:
            members.setdefault(candidates, []).append(shard.id)
        elif held:
            without_snapshot.append(shard.id)
        else:
            without_replica.append(shard.id)
    return Pin(
        shard_map,
        snapshot,
        tuple(Group(tuple(ids), c) for c, ids in members.items()),
        tuple(without_replica),
        tuple(without_snapshot),
    )
