"""Generate a seeded schedule of faults and inject them into a run."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import signal
import time

import msgspec

from sesameward.standin.fleet import GRACE_S
from sesameward.standin.links import Cut
from sesameward.standin.shard_target import CopyHow
from sesameward.standin.shard_target import CrashHow
from sesameward.standin.shard_target import FloodHow
from tests.floods import flood_front

# Each kind is injected by the Injector method of that name. The order is part
# of every seed's schedule, and regression seeds use a prefix of this tuple.
KINDS = (
    'node_kill',
    'node_term',
    'node_freeze',
    'node_hup',
    'all_killed',
    'store_busy',
    'store_silent',
    'store_slow',
    'store_forgets',
    'store_cut',
    'target_pause',
    'target_sheds',
    'target_fails',
    'target_loses',
    'target_encodes',
    'target_crash',
    'target_drain',
    'link_delay',
    'link_reset',
    'link_mute',
    'config',
    'request_crash',
    'target_leaves',
    'target_rests',
    'service_rests',
    'target_floods',
    'caller_floods',
    'target_limits',
    'service_limits',
    'nodes_stranded',
    'store_restored',
    'service_copies',
    'entry_forged',
    'node_term_starting',
)

# Time within which a signal that ends a process takes effect.
SIGNAL_TIMEOUT_S = 0.5
# Signals to a node that is starting, 1 ms apart, and when they come: after its
# line "started" by up to STARTED_DELAY_S, or at any time of its start.
STARTING_SIGNALS = (
    (signal.SIGTERM,),
    (signal.SIGINT,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM),
)
STARTED_DELAY_S = 0.012
START_S = 0.5
# Retry-After value, in seconds, with which targets refuse requests.
RETRY_AFTER_S = '1.5'
# Requests per second to which targets limit all nodes, and for how long. It is
# checked in the second half of this time only.
TARGET_LIMIT_PER_S = 4.0
TARGET_LIMIT_S = 8.0
# Versions of the configuration that a restored store has lost, and the longest
# time after which the operator writes the last one again.
LOST_VERSIONS = 10
REPEATED_AFTER_S = 2.0
# Time for which nodes are cut off from all targets. From SETTLED_S of the
# promises on, their callers must be served.
STRANDED_S = 7.0
# A service that sends its refusals twice refuses requests for this time, then
# accepts them for as long, and so on.
REFUSING_S = 0.01
NESTED = b'[' * 3_000 + b']' * 3_000
# Registrations of another writer, as they stand in the store.
FORGED_SPECS = (
    NESTED,
    b'{"service": "shard-0", "unknown": %s}' % NESTED,
    b'{"service": "\\ud800"}',
    b'{"service": "shard-0", "address": "a..b:80", "zone": "zone-a", '
    b'"slots": 2, "state": "ready", "seq": 1}',
)


@dataclasses.dataclass(frozen=True)
class Fault:
    """Describe one scheduled fault.

    start_s is the time from the start of the run. fraction, in [0, 1),
    selects the node or target that is hit and variants of the fault. Faults
    without a duration ignore duration_s.
    """

    start_s: float
    kind: str
    fraction: float
    duration_s: float


def schedule(
    seed: int, length_s: float, kinds: tuple[str, ...] = KINDS
) -> list[Fault]:
    """Return separate and overlapping faults, always the same for a seed."""
    rng = random.Random(seed)
    faults = []
    start_s = 1.0
    while start_s < length_s:
        faults.append(
            Fault(
                round(start_s, 2),
                rng.choice(kinds),
                rng.random(),
                round(rng.uniform(0.3, 2.5), 2),
            )
        )
        start_s += rng.choice((0.1, 0.4, 0.8, 1.5))
    return faults


class Injector:
    """Inject faults into a run and report each disturbance to it."""

    def __init__(self, world):
        self.world = world
        self.tasks: list[asyncio.Task] = []

    async def run_schedule(self, faults: list[Fault]) -> None:
        """Start each fault at its time; wait until all have ended."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for fault in faults:
            await asyncio.sleep(
                max(0.0, started_at + fault.start_s - loop.time())
            )
            inject = getattr(self, f'_{fault.kind}')
            self.tasks.append(asyncio.create_task(inject(fault)))
        await asyncio.gather(*self.tasks)

    def _node(self, fault: Fault):
        nodes = self.world.fleet.nodes
        return nodes[int(fault.fraction * len(nodes))]

    async def select_target(self, fault: Fault):
        """Select a target that still serves.

        Wait while all are withdrawn, as after requests that crash targets.
        """
        while True:
            targets = [
                t
                for t in self.world.fleet.targets.values()
                if t.id not in self.world.withdrawn_target_ids
            ]
            if targets:
                return targets[int(fault.fraction * len(targets))]
            await asyncio.sleep(0.05)

    # Faults of nodes.

    async def _restart(self, node, number: signal.Signals) -> None:
        self.world.record_disturbance(node.name, number is signal.SIGTERM)
        process = node.process
        node.send(number)
        await self._wait_for_end(node, process)
        # An overlapping fault may have restarted the node already.
        if node.process is process and not self.world.is_over:
            node.start()
            self.world.record_restart(node.name)

    async def _wait_for_end(self, node, process) -> None:
        """Wait until a process that was told to stop has ended.

        It is killed after GRACE_S, as by the platform.
        """
        signal_at = time.monotonic()
        while process.poll() is None:
            await asyncio.sleep(0.02)
            if time.monotonic() - signal_at > GRACE_S:
                self.world.record_late_stop(node.name, signal_at)
                process.kill()
                process.wait()

    async def _node_term_starting(self, fault: Fault) -> None:
        """Stop a node, and stop it again while it is starting."""
        node = self._node(fault)
        await self._restart(node, signal.SIGTERM)
        process, starts = node.process, len(node.lines('started'))
        variant = int(fault.fraction * 1_000)
        if variant % 2:
            await asyncio.sleep(START_S * (variant % 97) / 97)
        else:
            while len(node.lines('started')) == starts:
                if process.poll() is not None:
                    return
                await asyncio.sleep(0.001)
            await asyncio.sleep(STARTED_DELAY_S * (variant % 97) / 97)
        if node.process is not process:
            return
        self.world.record_disturbance(node.name, is_planned=True)
        for number in STARTING_SIGNALS[variant // 2 % len(STARTING_SIGNALS)]:
            node.send(number)
            await asyncio.sleep(0.001)
        await self._wait_for_end(node, process)
        if node.process is process and not self.world.is_over:
            node.start()
            self.world.record_restart(node.name)

    async def _node_kill(self, fault: Fault) -> None:
        await self._restart(self._node(fault), signal.SIGKILL)

    async def _node_term(self, fault: Fault) -> None:
        await self._restart(self._node(fault), signal.SIGTERM)

    async def _all_killed(self, fault: Fault) -> None:
        nodes = self.world.fleet.nodes
        await asyncio.gather(
            *(self._restart(node, signal.SIGKILL) for node in nodes)
        )

    async def _node_freeze(self, fault: Fault) -> None:
        node = self._node(fault)
        self.world.record_freeze(node.name)
        node.send(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        node.send(signal.SIGCONT)
        self.world.record_freeze(node.name)

    async def _node_hup(self, fault: Fault) -> None:
        node = self._node(fault)
        process = node.process
        # SIGHUP ends a process that has not yet set a handler for it; the
        # platform then restarts the process. Once the handler is set, the
        # process must survive the signal.
        must_survive = node.outlives(signal.SIGHUP)
        node.send(signal.SIGHUP)
        if must_survive:
            return
        deadline = time.monotonic() + SIGNAL_TIMEOUT_S
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        if process.poll() is not None and node.process is process:
            if not self.world.is_over:
                self.world.record_disturbance(node.name)
                node.start()

    async def _nodes_stranded(self, fault: Fault) -> None:
        """Cut nodes off from all targets, but from nobody else."""
        nodes = self.world.fleet.nodes
        count = 1 + int(fault.fraction * (len(nodes) - 1))
        first = int(fault.fraction * 1_000) % len(nodes)
        how = list(Cut)[int(fault.fraction * 100) % len(Cut)]
        stranded = [nodes[(first + n) % len(nodes)] for n in range(count)]
        for node in stranded:
            self.world.begin_stranding(node.name)
            await node.links.cut(how)
        await asyncio.sleep(STRANDED_S)
        for node in stranded:
            # A later cut of the same node goes on.
            if self.world.end_stranding(node.name):
                await node.links.heal()

    # Faults of the store.

    def _node_names(self, fault: Fault) -> set[str]:
        nodes = self.world.fleet.nodes
        count = 1 + int(fault.fraction * len(nodes))
        return {node.name for node in nodes[:count]}

    async def _apply_store_fault(
        self, fault: Fault, faulted_names: set[str]
    ) -> None:
        added_names = self._node_names(fault)
        self.world.record_store_disturbance()
        faulted_names |= added_names
        await asyncio.sleep(fault.duration_s)
        faulted_names -= added_names
        self.world.record_store_disturbance()

    async def _store_busy(self, fault: Fault) -> None:
        faults = self.world.fleet.store.faults
        await self._apply_store_fault(fault, faults.busy_for)

    async def _store_silent(self, fault: Fault) -> None:
        faults = self.world.fleet.store.faults
        await self._apply_store_fault(fault, faults.silent_for)

    async def _store_slow(self, fault: Fault) -> None:
        self.world.record_store_disturbance()
        self.world.fleet.store.faults.slow_s = 0.2
        await asyncio.sleep(fault.duration_s)
        self.world.fleet.store.faults.slow_s = 0.0
        self.world.record_store_disturbance()

    async def _store_forgets(self, fault: Fault) -> None:
        self.world.fleet.store.forget_history()

    async def _store_restored(self, fault: Fault) -> None:
        """Take the store away and restore it from a copy that lacks writes.

        Targets and operator repeat their last writes some time later.
        """
        world = self.world
        store = world.fleet.store
        copy = store.copy()
        for _ in range(1 + int(fault.fraction * LOST_VERSIONS)):
            world.change_config()
        await asyncio.sleep(fault.duration_s)
        names = {node.name for node in world.fleet.nodes}
        world.record_store_disturbance()
        store.faults.silent_for |= names
        await asyncio.sleep(fault.fraction)
        store.restore(copy)
        store.faults.silent_for -= names
        world.record_store_disturbance()
        for kind in world.repeated_kinds:
            await asyncio.sleep(fault.fraction * REPEATED_AFTER_S / 2)
            store.repeat_writes(kind, world.fleet.rng)
        world.record_store_disturbance()

    async def _entry_forged(self, fault: Fault) -> None:
        store = self.world.fleet.store
        spec = FORGED_SPECS[int(fault.fraction * 100) % len(FORGED_SPECS)]
        store.put('servers', f'forged-{fault.start_s}', msgspec.Raw(spec))
        await asyncio.sleep(fault.duration_s)
        store.delete('servers', f'forged-{fault.start_s}')

    async def _store_cut(self, fault: Fault) -> None:
        self.world.record_store_disturbance()
        proxies = self.world.store_proxies
        proxy = proxies[int(fault.fraction * len(proxies))]
        proxy.discards_to_client = True
        await asyncio.sleep(fault.duration_s)
        proxy.clear_faults()
        self.world.record_store_disturbance()

    # Faults of targets and of the connections to them.

    async def _enable_for_duration(self, fault: Fault, name: str) -> None:
        target = await self.select_target(fault)
        setattr(target.faults, name, True)
        await asyncio.sleep(fault.duration_s)
        setattr(target.faults, name, False)

    async def _target_pause(self, fault: Fault) -> None:
        await self._enable_for_duration(fault, 'paused')

    async def _target_sheds(self, fault: Fault) -> None:
        await self._enable_for_duration(fault, 'sheds')

    async def _target_fails(self, fault: Fault) -> None:
        await self._enable_for_duration(fault, 'fails')

    async def _target_loses(self, fault: Fault) -> None:
        await self._enable_for_duration(fault, 'loses_answers')

    async def _target_encodes(self, fault: Fault) -> None:
        await self._enable_for_duration(fault, 'encodes')

    async def _target_crash(self, fault: Fault) -> None:
        target = await self.select_target(fault)
        await self.world.add_replacement(target)
        self.world.withdrawn_target_ids.add(target.id)
        target.stop()
        await asyncio.sleep(fault.duration_s)
        self.world.fleet.store.delete('servers', target.id)

    async def _target_drain(self, fault: Fault) -> None:
        target = await self.select_target(fault)
        await self.world.add_replacement(target)
        self.world.drain(target)

    def _target_proxy(self, fault: Fault):
        proxies = list(self.world.target_proxies.values())
        return proxies[int(fault.fraction * len(proxies))]

    async def _link_delay(self, fault: Fault) -> None:
        proxy = self._target_proxy(fault)
        proxy.delay_s = 0.15
        await asyncio.sleep(fault.duration_s)
        proxy.clear_faults()

    async def _link_reset(self, fault: Fault) -> None:
        self._target_proxy(fault).reset_connections()

    async def _link_mute(self, fault: Fault) -> None:
        proxy = self._target_proxy(fault)
        if fault.fraction < 0.5:
            proxy.discards_to_server = True
        else:
            proxy.discards_to_client = True
        await asyncio.sleep(fault.duration_s)
        proxy.clear_faults()

    async def _target_leaves(self, fault: Fault) -> None:
        target = await self.select_target(fault)
        await self.world.add_replacement(target)
        self.world.announce_leaving(target)

    async def _request_rest(self, targets, fault: Fault) -> None:
        for target in targets:
            target.faults.rest_after = RETRY_AFTER_S
            target.faults.sheds = True
        await asyncio.sleep(fault.duration_s)
        for target in targets:
            target.faults.sheds = False

    async def _target_rests(self, fault: Fault) -> None:
        await self._request_rest([await self.select_target(fault)], fault)

    async def _service_rests(self, fault: Fault) -> None:
        selected = await self.select_target(fault)
        await self._request_rest(self.targets_of(selected.service), fault)

    async def _service_copies(self, fault: Fault) -> None:
        """Refuse requests of a service now and then, and repeat refusals."""
        selected = await self.select_target(fault)
        targets = self.targets_of(selected.service)
        how = list(CopyHow)[int(fault.fraction * 100) % len(CopyHow)]
        for target in targets:
            target.faults.copies_refusals = how
        until = time.monotonic() + fault.duration_s
        while time.monotonic() < until:
            for sheds in (True, False):
                for target in targets:
                    target.faults.sheds = sheds
                await asyncio.sleep(REFUSING_S)
        for target in targets:
            target.faults.copies_refusals = None

    async def _limit(self, targets, fault: Fault) -> None:
        limit = TARGET_LIMIT_PER_S * (1 + int(fault.fraction * 5))
        for target in targets:
            self.world.limit_target(target, limit)
        await asyncio.sleep(TARGET_LIMIT_S)
        for target in targets:
            self.world.end_limit(target)

    async def _target_limits(self, fault: Fault) -> None:
        await self._limit([await self.select_target(fault)], fault)

    async def _service_limits(self, fault: Fault) -> None:
        selected = await self.select_target(fault)
        await self._limit(self.targets_of(selected.service), fault)

    def targets_of(self, service: str):
        """Return all targets of a service, also those withdrawn."""
        targets = self.world.fleet.targets.values()
        return [target for target in targets if target.service == service]

    async def _request_crash(self, fault: Fault) -> None:
        kind = ('q', 'safe', 'once')[int(fault.fraction * 3)]
        how = list(CrashHow)[int(fault.fraction * 100) % len(CrashHow)]
        self.world.start_crashing_request(kind, how)

    async def _target_floods(self, fault: Fault) -> None:
        target = await self.select_target(fault)
        target.faults.floods = list(FloodHow)[
            int(fault.fraction * 100) % len(FloodHow)
        ]
        await asyncio.sleep(fault.duration_s)
        target.faults.floods = None

    async def _caller_floods(self, fault: Fault) -> None:
        deadline = time.monotonic() + fault.duration_s
        await flood_front(self._node(fault), deadline)

    async def _config(self, fault: Fault) -> None:
        self.world.change_config()
