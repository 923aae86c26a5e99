"""Run nodes in child processes against a simulated store and targets."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import typing

import msgspec

from ..serving.http_caller import HttpCaller
from ..serving.target_connection import Reply
from .linked_node import LINK_HOST_VARIABLE
from .links import NodeLinks
from .object_store import ObjectStore
from .shard_target import CrashHow
from .shard_target import ShardTarget
from .signal_masks import is_in_mask

HOST_NAME = 'search.example'
PORTS = {'front': 8104, 'ready': 8108, 'control': 8106, 'directory': 8100}
INTERNAL_PORTS = (7380, 7395)
ZONES = ('zone-a', 'zone-b')
QUERY_PATH = '/q/'
ONCE_PATH = '/once/'
SAFE_PATH = '/safe/'
READY_TIMEOUT_S = 15.0
# Changes of the configuration must be in force on all nodes within this time.
MAX_CONFIG_DELAY_MS = 3_000
# The platform sends SIGKILL this long after SIGTERM.
GRACE_S = 6
# Time for which callers wait for an answer.
DEADLINE_MS = 1_000
# A crashed target is replaced by a new one after this time.
RESTART_DELAY_S = 1.5
# Last number of the loopback address at which the first node of a fleet with
# links reaches the targets.
FIRST_LINK_HOST = 101

# The nodes of all fleets listen on the same ports, so each fleet needs its own
# loopback addresses. The second number of an address, after 127, depends on
# the fleet's number, which differs between fleets of one process and usually
# between processes.
_fleet_numbers = itertools.count(os.getpid() % 200)


@contextlib.contextmanager
def _no_ignored_signals() -> typing.Iterator[None]:
    """Start processes with the default actions of the signals to stop.

    A process ignores the signals that its parent ignores. A shell makes its
    background jobs ignore SIGINT.
    """
    ignored = [
        number
        for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
        if signal.getsignal(number) is signal.SIG_IGN
    ]
    for number in ignored:
        signal.signal(number, signal.SIG_DFL)
    try:
        yield
    finally:
        for number in ignored:
            signal.signal(number, signal.SIG_IGN)


class FleetNode:
    """Run one node as a child process with its own settings and log.

    python and import_path, which select the build that it runs, may be
    changed before each start.
    """

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        folder: pathlib.Path,
        links: NodeLinks | None = None,
    ):
        self.name = name
        self.host = host
        self.zone = zone
        self.links = links
        self.settings = folder / f'{name}.json'
        self.log = folder / f'{name}.log'
        self.process: subprocess.Popen | None = None
        self.python = sys.executable
        self.import_path = tuple(sys.path)

    def start(self) -> None:
        """Start the process; it appends to the log of earlier starts."""
        env = {
            **os.environ,
            'SESAMEWARD_NODE_FILE': str(self.settings),
            'PYTHONPATH': os.pathsep.join(self.import_path),
            'PYTHONUNBUFFERED': '1',
        }
        module = 'sesameward.platform'
        if self.links is not None:
            env[LINK_HOST_VARIABLE] = self.links.host
            module = 'sesameward.standin.linked_node'
        with self.log.open('ab') as log, _no_ignored_signals():
            self.process = subprocess.Popen(
                # The same command as in deploy/system.toml; -S keeps the start
                # from reading site packages.
                [self.python, '-S', '-m', module],
                stdout=log,
                stderr=log,
                env=env,
            )

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process unless it has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)

    def ignores(self, signum: signal.Signals) -> bool:
        """Return whether the process, which must run, ignores a signal."""
        return is_in_mask(self.process.pid, 'SigIgn', signum)

    def outlives(self, signum: signal.Signals) -> bool:
        """Return whether the process runs and ignores or handles a signal."""
        return self.is_running and (
            is_in_mask(self.process.pid, 'SigIgn', signum)
            or is_in_mask(self.process.pid, 'SigCgt', signum)
        )

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def lines(self, event: str) -> list[dict]:
        """Return the log records of one kind of event, oldest first."""
        records = []
        for line in self.log.read_text(errors='replace').splitlines():
            if f'"event":"{event}"' in line:
                records.append(json.loads(line))
        return records


class Fleet:
    """Run a simulated store, simulated targets and nodes.

    Use it as an asynchronous context manager, which stops exactly the
    processes and listeners that it started. If linked is True, each node
    reaches the targets through links of its own, which can be cut. bounds and
    service_fields are added to the settings' bounds and to each service.
    max_connections is the limit of connections to each target, limits are
    those in the settings of the nodes.
    """

    def __init__(
        self,
        nodes: int = 3,
        shards: int = 4,
        replicas: int = 2,
        seed: int = 1,
        linked: bool = False,
        bounds: dict[str, object] | None = None,
        max_connections: int = 26,
        service_fields: dict[str, float] | None = None,
        limits: dict[str, int] | None = None,
    ):
        self._service_fields = service_fields or {}
        self._linked = linked
        self._bounds = bounds or {}
        self._max_connections = max_connections
        self._limits = limits
        self.store = ObjectStore()
        self.rng = random.Random(seed)
        self.targets: dict[str, ShardTarget] = {}
        # The zone of each target; a restored store may lack its registration.
        self._zones: dict[str, str] = {}
        self.nodes: list[FleetNode] = []
        self.version = 0
        self.services: dict[str, list[str]] = {}
        self._target_numbers = itertools.count(1)
        self._request_numbers = itertools.count(1)
        self.crashing_paths: frozenset[str] = frozenset()
        self.crash_mode = CrashHow.RESET
        self._restart_tasks: list[asyncio.Future] = []
        self._node_count = nodes
        self._shard_count = shards
        self._replica_count = replicas
        self._temp_dir = tempfile.TemporaryDirectory(prefix='sesameward-')
        number = next(_fleet_numbers)
        self._network_prefix = (
            f'127.{10 + number % 200}.{random.randrange(1, 250)}'
        )

    async def __aenter__(self) -> Fleet:
        """Start the targets and the nodes; wait until all nodes are ready."""
        await self.start_targets()
        self.put_config()
        folder = pathlib.Path(self._temp_dir.name)
        for index in range(self._node_count):
            zone = ZONES[index % len(ZONES)]
            host = f'{self._network_prefix}.{index + 1}'
            links = await self._make_links(index) if self._linked else None
            node = FleetNode(f'node-{index}', host, zone, folder, links)
            self.select_build(node)
            await self._write_settings(node)
            self.nodes.append(node)
            node.start()
        await self.wait_until_ready()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Kill the nodes; stop the targets and the store."""
        for node in self.nodes:
            node.send(signal.SIGCONT)
            node.send(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()
        for task in self._restart_tasks:
            task.cancel()
        for node in self.nodes:
            if node.links is not None:
                await node.links.stop()
        for target in self.targets.values():
            target.stop()
        self.store.stop()
        await asyncio.sleep(0.01)
        self._temp_dir.cleanup()

    def select_build(self, node: FleetNode) -> None:
        """Set the build with which a node is started; by default this one."""

    async def _make_links(self, index: int) -> NodeLinks:
        links = NodeLinks(f'{self._network_prefix}.{FIRST_LINK_HOST + index}')
        for target in self.targets.values():
            await links.add(target.port)
        return links

    async def _write_settings(self, node: FleetNode) -> None:
        port = await self.open_store(node.name)
        hosts = [
            f'{self._network_prefix}.{n + 1}'
            for n in range(min(self._node_count, 3))
        ]
        settings = {
            'node': node.name,
            'ip': node.host,
            'zone': node.zone,
            'region': 'r',
            'zones': {zone: 'r' for zone in ZONES},
            'listen': {k: f'{node.host}:{p}' for k, p in PORTS.items()},
            'internal_ports': INTERNAL_PORTS,
            'seeds': [f'{host}:{PORTS["control"]}' for host in hosts],
            'platform': {'address': f'127.0.0.1:{port}'},
            'bounds': {
                'retry_budget_ratio': 0.2,
                'retry_budget_slack': 50,
                'budget_window_s': 10,
                'config_ms': MAX_CONFIG_DELAY_MS,
                'drain_ms': 3_000,
                'grace_s': GRACE_S,
                'ttl_max_s': 5,
                **self._bounds,
            },
            # Nodes must ignore settings that they don't know.
            'something_new': True,
        }
        if self._limits is not None:
            settings['limits'] = self._limits
        node.settings.write_bytes(msgspec.json.encode(settings))

    # Targets and configuration.

    async def start_targets(self) -> None:
        """Start the targets of all shards and of the service called desk.

        That service has no shards: one of its targets answers a whole request.
        """
        names = [f'shard-{n}' for n in range(self._shard_count)]
        for service in [*names, 'desk']:
            for index in range(self._replica_count):
                await self.add_target(service, ZONES[index % len(ZONES)])

    async def open_store(self, node_name: str) -> int:
        """Open a port of the store for one node alone; return the port."""
        return await self.store.open_door(node_name)

    async def begin_target(self, target: ShardTarget) -> None:
        """Open a target's port; a subclass may put a proxy before it."""
        await target.start()

    async def add_target(self, service: str, zone: str) -> ShardTarget:
        """Start one more target and register it in the store."""
        target = ShardTarget(f'i-{next(self._target_numbers)}', service)
        target.on_crash = self._on_crash
        target.faults.crashes_on = self.crashing_paths
        target.faults.crash_mode = self.crash_mode
        await self.begin_target(target)
        for node in self.nodes:
            if node.links is not None:
                await node.links.add(target.port)
        self.targets[target.id] = target
        self._zones[target.id] = zone
        self.services.setdefault(service, []).append(target.id)
        self.store.put('servers', target.id, target.registration(zone))
        return target

    async def replace(self, target: ShardTarget) -> ShardTarget:
        """Start one more target of the service and zone of another one."""
        return await self.add_target(target.service, self._zones[target.id])

    def drain(self, target_id: str) -> None:
        """Register a running target as draining."""
        target = self.targets[target_id]
        zone = self._zones[target_id]
        self.store.put(
            'servers', target_id, target.registration(zone, 'draining')
        )

    def evacuate(self, zone: str) -> None:
        """Ask all nodes to send nothing to the targets of a zone."""
        self.store.put('evacuations', zone, {'reason': 'test'})

    def end_evacuation(self, zone: str) -> None:
        """Let the nodes use the targets of a zone again."""
        self.store.delete('evacuations', zone)

    def make_cold(self, target_id: str, left_ms: int) -> None:
        """Register a running target as cold."""
        target = self.targets[target_id]
        target.seq += 1
        registration = target.registration(self._zones[target_id])
        registration['warmup_left_ms'] = left_ms
        self.store.put('servers', target_id, registration)

    def targets_in(self, zone: str) -> set[str]:
        """Return the ids of the targets in a zone."""
        return {one for one, at in self._zones.items() if at == zone}

    def crash_on(self, paths: set[str], how: CrashHow) -> None:
        """Crash each target that runs a request for one of these paths."""
        self.crashing_paths = frozenset(paths)
        self.crash_mode = how
        for target in self.targets.values():
            target.faults.crashes_on = self.crashing_paths
            target.faults.crash_mode = how

    def _on_crash(self, target: ShardTarget) -> None:
        self._restart_tasks.append(
            asyncio.ensure_future(self._restart(target))
        )

    async def _restart(self, target: ShardTarget) -> None:
        """Replace a crashed target by a new one with another id."""
        await asyncio.sleep(RESTART_DELAY_S)
        self.store.delete('servers', target.id)
        await self.replace(target)

    def crash(self, target_id: str) -> None:
        """Stop a target at once, but leave its registration in the store."""
        self.targets[target_id].stop()

    def put_config(
        self,
        single_service: str = 'desk',
        extra_routes: tuple[str, ...] = (),
        **extra_fields: object,
    ) -> int:
        """Write the next version of the configuration; return its number.

        single_service is the service of the routes whose requests are each
        answered by one target. extra_routes are path prefixes of further
        routes to this service; those that start with /public are public.
        extra_fields are further fields of the configuration.
        """
        self.version += self.rng.choice((1, 2, 5))
        shards = [f'shard-{n}' for n in range(self._shard_count)]
        common = {
            'hostname': HOST_NAME,
            'timeout_ms': 1_000,
            'target_latency_ms': 200,
            'priority': 1,
            'max_attempts': 2,
        }
        routes = [
            {
                **common,
                'name': 'query',
                'path_prefix': QUERY_PATH,
                'route_type': 'safe',
                'gather': shards,
                'top_k': 10,
                'min_coverage': 0.5,
            },
            {
                **common,
                'name': 'once',
                'path_prefix': ONCE_PATH,
                'route_type': 'unsafe',
                'service': single_service,
            },
            {
                **common,
                'name': 'safe',
                'path_prefix': SAFE_PATH,
                'route_type': 'safe',
                'service': single_service,
            },
        ]
        for path in extra_routes:
            routes.append(
                {
                    **common,
                    'name': f'extra-{path}',
                    'path_prefix': path,
                    'route_type': 'safe',
                    'service': single_service,
                    'public': path.startswith('/public'),
                }
            )
        services = [
            {
                'name': name,
                'max_conns': self._max_connections,
                'health_path': '/healthz',
                **self._service_fields,
            }
            for name in [*shards, 'desk', single_service]
        ]
        self.store.put(
            'config',
            'main',
            {
                'version': self.version,
                'routes': routes,
                'services': services,
                'limits': {'idle_timeout_ms': 5_000},
                **extra_fields,
            },
        )
        return self.version

    # Requests to nodes.

    async def wait_until_ready(self, names: set[str] | None = None) -> None:
        """Wait until nodes, by default all, report that they are ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in self.nodes:
                if names is not None and node.name not in names:
                    continue
                while not await self.is_ready(node):
                    await asyncio.sleep(0.05)

    async def is_ready(self, node: FleetNode) -> bool:
        """Return whether a node's readiness check answers 200."""
        caller = HttpCaller(node.host, PORTS['ready'])
        try:
            reply = await caller.call(
                b'GET /v1/readyz HTTP/1.1\r\nHost: n\r\n\r\n', 0.5
            )
        except Exception:
            return False
        finally:
            caller.close()
        return reply.status == 200

    async def resolve(self, node: FleetNode, zone: str = '') -> list[str]:
        """Return the addresses that a node's directory gives to callers.

        zone is the zone of the caller. The list is empty if the directory
        answers with an error.
        """
        caller = HttpCaller(node.host, PORTS['directory'])
        query = f'name={HOST_NAME}&region=r&zone={zone}'
        try:
            reply = await caller.call(
                f'GET /v1/resolve?{query} HTTP/1.1\r\n'
                f'Host: n\r\n\r\n'.encode(),
                1.0,
            )
        finally:
            caller.close()
        if reply.status != 200:
            return []
        return json.loads(reply.body)['addrs']

    def request_id(self) -> str:
        """Return a request id that is unique within this fleet."""
        return f'r{next(self._request_numbers)}'

    async def ask(
        self,
        node: FleetNode,
        path: str,
        request_id: str | None = None,
        method: str = 'GET',
        body: bytes = b'',
        timeout_s: float = 2.0,
        deadline_ms: int = DEADLINE_MS,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Reply:
        """Send one request over a new connection; return the node's reply."""
        caller = HttpCaller(node.host, PORTS['front'])
        asked = request(
            path,
            request_id or self.request_id(),
            method,
            body,
            deadline_ms=deadline_ms,
            headers=headers,
        )
        try:
            return await caller.call(asked, timeout_s)
        finally:
            caller.close()


def request(
    path: str,
    request_id: str,
    method: str = 'GET',
    body: bytes = b'',
    node_name: str = '',
    deadline_ms: int = DEADLINE_MS,
    headers: tuple[tuple[str, str], ...] = (),
) -> bytes:
    """Return the bytes of a caller's HTTP request.

    node_name is the node that the request is sent to. It is put into a header
    that nodes pass on, so that targets can record it.
    """
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
        f'Sesameward-Request-Id: {request_id}\r\n'
        f'Sesameward-Deadline-Ms: {deadline_ms}\r\n'
        f'X-Asked: {node_name}\r\n'
    )
    head += ''.join(f'{name}: {value}\r\n' for name, value in headers)
    if body:
        head += f'Content-Length: {len(body)}\r\n'
    return f'{head}\r\n'.encode() + body
