"""Adapt the limit on the cost of running requests to their latency."""

from __future__ import annotations

import math
import statistics

# While the limit is fully used, each update adds this fraction of it to the
# newly computed limit, so that the limit can rise.
HEADROOM_FRACTION = 0.05
# An update moves the limit by this fraction of its distance to the newly
# computed one.
INCREASE_WEIGHT = 0.3
DECREASE_WEIGHT = 0.6
# High latency reduces the newly computed limit to no less than this fraction
# of the current limit.
MIN_GRADIENT = 0.5
MIN_LIMIT = 2.0
INITIAL_LIMIT = 32.0
# A limit that is not fully used falls towards this many times the highest cost
# in flight since the last update.
IDLE_PEAK_FACTOR = 2.0
IDLE_DECREASE_WEIGHT = 0.05
# The limit is updated once this time has passed and this many latencies have
# been recorded since the last update.
MIN_UPDATE_INTERVAL_S = 0.1
MIN_UPDATE_SAMPLES = 25
# The unloaded latency is the lowest of the medians that were computed at
# updates in the current and the previous window of this length.
BASELINE_WINDOW_S = 30.0
# If the limit is fully used when a window starts, it is multiplied by
# PROBE_FACTOR for PROBE_UPDATES updates. This shortens the queues at targets,
# so that the unloaded latency can be measured.
PROBE_FACTOR = 0.75
PROBE_UPDATES = 4
# The limit counts as fully used if the cost in flight reached this fraction of
# it since the last update.
BUSY_FRACTION = 0.9


class ConcurrencyLimit:
    """Compute a limit on the cost of running requests from their latency.

    The limit falls while the recent median latency is more than tolerance
    times the unloaded latency. Otherwise it rises if it is fully used, and
    falls slowly if it is not. It never exceeds ceiling.
    """

    def __init__(self, ceiling: float, tolerance: float):
        self._tolerance = tolerance
        self._ceiling = max(ceiling, 1.0)
        self._limit = min(INITIAL_LIMIT, self._ceiling)
        self._samples: list[float] = []
        self._peak_in_flight = 0.0
        self._next_update_at = 0.0
        self._baseline_s = math.inf
        self._previous_baseline_s = math.inf
        self._rotate_at: float | None = None
        self._probe_updates_left = 0

    @property
    def limit(self) -> float:
        """Return the current limit on the total cost of running requests."""
        if self._probe_updates_left:
            return max(self._limit * PROBE_FACTOR, 1.0)
        return self._limit

    @property
    def baseline_s(self) -> float:
        """Return the unloaded latency in seconds, infinity while unknown."""
        return min(self._baseline_s, self._previous_baseline_s)

    def finished(self, latency_s: float, in_flight: float, now: float) -> None:
        """Record a request that ended, and update the limit if it is due.

        in_flight is the total cost of running requests, including this one.
        """
        self._samples.append(latency_s)
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        if now < self._next_update_at:
            return
        if len(self._samples) >= MIN_UPDATE_SAMPLES:
            self._update(now)

    def _update(self, now: float) -> None:
        recent_s = statistics.median(self._samples)
        peak = self._peak_in_flight
        busy = peak >= self.limit * BUSY_FRACTION
        self._samples.clear()
        self._peak_in_flight = 0.0
        self._next_update_at = now + MIN_UPDATE_INTERVAL_S
        self._update_baseline(recent_s, busy, now)
        if self._probe_updates_left:
            self._probe_updates_left -= 1
            return
        self._adjust_limit(recent_s, busy, peak)

    def _update_baseline(
        self, recent_s: float, busy: bool, now: float
    ) -> None:
        if self._rotate_at is None:
            self._rotate_at = now + BASELINE_WINDOW_S
        if now >= self._rotate_at:
            self._rotate_at = now + BASELINE_WINDOW_S
            self._previous_baseline_s = self._baseline_s
            self._baseline_s = math.inf
            # Under constant load every measured latency includes queueing.
            # If the limit were not reduced for a while, the baseline would
            # rise with each window, and the limit with it.
            self._probe_updates_left = PROBE_UPDATES if busy else 0
        self._baseline_s = min(self._baseline_s, recent_s)

    def _adjust_limit(self, recent_s: float, busy: bool, peak: float) -> None:
        gradient = self._tolerance * self.baseline_s / max(recent_s, 1e-9)
        gradient = min(max(gradient, MIN_GRADIENT), 1.0)
        if busy:
            headroom = max(self._limit * HEADROOM_FRACTION, 1.0)
            self._move_limit(
                self._limit * gradient + headroom, DECREASE_WEIGHT
            )
        elif gradient < 1.0:
            self._move_limit(self._limit * gradient, DECREASE_WEIGHT)
        else:
            # If the limit stayed far above the cost in flight, it would admit
            # too many requests when the load suddenly rises.
            max_unused = max(
                peak * IDLE_PEAK_FACTOR, MIN_LIMIT * IDLE_PEAK_FACTOR
            )
            self._move_limit(
                min(self._limit, max_unused), IDLE_DECREASE_WEIGHT
            )

    def _move_limit(self, desired: float, decrease_weight: float) -> None:
        weight = INCREASE_WEIGHT if desired > self._limit else decrease_weight
        limit = self._limit + weight * (desired - self._limit)
        floor = min(MIN_LIMIT, self._ceiling)
        self._limit = min(max(limit, floor), self._ceiling)
