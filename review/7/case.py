"""Another writer keeps an entry of the largest size that can't be read."""

from __future__ import annotations

import asyncio
import os
import pathlib
import time

import msgspec

from review import deployment_2 as small

HERE = pathlib.Path(__file__).resolve().parent
# With TROUBLE=0 the case is played without its disturbance.
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

TIMEOUT_S = 0.4
# The rule looks at the requests this long after the route's timeout.
LATE_S = 0.5
CALM_S = 2.0
# The entry is written as often as servers write theirs.
HEARTBEAT_S = 1.2
WRITES = 8
LENGTH_S = 14.0
ASK_GAP_S = 0.1
CLIENT_WAIT_S = 8.0
EMPTY_ARRAYS = 349_000


def entry(number: int) -> msgspec.Raw:
    """Return an entry with half a character and many empty arrays."""
    return msgspec.Raw(
        b'{"service":"\\ud800","seq":%d,"zone":[%s]}'
        % (number, b','.join([b'[]'] * EMPTY_ARRAYS))
    )


class Case:
    """Play the case and time the answers."""

    def __init__(self, deployment: small.Deployment):
        self.deployment = deployment
        self.tasks: list[asyncio.Task] = []
        # For each request, the seconds until its end.
        self.took_s: list[float] = []

    def config(self) -> dict:
        """Return the configuration."""
        names = ['desk', 'shard-0', 'shard-1']
        return {
            'version': 3,
            'routes': [
                small.route(
                    'browse',
                    '/browse/',
                    service='desk',
                    timeout_ms=int(TIMEOUT_S * 1_000),
                ),
                small.route(
                    'sweep',
                    '/sweep/',
                    gather=names[1:],
                    top_k=5,
                    min_coverage=0.5,
                ),
            ],
            'services': small.services(names),
            'limits': {'idle_timeout_ms': 15_000},
        }

    async def play(self) -> None:
        """Send requests to all nodes while the entry is written."""
        deployment = self.deployment
        await deployment.wait_until_ready()
        await asyncio.sleep(small.STABLE_WINDOW_S + 1.0)
        began_at = time.monotonic()
        writes = 0
        while time.monotonic() < began_at + LENGTH_S:
            now = time.monotonic()
            is_due = now >= began_at + CALM_S + writes * HEARTBEAT_S
            if HAS_TROUBLE and writes < WRITES and is_due:
                writes += 1
                spec = entry(writes)
                deployment.store.put('servers', 'i-other', spec)
                deployment.record('entry', bytes=len(bytes(spec)))
            for node in deployment.nodes:
                self.tasks.append(asyncio.create_task(self.ask(node)))
            await asyncio.sleep(ASK_GAP_S)
        await asyncio.gather(*self.tasks)

    async def ask(self, node) -> None:
        """Send a request and record how long it has no answer."""
        deployment = self.deployment
        request_id = deployment.request_id()
        sent_at = time.monotonic()
        try:
            reply = await deployment.ask(
                node,
                '/browse/1',
                request_id,
                timeout_s=CLIENT_WAIT_S,
                deadline_ms=int(TIMEOUT_S * 1_000),
            )
            status = str(reply.status)
        except Exception as exc:
            status = type(exc).__name__
        took_s = time.monotonic() - sent_at
        self.took_s.append(took_s)
        deployment.record(
            'asked',
            node=node.name,
            id=request_id,
            status=status,
            took_s=round(took_s, 3),
        )


class OtherWriterDeployment(small.Deployment):
    """Run a service of two servers, and two shards."""

    def put_config(self, *args: object, **fields: object) -> int:
        """Write the configuration."""
        self.case = Case(self)
        self.write_config(self.case.config())
        return 0


async def run() -> tuple[int, str]:
    """Return the exit code and a line about the result."""
    deployment = OtherWriterDeployment(HERE / 'record.txt')
    async with deployment:
        case = deployment.case
        await case.play()
        unanswered = [one for one in case.took_s if one > TIMEOUT_S]
        late = [one for one in unanswered if one > TIMEOUT_S + LATE_S]
        still_s = {
            node.name: [one['for_s'] for one in node.lines('stood_still')]
            for node in deployment.nodes
        }
        text = (
            f'{len(late)} of {len(unanswered)} requests without an answer at '
            f'timeout_ms had none half a second later, of {len(case.took_s)} '
            f'in all; the longest took {max(case.took_s):.2f} s; the nodes '
            f'stood still for seconds: {still_s}'
        )
        deployment.record('result', text=text)
    if len(late) > len(unanswered) / 2 and len(late) > 20:
        return small.EXIT_BROKEN, f'CONFIG broken: {text}'
    return small.EXIT_HELD, f'held: {text}'


if __name__ == '__main__':
    small.main(run)
