"""Measure how long a configuration change takes to be in force on all nodes.

Five agents run in real time over loopback, and 4,800 in virtual time with
fake platform, pulls and gossip. In the baseline every node watches the
platform's store.
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
from sesameward.configuration.objects import ObjectReplica
from sesameward.configuration.platform_client import PlatformClient
from sesameward.configuration.spread import PullTree
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
CHANGES_PER_BURST = 50
BURSTS = 2
BASELINE_BURSTS = 1
BURST_GAP_S = 0.02
SINGLE_CHANGES = 3
SINGLE_GAP_S = 10.0
STORE_LATENCY_S = 0.003
ZONE_RTT_S = 0.001
REGION_RTT_S = 0.080
PULL_LOSS = 0.01
DATAGRAM_LOSS = 0.05
DEAD_FRACTION = 0.01
UNKNOWN_FRACTION = 0.02
MEMBER_VIEWS = 16
GOSSIP_PERIOD_S = 0.5
GOSSIP_SLOTS = 5
HTTP2_OVERHEAD_BYTES = 250
PLATFORM_READS_PER_S = 2_000.0
BOOT_SPREAD_S = 10.0
TARGETS = 30_000
TARGETS_PER_POOL = 100
OBJECT_CHANGES = 500
OUTAGE_S = 3_600.0
CALM_S = 30.0
OUTAGE_NODES = 240


def encode_pool(name: str, number: int) -> bytes:
    """Return an encoded pool of one target; its port depends on number."""
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
    """Serve the platform's store under a read rate limit and count calls."""

    def __init__(self, now: float):
        self.store = Store()
        self.outage = False
        self.by_second: collections.Counter[int] = collections.Counter()
        self.throttled = 0
        self._reads = TokenBucket(
            PLATFORM_READS_PER_S, PLATFORM_READS_PER_S, now
        )

    async def list(self, kind: str) -> tuple[int, list[StoredObject]]:
        """Return the store's revision and the objects of a kind."""
        await self._admit_call()
        return self.store.revision, list(self.store.live(kind))

    async def watch(
        self, kinds, since: int, wait_s: float
    ) -> tuple[int, list[StoredObject]]:
        """Return the store's revision and events; wait if there are none."""
        await self._admit_call()
        await self.store.wait(set(kinds), since, wait_s)
        await asyncio.sleep(STORE_LATENCY_S)
        self._fail_in_outage()
        return self.store.revision, list(self.store.events(set(kinds), since))

    def write(self, name: str, number: int) -> int:
        """Store a pool and return its revision."""
        self._count()
        value = encode_pool(name, number)
        return self.store.write('pool', name, value, '', False).revision

    async def _admit_call(self) -> None:
        self._count()
        await asyncio.sleep(STORE_LATENCY_S)
        self._fail_in_outage()
        if self._reads.take(asyncio.get_running_loop().time()) > 0.0:
            self.throttled += 1
            raise PlatformThrottledError('platform read rate exceeded', 1.0)

    def _fail_in_outage(self) -> None:
        if self.outage:
            raise PlatformUnavailableError('simulated platform outage')

    def _count(self) -> None:
        self.by_second[int(asyncio.get_running_loop().time())] += 1

    def calls(self, start: float, end: float) -> list[int]:
        """Return the number of calls in each second of a span."""
        return [self.by_second[s] for s in range(int(start), int(end))]


