"""Rank the nodes for one kind of store objects; decide who pulls from whom.

Load pattern: after a change all nodes lack the same objects at the same
moment. If each pulled them from the node that has read the store (the
reader), that node would send them to every other node, mostly across zones.
So one node of each zone pulls from the reader, and the other nodes of the
zone pull from each other along a tree.
"""

from __future__ import annotations

import collections.abc

from ..messages import Member
from ..rendezvous import pick
from ..types import NodeId

# Largest number of nodes of a zone that pull from the same node of the zone.
# With 8, a change reaches the last of 75 nodes after three pulls in a row and
# the last of 1,200 after four; a pull takes some milliseconds.
MAX_PULLERS_PER_NODE = 8

Members = collections.abc.Sequence[Member]


class NodeOrder:
    """Rank all nodes for one kind of store objects, by rendezvous hashing.

    The node of rank 0 normally reads the store; the ranks also decide from
    which node each node pulls. All nodes that know the same members compute
    the same ranks. The ranks are computed again only when the members have
    changed.
    """

    def __init__(self, kind: str, node: NodeId):
        self._kind = kind
        self._node = node
        self._members: Members | None = None
        self._by_node: dict[NodeId, Member] = {}
        self._ranks: dict[NodeId, int] = {}
        self._zone_nodes: list[NodeId] = []

    def rank(self, members: Members) -> tuple[int, int]:
        """Return this node's rank, from 0, and the number of ranked nodes."""
        self._update(members)
        return self._ranks[self._node], len(self._ranks)

    def ranks_before(self, node: NodeId, members: Members) -> bool:
        """Return True if the given node has a lower rank than this node."""
        rank, count = self.rank(members)
        return self._ranks.get(node, count) < rank

    def member(self, node: NodeId, members: Members) -> Member | None:
        """Return the member with a node's name, or None if there is none."""
        self._update(members)
        return self._by_node.get(node)

    def pull_source(self, reader: NodeId, members: Members) -> Member | None:
        """Return the member from which this node pulls.

        reader is the node that has read the store. None means that the member
        to pull from is no longer known.
        """
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
