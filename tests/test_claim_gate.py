"""Test how the limit of claims in flight follows the store's replies."""

from __future__ import annotations

import random

import pytest

from sesameward.bookings import claim_gate

CFG = claim_gate.ClaimGateSettings(max_claims=10)


@pytest.fixture
def gate():
    return claim_gate.ClaimGate(CFG, random.Random(1))


def enter_until_refused(gate):
    count = 0
    while gate.try_acquire():
        count += 1
    return count


def test_claims_in_flight_are_bounded(gate):
    assert enter_until_refused(gate) == 10
    gate.release(0.01, 1.0)
    assert enter_until_refused(gate) == 1
    assert CFG.retry_s <= gate.retry_after_s() <= 2 * CFG.retry_s


@pytest.mark.parametrize('reply_s', [None, CFG.slow_s * 2])
def test_slow_store_lowers_the_limit_once_in_a_while(gate, reply_s):
    enter_until_refused(gate)
    for _ in range(5):
        gate.release(reply_s, 1.0)
    assert gate.limit == 7.0
    for step in range(1, 6):
        gate.release(reply_s, 1.0 + step * CFG.hold_s * 1.1)
    assert 1.0 <= gate.limit < 2.0


def test_limit_comes_back_and_never_shuts(gate):
    now = 0.0
    for _ in range(50):
        now += 1.0
        assert gate.try_acquire()
        gate.release(None, now)
    assert gate.limit == claim_gate.MIN_LIMIT
    for _ in range(100):
        assert gate.try_acquire()
        gate.release(0.001, now)
    assert gate.limit == 10.0