class SimulatedNodes:
    """Run many agents in one process over simulated pulls and gossip."""

    def __init__(self, count: int, watchers: int, seed: int):
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.platform = FakePlatform(self.loop.time())
        self.metrics = Metrics('bench')
        self.members = tuple(
            Member(f'n{i}', f'z{i % ZONES}', '127.0.0.1', 0, i, 0)
            for i in range(count)
        )
        self.dead = {m.node for m in self._sample_members(DEAD_FRACTION)}
        self.views = [self._make_view() for _ in range(MEMBER_VIEWS)]
        self.agents = [self._make_agent(m, watchers) for m in self.members]
        self.latest_rumors: list[Rumor | None] = [None] * count
        self.sends_left = [0] * count
        self.accepted_at_by_revision: dict[int, float] = {}
        self.delays_s: list[float] = []
        self.pulls = 0
        self.pull_bytes = 0
        self.served: collections.Counter[str] = collections.Counter()

    def _sample_members(self, fraction: float) -> list[Member]:
        return self.rng.sample(self.members, int(len(self.members) * fraction))

    def _make_view(self) -> tuple[Member, ...]:
        unknown = {m.node for m in self._sample_members(UNKNOWN_FRACTION)}
        return tuple(m for m in self.members if m.node not in unknown)

    def _make_agent(self, member: Member, watchers: int) -> Configuration:
        rng = random.Random(self.rng.random())
        index = member.grpc_port
        view = self.views[index % MEMBER_VIEWS]
        agent = Configuration(
            member.node,
            PullTree(member.node, member.zone, watchers, rng),
            self.platform,
            lambda peer, pull: self._pull(member, peer, pull),
            lambda: view,
            lambda rumor: self._receive_hint(index, rumor),
            self.metrics,
            rng,
        )
        agent.on_change(self._record_delays)
        return agent

    def live(self) -> list[Configuration]:
        """Return the agents that are not simulated as dead."""
        return [
            agent
            for member, agent in zip(self.members, self.agents)
            if member.node not in self.dead
        ]

    async def start(self) -> asyncio.Task:
        """Start gossip, and the agents at random within BOOT_SPREAD_S."""
        for agent in self.live():
            delay_s = self.rng.uniform(0.0, BOOT_SPREAD_S)
            self.loop.call_later(delay_s, agent.start)
        return asyncio.ensure_future(self._gossip())

    async def stop(self) -> None:
        """Stop all live agents."""
        await asyncio.gather(*(agent.stop() for agent in self.live()))

    def change(self, number: int) -> None:
        """Change a pool and record when the platform accepted it."""
        name = f'pool-{number % OBJECTS}'
        revision = self.platform.write(name, number)
        self.accepted_at_by_revision[revision] = self.loop.time()

    def _record_delays(self, changed: list[StoredObject]) -> None:
        now = self.loop.time()
        for stored in changed:
            accepted_at = self.accepted_at_by_revision.get(stored.revision)
            if accepted_at is not None:
                self.delays_s.append(now - accepted_at)

    async def _pull(self, source: Member, peer: Member, pull: Pull) -> Delta:
        lost = self.rng.random() < PULL_LOSS
        if lost or peer.node in self.dead:
            await asyncio.sleep(pull.wait_s + PULL_TIMEOUT_S)
            raise PeerUnavailableError(
                f'simulated pull from {peer.node} got no answer'
            )
        same_zone = source.zone == peer.zone
        await asyncio.sleep(ZONE_RTT_S if same_zone else REGION_RTT_S)
        delta = await self.agents[peer.grpc_port].answer_pull(pull)
        self.pulls += 1
        self.served[peer.node] += 1
        self.pull_bytes += HTTP2_OVERHEAD_BYTES + sum(
            len(msgspec.msgpack.encode(message)) for message in (pull, delta)
        )
        return delta

    def _receive_hint(self, index: int, rumor: Rumor) -> None:
        known = self.latest_rumors[index]
        if known is None or rumor.version > known.version:
            self.latest_rumors[index] = rumor
            self.sends_left[index] = 3 * math.ceil(
                math.log10(len(self.agents) + 1)
            )
            self.agents[index].handle_hint(rumor)

    async def _gossip(self) -> None:
        # Each node probes a random member once a period. The probe and its
        # acknowledgement carry rumors.
        count = len(self.agents)
        slot = 0
        while True:
            await asyncio.sleep(GOSSIP_PERIOD_S / GOSSIP_SLOTS)
            slot = (slot + 1) % GOSSIP_SLOTS
            for index in range(slot, count, GOSSIP_SLOTS):
                other = self.rng.randrange(count)
                self._send(index, other)
                self._send(other, index)

    def _send(self, source: int, to: int) -> None:
        rumor = self.latest_rumors[source]
        if rumor is None or self.sends_left[source] <= 0:
            return
        self.sends_left[source] -= 1
        if {self.members[source].node, self.members[to].node} & self.dead:
            return
        if self.rng.random() >= DATAGRAM_LOSS:
            self._receive_hint(to, rumor)


