"""Test by simulation that only the current holder of a lease writes."""

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
    """Store a lease and record which node's state writes take effect.

    With check_revision, the store refuses a state write that does not expect
    the lease's current revision.
    """

    def __init__(self, check_revision):
        self.value = None
        self.revision = None
        self.check_revision = check_revision
        self.in_transit = []
        self.history = []

    def claim(self, claim):
        """Write the lease if its revision is expected; return the new one."""
        if claim.expected != self.revision:
            return None
        self.value = claim.value
        self.revision = (self.revision or 0) + 1
        return self.revision

    def deliver_writes(self, time):
        """Deliver the state writes whose delay has passed."""
        arrived = [w for w in self.in_transit if w[0] <= time]
        self.in_transit = [w for w in self.in_transit if w[0] > time]
        for _, name, expected in arrived:
            if not self.check_revision or expected == self.revision:
                self.history.append((name, self.value.holder))

    @property
    def stale_writes(self):
        """Return the writes that took effect after another node took over."""
        return [
            (writer, holder)
            for writer, holder in self.history
            if writer != holder
        ]


class Node:
    """Simulate one node, whose clock has its own offset and rate."""

    def __init__(self, name, times, rng):
        self.lease = Lease(name, times)
        self.name = name
        self.rng = rng
        self.offset = rng.uniform(0.0, 1e6)
        self.rate = rng.uniform(0.999, 1.001)
        self.paused_until = 0.0

    def step(self, time, store):
        """Write state while holding the lease, then read and claim it."""
        if time < self.paused_until:
            return
        now = self.offset + time * self.rate
        if self.lease.holds(now):
            store.in_transit.append(
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
        """Write the claim to the store; one reply in twenty is lost."""
        revision = store.claim(claim)
        if revision is None:
            self.lease.step_down()
        elif self.rng.random() < 0.95:
            self.lease.record_write(claim, revision, now)

    def delay_s(self):
        """Return the delay of a write: up to 0.1 s or, rarely, up to 15 s."""
        slow = self.rng.random() < 0.02
        return self.rng.uniform(0.0, 15.0 if slow else 0.1)


def simulate(seed, times, check_revision):
    rng = random.Random(seed)
    store = Store(check_revision)
    nodes = [Node(f'n{i}', times, rng) for i in range(3)]
    for step in range(int(DURATION_S / STEP_S)):
        store.deliver_writes(step * STEP_S)
        for node in nodes:
            node.step(step * STEP_S, store)
    return store


@pytest.mark.parametrize('seed', SEEDS)
def test_paused_holder_writes_nothing(seed):
    store = simulate(seed, TIMES, check_revision=True)
    assert store.stale_writes == []
    assert len(store.history) > 1_000 and store.value.term > 5


def test_each_fence_is_needed_or_helps():
    def count_stale(times, check_revision):
        return sum(
            len(simulate(s, times, check_revision).stale_writes) for s in SEEDS
        )

    neither = count_stale(UNFENCED, check_revision=False)
    by_clock = count_stale(TIMES, check_revision=False)
    by_revision = count_stale(UNFENCED, check_revision=True)
    print(f'stale writes: {neither=} {by_clock=} {by_revision=} both=0')
    assert neither > by_clock > 0
    assert by_revision == 0


def test_holder_stops_before_another_may_claim():
    first, other = Lease('a', TIMES), Lease('b', TIMES)
    claim = first.claim(100.0)
    first.record_write(claim, 1, sent_at=100.0)
    other.observe(claim.value, 1, 500.0)
    assert first.holds(103.9) and not first.holds(104.0)
    assert other.claim(505.9) is None
    assert other.claim(506.0).value == LeaseValue('b', 2)


def test_release_lets_another_claim_at_once():
    first, other = Lease('a', TIMES), Lease('b', TIMES)
    first.record_write(first.claim(0.0), 1, sent_at=0.0)
    other.observe(first.release(1.0).value, 2, 1.0)
    assert not first.holds(1.0)
    assert other.claim(1.0).value.term == 2
