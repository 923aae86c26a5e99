"""Bound extra sub-requests and space out retries."""

from __future__ import annotations

import random

from ..types import ServiceName
from ..types import TargetId

DEFAULT_BURST = 100.0
TARGET_RATIO_FACTOR = 10.0
TARGET_BURST = 20.0


class RetryBudget:
    """Grant extra attempts as a ratio of first attempts."""

    __slots__ = ('_burst', '_ratio', 'tokens')

    def __init__(self, ratio: float, burst: float = DEFAULT_BURST):
        self._ratio = ratio
        self._burst = burst
        self.tokens = burst

    def deposit(self, attempts: int = 1) -> None:
        """Add what first attempts earn."""
        tokens = self.tokens + self._ratio * attempts
        self.tokens = tokens if tokens < self._burst else self._burst

    def withdraw(self) -> bool:
        """Take one extra attempt; False when none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self) -> None:
        """Give back an extra attempt that was never sent."""
        self.tokens = min(self.tokens + 1.0, self._burst)


class BudgetBook:
    """Hold the budgets of services and targets; hedges and retries share."""

    def __init__(self, ratio: float, burst: float = DEFAULT_BURST):
        self._ratio = ratio
        self._burst = burst
        self._services: dict[ServiceName, RetryBudget] = {}
        self._targets: dict[TargetId, RetryBudget] = {}

    def deposit(self, service: ServiceName, target: TargetId) -> None:
        """Count one first attempt of a service at a target."""
        ours = self._services.get(service) or self._service(service)
        ours.deposit()
        theirs = self._targets.get(target) or self._target(target)
        theirs.deposit()

    def withdraw(self, service: ServiceName, target: TargetId) -> bool:
        """Take one extra attempt at a target; False when refused."""
        ours = self._service(service)
        theirs = self._target(target)
        if not theirs.withdraw():
            return False
        if not ours.withdraw():
            theirs.refund()
            return False
        return True

    def forget(self, target: TargetId) -> None:
        """Drop a target."""
        self._targets.pop(target, None)

    def _service(self, service: ServiceName) -> RetryBudget:
        budget = self._services.get(service)
        if budget is None:
            budget = RetryBudget(self._ratio, self._burst)
            self._services[service] = budget
        return budget

    def _target(self, target: TargetId) -> RetryBudget:
        budget = self._targets.get(target)
        if budget is None:
            budget = RetryBudget(
                self._ratio * TARGET_RATIO_FACTOR, TARGET_BURST
            )
            self._targets[target] = budget
        return budget


class Backoff:
    """Pause after refusals: exponential, with jitter, never before asked."""

    __slots__ = ('_base_s', '_cap_s', '_refusals', '_rng', 'until')

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
        self.until = 0.0

    def refused(self, now: float, retry_after_s: float = 0.0) -> float:
        """Return how long to pause after one more refusal."""
        if now < self.until:
            # Sub-requests sent before the pause are one refusal, not many.
            return self.until - now
        bound = min(self._base_s * 2.0**self._refusals, self._cap_s)
        self._refusals = min(self._refusals + 1, 16)
        pause_s = retry_after_s + bound * self._rng.uniform(0.5, 1.0)
        self.until = now + pause_s
        return pause_s

    def succeeded(self) -> None:
        """Start over after a success."""
        self._refusals = 0
