"""Measure the processor time, memory and traffic of one agent.

Cases differ in the number of members and targets and in the rate of changes.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import json
import os
import random
import subprocess
import sys
import tempfile
import time

from grpclib.server import Server
import msgspec
import pycurl

from sesameward import agent as agent_module
from sesameward.agent import Agent
from sesameward.codec import MsgpackCodec
from sesameward.configuration import declared
from sesameward.controllers.target_states import TargetStates
from sesameward.membership import antientropy
from sesameward.membership.antientropy import AntiEntropy
from sesameward.membership import datagrams
from sesameward.membership.datagrams import Ack
from sesameward.membership.datagrams import Datagram
from sesameward.membership.datagrams import introduction_of
from sesameward.membership.datagrams import Ping
from sesameward.membership.datagrams import PingRequest
from sesameward.membership.datagrams import Update
from sesameward.membership.datagrams import UpdatesOnly as GossipBody
from sesameward.membership.datagrams import WireRumor
from sesameward.membership.gossip import reply_context
from sesameward.membership.message_auth import MessageAuthenticator
from sesameward.membership.message_auth import OVERHEAD_BYTES
from sesameward.membership.peers import PeerClient
from sesameward.membership.peers import PeerHandler
from sesameward.membership.piggyback import Piggyback
from sesameward.membership.roster import Roster
from sesameward.membership.swim import Swim
from sesameward.messages import Address
from sesameward.messages import Member
from sesameward.messages import Vm
from sesameward.metrics import Metrics
from sesameward.settings import AgentSettings
from sesameward.settings import Endpoint
from sesameward.settings import MembershipSettings
from sesameward.settings import PlatformSettings
from sesameward.standin.platform import Platform
from sesameward.standin import target
from sesameward.types import NodeId
from sesameward.types import ShardId
from sesameward.types import TargetId
from sesameward.types import ZoneName

HOST = '127.0.0.1'
NODE = NodeId('erie-00-0000')
CFG = MembershipSettings(keys=('benchmark',))
TARGETS = 30_000
WINDOW_S = 15.0
JOIN_TIMEOUT_S = 60.0
IP_UDP_BYTES = 28
SYNC_CONNECTION_BYTES = 1_200
CONFIG_PER_S = 4_300 / 86_400
BUSY_CONFIG_PER_S = 0.5
POOL_TARGETS = 500
TARGET_PORTS = 20
PROBES_PER_S = 10
HOMES = 13
SHARDS = 850
# A probe takes one data packet and one acknowledgement in each direction,
# each with 52 bytes of IP and TCP headers.
PROBE_HEADER_BYTES = 2 * 52
NORMAL_CHANGES_PER_S = 4_300 / 86_400 + 2 * 2_620 / 86_400
BUSY_CHANGES_PER_S = 3.0
GOSSIP_DATAGRAMS_PER_PROBE = 2
MAX_CORE_PERCENT = 1.9
MAX_RESIDENT_MB = 64.0
MAX_KB_PER_S = 8.0


class Case(msgspec.Struct, frozen=True):
    """Set the size of the fleet and the rates of changes of one case."""

    members: int
    changes_per_s: float
    targets: int = TARGETS
    config_per_s: float = 0.0


class Ports(msgspec.Struct, frozen=True):
    """Hold the ports of the other members and of the platform."""

    gossip: int
    grpc: int
    platform: int


class Cost(msgspec.Struct, frozen=True):
    """Hold the agent's processor time, memory and traffic in one case."""

    members: int
    changes_per_s: float
    targets: int
    config_per_s: float
    seen: int
    own_targets: int
    join_s: float
    core_percent: float
    resident_mb: float
    peak_mb: float
    sent_kb_per_s: float
    received_kb_per_s: float
    probes_per_s: float
    syncs: int
    revision: int


CASES = (
    Case(5, NORMAL_CHANGES_PER_S, targets=20),
    Case(500, NORMAL_CHANGES_PER_S),
    Case(4_800, NORMAL_CHANGES_PER_S, targets=0),
    Case(4_800, NORMAL_CHANGES_PER_S, config_per_s=CONFIG_PER_S),
    Case(4_800, BUSY_CHANGES_PER_S, config_per_s=CONFIG_PER_S),
    Case(4_800, NORMAL_CHANGES_PER_S, config_per_s=BUSY_CONFIG_PER_S),
)


# The other members of the fleet, all simulated by one process.


