"""Run a booking at most once, under a claim in the store."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time
import typing

import msgspec

from .. import logs
from ..bookings import bookings
from ..clients.target_client import BookingAnswer
from ..clients.target_client import TargetClient
from ..configuration.platform_client import PlatformClient
from ..controllers.leaving import Leaving
from ..controllers.nodes import Nodes
from ..controllers.routing import Routing
from ..controllers.suspects import Suspects
from ..exceptions import ConflictError
from ..exceptions import NotFoundError
from ..exceptions import PlatformError
from ..exceptions import PlatformThrottledError
from ..exceptions import RefusalError
from ..messages import BookingResult
from ..messages import StoredObject
from ..messages import TargetBooking
from ..metrics import Metrics
from ..quarantine.quarantine import Allow
from ..quarantine.quarantine import Canary
from ..quarantine.quarantine import Lead
from ..types import AttemptId
from ..types import ChangeId
from ..types import Outcome
from ..types import RefusalKind
from ..types import Revision
from ..types import ShardId
from ..types import TargetId
from .chain import FilterChain
from .exchange import Exchange

NO_REPLICA_RETRY_AFTER_S = 1.0
_REFUSAL_TEXTS = {
    RefusalKind.KEY_REUSED: (
        'this Idempotency-Key was already used for a different booking',
        'use a new Idempotency-Key for a new booking',
    ),
    RefusalKind.IN_PROGRESS: (
        'an equal booking with this Idempotency-Key is still running',
        'retry with the same Idempotency-Key after retry_after_s seconds',
    ),
    RefusalKind.STORE_UNAVAILABLE: (
        'the claim of this booking could not be stored',
        'retry with the same Idempotency-Key after retry_after_s seconds',
    ),
}
_DEFAULT_REFUSAL_TEXTS = (
    'the booking could not be run',
    'retry with the same Idempotency-Key, '
    'after retry_after_s seconds if given',
)


@dataclasses.dataclass(frozen=True, slots=True)
class BookingComponents:
    """Hold the components that all bookings of an entry share."""

    client: TargetClient
    platform: PlatformClient
    routing: Routing
    suspects: Suspects
    nodes: Nodes
    leaving: Leaving
    claimer: bookings.Claimer
    cfg: bookings.BookingSettings
    metrics: Metrics
    clock: typing.Callable[[], float]
    rng: random.Random


class RunBooking:
    """Claim a booking's key, run it at most once and store the outcome."""

    def __init__(self, parts: BookingComponents):
        self._parts = parts

    async def __call__(self, exchange: Exchange, proceed: FilterChain) -> None:
        """Run the booking and send its result to the caller.

        Raise RefusalError if it is refused. The outcome may be stored after
        the reply; a graceful shutdown waits until the booking has ended.
        """
        run = _BookingRun(exchange, self._parts)
        exchange.claiming = True
        self._parts.leaving.track(run.ended, f'booking {exchange.key}')
        exchange.caller.answer(await asyncio.shield(run.start()))
        await proceed(exchange)


