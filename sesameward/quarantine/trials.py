"""Exchange decisions on trials and rumors about suspects between entries.

The calls go over gRPC. Equal requests share a fingerprint; a suspect is a
fingerprint whose requests may crash targets. A trial sends a request to one
target first, to see whether the target crashes. The home of a fingerprint is
the entry that decides on its trials.
"""

from __future__ import annotations

import asyncio
import enum
import typing

from grpclib.client import UnaryUnaryMethod
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Stream
import msgspec

from .. import grpc_errors
from ..channels import Channel
from ..codec import MsgpackCodec
from ..exceptions import PeerUnavailableError
from ..messages import Address
from ..messages import Rumor
from ..types import Fingerprint
from ..types import TargetId
from .quarantine import Admission

ADMIT_PATH = '/sesameward.Trials/Admit'
REPORT_PATH = '/sesameward.Trials/Report'
TELL_PATH = '/sesameward.Trials/Tell'

Endpoint = tuple[str, int]


class AdmitRequest(msgspec.Struct, frozen=True):
    """Ask a fingerprint's home how a request may be sent.

    asker names the entry to which the home grants a trial, if one is needed.
    """

    fp: Fingerprint
    asker: str = ''


class AdmitReply(msgspec.Struct, frozen=True):
    """Reply to an AdmitRequest with the home's decision."""

    admission: Admission


class EventKind(enum.Enum):
    """Distinguish how a sub-request ended."""

    # The connection to the target broke.
    BROKE = 'broke'
    SUCCEEDED = 'succeeded'
    # There was no result, for example because the query was cancelled. The
    # trial ends, and the request is neither cleared nor blamed.
    ENDED = 'ended'


class TrialEvent(msgspec.Struct, frozen=True):
    """Report to a fingerprint's home how a sub-request ended at one target.

    in_flight are the requests that the target was running. tried says that the
    target got the request as the trial of its fingerprint. If asker is given,
    an event without a result ends the trial only if the home granted the trial
    to the entry of that name. A late event thus does not end the trial of
    another entry.
    """

    kind: EventKind
    fp: Fingerprint
    target: TargetId = TargetId('')
    in_flight: tuple[Fingerprint, ...] = ()
    tried: bool = False
    asker: str = ''


class RumorBatch(msgspec.Struct, frozen=True):
    """Carry rumors about suspects from one entry to another."""

    rumors: tuple[Rumor, ...] = ()


class TrialDecider(typing.Protocol):
    """Define the methods to which TrialHandler passes received calls."""

    def decide(self, req: AdmitRequest) -> Admission: ...

    def judge(self, event: TrialEvent) -> tuple[Rumor, ...]: ...

    def apply_rumor(self, rumor: Rumor) -> None: ...


class TrialHandler:
    """Serve the gRPC calls of other entries about trials."""

    def __init__(self, decider: TrialDecider):
        self._decider = decider

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by gRPC path, as grpclib's Server expects."""
        unary = Cardinality.UNARY_UNARY
        return {
            ADMIT_PATH: Handler(
                self._handle_admit, unary, AdmitRequest, AdmitReply
            ),
            REPORT_PATH: Handler(
                self._handle_report, unary, TrialEvent, RumorBatch
            ),
            TELL_PATH: Handler(
                self._handle_tell, unary, RumorBatch, RumorBatch
            ),
        }

    async def _handle_admit(self, stream: Stream) -> None:
        req = await stream.recv_message()
        admission = self._decider.decide(req)
        await stream.send_message(AdmitReply(admission))

    async def _handle_report(self, stream: Stream) -> None:
        event = await stream.recv_message()
        await stream.send_message(RumorBatch(self._decider.judge(event)))

    async def _handle_tell(self, stream: Stream) -> None:
        batch = await stream.recv_message()
        for rumor in batch.rumors:
            self._decider.apply_rumor(rumor)
        await stream.send_message(RumorBatch())


class TrialClient:
    """Call other entries about trials, over one connection to each."""

    def __init__(self):
        self._channels: dict[Endpoint, Channel] = {}

    async def admit(
        self, address: Address, req: AdmitRequest, timeout_s: float
    ) -> Admission:
        """Return the home's decision on a request.

        Raise PeerUnavailableError if no valid reply arrives in timeout_s.
        """
        reply = await self._call(
            address, ADMIT_PATH, req, AdmitReply, timeout_s
        )
        return reply.admission

    async def report(
        self, address: Address, event: TrialEvent, timeout_s: float
    ) -> tuple[Rumor, ...]:
        """Report to the home how a sub-request ended.

        Return rumors with the decisions that the home derives from the report.
        Raise PeerUnavailableError if no valid reply arrives in timeout_s.
        """
        reply = await self._call(
            address, REPORT_PATH, event, RumorBatch, timeout_s
        )
        return reply.rumors

    async def push_verdicts(
        self, address: Address, rumors: tuple[Rumor, ...], timeout_s: float
    ) -> None:
        """Send rumors about suspects to another entry.

        Raise PeerUnavailableError if no valid reply arrives in timeout_s.
        """
        batch = RumorBatch(rumors)
        await self._call(address, TELL_PATH, batch, RumorBatch, timeout_s)

    def close_others(self, addresses: typing.Iterable[Address]) -> None:
        """Close the connections to entries that are not in addresses."""
        kept = {_endpoint(address) for address in addresses}
        for endpoint in self._channels.keys() - kept:
            self._channels.pop(endpoint).close()

    def close(self) -> None:
        """Close all connections."""
        self.close_others(())

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
                f'call to entry {address.node} failed at '
                f'{address.host}:{address.grpc_port}: {exc!r}; '
                'other entries decide on trials in its place meanwhile; '
                'check the log of the entry if this persists'
            ) from exc

    def _channel(self, endpoint: Endpoint) -> Channel:
        channel = self._channels.get(endpoint)
        if channel is None:
            channel = Channel(*endpoint, codec=MsgpackCodec())
            self._channels[endpoint] = channel
        return channel


def _endpoint(address: Address) -> Endpoint:
    return address.host, address.grpc_port
