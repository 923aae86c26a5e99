"""Send sub-requests, bookings and cancellations to targets."""

from __future__ import annotations

import collections
import dataclasses
import typing

import msgspec

from ..configuration.declared import Target
from ..messages import ShardQuery
from ..messages import TargetBooking
from ..messages import TargetBookingReply
from ..messages import TargetRefusal
from ..messages import TargetReply
from ..metrics import Metrics
from ..types import AttemptId
from ..types import Clock
from ..types import Outcome
from ..types import TargetId
from .transfers import Failure
from .transfers import Lane
from .transfers import Response
from .transfers import Transfer
from .transfers import Transfers

STATUS_OK = 200
STATUS_UNAVAILABLE = 503
_HEADERS = ['Content-Type: application/json']
# Of each share, one connection belongs to the agent's load reports and one
# to bookings, which never use a warm connection.
_REPORT_CONNECTIONS = 1
_BOOKING_CONNECTIONS = 1


class QueryResult(msgspec.Struct, frozen=True):
    """Hold the end of one sub-request; reply is None unless it is OK."""

    outcome: Outcome
    reply: TargetReply | None = None
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class BookingAnswer:
    """Hold the end of one dispatched booking.

    sent tells whether the target may have received the booking.
    """

    outcome: Outcome
    sent: bool
    reply: TargetBookingReply | None = None
    retry_after_ms: int = 0


QueryDone = typing.Callable[[AttemptId, QueryResult], None]
BookingDone = typing.Callable[[BookingAnswer], None]


@dataclasses.dataclass(slots=True)
class _Waiting:
    attempt: AttemptId
    body: bytes
    done: QueryDone


@dataclasses.dataclass(slots=True)
class _WaitingBooking:
    booking: TargetBooking
    deadline_at: float
    done: BookingDone


class _Link:
    """Hold the lanes, the connection share and the queue of one target."""

    def __init__(self, target: Target):
        base = f'http://{target.host}:{target.port}'
        self.queries = Lane(f'{base}/v1/query', _HEADERS)
        self.bookings = Lane(f'{base}/v1/book', _HEADERS, once=True)
        self.share = 0
        self.booking_share = 0
        self.in_flight = 0
        self.booking_in_flight = 0
        self.waiting: collections.deque[_Waiting] = collections.deque()
        self.waiting_bookings: collections.deque[_WaitingBooking] = (
            collections.deque()
        )


