"""Decide which targets one query over shards is sent to, and when it ends.

This module does no I/O: each call returns the sub-requests to send, or how
the query ended.

Load pattern: in most queries one of many shards is slow, because each replica
pauses at its own times. Coverage is the share of shards whose replies are in
the answer. The value of an answer is the square of its coverage; after the
latency objective it has almost none. So a slow shard is hedged to another of
its replicas while the hedge can still help. Just before the objective the
answer is sent with the shards that have replied, if they reach the minimum
coverage.

Load pattern: a query crashes each target that runs it, and its first attempts
go to all shards at once. So once the connection of an attempt has broken,
nothing more is sent until a target has answered the query. If all attempts
fail, a single one is sent to find out whether the query crashes targets.
"""

from __future__ import annotations

import enum
import math
import typing

import msgspec

from ..types import ServiceName
from ..types import TargetId
from .attempts import AttemptNo
from .attempts import AttemptPolicy
from .attempts import MAX_NO_LINKS_ATTEMPTS
from .attempts import may_ask_again
from .attempts import NOTHING_SENT
from .attempts import Recipients
from .attempts import Send
from .attempts import SendReason
from .attempts import SubRequestFailure
from .attempts import SURELY_NOT_RUN
from .routes import Route
from .routes import Shards

# A shard is hedged (its sub-request is also sent to another replica) once it
# takes longer than this quantile of the latencies of its route's sub-requests.
# So one sub-request in ten is hedged. That uses half of the retry budget of
# 0.2 repeats per request; a lower quantile would leave too little for replicas
# that pause or fail.
HEDGE_QUANTILE = 0.9
# A slow shard is hedged only if the node could still send its service this
# many repeats after the hedge. They are reserved for hedges of paused replicas
# and for retries. With the default slack of the retry budget, each of five
# nodes can send a service eight repeats per window even without requests.
HEDGE_RESERVED_REPEATS = 3.0
# Limit of retries, per query and shard, after sub-requests that the target
# surely did not run (see SURELY_NOT_RUN). These sub-requests do not count
# towards the route's max_attempts.
MAX_NOT_RUN_ATTEMPTS = 3
# The query is assumed to crash targets, and is no longer repeated, once at
# least MAX_BROKEN_ATTEMPTS of its connections broke and these are more than
# BROKEN_SHARE of its attempts that broke or were answered. If connections
# break for another reason, more of the attempts are answered.
MAX_BROKEN_ATTEMPTS = 3
BROKEN_SHARE = 0.8
# A query on trial is suspected of crashing targets. It is sent to at most this
# many targets, one after another, until one of them answers it or the
# connection to one breaks.
MAX_TRIAL_ATTEMPTS = 3
# Seconds between checks whether shards that have not answered need a hedge.
CHECK_INTERVAL_S = 0.004


class Ending(enum.Enum):
    """Way in which a query ended.

    COMPLETE: all shards answered. PARTIAL: enough shards answered for the
    route's minimum coverage. TOO_FEW_SHARDS: fewer answered than that.
    TOO_FEW_AVAILABLE: nothing was sent, because too few shards had a target
    that accepts requests.
    """

    COMPLETE = 'whole'
    PARTIAL = 'partial'
    TOO_FEW_SHARDS = 'too_few'
    TOO_FEW_AVAILABLE = 'hopeless'


class Finish(msgspec.Struct, frozen=True):
    """Order to end the query with this result.

    may_have_run is True if any target has possibly run the query; without
    enough replies the caller then gets status 504 instead of 503. rest_s is
    the time until enough shards for the minimum coverage accept requests
    again; None if not known.
    """

    ending: Ending
    may_have_run: bool
    rest_s: float | None = None


Action = Send | Finish


class Trial(msgspec.Struct, frozen=True):
    """Trial of a query that is suspected of crashing targets.

    The query is sent to one shard only; the other shards follow after that
    shard has answered. services_with_losses are the services whose targets
    the query is suspected of having crashed; one of them is tried first.
    """

    services_with_losses: frozenset[ServiceName]


