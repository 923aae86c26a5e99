"""Send sub-requests and bookings to targets with a limit on connections."""

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
from .transfers import HandlePool
from .transfers import Response
from .transfers import Transfer
from .transfers import Transfers

STATUS_OK = 200
STATUS_UNAVAILABLE = 503
_HEADERS = ['Content-Type: application/json']
# Of the connections that this entry may open to a target, one is reserved for
# the agent's load probes and one for bookings, which never reuse an idle
# connection.
_LOAD_PROBE_CONNECTIONS = 1
_BOOKING_CONNECTIONS = 1


class QueryResult(msgspec.Struct, frozen=True):
    """Hold the result of a sub-request; reply is None unless it succeeded."""

    outcome: Outcome
    reply: TargetReply | None = None
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class BookingAnswer:
    """Hold the result of one booking that was to be sent to a target.

    sent is False only if the target has certainly not run the booking, for
    example because the target refused it.
    """

    outcome: Outcome
    sent: bool
    reply: TargetBookingReply | None = None
    retry_after_ms: int = 0


OnQueryDone = typing.Callable[[AttemptId, QueryResult], None]
OnBookingDone = typing.Callable[[BookingAnswer], None]


@dataclasses.dataclass(slots=True)
class _PendingQuery:
    attempt: AttemptId
    body: bytes
    done: OnQueryDone


@dataclasses.dataclass(slots=True)
class _PendingBooking:
    booking: TargetBooking
    deadline_at: float
    done: OnBookingDone


class _TargetConnections:
    """Hold the connection limits and the request queues of one target."""

    def __init__(self, target: Target):
        base = f'http://{target.host}:{target.port}'
        self.queries = HandlePool(f'{base}/v1/query', _HEADERS)
        self.bookings = HandlePool(
            f'{base}/v1/book', _HEADERS, fresh_connection=True
        )
        self.query_share = 0
        self.booking_share = 0
        self.queries_in_flight = 0
        self.bookings_in_flight = 0
        self.queued_queries: collections.deque[_PendingQuery] = (
            collections.deque()
        )
        self.queued_bookings: collections.deque[_PendingBooking] = (
            collections.deque()
        )


