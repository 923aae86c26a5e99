"""Draw a schedule of faults from a seed and carry it out."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import signal
import time

from sesameward.standin.shard_target import CrashHow
from sesameward.standin.shard_target import FloodHow
from tests.floods import flood_front

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
)

# A signal that ends a process has done so by then.
ENDED_S = 0.5
# Seconds that a target wants nothing after it has turned a request away.
REST_AFTER = '1.5'


@dataclasses.dataclass(frozen=True)
class Fault:
    """Hold one entry of a schedule."""

    at: float
    kind: str
    pick: float
    for_s: float


def schedule(
    seed: int, length_s: float, kinds: tuple[str, ...] = KINDS
) -> list[Fault]:
    """Return faults in series and overlapping, the same for a seed."""
    rng = random.Random(seed)
    faults = []
    at = 1.0
    while at < length_s:
        faults.append(
            Fault(
                round(at, 2),
                rng.choice(kinds),
                rng.random(),
                round(rng.uniform(0.3, 2.5), 2),
            )
        )
        at += rng.choice((0.1, 0.4, 0.8, 1.5))
    return faults


class Injector:
    """Carry out faults on a world and note when it was disturbed."""

    def __init__(self, world):
        self._world = world
        self.tasks: list[asyncio.Task] = []

    async def play(self, faults: list[Fault]) -> None:
        """Start each fault at its time; wait until all have ended."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for fault in faults:
            await asyncio.sleep(max(0.0, begun + fault.at - loop.time()))
            do = getattr(self, f'_{fault.kind}')
            self.tasks.append(asyncio.create_task(do(fault)))
        await asyncio.gather(*self.tasks)

    def _node(self, fault: Fault):
        nodes = self._world.fleet.nodes
        return nodes[int(fault.pick * len(nodes))]

    async def _target(self, fault: Fault):
        """Pick a target; wait where requests have ended all of them."""
        while True:
            targets = [
                t
                for t in self._world.fleet.targets.values()
                if t.id not in self._world.gone
            ]
            if targets:
                return targets[int(fault.pick * len(targets))]
            await asyncio.sleep(0.05)

    # Nodes.

    async def _restart(self, node, number: signal.Signals) -> None:
        self._world.disturbed(node.name, number is signal.SIGTERM)
        process = node.process
        node.send(number)
        while process.poll() is None:
            await asyncio.sleep(0.02)
        # Another fault may have restarted it meanwhile.
        if node.process is process and not self._world.over:
            node.start()
            self._world.restarted(node.name)

    async def _node_kill(self, fault: Fault) -> None:
        await self._restart(self._node(fault), signal.SIGKILL)

    async def _node_term(self, fault: Fault) -> None:
        await self._restart(self._node(fault), signal.SIGTERM)

    async def _all_killed(self, fault: Fault) -> None:
        nodes = self._world.fleet.nodes
        await asyncio.gather(
            *(self._restart(node, signal.SIGKILL) for node in nodes)
        )

    async def _node_freeze(self, fault: Fault) -> None:
        node = self._node(fault)
        self._world.disturbed(node.name)
        node.send(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        node.send(signal.SIGCONT)
        self._world.disturbed(node.name)

    async def _node_hup(self, fault: Fault) -> None:
        node = self._node(fault)
        process = node.process
        # Before its first line a program can't keep the signal from ending
        # it; the platform starts what ended again. Later it must outlive it.
        must_outlive = node.outlives(signal.SIGHUP)
        node.send(signal.SIGHUP)
        if must_outlive:
            return
        until = time.monotonic() + ENDED_S
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if process.poll() is not None and node.process is process:
            if not self._world.over:
                self._world.disturbed(node.name)
                node.start()

    # The store.

    def _doors(self, fault: Fault) -> set[str]:
        nodes = self._world.fleet.nodes
        count = 1 + int(fault.pick * len(nodes))
        return {node.name for node in nodes[:count]}

    async def _turn_away(self, fault: Fault, names: set[str]) -> None:
        doors = self._doors(fault)
        self._world.store_disturbed()
        names |= doors
        await asyncio.sleep(fault.for_s)
        names -= doors
        self._world.store_disturbed()

    async def _store_busy(self, fault: Fault) -> None:
        faults = self._world.fleet.store.faults
        await self._turn_away(fault, faults.busy_for)

    async def _store_silent(self, fault: Fault) -> None:
        faults = self._world.fleet.store.faults
        await self._turn_away(fault, faults.silent_for)

    async def _store_slow(self, fault: Fault) -> None:
        self._world.store_disturbed()
        self._world.fleet.store.faults.slow_s = 0.2
        await asyncio.sleep(fault.for_s)
        self._world.fleet.store.faults.slow_s = 0.0
        self._world.store_disturbed()

    async def _store_forgets(self, fault: Fault) -> None:
        self._world.fleet.store.forget_history()

    async def _store_cut(self, fault: Fault) -> None:
        self._world.store_disturbed()
        proxies = self._world.store_proxies
        proxy = proxies[int(fault.pick * len(proxies))]
        proxy.mute_down = True
        await asyncio.sleep(fault.for_s)
        proxy.calm()
        self._world.store_disturbed()

    # Targets and the links to them.

    async def _switch(self, fault: Fault, name: str) -> None:
        target = await self._target(fault)
        setattr(target.faults, name, True)
        await asyncio.sleep(fault.for_s)
        setattr(target.faults, name, False)

    async def _target_pause(self, fault: Fault) -> None:
        await self._switch(fault, 'paused')

    async def _target_sheds(self, fault: Fault) -> None:
        await self._switch(fault, 'sheds')

    async def _target_fails(self, fault: Fault) -> None:
        await self._switch(fault, 'fails')

    async def _target_loses(self, fault: Fault) -> None:
        await self._switch(fault, 'loses_answers')

    async def _target_encodes(self, fault: Fault) -> None:
        await self._switch(fault, 'encodes')

    async def _target_crash(self, fault: Fault) -> None:
        target = await self._target(fault)
        await self._world.replace(target)
        self._world.gone.add(target.id)
        target.stop()
        await asyncio.sleep(fault.for_s)
        self._world.fleet.store.delete('servers', target.id)

    async def _target_drain(self, fault: Fault) -> None:
        target = await self._target(fault)
        await self._world.replace(target)
        self._world.drain(target)

    def _link(self, fault: Fault):
        proxies = list(self._world.target_proxies.values())
        return proxies[int(fault.pick * len(proxies))]

    async def _link_delay(self, fault: Fault) -> None:
        proxy = self._link(fault)
        proxy.delay_s = 0.15
        await asyncio.sleep(fault.for_s)
        proxy.calm()

    async def _link_reset(self, fault: Fault) -> None:
        self._link(fault).reset()

    async def _link_mute(self, fault: Fault) -> None:
        proxy = self._link(fault)
        if fault.pick < 0.5:
            proxy.mute_up = True
        else:
            proxy.mute_down = True
        await asyncio.sleep(fault.for_s)
        proxy.calm()

    async def _target_leaves(self, fault: Fault) -> None:
        target = await self._target(fault)
        await self._world.replace(target)
        self._world.leave(target)

    async def _rest(self, targets, fault: Fault) -> None:
        for target in targets:
            target.faults.rest_after = REST_AFTER
            target.faults.sheds = True
        await asyncio.sleep(fault.for_s)
        for target in targets:
            target.faults.sheds = False

    async def _target_rests(self, fault: Fault) -> None:
        await self._rest([await self._target(fault)], fault)

    async def _service_rests(self, fault: Fault) -> None:
        chosen = await self._target(fault)
        targets = self._world.fleet.targets.values()
        await self._rest(
            [one for one in targets if one.service == chosen.service], fault
        )

    async def _request_crash(self, fault: Fault) -> None:
        kind = ('q', 'safe', 'once')[int(fault.pick * 3)]
        how = list(CrashHow)[int(fault.pick * 100) % len(CrashHow)]
        self._world.begin_crashing(kind, how)

    async def _target_floods(self, fault: Fault) -> None:
        target = await self._target(fault)
        target.faults.floods = list(FloodHow)[
            int(fault.pick * 100) % len(FloodHow)
        ]
        await asyncio.sleep(fault.for_s)
        target.faults.floods = None

    async def _caller_floods(self, fault: Fault) -> None:
        until = time.monotonic() + fault.for_s
        await flood_front(self._node(fault), until)

    async def _config(self, fault: Fault) -> None:
        self._world.change_config()