class _ShardState:
    """Track the attempts of one query at one shard.

    The field asked lists the target of each attempt; open maps each attempt
    without a result to its target and the time when it was sent. not_run
    counts the attempts that surely did not run, broken_count those whose
    connection broke. An attempt that was not sent for a reason other than its
    target is not in asked; unpermitted counts those without a permit, no_links
    those whose helper node had no connections. recipients are the targets that
    received an attempt. done is True once the shard has replied.
    """

    __slots__ = (
        'asked',
        'broken_count',
        'done',
        'no_links',
        'not_run',
        'open',
        'recipients',
        'unpermitted',
    )

    def __init__(self):
        self.asked: list[TargetId] = []
        self.recipients = Recipients()
        self.open: dict[AttemptNo, tuple[TargetId, float]] = {}
        self.done = False
        self.not_run = 0
        self.unpermitted = 0
        self.no_links = 0
        self.broken_count = 0

    def may_retry(self) -> bool:
        """Return False after too many attempts that surely did not run."""
        return (
            self.not_run + self.unpermitted <= MAX_NOT_RUN_ATTEMPTS
            and self.no_links <= MAX_NO_LINKS_ATTEMPTS
        )

    def record_unsent(
        self, target_id: TargetId, end: SubRequestFailure
    ) -> None:
        """Record that an attempt was not sent, but not because of its target.

        It lacked a permit, or its helper node had no connections.
        """
        self.asked.remove(target_id)
        self.no_links += end is SubRequestFailure.NO_LINKS
        self.unpermitted += end is SubRequestFailure.NO_PERMIT