class TargetClient:
    """Send sub-requests and bookings within limits of connections per target.

    The limits are this entry's share of the connections that a target allows.
    What exceeds them waits in queues per target.
    """

    def __init__(self, metrics: Metrics, clock: Clock):
        self._transfers = Transfers()
        self._clock = clock
        self._metrics = metrics
        self._connections: dict[TargetId, _TargetConnections] = {}
        self._running_queries: dict[
            AttemptId, tuple[_TargetConnections, Transfer]
        ] = {}
        self._connections_of_queued: dict[AttemptId, _TargetConnections] = {}
        self._reply_decoder = msgspec.json.Decoder(TargetReply)
        self._refusal_decoder = msgspec.json.Decoder(TargetRefusal)
        self._booking_reply_decoder = msgspec.json.Decoder(TargetBookingReply)
        self._encoder = msgspec.json.Encoder()

    def declare(self, target: Target, share: int) -> None:
        """Set this entry's share of the connections to a target.

        One connection of the share is reserved for the agent's load probes,
        so this entry opens at most share - 1 itself.
        """
        connections = self._connections.get(target.id)
        if connections is None:
            connections = _TargetConnections(target)
            self._connections[target.id] = connections
        usable = max(0, share - _LOAD_PROBE_CONNECTIONS)
        connections.booking_share = min(
            _BOOKING_CONNECTIONS, max(0, usable - 1)
        )
        connections.query_share = usable - connections.booking_share
        self._start_queued_queries(connections)
        self._start_queued_bookings(connections)

    def forget(self, target_id: TargetId) -> None:
        """Remove a target; its queued sub-requests fail with CONNECT_FAILED.

        Transfers in flight can still end normally.
        """
        connections = self._connections.pop(target_id, None)
        if connections is None:
            return
        self._transfers.recycle_handles(connections.queries)
        self._transfers.recycle_handles(connections.bookings)
        while connections.queued_queries:
            pending = connections.queued_queries.popleft()
            del self._connections_of_queued[pending.attempt]
            pending.done(pending.attempt, QueryResult(Outcome.CONNECT_FAILED))

    def query(
        self, target_id: TargetId, query: ShardQuery, done: OnQueryDone
    ) -> None:
        """Send a sub-request, or queue it until a connection is free.

        done is called once with the result unless the query is cancelled.
        """
        connections = self._connections.get(target_id)
        if connections is None:
            done(query.attempt, QueryResult(Outcome.CONNECT_FAILED))
            return
        body = self._encoder.encode(query)
        pending = _PendingQuery(query.attempt, body, done)
        if connections.queries_in_flight < connections.query_share:
            self._start_query(connections, pending)
            return
        self._metrics.count('sub_requests_queued', 'connection_share')
        connections.queued_queries.append(pending)
        self._connections_of_queued[query.attempt] = connections

    def cancel(self, attempt: AttemptId) -> None:
        """Abandon a sub-request without calling its callback.

        If it was sent, its connection is closed.
        """
        connections = self._connections_of_queued.pop(attempt, None)
        if connections is not None:
            connections.queued_queries = collections.deque(
                q for q in connections.queued_queries if q.attempt != attempt
            )
            return
        running = self._running_queries.pop(attempt, None)
        if running is not None:
            connections, transfer = running
            self._transfers.cancel(transfer)
            connections.queries_in_flight -= 1
            self._start_queued_queries(connections)

    def book(
        self,
        target_id: TargetId,
        booking: TargetBooking,
        deadline_at: float,
        done: OnBookingDone,
    ) -> None:
        """Send a booking once, unless its deadline passes in the queue.

        deadline_at is a time of the clock that was passed to this client.
        """
        connections = self._connections.get(target_id)
        if connections is None:
            done(BookingAnswer(Outcome.CONNECT_FAILED, False))
            return
        pending = _PendingBooking(booking, deadline_at, done)
        connections.queued_bookings.append(pending)
        self._start_queued_bookings(connections)

    def close(self) -> None:
        """Abandon all transfers without calling their callbacks."""
        self._transfers.close()

    def _start_queued_bookings(self, connections: _TargetConnections) -> None:
        while (
            connections.queued_bookings
            and connections.bookings_in_flight < connections.booking_share
        ):
            pending = connections.queued_bookings.popleft()
            remaining_s = pending.deadline_at - self._clock()
            if remaining_s <= 0:
                pending.done(BookingAnswer(Outcome.CONNECT_FAILED, False))
                continue
            self._start_booking(
                connections, pending, int(remaining_s * 1000) + 1
            )

    def _start_booking(
        self,
        connections: _TargetConnections,
        pending: _PendingBooking,
        remaining_ms: int,
    ) -> None:
        connections.bookings_in_flight += 1
        booking = msgspec.structs.replace(
            pending.booking, remaining_ms=remaining_ms
        )

        def finish(response: Response) -> None:
            connections.bookings_in_flight -= 1
            pending.done(self._booking_answer(booking.attempt, response))
            self._start_queued_bookings(connections)

        body = self._encoder.encode(booking)
        self._transfers.submit(
            connections.bookings, body, finish, remaining_ms
        )

    def _start_query(
        self, connections: _TargetConnections, pending: _PendingQuery
    ) -> None:
        connections.queries_in_flight += 1
        attempt = pending.attempt

        def finish(response: Response) -> None:
            del self._running_queries[attempt]
            connections.queries_in_flight -= 1
            if connections.queued_queries:
                self._start_queued_queries(connections)
            pending.done(attempt, self._query_result(response))

        transfer = self._transfers.submit(
            connections.queries, pending.body, finish
        )
        self._running_queries[attempt] = (connections, transfer)

    def _start_queued_queries(self, connections: _TargetConnections) -> None:
        while (
            connections.queued_queries
            and connections.queries_in_flight < connections.query_share
        ):
            pending = connections.queued_queries.popleft()
            del self._connections_of_queued[pending.attempt]
            self._start_query(connections, pending)

    def _query_result(self, response: Response) -> QueryResult:
        if response.failure is not None:
            return QueryResult(_failure_outcome(response.failure))
        if response.status == STATUS_OK:
            try:
                reply = self._reply_decoder.decode(response.body)
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
            return BookingAnswer(
                _failure_outcome(response.failure), response.sent
            )
        if response.status == STATUS_OK:
            try:
                reply = self._booking_reply_decoder.decode(response.body)
            except msgspec.DecodeError:
                return BookingAnswer(Outcome.ERROR, True)
            if reply.attempt != attempt:
                return BookingAnswer(Outcome.ERROR, True)
            return BookingAnswer(Outcome.OK, True, reply)
        outcome, retry_after_ms = self._refusal(response)
        was_refused = outcome in (Outcome.SHED, Outcome.DRAINING)
        return BookingAnswer(outcome, not was_refused, None, retry_after_ms)

    def _refusal(self, response: Response) -> tuple[Outcome, int]:
        if response.status != STATUS_UNAVAILABLE:
            return Outcome.ERROR, 0
        try:
            refusal = self._refusal_decoder.decode(response.body)
        except msgspec.DecodeError:
            return Outcome.ERROR, 0
        if refusal.kind == 'draining':
            return Outcome.DRAINING, refusal.retry_after_ms
        if refusal.kind == 'shed':
            return Outcome.SHED, refusal.retry_after_ms
        return Outcome.ERROR, refusal.retry_after_ms


def _failure_outcome(failure: Failure) -> Outcome:
    match failure:
        case Failure.CONNECT:
            return Outcome.CONNECT_FAILED
        case Failure.TIMEOUT:
            return Outcome.TIMEOUT
        case Failure.BROKEN | Failure.TOO_LARGE:
            return Outcome.BROKEN
