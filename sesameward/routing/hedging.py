"""Compute the delay after which a sub-request is hedged."""

from __future__ import annotations

import math

from ..types import Priority
from .latency import Key
from .latency import LatencyTracker

# Part of the permitted ratio of hedges that is aimed at.
TARGET_SHARE_FRACTION = 0.8
# Quantile of the latencies after which a second or later hedge is sent.
LATER_HEDGE_QUANTILE = 0.6
# After this many hedges of an attempt, no further one is sent.
MAX_HEDGES = 3
# At most this part of the first attempts, the slowest ones, is hedged.
MAX_TAIL_FRACTION = 0.3
MIN_DELAY_S = 0.001
# First attempts between two adjustments of the scale. At the target share
# these give about 20 hedges, which is enough to measure the share, and few
# enough that a key with little traffic reaches its delay within seconds.
REVIEW_ATTEMPTS = 500
# Limits on the factor by which one adjustment changes the scale.
MIN_SCALE_CHANGE = 0.7
MAX_SCALE_CHANGE = 2.0
MIN_SCALE = 0.01
MAX_SCALE = 5.0
INITIAL_SCALE = 0.125
# Hedges are spent mainly on urgent requests.
PRIORITY_WEIGHTS = {
    Priority.INTERACTIVE: 6.0,
    Priority.NORMAL: 0.2,
    Priority.BATCH: 0.2,
}


class _HedgeShare:
    """Adjust how large a tail of one key's latencies is hedged.

    A feedback controller: the scale is lowered while the measured share of
    hedges exceeds the target share, and raised while it is below it.
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

    ratio is the permitted number of hedges per first attempt.
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
        """Return the delay in seconds before the next hedge; None for none.

        hedges is the number of hedges already sent. Bookings are not hedged,
        nor are keys with too few latencies.
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
        """Count one sub-request sent, either a first attempt or a hedge."""
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
