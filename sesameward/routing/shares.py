"""Divide the connection limit of each server among the entry VMs."""

from __future__ import annotations

import collections.abc
import random

from ..types import NodeId
from ..types import TargetId

# A VM that has vanished from the VM list, and is not alive by membership, is
# removed from the count after this time.
ABSENT_REMOVAL_S = 10.0
# A VM that was never in the VM list is removed after this time. It is long, as
# the list may lag.
UNLISTED_REMOVAL_S = 14_400.0
# Number of new VMs that may use the reserve at the same time.
MAX_PROVISIONAL_HOLDERS = 2
# Limit on the part of its time that a server spends on accepting connections.
CONNECT_TIME_FRACTION = 0.05


def connection_share(
    limit: int, holders: int, entries: int, reserve: float
) -> int:
    """Return the number of connections to a server that an entry may hold.

    limit is the server's limit, holders the number of VMs, entries the number
    of entries on each VM, and reserve the part of the limit kept free.
    """
    available = int(limit * (1.0 - reserve) + 1e-9)
    return available // (max(holders, 1) * max(entries, 1))


def provisional_share(
    limit: int, holders: int, entries: int, reserve: float
) -> int:
    """Return the share of an entry whose VM is not yet counted by all VMs.

    It is taken from the reserve, since the others may use all the rest.
    """
    reserved = limit - int(limit * (1.0 - reserve) + 1e-9)
    provisional = reserved // (MAX_PROVISIONAL_HOLDERS * max(entries, 1))
    return min(provisional, connection_share(limit, holders, entries, reserve))


class HolderCount:
    """Count the VMs that may hold connections to servers.

    A VM that seems dead may still hold connections, so it is counted until
    it says that it has left, or the VM list confirms its absence. Each VM
    gossips which VMs it counts. A VM uses its full share only when all others
    count it, so that the shares never add up to more than the limit.
    """

    def __init__(self, node: NodeId):
        self._node = node
        self._listed: set[NodeId] = set()
        self._seen: set[NodeId] = {node}
        self._absent_since: dict[NodeId, float] = {}
        self._unlisted_since: dict[NodeId, float] = {}
        self._first_own_list: frozenset[NodeId] | None = None
        self._counted_by: set[NodeId] = set()
        self._reported_full: set[NodeId] = set()

    @property
    def holders(self) -> frozenset[NodeId]:
        """Return the VMs that this VM counts, including itself."""
        return frozenset(self._seen | self._listed)

    @property
    def full(self) -> bool:
        """Return whether every counted VM is known to count this one."""
        if self._first_own_list is None:
            return False
        return self.holders <= self._counted_by | {self._node}

    def seen(self, node: NodeId) -> None:
        """Count a VM that is known by membership, in any state."""
        self._seen.add(node)

    def left(self, node: NodeId) -> None:
        """Remove a VM that announced that it holds no more connections."""
        if node != self._node:
            self._remove(node)

    def told(
        self,
        node: NodeId,
        holders: collections.abc.Collection[NodeId],
        full: bool,
    ) -> None:
        """Record which VMs another VM counts, and whether all count it."""
        self._seen.add(node)
        if self._node in holders:
            self._counted_by.add(node)
        if full:
            self._reported_full.add(node)

    def listed(
        self,
        nodes: collections.abc.Collection[NodeId],
        alive: collections.abc.Collection[NodeId],
        now: float,
    ) -> None:
        """Apply a new VM list, with the VMs that are alive by membership.

        VMs that are missing from the list for long enough are removed, unless
        they are alive.
        """
        alive = frozenset(alive)
        previously_listed = self._listed | set(self._absent_since)
        self._listed = set(nodes)
        self._seen |= self._listed
        if self._first_own_list is None and self._node in self._listed:
            self._first_own_list = frozenset(self._listed)
        for node in previously_listed:
            self._check_absent(node, node in alive, now)
        for node in self._seen - self._listed - set(self._absent_since):
            self._check_unlisted(node, node in alive, now)

    def share(self, limit: int, entries: int, reserve: float) -> int:
        """Return the current share of each entry of this VM.

        It is 0 for a new VM that has to wait for a part of the reserve.
        """
        count = len(self.holders)
        if self.full:
            return connection_share(limit, count, entries, reserve)
        if self._provisional_rank() < MAX_PROVISIONAL_HOLDERS:
            return provisional_share(limit, count, entries, reserve)
        return 0

    def next_removal_at(self) -> float | None:
        """Return when the next absent VM may be removed; None if none is."""
        if not self._absent_since:
            return None
        return min(self._absent_since.values()) + ABSENT_REMOVAL_S

    def _provisional_rank(self) -> int:
        # The first list that contains a VM also contains all VMs that started
        # earlier, so no two VMs get the same rank and use the same part of
        # the reserve.
        if self._first_own_list is None:
            return MAX_PROVISIONAL_HOLDERS
        earlier_holders = self._first_own_list & self.holders
        return len(earlier_holders - self._reported_full - {self._node})

    def _check_absent(self, node: NodeId, alive: bool, now: float) -> None:
        if node == self._node:
            return
        if node in self._listed or alive:
            self._absent_since.pop(node, None)
            return
        since = self._absent_since.setdefault(node, now)
        if now - since >= ABSENT_REMOVAL_S:
            self._remove(node)

    def _check_unlisted(self, node: NodeId, alive: bool, now: float) -> None:
        # The VM may be missing only because the list lags, so the time is
        # long.
        if alive or node == self._node:
            self._unlisted_since.pop(node, None)
            return
        since = self._unlisted_since.setdefault(node, now)
        if now - since >= UNLISTED_REMOVAL_S:
            self._remove(node)

    def _remove(self, node: NodeId) -> None:
        self._listed.discard(node)
        self._seen.discard(node)
        self._counted_by.discard(node)
        self._reported_full.discard(node)
        self._absent_since.pop(node, None)
        self._unlisted_since.pop(node, None)


class WarmPolicy:
    """Limit the rate of new connections to each server.

    The rate is such that opening connections takes up only a fraction of the
    server's time.
    """

    def __init__(
        self,
        rng: random.Random,
        connect_fraction: float = CONNECT_TIME_FRACTION,
    ):
        self._rng = rng
        self._connect_fraction = connect_fraction
        self._next_at: dict[TargetId, float] = {}

    def grant(
        self,
        target: TargetId,
        connect_ms: float,
        openers: int,
        now: float,
    ) -> bool:
        """Return whether one connection may be opened now.

        connect_ms is the time that a connection takes the server, openers
        the number of VMs that open connections to it.
        """
        next_at = self._next_at.get(target)
        if next_at is None:
            self._next_at[target] = now
        elif now < next_at:
            return False
        interval_s = (
            connect_ms / 1_000.0 / self._connect_fraction * max(openers, 1)
        )
        self._next_at[target] = now + interval_s * self._rng.uniform(1.0, 1.5)
        return True

    def next_connect_at(self, target: TargetId) -> float:
        """Return the time at which the next connection may be opened."""
        return self._next_at.get(target, 0.0)

    def forget(self, target: TargetId) -> None:
        """Discard the state of a target that was removed."""
        self._next_at.pop(target, None)