class Gather:
    """Choose the sub-requests of one query and decide when it ends.

    From cutoff_at on, the query ends as soon as enough shards for the route's
    minimum coverage have answered; at deadline_at it ends in any case.
    """

    def __init__(
        self,
        route: Route,
        policy: AttemptPolicy,
        cutoff_at: float,
        deadline_at: float,
        trial: Trial | None = None,
    ):
        shards = typing.cast(Shards, route.destination)
        self._route = route
        self._services = shards.services
        self._required_answers = max(
            1, math.ceil(shards.min_coverage * len(shards.services) - 1e-9)
        )
        self._policy = policy
        self._cutoff_at = cutoff_at
        self._deadline_at = deadline_at
        self._shards = [_ShardState() for _ in shards.services]
        self._attempts = 0
        self._answered = 0
        self._broken_count = 0
        self._may_have_run = False
        self._finished = False
        self._trial = trial
        # After a connection broke and all attempts ended without an answer:
        # the single attempt sent to find out whether the query crashes
        # targets. None before that.
        self._probe_attempt: AttemptNo | None = None

    @property
    def on_trial(self) -> bool:
        """Return True while the query goes to one shard only.

        The other shards are sent it after that shard has answered.
        """
        return self._trial is not None

    @property
    def answered(self) -> int:
        """Return the number of shards that have answered."""
        return self._answered

    @property
    def finished(self) -> bool:
        """Return True if the query has ended."""
        return self._finished

    def is_held(self, attempt: AttemptNo) -> bool:
        """Return True if an attempt that got a connection must not be sent.

        After the connection of one attempt has broken, nothing is sent until a
        target has answered, except the single attempt that finds out whether
        the query crashes targets.
        """
        return self._suspects_crash() and attempt != self._probe_attempt

    def missing(self) -> list[int]:
        """Return the shards without a reply, by index in the route's list."""
        return [
            index for index, shard in enumerate(self._shards) if not shard.done
        ]

    def start(self, now: float) -> list[Action]:
        """Send the query to one replica of each shard.

        If fewer shards accept requests than the route's minimum coverage
        needs, send nothing and end the query with TOO_FEW_AVAILABLE. A query
        on trial is sent to one shard only.
        """
        waits_s = [
            self._policy.available_in_s(one, self._route.priority, now)
            for one in self._services
        ]
        if waits_s.count(0.0) < self._required_answers:
            return self._finish(
                Ending.TOO_FEW_AVAILABLE, self._enough_available_s(waits_s)
            )
        for service in self._services:
            self._policy.budget.count_request(service, now)
        if self._trial is not None:
            return self._send_trial(self._trial, now) or self._finish(
                Ending.TOO_FEW_AVAILABLE
            )
        return self._send_first_attempts(now)

    def _send_first_attempts(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for index, shard in enumerate(self._shards):
            if not shard.asked:
                actions += self._send(index, SendReason.FIRST, now)
        return actions

    def _send_trial(self, trial: Trial, now: float) -> list[Action]:
        """Send a query on trial to one shard.

        Shards whose targets it is suspected of having crashed come first.
        Return no action if no shard has a target for it.
        """
        order = sorted(
            range(len(self._shards)),
            key=lambda index: (
                self._services[index] not in trial.services_with_losses
            ),
        )
        for index in order:
            reason = (
                SendReason.RETRY_FAILED
                if self._shards[index].asked
                else SendReason.FIRST
            )
            sent = self._send(index, reason, now)
            if sent:
                return sent
        return []

    def replied(
        self, index: int, attempt: AttemptNo, now: float
    ) -> list[Action]:
        """Record a shard's reply; further replies of the shard are ignored.

        The first reply of a query on trial, or after a connection broke,
        shows that targets survive the query. The query is then sent to the
        shards that were held back.
        """
        shard = self._shards[index]
        shard.open.pop(attempt, None)
        self._may_have_run = True
        if self._finished or shard.done:
            return []
        shard.done = True
        self._answered += 1
        if self._trial is not None:
            self._trial = None
            return self._send_first_attempts(now) + self._finish_if_decided(
                now
            )
        if self._answered == 1 and self._broken_count:
            return self._send_held_shards(now) + self._finish_if_decided(now)
        return self._finish_if_decided(now)

    def _send_held_shards(self, now: float) -> list[Action]:
        """Send to the shards that were held back after a connection broke."""
        actions: list[Action] = []
        for index, shard in enumerate(self._shards):
            if not shard.done and not shard.open:
                actions += self._send_postponed(index, shard, now)
        return actions

    def needs_result(self, index: int) -> bool:
        """Return True if a reply of this shard would still be used."""
        return not self._finished and not self._shards[index].done

    def failed(
        self,
        index: int,
        attempt: AttemptNo,
        end: SubRequestFailure,
        now: float,
    ) -> list[Action]:
        """Record a failed attempt; retry at another replica if allowed.

        The attempts at each shard and the retry budget are limited. If a
        connection broke and no target has answered, a retry is sent only after
        all attempts have ended, and only one at a time.
        """
        shard = self._shards[index]
        target_id, _ = shard.open.pop(attempt)
        if not shard.recipients.record_failure(target_id, end):
            self._may_have_run = True
        if may_ask_again(end, self._wait_s(target_id, now)):
            shard.record_unsent(target_id, end)
        elif end in SURELY_NOT_RUN:
            shard.not_run += 1
        else:
            shard.broken_count += end is SubRequestFailure.BROKEN
            self._broken_count += end is SubRequestFailure.BROKEN
        if self._finished or shard.done:
            return []
        if self._trial is not None:
            return self._on_trial_failure(self._trial, end, now)
        if self._suspects_crash():
            return self._send_probe(now) or self._finish_if_decided(now)
        if shard.open:
            return self._finish_if_decided(now)
        sends = self._retry(index, end, now)
        return sends or self._finish_if_decided(now)

    def _wait_s(self, target_id: TargetId, now: float) -> float:
        priority = self._route.priority
        return self._policy.limits.wait_s(target_id, priority, now)

    def _send_probe(self, now: float) -> list[Action]:
        """Send one attempt alone to see whether the query crashes targets.

        Return no action while other attempts are open, nor after
        MAX_BROKEN_ATTEMPTS connections broke.
        """
        if self._broken_count >= MAX_BROKEN_ATTEMPTS:
            return []
        if any(shard.open for shard in self._shards):
            return []
        for index, shard in enumerate(self._shards):
            if not shard.may_retry() or not self._has_attempts_left(shard):
                continue
            self._probe_attempt = AttemptNo(self._attempts + 1)
            sent = self._send(index, SendReason.RETRY_FAILED, now)
            if sent:
                return sent
        return []

    def _on_trial_failure(
        self, trial: Trial, end: SubRequestFailure, now: float
    ) -> list[Action]:
        # The trial continues at another target unless the connection broke: a
        # target that replied with an error was not crashed by the query.
        if (
            end is SubRequestFailure.BROKEN
            or self._attempts >= MAX_TRIAL_ATTEMPTS
        ):
            return self._finish(Ending.TOO_FEW_SHARDS)
        return self._send_trial(trial, now) or self._finish(
            Ending.TOO_FEW_SHARDS
        )

    def on_timer(self, now: float) -> list[Action]:
        """Hedge slow shards; end the query at its cutoff or deadline.

        At the cutoff, just before the latency objective, it ends only if
        enough shards for the minimum coverage have answered.
        """
        if self._finished:
            return []
        if now >= self._deadline_at or (
            now >= self._cutoff_at and self._answered >= self._required_answers
        ):
            return self._finish(self._ending_by_coverage())
        if self._trial is not None:
            return []
        actions: list[Action] = []
        hedge_s = self._policy.selector.latency_quantile_s(
            self._route.name, HEDGE_QUANTILE, now
        )
        for index, shard in enumerate(self._shards):
            if not shard.done:
                actions += self._hedge(index, shard, hedge_s, now)
        return actions

    def next_timer_at(self, now: float) -> float:
        """Return the clock time at which to call on_timer() next."""
        if now < self._cutoff_at:
            return min(
                now + CHECK_INTERVAL_S, self._cutoff_at, self._deadline_at
            )
        return min(now + CHECK_INTERVAL_S, self._deadline_at)

    # Hedges, retries, and attempts that could not be sent earlier.

    def _hedge(
        self, index: int, shard: _ShardState, hedge_s: float, now: float
    ) -> list[Action]:
        if not shard.open:
            return self._send_postponed(index, shard, now)
        if len(shard.open) != 1:
            return []
        if not self._may_repeat(shard):
            return []
        ((target_id, sent_at),) = shard.open.values()
        if self._policy.selector.paused(target_id, now):
            reason, reserve = SendReason.HEDGE_PAUSED, 0.0
        elif now - sent_at >= hedge_s:
            reason, reserve = SendReason.HEDGE_SLOW, HEDGE_RESERVED_REPEATS
        else:
            return []
        return self._send(index, reason, now, reserve)

    def _send_postponed(
        self, index: int, shard: _ShardState, now: float
    ) -> list[Action]:
        """Send to a shard with no open attempt.

        Until now the shard had no usable replica, its retry budget was used
        up, or nothing was sent because a connection had broken.
        """
        if not shard.may_retry() or self._suspects_crash():
            return []
        if not shard.asked:
            return self._send(index, SendReason.FIRST, now)
        if not self._may_repeat(shard):
            return []
        return self._send(index, SendReason.RETRY_FAILED, now)

    def _retry(
        self, index: int, end: SubRequestFailure, now: float
    ) -> list[Action]:
        shard = self._shards[index]
        if not shard.may_retry() or not self._may_repeat(shard):
            return []
        match end:
            case _ if end in NOTHING_SENT:
                return self._send(index, SendReason.RETRY_NOT_SENT, now)
            case SubRequestFailure.NOT_RUN | SubRequestFailure.MISDIRECTED:
                return self._send(index, SendReason.RETRY_NOT_RUN, now)
            case _:
                return self._send(index, SendReason.RETRY_FAILED, now)

    def _breaks_most_targets(self) -> bool:
        """Return True if the query seems to crash most targets that run it.

        See MAX_BROKEN_ATTEMPTS and BROKEN_SHARE.
        """
        ended = self._answered + self._broken_count
        return (
            self._broken_count >= MAX_BROKEN_ATTEMPTS
            and self._broken_count > BROKEN_SHARE * ended
        )

    def _suspects_crash(self) -> bool:
        """Return True if a connection broke and no target has answered yet."""
        return self._broken_count > 0 and self._answered == 0

    def _may_repeat(self, shard: _ShardState) -> bool:
        if self._suspects_crash() or self._breaks_most_targets():
            return False
        return self._has_attempts_left(shard)

    def _has_attempts_left(self, shard: _ShardState) -> bool:
        ran = len(shard.asked) - shard.not_run
        return ran < self._route.max_attempts

    def _send(
        self, index: int, reason: SendReason, now: float, reserve: float = 0.0
    ) -> list[Action]:
        shard = self._shards[index]
        target_id = self._policy.pick(
            self._services[index],
            shard.asked,
            reason,
            now,
            reserve,
            self._route.priority,
        )
        if target_id is None:
            return []
        self._attempts += 1
        attempt = AttemptNo(self._attempts)
        shard.asked.append(target_id)
        shard.open[attempt] = target_id, now
        return [Send(index, attempt, target_id, reason)]

    # When and how the query ends.

    def _finish_if_decided(self, now: float) -> list[Action]:
        if self._answered == len(self._shards):
            return self._finish(Ending.COMPLETE)
        if now >= self._cutoff_at and self._answered >= self._required_answers:
            return self._finish(Ending.PARTIAL)
        if (
            self._answered >= self._required_answers
            or now >= self._deadline_at
        ):
            if not any(
                self._has_pending_attempt(shard) for shard in self._shards
            ):
                return self._finish(self._ending_by_coverage())
        elif not any(self._has_pending_attempt(s) for s in self._shards):
            reachable = self._answered + sum(
                not shard.done and self._may_get_attempt(index, now)
                for index, shard in enumerate(self._shards)
            )
            if reachable < self._required_answers:
                return self._finish(self._ending_by_coverage())
        return []

    def _has_pending_attempt(self, shard: _ShardState) -> bool:
        return not shard.done and bool(shard.open)

    def _may_get_attempt(self, index: int, now: float) -> bool:
        """Return True if another sub-request to a shard is still possible."""
        shard = self._shards[index]
        if not shard.may_retry() or not self._may_repeat(shard):
            return False
        wait_s = self._policy.available_in_s(
            self._services[index], self._route.priority, now, shard.asked
        )
        # A target may still be registered, so that one is known then. Waiting
        # for one that accepts no more at present pays until the cutoff only.
        return not wait_s or now + wait_s < self._cutoff_at

    def _ending_by_coverage(self) -> Ending:
        if self._answered >= self._required_answers:
            return Ending.PARTIAL
        return Ending.TOO_FEW_SHARDS

    def _enough_available_s(self, waits_s: list[float | None]) -> float | None:
        """Return the seconds until enough shards accept requests.

        The route's minimum coverage determines how many shards are enough.
        waits_s holds, for each shard, the seconds until it accepts requests,
        or None if it has no target. The result is None if too few shards have
        a target.
        """
        known = sorted(wait_s for wait_s in waits_s if wait_s is not None)
        return (
            known[self._required_answers - 1]
            if len(known) >= self._required_answers
            else None
        )

    def _finish(
        self, ending: Ending, rest_s: float | None = None
    ) -> list[Action]:
        self._finished = True
        may_have_run = self._may_have_run or any(s.open for s in self._shards)
        return [Finish(ending, may_have_run, rest_s)]
