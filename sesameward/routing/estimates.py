"""Estimate each target's latency from observations and its reports."""

from __future__ import annotations

import math
import random

from ..configuration import declared
from ..messages import LoadReport
from ..placement.load_view import LoadView
from .budget import Backoff

# Average latency assumed before the first latency is recorded.
INITIAL_LATENCY_S = 0.005
LATENCY_FLOOR_S = 1e-5
# Lowest weight of a new latency in the moving average of one target. The
# weight is higher if the previous latency is old.
LATENCY_WEIGHT = 0.15
# Weight of a new latency in the moving average over all targets.
AVERAGE_LATENCY_WEIGHT = 0.01
# A new latency is capped at this many times the target's estimate or the
# average over all targets, whichever is greater, so that one outlier has
# little effect.
OUTLIER_FACTOR = 3.0
# Without new latencies, the estimate of a target returns to the average within
# DECAY_S, so that a slow target is tried again. Each time it proves slow
# again, the time doubles, up to MAX_DECAY_S.
DECAY_S = 3.0
MAX_DECAY_S = 24.0
# The latency of a target without recent sub-requests is estimated as the
# average times this factor. It is below 1, so that such a target is tried
# again.
UNKNOWN_LATENCY_FACTOR = 0.9
# A target is slow if its latency is above SLOW_FACTOR times the average, and
# no longer slow if below NORMAL_FACTOR times the average.
SLOW_FACTOR = 2.0
NORMAL_FACTOR = 1.3
# The baseline is a target's lowest latency. It is multiplied by this factor
# with each new latency; otherwise a target that has become permanently slower
# would always seem to be loaded.
BASELINE_GROWTH = 1.001
# The weight of a load report falls linearly to zero within this time.
REPORT_VALID_S = 1.5
# The trust in a target's load reports is the moving average of the fraction of
# them that are credible. This is the weight of a new report in that average.
TRUST_WEIGHT = 0.2
# A load report is credible if the load in it is at least this fraction of the
# load estimated from the target's latency.
CREDIBLE_FRACTION = 0.5
# A target that is declared after more than this many latencies were recorded
# over all targets is taken as newly started, and so as cold.
STARTUP_SAMPLES = 100
# A cold target, such as one that was just started, gets few sub-requests at
# first. Its share rises from RAMP_UP_START_FRACTION to the full one within
# RAMP_UP_S.
RAMP_UP_S = 10.0
RAMP_UP_START_FRACTION = 0.1
# A target gets no sub-requests for this time after it refused one because it
# is draining, or reported that it is draining.
DRAIN_HOLD_S = 10.0
# The longest pause without sub-requests that a target may ask for. A target
# can't shorten a pause and may have sent it in the wrong unit, so the target
# is tried again after this limit.
MAX_REST_S = 300.0
# After this many consecutive failures a target is ejected: it gets no
# sub-requests for some time.
EJECT_FAILURES = 3
# The ejection time doubles, up to MAX_EJECTION_S, with each further ejection
# unless a sub-request succeeded in between.
EJECTION_S = 1.0
MAX_EJECTION_S = 60.0


class AverageLatency:
    """Track the moving average of the latencies of all targets."""

    __slots__ = ('samples', 'value_s')

    def __init__(self):
        self.samples = 0
        self.value_s = INITIAL_LATENCY_S

    def observe(self, latency_s: float) -> None:
        """Add the latency of one sub-request to any of the targets."""
        self.samples += 1
        weight = AVERAGE_LATENCY_WEIGHT
        if self.samples < 1.0 / AVERAGE_LATENCY_WEIGHT:
            weight = 1.0 / self.samples
        self.value_s += weight * (latency_s - self.value_s)


