"""Demonstrate the platform path with real node processes.

Each step checks its result.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time

from sesameward.standin.fleet import Fleet
from sesameward.standin.fleet import FleetNode

SHARDS = 6
MAX_CHANGE_S = 3.0


class DemoError(Exception):
    """Report a step of the demo whose check failed."""


def check(passed: bool, description: str) -> None:
    """Print a check that passed; raise DemoError if it failed."""
    if not passed:
        raise DemoError(description)
    print(f'  ok: {description}')


async def count_missing_shards(fleet: Fleet, node: FleetNode) -> int:
    """Query a node; return how many shards its answer lacks."""
    reply = await fleet.ask(node, '/q/demo')
    check(reply.status == 200, f'{node.name} answers a query')
    for name, value in reply.headers:
        if name.lower() == b'sesameward-missing-parts':
            return int(value)
    return 0


async def run_steps(fleet: Fleet) -> None:
    """Run each step of the demo."""
    print('Querying each node:')
    for node in fleet.nodes:
        check(
            await count_missing_shards(fleet, node) == 0,
            'the answer covers all shards',
        )
    print('Adding a route while the store rejects two nodes:')
    fleet.store.faults.busy_for |= {node.name for node in fleet.nodes[:2]}
    fleet.put_config(extra_routes=('/added/',))
    began_at = time.monotonic()
    for node in fleet.nodes:
        while (await fleet.ask(node, '/added/1')).status != 200:
            if time.monotonic() - began_at > MAX_CHANGE_S:
                raise DemoError(
                    f'{node.name} did not get the new route in time'
                )
            await asyncio.sleep(0.05)
    took_s = time.monotonic() - began_at
    check(True, f'the route is in force on all nodes after {took_s:.2f} s')
    fleet.store.faults.busy_for.clear()
    print('Crashing a target:')
    fleet.crash(fleet.services['shard-0'][0])
    check(
        await count_missing_shards(fleet, fleet.nodes[0]) == 0,
        'the answer still covers all shards',
    )
    print('Stopping a node with SIGTERM:')
    node = fleet.nodes[0]
    node.send(signal.SIGTERM)
    while node.is_running:
        await asyncio.sleep(0.05)
    check(node.process.returncode == 0, 'the node exited with code 0')


async def run() -> None:
    """Start the fleet and run the steps."""
    async with Fleet(shards=SHARDS) as fleet:
        await run_steps(fleet)


def main() -> int:
    """Run the demo; return 1 if a step fails."""
    try:
        asyncio.run(run())
    except DemoError as exc:
        print(f'  FAILED: {exc}')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
