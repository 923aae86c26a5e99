"""Choose the replica for a sub-request and detect replicas that pause.

Load pattern: every replica of a shard pauses for about 100 ms every few
seconds, at its own times. With 20 shards, one of them is paused in every
second query. So a replica with an overdue request gets no new requests until
it answers, and requests already sent to it are hedged to another replica.

Load pattern: many replicas stop answering at once, and each of many nodes
sends to each of them only now and then, so that each node would detect it
late. So a replica that answered nothing for much longer than a pause is
avoided for a short time, also by the other nodes, to which it is reported.
"""

from __future__ import annotations

import itertools
import math
import random
import typing

from ..messages import LoadReport
from ..placement.load_view import LoadView
from ..routing.latency import LatencyTracker
from ..routing.replicas import ReplicaChooser
from ..types import Outcome
from ..types import TargetId
from ..types import ZoneName
from .routes import RouteName
from .targets import Target

# Before targets are compared by latency, the latencies of each route are
# scaled to this median, because routes differ in how long their requests take.
REFERENCE_MEDIAN_S = 0.008
# Added to the expected latency, in scaled seconds, of replicas in other zones,
# because traffic between zones is the most expensive resource. A replica in
# another zone is chosen only if the one in this node's zone is expected to
# take about five times as long as usual.
OTHER_ZONE_COST_S = 0.03
# A request is overdue, and its target counts as paused, once it takes longer
# than OVERDUE_FACTOR times this quantile of its route's latencies.
OVERDUE_QUANTILE = 0.9
OVERDUE_FACTOR = 1.3
# A target that answers nothing for this long is assumed to have failed, and is
# avoided. Targets that merely pause answer after about 0.1 s.
SILENT_AFTER_S = 0.2
# Time for which each node avoids a target that stopped answering, before it
# sends the target another request.
SILENT_RETRY_S = 1.5
# Latency assumed for a route's sub-requests until some were answered. With a
# lower value the first requests would be hedged, and their targets counted as
# paused, although they take only their usual time.
DEFAULT_LATENCY_S = 0.02
# Only latencies observed within this time count for a route's quantiles.
LATENCY_WINDOW_S = 8.0

# Outcomes that a node without connections sees at every target.
_NETWORK_FAILURES = frozenset(
    {
        Outcome.TIMEOUT,
        Outcome.CANCELLED,
        Outcome.BROKEN,
        Outcome.CONNECT_FAILED,
    }
)

Token = typing.NewType('Token', int)


class OpenSubRequest(typing.NamedTuple):
    """Hold the target and the times of a sub-request without a result.

    The field at holds the clock time when it was sent, overdue_at the time
    when it starts to count as overdue. If through_helper is True, a helper
    node sends it to the target.
    """

    target_id: TargetId
    route: RouteName
    at: float
    overdue_at: float
    through_helper: bool = False


