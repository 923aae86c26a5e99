"""Estimate the time at targets from figures that are old and partial."""

from __future__ import annotations

import collections.abc
import typing

from .load_view import LoadView

# A figure of this age counts half, the mean of all candidates the other half.
# Of the values in docs/design/even-load.md these gave the shortest waits with
# two draws: queues of a few requests change within some 50 ms, and targets are
# slow for 600 ms at a time.
LOAD_HALF_WEIGHT_S = 0.05
PACE_HALF_WEIGHT_S = 0.1


class Candidate(typing.Protocol):
    """Describe a target among which the choice is made."""

    view: LoadView | None
    in_flight: int
    slots: int

    def raised_if_cold_s(self, expected_s: float, now: float) -> float:
        """Return an expected time, raised if the target is cold."""


class EvenChoice:
    """Estimate the time of one more sub-request at each candidate."""

    __slots__ = ('_mean_fill', '_mean_pace', '_unit_s')

    def __init__(
        self,
        candidates: collections.abc.Sequence[Candidate],
        unit_s: float,
    ):
        self._unit_s = unit_s
        fill = pace = 0.0
        count = 0
        for one in candidates:
            view = one.view
            if view is not None:
                fill += view.load / one.slots
                pace += view.pace
                count += 1
        self._mean_fill = fill / count if count else 0.0
        self._mean_pace = pace / count if count else 1.0

    def expected_s(self, one: Candidate, now: float) -> float:
        """Return the expected time of one more sub-request, in seconds."""
        fill, pace = self._mean_fill, self._mean_pace
        view = one.view
        own = one.in_flight
        if view is not None:
            age_s = max(now - view.taken_at, 0.0)
            own = min(view.sent_since, own)
            weight = LOAD_HALF_WEIGHT_S / (LOAD_HALF_WEIGHT_S + age_s)
            fill += weight * (view.load / one.slots - fill)
            weight = PACE_HALF_WEIGHT_S / (PACE_HALF_WEIGHT_S + age_s)
            pace += weight * (view.pace - pace)
        expected_s = self._unit_s * pace * (1.0 + fill + own / one.slots)
        return one.raised_if_cold_s(expected_s, now)
