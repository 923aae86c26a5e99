"""Estimate each target's latency from observations and its reports."""

from __future__ import annotations

import math
import random

from ..configuration import declared
from ..messages import LoadReport
from .budget import Backoff

# Average latency assumed before the first success.
INITIAL_LATENCY_S = 0.005
LATENCY_FLOOR_S = 1e-5
# Least weight of a new latency in the moving average of one target.
LATENCY_WEIGHT = 0.15
# Weight of a new latency in the moving average over all targets.
AVERAGE_LATENCY_WEIGHT = 0.01
# A latency counts as at most this many times the target's previous one or the
# average over all targets, whichever is greater.
OUTLIER_FACTOR = 3.0
# Without new samples, a target's latency decays to the average within this
# time, which doubles up to the maximum for a target that stays slow.
DECAY_S = 3.0
MAX_DECAY_S = 24.0
# A target without recent samples is assumed to be this much faster than the
# average, so that it is tried again.
UNKNOWN_LATENCY_FACTOR = 0.9
# Multiples of the average above which a target is slow, and below which it is
# normal again.
SLOW_FACTOR = 2.0
NORMAL_FACTOR = 1.3
# The baseline, the lowest latency of a target, grows by this factor with each
# sample, so that it follows a target that has become slower.
BASELINE_GROWTH = 1.001
# The weight of a load report falls to zero within this time.
REPORT_VALID_S = 1.5
TRUST_WEIGHT = 0.2
# A report is credible if it gives at least this part of the load that the
# latency implies.
CREDIBLE_FRACTION = 0.5
# Targets declared after this many samples over all targets are new ones.
STARTUP_SAMPLES = 100
# A cold target gets its full share of the work only after this time.
RAMP_UP_S = 10.0
RAMP_UP_START_FRACTION = 0.1
# A target that refused work or reported that it is draining gets none for this
# time.
DRAIN_HOLD_S = 10.0
# Limit on the rest time that a target may ask for. Such a time can't be
# revoked and may have been sent in the wrong unit, so after this limit one
# request tries the target again.
MAX_REST_S = 300.0
# Consecutive failures after which a target is ejected.
EJECT_FAILURES = 3
# The ejection time doubles with each ejection without a success in between.
EJECTION_S = 1.0
MAX_EJECTION_S = 60.0


class AverageLatency:
    """Track the moving average of the latencies of all targets."""

    __slots__ = ('samples', 'value_s')

    def __init__(self):
        self.samples = 0
        self.value_s = INITIAL_LATENCY_S

    def observe(self, latency_s: float) -> None:
        """Add one latency of any target to the average."""
        self.samples += 1
        weight = AVERAGE_LATENCY_WEIGHT
        if self.samples < 1.0 / AVERAGE_LATENCY_WEIGHT:
            weight = 1.0 / self.samples
        self.value_s += weight * (latency_s - self.value_s)


class TargetEstimate:
    """Estimate the latency and availability of one target.

    The estimate combines what this process observed, what the target reports
    and what is declared of it.
    """

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
        '_slots',
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
        self._failures_in_row = 0
        self._ejections_in_row = 0
        # Whether the first sub-request makes the target count as cold.
        self.fresh = average.samples > STARTUP_SAMPLES
        self.closed_until = -math.inf
        self.rests_until = -math.inf
        self._drain_reported_at = -math.inf
        self.declare(target, local)

    def declare(self, target: declared.Target, local: bool) -> None:
        """Apply the target's current declaration."""
        self.local = local
        self._slots = target.slots
        self._declared_drain = target.drain
        self._update_closed_until()

    def record_report(self, report: LoadReport, now: float) -> None:
        """Record a load report of the target.

        The load of other clients is what it reports beyond the sub-requests
        of this process.
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
        self._update_closed_until()

    def record_sent(self, now: float) -> None:
        """Count one sub-request sent to the target."""
        self.in_flight += 1
        if self.fresh:
            # A target declared long after the others is new, so it
            # starts cold.
            self.fresh = False
            self.cold_since = now

    def rest(self, rest_s: float, now: float) -> None:
        """Stop sending to the target for the time that it asked for."""
        until = now + min(rest_s, MAX_REST_S)
        self.rests_until = max(self.rests_until, until)

    def record_drain_refusal(self, now: float) -> None:
        """Stop sending to a target that refused because it is draining."""
        self._drain_refused_at = now
        self._update_closed_until()

    def cancel_drain(self) -> None:
        """Cancel the effect of the target's refusal because of draining."""
        self._drain_refused_at = -math.inf
        self._update_closed_until()

    def record_success(self, latency_s: float, now: float) -> None:
        """Record a success and its latency."""
        self._failures_in_row = 0
        self._ejections_in_row = 0
        self.backoff.succeeded()
        self._record_latency(latency_s, now)

    def record_failure(self, rng: random.Random, now: float) -> None:
        """Count a failure; eject the target after several consecutive ones."""
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
        """Record the time waited for a sub-request that has not succeeded.

        Its latency would have been at least this long.
        """
        # A wait longer than the decayed latency confirms the undecayed one.
        if waited_s > self._latency_at(now):
            self._record_latency(max(waited_s, self._latency_s), now)

    def expected_latency_s(self, now: float) -> float:
        """Return the expected latency in seconds of one more sub-request."""
        latency_s = self._latency_at(now)
        trust = self._report_trust_at(now)
        other_load = self._other_load * trust
        if trust < 1.0:
            # Queueing at the target raises the latency, whether or not the
            # target reports the queue.
            implied_load = self._implied_load(latency_s) - self.in_flight
            other_load = max(other_load, (1.0 - trust) * implied_load)
        expected_s = latency_s * (
            1.0 + (self.in_flight + other_load) / self._slots
        )
        age_s = now - self.cold_since
        if age_s < RAMP_UP_S:
            expected_s /= max(age_s / RAMP_UP_S, RAMP_UP_START_FRACTION)
        return expected_s

    def _update_closed_until(self) -> None:
        # A report may be older than the target's refusal, so it doesn't end
        # the hold; as no later report may come, the hold ends by itself.
        closed_at = max(self._drain_refused_at, self._drain_reported_at)
        self.closed_until = closed_at + DRAIN_HOLD_S
        if self._declared_drain:
            self.closed_until = math.inf

    def _report_trust_at(self, now: float) -> float:
        freshness = 1.0 - (now - self._reported_at) / REPORT_VALID_S
        return self._report_trust * freshness if freshness > 0.0 else 0.0

    def _implied_load(self, latency_s: float) -> float:
        relative_excess = latency_s / self._baseline_s - 1.0
        return relative_excess * self._slots if relative_excess > 0.0 else 0.0

    def _latency_at(self, now: float) -> float:
        # The latency decays towards the average, so that a target that was
        # slow is tried again.
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
        # Limit the effect of one slow request, which may not be typical of
        # the target.
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
        # A target that is slow each time it is tried is tried less often.
        usual_s = self._average.value_s
        if latency_s < usual_s * NORMAL_FACTOR:
            self._decay_s = DECAY_S
        elif latency_s > usual_s * SLOW_FACTOR and age_s > DECAY_S / 2.0:
            self._decay_s = min(self._decay_s * 2.0, MAX_DECAY_S)
