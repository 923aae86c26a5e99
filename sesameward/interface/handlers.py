"""Take callers' requests from HTTP and write the answers."""

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
from ..filters.chain import Proceed
from ..filters.exchange import Exchange
from ..filters.parsing import attempt_number
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

_STATUS = {
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
LEAVING_RETRY_S = 0.1
_FLUSH_S = 0.002
_encoder = msgspec.json.Encoder()
_UNAVAILABLE = 503
_OVERLOADED = 429


class Front(msgspec.Struct, frozen=True):
    """Hold what the handlers of one entry share."""

    queries: Proceed
    bookings: Proceed
    leaving: Leaving
    nodes: Nodes
    limits: LimitSettings
    metrics: Metrics
    clock: typing.Callable[[], float]


def refusal_status(kind: RefusalKind) -> int:
    """Return the HTTP status under which a refusal is sent."""
    if kind is RefusalKind.OVERLOADED:
        return _OVERLOADED
    return _STATUS.get(kind, _UNAVAILABLE)


@tornado.web.stream_request_body
class RequestHandler(tornado.web.RequestHandler):
    """Read a bounded body, run the filters and write refusals."""

    unforeseen_run = RunState.NO

    def initialize(self, front: Front):
        """Take over what all handlers share."""
        self._front = front
        self._chunks: list[bytes] = []
        self._size = 0
        self._exchange: Exchange | None = None
        self._ended = asyncio.get_running_loop().create_future()
        self.request_id = RequestId(secrets.token_hex(16))
        self._received_at = front.clock()
        self._body_timer: asyncio.TimerHandle | None = None

    def prepare(self):
        """Refuse what is known to be too large; time the body."""
        if self._front.leaving.stage is Stage.CLOSING:
            self._refuse_leaving()
            return
        if self._front.leaving.stage is Stage.LEAVING:
            # Callers which keep their connection open learn to move on.
            self.set_header('Connection', 'close')
        self._front.leaving.hold(
            self._ended, f'{self.request.path} {self.request_id}'
        )
        length = self.request.headers.get('Content-Length', '0')
        if length.isdigit() and int(length) > self._limits.max_body_bytes:
            self._refuse_size()
            return
        self._body_timer = asyncio.get_running_loop().call_later(
            self._limits.body_timeout_s, self._refuse_slow_sender
        )

    def data_received(self, chunk: bytes):
        """Collect the body."""
        self._size += len(chunk)
        if self._size > self._limits.max_body_bytes:
            self._refuse_size()
            return
        self._chunks.append(chunk)

    async def post(self, service: str):
        """Run the filters."""
        self._stop_body_timer()
        if self._finished:
            return
        exchange = Exchange(
            request_id=self.request_id,
            service_name=service,
            headers=self.request.headers,
            body=b''.join(self._chunks),
            received_at=self._received_at,
            caller=self,
        )
        self._exchange = exchange
        try:
            await type(self).run(self._front)(exchange)
        except RefusalError as exc:
            self.refuse(exc)
        except CallerGoneError:
            return

    def run_state(self, exc: RefusalError) -> RunState:
        """Return whether a refused request ran."""
        return exc.run

    def refuse(self, exc: RefusalError) -> None:
        """Write a refusal at once."""
        self._front.metrics.count('refusals', exc.kind.value)
        if self._finished:
            return
        self.set_status(refusal_status(exc.kind))
        self.set_header('Content-Type', 'application/json')
        if exc.retry_after_s is not None:
            # The header has whole seconds; the body has the exact time.
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
        """Release the process."""
        self._end()

    def on_connection_close(self):
        """Cancel the caller's work."""
        self._stop_body_timer()
        if self._exchange is not None:
            self._set_gone()
        self._end()

    def write_error(self, status_code: int, **kwargs):
        """Write an unforeseen error as a typed refusal."""
        self._front.metrics.count('internal_errors')
        self.set_header('Content-Type', 'application/json')
        self.finish(
            msgspec.json.encode(
                Refusal(
                    RefusalKind.INTERNAL,
                    'the entry met an unforeseen error',
                    'send it again, a booking with the same key',
                    self.unforeseen_run,
                    self.request_id,
                    1.0,
                )
            )
        )

    def _set_gone(self) -> None:
        if not self._exchange.gone.done():
            self._exchange.gone.set_result(None)

    @property
    def _limits(self) -> LimitSettings:
        return self._front.limits

    def _end(self) -> None:
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
                'this entry is about to end',
                'use another address of /v1/addresses',
                retry_after_s=LEAVING_RETRY_S,
            )
        )

    def _refuse_size(self) -> None:
        self._stop_body_timer()
        self.set_header('Connection', 'close')
        self.refuse(
            RefusalError(
                RefusalKind.TOO_LARGE,
                f'the body exceeds {self._limits.max_body_bytes} bytes',
                'ask for fewer keys at a time',
            )
        )

    def _refuse_slow_sender(self) -> None:
        self.set_header('Connection', 'close')
        self.refuse(
            RefusalError(
                RefusalKind.BAD_REQUEST,
                f'no whole body came in {self._limits.body_timeout_s} s',
                'send the body at once',
                retry_after_s=1.0,
            )
        )


