"""Carry trials and verdicts between entries over grpclib."""

from __future__ import annotations

import asyncio
import enum
import typing

from grpclib.client import Channel
from grpclib.client import UnaryUnaryMethod
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Stream
import msgspec

from .. import grpc_errors
from ..codec import MsgpackCodec
from ..exceptions import PeerUnavailableError
from ..messages import Address
from ..messages import Rumor
from ..types import Fingerprint
from ..types import TargetId
from .quarantine import Admission

ADMIT = '/sesameward.Trials/Admit'
REPORT = '/sesameward.Trials/Report'
TELL = '/sesameward.Trials/Tell'

Endpoint = tuple[str, int]


class AdmitRequest(msgspec.Struct, frozen=True):
    """Ask how a request of this fingerprint may be sent.

    Where only suspects matter, any other is allowed without a trial. asker
    names the entry that a trial is granted to.
    """

    fp: Fingerprint
    asker: str = ''


class AdmitReply(msgspec.Struct, frozen=True):
    """Say how it may be sent."""

    admission: Admission


class EventKind(enum.Enum):
    """Name what became of a request."""

    BROKE = 'broke'
    SUCCEEDED = 'succeeded'
    ENDED = 'ended'


class Event(msgspec.Struct, frozen=True):
    """Tell the home what became of a request at one target.

    tried says that the target ran it alone, as its trial. An end by asker
    concerns only a trial that was granted to it.
    """

    kind: EventKind
    fp: Fingerprint
    target: TargetId = TargetId('')
    in_flight: tuple[Fingerprint, ...] = ()
    tried: bool = False
    asker: str = ''


class Verdicts(msgspec.Struct, frozen=True):
    """Carry what an entry found out about fingerprints."""

    rumors: tuple[Rumor, ...] = ()


class Decisions(typing.Protocol):
    """Decide on trials as the home of their fingerprints."""

    def decide(self, req: AdmitRequest) -> Admission: ...

    def take(self, event: Event) -> tuple[Rumor, ...]: ...

    def heard(self, rumor: Rumor) -> None: ...


class TrialHandler:
    """Answer other entries."""

    def __init__(self, decisions: Decisions):
        self._decisions = decisions

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods for grpclib's Server."""
        unary = Cardinality.UNARY_UNARY
        return {
            ADMIT: Handler(self._admit, unary, AdmitRequest, AdmitReply),
            REPORT: Handler(self._report, unary, Event, Verdicts),
            TELL: Handler(self._tell, unary, Verdicts, Verdicts),
        }

    async def _admit(self, stream: Stream) -> None:
        req = await stream.recv_message()
        admission = self._decisions.decide(req)
        await stream.send_message(AdmitReply(admission))

    async def _report(self, stream: Stream) -> None:
        event = await stream.recv_message()
        await stream.send_message(Verdicts(self._decisions.take(event)))

    async def _tell(self, stream: Stream) -> None:
        verdicts = await stream.recv_message()
        for rumor in verdicts.rumors:
            self._decisions.heard(rumor)
        await stream.send_message(Verdicts())


class TrialClient:
    """Ask other entries, over one connection to each."""

    def __init__(self):
        self._channels: dict[Endpoint, Channel] = {}

    async def admit(
        self, address: Address, req: AdmitRequest, timeout_s: float
    ) -> Admission:
        """Return the home's decision; raise PeerUnavailableError."""
        reply = await self._call(address, ADMIT, req, AdmitReply, timeout_s)
        return reply.admission

    async def report(
        self, address: Address, event: Event, timeout_s: float
    ) -> tuple[Rumor, ...]:
        """Return the home's verdicts; raise PeerUnavailableError."""
        reply = await self._call(address, REPORT, event, Verdicts, timeout_s)
        return reply.rumors

    async def tell(
        self, address: Address, rumors: tuple[Rumor, ...], timeout_s: float
    ) -> None:
        """Push verdicts; raise PeerUnavailableError."""
        verdicts = Verdicts(rumors)
        await self._call(address, TELL, verdicts, Verdicts, timeout_s)

    def keep(self, addresses: typing.Iterable[Address]) -> None:
        """Close the connections to all other entries."""
        kept = {_endpoint(address) for address in addresses}
        for endpoint in self._channels.keys() - kept:
            self._channels.pop(endpoint).close()

    def close(self) -> None:
        """Close all connections."""
        self.keep(())

    async def _call(
        self,
        address: Address,
        path: str,
        request: msgspec.Struct,
        reply_type: type,
        timeout_s: float,
    ) -> typing.Any:
        channel = self._channel(_endpoint(address))
        method = UnaryUnaryMethod(channel, path, type(request), reply_type)
        try:
            # The time limit also covers the wait for a connection.
            return await asyncio.wait_for(method(request), timeout_s)
        except grpc_errors.LOST as exc:
            raise PeerUnavailableError(
                f'entry {address.node} did not answer at '
                f'{address.host}:{address.grpc_port}: {exc!r}; '
                'others are asked meanwhile, look at its log if this stays'
            ) from exc

    def _channel(self, endpoint: Endpoint) -> Channel:
        channel = self._channels.get(endpoint)
        if channel is None:
            channel = Channel(*endpoint, codec=MsgpackCodec())
            self._channels[endpoint] = channel
        return channel


def _endpoint(address: Address) -> Endpoint:
    return address.host, address.grpc_port
