"""Choose the member that the failure detector probes next."""

from __future__ import annotations

import random

from ..types import NodeId

# Up to this many members are probed in the same order in each round, so that
# the interval between two probes of a member stays the same.
MAX_UNSHUFFLED_PEERS = 4


class PeerPool:
    """Hold the other live members; return each once per round of probes."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._nodes: list[NodeId] = []
        self._index_of: dict[NodeId, int] = {}
        self._remaining: list[NodeId] = []

    def __len__(self) -> int:
        return len(self._nodes)

    def add(self, node: NodeId) -> None:
        """Add a node at a random position of the current round."""
        if node in self._index_of:
            return
        self._index_of[node] = len(self._nodes)
        self._nodes.append(node)
        position = self._rng.randint(0, len(self._remaining))
        self._remaining.insert(position, node)

    def set_nodes(self, nodes: list[NodeId]) -> None:
        """Replace all nodes and start a new round."""
        self._nodes = nodes
        self._index_of = {node: index for index, node in enumerate(nodes)}
        self._remaining = []

    def remove(self, node: NodeId) -> None:
        """Remove a node; the current round skips it."""
        index = self._index_of.pop(node, None)
        if index is None:
            return
        last = self._nodes.pop()
        if last != node:
            self._nodes[index] = last
            self._index_of[last] = index

    def next_node(self) -> NodeId | None:
        """Return the node to probe next, or None if the pool is empty."""
        if not self._nodes:
            return None
        while True:
            if not self._remaining:
                self._remaining = list(self._nodes)
                if len(self._remaining) > MAX_UNSHUFFLED_PEERS:
                    self._rng.shuffle(self._remaining)
            node = self._remaining.pop()
            if node in self._index_of:
                return node

    def sample(self, count: int, exclude: NodeId = NodeId('')) -> list[NodeId]:
        """Return up to count random nodes, without the excluded node."""
        sample_size = min(count + 1, len(self._nodes))
        nodes = self._rng.sample(self._nodes, sample_size)
        return [node for node in nodes if node != exclude][:count]