class QueryHandler(RequestHandler):
    """Stream a query's answer as lines of JSON."""

    def initialize(self, front: Front):
        """Take over what all handlers share."""
        super().initialize(front)
        self._pending: list[bytes] = []
        self._flush_handle: asyncio.Handle | None = None
        self._rows_written = False

    @staticmethod
    def run(front: Front) -> Proceed:
        """Return the filters to run."""
        return front.queries

    def send(self, frame: Frame) -> None:
        """Write one frame: first rows at once, later ones together."""
        self._pending.append(_encoder.encode(frame))
        if not self._rows_written and isinstance(frame, Rows):
            self._rows_written = True
            self._cancel_flush()
            self._flush_handle = asyncio.get_running_loop().call_soon(
                self._flush_frames
            )
        elif self._flush_handle is None:
            self._flush_handle = asyncio.get_running_loop().call_later(
                _FLUSH_S, self._flush_frames
            )

    async def post(self, service: str):
        """Run the filters and end the stream."""
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
            self._set_gone()

    def _write_pending(self) -> None:
        if not self._pending:
            return
        if not self._headers_written:
            self.set_header('Content-Type', 'application/x-ndjson')
        self._pending.append(b'')
        self.write(b'\n'.join(self._pending))
        self._pending.clear()


class BookingHandler(RequestHandler):
    """Answer a booking."""

    unforeseen_run = RunState.UNKNOWN

    @staticmethod
    def run(front: Front) -> Proceed:
        """Return the filters to run."""
        return front.bookings

    def run_state(self, exc: RefusalError) -> RunState:
        """Return whether the booking ran, at this or an earlier attempt."""
        claimed = self._exchange is not None and self._exchange.claiming
        if claimed or exc.kind is RefusalKind.BAD_KEY:
            return exc.run
        return unclaimed_run(attempt_number(self.request.headers))

    def answer(self, result: BookingResult) -> None:
        """Write the result."""
        if not self._finished:
            self.set_header('Content-Type', 'application/json')
            self.finish(msgspec.json.encode(result))


class AddressesHandler(tornado.web.RequestHandler):
    """Tell callers which entries to use."""

    def initialize(self, front: Front):
        """Take over what all handlers share."""
        self._front = front

    def get(self):
        """Write the addresses."""
        zone = self.get_query_argument('zone', None)
        found = self._front.nodes.addresses(
            None if zone is None else ZoneName(zone)
        )
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(found))


class MetricsHandler(tornado.web.RequestHandler):
    """Show the counters."""

    def initialize(self, metrics: Metrics):
        """Take over the counters."""
        self._metrics = metrics

    def get(self):
        """Write the counters as text."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._metrics.render())


class HealthHandler(tornado.web.RequestHandler):
    """Tell whether the process runs, or is ready for work."""

    def initialize(self, ready: typing.Callable[[], bool]):
        """Take over the check."""
        self._ready = ready

    def get(self):
        """Write the state."""
        ready = self._ready()
        self.set_status(200 if ready else _UNAVAILABLE)
        self.finish('ok\n' if ready else 'not ready\n')


def serving(leaving: Leaving) -> bool:
    """Tell whether the entry wants new callers."""
    return leaving.stage is Stage.SERVING