class Totals:
    """Hold the time, calls, pulls and processor time of a run so far.

    The object that added_since returns holds differences instead.
    """

    def __init__(self, nodes: SimulatedNodes):
        self.span_s = nodes.loop.time()
        self.calls = sum(nodes.platform.by_second.values())
        self.pulls = nodes.pulls
        self.pull_bytes = nodes.pull_bytes
        self.processor_s = time.process_time()

    def added_since(self, nodes: SimulatedNodes) -> Totals:
        """Return the differences between now and these totals."""
        now = Totals(nodes)
        for name, value in vars(self).items():
            setattr(now, name, getattr(now, name) - value)
        return now


def quantile(values: list[float], q: float) -> float:
    """Return a quantile of values, NaN if there are none."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


async def measure_simulated(
    count: int, watchers: int, seed: int, bursts: int
) -> dict:
    """Simulate nodes through boot, a calm time, bursts and single changes."""
    nodes = SimulatedNodes(count, watchers, seed)
    loop, platform = nodes.loop, nodes.platform
    for number in range(OBJECTS):
        platform.write(f'pool-{number}', number)
    await asyncio.sleep(1.0)
    gossip_task = await nodes.start()
    await wait_until(
        lambda: all(agent.ready.is_set() for agent in nodes.live()), 300.0
    )
    booted = loop.time()
    await asyncio.sleep(CALM_S / 2.0)
    calm_start = Totals(nodes)
    await asyncio.sleep(CALM_S)
    calm = calm_start.added_since(nodes)
    busy_start = Totals(nodes)
    start = loop.time()
    number = OBJECTS
    for _ in range(bursts):
        for _ in range(CHANGES_PER_BURST):
            nodes.change(number)
            number += 1
            await asyncio.sleep(BURST_GAP_S)
        await asyncio.sleep(SINGLE_GAP_S)
    for _ in range(SINGLE_CHANGES):
        nodes.change(number)
        number += 1
        await asyncio.sleep(SINGLE_GAP_S)
    newest = platform.store.revision
    await wait_until(
        lambda: all(agent.revision >= newest for agent in nodes.live()), 60.0
    )
    busy = busy_start.added_since(nodes)
    calls = platform.calls(start, loop.time())
    changes = len(nodes.accepted_at_by_revision)
    watching = sum(agent.watching for agent in nodes.live())
    gossip_task.cancel()
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


async def measure_outage(count: int, seed: int) -> dict:
    """Simulate a store outage of an hour and return its figures.

    An agent that restarts halfway must load its configuration from peers.
    Calls to the store are counted during the outage and after it.
    """
    nodes = SimulatedNodes(count, WATCHERS, seed)
    loop, platform = nodes.loop, nodes.platform
    for number in range(OBJECTS):
        platform.write(f'pool-{number}', number)
    gossip_task = await nodes.start()
    await wait_until(
        lambda: all(agent.ready.is_set() for agent in nodes.live()), 300.0
    )
    await asyncio.sleep(CALM_S)
    before = platform.store.revision
    platform.outage = True
    await asyncio.sleep(OUTAGE_S / 2.0)
    restarted = nodes.live()[-1]
    await restarted.stop()
    restarted.replica = ObjectReplica()
    restarted.ready.clear()
    restarted.start()
    started = loop.time()
    await wait_until(lambda: restarted.revision >= before, 60.0)
    boot_s = loop.time() - started
    await asyncio.sleep(OUTAGE_S / 2.0)
    outage_calls = platform.calls(loop.time() - OUTAGE_S / 2.0, loop.time())
    platform.outage = False
    restored_at = loop.time()
    nodes.change(1)
    newest = platform.store.revision
    await wait_until(
        lambda: all(agent.revision >= newest for agent in nodes.live()), 120.0
    )
    all_kept = all(agent.revision >= before for agent in nodes.live())
    gossip_task.cancel()
    await nodes.stop()
    return {
        'nodes': count,
        'watching': sum(agent.watching for agent in nodes.live()),
        'boot_from_peers_s': round(boot_s, 2),
        'outage_store_calls_per_s_mean': round(
            sum(outage_calls) / len(outage_calls), 2
        ),
        'back_store_calls_per_s_peak': max(
            platform.calls(restored_at, loop.time())
        ),
        'back_in_force_s': round(loop.time() - restored_at, 2),
        'kept_through_outage': all_kept,
    }


def measure_objects(targets: int) -> dict:
    """Measure an agent's copy of all pools: memory, updates, delta, decode."""
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
    book = ObjectReplica()
    copies = [
        msgspec.structs.replace(o, value=bytes(bytearray(o.value)))
        for o in objects
    ]
    book.apply(copies, len(objects))
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    newest = len(objects)
    started = time.process_time()
    for number in range(OBJECT_CHANGES):
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
        'apply_ms_per_change': round(apply_s / OBJECT_CHANGES * 1e3, 3),
        'delta_ms': round(delta_s * 1e3, 3),
        'decode_all_ms': round((time.process_time() - started) * 1e3, 1),
    }


