"""gRPC connections that limit what other nodes make this node hold.

Load pattern: another node sends batches faster than targets reply, does not
read their results, or sends messages without end. Each connection counts what
it holds: its calls, bytes received and not read by a handler, messages that
wait to be sent, and what handlers add. Above a share of the nodes' memory, its
calls are not read any more, so that flow control slows the other side down.
When all connections together exceed the memory, those are closed first that
hold most for the longest time.
"""

from __future__ import annotations

import asyncio
import contextvars
import socket
import typing

from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib import protocol
from grpclib.server import Handler
from grpclib.server import Server
from h2.errors import ErrorCodes
import h2.events

from ..channels import Channel
from ..metrics import Metrics
from ..types import Clock
from .byte_limits import MAX_REPLY_BYTES
from .byte_limits import MessageMemory
from .byte_limits import MessageMeter
from .caller_memory import NodeMemory

# Memory that an open call takes in the process (measured: 21.4 KB for one that
# carries batches, 14.2 KB for others).
CALL_BYTES = 22 * 1_024
# Bytes that a connection and each call of it may send before a handler reads
# them. Larger messages are read in parts. The largest ordinary messages are
# batches with a body of 256 KiB.
WINDOW_BYTES = 1_024 * 1_024
# The least window of HTTP/2.
MIN_WINDOW_BYTES = 65_535
# SO_RCVBUF and SO_SNDBUF of the connections, for the same reason as on those
# of callers. They are larger, because a connection carries many calls.
BUFFER_BYTES = 256 * 1_024
# Replies to pings and settings are written regardless of flow control. With
# more unsent bytes than this, a connection is not read.
MAX_UNSENT_BYTES = 256 * 1_024
# Bytes parsed at once, so that a connection can be closed or paused after a
# thousand of the smallest frames.
PIECE_BYTES = 16 * 1_024
# Pings and settings that a connection may send before its next message. The
# library's client sends settings once and no pings.
MAX_CONTROL_FRAMES = 1_000
# Limit for one message of results, which may hold a whole reply of a target.
MAX_RESULTS_BYTES = MAX_REPLY_BYTES + 1_024 * 1_024
# Closed calls that the library remembers for each connection, to tell late
# frames of them from faults. Its own limit is 65,536, which take 10 MB.
MAX_CLOSED_CALLS = 1_000