def build_member(index: int, port: int, grpc_port: int) -> Member:
    """Return a member of a VM that runs an agent and an entry."""
    node = NodeId(f'erie-{index % 13:02}-{index:04}')
    zone = ZoneName(f'erie-{index % 13:02}')
    return Member(
        node=node,
        zone=zone,
        host=HOST,
        gossip_port=port,
        grpc_port=grpc_port,
        http_port=7_002,
        incarnation=1_790_000_000,
        entries=(Address(node, HOST, 8_080, zone, 1.0),),
    )


class OtherMembers(asyncio.DatagramProtocol):
    """Simulate all other members: answer, probe and sync with the agent."""

    def __init__(self, case: Case):
        self._case = case
        self._rng = random.Random(1)
        self._updates = Piggyback()
        self._change_count = 0
        self._agent_address: Endpoint | None = None
        self._measured: Member | None = None

    async def serve(self) -> None:
        """Start to listen, print the ports as JSON and run until killed."""
        loop = asyncio.get_running_loop()
        self._udp, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(HOST, 0)
        )
        self._port = self._udp.get_extra_info('sockname')[1]
        server = Server([PeerHandler(self._answer)], codec=MsgpackCodec())
        await server.start(HOST, 0)
        self._grpc_port = server._server.sockets[0].getsockname()[1]
        self._build_members()
        platform = Platform()
        port = platform.start()
        self._declare(platform)
        ports = Ports(self._port, self._grpc_port, port)
        print(msgspec.json.encode(ports).decode(), flush=True)
        await asyncio.gather(
            self._probe_agent(),
            self._sync_with_agent(),
            self._reconfigure(platform),
        )

    def _declare(self, platform: Platform) -> None:
        """Store the service and its pools, and list the agent's VM."""
        ports = [
            target.serve(
                target.TargetState((ShardId('s0'),), 2, 0.0, 0, 1), HOST, 0
            )
            for _ in range(TARGET_PORTS)
        ]
        self._pools = [
            build_pool(start, min(POOL_TARGETS, self._case.targets), ports)
            for start in range(0, self._case.targets, POOL_TARGETS)
        ]
        platform.vms = (Vm(NODE, HOST, ZoneName('erie-00')),)
        for declaration in (build_service(), *self._pools):
            self._write(platform, declaration)

    def _write(
        self, platform: Platform, declaration: declared.Declared
    ) -> None:
        kind, value = (
            declared.kind_of(declaration),
            declared.encode(declaration),
        )
        platform.store.write(kind, declaration.name, value, '', False)

    async def _reconfigure(self, platform: Platform) -> None:
        """Change one pool after another at the case's rate."""
        count = 0
        while self._case.config_per_s and self._pools:
            await asyncio.sleep(1.0 / self._case.config_per_s)
            count += 1
            pool = self._pools[count % len(self._pools)]
            first = msgspec.structs.replace(
                pool.targets[0], connect_ms=float(count)
            )
            targets = (first, *pool.targets[1:])
            self._write(
                platform, msgspec.structs.replace(pool, targets=targets)
            )

    async def _sync_with_agent(self) -> None:
        """Run anti-entropy with the agent as often as its peers would."""
        client = PeerClient()
        seals = self._seals[self._first.node]
        while True:
            await asyncio.sleep(CFG.push_pull_s)
            if self._measured is None:
                continue
            req = self._anti_entropy.first_request(time.monotonic())
            to = f'{HOST}:{self._measured.grpc_port}'
            body = antientropy.encode(req)
            sealed = seals.sign(body, to, time.time())
            await client.sync(self._measured, sealed)

    def _build_members(self) -> None:
        members = [
            build_member(index, self._port, self._grpc_port)
            for index in range(1, self._case.members)
        ]
        roster = Roster()
        for member in members:
            roster.merge(member)
        self._members = members
        self._first = members[0]
        self._swim = Swim(members[0], CFG, self._rng)
        self._swim.start(0.0)
        self._swim.load_roster(roster)
        self._anti_entropy = AntiEntropy(self._swim, self._rng)
        self._seals = {
            member.node: MessageAuthenticator(CFG.keys, os.urandom(8))
            for member in members
        }

    def _answer(self, sealed: bytes) -> bytes:
        to = f'{HOST}:{self._grpc_port}'
        seals = self._seals[self._first.node]
        body = seals.verify(sealed, to, time.time())
        req = antientropy.decode_request(body)
        reply, _ = self._anti_entropy.answer(time.monotonic(), req)
        data = antientropy.encode(reply)
        return seals.sign(data, reply_context(sealed), time.time())

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Acknowledge a ping in the name of the member that it is for."""
        body = data[OVERHEAD_BYTES:]
        message = datagrams.decode(body)
        self._agent_address = Endpoint(addr[0], addr[1])
        match message.body:
            case Ping(0):
                introduction = introduction_of(self._first)
                self._send(self._first.node, Ack(0), [introduction])
                for update in message.updates:
                    self._receive_update(update)
            case Ping(seq, target):
                self._send(target, Ack(seq), self._take_updates())
            case PingRequest(seq, node):
                self._send(node, Ack(seq), self._take_updates())

    def _receive_update(self, update: Update) -> None:
        match update:
            case datagrams.Introduction():
                self._measured = update.to_member()
                self._swim.merge(time.monotonic(), [self._measured])

    def _take_updates(self) -> list[Update]:
        max_update_bytes = CFG.datagram_bytes - OVERHEAD_BYTES - 160
        updates, _ = self._updates.take(max_update_bytes, self._case.members)
        return updates

    def _send(self, node: NodeId, body, updates: list[Update]) -> None:
        data = datagrams.encode(Datagram(node, body, tuple(updates)))
        to = str(self._agent_address)
        sealed = self._seals[node].sign(data, to, time.time())
        self._udp.sendto(
            sealed, (self._agent_address.host, self._agent_address.port)
        )

    async def _probe_agent(self) -> None:
        """Send the pings, gossip and changes that a whole fleet would send."""
        fanout = min(CFG.probes_per_period, len(self._members))
        probe_interval_s = CFG.period_s / fanout
        introduced = 0
        changed_at = time.monotonic()
        while True:
            await asyncio.sleep(probe_interval_s)
            if self._agent_address is None:
                continue
            for member in self._members[introduced : introduced + 100]:
                self._send(member.node, GossipBody(), [])
            introduced += 100
            interval_s = 1.0 / self._case.changes_per_s
            while time.monotonic() - changed_at > interval_s:
                changed_at += interval_s
                self._publish_change()
            sender = self._rng.choice(self._members).node
            self._send(sender, Ping(1), self._take_updates())
            if len(self._updates):
                for _ in range(GOSSIP_DATAGRAMS_PER_PROBE):
                    sender = self._rng.choice(self._members).node
                    self._send(sender, GossipBody(), self._take_updates())

    def _publish_change(self) -> None:
        """Publish a rumor at odd calls and a member's leaving at even ones."""
        self._change_count += 1
        if self._change_count % 2:
            rumor = WireRumor(
                'config', 'r', self._change_count, b'x' * 64, 60_000
            )
            self._updates.put(('r',), rumor)
            return
        index = self._rng.randrange(1, len(self._members))
        member = self._members[index]
        member = msgspec.structs.replace(
            member, incarnation=member.incarnation + 1, leaving=True
        )
        self._members[index] = member
        self._swim.merge(time.monotonic(), [member])
        self._updates.put(('m', member.node), introduction_of(member))


