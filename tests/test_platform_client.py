"""Test the platform client against the stand-in platform over loopback."""

from __future__ import annotations

import asyncio

import pytest

from sesameward.exceptions import CompactedError
from sesameward.exceptions import ConflictError
from sesameward.exceptions import DeclarationError
from sesameward.exceptions import NotFoundError
from sesameward.exceptions import PlatformThrottledError
from sesameward.exceptions import PlatformUnavailableError
from sesameward.exceptions import UnsureWriteError
from sesameward.messages import Vm
from sesameward.standin.platform import Faults
from sesameward.standin.platform import MAX_VALUE_BYTES


def test_write_read_list_delete(with_platform):
    async def scenario(standin, client):
        first = await client.put('pool', 'a/b', b'1', None, 'c1')
        second = await client.put('pool', 'a/b', b'2', first, 'c2')
        assert second > first
        assert (await client.get('pool', 'a/b')).value == b'2'
        revision, objects = await client.list('pool')
        assert revision == second and len(objects) == 1
        await client.delete('pool', 'a/b', second, 'c3')
        with pytest.raises(NotFoundError):
            await client.get('pool', 'a/b')
        assert (await client.list('pool'))[1] == []
        assert await client.put('pool', 'a/b', b'3', None, 'c4') > second

    with_platform(scenario)


def test_lost_race_names_the_other_change(with_platform):
    async def scenario(standin, client):
        first = await client.put('pool', 'a', b'1', None, 'mine')
        second = await client.put('pool', 'a', b'2', first, 'theirs')
        for expected in (first, None):
            with pytest.raises(ConflictError, match='theirs') as caught:
                await client.put('pool', 'a', b'3', expected, 'mine-again')
            assert caught.value.current == second

    with_platform(scenario)


@pytest.mark.parametrize('fault', ['lose_replies', 'lose_requests'])
def test_lost_message_is_settled(with_platform, metrics, fault):
    async def scenario(standin, client):
        standin.faults = Faults(**{fault: 1})
        first = await client.put('pool', 'a', b'1', None, 'c1')
        standin.faults = Faults(**{fault: 1})
        second = await client.put('pool', 'a', b'2', first, 'c2')
        assert (await client.get('pool', 'a')).revision == second
        standin.faults = Faults(**{fault: 1})
        await client.delete('pool', 'a', second, 'c3')
        assert standin.store.revision == 3

    with_platform(scenario)


def test_effect_is_told_though_overwritten(with_platform):
    async def scenario(standin, client):
        first = await client.put('pool', 'a', b'1', None, 'c1')
        standin.faults = Faults(lose_replies=1)
        pending = asyncio.ensure_future(
            client.put('pool', 'a', b'2', first, 'c2')
        )
        while standin.store.revision == first:
            await asyncio.sleep(0)
        standin.store.write('pool', 'a', b'3', 'c3', deleted=False)
        assert await pending == first + 1

    with_platform(scenario)


def test_throttled_repetition_does_not_hide_the_effect(with_platform):
    async def scenario(standin, client):
        await client.list('pool')
        standin.faults = Faults(lose_replies=1)
        pending = asyncio.ensure_future(
            client.put('pool', 'a', b'1', None, 'c1')
        )
        while standin.store.revision == 0:
            await asyncio.sleep(0)
        standin.faults = Faults(reject_rate=1.0)
        await asyncio.sleep(0.2)
        standin.faults = Faults()
        assert await pending == 1 and standin.store.revision == 1

    with_platform(scenario)


def test_throttled_write_is_refused_when_it_left_no_trace(with_platform):
    async def scenario(standin, client):
        revision = await client.put('pool', 'a', b'1', None, 'c1')
        for name, expected in (('a', revision), ('b', None)):
            standin.writes.take = lambda now: 1.0
            with pytest.raises(PlatformThrottledError):
                await client.put('pool', name, b'2', expected, 'c2')
        assert standin.store.revision == revision

    with_platform(scenario)


def test_outage_leaves_write_unsure_and_reads_unavailable(
    with_platform, metrics
):
    async def scenario(standin, client):
        standin.faults = Faults(outage=True)
        with pytest.raises(UnsureWriteError, match='c1'):
            await client.put('pool', 'a', b'1', None, 'c1', timeout_s=0.3)
        with pytest.raises(PlatformUnavailableError):
            await client.get('pool', 'a')
        standin.faults = Faults()
        assert await client.put('pool', 'a', b'1', None, 'c1')

    with_platform(scenario)
    assert metrics.value('platform_errors', 'unreachable') >= 2


def test_slow_platform_meets_the_deadline(with_platform):
    async def scenario(standin, client):
        standin.faults = Faults(slow_ms=5_000.0)
        loop = asyncio.get_running_loop()
        start = loop.time()
        with pytest.raises(PlatformUnavailableError):
            await client.get('pool', 'a')
        assert loop.time() - start < 2.0

    with_platform(scenario)


def test_budgets_refuse_at_once(with_platform, metrics):
    async def scenario(standin, client):
        standin.faults = Faults(reject_rate=1.0)
        with pytest.raises(PlatformThrottledError):
            await client.get('pool', 'a')
        with pytest.raises(PlatformThrottledError, match='this process'):
            await client.get('pool', 'a')
        assert sum(standin.calls.by_method.values()) == 1

    with_platform(scenario, calls_per_s=0.01, burst=1)
    assert metrics.value('platform_errors', 'throttled') == 1
    assert metrics.value('platform_errors', 'local_budget') == 1


def test_too_large_value_is_refused(with_platform):
    async def scenario(standin, client):
        with pytest.raises(DeclarationError, match='size'):
            value = b'x' * (MAX_VALUE_BYTES + 1)
            await client.put('pool', 'a', value, None, 'c1')

    with_platform(scenario)


def test_watch_returns_events_at_once_and_compaction(with_platform):
    async def scenario(standin, client):
        revision, events = await client.watch(['pool'], 0, 0.05)
        assert (revision, events) == (0, [])
        pending = asyncio.ensure_future(client.watch(['pool'], 0, 30.0))
        while not standin.calls.waiting:
            await asyncio.sleep(0.01)
        await client.put('other', 'x', b'', None, 'c0')
        first = await client.put('pool', 'a', b'1', None, 'c1')
        revision, events = await pending
        assert [e.name for e in events] == ['a'] and revision == first
        await client.delete('pool', 'a', first, 'c2')
        _, events = await client.watch(['pool'], first, 30.0)
        assert [e.deleted for e in events] == [True]
        standin.store.compact(standin.store.revision)
        with pytest.raises(CompactedError):
            await client.watch(['pool'], first, 1.0)
        assert standin.calls.by_method['WATCH'] == 4

    with_platform(scenario)


def test_vm_list(with_platform):
    async def scenario(standin, client):
        standin.vms = (Vm('v1', '127.0.0.1', 'a', leaving=True),)
        assert await client.vms() == standin.vms

    with_platform(scenario)
