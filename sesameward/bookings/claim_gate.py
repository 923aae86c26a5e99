"""Bound the claims which an entry has in flight at the store."""

from __future__ import annotations

import random

import msgspec

MIN_LIMIT = 1.0


class ClaimGateSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Bound the claims in flight by how long the store takes."""

    max_claims: int = 32
    slow_s: float = 0.05
    decrease: float = 0.7
    hold_s: float = 0.1
    retry_s: float = 0.2


class ClaimGate:
    """Admit claims while the store answers in time.

    The limit rises by one for each limit's worth of quick answers and falls
    by a factor, at most once each hold_s, when one is slow or lost.
    """

    def __init__(self, cfg: ClaimGateSettings, rng: random.Random):
        self._cfg = cfg
        self._rng = rng
        self._in_flight = 0
        self._lowered_at = -cfg.hold_s
        self.limit = float(cfg.max_claims)

    def enter(self) -> bool:
        """Count a claim in, or return False where it has to be refused."""
        if self._in_flight >= int(self.limit):
            return False
        self._in_flight += 1
        return True

    def leave(self, took_s: float | None, now: float) -> None:
        """Count a claim out; took_s None means that no answer came."""
        self._in_flight -= 1
        if took_s is None or took_s > self._cfg.slow_s:
            self._lower(now)
        else:
            raised = self.limit + 1.0 / self.limit
            self.limit = min(raised, float(self._cfg.max_claims))

    def retry_after_s(self) -> float:
        """Return when a refused caller may come back."""
        return self._cfg.retry_s * self._rng.uniform(1.0, 2.0)

    def _lower(self, now: float) -> None:
        if now - self._lowered_at < self._cfg.hold_s:
            return
        self._lowered_at = now
        self.limit = max(self.limit * self._cfg.decrease, MIN_LIMIT)
