"""Handle the HTTP requests of an entry's callers."""

from __future__ import annotations

import asyncio
import math
import secrets
import typing

import msgspec
import tornado.iostream
import tornado.web

from ..bookings.bookings import unclaimed_run
from ..controllers.leaving import Leaving
from ..controllers.leaving import Stage
from ..controllers.nodes import Nodes
from ..exceptions import CallerGoneError
from ..exceptions import RefusalError
from ..filters.chain import FilterChain
from ..filters.exchange import Exchange
from ..filters.parsing import attempt_number
from ..filters.parsing import MAX_DIGITS
from ..messages import BookingResult
from ..messages import Frame
from ..messages import Refusal
from ..messages import Rows
from ..metrics import Metrics
from ..settings import LimitSettings
from ..types import RefusalKind
from ..types import RequestId
from ..types import RunState
from ..types import ZoneName

# The HTTP status for kinds of refusals. Kinds that are not listed get 503,
# except OVERLOADED, which gets 429.
_STATUS_BY_KIND = {
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.UNCOVERED_VERSION: 400,
    RefusalKind.BAD_DEADLINE: 400,
    RefusalKind.BAD_KEY: 400,
    RefusalKind.UNKNOWN_SERVICE: 404,
    RefusalKind.IN_PROGRESS: 409,
    RefusalKind.KEY_REUSED: 409,
    RefusalKind.SUPERSEDED: 409,
    RefusalKind.TOO_LARGE: 413,
}
LEAVING_RETRY_AFTER_S = 0.1
_FLUSH_DELAY_S = 0.002
_encoder = msgspec.json.Encoder()
_STATUS_UNAVAILABLE = 503
_STATUS_TOO_MANY_REQUESTS = 429


class HandlerContext(msgspec.Struct, frozen=True):
    """Hold the filter chains and components that all handlers share."""

    queries: FilterChain
    bookings: FilterChain
    leaving: Leaving
    nodes: Nodes
    limits: LimitSettings
    metrics: Metrics
    clock: typing.Callable[[], float]


def refusal_status(kind: RefusalKind) -> int:
    """Return the HTTP status for a kind of refusal."""
    if kind is RefusalKind.OVERLOADED:
        return _STATUS_TOO_MANY_REQUESTS
    return _STATUS_BY_KIND.get(kind, _STATUS_UNAVAILABLE)


def _exceeds(length: str, max_bytes: int) -> bool:
    """Return whether a Content-Length is above a limit."""
    if not (length.isascii() and length.isdigit()):
        return False
    # int() raises ValueError above 4,300 digits.
    return len(length) > MAX_DIGITS or int(length) > max_bytes


