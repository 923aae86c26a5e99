"""Adapt the number of requests in flight to their latency."""

from __future__ import annotations

import math
import statistics

HEADROOM = 0.05
GROWTH = 0.3
DECLINE = 0.6
MIN_GRADIENT = 0.5
MIN_LIMIT = 2.0
FIRST_LIMIT = 32.0
IDLE_FACTOR = 2.0
IDLE_DECLINE = 0.05
UPDATE_S = 0.1
UPDATE_SAMPLES = 25
BASE_WINDOW_S = 30.0
PROBE_FACTOR = 0.75
PROBE_UPDATES = 4
BUSY = 0.9


class ConcurrencyLimit:
    """Lower the limit while the latency exceeds its unloaded value."""

    def __init__(self, ceiling: float, tolerance: float):
        self._tolerance = tolerance
        self._ceiling = max(ceiling, 1.0)
        self._limit = min(FIRST_LIMIT, self._ceiling)
        self._samples: list[float] = []
        self._peak = 0.0
        self._update_at = 0.0
        self._base_s = math.inf
        self._older_base_s = math.inf
        self._turn_at: float | None = None
        self._probe_left = 0

    @property
    def value(self) -> float:
        """Return how much cost may be in flight."""
        if self._probe_left:
            return max(self._limit * PROBE_FACTOR, 1.0)
        return self._limit

    @property
    def base_s(self) -> float:
        """Return the unloaded latency; infinite while unknown."""
        return min(self._base_s, self._older_base_s)

    def finished(self, latency_s: float, in_flight: float, now: float) -> None:
        """Take in one latency and the cost in flight just before."""
        self._samples.append(latency_s)
        self._peak = max(self._peak, in_flight)
        if now < self._update_at:
            return
        if len(self._samples) >= UPDATE_SAMPLES:
            self._update(now)

    def _update(self, now: float) -> None:
        recent_s = statistics.median(self._samples)
        peak = self._peak
        busy = peak >= self.value * BUSY
        self._samples.clear()
        self._peak = 0.0
        self._update_at = now + UPDATE_S
        self._rebase(recent_s, busy, now)
        if self._probe_left:
            self._probe_left -= 1
            return
        self._step(recent_s, busy, peak)

    def _rebase(self, recent_s: float, busy: bool, now: float) -> None:
        if self._turn_at is None:
            self._turn_at = now + BASE_WINDOW_S
        if now >= self._turn_at:
            self._turn_at = now + BASE_WINDOW_S
            self._older_base_s = self._base_s
            self._base_s = math.inf
            # A base learned under load alone would creep upwards.
            self._probe_left = PROBE_UPDATES if busy else 0
        self._base_s = min(self._base_s, recent_s)

    def _step(self, recent_s: float, busy: bool, peak: float) -> None:
        gradient = self._tolerance * self.base_s / max(recent_s, 1e-9)
        gradient = min(max(gradient, MIN_GRADIENT), 1.0)
        if busy:
            room = max(self._limit * HEADROOM, 1.0)
            self._move(self._limit * gradient + room, DECLINE)
        elif gradient < 1.0:
            self._move(self._limit * gradient, DECLINE)
        else:
            # An unused limit would let a sudden overload flood targets.
            used = max(peak * IDLE_FACTOR, MIN_LIMIT * IDLE_FACTOR)
            self._move(min(self._limit, used), IDLE_DECLINE)

    def _move(self, wanted: float, decline: float) -> None:
        speed = GROWTH if wanted > self._limit else decline
        limit = self._limit + speed * (wanted - self._limit)
        floor = min(MIN_LIMIT, self._ceiling)
        self._limit = min(max(limit, floor), self._ceiling)
