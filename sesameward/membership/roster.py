"""Hold what is known of all members and digest it for comparison."""

from __future__ import annotations

import dataclasses
import hashlib
import typing

from . import datagrams
from ..messages import Member
from ..types import MemberState
from ..types import NodeId
from .datagrams import rank_of

BUCKETS = 256
BUCKET_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    member: Member
    content: int
    bucket: int
    digest: int


class Roster:
    """Keep for each node the highest of all records ever merged."""

    def __init__(self):
        self._rows: dict[NodeId, _Row] = {}
        self._digests = [0] * BUCKETS

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> typing.Iterator[Member]:
        return (row.member for row in self._rows.values())

    def get(self, node: NodeId) -> Member | None:
        """Return the member or None."""
        row = self._rows.get(node)
        return row.member if row else None

    def content(self, node: NodeId) -> int:
        """Return the hash of the member's content."""
        return self._rows[node].content

    def merge(self, member: Member) -> bool:
        """Keep the higher of two records; tell whether it is the new one."""
        row = self._rows.get(member.node)
        if row is not None and not _overrides(member, row):
            return False
        self._put(member, row)
        return True

    def remove(self, node: NodeId) -> None:
        """Forget the member."""
        row = self._rows.pop(node)
        self._digests[row.bucket] ^= row.digest

    def digests(self) -> bytes:
        """Return the digest of each bucket's live members."""
        return b''.join(
            digest.to_bytes(BUCKET_BYTES, 'big') for digest in self._digests
        )

    def differing(self, digests: bytes) -> list[int]:
        """Return the buckets whose digests differ from these."""
        return [
            bucket
            for bucket, digest in enumerate(self._digests)
            if digest.to_bytes(BUCKET_BYTES, 'big')
            != digests[bucket * BUCKET_BYTES : (bucket + 1) * BUCKET_BYTES]
        ]

    def in_buckets(self, buckets: typing.Iterable[int]) -> list[Member]:
        """Return the members of some buckets."""
        wanted = set(buckets)
        return [
            row.member for row in self._rows.values() if row.bucket in wanted
        ]

    def bucket_sizes(self) -> list[int]:
        """Return how many members each bucket has."""
        sizes = [0] * BUCKETS
        for row in self._rows.values():
            sizes[row.bucket] += 1
        return sizes

    def copy(self) -> Roster:
        """Return a roster of the same records."""
        copied = Roster()
        copied._rows = dict(self._rows)
        copied._digests = list(self._digests)
        return copied

    def _put(self, member: Member, old: _Row | None) -> None:
        content = datagrams.content_of(member)
        bucket = old.bucket if old else _bucket_of(member.node)
        digest = _digest_of(member, content) if is_live(member) else 0
        self._rows[member.node] = _Row(member, content, bucket, digest)
        self._digests[bucket] ^= digest ^ (old.digest if old else 0)


def is_live(member: Member) -> bool:
    """Tell whether the member counts as present."""
    return member.state in (MemberState.ALIVE, MemberState.SUSPECT)


def _overrides(member: Member, row: _Row) -> bool:
    old = row.member
    if member.incarnation != old.incarnation:
        return member.incarnation > old.incarnation
    if member.state is not old.state:
        return rank_of(member.state) > rank_of(old.state)
    if member == old:
        return False
    return _content_key(member) > _content_key(old)


def _content_key(member: Member) -> tuple[int, bytes]:
    """Order records which a restarted owner gave the same incarnation."""
    introduction = datagrams.introduce(member)
    return datagrams.content_of(member), datagrams.encode(introduction)


def _bucket_of(node: NodeId) -> int:
    return hashlib.blake2b(node.encode(), digest_size=1).digest()[0]


def _digest_of(member: Member, content: int) -> int:
    text = f'{member.node} {member.incarnation} {content}'
    digest = hashlib.blake2b(text.encode(), digest_size=BUCKET_BYTES)
    return int.from_bytes(digest.digest(), 'big')
