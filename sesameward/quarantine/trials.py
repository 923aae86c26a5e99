"""Exchange trial decisions and verdicts between entries over gRPC."""

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
    """Ask a fingerprint's home how a request may be sent.

    asker names the entry to which a trial is granted.
    """

    fp: Fingerprint
    asker: str = ''


class AdmitReply(msgspec.Struct, frozen=True):
    """Answer an AdmitRequest with the home's decision."""

    admission: Admission


class EventKind(enum.Enum):
    """Distinguish the results of a sub-request.

    ENDED stands for an end that neither clears nor blames the request.
    """

    BROKE = 'broke'
    SUCCEEDED = 'succeeded'
    ENDED = 'ended'


class Event(msgspec.Struct, frozen=True):
    """Report to a fingerprint's home how a request ended at one target.

    tried says that the request was sent to this target alone, as its trial.
    If asker is given, an ENDED event ends only a trial granted to that entry.
    """

    kind: EventKind
    fp: Fingerprint
    target: TargetId = TargetId('')
    in_flight: tuple[Fingerprint, ...] = ()
    tried: bool = False
    asker: str = ''


class Verdicts(msgspec.Struct, frozen=True):
    """Carry rumors about fingerprints from one entry to another."""

    rumors: tuple[Rumor, ...] = ()


class TrialDecider(typing.Protocol):
    """Define what the gRPC handler needs from the home of fingerprints."""

    def decide(self, req: AdmitRequest) -> Admission: ...

    def take(self, event: Event) -> tuple[Rumor, ...]: ...

    def heard(self, rumor: Rumor) -> None: ...


class TrialHandler:
    """Serve the gRPC calls of other entries about trials."""

    def __init__(self, decider: TrialDecider):
        self._decider = decider

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by gRPC path, as grpclib's Server expects."""
        unary = Cardinality.UNARY_UNARY
        return {
            ADMIT: Handler(self._admit, unary, AdmitRequest, AdmitReply),
            REPORT: Handler(self._report, unary, Event, Verdicts),
            TELL: Handler(self._tell, unary, Verdicts, Verdicts),
        }

    async def _admit(self, stream: Stream) -> None:
        req = await stream.recv_message()
        admission = self._decider.decide(req)
        await stream.send_message(AdmitReply(admission))

    async def _report(self, stream: Stream) -> None:
        event = await stream.recv_message()
        await stream.send_message(Verdicts(self._decider.take(event)))

    async def _tell(self, stream: Stream) -> None:
        verdicts = await stream.recv_message()
        for rumor in verdicts.rumors:
            self._decider.heard(rumor)
        await stream.send_message(Verdicts())


class TrialClient:
    """Call other entries about trials, over one connection to each."""

    def __init__(self):
        self._channels: dict[Endpoint, Channel] = {}

    async def admit(
        self, address: Address, req: AdmitRequest, timeout_s: float
    ) -> Admission:
        """Return the home's decision on a request.

        Raise PeerUnavailableError if the home does not answer in time.
        """
        reply = await self._call(address, ADMIT, req, AdmitReply, timeout_s)
        return reply.admission

    async def report(
        self, address: Address, event: Event, timeout_s: float
    ) -> tuple[Rumor, ...]:
        """Report an event to the home and return its verdicts.

        Raise PeerUnavailableError if the home does not answer in time.
        """
        reply = await self._call(address, REPORT, event, Verdicts, timeout_s)
        return reply.rumors

    async def tell(
        self, address: Address, rumors: tuple[Rumor, ...], timeout_s: float
    ) -> None:
        """Send verdicts to another entry.

        Raise PeerUnavailableError if it does not answer in time.
        """
        verdicts = Verdicts(rumors)
        await self._call(address, TELL, verdicts, Verdicts, timeout_s)

    def keep(self, addresses: typing.Iterable[Address]) -> None:
        """Close the connections to entries that are not in addresses."""
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
            # The timeout includes the time to open the connection.
            return await asyncio.wait_for(method(request), timeout_s)
        except grpc_errors.LOST as exc:
            raise PeerUnavailableError(
                f'entry {address.node} did not answer at '
                f'{address.host}:{address.grpc_port}: {exc!r}; '
                'other entries are asked meanwhile; '
                'check its log if this persists'
            ) from exc

    def _channel(self, endpoint: Endpoint) -> Channel:
        channel = self._channels.get(endpoint)
        if channel is None:
            channel = Channel(*endpoint, codec=MsgpackCodec())
            self._channels[endpoint] = channel
        return channel


def _endpoint(address: Address) -> Endpoint:
    return address.host, address.grpc_port