async def wait_until(condition, within_s: float) -> None:
    """Wait until a condition holds; raise TimeoutError after within_s."""
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(0.05)


async def measure_real(changes: int, seed: int) -> dict:
    """Run five agents in real time over loopback and time changes.

    Gossip is simulated: each rumor takes a random time of up to a period.
    """
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

            def send_hint(rumor: Rumor, node: str = node) -> None:
                for other, agent in agents.items():
                    if other != node:
                        delay_s = rng.uniform(0.0, GOSSIP_PERIOD_S)
                        loop.call_later(delay_s, agent.handle_hint, rumor)

            agents[node] = Configuration(
                node,
                PullTree(node, 'a', WATCHERS, rng),
                client,
                pulls.pull,
                lambda: members,
                send_hint,
                metrics,
                rng,
            )
            handler = PullHandler(agents[node].answer_pull)
            grpc = server.Server([handler], codec=MsgpackCodec())
            await grpc.start('127.0.0.1', port)
            stack.callback(grpc.close)
            members.append(Member(node, 'a', '127.0.0.1', 0, port, 0))
        for agent in agents.values():
            agent.start()
            stack.push_async_callback(agent.stop)
        await wait_until(
            lambda: (
                sum(agent.watching for agent in agents.values()) == WATCHERS
            ),
            30.0,
        )
        delays_s = []
        revision = None
        for number in range(changes):
            name = 'pool-0'
            revision = await operator.put(
                'pool', name, encode_pool(name, number), revision, f'c{number}'
            )
            accepted_at = time.monotonic()
            while any(agent.revision < revision for agent in agents.values()):
                await asyncio.sleep(0.002)
            delays_s.append(time.monotonic() - accepted_at)
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
    """Return a TCP port that is free at the moment."""
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
    """Run all measurements and print the figures as JSON."""
    result = {'five': asyncio.run(measure_real(changes, seed))}
    result['book'] = measure_objects(TARGETS)
    start = time.process_time()
    result['many'] = fleet.run(
        measure_simulated(nodes, WATCHERS, seed, BURSTS)
    )
    result['many']['processor_s'] = round(time.process_time() - start, 1)
    result['outage'] = fleet.run(measure_outage(OUTAGE_NODES, seed))
    if baseline:
        result['baseline_all_watch'] = fleet.run(
            measure_simulated(nodes, nodes, seed, BASELINE_BURSTS)
        )
    peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    result['resident_mb'] = round(peak_kb / 1024)
    print(json.dumps(result))


if __name__ == '__main__':
    defopt.run(main)
