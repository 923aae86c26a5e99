"""Count events and show the counters in Prometheus' text format."""

from __future__ import annotations

import bisect
import collections
import functools
import typing

# Upper bounds of the latency buckets in seconds; the objectives of both
# deployments lie between the finer ones.
BOUNDS_S = (
    0.005,
    0.01,
    0.02,
    0.035,
    0.05,
    0.075,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)


class _Histogram:
    __slots__ = ('counts', 'total')

    def __init__(self):
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.total = 0.0


class Metrics:
    """Hold the process's counters; names are stable across releases."""

    def __init__(self, process: str):
        self._process = process
        self._counters: dict[str, object] = {}
        self._gauges: dict[str, typing.Callable[[], float]] = {}
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._histograms: dict[tuple[str, str], _Histogram] = {}

    def count(self, name: str, reason: str = '', amount: int = 1) -> None:
        """Add to the counter of this name and reason."""
        self._counts[name, reason] += amount

    def value(self, name: str, reason: str = '') -> int:
        """Return how often this name and reason were counted."""
        return self._counts[name, reason]

    def observe(self, name: str, key: str, seconds: float) -> None:
        """Add one latency to the histogram of this name and key."""
        histogram = self._histograms.get((name, key))
        if histogram is None:
            histogram = self._histograms[name, key] = _Histogram()
        histogram.counts[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        histogram.total += seconds

    def gauge(self, name: str, read: typing.Callable[[], float]) -> None:
        """Show the number that read() returns under this name."""
        self._gauges[name] = read

    def render(self) -> bytes:
        """Return all counters as text."""
        # Imported at the first reading: a process that nobody asks for its
        # metrics saves the memory.
        from prometheus_client import generate_latest
        from prometheus_client import REGISTRY

        for name in {name for name, _ in self._counts}:
            self._expose(name)
        for name in tuple(self._gauges):
            self._expose_gauge(name, self._gauges.pop(name))
        return generate_latest(REGISTRY) + self._render_histograms()

    @functools.cached_property
    def _meter(self):
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.sdk.metrics import MeterProvider

        self._provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()]
        )
        return self._provider.get_meter(f'sesameward.{self._process}')

    def _expose_gauge(
        self, name: str, read: typing.Callable[[], float]
    ) -> None:
        from opentelemetry.metrics import Observation

        self._meter.create_observable_gauge(
            f'sesameward_{name}', [lambda _: [Observation(read())]]
        )

    def _expose(self, name: str) -> None:
        if name in self._counters:
            return
        from opentelemetry.metrics import Observation

        def observe(_):
            return [
                Observation(total, {'reason': reason} if reason else {})
                for (counted, reason), total in self._counts.items()
                if counted == name
            ]

        self._counters[name] = self._meter.create_observable_counter(
            f'sesameward_{name}', [observe]
        )

    def _render_histograms(self) -> bytes:
        lines = []
        for (name, key), histogram in sorted(self._histograms.items()):
            full = f'sesameward_{name}'
            below = 0
            bounds = (*(str(bound) for bound in BOUNDS_S), '+Inf')
            for bound, count in zip(bounds, histogram.counts):
                below += count
                lines.append(
                    f'{full}_bucket{{key="{key}",le="{bound}"}} {below}\n'
                )
            lines.append(f'{full}_count{{key="{key}"}} {below}\n')
            lines.append(f'{full}_sum{{key="{key}"}} {histogram.total}\n')
        return ''.join(lines).encode()