@tornado.web.stream_request_body
class RequestHandler(tornado.web.RequestHandler):
    """Read the body, run the filters and write refusals.

    Bodies that are too large or arrive too slowly are refused.
    """

    # Whether the request took effect, as stated in the response that follows
    # an unexpected exception.
    run_state_on_error = RunState.NO

    def initialize(self, front: HandlerContext):
        """Set up the state of one request."""
        self._front = front
        self._body_chunks: list[bytes] = []
        self._body_size = 0
        self._exchange: Exchange | None = None
        self._ended = asyncio.get_running_loop().create_future()
        self.request_id = RequestId(secrets.token_hex(16))
        self._received_at = front.clock()
        self._body_timer: asyncio.TimerHandle | None = None

    def prepare(self):
        """Refuse the request early, or set a time limit on its body.

        Refuse it if the entry is closing, or if the announced length of the
        body exceeds the limit.
        """
        if self._front.leaving.stage is Stage.CLOSING:
            self._refuse_leaving()
            return
        if self._front.leaving.stage is Stage.LEAVING:
            # Close the connection after the response, so that the caller sends
            # its next request to another entry.
            self.set_header('Connection', 'close')
        self._front.leaving.track(
            self._ended, f'{self.request.path} {self.request_id}'
        )
        length = self.request.headers.get('Content-Length', '0')
        if _exceeds(length, self._limits.max_body_bytes):
            self._refuse_large_body()
            return
        self._body_timer = asyncio.get_running_loop().call_later(
            self._limits.body_timeout_s, self._refuse_slow_body
        )

    def data_received(self, chunk: bytes):
        """Collect a chunk of the body; refuse a body that is too large."""
        self._body_size += len(chunk)
        if self._body_size > self._limits.max_body_bytes:
            self._refuse_large_body()
            return
        self._body_chunks.append(chunk)

    async def post(self, service: str):
        """Run the filters on the request, whose body is now complete."""
        self._stop_body_timer()
        if self._finished:
            return
        exchange = Exchange(
            request_id=self.request_id,
            service_name=service,
            headers=self.request.headers,
            body=b''.join(self._body_chunks),
            received_at=self._received_at,
            caller=self,
        )
        self._exchange = exchange
        try:
            await type(self).filters(self._front)(exchange)
        except RefusalError as exc:
            self.refuse(exc)
        except CallerGoneError:
            return

    def run_state(self, exc: RefusalError) -> RunState:
        """Return whether a refused request took effect."""
        return exc.run

    def refuse(self, exc: RefusalError) -> None:
        """Count a refusal and write it, unless the response is finished."""
        self._front.metrics.count('refusals', exc.kind.value)
        if self._finished:
            return
        self.set_status(refusal_status(exc.kind))
        self.set_header('Content-Type', 'application/json')
        if exc.retry_after_s is not None:
            # The Retry-After header allows whole seconds only; the body has
            # the exact delay.
            self.set_header('Retry-After', str(math.ceil(exc.retry_after_s)))
        self.finish(
            msgspec.json.encode(
                Refusal(
                    exc.kind,
                    exc.problem,
                    exc.remedy,
                    self.run_state(exc),
                    self.request_id,
                    exc.retry_after_s,
                )
            )
        )

    def on_finish(self):
        """Mark the request as ended, so that a shutdown need not await it."""
        self._mark_ended()

    def on_connection_close(self):
        """Cancel the request, because its caller has disconnected."""
        self._stop_body_timer()
        if self._exchange is not None:
            self._mark_caller_gone()
        self._mark_ended()

    def write_error(self, status_code: int, **kwargs):
        """Write a refusal of kind internal after an unexpected exception."""
        self._front.metrics.count('internal_errors')
        self.set_header('Content-Type', 'application/json')
        self.finish(
            msgspec.json.encode(
                Refusal(
                    RefusalKind.INTERNAL,
                    'an unexpected error occurred in the entry',
                    'retry; send a booking with the same Idempotency-Key',
                    self.run_state_on_error,
                    self.request_id,
                    1.0,
                )
            )
        )

    def _mark_caller_gone(self) -> None:
        if not self._exchange.gone.done():
            self._exchange.gone.set_result(None)

    @property
    def _limits(self) -> LimitSettings:
        return self._front.limits

    def _mark_ended(self) -> None:
        if not self._ended.done():
            self._ended.set_result(None)

    def _stop_body_timer(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()

    def _refuse_leaving(self) -> None:
        self.set_header('Connection', 'close')
        self.refuse(
            RefusalError(
                RefusalKind.LEAVING,
                'this entry is shutting down',
                'use another entry from /v1/addresses',
                retry_after_s=LEAVING_RETRY_AFTER_S,
            )
        )

    def _refuse_large_body(self) -> None:
        self._stop_body_timer()
        self.set_header('Connection', 'close')
        self.refuse(
            RefusalError(
                RefusalKind.TOO_LARGE,
                'the request body exceeds '
                f'{self._limits.max_body_bytes} bytes',
                'send a smaller body, such as a query for fewer keys',
            )
        )

    def _refuse_slow_body(self) -> None:
        self.set_header('Connection', 'close')
        self.refuse(
            RefusalError(
                RefusalKind.BAD_REQUEST,
                'the request body was incomplete after '
                f'{self._limits.body_timeout_s} s',
                'send the whole body without pauses',
                retry_after_s=1.0,
            )
        )


class QueryHandler(RequestHandler):
    """Handle a query; stream its answer as newline-delimited JSON."""

    def initialize(self, front: HandlerContext):
        """Set up the state of one request."""
        super().initialize(front)
        self._pending: list[bytes] = []
        self._flush_handle: asyncio.Handle | None = None
        self._rows_written = False

    @staticmethod
    def filters(front: HandlerContext) -> FilterChain:
        """Return the filter chain of queries."""
        return front.queries

    def send(self, frame: Frame) -> None:
        """Buffer a frame; flush first rows at once, others after a delay."""
        self._pending.append(_encoder.encode(frame))
        if not self._rows_written and isinstance(frame, Rows):
            self._rows_written = True
            self._cancel_flush()
            self._flush_handle = asyncio.get_running_loop().call_soon(
                self._flush_frames
            )
        elif self._flush_handle is None:
            self._flush_handle = asyncio.get_running_loop().call_later(
                _FLUSH_DELAY_S, self._flush_frames
            )

    async def post(self, service: str):
        """Run the filters, then end the stream."""
        await super().post(service)
        if self._finished or self._exchange.gone.done():
            return
        self._cancel_flush()
        self._write_pending()
        self.finish()

    def _cancel_flush(self) -> None:
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None

    def _flush_frames(self) -> None:
        self._flush_handle = None
        if self._finished:
            return
        self._write_pending()
        try:
            self.flush()
        except tornado.iostream.StreamClosedError:
            self._mark_caller_gone()

    def _write_pending(self) -> None:
        if not self._pending:
            return
        if not self._headers_written:
            self.set_header('Content-Type', 'application/x-ndjson')
        self._pending.append(b'')
        self.write(b'\n'.join(self._pending))
        self._pending.clear()


class BookingHandler(RequestHandler):
    """Handle a booking; answer it with one JSON object."""

    run_state_on_error = RunState.UNKNOWN

    @staticmethod
    def filters(front: HandlerContext) -> FilterChain:
        """Return the filter chain of bookings."""
        return front.bookings

    def run_state(self, exc: RefusalError) -> RunState:
        """Return whether this attempt or an earlier one took effect."""
        claimed = self._exchange is not None and self._exchange.claiming
        if claimed or exc.kind is RefusalKind.BAD_KEY:
            return exc.run
        return unclaimed_run(attempt_number(self.request.headers))

    def answer(self, result: BookingResult) -> None:
        """Write the result as JSON, unless the response is finished."""
        if not self._finished:
            self.set_header('Content-Type', 'application/json')
            self.finish(msgspec.json.encode(result))


class AddressesHandler(tornado.web.RequestHandler):
    """Serve the addresses of the entries that callers may use."""

    def initialize(self, front: HandlerContext):
        self._front = front

    def get(self):
        """Write the addresses; the argument zone says which to prefer."""
        zone = self.get_query_argument('zone', None)
        addresses = self._front.nodes.addresses(
            None if zone is None else ZoneName(zone)
        )
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(addresses))


class MetricsHandler(tornado.web.RequestHandler):
    """Serve the metrics in the Prometheus text format."""

    def initialize(self, metrics: Metrics):
        self._metrics = metrics

    def get(self):
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._metrics.render())


class HealthHandler(tornado.web.RequestHandler):
    """Answer a health check or a readiness check."""

    def initialize(self, ready: typing.Callable[[], bool]):
        """Use ready as the check, which is called for each request."""
        self._ready = ready

    def get(self):
        """Answer 200 if the check succeeds and 503 otherwise."""
        ready = self._ready()
        self.set_status(200 if ready else _STATUS_UNAVAILABLE)
        self.finish('ok\n' if ready else 'not ready\n')


def accepts_new_callers(leaving: Leaving) -> bool:
    """Return False once the graceful shutdown of the entry has begun."""
    return leaving.stage is Stage.SERVING