class _BookingRun:
    """Run one booking.

    bookings.Booking decides which claims to store and which target gets the
    booking; this class executes its actions and passes their results to it.
    """

    def __init__(self, exchange: Exchange, parts: BookingComponents):
        self._exchange = exchange
        self._parts = parts
        self._shard = self._find_shard()
        targets = parts.routing.replicas(exchange.service, self._shard)
        loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[None] = loop.create_future()
        self._result: asyncio.Future[BookingResult] = loop.create_future()
        self._tasks: set[asyncio.Task] = set()
        self._deadline_timer = loop.call_later(
            max(0.0, exchange.deadline_at - parts.clock()), self._on_deadline
        )
        self._booking = bookings.Booking(
            bookings.BookingRequest(
                request_id=exchange.request_id,
                service=exchange.service.service,
                key=exchange.key,
                digest=bookings.digest(exchange.booking),
                attempt=exchange.attempt,
                deadline=exchange.deadline_at,
                targets=tuple(targets),
            ),
            parts.claimer,
            parts.cfg,
            parts.rng,
        )

    def start(self) -> asyncio.Future[BookingResult]:
        """Start the booking; return a future for its result or refusal."""
        now = self._parts.clock()
        self._execute(self._booking.start(now, time.time()))
        return self._result

    def _find_shard(self) -> ShardId:
        service = self._exchange.service
        pin = self._parts.routing.pin(service)
        if pin is None:
            raise RefusalError(
                RefusalKind.NO_REPLICA,
                'no usable target of service '
                f'{service.name} reports a snapshot',
                'retry after retry_after_s seconds',
                run=bookings.unclaimed_run(self._exchange.attempt),
                retry_after_s=NO_REPLICA_RETRY_AFTER_S,
            )
        return pin.shard_map.owner(self._exchange.booking.record_key).id

    def _handle(self, event: bookings.Event) -> None:
        now = self._parts.clock()
        self._execute(self._booking.handle(event, now))

    def _execute(self, actions: typing.Sequence[bookings.Action]) -> None:
        for action in actions:
            match action:
                case bookings.CreateClaim():
                    self._spawn(self._create_claim(action))
                case bookings.ReadClaim():
                    self._spawn(self._read_claim(action))
                case bookings.Dispatch():
                    self._dispatch(action)
                case bookings.WriteOutcome() | bookings.ReleaseClaim():
                    self._spawn(self._write_claim(action))
                case bookings.Reply(result):
                    self._resolve(result)
                case bookings.Refuse():
                    self._refuse(action)
        if self._booking.ended and not self.ended.done():
            self._deadline_timer.cancel()
            self.ended.set_result(None)

    def _spawn(self, work: typing.Coroutine) -> None:
        task = asyncio.ensure_future(work)
        logs.log_failure(task)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _resolve(self, result: BookingResult) -> None:
        reason = 'repeated' if result.repeated else result.run.value
        self._parts.metrics.count('bookings', reason)
        self._result.set_result(result)

    def _refuse(self, refuse: bookings.Refuse) -> None:
        problem, remedy = _REFUSAL_TEXTS.get(
            refuse.kind, _DEFAULT_REFUSAL_TEXTS
        )
        self._result.set_exception(
            RefusalError(
                refuse.kind,
                problem,
                remedy,
                run=refuse.run,
                retry_after_s=refuse.retry_after_s,
            )
        )

    def _on_deadline(self) -> None:
        self._handle(bookings.DeadlinePassed())

    async def _create_claim(self, action: bookings.CreateClaim) -> None:
        try:
            revision = await self._put_claim(
                action.name, action.claim, action.replaces, 'claim'
            )
        except ConflictError:
            self._handle(bookings.ClaimConflict())
        except PlatformThrottledError:
            self._parts.metrics.count('claims_failed', 'throttled')
            self._handle(bookings.ClaimCreateRejected())
        except PlatformError:
            self._parts.metrics.count('claims_failed', 'unsure')
            self._handle(bookings.ClaimCreateUnconfirmed())
        else:
            self._handle(bookings.ClaimCreated(revision))

    async def _read_claim(self, action: bookings.ReadClaim) -> None:
        if action.after_s:
            await asyncio.sleep(action.after_s)
        try:
            stored_object = await self._parts.platform.get(
                bookings.CLAIM_KIND, action.name
            )
            stored = self._describe_claim(stored_object)
        except NotFoundError:
            self._handle(bookings.ClaimRead(None))
        except (PlatformError, msgspec.DecodeError):
            self._parts.metrics.count('claims_failed', 'unreadable')
            self._handle(bookings.ReadFailed())
        else:
            self._handle(bookings.ClaimRead(stored))

    def _describe_claim(
        self, stored_object: StoredObject
    ) -> bookings.StoredClaim:
        claim = bookings.decode_claim(stored_object.value)
        alive = self._parts.nodes.alive(claim.node, claim.incarnation)
        age_s = max(0.0, time.time() - claim.created_s)
        return bookings.StoredClaim(
            claim, stored_object.revision, alive, age_s
        )

    async def _write_claim(
        self, action: bookings.WriteOutcome | bookings.ReleaseClaim
    ) -> None:
        if action.after_s:
            await asyncio.sleep(action.after_s)
        try:
            await self._put_claim(
                action.name, action.claim, action.revision, 'outcome'
            )
        except ConflictError:
            self._handle(bookings.OutcomeConflict())
        except PlatformError:
            self._parts.metrics.count('outcomes_failed', 'store')
            self._handle(bookings.OutcomeUnconfirmed())
        else:
            self._handle(bookings.OutcomeWritten())

    async def _put_claim(
        self,
        name: str,
        claim: bookings.Claim,
        expected: Revision | None,
        step: str,
    ) -> Revision:
        return await self._parts.platform.put(
            bookings.CLAIM_KIND,
            name,
            bookings.encode_claim(claim),
            expected,
            ChangeId(f'{claim.nonce}-{step}'),
        )

    def _dispatch(self, action: bookings.Dispatch) -> None:
        exchange = self._exchange
        self._parts.metrics.count('booking_dispatches')

        if self._parts.suspects.enabled:
            self._parts.suspects.sent(exchange.fingerprint, action.target)

        def on_answer(answer: BookingAnswer) -> None:
            if self._parts.suspects.enabled:
                self._report_to_quarantine(action.target, answer)
            if answer.outcome is Outcome.DRAINING:
                self._parts.routing.mark_leaving(action.target)
            self._handle(_to_event(action.attempt, answer))

        self._parts.client.book(
            action.target,
            TargetBooking(
                attempt=action.attempt,
                key=exchange.key,
                service=exchange.service.service,
                shard=self._shard,
                record_key=exchange.booking.record_key,
                remaining_ms=0,
                action=exchange.booking.action,
                request=exchange.request_id,
            ),
            action.deadline,
            on_answer,
        )

    def _report_to_quarantine(
        self, target: TargetId, answer: BookingAnswer
    ) -> None:
        """Report to the quarantine how the booking ended at a target."""
        exchange = self._exchange
        suspects = self._parts.suspects
        was_trial = isinstance(exchange.quarantine_admission, Lead | Canary)
        if answer.outcome is Outcome.BROKEN and answer.sent:
            exchange.quarantine_admission = Allow()
            self._spawn(
                suspects.broke(exchange.fingerprint, target, was_trial)
            )
        elif answer.outcome is Outcome.OK and was_trial:
            exchange.quarantine_admission = Allow()
            suspects.succeeded(exchange.fingerprint, target, was_trial)
        suspects.ended(exchange.fingerprint, target)


def _to_event(attempt: AttemptId, answer: BookingAnswer) -> bookings.Event:
    if answer.reply is not None:
        return bookings.TargetAnswered(attempt, answer.reply.result)
    if answer.outcome in (Outcome.SHED, Outcome.DRAINING):
        return bookings.TargetRefused(attempt, answer.retry_after_ms / 1000)
    if not answer.sent:
        return bookings.ConnectFailed(attempt)
    return bookings.ConnectionBroken(attempt)
