"""Exchange declared objects between agents over grpclib."""

from __future__ import annotations

import asyncio
import collections.abc

from grpclib import client
from grpclib import const
from grpclib import exceptions
from grpclib import server
import msgspec

from ..codec import MsgpackCodec
from ..exceptions import PeerUnavailableError
from ..messages import Delta
from ..messages import Member
from ..messages import Pull
from ..metrics import Metrics
from ..types import NodeId

PULL_METHOD = '/sesameward.Peer/Pull'
PULL_TIMEOUT_S = 1.0
MAX_CHANNELS = 16
MAX_PAGES = 1_000

Answer = collections.abc.Callable[[Pull], collections.abc.Awaitable[Delta]]


class PullHandler:
    """Answer the pulls of other agents."""

    def __init__(self, answer: Answer):
        self._answer = answer

    async def pull(self, stream: server.Stream) -> None:
        """Send one page."""
        request = await stream.recv_message()
        await stream.send_message(await self._answer(request))

    def __mapping__(self) -> dict[str, const.Handler]:
        return {
            PULL_METHOD: const.Handler(
                self.pull, const.Cardinality.UNARY_UNARY, Pull, Delta
            )
        }


class PullClient:
    """Pull objects from other agents; keep a few channels."""

    def __init__(self, metrics: Metrics, timeout_s: float = PULL_TIMEOUT_S):
        self._metrics = metrics
        self._timeout_s = timeout_s
        self._channels: dict[NodeId, tuple[tuple, client.Channel]] = {}

    def close(self) -> None:
        """Close all channels."""
        for _, channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def pull(self, member: Member, request: Pull) -> Delta:
        """Return all pages as one; raise PeerUnavailableError."""
        page = await self._page(member, request)
        objects = list(page.objects)
        for _ in range(MAX_PAGES):
            if page.cursor is None:
                return msgspec.structs.replace(page, objects=tuple(objects))
            full = page.full
            request = Pull(
                request.digest, after=page.cursor, kind=request.kind
            )
            page = await self._page(member, request)
            objects += page.objects
            if page.full != full:
                break
        raise PeerUnavailableError(
            f'agent {member.node} changed too much during a pull; pull again'
        )

    async def _page(self, member: Member, request: Pull) -> Delta:
        method = client.UnaryUnaryMethod(
            self._channel(member), PULL_METHOD, Pull, Delta
        )
        timeout_s = request.wait_s + self._timeout_s
        try:
            return await method(request, timeout=timeout_s)
        except (
            asyncio.TimeoutError,
            OSError,
            exceptions.GRPCError,
            exceptions.ProtocolError,
            exceptions.StreamTerminatedError,
            msgspec.DecodeError,
        ) as exc:
            self._metrics.count('config_pull_errors', type(exc).__name__)
            raise PeerUnavailableError(
                f'agent {member.node} did not answer a pull; ask another'
            ) from exc

    def _channel(self, member: Member) -> client.Channel:
        address = member.host, member.grpc_port
        known = self._channels.pop(member.node, None)
        if known is not None and known[0] != address:
            known[1].close()
            known = None
        if known is None:
            known = address, client.Channel(*address, codec=MsgpackCodec())
        self._channels[member.node] = known
        while len(self._channels) > MAX_CHANNELS:
            oldest = next(iter(self._channels))
            self._channels.pop(oldest)[1].close()
        return known[1]