class TargetEstimate:
    """Estimate the latency and availability of one target.

    It combines the latencies and failures seen by this process, the target's
    load reports, and the slots and the drain flag in its declaration.
    """

    __slots__ = (
        'backoff',
        'drain_until',
        'cold_since',
        'ejected_until',
        'fresh',
        'id',
        'in_flight',
        'local',
        'requested_pause_until',
        'slots',
        'view',
        '_declared_drain',
        '_ejections_in_row',
        '_failures_in_row',
        '_baseline_s',
        '_latency_s',
        '_decay_s',
        '_observed_at',
        '_other_load',
        '_drain_refused_at',
        '_reported_at',
        '_drain_reported_at',
        '_report_trust',
        '_average',
    )

    def __init__(
        self,
        target: declared.Target,
        local: bool,
        average: AverageLatency,
        rng: random.Random,
    ):
        self.id = target.id
        self.backoff = Backoff(rng)
        self.in_flight = 0
        self.cold_since = -math.inf
        self.ejected_until = -math.inf
        self._average = average
        self._latency_s = 0.0
        self._baseline_s = math.inf
        self._observed_at = -math.inf
        self._decay_s = DECAY_S
        self._other_load = 0
        self._reported_at = -math.inf
        self._drain_refused_at = -math.inf
        self._report_trust = 0.0
        # Figures of the last report with a pace; None if it had none.
        self.view: LoadView | None = None
        self._failures_in_row = 0
        self._ejections_in_row = 0
        # Whether the target counts as cold from its first sub-request on.
        self.fresh = average.samples > STARTUP_SAMPLES
        self.drain_until = -math.inf
        self.requested_pause_until = -math.inf
        self._drain_reported_at = -math.inf
        self.apply_declaration(target, local)

    def apply_declaration(self, target: declared.Target, local: bool) -> None:
        """Apply a new or changed declaration of the target."""
        self.local = local
        self.slots = target.slots
        self._declared_drain = target.drain
        self._update_drain_until()

    def record_report(self, report: LoadReport, now: float) -> None:
        """Record a load report of the target.

        The reported load less this process's own sub-requests is taken as the
        load caused by other clients.
        """
        reported = report.in_flight + report.queued
        self._other_load = max(reported - self.in_flight, 0)
        self._reported_at = now
        credible = (
            reported
            >= self._implied_load(self._latency_at(now)) * CREDIBLE_FRACTION
        )
        self._report_trust += TRUST_WEIGHT * (credible - self._report_trust)
        if report.cold:
            self.cold_since = now
        self._drain_reported_at = now if report.draining else -math.inf
        self._update_drain_until()

    def record_view(self, report: LoadReport, taken_at: float) -> bool:
        """Record a report with a pace; return False if it is not the newest.

        The pace ends at once if a newer report has none.
        """
        view = self.view
        if taken_at < self._reported_at or (
            view is not None and taken_at <= view.taken_at
        ):
            return False
        if not report.pace:
            self.view = None
        elif view is None:
            self.view = LoadView(report, taken_at)
        else:
            view.update(report, taken_at)
        return True

    def record_sent(self, now: float) -> None:
        """Count one sub-request as in flight to the target."""
        self.in_flight += 1
        if self.view is not None:
            self.view.record_sent(now)
        if self.fresh:
            # The target was declared while others were already in use, so it
            # was probably just started and is cold.
            self.fresh = False
            self.cold_since = now

    def pause(self, pause_s: float, now: float) -> None:
        """Send nothing to the target for the time that it asked for.

        The time is limited to MAX_REST_S.
        """
        until = now + min(pause_s, MAX_REST_S)
        self.requested_pause_until = max(self.requested_pause_until, until)

    def record_drain_refusal(self, now: float) -> None:
        """Record that the target refused a sub-request because it drains.

        It gets no sub-requests for DRAIN_HOLD_S.
        """
        self._drain_refused_at = now
        self._update_drain_until()

    def cancel_drain(self) -> None:
        """Allow sub-requests again after a refusal because of draining."""
        self._drain_refused_at = -math.inf
        self._update_drain_until()

    def record_success(self, latency_s: float, now: float) -> None:
        """Record a successful sub-request and its latency."""
        self._failures_in_row = 0
        self._ejections_in_row = 0
        self.backoff.reset()
        self._record_latency(latency_s, now)

    def record_failure(self, rng: random.Random, now: float) -> None:
        """Count a failure; eject the target at EJECT_FAILURES in a row."""
        self._failures_in_row += 1
        if self._failures_in_row < EJECT_FAILURES:
            return
        self._failures_in_row = 0
        pause_s = min(EJECTION_S * 2.0**self._ejections_in_row, MAX_EJECTION_S)
        self._ejections_in_row += 1
        self.ejected_until = now + pause_s * rng.uniform(0.8, 1.2)
        # A target that fails repeatedly has probably been restarted and is
        # then cold.
        self.cold_since = self.ejected_until

    def record_lower_bound(self, waited_s: float, now: float) -> None:
        """Record how long a sub-request without success has taken so far.

        This is a lower bound of its latency, so it is ignored if it is below
        the current estimate.
        """
        # The expected latency decays over time from the moving average. A wait
        # above the decayed value shows that the target is still slow, so
        # record at least the moving average.
        if waited_s > self._latency_at(now):
            self._record_latency(max(waited_s, self._latency_s), now)

    def expected_latency_s(self, now: float) -> float:
        """Return the latency in seconds expected of one more sub-request.

        It is raised for a cold target, so that it is chosen less often.
        """
        latency_s = self._latency_at(now)
        trust = self._report_trust_at(now)
        other_load = self._other_load * trust
        if trust < 1.0:
            # Without a recent, credible report, estimate the load from how far
            # the latency is above the baseline.
            implied_load = self._implied_load(latency_s) - self.in_flight
            other_load = max(other_load, (1.0 - trust) * implied_load)
        expected_s = latency_s * (
            1.0 + (self.in_flight + other_load) / self.slots
        )
        return self.raised_if_cold_s(expected_s, now)

    def raised_if_cold_s(self, expected_s: float, now: float) -> float:
        """Return an expected latency, raised if the target is cold."""
        age_s = now - self.cold_since
        if age_s < RAMP_UP_S:
            expected_s /= max(age_s / RAMP_UP_S, RAMP_UP_START_FRACTION)
        return expected_s

    def _update_drain_until(self) -> None:
        # A report without the draining flag may have been sent before the
        # refusal, so it does not make the target usable again. There may be no
        # later report, so the target becomes usable after DRAIN_HOLD_S.
        draining_at = max(self._drain_refused_at, self._drain_reported_at)
        self.drain_until = draining_at + DRAIN_HOLD_S
        if self._declared_drain:
            self.drain_until = math.inf

    def _report_trust_at(self, now: float) -> float:
        freshness = 1.0 - (now - self._reported_at) / REPORT_VALID_S
        return self._report_trust * freshness if freshness > 0.0 else 0.0

    def _implied_load(self, latency_s: float) -> float:
        relative_excess = latency_s / self._baseline_s - 1.0
        return relative_excess * self.slots if relative_excess > 0.0 else 0.0

    def _latency_at(self, now: float) -> float:
        # Without new latencies the estimate moves to just below the average
        # over all targets, so that a target that was slow is tried again.
        usual_s = self._average.value_s * UNKNOWN_LATENCY_FACTOR
        recency = 1.0 - (now - self._observed_at) / self._decay_s
        if recency <= 0.0:
            return usual_s
        return usual_s + recency * (self._latency_s - usual_s)

    def _record_latency(self, latency_s: float, now: float) -> None:
        latency_s = max(latency_s, LATENCY_FLOOR_S)
        average = self._average
        if not average.samples:
            average.value_s = latency_s
        # Limit the effect of a single slow sub-request, because others to the
        # same target may be fast.
        usual_s = max(self._latency_s, average.value_s)
        latency_s = min(latency_s, usual_s * OUTLIER_FACTOR)
        age_s = now - self._observed_at
        self._adapt_decay(latency_s, age_s)
        weight = min(max(age_s / DECAY_S, LATENCY_WEIGHT), 1.0)
        self._latency_s += weight * (latency_s - self._latency_s)
        self._observed_at = now
        self._baseline_s = min(
            self._baseline_s * BASELINE_GROWTH, self._latency_s
        )
        average.observe(latency_s)

    def _adapt_decay(self, latency_s: float, age_s: float) -> None:
        # If the target is still slow when it is tried again, make its estimate
        # decay more slowly, so that it is tried less often.
        usual_s = self._average.value_s
        if latency_s < usual_s * NORMAL_FACTOR:
            self._decay_s = DECAY_S
        elif latency_s > usual_s * SLOW_FACTOR and age_s > DECAY_S / 2.0:
            self._decay_s = min(self._decay_s * 2.0, MAX_DECAY_S)