class Source:
    """Account of what a connection of another node makes this node hold.

    on_memory and on_descriptors are called when the connection must be closed
    because all together take too much memory, and because there are too many.
    """

    def __init__(
        self,
        memory: NodeMemory,
        metrics: Metrics,
        clock: Clock,
        on_memory: typing.Callable[[], None] = lambda: None,
        on_descriptors: typing.Callable[[], None] = lambda: None,
    ):
        # Set by the memory alone.
        self.held_bytes = 0
        self.memory = memory
        self.max_message_bytes = memory.share_bytes
        self._metrics = metrics
        self._clock = clock
        self._on_memory = on_memory
        self._on_descriptors = on_descriptors
        self._active_at = clock()
        # Bytes of batches that run, which are part of held_bytes until the
        # connection is closed.
        self._batch_bytes = 0
        self._is_closed = False
        self._has_room = asyncio.Event()
        self._open()

    def _open(self) -> None:
        self.memory.add(self, self._active_at)

    def hold_call(self, is_open: bool) -> None:
        """Count a call that opens, or stop counting it."""
        self.hold(CALL_BYTES if is_open else -CALL_BYTES)

    def hold(self, size_bytes: int) -> None:
        """Count bytes; connections are closed if all together hold too much.

        A negative number stops counting bytes.
        """
        if self._is_closed:
            return
        self.memory.set_held(self, self.held_bytes + size_bytes, self._clock())
        if size_bytes < 0 and self.held_bytes <= self.memory.share_bytes:
            self._has_room.set()

    def hold_batch(self, size_bytes: int) -> None:
        """Count bytes of a batch, which may outlive the connection."""
        if self._is_closed:
            self.memory.detached_bytes += size_bytes
            return
        self._batch_bytes += size_bytes
        self.hold(size_bytes)

    def touch(self) -> None:
        """Record that the other side sent something or took a message."""
        self._active_at = self._clock()

    def pause(self) -> None:
        """Count and log that the connection is not read for a while."""
        self._metrics.count('peer_pauses')
        self.memory.log_event('node_paused', self._clock(), 'times')

    async def wait_for_room(self) -> None:
        """Return once the connection holds no more than its share."""
        if self.held_bytes > self.memory.share_bytes:
            self.pause()
        while self.held_bytes > self.memory.share_bytes:
            self._has_room.clear()
            await self._has_room.wait()

    def refuse_message(self) -> None:
        """Count and log a message that exceeds the connection's share."""
        self._metrics.count('messages_cut', 'peer_message')
        self.memory.log_event('node_message_refused', self._clock(), 'times')

    def refuses_call(self) -> bool:
        """Return True if a new call is to be refused; count and log it."""
        if not self.memory.refuses_all:
            return False
        self._metrics.count('peer_calls_refused', 'no_memory')
        self.memory.log_event('node_call_refused', self._clock(), 'times')
        return True

    def refuses_batch(self, size_bytes: int) -> bool:
        """Return True if a batch is to be refused; count and log it."""
        if not self.memory.refuses_batch(size_bytes, self):
            return False
        self._metrics.count('batches_refused', 'no_memory')
        self.memory.log_event('node_batch_refused', self._clock(), 'times')
        return True

    def close(self) -> None:
        """Stop counting the connection; go on counting batches that run."""
        if self._is_closed:
            return
        self._is_closed = True
        self.memory.remove(self)
        self.memory.detached_bytes += self._batch_bytes
        self._has_room.set()

    def waits_since(self) -> float | None:
        """Return since when the other side sent and took nothing.

        Return None if it waits only for batches that run.
        """
        if self._batch_bytes and 2 * self._batch_bytes > self.held_bytes:
            return None
        return self._active_at

    def close_for_memory(self) -> None:
        """Close the connection: nodes exceed their part of the memory."""
        self._metrics.count('messages_cut', 'peer')
        self._on_memory()

    def close_for_control_frames(self) -> None:
        """Close the connection: it sends pings or settings without end."""
        self._metrics.count('peers_disconnected', 'control_frames')
        self.memory.log_event('node_control_frames', self._clock())
        self._on_memory()

    def close_for_descriptors(self) -> None:
        """Close the connection: nodes have too many connections."""
        self._metrics.count('peers_disconnected', 'too_many')
        self._on_descriptors()


class HelperSource(Source):
    """Account of what is received on a connection to another node.

    Results of a helper node count as replies of targets do, and are dropped
    with their connection if all messages of this node exceed their memory.
    """

    def __init__(
        self,
        memory: MessageMemory,
        metrics: Metrics,
        clock: Clock,
        on_memory: typing.Callable[[], None],
    ):
        self._message_memory = memory
        self._meter = MessageMeter(memory, self.close_for_memory)
        super().__init__(memory.nodes, metrics, clock, on_memory)
        self.max_message_bytes = MAX_RESULTS_BYTES

    def _open(self) -> None:
        pass

    def hold_call(self, is_open: bool) -> None:
        """Count nothing: this node decides how many calls it makes."""

    def hold(self, size_bytes: int) -> None:
        """Count bytes; messages are dropped if all are too large."""
        if self._is_closed:
            return
        self.held_bytes += size_bytes
        if self.held_bytes > 0:
            self._meter.received = self.held_bytes
            self._message_memory.record_growth(self._meter)
        else:
            self._meter.reset()

    def close(self) -> None:
        """Stop counting."""
        self._is_closed = True
        self._meter.close()

    def close_for_memory(self) -> None:
        """Close the connection: messages exceed their memory."""
        self._metrics.count('messages_cut', 'peer')
        self.memory.log_event('node_cut', self._clock())
        self.close()
        self._on_memory()


# The account of the connection whose call a task serves.
_current_source: contextvars.ContextVar[Source] = contextvars.ContextVar(
    'source'
)


def current_source() -> Source | None:
    """Return the account of the connection whose call this task serves."""
    return _current_source.get(None)


