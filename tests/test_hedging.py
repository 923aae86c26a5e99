"""Test the delays after which hedges are sent, and their share."""

from __future__ import annotations

import random

import pytest

from sesameward.routing.hedging import HedgePolicy
from sesameward.routing.hedging import MAX_HEDGES
from sesameward.routing.latency import LatencyTracker
from sesameward.types import Priority

RATIO = 0.05


@pytest.fixture
def tracker():
    """Return a tracker of latencies around 10 ms with 2% of 200 ms."""
    tracker = LatencyTracker()
    rng = random.Random(1)
    for _ in range(10_000):
        latency_s = rng.lognormvariate(0.0, 0.3) * 0.01
        if rng.random() < 0.02:
            latency_s = 0.2
        tracker.observe('k', latency_s, 0.0)
    return tracker


@pytest.fixture
def policy(tracker):
    """Return a hedging policy that uses the tracker."""
    return HedgePolicy(tracker, RATIO)


def test_delay_lies_between_body_and_stragglers(policy):
    assert 0.012 < policy.delay_s('k', 0.0) < 0.1


def test_later_hedges_follow_sooner(policy):
    assert policy.delay_s('k', 0.0, hedges=1) < policy.delay_s('k', 0.0)
    assert policy.delay_s('k', 0.0, hedges=MAX_HEDGES) is None


def test_urgent_requests_are_hedged_sooner(policy):
    urgent_s = policy.delay_s('k', 0.0, priority=Priority.INTERACTIVE)
    for priority in (Priority.NORMAL, Priority.BATCH):
        assert policy.delay_s('k', 0.0, priority=priority) > urgent_s


def test_bookings_are_never_hedged(policy):
    assert policy.delay_s('k', 0.0, booking=True) is None


def test_unknown_latency_gives_no_hedge(policy):
    assert policy.delay_s('unknown', 0.0) is None


def test_no_ratio_gives_no_hedge(tracker):
    assert HedgePolicy(tracker, 0.0).delay_s('k', 0.0) is None


@pytest.mark.parametrize('stragglers', [0.0, 0.02, 0.2])
@pytest.mark.parametrize('urgent', [0.0, 0.1, 1.0])
def test_share_of_hedges_stays_within_the_ratio(stragglers, urgent):
    tracker = LatencyTracker()
    policy = HedgePolicy(tracker, RATIO)
    rng = random.Random(2)

    def latency_s() -> float:
        factor = 20.0 if rng.random() < stragglers else 1.0
        return factor * rng.lognormvariate(0.0, 0.3) * 0.01

    hedges = 0
    for step in range(40_000):
        now = step / 2_000
        policy.sent('k', hedge=False)
        remaining_s = latency_s()
        elapsed_s = 0.0
        sent = 0
        priority = Priority.NORMAL
        if rng.random() < urgent:
            priority = Priority.INTERACTIVE
        while delay_s := policy.delay_s('k', now, sent, priority):
            if remaining_s <= delay_s:
                break
            policy.sent('k', hedge=True)
            sent += 1
            elapsed_s += delay_s
            remaining_s = min(remaining_s - delay_s, latency_s())
        hedges += sent
        tracker.observe('k', elapsed_s + remaining_s, now)
    assert hedges <= RATIO * 40_000


@pytest.mark.parametrize('priority', list(Priority))
@pytest.mark.parametrize('seed', range(3))
def test_service_of_one_priority_learns_its_delay_within_seconds(
    priority, seed
):
    """Load pattern: 480 sub-requests/s, of which 2% take 100 ms."""
    tracker = LatencyTracker()
    policy = HedgePolicy(tracker, RATIO)
    rng = random.Random(seed)
    sent, hedges, slow = 0, 0, 0
    for index in range(12_000):
        now = index / 480.0
        latency_s = 0.1 if rng.random() < 0.02 else rng.uniform(0.004, 0.008)
        policy.sent('k', False)
        delay_s = policy.delay_s('k', now, priority=priority)
        hedged = delay_s is not None and latency_s > delay_s
        if hedged:
            policy.sent('k', True)
            latency_s = min(latency_s, delay_s + 0.006)
        tracker.observe('k', latency_s, now)
        if index >= 7_200:
            sent += 1
            hedges += hedged
            slow += latency_s > 0.05
    assert slow / sent < 0.001
    assert hedges / sent <= RATIO
