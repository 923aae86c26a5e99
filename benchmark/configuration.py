"""Measure how fast a change of configuration is in force everywhere.

Five real agents run on loopback; 4,800 run their real code in virtual time
over fakes of the platform, the pulls and the gossip. The baseline lets every
node watch the store.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import math
import random
import resource
import socket
import time
import tracemalloc

import defopt
from grpclib import server
import msgspec

from sesameward.codec import MsgpackCodec
from sesameward.configuration.config_peers import PULL_TIMEOUT_S
from sesameward.configuration.config_peers import PullClient
from sesameward.configuration.config_peers import PullHandler
from sesameward.configuration import declared
from sesameward.configuration.objects import ObjectBook
from sesameward.configuration.platform_client import PlatformClient
from sesameward.configuration.spread import Spread
from sesameward.controllers.configuration import Configuration
from sesameward.exceptions import PeerUnavailableError
from sesameward.exceptions import PlatformThrottledError
from sesameward.exceptions import PlatformUnavailableError
from sesameward.messages import Delta
from sesameward.messages import Digest
from sesameward.messages import Member
from sesameward.messages import Pull
from sesameward.messages import Rumor
from sesameward.messages import StoredObject
from sesameward.metrics import Metrics
from sesameward.rates import TokenBucket
from sesameward.settings import PlatformSettings
from sesameward.standin.platform import Platform
from sesameward.standin.platform import Store

from . import fleet

ZONES = 13
REGION_ZONES = 4
WATCHERS = 2
OBJECTS = 60
BURST = 50
BURSTS = 2
BASELINE_BURSTS = 1
BURST_GAP_S = 0.02
SINGLES = 3
SINGLE_GAP_S = 10.0
STORE_LATENCY_S = 0.003
ZONE_RTT_S = 0.001
REGION_RTT_S = 0.080
PULL_LOSS = 0.01
DATAGRAM_LOSS = 0.05
DEAD_SHARE = 0.01
UNKNOWN_SHARE = 0.02
VIEWS = 16
PERIOD_S = 0.5
SLOTS = 5
HTTP2_BYTES = 250
READS_PER_S = 2_000.0
BOOT_S = 10.0
TARGETS = 30_000
TARGETS_PER_POOL = 100
BOOK_CHANGES = 500
OUTAGE_S = 3_600.0
CALM_S = 30.0
OUTAGE_NODES = 240


def declare(name: str, number: int) -> bytes:
    """Return a small pool as it is stored."""
    target = declared.Target(
        id=f'{name}-t0',
        host='127.0.0.1',
        port=1 + number % 60_000,
        zone='z0',
        shards=('s0',),
    )
    return declared.encode(
        declared.Pool(name=name, service='trip-desk', targets=(target,))
    )


class FakePlatform:
    """Answer as the platform does, within its rates, and count the calls."""

    def __init__(self, now: float):
        self.store = Store()
        self.outage = False
        self.by_second: collections.Counter[int] = collections.Counter()
        self.throttled = 0
        self._reads = TokenBucket(READS_PER_S, READS_PER_S, now)

    async def list(self, kind: str) -> tuple[int, list[StoredObject]]:
        """List the objects of a kind."""
        await self._admit()
        return self.store.revision, list(self.store.live(kind))

    async def watch(
        self, kinds, since: int, wait_s: float
    ) -> tuple[int, list[StoredObject]]:
        """Wait for events."""
        await self._admit()
        await self.store.wait(set(kinds), since, wait_s)
        await asyncio.sleep(STORE_LATENCY_S)
        self._fail_in_outage()
        return self.store.revision, list(self.store.events(set(kinds), since))

    def write(self, name: str, number: int) -> int:
        """Accept a change and return its revision."""
        self._count()
        value = declare(name, number)
        return self.store.write('pool', name, value, '', False).revision

    async def _admit(self) -> None:
        self._count()
        await asyncio.sleep(STORE_LATENCY_S)
        self._fail_in_outage()
        if self._reads.take(asyncio.get_running_loop().time()) > 0.0:
            self.throttled += 1
            raise PlatformThrottledError('the platform is over its rates', 1.0)

    def _fail_in_outage(self) -> None:
        if self.outage:
            raise PlatformUnavailableError('outage; try again later')

    def _count(self) -> None:
        self.by_second[int(asyncio.get_running_loop().time())] += 1

    def calls(self, start: float, end: float) -> list[int]:
        """Return the calls of each second of a span."""
        return [self.by_second[s] for s in range(int(start), int(end))]


class Nodes:
    """Run many agents in one process over fakes."""

    def __init__(self, count: int, watchers: int, seed: int):
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.platform = FakePlatform(self.loop.time())
        self.metrics = Metrics('bench')
        self.members = tuple(
            Member(f'n{i}', f'z{i % ZONES}', '127.0.0.1', 0, i, 0)
            for i in range(count)
        )
        self.dead = {m.node for m in self._some(DEAD_SHARE)}
        self.views = [self._view() for _ in range(VIEWS)]
        self.agents = [self._agent(m, watchers) for m in self.members]
        self.hints: list[Rumor | None] = [None] * count
        self.sends = [0] * count
        self.accepted: dict[int, float] = {}
        self.delays_s: list[float] = []
        self.pulls = 0
        self.pull_bytes = 0
        self.served: collections.Counter[str] = collections.Counter()

    def _some(self, share: float) -> list[Member]:
        return self.rng.sample(self.members, int(len(self.members) * share))

    def _view(self) -> tuple[Member, ...]:
        unknown = {m.node for m in self._some(UNKNOWN_SHARE)}
        return tuple(m for m in self.members if m.node not in unknown)

    def _agent(self, member: Member, watchers: int) -> Configuration:
        rng = random.Random(self.rng.random())
        index = member.grpc_port
        view = self.views[index % VIEWS]
        agent = Configuration(
            member.node,
            Spread(member.node, member.zone, watchers, rng),
            self.platform,
            lambda peer, pull: self._pull(member, peer, pull),
            lambda: view,
            lambda rumor: self._learn(index, rumor),
            self.metrics,
            rng,
        )
        agent.on_change(self._note)
        return agent

    def live(self) -> list[Configuration]:
        """Return the agents which run."""
        return [
            agent
            for member, agent in zip(self.members, self.agents)
            if member.node not in self.dead
        ]

    async def start(self) -> asyncio.Task:
        """Start the agents over some seconds, and the gossip."""
        for agent in self.live():
            delay_s = self.rng.uniform(0.0, BOOT_S)
            self.loop.call_later(delay_s, agent.start)
        return asyncio.ensure_future(self._gossip())

    async def stop(self) -> None:
        """End all agents."""
        await asyncio.gather(*(a.stop() for a in self.live()))

    def change(self, number: int) -> None:
        """Accept one change."""
        name = f'pool-{number % OBJECTS}'
        revision = self.platform.write(name, number)
        self.accepted[revision] = self.loop.time()

    def _note(self, changed: list[StoredObject]) -> None:
        now = self.loop.time()
        for stored in changed:
            accepted = self.accepted.get(stored.revision)
            if accepted is not None:
                self.delays_s.append(now - accepted)

    async def _pull(self, source: Member, peer: Member, pull: Pull) -> Delta:
        lost = self.rng.random() < PULL_LOSS
        if lost or peer.node in self.dead:
            await asyncio.sleep(pull.wait_s + PULL_TIMEOUT_S)
            raise PeerUnavailableError(f'{peer.node} is away; ask another')
        near = source.zone == peer.zone
        await asyncio.sleep(ZONE_RTT_S if near else REGION_RTT_S)
        delta = await self.agents[peer.grpc_port].answer(pull)
        self.pulls += 1
        self.served[peer.node] += 1
        self.pull_bytes += HTTP2_BYTES + sum(
            len(msgspec.msgpack.encode(message)) for message in (pull, delta)
        )
        return delta

    def _learn(self, index: int, rumor: Rumor) -> None:
        known = self.hints[index]
        if known is None or rumor.version > known.version:
            self.hints[index] = rumor
            self.sends[index] = 3 * math.ceil(math.log10(len(self.agents) + 1))
            self.agents[index].hear(rumor)

    async def _gossip(self) -> None:
        # Each node probes a random member once a period; rumors ride on the
        # probe and on its acknowledgement.
        count = len(self.agents)
        slot = 0
        while True:
            await asyncio.sleep(PERIOD_S / SLOTS)
            slot = (slot + 1) % SLOTS
            for index in range(slot, count, SLOTS):
                other = self.rng.randrange(count)
                self._send(index, other)
                self._send(other, index)

    def _send(self, source: int, to: int) -> None:
        rumor = self.hints[source]
        if rumor is None or self.sends[source] <= 0:
            return
        self.sends[source] -= 1
        if {self.members[source].node, self.members[to].node} & self.dead:
            return
        if self.rng.random() >= DATAGRAM_LOSS:
            self._learn(to, rumor)


class Mark:
    """Hold the totals at one moment, or what was added since."""

    def __init__(self, nodes: Nodes):
        self.span_s = nodes.loop.time()
        self.calls = sum(nodes.platform.by_second.values())
        self.pulls = nodes.pulls
        self.pull_bytes = nodes.pull_bytes
        self.processor_s = time.process_time()

    def until_now(self, nodes: Nodes) -> Mark:
        """Return what was added since the mark."""
        now = Mark(nodes)
        for name, value in vars(self).items():
            setattr(now, name, getattr(now, name) - value)
        return now


def quantile(values: list[float], q: float) -> float:
    """Return a quantile of values."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


