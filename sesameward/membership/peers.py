"""Carry anti-entropy exchanges between agents over gRPC."""

from __future__ import annotations

import typing

from grpclib.client import UnaryUnaryMethod
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
import msgspec

from .. import grpc_errors
from ..channels import Channel
from ..codec import MsgpackCodec
from ..exceptions import IntegrityError
from ..exceptions import PeerUnavailableError
from ..messages import Member

SYNC_PATH = '/sesameward.Peer/Sync'
SYNC_TIMEOUT_S = 2.0


class SealedMessage(msgspec.Struct, frozen=True):
    """Carry an anti-entropy request or reply with its MAC."""

    body: bytes


class PeerHandler:
    """Serve the anti-entropy requests of other agents."""

    def __init__(self, answer: typing.Callable[[bytes], bytes]):
        self._answer = answer

    def __mapping__(self) -> dict[str, Handler]:
        """Return the gRPC methods, as grpclib's Server expects them."""
        handler = Handler(
            self._sync, Cardinality.UNARY_UNARY, SealedMessage, SealedMessage
        )
        return {SYNC_PATH: handler}

    async def _sync(self, stream: Stream) -> None:
        req = await stream.recv_message()
        try:
            reply = self._answer(req.body)
        except IntegrityError as exc:
            raise GRPCError(Status.UNAUTHENTICATED, str(exc)) from exc
        await stream.send_message(SealedMessage(reply))


class PeerClient:
    """Send anti-entropy requests, each over a new connection."""

    def __init__(self, connect: typing.Callable[..., Channel] = Channel):
        self._connect = connect

    async def sync(self, member: Member, sealed: bytes) -> bytes:
        """Send a sealed request; return the sealed reply of the member.

        Raise PeerUnavailableError if the member does not answer.
        """
        channel = self._connect(
            member.host, member.grpc_port, codec=MsgpackCodec()
        )
        method = UnaryUnaryMethod(
            channel, SYNC_PATH, SealedMessage, SealedMessage
        )
        try:
            reply = await method(SealedMessage(sealed), timeout=SYNC_TIMEOUT_S)
        except grpc_errors.LOST as exc:
            raise PeerUnavailableError(
                f'anti-entropy request to agent {member.node} failed at '
                f'{member.host}:{member.grpc_port}: {exc!r}; '
                'a later exchange with this agent retries; '
                'if this error recurs, check the log of that agent'
            ) from exc
        finally:
            channel.close()
        return reply.body
