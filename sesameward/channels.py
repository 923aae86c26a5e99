"""Keep gRPC channels to other agents or nodes open."""

from __future__ import annotations

import functools
import typing

from grpclib import client
from grpclib.protocol import H2Protocol

from .codec import MsgpackCodec
from .messages import Member
from .types import NodeId

MAX_CHANNELS = 16

OnLost = typing.Callable[[], None]


class _Handler(client.Handler):
    """Tell the channel that its connection is closed."""

    def __init__(self, on_close: OnLost):
        self._on_close = on_close

    def close(self) -> None:
        super().close()
        self._on_close()


class Channel(client.Channel):
    """Open a connection to another process and make gRPC calls over it.

    grpclib deletes the transport of a lost connection. If the peer resets a
    connection while it is opened, a call over it would fail with an
    AttributeError, which callers don't expect of a peer that has ended.

    on_lost is called when a connection is lost that this process did not
    close. A channel that was closed opens no connection again.
    """

    on_lost: OnLost | None = None
    _is_closed = False

    def close(self) -> None:
        """Close the connection for good."""
        self._is_closed = True
        super().close()

    def _protocol_factory(self) -> H2Protocol:
        handler = _Handler(self._on_connection_close)
        return H2Protocol(handler, self._config, self._h2_config)

    def _on_connection_close(self) -> None:
        if self.on_lost is not None and not self._is_closed:
            self.on_lost()

    async def open(self) -> None:
        """Connect to the other process, if that is not done yet."""
        await self.__connect__()

    async def _create_connection(self) -> H2Protocol:
        if self._is_closed:
            # A call that has waited for a connection that failed.
            raise ConnectionAbortedError('the channel was closed')
        return await super()._create_connection()

    async def __connect__(self) -> H2Protocol:
        protocol = await super().__connect__()
        if protocol.handler.connection_lost:
            raise ConnectionResetError(
                f'{self._host}:{self._port} closed the connection while it '
                'was opened'
            )
        return protocol


class Channels:
    """Cache channels by node; close the least recently used ones.

    connect makes a channel to an address; on_lost is called with the node to
    which a connection is lost.
    """

    def __init__(
        self,
        connect: typing.Callable[..., Channel] = Channel,
        on_lost: typing.Callable[[NodeId], None] | None = None,
    ):
        self._connect = connect
        self._on_lost = on_lost
        self._channels: dict[NodeId, tuple[tuple, Channel]] = {}

    def get(self, member: Member) -> Channel:
        """Return a channel to a member at its current address."""
        address = member.host, member.grpc_port
        cached = self._channels.pop(member.node, None)
        if cached is not None and cached[0] != address:
            cached[1].close()
            cached = None
        if cached is None:
            cached = address, self._make(member.node, address)
        self._channels[member.node] = cached
        while len(self._channels) > MAX_CHANNELS:
            self.drop(next(iter(self._channels)))
        return cached[1]

    def _make(self, node: NodeId, address: tuple[str, int]) -> Channel:
        channel = self._connect(*address, codec=MsgpackCodec())
        if self._on_lost is not None:
            channel.on_lost = functools.partial(self._on_lost, node)
        return channel

    def drop(self, node: NodeId, channel: Channel | None = None) -> None:
        """Close the channel to a node, so that the next one is a new one.

        If channel is given, another one that replaced it stays open.
        """
        cached = self._channels.get(node)
        if cached is not None and channel in (None, cached[1]):
            del self._channels[node]
            cached[1].close()

    def close(self) -> None:
        """Close all channels."""
        for node in tuple(self._channels):
            self.drop(node)
