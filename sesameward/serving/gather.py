"""Decide which targets one query over shards is sent to, and when it ends.

This module does no I/O: each call returns the sub-requests to send, or how
the query ended.

Load pattern: in most queries one of many shards is slow, because each replica
pauses at its own times. The value of an answer without that shard is the
square of its coverage; an answer after the latency objective has almost none.
So a slow shard is hedged to its other replica while the hedge can still help,
and just before the objective the answer is sent with the shards that have
replied, if they reach the minimum coverage.

Load pattern: a query crashes each target that runs it, and its first attempts
go to all shards at once. Once a connection has broken under the query,
nothing more is sent until a target has answered it. If all attempts broke, it
is sent to one target alone.
"""

from __future__ import annotations

import enum
import math
import typing

import msgspec

from ..types import ServiceName
from ..types import TargetId
from .attempts import AttemptNo
from .attempts import End
from .attempts import Send
from .attempts import SendReason
from .attempts import SURELY_NOT_RUN
from .attempts import View
from .routes import Route
from .routes import Shards

# A shard is hedged once it takes longer than this quantile of the latencies
# of its route's sub-requests. Such hedges use half of the budget of 0.2
# repeats per request; the other half is left for replicas that pause or fail.
HEDGE_QUANTILE = 0.9
# Repeats that hedges of slow shards leave in the budget, for hedges of paused
# replicas and for retries. A node's share of the slack alone is about eight.
HEDGE_RESERVED_REPEATS = 3.0
# A shard's sub-requests that surely did not run are repeated up to this many
# times.
MAX_NOT_RUN_ATTEMPTS = 3
# The query is taken to crash targets itself once at least this many attempts
# broke after they were sent, and these are more than this share of all
# attempts that broke or were answered. If the network or many targets lose
# replies for another reason, a good share of the other replies still arrives.
MAX_BROKEN_ATTEMPTS = 3
BROKEN_SHARE = 0.8
# A query on trial is sent to up to this many targets, one after another,
# until one of them answers it.
MAX_TRIAL_ATTEMPTS = 3
# Interval between checks of the shards that have not answered.
CHECK_INTERVAL_S = 0.004


class Ending(enum.Enum):
    """Say how a query ended.

    COMPLETE: all shards answered. PARTIAL: enough shards for the route's
    minimum coverage. TOO_FEW_SHARDS: fewer than that. TOO_FEW_AVAILABLE:
    nothing was sent, as too few shards had a target that accepts requests.
    """

    COMPLETE = 'whole'
    PARTIAL = 'partial'
    TOO_FEW_SHARDS = 'too_few'
    TOO_FEW_AVAILABLE = 'hopeless'


class Finish(msgspec.Struct, frozen=True):
    """End the query with this result.

    may_have_run tells whether any target may have run the query. rest_s is
    the time until enough shards accept requests again; None if not known.
    """

    ending: Ending
    may_have_run: bool
    rest_s: float | None = None


Action = Send | Finish


class Trial(msgspec.Struct, frozen=True):
    """Send the query to one shard first, as it may crash targets.

    services_with_losses lost targets to this query before; one of them is
    tried first.
    """

    services_with_losses: frozenset[ServiceName]


class _ShardState:
    """Track the attempts at one shard.

    asked lists the target of each attempt, open holds the attempts without a
    result with their target and send time, not_run counts those that surely
    did not run.
    """

    __slots__ = ('asked', 'broken_count', 'done', 'not_run', 'open')

    def __init__(self):
        self.asked: list[TargetId] = []
        self.open: dict[AttemptNo, tuple[TargetId, float]] = {}
        self.done = False
        self.not_run = 0
        self.broken_count = 0


