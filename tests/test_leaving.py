"""Test the graceful shutdown of an entry."""

from __future__ import annotations

import asyncio

from sesameward.controllers.leaving import Leaving
from sesameward.controllers.leaving import Stage


def test_waits_for_what_is_in_flight():
    async def run():
        leaving = Leaving()
        work = asyncio.get_running_loop().create_future()
        leaving.track(work)
        stages = []
        task = asyncio.ensure_future(
            leaving.run(0.01, 5.0, lambda: stages.append(leaving.stage))
        )
        while leaving.stage is not Stage.CLOSING:
            await asyncio.sleep(0.01)
        assert not task.done()
        assert leaving.in_flight == 1
        work.set_result(None)
        assert await task == 0
        assert stages == [Stage.LEAVING]

    asyncio.run(run())


def test_tells_what_is_left_at_the_limit():
    async def run():
        leaving = Leaving()
        leaving.track(asyncio.get_running_loop().create_future())
        assert await leaving.run(0.0, 0.02, lambda: None) == 1

    asyncio.run(run())
