"""Take HTTP/1.1 requests from connections and write their answers."""

from __future__ import annotations

import asyncio
import collections
import enum
import socket
import typing

import httptools
import msgspec

from .. import logs
from . import listening
from ..metrics import Metrics
from ..settings import Endpoint
from .byte_limits import Excess
from .byte_limits import FIRST_LINE_BYTES
from .byte_limits import Ledger
from .byte_limits import MessageLimits
from .byte_limits import MessageMeter
from .routes import CallerLimits
from .target_connection import bound_silence
from .target_connection import Headers

# Requests of one connection that are read ahead while one is answered.
MAX_PIPELINED = 8
# Unacknowledged bytes break a caller's connection after this time.
USER_TIMEOUT_S = 10.0
# How often connections over their limits of time are looked for.
SWEEP_S = 0.5
# A caller takes at least this much of an answer that waits for it, or is
# disconnected: 1 KB a second, over ten seconds.
DRAIN_S = 10.0
MIN_DRAIN_BYTES = 10 * 1024

_REASONS = {
    100: b'Continue',
    200: b'OK',
    400: b'Bad Request',
    404: b'Not Found',
    405: b'Method Not Allowed',
    408: b'Request Timeout',
    413: b'Content Too Large',
    421: b'Misdirected Request',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class Request(msgspec.Struct):
    """Hold one whole request; path is without its query."""

    method: bytes
    target: bytes
    path: str
    query: bytes
    host: str
    headers: Headers
    body: bytes
    arrived_at: float
    is_first: bool


class Answer(msgspec.Struct):
    """Hold one whole answer."""

    status: int
    headers: Headers = msgspec.field(default_factory=list)
    body: bytes = b''
    reason: bytes = b''


class Responder:
    """Answer one request once; learn when its caller has gone."""

    __slots__ = ('_conn', 'on_gone')

    def __init__(self, conn: CallerConnection):
        self._conn: CallerConnection | None = conn
        self.on_gone: typing.Callable[[], None] | None = None

    def send(self, answer: Answer) -> None:
        """Write the answer; later ones and those to nobody are dropped."""
        conn, self._conn = self._conn, None
        self.on_gone = None
        if conn is not None:
            conn.answered(self, answer)

    def take_over(self) -> asyncio.Transport | None:
        """Return the connection for bytes that are no whole answer."""
        return self._conn.transport if self._conn is not None else None

    def gone(self) -> None:
        """Take in that nobody waits for the answer."""
        self._conn = None
        on_gone, self.on_gone = self.on_gone, None
        if on_gone is not None:
            on_gone()


Handle = typing.Callable[[Request, Responder], None]


class _Fault(enum.Enum):
    BAD_REQUEST = 400
    TIMEOUT = 408
    BODY_TOO_LARGE = 413
    HEADER_TOO_LARGE = 431


class CallerConnection(asyncio.Protocol):
    """Parse the requests of one connection, answer them in order."""

    def __init__(self, server: HttpServer):
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._ready: collections.deque[tuple[Request, bool]] = (
            collections.deque()
        )
        self._current: Responder | None = None
        self._keep = True
        self._fault: _Fault | None = None
        self._served = 0
        self._closing = False
        self.last_at = server.now()
        self._begun_at: float | None = None
        self._has_head = False
        self._meter = MessageMeter(server.ledger, self._cut)
        # Whole requests without an answer, and an answer not taken yet.
        self._stored = MessageMeter(server.ledger, self._cut)
        self._unsent = MessageMeter(server.ledger, self._cut)
        self._unread = 0
        self._unread_at: float | None = None
        self._reset()

    @property
    def transport(self) -> asyncio.Transport | None:
        """Return the transport while the connection is there."""
        return self._transport

    # Transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server."""
        self._transport = typing.cast(asyncio.Transport, transport)
        bound_silence(transport.get_extra_info('socket'), USER_TIMEOUT_S)
        # Any byte that the caller has not taken keeps back its next answer.
        self._transport.set_write_buffer_limits(high=0)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse requests; answer bad bytes by an error and a close."""
        if self._fault is not None or self._closing:
            return
        if self._begun_at is None:
            self._begun_at = self._server.now()
        self._meter.take(len(data))
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The bytes after it belong to no protocol spoken here.
            self._keep = False
        except httptools.HttpParserError:
            self._set_fault(_Fault.BAD_REQUEST)
        self._check_bounds()
        if len(self._ready) >= MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()
        self._serve_next()

    def eof_received(self) -> bool:
        """Treat a caller that sends no more as gone."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the request in progress that its caller has gone."""
        self._transport = None
        self._server.connections.discard(self)
        self._meter.end()
        self._stored.end()
        self._unsent.end()
        self._ready.clear()
        if self._current is not None:
            current, self._current = self._current, None
            current.gone()

    def pause_writing(self) -> None:
        """Keep back further answers; the caller has not taken the last."""
        self._unread = self._transport.get_write_buffer_size()
        self._unread_at = self._server.now()
        self._unsent.take(self._unread)

    def resume_writing(self) -> None:
        """Go on once all answers have been taken."""
        self._unread_at = None
        self._unsent.end()
        self._serve_next()

    def _check_bounds(self) -> None:
        limits = self._server.limits
        head_bytes = limits.max_header_bytes + FIRST_LINE_BYTES
        if self._meter.received <= head_bytes:
            # on_body() looks at the body's bound by itself.
            return
        self._meter.limits = MessageLimits(head_bytes, limits.max_body_bytes)
        match self._meter.excess(self._has_head):
            case None:
                return
            case Excess.HEAD:
                self._set_fault(_Fault.HEADER_TOO_LARGE)
            case Excess.BODY:
                self._set_fault(_Fault.BODY_TOO_LARGE)
            case _:
                self._set_fault(_Fault.BAD_REQUEST)

    def _cut(self) -> None:
        """Break the connection since all messages hold too many bytes."""
        self._server.metrics.count('messages_cut', 'caller')
        logs.change('caller_cut', unread=self._unread)
        self._body.clear()
        self._ready.clear()
        self.abort()

    # httptools' callbacks.

    def _reset(self) -> None:
        self._target = b''
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._host: bytes | None = None
        self._is_odd = False
        self._has_head = False

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Collect the request's target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)
        lower = name.lower()
        if lower == b'host':
            self._is_odd |= self._host is not None
            self._host = value
        elif lower == b'expect':
            self._expect(value)

    def on_headers_complete(self) -> None:
        """Check what the parser leaves to the application."""
        self._has_head = True
        if not self._target.startswith(b'/') or not self._host:
            self._is_odd = True
        if self._is_odd:
            self._set_fault(_Fault.BAD_REQUEST)

    def on_body(self, body: bytes) -> None:
        """Collect the body up to its limit."""
        self._meter.body += len(body)
        if self._meter.body > self._server.limits.max_body_bytes:
            self._set_fault(_Fault.BODY_TOO_LARGE)
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        self._begun_at = None
        self._stored.take(self._header_bytes + self._meter.body)
        self._meter.end()
        self._has_head = False
        if self._fault is not None:
            return
        path, _, query = self._target.partition(b'?')
        req = Request(
            self._parser.get_method(),
            self._target,
            path.decode('latin-1'),
            query,
            typing.cast(bytes, self._host).decode('latin-1'),
            self._headers,
            b''.join(self._body),
            self._server.now(),
            self._served == 0,
        )
        self._served += 1
        self._ready.append((req, self._parser.should_keep_alive()))

    def _expect(self, value: bytes) -> None:
        transport = self._transport
        if value.lower() == b'100-continue' and transport is not None:
            if self._current is None and not self._ready:
                transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.max_header_bytes:
            self._set_fault(_Fault.HEADER_TOO_LARGE)

    def _set_fault(self, fault: _Fault) -> None:
        if self._fault is None:
            self._fault = fault

    # Answers.

    def _serve_next(self) -> None:
        if self._current is not None or self._transport is None:
            return
        if self._unread_at is not None:
            return
        if self._ready and not self._closing:
            req, keep = self._ready.popleft()
            self._keep = keep and self._keep
            self._current = Responder(self)
            self._server.dispatch(req, self._current)
        elif self._fault is not None and not self._closing:
            self._server.metrics.count('bad_requests', self._fault.name)
            self._keep = False
            self._write(Answer(self._fault.value))

    def answered(self, responder: Responder, answer: Answer) -> None:
        """Write the answer of the request in progress."""
        if responder is not self._current:
            return
        self._current = None
        self._write(answer)
        if self._transport is not None and not self._closing:
            if not self._ready:
                self._stored.end()
            self._transport.resume_reading()
            self._serve_next()

    def _write(self, answer: Answer) -> None:
        transport = self._transport
        if transport is None:
            return
        keep = self._keep and not self._server.leaving
        if self._ready:
            # More requests were read whole, so they get their answers.
            keep = self._keep
        transport.write(encode(answer, keep))
        self.last_at = self._server.now()
        if not keep:
            self._closing = True
            transport.close()

    def sweep(self, now: float) -> None:
        """Close what is idle, or sends or takes its bytes too slowly."""
        if self._transport is None:
            return
        if self._unread_at is not None:
            self._check_reader(self._transport, now)
            return
        if self._current is not None:
            return
        limits = self._server.limits
        if self._begun_at is not None:
            if now - self._begun_at > limits.header_timeout_s:
                self._set_fault(_Fault.TIMEOUT)
                self._serve_next()
        elif now - self.last_at > limits.idle_timeout_s:
            self._closing = True
            self._transport.close()

    def _check_reader(self, transport: asyncio.Transport, now: float) -> None:
        if now - typing.cast(float, self._unread_at) < DRAIN_S:
            return
        unread = transport.get_write_buffer_size()
        if self._unread - unread < MIN_DRAIN_BYTES:
            self._server.metrics.count('callers_disconnected', 'slow_reader')
            logs.change('caller_reads_slowly', unread=unread)
            transport.abort()
            return
        self._unread, self._unread_at = unread, now

    def close_if_idle(self) -> bool:
        """Close between requests; tell whether nothing is in progress."""
        if self._current is not None or self._ready:
            return False
        if self._unread_at is not None:
            return False
        if self._transport is not None and self._begun_at is None:
            self._closing = True
            self._transport.close()
        return True

    def abort(self) -> None:
        """Break the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def break_off(self, data: bytes = b'') -> None:
        """Write the first bytes of an answer, then close."""
        if self._transport is not None:
            self._closing = True
            self._transport.write(data)
            self._transport.close()


def encode(answer: Answer, keep: bool) -> bytes:
    """Return an answer's bytes with its length and connection headers."""
    reason = answer.reason or _REASONS.get(answer.status, b'Answer')
    lines = [b'HTTP/1.1 %d %s\r\n' % (answer.status, reason)]
    for name, value in answer.headers:
        lines.append(b'%s: %s\r\n' % (name, value))
    if answer.status not in (204, 304):
        lines.append(b'Content-Length: %d\r\n' % len(answer.body))
    if not keep:
        lines.append(b'Connection: close\r\n')
    lines.append(b'\r\n')
    lines.append(answer.body)
    return b''.join(lines)


class HttpServer:
    """Listen at one address and hand requests to a handler."""

    def __init__(
        self,
        handle: Handle,
        metrics: Metrics,
        now: typing.Callable[[], float],
        ledger: Ledger | None = None,
    ):
        self.metrics = metrics
        self.now = now
        self.limits = CallerLimits()
        self.ledger = ledger or Ledger()
        self.leaving = False
        self.connections: set[CallerConnection] = set()
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task | None = None

    async def start(self, host: str, port: int) -> None:
        """Bind and listen; raise OSError."""
        await self.accept(listening.listen(Endpoint(host, port)))

    async def accept(self, sock: socket.socket) -> None:
        """Serve the connections of a socket that listens."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            sock=sock,
            backlog=listening.BACKLOG,
        )
        self._sweeper = loop.create_task(self._keep_sweeping())
        logs.watch(self._sweeper)

    @property
    def port(self) -> int:
        """Return the port that it listens at."""
        return self._server.sockets[0].getsockname()[1]

    def dispatch(self, req: Request, responder: Responder) -> None:
        """Hand over a request; a fault of the handler is an answer too."""
        try:
            self._handle(req, responder)
        except Exception as exc:
            self.metrics.count('handler_faults', type(exc).__name__)
            logs.change('handler_fault', error=repr(exc), path=req.path)
            responder.send(Answer(500))

    def stop_listening(self) -> None:
        """Refuse new connections; open ones go on."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> int:
        """Close idle connections; return how many are busy."""
        busy = 0
        for conn in tuple(self.connections):
            busy += not conn.close_if_idle()
        return busy

    def stop(self) -> None:
        """Close everything at once."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for conn in tuple(self.connections):
            conn.close_if_idle()

    async def _keep_sweeping(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            now = self.now()
            for conn in tuple(self.connections):
                conn.sweep(now)
