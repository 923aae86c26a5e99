"""Decide when a second replica is asked as well."""

from __future__ import annotations

import math

from ..types import Priority
from .latency import Key
from .latency import LatencyTracker

HEDGE_PART = 0.8
LATER_FRACTION = 0.6
MAX_HEDGES = 3
MAX_TAIL = 0.3
MIN_DELAY_S = 0.001
# About 20 hedges at the share wanted: few enough that a key with little
# traffic finds its delay within seconds, enough to steer by.
REVIEW_ATTEMPTS = 500
MIN_FACTOR = 0.7
MAX_FACTOR = 2.0
MIN_SCALE = 0.01
MAX_SCALE = 5.0
FIRST_SCALE = 0.125
WEIGHTS = {
    Priority.INTERACTIVE: 6.0,
    Priority.NORMAL: 0.2,
    Priority.BATCH: 0.2,
}


class _Share:
    """Steer the part of one key's sub-requests that is hedged."""

    __slots__ = ('_firsts', '_hedges', '_target', 'scale')

    def __init__(self, target: float):
        self._target = target
        self.scale = FIRST_SCALE
        self._firsts = 0
        self._hedges = 0

    def tail(self, priority: Priority) -> float:
        tail = self._target * WEIGHTS[priority] * self.scale
        return tail if tail < MAX_TAIL else MAX_TAIL

    def first(self) -> None:
        self._firsts += 1
        if self._firsts >= REVIEW_ATTEMPTS:
            self._review()

    def hedge(self) -> None:
        self._hedges += 1

    def _review(self) -> None:
        share = max(self._hedges / self._firsts, 1e-6)
        factor = math.sqrt(self._target / share)
        factor = min(max(factor, MIN_FACTOR), MAX_FACTOR)
        self.scale = min(max(self.scale * factor, MIN_SCALE), MAX_SCALE)
        self._firsts = 0
        self._hedges = 0


class HedgePolicy:
    """Give the delay before a hedge, learned from recent latencies."""

    def __init__(self, tracker: LatencyTracker, ratio: float):
        self._tracker = tracker
        self._target = ratio * HEDGE_PART
        self._shares: dict[Key, _Share] = {}

    def delay_s(
        self,
        key: Key,
        now: float,
        hedges: int = 0,
        priority: Priority = Priority.INTERACTIVE,
        booking: bool = False,
    ) -> float | None:
        """Return how long to wait before the next hedge; None for never."""
        if booking or hedges >= MAX_HEDGES or self._target <= 0.0:
            return None
        if hedges:
            fraction = LATER_FRACTION
        else:
            fraction = 1.0 - self._share(key).tail(priority)
        delay_s = self._tracker.quantile(key, fraction, now)
        if delay_s is None:
            return None
        return max(delay_s, MIN_DELAY_S)

    def sent(self, key: Key, hedge: bool) -> None:
        """Count one sub-request sent, first attempt or hedge."""
        share = self._share(key)
        if hedge:
            share.hedge()
        else:
            share.first()

    def forget(self, key: Key) -> None:
        """Drop a key."""
        self._shares.pop(key, None)

    def _share(self, key: Key) -> _Share:
        share = self._shares.get(key)
        if share is None:
            share = _Share(self._target)
            self._shares[key] = share
        return share
