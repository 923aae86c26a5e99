"""Run agents, entries and a simulated platform and targets as processes."""

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
# How many agents a new agent gets as seeds for gossip.
MAX_SEEDS = 2
ROOT = pathlib.Path(__file__).parent.parent.parent


class Process:
    """Run a Python module which prints its ports as its first line.

    Its standard error is appended to the file log.
    """

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
        """Wait until the program listens; return the ports that it prints."""
        line = self._popen.stdout.readline()
        if not line:
            self._popen.wait(STOP_TIMEOUT_S)
            raise RuntimeError(
                f'{self.name} ended before it listened; see {self.log}'
            )
        return json.loads(line)

    @property
    def pid(self) -> int:
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return self._popen.poll()

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        self._popen.send_signal(signum)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        self.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process ends; return its exit code."""
        return self._popen.wait(timeout_s)

    def close(self) -> None:
        """Kill the process unless it has ended, and close its output."""
        if self.exit_code is None:
            self.kill()
        self._popen.stdout.close()

    def rss_mb(self) -> float:
        """Return the resident memory of the process in MiB."""
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        line = next(s for s in status.splitlines() if s.startswith('VmRSS'))
        return int(line.split()[1]) / 1024

    def cpu_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        fields = stat.rsplit(')', 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / 100


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """Hold a reply to an HTTP request."""

    status: int
    headers: typing.Mapping[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the body, decoded from JSON."""
        return json.loads(self.body)

    def frames(self) -> list[dict]:
        """Return the frames of a streamed reply, one line of JSON each."""
        return [json.loads(line) for line in self.body.splitlines()]


