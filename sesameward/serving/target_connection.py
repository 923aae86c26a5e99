"""HTTP/1.1 client for one connection to a target, one request at a time.

This module never repeats a request. It reports how a request failed, so that
the sender knows whether the target has possibly received it.
"""

from __future__ import annotations

import asyncio
import enum
import socket
import typing

import httptools
import msgspec

from .byte_limits import ExceededLimit
from .byte_limits import MessageLimits
from .byte_limits import MessageMemory
from .byte_limits import MessageMeter
from .byte_limits import REPLY_LIMITS

MAX_HEADERS = 200
# Largest number of late replies to earlier requests that are skipped while the
# current request waits for its own reply. If more arrive, the request fails.
MAX_FOREIGN_REPLIES = 3
# TCP_USER_TIMEOUT: the kernel breaks a connection whose bytes stay
# unacknowledged for this time. With a longer time, requests would wait longer
# for an unreachable target; a reachable one answers within milliseconds.
TCP_USER_TIMEOUT_S = 2.0
# Idle time of a connection before the kernel sends TCP keep-alive probes.
KEEPALIVE_IDLE_S = 2

# Statuses of HTTP that end a request, and those of interim replies. 101 would
# change the protocol of the connection, which this client never asks for.
FINAL_STATUSES = range(200, 600)
INTERIM_STATUSES = frozenset(range(100, 200)) - {101}

Headers = list[tuple[bytes, bytes]]


class ExchangeFailure(enum.Enum):
    """Ways in which a request to a target can fail.

    NOT_SENT: the connection was unusable before the request was sent; only
    this value guarantees that the target has not run the request. RESET: the
    connection was lost with a network error. CLOSED: the target closed the
    connection. NOT_HTTP: the bytes received are no valid reply to the request.
    TOO_LARGE: the reply exceeded its size limit. NO_MEMORY: the reply was
    dropped because all messages of the node together exceeded their memory
    limit. ABANDONED: this node closed the connection.
    """

    NOT_SENT = 'not_sent'
    RESET = 'reset'
    CLOSED = 'closed'
    NOT_HTTP = 'not_http'
    TOO_LARGE = 'too_large'
    NO_MEMORY = 'no_memory'
    ABANDONED = 'abandoned'


