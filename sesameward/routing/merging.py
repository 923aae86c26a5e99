"""Filter and deduplicate the records that a target returns for a shard."""

from __future__ import annotations

import typing

import msgspec

from ..configuration.declared import Shard
from ..messages import Record
from ..types import RecordVersion


class Merged(msgspec.Struct, frozen=True):
    """Hold one shard's records for the answer, and counts of those left out.

    foreign counts records outside the shard's key range. superseded counts
    records that were dropped for another record with the same key. uncovered
    counts keys whose records all have versions that the query excludes.
    """

    records: tuple[Record, ...]
    foreign: int = 0
    superseded: int = 0
    uncovered: int = 0


def merge(
    shard: Shard,
    records: typing.Sequence[Record],
    covered: typing.Collection[RecordVersion],
) -> Merged:
    """Keep the newest record of each key among the covered versions.

    covered are the record versions that the query accepts; records of other
    versions are left out. So are records outside the shard's key range:
    after a repartition, a target may still return records that now belong to
    another shard.
    """
    if _needs_no_change(shard, records, covered):
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
        previous = newest.get(record.key)
        if previous is None:
            newest[record.key] = record
            continue
        superseded += 1
        if record.version > previous.version:
            newest[record.key] = record
    return Merged(
        tuple(newest.values()),
        foreign,
        superseded,
        len(uncovered - newest.keys()),
    )


def _needs_no_change(
    shard: Shard,
    records: typing.Sequence[Record],
    covered: typing.Collection[RecordVersion],
) -> bool:
    """Return whether merge() would keep all records.

    That is, all keys are distinct and in the shard's range, and all versions
    are covered.
    """
    keys = {record.key for record in records}
    if len(keys) != len(records):
        return False
    if keys and not (shard.owns(min(keys)) and shard.owns(max(keys))):
        return False
    return {record.version for record in records}.issubset(covered)
