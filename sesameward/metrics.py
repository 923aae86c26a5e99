"""Count events and show the counters in Prometheus' text format."""

from __future__ import annotations

import collections

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import generate_latest
from prometheus_client import REGISTRY


class Metrics:
    """Hold the process's counters; names are stable across releases."""

    def __init__(self, process: str):
        self._provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()]
        )
        self._meter = self._provider.get_meter(f'sesameward.{process}')
        self._counters: dict[str, object] = {}
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def count(self, name: str, reason: str = '', amount: int = 1) -> None:
        """Add to the counter of this name and reason."""
        self._counts[name, reason] += amount

    def value(self, name: str, reason: str = '') -> int:
        """Return how often this name and reason were counted."""
        return self._counts[name, reason]

    def gauge(self, name: str, read) -> None:
        """Show the number that read() returns under this name."""
        self._meter.create_observable_gauge(
            f'sesameward_{name}', [lambda _: [Observation(read())]]
        )

    def render(self) -> bytes:
        """Return all counters as text."""
        for name in {name for name, _ in self._counts}:
            self._expose(name)
        return generate_latest(REGISTRY)

    def _expose(self, name: str) -> None:
        if name in self._counters:
            return

        def observe(_):
            return [
                Observation(total, {'reason': reason} if reason else {})
                for (counted, reason), total in self._counts.items()
                if counted == name
            ]

        self._counters[name] = self._meter.create_observable_counter(
            f'sesameward_{name}', [observe]
        )