async def run_many(count: int, watchers: int, seed: int, bursts: int) -> dict:
    """Boot the nodes; apply bursts and single changes."""
    nodes = Nodes(count, watchers, seed)
    loop, platform = nodes.loop, nodes.platform
    for number in range(OBJECTS):
        platform.write(f'pool-{number}', number)
    await asyncio.sleep(1.0)
    gossip = await nodes.start()
    await until(lambda: all(a.ready.is_set() for a in nodes.live()), 300.0)
    booted = loop.time()
    await asyncio.sleep(CALM_S / 2.0)
    calm_from = Mark(nodes)
    await asyncio.sleep(CALM_S)
    calm = calm_from.until_now(nodes)
    busy_from = Mark(nodes)
    start = loop.time()
    number = OBJECTS
    for _ in range(bursts):
        for _ in range(BURST):
            nodes.change(number)
            number += 1
            await asyncio.sleep(BURST_GAP_S)
        await asyncio.sleep(SINGLE_GAP_S)
    for _ in range(SINGLES):
        nodes.change(number)
        number += 1
        await asyncio.sleep(SINGLE_GAP_S)
    newest = platform.store.revision
    await until(lambda: all(a.revision >= newest for a in nodes.live()), 60.0)
    busy = busy_from.until_now(nodes)
    calls = platform.calls(start, loop.time())
    changes = len(nodes.accepted)
    watching = sum(a.watching for a in nodes.live())
    gossip.cancel()
    await nodes.stop()
    return {
        'nodes': count,
        'watching': watching,
        'booted_s': round(booted - 1.0, 2),
        'boot_store_calls_per_s_peak': max(platform.calls(1, booted)),
        'calm_store_calls_per_s_mean': round(calm.calls / calm.span_s, 1),
        'calm_pull_bytes_per_s_per_node': round(
            calm.pull_bytes / calm.span_s / count, 1
        ),
        'calm_processor_part_per_node': calm.processor_s / calm.span_s / count,
        'changes': changes,
        'missing': len(nodes.live()) * changes - len(nodes.delays_s),
        'in_force_p50_s': round(quantile(nodes.delays_s, 0.5), 3),
        'in_force_p99_s': round(quantile(nodes.delays_s, 0.99), 3),
        'in_force_max_s': round(max(nodes.delays_s), 3),
        'store_calls_per_s_mean': round(busy.calls / busy.span_s, 1),
        'store_calls_per_s_peak': max(calls),
        'throttled': platform.throttled,
        'pulls_per_change': round(busy.pulls / changes, 1),
        'pull_bytes_per_node_per_change': round(
            (busy.pull_bytes - calm.pull_bytes * busy.span_s / calm.span_s)
            / count
            / changes,
            1,
        ),
        'processor_ms_per_node_per_change': round(
            (busy.processor_s - calm.processor_s * busy.span_s / calm.span_s)
            / count
            / changes
            * 1e3,
            4,
        ),
        'served_by_busiest': max(nodes.served.values(), default=0),
    }


