"""Decide which sub-requests a query sends, repeats and gives up."""

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
MAX_HEDGES = 2
RETRY_AFTER_S = 1.0
_RETRY_REASONS = frozenset(
    (
        MissingReason.QUARANTINED,
        MissingReason.OVERLOADED,
        MissingReason.NO_REPLICA,
    )
)
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

    def late(
        self, target_id: TargetId, waited_s: float, now: float
    ) -> None: ...


class Budget(typing.Protocol):
    """Bound hedges and retries to a part of the first attempts."""

    def deposit(self, target: TargetId) -> None: ...

    def withdraw(self, target: TargetId) -> bool: ...


class Hedges(typing.Protocol):
    """Tell after which time to ask a second replica."""

    def delay_s(
        self, key: str, now: float, hedges: int, priority: Priority
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
    priority: Priority = Priority.NORMAL


@dataclasses.dataclass(slots=True)
class _Attempt:
    target: TargetId
    shards: tuple[ShardId, ...]
    at: float


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
        self._broken: TargetId | None = None
        self._held_for: dict[TargetId, str] = {}
        self._suspended: dict[ShardId, Outcome] = {}
        self._alone = False
        self._unproved = False
        self._trial: AttemptId | None = None
        self._answered = 0
        self._uncovered = 0
        self._finished = False
        self._retry_after_s = RETRY_AFTER_S

    @property
    def asked(self) -> int:
        """Return how many shards the query concerns."""
        return self._request.pin.shards

    @property
    def _keeps_hedges(self) -> bool:
        """Tell whether a hedge might take one more target."""
        return self._alone or self._unproved

    @property
    def alone(self) -> bool:
        """Tell whether all but one attempt wait for release()."""
        return self._alone

    @property
    def trial(self) -> AttemptId | None:
        """Return the one attempt that is out before the others."""
        return self._trial

    def start(
        self,
        now: float,
        one_first: bool = False,
        broken: TargetId | None = None,
    ) -> list[Action]:
        """Send the first attempts, or only one of them until release().

        The one goes to shards which keep another replica should its target
        break, and not to those which broken has left with fewer.
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
            self._held = chosen
            self._broken = broken
            self._alone = True
            self._unproved = True
            actions = self._send_one_held(now)
        else:
            actions = self._send_first(chosen, now)
        self._finish_if_done(actions, now)
        return actions

    def release(self, now: float) -> list[Action]:
        """Send the attempts which were held back."""
        actions = self._hold_suspended(now)
        batch = [] if self._trial is None else [self._trial]
        self._alone = False
        self._trial = None
        while self._held:
            send = self._send_held(next(iter(self._held)), now)
            batch.append(send.attempt)
            actions.append(send)
        self._hedge_later(batch, now)
        self._finish_if_done(actions, now)
        return actions

    def pause(self, attempt: AttemptId, now: float) -> list[Action]:
        """Send nothing more after a break, until resume()."""
        sent = self._attempts.pop(attempt, None)
        if sent is None:
            return [Count('replies_dropped', 'unknown_attempt')]
        self._close(attempt, sent)
        self._alone = True
        if attempt == self._trial:
            self._trial = None
        self._suspend(sent.shards, Outcome.BROKEN)
        actions: list[Action] = []
        self._finish_if_done(actions, now)
        return actions

    def resume(self, now: float, broken: TargetId | None) -> list[Action]:
        """Send one of the attempts which were held back.

        A retry after a break needs no budget: each was admitted as a trial.
        """
        self._broken = broken
        actions = self._hold_suspended(now)
        if self._held:
            actions += self._send_one_held(now)
        else:
            self._alone = False
        self._finish_if_done(actions, now)
        return actions

    def _suspend(
        self, shards: typing.Iterable[ShardId], outcome: Outcome
    ) -> None:
        for shard in shards:
            wanted = self._wanted.get(shard)
            if wanted is not None:
                wanted.reason = _missing_reason(outcome)
                self._suspended[shard] = outcome

    def _hold_suspended(self, now: float) -> list[Action]:
        """Choose other replicas for the shards whose attempts failed."""
        suspended, self._suspended = self._suspended, {}
        again: dict[tuple[TargetId, Outcome], list[ShardId]] = {}
        for shard, outcome in suspended.items():
            wanted = self._wanted.get(shard)
            if wanted is None or wanted.attempts:
                continue
            target = self._next_replica(wanted, now)
            if target is None:
                self._give_up(shard, wanted.reason)
            else:
                again.setdefault((target, outcome), []).append(shard)
        actions: list[Action] = []
        for (target, outcome), shards in again.items():
            if outcome is Outcome.BROKEN or self._may_retry(outcome, target):
                self._hold(target, shards, outcome)
                continue
            actions.append(Count('retries_refused', 'budget'))
            for shard in shards:
                self._give_up(shard, self._wanted[shard].reason)
        return actions

    def _hold(
        self, target: TargetId, shards: list[ShardId], outcome: Outcome
    ) -> None:
        if target not in self._held:
            self._held[target] = []
            self._held_for[target] = outcome.value
        self._held[target].extend(shards)

    def _send_held(self, target: TargetId, now: float) -> Send:
        reason = self._held_for.pop(target, 'first')
        if reason == 'first':
            self._budget.deposit(target)
        return self._send(target, self._held.pop(target), reason, now)

    def _send_one_held(self, now: float) -> list[Action]:
        send = self._send_held(self._safest(self._held, self._broken), now)
        self._trial = send.attempt
        return [send]

    def _safest(
        self,
        chosen: typing.Mapping[TargetId, typing.Sequence[ShardId]],
        broken: TargetId | None,
    ) -> TargetId:
        """Return the target whose loss would cost the least coverage."""

        def cost(target: TargetId) -> tuple[bool, bool, int]:
            candidates = self._wanted[chosen[target][0]].candidates
            # Entries which know nothing of each other should not lose one
            # shard's replicas one after the other.
            spread = zlib.crc32(f'{self._request.request}{target}'.encode())
            return broken in candidates, len(candidates) < 2, spread

        return min(chosen, key=cost)

    def _send_first(
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
        self._hedge_later(batch, now)
        return actions

    def _hedge_later(self, batch: list[AttemptId], now: float) -> None:
        hedge_at = self._hedge_at(0, now)
        if hedge_at is not None and batch:
            heapq.heappush(self._hedge_times, (hedge_at, batch))

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
        self._unproved = False
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
        if attempt == self._trial:
            # The one attempt ended without a verdict; try another one.
            self._trial = None
            actions += self.resume(now, self._broken)
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
        while times and times[0][0] <= now and not self._keeps_hedges:
            for attempt in heapq.heappop(times)[1]:
                sent = self._attempts.get(attempt)
                if sent is not None:
                    self._hedge(sent, actions, now)
        return actions

    def next_due(self) -> float:
        """Return when due() has something to do, on the same clock."""
        if self._keeps_hedges:
            return self._request.deadline_at
        times = self._hedge_times
        while times and not self._any_runs(times[0][1]):
            heapq.heappop(times)
        return times[0][0] if times else self._request.deadline_at

    def _any_runs(self, batch: list[AttemptId]) -> bool:
        # Those which have ended are looked at only once.
        while batch and batch[-1] not in self._attempts:
            batch.pop()
        return bool(batch)

    def stop(
        self,
        reason: MissingReason,
        now: float,
        retry_after_s: float = RETRY_AFTER_S,
    ) -> list[Action]:
        """End the answer now; the shards not merged are missing."""
        self._retry_after_s = retry_after_s
        for shard in list(self._wanted):
            known = self._wanted[shard].reason
            if known is not MissingReason.DEADLINE:
                self._give_up(shard, known)
            else:
                self._give_up(shard, reason)
        actions: list[Action] = [Cancel(a) for a in self._attempts]
        self._attempts.clear()
        self._held.clear()
        self._suspended.clear()
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
        if self._alone:
            self._suspend(shards, outcome)
            return
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
        self._chooser.late(sent.target, now - sent.at, now)
        again: dict[TargetId, list[ShardId]] = {}
        refused: set[TargetId] = set()
        for shard in sent.shards:
            wanted = self._wanted.get(shard)
            if wanted is None or len(wanted.attempts) > MAX_HEDGES:
                continue
            target = self._hedge_target(wanted, again, refused, now)
            if target is not None:
                again.setdefault(target, []).append(shard)
        if refused:
            actions.append(Count('hedges_refused', 'budget', len(refused)))
        for target, shards in again.items():
            actions.append(self._send_again(target, shards, 'hedge', now))

    def _hedge_target(
        self,
        wanted: _Wanted,
        paid: typing.Container[TargetId],
        refused: set[TargetId],
        now: float,
    ) -> TargetId | None:
        """Return a replica for which the budget allows a hedge."""
        if len(wanted.tried) >= MAX_ATTEMPTS_PER_SHARD:
            return None
        fresh = [t for t in wanted.candidates if t not in wanted.tried]
        while True:
            # Once all were asked, one of them is asked again.
            left = [t for t in fresh or wanted.candidates if t not in refused]
            if not left:
                return None
            target = self._chooser.choose(left, now)
            if target is None or target in paid:
                return target
            if self._budget.withdraw(target):
                return target
            refused.add(target)

    def _send_again(
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
        self._number += 1
        attempt = AttemptId(f'{self._request.request}.{self._number}')
        ids = tuple(shards)
        self._attempts[attempt] = _Attempt(target, ids, now)
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
                    retry_after_s=self._retry_after(),
                )
            )
        )

    def _retry_after(self) -> float | None:
        """Return when to ask again for what is missing, if that helps."""
        if _RETRY_REASONS.isdisjoint(self._missing.values()):
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
