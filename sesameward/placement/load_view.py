"""Keep the newest load figures of a target and what was sent since."""

from __future__ import annotations

import collections

from ..messages import LoadReport

# Number of own sub-requests whose send times are kept for a target. More than
# that in flight to one target exceed its slots many times.
MAX_SENT_TIMES = 64


class LoadView:
    """Hold a target's load and pace as of the time they were taken.

    Load is the number of running and waiting requests. Pace is the time that
    work takes there, as a multiple of the usual one.
    """

    __slots__ = ('load', 'pace', 'report', 'taken_at', '_sent_at')

    def __init__(self, report: LoadReport, taken_at: float):
        self._sent_at: collections.deque[float] = collections.deque(
            maxlen=MAX_SENT_TIMES
        )
        self.update(report, taken_at)

    def record_sent(self, now: float) -> None:
        """Count one own sub-request that the figures do not include."""
        self._sent_at.append(now)

    @property
    def sent_since(self) -> int:
        """Return how many own sub-requests the figures do not include."""
        return len(self._sent_at)

    def update(self, report: LoadReport, taken_at: float) -> None:
        """Replace the figures by newer ones."""
        self.report = report
        self.load = report.in_flight + report.queued
        self.pace = report.pace / 100.0
        self.taken_at = taken_at
        sent_at = self._sent_at
        while sent_at and sent_at[0] <= taken_at:
            sent_at.popleft()
