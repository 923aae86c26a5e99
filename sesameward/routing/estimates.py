"""Estimate how long a target takes from what was seen and told."""

from __future__ import annotations

import math
import random

from ..configuration import declared
from ..messages import LoadReport
from .budget import Backoff

FIRST_LATENCY_S = 0.005
SHORTEST_S = 1e-5
LATENCY_WEIGHT = 0.15
TYPICAL_WEIGHT = 0.01
SURPRISE = 3.0
FORGET_S = 3.0
FORGET_CAP_S = 24.0
FORGOTTEN = 0.9
SLOW = 2.0
USUAL = 1.3
FLOOR_RISE = 1.001
REPORT_S = 1.5
TRUST_WEIGHT = 0.2
CREDIBLE = 0.5
WARM_SAMPLES = 100
RAMP_S = 10.0
RAMP_START = 0.1
DRAIN_HOLD_S = 10.0
# A target that asks for longer is asked again by one request; it may have
# meant another unit, and what it told a node nobody can take back.
MAX_REST_S = 300.0
EJECT_FAILURES = 3
EJECT_S = 1.0
EJECT_CAP_S = 60.0


class TypicalLatency:
    """Average the latencies of all targets."""

    __slots__ = ('samples', 'value_s')

    def __init__(self):
        self.samples = 0
        self.value_s = FIRST_LATENCY_S

    def learn(self, latency_s: float) -> None:
        """Add one latency."""
        self.samples += 1
        weight = TYPICAL_WEIGHT
        if self.samples < 1.0 / TYPICAL_WEIGHT:
            weight = 1.0 / self.samples
        self.value_s += weight * (latency_s - self.value_s)