def call(
    port: int,
    path: str,
    body: object = None,
    headers: typing.Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> HttpReply:
    """Send one HTTP request to a local port; return also error replies.

    It is a GET if body is None, else a POST. A body that is not bytes is sent
    as JSON.
    """
    data = None
    if body is not None:
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    req = urllib.request.Request(
        f'http://{HOST}:{port}{path}', data, dict(headers or {})
    )
    try:
        with urllib.request.urlopen(req, timeout=timeout_s) as resp:
            return HttpReply(resp.status, dict(resp.headers), resp.read())
    except urllib.error.HTTPError as exc:
        return HttpReply(exc.code, dict(exc.headers), exc.read())


def wait_until(
    check: typing.Callable[[], bool],
    awaited: str,
    timeout_s: float = START_TIMEOUT_S,
) -> float:
    """Wait until the check holds; return how many seconds that took.

    An OSError of the check counts as false. Raise TimeoutError, which names
    what was awaited.
    """
    started_at = time.monotonic()
    while time.monotonic() - started_at < timeout_s:
        with contextlib.suppress(OSError):
            if check():
                return time.monotonic() - started_at
        time.sleep(0.02)
    raise TimeoutError(f'waited {timeout_s} s for {awaited}')


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Configure the size of a tier and its simulated targets.

    nodes is the number of VMs; one agent and one entry run on each. The shards
    are divided among groups of targets: instances is the number of groups,
    servers the number of targets in each group, which all hold the same
    shards. slots, latency_ms and records are settings of each target;
    connections is the declared limit of connections to each target.
    """

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
    """Run a simulated platform, targets, agents and entries as processes.

    Use it as a context manager, which ends all processes that it started.
    """

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
        """Start all processes, declare the service and wait for entries."""
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
            # Subclasses may run several targets in one process. They have set
            # the port of each target already.
            self.target_ports.setdefault(name, process.ports['ports'][0])
        self.declare()
        self.wait_ready()

    def run(self, name: str, *args: str) -> Process:
        """Start a process that is killed when this tier is closed."""
        process = Process(name, *args, log=self.dir / f'{name}.log')
        self._stack.callback(process.close)
        return process

    def start_platform(self) -> None:
        """Start the simulated platform."""
        self.platform = self.run(
            'platform', 'sesameward.standin.cmdline', 'platform'
        )

    @property
    def platform_url(self) -> str:
        """Return the URL of the simulated platform."""
        return f'http://{HOST}:{self.platform.ports["port"]}'

    def node_name(self, index: int) -> str:
        """Return the name of the VM on which an agent and an entry run."""
        return f'entry-{index}'

    def zone(self, index: int) -> str:
        """Return the zone of the VM or target with this number."""
        return f'zone-{index % 4}'

    def list_vms(self, *extra: dict) -> None:
        """Set the platform's VM list to the entry VMs and the extra rows."""
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
        """Return the shards that each target of a group (instance) holds."""
        return self.shard_ids()[instance :: self.shape.instances]

    def target_id(self, instance: int, server: int) -> str:
        """Return the id of the target with number server in group instance."""
        return f't{instance}-{server}'

    def start_target(self, instance: int, server: int) -> None:
        """Start one target, at the port that it had if it ran before."""
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
        """Return the file to which a target logs its work."""
        return self.dir / f'{name}.work'

    def _work_log(self, name: str) -> tuple[str, ...]:
        if not self.shape.work_logs:
            return ()
        return '--work-log', str(self.work_log(name))

    def dead_targets(self) -> list[str]:
        """Return the ids of the targets whose processes have ended."""
        return [
            name
            for name, process in self.targets.items()
            if process.exit_code is not None
        ]

    def restart_dead_targets(self) -> None:
        """Restart the targets that have ended; wait until they answer."""
        dead = self.dead_targets()
        for name in dead:
            instance, server = name.removeprefix('t').split('-')
            self.start_target(int(instance), int(server))
        for name in dead:
            wait_until(lambda n=name: self.calls(n) is not None, name)

    def start_agent(self, index: int, **extra: object) -> Process:
        """Start the agent of one VM; extra replaces or adds settings."""
        others = [a for i, a in enumerate(self.agents) if i != index]
        seeds = [
            {'host': HOST, 'port': agent.ports['gossip']}
            for agent in others[:MAX_SEEDS]
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
        """Start the entry of one VM; extra replaces or adds settings."""
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
        """Return the documents that declare the service and its pool."""
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
        """Apply the extra documents with sesamewardctl, else documents()."""
        documents = extra or self.documents()
        path = self._write_all(documents)
        return self.ctl('apply', path)

    def ctl(self, *args: str) -> subprocess.CompletedProcess:
        """Run sesamewardctl against the simulated platform."""
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
        """Wait until all entries give complete answers."""
        for entry in self.entries:
            wait_until(lambda e=entry: self.is_whole(e), entry.name)

    def is_whole(self, entry: Process) -> bool:
        """Return whether an entry answers a query from all shards."""
        reply = self.query(entry)
        return reply.status == 200 and reply.frames()[-1].get('complete')

    def query(
        self,
        entry: Process,
        body: object = None,
        headers: typing.Mapping[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> HttpReply:
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
    ) -> HttpReply:
        """Send a booking to an entry."""
        return call(
            entry.ports['port'],
            '/v1/services/trip-desk/bookings',
            {'record_key': record_key, 'action': action or {}},
            {'Idempotency-Key': key, **(headers or {})},
        )

    def set_faults(self, target: str, **faults: object) -> None:
        """Replace a target's faults; those not named are switched off."""
        call(
            self.target_ports[target],
            '/standin/faults',
            {'latency_ms': self.shape.latency_ms, **faults},
        )

    def calls(self, target: str) -> dict:
        """Return a target's counts of queries, bookings and connections."""
        return call(self.target_ports[target], '/standin/calls').json()

    def _write(self, cfg: dict) -> str:
        return self._write_all([cfg])

    def _write_all(self, documents: typing.Sequence[dict]) -> str:
        file = tempfile.NamedTemporaryFile(
            'w', suffix='.yaml', dir=self.dir, delete=False
        )
        with file:
            yaml.safe_dump_all(documents, file)
        return file.name
