"""Estimate quantiles of recent latencies from histograms."""

from __future__ import annotations

import collections.abc
import math

# The histogram buckets are logarithmic: each doubling of the latency spans
# this many of them.
BUCKETS_PER_OCTAVE = 8
MIN_LATENCY_S = 1e-5
BUCKET_COUNT = 192
# The window slides by dropping the oldest of this many slices.
SLICE_COUNT = 4
# With fewer samples in the window no quantile is given.
MIN_SAMPLES = 20
# Quantiles may lag behind the latest samples by this time.
REFRESH_INTERVAL_S = 0.1

_BUCKET_OFFSET = -math.log2(MIN_LATENCY_S) * BUCKETS_PER_OCTAVE
_LAST_BUCKET = BUCKET_COUNT - 1

Key = collections.abc.Hashable


class LatencyWindow:
    """Count the latencies of a sliding window in a histogram."""

    __slots__ = (
        '_quantiles',
        '_counts',
        '_merged',
        '_older_counts',
        '_merged_at',
        '_slice_s',
        '_rotate_at',
        'samples',
    )

    def __init__(self, window_s: float, now: float):
        self._slice_s = window_s / SLICE_COUNT
        self._rotate_at = now + self._slice_s
        self._counts = [0] * BUCKET_COUNT
        self._older_counts: collections.deque[list[int]] = collections.deque(
            maxlen=SLICE_COUNT - 1
        )
        self._merged = self._counts
        self._quantiles: dict[float, float] = {}
        self._merged_at = -math.inf
        self.samples = 0

    def observe(self, latency_s: float, now: float) -> None:
        """Add one latency to the window."""
        if now >= self._rotate_at:
            self._rotate(now)
        if latency_s <= MIN_LATENCY_S:
            self._counts[0] += 1
            return
        index = int(math.log2(latency_s) * BUCKETS_PER_OCTAVE + _BUCKET_OFFSET)
        self._counts[index if index < _LAST_BUCKET else _LAST_BUCKET] += 1

    def quantile(self, fraction: float, now: float) -> float | None:
        """Return a quantile in seconds; None if there are too few samples.

        fraction is that of the samples at or below the quantile.
        """
        self._merge_slices(now)
        if self.samples < MIN_SAMPLES:
            return None
        latency_s = self._quantiles.get(fraction)
        if latency_s is None:
            latency_s = self._quantiles[fraction] = self._compute_quantile(
                fraction
            )
        return latency_s

    def _compute_quantile(self, fraction: float) -> float:
        rank = fraction * self.samples
        cumulative = 0
        for index, count in enumerate(self._merged):
            cumulative += count
            if cumulative >= rank:
                break
        part_of_bucket = 1.0 - (cumulative - rank) / count if count else 1.0
        exponent = (
            index + part_of_bucket - _BUCKET_OFFSET
        ) / BUCKETS_PER_OCTAVE
        return 2.0**exponent

    def _rotate(self, now: float) -> None:
        skipped = int((now - self._rotate_at) / self._slice_s)
        self._older_counts.append(self._counts)
        for _ in range(min(skipped, SLICE_COUNT - 1)):
            self._older_counts.append([0] * BUCKET_COUNT)
        self._counts = [0] * BUCKET_COUNT
        self._rotate_at += (skipped + 1) * self._slice_s

    def _merge_slices(self, now: float) -> None:
        if now >= self._rotate_at:
            self._rotate(now)
        if (
            now - self._merged_at < REFRESH_INTERVAL_S
            and self.samples >= MIN_SAMPLES
        ):
            return
        self._merged_at = now
        self._quantiles.clear()
        self._merged = [
            sum(counts) for counts in zip(self._counts, *self._older_counts)
        ]
        self.samples = sum(self._merged)


class LatencyTracker:
    """Track recent latencies for each key in a window of its own."""

    def __init__(self, window_s: float = 10.0):
        self._window_s = window_s
        self._windows: dict[Key, LatencyWindow] = {}

    def window(self, key: Key, now: float) -> LatencyWindow:
        """Return the window of a key, which is created if it is missing.

        Frequent callers may keep the window to avoid further lookups.
        """
        window = self._windows.get(key)
        if window is None:
            window = LatencyWindow(self._window_s, now)
            self._windows[key] = window
        return window

    def observe(self, key: Key, latency_s: float, now: float) -> None:
        """Add one latency to the window of a key."""
        window = self._windows.get(key)
        if window is None:
            window = self.window(key, now)
        window.observe(latency_s, now)

    def quantile(self, key: Key, fraction: float, now: float) -> float | None:
        """Return a quantile of a key's latencies in seconds.

        Return None if the key has too few samples.
        """
        window = self._windows.get(key)
        if window is None:
            return None
        return window.quantile(fraction, now)

    def forget(self, key: Key) -> None:
        """Discard the latencies of a key."""
        self._windows.pop(key, None)
