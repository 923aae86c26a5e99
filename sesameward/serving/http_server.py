"""HTTP/1.1 server for callers: parses requests and writes answers.

The server disconnects callers that exceed a size limit, send a request too
slowly or do not read their answers, because their requests and unread answers
would occupy the node's memory.
"""

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
from .byte_limits import ExceededLimit
from .byte_limits import FIRST_LINE_BYTES
from .byte_limits import MessageLimits
from .byte_limits import MessageMemory
from .byte_limits import MessageMeter
from .routes import CallerLimits
from .target_connection import Headers
from .target_connection import set_dead_peer_timeout

# Number of pipelined requests queued on one connection at which the server
# stops reading from the connection until a request is answered.
MAX_PIPELINED = 8
# TCP_USER_TIMEOUT: the kernel breaks a caller's connection whose bytes stay
# unacknowledged for this time.
TCP_USER_TIMEOUT_S = 10.0
# Interval between checks for connections that exceed a time limit.
TIMEOUT_CHECK_PERIOD_S = 0.5
# A caller that reads less than MIN_READ_BYTES of an answer within
# SLOW_READER_PERIOD_S (1 KB a second on average) is disconnected, because the
# answer stays in the node's memory until it is read.
SLOW_READER_PERIOD_S = 10.0
MIN_READ_BYTES = 10 * 1024

