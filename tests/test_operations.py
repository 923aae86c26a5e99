"""Test reading, ordering and concurrent writing of operators' changes."""

from __future__ import annotations

import msgspec
import pytest
from returns.result import Failure
from returns.result import Success

from sesameward.configuration import declared
from sesameward.configuration import operations
from sesameward.configuration.operations import Operations
from sesameward.exceptions import ConflictError
from sesameward.exceptions import DeclarationError
from sesameward.exceptions import ReferencedError
from sesameward.standin.platform import Faults


def replace_shards(service):
    shard_map = declared.ShardMap(2, (declared.Shard('s9'),))
    return msgspec.structs.replace(service, maps=(shard_map,))


def test_race_on_one_object_names_the_other_change(
    with_platform, service, monkeypatch
):
    async def scenario(standin, client):
        ops = Operations(client)
        assert isinstance(await ops.apply([service]), Success)
        plan = ops.plan

        async def plan_then_other_write(items):
            steps = await plan(items)
            value = declared.encode(service)
            standin.store.write(
                'service', service.name, value, 'theirs', False
            )
            return steps

        monkeypatch.setattr(ops, 'plan', plan_then_other_write)
        changed = msgspec.structs.replace(service, bookings=False)
        match await ops.apply([changed]):
            case Failure(outcome):
                assert isinstance(outcome.error, ConflictError)
                assert outcome.error.change == 'theirs'
                assert outcome.applied == ()

    with_platform(scenario)


def test_race_on_both_sides_of_a_reference_is_told(
    with_platform, service, pool, monkeypatch
):
    async def scenario(standin, client):
        ops = Operations(client)
        await ops.apply([service])
        plan = ops.plan

        async def plan_then_other_write(items):
            steps = await plan(items)
            value = declared.encode(replace_shards(service))
            standin.store.write(
                'service', service.name, value, 'theirs', False
            )
            return steps

        monkeypatch.setattr(ops, 'plan', plan_then_other_write)
        result = await ops.apply([pool])
        outcome = result.failure()
        assert [a.name for a in outcome.applied] == [pool.name]
        with pytest.raises(ReferencedError, match='was written'):
            raise outcome.error

    with_platform(scenario)


def test_unsure_write_is_settled(with_platform, service, pool):
    async def scenario(standin, client):
        standin.faults = Faults(lose_replies=2)
        result = await Operations(client).apply([pool, service])
        assert result.unwrap().revision == 2

    with_platform(scenario)


@pytest.mark.parametrize(
    'text, field',
    [
        ('- 1', '$'),
        ('name: a', 'kind'),
        ('{kind: service, name: &a [*a]}', '$'),
        ('kind: [', 'objects.yaml'),
    ],
)
def test_bad_files_name_the_place(tmp_path, text, field):
    path = tmp_path / 'objects.yaml'
    path.write_text(text)
    with pytest.raises(DeclarationError) as caught:
        operations.read([str(path)])
    assert field in caught.value.field


def test_drain_keeps_what_another_operator_changed(
    with_platform, service, pool, monkeypatch
):
    async def scenario(standin, client):
        ops = Operations(client)
        await ops.apply([service, pool])
        first, second = pool.targets
        moved = msgspec.structs.replace(second, port=9_100)
        theirs = msgspec.structs.replace(pool, targets=(first, moved))
        other_writes = [declared.encode(theirs)]
        stored = ops.stored

        async def stored_then_other_write():
            found = await stored()
            if other_writes:
                standin.store.write(
                    'pool', pool.name, other_writes.pop(), 'theirs', False
                )
            return found

        monkeypatch.setattr(ops, 'stored', stored_then_other_write)
        assert (await ops.drain(first.id, True)).changed
        found = await client.get('pool', pool.name)
        drained = msgspec.structs.replace(first, drain=True)
        assert declared.decode('pool', found.value).targets == (drained, moved)
        assert not (await ops.drain(first.id, True)).changed
        assert (await ops.drain(first.id, False)).changed
        with pytest.raises(DeclarationError):
            await ops.drain('t9', True)

    with_platform(scenario)
