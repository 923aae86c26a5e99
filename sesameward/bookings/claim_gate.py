"""Limit the claims that an entry has in flight at the store."""

from __future__ import annotations

import random

import msgspec

# Below 1, no claim would be sent and no quick reply could raise the limit.
MIN_LIMIT = 1.0


class ClaimGateSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Configure the limit of claims in flight and the retry delay."""

    max_claims: int = 32
    # A reply of the store that takes longer than this lowers the limit.
    slow_s: float = 0.05
    # A slow or missing reply multiplies the limit by decrease, at most once
    # per hold_s.
    decrease: float = 0.7
    hold_s: float = 0.1
    # Minimum retry delay for refused callers.
    retry_s: float = 0.2


class ClaimGate:
    """Limit the claims in flight by how fast the store replies.

    The limit follows additive increase and multiplicative decrease. A quick
    reply raises it by 1 / limit, up to max_claims. A slow or missing reply
    multiplies it by decrease, at most once per hold_s.
    """

    def __init__(self, cfg: ClaimGateSettings, rng: random.Random):
        self._cfg = cfg
        self._rng = rng
        self._in_flight = 0
        self._last_decrease_at = -cfg.hold_s
        self.limit = float(cfg.max_claims)

    def try_acquire(self) -> bool:
        """Count a claim as in flight; return False if the limit is reached."""
        if self._in_flight >= int(self.limit):
            return False
        self._in_flight += 1
        return True

    def release(self, reply_s: float | None, now: float) -> None:
        """Count a claim as finished and adjust the limit.

        reply_s is the time until the store's reply, None if none came.
        """
        self._in_flight -= 1
        if reply_s is None or reply_s > self._cfg.slow_s:
            self._decrease_limit(now)
        else:
            increased = self.limit + 1.0 / self.limit
            self.limit = min(increased, float(self._cfg.max_claims))

    def retry_after_s(self) -> float:
        """Return a jittered delay after which a refused caller may retry."""
        return self._cfg.retry_s * self._rng.uniform(1.0, 2.0)

    def _decrease_limit(self, now: float) -> None:
        if now - self._last_decrease_at < self._cfg.hold_s:
            return
        self._last_decrease_at = now
        self.limit = max(self.limit * self._cfg.decrease, MIN_LIMIT)
