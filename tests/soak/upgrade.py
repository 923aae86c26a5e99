"""Run nodes of an earlier build beside nodes of this one, and check both.

The configuration has organisations with limits; zones are evacuated and
targets are cold. Nodes of this build must keep the rules for all requests that
callers send to them, also where nodes of the earlier build help. Nodes of both
builds must answer, and read each other's messages without errors. The nodes
are upgraded one after the other, and one of them is taken back.

Example: python -m tests.soak.upgrade
"""

from __future__ import annotations

import asyncio
import collections
import json
import pathlib
import re
import signal
import subprocess
import sys
import time

import defopt

from sesameward.exceptions import PlatformUnavailableError
from sesameward.serving.http_caller import HttpCaller
from sesameward.standin.fleet import Fleet
from sesameward.standin.fleet import FleetNode
from sesameward.standin.fleet import INTERNAL_PORTS
from sesameward.standin.fleet import ZONES
from tests import promises
from tests.soak.hard_load import KEY_HEADER
from tests.soak.hard_load import SECRET
from tests.soak import hard_load_checks as checks
from tests.soak.hard_load_checks import Limit
from tests.soak.hard_load_checks import Span

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEFAULT_COMMIT = '4e5bcbe'
DEFAULT_FOLDER = ROOT / 'build' / 'previous'
SHARDS = 4
# For each stage: which nodes run this build.
STAGES = ((2,), (1, 2), (1,), (0, 1, 2))
# Time after a node was replaced until the others know it.
SETTLE_S = 3.0
# A process that was started anew has its share of a limit after some 4 s.
RAMP_S = 5.0
RATE_PER_S = 6.0
FLOOD_PER_S = 60.0
FLOOD_S = 7.0
EVACUATED_S = 2.5
BACK_S = 4.0
COLD_S = 6.0
SILENT_S = 4.0
FREE_KEY = f'{SECRET}free'
LIMITED_KEY = f'{SECRET}limited'
FORMER_KEY = f'{SECRET}former'
ROUNDS = 5
# Events and counters that tell that a message or object was not understood,
# or that the node's own code has failed.
FAULT_EVENTS = (
    'handler_fault',
    'list_refused',
    'loop_fault',
    'object_undecodable',
    'pull_refused',
    'routes_refused',
    'rumor_refused',
    'stop_fault',
    'task_failed',
    'watch_refused',
)
FAULT_COUNTERS = (
    'datagrams_refused',
    'handler_faults',
    'loop_faults',
    'messages_cut',
    'rumors_refused',
)


def prepare(folder: pathlib.Path, commit: str) -> tuple[str, tuple[str, ...]]:
    """Check out a build and make its environment, unless that was done.

    Return its Python interpreter and the folders that it imports from.
    """
    if not folder.exists():
        subprocess.run(
            ['git', 'worktree', 'add', '--detach', str(folder), commit],
            cwd=ROOT,
            check=True,
        )
    subprocess.run(['make', '-s', 'env'], cwd=folder, check=True)
    python = str(folder / '.venv' / 'bin' / 'python')
    found = subprocess.run(
        [python, '-c', 'import json, sys; print(json.dumps(sys.path[1:]))'],
        cwd=folder,
        check=True,
        capture_output=True,
    )
    return python, (str(folder), *json.loads(found.stdout))