class TargetEstimate:
    """Hold what this process knows of one target."""

    __slots__ = (
        'backoff',
        'closed_until',
        'cold_since',
        'ejected_until',
        'fresh',
        'id',
        'in_flight',
        'local',
        'rests_until',
        '_drain',
        '_ejections',
        '_failures',
        '_floor_s',
        '_latency_s',
        '_memory_s',
        '_observed_at',
        '_others',
        '_refused_at',
        '_reported_at',
        '_slots',
        '_told_draining_at',
        '_trust',
        '_typical',
    )

    def __init__(
        self,
        target: declared.Target,
        local: bool,
        typical: TypicalLatency,
        rng: random.Random,
    ):
        self.id = target.id
        self.backoff = Backoff(rng)
        self.in_flight = 0
        self.cold_since = -math.inf
        self.ejected_until = -math.inf
        self._typical = typical
        self._latency_s = 0.0
        self._floor_s = math.inf
        self._observed_at = -math.inf
        self._memory_s = FORGET_S
        self._others = 0
        self._reported_at = -math.inf
        self._refused_at = -math.inf
        self._trust = 0.0
        self._failures = 0
        self._ejections = 0
        self.fresh = typical.samples > WARM_SAMPLES
        self.closed_until = -math.inf
        self.rests_until = -math.inf
        self._told_draining_at = -math.inf
        self.declare(target, local)

    def declare(self, target: declared.Target, local: bool) -> None:
        """Take over a changed declaration."""
        self.local = local
        self._slots = target.slots
        self._drain = target.drain
        self._set_closed()

    def report(self, report: LoadReport, now: float) -> None:
        """Take in what the target says of its load."""
        told = report.in_flight + report.queued
        self._others = max(told - self.in_flight, 0)
        self._reported_at = now
        credible = told >= self._implied(self._latency_at(now)) * CREDIBLE
        self._trust += TRUST_WEIGHT * (credible - self._trust)
        if report.cold:
            self.cold_since = now
        self._told_draining_at = now if report.draining else -math.inf
        self._set_closed()

    def start(self, now: float) -> None:
        """Count one sub-request sent."""
        self.in_flight += 1
        if self.fresh:
            # Targets declared later than the others are new ones.
            self.fresh = False
            self.cold_since = now

    def rest(self, rest_s: float, now: float) -> None:
        """Take in that the target wants nothing for a time."""
        until = now + min(rest_s, MAX_REST_S)
        self.rests_until = max(self.rests_until, until)

    def drain(self, now: float) -> None:
        """Take in that the target refused because it leaves."""
        self._refused_at = now
        self._set_closed()

    def undrain(self) -> None:
        """Take in that the target's own word to leave is void."""
        self._refused_at = -math.inf
        self._set_closed()

    def succeed(self, latency_s: float, now: float) -> None:
        """Take in the latency of a success."""
        self._failures = 0
        self._ejections = 0
        self.backoff.succeeded()
        self._learn(latency_s, now)

    def fail(self, rng: random.Random, now: float) -> None:
        """Count a failure; eject the target after several in a row."""
        self._failures += 1
        if self._failures < EJECT_FAILURES:
            return
        self._failures = 0
        pause_s = min(EJECT_S * 2.0**self._ejections, EJECT_CAP_S)
        self._ejections += 1
        self.ejected_until = now + pause_s * rng.uniform(0.8, 1.2)
        # It was probably restarted, so it starts cold.
        self.cold_since = self.ejected_until

    def bound(self, waited_s: float, now: float) -> None:
        """Take in a lower bound of a latency."""
        # One above the faded figure confirms the old one.
        if waited_s > self._latency_at(now):
            self._learn(max(waited_s, self._latency_s), now)

    def cost_s(self, now: float) -> float:
        """Return the latency to expect of one more sub-request."""
        latency_s = self._latency_at(now)
        trust = self._trust_at(now)
        told = self._others * trust
        if trust < 1.0:
            # A queue shows in the latency, whatever the target reports.
            doubted = self._implied(latency_s) - self.in_flight
            told = max(told, (1.0 - trust) * doubted)
        cost_s = latency_s * (1.0 + (self.in_flight + told) / self._slots)
        age_s = now - self.cold_since
        if age_s < RAMP_S:
            cost_s /= max(age_s / RAMP_S, RAMP_START)
        return cost_s

    def _set_closed(self) -> None:
        # A report can lag behind the target's own refusal, and no report
        # may follow that would open the target again.
        closed_at = max(self._refused_at, self._told_draining_at)
        self.closed_until = closed_at + DRAIN_HOLD_S
        if self._drain:
            self.closed_until = math.inf

    def _trust_at(self, now: float) -> float:
        fresh = 1.0 - (now - self._reported_at) / REPORT_S
        return self._trust * fresh if fresh > 0.0 else 0.0

    def _implied(self, latency_s: float) -> float:
        excess = latency_s / self._floor_s - 1.0
        return excess * self._slots if excess > 0.0 else 0.0

    def _latency_at(self, now: float) -> float:
        # An old figure fades, so that a target once slow is tried again.
        usual_s = self._typical.value_s * FORGOTTEN
        faith = 1.0 - (now - self._observed_at) / self._memory_s
        if faith <= 0.0:
            return usual_s
        return usual_s + faith * (self._latency_s - usual_s)

    def _learn(self, latency_s: float, now: float) -> None:
        latency_s = max(latency_s, SHORTEST_S)
        typical = self._typical
        if not typical.samples:
            typical.value_s = latency_s
        # One straggling request says little about its target.
        usual_s = max(self._latency_s, typical.value_s)
        latency_s = min(latency_s, usual_s * SURPRISE)
        age_s = now - self._observed_at
        self._remember(latency_s, age_s)
        weight = min(max(age_s / FORGET_S, LATENCY_WEIGHT), 1.0)
        self._latency_s += weight * (latency_s - self._latency_s)
        self._observed_at = now
        self._floor_s = min(self._floor_s * FLOOR_RISE, self._latency_s)
        typical.learn(latency_s)

    def _remember(self, latency_s: float, age_s: float) -> None:
        # A target that is slow at every trial is tried less often.
        usual_s = self._typical.value_s
        if latency_s < usual_s * USUAL:
            self._memory_s = FORGET_S
        elif latency_s > usual_s * SLOW and age_s > FORGET_S / 2.0:
            self._memory_s = min(self._memory_s * 2.0, FORGET_CAP_S)
