"""Choose which replica gets a sub-request."""

from __future__ import annotations

import collections.abc
import math
import random

from . import declared
from .budget import Backoff
from .messages import LoadReport
from .types import Outcome
from .types import TargetId
from .types import ZoneName

FIRST_LATENCY_S = 0.005
LATENCY_WEIGHT = 0.15
SURPRISE = 3.0
FORGET_S = 3.0
FORGOTTEN = 0.9
SHORTEST_S = 1e-5
REPORT_S = 1.5
FLOOR_RISE = 1.001
TYPICAL_WEIGHT = 0.01
ZONE_COST_S = 0.002
RAMP_S = 10.0
RAMP_START = 0.1
EJECT_FAILURES = 3
EJECT_S = 1.0
EJECT_CAP_S = 60.0
EJECT_SHARE = 0.5
MAX_DIVISIONS = 10_000

_FAILURES = frozenset(
    (
        Outcome.ERROR,
        Outcome.CONNECT_FAILED,
        Outcome.BROKEN,
        Outcome.TIMEOUT,
    )
)


class _Replica:
    """Hold what this process knows of one target."""

    __slots__ = (
        'backoff',
        'cold_since',
        'draining',
        'ejected_until',
        'ejections',
        'failures',
        'floor_s',
        'id',
        'in_flight',
        'latency_s',
        'local',
        'observed_at',
        'others',
        'reported_at',
        'slots',
    )

    def __init__(
        self, target_id: TargetId, slots: int, local: bool, backoff: Backoff
    ):
        self.id = target_id
        self.slots = slots
        self.local = local
        self.backoff = backoff
        self.in_flight = 0
        self.latency_s = 0.0
        self.floor_s = math.inf
        self.observed_at = -math.inf
        self.others = 0.0
        self.reported_at = -math.inf
        self.cold_since = -math.inf
        self.draining = False
        self.failures = 0
        self.ejections = 0
        self.ejected_until = -math.inf


# The replicas in the own zone, and the others.
_Division = tuple[list[_Replica], list[_Replica]]


