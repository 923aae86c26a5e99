"""Limit how many requests run at once, from signs of overload."""

from __future__ import annotations

# Part of the running requests that may still run after a sign of overload.
DECREASE_FACTOR = 0.8
# One overload shows in many requests at once; it lowers a limit once. The
# longest work of a request in the deployments at hand takes 135 ms.
DECREASE_INTERVAL_S = 0.15
# A limit ends after this time without overload. It is longer than the bursts
# and pauses of targets, which return within 3 s.
LIMIT_ENDS_AFTER_S = 5.0


class AdaptiveLimit:
    """Limit of running requests; there is none until overload is reported.

    Below one, it is the part of the time in which one request runs.
    """

    __slots__ = ('_decreased_at', '_minimum', 'limit')

    def __init__(self, minimum: float):
        self.limit: float | None = None
        self._minimum = minimum
        self._decreased_at = 0.0

    def has_room(self, running: int) -> bool:
        """Return True if one more request may run."""
        return self.limit is None or running + 1 <= self.limit

    def decrease(self, running: int, now: float) -> None:
        """Lower the limit below the number of running requests."""
        if (
            self.limit is not None
            and now - self._decreased_at < DECREASE_INTERVAL_S
        ):
            return
        self._decreased_at = now
        base = (
            running if self.limit is None else min(self.limit, max(running, 1))
        )
        self.limit = max(self._minimum, base * DECREASE_FACTOR)

    def increase(self, step: float, now: float) -> None:
        """Raise the limit; end it if the last overload is long ago."""
        if self.limit is None:
            return
        if now - self._decreased_at >= LIMIT_ENDS_AFTER_S:
            self.limit = None
        else:
            self.limit += step