async def run_outage(count: int, seed: int) -> dict:
    """Cut the store off for an hour; count its calls when it is back."""
    nodes = Nodes(count, WATCHERS, seed)
    loop, platform = nodes.loop, nodes.platform
    for number in range(OBJECTS):
        platform.write(f'pool-{number}', number)
    gossip = await nodes.start()
    await until(lambda: all(a.ready.is_set() for a in nodes.live()), 300.0)
    await asyncio.sleep(CALM_S)
    before = platform.store.revision
    platform.outage = True
    await asyncio.sleep(OUTAGE_S / 2.0)
    fresh = nodes.live()[-1]
    await fresh.stop()
    fresh.book = ObjectBook()
    fresh.ready.clear()
    fresh.start()
    started = loop.time()
    await until(lambda: fresh.revision >= before, 60.0)
    boot_s = loop.time() - started
    await asyncio.sleep(OUTAGE_S / 2.0)
    down = platform.calls(loop.time() - OUTAGE_S / 2.0, loop.time())
    platform.outage = False
    back = loop.time()
    nodes.change(1)
    newest = platform.store.revision
    await until(lambda: all(a.revision >= newest for a in nodes.live()), 120.0)
    kept = all(a.revision >= before for a in nodes.live())
    gossip.cancel()
    await nodes.stop()
    return {
        'nodes': count,
        'watching': sum(a.watching for a in nodes.live()),
        'boot_from_peers_s': round(boot_s, 2),
        'outage_store_calls_per_s_mean': round(sum(down) / len(down), 2),
        'back_store_calls_per_s_peak': max(platform.calls(back, loop.time())),
        'back_in_force_s': round(loop.time() - back, 2),
        'kept_through_outage': kept,
    }


