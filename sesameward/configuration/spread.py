"""Choose which agents watch the store and from which the rest pull."""

from __future__ import annotations

import collections.abc
import random

from ..messages import Member
from ..rendezvous import pick
from ..types import NodeId
from ..types import ZoneName

FANOUT = 8


class PullTree:
    """Arrange the agents of a zone as a tree for distributing objects.

    The agents at the top watch the store; every other agent pulls from its
    parent. Each agent computes the tree from the members that it knows, so
    agents may disagree for a while. A wrong parent then costs a retry with
    another agent; a surplus watcher costs the store one more watch.
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
        self._peers: dict[NodeId, Member] = {}

    def watches(self, members: collections.abc.Sequence[Member]) -> bool:
        """Return whether this agent should watch the store."""
        return self._node in self._rank(members)[: self._watchers]

    def parent(
        self, members: collections.abc.Sequence[Member], origin: NodeId
    ) -> Member | None:
        """Return the agent to pull a new revision from, or None.

        A watcher pulls from origin, the agent that announced the revision.
        Other agents pull from their parent in the tree, or from origin if the
        parent is not a member. Return None if origin is not a member either.
        """
        ranked = self._rank(members)
        rank = ranked.index(self._node)
        if rank < self._watchers:
            return self._peers.get(origin)
        above = ranked[(rank - self._watchers) // FANOUT]
        return self._peers.get(above) or self._peers.get(origin)

    def sample_others(
        self, members: collections.abc.Sequence[Member], count: int
    ) -> list[Member]:
        """Return up to count other members, chosen at random."""
        sample = self._rng.sample(members, min(count + 1, len(members)))
        return [m for m in sample if m.node != self._node][:count]

    def _rank(self, members: collections.abc.Sequence[Member]) -> list[NodeId]:
        # If members is the same tuple as in the last call, it can't have
        # changed, so the last ranking is still valid.
        if members is self._members and isinstance(members, tuple):
            return self._ranked
        nodes = {m.node for m in members if m.zone == self._zone}
        nodes.add(self._node)
        self._members = members
        self._peers = {m.node: m for m in members if m.node != self._node}
        self._ranked = pick(f'config:{self._zone}', nodes, len(nodes))
        return self._ranked


class Backoff:
    """Compute exponentially growing pauses with full jitter for retries."""

    def __init__(self, rng: random.Random, base_s: float, cap_s: float):
        self._rng = rng
        self._base_s = base_s
        self._cap_s = cap_s
        self._attempts = 0

    def next_s(self) -> float:
        """Return the pause before the next attempt, in seconds."""
        ceiling_s = min(self._cap_s, self._base_s * 2.0**self._attempts)
        self._attempts = min(self._attempts + 1, 32)
        return self._rng.uniform(0.0, ceiling_s)

    def reset(self) -> None:
        """Return to the shortest pauses after a successful attempt."""
        self._attempts = 0
