"""Choose the replica for a sub-request and notice a replica that pauses.

Load pattern: every replica of a shard stands still for about 100 ms each few
seconds, at its own times. Of 20 shards, one is paused in every second query,
so a replica whose oldest request is overdue gets no new work until it
answers, and what already waits there is asked of another replica.

Load pattern: many replicas fall silent at once, and each of many nodes asks
each of them only now and then. So one that answered nothing for much longer
than a pause is left alone for a moment by all nodes that hear of it.
"""

from __future__ import annotations

import itertools
import math
import random
import typing

from ..messages import LoadReport
from ..routing.latency import LatencyTracker
from ..routing.replicas import ReplicaChooser
from ..types import Outcome
from ..types import TargetId
from ..types import ZoneName
from .routes import RouteName
from .targets import Target

# Latencies of routes differ by their work; all are scaled to this median
# before targets are compared by them.
REFERENCE_S = 0.008
# In scaled seconds: another zone is asked only when the own zone's replica
# is expected to take about five times as long as usual, as bytes between
# zones are the dearest resource.
ZONE_COST_S = 0.03
# A request is overdue beyond this quantile of its route's latencies, by
# this factor.
OVERDUE_QUANTILE = 0.9
OVERDUE_FACTOR = 1.3
# Longer than the pauses of targets, with some room; one that answers nothing
# for so long is taken to be gone.
SILENT_AFTER_S = 0.2
# It is tried again after this time, by one request of each node.
SILENT_FOR_S = 1.5
# Until a route's latencies are known; about two work times of a sweep.
FIRST_TYPICAL_S = 0.02
LATENCY_WINDOW_S = 8.0

Token = typing.NewType('Token', int)


class Sent(typing.NamedTuple):
    """Hold one sub-request that has no end yet."""

    target_id: TargetId
    route: RouteName
    at: float
    overdue_at: float


