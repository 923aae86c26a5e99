"""Play case 1: a full, faulty server repeats a refusal late."""

from __future__ import annotations

import asyncio
import collections
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from review import fleet  # noqa: E402
from review.server import Server  # noqa: E402

SERVICE = 'teacher-portal'
PATH = '/book/'
OTHER_SERVICES = {'hall-roster': 4, 'repertoire': 2}
# The server is faulty for 5 s at a time, as the site's days have it.
FAULTY_S = 5.0
PAUSE_S = 2.0
TIMES = 7
REQUESTS_PER_S = 200.0
# One in this many answers of the faulty server is sent a second time, that is
# 0.03 of them, as in the site's line for `garble` with `extra late`.
ANSWERS_PER_COPY = 34
REFUSALS = (408, 421, 429, 503)


async def play() -> int:
    trouble = os.environ.get('TROUBLE', '1') != '0'
    lines: list[str] = []
    answered: dict[str, int | None] = {}

    async def send(system: fleet.Fleet, node: fleet.Node) -> None:
        request_id = system.next_id()
        body = b'{"slot": "' + request_id.encode() + b'"}'
        lines.append(
            f'{time.monotonic():.4f} client sends {request_id} to {node.name}'
        )
        got = await system.ask(node, PATH + 'x', request_id, body)
        answered[request_id] = None if got is None else got.status
        lines.append(
            f'{time.monotonic():.4f} client gets {answered[request_id]} for '
            f'{request_id}'
        )

    async def press(system: fleet.Fleet) -> None:
        while True:
            node = system.rng.choice(system.nodes)
            tasks.append(asyncio.ensure_future(send(system, node)))
            await asyncio.sleep(system.rng.expovariate(REQUESTS_PER_S))

    tasks: list[asyncio.Future] = []
    async with fleet.Fleet(nodes=3) as system:
        for index, zone in enumerate(fleet.ZONES):
            server = Server(
                f'i-desk{index}', SERVICE, slots=2, queue=2, work_s=0.008
            )
            await system.add_server(server, zone)
        routes = [fleet.single_route('book', PATH, SERVICE, 'unsafe')]
        for service, count in OTHER_SERVICES.items():
            for index in range(count):
                server = Server(f'i-{service}{index}', service)
                await system.add_server(server, fleet.ZONES[index % 2])
            path = f'/{service}/'
            routes.append(fleet.single_route(service, path, service, 'safe'))
        system.put_config(1, routes)
        await system.start_nodes()
        # One server leaves as planned, with and without trouble.
        await system.take_away(system.servers[1], fleet.ZONES[1])
        faulty = system.servers[0]
        pressing = asyncio.ensure_future(press(system))
        for _ in range(TIMES):
            await asyncio.sleep(PAUSE_S)
            faulty.late_copies = ANSWERS_PER_COPY if trouble else 0
            await asyncio.sleep(FAULTY_S)
            faulty.late_copies = 0
        pressing.cancel()
        await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
        runs = collections.Counter(
            run.request_id for server in system.servers for run in server.runs
        )
        refused = sum(
            sum(server.refused.values()) for server in system.servers
        )
        copies = sum('second copy' in line for line in faulty.lines)
        for server in system.servers:
            lines += server.lines
    served = sum(status == 200 for status in answered.values())
    if not served or not refused:
        raise fleet.CannotRunError('nothing was served or nothing refused')
    twice = sorted(one for one, count in runs.items() if count > 1)
    lied = sorted(
        one
        for one, status in answered.items()
        if status in REFUSALS and runs[one]
    )
    result = (
        f'trouble={trouble} requests={len(answered)} served={served} '
        f'refused_by_servers={refused} late_copies={copies} of '
        f'{faulty.answers} answers while faulty\n'
        f'TWICE: {len(twice)} requests ran more than once: {twice}\n'
        f'REFUSED: {len(lied)} requests were refused and ran: {lied}'
    )
    print(result)
    record = pathlib.Path(__file__).parent / 'record.txt'
    record.write_text('\n'.join([result, *sorted(lines)]) + '\n')
    return 1 if twice or lied else 0


if __name__ == '__main__':
    sys.exit(fleet.run(play))
