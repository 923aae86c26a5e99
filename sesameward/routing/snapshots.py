"""Choose the shard map and the snapshot with which a query is answered."""

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

# For each shard, the targets that hold it, and for each of these targets the
# snapshots at which it holds the shard.
Holdings = typing.Mapping[
    ShardId, typing.Mapping[TargetId, typing.Collection[Snapshot]]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Hold shards whose pinned snapshot is held by the same targets.

    Any of the candidates can serve all of the shards.
    """

    shards: tuple[ShardId, ...]
    candidates: tuple[TargetId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Pin:
    """Hold the shard map, the snapshot and the replicas chosen for one query.

    without_replica lists the shards that no target holds, without_snapshot
    the shards that targets hold only at other snapshots.
    """

    shard_map: ShardMap
    snapshot: Snapshot
    groups: tuple[Group, ...]
    without_replica: tuple[ShardId, ...] = ()
    without_snapshot: tuple[ShardId, ...] = ()

    @property
    def shards(self) -> int:
        """Return the number of shards, including those without a target."""
        return (
            sum(len(group.shards) for group in self.groups)
            + len(self.without_replica)
            + len(self.without_snapshot)
        )

    @property
    def complete(self) -> bool:
        """Return whether every shard is held by a target at the snapshot."""
        return not self.without_replica and not self.without_snapshot


def pin(service: Service, holdings: Holdings) -> Pin | None:
    """Choose the newest shard map whose shards are all held at one snapshot.

    Of several such snapshots, choose the newest. If there is no such map,
    choose the map and snapshot with which the most shards can be served.
    Return None if no target holds any snapshot.
    """
    best: Pin | None = None
    maps = sorted(service.maps, key=lambda m: m.generation, reverse=True)
    for shard_map in maps:
        candidate = _pin_for_map(shard_map, holdings)
        if candidate is None:
            continue
        if candidate.complete:
            return candidate
        if best is None or _count_servable(candidate) > _count_servable(best):
            best = candidate
    return best


def narrow(pinned: Pin, shards: typing.Collection[ShardId]) -> Pin:
    """Return a copy of the pin that contains only the given shards."""
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


def _count_servable(pinned: Pin) -> int:
    return sum(len(group.shards) for group in pinned.groups)


def _pin_for_map(shard_map: ShardMap, holdings: Holdings) -> Pin | None:
    counts: collections.Counter[Snapshot] = collections.Counter()
    for shard in shard_map.shards:
        held_by_target = holdings.get(shard.id, {})
        counts.update(
            {s for versions in held_by_target.values() for s in versions}
        )
    if not counts:
        return None
    snapshot = max(counts, key=lambda s: (counts[s], s))
    return _group_shards(shard_map.shards, shard_map, snapshot, holdings)


def _group_shards(
    shards: typing.Iterable[Shard],
    shard_map: ShardMap,
    snapshot: Snapshot,
    holdings: Holdings,
) -> Pin:
    members: dict[tuple[TargetId, ...], list[ShardId]] = {}
    without_replica: list[ShardId] = []
    without_snapshot: list[ShardId] = []
    for shard in shards:
        held_by_target = holdings.get(shard.id, {})
        candidates = tuple(
            sorted(
                t
                for t, versions in held_by_target.items()
                if snapshot in versions
            )
        )
        if candidates:
            members.setdefault(candidates, []).append(shard.id)
        elif held_by_target:
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