class Choice:
    """Rank replicas by load, latency, zone and overdue requests."""

    def __init__(self, zone: ZoneName, rng: random.Random):
        self.on_ejected: typing.Callable[[TargetId, float], None] = (
            lambda target_id, for_s: None
        )
        self._chooser = ReplicaChooser(zone, rng, ZONE_COST_S)
        self._latencies = LatencyTracker(LATENCY_WINDOW_S)
        self._tokens = itertools.count(1)
        self.on_silent: typing.Callable[[TargetId], None] = lambda target_id: (
            None
        )
        self.on_rest: typing.Callable[[TargetId, float], None] = (
            lambda target_id, for_s: None
        )
        # The end of the last rest of any target.
        self._rests_until = -math.inf
        self._answered_at: dict[TargetId, float] = {}
        self._silent_until: dict[TargetId, float] = {}
        self._sent: dict[Token, Sent] = {}
        self._overdue_at: dict[TargetId, dict[Token, float]] = {}

    def declare(self, target: Target) -> None:
        """Add a target or take over its changed registration."""
        self._chooser.declare(target)

    def forget(self, target_id: TargetId) -> None:
        """Drop a target."""
        self._chooser.forget(target_id)
        self._answered_at.pop(target_id, None)
        self._silent_until.pop(target_id, None)

    def reported(
        self, target_id: TargetId, report: LoadReport, now: float
    ) -> None:
        """Take in what a target says of its load."""
        self._chooser.reported(target_id, report, now)

    def unreachable(self, target_id: TargetId, now: float) -> None:
        """Take in that a target accepts no connection."""
        self._chooser.started(target_id, now)
        self._finish(target_id, Outcome.CONNECT_FAILED, 0.0, now)
        self._note_silence(target_id, now)

    def heard_silent(self, target_id: TargetId, now: float) -> None:
        """Take in that another node got no answer from a target."""
        answered_at = self._answered_at.get(target_id, -SILENT_FOR_S)
        if now - answered_at > SILENT_AFTER_S:
            self._silent_until[target_id] = now + SILENT_FOR_S

    def answered_since(self, target_id: TargetId, at: float) -> bool:
        """Tell whether a target has answered any request since then."""
        return self._answered_at.get(target_id, -math.inf) > at

    def silent(self, target_id: TargetId, now: float) -> bool:
        """Tell whether a target is taken to be gone."""
        until = self._silent_until.get(target_id)
        return until is not None and now < until

    def _note_silence(self, target_id: TargetId, now: float) -> None:
        if not self.silent(target_id, now):
            self._silent_until[target_id] = now + SILENT_FOR_S
            self.on_silent(target_id)

    def choose(
        self,
        candidates: typing.Sequence[TargetId],
        now: float,
        avoid: typing.Collection[TargetId] = (),
    ) -> TargetId | None:
        """Return the replica to ask; None where none may be asked."""
        late = [
            one
            for one in candidates
            if self.silent(one, now) or self.paused(one, now)
        ]
        if late:
            found = self._chooser.choose(candidates, now, {*avoid, *late})
            if found is not None:
                return found
        return self._chooser.choose(candidates, now, avoid)

    def resting(self, target_id: TargetId, now: float) -> bool:
        """Tell whether a target has asked this node for rest."""
        return (
            self._rests_until > now
            and self._chooser.rests_until(target_id) > now
        )

    def any_rests(self, now: float) -> bool:
        """Tell whether any target may have asked this node for rest."""
        return self._rests_until > now

    def rest_s(self, target_id: TargetId, now: float) -> float:
        """Return for how long a target has asked this node for rest."""
        return max(0.0, self._chooser.rests_until(target_id) - now)

    def rest(self, target_id: TargetId, rest_s: float, now: float) -> None:
        """Take in that a target wants nothing for a time."""
        before = self._chooser.rests_until(target_id)
        self._chooser.rest(target_id, rest_s, now)
        until = self._chooser.rests_until(target_id)
        self._rests_until = max(self._rests_until, until)
        if until > max(before, now):
            self.on_rest(target_id, rest_s)

    def paused(self, target_id: TargetId, now: float) -> bool:
        """Tell whether a request at the target is overdue."""
        waiting = self._overdue_at.get(target_id)
        if not waiting:
            return False
        return any(at <= now for at in waiting.values())

    def ejected_s(self, target_id: TargetId, now: float) -> float:
        """Return for how long a target's failures keep work from it."""
        return max(0.0, self._chooser.ejected_until(target_id) - now)

    def sent(self, target_id: TargetId, route: RouteName, now: float) -> Token:
        """Count one sub-request sent."""
        token = Token(next(self._tokens))
        overdue_s = self.overdue_s(route, now)
        sent = Sent(target_id, route, now, now + overdue_s)
        self._sent[token] = sent
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
    ) -> None:
        """Count one sub-request ended; further calls change nothing."""
        sent = self._sent.pop(token, None)
        if sent is None:
            return
        waiting = self._overdue_at.get(sent.target_id)
        if waiting is not None:
            waiting.pop(token, None)
            if not waiting:
                del self._overdue_at[sent.target_id]
        if retry_after_s > 0.0:
            self.rest(sent.target_id, retry_after_s, now)
        latency_s = now - sent.at
        scaled_s = latency_s * REFERENCE_S / self.typical_s(sent.route, now)
        if outcome is Outcome.OK:
            self._latencies.observe(sent.route, latency_s, now)
            self._answered_at[sent.target_id] = now
            self._silent_until.pop(sent.target_id, None)
        elif (
            outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
            and latency_s >= SILENT_AFTER_S
            and self._answered_at.get(sent.target_id, -1.0) < sent.at
        ):
            self._note_silence(sent.target_id, now)
        self._finish(sent.target_id, outcome, scaled_s, now)

    def _finish(
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

    def typical_s(self, route: RouteName, now: float) -> float:
        """Return the median latency of a route's sub-requests."""
        return self._quantile(route, 0.5, now) or FIRST_TYPICAL_S

    def overdue_s(self, route: RouteName, now: float) -> float:
        """Return after how long a sub-request of a route is overdue."""
        found = self._quantile(route, OVERDUE_QUANTILE, now)
        return (found or FIRST_TYPICAL_S) * OVERDUE_FACTOR

    def hedge_s(self, route: RouteName, quantile: float, now: float) -> float:
        """Return the latency that this share of sub-requests stays below."""
        return self._quantile(route, quantile, now) or FIRST_TYPICAL_S

    def _quantile(
        self, route: RouteName, fraction: float, now: float
    ) -> float | None:
        return self._latencies.quantile(route, fraction, now)
