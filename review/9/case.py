"""One node is frozen as all servers of a service leave."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import time

from review import deployment_2 as small

HERE = pathlib.Path(__file__).resolve().parent
# With TROUBLE=0 the case is played without its disturbance.
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

DRAIN_S = 3.0
FREEZE_S = 3.5
# The servers go on serving for drain_ms and a little longer.
SERVES_ON_S = 8.0
# Another server leaves just before, so that all nodes have read the store.
BEFORE_S = 0.3
ASK_GAP_S = 0.05


class Case:
    """Play the case and count the requests that reach the servers late."""

    def __init__(self, deployment: small.Deployment):
        self.deployment = deployment
        self.requests: list[asyncio.Task] = []
        self.left_at = 0.0
        self.leaving: list[str] = []

    def config(self) -> dict:
        """Return the configuration."""
        names = ['desk', 'roster', 'shard-0', 'shard-1']
        routes = [
            small.route('browse', '/browse/', service='desk'),
            small.route('roster', '/roster/', service='roster'),
            small.route(
                'sweep',
                '/sweep/',
                gather=names[2:],
                top_k=5,
                min_coverage=0.5,
            ),
        ]
        return {
            'version': 3,
            'routes': routes,
            'services': small.services(names),
            'limits': {'idle_timeout_ms': 15_000},
        }

    async def play(self) -> None:
        """Let the servers leave, freeze a node and ask the others."""
        deployment = self.deployment
        await deployment.wait_until_ready()
        await asyncio.sleep(small.STABLE_WINDOW_S + small.READER_WINDOW_S)
        store = deployment.store
        store.delete('servers', deployment.services['roster'][0])
        await asyncio.sleep(BEFORE_S)
        name = store.reader('servers')
        frozen = next(n for n in deployment.nodes if n.name == name)
        frozen_at = time.monotonic()
        if HAS_TROUBLE:
            frozen.send(signal.SIGSTOP)
            deployment.record('frozen', node=name)
        self.left_at = time.monotonic()
        self.leaving = list(deployment.services['desk'])
        for target_id in self.leaving:
            store.delete('servers', target_id)
            deployment.record('entry_removed', server=target_id)
        calm = [n for n in deployment.nodes if n is not frozen]
        is_frozen = True
        while time.monotonic() < self.left_at + SERVES_ON_S:
            if is_frozen and time.monotonic() >= frozen_at + FREEZE_S:
                frozen.send(signal.SIGCONT)
                deployment.record('continued', node=name)
                is_frozen = False
            for node in calm:
                self.requests.append(asyncio.create_task(self.ask(node)))
            await asyncio.sleep(ASK_GAP_S)
        await asyncio.gather(*self.requests)

    async def ask(self, node) -> None:
        """Send a request on the route to the service."""
        deployment = self.deployment
        request_id = deployment.request_id()
        sent_s = time.monotonic() - self.left_at
        try:
            reply = await deployment.ask(
                node, '/browse/1', request_id, deadline_ms=1_500
            )
            status = reply.status
        except Exception as exc:
            status = repr(exc)
        deployment.record(
            'asked',
            node=node.name,
            id=request_id,
            sent_after_s=round(sent_s, 3),
            status=status,
        )

    def late_arrivals(self) -> list[float]:
        """Return the times after the removal at which requests came late."""
        times = [
            arrival.at - self.left_at
            for target_id in self.leaving
            for arrival in self.deployment.targets[target_id].arrivals
        ]
        return sorted(after_s for after_s in times if after_s > DRAIN_S)


class LeavingDeployment(small.Deployment):
    """Run a second service beside the first one."""

    async def start_targets(self) -> None:
        """Start the servers."""
        await super().start_targets()
        for zone in ('zone-a', 'zone-b'):
            await self.add_target('roster', zone)

    def put_config(self, *args: object, **fields: object) -> int:
        """Write the configuration."""
        self.case = Case(self)
        self.write_config(self.case.config())
        return 0


async def run() -> tuple[int, str]:
    """Return the exit code and a line about the result."""
    deployment = LeavingDeployment(HERE / 'record.txt')
    async with deployment:
        case = deployment.case
        await case.play()
        late = case.late_arrivals()
        text = (
            f'{len(late)} of {len(case.requests)} requests reached a server '
            'later than drain_ms after the store had removed its entry'
        )
        if late:
            text += f'; the last after {late[-1]:.2f} s'
        deployment.record('result', text=text)
    if late:
        return small.EXIT_BROKEN, f'DRAIN broken: {text}'
    return small.EXIT_HELD, f'held: {text}'


if __name__ == '__main__':
    small.main(run)
