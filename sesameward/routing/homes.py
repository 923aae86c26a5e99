"""Assign each target to the few nodes that probe it, its home nodes."""

from __future__ import annotations

import array
import bisect
import collections
import collections.abc
import hashlib

from ..types import NodeId
from ..types import TargetId
from ..types import ZoneName

# Targets are hashed into this many buckets. Home nodes are computed per
# bucket, because this takes less time than computing them for each target.
BUCKETS = 1_024
BUCKET_BYTES = 4
WEIGHT_BYTES = 8

Weights = collections.abc.Sequence[int]
Ranked = tuple[int, NodeId]


def bucket_of(target: TargetId) -> int:
    """Return the hash bucket of a target.

    It depends only on the target's identifier, so all nodes compute the same
    bucket.
    """
    digest = hashlib.blake2b(target.encode(), digest_size=BUCKET_BYTES)
    return int.from_bytes(digest.digest(), 'big') % BUCKETS


def bucket_weights(node: NodeId) -> Weights:
    """Return the node's rendezvous hashing weight for each bucket."""
    data = hashlib.shake_128(node.encode()).digest(BUCKETS * WEIGHT_BYTES)
    return array.array('Q', data)


class Homes:
    """Choose the home nodes of each bucket by rendezvous hashing.

    Each zone contributes its nodes with the highest weights for the bucket.
    The number per zone is the lowest that gives min_homes homes in total. If
    there are no more than min_homes nodes, every node is home to every bucket.
    A node that does not know all members considers itself home to too many
    buckets, which only causes additional probes.
    """

    def __init__(self, node: NodeId, zone: ZoneName, min_homes: int):
        self._node = node
        self._min_homes = min_homes
        self._zones: dict[ZoneName, _Zone] = collections.defaultdict(_Zone)
        self._zone_by_node: dict[NodeId, ZoneName] = {}
        self._nodes_per_zone = 1
        self.add(node, zone)

    def __len__(self) -> int:
        return len(self._zone_by_node)

    def add(self, node: NodeId, zone: ZoneName) -> None:
        """Add a node, or move it if its zone has changed."""
        if self._zone_by_node.get(node) == zone:
            return
        self._remove_member(node)
        self._zone_by_node[node] = zone
        self._zones[zone].add(node)
        self._nodes_per_zone = self._required_nodes_per_zone()

    def remove(self, node: NodeId) -> None:
        """Remove a node, unless it is the node of this process."""
        if node != self._node:
            self._remove_member(node)
            self._nodes_per_zone = self._required_nodes_per_zone()

    def homes_of(self, bucket: int) -> list[NodeId]:
        """Return the home nodes of a bucket."""
        return [
            node
            for zone in self._zones.values()
            for _, node in zone.heaviest(self._nodes_per_zone)[bucket]
        ]

    def own_buckets(self) -> frozenset[int]:
        """Return the buckets of which this node is a home."""
        zone = self._zones[self._zone_by_node[self._node]]
        return frozenset(zone.buckets_of(self._node, self._nodes_per_zone))

    def _remove_member(self, node: NodeId) -> None:
        zone_name = self._zone_by_node.pop(node, None)
        if zone_name is None:
            return
        zone = self._zones[zone_name]
        zone.remove(node)
        if not zone.nodes:
            del self._zones[zone_name]

    def _required_nodes_per_zone(self) -> int:
        sizes = [len(zone.nodes) for zone in self._zones.values()]
        min_homes = min(self._min_homes, sum(sizes))
        nodes_per_zone = 1
        while sum(min(nodes_per_zone, size) for size in sizes) < min_homes:
            nodes_per_zone += 1
        return nodes_per_zone


class _Zone:
    """Rank the nodes of one zone by weight for each bucket.

    The ranking is computed on first use; later changes of nodes update it.
    """

    def __init__(self):
        self.nodes: set[NodeId] = set()
        self._nodes_per_zone = 0
        self._heaviest: list[list[Ranked]] = []

    def heaviest(self, nodes_per_zone: int) -> list[list[Ranked]]:
        if nodes_per_zone != self._nodes_per_zone:
            self._nodes_per_zone = nodes_per_zone
            self._heaviest = [[] for _ in range(BUCKETS)]
            self._rank_nodes(range(BUCKETS))
        return self._heaviest

    def buckets_of(self, node: NodeId, nodes_per_zone: int) -> list[int]:
        return [
            bucket
            for bucket, ranked in enumerate(self.heaviest(nodes_per_zone))
            if any(ranked_node == node for _, ranked_node in ranked)
        ]

    def add(self, node: NodeId) -> None:
        self.nodes.add(node)
        if self._nodes_per_zone:
            self._rank_node(node, range(BUCKETS))

    def remove(self, node: NodeId) -> None:
        self.nodes.discard(node)
        if not self._nodes_per_zone:
            return
        buckets = self.buckets_of(node, self._nodes_per_zone)
        for bucket in buckets:
            self._heaviest[bucket] = []
        self._rank_nodes(buckets)

    def _rank_nodes(self, buckets: collections.abc.Collection[int]) -> None:
        if not buckets:
            return
        for node in self.nodes:
            self._rank_node(node, buckets)

    def _rank_node(
        self, node: NodeId, buckets: collections.abc.Iterable[int]
    ) -> None:
        weights = bucket_weights(node)
        for bucket in buckets:
            ranked = self._heaviest[bucket]
            weight = weights[bucket]
            if len(ranked) == self._nodes_per_zone:
                if (weight, node) <= ranked[0]:
                    continue
                del ranked[0]
            bisect.insort(ranked, (weight, node))
