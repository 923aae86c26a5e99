"""Decide which agents watch the store and from whom the rest pull."""

from __future__ import annotations

import collections.abc
import random

from ..messages import Member
from ..rendezvous import pick
from ..types import NodeId
from ..types import ZoneName

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
        self._members: collections.abc.Sequence[Member] = ()
        self._ranked: list[NodeId] = [node]
        self._others: dict[NodeId, Member] = {}

    def watches(self, members: collections.abc.Sequence[Member]) -> bool:
        """Tell whether this agent watches the store."""
        return self._node in self._rank(members)[: self._watchers]

    def parent(
        self, members: collections.abc.Sequence[Member], origin: NodeId
    ) -> Member | None:
        """Return the agent to pull a new revision from."""
        ranked = self._rank(members)
        rank = ranked.index(self._node)
        if rank < self._watchers:
            return self._others.get(origin)
        above = ranked[(rank - self._watchers) // FANOUT]
        return self._others.get(above) or self._others.get(origin)

    def others(
        self, members: collections.abc.Sequence[Member], count: int
    ) -> list[Member]:
        """Return a few other members at random."""
        sample = self._rng.sample(members, min(count + 1, len(members)))
        return [m for m in sample if m.node != self._node][:count]

    def _rank(self, members: collections.abc.Sequence[Member]) -> list[NodeId]:
        # A tuple can't change, so its ranking holds while it is the same.
        if members is self._members and isinstance(members, tuple):
            return self._ranked
        nodes = {m.node for m in members if m.zone == self._zone}
        nodes.add(self._node)
        self._members = members
        self._others = {m.node: m for m in members if m.node != self._node}
        self._ranked = pick(f'config:{self._zone}', nodes, len(nodes))
        return self._ranked


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
