"""Test the validation of declared objects."""

from __future__ import annotations

import msgspec
import pytest

from sesameward.configuration import declared
from sesameward.exceptions import DeclarationError
from sesameward.types import ShardId


def replace_shards(service, *shards):
    shard_map = msgspec.structs.replace(service.maps[0], shards=shards)
    return msgspec.structs.replace(service, maps=(shard_map,))


def test_round_trip(service, pool):
    for item in (service, pool):
        kind = declared.kind_of(item)
        assert declared.decode(kind, declared.encode(item)) == item


def test_overlapping_ranges_are_refused(service):
    invalid = replace_shards(
        service,
        declared.Shard(id=ShardId('s0'), end='n'),
        declared.Shard(id=ShardId('s1'), start='m'),
    )
    with pytest.raises(DeclarationError, match='overlaps') as caught:
        declared.check(invalid)
    assert caught.value.field == 'maps[1].shards'
    assert caught.value.remedy


def test_gap_between_ranges_is_refused(service):
    invalid = replace_shards(
        service,
        declared.Shard(id=ShardId('s0'), end='k'),
        declared.Shard(id=ShardId('s1'), start='m'),
    )
    with pytest.raises(DeclarationError, match='no shard owns'):
        declared.check(invalid)


def test_unknown_field_names_itself():
    with pytest.raises(DeclarationError, match='colour'):
        declared.decode('service', b'{"name": "a", "colour": 1}')


def test_too_large_is_refused():
    data = b' ' * (declared.MAX_OBJECT_BYTES + 1)
    with pytest.raises(DeclarationError, match='several pools'):
        declared.decode('pool', data)


def test_pool_must_name_known_shards(service, pool):
    declared.check_references(pool, service)
    without_s0 = replace_shards(service, declared.Shard(id=ShardId('s9')))
    with pytest.raises(DeclarationError, match='no shard s0'):
        declared.check_references(pool, without_s0)
