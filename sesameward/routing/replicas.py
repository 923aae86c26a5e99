"""Choose the replica that a sub-request is sent to."""

from __future__ import annotations

import collections.abc
import math
import random

from ..configuration import declared
from ..messages import LoadReport
from ..placement.even_choice import EvenChoice
from ..placement.load_view import LoadView
from ..types import Outcome
from ..types import TargetId
from ..types import ZoneName
from .estimates import AverageLatency
from .estimates import INITIAL_LATENCY_S
from .estimates import TargetEstimate

# A replica in another zone is chosen over one in the same zone only if its
# expected latency is lower by more than this.
ZONE_COST_S = 0.002
# At most this fraction of the usable replicas is ejected, even if more of them
# fail.
MAX_EJECTED_FRACTION = 0.5

_Candidates = collections.abc.Sequence[TargetId]
_Avoid = collections.abc.Collection[TargetId]
_ExpectedS = collections.abc.Callable[[TargetEstimate, float], float]


class ReplicaChooser:
    """Choose replicas by expected latency, which is estimated per target.

    Of two random replicas, the one with the lower expected latency is chosen.
    If the best of all were chosen, all entries would overload the same one.
    Replicas in the same zone are preferred.
    """

    def __init__(
        self,
        zone: ZoneName,
        rng: random.Random,
        zone_cost_s: float = ZONE_COST_S,
        unit_s: float = INITIAL_LATENCY_S,
    ):
        self._zone = zone
        self._zone_cost_s = zone_cost_s
        self._rng = rng
        self._estimates: dict[TargetId, TargetEstimate] = {}
        self._average = AverageLatency()
        # Latency of a sub-request to an idle target of usual pace.
        self._unit_s = unit_s
        # Whether any target has reported its pace. Until then the candidates
        # need not be checked for it.
        self._reports_pace = False

    def declare(self, target: declared.Target) -> None:
        """Add a target or apply its changed declaration."""
        local = target.zone == self._zone
        estimate = self._estimates.get(target.id)
        if estimate is not None:
            estimate.apply_declaration(target, local)
            return
        self._estimates[target.id] = TargetEstimate(
            target, local, self._average, self._rng
        )

    def forget(self, target_id: TargetId) -> None:
        """Discard the state of a target that was removed."""
        self._estimates.pop(target_id, None)

    def reported(
        self, target_id: TargetId, report: LoadReport, now: float
    ) -> None:
        """Record a target's load report."""
        estimate = self._estimates.get(target_id)
        if estimate is not None:
            self._reports_pace |= report.pace > 0
            estimate.record_view(report, now)
            estimate.record_report(report, now)

    def reported_elsewhere(
        self, target_id: TargetId, report: LoadReport, taken_at: float
    ) -> bool:
        """Record figures that another node received at a time.

        Return False, and ignore them, if this node has newer ones.
        """
        estimate = self._estimates.get(target_id)
        if estimate is None:
            return False
        self._reports_pace |= report.pace > 0
        return estimate.record_view(report, taken_at)

    def view(self, target_id: TargetId) -> LoadView | None:
        """Return a target's newest figures if they include a pace."""
        estimate = self._estimates.get(target_id)
        return estimate.view if estimate else None

    def cancel_drain(self, target_id: TargetId) -> None:
        """Allow sub-requests to a target again after a draining refusal."""
        estimate = self._estimates.get(target_id)
        if estimate is not None:
            estimate.cancel_drain()

    def started(self, target_id: TargetId, now: float) -> None:
        """Count one sub-request as in flight to a target."""
        estimate = self._estimates.get(target_id)
        if estimate is not None:
            estimate.record_sent(now)

    def finished(
        self,
        target_id: TargetId,
        outcome: Outcome,
        latency_s: float,
        now: float,
        retry_after_s: float = 0.0,
    ) -> None:
        """Record how a sub-request to a target ended.

        If retry_after_s is positive, the target gets nothing for that long.
        """
        estimate = self._estimates.get(target_id)
        if estimate is None:
            return
        if estimate.in_flight:
            estimate.in_flight -= 1
        if retry_after_s > 0.0:
            estimate.pause(retry_after_s, now)
        match outcome:
            case Outcome.OK:
                estimate.record_success(latency_s, now)
            case Outcome.CANCELLED:
                estimate.record_lower_bound(latency_s, now)
            case Outcome.TIMEOUT:
                estimate.record_lower_bound(latency_s, now)
                estimate.record_failure(self._rng, now)
            case Outcome.SHED:
                estimate.backoff.record_refusal(now)
            case Outcome.DRAINING:
                estimate.record_drain_refusal(now)
            case Outcome.ERROR | Outcome.CONNECT_FAILED | Outcome.BROKEN:
                estimate.record_failure(self._rng, now)

    def rest(self, target_id: TargetId, rest_s: float, now: float) -> None:
        """Send nothing to a target for the time that it asked for."""
        estimate = self._estimates.get(target_id)
        if estimate is not None:
            estimate.pause(rest_s, now)

    def rests_until(self, target_id: TargetId) -> float:
        """Return the time until which a target asked to get no sub-requests.

        Return minus infinity if it never asked for a pause.
        """
        estimate = self._estimates.get(target_id)
        return estimate.requested_pause_until if estimate else -math.inf

    def record_wait(
        self, target_id: TargetId, waited_s: float, now: float
    ) -> None:
        """Record how long a sub-request has been waiting for its reply.

        The wait is a lower bound of its latency, so it can only raise the
        target's estimate.
        """
        estimate = self._estimates.get(target_id)
        if estimate is not None:
            estimate.record_lower_bound(waited_s, now)

    def in_flight(self, target_id: TargetId) -> int:
        """Return how many sub-requests of this process a target is running."""
        estimate = self._estimates.get(target_id)
        return estimate.in_flight if estimate else 0

    def choose(
        self, candidates: _Candidates, now: float, avoid: _Avoid = ()
    ) -> TargetId | None:
        """Return the candidate to send to; None if none is usable.

        Candidates in avoid are never chosen.
        """
        usable = self._usable(candidates, avoid, now)
        for estimate in usable:
            if (
                estimate.ejected_until > now
                or estimate.backoff.paused_until > now
            ):
                usable = self._healthy(usable, now)
                break
        if not usable:
            return None
        expected_s: _ExpectedS = TargetEstimate.expected_latency_s
        if self._reports_pace and any(e.view is not None for e in usable):
            expected_s = EvenChoice(usable, self._unit_s).expected_s
        same_zone = [e for e in usable if e.local]
        best, best_s = self._pick_of_two(same_zone or usable, now, expected_s)
        if same_zone and len(same_zone) < len(usable):
            other_zones = [e for e in usable if not e.local]
            remote, remote_s = self._pick_of_two(other_zones, now, expected_s)
            if remote_s + self._zone_cost_s < best_s:
                return remote.id
        return best.id

    def ejected(self, candidates: _Candidates, now: float) -> set[TargetId]:
        """Return the candidates that are ejected because of failures."""
        usable = self._usable(candidates, (), now)
        return {e.id for e in self._ejected(usable, now)}

    def ejected_until(self, target_id: TargetId) -> float:
        """Return the time until which a target is ejected for failures.

        Return minus infinity if it was never ejected.
        """
        estimate = self._estimates.get(target_id)
        return estimate.ejected_until if estimate else -math.inf

    def _usable(
        self, candidates: _Candidates, avoid: _Avoid, now: float
    ) -> list[TargetEstimate]:
        estimates = self._estimates
        return [
            estimates[target_id]
            for target_id in candidates
            if target_id in estimates
            and estimates[target_id].drain_until <= now
            and estimates[target_id].requested_pause_until <= now
            and target_id not in avoid
        ]

    def _ejected(
        self, usable: list[TargetEstimate], now: float
    ) -> list[TargetEstimate]:
        failing = [e for e in usable if e.ejected_until > now]
        failing.sort(key=lambda e: -e.ejected_until)
        return failing[: int(len(usable) * MAX_EJECTED_FRACTION)]

    def _healthy(
        self, usable: list[TargetEstimate], now: float
    ) -> list[TargetEstimate]:
        ejected = self._ejected(usable, now)
        kept = [e for e in usable if e not in ejected]
        ready = [e for e in kept if e.backoff.paused_until <= now]
        return ready or kept

    def _pick_of_two(
        self,
        usable: list[TargetEstimate],
        now: float,
        expected_s: _ExpectedS,
    ) -> tuple[TargetEstimate, float]:
        count = len(usable)
        index = int(self._rng.random() * count)
        first = usable[index]
        first_s = expected_s(first, now)
        if count == 1:
            return first, first_s
        step = 1 + int(self._rng.random() * (count - 1))
        second = usable[(index + step) % count]
        second_s = expected_s(second, now)
        return (second, second_s) if second_s < first_s else (first, first_s)
