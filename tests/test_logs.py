"""Test what log lines say about unexpected exceptions."""

from __future__ import annotations

import asyncio

import pytest

from sesameward import logs


def fail(depth):
    if depth:
        fail(depth - 1)
    raise AttributeError('me')


# Guards against log lines that name an exception but not where it was raised,
# so that the callback at fault can't be told from others.
def test_origin_of_an_exception_names_the_innermost_calls():
    with pytest.raises(AttributeError) as caught:
        fail(9)
    origin = logs.origin_of(caught.value)
    assert len(origin) == logs.MAX_LOGGED_CALLS
    assert all(call.startswith('test_logs.py:') for call in origin)
    assert origin[-1].endswith(' fail')
    assert logs.origin_of(None) == []


def test_failed_task_is_logged_with_its_origin(events):
    async def run():
        async def work():
            fail(0)

        task = asyncio.ensure_future(work())
        logs.log_failure(task)
        await asyncio.wait([task])
        await asyncio.sleep(0)

    asyncio.run(run())
    ((event, fields),) = events
    assert event == 'task_failed'
    assert fields['where'][-1].endswith(' fail')
