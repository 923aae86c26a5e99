"""HTTP/1.1 server for callers: parses requests and writes answers.

The server disconnects callers that exceed a size limit, send a request too
slowly or do not read their answers, because their requests and unread answers
would occupy the node's memory.
"""

from __future__ import annotations

import asyncio
import collections
import enum
import functools
import random
import socket
import typing

import httptools
import msgspec

from .. import logs
from ..background import call_all
from ..background import Supervisor
from . import listening
from ..metrics import Metrics
from ..settings import Endpoint
from ..types import RequestId
from .byte_limits import exceeded_limit
from .byte_limits import ExceededLimit
from .byte_limits import FIRST_LINE_BYTES
from .byte_limits import MessageLimits
from .byte_limits import MessageMemory
from .caller_memory import CONNECTION_BYTES
from .caller_memory import HEADER_BYTES
from .caller_memory import REQUEST_BYTES
from .caller_memory import SMALL_REQUEST_BYTES
from .routes import CallerLimits
from .routes import RouteName
from .target_connection import Headers
from .target_connection import set_dead_peer_timeout

# Number of pipelined requests queued on one connection, and of bytes that they
# take, at which the server stops parsing and reading from the connection until
# a request is answered.
MAX_PIPELINED = 8
MAX_PIPELINED_BYTES = 64 * 1_024
# Bytes parsed at once unless a body of known length follows. The smallest
# requests have 25 bytes, so a piece contains at most 20 of them.
PIECE_BYTES = 512
# Bytes read at once from a connection. The rest stays in the kernel, where the
# caller is slowed down, until they are parsed.
READ_BYTES = 32 * 1_024
# SO_RCVBUF and SO_SNDBUF of callers' connections, of which the kernel reserves
# twice as much. Without them it lets a connection that is not read grow to
# 6 MB, and 4 MB of an answer that the caller does not read.
RECEIVE_BUFFER_BYTES = 64 * 1_024
SEND_BUFFER_BYTES = 128 * 1_024
# Bodies from this size are written without a copy of head and body together.
MIN_SEPARATE_BODY_BYTES = 64 * 1_024
# Lower bound of Retry-After, in seconds, if memory is short; the upper bound
# is twice as much, so that not all callers repeat their requests at once.
MEMORY_RETRY_AFTER_S = 1.0
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


