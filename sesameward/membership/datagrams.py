"""Define the datagrams between agents and their compact encoding."""

from __future__ import annotations

import hashlib
import sys
import typing

import msgspec

from ..messages import Address
from ..messages import Member
from ..messages import Rumor
from ..messages import Urgency
from ..types import MemberState
from ..types import NodeId
from ..types import ZoneName

STATES = tuple(MemberState)

StateRank = typing.Annotated[int, msgspec.Meta(ge=0, lt=len(STATES))]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
NonNegativeInt = typing.Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]


class _WireAddress(msgspec.Struct, frozen=True, array_like=True):
    node: NodeId
    host: str
    port: int
    zone: ZoneName
    weight: float
    grpc_port: int = 0
    incarnation: int = 0


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Report the state and incarnation of a member without its full record.

    If a receiver's record has another content hash, it fetches the full record
    unless its own is newer. In claims that a member is suspected, the origin
    is the node that suspects it.
    """

    node: NodeId
    incarnation: NonNegativeInt
    rank: StateRank
    content_hash: int
    origin: NodeId = NodeId('')

    @property
    def state(self) -> MemberState:
        """Convert the rank to a member state."""
        return STATES[self.rank]


class Introduction(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Carry the full record of a member."""

    node: NodeId
    zone: ZoneName
    host: str
    gossip_port: Port
    grpc_port: Port
    http_port: Port
    incarnation: NonNegativeInt
    rank: StateRank
    leaving: bool
    entries: tuple[_WireAddress, ...] = ()
    reaches_targets: bool = True

    def to_member(self) -> Member:
        """Convert to a Member; intern strings, as many records repeat them."""
        return Member(
            node=_interned(self.node),
            zone=_interned(self.zone),
            host=_interned(self.host),
            gossip_port=self.gossip_port,
            grpc_port=self.grpc_port,
            http_port=self.http_port,
            incarnation=self.incarnation,
            state=STATES[self.rank],
            entries=tuple(
                Address(
                    _interned(e.node),
                    _interned(e.host),
                    e.port,
                    _interned(e.zone),
                    e.weight,
                    e.incarnation,
                    e.grpc_port,
                )
                for e in self.entries
            ),
            leaving=self.leaving,
            reaches_targets=self.reaches_targets,
        )


class WireRumor(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Carry a rumor; ttl_ms is its remaining time to live."""

    topic: str
    key: str
    version: int
    body: bytes
    ttl_ms: NonNegativeInt
    urgency: Urgency = Urgency.REPORT

    def to_rumor(self) -> Rumor:
        """Convert to a Rumor with the remaining time to live."""
        return Rumor(
            self.topic,
            self.key,
            self.version,
            self.body,
            self.ttl_ms / 1_000,
            self.urgency,
        )


Update = Claim | Introduction | WireRumor


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Request an Ack from the target; an empty target means any receiver."""

    seq: NonNegativeInt
    target: NodeId = NodeId('')


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Report that the target of a Ping or PingRequest is alive.

    The field seq is that of the Ping or PingRequest.
    """

    seq: NonNegativeInt


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask another member to ping the target (an indirect probe)."""

    seq: NonNegativeInt
    target: NodeId


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Report that the target of a PingRequest sent no Ack.

    The requester counts missing Nacks as a sign that it is slow itself.
    """

    seq: NonNegativeInt


class UpdatesOnly(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Carry updates without a message of the failure detector."""


Body = Ping | Ack | PingRequest | Nack | UpdatesOnly


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """Carry one message of the failure detector and piggybacked updates."""

    sender: NodeId
    body: Body
    updates: tuple[Update, ...] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Datagram)


def encode(message: object) -> bytes:
    """Encode the message as msgpack."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Datagram:
    """Decode a datagram; raise msgspec.DecodeError if it is malformed."""
    return _DECODER.decode(data)


def introduction_of(member: Member) -> Introduction:
    """Convert a member to its full record in wire format."""
    return Introduction(
        node=member.node,
        zone=member.zone,
        host=member.host,
        gossip_port=member.gossip_port,
        grpc_port=member.grpc_port,
        http_port=member.http_port,
        incarnation=member.incarnation,
        rank=rank_of(member.state),
        leaving=member.leaving,
        entries=tuple(
            _WireAddress(
                e.node,
                e.host,
                e.port,
                e.zone,
                e.weight,
                e.grpc_port,
                e.incarnation,
            )
            for e in member.entries
        ),
        reaches_targets=member.reaches_targets,
    )


_Text = typing.TypeVar('_Text', bound=str)


def _interned(text: _Text) -> _Text:
    """Return one shared object for equal strings; many records repeat them."""
    return typing.cast(_Text, sys.intern(text))


def rank_of(state: MemberState) -> int:
    """Return the precedence of the state; higher ones override lower."""
    return _RANK_BY_STATE[state]


_RANK_BY_STATE = {state: rank for rank, state in enumerate(STATES)}


def hash_content(member: Member) -> int:
    """Return a hash of a member's record without incarnation and state."""
    record = msgspec.structs.replace(
        introduction_of(member), incarnation=0, rank=0
    )
    content = (
        record.__struct_config__.tag,
        *msgspec.structs.astuple(record),
    )
    if record.reaches_targets:
        # Agents of earlier releases hash records without this field.
        content = content[:-1]
    digest = hashlib.blake2b(encode(content), digest_size=4).digest()
    return int.from_bytes(digest, 'big')
