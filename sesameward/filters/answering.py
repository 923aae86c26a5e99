"""Send a query to the targets and stream their records to the caller."""

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
from ..routing.budget import RetryBudgets
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
from .chain import FilterChain
from .exchange import Exchange

# Latencies of first attempts with these outcomes determine the hedge delay.
_LATENCY_OUTCOMES = (Outcome.OK, Outcome.CANCELLED)


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerComponents:
    """Hold the components that all queries of an entry share."""

    client: TargetClient
    routing: Routing
    suspects: Suspects
    budgets: RetryBudgets
    hedges: HedgePolicy
    latencies: LatencyTracker
    metrics: Metrics
    clock: typing.Callable[[], float]


class AnswerQuery:
    """Split a query into sub-requests to targets and stream its answer."""

    def __init__(self, parts: AnswerComponents):
        self._parts = parts

    async def __call__(self, exchange: Exchange, proceed: FilterChain) -> None:
        """Stream the answer until it ends or the caller disconnects."""
        query_run = _QueryRun(exchange, self._parts)
        try:
            await query_run.run()
        finally:
            query_run.close()
        await proceed(exchange)


class _ServiceBudget:
    """Give a fan-out access to the retry budgets of its service only."""

    __slots__ = ('_budgets', '_service')

    def __init__(self, budgets: RetryBudgets, service: ServiceName):
        self._budgets = budgets
        self._service = service

    def deposit(self, target: TargetId) -> None:
        self._budgets.deposit(self._service, target)

    def withdraw(self, target: TargetId) -> bool:
        return self._budgets.withdraw(self._service, target)


@dataclasses.dataclass(slots=True)
class _SubRequest:
    """Describe a sub-request in flight; at is when it was sent."""

    target: TargetId
    at: float
    is_first: bool