class CallerConnection(asyncio.BufferedProtocol):
    """Server side of one connection, which answers its requests in order."""

    def __init__(self, server: HttpServer):
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        # Complete requests, whether each keeps the connection open, and the
        # memory that each takes.
        self._queued: collections.deque[tuple[Request, bool, int]] = (
            collections.deque()
        )
        self._queued_bytes = 0
        self._current: Responder | None = None
        self._current_bytes = 0
        # Bytes that were read, but wait until earlier requests are answered.
        self._unparsed = b''
        self._is_paused = False
        self._is_advancing = False
        self._keep_alive = True
        self._fault: _Fault | None = None
        self._request_count = 0
        self._closing = False
        self.last_written_at = server.now()
        self._request_started_at: float | None = None
        self._memory = server.message_memory.callers
        # What this connection holds according to the account of callers.
        self.held_bytes = 0
        # Bytes of the request that is being received, also those of its body.
        self._received = 0
        self._unread_bytes = 0
        self._unread_since: float | None = None
        # True while a new parser is fed a head that was already parsed.
        self._is_replaying = False
        self._offers_protocol = False
        self._reset_request()

    @property
    def transport(self) -> asyncio.Transport | None:
        """Return the transport, or None after the connection was lost."""
        return self._transport

    # Callbacks of asyncio.BufferedProtocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set timeouts and flow control; add the connection to the server."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        set_dead_peer_timeout(sock, TCP_USER_TIMEOUT_S)
        if sock is not None:
            level = socket.SOL_SOCKET
            sock.setsockopt(level, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setsockopt(level, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        # With a high-water mark of 0, asyncio calls pause_writing() while any
        # byte of an answer is unsent. The next request waits until all are
        # sent, so that at most one answer is buffered for a slow caller.
        self._transport.set_write_buffer_limits(high=0)
        self._server.connections.add(self)
        self._memory.add(self, self._server.now())

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share.

        buffer_updated() is called before anything else is read.
        """
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Copy the bytes that were read out of the shared buffer."""
        self.data_received(bytes(self._server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse requests; answer invalid ones with an error and close."""
        if self._fault is not None or self._closing:
            return
        self._unparsed += data
        self._advance()

    def eof_received(self) -> bool:
        """Close the connection when the caller has closed its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Free the memory; tell the request's handler of the disconnect."""
        self._transport = None
        self._server.connections.discard(self)
        self._memory.remove(self)
        self._drop_received()
        if self._current is not None:
            current, self._current = self._current, None
            current.caller_gone()

    def pause_writing(self) -> None:
        """Start no further request until the answer is fully written."""
        self._unread_bytes = self._transport.get_write_buffer_size()
        self._unread_since = self._server.now()
        self._count_held()

    def resume_writing(self) -> None:
        """Handle the next request, now that the answer is fully written."""
        self._unread_since = None
        self._unread_bytes = 0
        self._advance()

    # Methods that parse and serve requests in turn.

    def _advance(self) -> None:
        """Parse and serve requests until the connection has to wait."""
        if self._is_advancing:
            # Called by a handler that answers at once; the loop goes on.
            return
        self._is_advancing = True
        try:
            while self._parse_piece() or self._serve_next():
                pass
        finally:
            self._is_advancing = False
        self._count_held()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if bool(self._unparsed) is not self._is_paused:
            self._is_paused = not self._is_paused
            if self._is_paused:
                transport.pause_reading()
            else:
                transport.resume_reading()

    def _parse_piece(self) -> bool:
        """Parse the next bytes; return False if parsing has to wait.

        Small pieces are parsed, because a few bytes can contain a request,
        and all requests of a piece are queued.
        """
        if not self._unparsed:
            return False
        if self._transport is None or self._transport.is_closing():
            self._unparsed = b''
            return False
        if self._queued and (
            len(self._queued) >= MAX_PIPELINED
            or self._queued_bytes >= MAX_PIPELINED_BYTES
        ):
            return False
        if self._request_started_at is None:
            self._request_started_at = self._server.now()
        size = max(PIECE_BYTES, self._length_left)
        piece, self._unparsed = self._unparsed[:size], self._unparsed[size:]
        self._received += len(piece)
        try:
            self._feed(piece)
        except httptools.HttpParserError:
            self._set_fault(_Fault.BAD_REQUEST)
        self._check_limits()
        if self._fault is not None:
            self._unparsed = b''
        return True

    def _feed(self, piece: bytes) -> None:
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as exc:
            if self._fault is not None:
                return
            if not self._offers_protocol:
                # Bytes after this request can't be parsed.
                self._keep_alive = False
                self._unparsed = b''
                return
            self._parse_head_without_offer()
            rest = piece[exc.args[0] :]
            if rest:
                self._feed(rest)

    def _parse_head_without_offer(self) -> None:
        """Replace the parser by one that expects the current request's body.

        For a request that offers another protocol, the parser takes the bytes
        after the head for that protocol. The offer is ignored, as RFC 9110,
        7.8, allows: another parser gets the same head without the offer.
        """
        method, version = (
            self._parser.get_method(),
            self._parser.get_http_version().encode(),
        )
        lines = [b'%s / HTTP/%s\r\n' % (method, version)]
        for name, value in self._headers:
            if name.lower() != b'upgrade':
                lines.append(b'%s: %s\r\n' % (name, value))
        lines.append(b'\r\n')
        self._offers_protocol = False
        self._is_replaying = True
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(b''.join(lines))

    def _check_limits(self) -> None:
        limits = self._server.limits
        max_head_bytes = limits.max_header_bytes + FIRST_LINE_BYTES
        if self._received <= max_head_bytes:
            # The bytes received, body included, are within the limit for the
            # head and the chunk framing, so neither can exceed it. on_body()
            # checks the limit for the body.
            return
        message_limits = MessageLimits(max_head_bytes, limits.max_body_bytes)
        match exceeded_limit(
            message_limits, self._received, self._body_bytes, self._has_head
        ):
            case None:
                return
            case ExceededLimit.HEAD:
                self._set_fault(_Fault.HEADER_TOO_LARGE)
            case ExceededLimit.BODY:
                self._set_fault(_Fault.BODY_TOO_LARGE)
            case _:
                self._set_fault(_Fault.BAD_REQUEST)

    # Methods for the account of callers' memory.

    def _count_held(self) -> None:
        """Tell the account how much memory this connection takes."""
        held = (
            CONNECTION_BYTES
            + len(self._unparsed)
            + self._header_bytes
            + HEADER_BYTES * len(self._headers)
            + len(self._body)
            + self._queued_bytes
            + self._current_bytes
        )
        if self._is_paused:
            # More bytes possibly wait in the kernel.
            held += RECEIVE_BUFFER_BYTES
        if self._unread_since is not None:
            held += self._unread_bytes + SEND_BUFFER_BYTES
        self._memory.set_held(self, held, self._server.now())

    def waits_since(self) -> float | None:
        """Return since when the node waits for the caller, or None."""
        if self._unread_since is not None:
            return self._unread_since
        if self._current is not None or self._queued:
            return None
        return self._request_started_at or self.last_written_at

    def close_for_memory(self) -> None:
        """Abort the connection: callers exceed their part of the memory."""
        self._server.metrics.count('messages_cut', 'caller')
        self._drop_received()
        self.abort()

    def close_for_descriptors(self) -> None:
        """Abort the connection: callers have too many connections."""
        self._server.metrics.count('callers_disconnected', 'too_many')
        self._drop_received()
        self.abort()

    def _drop_received(self) -> None:
        self._unparsed = b''
        self._queued.clear()
        self._queued_bytes = 0
        self._current_bytes = 0
        self._unread_bytes = 0
        self._reset_request()

    # Callbacks of the httptools parser.

    def _reset_request(self) -> None:
        self._request_target = b''
        self._headers: Headers = []
        # A list of the pieces would take up to 60 times their size.
        self._body = bytearray()
        self._body_bytes = 0
        # Bytes of the body still to come, if the request states its length.
        self._length_left = 0
        self._header_bytes = 0
        self._host: bytes | None = None
        self._is_invalid = False
        self._has_head = False

    def on_message_begin(self) -> None:
        """Clear the headers and body collected for the previous request."""
        if self._is_replaying:
            return
        if self._request_started_at is None:
            self._request_started_at = self._server.now()
        self._reset_request()

    def on_url(self, url: bytes) -> None:
        """Collect a piece of the request target."""
        if self._is_replaying:
            return
        self._request_target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; handle Host, Expect and Content-Length."""
        if self._is_replaying:
            return
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)
        lower_name = name.lower()
        if lower_name == b'host':
            self._is_invalid |= self._host is not None
            self._host = value
        elif lower_name == b'expect':
            self._handle_expect(value)
        elif lower_name == b'content-length' and not self._has_head:
            # Nine digits are more than any limit for bodies.
            length = value[:9]
            self._length_left = int(length) if length.isdigit() else 0

    def on_headers_complete(self) -> None:
        """Check the request target and the Host header."""
        if self._is_replaying:
            self._is_replaying = False
            return
        self._has_head = True
        if self._parser.should_upgrade():
            self._offers_protocol = self._parser.get_method() != b'CONNECT'
        if not self._request_target.startswith(b'/') or not self._host:
            self._is_invalid = True
        if self._is_invalid:
            self._set_fault(_Fault.BAD_REQUEST)

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body; reject a body above its size limit."""
        self._body_bytes += len(body)
        self._length_left = max(0, self._length_left - len(body))
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._set_fault(_Fault.BODY_TOO_LARGE)
        else:
            self._body += body

    def on_message_complete(self) -> None:
        """Queue the complete request until the earlier ones are answered."""
        if self._offers_protocol and self._fault is None:
            # This is the end of the head only; see _feed().
            return
        self._request_started_at = None
        self._received = 0
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
            bytes(self._body),
            self._server.now(),
            self._request_count == 0,
        )
        self._request_count += 1
        size_bytes = (
            REQUEST_BYTES
            + HEADER_BYTES * len(self._headers)
            + self._header_bytes
            + len(self._body)
        )
        self._queued.append(
            (req, self._parser.should_keep_alive(), size_bytes)
        )
        self._queued_bytes += size_bytes
        self._reset_request()

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

    def _serve_next(self) -> bool:
        """Serve the next request; return False if it has to wait."""
        if self._current is not None or self._transport is None:
            return False
        if self._unread_since is not None or self._closing:
            return False
        if self._queued:
            req, keep_alive, size_bytes = self._queued.popleft()
            self._queued_bytes -= size_bytes
            self._current_bytes = size_bytes
            self._keep_alive = keep_alive and self._keep_alive
            self._current = Responder(self)
            if size_bytes > SMALL_REQUEST_BYTES and self._memory.is_short:
                self._refuse_without_memory(self._current)
            else:
                self._server.dispatch(req, self._current)
            return True
        if self._fault is not None:
            self._server.metrics.count('bad_requests', self._fault.name)
            self._keep_alive = False
            self._write(Answer(self._fault.value))
        return False

    def _refuse_without_memory(self, responder: Responder) -> None:
        """Refuse a complete request that has not run and never will."""
        self._server.metrics.count('refused', 'no_memory')
        self._memory.log_event('caller_refused', self._server.now())
        wait_s = MEMORY_RETRY_AFTER_S * (1.0 + random.random())
        responder.send(Answer(503, [(b'Retry-After', b'%.2f' % wait_s)]))

    def write_answer(self, responder: Responder, answer: Answer) -> None:
        """Write the answer to the current request; handle the next one."""
        if responder is not self._current:
            return
        self._current = None
        self._current_bytes = 0
        self._write(answer)
        self._advance()

    def _write(self, answer: Answer) -> None:
        transport = self._transport
        if transport is None:
            return
        keep_alive = self._keep_alive and not self._server.leaving
        if self._queued:
            # Even if the server is stopping, the complete requests in the
            # queue are answered before the connection closes.
            keep_alive = self._keep_alive
        if len(answer.body) < MIN_SEPARATE_BODY_BYTES:
            transport.write(encode(answer, keep_alive))
        else:
            transport.write(encode_head(answer, keep_alive))
            transport.write(answer.body)
            if self._unread_since is not None:
                # pause_writing() has possibly counted the head only.
                self._unread_bytes = transport.get_write_buffer_size()
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
                self._unparsed = b''
                self._advance()
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
        self._count_held()

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
    return encode_head(answer, keep_alive) + answer.body


def encode_head(answer: Answer, keep_alive: bool) -> bytes:
    """Serialize the head of an answer with the headers that encode() adds."""
    reason = answer.reason or _REASONS.get(answer.status, b'Answer')
    lines = [b'HTTP/1.1 %d %s\r\n' % (answer.status, reason)]
    for name, value in answer.headers:
        lines.append(b'%s: %s\r\n' % (name, value))
    if answer.status not in (204, 304):
        lines.append(b'Content-Length: %d\r\n' % len(answer.body))
    if not keep_alive:
        lines.append(b'Connection: close\r\n')
    lines.append(b'\r\n')
    return b''.join(lines)


def answer_fault(
    metrics: Metrics, exc: Exception, req: Request, responder: Responder
) -> None:
    """Log and count an exception of a handler, and answer 500."""
    metrics.count('handler_faults', type(exc).__name__)
    logs.log_event(
        'handler_fault',
        error=repr(exc),
        where=logs.origin_of(exc),
        path=req.path,
    )
    responder.send(Answer(500))


def record_caller_gone(
    metrics: Metrics, request_id: RequestId, route: RouteName, running: int = 0
) -> None:
    """Log and count a caller that disconnected before its answer.

    running is the number of sub-requests that run for it.
    """
    metrics.count('callers_gone')
    logs.log_event(
        'caller_gone', request=request_id, route=route, running=running
    )


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
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._supervisor = Supervisor(metrics)

    async def start(self, host: str, port: int) -> None:
        """Listen on an address and accept connections.

        Raises StartError if the address can't be bound.
        """
        await self.accept(listening.listen(Endpoint(host, port)))

    async def accept(self, sock: socket.socket) -> None:
        """Accept connections on a socket that is already listening."""
        self._server = await self._listen(sock)
        self._supervisor.start_loop('caller timeouts', self._close_timed_out)

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
            answer_fault(self.metrics, exc, req, responder)

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
        self._supervisor.stop()
        for conn in tuple(self.connections):
            conn.close_if_idle()

    async def _close_timed_out(self) -> None:
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_PERIOD_S)
            now = self.now()
            call_all(
                functools.partial(conn.close_if_timed_out, now)
                for conn in tuple(self.connections)
            )
