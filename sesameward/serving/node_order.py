"""Order the nodes that keep one kind of objects current.

Load pattern: a change leaves all nodes without the same objects at the same
moment. If each asked the node that has read them, that node's link would
carry them once for each other node, and most of that between zones. So one
node of each zone asks the reader, and the others of the zone ask one another
along a tree.
"""

from __future__ import annotations

import collections.abc

from ..messages import Member
from ..rendezvous import pick
from ..types import NodeId

# Nodes that ask one other: a zone of 75 nodes needs three steps, one of 1,200
# four, and each step takes some milliseconds.
FAN_OUT = 8

Members = collections.abc.Sequence[Member]


class NodeOrder:
    """Keep the order of one kind until a member changes."""

    def __init__(self, kind: str, node: NodeId):
        self._kind = kind
        self._node = node
        self._members: Members | None = None
        self._by_node: dict[NodeId, Member] = {}
        self._ranks: dict[NodeId, int] = {}
        self._near: list[NodeId] = []

    def rank(self, members: Members) -> tuple[int, int]:
        """Return this node's place and how many nodes there are."""
        self._update(members)
        return self._ranks[self._node], len(self._ranks)

    def is_before(self, node: NodeId, members: Members) -> bool:
        """Tell whether another node comes before this one."""
        rank, count = self.rank(members)
        return self._ranks.get(node, count) < rank

    def member(self, node: NodeId, members: Members) -> Member | None:
        """Return a member that is there."""
        self._update(members)
        return self._by_node.get(node)

    def source(self, reader: NodeId, members: Members) -> Member | None:
        """Return whom to ask for what the reader has read."""
        self._update(members)
        near = [node for node in self._near if node != reader]
        if reader in self._near:
            near.insert(0, reader)
        at = near.index(self._node) if self._node in near else 0
        if at == 0:
            return self._by_node.get(reader)
        return self._by_node.get(near[(at - 1) // FAN_OUT])

    def near(self, members: Members) -> list[Member]:
        """Return the other nodes of this node's zone."""
        self._update(members)
        return [
            self._by_node[node] for node in self._near if node != self._node
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
        self._near = [
            node
            for node in ranked
            if own is not None
            and node in self._by_node
            and self._by_node[node].zone == own.zone
        ]
