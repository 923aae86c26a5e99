"""Divide the targets among nodes, which probe only their own ones."""

from __future__ import annotations

import array
import bisect
import collections
import collections.abc
import hashlib

from ..types import NodeId
from ..types import TargetId
from ..types import ZoneName

BUCKETS = 1_024
BUCKET_BYTES = 4
WEIGHT_BYTES = 8

Weights = collections.abc.Sequence[int]
Ranked = tuple[int, NodeId]


def bucket_of(target: TargetId) -> int:
    """Return the bucket of a target; it never changes."""
    digest = hashlib.blake2b(target.encode(), digest_size=BUCKET_BYTES)
    return int.from_bytes(digest.digest(), 'big') % BUCKETS


def weigh(node: NodeId) -> Weights:
    """Return the rendezvous weight of a node for each bucket."""
    data = hashlib.shake_128(node.encode()).digest(BUCKETS * WEIGHT_BYTES)
    return array.array('Q', data)


class Homes:
    """Choose the home nodes of each bucket by rendezvous hashing.

    Each zone gives its heaviest nodes, as many in each zone as it takes to
    have at least the wanted number of homes; so a fleet of no more nodes is
    home to all. Nodes need not agree on the members: one that misses some
    takes itself for home more often, which costs only surplus probes.
    """

    def __init__(self, node: NodeId, zone: ZoneName, wanted: int):
        self._node = node
        self._wanted = wanted
        self._zones: dict[ZoneName, _Zone] = collections.defaultdict(_Zone)
        self._zone_of: dict[NodeId, ZoneName] = {}
        self._depth = 1
        self.add(node, zone)

    def __len__(self) -> int:
        return len(self._zone_of)

    def add(self, node: NodeId, zone: ZoneName) -> None:
        """Take in a member, which may have changed its zone."""
        if self._zone_of.get(node) == zone:
            return
        self._drop(node)
        self._zone_of[node] = zone
        self._zones[zone].add(node)
        self._depth = self._needed_depth()

    def remove(self, node: NodeId) -> None:
        """Take out a member; the own node stays."""
        if node != self._node:
            self._drop(node)
            self._depth = self._needed_depth()

    def of(self, bucket: int) -> list[NodeId]:
        """Return the homes of a bucket."""
        return [
            node
            for zone in self._zones.values()
            for _, node in zone.heaviest(self._depth)[bucket]
        ]

    def own(self) -> frozenset[int]:
        """Return the buckets to which this node is home."""
        zone = self._zones[self._zone_of[self._node]]
        return frozenset(zone.buckets_of(self._node, self._depth))

    def _drop(self, node: NodeId) -> None:
        zone_name = self._zone_of.pop(node, None)
        if zone_name is None:
            return
        zone = self._zones[zone_name]
        zone.remove(node)
        if not zone.nodes:
            del self._zones[zone_name]

    def _needed_depth(self) -> int:
        sizes = [len(zone.nodes) for zone in self._zones.values()]
        wanted = min(self._wanted, sum(sizes))
        depth = 1
        while sum(min(depth, size) for size in sizes) < wanted:
            depth += 1
        return depth


class _Zone:
    """Rank the nodes of one zone for each bucket once that is asked for."""

    def __init__(self):
        self.nodes: set[NodeId] = set()
        self._depth = 0
        self._heaviest: list[list[Ranked]] = []

    def heaviest(self, depth: int) -> list[list[Ranked]]:
        if depth != self._depth:
            self._depth = depth
            self._heaviest = [[] for _ in range(BUCKETS)]
            self._offer_all(range(BUCKETS))
        return self._heaviest

    def buckets_of(self, node: NodeId, depth: int) -> list[int]:
        return [
            bucket
            for bucket, ranked in enumerate(self.heaviest(depth))
            if any(found == node for _, found in ranked)
        ]

    def add(self, node: NodeId) -> None:
        self.nodes.add(node)
        if self._depth:
            self._offer(node, range(BUCKETS))

    def remove(self, node: NodeId) -> None:
        self.nodes.discard(node)
        if not self._depth:
            return
        buckets = self.buckets_of(node, self._depth)
        for bucket in buckets:
            self._heaviest[bucket] = []
        self._offer_all(buckets)

    def _offer_all(self, buckets: collections.abc.Collection[int]) -> None:
        if not buckets:
            return
        for node in self.nodes:
            self._offer(node, buckets)

    def _offer(
        self, node: NodeId, buckets: collections.abc.Iterable[int]
    ) -> None:
        weights = weigh(node)
        for bucket in buckets:
            ranked = self._heaviest[bucket]
            weight = weights[bucket]
            if len(ranked) == self._depth:
                if (weight, node) <= ranked[0]:
                    continue
                del ranked[0]
            bisect.insort(ranked, (weight, node))
