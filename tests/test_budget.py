"""Test the budgets for hedges and retries, and pauses after refusals."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from sesameward.routing.budget import Backoff
from sesameward.routing.budget import RetryBudget
from sesameward.routing.budget import RetryBudgets
from sesameward.routing.budget import TARGET_BURST
from sesameward.types import ServiceName
from sesameward.types import TargetId

SERVICE = ServiceName('trip-desk')


@given(
    st.lists(st.booleans(), max_size=500),
    st.floats(0.0, 0.5),
    st.floats(0.0, 30.0),
)
def test_extra_attempts_never_exceed_ratio_and_burst(attempts, ratio, burst):
    budget = RetryBudget(ratio, burst)
    first_attempts = extra_attempts = 0
    for is_first in attempts:
        if is_first:
            budget.deposit()
            first_attempts += 1
        else:
            extra_attempts += budget.withdraw()
        assert extra_attempts <= ratio * first_attempts + burst + 1e-6


def test_refused_withdrawal_takes_from_neither_budget():
    budgets = RetryBudgets(0.05, burst=2.0)
    target = TargetId('t0')
    assert budgets.withdraw(SERVICE, target)
    assert budgets.withdraw(SERVICE, target)
    assert not budgets.withdraw(SERVICE, target)
    for _ in range(20):
        budgets.deposit(SERVICE, TargetId('t1'))
    # The 20 first attempts, at 0.05 tokens each, added one token to the budget
    # of the service.
    for attempt in range(3):
        assert budgets.withdraw(SERVICE, target) == (attempt == 0)


def test_one_target_never_gets_the_whole_budget():
    budgets = RetryBudgets(0.05, burst=100.0)
    granted = sum(budgets.withdraw(SERVICE, TargetId('t0')) for _ in range(50))
    assert granted == TARGET_BURST
    assert budgets.withdraw(SERVICE, TargetId('t1'))


def test_pauses_grow_with_jitter_and_start_over():
    backoff = Backoff(random.Random(1), base_s=0.1, cap_s=1.0)
    now = 0.0
    pauses = []
    for _ in range(8):
        pauses.append(backoff.record_refusal(now))
        now = backoff.paused_until
    for step, pause_s in enumerate(pauses):
        bound = min(0.1 * 2**step, 1.0)
        assert bound / 2 - 1e-9 <= pause_s <= bound + 1e-9
    backoff.reset()
    assert backoff.record_refusal(now) <= 0.1


def test_refusals_within_a_pause_count_once():
    backoff = Backoff(random.Random(1), base_s=0.1, cap_s=10.0)
    for _ in range(20):
        backoff.record_refusal(0.0)
    assert backoff.paused_until <= 0.1


def test_pause_is_never_shorter_than_asked():
    backoff = Backoff(random.Random(1))
    assert backoff.record_refusal(0.0, retry_after_s=3.0) >= 3.0