class _Buffer(protocol.Buffer):
    """Buffer of a call's bytes, which count until a handler has read them."""

    def __init__(
        self, ack_callback: typing.Callable[[int], None], source: Source
    ):
        super().__init__(ack_callback)
        self._source = source
        self._held_bytes = 0

    def add(self, data: bytes, ack_size: int) -> None:
        """Add received bytes."""
        self._held_bytes += len(data)
        self._source.hold(len(data))
        super().add(data, ack_size)

    async def read(self, size: int) -> bytes:
        """Return bytes of a message; refuse one that exceeds the share.

        The length of a message is known from its first bytes.
        """
        if size > self._source.max_message_bytes:
            self._source.refuse_message()
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f'a message of {size} bytes exceeds the limit of '
                f'{self._source.max_message_bytes}; it was not read',
            )
        data = await super().read(size)
        self._release(len(data))
        self._source.touch()
        return data

    def release_all(self) -> None:
        """Stop counting bytes that no handler will read."""
        self._release(self._held_bytes)

    def _release(self, size_bytes: int) -> None:
        self._held_bytes -= size_bytes
        self._source.hold(-size_bytes)


class _Call(protocol.Stream):
    """Call of another node, which counts while it is open."""

    source: Source

    def init_stream(
        self, stream_id: int, connection: protocol.Connection
    ) -> None:
        """Create the buffer for received bytes."""
        super().init_stream(stream_id, connection)
        self.buffer = _Buffer(self.buffer._ack_callback, self.source)

    async def send_data(self, data: bytes, end_stream: bool = False) -> None:
        """Send a message, which counts until flow control has admitted it."""
        self.source.hold(len(data))
        try:
            await super().send_data(data, end_stream)
        finally:
            self.source.hold(-len(data))
        self.source.touch()


class _Calls(protocol.EventsProcessor):
    """Dispatch the events of one connection; count its open calls."""

    def __init__(
        self,
        handler: protocol.AbstractHandler,
        connection: protocol.Connection,
        source: Source,
    ):
        super().__init__(handler, connection)
        # The client's side still needs the error when it releases a call.
        self._is_server = isinstance(handler, Handler)
        self._source = source
        self._control_frames = 0

    def process_request_received(
        self, event: h2.events.RequestReceived
    ) -> None:
        """Begin a call, or refuse it while memory is being freed."""
        if self._source.refuses_call():
            # By this code, HTTP/2 promises that nothing was run.
            self.connection._connection.reset_stream(
                event.stream_id, ErrorCodes.REFUSED_STREAM
            )
            return
        super().process_request_received(event)

    def process_data_received(self, event: h2.events.DataReceived) -> None:
        """Pass on bytes of a message."""
        self._control_frames = 0
        super().process_data_received(event)

    def process_ping_received(self, event: h2.events.PingReceived) -> None:
        """Close the connection if it sends nothing but such frames."""
        self._count_control_frame()

    def process_remote_settings_changed(
        self, event: h2.events.RemoteSettingsChanged
    ) -> None:
        """Apply the settings, or close the connection as for pings."""
        super().process_remote_settings_changed(event)
        self._count_control_frame()

    def _count_control_frame(self) -> None:
        self._control_frames += 1
        if self._control_frames == MAX_CONTROL_FRAMES:
            self._source.close_for_control_frames()

    def register(self, stream: protocol.Stream) -> typing.Callable[[], None]:
        """Count a new call until the returned function is called."""
        release_stream = super().register(stream)
        self._source.hold_call(True)

        def release() -> None:
            release_stream()
            typing.cast(_Buffer, stream.buffer).release_all()
            self._source.hold_call(False)
            # The error that ended a call refers to the frames of its handler,
            # and these to the call, which would keep all until the garbage
            # collector finds them.
            if self._is_server and stream.wrapper is not None:
                stream.wrapper._error = None
                stream.wrapper = None

        return release


# Makes the account of a connection from the function that aborts it.
MakeSource = typing.Callable[[typing.Callable[[], None]], Source]


