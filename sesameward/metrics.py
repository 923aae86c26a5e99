"""Count events and export metrics in Prometheus' text format."""

from __future__ import annotations

import bisect
import collections
import functools
import typing

# Upper bounds of the latency buckets, finer around the latency objectives of
# both deployments.
LATENCY_BUCKETS_S = (
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
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.total = 0.0


class Metrics:
    """Hold a process's counters, gauges and latency histograms.

    The names of metrics are stable across releases.
    """

    def __init__(self, process: str):
        self._process = process
        self._instruments: dict[str, object] = {}
        self._gauges: dict[str, typing.Callable[[], float]] = {}
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._histograms: dict[tuple[str, str], _Histogram] = {}

    def count(self, name: str, reason: str = '', amount: int = 1) -> None:
        """Add an amount to the counter of this name and reason."""
        self._counts[name, reason] += amount

    def value(self, name: str, reason: str = '') -> int:
        """Return the total of the counter of this name and reason."""
        return self._counts[name, reason]

    def observe(self, name: str, key: str, seconds: float) -> None:
        """Add one latency to the histogram of this name and key."""
        histogram = self._histograms.get((name, key))
        if histogram is None:
            histogram = self._histograms[name, key] = _Histogram()
        histogram.counts[bisect.bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        histogram.total += seconds

    def gauge(self, name: str, read: typing.Callable[[], float]) -> None:
        """Export what read() returns as a gauge of this name."""
        self._gauges[name] = read

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        # Imported on the first scrape: a process that is never scraped saves
        # the memory.
        from prometheus_client import generate_latest
        from prometheus_client import REGISTRY

        for name in {name for name, _ in self._counts}:
            self._register_counter(name)
        for name in tuple(self._gauges):
            self._register_gauge(name, self._gauges.pop(name))
        return generate_latest(REGISTRY) + self._render_histograms()

    @functools.cached_property
    def _meter(self):
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.sdk.metrics import MeterProvider

        self._provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()]
        )
        return self._provider.get_meter(f'sesameward.{self._process}')

    def _register_gauge(
        self, name: str, read: typing.Callable[[], float]
    ) -> None:
        from opentelemetry.metrics import Observation

        self._meter.create_observable_gauge(
            f'sesameward_{name}', [lambda _: [Observation(read())]]
        )

    def _register_counter(self, name: str) -> None:
        if name in self._instruments:
            return
        from opentelemetry.metrics import Observation

        def observe(_):
            return [
                Observation(total, {'reason': reason} if reason else {})
                for (counted_name, reason), total in self._counts.items()
                if counted_name == name
            ]

        self._instruments[name] = self._meter.create_observable_counter(
            f'sesameward_{name}', [observe]
        )

    def _render_histograms(self) -> bytes:
        lines = []
        for (name, key), histogram in sorted(self._histograms.items()):
            metric = f'sesameward_{name}'
            at_most = 0
            bounds = (*(str(bound) for bound in LATENCY_BUCKETS_S), '+Inf')
            for bound, count in zip(bounds, histogram.counts):
                at_most += count
                lines.append(
                    f'{metric}_bucket{{key="{key}",le="{bound}"}} {at_most}\n'
                )
            lines.append(f'{metric}_count{{key="{key}"}} {at_most}\n')
            lines.append(f'{metric}_sum{{key="{key}"}} {histogram.total}\n')
        return ''.join(lines).encode()
