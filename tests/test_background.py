"""Test that background loops are restarted after unexpected exceptions."""

import asyncio
import functools
import random

import pytest

from sesameward.background import call_all
from sesameward.background import keep_running
from sesameward.background import Supervisor
from sesameward.metrics import Metrics
from sesameward.serving.latest_task import LatestTask


def test_failed_loop_is_restarted_until_it_returns():
    faults = []
    results = [RecursionError(), ValueError(), None]

    async def run_loop():
        result = results.pop(0)
        if result is not None:
            raise result

    asyncio.run(keep_running(run_loop, faults.append, random.Random(1), 0.001))
    assert [type(one) for one in faults] == [RecursionError, ValueError]


def test_cancelled_loop_is_not_restarted():
    starts = []

    async def run_loop():
        starts.append(1)
        await asyncio.sleep(10.0)

    async def main():
        task = asyncio.ensure_future(
            keep_running(run_loop, starts.append, random.Random(1), 0.001)
        )
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return task.cancelled()

    assert asyncio.run(main())
    assert starts == [1]


def supervise(scenario):
    """Run a scenario with a supervisor; return its metrics."""
    metrics = Metrics('t')

    async def main():
        supervisor = Supervisor(metrics, random.Random(1), max_pause_s=0.001)
        try:
            await scenario(supervisor)
        finally:
            await asyncio.gather(*supervisor.stop(), return_exceptions=True)

    asyncio.run(main())
    return metrics


# Guards against a loop that ends because another task cancelled what it
# awaited: a cancelled task is reported nowhere.
def test_loop_is_restarted_after_a_cancellation_by_others():
    starts = []

    async def scenario(supervisor):
        async def run_loop():
            starts.append(1)
            if len(starts) == 1:
                work = asyncio.ensure_future(asyncio.sleep(10.0))
                asyncio.get_running_loop().call_soon(work.cancel)
                await work
            await asyncio.sleep(10.0)

        supervisor.start_loop('loop', run_loop)
        await asyncio.sleep(0.05)

    metrics = supervise(scenario)
    assert len(starts) == 2
    assert metrics.value('loops_restarted', 'loop') == 1


# Guards against a loop that ends by an early return.
def test_loop_that_returns_is_restarted():
    starts = []

    async def scenario(supervisor):
        async def run_loop():
            starts.append(1)
            if len(starts) > 1:
                await asyncio.sleep(10.0)

        supervisor.start_loop('loop', run_loop)
        await asyncio.sleep(0.05)

    metrics = supervise(scenario)
    assert len(starts) == 2
    assert metrics.value('loops_restarted', 'loop') == 1


def test_loop_fails_until_it_has_done_a_whole_round():
    async def scenario(supervisor):
        async def run_loop():
            raise ValueError

        assert supervisor.failing_s('loop') == 0.0
        supervisor.start_loop('loop', run_loop)
        await asyncio.sleep(0.05)
        first_s = supervisor.failing_s('loop')
        await asyncio.sleep(0.05)
        assert supervisor.failing_s('loop') > first_s > 0.0
        supervisor.stop()
        await asyncio.sleep(0.0)
        supervisor.record_round('loop')
        assert supervisor.failing_s('loop') == 0.0

    supervise(scenario)


def test_failure_of_other_work_is_counted_and_logged(events):
    async def scenario(supervisor):
        async def work():
            raise ValueError

        supervisor.start('work', work())
        await asyncio.sleep(0.01)

    metrics = supervise(scenario)
    assert metrics.value('tasks_failed', 'work') == 1
    ((event, fields),) = events
    assert (event, fields['task']) == ('task_failed', 'work')


# Guards against a newest item that is not handled because an earlier one
# failed.
def test_item_that_waits_is_handled_after_a_failure(events):
    handled = []

    async def scenario(supervisor):
        async def handle(item):
            await asyncio.sleep(0.01)
            if item == 1:
                raise ValueError
            handled.append(item)

        latest = LatestTask('items', handle, supervisor, metrics)
        latest.put(1)
        await asyncio.sleep(0.0)
        latest.put(2)
        latest.put(3)
        await asyncio.sleep(0.05)

    metrics = Metrics('t')
    supervise(scenario)
    assert handled == [3]
    assert metrics.value('tasks_failed', 'items') == 1
    assert [event for event, _ in events] == ['task_failed']


def test_all_calls_are_made_and_the_first_failure_is_raised():
    made = []

    def fail(number):
        made.append(number)
        if number in (1, 2):
            raise ValueError(number)

    with pytest.raises(ValueError, match='1'):
        call_all(functools.partial(fail, number) for number in range(4))
    assert made == [0, 1, 2, 3]