_REASONS = {
    100: b'Continue',
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
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
    """One complete request.

    target is the request target of the HTTP request line as it was sent; path
    is the part of it before the query. arrived_at is the time at which the
    last byte arrived. is_first_on_connection is True for the first request on
    a connection.
    """

    method: bytes
    target: bytes
    path: str
    query: bytes
    host: str
    headers: Headers
    body: bytes
    arrived_at: float
    is_first_on_connection: bool


class Answer(msgspec.Struct):
    """One complete answer.

    If the field reason is empty, the usual reason phrase of the status is
    sent.
    """

    status: int
    headers: Headers = msgspec.field(default_factory=list)
    body: bytes = b''
    reason: bytes = b''


class Responder:
    """Sender of the answer to one request; it sends at most one answer.

    on_gone is called if the caller disconnects before the answer is sent.
    """

    __slots__ = ('_conn', 'on_gone')

    def __init__(self, conn: CallerConnection):
        self._conn: CallerConnection | None = conn
        self.on_gone: typing.Callable[[], None] | None = None

    def send(self, answer: Answer) -> None:
        """Write the answer, unless one was sent or the caller disconnected."""
        conn, self._conn = self._conn, None
        self.on_gone = None
        if conn is not None:
            conn.write_answer(self, answer)

    def raw_transport(self) -> asyncio.Transport | None:
        """Return the transport, so that raw bytes can replace the answer.

        Returns None if the caller disconnected or an answer was sent.
        """
        return self._conn.transport if self._conn is not None else None

    def caller_gone(self) -> None:
        """Call on_gone after the caller disconnected; ignore later answers."""
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
    """Server side of one connection, which answers its requests in order."""

    def __init__(self, server: HttpServer):
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queued: collections.deque[tuple[Request, bool]] = (
            collections.deque()
        )
        self._current: Responder | None = None
        self._keep_alive = True
        self._fault: _Fault | None = None
        self._request_count = 0
        self._closing = False
        self.last_written_at = server.now()
        self._request_started_at: float | None = None
        self._has_head = False
        self._meter = MessageMeter(
            server.message_memory, self._abort_without_memory
        )
        # Counts the bytes of complete requests that are not answered yet.
        self._queued_meter = MessageMeter(
            server.message_memory, self._abort_without_memory
        )
        # Counts the bytes of an answer that the caller has not read yet.
        self._unread_meter = MessageMeter(
            server.message_memory, self._abort_without_memory
        )
        self._unread_bytes = 0
        self._unread_since: float | None = None
        self._reset_request()

    @property
    def transport(self) -> asyncio.Transport | None:
        """Return the transport, or None after the connection was lost."""
        return self._transport

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set timeouts and flow control; add the connection to the server."""
        self._transport = typing.cast(asyncio.Transport, transport)
        set_dead_peer_timeout(
            transport.get_extra_info('socket'), TCP_USER_TIMEOUT_S
        )
        # With a high-water mark of 0, asyncio calls pause_writing() while any
        # byte of an answer is unsent. The next request waits until all are
        # sent, so that at most one answer is buffered for a slow caller.
        self._transport.set_write_buffer_limits(high=0)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse requests; answer invalid ones with an error and close."""
        if self._fault is not None or self._closing:
            return
        if self._request_started_at is None:
            self._request_started_at = self._server.now()
        self._meter.count(len(data))
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The caller asked for another protocol, which is not supported.
            # Bytes after this request can't be parsed, so the connection is
            # closed once the request is answered.
            self._keep_alive = False
        except httptools.HttpParserError:
            self._set_fault(_Fault.BAD_REQUEST)
        self._check_limits()
        if len(self._queued) >= MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()
        self._serve_next()

    def eof_received(self) -> bool:
        """Close the connection when the caller has closed its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Free the memory; tell the request's handler of the disconnect."""
        self._transport = None
        self._server.connections.discard(self)
        self._meter.reset()
        self._queued_meter.reset()
        self._unread_meter.reset()
        self._queued.clear()
        if self._current is not None:
            current, self._current = self._current, None
            current.caller_gone()

    def pause_writing(self) -> None:
        """Start no further request until the answer is fully written."""
        self._unread_bytes = self._transport.get_write_buffer_size()
        self._unread_since = self._server.now()
        self._unread_meter.count(self._unread_bytes)

    def resume_writing(self) -> None:
        """Handle the next request, now that the answer is fully written."""
        self._unread_since = None
        self._unread_meter.reset()
        self._serve_next()

    def _check_limits(self) -> None:
        limits = self._server.limits
        max_head_bytes = limits.max_header_bytes + FIRST_LINE_BYTES
        if self._meter.received <= max_head_bytes:
            # The bytes received, body included, are within the limit for the
            # head and the chunk framing, so neither can exceed it. on_body()
            # checks the limit for the body.
            return
        self._meter.limits = MessageLimits(
            max_head_bytes, limits.max_body_bytes
        )
        match self._meter.exceeded_limit(self._has_head):
            case None:
                return
            case ExceededLimit.HEAD:
                self._set_fault(_Fault.HEADER_TOO_LARGE)
            case ExceededLimit.BODY:
                self._set_fault(_Fault.BODY_TOO_LARGE)
            case _:
                self._set_fault(_Fault.BAD_REQUEST)

    def _abort_without_memory(self) -> None:
        """Abort the connection: messages exceed the node's memory limit."""
        self._server.metrics.count('messages_cut', 'caller')
        logs.log_event('caller_cut', unread_bytes=self._unread_bytes)
        self._body.clear()
        self._queued.clear()
        self.abort()

    # Callbacks of the httptools parser.

    def _reset_request(self) -> None:
        self._request_target = b''
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._host: bytes | None = None
        self._is_invalid = False
        self._has_head = False

    def on_message_begin(self) -> None:
        """Clear the headers and body collected for the previous request."""
        self._reset_request()

    def on_url(self, url: bytes) -> None:
        """Collect a piece of the request target."""
        self._request_target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; handle Host and Expect."""
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)
        lower_name = name.lower()
        if lower_name == b'host':
            self._is_invalid |= self._host is not None
            self._host = value
        elif lower_name == b'expect':
            self._handle_expect(value)

    def on_headers_complete(self) -> None:
        """Check the request target and the Host header."""
        self._has_head = True
        if not self._request_target.startswith(b'/') or not self._host:
            self._is_invalid = True
        if self._is_invalid:
            self._set_fault(_Fault.BAD_REQUEST)

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body; reject a body above its size limit."""
        self._meter.body += len(body)
        if self._meter.body > self._server.limits.max_body_bytes:
            self._set_fault(_Fault.BODY_TOO_LARGE)
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the complete request until the earlier ones are answered."""
        self._request_started_at = None
        self._queued_meter.count(self._header_bytes + self._meter.body)
        self._meter.reset()
        self._has_head = False
        if self._fault is not None:
            return
        path, _, query = self._request_target.partition(b'?')
        req = Request(
            self._parser.get_method(),
            self._request_target,
            path.decode('latin-1'),
            query,
            typing.cast(bytes, self._host).decode('latin-1'),
            self._headers,
            b''.join(self._body),
            self._server.now(),
            self._request_count == 0,
        )
        self._request_count += 1
        self._queued.append((req, self._parser.should_keep_alive()))

    def _handle_expect(self, value: bytes) -> None:
        transport = self._transport
        if value.lower() == b'100-continue' and transport is not None:
            if self._current is None and not self._queued:
                transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _count_header(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > self._server.limits.max_header_bytes:
            self._set_fault(_Fault.HEADER_TOO_LARGE)

    def _set_fault(self, fault: _Fault) -> None:
        if self._fault is None:
            self._fault = fault

    # Methods that answer the queued requests in the order of their arrival.

    def _serve_next(self) -> None:
        if self._current is not None or self._transport is None:
            return
        if self._unread_since is not None:
            return
        if self._queued and not self._closing:
            req, keep_alive = self._queued.popleft()
            self._keep_alive = keep_alive and self._keep_alive
            self._current = Responder(self)
            self._server.dispatch(req, self._current)
        elif self._fault is not None and not self._closing:
            self._server.metrics.count('bad_requests', self._fault.name)
            self._keep_alive = False
            self._write(Answer(self._fault.value))

    def write_answer(self, responder: Responder, answer: Answer) -> None:
        """Write the answer to the current request; handle the next one."""
        if responder is not self._current:
            return
        self._current = None
        self._write(answer)
        if self._transport is not None and not self._closing:
            if not self._queued:
                self._queued_meter.reset()
            self._transport.resume_reading()
            self._serve_next()

    def _write(self, answer: Answer) -> None:
        transport = self._transport
        if transport is None:
            return
        keep_alive = self._keep_alive and not self._server.leaving
        if self._queued:
            # Even if the server is stopping, the complete requests in the
            # queue are answered before the connection closes.
            keep_alive = self._keep_alive
        transport.write(encode(answer, keep_alive))
        self.last_written_at = self._server.now()
        if not keep_alive:
            self._closing = True
            transport.close()

    def close_if_timed_out(self, now: float) -> None:
        """Close the connection if its caller exceeds a time limit.

        The limits are for reading an answer, for sending a request and for the
        idle time between requests.
        """
        if self._transport is None:
            return
        if self._unread_since is not None:
            self._check_read_rate(self._transport, now)
            return
        if self._current is not None:
            return
        limits = self._server.limits
        if self._request_started_at is not None:
            if now - self._request_started_at > limits.header_timeout_s:
                self._set_fault(_Fault.TIMEOUT)
                self._serve_next()
        elif now - self.last_written_at > limits.idle_timeout_s:
            self._closing = True
            self._transport.close()

    def _check_read_rate(
        self, transport: asyncio.Transport, now: float
    ) -> None:
        if now - typing.cast(float, self._unread_since) < SLOW_READER_PERIOD_S:
            return
        unread_bytes = transport.get_write_buffer_size()
        if self._unread_bytes - unread_bytes < MIN_READ_BYTES:
            self._server.metrics.count('callers_disconnected', 'slow_reader')
            logs.log_event('caller_reads_slowly', unread_bytes=unread_bytes)
            transport.abort()
            return
        self._unread_bytes, self._unread_since = unread_bytes, now

    def close_if_idle(self) -> bool:
        """Close the connection if idle; return whether no answer is pending.

        Returns False while a complete request waits for its answer or an
        answer is not fully written. Otherwise returns True: a stopping server
        need not wait for this connection. If part of a request has arrived,
        the connection stays open, but True is returned, because a stopping
        server does not wait for the rest of the request.
        """
        if self._current is not None or self._queued:
            return False
        if self._unread_since is not None:
            return False
        if self._transport is not None and self._request_started_at is None:
            self._closing = True
            self._transport.close()
        return True

    def abort(self) -> None:
        """Abort the connection without sending the bytes still buffered."""
        if self._transport is not None:
            self._transport.abort()

    def break_off(self, data: bytes = b'') -> None:
        """Write raw bytes, such as a truncated answer, and close."""
        if self._transport is not None:
            self._closing = True
            self._transport.write(data)
            self._transport.close()


def encode(answer: Answer, keep_alive: bool) -> bytes:
    """Serialize an answer; add Content-Length and Connection headers."""
    reason = answer.reason or _REASONS.get(answer.status, b'Answer')
    lines = [b'HTTP/1.1 %d %s\r\n' % (answer.status, reason)]
    for name, value in answer.headers:
        lines.append(b'%s: %s\r\n' % (name, value))
    if answer.status not in (204, 304):
        lines.append(b'Content-Length: %d\r\n' % len(answer.body))
    if not keep_alive:
        lines.append(b'Connection: close\r\n')
    lines.append(b'\r\n')
    lines.append(answer.body)
    return b''.join(lines)


class HttpServer:
    """HTTP server on one address, which passes requests to a handler.

    While leaving is True, each connection is closed after an answer if no
    further complete request is queued on it.
    """

    def __init__(
        self,
        handler: Handle,
        metrics: Metrics,
        now: typing.Callable[[], float],
        message_memory: MessageMemory | None = None,
    ):
        self.metrics = metrics
        self.now = now
        self.limits = CallerLimits()
        self.message_memory = message_memory or MessageMemory()
        self.leaving = False
        self.connections: set[CallerConnection] = set()
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._timeout_task: asyncio.Task | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address and accept connections.

        Raises StartError if the address can't be bound.
        """
        await self.accept(listening.listen(Endpoint(host, port)))

    async def accept(self, sock: socket.socket) -> None:
        """Accept connections on a socket that is already listening."""
        self._server = await self._listen(sock)
        loop = asyncio.get_running_loop()
        self._timeout_task = loop.create_task(self._close_timed_out())
        logs.log_failure(self._timeout_task)

    async def _listen(self, sock: socket.socket) -> asyncio.Server:
        return await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self),
            sock=sock,
            backlog=listening.BACKLOG,
        )

    @property
    def port(self) -> int:
        """Return the bound port; the kernel chose it if 0 was requested."""
        return self._server.sockets[0].getsockname()[1]

    def dispatch(self, req: Request, responder: Responder) -> None:
        """Pass a request to the handler; answer 500 if the handler fails."""
        try:
            self._handler(req, responder)
        except Exception as exc:
            self.metrics.count('handler_faults', type(exc).__name__)
            logs.log_event(
                'handler_fault',
                error=repr(exc),
                where=logs.origin_of(exc),
                path=req.path,
            )
            responder.send(Answer(500))

    def stop_listening(self) -> None:
        """Stop accepting connections; keep the open ones."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> int:
        """Close idle connections; return the number of busy ones.

        A connection is busy if a complete request on it is not answered yet or
        an answer is not fully written.
        """
        busy = 0
        for conn in tuple(self.connections):
            busy += not conn.close_if_idle()
        return busy

    def stop(self) -> None:
        """Stop listening and close idle connections.

        Connections with a request in progress stay open. They are no longer
        closed when they exceed a time limit.
        """
        self.stop_listening()
        if self._timeout_task is not None:
            self._timeout_task.cancel()
        for conn in tuple(self.connections):
            conn.close_if_idle()

    async def _close_timed_out(self) -> None:
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_PERIOD_S)
            now = self.now()
            for conn in tuple(self.connections):
                conn.close_if_timed_out(now)