class ReplicaChooser:
    """Choose between two random replicas by expected latency."""

    def __init__(self, zone: ZoneName, rng: random.Random):
        self._zone = zone
        self._rng = rng
        self._replicas: dict[TargetId, _Replica] = {}
        self._divisions: dict[tuple[TargetId, ...], _Division] = {}
        # Until then some replica is ejected or pauses.
        self._rest_until = -math.inf
        self._typical_s = FIRST_LATENCY_S
        self._samples = 0

    def declare(self, target: declared.Target) -> None:
        """Add a target or take over its changed declaration."""
        self._divisions.clear()
        local = target.zone == self._zone
        replica = self._replicas.get(target.id)
        if replica is None:
            self._replicas[target.id] = _Replica(
                target.id, target.slots, local, Backoff(self._rng)
            )
            return
        replica.slots = target.slots
        replica.local = local

    def forget(self, target_id: TargetId) -> None:
        """Drop a target."""
        self._replicas.pop(target_id, None)
        self._divisions.clear()

    def reported(
        self, target_id: TargetId, report: LoadReport, now: float
    ) -> None:
        """Take in what a target says of its load."""
        replica = self._replicas.get(target_id)
        if replica is None:
            return
        self._set_draining(replica, report.draining)
        load = report.in_flight + report.queued - replica.in_flight
        replica.others = max(load, 0)
        replica.reported_at = now
        if report.cold:
            replica.cold_since = now

    def started(self, target_id: TargetId, now: float) -> None:
        """Count one sub-request sent."""
        replica = self._replicas.get(target_id)
        if replica is not None:
            replica.in_flight += 1

    def finished(
        self,
        target_id: TargetId,
        outcome: Outcome,
        latency_s: float,
        now: float,
    ) -> None:
        """Count one sub-request ended."""
        replica = self._replicas.get(target_id)
        if replica is None:
            return
        if replica.in_flight:
            replica.in_flight -= 1
        match outcome:
            case Outcome.OK:
                replica.failures = 0
                replica.ejections = 0
                replica.backoff.succeeded()
                self._learn(replica, latency_s, now)
                return
            case Outcome.CANCELLED | Outcome.TIMEOUT:
                # The latency is only a lower bound here.
                if latency_s > replica.latency_s:
                    self._learn(replica, latency_s, now)
            case Outcome.SHED:
                replica.backoff.refused(now)
                self._rest(replica.backoff.until)
            case Outcome.DRAINING:
                self._set_draining(replica, True)
        if outcome in _FAILURES:
            self._fail(replica, now)

    def in_flight(self, target_id: TargetId) -> int:
        """Return how many sub-requests of this process run at a target."""
        replica = self._replicas.get(target_id)
        return replica.in_flight if replica else 0

    def choose(
        self,
        candidates: collections.abc.Sequence[TargetId],
        now: float,
        avoid: collections.abc.Collection[TargetId] = (),
    ) -> TargetId | None:
        """Return the replica to ask; None when none may be asked."""
        if avoid or now < self._rest_until:
            usable = self._usable(candidates, avoid)
            division = self._divide(self._healthy(usable, now))
        else:
            division = self._divide_all(tuple(candidates))
        near, far = division
        if not near and not far:
            return None
        best, best_s = self._better(near or far, now)
        if not near or not far:
            return best.id
        other = far[int(self._rng.random() * len(far))]
        other_s = self._cost_s(other, now)
        return other.id if other_s + ZONE_COST_S < best_s else best.id

    def ejected(
        self,
        candidates: collections.abc.Sequence[TargetId],
        now: float,
    ) -> set[TargetId]:
        """Return which candidates get no work for their failures."""
        replicas = self._replicas
        failing = [
            one
            for one in candidates
            if one in replicas and replicas[one].ejected_until > now
        ]
        allowed = int(len(candidates) * EJECT_SHARE)
        if len(failing) > allowed:
            failing.sort(key=lambda one: -replicas[one].ejected_until)
        return set(failing[:allowed])

    def _usable(
        self,
        candidates: collections.abc.Sequence[TargetId],
        avoid: collections.abc.Collection[TargetId],
    ) -> list[TargetId]:
        replicas = self._replicas
        return [
            one
            for one in candidates
            if one in replicas
            and not replicas[one].draining
            and one not in avoid
        ]

    def _divide(self, usable: collections.abc.Sequence[TargetId]) -> _Division:
        replicas = [self._replicas[one] for one in usable]
        return (
            [replica for replica in replicas if replica.local],
            [replica for replica in replicas if not replica.local],
        )

    def _divide_all(self, candidates: tuple[TargetId, ...]) -> _Division:
        division = self._divisions.get(candidates)
        if division is None:
            division = self._divide(self._usable(candidates, ()))
            if len(self._divisions) >= MAX_DIVISIONS:
                self._divisions.clear()
            self._divisions[candidates] = division
        return division

    def _set_draining(self, replica: _Replica, draining: bool) -> None:
        if replica.draining is not draining:
            replica.draining = draining
            self._divisions.clear()

    def _rest(self, until: float) -> None:
        self._rest_until = max(self._rest_until, until)

    def _healthy(self, usable: list[TargetId], now: float) -> list[TargetId]:
        replicas = self._replicas
        ejected = self.ejected(usable, now)
        kept = [one for one in usable if one not in ejected]
        ready = [one for one in kept if replicas[one].backoff.until <= now]
        return ready or kept

    def _better(
        self, candidates: list[_Replica], now: float
    ) -> tuple[_Replica, float]:
        count = len(candidates)
        if count == 1:
            return candidates[0], self._cost_s(candidates[0], now)
        first = int(self._rng.random() * count)
        one = candidates[first]
        one_s = self._cost_s(one, now)
        step = 1 + int(self._rng.random() * (count - 1))
        two = candidates[(first + step) % count]
        two_s = self._cost_s(two, now)
        return (two, two_s) if two_s < one_s else (one, one_s)

    def _cost_s(self, replica: _Replica, now: float) -> float:
        # An old figure fades, so that a target once slow is tried again.
        latency_s = self._typical_s * FORGOTTEN
        faith = 1.0 - (now - replica.observed_at) / FORGET_S
        if faith > 0.0:
            latency_s += faith * (replica.latency_s - latency_s)
        load = replica.in_flight + self._others(replica, latency_s, now)
        cost_s = latency_s * (1.0 + load / replica.slots)
        age_s = now - replica.cold_since
        if age_s < RAMP_S:
            cost_s /= max(age_s / RAMP_S, RAMP_START)
        return cost_s

    def _others(
        self, replica: _Replica, latency_s: float, now: float
    ) -> float:
        # A queue shows in the latency, whatever the target reports.
        excess = latency_s / replica.floor_s - 1.0
        others = excess * replica.slots - replica.in_flight
        if replica.others:
            faith = 1.0 - (now - replica.reported_at) / REPORT_S
            others = max(others, replica.others * faith)
        return others if others > 0.0 else 0.0

    def _learn(self, replica: _Replica, latency_s: float, now: float) -> None:
        if latency_s < SHORTEST_S:
            latency_s = SHORTEST_S
        if not self._samples:
            self._typical_s = latency_s
        self._samples += 1
        # One straggling request says little about its target.
        usual_s = max(replica.latency_s, self._typical_s)
        if latency_s > usual_s * SURPRISE:
            latency_s = usual_s * SURPRISE
        weight = (now - replica.observed_at) / FORGET_S
        if weight < LATENCY_WEIGHT:
            weight = LATENCY_WEIGHT
        elif weight > 1.0:
            weight = 1.0
        replica.latency_s += weight * (latency_s - replica.latency_s)
        replica.observed_at = now
        replica.floor_s = min(replica.floor_s * FLOOR_RISE, replica.latency_s)
        weight = max(1.0 / self._samples, TYPICAL_WEIGHT)
        self._typical_s += weight * (latency_s - self._typical_s)

    def _fail(self, replica: _Replica, now: float) -> None:
        replica.failures += 1
        if replica.failures < EJECT_FAILURES:
            return
        replica.failures = 0
        pause_s = min(EJECT_S * 2.0**replica.ejections, EJECT_CAP_S)
        replica.ejections += 1
        replica.ejected_until = now + pause_s * self._rng.uniform(0.8, 1.2)
        self._rest(replica.ejected_until)
