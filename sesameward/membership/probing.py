"""Choose which member is probed next."""

from __future__ import annotations

import random

from ..types import NodeId

MAX_FIXED_ORDER = 4


class Pool:
    """Deal out the probed members in a random order, each once a round."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._nodes: list[NodeId] = []
        self._index: dict[NodeId, int] = {}
        self._round: list[NodeId] = []

    def __len__(self) -> int:
        return len(self._nodes)

    def add(self, node: NodeId) -> None:
        """Put a node somewhere into the present round."""
        if node in self._index:
            return
        self._index[node] = len(self._nodes)
        self._nodes.append(node)
        place = self._rng.randint(0, len(self._round))
        self._round.insert(place, node)

    def fill(self, nodes: list[NodeId]) -> None:
        """Replace all nodes."""
        self._nodes = nodes
        self._index = {node: index for index, node in enumerate(nodes)}
        self._round = []

    def remove(self, node: NodeId) -> None:
        """Take a node out."""
        index = self._index.pop(node, None)
        if index is None:
            return
        last = self._nodes.pop()
        if last != node:
            self._nodes[index] = last
            self._index[last] = index

    def next(self) -> NodeId | None:
        """Return the node to probe next."""
        if not self._nodes:
            return None
        while True:
            if not self._round:
                self._round = list(self._nodes)
                if len(self._round) > MAX_FIXED_ORDER:
                    self._rng.shuffle(self._round)
            node = self._round.pop()
            if node in self._index:
                return node

    def sample(self, count: int, but: NodeId = NodeId('')) -> list[NodeId]:
        more = min(count + 1, len(self._nodes))
        nodes = self._rng.sample(self._nodes, more)
        return [node for node in nodes if node != but][:count]
