"""Test that the repeats of all nodes stay within one allowance."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sesameward.serving.budget_window import BudgetWindow

RATIO = 0.2
SLACK = 50.0
WINDOW_S = 10.0


@pytest.fixture
def budget():
    return BudgetWindow(RATIO, SLACK, WINDOW_S, now=0.0)


def spend_all(budget, now):
    spent = 0
    while budget.take('s', now):
        spent += 1
    return spent


def test_new_process_starts_with_nothing(budget):
    assert spend_all(budget, 0.0) == 0


def test_requests_earn_repeats_at_once(budget):
    for _ in range(100):
        budget.count_request('s', 0.0)
    assert 10 <= spend_all(budget, 0.0) <= 100 * RATIO


def test_slack_is_divided_among_nodes(budget):
    budget.set_nodes(5)
    assert 5 <= spend_all(budget, 100.0) <= SLACK / 5


def test_reserve_is_kept_for_others(budget):
    spent = 0
    while budget.take('s', 100.0, reserve=10.0):
        spent += 1
    assert budget.repeats_left('s', 100.0) >= 10.0
    assert spent > 0


def test_services_have_budgets_of_their_own(budget):
    spend_all(budget, 100.0)
    assert budget.take('t', 100.0)


def test_old_repeats_are_forgotten(budget):
    first = spend_all(budget, 100.0)
    assert spend_all(budget, 105.0) == 0
    assert spend_all(budget, 111.0) == first


@given(st.integers(0, 10_000), st.integers(1, 9))
def test_no_window_ever_holds_more_than_allowed(seed, nodes):
    rng = random.Random(seed)
    budgets = [BudgetWindow(RATIO, SLACK, WINDOW_S, 0.0) for _ in range(nodes)]
    for budget in budgets:
        budget.set_nodes(nodes)
    requests, repeats = [], []
    now = 0.0
    for _ in range(300):
        now += rng.expovariate(8.0)
        budget = rng.choice(budgets)
        budget.count_request('s', now)
        requests.append(now)
        for _ in range(rng.choice((0, 0, 1, 4))):
            if budget.take('s', now):
                repeats.append(now)
    for end in repeats:
        start = end - WINDOW_S
        extra = sum(start < at <= end for at in repeats)
        # A repeat may use a request of its window or of the one before.
        earned = sum(start - WINDOW_S < at <= end for at in requests)
        assert extra <= RATIO * earned + SLACK


def test_restarted_nodes_do_not_spend_the_slack_twice():
    spent = 0
    for start in (0.0, 10.0, 12.0, 14.0):
        budget = BudgetWindow(RATIO, SLACK, WINDOW_S, start)
        spent += spend_all(budget, start + 2.0)
    assert spent <= SLACK
