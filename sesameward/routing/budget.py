"""Limit hedges and retries, and back off from targets that refuse."""

from __future__ import annotations

import random

from ..types import ServiceName
from ..types import TargetId

# The most tokens that a service's budget can hold. A new budget is full, so
# that hedges and retries can be sent before first attempts have added tokens.
DEFAULT_BURST = 100.0
# The budget of one target gets this many times more tokens for each first
# attempt than that of its service, but can hold only TARGET_BURST tokens, so
# one failing target can't use up the tokens of the whole service.
TARGET_RATIO_FACTOR = 10.0
TARGET_BURST = 20.0


class RetryBudget:
    """Limit hedges and retries to a ratio of first attempts.

    It is a token bucket: each first attempt adds ratio tokens, each hedge or
    retry takes one.
    """

    __slots__ = ('_burst', '_ratio', 'tokens')

    def __init__(self, ratio: float, burst: float = DEFAULT_BURST):
        self._ratio = ratio
        self._burst = burst
        self.tokens = burst

    def deposit(self, attempts: int = 1) -> None:
        """Add the tokens for first attempts, at most up to the burst."""
        tokens = self.tokens + self._ratio * attempts
        self.tokens = tokens if tokens < self._burst else self._burst

    def withdraw(self) -> bool:
        """Take a token for one hedge or retry; return False without one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self) -> None:
        """Put back the token of a hedge or retry that was not sent."""
        self.tokens = min(self.tokens + 1.0, self._burst)


class RetryBudgets:
    """Hold the retry budgets of all services and targets.

    Each hedge or retry takes one token from the budget of its service and one
    from the budget of its target.
    """

    def __init__(self, ratio: float, burst: float = DEFAULT_BURST):
        self._ratio = ratio
        self._burst = burst
        self._service_budgets: dict[ServiceName, RetryBudget] = {}
        self._target_budgets: dict[TargetId, RetryBudget] = {}

    def deposit(self, service: ServiceName, target: TargetId) -> None:
        """Add tokens for one first attempt to the service and the target."""
        service_budget = self._service_budgets.get(
            service
        ) or self._service_budget(service)
        service_budget.deposit()
        target_budget = self._target_budgets.get(
            target
        ) or self._target_budget(target)
        target_budget.deposit()

    def withdraw(self, service: ServiceName, target: TargetId) -> bool:
        """Take a token from the service and the target for a hedge or retry.

        Return False, and take none, if the budget of the service or that of
        the target is empty.
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
    """Compute for how long a target gets nothing after it refused a request.

    The pause grows exponentially with consecutive refusals and has jitter. It
    is never shorter than the retry-after time of the refusal.
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

    def record_refusal(self, now: float, retry_after_s: float = 0.0) -> float:
        """Count a refusal and return the remaining pause in seconds."""
        if now < self.paused_until:
            # The target is still paused, so this sub-request was sent before
            # its pause began. Its refusal must not lengthen the pause.
            return self.paused_until - now
        max_pause_s = min(self._base_s * 2.0**self._refusals, self._cap_s)
        self._refusals = min(self._refusals + 1, 16)
        pause_s = retry_after_s + max_pause_s * self._rng.uniform(0.5, 1.0)
        self.paused_until = now + pause_s
        return pause_s

    def reset(self) -> None:
        """Start again with the shortest pause at the next refusal."""
        self._refusals = 0
