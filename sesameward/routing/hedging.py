"""Compute the delay after which a sub-request is hedged."""

from __future__ import annotations

import math

from ..types import Priority
from .latency import Key
from .latency import LatencyTracker

# The ratio of hedges to first attempts that is aimed at, as a fraction of the
# permitted ratio.
TARGET_SHARE_FRACTION = 0.8
# A second or later hedge of a sub-request is sent after this quantile of the
# latencies.
LATER_HEDGE_QUANTILE = 0.6
# A sub-request is hedged at most this many times.
MAX_HEDGES = 3
# At most this fraction of the first attempts, the slowest ones, is hedged.
MAX_TAIL_FRACTION = 0.3
MIN_DELAY_S = 0.001
# The scale of a key determines how many of its sub-requests are hedged. It is
# adjusted after this many first attempts. They cause about 20 hedges, enough
# to measure the share of hedges. With many more attempts per adjustment, a key
# with little traffic would not reach the right delay within seconds.
REVIEW_ATTEMPTS = 500
# One adjustment multiplies the scale by a factor within these limits.
MIN_SCALE_CHANGE = 0.7
MAX_SCALE_CHANGE = 2.0
MIN_SCALE = 0.01
MAX_SCALE = 5.0
INITIAL_SCALE = 0.125
# The fraction of sub-requests that is hedged is multiplied by these weights,
# so that most hedges are sent for urgent requests.
PRIORITY_WEIGHTS = {
    Priority.INTERACTIVE: 6.0,
    Priority.NORMAL: 0.2,
    Priority.BATCH: 0.2,
}


class _HedgeShare:
    """Adjust which fraction of a key's sub-requests, the slowest, is hedged.

    This fraction is proportional to the scale. The scale is lowered while the
    measured ratio of hedges to first attempts is above the target share, and
    raised while it is below.
    """

    __slots__ = ('_first_attempts', '_hedges', '_target_share', 'scale')

    def __init__(self, target_share: float):
        self._target_share = target_share
        self.scale = INITIAL_SCALE
        self._first_attempts = 0
        self._hedges = 0

    def tail_fraction(self, priority: Priority) -> float:
        fraction = self._target_share * PRIORITY_WEIGHTS[priority] * self.scale
        return fraction if fraction < MAX_TAIL_FRACTION else MAX_TAIL_FRACTION

    def count_first_attempt(self) -> None:
        self._first_attempts += 1
        if self._first_attempts >= REVIEW_ATTEMPTS:
            self._adjust_scale()

    def count_hedge(self) -> None:
        self._hedges += 1

    def _adjust_scale(self) -> None:
        share = max(self._hedges / self._first_attempts, 1e-6)
        factor = math.sqrt(self._target_share / share)
        factor = min(max(factor, MIN_SCALE_CHANGE), MAX_SCALE_CHANGE)
        self.scale = min(max(self.scale * factor, MIN_SCALE), MAX_SCALE)
        self._first_attempts = 0
        self._hedges = 0


class HedgePolicy:
    """Compute hedging delays from the recent latencies of each key.

    A key names the sub-requests whose latencies are comparable, such as those
    of one service. ratio is the permitted number of hedges per first attempt.
    """

    def __init__(self, tracker: LatencyTracker, ratio: float):
        self._tracker = tracker
        self._target_share = ratio * TARGET_SHARE_FRACTION
        self._shares: dict[Key, _HedgeShare] = {}

    def delay_s(
        self,
        key: Key,
        now: float,
        hedges: int = 0,
        priority: Priority = Priority.INTERACTIVE,
        booking: bool = False,
    ) -> float | None:
        """Return the delay in seconds before the next hedge of a sub-request.

        hedges is the number of its hedges already sent. Return None if it must
        not be hedged: bookings, sub-requests with MAX_HEDGES hedges, and keys
        with too few latencies.
        """
        if booking or hedges >= MAX_HEDGES or self._target_share <= 0.0:
            return None
        if hedges:
            fraction = LATER_HEDGE_QUANTILE
        else:
            fraction = 1.0 - self._share(key).tail_fraction(priority)
        delay_s = self._tracker.quantile(key, fraction, now)
        if delay_s is None:
            return None
        return max(delay_s, MIN_DELAY_S)

    def sent(self, key: Key, hedge: bool) -> None:
        """Count one sent sub-request, which is a first attempt or a hedge."""
        share = self._share(key)
        if hedge:
            share.count_hedge()
        else:
            share.count_first_attempt()

    def forget(self, key: Key) -> None:
        """Discard the state of a key that is no longer used."""
        self._shares.pop(key, None)

    def _share(self, key: Key) -> _HedgeShare:
        share = self._shares.get(key)
        if share is None:
            share = _HedgeShare(self._target_share)
            self._shares[key] = share
        return share