class Reply(msgspec.Struct):
    """One complete reply of a target."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


OnExchangeEnd = typing.Callable[[Reply | ExchangeFailure], None]
# Callback that returns True if a reply belongs to the current request, and
# False if it belongs to an earlier request on the same connection.
IsOwnReply = typing.Callable[[Reply], bool]


class TargetConnection(asyncio.Protocol):
    """Client side of one HTTP/1.1 connection to a target.

    An exchange is one request and its reply. It ends with one call of on_end,
    with the reply or with the way in which the exchange failed. on_free is
    called when the connection can take another request and when it becomes
    unusable.
    """

    def __init__(
        self,
        on_free: typing.Callable[[TargetConnection], None],
        message_memory: MessageMemory | None = None,
    ):
        self.last_used_at = 0.0
        # Size limit that the reply exceeded, if an exchange failed as
        # TOO_LARGE.
        self.exceeded_limit: ExceededLimit | None = None
        # Bytes received during the last exchange that failed.
        self.received_bytes = 0
        # Set to True by the sender once a reply has carried the id of its
        # request. From then on, the sender does not accept a reply without an
        # id, because it may be a copy of an earlier reply.
        self.echoes_request_ids = False
        # Idle timeout from the target's Keep-Alive header, if it sent one.
        self.keep_alive_timeout_s: float | None = None
        # Number of replies that did not belong to the request in progress.
        self.foreign_replies = 0
        # The network error that broke the connection, if any.
        self.network_error: Exception | None = None
        self._on_free = on_free
        self._meter = MessageMeter(
            message_memory or MessageMemory(), self._fail_without_memory
        )
        self._foreign_in_exchange = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._on_end: OnExchangeEnd | None = None
        self._is_own: IsOwnReply | None = None
        self._no_body = False
        self._usable = True
        self._status = 0
        self._has_unknown_status = False
        self._reason = b''
        self._headers: Headers = []
        # A list of small pieces would take up to 60 times their size.
        self._body = bytearray()
        self._has_head = False
        self._complete_reply: Reply | None = None
        self._is_delimited = False
        self._keep_alive = True

    # Methods for the connection pool and for senders of requests.

    @property
    def usable(self) -> bool:
        """Return whether another request can be sent on the connection."""
        return self._usable and self._on_end is None

    def send(
        self,
        data: bytes,
        on_end: OnExchangeEnd,
        is_own: IsOwnReply,
        no_body: bool = False,
        limits: MessageLimits = REPLY_LIMITS,
    ) -> None:
        """Send a request; call on_end once with the reply or the failure.

        on_end is called before send() returns if the connection is already
        closed. no_body marks a HEAD request, whose reply has no body.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or not self._usable:
            on_end(ExchangeFailure.NOT_SENT)
            return
        self._on_end = on_end
        self._is_own = is_own
        self._no_body = no_body
        self._foreign_in_exchange = 0
        self._has_head = False
        self._meter.start(limits)
        transport.write(data)

    def release(self) -> None:
        """Return the connection to its pool without sending a request."""
        self._on_free(self)

    def abandon(self) -> None:
        """Abort the connection, so that the target cancels the request.

        A request in progress fails as ABANDONED.
        """
        self._fail(ExchangeFailure.ABANDONED)

    def close(self) -> None:
        """Abort the connection; a request in progress fails as ABANDONED."""
        self._usable = False
        if self._on_end is not None:
            self._fail(ExchangeFailure.ABANDONED)
        elif self._transport is not None:
            self._transport.abort()

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the timeouts after which the kernel breaks a dead connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        set_dead_peer_timeout(
            transport.get_extra_info('socket'), TCP_USER_TIMEOUT_S
        )

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the target; end the exchange on a complete reply.

        An invalid or oversized reply makes the exchange fail.
        """
        if self._on_end is None:
            # No request is in progress, so the target sent a reply twice or
            # bytes after its end. The connection can't be used any more.
            self.foreign_replies += 1
            self._fail(ExchangeFailure.NOT_HTTP)
            return
        meter = self._meter
        meter.count(len(data))
        if self._on_end is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._usable = False
            if self._complete_reply is None:
                self._fail(ExchangeFailure.NOT_HTTP)
        if self._has_unknown_status and self._complete_reply is None:
            self._fail(ExchangeFailure.NOT_HTTP)
            return
        # The reply is delivered only after all received bytes are parsed.
        # A second reply among them makes the connection unusable.
        if self._complete_reply is not None:
            self._deliver(self._complete_reply)
        elif (
            meter.received > meter.limits.max_head_bytes
            or self._foreign_in_exchange
        ):
            self._check_limits()

    def _check_limits(self) -> None:
        if self._on_end is None:
            return
        if self._foreign_in_exchange > MAX_FOREIGN_REPLIES:
            self._fail(ExchangeFailure.NOT_HTTP)
            return
        exceeded = self._meter.exceeded_limit(self._has_head)
        if exceeded is not None:
            self.exceeded_limit = exceeded
            self._fail(ExchangeFailure.TOO_LARGE)

    def _fail_without_memory(self) -> None:
        """Fail the exchange: messages exceed the node's memory limit."""
        self._fail(ExchangeFailure.NO_MEMORY)

    def eof_received(self) -> bool:
        """Finish a reply that ends when the target closes the connection."""
        is_waiting = self._on_end is not None
        if is_waiting and self._has_head and not self._is_delimited:
            self._keep_alive = False
            self._finish_reply()
            if self._complete_reply is not None:
                self._deliver(self._complete_reply)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress, if any."""
        self._transport = None
        self.network_error = exc
        self._fail(
            ExchangeFailure.CLOSED if exc is None else ExchangeFailure.RESET
        )
        # The connection refers to its parser, and this to it, which would keep
        # both until the garbage collector finds them.
        del self._parser
        self._meter.close()

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        """Clear the headers and body collected for the previous reply."""
        if self._complete_reply is not None:
            # The target sent a second reply to the request, so the connection
            # is not used for another one.
            self._usable = False
        self._headers = []
        self._body = bytearray()
        self._reason = b''
        self._has_head = False
        self._is_delimited = False

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; note body framing and the keep-alive timeout."""
        self._headers.append((name, value))
        lower_name = name.lower()
        if lower_name in (b'content-length', b'transfer-encoding'):
            self._is_delimited = True
        elif lower_name == b'keep-alive':
            self.keep_alive_timeout_s = _keep_alive_s(value)

    def on_headers_complete(self) -> None:
        """Determine how the body ends; finish a reply to a HEAD request."""
        self._has_head = True
        self._status = self._parser.get_status_code()
        if not is_known_status(self._status):
            self._has_unknown_status = True
            return
        if self._status in (204, 304) or self._status < 200:
            self._is_delimited = True
        if len(self._headers) > MAX_HEADERS:
            self._usable = False
        self._keep_alive = self._parser.should_keep_alive()
        if self._no_body and self._complete_reply is None:
            # The parser would wait for a body, but a reply to a HEAD request
            # has none.
            self._keep_alive = False
            self._finish_reply()

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self._body += body
        self._meter.body += len(body)

    def on_message_complete(self) -> None:
        """Finish a reply, unless it is an interim one (1xx)."""
        if self._status in FINAL_STATUSES:
            self._finish_reply()

    def _finish_reply(self) -> None:
        if self._on_end is None or self._complete_reply is not None:
            return
        reply = Reply(
            self._status, self._reason, self._headers, bytes(self._body)
        )
        # An idle connection must not keep its last reply.
        self._headers = []
        self._body = bytearray()
        if not self._is_own(reply):
            # Skip a late reply to an earlier request; the reply to the current
            # request can still follow.
            self.foreign_replies += 1
            self._foreign_in_exchange += 1
            self._usable = False
            self._meter.reset()
            return
        self._complete_reply = reply
        transport = self._transport
        if not self._keep_alive or transport is None:
            self._usable = False
        elif transport.get_write_buffer_size() > 0:
            # The target replied before it had read the whole request. The
            # unsent rest of that request would precede the next one.
            self._usable = False

    def _deliver(self, reply: Reply) -> None:
        on_end, self._on_end = self._on_end, None
        self._is_own = None
        self._complete_reply = None
        self._meter.reset()
        if on_end is None:
            return
        if not self._usable and self._transport is not None:
            self._transport.abort()
        on_end(reply)
        self._on_free(self)

    def _fail(self, failure: ExchangeFailure) -> None:
        self._usable = False
        on_end, self._on_end = self._on_end, None
        self.received_bytes = self._meter.received
        self._meter.reset()
        # The connection and its parser refer to each other, which would keep
        # the body until the garbage collector finds them.
        self._headers = []
        self._body = bytearray()
        if self._transport is not None:
            self._transport.abort()
        if on_end is not None:
            on_end(failure)
        self._on_free(self)


def is_known_status(status: int) -> bool:
    """Return True if a status is one of a final or an interim reply.

    A server in trouble can send others, such as 000, which are no answer.
    """
    return status in FINAL_STATUSES or status in INTERIM_STATUSES


def _keep_alive_s(value: bytes) -> float | None:
    for part in value.split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.strip().isdigit():
            return float(seconds)
    return None


def set_dead_peer_timeout(
    sock: socket.socket | None, timeout_s: float
) -> None:
    """Make the kernel break a TCP connection whose peer is unreachable.

    TCP_USER_TIMEOUT limits how long sent bytes can stay unacknowledged;
    keep-alive probes detect a lost peer of an idle connection. They give up
    with the first probe after timeout_s, because TCP_USER_TIMEOUT overrides
    their count. Sockets that are not TCP are not changed.
    """
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, int(timeout_s * 1_000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, 2)
