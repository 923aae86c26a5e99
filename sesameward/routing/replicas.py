"""Choose which replica gets a sub-request."""

from __future__ import annotations

import collections.abc
import math
import random

from ..configuration import declared
from ..messages import LoadReport
from ..types import Outcome
from ..types import TargetId
from ..types import ZoneName
from .estimates import TargetEstimate
from .estimates import TypicalLatency

ZONE_COST_S = 0.002
EJECT_SHARE = 0.5

_Candidates = collections.abc.Sequence[TargetId]
_Avoid = collections.abc.Collection[TargetId]


class ReplicaChooser:
    """Choose between two random replicas by expected latency."""

    def __init__(
        self,
        zone: ZoneName,
        rng: random.Random,
        zone_cost_s: float = ZONE_COST_S,
    ):
        self._zone = zone
        self._zone_cost_s = zone_cost_s
        self._rng = rng
        self._estimates: dict[TargetId, TargetEstimate] = {}
        self._typical = TypicalLatency()

    def declare(self, target: declared.Target) -> None:
        """Add a target or take over its changed declaration."""
        local = target.zone == self._zone
        estimate = self._estimates.get(target.id)
        if estimate is not None:
            estimate.declare(target, local)
            return
        self._estimates[target.id] = TargetEstimate(
            target, local, self._typical, self._rng
        )

    def forget(self, target_id: TargetId) -> None:
        """Drop a target."""
        self._estimates.pop(target_id, None)

    def reported(
        self, target_id: TargetId, report: LoadReport, now: float
    ) -> None:
        """Take in what a target says of its load."""
        estimate = self._estimates.get(target_id)
        if estimate is not None:
            estimate.report(report, now)

    def returned(self, target_id: TargetId) -> None:
        """Take back that a target said that it is leaving."""
        estimate = self._estimates.get(target_id)
        if estimate is not None:
            estimate.undrain()

    def started(self, target_id: TargetId, now: float) -> None:
        """Count one sub-request sent."""
        estimate = self._estimates.get(target_id)
        if estimate is not None:
            estimate.start(now)

    def finished(
        self,
        target_id: TargetId,
        outcome: Outcome,
        latency_s: float,
        now: float,
        retry_after_s: float = 0.0,
    ) -> None:
        """Count one sub-request ended."""
        estimate = self._estimates.get(target_id)
        if estimate is None:
            return
        if estimate.in_flight:
            estimate.in_flight -= 1
        if retry_after_s > 0.0:
            estimate.rest(retry_after_s, now)
        match outcome:
            case Outcome.OK:
                estimate.succeed(latency_s, now)
            case Outcome.CANCELLED:
                estimate.bound(latency_s, now)
            case Outcome.TIMEOUT:
                estimate.bound(latency_s, now)
                estimate.fail(self._rng, now)
            case Outcome.SHED:
                estimate.backoff.refused(now)
            case Outcome.DRAINING:
                estimate.drain(now)
            case Outcome.ERROR | Outcome.CONNECT_FAILED | Outcome.BROKEN:
                estimate.fail(self._rng, now)

    def rest(self, target_id: TargetId, rest_s: float, now: float) -> None:
        """Take in that a target wants nothing for a time."""
        estimate = self._estimates.get(target_id)
        if estimate is not None:
            estimate.rest(rest_s, now)

    def rests_until(self, target_id: TargetId) -> float:
        """Return until when a target wants nothing."""
        estimate = self._estimates.get(target_id)
        return estimate.rests_until if estimate else -math.inf

    def late(self, target_id: TargetId, waited_s: float, now: float) -> None:
        """Take in that a sub-request has run this long without an end."""
        estimate = self._estimates.get(target_id)
        if estimate is not None:
            estimate.bound(waited_s, now)

    def in_flight(self, target_id: TargetId) -> int:
        """Return how many sub-requests of this process run at a target."""
        estimate = self._estimates.get(target_id)
        return estimate.in_flight if estimate else 0

    def choose(
        self, candidates: _Candidates, now: float, avoid: _Avoid = ()
    ) -> TargetId | None:
        """Return the replica to ask; None when none may be asked."""
        usable = self._usable(candidates, avoid, now)
        for one in usable:
            if one.ejected_until > now or one.backoff.until > now:
                usable = self._healthy(usable, now)
                break
        if not usable:
            return None
        near = [one for one in usable if one.local]
        best, best_s = self._better(near or usable, now)
        if near and len(near) < len(usable):
            far = [one for one in usable if not one.local]
            other, other_s = self._better(far, now)
            if other_s + self._zone_cost_s < best_s:
                return other.id
        return best.id

    def ejected(self, candidates: _Candidates, now: float) -> set[TargetId]:
        """Return which candidates get no work for their failures."""
        usable = self._usable(candidates, (), now)
        return {one.id for one in self._ejected(usable, now)}

    def ejected_until(self, target_id: TargetId) -> float:
        """Return until when a target's failures keep work from it."""
        estimate = self._estimates.get(target_id)
        return estimate.ejected_until if estimate else -math.inf

    def _usable(
        self, candidates: _Candidates, avoid: _Avoid, now: float
    ) -> list[TargetEstimate]:
        estimates = self._estimates
        return [
            estimates[one]
            for one in candidates
            if one in estimates
            and estimates[one].closed_until <= now
            and estimates[one].rests_until <= now
            and one not in avoid
        ]

    def _ejected(
        self, usable: list[TargetEstimate], now: float
    ) -> list[TargetEstimate]:
        failing = [one for one in usable if one.ejected_until > now]
        failing.sort(key=lambda one: -one.ejected_until)
        return failing[: int(len(usable) * EJECT_SHARE)]

    def _healthy(
        self, usable: list[TargetEstimate], now: float
    ) -> list[TargetEstimate]:
        ejected = self._ejected(usable, now)
        kept = [one for one in usable if one not in ejected]
        ready = [one for one in kept if one.backoff.until <= now]
        return ready or kept

    def _better(
        self, usable: list[TargetEstimate], now: float
    ) -> tuple[TargetEstimate, float]:
        count = len(usable)
        first = int(self._rng.random() * count)
        one = usable[first]
        one_s = one.cost_s(now)
        if count == 1:
            return one, one_s
        step = 1 + int(self._rng.random() * (count - 1))
        two = usable[(first + step) % count]
        two_s = two.cost_s(now)
        return (two, two_s) if two_s < one_s else (one, one_s)
