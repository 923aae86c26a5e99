"""Limit hedges and retries, and back off from targets that refuse."""

from __future__ import annotations

import random

from ..types import ServiceName
from ..types import TargetId

# Extra attempts that may be sent before first attempts have earned any.
DEFAULT_BURST = 100.0
# First attempts at a target earn its own budget this many times the ratio; its
# burst keeps one target from using up the whole budget of its service.
TARGET_RATIO_FACTOR = 10.0
TARGET_BURST = 20.0


class RetryBudget:
    """Limit hedges and retries to a ratio of first attempts.

    A token bucket: first attempts add tokens, each extra attempt takes one.
    """

    __slots__ = ('_burst', '_ratio', 'tokens')

    def __init__(self, ratio: float, burst: float = DEFAULT_BURST):
        self._ratio = ratio
        self._burst = burst
        self.tokens = burst

    def deposit(self, attempts: int = 1) -> None:
        """Add the tokens earned by first attempts, up to the burst."""
        tokens = self.tokens + self._ratio * attempts
        self.tokens = tokens if tokens < self._burst else self._burst

    def withdraw(self) -> bool:
        """Take a token for one extra attempt; return False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return the token of an extra attempt that was not sent."""
        self.tokens = min(self.tokens + 1.0, self._burst)


class BudgetBook:
    """Hold the retry budgets of all services and targets.

    Hedges and retries draw on the same budgets. An extra attempt takes a
    token from the budget of its service and from that of its target.
    """

    def __init__(self, ratio: float, burst: float = DEFAULT_BURST):
        self._ratio = ratio
        self._burst = burst
        self._service_budgets: dict[ServiceName, RetryBudget] = {}
        self._target_budgets: dict[TargetId, RetryBudget] = {}

    def deposit(self, service: ServiceName, target: TargetId) -> None:
        """Add the tokens earned by one first attempt."""
        service_budget = self._service_budgets.get(
            service
        ) or self._service_budget(service)
        service_budget.deposit()
        target_budget = self._target_budgets.get(
            target
        ) or self._target_budget(target)
        target_budget.deposit()

    def withdraw(self, service: ServiceName, target: TargetId) -> bool:
        """Take the tokens for one extra attempt.

        Return False, and take none, if either budget is exhausted.
        """
        service_budget = self._service_budget(service)
        target_budget = self._target_budget(target)
        if not target_budget.withdraw():
            return False
        if not service_budget.withdraw():
            target_budget.refund()
            return False
        return True

    def forget(self, target: TargetId) -> None:
        """Discard the budget of a target that was removed."""
        self._target_budgets.pop(target, None)

    def _service_budget(self, service: ServiceName) -> RetryBudget:
        budget = self._service_budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._ratio, self._burst)
            self._service_budgets[service] = budget
        return budget

    def _target_budget(self, target: TargetId) -> RetryBudget:
        budget = self._target_budgets.get(target)
        if budget is None:
            budget = RetryBudget(
                self._ratio * TARGET_RATIO_FACTOR, TARGET_BURST
            )
            self._target_budgets[target] = budget
        return budget


class Backoff:
    """Compute pauses after refusals by exponential backoff with jitter.

    A pause is never shorter than the retry-after time of the refusal.
    """

    __slots__ = ('_base_s', '_cap_s', '_refusals', '_rng', 'paused_until')

    def __init__(
        self,
        rng: random.Random,
        base_s: float = 0.025,
        cap_s: float = 2.0,
    ):
        self._rng = rng
        self._base_s = base_s
        self._cap_s = cap_s
        self._refusals = 0
        self.paused_until = 0.0

    def refused(self, now: float, retry_after_s: float = 0.0) -> float:
        """Count a refusal and return the pause in seconds."""
        if now < self.paused_until:
            # Several sub-requests sent before the pause may be refused; only
            # the first refusal counts.
            return self.paused_until - now
        max_pause_s = min(self._base_s * 2.0**self._refusals, self._cap_s)
        self._refusals = min(self._refusals + 1, 16)
        pause_s = retry_after_s + max_pause_s * self._rng.uniform(0.5, 1.0)
        self.paused_until = now + pause_s
        return pause_s

    def succeeded(self) -> None:
        """Reset the backoff to the shortest pause."""
        self._refusals = 0
