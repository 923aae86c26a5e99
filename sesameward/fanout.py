"""Decide which sub-requests a query sends, repeats and gives up."""

from __future__ import annotations

import dataclasses
import heapq
import typing

import msgspec

from .declared import Shard
from .merging import merge
from .messages import End
from .messages import Missing
from .messages import Record
from .messages import Rows
from .messages import TargetReply
from .snapshots import Pin
from .types import AttemptId
from .types import MissingReason
from .types import Outcome
from .types import RecordVersion
from .types import RequestId
from .types import ShardId
from .types import TargetId

MAX_ATTEMPTS_PER_SHARD = 4
MAX_HEDGES = 2
# The target did no work, so that a retry adds no load to the service.
_UNRUN_REASONS = frozenset({'no_snapshot', 'draining', 'connect_failed'})


class Chooser(typing.Protocol):
    """Pick one of several replicas."""

    def choose(
        self,
        candidates: typing.Sequence[TargetId],
        now: float,
        avoid: typing.Collection[TargetId] = (),
    ) -> TargetId | None: ...


class Budget(typing.Protocol):
    """Bound hedges and retries to a part of the first attempts."""

    def deposit(self, target: TargetId) -> None: ...

    def withdraw(self, target: TargetId) -> bool: ...


class Hedges(typing.Protocol):
    """Tell after which time to ask a second replica."""

    def delay_s(
        self, key: str, now: float, hedges: int = 0
    ) -> float | None: ...


class Send(msgspec.Struct, frozen=True):
    """Ask a target for shards."""

    attempt: AttemptId
    target: TargetId
    shards: tuple[ShardId, ...]
    reason: str


class Cancel(msgspec.Struct, frozen=True):
    """Abandon an attempt whose shards others have answered."""

    attempt: AttemptId


class Emit(msgspec.Struct, frozen=True):
    """Give the caller one shard's records."""

    rows: Rows


class Finish(msgspec.Struct, frozen=True):
    """End the answer."""

    end: End


class Count(msgspec.Struct, frozen=True):
    """Count an event under a reason."""

    name: str
    reason: str
    amount: int = 1


Action = Send | Cancel | Emit | Finish | Count


@dataclasses.dataclass(frozen=True, slots=True)
class FanoutRequest:
    """Say what to ask; deadline_at is on the monotonic clock."""

    request: RequestId
    service: str
    pin: Pin
    versions: tuple[RecordVersion, ...]
    started_at: float
    deadline_at: float


@dataclasses.dataclass(slots=True)
class _Attempt:
    target: TargetId
    shards: tuple[ShardId, ...]


@dataclasses.dataclass(slots=True)
class _Wanted:
    shard: Shard
    candidates: tuple[TargetId, ...]
    tried: list[TargetId] = dataclasses.field(default_factory=list)
    attempts: list[AttemptId] = dataclasses.field(default_factory=list)
    reason: MissingReason = MissingReason.DEADLINE


