"""Decide which sub-requests of a query to send, retry, hedge or cancel."""

from __future__ import annotations

import dataclasses
import heapq
import typing
import zlib

import msgspec

from ..configuration.declared import Shard
from ..messages import End
from ..messages import Missing
from ..messages import Record
from ..messages import Rows
from ..messages import TargetReply
from ..types import AttemptId
from ..types import MissingReason
from ..types import Outcome
from ..types import Priority
from ..types import RecordVersion
from ..types import RequestId
from ..types import ShardId
from ..types import TargetId
from .merging import merge
from .snapshots import Pin

MAX_ATTEMPTS_PER_SHARD = 4
# A shard with more than this many attempts in flight is not hedged.
MAX_HEDGES = 2
# The caller may retry after this delay unless stop() sets another one.
DEFAULT_RETRY_AFTER_S = 1.0
# Reasons for missing shards that may no longer apply when the caller retries.
_RETRYABLE_REASONS = frozenset(
    (
        MissingReason.QUARANTINED,
        MissingReason.OVERLOADED,
        MissingReason.NO_REPLICA,
    )
)
# After these outcomes the target has done no work. A retry then causes no
# additional load, so it takes no token from the retry budget.
_NOT_RUN_REASONS = frozenset({'no_snapshot', 'draining', 'connect_failed'})


class Chooser(typing.Protocol):
    """Choose a replica of a shard for a sub-request."""

    def choose(
        self,
        candidates: typing.Sequence[TargetId],
        now: float,
        avoid: typing.Collection[TargetId] = (),
    ) -> TargetId | None: ...

    def record_wait(
        self, target_id: TargetId, waited_s: float, now: float
    ) -> None: ...


class Budget(typing.Protocol):
    """Limit hedges and retries to a ratio of first attempts."""

    def deposit(self, target: TargetId) -> None: ...

    def withdraw(self, target: TargetId) -> bool: ...


class Hedges(typing.Protocol):
    """Compute the delay after which a sub-request is hedged."""

    def delay_s(
        self, key: str, now: float, hedges: int, priority: Priority
    ) -> float | None: ...


class Send(msgspec.Struct, frozen=True):
    """Instruct the caller to send a sub-request for shards to a target.

    reason is 'first', 'hedge', or for a retry the outcome of the attempt that
    failed.
    """

    attempt: AttemptId
    target: TargetId
    shards: tuple[ShardId, ...]
    reason: str


class Cancel(msgspec.Struct, frozen=True):
    """Instruct the caller to cancel a sub-request that is no longer needed."""

    attempt: AttemptId


class Emit(msgspec.Struct, frozen=True):
    """Instruct the caller to send one shard's records to the client."""

    rows: Rows


class Finish(msgspec.Struct, frozen=True):
    """Instruct the caller to send the end of the answer to the client."""

    end: End


class Count(msgspec.Struct, frozen=True):
    """Instruct the caller to increase a counter.

    name and reason are the name and the label of the metric.
    """

    name: str
    reason: str
    amount: int = 1


Action = Send | Cancel | Emit | Finish | Count


@dataclasses.dataclass(frozen=True, slots=True)
class FanoutRequest:
    """Describe the query of a fan-out.

    Times are in seconds of the monotonic clock. versions are the record
    versions that the query accepts.
    """

    request: RequestId
    service: str
    pin: Pin
    versions: tuple[RecordVersion, ...]
    started_at: float
    deadline_at: float
    priority: Priority = Priority.NORMAL


@dataclasses.dataclass(slots=True)
class _Attempt:
    target: TargetId
    shards: tuple[ShardId, ...]
    at: float


@dataclasses.dataclass(slots=True)
class _ShardState:
    shard: Shard
    candidates: tuple[TargetId, ...]
    tried: list[TargetId] = dataclasses.field(default_factory=list)
    attempts: list[AttemptId] = dataclasses.field(default_factory=list)
    reason: MissingReason = MissingReason.DEADLINE