class Gather:
    """Choose the sub-requests of one query and decide when it ends.

    cutoff_at is when an answer with enough shards is sent without the others.
    """

    def __init__(
        self,
        route: Route,
        view: View,
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
        self._view = view
        self._cutoff_at = cutoff_at
        self._deadline_at = deadline_at
        self._shards = [_ShardState() for _ in shards.services]
        self._attempts = 0
        self._answered = 0
        self._broken_count = 0
        self._may_have_run = False
        self._finished = False
        self._trial = trial
        # The attempt that is sent alone after all others broke.
        self._probe_attempt: AttemptNo | None = None

    @property
    def on_trial(self) -> bool:
        """Tell whether only one shard is tried until it has answered."""
        return self._trial is not None

    @property
    def answered(self) -> int:
        """Return the number of shards that have answered."""
        return self._answered

    @property
    def finished(self) -> bool:
        """Tell whether the query has ended."""
        return self._finished

    def is_held(self, attempt: AttemptNo) -> bool:
        """Tell whether an attempt that waits for a connection must not leave.

        From the first break until the first answer only the probe may leave.
        """
        return self._suspects_crash() and attempt != self._probe_attempt

    def missing(self) -> list[int]:
        """Return the positions in the route of the unanswered shards."""
        return [
            index for index, shard in enumerate(self._shards) if not shard.done
        ]

    def start(self, now: float) -> list[Action]:
        """Send to one replica of each shard, or end if too few can answer.

        A query on trial is sent to one shard only.
        """
        rests = [self._view.rest_s(one, now) for one in self._services]
        if rests.count(0.0) < self._required_answers:
            return self._finish(
                Ending.TOO_FEW_AVAILABLE, self._enough_available_s(rests)
            )
        for service in self._services:
            self._view.budget.count_request(service, now)
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
        """Send to one shard, if possible one that lost targets before."""
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
        """Record the reply of a shard; further replies of it are ignored."""
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
        """Send to the shards that were held back until the first answer."""
        actions: list[Action] = []
        for index, shard in enumerate(self._shards):
            if not shard.done and not shard.open:
                actions += self._send_postponed(index, shard, now)
        return actions

    def needs_result(self, index: int) -> bool:
        """Tell whether a reply of this shard would still be used."""
        return not self._finished and not self._shards[index].done

    def failed(
        self, index: int, attempt: AttemptNo, end: End, now: float
    ) -> list[Action]:
        """Record a failed attempt; retry at another replica if allowed."""
        shard = self._shards[index]
        shard.open.pop(attempt, None)
        if end in SURELY_NOT_RUN:
            shard.not_run += 1
        else:
            self._may_have_run = True
            shard.broken_count += end is End.BROKEN
            self._broken_count += end is End.BROKEN
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

    def _send_probe(self, now: float) -> list[Action]:
        """Send one attempt alone once no other is open.

        Sends none after MAX_BROKEN_ATTEMPTS broke.
        """
        if self._broken_count >= MAX_BROKEN_ATTEMPTS:
            return []
        if any(shard.open for shard in self._shards):
            return []
        for index, shard in enumerate(self._shards):
            if (
                shard.not_run > MAX_NOT_RUN_ATTEMPTS
                or not self._has_attempts_left(shard)
            ):
                continue
            self._probe_attempt = AttemptNo(self._attempts + 1)
            sent = self._send(index, SendReason.RETRY_FAILED, now)
            if sent:
                return sent
        return []

    def _on_trial_failure(
        self, trial: Trial, end: End, now: float
    ) -> list[Action]:
        # A target that replied with an error was not crashed by the query.
        if end is End.BROKEN or self._attempts >= MAX_TRIAL_ATTEMPTS:
            return self._finish(Ending.TOO_FEW_SHARDS)
        return self._send_trial(trial, now) or self._finish(
            Ending.TOO_FEW_SHARDS
        )

    def on_timer(self, now: float) -> list[Action]:
        """Hedge slow shards; end the query at its cutoff or deadline."""
        if self._finished:
            return []
        if now >= self._deadline_at or (
            now >= self._cutoff_at and self._answered >= self._required_answers
        ):
            return self._finish(self._ending_by_coverage())
        if self._trial is not None:
            return []
        actions: list[Action] = []
        hedge_s = self._view.choice.latency_quantile_s(
            self._route.name, HEDGE_QUANTILE, now
        )
        for index, shard in enumerate(self._shards):
            if not shard.done:
                actions += self._hedge(index, shard, hedge_s, now)
        return actions

    def next_timer_at(self, now: float) -> float:
        """Return when on_timer() should be called next."""
        if now < self._cutoff_at:
            return min(
                now + CHECK_INTERVAL_S, self._cutoff_at, self._deadline_at
            )
        return min(now + CHECK_INTERVAL_S, self._deadline_at)

    # Repeats: hedges, retries and attempts that could not be sent before.

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
        if self._view.choice.paused(target_id, now):
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

        It had no replica or budget before, or was held back after a break.
        """
        if shard.not_run > MAX_NOT_RUN_ATTEMPTS or self._suspects_crash():
            return []
        if not shard.asked:
            return self._send(index, SendReason.FIRST, now)
        if not self._may_repeat(shard):
            return []
        return self._send(index, SendReason.RETRY_FAILED, now)

    def _retry(self, index: int, end: End, now: float) -> list[Action]:
        shard = self._shards[index]
        if shard.not_run > MAX_NOT_RUN_ATTEMPTS or not self._may_repeat(shard):
            return []
        match end:
            case End.NOT_SENT:
                return self._send(index, SendReason.RETRY_NOT_SENT, now)
            case End.NOT_RUN | End.MISDIRECTED:
                return self._send(index, SendReason.RETRY_NOT_RUN, now)
            case _:
                return self._send(index, SendReason.RETRY_FAILED, now)

    def _breaks_most_targets(self) -> bool:
        """Tell whether so many attempts broke that the query is the cause."""
        ended = self._answered + self._broken_count
        return (
            self._broken_count >= MAX_BROKEN_ATTEMPTS
            and self._broken_count > BROKEN_SHARE * ended
        )

    def _suspects_crash(self) -> bool:
        """Tell whether an attempt broke and no target has answered yet."""
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
        target_id = self._view.pick(
            self._services[index], shard.asked, reason, now, reserve
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
        elif not any(
            self._has_pending_attempt(shard) or self._may_get_attempt(shard)
            for shard in self._shards
        ):
            return self._finish(self._ending_by_coverage())
        return []

    def _has_pending_attempt(self, shard: _ShardState) -> bool:
        return not shard.done and bool(shard.open)

    def _may_get_attempt(self, shard: _ShardState) -> bool:
        """Tell whether another sub-request may still be sent to a shard."""
        return (
            not shard.done
            and shard.not_run <= MAX_NOT_RUN_ATTEMPTS
            and self._may_repeat(shard)
        )

    def _ending_by_coverage(self) -> Ending:
        if self._answered >= self._required_answers:
            return Ending.PARTIAL
        return Ending.TOO_FEW_SHARDS

    def _enough_available_s(self, rests: list[float | None]) -> float | None:
        """Return the time until enough shards accept requests.

        None means that it is not known.
        """
        known = sorted(rest for rest in rests if rest is not None)
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
