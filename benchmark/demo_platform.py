"""Show the users' platform path with separate processes, checking it."""

from __future__ import annotations

import asyncio
import signal
import sys
import time

from sesameward.standin.fleet import Fleet
from sesameward.standin.fleet import FleetNode

SHARDS = 6
CHANGE_S = 3.0


class DemoError(Exception):
    """Report a step that did not hold."""


def check(holds: bool, what: str) -> None:
    """Print what holds; raise DemoError where it doesn't."""
    if not holds:
        raise DemoError(what)
    print(f'  ok: {what}')


async def missing(fleet: Fleet, node: FleetNode) -> int:
    """Return how many shards an answer leaves out."""
    reply = await fleet.ask(node, '/q/demo')
    check(reply.status == 200, f'{node.name} answers a query')
    for name, value in reply.headers:
        if name.lower() == b'sesameward-missing-parts':
            return int(value)
    return 0


async def show(fleet: Fleet) -> None:
    """Play each step."""
    print('Each node answers from all shards:')
    for node in fleet.nodes:
        check(await missing(fleet, node) == 0, 'no shard is missing')
    print('The store turns two nodes away while the routes change:')
    fleet.store.faults.busy_for |= {node.name for node in fleet.nodes[:2]}
    fleet.put_config(extra_routes=('/added/',))
    begun = time.monotonic()
    for node in fleet.nodes:
        while (await fleet.ask(node, '/added/1')).status != 200:
            if time.monotonic() - begun > CHANGE_S:
                raise DemoError(f'{node.name} lacks the new route')
            await asyncio.sleep(0.05)
    took_s = time.monotonic() - begun
    check(True, f'the new route is in force on all after {took_s:.2f} s')
    fleet.store.faults.busy_for.clear()
    print('A target crashes without a word:')
    fleet.crash(fleet.services['shard-0'][0])
    check(await missing(fleet, fleet.nodes[0]) == 0, 'its shard is there')
    print('A node leaves:')
    node = fleet.nodes[0]
    node.send(signal.SIGTERM)
    while node.is_running:
        await asyncio.sleep(0.05)
    check(node.process.returncode == 0, 'it ended by itself')


async def run() -> None:
    """Start everything and play the steps."""
    async with Fleet(shards=SHARDS) as fleet:
        await show(fleet)


def main() -> int:
    """Return 0 only where each step held."""
    try:
        asyncio.run(run())
    except DemoError as exc:
        print(f'  NOT: {exc}')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