def run_book(targets: int) -> dict:
    """Hold all targets in one book; time its updates and its delta."""
    shards = tuple(f's{index}' for index in range(4))
    objects = []
    for start in range(0, targets, TARGETS_PER_POOL):
        name = f'pool-{start}'
        pool = declared.Pool(
            name=name,
            service='trip-desk',
            targets=tuple(
                declared.Target(
                    id=f't{index}',
                    host=f'10.{index >> 16}.{index >> 8 & 255}.{index & 255}',
                    port=9_000,
                    zone=f'z{index % ZONES}',
                    shards=shards,
                )
                for index in range(start, start + TARGETS_PER_POOL)
            ),
        )
        value = declared.encode(pool)
        objects.append(StoredObject('pool', name, len(objects) + 1, value))
    tracemalloc.start()
    book = ObjectBook()
    copies = [
        msgspec.structs.replace(o, value=bytes(bytearray(o.value)))
        for o in objects
    ]
    book.apply(copies, len(objects))
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    newest = len(objects)
    started = time.process_time()
    for number in range(BOOK_CHANGES):
        newest += 1
        stored = objects[number % len(objects)]
        book.apply([msgspec.structs.replace(stored, revision=newest)], newest)
    apply_s = time.process_time() - started
    started = time.process_time()
    book.delta(Digest(newest - 1))
    delta_s = time.process_time() - started
    started = time.process_time()
    book.pools('trip-desk')
    return {
        'targets': targets,
        'held_mb': round(held_bytes / 1e6, 2),
        'apply_ms_per_change': round(apply_s / BOOK_CHANGES * 1e3, 3),
        'delta_ms': round(delta_s * 1e3, 3),
        'decode_all_ms': round((time.process_time() - started) * 1e3, 1),
    }


