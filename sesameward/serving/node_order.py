"""Rank the nodes for one kind of objects, and decide who pulls from whom.

Load pattern: after a change all nodes lack the same objects at the same
moment. If each pulled from the node that has read them, that node would send
them once for each other node, most of it between zones. So one node of each
zone pulls from the reader, and the other nodes of the zone pull from each
other along a tree.
"""

from __future__ import annotations

import collections.abc

from ..messages import Member
from ..rendezvous import pick
from ..types import NodeId

# Number of nodes of a zone that pull from the same node. With 8 a zone of 75
# nodes needs three steps and one of 1,200 four; a step takes some
# milliseconds.
MAX_PULLERS_PER_NODE = 8

Members = collections.abc.Sequence[Member]


class NodeOrder:
    """Rank all nodes for one kind of objects by rendezvous hashing.

    All nodes with the same members compute the same ranks. They are computed
    again only when the members have changed.
    """

    def __init__(self, kind: str, node: NodeId):
        self._kind = kind
        self._node = node
        self._members: Members | None = None
        self._by_node: dict[NodeId, Member] = {}
        self._ranks: dict[NodeId, int] = {}
        self._zone_nodes: list[NodeId] = []

    def rank(self, members: Members) -> tuple[int, int]:
        """Return this node's rank, from 0, and the number of nodes."""
        self._update(members)
        return self._ranks[self._node], len(self._ranks)

    def ranks_before(self, node: NodeId, members: Members) -> bool:
        """Return whether another node has a lower rank than this one."""
        rank, count = self.rank(members)
        return self._ranks.get(node, count) < rank

    def member(self, node: NodeId, members: Members) -> Member | None:
        """Return the member with a node's name, or None if it is gone."""
        self._update(members)
        return self._by_node.get(node)

    def pull_source(self, reader: NodeId, members: Members) -> Member | None:
        """Return the member to pull from after reader has read the store."""
        self._update(members)
        in_zone = [node for node in self._zone_nodes if node != reader]
        if reader in self._zone_nodes:
            in_zone.insert(0, reader)
        at = in_zone.index(self._node) if self._node in in_zone else 0
        if at == 0:
            return self._by_node.get(reader)
        return self._by_node.get(in_zone[(at - 1) // MAX_PULLERS_PER_NODE])

    def zone_peers(self, members: Members) -> list[Member]:
        """Return the other members in this node's zone, lowest rank first."""
        self._update(members)
        return [
            self._by_node[node]
            for node in self._zone_nodes
            if node != self._node
        ]

    def _update(self, members: Members) -> None:
        if members is self._members:
            return
        self._members = members
        self._by_node = {member.node: member for member in members}
        nodes = {m.node for m in members if not m.leaving} | {self._node}
        ranked = pick(f'mirror:{self._kind}', nodes, len(nodes))
        self._ranks = {node: rank for rank, node in enumerate(ranked)}
        own = self._by_node.get(self._node)
        self._zone_nodes = [
            node
            for node in ranked
            if own is not None
            and node in self._by_node
            and self._by_node[node].zone == own.zone
        ]
