"""Compare the state of two agents and exchange the records that differ."""

from __future__ import annotations

import random
import typing

import msgspec

from . import datagrams
from ..messages import Rumor
from ..types import NodeId
from .datagrams import Claim
from .datagrams import Introduction
from .datagrams import introduction_of
from .events import Action
from .swim import Swim

# Limits of one anti-entropy message. The claims of one bucket of members are
# never split, so a message with a single bucket may exceed MAX_CLAIMS.
MAX_CLAIMS = 100
MAX_INTRODUCTIONS = 150
MAX_RUMORS = 200


class SyncRequest(msgspec.Struct, frozen=True, array_like=True):
    """Start an exchange with digests, or continue it with records.

    The first request has one digest per bucket of members and one of all
    rumors. Later requests have claims, full records and rumors that the
    receiver may lack. The field wanted names the nodes whose full records the
    sender needs.
    """

    sender: NodeId
    digests: bytes = b''
    rumors_digest: int = 0
    claims: tuple[Claim, ...] = ()
    introductions: tuple[Introduction, ...] = ()
    wanted: tuple[NodeId, ...] = ()
    rumors: tuple[Rumor, ...] = ()


class SyncReply(msgspec.Struct, frozen=True, array_like=True):
    """Answer a request with the claims of buckets whose digests differ.

    The field more is True if further buckets differ but did not fit. The reply
    also has the full records that the request wanted. If rumors_differ, it has
    the sender's rumors, and the receiver must send its own. The field wanted
    names the nodes whose full records the sender needs.
    """

    buckets: tuple[int, ...] = ()
    more: bool = False
    claims: tuple[Claim, ...] = ()
    introductions: tuple[Introduction, ...] = ()
    wanted: tuple[NodeId, ...] = ()
    rumors: tuple[Rumor, ...] = ()
    rumors_differ: bool = False


class AntiEntropy:
    """Build and process the messages of exchanges with other agents."""

    def __init__(self, swim: Swim, rng: random.Random):
        self._swim = swim
        self._rng = rng

    def first_request(self, now: float) -> SyncRequest:
        """Return the first request of an exchange, with the local digests."""
        return SyncRequest(
            sender=self._swim.me.node,
            digests=self._swim.digests(),
            rumors_digest=self._swim.rumors_digest(now),
        )

    def answer(
        self, now: float, req: SyncRequest
    ) -> tuple[SyncReply, list[Action]]:
        """Merge the records of a request; return the reply and the actions."""
        actions, wanted = self._swim.merge_claims(now, req.claims)
        members = (i.to_member() for i in req.introductions)
        actions += self._swim.merge(now, members)
        actions += self._swim.merge_rumors(now, req.rumors)
        buckets, more = self._choose_buckets(req.digests)
        rumors_differ = bool(req.digests) and (
            req.rumors_digest != self._swim.rumors_digest(now)
        )
        reply = SyncReply(
            buckets=tuple(buckets),
            more=more,
            claims=tuple(self._swim.claims(buckets)),
            introductions=self._introductions(req.wanted),
            wanted=tuple(wanted[:MAX_INTRODUCTIONS]),
            rumors=self._rumors_to_send(now) if rumors_differ else (),
            rumors_differ=rumors_differ,
        )
        return reply, actions

    def follow_up(
        self, now: float, reply: SyncReply
    ) -> tuple[SyncRequest | None, list[Action]]:
        """Merge the records of a reply; return the next request, if any.

        Also return the actions that follow from the records.
        """
        own = self._swim.claims(reply.buckets)
        theirs = {claim.node: claim for claim in reply.claims}
        newer = [
            claim
            for claim in own
            if claim.node not in theirs
            or self._swim.overrides_claim(theirs[claim.node])
        ]
        rumors = self._rumors_to_send(now) if reply.rumors_differ else ()
        actions, wanted = self._swim.merge_claims(now, reply.claims)
        members = (i.to_member() for i in reply.introductions)
        actions += self._swim.merge(now, members)
        actions += self._swim.merge_rumors(now, reply.rumors)
        req = SyncRequest(
            sender=self._swim.me.node,
            claims=tuple(newer),
            introductions=self._introductions(reply.wanted),
            wanted=tuple(wanted[:MAX_INTRODUCTIONS]),
            rumors=rumors,
        )
        is_empty = not (
            req.claims or req.introductions or req.wanted or req.rumors
        )
        return (None if is_empty else req), actions

    def _choose_buckets(self, digests: bytes) -> tuple[list[int], bool]:
        """Choose differing buckets for one reply; tell if some do not fit."""
        if not digests:
            return [], False
        buckets = self._swim.differing_buckets(digests)
        self._rng.shuffle(buckets)
        chosen: list[int] = []
        claim_count = 0
        sizes = self._swim.bucket_sizes()
        for bucket in buckets:
            claim_count += sizes[bucket]
            if chosen and claim_count > MAX_CLAIMS:
                break
            chosen.append(bucket)
        return chosen, len(chosen) < len(buckets)

    def _introductions(
        self, nodes: typing.Iterable[NodeId]
    ) -> tuple[Introduction, ...]:
        members = (self._swim.get(node) for node in nodes)
        return tuple(
            introduction_of(member) for member in members if member is not None
        )[:MAX_INTRODUCTIONS]

    def _rumors_to_send(self, now: float) -> tuple[Rumor, ...]:
        rumors = self._swim.rumors(now)
        # Long-lived rumors first: many short-lived ones must not keep a node
        # that was disconnected from learning of these.
        rumors.sort(key=lambda rumor: -rumor.ttl_s)
        return tuple(rumors[:MAX_RUMORS])


def encode(message: SyncRequest | SyncReply) -> bytes:
    """Encode the message as msgpack."""
    return datagrams.encode(message)


_REQUEST_DECODER = msgspec.msgpack.Decoder(SyncRequest)
_REPLY_DECODER = msgspec.msgpack.Decoder(SyncReply)


def decode_request(data: bytes) -> SyncRequest:
    """Decode a request; raise msgspec.DecodeError if it is malformed."""
    return _REQUEST_DECODER.decode(data)


def decode_reply(data: bytes) -> SyncReply:
    """Decode a reply; raise msgspec.DecodeError if it is malformed."""
    return _REPLY_DECODER.decode(data)
