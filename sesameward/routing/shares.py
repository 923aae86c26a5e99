"""Divide a server's connections among the VMs which may hold them."""

from __future__ import annotations

import collections.abc
import random

from ..types import NodeId
from ..types import TargetId

GONE_S = 10.0
NEVER_LISTED_S = 14_400.0
PROVISIONAL_HOLDERS = 2
CONNECT_LOAD = 0.05


def connection_share(
    limit: int, holders: int, entries: int, reserve: float
) -> int:
    """Return how many connections to a server one entry may hold."""
    divided = int(limit * (1.0 - reserve) + 1e-9)
    return divided // (max(holders, 1) * max(entries, 1))


def provisional_share(
    limit: int, holders: int, entries: int, reserve: float
) -> int:
    """Return an entry's share while some holders do not count its VM."""
    kept = limit - int(limit * (1.0 - reserve) + 1e-9)
    part = kept // (PROVISIONAL_HOLDERS * max(entries, 1))
    return min(part, connection_share(limit, holders, entries, reserve))


class HolderCount:
    """Count the VMs which may hold connections, whoever seems dead."""

    def __init__(self, node: NodeId):
        self._node = node
        self._listed: set[NodeId] = set()
        self._seen: set[NodeId] = {node}
        self._absent_since: dict[NodeId, float] = {}
        self._unlisted_since: dict[NodeId, float] = {}
        self._first_list: frozenset[NodeId] | None = None
        self._counted_by: set[NodeId] = set()
        self._full: set[NodeId] = set()

    @property
    def holders(self) -> frozenset[NodeId]:
        """Return the VMs which this VM counts; it gossips them."""
        return frozenset(self._seen | self._listed)

    @property
    def full(self) -> bool:
        """Tell whether every holder is known to count this VM."""
        if self._first_list is None:
            return False
        return self.holders <= self._counted_by | {self._node}

    def seen(self, node: NodeId) -> None:
        """Take in that membership knows a VM, in whatever state."""
        self._seen.add(node)

    def left(self, node: NodeId) -> None:
        """Take in a VM's own word that it holds no connection any more."""
        if node != self._node:
            self._drop(node)

    def told(
        self,
        node: NodeId,
        holders: collections.abc.Collection[NodeId],
        full: bool,
    ) -> None:
        """Take in which holders another VM counts by now."""
        self._seen.add(node)
        if self._node in holders:
            self._counted_by.add(node)
        if full:
            self._full.add(node)

    def listed(
        self,
        nodes: collections.abc.Collection[NodeId],
        alive: collections.abc.Collection[NodeId],
        now: float,
    ) -> None:
        """Take in a fresh VM list and who is alive by membership."""
        alive = frozenset(alive)
        before = self._listed | set(self._absent_since)
        self._listed = set(nodes)
        self._seen |= self._listed
        if self._first_list is None and self._node in self._listed:
            self._first_list = frozenset(self._listed)
        for node in before:
            self._check(node, node in alive, now)
        for node in self._seen - self._listed - set(self._absent_since):
            self._check_unlisted(node, node in alive, now)

    def share(self, limit: int, entries: int, reserve: float) -> int:
        """Return how many connections to a server an entry may hold."""
        count = len(self.holders)
        if self.full:
            return connection_share(limit, count, entries, reserve)
        if self._rank() < PROVISIONAL_HOLDERS:
            return provisional_share(limit, count, entries, reserve)
        return 0

    def grows_at(self) -> float | None:
        """Return when the next absent VM may be given up; None if none."""
        if not self._absent_since:
            return None
        return min(self._absent_since.values()) + GONE_S

    def _rank(self) -> int:
        # A later VM finds every earlier one in the first list that has
        # itself, so that no two VMs take the same part of the reserve.
        if self._first_list is None:
            return PROVISIONAL_HOLDERS
        earlier = self._first_list & self.holders
        return len(earlier - self._full - {self._node})

    def _check(self, node: NodeId, alive: bool, now: float) -> None:
        if node == self._node:
            return
        if node in self._listed or alive:
            self._absent_since.pop(node, None)
            return
        since = self._absent_since.setdefault(node, now)
        if now - since >= GONE_S:
            self._drop(node)

    def _check_unlisted(self, node: NodeId, alive: bool, now: float) -> None:
        # A list that lags may still show the VM, so this takes long.
        if alive or node == self._node:
            self._unlisted_since.pop(node, None)
            return
        since = self._unlisted_since.setdefault(node, now)
        if now - since >= NEVER_LISTED_S:
            self._drop(node)

    def _drop(self, node: NodeId) -> None:
        self._listed.discard(node)
        self._seen.discard(node)
        self._counted_by.discard(node)
        self._full.discard(node)
        self._absent_since.pop(node, None)
        self._unlisted_since.pop(node, None)


class WarmPolicy:
    """Bound the new connections a second to each server."""

    def __init__(self, rng: random.Random, load: float = CONNECT_LOAD):
        self._rng = rng
        self._load = load
        self._next_at: dict[TargetId, float] = {}

    def grant(
        self,
        target: TargetId,
        connect_ms: float,
        openers: int,
        now: float,
    ) -> bool:
        """Tell whether one connection may be opened now."""
        next_at = self._next_at.get(target)
        if next_at is None:
            self._next_at[target] = now
        elif now < next_at:
            return False
        interval_s = connect_ms / 1_000.0 / self._load * max(openers, 1)
        self._next_at[target] = now + interval_s * self._rng.uniform(1.0, 1.5)
        return True

    def ready_at(self, target: TargetId) -> float:
        """Return when the next connection may be opened."""
        return self._next_at.get(target, 0.0)

    def forget(self, target: TargetId) -> None:
        """Drop a target."""
        self._next_at.pop(target, None)
