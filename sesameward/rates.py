"""Bound how often something may happen."""

from __future__ import annotations


class TokenBucket:
    """Admit a rate of calls a second and short bursts."""

    def __init__(self, rate: float, burst: float, now: float = 0.0):
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._at = now

    def take(self, now: float) -> float:
        """Return 0.0 and take a token, or the seconds until there is one."""
        elapsed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self._rate
        self._tokens -= 1.0
        return 0.0
