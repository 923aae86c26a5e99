"""Test that background loops are restarted after unexpected exceptions."""

import asyncio
import random

from sesameward.background import keep_running


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
