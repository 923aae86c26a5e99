"""Keep quantiles of recent latencies."""

from __future__ import annotations

import collections.abc
import math

BUCKETS_PER_OCTAVE = 8
SHORTEST_S = 1e-5
BUCKETS = 192
SLICES = 4
MIN_SAMPLES = 20
REFRESH_S = 0.1

_OFFSET = -math.log2(SHORTEST_S) * BUCKETS_PER_OCTAVE
_LAST = BUCKETS - 1

Key = collections.abc.Hashable


class LatencyWindow:
    """Hold the latencies of one key over a sliding window."""

    __slots__ = (
        '_cached',
        '_counts',
        '_merged',
        '_older',
        '_read_at',
        '_slice_s',
        '_turn_at',
        'samples',
    )

    def __init__(self, window_s: float, now: float):
        self._slice_s = window_s / SLICES
        self._turn_at = now + self._slice_s
        self._counts = [0] * BUCKETS
        self._older: collections.deque[list[int]] = collections.deque(
            maxlen=SLICES - 1
        )
        self._merged = self._counts
        self._cached: dict[float, float] = {}
        self._read_at = -math.inf
        self.samples = 0

    def observe(self, latency_s: float, now: float) -> None:
        """Add one latency."""
        if now >= self._turn_at:
            self._turn(now)
        if latency_s <= SHORTEST_S:
            self._counts[0] += 1
            return
        index = int(math.log2(latency_s) * BUCKETS_PER_OCTAVE + _OFFSET)
        self._counts[index if index < _LAST else _LAST] += 1

    def quantile(self, fraction: float, now: float) -> float | None:
        """Return the latency at a fraction; None while samples are few."""
        self._refresh(now)
        if self.samples < MIN_SAMPLES:
            return None
        latency_s = self._cached.get(fraction)
        if latency_s is None:
            latency_s = self._cached[fraction] = self._find(fraction)
        return latency_s

    def _find(self, fraction: float) -> float:
        wanted = fraction * self.samples
        below = 0
        for index, count in enumerate(self._merged):
            below += count
            if below >= wanted:
                break
        within = 1.0 - (below - wanted) / count if count else 1.0
        power = (index + within - _OFFSET) / BUCKETS_PER_OCTAVE
        return 2.0**power

    def _turn(self, now: float) -> None:
        skipped = int((now - self._turn_at) / self._slice_s)
        self._older.append(self._counts)
        for _ in range(min(skipped, SLICES - 1)):
            self._older.append([0] * BUCKETS)
        self._counts = [0] * BUCKETS
        self._turn_at += (skipped + 1) * self._slice_s

    def _refresh(self, now: float) -> None:
        if now >= self._turn_at:
            self._turn(now)
        if now - self._read_at < REFRESH_S and self.samples >= MIN_SAMPLES:
            return
        self._read_at = now
        self._cached.clear()
        self._merged = [
            sum(counts) for counts in zip(self._counts, *self._older)
        ]
        self.samples = sum(self._merged)


class LatencyTracker:
    """Hold one window of latencies for each key."""

    def __init__(self, window_s: float = 10.0):
        self._window_s = window_s
        self._windows: dict[Key, LatencyWindow] = {}

    def window(self, key: Key, now: float) -> LatencyWindow:
        """Return the key's window, so that a hot path looks it up once."""
        window = self._windows.get(key)
        if window is None:
            window = LatencyWindow(self._window_s, now)
            self._windows[key] = window
        return window

    def observe(self, key: Key, latency_s: float, now: float) -> None:
        """Add one latency of a key."""
        window = self._windows.get(key)
        if window is None:
            window = self.window(key, now)
        window.observe(latency_s, now)

    def quantile(self, key: Key, fraction: float, now: float) -> float | None:
        """Return a key's latency at a fraction; None if hardly known."""
        window = self._windows.get(key)
        if window is None:
            return None
        return window.quantile(fraction, now)

    def forget(self, key: Key) -> None:
        """Drop a key."""
        self._windows.pop(key, None)
