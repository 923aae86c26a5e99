"""Run scenarios on a fleet of real nodes with simulated store and targets."""

import asyncio
import functools
import time

from sesameward.standin.fleet import Fleet
from tests import promises

SHARDS = 4


def with_fleet(**kwargs):
    """Make a test of a coroutine function that takes a ready fleet."""

    def wrap(scenario):
        @functools.wraps(scenario)
        def run():
            async def main():
                async with Fleet(shards=SHARDS, **kwargs) as fleet:
                    await scenario(fleet)

            asyncio.run(main())

        # Otherwise pytest takes the scenario's parameter for a fixture.
        del run.__wrapped__
        return run

    return wrap


async def query_coverage(fleet, node, path='/q/1'):
    """Return how many shards a reply covers, or its status if not 200."""
    request_id = fleet.request_id()
    reply = await fleet.ask(node, path, request_id)
    if reply.status != 200:
        return reply.status
    return promises.check_query(fleet, reply, path, request_id, SHARDS)


async def wait_until(condition, timeout_s):
    started_at = time.monotonic()
    while not await condition():
        assert time.monotonic() - started_at < timeout_s, (
            'the awaited condition did not hold in time'
        )
        await asyncio.sleep(0.03)
    return time.monotonic() - started_at
