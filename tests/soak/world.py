"""Run nodes under injected faults while callers check every answer."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import functools
import math
import random
import time

from sesameward.exceptions import PlatformUnavailableError
from sesameward.serving.http_caller import HttpCaller
from sesameward.standin.fleet import Fleet
from sesameward.standin.fleet import FleetNode
from sesameward.standin.fleet import PORTS
from sesameward.standin.fleet import request
from sesameward.standin.shard_target import CrashHow
from sesameward.standin.shard_target import ShardTarget
from tests.floods import peak_bytes
from tests.floods import SMALLEST_VM_BYTES
from tests import promises
from tests.soak.faults import Injector
from tests.soak.faults import KINDS
from tests.soak.faults import LOST_VERSIONS
from tests.soak.faults import RETRY_AFTER_S
from tests.soak.faults import schedule
from tests.soak.proxy import FaultProxy

SHARD_COUNT = 4
CALLER_COUNT = 6
MEAN_THINK_TIME_S = 0.03
# Pause between two requests to a node that show which configuration it goes
# by. Some of them are for the route of an older one, as a restored store has.
PROBE_INTERVAL_S = 0.05
OLD_ROUTE_SHARE = 0.5
OLD_ROUTES = LOST_VERSIONS + 1
# The next three are bounds of the users' documentation, which hold while no
# fault is active.
# Time within which requests to a draining target must stop.
DRAIN_BOUND_S = 3.0
# Time after a disturbance within which checks excuse its effects.
EXCUSED_S = 4.0
# Time within which every node must serve everything again after the faults.
RECOVERY_BOUND_S = 6.0
# Time after the end of a cut within which a node uses its links again.
LINKS_BACK_S = 1.0
# An answer that reaches a caller this long after its target began to leave
# must carry the target's notice that it leaves.
LEAVE_NOTICE_DELAY_S = 0.05
# A run that exceeds its schedule by this time counts as hung.
OVERTIME_LIMIT_S = 60.0


class SoakFleet(Fleet):
    """Run a fleet whose nodes reach store and targets through proxies."""

    def __init__(self, world: World, **kwargs):
        super().__init__(**kwargs)
        self.world = world

    async def open_store(self, door: str) -> int:
        """Open a store port for one node; return the port of its proxy."""
        return await self.world.proxy_store(await super().open_store(door))

    async def begin_target(self, target: ShardTarget) -> None:
        """Start a target and let nodes reach it through a proxy."""
        await super().begin_target(target)
        target.port = await self.world.proxy_target(target)

    def _on_crash(self, target: ShardTarget) -> None:
        self.world.handle_crash(target)
        super()._on_crash(target)


@dataclasses.dataclass(frozen=True)
class Attempt:
    """Describe one attempt to send a request that crashes targets."""

    request_id: str
    node: str
    at: float


class World:
    """Run one seed: a fleet with proxies, callers, faults and checks.

    A subclass may set further options of the fleet and inject further faults.
    repeated_kinds are the kinds of objects that their writers write again
    after a restore of the store, in this order. request_headers are those of
    callers' requests.
    """

    fleet_class: type[SoakFleet] = SoakFleet
    fleet_options: dict[str, object] = {}
    injector_class: type[Injector] = Injector
    kinds: tuple[str, ...] = KINDS
    repeated_kinds: tuple[str, ...] = ('servers', 'config')
    request_headers: tuple[tuple[str, str], ...] = ()

    def __init__(self, seed: int, nodes: int):
        self.seed = seed
        self.rng = random.Random(seed)
        self.fleet = self.fleet_class(
            self,
            nodes=nodes,
            shards=SHARD_COUNT,
            seed=seed,
            linked=True,
            **self.fleet_options,
        )
        self.store_proxies: list[FaultProxy] = []
        self.target_proxies: dict[str, FaultProxy] = {}
        self.withdrawn_target_ids: set[str] = set()
        self.is_over = False
        self.violations: list[str] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._run_once_replies: list[tuple[object, str]] = []
        self._drained_at: dict[str, float] = {}
        self._last_fault_at: dict[str, float] = {}
        self._disturbance_times: dict[str, list[float]] = (
            collections.defaultdict(list)
        )
        self._terminated_at: dict[str, float] = {}
        self._frozen_at: dict[str, float] = {}
        self._store_disturbance_times: list[float] = [0.0]
        # When the configuration with each extra route was written.
        self._routes_written_at: dict[int, float] = {}
        self._probes: dict[str, promises.Probe] = {}
        self._sent_at: dict[str, float] = {}
        self._leaving_since: dict[str, float] = {}
        self._notice_passed_on_at: dict[str, float] = {}
        self._recovery_since = 0.0
        # For each target: its limits, each with the times when they began and
        # ended.
        self._limits: dict[str, list[tuple[float, float, float]]] = (
            collections.defaultdict(list)
        )
        # For each node: when its cuts from all targets began and ended.
        self._stranded: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self._cut_counts: collections.Counter[str] = collections.Counter()
        # First tries: when each was sent, to which node, and if served.
        self._tries: list[tuple[float, str, bool]] = []
        self._crash_attempts: dict[str, list[Attempt]] = {}
        self._crash_tasks: list[asyncio.Task] = []

    # Interface for the fault injector and the fleet.

    def record_disturbance(self, node: str, is_planned: bool = False) -> None:
        """Record a fault of a node, so that checks can excuse its effects.

        is_planned: the node was asked to shut down with SIGTERM.
        """
        self._disturbance_times[node].append(time.monotonic())
        if is_planned:
            self._terminated_at[node] = time.monotonic()
        else:
            self._last_fault_at[node] = time.monotonic()

    def record_restart(self, node: str) -> None:
        """Record the restart of a node as another disturbance.

        After SIGTERM it comes seconds after the signal.
        """
        self._disturbance_times[node].append(time.monotonic())

    def record_freeze(self, node: str) -> None:
        """Record that a node was frozen or goes on."""
        self.record_disturbance(node)
        self._frozen_at[node] = time.monotonic()

    def record_late_stop(self, node: str, signal_at: float) -> None:
        """Record a node that had to be killed, unless it was frozen."""
        now = time.monotonic()
        if self._frozen_at.get(node, 0.0) < signal_at:
            self.add_violation(
                f'{node} ran on {now - signal_at:.1f} s after a signal to stop'
            )

    def record_store_disturbance(self) -> None:
        """Record that a fault of the store started or ended."""
        self._store_disturbance_times.append(time.monotonic())

    async def proxy_store(self, port: int) -> int:
        """Start a proxy for a port of the store; return the proxy's port."""
        proxy = FaultProxy('127.0.0.1', port)
        self.store_proxies.append(proxy)
        return await proxy.start()

    async def proxy_target(self, target: ShardTarget) -> int:
        """Start a proxy for a target; return the proxy's port."""
        proxy = FaultProxy('127.0.0.1', target.port)
        self.target_proxies[target.id] = proxy
        return await proxy.start()

    async def add_replacement(self, target: ShardTarget) -> None:
        """Start a replacement for a target that is about to be removed."""
        await self.fleet.replace(target)
        await asyncio.sleep(0.5)

    def drain(self, target: ShardTarget) -> None:
        """Mark a target as draining in the store, if it is still there."""
        if ('servers', target.id) not in self.fleet.store.objects:
            return
        self.withdrawn_target_ids.add(target.id)
        self.fleet.drain(target.id)
        self._drained_at[target.id] = time.monotonic()

    def handle_crash(self, target: ShardTarget) -> None:
        """Refuse connections to a target that a request has crashed."""
        self.withdrawn_target_ids.add(target.id)
        self._recovery_since = time.monotonic()
        self.target_proxies[target.id].stop_listening()
        for node in self.fleet.nodes:
            node.links.remove(target.port)

    def start_crashing_request(self, kind: str, how: CrashHow) -> None:
        """Repeat a request that crashes targets until the run ends.

        how sets the way in which targets crash, also for earlier requests.
        """
        path = f'/{kind}/crash-{len(self._crash_attempts)}'
        self._crash_attempts[path] = []
        self.fleet.crash_on(set(self._crash_attempts), how)
        task = asyncio.create_task(self._repeat_crashing_request(kind, path))
        self._crash_tasks.append(task)

    async def _repeat_crashing_request(self, kind: str, path: str) -> None:
        rng = random.Random(path)
        method, body = ('POST', b'x') if kind == 'once' else ('GET', b'')
        while not self.is_over:
            node = rng.choice(self.fleet.nodes)
            attempt = Attempt(
                self.fleet.request_id(), node.name, time.monotonic()
            )
            self._crash_attempts[path].append(attempt)
            try:
                reply = await self.fleet.ask(
                    node,
                    path,
                    attempt.request_id,
                    method,
                    body,
                    headers=self.request_headers,
                )
            except PlatformUnavailableError:
                reply = None
            status = reply.status if reply is not None else 'none'
            self.outcomes[f'crash {kind} {status}'] += 1
            if kind == 'once':
                self._run_once_replies.append((reply, attempt.request_id))
            await asyncio.sleep(rng.uniform(0.1, 1.5))

    def announce_leaving(self, target: ShardTarget) -> None:
        """Let a target announce only in its answers that it leaves.

        Its state in the store does not change.
        """
        self.withdrawn_target_ids.add(target.id)
        target.faults.leaving = True
        self._leaving_since[target.id] = time.monotonic()

    def begin_stranding(self, node: str) -> None:
        """Record that a node is cut off from all targets."""
        self._cut_counts[node] += 1
        if self._cut_counts[node] == 1:
            self._stranded[node].append((time.monotonic(), math.inf))

    def end_stranding(self, node: str) -> bool:
        """Record that a cut ends; return False while another one goes on."""
        self._cut_counts[node] -= 1
        if self._cut_counts[node]:
            return False
        since, _ = self._stranded[node].pop()
        self._stranded[node].append((since, time.monotonic()))
        return True

    def limit_target(self, target: ShardTarget, limit: float) -> None:
        """Let a target name a limit in its answers, if it names none."""
        if not target.faults.limit:
            target.faults.limit = str(limit)
            self._limits[target.id].append((limit, time.monotonic(), math.inf))

    def end_limit(self, target: ShardTarget) -> None:
        """Let a target name no limit any more."""
        if target.faults.limit:
            target.faults.limit = ''
            limit, since, _ = self._limits[target.id].pop()
            self._limits[target.id].append((limit, since, time.monotonic()))

    def _record_leave_notices(self, target_ids: list[str]) -> None:
        """Record when a target's leave notice first reached a caller.

        target_ids are the targets that contributed to an answer.
        """
        now = time.monotonic()
        for target_id in target_ids:
            since = self._leaving_since.get(target_id)
            if since is not None and now > since + LEAVE_NOTICE_DELAY_S:
                self._notice_passed_on_at.setdefault(target_id, now)

    def change_config(self) -> None:
        """Write a configuration version that has a different extra route."""
        number = len(self._routes_written_at) + 1
        self.fleet.put_config(extra_routes=(f'/extra-{number}/',))
        self._routes_written_at[number] = time.monotonic()

    # The run and its callers.

    async def run(
        self, length_s: float, kinds: tuple[str, ...] | None = None
    ) -> list[str]:
        """Run the seed's fault schedule under load; return the violations.

        By default, faults of all kinds of this world are injected.
        """
        async with asyncio.timeout(length_s + OVERTIME_LIMIT_S), self.fleet:
            self.change_config()
            callers = [
                asyncio.create_task(self._run_caller(random.Random(number)))
                for number in range(CALLER_COUNT)
            ]
            callers += [
                asyncio.create_task(self._probe_routes(node))
                for node in self.fleet.nodes
            ]
            callers += self.start_further_callers()
            await self.injector_class(self).run_schedule(
                schedule(self.seed, length_s, kinds or self.kinds)
            )
            await self._check_recovery()
            self.is_over = True
            await asyncio.gather(*callers, *self._crash_tasks)
            await asyncio.sleep(0.3)
            self.check_after_run()
            self._check_memory()
            if self.violations:
                self._save_logs()
        for proxy in [*self.store_proxies, *self.target_proxies.values()]:
            proxy.stop()
        return self.violations

    def start_further_callers(self) -> list[asyncio.Task]:
        """Start the callers that only a subclass has."""
        return []

    async def _run_caller(self, rng: random.Random) -> None:
        """Send requests over persistent connections until the run ends."""
        callers_by_node: dict[str, HttpCaller] = {}
        while not self.is_over:
            node = rng.choice(self.fleet.nodes)
            caller = callers_by_node.get(node.name)
            if caller is None:
                caller = HttpCaller(node.host, PORTS['front'])
                callers_by_node[node.name] = caller
            await self._send_request(caller, node.name, rng)
            await asyncio.sleep(rng.uniform(0.0, 2 * MEAN_THINK_TIME_S))
        for caller in callers_by_node.values():
            caller.close()

    async def _send_request(
        self, caller: HttpCaller, node: str, rng: random.Random
    ) -> None:
        kind = rng.choice(('q', 'q', 'once', 'safe'))
        path = f'/{kind}/{rng.randrange(50)}'
        request_id = self.fleet.request_id()
        method, body = ('POST', b'x') if kind == 'once' else ('GET', b'')
        reply = None
        sent_at = time.monotonic()
        try:
            reply = await caller.call(
                request(
                    path,
                    request_id,
                    method,
                    body,
                    node,
                    headers=self.request_headers,
                ),
                2.0,
            )
        except PlatformUnavailableError:
            self._check_interrupted(node, request_id)
        status = reply.status if reply is not None else 'none'
        self._sent_at[request_id] = sent_at
        is_served = reply is not None and reply.status == 200
        self._tries.append((sent_at, node, is_served))
        self.outcomes[f'{kind} {status}'] += 1
        if kind == 'once':
            self._run_once_replies.append((reply, request_id))
        if reply is not None and reply.status == 200:
            self._check_answer(kind, reply, path, request_id)

    async def _probe_routes(self, node: FleetNode) -> None:
        """Ask a node for recent routes until the run ends."""
        rng = random.Random(node.name)
        while not self.is_over:
            await asyncio.sleep(PROBE_INTERVAL_S)
            route = newest = len(self._routes_written_at)
            if rng.random() < OLD_ROUTE_SHARE:
                route = rng.randint(max(1, newest - OLD_ROUTES), newest)
            request_id = self.fleet.request_id()
            process, sent_at = node.process.pid, time.monotonic()
            try:
                reply = await self.fleet.ask(
                    node,
                    f'/extra-{route}/1',
                    request_id,
                    headers=self.request_headers,
                )
            except PlatformUnavailableError:
                continue
            self._probes[request_id] = promises.Probe(
                node.name,
                process,
                route,
                sent_at,
                time.monotonic(),
                reply.status == 200,
                # A node's log tells the other cases, which are refused with
                # 503 because the node does not know whether the route exists.
                reply.status == 404,
            )

    # Checks.

    def _check_answer(
        self, kind: str, reply, path: str, request_id: str
    ) -> None:
        try:
            if kind == 'q':
                promises.check_query(
                    self.fleet, reply, path, request_id, SHARD_COUNT
                )
                targets = promises.named_targets(reply, request_id)
            else:
                targets = [
                    promises.check_single(self.fleet, reply, path, request_id)
                ]
            self._record_leave_notices(targets)
        except (AssertionError, KeyError, ValueError) as exc:
            self.add_violation(f'{kind} {request_id}: {exc!r}')

    def _check_interrupted(self, node: str, request_id: str) -> None:
        """Check a request that ended without an answer.

        A node that shuts down after SIGTERM, without any other recent fault,
        must complete the requests that it has forwarded.
        """
        now = time.monotonic()
        terminated_at = self._terminated_at.get(node, -100.0)
        faulted_at = self._last_fault_at.get(node, -100.0)
        if now - terminated_at > 6.0 or now - faulted_at < 10.0:
            return
        if promises.runs_of(self.fleet, request_id):
            self.add_violation(
                f'{request_id} was interrupted by the shutdown of {node}'
            )

    async def _check_recovery(self) -> None:
        """Check that every node serves everything soon after the faults.

        That includes a route that is added now. Crashing requests are still
        sent at this time, so each further crash of a target restarts the time
        limit.
        """
        self.change_config()
        path = f'/extra-{len(self._routes_written_at)}/1'
        self._recovery_since = time.monotonic()
        problems: list[str] = ['no node was checked']
        while (
            problems
            and time.monotonic() < self._recovery_since + RECOVERY_BOUND_S
        ):
            problems = []
            for node in self.fleet.nodes:
                problems += await self._recovery_problems(node, path)
            await asyncio.sleep(0.1)
        for problem in problems:
            self.add_violation(f'after the faults: {problem}')

    async def _recovery_problems(self, node, path: str) -> list[str]:
        problems = []
        try:
            request_id = self.fleet.request_id()
            reply = await self.fleet.ask(
                node, '/q/1', request_id, headers=self.request_headers
            )
            covered = 0
            if reply.status == 200:
                covered = promises.check_query(
                    self.fleet, reply, '/q/1', request_id, SHARD_COUNT
                )
            if covered < SHARD_COUNT:
                problems.append(
                    f'{node.name} answers for {covered} shards only'
                )
            reply = await self.fleet.ask(
                node, path, headers=self.request_headers
            )
            if reply.status != 200:
                problems.append(
                    f'{node.name}: {path} returns status {reply.status}'
                )
        except (PlatformUnavailableError, AssertionError) as exc:
            problems.append(f'{node.name}: {exc!r}')
        return problems

    def check_after_run(self) -> None:
        """Check the promises that concern the run as a whole."""
        for reply, request_id in self._run_once_replies:
            try:
                promises.check_once(self.fleet, reply, request_id)
            except AssertionError as exc:
                self.add_violation(f'once {request_id}: {exc}')
        for target_id, drained_at in self._drained_at.items():
            self._check_drain(target_id, drained_at)
        for path, attempts in self._crash_attempts.items():
            self._check_crashing(path, attempts)
        for node in self.fleet.nodes:
            self._check_quarantined(node)
        self._check_stranded()
        self._check_configurations()
        for target in self.fleet.targets.values():
            self._check_leave_and_rest(target)
            self._check_limits(target)

    def _check_crashing(self, path: str, attempts: list[Attempt]) -> None:
        """Check how often a crashing request reached targets.

        Attempts sent through a recently disturbed node are excused.
        """
        runs = [
            run
            for target in self.fleet.targets.values()
            for run in target.runs
            if run.path == path
        ]
        disturbed = {
            attempt.request_id
            for attempt in attempts
            if self._any_disturbed(
                (attempt.node,), attempt.at - EXCUSED_S, attempt.at + 1.0
            )
        }
        try:
            promises.check_crashing(runs, disturbed)
        except AssertionError as exc:
            self.add_violation(f'{path}: {exc}')

    def _check_configurations(self) -> None:
        probes = self._probes
        for node in self.fleet.nodes:
            for line in node.lines('refused'):
                if line['reason'] == 'no_route' and line['request'] in probes:
                    probes[line['request']] = dataclasses.replace(
                        probes[line['request']], lacked_route=True
                    )
        written_at = self._routes_written_at
        try:
            promises.check_never_back(tuple(probes.values()), written_at)
            promises.check_in_force(
                probes.values(), written_at, self._is_probe_disturbed
            )
        except AssertionError as exc:
            self.add_violation(str(exc))

    def _is_probe_disturbed(self, probe: promises.Probe) -> bool:
        """Return True if the node or the store was disturbed before."""
        since = probe.sent_at - EXCUSED_S
        return self.is_excused(probe.node, since, probe.ended_at)

    def _check_stranded(self) -> None:
        """Check that callers of nodes cut off from all targets are served.

        Compared are the times in which any node has been cut off for a while
        and any other one has its links. Requests at nodes that were disturbed
        in another way are not counted.
        """
        cuts = [cut for spans in self._stranded.values() for cut in spans]
        stranded, others = [], []
        for at, node, is_served in self._tries:
            if not any(_is_settled(cut, at) for cut in cuts):
                continue
            if self._is_disturbed_at(node, at):
                continue
            if not any(
                self._has_links(one.name, at)
                and not self._is_disturbed_at(one.name, at)
                for one in self.fleet.nodes
            ):
                continue
            if any(_is_settled(cut, at) for cut in self._stranded[node]):
                stranded.append(is_served)
            elif self._has_links(node, at):
                others.append(is_served)
        try:
            promises.check_stranded(stranded, others)
        except AssertionError as exc:
            self.add_violation(str(exc))

    def _is_disturbed_at(self, node: str, at: float) -> bool:
        return self._any_disturbed((node,), at - EXCUSED_S, at + 1.0)

    def _has_links(self, node: str, at: float) -> bool:
        return not any(
            since <= at <= until + LINKS_BACK_S
            for since, until in self._stranded[node]
        )

    def _check_leave_and_rest(self, target: ShardTarget) -> None:
        """Check that nodes heed a target's leave notice and Retry-After."""
        try:
            if target.id in self._notice_passed_on_at:
                promises.check_left(
                    target.arrivals,
                    self._sent_at,
                    self._notice_passed_on_at[target.id],
                    self._sent_while_disturbed(),
                )
            for node in self.fleet.nodes:
                promises.check_rests(
                    [a for a in target.arrivals if a.asked == node.name],
                    float(RETRY_AFTER_S),
                    functools.partial(self._any_disturbed, (node.name,)),
                )
        except AssertionError as exc:
            self.add_violation(f'{target.id}: {exc}')

    def _check_limits(self, target: ShardTarget) -> None:
        """Check that a target gets no more than its limit allows.

        Requests are not counted after a node was disturbed.
        """
        names = tuple(node.name for node in self.fleet.nodes)
        for limit, since, until in self._limits[target.id]:
            times = [
                arrival.at
                for arrival in target.arrivals
                if arrival.at <= until
                and not self._any_disturbed(
                    names, arrival.at - EXCUSED_S, arrival.at
                )
            ]
            try:
                promises.check_limit(times, limit, since)
            except AssertionError as exc:
                self.add_violation(f'{target.id}: {exc}')

    def _sent_while_disturbed(self) -> set[str]:
        names = tuple(node.name for node in self.fleet.nodes)
        return {
            request_id
            for request_id, at in self._sent_at.items()
            if self._any_disturbed(names, at - EXCUSED_S, at)
        }

    def sent_times(self) -> dict[str, float]:
        """Return when callers sent requests, by the ids of these."""
        times = {one.request_id: one.at for one in self._attempts()}
        times |= {key: probe.sent_at for key, probe in self._probes.items()}
        return times | self._sent_at

    def _attempts(self) -> list[Attempt]:
        return [
            attempt
            for attempts in self._crash_attempts.values()
            for attempt in attempts
        ]

    def disturbance_times(self) -> list[float]:
        """Return when any node or the store was disturbed, in order."""
        times = list(self._store_disturbance_times)
        for node_times in self._disturbance_times.values():
            times += node_times
        return sorted(times)

    def is_excused(self, node: str, start: float, end: float) -> bool:
        """Return whether the node or the store was disturbed meanwhile."""
        return self.is_node_disturbed(
            node, start, end
        ) or self.is_store_disturbed(start, end)

    def is_node_disturbed(self, node: str, start: float, end: float) -> bool:
        """Return whether a node was disturbed meanwhile."""
        return self._any_disturbed((node,), start, end)

    def is_store_disturbed(self, start: float, end: float) -> bool:
        """Return whether a fault of the store started or ended meanwhile."""
        return any(start <= at <= end for at in self._store_disturbance_times)

    def _any_disturbed(
        self, names: tuple[str, ...], start: float, end: float
    ) -> bool:
        return any(
            start <= at <= end
            for name in names
            for at in self._disturbance_times[name]
        )

    def _check_quarantined(self, node) -> None:
        """Check that a node quarantines only requests that crash targets."""
        for line in node.lines('refused'):
            if line['reason'] == 'quarantined':
                if line['path'] not in self._crash_attempts:
                    self.add_violation(
                        f'{node.name} quarantined {line["path"]}'
                    )

    def _check_memory(self) -> None:
        for node in self.fleet.nodes:
            used_bytes = peak_bytes(node)
            if used_bytes > SMALLEST_VM_BYTES:
                self.add_violation(
                    f'{node.name} used {used_bytes:,} bytes of memory'
                )

    def _check_drain(self, target_id: str, drained_at: float) -> None:
        last_disturbed_at = max(
            [
                self._store_disturbance_times[-1],
                *self._last_fault_at.values(),
            ]
        )
        late = [
            run
            for run in self.fleet.targets[target_id].runs
            if run.at > drained_at + DRAIN_BOUND_S
            and run.at > last_disturbed_at + EXCUSED_S
        ]
        if late:
            self.add_violation(
                f'{target_id} got {late[0].request_id} '
                f'{late[0].at - drained_at:.2f} s after it began to drain'
            )

    def add_violation(self, problem: str) -> None:
        """Record a broken promise."""
        self.violations.append(problem)

    def _save_logs(self) -> None:
        for node in self.fleet.nodes:
            name = f'/tmp/soak-{self.seed}-{node.name}.log'
            with open(name, 'wb') as file:
                file.write(node.log.read_bytes())


def _is_settled(cut: tuple[float, float], at: float) -> bool:
    """Return True if a cut began long enough ago, and goes on."""
    since, until = cut
    return since + promises.SETTLED_S <= at < until