class _QueryRun:
    """Run the fan-out of one query.

    The fan-out decides which sub-requests to send, cancel and hedge; this
    class executes its actions and passes replies, failures and time-outs to
    it.
    """

    def __init__(self, exchange: Exchange, parts: AnswerComponents):
        self._exchange = exchange
        self._parts = parts
        self._service = exchange.service.service
        self._fingerprint = exchange.fingerprint
        self._in_flight: dict[AttemptId, _SubRequest] = {}
        self._done = asyncio.get_running_loop().create_future()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = 0.0
        self._release_rest_at: float | None = None
        self._pending_verdicts = 0
        self._success_reported = False
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

    async def run(self) -> None:
        """Run the fan-out until the answer ends or the caller disconnects."""
        self._send_open_frame()
        self._execute(self._start_fanout())
        self._exchange.gone.add_done_callback(self._on_caller_gone)
        await self._done

    def _on_caller_gone(self, _: asyncio.Future) -> None:
        if not self._done.done():
            self._parts.metrics.count('callers_gone', 'mid_stream')
            self._done.set_result(None)

    def close(self) -> None:
        """Stop the timer and cancel the sub-requests still in flight."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for attempt in list(self._in_flight):
            self._cancel(attempt)

    def _send_open_frame(self) -> None:
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

    def _start_fanout(self) -> list[Action]:
        now = self._parts.clock()
        match self._exchange.quarantine_admission:
            case Lead(wait_s):
                self._release_rest_at = now + wait_s
                return self._fanout.start(now, one_first=True)
            case Canary(broken):
                return self._fanout.start(now, one_first=True, broken=broken)
            case _:
                return self._fanout.start(now)

    def _execute(self, actions: list[Action]) -> None:
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
        # This is needed even if nothing was sent. Once another target has
        # replied, the lead sub-request, which was sent first as a trial, may
        # be hedged if its own target stays silent, perhaps before the timer is
        # due.
        self._schedule_timer()

    def _send(self, send: Send) -> None:
        exchange = self._exchange
        parts = self._parts
        now = parts.clock()
        parts.metrics.count('sub_requests', send.reason)
        parts.hedges.sent(self._service, send.reason == 'hedge')
        parts.routing.chooser.started(send.target, now)
        parts.suspects.sent(self._fingerprint, send.target)
        is_first = send.reason == 'first'
        self._in_flight[send.attempt] = _SubRequest(send.target, now, is_first)
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
        sub_request = self._in_flight.pop(attempt, None)
        if sub_request is None:
            return
        self._parts.client.cancel(attempt)
        self._record_end(sub_request, Outcome.CANCELLED, self._parts.clock())
        self._parts.metrics.count('sub_requests_cancelled')

    def _record_end(
        self,
        sub_request: _SubRequest,
        outcome: Outcome,
        now: float,
        retry_after_s: float = 0.0,
    ) -> None:
        parts = self._parts
        latency_s = now - sub_request.at
        parts.routing.chooser.finished(
            sub_request.target, outcome, latency_s, now, retry_after_s
        )
        parts.suspects.ended(self._fingerprint, sub_request.target)
        # A cancelled first attempt would have taken at least as long as it
        # ran. Without these samples, hedging would hide the slow tail of the
        # latencies from which the hedge delay is learned.
        if sub_request.is_first and outcome in _LATENCY_OUTCOMES:
            parts.latencies.observe(self._service, latency_s, now)

    def _on_result(self, attempt: AttemptId, result: QueryResult) -> None:
        sub_request = self._in_flight.pop(attempt, None)
        if sub_request is None:
            self._parts.metrics.count('replies_dropped', 'finished_request')
            return
        if result.outcome is Outcome.OK:
            self._on_reply(attempt, sub_request, result)
        else:
            self._on_failure(attempt, sub_request, result)

    def _on_reply(
        self, attempt: AttemptId, sub_request: _SubRequest, result: QueryResult
    ) -> None:
        reply = result.reply
        if reply.attempt != attempt:
            self._parts.metrics.count('replies_dropped', 'unknown_attempt')
            self._on_failure(attempt, sub_request, QueryResult(Outcome.ERROR))
            return
        now = self._parts.clock()
        self._record_end(sub_request, Outcome.OK, now)
        self._report_success(attempt, sub_request.target)
        if reply.load is not None:
            self._parts.routing.apply_report(sub_request.target, reply.load)
        pinned = self._exchange.pin.snapshot
        shards_without_snapshot = [
            s.shard for s in reply.shards if s.snapshot != pinned
        ]
        if shards_without_snapshot:
            self._parts.routing.mark_missing_snapshot(
                sub_request.target, shards_without_snapshot, pinned
            )
        is_trial = attempt == self._fanout.trial
        actions = self._fanout.replied(attempt, reply, now)
        if is_trial:
            actions += self._fanout.release(now)
        self._execute(actions)

    def _on_failure(
        self, attempt: AttemptId, sub_request: _SubRequest, result: QueryResult
    ) -> None:
        parts = self._parts
        parts.metrics.count('sub_requests_failed', result.outcome.value)
        if result.outcome is Outcome.BROKEN and parts.suspects.enabled:
            self._on_broken_connection(attempt, sub_request)
            return
        now = parts.clock()
        self._record_end(
            sub_request, result.outcome, now, result.retry_after_ms / 1000
        )
        if result.outcome is Outcome.DRAINING:
            parts.routing.mark_leaving(sub_request.target)
        self._execute(self._fanout.failed(attempt, result.outcome, now))

    def _report_success(self, attempt: AttemptId, target: TargetId) -> None:
        """Report the first success of the query to the quarantine.

        While nothing but trials may be sent, only a reply to the trial counts:
        all other replies are to sub-requests that were sent before it.
        """
        if self._success_reported or not self._parts.suspects.enabled:
            return
        if self._fanout.holds_back and attempt != self._fanout.trial:
            return
        self._success_reported = True
        was_trial = isinstance(
            self._exchange.quarantine_admission, Lead | Canary
        )
        self._exchange.quarantine_admission = Allow()
        self._parts.suspects.succeeded(self._fingerprint, target, was_trial)

    def _on_broken_connection(
        self, attempt: AttemptId, sub_request: _SubRequest
    ) -> None:
        """Report the broken connection and pause the fan-out.

        Nothing more is sent until the quarantine admits the query again.
        """
        parts = self._parts
        was_trial = self._fanout.trial in (None, attempt) and isinstance(
            self._exchange.quarantine_admission, Lead | Canary
        )
        if was_trial:
            self._exchange.quarantine_admission = Allow()
        self._success_reported = False
        verdict = parts.suspects.broke(
            self._fingerprint, sub_request.target, was_trial
        )
        self._record_end(sub_request, Outcome.BROKEN, parts.clock())
        self._release_rest_at = None
        self._pending_verdicts += 1
        task = asyncio.ensure_future(self._readmit(verdict))
        logs.log_failure(task)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._execute(self._fanout.pause(attempt, parts.clock()))

    async def _readmit(self, verdict: typing.Awaitable[None]) -> None:
        """Resume or stop the paused fan-out, as the quarantine decides.

        Ask the quarantine only after its verdicts on all broken connections
        of the query have arrived.
        """
        await verdict
        self._pending_verdicts -= 1
        if self._pending_verdicts or self._has_ended:
            return
        admission = await self._parts.suspects.admit(
            self._fingerprint, self._exchange.deadline_at
        )
        on_trial = isinstance(admission, Lead | Canary)
        if self._pending_verdicts or self._has_ended:
            if on_trial:
                self._parts.suspects.trial_ended(self._fingerprint)
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
            self._exchange.quarantine_admission = admission
        elif on_trial:
            # No sub-request is left to send, so the trial has no result.
            self._parts.suspects.trial_ended(self._fingerprint)
        self._execute(actions)

    @property
    def _has_ended(self) -> bool:
        return self._closed or self._done.done()

    def _schedule_timer(self) -> None:
        if self._done.done():
            return
        due_at = self._fanout.next_due()
        if (
            self._release_rest_at is not None
            and self._release_rest_at < due_at
        ):
            due_at = self._release_rest_at
        if self._timer is not None:
            if self._timer_due_at <= due_at:
                return
            self._timer.cancel()
        delay_s = max(0.0, due_at - self._parts.clock())
        loop = asyncio.get_running_loop()
        self._timer_due_at = due_at
        self._timer = loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now = self._parts.clock()
        actions: list[Action] = []
        if self._release_rest_at is not None and now >= self._release_rest_at:
            self._release_rest_at = None
            actions += self._fanout.release(now)
        self._execute(actions + self._fanout.due(now))
