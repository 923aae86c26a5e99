"""Decide when a second replica is asked as well."""

from __future__ import annotations

from .latency import Key
from .latency import LatencyTracker

HEDGE_PART = 0.8
LATER_FRACTION = 0.75
MAX_HEDGES = 3
REVIEW_ATTEMPTS = 5_000
SHRINK = 0.9
GROW = 1.03
MIN_TAIL_PART = 0.1
FIRST_TAIL_PART = 0.75
MIN_DELAY_S = 0.001


class _Share:
    """Steer the tail fraction of one key by the hedges it caused."""

    __slots__ = ('_firsts', '_hedges', '_target', 'tail')

    def __init__(self, target: float):
        self._target = target
        # Later hedges of the same sub-request take a part of the target.
        self.tail = target * FIRST_TAIL_PART
        self._firsts = 0
        self._hedges = 0

    def first(self) -> None:
        self._firsts += 1
        if self._firsts >= REVIEW_ATTEMPTS:
            self._review()

    def hedge(self) -> None:
        self._hedges += 1

    def _review(self) -> None:
        share = self._hedges / self._firsts
        factor = SHRINK if share > self._target else GROW
        floor = self._target * MIN_TAIL_PART
        self.tail = min(max(self.tail * factor, floor), self._target)
        self._firsts = 0
        self._hedges = 0


class HedgePolicy:
    """Give the delay before a hedge, learned from recent latencies."""

    def __init__(self, tracker: LatencyTracker, ratio: float):
        self._tracker = tracker
        self._target = ratio * HEDGE_PART
        self._shares: dict[Key, _Share] = {}

    def delay_s(
        self, key: Key, now: float, hedges: int = 0, booking: bool = False
    ) -> float | None:
        """Return how long to wait before the next hedge; None for never."""
        if booking or hedges >= MAX_HEDGES or self._target <= 0.0:
            return None
        if hedges:
            fraction = LATER_FRACTION
        else:
            fraction = 1.0 - self._share(key).tail
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

    def _share(self, key: Key) -> _Share:
        share = self._shares.get(key)
        if share is None:
            share = _Share(self._target)
            self._shares[key] = share
        return share