async def until(condition, within_s: float) -> None:
    """Wait for a condition."""
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(0.05)


async def run_five(changes: int, seed: int) -> dict:
    """Run five real agents over loopback; gossip takes up to a period."""
    rng = random.Random(seed)
    standin = Platform()
    url = f'http://127.0.0.1:{standin.start()}'
    cfg = PlatformSettings(url=url)
    metrics = Metrics('five')
    agents: dict[str, Configuration] = {}
    members: list[Member] = []
    loop = asyncio.get_running_loop()
    async with contextlib.AsyncExitStack() as stack:
        operator = PlatformClient(cfg, metrics, rng)
        stack.callback(operator.close)
        for index in range(5):
            node = f'n{index}'
            port = free_port()
            pulls = PullClient(metrics)
            client = PlatformClient(cfg, metrics, rng)
            stack.callback(client.close)
            stack.callback(pulls.close)

            def tell(rumor: Rumor, node: str = node) -> None:
                for other, agent in agents.items():
                    if other != node:
                        delay_s = rng.uniform(0.0, PERIOD_S)
                        loop.call_later(delay_s, agent.hear, rumor)

            agents[node] = Configuration(
                node,
                Spread(node, 'a', WATCHERS, rng),
                client,
                pulls.pull,
                lambda: members,
                tell,
                metrics,
                rng,
            )
            handler = PullHandler(agents[node].answer)
            grpc = server.Server([handler], codec=MsgpackCodec())
            await grpc.start('127.0.0.1', port)
            stack.callback(grpc.close)
            members.append(Member(node, 'a', '127.0.0.1', 0, port, 0))
        for agent in agents.values():
            agent.start()
            stack.push_async_callback(agent.stop)
        await until(
            lambda: sum(a.watching for a in agents.values()) == WATCHERS, 30.0
        )
        delays_s = []
        revision = None
        for number in range(changes):
            name = 'pool-0'
            revision = await operator.put(
                'pool', name, declare(name, number), revision, f'c{number}'
            )
            accepted = time.monotonic()
            while any(a.revision < revision for a in agents.values()):
                await asyncio.sleep(0.002)
            delays_s.append(time.monotonic() - accepted)
            await asyncio.sleep(rng.uniform(0.0, 0.5))
        calls = dict(standin.calls.by_method)
    await standin.stop()
    return {
        'changes': changes,
        'in_force_p50_s': round(quantile(delays_s, 0.5), 3),
        'in_force_max_s': round(max(delays_s), 3),
        'store_calls': calls,
    }


def free_port() -> int:
    """Return a port which is free at the moment."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def main(
    *,
    nodes: int = 4_800,
    changes: int = 20,
    seed: int = 1,
    baseline: bool = True,
) -> None:
    """Print the figures as JSON."""
    result = {'five': asyncio.run(run_five(changes, seed))}
    result['book'] = run_book(TARGETS)
    start = time.process_time()
    result['many'] = fleet.run(run_many(nodes, WATCHERS, seed, BURSTS))
    result['many']['processor_s'] = round(time.process_time() - start, 1)
    result['outage'] = fleet.run(run_outage(OUTAGE_NODES, seed))
    if baseline:
        result['baseline_all_watch'] = fleet.run(
            run_many(nodes, nodes, seed, BASELINE_BURSTS)
        )
    peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    result['resident_mb'] = round(peak_kb / 1024)
    print(json.dumps(result))


if __name__ == '__main__':
    defopt.run(main)
