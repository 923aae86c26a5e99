"""Test the budget of extra attempts and the pauses after refusals."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from sesameward.routing.budget import Backoff
from sesameward.routing.budget import BudgetBook
from sesameward.routing.budget import RetryBudget
from sesameward.routing.budget import TARGET_BURST
from sesameward.types import ServiceName
from sesameward.types import TargetId

SERVICE = ServiceName('trip-desk')


@given(
    st.lists(st.booleans(), max_size=500),
    st.floats(0.0, 0.5),
    st.floats(0.0, 30.0),
)
def test_extra_attempts_never_exceed_ratio_and_burst(steps, ratio, burst):
    budget = RetryBudget(ratio, burst)
    firsts = extras = 0
    for first in steps:
        if first:
            budget.deposit()
            firsts += 1
        else:
            extras += budget.withdraw()
        assert extras <= ratio * firsts + burst + 1e-6


def test_refused_withdrawal_takes_from_neither_budget():
    book = BudgetBook(0.05, burst=2.0)
    target = TargetId('t0')
    assert book.withdraw(SERVICE, target)
    assert book.withdraw(SERVICE, target)
    assert not book.withdraw(SERVICE, target)
    for _ in range(20):
        book.deposit(SERVICE, TargetId('t1'))
    for _ in range(3):
        assert book.withdraw(SERVICE, target) == (_ == 0)


def test_one_target_never_gets_the_whole_budget():
    book = BudgetBook(0.05, burst=100.0)
    granted = sum(book.withdraw(SERVICE, TargetId('t0')) for _ in range(50))
    assert granted == TARGET_BURST
    assert book.withdraw(SERVICE, TargetId('t1'))


def test_pauses_grow_with_jitter_and_start_over():
    backoff = Backoff(random.Random(1), base_s=0.1, cap_s=1.0)
    now = 0.0
    pauses = []
    for _ in range(8):
        pauses.append(backoff.refused(now))
        now = backoff.until
    for step, pause_s in enumerate(pauses):
        bound = min(0.1 * 2**step, 1.0)
        assert bound / 2 - 1e-9 <= pause_s <= bound + 1e-9
    backoff.succeeded()
    assert backoff.refused(now) <= 0.1


def test_refusals_within_a_pause_count_once():
    backoff = Backoff(random.Random(1), base_s=0.1, cap_s=10.0)
    for _ in range(20):
        backoff.refused(0.0)
    assert backoff.until <= 0.1


def test_pause_is_never_shorter_than_asked():
    backoff = Backoff(random.Random(1))
    assert backoff.refused(0.0, retry_after_s=3.0) >= 3.0
