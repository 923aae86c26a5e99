"""Grant permits for the requests of organisations with a limited rate.

A limit is a token bucket, of which each node has an equal share. A share
counts for a bucket only for the time that this ledger held it, so shares that
move between nodes never admit more than one bucket does.
"""

from __future__ import annotations

import math
import typing

from ..serving.permit_ledger import Grant
from ..serving.permit_ledger import HeldShares
from ..serving.routes import OrganisationName
from ..types import NodeId

# Time for which a share is entrusted with each request to the coordinator.
# Longer than that of targets' limits: each node calls the coordinator even
# without requests, and some hundred calls a second are 2% of a core there.
QUOTA_SHARE_TTL_S = 2.0
# Requests reach the coordinator up to this much closer together than they
# reached the nodes, so a bucket holds that much more, and one permit.
MAX_JITTER_S = 0.05
MARGIN_PERMITS = 1.0
# Part of the overshoot by which a ledger that lacks shares exceeds those that
# it has. It makes up for a few nodes that were killed and are still counted.
RATE_OVERSHOOT_PART = 0.5
# Time after which a node asks again if the ledger holds no share, or shares
# that never make up a permit.
NO_SHARE_WAIT_S = 0.1
# Time after which no more shares are expected, if none came meanwhile: nodes
# entrust theirs every 0.8 s. Growth below MIN_GROWTH is a rounding error.
SETTLED_S = 1.0
MIN_GROWTH = 1e-6


def used_factor(overshoot: float) -> float:
    """Return by how much a ledger exceeds the shares that it holds."""
    return 1.0 + overshoot * RATE_OVERSHOOT_PART


def bucket_size(rate_per_s: float, burst: float) -> float:
    """Return how many permits of a whole limit are saved up at most."""
    return burst + MARGIN_PERMITS + MAX_JITTER_S * rate_per_s


def has_whole_permit(nodes: int, burst: float, slack: float) -> bool:
    """Return True if a part of a limit always saves up a whole permit.

    If all nodes use their own shares, each one's permit is covered by the
    burst and the slack.
    """
    return nodes <= burst + slack


class _Bucket:
    """Unused permits, and the time of held shares that they are from."""

    __slots__ = ('held_s', 'level')

    def __init__(self):
        self.level = 0.0
        self.held_s = 0.0


class QuotaLedger(HeldShares):
    """Hold shares of the limits of organisations, and grant permits.

    burst_of returns the burst of an organisation, 0 if it is not known.
    """

    def __init__(
        self,
        overshoot: float,
        slack: float,
        burst_of: typing.Callable[[OrganisationName], float],
    ):
        super().__init__(QUOTA_SHARE_TTL_S)
        self._used_factor = used_factor(overshoot)
        self._slack = slack
        self._burst_of = burst_of
        self._buckets: dict[OrganisationName, _Bucket] = {}
        # Seconds for which all shares together would have been held.
        self._held_s = 0.0
        self._part = 0.0
        self._accrued_at = -math.inf
        # When the part of the shares that are held has last grown.
        self._grown_at = -math.inf

    def entrust(self, node: NodeId, weight: float, now: float) -> None:
        """Hold a node's share for the TTL; weight is from 0 to 1."""
        self._accrue(now)
        super().entrust(node, weight, now)
        before, self._part = self._part, self.part(now)
        if self._part > before + MIN_GROWTH:
            self._grown_at = now

    def clear(self) -> None:
        """Drop all shares and permits."""
        super().clear()
        self._drop_unused()

    def forget(self, name: OrganisationName) -> None:
        """Drop the permits of an organisation without a limit."""
        self._buckets.pop(name, None)

    def grant(
        self,
        name: OrganisationName,
        rate_per_s: float,
        node: NodeId,
        needed: int,
        extra: int,
        priority: int,
        now: float,
    ) -> Grant:
        """Grant a node up to needed permits; extra ones are not granted.

        All requests of an organisation have the same priority.
        """
        self._accrue(now)
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket()
        part = min(1.0, self._part * self._used_factor)
        burst = self._burst_of(name)
        capacity = part * bucket_size(rate_per_s, burst)
        if 0.0 < capacity < 1.0 and has_whole_permit(
            self._nodes, burst, self._slack
        ):
            capacity = 1.0
        accrued = (self._held_s - bucket.held_s) * rate_per_s
        bucket.level = min(capacity, bucket.level + accrued)
        bucket.held_s = self._held_s
        permits = min(needed, int(bucket.level))
        bucket.level -= permits
        if capacity < 1.0 or not rate_per_s:
            return Grant(permits, NO_SHARE_WAIT_S)
        missing = max(0.0, 1.0 - bucket.level)
        wait_s = missing / (part * rate_per_s)
        if now < self._grown_at + SETTLED_S:
            # More shares may come at any time. Just after a start, when nodes
            # have a small part of theirs, the wait would be minutes.
            wait_s = min(wait_s, max(NO_SHARE_WAIT_S, missing / rate_per_s))
        return Grant(permits, wait_s)

    def _accrue(self, now: float) -> None:
        part = self.part(now)
        if part <= 0.0:
            self._drop_unused()
        elif now > self._accrued_at:
            # Shares that came or expired since then don't count.
            held = min(1.0, min(part, self._part) * self._used_factor)
            self._held_s += held * (now - self._accrued_at)
        self._part = part
        self._accrued_at = max(now, self._accrued_at)

    def _drop_unused(self) -> None:
        # The shares are used elsewhere, where the permits count anew.
        self._buckets.clear()
        self._held_s = 0.0
        self._part = 0.0
