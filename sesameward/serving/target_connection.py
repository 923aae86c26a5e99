"""Send one request at a time over a connection and tell what came back.

A request is never sent again from here, and a caller learns for certain
whether any of its bytes may have reached the target.
"""

from __future__ import annotations

import asyncio
import enum
import socket
import typing

import httptools
import msgspec

from .byte_limits import Excess
from .byte_limits import Ledger
from .byte_limits import MessageLimits
from .byte_limits import MessageMeter
from .byte_limits import REPLY_LIMITS

MAX_HEADERS = 200
# Answers to earlier requests that may come before the awaited one.
MAX_FOREIGN_REPLIES = 3
# Unacknowledged bytes break a connection after this time; a target answers
# within milliseconds, and a dark one must not hold requests.
USER_TIMEOUT_S = 2.0
KEEPALIVE_S = 2

Headers = list[tuple[bytes, bytes]]


class Broken(enum.Enum):
    """Say how an exchange failed; NOT_SENT alone means surely not run."""

    NOT_SENT = 'not_sent'
    RESET = 'reset'
    CLOSED = 'closed'
    NOT_HTTP = 'not_http'
    TOO_LARGE = 'too_large'
    NO_MEMORY = 'no_memory'
    ABANDONED = 'abandoned'


class Reply(msgspec.Struct):
    """Hold one whole answer of a target."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


OnEnd = typing.Callable[[Reply | Broken], None]
# Tells whether a reply belongs to the request that is being waited for.
IsOwn = typing.Callable[[Reply], bool]


class TargetConnection(asyncio.Protocol):
    """Carry requests to one target, one at a time."""

    def __init__(
        self,
        on_free: typing.Callable[[TargetConnection], None],
        ledger: Ledger | None = None,
    ):
        self.used_at = 0.0
        # What the last exchange broke, where it ended as TOO_LARGE.
        self.excess: Excess | None = None
        # Bytes of the last exchange that failed.
        self.received = 0
        # Whether the target names the request in its replies.
        self.names_requests = False
        self.idle_limit_s: float | None = None
        self.foreign_replies = 0
        self._on_free = on_free
        self._meter = MessageMeter(ledger or Ledger(), self._cut)
        self._foreign_now = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._on_end: OnEnd | None = None
        self._is_own: IsOwn | None = None
        self._no_body = False
        self._usable = True
        self._status = 0
        self._reason = b''
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._has_head = False
        self._done: Reply | None = None
        self._is_framed = False
        self._keep = True

    # What others ask of it.

    @property
    def usable(self) -> bool:
        """Tell whether another request may be sent."""
        return self._usable and self._on_end is None

    def send(
        self,
        data: bytes,
        on_end: OnEnd,
        is_own: IsOwn,
        no_body: bool = False,
        limits: MessageLimits = REPLY_LIMITS,
    ) -> None:
        """Send a request; on_end is called once, maybe at once."""
        transport = self._transport
        if transport is None or transport.is_closing() or not self._usable:
            on_end(Broken.NOT_SENT)
            return
        self._on_end = on_end
        self._is_own = is_own
        self._no_body = no_body
        self._foreign_now = 0
        self._has_head = False
        self._meter.begin(limits)
        transport.write(data)

    def release(self) -> None:
        """Hand the connection back unused."""
        self._on_free(self)

    def abandon(self) -> None:
        """Close at once; the target drops what it still runs."""
        self._fail(Broken.ABANDONED)

    def close(self) -> None:
        """Close an idle connection."""
        self._usable = False
        if self._on_end is not None:
            self._fail(Broken.ABANDONED)
        elif self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound how long a silent connection goes unnoticed."""
        self._transport = typing.cast(asyncio.Transport, transport)
        bound_silence(transport.get_extra_info('socket'), USER_TIMEOUT_S)

    def data_received(self, data: bytes) -> None:
        """Parse what the target sent."""
        if self._on_end is None:
            # Nobody asked: a late copy, or bytes after a whole answer.
            self.foreign_replies += 1
            self._fail(Broken.NOT_HTTP)
            return
        meter = self._meter
        meter.take(len(data))
        if self._on_end is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._usable = False
            if self._done is None:
                self._fail(Broken.NOT_HTTP)
        # Bytes after a whole answer may be a second one, so the exchange
        # ends only here, when all of them have been seen.
        if self._done is not None:
            self._end(self._done)
        elif meter.received > meter.limits.head_bytes or self._foreign_now:
            self._check_bounds()

    def _check_bounds(self) -> None:
        if self._on_end is None:
            return
        if self._foreign_now > MAX_FOREIGN_REPLIES:
            self._fail(Broken.NOT_HTTP)
            return
        excess = self._meter.excess(self._has_head)
        if excess is not None:
            self.excess = excess
            self._fail(Broken.TOO_LARGE)

    def _cut(self) -> None:
        """End the exchange since all messages hold too many bytes."""
        self._body.clear()
        self._headers.clear()
        self._fail(Broken.NO_MEMORY)

    def eof_received(self) -> bool:
        """End an answer that only the connection's end delimits."""
        waiting = self._on_end is not None
        if waiting and self._has_head and not self._is_framed:
            self._keep = False
            self._finish()
            if self._done is not None:
                self._end(self._done)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End what is still waited for."""
        self._transport = None
        self._fail(Broken.CLOSED if exc is None else Broken.RESET)

    # httptools' callbacks.

    def on_message_begin(self) -> None:
        """Start another answer."""
        if self._done is not None:
            # A second answer came along with the awaited one.
            self._usable = False
        self._headers = []
        self._body = []
        self._reason = b''
        self._has_head = False
        self._is_framed = False

    def on_status(self, status: bytes) -> None:
        """Keep the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header and what it says of the connection."""
        self._headers.append((name, value))
        lower = name.lower()
        if lower in (b'content-length', b'transfer-encoding'):
            self._is_framed = True
        elif lower == b'keep-alive':
            self.idle_limit_s = _keep_alive_s(value)

    def on_headers_complete(self) -> None:
        """Note how the answer is delimited."""
        self._has_head = True
        self._status = self._parser.get_status_code()
        if self._status in (204, 304) or self._status < 200:
            self._is_framed = True
        if len(self._headers) > MAX_HEADERS:
            self._usable = False
        self._keep = self._parser.should_keep_alive()
        if self._no_body and self._done is None:
            # The parser would wait for a body that a HEAD never gets.
            self._keep = False
            self._finish()

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self._body.append(body)
        self._meter.body += len(body)

    def on_message_complete(self) -> None:
        """End the exchange if the answer is the awaited one."""
        if self._status >= 200:
            self._finish()

    def _finish(self) -> None:
        if self._on_end is None or self._done is not None:
            return
        reply = Reply(
            self._status, self._reason, self._headers, b''.join(self._body)
        )
        if not self._is_own(reply):
            # It answers an earlier request; ours is still to come.
            self.foreign_replies += 1
            self._foreign_now += 1
            self._usable = False
            self._meter.end()
            return
        self._done = reply
        transport = self._transport
        if not self._keep or transport is None:
            self._usable = False
        elif transport.get_write_buffer_size() > 0:
            # The target answered before it had read the whole request.
            self._usable = False

    def _end(self, reply: Reply) -> None:
        on_end, self._on_end = self._on_end, None
        self._is_own = None
        self._done = None
        self._meter.end()
        if on_end is None:
            return
        if not self._usable and self._transport is not None:
            self._transport.abort()
        on_end(reply)
        self._on_free(self)

    def _fail(self, how: Broken) -> None:
        self._usable = False
        on_end, self._on_end = self._on_end, None
        self.received = self._meter.received
        self._meter.end()
        if self._transport is not None:
            self._transport.abort()
        if on_end is not None:
            on_end(how)
        self._on_free(self)


def _keep_alive_s(value: bytes) -> float | None:
    for part in value.split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.strip().isdigit():
            return float(seconds)
    return None


def bound_silence(sock: socket.socket | None, silence_s: float) -> None:
    """Let the kernel break a connection whose other end is silent."""
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, int(silence_s * 1_000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, 2)