# The agent under measurement.


def build_service() -> declared.Service:
    """Return a service with as many shards as a query reads."""
    start_keys = [f'k{index:03}' for index in range(SHARDS)]
    start_keys[0] = ''
    return declared.Service(
        name='trip-desk',
        maps=(
            declared.ShardMap(
                1,
                tuple(
                    declared.Shard(ShardId(f's{index}'), start, end)
                    for index, (start, end) in enumerate(
                        zip(start_keys, [*start_keys[1:], None], strict=True)
                    )
                ),
            ),
        ),
        record_versions=(1,),
    )


def build_pool(start: int, count: int, ports: list[int]) -> declared.Pool:
    """Return a pool of count targets, numbered from start."""
    return declared.Pool(
        name=f'trip-desk-{start:05}',
        service='trip-desk',
        targets=tuple(
            declared.Target(
                id=TargetId(f'trip-desk-{index:05}'),
                host=HOST,
                port=ports[index % len(ports)],
                zone=ZoneName('erie-00'),
                shards=(ShardId(f's{index % SHARDS}'),),
            )
            for index in range(start, start + count)
        ),
    )


def build_settings(ports: Ports) -> AgentSettings:
    """Return the settings of the measured agent."""
    return AgentSettings(
        node=NODE,
        zone=ZoneName('erie-00'),
        http=Endpoint(HOST, 0),
        grpc=Endpoint(HOST, 0),
        gossip=Endpoint(HOST, 0),
        platform=PlatformSettings(f'http://{HOST}:{ports.platform}'),
        membership=CFG,
        seeds=(Endpoint(HOST, ports.gossip),),
        # The agent watches the store, which in a fleet only a few agents of
        # each zone do.
        watchers_per_zone=10_000,
        probes_per_s=PROBES_PER_S,
        homes=HOMES,
    )


