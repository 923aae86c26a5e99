"""Test the quantiles of recent latencies."""

from __future__ import annotations

import math
import random

import pytest

from sesameward.routing.latency import LatencyTracker
from sesameward.routing.latency import MIN_SAMPLES


@pytest.fixture
def tracker():
    """Return a tracker with a window of 4 s."""
    return LatencyTracker(window_s=4.0)


def test_few_samples_give_no_quantile(tracker):
    for _ in range(MIN_SAMPLES - 1):
        tracker.observe('k', 0.01, 0.0)
    assert tracker.quantile('k', 0.5, 0.0) is None
    assert tracker.quantile('unknown', 0.5, 0.0) is None


@pytest.mark.parametrize('fraction', [0.5, 0.9, 0.95, 0.99])
def test_quantiles_are_within_one_bucket(tracker, fraction):
    rng = random.Random(1)
    values = [rng.lognormvariate(-4.0, 0.5) for _ in range(5_000)]
    for value in values:
        tracker.observe('k', value, 0.0)
    exact = sorted(values)[math.ceil(fraction * len(values)) - 1]
    found = tracker.quantile('k', fraction, 0.0)
    assert found == pytest.approx(exact, rel=0.1)


def test_old_latencies_leave_the_window(tracker):
    for _ in range(100):
        tracker.observe('k', 1.0, 0.0)
    for _ in range(100):
        tracker.observe('k', 0.01, 4.5)
    assert tracker.quantile('k', 0.99, 4.5) < 0.02


def test_silence_empties_the_window(tracker):
    for _ in range(100):
        tracker.observe('k', 1.0, 0.0)
    assert tracker.quantile('k', 0.5, 100.0) is None


def test_extremes_stay_within_the_buckets(tracker):
    for value in (0.0, 1e-9, 1e6):
        for _ in range(MIN_SAMPLES):
            tracker.observe('k', value, 0.0)
    assert tracker.quantile('k', 1.0, 0.0) > 1.0


def test_keys_are_apart(tracker):
    for _ in range(MIN_SAMPLES):
        tracker.observe('a', 0.01, 0.0)
    assert tracker.quantile('b', 0.5, 0.0) is None
    tracker.forget('a')
    assert tracker.quantile('a', 0.5, 0.0) is None
