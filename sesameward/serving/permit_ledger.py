"""Grant permits for requests to targets that limit their request rate.

Load pattern: far more requests than a target accepts, from few or hundreds of
nodes, some of which send most of them. Divided among all nodes in advance, a
limit would be left unused at most nodes, and a small one would leave each
node less than one request. So nodes entrust their shares of all limits to one
node, the coordinator, which grants permits to whoever has requests.

No share is in two places: a node uses its own share only after the time for
which it entrusted it to a coordinator. So the limits are kept no matter which
node each node takes for the coordinator.
"""

from __future__ import annotations

import math
import typing

from ..types import NodeId
from ..types import TargetId

# Part of a limit that is granted. The rest makes up for nodes that join and
# are not yet counted by all others.
USED_PART = 0.95
# Rate that is granted to a target with a lower limit, or with 0, so that it
# is noticed when the target raises its limit.
MIN_RATE_PER_S = 0.25
# Time for which a share is entrusted with each request to the coordinator.
SHARE_TTL_S = 1.0
# Unused permits add up to BURST_PERMITS and those of BURST_S.
BURST_PERMITS = 2.0
BURST_S = 0.5
# A node counts as wanting permits for a target for this time after it asked.
REQUESTER_TTL_S = 1.0
# Limits of the time after which a node without a permit asks again.
MIN_WAIT_S = 0.02
MAX_WAIT_S = 2.0
# Time after which a node asks again if the ledger holds no share. A node that
# has become the coordinator gets the shares of the others soon.
NO_SHARE_WAIT_S = 0.1


class Grant(typing.NamedTuple):
    """Number of permits granted, and the time until more can be expected."""

    permits: int
    wait_s: float


class _Bucket:
    """Unused permits for one target, and who has asked for permits."""

    __slots__ = ('requested_at', 'level', 'part', 'priority_at', 'updated_at')

    def __init__(self, part: float, now: float):
        self.level = 0.0
        self.part = part
        self.updated_at = now
        self.requested_at: dict[NodeId, float] = {}
        self.priority_at: dict[int, float] = {}


class HeldShares:
    """Hold the shares of all limits that nodes entrust to this node.

    Each node has the same share of each limit. Subclasses grant permits.
    """

    def __init__(self, ttl_s: float = SHARE_TTL_S):
        self._ttl_s = ttl_s
        self._nodes = 1
        # For each node the weight of its share, and until when it is held.
        self._shares: dict[NodeId, tuple[float, float]] = {}
        self._total_weight = 0.0
        self._next_expiry_at = math.inf

    @property
    def nodes(self) -> int:
        """Return the number of nodes among which each limit is divided."""
        return self._nodes

    def set_nodes(self, nodes: int) -> None:
        """Set the number of nodes among which each limit is divided."""
        self._nodes = max(nodes, 1)

    def entrust(self, node: NodeId, weight: float, now: float) -> None:
        """Hold a node's share for the TTL; weight is from 0 to 1."""
        self.withdraw(node)
        until = now + self._ttl_s
        self._shares[node] = weight, until
        self._total_weight += weight
        self._next_expiry_at = min(self._next_expiry_at, until)

    def withdraw(self, node: NodeId) -> None:
        """Stop using a node's share."""
        weight, _ = self._shares.pop(node, (0.0, 0.0))
        # Without shares it is exactly 0, whatever the rounding errors.
        self._total_weight -= weight if self._shares else self._total_weight

    def clear(self) -> None:
        """Drop all shares and permits, after this process was suspended."""
        self._shares.clear()
        self._total_weight = 0.0

    def part(self, now: float) -> float:
        """Return the part of each limit that this ledger may grant."""
        if now >= self._next_expiry_at:
            self._shares = {
                node: (weight, until)
                for node, (weight, until) in self._shares.items()
                if until > now
            }
            held = self._shares.values()
            self._total_weight = sum(weight for weight, _ in held)
            self._next_expiry_at = min(
                (until for _, until in held), default=math.inf
            )
        return min(1.0, max(0.0, self._total_weight / self._nodes))

    def forget(self, target_id: TargetId) -> None:
        """Drop the permits of a target without a limit."""
        raise NotImplementedError

    def grant(
        self,
        target_id: TargetId,
        limit: float,
        node: NodeId,
        needed: int,
        extra: int,
        priority: int,
        now: float,
    ) -> Grant:
        """Grant a node up to needed permits, and extra ones if it may."""
        raise NotImplementedError


class PermitLedger(HeldShares):
    """Hold the shares that nodes entrust to this node, and grant permits.

    The ledger grants permits at the rate of the shares that it holds at the
    time.
    """

    def __init__(self):
        super().__init__()
        self._buckets: dict[TargetId, _Bucket] = {}

    def clear(self) -> None:
        """Drop all shares and permits, after this process was suspended."""
        super().clear()
        self._buckets.clear()

    def grant(
        self,
        target_id: TargetId,
        limit: float,
        node: NodeId,
        needed: int,
        extra: int,
        priority: int,
        now: float,
    ) -> Grant:
        """Grant a node up to needed permits, and extra ones if many are left.

        While requests of a higher priority (a lower number) ask for permits
        as well, half of the unused permits are reserved for them.
        """
        part = self.part(now)
        rate_per_s = max(limit * USED_PART, MIN_RATE_PER_S) * part
        capacity = self._capacity(limit, rate_per_s, part)
        bucket = self._refilled(target_id, rate_per_s, capacity, part, now)
        bucket.requested_at[node] = now
        bucket.priority_at[priority] = now
        reserved = 0.0
        if min(bucket.priority_at) < priority:
            reserved = max(0.0, min(capacity / 2, capacity - 1.0))
        available = max(0, int(bucket.level - reserved))
        permits = min(needed, available)
        requesters = len(bucket.requested_at)
        permits += min(extra, (available - permits) // requesters)
        bucket.level -= permits
        if not rate_per_s:
            return Grant(permits, NO_SHARE_WAIT_S)
        # While others wait as well, this node's turn comes later.
        missing = 1.0 + reserved - bucket.level + (requesters - 1) / 2
        wait_s = max(0.0, missing) / rate_per_s
        return Grant(permits, min(max(wait_s, MIN_WAIT_S), MAX_WAIT_S))

    def forget(self, target_id: TargetId) -> None:
        """Drop the permits of a target without a limit."""
        self._buckets.pop(target_id, None)

    def _capacity(self, limit: float, rate_per_s: float, part: float) -> float:
        capacity = BURST_PERMITS * part + BURST_S * rate_per_s
        if capacity >= 1.0:
            return capacity
        # No permit could be granted. If all nodes use their own shares, one
        # permit each is within the limit only if they are few.
        return 1.0 if self._nodes <= 2.0 * limit + 4.0 else 0.0

    def _refilled(
        self,
        target_id: TargetId,
        rate_per_s: float,
        capacity: float,
        part: float,
        now: float,
    ) -> _Bucket:
        bucket = self._buckets.get(target_id)
        if bucket is None:
            bucket = self._buckets[target_id] = _Bucket(part, now)
        # Shares that were entrusted since then don't count for the past.
        if bucket.part < part:
            rate_per_s *= bucket.part / part
        elapsed_s = max(0.0, now - bucket.updated_at)
        bucket.level = min(capacity, bucket.level + elapsed_s * rate_per_s)
        bucket.part = part
        bucket.updated_at = now
        for times in (bucket.requested_at, bucket.priority_at):
            for key in [
                k for k, at in times.items() if now - at > REQUESTER_TTL_S
            ]:
                del times[key]
        return bucket
