"""Carry the anti-entropy between agents over grpclib."""

from __future__ import annotations

import typing

from grpclib.client import Channel
from grpclib.client import UnaryUnaryMethod
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
import msgspec

from .. import grpc_errors
from ..codec import MsgpackCodec
from ..exceptions import IntegrityError
from ..exceptions import PeerUnavailableError
from ..messages import Member

SYNC = '/sesameward.Peer/Sync'
TIMEOUT_S = 2.0


class Sealed(msgspec.Struct, frozen=True):
    """Carry sealed bytes."""

    body: bytes


class PeerHandler:
    """Answer the exchanges which other agents begin."""

    def __init__(self, answer: typing.Callable[[bytes], bytes]):
        self._answer = answer

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods for grpclib's Server."""
        handler = Handler(self._sync, Cardinality.UNARY_UNARY, Sealed, Sealed)
        return {SYNC: handler}

    async def _sync(self, stream: Stream) -> None:
        req = await stream.recv_message()
        try:
            reply = self._answer(req.body)
        except IntegrityError as exc:
            raise GRPCError(Status.UNAUTHENTICATED, str(exc)) from exc
        await stream.send_message(Sealed(reply))


class PeerClient:
    """Ask other agents, over a new connection each time."""

    async def sync(self, member: Member, sealed: bytes) -> bytes:
        """Return the sealed reply; raise PeerUnavailableError."""
        channel = Channel(member.host, member.grpc_port, codec=MsgpackCodec())
        method = UnaryUnaryMethod(channel, SYNC, Sealed, Sealed)
        try:
            reply = await method(Sealed(sealed), timeout=TIMEOUT_S)
        except grpc_errors.LOST as exc:
            raise PeerUnavailableError(
                f'agent {member.node} did not answer at '
                f'{member.host}:{member.grpc_port}: {exc!r}; '
                'it is asked again later, look at its log if this stays'
            ) from exc
        finally:
            channel.close()
        return reply.body