class Fanout:
    """Run the sub-requests of one query and compute the answer's coverage.

    This is a state machine without I/O: the caller reports events and carries
    out the returned actions. An attempt is one sub-request to one target for
    some shards, all at the same snapshot. The coverage is computed from the
    shards whose records were merged. Replies to unknown or ended attempts are
    only counted.

    A query that may crash targets is on trial: at first only one attempt, the
    trial, is sent, and the others are held back until release().
    """

    def __init__(
        self,
        request: FanoutRequest,
        chooser: Chooser,
        budget: Budget,
        hedges: Hedges,
    ):
        self._request = request
        self._chooser = chooser
        self._budget = budget
        self._hedges = hedges
        self._attempts: dict[AttemptId, _Attempt] = {}
        self._attempt_number = 0
        # A heap of the times at which attempts are hedged if they have not
        # ended. First attempts that were sent together share one time.
        self._hedge_times: list[tuple[float, list[AttemptId]]] = []
        self._wanted: dict[ShardId, _ShardState] = {}
        self._missing: dict[ShardId, MissingReason] = {}
        self._held_back: dict[TargetId, list[ShardId]] = {}
        self._broken_target: TargetId | None = None
        self._held_back_reasons: dict[TargetId, str] = {}
        self._deferred: dict[ShardId, Outcome] = {}
        # Whether only trials may be sent; other attempts are held back.
        self._holds_back = False
        # Whether the query started with a trial and no target has replied yet.
        self._awaits_success = False
        self._trial: AttemptId | None = None
        self._answered = 0
        self._uncovered_records = 0
        self._finished = False
        self._retry_after_s = DEFAULT_RETRY_AFTER_S

    @property
    def asked(self) -> int:
        """Return the number of shards that the query covers."""
        return self._request.pin.shards

    @property
    def _hedging_paused(self) -> bool:
        """Return whether no hedges may be sent.

        While the query is on trial, a hedge could crash another target.
        """
        return self._holds_back or self._awaits_success

    @property
    def holds_back(self) -> bool:
        """Return whether only trials may be sent at the moment."""
        return self._holds_back

    @property
    def trial(self) -> AttemptId | None:
        """Return the current trial, or None if there is none."""
        return self._trial

    def start(
        self,
        now: float,
        one_first: bool = False,
        broken: TargetId | None = None,
    ) -> list[Action]:
        """Send the first attempts; if one_first, send only one, as a trial.

        The other attempts are then held back until release(). broken is a
        target that has already crashed. The trial avoids, if possible, shards
        with a replica on broken and shards with only one replica: these may
        lose their last replica if the trial crashes its target.
        """
        pin = self._request.pin
        shards_by_id = {shard.id: shard for shard in pin.shard_map.shards}
        for shard in pin.without_replica:
            self._missing[shard] = MissingReason.NO_REPLICA
        for shard in pin.without_snapshot:
            self._missing[shard] = MissingReason.NO_SNAPSHOT
        chosen: dict[TargetId, list[ShardId]] = {}
        for group in pin.groups:
            target = self._chooser.choose(group.candidates, now)
            for shard in group.shards:
                self._wanted[shard] = _ShardState(
                    shards_by_id[shard], group.candidates
                )
            if target is None:
                for shard in group.shards:
                    self._give_up(shard, MissingReason.NO_REPLICA)
            else:
                chosen.setdefault(target, []).extend(group.shards)
        if one_first and chosen:
            self._held_back = chosen
            self._broken_target = broken
            self._holds_back = True
            self._awaits_success = True
            actions = self._send_trial(now)
        else:
            actions = self._send_first_attempts(chosen, now)
        self._finish_if_done(actions, now)
        return actions

    def release(self, now: float) -> list[Action]:
        """Send all attempts that were held back, and hold back no more."""
        actions = self._hold_back_deferred(now)
        batch = [] if self._trial is None else [self._trial]
        self._holds_back = False
        self._trial = None
        while self._held_back:
            send = self._send_held_back(next(iter(self._held_back)), now)
            batch.append(send.attempt)
            actions.append(send)
        self._schedule_hedges(batch, now)
        self._finish_if_done(actions, now)
        return actions

    def pause(self, attempt: AttemptId, now: float) -> list[Action]:
        """Hold back all further attempts; a target may have crashed.

        attempt is the one whose connection broke. Nothing more is sent until
        resume() or release() is called.
        """
        sent = self._attempts.pop(attempt, None)
        if sent is None:
            return [Count('replies_dropped', 'unknown_attempt')]
        self._unlink_attempt(attempt, sent)
        self._holds_back = True
        if attempt == self._trial:
            self._trial = None
        self._defer(sent.shards, Outcome.BROKEN)
        actions: list[Action] = []
        self._finish_if_done(actions, now)
        return actions

    def resume(self, now: float, broken: TargetId | None) -> list[Action]:
        """Send one of the attempts that were held back, as the next trial.

        broken is a target that has crashed, if known. Retries after a crash
        take no token from the retry budget, because each has to wait until
        it is admitted as a trial.
        """
        self._broken_target = broken
        actions = self._hold_back_deferred(now)
        if self._held_back:
            actions += self._send_trial(now)
        else:
            self._holds_back = False
        self._finish_if_done(actions, now)
        return actions

    def _defer(
        self, shards: typing.Iterable[ShardId], outcome: Outcome
    ) -> None:
        for shard in shards:
            state = self._wanted.get(shard)
            if state is not None:
                state.reason = _missing_reason(outcome)
                self._deferred[shard] = outcome

    def _hold_back_deferred(self, now: float) -> list[Action]:
        """Choose replicas for the deferred retries; hold the retries back.

        Retries are deferred if their attempt failed while only trials may be
        sent. Shards without another replica or retry budget are given up.
        """
        deferred, self._deferred = self._deferred, {}
        resends: dict[tuple[TargetId, Outcome], list[ShardId]] = {}
        for shard, outcome in deferred.items():
            state = self._wanted.get(shard)
            if state is None or state.attempts:
                continue
            target = self._next_replica(state, now)
            if target is None:
                self._give_up(shard, state.reason)
            else:
                resends.setdefault((target, outcome), []).append(shard)
        actions: list[Action] = []
        for (target, outcome), shards in resends.items():
            if outcome is Outcome.BROKEN or self._may_retry(outcome, target):
                self._hold_back_shards(target, shards, outcome)
                continue
            actions.append(Count('retries_refused', 'budget'))
            for shard in shards:
                self._give_up(shard, self._wanted[shard].reason)
        return actions

    def _hold_back_shards(
        self, target: TargetId, shards: list[ShardId], outcome: Outcome
    ) -> None:
        if target not in self._held_back:
            self._held_back[target] = []
            self._held_back_reasons[target] = outcome.value
        self._held_back[target].extend(shards)

    def _send_held_back(self, target: TargetId, now: float) -> Send:
        reason = self._held_back_reasons.pop(target, 'first')
        if reason == 'first':
            self._budget.deposit(target)
        return self._send(target, self._held_back.pop(target), reason, now)

    def _send_trial(self, now: float) -> list[Action]:
        send = self._send_held_back(
            self._choose_trial_target(self._held_back, self._broken_target),
            now,
        )
        self._trial = send.attempt
        return [send]

    def _choose_trial_target(
        self,
        chosen: typing.Mapping[TargetId, typing.Sequence[ShardId]],
        broken: TargetId | None,
    ) -> TargetId:
        """Return the target for the trial.

        It is one whose crash is least likely to make shards unavailable.
        """

        def cost(target: TargetId) -> tuple[bool, bool, int]:
            candidates = self._wanted[chosen[target][0]].candidates
            # Order equal targets differently for each request. Entries don't
            # know each other's trials; with a common order, the trials of
            # several entries could crash all replicas of one shard.
            tie_break = zlib.crc32(f'{self._request.request}{target}'.encode())
            return broken in candidates, len(candidates) < 2, tie_break

        return min(chosen, key=cost)

    def _send_first_attempts(
        self,
        chosen: typing.Mapping[TargetId, typing.Sequence[ShardId]],
        now: float,
    ) -> list[Action]:
        actions: list[Action] = []
        batch: list[AttemptId] = []
        for target, shards in chosen.items():
            self._budget.deposit(target)
            send = self._send(target, shards, 'first', now)
            batch.append(send.attempt)
            actions.append(send)
        self._schedule_hedges(batch, now)
        return actions

    def _schedule_hedges(self, batch: list[AttemptId], now: float) -> None:
        hedge_at = self._hedge_at(0, now)
        if hedge_at is not None and batch:
            heapq.heappush(self._hedge_times, (hedge_at, batch))

    def replied(
        self, attempt: AttemptId, reply: TargetReply, now: float
    ) -> list[Action]:
        """Merge the records of a target's reply into the answer.

        Shards that the reply omits, or that it returns from another snapshot,
        are retried on other replicas.
        """
        sent = self._attempts.pop(attempt, None)
        if sent is None or reply.attempt != attempt:
            if sent is not None:
                self._attempts[attempt] = sent
            return [Count('replies_dropped', 'unknown_attempt')]
        actions: list[Action] = []
        self._awaits_success = False
        self._unlink_attempt(attempt, sent)
        wrong_snapshot: list[ShardId] = []
        returned: set[ShardId] = set()
        for shard_reply in reply.shards:
            shard = shard_reply.shard
            if shard not in sent.shards or shard in returned:
                actions.append(Count('replies_dropped', 'foreign_shard'))
                continue
            returned.add(shard)
            if shard not in self._wanted:
                continue
            if shard_reply.snapshot != self._request.pin.snapshot:
                wrong_snapshot.append(shard)
                continue
            self._merge(shard, shard_reply.records, actions)
        if wrong_snapshot:
            self._retry(wrong_snapshot, Outcome.NO_SNAPSHOT, actions, now)
        if len(returned) < len(sent.shards):
            omitted = [
                shard
                for shard in sent.shards
                if shard in self._wanted and shard not in returned
            ]
            self._retry(omitted, Outcome.ERROR, actions, now)
        if not self._wanted:
            self._finish_if_done(actions, now)
        return actions

    def failed(
        self, attempt: AttemptId, outcome: Outcome, now: float
    ) -> list[Action]:
        """Retry a failed attempt's shards on other replicas.

        Shards without another replica, or without a token in the retry budget,
        are given up unless another attempt for them is in flight.
        """
        sent = self._attempts.pop(attempt, None)
        if sent is None:
            return [Count('replies_dropped', 'unknown_attempt')]
        self._unlink_attempt(attempt, sent)
        actions: list[Action] = []
        pending = [shard for shard in sent.shards if shard in self._wanted]
        self._retry(pending, outcome, actions, now)
        if attempt == self._trial:
            # The trial failed without a crash, so it did not show whether the
            # query crashes targets; another trial is needed.
            self._trial = None
            actions += self.resume(now, self._broken_target)
        self._finish_if_done(actions, now)
        return actions

    def due(self, now: float) -> list[Action]:
        """Send the hedges that are due, or end the answer at its deadline."""
        actions: list[Action] = []
        if self._finished:
            return actions
        if now >= self._request.deadline_at:
            return self.stop(MissingReason.DEADLINE, now)
        times = self._hedge_times
        while times and times[0][0] <= now and not self._hedging_paused:
            for attempt in heapq.heappop(times)[1]:
                sent = self._attempts.get(attempt)
                if sent is not None:
                    self._hedge(sent, actions, now)
        return actions

    def next_due(self) -> float:
        """Return the time at which due() has to be called next."""
        if self._hedging_paused:
            return self._request.deadline_at
        times = self._hedge_times
        while times and not self._any_in_flight(times[0][1]):
            heapq.heappop(times)
        return times[0][0] if times else self._request.deadline_at

    def _any_in_flight(self, batch: list[AttemptId]) -> bool:
        # Remove attempts that have ended, so that later calls don't examine
        # them again.
        while batch and batch[-1] not in self._attempts:
            batch.pop()
        return bool(batch)

    def stop(
        self,
        reason: MissingReason,
        now: float,
        retry_after_s: float = DEFAULT_RETRY_AFTER_S,
    ) -> list[Action]:
        """End the answer now; report shards without records as missing.

        reason is used for shards without an earlier failure.
        """
        self._retry_after_s = retry_after_s
        for shard in list(self._wanted):
            known = self._wanted[shard].reason
            if known is not MissingReason.DEADLINE:
                self._give_up(shard, known)
            else:
                self._give_up(shard, reason)
        actions: list[Action] = [Cancel(a) for a in self._attempts]
        self._attempts.clear()
        self._held_back.clear()
        self._deferred.clear()
        self._finish_if_done(actions, now)
        return actions

    def _merge(
        self,
        shard: ShardId,
        records: tuple[Record, ...],
        actions: list[Action],
    ) -> None:
        state = self._wanted.pop(shard)
        merged = merge(state.shard, records, self._request.versions)
        self._answered += 1
        self._uncovered_records += merged.uncovered
        if merged.foreign:
            actions.append(
                Count('records_dropped', 'not_owned', merged.foreign)
            )
        if merged.superseded:
            actions.append(
                Count('records_dropped', 'older_version', merged.superseded)
            )
        actions.append(Emit(Rows(shard, merged.records)))
        for attempt in state.attempts:
            self._cancel_if_unneeded(attempt, actions)

    def _retry(
        self,
        shards: typing.Sequence[ShardId],
        outcome: Outcome,
        actions: list[Action],
        now: float,
    ) -> None:
        reason = _missing_reason(outcome)
        if self._holds_back:
            self._defer(shards, outcome)
            return
        resends: dict[TargetId, list[ShardId]] = {}
        for shard in shards:
            state = self._wanted[shard]
            state.reason = reason
            target = self._next_replica(state, now)
            if target is not None:
                resends.setdefault(target, []).append(shard)
            elif not state.attempts:
                self._give_up(shard, reason)
        for target, ids in resends.items():
            if self._may_retry(outcome, target):
                actions.append(
                    self._send_extra(target, ids, outcome.value, now)
                )
                continue
            actions.append(Count('retries_refused', 'budget'))
            for shard in ids:
                if not self._wanted[shard].attempts:
                    self._give_up(shard, reason)

    def _may_retry(self, outcome: Outcome, target: TargetId) -> bool:
        if outcome.value in _NOT_RUN_REASONS:
            return True
        return self._budget.withdraw(target)

    def _next_replica(self, state: _ShardState, now: float) -> TargetId | None:
        if len(state.tried) >= MAX_ATTEMPTS_PER_SHARD:
            return None
        remaining = [t for t in state.candidates if t not in state.tried]
        if not remaining:
            return None
        return self._chooser.choose(remaining, now, state.tried)

    def _hedge(
        self, sent: _Attempt, actions: list[Action], now: float
    ) -> None:
        self._chooser.record_wait(sent.target, now - sent.at, now)
        resends: dict[TargetId, list[ShardId]] = {}
        refused: set[TargetId] = set()
        for shard in sent.shards:
            state = self._wanted.get(shard)
            if state is None or len(state.attempts) > MAX_HEDGES:
                continue
            target = self._hedge_target(state, resends, refused, now)
            if target is not None:
                resends.setdefault(target, []).append(shard)
        if refused:
            actions.append(Count('hedges_refused', 'budget', len(refused)))
        for target, shards in resends.items():
            actions.append(self._send_extra(target, shards, 'hedge', now))

    def _hedge_target(
        self,
        state: _ShardState,
        already_paid: typing.Container[TargetId],
        refused: set[TargetId],
        now: float,
    ) -> TargetId | None:
        """Return a replica that may get a hedge; None if there is none.

        A hedge takes a token from the retry budget unless its target is in
        already_paid. Targets for which no token is left are added to refused.
        """
        if len(state.tried) >= MAX_ATTEMPTS_PER_SHARD:
            return None
        untried = [t for t in state.candidates if t not in state.tried]
        while True:
            # If all replicas of the shard have been tried, the hedge may go to
            # any of them.
            remaining = [
                t for t in untried or state.candidates if t not in refused
            ]
            if not remaining:
                return None
            target = self._chooser.choose(remaining, now)
            if target is None or target in already_paid:
                return target
            if self._budget.withdraw(target):
                return target
            refused.add(target)

    def _send_extra(
        self,
        target: TargetId,
        shards: typing.Sequence[ShardId],
        reason: str,
        now: float,
    ) -> Send:
        hedges = max(len(self._wanted[s].attempts) for s in shards)
        hedge_at = self._hedge_at(hedges, now)
        send = self._send(target, shards, reason, now)
        if hedge_at is not None:
            heapq.heappush(self._hedge_times, (hedge_at, [send.attempt]))
        return send

    def _hedge_at(self, hedges: int, now: float) -> float | None:
        request = self._request
        delay_s = self._hedges.delay_s(
            request.service, now, hedges, request.priority
        )
        if delay_s is None or now + delay_s >= self._request.deadline_at:
            return None
        return now + delay_s

    def _send(
        self,
        target: TargetId,
        shards: typing.Sequence[ShardId],
        reason: str,
        now: float,
    ) -> Send:
        self._attempt_number += 1
        attempt = AttemptId(f'{self._request.request}.{self._attempt_number}')
        ids = tuple(shards)
        self._attempts[attempt] = _Attempt(target, ids, now)
        for shard in ids:
            state = self._wanted[shard]
            state.tried.append(target)
            state.attempts.append(attempt)
        return Send(attempt, target, ids, reason)

    def _unlink_attempt(self, attempt: AttemptId, sent: _Attempt) -> None:
        for shard in sent.shards:
            state = self._wanted.get(shard)
            if state is not None:
                state.attempts.remove(attempt)

    def _cancel_if_unneeded(
        self, attempt: AttemptId, actions: list[Action]
    ) -> None:
        sent = self._attempts[attempt]
        if not any(shard in self._wanted for shard in sent.shards):
            del self._attempts[attempt]
            actions.append(Cancel(attempt))

    def _give_up(self, shard: ShardId, reason: MissingReason) -> None:
        self._wanted.pop(shard, None)
        self._missing[shard] = reason

    def _finish_if_done(self, actions: list[Action], now: float) -> None:
        if self._finished or self._wanted:
            return
        self._finished = True
        missing = tuple(Missing(s, r) for s, r in self._missing.items())
        elapsed_ms = (now - self._request.started_at) * 1000
        actions.append(
            Finish(
                End(
                    request_id=self._request.request,
                    complete=not missing and not self._uncovered_records,
                    asked=self.asked,
                    answered=self._answered,
                    missing=missing,
                    uncovered_records=self._uncovered_records,
                    elapsed_ms=round(elapsed_ms, 3),
                    retry_after_s=self._retry_after(),
                )
            )
        )

    def _retry_after(self) -> float | None:
        """Return the retry delay in seconds; None if a retry can't help."""
        if _RETRYABLE_REASONS.isdisjoint(self._missing.values()):
            return None
        return round(self._retry_after_s, 3)


def _missing_reason(outcome: Outcome) -> MissingReason:
    match outcome:
        case Outcome.SHED:
            return MissingReason.OVERLOADED
        case Outcome.NO_SNAPSHOT:
            return MissingReason.NO_SNAPSHOT
        case Outcome.TIMEOUT:
            return MissingReason.DEADLINE
        case _:
            return MissingReason.TARGET_ERROR
