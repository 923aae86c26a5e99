"""Compare the whole state of two agents and exchange what differs."""

from __future__ import annotations

import random
import typing

import msgspec

from . import datagrams
from ..messages import Rumor
from ..types import NodeId
from .datagrams import Claim
from .datagrams import introduce
from .datagrams import Introduction
from .events import Action
from .swim import Swim

MAX_CLAIMS = 100
MAX_INTRODUCTIONS = 150
MAX_RUMORS = 200


class SyncRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for what differs, then send what the other lacks."""

    sender: NodeId
    digests: bytes = b''
    rumors_digest: int = 0
    claims: tuple[Claim, ...] = ()
    introductions: tuple[Introduction, ...] = ()
    wanted: tuple[NodeId, ...] = ()
    rumors: tuple[Rumor, ...] = ()


class SyncReply(msgspec.Struct, frozen=True, array_like=True):
    """Return the differing buckets' claims and what was asked for."""

    buckets: tuple[int, ...] = ()
    more: bool = False
    claims: tuple[Claim, ...] = ()
    introductions: tuple[Introduction, ...] = ()
    wanted: tuple[NodeId, ...] = ()
    rumors: tuple[Rumor, ...] = ()
    rumors_differ: bool = False


class AntiEntropy:
    """Decide what two agents tell each other in one exchange."""

    def __init__(self, swim: Swim, rng: random.Random):
        self._swim = swim
        self._rng = rng

    def begin(self, now: float) -> SyncRequest:
        """Return the request which opens an exchange."""
        return SyncRequest(
            sender=self._swim.me.node,
            digests=self._swim.digests(),
            rumors_digest=self._swim.rumors_digest(now),
        )

    def answer(
        self, now: float, req: SyncRequest
    ) -> tuple[SyncReply, list[Action]]:
        """Return the reply to any request of an exchange."""
        actions, wanted = self._swim.merge_claims(now, req.claims)
        members = (i.to_member() for i in req.introductions)
        actions += self._swim.merge(now, members)
        actions += self._swim.merge_rumors(now, req.rumors)
        buckets, more = self._differing(req.digests)
        differ = bool(req.digests) and (
            req.rumors_digest != self._swim.rumors_digest(now)
        )
        reply = SyncReply(
            buckets=tuple(buckets),
            more=more,
            claims=tuple(self._swim.claims(buckets)),
            introductions=self._introduce(req.wanted),
            wanted=tuple(wanted[:MAX_INTRODUCTIONS]),
            rumors=self._rumors(now) if differ else (),
            rumors_differ=differ,
        )
        return reply, actions

    def follow_up(
        self, now: float, reply: SyncReply
    ) -> tuple[SyncRequest | None, list[Action]]:
        """Take a reply in; return the next request, or None at the end."""
        own = self._swim.claims(reply.buckets)
        theirs = {claim.node: claim for claim in reply.claims}
        news = [
            claim
            for claim in own
            if claim.node not in theirs
            or self._swim.is_news(theirs[claim.node])
        ]
        rumors = self._rumors(now) if reply.rumors_differ else ()
        actions, wanted = self._swim.merge_claims(now, reply.claims)
        members = (i.to_member() for i in reply.introductions)
        actions += self._swim.merge(now, members)
        actions += self._swim.merge_rumors(now, reply.rumors)
        req = SyncRequest(
            sender=self._swim.me.node,
            claims=tuple(news),
            introductions=self._introduce(reply.wanted),
            wanted=tuple(wanted[:MAX_INTRODUCTIONS]),
            rumors=rumors,
        )
        is_empty = not (
            req.claims or req.introductions or req.wanted or req.rumors
        )
        return (None if is_empty else req), actions

    def _differing(self, digests: bytes) -> tuple[list[int], bool]:
        """Choose differing buckets, up to the bound of one exchange."""
        if not digests:
            return [], False
        buckets = self._swim.differing(digests)
        self._rng.shuffle(buckets)
        chosen: list[int] = []
        claims = 0
        sizes = self._swim.bucket_sizes()
        for bucket in buckets:
            claims += sizes[bucket]
            if chosen and claims > MAX_CLAIMS:
                break
            chosen.append(bucket)
        return chosen, len(chosen) < len(buckets)

    def _introduce(
        self, nodes: typing.Iterable[NodeId]
    ) -> tuple[Introduction, ...]:
        members = (self._swim.get(node) for node in nodes)
        return tuple(
            introduce(member) for member in members if member is not None
        )[:MAX_INTRODUCTIONS]

    def _rumors(self, now: float) -> tuple[Rumor, ...]:
        rumors = self._swim.rumors(now)
        # What holds for long is what a node that was away must learn.
        rumors.sort(key=lambda rumor: -rumor.ttl_s)
        return tuple(rumors[:MAX_RUMORS])


def encode(message: SyncRequest | SyncReply) -> bytes:
    """Return the message as msgpack."""
    return datagrams.encode(message)


_REQUESTS = msgspec.msgpack.Decoder(SyncRequest)
_REPLIES = msgspec.msgpack.Decoder(SyncReply)


def decode_request(data: bytes) -> SyncRequest:
    """Return the request; raise msgspec.DecodeError."""
    return _REQUESTS.decode(data)


def decode_reply(data: bytes) -> SyncReply:
    """Return the reply; raise msgspec.DecodeError."""
    return _REPLIES.decode(data)
