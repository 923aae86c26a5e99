"""Test in which order the parts of a process are started and stopped."""

from __future__ import annotations

import asyncio
import time

import pytest

from sesameward.metrics import Metrics
from sesameward.serving.lifecycle import Lifecycle
from sesameward.serving.lifecycle import Part
from sesameward.serving.lifecycle import Stage

NAMES = ('sockets', 'peers', 'callers')
TIMEOUT_S = 2.0


class Recorder:
    """Record what a lifecycle does; act at one of these moments.

    A moment is for example 'start peers', 'leave' or 'stop peers'.
    """

    def __init__(self, moment=None, act=lambda lifecycle: None):
        self.done = []
        self.metrics = Metrics('test')
        self.lifecycle = Lifecycle(self.metrics, time.monotonic)
        self._moment = moment
        self._act = act

    def _record(self, moment):
        async def record():
            self.done.append(moment)
            if moment == self._moment:
                self._act(self.lifecycle)

        return record

    async def run(self):
        parts = [
            Part(name, self._record(f'start {name}'), self._stop(name))
            for name in NAMES
        ]
        await self.lifecycle.run(
            parts,
            {name: self._record(name) for name in ('leave', 'wait')},
        )

    def _stop(self, name):
        # Stops may be plain functions.
        def stop():
            self.done.append(f'stop {name}')
            if self._moment == f'stop {name}':
                self._act(self.lifecycle)

        return stop


def run(recorder, stop_after=None):
    """Run a lifecycle; request its stop once this moment has passed."""

    async def main():
        async with asyncio.timeout(TIMEOUT_S):
            running = asyncio.ensure_future(recorder.run())
            while stop_after is not None and not running.done():
                if stop_after in recorder.done:
                    recorder.lifecycle.request_stop('SIGTERM')
                    break
                await asyncio.sleep(0)
            await running

    asyncio.run(main())
    return recorder.done


# Guards against parts that are started after the request to stop, and against
# those that were started and are not stopped.
@pytest.mark.parametrize('requests', [1, 2])
@pytest.mark.parametrize('count', [1, 2, 3])
def test_no_part_is_started_after_the_request_to_stop(count, requests):
    def request(lifecycle):
        for _ in range(requests):
            lifecycle.request_stop('SIGTERM')

    recorder = Recorder(f'start {NAMES[count - 1]}', request)
    started = NAMES[:count]
    assert run(recorder) == [
        *(f'start {name}' for name in started),
        'leave',
        'wait',
        *(f'stop {name}' for name in reversed(started)),
    ]
    assert recorder.lifecycle.stage is Stage.STOPPED
    assert not any(
        recorder.lifecycle.has_started(name) for name in NAMES[count:]
    )


def test_request_before_the_first_part_starts_nothing():
    recorder = Recorder()
    recorder.lifecycle.request_stop('SIGTERM')
    assert run(recorder) == ['leave', 'wait']


@pytest.mark.parametrize('moment', ['leave', 'wait'])
def test_request_while_leaving_changes_nothing(moment):
    recorder = Recorder(moment, lambda one: one.request_stop('SIGINT'))
    done = run(recorder, stop_after='start callers')
    assert done.count('leave') == done.count('wait') == 1
    assert done[-len(NAMES) :] == [f'stop {name}' for name in NAMES[::-1]]


# Guards against a process that goes on with half of its parts, or cuts off
# requests in flight, because one step of leaving or stopping fails.
@pytest.mark.parametrize('moment', ['leave', 'wait', 'stop callers'])
def test_failure_while_leaving_or_stopping_skips_nothing(moment):
    def fail(lifecycle):
        raise RuntimeError(moment)

    recorder = Recorder(moment, fail)
    assert run(recorder, stop_after='start callers')[len(NAMES) :] == [
        'leave',
        'wait',
        *(f'stop {name}' for name in reversed(NAMES)),
    ]
    name = moment.removeprefix('stop ')
    assert recorder.metrics.value('stop_faults', name) == 1


# Guards against parts that stay as they are, such as a node that others still
# take for a member, because the start of a later part failed.
def test_parts_before_one_that_does_not_start_are_stopped():
    def fail(lifecycle):
        raise OSError('address in use')

    recorder = Recorder('start peers', fail)
    with pytest.raises(OSError, match='address in use'):
        run(recorder)
    assert recorder.done == [
        'start sockets',
        'start peers',
        'stop peers',
        'stop sockets',
    ]
