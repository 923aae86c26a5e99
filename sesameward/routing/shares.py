"""Divide the connection limit of each target among the VMs with entries."""

from __future__ import annotations

import collections.abc
import random

from ..types import NodeId
from ..types import TargetId

# A VM is no longer counted if, for this long, the platform's list of VMs has
# lacked it, after having contained it, and the membership protocol has not
# reported it as alive.
ABSENT_REMOVAL_S = 10.0
# A VM that has not yet been in the list of VMs, and is not alive, is no longer
# counted after this time. It is long because the list may be out of date.
UNLISTED_REMOVAL_S = 14_400.0
# Part of each target's connection limit is a reserve for new VMs, which not
# all VMs count yet. At most this many new VMs use the reserve at the same
# time; each uses an equal part.
MAX_PROVISIONAL_HOLDERS = 2
# A target must not spend more than this fraction of its time on accepting
# connections.
CONNECT_TIME_FRACTION = 0.05


def connection_share(
    limit: int, holders: int, entries: int, reserve: float
) -> int:
    """Return the number of connections to a target that an entry may hold.

    limit is the target's limit on connections, holders the number of VMs, and
    entries the number of entries on each VM. The fraction reserve of the limit
    is kept free for VMs that not all VMs count yet.
    """
    available = int(limit * (1.0 - reserve) + 1e-9)
    return available // (max(holders, 1) * max(entries, 1))


def provisional_share(
    limit: int, holders: int, entries: int, reserve: float
) -> int:
    """Return the share of an entry whose VM is not yet counted by all VMs.

    It is a part of the reserve, since the VMs that don't count this VM may use
    all connections outside the reserve.
    """
    reserved = limit - int(limit * (1.0 - reserve) + 1e-9)
    provisional = reserved // (MAX_PROVISIONAL_HOLDERS * max(entries, 1))
    return min(provisional, connection_share(limit, holders, entries, reserve))


class HolderCount:
    """Count the VMs that may hold connections to targets.

    A VM that seems dead may still hold connections. It is counted until it
    announces that it has left, or until it has been missing for long enough
    from the platform's list of VMs. Each VM gossips which VMs it counts. A VM
    uses its full share only after all other VMs count it; otherwise the shares
    could add up to more than the limit.
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
    def counted_by_all(self) -> bool:
        """Return whether this VM may use its full share of connections.

        It may if all VMs that this VM counts also count this VM.
        """
        if self._first_own_list is None:
            return False
        return self.holders <= self._counted_by | {self._node}

    def add_member(self, node: NodeId) -> None:
        """Count a VM that the membership protocol knows, alive or not."""
        self._seen.add(node)

    def remove_left(self, node: NodeId) -> None:
        """Stop counting a VM that announced it has no target connections."""
        if node != self._node:
            self._remove(node)

    def record_holders(
        self,
        node: NodeId,
        holders: collections.abc.Collection[NodeId],
        full: bool,
    ) -> None:
        """Record what another VM gossiped: the VMs that it counts.

        full is whether that VM knows that all VMs it counts also count it.
        """
        self._seen.add(node)
        if self._node in holders:
            self._counted_by.add(node)
        if full:
            self._reported_full.add(node)

    def update_vm_list(
        self,
        nodes: collections.abc.Collection[NodeId],
        alive: collections.abc.Collection[NodeId],
        now: float,
    ) -> None:
        """Apply the current VM list of the platform.

        alive are the VMs that the membership protocol reports as alive. Other
        VMs are removed once they have been missing from the list for long
        enough.
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
        """Return the number of connections that an entry of this VM may hold.

        It is 0 for a new VM until a VM list contains it, and as long as
        MAX_PROVISIONAL_HOLDERS earlier VMs may use the reserve.
        """
        count = len(self.holders)
        if self.counted_by_all:
            return connection_share(limit, count, entries, reserve)
        if self._provisional_rank() < MAX_PROVISIONAL_HOLDERS:
            return provisional_share(limit, count, entries, reserve)
        return 0

    def next_removal_at(self) -> float | None:
        """Return when the next VM missing from the list may be removed.

        Return None if no listed VM has gone missing.
        """
        if not self._absent_since:
            return None
        return min(self._absent_since.values()) + ABSENT_REMOVAL_S

    def _provisional_rank(self) -> int:
        # The rank is the number of earlier VMs that may still use the reserve:
        # those of the first VM list that contains this VM, except those that
        # reported that all VMs count them. As this first list contains all VMs
        # that started earlier, no two VMs take the same part of the reserve.
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
        # The VM may hold connections but be missing because the list is out of
        # date, so it is removed only after a long time.
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


class ConnectRateLimit:
    """Limit the rate of new connections to each target.

    The rate is so low that accepting connections takes at most the fraction
    connect_fraction of the target's time.
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
        """Return whether one connection may be opened now, and count it.

        connect_ms is the time that a target needs to accept a connection,
        openers the number of VMs that open connections to this target.
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
        """Return when the next connection to a target may be opened."""
        return self._next_at.get(target, 0.0)

    def forget(self, target: TargetId) -> None:
        """Discard the state of a target that was removed."""
        self._next_at.pop(target, None)