class UpgradeFleet(Fleet):
    """Run a fleet in which each node runs one of two builds."""

    def __init__(self, python: str, import_path: tuple[str, ...]):
        super().__init__(
            shards=SHARDS,
            bounds={
                'evac_ms': int(checks.EVAC_S * 1_000),
                'warmup_overshoot': checks.WARMUP_OVERSHOOT,
                'warmup_slack': checks.WARMUP_SLACK,
            },
            service_fields={
                'warmup_s': 20,
                'warmup_per_s': checks.WARMUP_PER_S,
            },
        )
        self._earlier = python, import_path
        self._present = sys.executable, tuple(sys.path)
        self.upgraded: set[str] = set()
        self.keys = [FREE_KEY, FORMER_KEY]
        self.limit = Limit(RATE_PER_S, RATE_PER_S, 0.0)

    def select_build(self, node: FleetNode) -> None:
        """Set the build of a node to the one that it runs at this stage."""
        is_upgraded = node.name in self.upgraded
        node.python, node.import_path = (
            self._present if is_upgraded else self._earlier
        )

    def put_config(self, *args: object, **fields) -> int:
        """Write a configuration with organisations."""
        tenants = [
            {'name': 'free', 'api_keys': self.keys},
            {
                'name': 'limited',
                'api_keys': [LIMITED_KEY],
                'rate_per_s': RATE_PER_S,
                'burst': RATE_PER_S,
            },
        ]
        return super().put_config(
            *args, extra_routes=('/public/',), tenants=tenants, **fields
        )

    def upgraded_nodes(self) -> list[FleetNode]:
        """Return the nodes of this build."""
        return [node for node in self.nodes if node.name in self.upgraded]

    async def restart(self, node: FleetNode, number: signal.Signals) -> None:
        """Stop a node and start it with the build of this stage."""
        node.send(number)
        await asyncio.to_thread(node.process.wait)
        self.select_build(node)
        node.start()