class PeerConnection(protocol.H2Protocol):
    """One connection between nodes, whose account is its source."""

    source: Source

    def __init__(self, make_source: MakeSource, base: protocol.H2Protocol):
        super().__init__(base.handler, base.config, base.h2_config)
        self._make_source = make_source
        self._transport: asyncio.Transport | None = None
        self._unsent_bytes = 0
        self._unparsed_bytes = 0
        # Bytes received and not passed on.
        self._unread = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the kernel's buffers, and begin to count."""
        sock = transport.get_extra_info('socket')
        if sock is not None and sock.family != socket.AF_UNIX:
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                sock.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        super().connection_made(transport)
        self._transport = typing.cast(asyncio.Transport, transport)
        self._frames = self.connection._connection
        self._frames._closed_streams._size_limit = MAX_CLOSED_CALLS
        self.source = self._make_source(self._abort)
        # The replaced object would refer to itself.
        del self.processor.processors
        self.processor = _Calls(self.handler, self.connection, self.source)
        self.connection.create_stream = self._create_call

    def _create_call(
        self,
        *,
        stream_id: int | None = None,
        wrapper: typing.Any = None,
    ) -> _Call:
        call = _Call(
            self.connection, self._frames, self._transport, wrapper=wrapper
        )
        call.source = self.source
        if stream_id is not None:
            call.init_stream(stream_id, self.connection)
        return call

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on; stop to read if the other side reads nothing."""
        # Handlers run in tasks that inherit this context.
        _current_source.set(self.source)
        if len(data) <= PIECE_BYTES and not self._unread:
            self._receive(data)
        else:
            self._unread += data
            self._receive_unread()

    def _receive_unread(self) -> None:
        unread = self._unread
        position = 0
        while position < len(unread) and self._may_receive():
            self._receive(unread[position : position + PIECE_BYTES])
            position += PIECE_BYTES
        self._unread = unread[position:]
        self._count_unparsed()

    def _may_receive(self) -> bool:
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self._unsent_bytes
        )

    def _receive(self, data: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        super().data_received(data)
        self._count_unparsed()
        if transport.is_closing():
            return
        unsent_bytes = transport.get_write_buffer_size()
        if unsent_bytes > MAX_UNSENT_BYTES:
            self._unsent_bytes = unsent_bytes
            transport.pause_reading()
            self.source.pause()
            self.source.hold(unsent_bytes)

    def _count_unparsed(self) -> None:
        """Count bytes of frames and heads of calls that are not complete."""
        frames = self._frames.incoming_buffer
        size_bytes = len(frames._data) + len(self._unread)
        for frame in frames._headers_buffer:
            size_bytes += len(frame.data)
        if size_bytes != self._unparsed_bytes:
            change = size_bytes - self._unparsed_bytes
            self._unparsed_bytes = size_bytes
            self.source.hold(change)

    def resume_writing(self) -> None:
        """Read again once most of what was written has been sent."""
        super().resume_writing()
        if self._unsent_bytes:
            self.source.hold(-self._unsent_bytes)
            self._unsent_bytes = 0
            _current_source.set(self.source)
            self._receive_unread()
            if self._may_receive():
                typing.cast(
                    asyncio.Transport, self._transport
                ).resume_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End all calls, and stop to count."""
        self._transport = None
        super().connection_lost(exc)
        self.source.close()
        # What would refer to itself.
        del self.connection.create_stream
        self._frames.streams.clear()


class PeerServer(Server):
    """gRPC server whose connections count toward the nodes' memory."""

    def __init__(
        self,
        handlers: typing.Collection,
        memory: NodeMemory,
        metrics: Metrics,
        clock: Clock,
        **options: typing.Any,
    ):
        # What a connection may send unread leaves room for its batches.
        window_bytes = min(
            WINDOW_BYTES, max(MIN_WINDOW_BYTES, memory.share_bytes // 2)
        )
        super().__init__(
            handlers,
            config=Configuration(
                http2_connection_window_size=window_bytes,
                http2_stream_window_size=window_bytes,
            ),
            **options,
        )
        self._node_memory = memory
        self._metrics = metrics
        self._clock = clock

    def _protocol_factory(self) -> PeerConnection:
        return PeerConnection(self._make_source, super()._protocol_factory())

    def _make_source(self, abort: typing.Callable[[], None]) -> Source:
        return Source(
            self._node_memory, self._metrics, self._clock, abort, abort
        )


class PeerChannel(Channel):
    """Channel to another node, whose messages count until they are read."""

    def __init__(
        self,
        host: str,
        port: int,
        memory: MessageMemory,
        metrics: Metrics,
        clock: Clock,
        **options: typing.Any,
    ):
        super().__init__(host, port, **options)
        self._message_memory = memory
        self._metrics = metrics
        self._clock = clock

    def _protocol_factory(self) -> PeerConnection:
        return PeerConnection(self._make_source, super()._protocol_factory())

    def _make_source(self, abort: typing.Callable[[], None]) -> Source:
        return HelperSource(
            self._message_memory, self._metrics, self._clock, abort
        )