class Fanout:
    """Carry one query from its first sub-request to its coverage.

    Coverage is derived from the shards that were merged. A reply to an
    unknown or finished attempt changes nothing.
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
        self._number = 0
        # Attempts of one batch are hedged together.
        self._hedge_times: list[tuple[float, list[AttemptId]]] = []
        self._wanted: dict[ShardId, _Wanted] = {}
        self._missing: dict[ShardId, MissingReason] = {}
        self._held: dict[TargetId, list[ShardId]] = {}
        self._answered = 0
        self._uncovered = 0
        self._finished = False

    @property
    def asked(self) -> int:
        """Return how many shards the query concerns."""
        return self._request.pin.shards

    @property
    def holding(self) -> bool:
        """Tell whether first attempts wait for release()."""
        return bool(self._held)

    def start(
        self,
        now: float,
        one_first: bool = False,
        near: TargetId | None = None,
    ) -> list[Action]:
        """Send the first attempts, or only one of them until release().

        The one goes to a replica of the shards of near, where it is given.
        """
        pin = self._request.pin
        ranges = {shard.id: shard for shard in pin.shard_map.shards}
        for shard in pin.without_replica:
            self._missing[shard] = MissingReason.NO_REPLICA
        for shard in pin.without_snapshot:
            self._missing[shard] = MissingReason.NO_SNAPSHOT
        chosen: dict[TargetId, list[ShardId]] = {}
        for group in pin.groups:
            target = self._chooser.choose(group.candidates, now)
            for shard in group.shards:
                self._wanted[shard] = _Wanted(ranges[shard], group.candidates)
            if target is None:
                for shard in group.shards:
                    self._give_up(shard, MissingReason.NO_REPLICA)
            else:
                chosen.setdefault(target, []).extend(group.shards)
        if one_first and chosen:
            first = self._nearest(chosen, near)
            self._held = chosen
            chosen = {first: chosen.pop(first)}
        actions = self._send_first(chosen, now)
        self._finish_if_done(actions, now)
        return actions

    def release(self, now: float) -> list[Action]:
        """Send the first attempts which start() held back."""
        held, self._held = self._held, {}
        return self._send_first(held, now)

    def _send_next_held(self, now: float) -> list[Action]:
        """Let another attempt lead when the first one proved nothing."""
        target = next(iter(self._held))
        return self._send_first({target: self._held.pop(target)}, now)

    def _nearest(
        self,
        chosen: typing.Mapping[TargetId, typing.Sequence[ShardId]],
        near: TargetId | None,
    ) -> TargetId:
        for target, shards in chosen.items():
            if near in self._wanted[shards[0]].candidates:
                return target
        return next(iter(chosen))

    def _send_first(
        self,
        chosen: typing.Mapping[TargetId, typing.Sequence[ShardId]],
        now: float,
    ) -> list[Action]:
        actions: list[Action] = []
        hedge_at = self._hedge_at(0, now)
        batch: list[AttemptId] = []
        for target, shards in chosen.items():
            self._budget.deposit(target)
            send = self._send(target, shards, 'first')
            batch.append(send.attempt)
            actions.append(send)
        if hedge_at is not None:
            heapq.heappush(self._hedge_times, (hedge_at, batch))
        return actions

    def replied(
        self, attempt: AttemptId, reply: TargetReply, now: float
    ) -> list[Action]:
        """Merge a target's reply."""
        sent = self._attempts.pop(attempt, None)
        if sent is None or reply.attempt != attempt:
            if sent is not None:
                self._attempts[attempt] = sent
            return [Count('replies_dropped', 'unknown_attempt')]
        actions: list[Action] = []
        self._close(attempt, sent)
        lacking: list[ShardId] = []
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
                lacking.append(shard)
                continue
            self._merge(shard, shard_reply.records, actions)
        if lacking:
            self._retry(lacking, Outcome.NO_SNAPSHOT, actions, now)
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
        """Try another replica where the budget and the deadline allow."""
        sent = self._attempts.pop(attempt, None)
        if sent is None:
            return [Count('replies_dropped', 'unknown_attempt')]
        self._close(attempt, sent)
        actions: list[Action] = []
        wanted = [shard for shard in sent.shards if shard in self._wanted]
        self._retry(wanted, outcome, actions, now)
        if self._held and not self._attempts:
            actions += self._send_next_held(now)
        self._finish_if_done(actions, now)
        return actions

    def due(self, now: float) -> list[Action]:
        """Hedge what is late; end the answer at its deadline."""
        actions: list[Action] = []
        if self._finished:
            return actions
        if now >= self._request.deadline_at:
            return self.stop(MissingReason.DEADLINE, now)
        times = self._hedge_times
        while times and times[0][0] <= now:
            for attempt in heapq.heappop(times)[1]:
                sent = self._attempts.get(attempt)
                if sent is not None:
                    self._hedge(sent, actions, now)
        return actions

    def next_due(self) -> float:
        """Return when due() has something to do, on the same clock."""
        times = self._hedge_times
        while times and not self._any_runs(times[0][1]):
            heapq.heappop(times)
        return times[0][0] if times else self._request.deadline_at

    def _any_runs(self, batch: list[AttemptId]) -> bool:
        # Those which have ended are looked at only once.
        while batch and batch[-1] not in self._attempts:
            batch.pop()
        return bool(batch)

    def stop(self, reason: MissingReason, now: float) -> list[Action]:
        """End the answer now; the shards not merged are missing."""
        for shard in list(self._wanted):
            known = self._wanted[shard].reason
            if known is not MissingReason.DEADLINE:
                self._give_up(shard, known)
            else:
                self._give_up(shard, reason)
        actions: list[Action] = [Cancel(a) for a in self._attempts]
        self._attempts.clear()
        self._held.clear()
        self._finish_if_done(actions, now)
        return actions

    def _merge(
        self,
        shard: ShardId,
        records: tuple[Record, ...],
        actions: list[Action],
    ) -> None:
        wanted = self._wanted.pop(shard)
        merged = merge(wanted.shard, records, self._request.versions)
        self._answered += 1
        self._uncovered += merged.uncovered
        if merged.foreign:
            actions.append(
                Count('records_dropped', 'not_owned', merged.foreign)
            )
        if merged.superseded:
            actions.append(
                Count('records_dropped', 'older_version', merged.superseded)
            )
        actions.append(Emit(Rows(shard, merged.records)))
        for attempt in wanted.attempts:
            self._cancel_if_lost(attempt, actions)

    def _retry(
        self,
        shards: typing.Sequence[ShardId],
        outcome: Outcome,
        actions: list[Action],
        now: float,
    ) -> None:
        reason = _missing_reason(outcome)
        again: dict[TargetId, list[ShardId]] = {}
        for shard in shards:
            wanted = self._wanted[shard]
            wanted.reason = reason
            target = self._next_replica(wanted, now)
            if target is not None:
                again.setdefault(target, []).append(shard)
            elif not wanted.attempts:
                self._give_up(shard, reason)
        for target, ids in again.items():
            if self._may_retry(outcome, target):
                actions.append(
                    self._send_again(target, ids, outcome.value, now)
                )
                continue
            actions.append(Count('retries_refused', 'budget'))
            for shard in ids:
                if not self._wanted[shard].attempts:
                    self._give_up(shard, reason)

    def _may_retry(self, outcome: Outcome, target: TargetId) -> bool:
        if outcome.value in _UNRUN_REASONS:
            return True
        return self._budget.withdraw(target)

    def _next_replica(self, wanted: _Wanted, now: float) -> TargetId | None:
        if len(wanted.tried) >= MAX_ATTEMPTS_PER_SHARD:
            return None
        left = [t for t in wanted.candidates if t not in wanted.tried]
        if not left:
            return None
        return self._chooser.choose(left, now, wanted.tried)

    def _hedge(
        self, sent: _Attempt, actions: list[Action], now: float
    ) -> None:
        again: dict[TargetId, list[ShardId]] = {}
        for shard in sent.shards:
            wanted = self._wanted.get(shard)
            if wanted is None or len(wanted.attempts) > MAX_HEDGES:
                continue
            target = self._next_replica(wanted, now)
            if target is not None:
                again.setdefault(target, []).append(shard)
        for target, shards in again.items():
            if not self._budget.withdraw(target):
                actions.append(Count('hedges_refused', 'budget'))
                continue
            actions.append(self._send_again(target, shards, 'hedge', now))

    def _send_again(
        self,
        target: TargetId,
        shards: typing.Sequence[ShardId],
        reason: str,
        now: float,
    ) -> Send:
        hedges = max(len(self._wanted[s].attempts) for s in shards)
        hedge_at = self._hedge_at(hedges, now)
        send = self._send(target, shards, reason)
        if hedge_at is not None:
            heapq.heappush(self._hedge_times, (hedge_at, [send.attempt]))
        return send

    def _hedge_at(self, hedges: int, now: float) -> float | None:
        delay_s = self._hedges.delay_s(self._request.service, now, hedges)
        if delay_s is None or now + delay_s >= self._request.deadline_at:
            return None
        return now + delay_s

    def _send(
        self,
        target: TargetId,
        shards: typing.Sequence[ShardId],
        reason: str,
    ) -> Send:
        self._number += 1
        attempt = AttemptId(f'{self._request.request}.{self._number}')
        ids = tuple(shards)
        self._attempts[attempt] = _Attempt(target, ids)
        for shard in ids:
            wanted = self._wanted[shard]
            wanted.tried.append(target)
            wanted.attempts.append(attempt)
        return Send(attempt, target, ids, reason)

    def _close(self, attempt: AttemptId, sent: _Attempt) -> None:
        for shard in sent.shards:
            wanted = self._wanted.get(shard)
            if wanted is not None:
                wanted.attempts.remove(attempt)

    def _cancel_if_lost(
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
                    complete=not missing and not self._uncovered,
                    asked=self.asked,
                    answered=self._answered,
                    missing=missing,
                    uncovered_records=self._uncovered,
                    elapsed_ms=round(elapsed_ms, 3),
                )
            )
        )


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
