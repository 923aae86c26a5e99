"""Send batches of sub-requests to helper nodes over gRPC streams.

A helper node is a node of another zone that sends the sub-requests to targets
of its zone. One stream is opened to each helper node.
"""

from __future__ import annotations

import asyncio
import itertools
import typing

from grpclib.client import StreamStreamMethod
import msgspec

from .. import grpc_errors
from .. import logs
from ..background import Supervisor
from ..codec import MsgpackCodec
from ..messages import Member
from ..metrics import Metrics
from ..types import Clock
from ..types import NodeId
from .byte_limits import MessageMemory
from .delegation import BatchNo
from .delegation import BatchResults
from .delegation import CancelBatch
from .delegation import DelegatedBatch
from .delegation import Delegation
from .delegation import HelperMessage
from .delegation import make_probe
from .delegation import TargetNotice
from .peer_connections import PeerChannel

METHOD = '/sesameward.Peer/Delegate'
CONNECT_TIMEOUT_S = 0.3
# connect_ahead() opens at most this many streams in one call, because each one
# costs this node some 0.8 ms of processor time.
MAX_STREAMS_AHEAD = 2
# connect_ahead() keeps at most this many streams open, because each takes some
# 40 KB of memory. In a larger deployment the others open with their first
# batch.
MAX_STREAMS_KEPT = 64

# Called with each message of a helper node about one batch of sub-requests, or
# with None if the stream to the helper node has ended.
OnResults = typing.Callable[[BatchResults | None], None]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Hold a message to a helper node; gRPC needs one type for all."""

    message: HelperMessage


class _Stream:
    """State of the stream to one helper node; a callback per open batch."""

    def __init__(self, member: Member):
        self.address = member.host, member.grpc_port
        self.outbox: asyncio.Queue[HelperMessage] = asyncio.Queue()
        self.handlers: dict[BatchNo, OnResults] = {}


class DelegateClient:
    """Send batches of sub-requests to helper nodes, and pass on the results.

    A helper node sends the sub-requests to targets of its own zone. The stream
    to it is opened when the first batch is sent. The results of a batch go to
    the callback that was given with the batch. on_notice is called with what
    replies to cancelled batches said about their targets.
    """

    def __init__(
        self,
        delegation: Delegation,
        metrics: Metrics,
        clock: Clock,
        memory: MessageMemory,
    ):
        self._memory = memory
        self._delegation = delegation
        self._metrics = metrics
        self._clock = clock
        self._batch_numbers = itertools.count(1)
        self._streams: dict[NodeId, _Stream] = {}
        self._supervisor = Supervisor(metrics, clock=clock)
        self.on_notice: typing.Callable[[TargetNotice], None] = lambda _: None

    def next_batch_no(self) -> BatchNo:
        """Return the number for a new batch, unique in this process."""
        return BatchNo(next(self._batch_numbers))

    def send_batch(
        self, member: Member, batch: DelegatedBatch, on_results: OnResults
    ) -> None:
        """Send a batch of sub-requests to a helper node.

        on_results is called with each message of results, and with None if the
        stream ends before finish_batch() is called for the batch.
        """
        stream = self._stream(member)
        stream.handlers[batch.batch_no] = on_results
        self._delegation.batch_sent(member.node, batch.batch_no, self._clock())
        self._metrics.count('delegated', amount=len(batch.items))
        stream.outbox.put_nowait(batch)

    def connect_ahead(self, nodes: typing.Iterable[NodeId]) -> None:
        """Open streams to nodes that will get batches, a few in each call.

        Without this the first batch to each of them would wait until its
        stream is open.
        """
        if len(self._streams) >= MAX_STREAMS_KEPT:
            return
        missing = (node for node in nodes if node not in self._streams)
        members = self._delegation.helpers_to_connect(missing, self._clock())
        for member in tuple(itertools.islice(members, MAX_STREAMS_AHEAD)):
            self._stream(member)

    def send_message(self, node: NodeId, message: HelperMessage) -> None:
        """Send a message about an open batch of sub-requests to a helper node.

        Does nothing if the stream to the helper node has ended.
        """
        stream = self._streams.get(node)
        if stream is not None:
            stream.outbox.put_nowait(message)

    def probe(self, node: NodeId) -> None:
        """Ask a helper node for a message, which shows that it runs."""
        self.send_message(node, make_probe(self.next_batch_no()))

    def finish_batch(
        self, node: NodeId, batch_no: BatchNo, is_answered: bool
    ) -> None:
        """Stop waiting for results of a batch of sub-requests.

        If is_answered is True, all results have arrived; otherwise a message
        to the helper node cancels the batch.
        """
        stream = self._streams.get(node)
        if stream is None:
            return
        if stream.handlers.pop(batch_no, None) is not None and not is_answered:
            stream.outbox.put_nowait(CancelBatch(batch_no))
        self._delegation.batch_ended(node, batch_no)

    def close(self) -> None:
        """Close the streams to all helper nodes."""
        self._supervisor.stop()

    def _stream(self, member: Member) -> _Stream:
        stream = self._streams.get(member.node)
        address = member.host, member.grpc_port
        if stream is None or stream.address != address:
            stream = _Stream(member)
            self._streams[member.node] = stream
            self._supervisor.start(
                'stream to helper', self._run(member.node, stream)
            )
        return stream

    async def _run(self, node: NodeId, stream: _Stream) -> None:
        host, port = stream.address
        channel = PeerChannel(
            host,
            port,
            self._memory,
            self._metrics,
            self._clock,
            codec=MsgpackCodec(),
        )
        problem = 'closed'
        try:
            await self._exchange_messages(node, stream, channel)
        except grpc_errors.LOST as exc:
            problem = repr(exc)
        finally:
            channel.close()
            self._on_stream_ended(node, stream, problem)

    async def _exchange_messages(
        self, node: NodeId, stream: _Stream, channel: PeerChannel
    ) -> None:
        method = StreamStreamMethod(channel, METHOD, Envelope, BatchResults)
        async with method.open() as call:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await call.send_request()
            # The stream ends with either: without its sender, batches would
            # wait until their deadlines.
            tasks = [
                asyncio.ensure_future(_send_all(call, stream.outbox)),
                asyncio.ensure_future(self._receive(node, stream, call)),
            ]
            try:
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in tasks:
                    task.cancel()
                results = await asyncio.gather(*tasks, return_exceptions=True)
            for result in results:
                if isinstance(result, Exception):
                    raise result

    async def _receive(self, node: NodeId, stream: _Stream, call) -> None:
        async for parts in call:
            self._on_message(node, stream, parts)

    def _on_message(
        self, node: NodeId, stream: _Stream, parts: BatchResults
    ) -> None:
        self._delegation.message_received(node, self._clock())
        for notice in parts.notices:
            self.on_notice(notice)
        if not parts.item_results and not parts.notices:
            self._delegation.batch_acknowledged(node, parts.batch_no)
            return
        on_results = stream.handlers.get(parts.batch_no)
        if on_results is not None:
            on_results(parts)

    def _on_stream_ended(
        self, node: NodeId, stream: _Stream, problem: str
    ) -> None:
        if self._streams.get(node) is stream:
            del self._streams[node]
        self._metrics.count('helpers_lost')
        logs.log_event('helper_lost', node=node, problem=problem)
        self._delegation.connection_lost(node, self._clock())
        handlers = list(stream.handlers.values())
        stream.handlers.clear()
        for on_results in handlers:
            on_results(None)


async def _send_all(call, outbox: asyncio.Queue[HelperMessage]) -> None:
    while True:
        await call.send_message(Envelope(await outbox.get()))
