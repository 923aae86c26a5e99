"""Define the datagrams between agents and encode them compactly."""

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

Rank = typing.Annotated[int, msgspec.Meta(ge=0, lt=len(STATES))]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Number = typing.Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]


class _WireAddress(msgspec.Struct, frozen=True, array_like=True):
    node: NodeId
    host: str
    port: int
    zone: ZoneName
    weight: float
    grpc_port: int = 0
    incarnation: int = 0


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Change only the state and incarnation of a known member."""

    node: NodeId
    incarnation: Number
    rank: Rank
    content: int
    origin: NodeId = NodeId('')

    @property
    def state(self) -> MemberState:
        """Return the claimed state."""
        return STATES[self.rank]


class Introduction(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Carry all that is known of a member."""

    node: NodeId
    zone: ZoneName
    host: str
    gossip_port: Port
    grpc_port: Port
    http_port: Port
    incarnation: Number
    rank: Rank
    leaving: bool
    entries: tuple[_WireAddress, ...] = ()

    def to_member(self) -> Member:
        """Return the member."""
        return Member(
            node=_shared(self.node),
            zone=_shared(self.zone),
            host=_shared(self.host),
            gossip_port=self.gossip_port,
            grpc_port=self.grpc_port,
            http_port=self.http_port,
            incarnation=self.incarnation,
            state=STATES[self.rank],
            entries=tuple(
                Address(
                    _shared(e.node),
                    _shared(e.host),
                    e.port,
                    _shared(e.zone),
                    e.weight,
                    e.incarnation,
                    e.grpc_port,
                )
                for e in self.entries
            ),
            leaving=self.leaving,
        )


class WireRumor(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Carry a rumor with the rest of its time to live."""

    topic: str
    key: str
    version: int
    body: bytes
    ttl_ms: Number
    urgency: Urgency = Urgency.REPORT

    def to_rumor(self) -> Rumor:
        """Return the rumor."""
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
    """Ask the target for an Ack; an empty target means whoever is there."""

    seq: Number
    target: NodeId = NodeId('')


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer a Ping of this number on behalf of the probed member."""

    seq: Number


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask a helper to probe the target."""

    seq: Number
    target: NodeId


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Tell that the helper is well but that its probe got no Ack."""

    seq: Number


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Carry updates only."""


Body = Ping | Ack | PingRequest | Nack | Gossip


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """Carry one message of the failure detector and some updates."""

    sender: NodeId
    body: Body
    updates: tuple[Update, ...] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Datagram)


def encode(message: object) -> bytes:
    """Return the message as msgpack."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Datagram:
    """Return the datagram; raise msgspec.DecodeError."""
    return _DECODER.decode(data)


def introduce(member: Member) -> Introduction:
    """Return the member in its compact form."""
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
    )


_Text = typing.TypeVar('_Text', bound=str)


def _shared(text: _Text) -> _Text:
    """Return one object for equal texts, which many members repeat."""
    return typing.cast(_Text, sys.intern(text))


def rank_of(state: MemberState) -> int:
    """Return the position of the state in their order."""
    return _RANKS[state]


_RANKS = {state: rank for rank, state in enumerate(STATES)}


def content_of(member: Member) -> int:
    """Return a hash of all but the incarnation and the state."""
    content = msgspec.structs.replace(introduce(member), incarnation=0, rank=0)
    digest = hashlib.blake2b(encode(content), digest_size=4).digest()
    return int.from_bytes(digest, 'big')
