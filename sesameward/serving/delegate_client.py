"""Ask helpers over one kept stream each."""

from __future__ import annotations

import asyncio
import itertools
import typing

from grpclib.client import Channel
from grpclib.client import StreamStreamMethod
import msgspec

from .. import grpc_errors
from .. import logs
from ..codec import MsgpackCodec
from ..messages import Member
from ..metrics import Metrics
from ..types import Clock
from ..types import NodeId
from .delegation import Ask
from .delegation import AskNo
from .delegation import Cancel
from .delegation import Delegation
from .delegation import Parts
from .delegation import ToHelper

METHOD = '/sesameward.Peer/Delegate'
CONNECT_TIMEOUT_S = 0.3

# Called with what a helper sent, or None once the helper is lost.
OnParts = typing.Callable[[Parts | None], None]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Carry one message to a helper."""

    message: ToHelper


class _Stream:
    """Hold the stream to one helper."""

    def __init__(self, member: Member):
        self.address = member.host, member.grpc_port
        self.outbox: asyncio.Queue[ToHelper] = asyncio.Queue()
        self.waiting: dict[AskNo, OnParts] = {}
        self.task: asyncio.Task | None = None


class DelegateClient:
    """Send asks to helpers and hand back what they return."""

    def __init__(self, delegation: Delegation, metrics: Metrics, clock: Clock):
        self._delegation = delegation
        self._metrics = metrics
        self._clock = clock
        self._numbers = itertools.count(1)
        self._streams: dict[NodeId, _Stream] = {}

    def next_no(self) -> AskNo:
        """Return a number that no other ask of this process has."""
        return AskNo(next(self._numbers))

    def ask(self, member: Member, ask: Ask, on_parts: OnParts) -> None:
        """Send an ask; on_parts hears of its parts or of the loss."""
        stream = self._stream(member)
        stream.waiting[ask.ask] = on_parts
        self._delegation.sent(member.node, ask.ask, self._clock())
        self._metrics.count('delegated', amount=len(ask.items))
        stream.outbox.put_nowait(ask)

    def tell(self, node: NodeId, message: ToHelper) -> None:
        """Send a mark or a cancellation if the helper is connected."""
        stream = self._streams.get(node)
        if stream is not None:
            stream.outbox.put_nowait(message)

    def end(self, node: NodeId, ask: AskNo, is_answered: bool) -> None:
        """Stop waiting for an ask; the helper is told unless it knows."""
        stream = self._streams.get(node)
        if stream is None:
            return
        if stream.waiting.pop(ask, None) is not None and not is_answered:
            stream.outbox.put_nowait(Cancel(ask))
        self._delegation.ended(node, ask)

    def close(self) -> None:
        """End all streams."""
        for stream in self._streams.values():
            if stream.task is not None:
                stream.task.cancel()

    def _stream(self, member: Member) -> _Stream:
        stream = self._streams.get(member.node)
        address = member.host, member.grpc_port
        if stream is None or stream.address != address:
            stream = _Stream(member)
            self._streams[member.node] = stream
            stream.task = asyncio.ensure_future(self._run(member.node, stream))
            logs.watch(stream.task)
        return stream

    async def _run(self, node: NodeId, stream: _Stream) -> None:
        host, port = stream.address
        channel = Channel(host, port, codec=MsgpackCodec())
        problem = 'closed'
        try:
            await self._talk(node, stream, channel)
        except grpc_errors.LOST as exc:
            problem = repr(exc)
        finally:
            channel.close()
            self._lose(node, stream, problem)

    async def _talk(
        self, node: NodeId, stream: _Stream, channel: Channel
    ) -> None:
        method = StreamStreamMethod(channel, METHOD, Envelope, Parts)
        async with method.open() as call:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await call.send_request()
            sender = asyncio.ensure_future(_send_all(call, stream.outbox))
            try:
                async for parts in call:
                    self._take(node, stream, parts)
            finally:
                sender.cancel()

    def _take(self, node: NodeId, stream: _Stream, parts: Parts) -> None:
        self._delegation.heard(node, self._clock())
        on_parts = stream.waiting.get(parts.ask)
        if on_parts is not None:
            on_parts(parts)

    def _lose(self, node: NodeId, stream: _Stream, problem: str) -> None:
        if self._streams.get(node) is stream:
            del self._streams[node]
        self._metrics.count('helpers_lost')
        logs.change('helper_lost', node=node, problem=problem)
        self._delegation.lost(node, self._clock())
        waiting = list(stream.waiting.values())
        stream.waiting.clear()
        for on_parts in waiting:
            on_parts(None)


async def _send_all(call, outbox: asyncio.Queue[ToHelper]) -> None:
    while True:
        await call.send_message(Envelope(await outbox.get()))