class ReplicaSelector:
    """Choose replicas by load, latency, zone and overdue requests.

    Three callbacks are called when a target starts to be avoided: on_ejected
    after failures, on_silent because it stopped answering, and on_backoff
    because it asked, with Retry-After, to be sent nothing. The number passed
    to on_ejected and on_backoff is the duration in seconds.
    """

    def __init__(self, zone: ZoneName, rng: random.Random):
        self.on_ejected: typing.Callable[[TargetId, float], None] = (
            lambda target_id, for_s: None
        )
        self._chooser = ReplicaChooser(
            zone, rng, OTHER_ZONE_COST_S, REFERENCE_MEDIAN_S
        )
        self._latencies = LatencyTracker(LATENCY_WINDOW_S)
        self._tokens = itertools.count(1)
        self.on_silent: typing.Callable[[TargetId], None] = lambda target_id: (
            None
        )
        self.on_backoff: typing.Callable[[TargetId, float], None] = (
            lambda target_id, for_s: None
        )
        # Latest time until which any target has asked to be sent nothing.
        # After that time targets need not be checked one by one.
        self._last_rest_ends_at = -math.inf
        self._last_answer_at: dict[TargetId, float] = {}
        self._silent_until: dict[TargetId, float] = {}
        self._open: dict[Token, OpenSubRequest] = {}
        self._overdue_at: dict[TargetId, dict[Token, float]] = {}

    def declare(self, target: Target) -> None:
        """Add a target or update its registration."""
        self._chooser.declare(target)

    def forget(self, target_id: TargetId) -> None:
        """Drop a target that is no longer registered."""
        self._chooser.forget(target_id)
        self._last_answer_at.pop(target_id, None)
        self._silent_until.pop(target_id, None)

    def reported(
        self, target_id: TargetId, report: LoadReport, now: float
    ) -> None:
        """Record the load that a target reported in a reply."""
        self._chooser.reported(target_id, report, now)

    def reported_elsewhere(
        self, target_id: TargetId, report: LoadReport, taken_at: float
    ) -> bool:
        """Record figures that a helper node received at the time taken_at.

        Return False, and ignore them, if this node has newer ones.
        """
        return self._chooser.reported_elsewhere(target_id, report, taken_at)

    def load_view(self, target_id: TargetId) -> LoadView | None:
        """Return a target's newest figures if they include a pace."""
        return self._chooser.view(target_id)

    def record_unreachable(self, target_id: TargetId, now: float) -> None:
        """Record that a target accepts no connection, and avoid it."""
        self._chooser.started(target_id, now)
        self._record_end(target_id, Outcome.CONNECT_FAILED, 0.0, now)
        self._mark_silent(target_id, now)

    def mark_silent(self, target_id: TargetId, now: float) -> bool:
        """Avoid a target that another node reports as not answering.

        The report is ignored, and the result False, if the target answered
        this node within the last SILENT_AFTER_S.
        """
        last_answer_at = self._last_answer_at.get(target_id, -SILENT_RETRY_S)
        is_believed = now - last_answer_at > SILENT_AFTER_S
        if is_believed:
            self._silent_until[target_id] = now + SILENT_RETRY_S
        return is_believed

    def answered_since(self, target_id: TargetId, sent_at: float) -> bool:
        """Return True if a target answered any request after a given time."""
        return self._last_answer_at.get(target_id, -math.inf) > sent_at

    def silent(self, target_id: TargetId, now: float) -> bool:
        """Return True if a target is avoided because it stopped answering."""
        until = self._silent_until.get(target_id)
        return until is not None and now < until

    def _mark_silent(self, target_id: TargetId, now: float) -> None:
        if not self.silent(target_id, now):
            self._silent_until[target_id] = now + SILENT_RETRY_S
            self.on_silent(target_id)

    def choose(
        self,
        candidates: typing.Sequence[TargetId],
        now: float,
        avoid: typing.Collection[TargetId] = (),
    ) -> TargetId | None:
        """Return the replica to send to; None if none accepts requests.

        Replicas listed in avoid are not chosen at all. Replicas that are
        paused or have stopped answering are chosen only if no other accepts
        requests.
        """
        delayed = [
            one
            for one in candidates
            if self.silent(one, now) or self.paused(one, now)
        ]
        if delayed:
            found = self._chooser.choose(candidates, now, {*avoid, *delayed})
            if found is not None:
                return found
        return self._chooser.choose(candidates, now, avoid)

    def resting(self, target_id: TargetId, now: float) -> bool:
        """Return True if a target has asked to be sent nothing for now."""
        return (
            self._last_rest_ends_at > now
            and self._chooser.rests_until(target_id) > now
        )

    def any_resting(self, now: float) -> bool:
        """Return False if resting() is surely False for all targets.

        This is cheaper than calling resting() for each target.
        """
        return self._last_rest_ends_at > now

    def backoff_left_s(self, target_id: TargetId, now: float) -> float:
        """Return for how many seconds a target still wants no requests."""
        return max(0.0, self._chooser.rests_until(target_id) - now)

    def rests_until(self, target_id: TargetId) -> float:
        """Return until when a target wants no requests, or a past time."""
        return self._chooser.rests_until(target_id)

    def back_off(self, target_id: TargetId, rest_s: float, now: float) -> None:
        """Send a target nothing for rest_s, as it asked with Retry-After."""
        before = self._chooser.rests_until(target_id)
        self._chooser.rest(target_id, rest_s, now)
        until = self._chooser.rests_until(target_id)
        self._last_rest_ends_at = max(self._last_rest_ends_at, until)
        if until > max(before, now):
            self.on_backoff(target_id, rest_s)

    def paused(self, target_id: TargetId, now: float) -> bool:
        """Return True if any request sent to a target is overdue."""
        waiting = self._overdue_at.get(target_id)
        if not waiting:
            return False
        return any(overdue_at <= now for overdue_at in waiting.values())

    def ejected_s(self, target_id: TargetId, now: float) -> float:
        """Return for how many seconds failures still make a target avoided."""
        return max(0.0, self._chooser.ejected_until(target_id) - now)

    def oldest_open_at(self) -> float | None:
        """Return when the oldest sub-request without a result was sent.

        Those sent through helper nodes do not count.
        """
        for sent in self._open.values():
            if not sent.through_helper:
                return sent.at
        return None

    def forget_silences(self) -> None:
        """Forget which targets do not answer, as the network was the cause."""
        self._silent_until.clear()

    def sent(
        self,
        target_id: TargetId,
        route: RouteName,
        now: float,
        through_helper: bool = False,
    ) -> Token:
        """Record that a sub-request was sent; return a token for ended()."""
        token = Token(next(self._tokens))
        overdue_s = self.overdue_s(route, now)
        sent = OpenSubRequest(
            target_id, route, now, now + overdue_s, through_helper
        )
        self._open[token] = sent
        waiting = self._overdue_at.setdefault(target_id, {})
        waiting[token] = sent.overdue_at
        self._chooser.started(target_id, now)
        return token

    def ended(
        self,
        token: Token,
        outcome: Outcome,
        now: float,
        retry_after_s: float = 0.0,
        is_network_doubtful: bool = False,
    ) -> None:
        """Record the outcome of the sub-request with this token.

        The target is then sent nothing for retry_after_s. If the failure is
        perhaps one of this node's network, the target is not blamed. Further
        calls with the same token are ignored.
        """
        sent = self._open.pop(token, None)
        if sent is None:
            return
        waiting = self._overdue_at.get(sent.target_id)
        if waiting is not None:
            waiting.pop(token, None)
            if not waiting:
                del self._overdue_at[sent.target_id]
        if retry_after_s > 0.0:
            self.back_off(sent.target_id, retry_after_s, now)
        latency_s = now - sent.at
        scaled_s = (
            latency_s * REFERENCE_MEDIAN_S / self.median_s(sent.route, now)
        )
        if is_network_doubtful and outcome in _NETWORK_FAILURES:
            self._chooser.finished(sent.target_id, Outcome.CANCELLED, 0.0, now)
            return
        if outcome is Outcome.OK:
            self._latencies.observe(sent.route, latency_s, now)
            self._last_answer_at[sent.target_id] = now
            self._silent_until.pop(sent.target_id, None)
        elif (
            outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
            # A helper node reports silent targets itself. If it sends nothing,
            # the targets are perhaps not the cause.
            and not sent.through_helper
            and latency_s >= SILENT_AFTER_S
            and self._last_answer_at.get(sent.target_id, -1.0) < sent.at
        ):
            self._mark_silent(sent.target_id, now)
        self._record_end(sent.target_id, outcome, scaled_s, now)

    def _record_end(
        self,
        target_id: TargetId,
        outcome: Outcome,
        latency_s: float,
        now: float,
    ) -> None:
        before = self._chooser.ejected_until(target_id)
        self._chooser.finished(target_id, outcome, latency_s, now)
        until = self._chooser.ejected_until(target_id)
        if until > before:
            self.on_ejected(target_id, until - now)

    def median_s(self, route: RouteName, now: float) -> float:
        """Return the median latency of a route's sub-requests, in seconds."""
        return self._quantile(route, 0.5, now) or DEFAULT_LATENCY_S

    def overdue_s(self, route: RouteName, now: float) -> float:
        """Return after how many seconds a route's sub-request is overdue."""
        found = self._quantile(route, OVERDUE_QUANTILE, now)
        return (found or DEFAULT_LATENCY_S) * OVERDUE_FACTOR

    def latency_quantile_s(
        self, route: RouteName, quantile: float, now: float
    ) -> float:
        """Return a quantile, in seconds, of a route's sub-request latencies.

        quantile is between 0 and 1.
        """
        return self._quantile(route, quantile, now) or DEFAULT_LATENCY_S

    def _quantile(
        self, route: RouteName, fraction: float, now: float
    ) -> float | None:
        return self._latencies.quantile(route, fraction, now)
