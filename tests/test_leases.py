"""Test by history that one holder writes at a time."""

from __future__ import annotations

import math
import random

import pytest

from sesameward.configuration.leases import Lease
from sesameward.configuration.leases import LeaseTimes
from sesameward.configuration.leases import LeaseValue

TIMES = LeaseTimes(renew_s=2.0, fence_s=4.0, ttl_s=6.0)
UNFENCED = LeaseTimes(renew_s=2.0, fence_s=math.inf, ttl_s=6.0)
STEP_S = 0.1
DURATION_S = 1_800.0
SEEDS = range(5)


class Store:
    """Keep a lease and judge the holders' state writes on arrival."""

    def __init__(self, by_revision):
        self.value = None
        self.revision = None
        self.by_revision = by_revision
        self.flying = []
        self.history = []

    def claim(self, claim):
        """Take the lease where its revision is expected."""
        if claim.expected != self.revision:
            return None
        self.value = claim.value
        self.revision = (self.revision or 0) + 1
        return self.revision

    def arrive(self, time):
        """Let the writes take effect whose delay is over."""
        landed = [w for w in self.flying if w[0] <= time]
        self.flying = [w for w in self.flying if w[0] > time]
        for _, name, expected in landed:
            if not self.by_revision or expected == self.revision:
                self.history.append((name, self.value.holder))

    @property
    def stale(self):
        """Return the writes which took effect after the lease passed on."""
        return [(by, holder) for by, holder in self.history if by != holder]


class Node:
    """Run one node whose clock has its own offset and rate."""

    def __init__(self, name, times, rng):
        self.lease = Lease(name, times)
        self.name = name
        self.rng = rng
        self.offset = rng.uniform(0.0, 1e6)
        self.rate = rng.uniform(0.999, 1.001)
        self.paused_until = 0.0

    def step(self, time, store):
        """Send state where the lease is held, read it, claim what is due."""
        if time < self.paused_until:
            return
        now = self.offset + time * self.rate
        if self.lease.holds(now):
            store.flying.append(
                (time + self.delay_s(), self.name, self.lease.revision)
            )
        if self.rng.random() < 0.9:
            self.lease.observe(store.value, store.revision, now)
        claim = self.lease.claim(now)
        if claim is not None:
            self.send(claim, store, now)
        if self.rng.random() < 0.002:
            self.paused_until = time + self.rng.uniform(1.0, 20.0)

    def send(self, claim, store, now):
        """Claim; one reply in twenty is lost."""
        revision = store.claim(claim)
        if revision is None:
            self.lease.lost()
        elif self.rng.random() < 0.95:
            self.lease.claimed(claim, revision, now)

    def delay_s(self):
        """Return how long a write is under way, at times very long."""
        slow = self.rng.random() < 0.02
        return self.rng.uniform(0.0, 15.0 if slow else 0.1)


def run(seed, times, by_revision):
    rng = random.Random(seed)
    store = Store(by_revision)
    nodes = [Node(f'n{i}', times, rng) for i in range(3)]
    for step in range(int(DURATION_S / STEP_S)):
        store.arrive(step * STEP_S)
        for node in nodes:
            node.step(step * STEP_S, store)
    return store


@pytest.mark.parametrize('seed', SEEDS)
def test_paused_holder_writes_nothing(seed):
    store = run(seed, TIMES, by_revision=True)
    assert store.stale == []
    assert len(store.history) > 1_000 and store.value.term > 5


def test_each_fence_is_needed_or_helps():
    def stale(times, by_revision):
        return sum(len(run(s, times, by_revision).stale) for s in SEEDS)

    neither = stale(UNFENCED, by_revision=False)
    by_clock = stale(TIMES, by_revision=False)
    by_revision = stale(UNFENCED, by_revision=True)
    print(f'stale writes: {neither=} {by_clock=} {by_revision=} both=0')
    assert neither > by_clock > 0
    assert by_revision == 0


def test_holder_stops_before_another_may_claim():
    held, other = Lease('a', TIMES), Lease('b', TIMES)
    claim = held.claim(100.0)
    held.claimed(claim, 1, sent=100.0)
    other.observe(claim.value, 1, 500.0)
    assert held.holds(103.9) and not held.holds(104.0)
    assert other.claim(505.9) is None
    assert other.claim(506.0).value == LeaseValue('b', 2)


def test_release_lets_another_claim_at_once():
    held, other = Lease('a', TIMES), Lease('b', TIMES)
    held.claimed(held.claim(0.0), 1, sent=0.0)
    other.observe(held.release(1.0).value, 2, 1.0)
    assert not held.holds(1.0)
    assert other.claim(1.0).value.term == 2
