"""Bound repeated sub-requests in each sliding window."""

from __future__ import annotations

import collections

from ..types import ServiceName

SLICES = 20
# Part of the common allowance that is handed out; the rest covers nodes that
# are not known yet and arrivals near the edges of a window.
USED_PART = 0.8


class _Window:
    """Count events of the last window in slices."""

    __slots__ = ('_counts', '_slice_s', 'total')

    def __init__(self, window_s: float):
        self._slice_s = window_s / SLICES
        self._counts: collections.deque[list] = collections.deque()
        self.total = 0

    def add(self, now: float) -> None:
        at = int(now / self._slice_s)
        self.trim(now)
        if self._counts and self._counts[-1][0] == at:
            self._counts[-1][1] += 1
        else:
            self._counts.append([at, 1])
        self.total += 1

    def trim(self, now: float) -> None:
        oldest = int(now / self._slice_s) - SLICES
        while self._counts and self._counts[0][0] < oldest:
            self.total -= self._counts.popleft()[1]


class BudgetWindow:
    """Grant repeats to a service within a ratio and a part of an allowance.

    In any window the nodes together may send ratio x requests + slack
    repeats to a service. Each node counts its own requests; the slack is
    divided by the number of nodes. A process that has just started doesn't
    know what its predecessor spent, so its part of the slack grows from
    nothing over one window.
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, now: float
    ):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._started_at = now
        self._nodes = 1
        self._requests: dict[ServiceName, _Window] = {}
        self._repeats: dict[ServiceName, _Window] = {}

    def set_nodes(self, nodes: int) -> None:
        """Take in how many nodes may share the allowance."""
        self._nodes = max(nodes, 1)

    def requested(self, service: ServiceName, now: float) -> None:
        """Count the first sub-request of a request."""
        window = self._requests.get(service)
        if window is None:
            window = self._requests[service] = _Window(self._window_s)
        window.add(now)

    def left(self, service: ServiceName, now: float) -> float:
        """Return how many repeats may be sent now."""
        uptime = (now - self._started_at) / self._window_s
        slack = self._slack * USED_PART / self._nodes * min(uptime, 1.0)
        earned = self._ratio * self._count(self._requests, service, now)
        spent = self._count(self._repeats, service, now)
        return earned * USED_PART + slack - spent

    def take(
        self, service: ServiceName, now: float, reserve: float = 0.0
    ) -> bool:
        """Spend one repeat where more than the reserve is left."""
        if self.left(service, now) < 1.0 + reserve:
            return False
        window = self._repeats.get(service)
        if window is None:
            window = self._repeats[service] = _Window(self._window_s)
        window.add(now)
        return True

    def forget(self, services: set[ServiceName]) -> None:
        """Drop all services but these."""
        for windows in (self._requests, self._repeats):
            for service in windows.keys() - services:
                del windows[service]

    @staticmethod
    def _count(
        windows: dict[ServiceName, _Window], service: ServiceName, now: float
    ) -> int:
        window = windows.get(service)
        if window is None:
            return 0
        window.trim(now)
        return window.total
