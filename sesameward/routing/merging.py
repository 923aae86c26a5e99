"""Reduce one shard's records to those which the answer gives."""

from __future__ import annotations

import typing

import msgspec

from ..configuration.declared import Shard
from ..messages import Record
from ..types import RecordVersion


class Merged(msgspec.Struct, frozen=True):
    """Hold the records to give and how many were left out, and why."""

    records: tuple[Record, ...]
    foreign: int = 0
    superseded: int = 0
    uncovered: int = 0


def merge(
    shard: Shard,
    records: typing.Sequence[Record],
    covered: typing.Collection[RecordVersion],
) -> Merged:
    """Keep each owned record once, in its newest covered version.

    A record of another shard's range is left out: after a repartition its
    former owner may still return it. uncovered counts the records which
    exist in uncovered versions only.
    """
    if _is_plain(shard, records, covered):
        return Merged(tuple(records))
    newest: dict[str, Record] = {}
    uncovered: set[str] = set()
    foreign = 0
    superseded = 0
    for record in records:
        if not shard.owns(record.key):
            foreign += 1
            continue
        if record.version not in covered:
            uncovered.add(record.key)
            continue
        known = newest.get(record.key)
        if known is None:
            newest[record.key] = record
            continue
        superseded += 1
        if record.version > known.version:
            newest[record.key] = record
    return Merged(
        tuple(newest.values()),
        foreign,
        superseded,
        len(uncovered - newest.keys()),
    )


def _is_plain(
    shard: Shard,
    records: typing.Sequence[Record],
    covered: typing.Collection[RecordVersion],
) -> bool:
    """Tell whether every record is owned, covered and there once."""
    keys = {record.key for record in records}
    if len(keys) != len(records):
        return False
    if keys and not (shard.owns(min(keys)) and shard.owns(max(keys))):
        return False
    return {record.version for record in records}.issubset(covered)
