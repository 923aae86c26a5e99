"""Play case 4: an entry of another writer comes and goes."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from review import fleet  # noqa: E402
from review.server import Server  # noqa: E402

FIRST_PATH = '/pupil/'
LATER_PATH = '/hall/'
# The service is a list in a list in a list, and so on, instead of a name.
DEPTH = 3_000
FORGED_ENTRY = (
    '{"service": %s, "address": "127.0.0.1:1", "zone": "zone-a", '
    '"version": "v1", "slots": 2, "state": "ready", "warmup_left_ms": 0, '
    '"seq": 1, "born": 1}'
) % ('[' * DEPTH + ']' * DEPTH)
CALM_S = 6.0
ENTRY_S = 8.0
# Time from the removal of the entry until the new service starts, and from
# there until the route to it is added.
SETTLE_S = 8.0
START_S = 3.0
# Time after the confirmation of the new route from which requests count.
STEADY_S = fleet.BOUNDS['config_ms'] / 1_000 + 5.0
ASKED = 90
PAUSE_S = 0.05


async def play() -> int:
    trouble = os.environ.get('TROUBLE', '1') != '0'
    lines: list[str] = []
    served: dict[str, int] = {FIRST_PATH: 0, LATER_PATH: 0}

    def note(text: str) -> None:
        lines.append(f'{time.monotonic():.3f} {text}')

    async def send(system: fleet.Fleet, number: int, path: str) -> None:
        node = system.nodes[number % len(system.nodes)]
        request_id = system.next_id()
        got = await system.ask(node, f'{path}{number}', request_id)
        status = None if got is None else got.status
        served[path] += status == 200
        note(f'{node.name} {path} {request_id}: {status}')

    async with fleet.Fleet(nodes=3) as system:

        async def add_service(name: str) -> None:
            for zone in fleet.ZONES:
                server = Server(f'i-{len(system.servers):08x}', name)
                await system.add_server(server, zone)

        await add_service('teacher-portal')
        first = fleet.single_route(
            'pupil', FIRST_PATH, 'teacher-portal', 'safe'
        )
        later = fleet.single_route('hall', LATER_PATH, 'hall-roster', 'safe')
        system.put_config(1, [first])
        await system.start_nodes()
        await asyncio.sleep(CALM_S)
        if trouble:
            note('another writer writes an entry')
            system.store.put_text('servers', 'i-other', FORGED_ENTRY)
        await asyncio.sleep(ENTRY_S)
        if trouble:
            note('the entry is removed')
            system.store.delete('servers', 'i-other')
        await asyncio.sleep(SETTLE_S)
        note('servers of another service start')
        await add_service('hall-roster')
        await asyncio.sleep(START_S)
        note('the store confirms a version that adds a route to them')
        system.put_config(3, [first, later])
        await asyncio.sleep(STEADY_S)
        tasks = []
        for number in range(ASKED):
            for path in served:
                tasks.append(asyncio.ensure_future(send(system, number, path)))
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*tasks)
        errors = [
            line.get('error')
            for node in system.nodes
            for line in node.events('task_failed')
        ]
        versions = [
            node.events('routes_in_force')[-1].get('version')
            for node in system.nodes
        ]
    if served[FIRST_PATH] < ASKED / 2:
        raise fleet.CannotRunError('the first route was not served')
    broken = served[LATER_PATH] < 0.25 * served[FIRST_PATH]
    result = (
        f'trouble={trouble} versions in force: {versions}\n'
        f'CONFIG: of {ASKED} requests each, served on the first route: '
        f'{served[FIRST_PATH]}, on the route added later: '
        f'{served[LATER_PATH]}\n'
        f'failed tasks: {errors}'
    )
    print(result)
    record = pathlib.Path(__file__).parent / 'record.txt'
    record.write_text('\n'.join([result, *sorted(lines)]) + '\n')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(fleet.run(play))
