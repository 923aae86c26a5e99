"""Ask the targets and stream what they answer."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from .. import logs
from ..clients.target_client import QueryResult
from ..clients.target_client import TargetClient
from ..controllers.routing import Routing
from ..controllers.suspects import Suspects
from ..messages import Open
from ..messages import ShardQuery
from ..metrics import Metrics
from ..quarantine.quarantine import Allow
from ..quarantine.quarantine import Canary
from ..quarantine.quarantine import Lead
from ..quarantine.quarantine import Refuse
from ..routing.budget import BudgetBook
from ..routing.fanout import Action
from ..routing.fanout import Cancel
from ..routing.fanout import Count
from ..routing.fanout import Emit
from ..routing.fanout import Fanout
from ..routing.fanout import FanoutRequest
from ..routing.fanout import Finish
from ..routing.fanout import Send
from ..routing.hedging import HedgePolicy
from ..routing.latency import LatencyTracker
from ..types import AttemptId
from ..types import MissingReason
from ..types import Outcome
from ..types import ServiceName
from ..types import TargetId
from .chain import Proceed
from .exchange import Exchange

_OBSERVED = (Outcome.OK, Outcome.CANCELLED)


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerParts:
    """Hold what all answers of an entry share."""

    client: TargetClient
    routing: Routing
    suspects: Suspects
    budgets: BudgetBook
    hedges: HedgePolicy
    latencies: LatencyTracker
    metrics: Metrics
    clock: typing.Callable[[], float]


class Answer:
    """Fan a query out and stream its answer."""

    def __init__(self, parts: AnswerParts):
        self._parts = parts

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> None:
        """Return when the answer has ended or the caller is gone."""
        run = _Run(exchange, self._parts)
        try:
            await run.finish()
        finally:
            run.close()
        await proceed(exchange)


class _ServiceBudget:
    """Bind the budgets to one service."""

    __slots__ = ('_book', '_service')

    def __init__(self, book: BudgetBook, service: ServiceName):
        self._book = book
        self._service = service

    def deposit(self, target: TargetId) -> None:
        self._book.deposit(self._service, target)

    def withdraw(self, target: TargetId) -> bool:
        return self._book.withdraw(self._service, target)


@dataclasses.dataclass(slots=True)
class _Sent:
    target: TargetId
    at: float
    is_first: bool


class _Run:
    """Carry one fan-out's actions to the targets and their replies back."""

    def __init__(self, exchange: Exchange, parts: AnswerParts):
        self._exchange = exchange
        self._parts = parts
        self._service = exchange.service.service
        self._fp = exchange.fingerprint
        self._sent: dict[AttemptId, _Sent] = {}
        self._done = asyncio.get_running_loop().create_future()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._release_at: float | None = None
        self._unjudged = 0
        self._proved = False
        self._tasks: set[asyncio.Task] = set()
        self._closed = False
        self._fanout = Fanout(
            FanoutRequest(
                exchange.request_id,
                exchange.service.name,
                exchange.pin,
                exchange.versions,
                exchange.received_at,
                exchange.deadline_at,
                exchange.priority,
            ),
            parts.routing.chooser,
            _ServiceBudget(parts.budgets, self._service),
            parts.hedges,
        )

    async def finish(self) -> None:
        """Run until the answer has ended or the caller is gone."""
        self._open()
        self._carry_out(self._start())
        self._exchange.gone.add_done_callback(self._on_gone)
        await self._done

    def _on_gone(self, _: asyncio.Future) -> None:
        if not self._done.done():
            self._parts.metrics.count('callers_gone', 'mid_stream')
            self._done.set_result(None)

    def close(self) -> None:
        """Abandon what still runs at targets."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for attempt in list(self._sent):
            self._cancel(attempt)

    def _open(self) -> None:
        exchange = self._exchange
        exchange.caller.send(
            Open(
                request_id=exchange.request_id,
                service=self._service,
                generation=exchange.pin.shard_map.generation,
                snapshot=exchange.pin.snapshot,
                shards=self._fanout.asked,
            )
        )

    def _start(self) -> list[Action]:
        now = self._parts.clock()
        match self._exchange.trial:
            case Lead(wait_s):
                self._release_at = now + wait_s
                return self._fanout.start(now, one_first=True)
            case Canary(broken):
                return self._fanout.start(now, one_first=True, broken=broken)
            case _:
                return self._fanout.start(now)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._send(action)
                case Emit(rows):
                    self._exchange.caller.send(rows)
                case Cancel(attempt):
                    self._cancel(attempt)
                case Count(name, reason, amount):
                    self._parts.metrics.count(name, reason, amount)
                case Finish(end):
                    self._exchange.complete = end.complete
                    self._exchange.caller.send(end)
                    if not self._done.done():
                        self._done.set_result(None)
        # A reply may bring a hedge forward without a send: that of a lead.
        self._schedule()

    def _send(self, send: Send) -> None:
        exchange = self._exchange
        parts = self._parts
        now = parts.clock()
        parts.metrics.count('sub_requests', send.reason)
        parts.hedges.sent(self._service, send.reason == 'hedge')
        parts.routing.chooser.started(send.target, now)
        parts.suspects.sent(self._fp, send.target)
        is_first = send.reason == 'first'
        self._sent[send.attempt] = _Sent(send.target, now, is_first)
        parts.client.query(
            send.target,
            ShardQuery(
                attempt=send.attempt,
                request=exchange.request_id,
                service=self._service,
                generation=exchange.pin.shard_map.generation,
                snapshot=exchange.pin.snapshot,
                shards=send.shards,
                versions=exchange.versions,
                remaining_ms=max(1, int((exchange.deadline_at - now) * 1000)),
                match=exchange.query.match,
                keys=exchange.query.keys,
            ),
            self._on_result,
        )

    def _cancel(self, attempt: AttemptId) -> None:
        sent = self._sent.pop(attempt, None)
        if sent is None:
            return
        self._parts.client.cancel(attempt)
        self._account(sent, Outcome.CANCELLED, self._parts.clock())
        self._parts.metrics.count('sub_requests_cancelled')

    def _account(
        self,
        sent: _Sent,
        outcome: Outcome,
        now: float,
        retry_after_s: float = 0.0,
    ) -> None:
        parts = self._parts
        latency_s = now - sent.at
        parts.routing.chooser.finished(
            sent.target, outcome, latency_s, now, retry_after_s
        )
        parts.suspects.ended(self._fp, sent.target)
        # A cancelled first attempt took at least as long as it ran; without
        # those, hedging would hide the tail from which its delay is learned.
        if sent.is_first and outcome in _OBSERVED:
            parts.latencies.observe(self._service, latency_s, now)

    def _on_result(self, attempt: AttemptId, result: QueryResult) -> None:
        sent = self._sent.pop(attempt, None)
        if sent is None:
            self._parts.metrics.count('replies_dropped', 'finished_request')
            return
        if result.outcome is Outcome.OK:
            self._on_reply(attempt, sent, result)
        else:
            self._on_failure(attempt, sent, result)

    def _on_reply(
        self, attempt: AttemptId, sent: _Sent, result: QueryResult
    ) -> None:
        reply = result.reply
        if reply.attempt != attempt:
            self._parts.metrics.count('replies_dropped', 'unknown_attempt')
            self._on_failure(attempt, sent, QueryResult(Outcome.ERROR))
            return
        now = self._parts.clock()
        self._account(sent, Outcome.OK, now)
        self._take_success(attempt, sent.target)
        if reply.load is not None:
            self._parts.routing.take_report(sent.target, reply.load)
        pinned = self._exchange.pin.snapshot
        lacking = [s.shard for s in reply.shards if s.snapshot != pinned]
        if lacking:
            self._parts.routing.take_lacking(sent.target, lacking, pinned)
        is_trial = attempt == self._fanout.trial
        actions = self._fanout.replied(attempt, reply, now)
        if is_trial:
            actions += self._fanout.release(now)
        self._carry_out(actions)

    def _on_failure(
        self, attempt: AttemptId, sent: _Sent, result: QueryResult
    ) -> None:
        parts = self._parts
        parts.metrics.count('sub_requests_failed', result.outcome.value)
        if result.outcome is Outcome.BROKEN and parts.suspects.enabled:
            self._on_break(attempt, sent)
            return
        now = parts.clock()
        self._account(sent, result.outcome, now, result.retry_after_ms / 1000)
        if result.outcome is Outcome.DRAINING:
            parts.routing.take_leaving(sent.target)
        self._carry_out(self._fanout.failed(attempt, result.outcome, now))

    def _take_success(self, attempt: AttemptId, target: TargetId) -> None:
        """Count a success, but not of what left before the trial did."""
        if self._proved or not self._parts.suspects.enabled:
            return
        if self._fanout.alone and attempt != self._fanout.trial:
            return
        self._proved = True
        tried = isinstance(self._exchange.trial, Lead | Canary)
        self._exchange.trial = Allow()
        self._parts.suspects.succeeded(self._fp, target, tried)

    def _on_break(self, attempt: AttemptId, sent: _Sent) -> None:
        """Hold all else back until the request is admitted again."""
        parts = self._parts
        tried = self._fanout.trial in (None, attempt) and isinstance(
            self._exchange.trial, Lead | Canary
        )
        if tried:
            self._exchange.trial = Allow()
        self._proved = False
        judged = parts.suspects.broke(self._fp, sent.target, tried)
        self._account(sent, Outcome.BROKEN, parts.clock())
        self._release_at = None
        self._unjudged += 1
        task = asyncio.ensure_future(self._readmit(judged))
        logs.watch(task)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._carry_out(self._fanout.pause(attempt, parts.clock()))

    async def _readmit(self, judged: typing.Awaitable[None]) -> None:
        await judged
        self._unjudged -= 1
        if self._unjudged or self._over:
            return
        admission = await self._parts.suspects.admit(
            self._fp, self._exchange.deadline_at
        )
        on_trial = isinstance(admission, Lead | Canary)
        if self._unjudged or self._over:
            if on_trial:
                self._parts.suspects.trial_ended(self._fp)
            return
        now = self._parts.clock()
        match admission:
            case Refuse(retry_after_s):
                actions = self._fanout.stop(
                    MissingReason.QUARANTINED, now, retry_after_s
                )
            case Canary(broken):
                actions = self._fanout.resume(now, broken)
            case Lead():
                actions = self._fanout.resume(now, None)
            case _:
                actions = self._fanout.release(now)
        if on_trial and self._fanout.trial is not None:
            self._exchange.trial = admission
        elif on_trial:
            # Nothing was left to send.
            self._parts.suspects.trial_ended(self._fp)
        self._carry_out(actions)

    @property
    def _over(self) -> bool:
        return self._closed or self._done.done()

    def _schedule(self) -> None:
        if self._done.done():
            return
        due_at = self._fanout.next_due()
        if self._release_at is not None and self._release_at < due_at:
            due_at = self._release_at
        if self._timer is not None:
            if self._timer_at <= due_at:
                return
            self._timer.cancel()
        delay_s = max(0.0, due_at - self._parts.clock())
        loop = asyncio.get_running_loop()
        self._timer_at = due_at
        self._timer = loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now = self._parts.clock()
        actions: list[Action] = []
        if self._release_at is not None and now >= self._release_at:
            self._release_at = None
            actions += self._fanout.release(now)
        self._carry_out(actions + self._fanout.due(now))