def resident_mb(name: str) -> float:
    """Return this process's resident memory in MiB.

    The name is VmRSS for the present value or VmHWM for the peak.
    """
    with open('/proc/self/status', encoding='ascii') as status:
        line = next(line for line in status if line.startswith(name))
    return int(line.split()[1]) / 1_024


class CountedProbes(TargetStates):
    """Count the probes that an agent sends to its targets."""

    probes = 0

    def _probe(self, probed: object, now: float) -> None:
        self.probes += 1
        super()._probe(probed, now)


async def measure(case: Case, ports: Ports) -> Cost:
    """Start the agent, wait until it has joined and measure its cost."""
    agent_module.TargetStates = CountedProbes
    agent = Agent(build_settings(ports))
    began_at = time.monotonic()
    await agent.start()
    while len(agent.gossip.members()) < case.members:
        if time.monotonic() - began_at > JOIN_TIMEOUT_S:
            break
        await asyncio.sleep(0.1)
    join_s = time.monotonic() - began_at
    entry = start_entry(agent, ports)
    try:
        return await measure_window(case, agent, join_s)
    finally:
        entry.kill()
        entry.wait()


def start_entry(agent: Agent, ports: Ports) -> subprocess.Popen:
    """Start an entry that gets its configuration from the agent."""
    cfg = {
        'node': NODE,
        'zone': 'erie-00',
        'listen': {'host': HOST, 'port': 0},
        'agent': {'host': HOST, 'port': agent.grpc_port},
        'platform': {'url': f'http://{HOST}:{ports.platform}'},
    }
    handle, path = tempfile.mkstemp(suffix='.yaml')
    with open(handle, 'w', encoding='utf-8') as file:
        json.dump(cfg, file)
    return subprocess.Popen(
        [sys.executable, '-m', 'sesameward.entry', path],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


async def measure_window(case: Case, agent: Agent, join_s: float) -> Cost:
    """Return the agent's processor time, memory and traffic.

    Processor time and traffic are averages over WINDOW_S of steady operation.
    """
    metrics = agent.metrics
    await asyncio.sleep(case.members / 100 * 0.13 + 5.0)
    before = _traffic(metrics)
    probes = agent.targets.probes
    cpu_s = time.process_time()
    began_at = time.monotonic()
    await asyncio.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - began_at
    cpu_s = time.process_time() - cpu_s
    sent, received, syncs = (
        after - earlier
        for after, earlier in zip(_traffic(metrics), before, strict=True)
    )
    probes = agent.targets.probes - probes
    own_targets = len(agent.targets.statuses())
    if own_targets:
        request_bytes, reply_bytes = await asyncio.to_thread(
            probe_bytes, agent
        )
        sent += probes * request_bytes
        received += probes * reply_bytes
    return Cost(
        members=case.members,
        changes_per_s=round(case.changes_per_s, 3),
        targets=case.targets,
        config_per_s=round(case.config_per_s, 3),
        seen=len(agent.gossip.members()),
        own_targets=own_targets,
        join_s=round(join_s, 2),
        core_percent=round(100 * cpu_s / elapsed_s, 3),
        resident_mb=round(resident_mb('VmRSS'), 1),
        peak_mb=round(resident_mb('VmHWM'), 1),
        sent_kb_per_s=round(sent / elapsed_s / 1_000, 3),
        received_kb_per_s=round(received / elapsed_s / 1_000, 3),
        probes_per_s=round(probes / elapsed_s, 2),
        syncs=syncs,
        revision=agent.configuration.revision,
    )


def probe_bytes(agent: Agent) -> tuple[int, int]:
    """Return the bytes of a probe's request and reply with headers."""
    probed = next(iter(agent.targets._probed.values()))
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, probed.handle_pool.url)
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.WRITEFUNCTION, lambda _: None)
    curl.perform()
    request_bytes = curl.getinfo(pycurl.REQUEST_SIZE)
    reply_bytes = curl.getinfo(pycurl.HEADER_SIZE)
    reply_bytes += int(curl.getinfo(pycurl.SIZE_DOWNLOAD_T))
    return request_bytes + PROBE_HEADER_BYTES, reply_bytes + PROBE_HEADER_BYTES