class Upgrade:
    """Play the stages; problems are the broken promises."""

    def __init__(self, fleet: UpgradeFleet):
        self._fleet = fleet
        self.problems: list[str] = []
        self._stage = ''
        self.figures: collections.Counter[str] = collections.Counter()

    async def play(self) -> None:
        """Play all stages and read the logs of all nodes."""
        fleet = self._fleet
        for stage in STAGES:
            upgraded = {fleet.nodes[index].name for index in stage}
            self._stage = f'this build on {sorted(upgraded)}'
            changed = [
                node
                for node in fleet.nodes
                if (node.name in upgraded) != (node.name in fleet.upgraded)
            ]
            fleet.upgraded = upgraded
            for node in changed:
                await fleet.restart(node, signal.SIGTERM)
                await fleet.wait_until_ready()
            await asyncio.sleep(max(SETTLE_S, RAMP_S))
            for check in (
                self._check_answers,
                self._check_keys,
                self._check_limit,
                self._check_evacuation,
                self._check_cold,
                self._check_counters,
                self._check_withdrawn_key,
                self._check_counters,
            ):
                try:
                    await check()
                except (AssertionError, PlatformUnavailableError) as exc:
                    self.problems.append(
                        f'{self._stage}: {check.__name__}: {exc!r}'
                    )
        self._check_logs()

    async def _ask(
        self,
        node: FleetNode,
        kind: str,
        key: str = FREE_KEY,
        request_id: str | None = None,
    ):
        return await self._fleet.ask(
            node,
            f'/{kind}/1',
            request_id,
            headers=((KEY_HEADER, key), ('sesameward-TENANT', 'forged')),
        )

    async def _check_answers(self) -> None:
        """Check that nodes of both builds answer all kinds of requests."""
        fleet = self._fleet
        for node in ROUNDS * fleet.nodes:
            for kind in ('q', 'once', 'safe', 'public'):
                request_id = fleet.request_id()
                reply = await self._ask(node, kind, request_id=request_id)
                assert reply.status == 200, f'{node.name}: {kind}: {reply}'
                if kind == 'q':
                    shards = promises.check_query(
                        fleet, reply, '/q/1', request_id, SHARDS
                    )
                    assert shards == SHARDS, f'{node.name}: {shards} shards'
                self.figures[f'{kind} answered'] += 1

    async def _check_keys(self) -> None:
        """Check what targets get from nodes of this build."""
        fleet = self._fleet
        ids = set()
        for node in ROUNDS * fleet.upgraded_nodes():
            for kind in ('q', 'once', 'safe', 'public'):
                request_id = fleet.request_id()
                ids.add(request_id)
                await self._ask(node, kind, request_id=request_id)
            reply = await self._ask(node, 'q', f'{SECRET}forged')
            assert reply.status == 401, f'{node.name}: forged key: {reply}'
        runs = self._runs(ids)
        checks.check_identity(runs, {}, {'free'}, SECRET)
        self.figures['runs of this build checked'] += len(runs)

    def _runs(self, request_ids: set[str]) -> list:
        return [
            run
            for target in self._fleet.targets.values()
            for run in target.runs
            if run.request_id in request_ids
        ]

    async def _load(
        self, kinds: tuple[str, ...], key: str, per_s: float, length_s: float
    ) -> dict[str, int]:
        """Load the nodes of this build; return the statuses by request id."""
        fleet = self._fleet
        statuses: dict[str, int] = {}

        async def send(number: int) -> None:
            nodes = fleet.upgraded_nodes()
            request_id = fleet.request_id()
            reply = await self._ask(
                nodes[number % len(nodes)],
                kinds[number % len(kinds)],
                key,
                request_id,
            )
            statuses[request_id] = reply.status

        tasks = []
        for number in range(int(per_s * length_s)):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(1.0 / per_s)
        await asyncio.gather(*tasks)
        return statuses

    async def _check_limit(self) -> None:
        """Check that nodes of this build keep to a limit together."""
        statuses = await self._load(
            ('safe', 'once', 'q'), LIMITED_KEY, FLOOD_PER_S, FLOOD_S
        )
        assert set(statuses.values()) <= {200, 429}, collections.Counter(
            statuses.values()
        )
        first_at: dict[str, float] = {}
        for run in self._runs(set(statuses)):
            first_at.setdefault(run.request_id, run.at)
            assert statuses[run.request_id] != 429, 'a refused request ran'
        most = checks.check_quota(first_at.values(), [self._fleet.limit])
        assert first_at, 'no request of the limited organisation ran'
        self.figures[f'{self._stage}: most in a window'] = most

    async def _check_evacuation(self) -> None:
        """Check that nodes of this build leave out an evacuated zone."""
        fleet = self._fleet
        for zone in ZONES:
            fleet.evacuate(zone)
            await asyncio.sleep(checks.EVAC_S)
            statuses = await self._load(
                ('q', 'safe'), FREE_KEY, FLOOD_PER_S / 2, EVACUATED_S
            )
            failed = [s for s in statuses.values() if s != 200]
            assert not failed, f'{len(failed)} not answered: {failed[:3]}'
            for target_id in fleet.targets_in(zone):
                sent = [
                    one.request_id
                    for one in fleet.targets[target_id].arrivals
                    if one.request_id in statuses
                ]
                assert not sent, f'{len(sent)} sent to {zone}, evacuated'
            for node in fleet.nodes:
                reply = await self._ask(node, 'q')
                assert reply.status == 200, f'{node.name}: {reply}'
            fleet.end_evacuation(zone)
            self.figures['evacuated requests checked'] += len(statuses)
        await asyncio.sleep(BACK_S)

    async def _check_cold(self) -> None:
        """Check that nodes of this build keep the rate of cold targets."""
        fleet = self._fleet
        cold = [*fleet.services['shard-0'], *fleet.services['desk']]
        began_at = time.monotonic()
        for target_id in cold:
            fleet.make_cold(target_id, int(COLD_S * 1_000))
        await asyncio.sleep(checks.COLD_KNOWN_AFTER_S)
        checked = Span(time.monotonic(), began_at + COLD_S)
        statuses = await self._load(
            ('q', 'safe'),
            FREE_KEY,
            2 * FLOOD_PER_S,
            COLD_S - checks.COLD_KNOWN_AFTER_S,
        )
        for target_id in cold:
            times = [
                one.at
                for one in fleet.targets[target_id].arrivals
                if one.request_id in statuses
            ]
            most = checks.check_cold(times, [checked], lambda _: False)
            name = f'{self._stage}: most at a cold target in a second'
            self.figures[name] = max(self.figures[name], most)
        # A node that starts later takes the targets for cold if they are still
        # registered as such.
        for target_id in cold:
            fleet.make_cold(target_id, 0)
        for node in fleet.nodes:
            reply = await self._ask(node, 'q')
            assert reply.status == 200, f'{node.name}: {reply}'

    async def _check_withdrawn_key(self) -> None:
        """Check that a withdrawn key stays so, also after a restart.

        The node starts while the store is silent, so that it learns the
        configuration from the others, which may be of the earlier build.
        """
        fleet = self._fleet
        node = fleet.upgraded_nodes()[0]
        fleet.keys = [FREE_KEY]
        fleet.put_config()
        await asyncio.sleep(checks.CONFIG_S)
        for one in fleet.upgraded_nodes():
            reply = await self._ask(one, 'safe', FORMER_KEY)
            assert reply.status == 401, f'{one.name}: withdrawn key: {reply}'
        names = {one.name for one in fleet.nodes}
        fleet.store.faults.silent_for |= names
        await fleet.restart(node, signal.SIGKILL)
        served = 0
        until = time.monotonic() + SILENT_S
        while time.monotonic() < until:
            try:
                reply = await self._ask(node, 'safe', FORMER_KEY)
                assert reply.status in (401, 503), f'withdrawn key: {reply}'
                reply = await self._ask(node, 'safe')
                served += reply.status == 200
            except PlatformUnavailableError:
                # The node is starting.
                pass
            await asyncio.sleep(0.1)
        fleet.store.faults.silent_for -= names
        self.figures['served with the store silent since the start'] += served
        await fleet.wait_until_ready()
        fleet.keys = [FREE_KEY, FORMER_KEY]
        fleet.put_config()
        await asyncio.sleep(checks.CONFIG_S)
        for one in fleet.upgraded_nodes():
            reply = await self._ask(one, 'safe', FORMER_KEY)
            assert reply.status == 200, f'{one.name}: added key: {reply}'

    async def _check_counters(self) -> None:
        """Check that no running process counts faults."""
        for node in self._fleet.nodes:
            client = HttpCaller(node.host, INTERNAL_PORTS[1])
            reply = await client.call(
                b'GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n', 2.0
            )
            client.close()
            text = reply.body.decode()
            # Without it, the names of counters would have changed.
            assert _read_counter(text, 'datagrams_received') > 0.0, node.name
            for name in FAULT_COUNTERS:
                count = _read_counter(text, name)
                assert count == 0.0, f'{node.name}: {name}: {count:g}'

    def _check_logs(self) -> None:
        """Check that no process has logged a fault."""
        events: collections.Counter[str] = collections.Counter()
        for node in self._fleet.nodes:
            for line in node.log.read_text(errors='replace').splitlines():
                try:
                    record = json.loads(line)
                except ValueError:
                    self.problems.append(f'{node.name}: {line[:200]}')
                    continue
                event = record.get('event', '')
                events[event] += 1
                if event in FAULT_EVENTS:
                    self.problems.append(f'{node.name}: {line[:300]}')
                if event in ('limit_call_failed', 'helper_lost'):
                    self.figures[f'{event} {record.get("error", "")}'] += 1
        self.figures['log lines read'] = events.total()


