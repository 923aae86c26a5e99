"""Hold the records of all members, and digests to compare two agents."""

from __future__ import annotations

import dataclasses
import hashlib
import typing

from . import datagrams
from ..messages import Member
from ..types import MemberState
from ..types import NodeId
from .datagrams import rank_of

# Members are hashed by node name into buckets. Each bucket has a digest, so
# that two agents can find the buckets in which their records differ.
BUCKET_COUNT = 256
DIGEST_BYTES = 8

# Memory that a record takes in addition to its text, and that each of its
# addresses does (measured: 1,234 bytes with one address and 90 bytes of text,
# queued for other members).
MEMBER_BYTES = 1_000
ENTRY_BYTES = 150


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    member: Member
    content_hash: int
    bucket: int
    digest: int


class Roster:
    """Keep the record with the highest precedence of each node."""

    def __init__(self):
        self._records: dict[NodeId, _Record] = {}
        self._digests = [0] * BUCKET_COUNT
        # Memory that all records take.
        self.held_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> typing.Iterator[Member]:
        return (record.member for record in self._records.values())

    def get(self, node: NodeId) -> Member | None:
        """Return the record of the node, or None if it is unknown."""
        record = self._records.get(node)
        return record.member if record else None

    def content_hash(self, node: NodeId) -> int:
        """Return the hash of the record without incarnation and state."""
        return self._records[node].content_hash

    def merge(self, member: Member) -> bool:
        """Store a record if it overrides the known one; tell if it did."""
        record = self._records.get(member.node)
        if record is not None and not _overrides(member, record):
            return False
        self._put(member, record)
        return True

    def growth_bytes(self, member: Member) -> int:
        """Return the memory by which storing a record enlarges held_bytes."""
        known = self.get(member.node)
        return _size_of(member) - (0 if known is None else _size_of(known))

    def remove(self, node: NodeId) -> None:
        """Remove the record of a node, also from the digest of its bucket."""
        record = self._records.pop(node)
        self.held_bytes -= _size_of(record.member)
        self._digests[record.bucket] ^= record.digest

    def digests(self) -> bytes:
        """Return one digest per bucket, over the live members in it."""
        return b''.join(
            digest.to_bytes(DIGEST_BYTES, 'big') for digest in self._digests
        )

    def differing_buckets(self, digests: bytes) -> list[int]:
        """Return the buckets whose digests differ from another agent's."""
        return [
            bucket
            for bucket, digest in enumerate(self._digests)
            if digest.to_bytes(DIGEST_BYTES, 'big')
            != digests[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
        ]

    def in_buckets(self, buckets: typing.Iterable[int]) -> list[Member]:
        """Return the members in these buckets."""
        wanted = set(buckets)
        return [
            record.member
            for record in self._records.values()
            if record.bucket in wanted
        ]

    def bucket_sizes(self) -> list[int]:
        """Return the number of members in each bucket."""
        sizes = [0] * BUCKET_COUNT
        for record in self._records.values():
            sizes[record.bucket] += 1
        return sizes

    def copy(self) -> Roster:
        """Return an independent roster with the same records."""
        copied = Roster()
        copied._records = dict(self._records)
        copied._digests = list(self._digests)
        copied.held_bytes = self.held_bytes
        return copied

    def _put(self, member: Member, old: _Record | None) -> None:
        self.held_bytes += self.growth_bytes(member)
        content_hash = datagrams.hash_content(member)
        bucket = old.bucket if old else _bucket_of(member.node)
        digest = _digest_of(member, content_hash) if is_live(member) else 0
        self._records[member.node] = _Record(
            member, content_hash, bucket, digest
        )
        self._digests[bucket] ^= digest ^ (old.digest if old else 0)


def is_live(member: Member) -> bool:
    """Tell whether the member is alive or suspected."""
    return member.state in (MemberState.ALIVE, MemberState.SUSPECT)


def _size_of(member: Member) -> int:
    text_bytes = len(member.node) + len(member.zone) + len(member.host)
    for entry in member.entries:
        text_bytes += len(entry.node) + len(entry.host) + len(entry.zone)
    return MEMBER_BYTES + ENTRY_BYTES * len(member.entries) + text_bytes


def _overrides(member: Member, record: _Record) -> bool:
    old = record.member
    if member.incarnation != old.incarnation:
        return member.incarnation > old.incarnation
    if member.state is not old.state:
        return rank_of(member.state) > rank_of(old.state)
    if member == old:
        return False
    return _content_order(member) > _content_order(old)


def _content_order(member: Member) -> tuple[int, bytes]:
    """Return a sort key for records of the same incarnation and state.

    Such records may differ, since a restarted node may use an incarnation a
    second time. By the order, all agents keep the same record.
    """
    introduction = datagrams.introduction_of(member)
    return datagrams.hash_content(member), datagrams.encode(introduction)


def _bucket_of(node: NodeId) -> int:
    return hashlib.blake2b(node.encode(), digest_size=1).digest()[0]


def _digest_of(member: Member, content_hash: int) -> int:
    text = f'{member.node} {member.incarnation} {content_hash}'
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')
