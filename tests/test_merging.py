"""Test the filtering and deduplication of one shard's records."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sesameward.configuration.declared import Shard
from sesameward.messages import Record
from sesameward.routing.merging import merge
from sesameward.types import ShardId

COVERED = (1, 2)


@pytest.fixture
def shard():
    """Return a shard that owns the keys from b, inclusive, to d, exclusive."""
    return Shard(ShardId('s0'), start='b', end='d')


def test_plain_records_are_given_as_they_came(shard):
    records = (Record('c', 2), Record('b', 1))
    merged = merge(shard, records, COVERED)
    assert merged.records == records
    assert (merged.foreign, merged.superseded, merged.uncovered) == (0, 0, 0)
    assert merge(shard, (), COVERED).records == ()


def test_records_of_other_shards_are_left_out(shard):
    records = [Record('a', 1), Record('b', 1), Record('d', 1)]
    merged = merge(shard, records, COVERED)
    assert [r.key for r in merged.records] == ['b']
    assert merged.foreign == 2


def test_newest_covered_version_is_given_once(shard):
    records = [Record('b', 1), Record('b', 2), Record('b', 3)]
    merged = merge(shard, records, COVERED)
    assert merged.records == (Record('b', 2),)
    assert (merged.superseded, merged.uncovered) == (1, 0)


def test_record_in_uncovered_versions_only_is_told(shard):
    merged = merge(shard, [Record('b', 3), Record('c', 1)], COVERED)
    assert merged.records == (Record('c', 1),)
    assert merged.uncovered == 1


@given(
    st.lists(
        st.builds(Record, st.sampled_from('abcde'), st.integers(1, 4)),
        max_size=12,
    )
)
def test_merge_agrees_with_its_definition(records):
    shard = Shard(ShardId('s0'), start='b', end='d')
    merged = merge(shard, tuple(records), COVERED)
    owned = [r for r in records if 'b' <= r.key < 'd']
    expected = {}
    for record in owned:
        if record.version in COVERED:
            newest = max(expected.get(record.key, 0), record.version)
            expected[record.key] = newest
    assert {r.key: r.version for r in merged.records} == expected
    assert len(merged.records) == len(expected)
    assert merged.foreign == len(records) - len(owned)
    assert merged.uncovered == len({r.key for r in owned} - set(expected))
