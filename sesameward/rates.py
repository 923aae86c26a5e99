"""Limit the rate of calls with a token bucket."""

from __future__ import annotations


class TokenBucket:
    """Admit a rate of calls per second, and bursts of up to burst calls."""

    def __init__(self, rate_per_s: float, burst: float, now: float = 0.0):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._updated_at = now

    def take(self, now: float) -> float:
        """Take a token and return 0.0, or return the seconds to wait."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._tokens = min(
            self._burst, self._tokens + elapsed_s * self._rate_per_s
        )
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self._rate_per_s
        self._tokens -= 1.0
        return 0.0
