"""Limit the repeats of sub-requests in a sliding window of time."""

from __future__ import annotations

import collections

from ..types import ServiceName

SLICES_PER_WINDOW = 20
# Share of the allowance of all nodes that is granted. The rest covers nodes
# that are not known yet and arrivals near the edges of a window.
GRANTED_SHARE = 0.8


class _SlidingCounter:
    """Count the events of the last window, in slices of it."""

    __slots__ = ('_counts', '_slice_s', 'total')

    def __init__(self, window_s: float):
        self._slice_s = window_s / SLICES_PER_WINDOW
        self._counts: collections.deque[list] = collections.deque()
        self.total = 0

    def add(self, now: float) -> None:
        slice_no = int(now / self._slice_s)
        self.trim(now)
        if self._counts and self._counts[-1][0] == slice_no:
            self._counts[-1][1] += 1
        else:
            self._counts.append([slice_no, 1])
        self.total += 1

    def trim(self, now: float) -> None:
        oldest = int(now / self._slice_s) - SLICES_PER_WINDOW
        while self._counts and self._counts[0][0] < oldest:
            self.total -= self._counts.popleft()[1]


class BudgetWindow:
    """Grant repeats of sub-requests, within a budget for each service.

    In any window the nodes together may send ratio x requests + slack
    repeats to a service. Each node counts its own requests; the slack is
    divided by the number of nodes. A process that has just started doesn't
    know what its predecessor used, so its share of the slack grows from zero
    over one window.
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, now: float
    ):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._started_at = now
        self._nodes = 1
        self._requests: dict[ServiceName, _SlidingCounter] = {}
        self._repeats: dict[ServiceName, _SlidingCounter] = {}

    def set_nodes(self, nodes: int) -> None:
        """Set the number of nodes that the slack is divided among."""
        self._nodes = max(nodes, 1)

    def count_request(self, service: ServiceName, now: float) -> None:
        """Count a request, which earns a part of a repeat."""
        window = self._requests.get(service)
        if window is None:
            window = self._requests[service] = _SlidingCounter(self._window_s)
        window.add(now)

    def repeats_left(self, service: ServiceName, now: float) -> float:
        """Return how many repeats may be sent to a service now."""
        uptime = (now - self._started_at) / self._window_s
        slack = self._slack * GRANTED_SHARE / self._nodes * min(uptime, 1.0)
        earned = self._ratio * self._count(self._requests, service, now)
        spent = self._count(self._repeats, service, now)
        return earned * GRANTED_SHARE + slack - spent

    def take(
        self, service: ServiceName, now: float, reserve: float = 0.0
    ) -> bool:
        """Use one repeat if reserve repeats are left after it."""
        if self.repeats_left(service, now) < 1.0 + reserve:
            return False
        window = self._repeats.get(service)
        if window is None:
            window = self._repeats[service] = _SlidingCounter(self._window_s)
        window.add(now)
        return True

    def forget(self, services: set[ServiceName]) -> None:
        """Keep the counts of these services only."""
        for windows in (self._requests, self._repeats):
            for service in windows.keys() - services:
                del windows[service]

    @staticmethod
    def _count(
        windows: dict[ServiceName, _SlidingCounter],
        service: ServiceName,
        now: float,
    ) -> int:
        window = windows.get(service)
        if window is None:
            return 0
        window.trim(now)
        return window.total