def _traffic(metrics: Metrics) -> tuple[int, int, int]:
    """Return the bytes sent and received with headers, and the syncs."""
    syncs = metrics.value('syncs') + metrics.value('syncs_answered')
    sides = []
    for side, datagram_count in (
        ('sent', metrics.value('datagrams_sent')),
        ('received', metrics.value('datagrams_received')),
    ):
        size = metrics.value('datagram_bytes', side)
        size += metrics.value('sync_bytes', side)
        size += datagram_count * IP_UDP_BYTES
        sides.append(size + syncs * SYNC_CONNECTION_BYTES)
    return sides[0], sides[1], syncs


def run_case(case: Case) -> Cost:
    """Measure one case in new processes."""
    case_json = msgspec.json.encode(case).decode()
    command = [sys.executable, '-m', 'benchmark.control']
    other_members = subprocess.Popen(
        [*command, 'others', case_json], stdout=subprocess.PIPE, text=True
    )
    try:
        result = subprocess.run(
            [*command, 'agent', case_json, other_members.stdout.readline()],
            stdout=subprocess.PIPE,
            text=True,
            check=True,
        )
    finally:
        other_members.kill()
        other_members.wait()
    return msgspec.json.decode(
        result.stdout.strip().splitlines()[-1], type=Cost
    )


RATE_FIELDS = ('core_percent', 'sent_kb_per_s', 'received_kb_per_s')
MAX_VALUES = {
    'core_percent': MAX_CORE_PERCENT,
    'resident_mb': MAX_RESIDENT_MB,
    'peak_mb': MAX_RESIDENT_MB,
    'sent_kb_per_s': MAX_KB_PER_S,
    'received_kb_per_s': MAX_KB_PER_S,
}


def slopes(
    lower: Cost,
    higher: Cost,
    steps: float,
    names: tuple[str, ...] = RATE_FIELDS,
) -> dict[str, float]:
    """Return the increase per step of some figures between two cases."""
    return {
        name: round((getattr(higher, name) - getattr(lower, name)) / steps, 6)
        for name in names
    }


def exceeded_bounds(cost: Cost) -> dict[str, float]:
    """Return the figures that exceed their bounds."""
    return {
        name: getattr(cost, name)
        for name, bound in MAX_VALUES.items()
        if getattr(cost, name) > bound
    }


def summarize(costs: list[Cost]) -> dict:
    """Summarize the cases: figures, slopes and exceeded bounds."""
    today, small, without_targets, large, busy, busy_config = costs
    with_memory = (*RATE_FIELDS, 'resident_mb')
    return {
        'benchmark': 'control',
        'today': msgspec.to_builtins(today),
        'at_4800': msgspec.to_builtins(large),
        'per_member': slopes(
            small, large, large.members - small.members, with_memory
        ),
        'per_target': slopes(
            without_targets, large, large.targets, with_memory
        ),
        'per_member_change_per_s': slopes(
            large, busy, busy.changes_per_s - large.changes_per_s
        ),
        'per_config_change_per_s': slopes(
            large, busy_config, busy_config.config_per_s - large.config_per_s
        ),
        'misses': exceeded_bounds(large),
        'misses_today': exceeded_bounds(today),
    }


def main() -> None:
    """Measure all cases and print the figures.

    With arguments, play the other members or the agent of one case.
    """
    match sys.argv[1:]:
        case ['others', case_json]:
            case_ = msgspec.json.decode(case_json, type=Case)
            asyncio.run(OtherMembers(case_).serve())
        case ['agent', case_json, ports]:
            case_ = msgspec.json.decode(case_json, type=Case)
            decoded_ports = msgspec.json.decode(ports, type=Ports)
            cost = asyncio.run(measure(case_, decoded_ports))
            print(msgspec.json.encode(cost).decode())
        case _:
            with concurrent.futures.ThreadPoolExecutor(3) as pool:
                costs = list(pool.map(run_case, CASES))
            for cost in costs:
                print(msgspec.json.encode(cost).decode())
            print(json.dumps(summarize(costs)))


if __name__ == '__main__':
    main()
