"""Limit how often sub-requests are repeated, in a sliding window of time."""

from __future__ import annotations

import collections

from ..types import ServiceName

SLICES_PER_WINDOW = 20
# Share of the allowed repeats that a node grants. The rest makes up for the
# repeats of nodes that this node does not know yet, and for repeats within a
# window that are allowed because of requests just before it.
GRANTED_SHARE = 0.8


class SlidingCounter:
    """Count the events of the last window_s seconds, in slices of time."""

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

    In any period of window_s seconds, all nodes together send a service at
    most ratio * requests + slack repeats. Each node counts its own requests;
    the slack is divided equally among the nodes. A node that has just started
    doesn't know how many repeats it sent before a restart, so its part of the
    slack grows from zero over window_s.
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, now: float
    ):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._started_at = now
        self._nodes = 1
        self._requests: dict[ServiceName, SlidingCounter] = {}
        self._repeats: dict[ServiceName, SlidingCounter] = {}

    def set_nodes(self, nodes: int) -> None:
        """Set the number of nodes among which the slack is divided."""
        self._nodes = max(nodes, 1)

    def count_request(self, service: ServiceName, now: float) -> None:
        """Count a request to a service; each one allows further repeats."""
        window = self._requests.get(service)
        if window is None:
            window = self._requests[service] = SlidingCounter(self._window_s)
        window.add(now)

    def repeats_left(self, service: ServiceName, now: float) -> float:
        """Return how many repeats this node may send to a service now."""
        uptime = (now - self._started_at) / self._window_s
        slack = self._slack * GRANTED_SHARE / self._nodes * min(uptime, 1.0)
        earned = self._ratio * self._count(self._requests, service, now)
        spent = self._count(self._repeats, service, now)
        return earned * GRANTED_SHARE + slack - spent

    def take(
        self, service: ServiceName, now: float, reserve: float = 0.0
    ) -> bool:
        """Take one repeat from the budget, unless too few would remain.

        The parameter reserve is the number that must remain. Return False if
        none was taken; the repeat must not be sent then.
        """
        if self.repeats_left(service, now) < 1.0 + reserve:
            return False
        window = self._repeats.get(service)
        if window is None:
            window = self._repeats[service] = SlidingCounter(self._window_s)
        window.add(now)
        return True

    def retain(self, services: set[ServiceName]) -> None:
        """Drop the counts of all services except the given ones."""
        for windows in (self._requests, self._repeats):
            for service in windows.keys() - services:
                del windows[service]

    @staticmethod
    def _count(
        windows: dict[ServiceName, SlidingCounter],
        service: ServiceName,
        now: float,
    ) -> int:
        window = windows.get(service)
        if window is None:
            return 0
        window.trim(now)
        return window.total
