"""Start sesameward's programs as processes for demos, tests, benchmarks."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing
import urllib.error
import urllib.request

import msgspec
import yaml

HOST = '127.0.0.1'
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
SEEDS = 2
ROOT = pathlib.Path(__file__).parent.parent.parent


class Process:
    """Run one program which prints its ports as its first line."""

    def __init__(self, name: str, *args: str, log: pathlib.Path):
        self.name = name
        self.log = log
        with log.open('ab') as stderr:
            self._popen = subprocess.Popen(
                [sys.executable, '-m', *args],
                stdout=subprocess.PIPE,
                stderr=stderr,
                cwd=ROOT,
            )

    @functools.cached_property
    def ports(self) -> dict:
        """Return the ports, which the program prints once it listens."""
        line = self._popen.stdout.readline()
        if not line:
            self._popen.wait(STOP_TIMEOUT_S)
            raise RuntimeError(f'{self.name} did not start; read {self.log}')
        return json.loads(line)

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, None while it runs."""
        return self._popen.poll()

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill it and wait for its end."""
        self.send(signal.SIGKILL)
        self.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for its end and return the exit code."""
        return self._popen.wait(timeout_s)

    def close(self) -> None:
        """Kill it unless it has ended."""
        if self.exit_code is None:
            self.kill()
        self._popen.stdout.close()

    def rss_mb(self) -> float:
        """Return the resident memory in megabytes."""
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        line = next(x for x in status.splitlines() if x.startswith('VmRSS'))
        return int(line.split()[1]) / 1024

    def cpu_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        fields = stat.rsplit(')', 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / 100


@dataclasses.dataclass(frozen=True, slots=True)
class Http:
    """Hold a reply."""

    status: int
    headers: typing.Mapping[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the decoded body."""
        return json.loads(self.body)

    def frames(self) -> list[dict]:
        """Return the frames of a streamed answer."""
        return [json.loads(line) for line in self.body.splitlines()]


def call(
    port: int,
    path: str,
    body: object = None,
    headers: typing.Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Http:
    """Send one HTTP request; body None means GET."""
    data = None
    if body is not None:
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    req = urllib.request.Request(
        f'http://{HOST}:{port}{path}', data, dict(headers or {})
    )
    try:
        with urllib.request.urlopen(req, timeout=timeout_s) as resp:
            return Http(resp.status, dict(resp.headers), resp.read())
    except urllib.error.HTTPError as exc:
        return Http(exc.code, dict(exc.headers), exc.read())


def wait_until(
    check: typing.Callable[[], bool],
    what: str,
    timeout_s: float = START_TIMEOUT_S,
) -> float:
    """Wait until the check holds; return the seconds it took."""
    began_at = time.monotonic()
    while time.monotonic() - began_at < timeout_s:
        with contextlib.suppress(OSError):
            if check():
                return time.monotonic() - began_at
        time.sleep(0.02)
    raise TimeoutError(f'waited {timeout_s} s for {what}')


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Say how large a tier to start."""

    nodes: int = 2
    instances: int = 4
    servers: int = 2
    shards: int = 8
    latency_ms: float = 2.0
    records: int = 10
    slots: int = 2
    connections: int = 25
    deadline_ms: int = 500
    max_deadline_ms: int = 10_000
    work_logs: bool = False


class Tier:
    """Run a platform, targets, agents and entries as processes."""

    def __init__(self, shape: Shape = Shape(), **entry_settings: object):
        self.shape = shape
        self.entry_settings = entry_settings
        self._stack = contextlib.ExitStack()
        self.dir = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.platform: Process | None = None
        self.targets: dict[str, Process] = {}
        self.target_ports: dict[str, int] = {}
        self.agents: list[Process] = []
        self.entries: list[Process] = []

    def __enter__(self) -> Tier:
        try:
            self.start()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        self._stack.close()

    def start(self) -> None:
        """Start everything and declare the service."""
        self.start_platform()
        self.list_vms()
        for instance in range(self.shape.instances):
            for server in range(self.shape.servers):
                self.start_target(instance, server)
        for index in range(self.shape.nodes):
            self.agents.append(self.start_agent(index))
        for index in range(self.shape.nodes):
            self.entries.append(self.start_entry(index))
        for name, process in self.targets.items():
            # A process may serve several targets, each at a port that is
            # known already.
            self.target_ports.setdefault(name, process.ports['ports'][0])
        self.declare()
        self.wait_ready()

    def run(self, name: str, *args: str) -> Process:
        """Start one process which ends with this tier."""
        process = Process(name, *args, log=self.dir / f'{name}.log')
        self._stack.callback(process.close)
        return process

    def start_platform(self) -> None:
        """Start the platform's stand-in."""
        self.platform = self.run(
            'platform', 'sesameward.standin.cmdline', 'platform'
        )

    @property
    def platform_url(self) -> str:
        """Return where the platform is."""
        return f'http://{HOST}:{self.platform.ports["port"]}'

    def node_name(self, index: int) -> str:
        """Return the name of an entry VM."""
        return f'entry-{index}'

    def zone(self, index: int) -> str:
        """Return the zone of the VM or server with this number."""
        return f'zone-{index % 4}'

    def list_vms(self, *extra: dict) -> None:
        """Put the entry VMs, and other rows, on the platform's list."""
        vms = [
            {
                'name': self.node_name(index),
                'host': HOST,
                'zone': self.zone(index),
            }
            for index in range(self.shape.nodes)
        ]
        call(self.platform.ports['port'], '/standin/vms', [*vms, *extra])

    def shard_ids(self) -> list[str]:
        """Return the ids of all shards in the order of their keys."""
        return [f's{index:03d}' for index in range(self.shape.shards)]

    def instance_shards(self, instance: int) -> list[str]:
        """Return the shards which one instance holds."""
        return self.shard_ids()[instance :: self.shape.instances]

    def target_id(self, instance: int, server: int) -> str:
        """Return the id of one server."""
        return f't{instance}-{server}'

    def start_target(self, instance: int, server: int) -> None:
        """Start or restart one server."""
        name = self.target_id(instance, server)
        port = self.target_ports.get(name, 0)
        shape = self.shape
        process = self.run(
            name,
            'sesameward.standin.cmdline',
            'target',
            '--shards',
            *self.instance_shards(instance),
            '--ports',
            str(port),
            '--slots',
            str(shape.slots),
            '--latency-ms',
            str(shape.latency_ms),
            '--records',
            str(shape.records),
            *self._work_log(name),
        )
        self.targets[name] = process

    def work_log(self, name: str) -> pathlib.Path:
        """Return where a target writes its work."""
        return self.dir / f'{name}.work'

    def _work_log(self, name: str) -> tuple[str, ...]:
        if not self.shape.work_logs:
            return ()
        return '--work-log', str(self.work_log(name))

    def dead_targets(self) -> list[str]:
        """Return the targets whose processes have ended."""
        return [
            name
            for name, process in self.targets.items()
            if process.exit_code is not None
        ]

    def restart_dead_targets(self) -> None:
        """Start the targets again which have ended; wait for them."""
        dead = self.dead_targets()
        for name in dead:
            instance, server = name.removeprefix('t').split('-')
            self.start_target(int(instance), int(server))
        for name in dead:
            wait_until(lambda n=name: self.calls(n) is not None, name)

    def start_agent(self, index: int, **extra: object) -> Process:
        """Start the agent of one VM."""
        others = [a for i, a in enumerate(self.agents) if i != index]
        seeds = [
            {'host': HOST, 'port': agent.ports['gossip']}
            for agent in others[:SEEDS]
        ]
        cfg = {
            'node': self.node_name(index),
            'zone': self.zone(index),
            'http': {'host': HOST, 'port': 0},
            'grpc': {'host': HOST, 'port': 0},
            'gossip': {'host': HOST, 'port': 0},
            'platform': {'url': self.platform_url},
            'membership': {'keys': ['a-key-of-this-trial']},
            'seeds': seeds,
            **extra,
        }
        return self.run(f'agent-{index}', 'sesameward.agent', self._write(cfg))

    def start_entry(self, index: int, **extra: object) -> Process:
        """Start an entry on one VM."""
        agent = self.agents[index]
        extra = {**self.entry_settings, **extra}
        cfg = {
            'node': self.node_name(index),
            'zone': self.zone(index),
            'listen': {'host': HOST, 'port': 0},
            'agent': {'host': HOST, 'port': agent.ports['grpc']},
            'platform': {'url': self.platform_url},
            **extra,
        }
        return self.run(f'entry-{index}', 'sesameward.entry', self._write(cfg))

    def documents(self) -> list[dict]:
        """Return the declared service and its pool."""
        shape = self.shape
        ids = self.shard_ids()
        starts = ['', *ids[1:]]
        ends = [*ids[1:], None]
        shards = [
            {'id': shard, 'start': start, 'end': end}
            for shard, start, end in zip(ids, starts, ends, strict=True)
        ]
        service = {
            'kind': 'service',
            'name': 'trip-desk',
            'maps': [{'generation': 1, 'shards': shards}],
            'record_versions': [1, 2],
            'bookings': True,
            'deadlines': {
                'default_ms': shape.deadline_ms,
                'max_ms': shape.max_deadline_ms,
            },
        }
        targets = [
            {
                'id': self.target_id(instance, server),
                'host': HOST,
                'port': self.target_ports[self.target_id(instance, server)],
                'zone': self.zone(instance + server),
                'shards': self.instance_shards(instance),
                'slots': shape.slots,
                'connections': shape.connections,
            }
            for instance in range(shape.instances)
            for server in range(shape.servers)
        ]
        pool = {
            'kind': 'pool',
            'name': 'trip-desk-0',
            'service': 'trip-desk',
            'targets': targets,
        }
        return [service, pool]

    def declare(self, *extra: dict) -> subprocess.CompletedProcess:
        """Apply the service, or the given documents, by the command line."""
        documents = extra or self.documents()
        path = self._write_all(documents)
        return self.ctl('apply', path)

    def ctl(self, *args: str) -> subprocess.CompletedProcess:
        """Run sesamewardctl."""
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'sesameward.cmdline',
                *args,
                '--platform',
                self.platform_url,
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )

    def wait_ready(self) -> None:
        """Wait until all entries answer whole."""
        for entry in self.entries:
            wait_until(lambda e=entry: self.is_whole(e), entry.name)

    def is_whole(self, entry: Process) -> bool:
        """Tell whether an entry gives complete answers."""
        reply = self.query(entry)
        return reply.status == 200 and reply.frames()[-1].get('complete')

    def query(
        self,
        entry: Process,
        body: object = None,
        headers: typing.Mapping[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> Http:
        """Send a query to an entry."""
        return call(
            entry.ports['port'],
            '/v1/services/trip-desk/query',
            {} if body is None else body,
            headers,
            timeout_s,
        )

    def book(
        self,
        entry: Process,
        key: str,
        record_key: str = 's000-0001',
        headers: typing.Mapping[str, str] | None = None,
        action: object = None,
    ) -> Http:
        """Send a booking to an entry."""
        return call(
            entry.ports['port'],
            '/v1/services/trip-desk/bookings',
            {'record_key': record_key, 'action': action or {}},
            {'Idempotency-Key': key, **(headers or {})},
        )

    def set_faults(self, target: str, **faults: object) -> None:
        """Switch a target's faults."""
        call(
            self.target_ports[target],
            '/standin/faults',
            {'latency_ms': self.shape.latency_ms, **faults},
        )

    def calls(self, target: str) -> dict:
        """Return what a target has counted."""
        return call(self.target_ports[target], '/standin/calls').json()

    def _write(self, cfg: dict) -> str:
        return self._write_all([cfg])

    def _write_all(self, documents: typing.Sequence[dict]) -> str:
        handle = tempfile.NamedTemporaryFile(
            'w', suffix='.yaml', dir=self.dir, delete=False
        )
        with handle:
            yaml.safe_dump_all(documents, handle)
        return handle.name