class TargetClient:
    """Keep each target's connections within this entry's share."""

    def __init__(self, metrics: Metrics, clock: Clock):
        self._transfers = Transfers()
        self._clock = clock
        self._metrics = metrics
        self._links: dict[TargetId, _Link] = {}
        self._running: dict[AttemptId, tuple[_Link, Transfer]] = {}
        self._queued: dict[AttemptId, _Link] = {}
        self._replies = msgspec.json.Decoder(TargetReply)
        self._refusals = msgspec.json.Decoder(TargetRefusal)
        self._booking_replies = msgspec.json.Decoder(TargetBookingReply)
        self._encoder = msgspec.json.Encoder()

    def declare(self, target: Target, share: int) -> None:
        """Allow share connections to the target."""
        link = self._links.get(target.id)
        if link is None:
            link = _Link(target)
            self._links[target.id] = link
        left = max(0, share - _REPORT_CONNECTIONS)
        link.booking_share = min(_BOOKING_CONNECTIONS, max(0, left - 1))
        link.share = left - link.booking_share
        self._start_next(link)
        self._book_next(link)

    def forget(self, target_id: TargetId) -> None:
        """Send nothing more to the target; let running work end."""
        link = self._links.pop(target_id, None)
        if link is None:
            return
        self._transfers.forget(link.queries)
        self._transfers.forget(link.bookings)
        while link.waiting:
            waiting = link.waiting.popleft()
            del self._queued[waiting.attempt]
            waiting.done(waiting.attempt, QueryResult(Outcome.CONNECT_FAILED))

    def query(
        self, target_id: TargetId, query: ShardQuery, done: QueryDone
    ) -> None:
        """Send a sub-request, or queue it for a free connection."""
        link = self._links.get(target_id)
        if link is None:
            done(query.attempt, QueryResult(Outcome.CONNECT_FAILED))
            return
        body = self._encoder.encode(query)
        waiting = _Waiting(query.attempt, body, done)
        if link.in_flight < link.share:
            self._start(link, waiting)
            return
        self._metrics.count('sub_requests_queued', 'connection_share')
        link.waiting.append(waiting)
        self._queued[query.attempt] = link

    def cancel(self, attempt: AttemptId) -> None:
        """Abandon a sub-request at the target; its done is not called."""
        link = self._queued.pop(attempt, None)
        if link is not None:
            link.waiting = collections.deque(
                w for w in link.waiting if w.attempt != attempt
            )
            return
        running = self._running.pop(attempt, None)
        if running is not None:
            link, transfer = running
            self._transfers.cancel(transfer)
            link.in_flight -= 1
            self._start_next(link)

    def book(
        self,
        target_id: TargetId,
        booking: TargetBooking,
        deadline_at: float,
        done: BookingDone,
    ) -> None:
        """Send a booking once, unless its deadline passes before that."""
        link = self._links.get(target_id)
        if link is None:
            done(BookingAnswer(Outcome.CONNECT_FAILED, False))
            return
        waiting = _WaitingBooking(booking, deadline_at, done)
        link.waiting_bookings.append(waiting)
        self._book_next(link)

    def close(self) -> None:
        """Abandon everything."""
        self._transfers.close()

    def _book_next(self, link: _Link) -> None:
        while (
            link.waiting_bookings
            and link.booking_in_flight < link.booking_share
        ):
            waiting = link.waiting_bookings.popleft()
            left_s = waiting.deadline_at - self._clock()
            if left_s <= 0:
                waiting.done(BookingAnswer(Outcome.CONNECT_FAILED, False))
                continue
            self._send_booking(link, waiting, int(left_s * 1000) + 1)

    def _send_booking(
        self, link: _Link, waiting: _WaitingBooking, left_ms: int
    ) -> None:
        link.booking_in_flight += 1
        booking = msgspec.structs.replace(
            waiting.booking, remaining_ms=left_ms
        )

        def finish(response: Response) -> None:
            link.booking_in_flight -= 1
            waiting.done(self._booking_answer(booking.attempt, response))
            self._book_next(link)

        body = self._encoder.encode(booking)
        self._transfers.submit(link.bookings, body, finish, left_ms)

    def _start(self, link: _Link, waiting: _Waiting) -> None:
        link.in_flight += 1
        attempt = waiting.attempt

        def finish(response: Response) -> None:
            del self._running[attempt]
            link.in_flight -= 1
            if link.waiting:
                self._start_next(link)
            waiting.done(attempt, self._query_result(response))

        transfer = self._transfers.submit(link.queries, waiting.body, finish)
        self._running[attempt] = (link, transfer)

    def _start_next(self, link: _Link) -> None:
        while link.waiting and link.in_flight < link.share:
            waiting = link.waiting.popleft()
            del self._queued[waiting.attempt]
            self._start(link, waiting)

    def _query_result(self, response: Response) -> QueryResult:
        if response.failure is not None:
            return QueryResult(_outcome(response.failure))
        if response.status == STATUS_OK:
            try:
                reply = self._replies.decode(response.body)
            except msgspec.DecodeError:
                self._metrics.count('replies_dropped', 'undecodable')
                return QueryResult(Outcome.ERROR)
            return QueryResult(Outcome.OK, reply)
        outcome, retry_after_ms = self._refusal(response)
        return QueryResult(outcome, None, retry_after_ms)

    def _booking_answer(
        self, attempt: AttemptId, response: Response
    ) -> BookingAnswer:
        if response.failure is not None:
            return BookingAnswer(_outcome(response.failure), response.sent)
        if response.status == STATUS_OK:
            try:
                reply = self._booking_replies.decode(response.body)
            except msgspec.DecodeError:
                return BookingAnswer(Outcome.ERROR, True)
            if reply.attempt != attempt:
                return BookingAnswer(Outcome.ERROR, True)
            return BookingAnswer(Outcome.OK, True, reply)
        outcome, retry_after_ms = self._refusal(response)
        unrun = outcome in (Outcome.SHED, Outcome.DRAINING)
        return BookingAnswer(outcome, not unrun, None, retry_after_ms)

    def _refusal(self, response: Response) -> tuple[Outcome, int]:
        if response.status != STATUS_UNAVAILABLE:
            return Outcome.ERROR, 0
        try:
            refusal = self._refusals.decode(response.body)
        except msgspec.DecodeError:
            return Outcome.ERROR, 0
        if refusal.kind == 'draining':
            return Outcome.DRAINING, refusal.retry_after_ms
        if refusal.kind == 'shed':
            return Outcome.SHED, refusal.retry_after_ms
        return Outcome.ERROR, refusal.retry_after_ms


def _outcome(failure: Failure) -> Outcome:
    match failure:
        case Failure.CONNECT:
            return Outcome.CONNECT_FAILED
        case Failure.TIMEOUT:
            return Outcome.TIMEOUT
        case Failure.BROKEN | Failure.TOO_LARGE:
            return Outcome.BROKEN
