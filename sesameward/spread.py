"""Decide which agents watch the store and from whom the rest pull."""

from __future__ import annotations

import collections.abc
import random

from .messages import Member
from .rendezvous import pick
from .types import NodeId
from .types import ZoneName

FANOUT = 8


class Spread:
    """Arrange the agents of a zone as a tree below its watchers.

    Agents may disagree on the members: a wrong parent costs a retry with
    another agent, a surplus watcher costs a watch.
    """

    def __init__(
        self, node: NodeId, zone: ZoneName, watchers: int, rng: random.Random
    ):
        self._node = node
        self._zone = zone
        self._watchers = watchers
        self._rng = rng

    def watches(self, members: collections.abc.Iterable[Member]) -> bool:
        """Tell whether this agent watches the store."""
        return self._node in pick(
            self._key, self._neighbours(members), self._watchers
        )

    def parent(
        self, members: collections.abc.Sequence[Member], origin: NodeId
    ) -> Member | None:
        """Return the agent to pull a new revision from."""
        by_node = {m.node: m for m in members if m.node != self._node}
        nodes = self._neighbours(members)
        ranked = pick(self._key, nodes, len(nodes))
        rank = ranked.index(self._node)
        if rank < self._watchers:
            return by_node.get(origin)
        above = ranked[(rank - self._watchers) // FANOUT]
        return by_node.get(above) or by_node.get(origin)

    def others(
        self, members: collections.abc.Sequence[Member], count: int
    ) -> list[Member]:
        """Return a few other members at random."""
        others = [m for m in members if m.node != self._node]
        return self._rng.sample(others, min(count, len(others)))

    @property
    def _key(self) -> str:
        return f'config-watch:{self._zone}'

    def _neighbours(
        self, members: collections.abc.Iterable[Member]
    ) -> set[NodeId]:
        return {m.node for m in members if m.zone == self._zone} | {self._node}


class Backoff:
    """Choose pauses with full jitter between failed tries."""

    def __init__(self, rng: random.Random, base_s: float, cap_s: float):
        self._rng = rng
        self._base_s = base_s
        self._cap_s = cap_s
        self._tries = 0

    def next_s(self) -> float:
        """Return the pause before the next try."""
        ceiling_s = min(self._cap_s, self._base_s * 2.0**self._tries)
        self._tries = min(self._tries + 1, 32)
        return self._rng.uniform(0.0, ceiling_s)

    def reset(self) -> None:
        """Start again after a success."""
        self._tries = 0
