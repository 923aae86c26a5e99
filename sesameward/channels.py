"""Keep gRPC channels to other agents or nodes open."""

from __future__ import annotations

import typing

from grpclib import client
from grpclib.protocol import H2Protocol

from .codec import MsgpackCodec
from .messages import Member
from .types import NodeId

MAX_CHANNELS = 16


class Channel(client.Channel):
    """Open a connection to another process and make gRPC calls over it.

    grpclib deletes the transport of a lost connection. If the peer resets a
    connection while it is opened, a call over it would fail with an
    AttributeError, which callers don't expect of a peer that has ended.
    """

    async def __connect__(self) -> H2Protocol:
        protocol = await super().__connect__()
        if protocol.handler.connection_lost:
            raise ConnectionResetError(
                f'{self._host}:{self._port} closed the connection while it '
                'was opened'
            )
        return protocol


class Channels:
    """Cache channels by node; close the least recently used ones."""

    def __init__(self, connect: typing.Callable[..., Channel] = Channel):
        self._connect = connect
        self._channels: dict[NodeId, tuple[tuple, Channel]] = {}

    def get(self, member: Member) -> Channel:
        """Return a channel to a member at its current address."""
        address = member.host, member.grpc_port
        cached = self._channels.pop(member.node, None)
        if cached is not None and cached[0] != address:
            cached[1].close()
            cached = None
        if cached is None:
            cached = address, self._connect(*address, codec=MsgpackCodec())
        self._channels[member.node] = cached
        while len(self._channels) > MAX_CHANNELS:
            self.drop(next(iter(self._channels)))
        return cached[1]

    def drop(self, node: NodeId) -> None:
        """Close the channel to a node, so that the next one is a new one."""
        cached = self._channels.pop(node, None)
        if cached is not None:
            cached[1].close()

    def close(self) -> None:
        """Close all channels."""
        for node in tuple(self._channels):
            self.drop(node)