def _read_counter(text: str, name: str) -> float:
    """Return the sum of a counter's values in the Prometheus text format."""
    pattern = rf'^sesameward_{name}(?:_total)?(?:\{{.*\}})? (\S+)$'
    return sum(map(float, re.findall(pattern, text, re.MULTILINE)))


def upgrade(
    *,
    commit: str = DEFAULT_COMMIT,
    folder: pathlib.Path = DEFAULT_FOLDER,
    keep_logs: pathlib.Path | None = None,
) -> None:
    """Play the upgrade; exit with 1 if a promise was broken.

    :param commit: the commit of the earlier build
    :param folder: where it is, or is to be checked out
    :param keep_logs: folder into which the logs of the nodes are copied
    """
    python, import_path = prepare(folder, commit)

    async def run() -> Upgrade:
        async with UpgradeFleet(python, import_path) as fleet:
            played = Upgrade(fleet)
            await played.play()
            if keep_logs is not None:
                keep_logs.mkdir(parents=True, exist_ok=True)
                for node in fleet.nodes:
                    copy = keep_logs / node.log.name
                    copy.write_bytes(node.log.read_bytes())
            return played

    played = asyncio.run(run())
    for name, figure in played.figures.items():
        print(f'{name}: {figure}')
    for problem in played.problems:
        print(f'problem: {problem}')
    print(f'{len(played.problems)} problems')
    sys.exit(1 if played.problems else 0)


if __name__ == '__main__':
    defopt.run(upgrade)
