"""Measure what one agent's membership costs at several sizes."""

from __future__ import annotations

import asyncio
import concurrent.futures
import json
import os
import random
import subprocess
import sys
import time

from grpclib.server import Server
import msgspec

from sesameward import antientropy
from sesameward.antientropy import AntiEntropy
from sesameward.codec import MsgpackCodec
from sesameward import datagrams
from sesameward.datagrams import Ack
from sesameward.datagrams import Datagram
from sesameward.datagrams import Gossip as GossipBody
from sesameward.datagrams import introduce
from sesameward.datagrams import Ping
from sesameward.datagrams import PingRequest
from sesameward.datagrams import Update
from sesameward.datagrams import WireRumor
from sesameward.declared import Target
from sesameward.gossip import bind_reply
from sesameward.gossip import Gossip
from sesameward.messages import Address
from sesameward.messages import LoadReport
from sesameward.messages import Member
from sesameward.messages import TargetStatus
from sesameward.metrics import Metrics
from sesameward.peers import PeerClient
from sesameward.peers import PeerHandler
from sesameward.piggyback import Piggyback
from sesameward.roster import Roster
from sesameward.seals import OVERHEAD_BYTES
from sesameward.seals import Seals
from sesameward.settings import AgentSettings
from sesameward.settings import Endpoint
from sesameward.settings import MembershipSettings
from sesameward.settings import PlatformSettings
from sesameward.swim import Swim
from sesameward.types import NodeId
from sesameward.types import ShardId
from sesameward.types import TargetId
from sesameward.types import ZoneName

HOST = '127.0.0.1'
CFG = MembershipSettings(keys=('benchmark',))
TARGETS = 30_000
WINDOW_S = 20.0
JOIN_TIMEOUT_S = 60.0
IP_UDP_BYTES = 28
SYNC_CONNECTION_BYTES = 1_200
NORMAL_CHANGES_PER_S = 4_300 / 86_400 + 2 * 2_620 / 86_400
BUSY_CHANGES_PER_S = 3.0
GOSSIPS_PER_PROBE = 2
MAX_CORE_PERCENT = 1.9
MAX_RESIDENT_MB = 64.0
MAX_KB_PER_S = 8.0


class Case(msgspec.Struct, frozen=True):
    """Say what one agent is measured under."""

    members: int
    changes_per_s: float
    targets: int = TARGETS


class Cost(msgspec.Struct, frozen=True):
    """Hold what one agent took."""

    members: int
    changes_per_s: float
    targets: int
    seen: int
    join_s: float
    core_percent: float
    resident_mb: float
    import_mb: float
    targets_mb: float
    sent_kb_per_s: float
    received_kb_per_s: float
    syncs: int


CASES = (
    Case(5, NORMAL_CHANGES_PER_S, targets=0),
    Case(5, NORMAL_CHANGES_PER_S),
    Case(500, NORMAL_CHANGES_PER_S),
    Case(1_500, NORMAL_CHANGES_PER_S),
    Case(4_800, NORMAL_CHANGES_PER_S),
    Case(4_800, BUSY_CHANGES_PER_S),
)


# The other members: one process answers for all of them.


def build_member(index: int, port: int, grpc_port: int) -> Member:
    """Return a member with one entry, as a VM has."""
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


class Others(asyncio.DatagramProtocol):
    """Answer and probe one agent on behalf of all other members."""

    def __init__(self, case: Case):
        self._case = case
        self._rng = random.Random(1)
        self._updates = Piggyback()
        self._versions = 0
        self._agent: Endpoint | None = None
        self._measured: Member | None = None

    async def serve(self) -> None:
        """Print the ports, then run until the process is ended."""
        loop = asyncio.get_running_loop()
        self._udp, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(HOST, 0)
        )
        self._port = self._udp.get_extra_info('sockname')[1]
        server = Server([PeerHandler(self._answer)], codec=MsgpackCodec())
        await server.start(HOST, 0)
        self._grpc_port = server._server.sockets[0].getsockname()[1]
        self._build()
        print(self._port, self._grpc_port, flush=True)
        await asyncio.gather(self._probe(), self._compare())

    async def _compare(self) -> None:
        """Ask the agent for what differs as often as peers would."""
        client = PeerClient()
        seals = self._seals[self._first.node]
        while True:
            await asyncio.sleep(CFG.push_pull_s)
            if self._measured is None:
                continue
            req = self._anti_entropy.begin(time.monotonic())
            to = f'{HOST}:{self._measured.grpc_port}'
            body = antientropy.encode(req)
            sealed = seals.seal(body, to, time.time())
            await client.sync(self._measured, sealed)

    def _build(self) -> None:
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
        self._swim.adopt_all(roster)
        self._anti_entropy = AntiEntropy(self._swim, self._rng)
        self._seals = {
            member.node: Seals(CFG.keys, os.urandom(8)) for member in members
        }

    def _answer(self, sealed: bytes) -> bytes:
        to = f'{HOST}:{self._grpc_port}'
        seals = self._seals[self._first.node]
        body = seals.open(sealed, to, time.time())
        req = antientropy.decode_request(body)
        reply, _ = self._anti_entropy.answer(time.monotonic(), req)
        data = antientropy.encode(reply)
        return seals.seal(data, bind_reply(sealed), time.time())

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Answer a ping as the member which it is for."""
        body = data[OVERHEAD_BYTES:]
        message = datagrams.decode(body)
        self._agent = Endpoint(addr[0], addr[1])
        match message.body:
            case Ping(0):
                introduction = introduce(self._first)
                self._send(self._first.node, Ack(0), [introduction])
                for update in message.updates:
                    self._learn(update)
            case Ping(seq, target):
                self._send(target, Ack(seq), self._take())
            case PingRequest(seq, _):
                self._send(message.sender, Ack(seq), self._take())

    def _learn(self, update: Update) -> None:
        match update:
            case datagrams.Introduction():
                self._measured = update.to_member()
                self._swim.merge(time.monotonic(), [self._measured])

    def _take(self) -> list[Update]:
        room = CFG.datagram_bytes - OVERHEAD_BYTES - 160
        updates, _ = self._updates.take(room, self._case.members)
        return updates

    def _send(self, node: NodeId, body, updates: list[Update]) -> None:
        data = datagrams.encode(Datagram(node, body, tuple(updates)))
        to = str(self._agent)
        sealed = self._seals[node].seal(data, to, time.time())
        self._udp.sendto(sealed, (self._agent.host, self._agent.port))

    async def _probe(self) -> None:
        """Send what the agent would get from a whole fleet."""
        fanout = min(CFG.probes_per_period, len(self._members))
        step_s = CFG.period_s / fanout
        greeted = 0
        changed_at = time.monotonic()
        while True:
            await asyncio.sleep(step_s)
            if self._agent is None:
                continue
            for member in self._members[greeted : greeted + 100]:
                self._send(member.node, GossipBody(), [])
            greeted += 100
            interval_s = 1.0 / self._case.changes_per_s
            while time.monotonic() - changed_at > interval_s:
                changed_at += interval_s
                self._change()
            sender = self._rng.choice(self._members).node
            self._send(sender, Ping(1), self._take())
            if len(self._updates):
                for _ in range(GOSSIPS_PER_PROBE):
                    sender = self._rng.choice(self._members).node
                    self._send(sender, GossipBody(), self._take())

    def _change(self) -> None:
        """Let a rumor or a member change, by turns."""
        self._versions += 1
        if self._versions % 2:
            rumor = WireRumor('config', 'r', self._versions, b'x' * 64, 60_000)
            self._updates.put(('r',), rumor)
            return
        index = self._rng.randrange(1, len(self._members))
        member = self._members[index]
        member = msgspec.structs.replace(
            member, incarnation=member.incarnation + 1, leaving=True
        )
        self._members[index] = member
        self._swim.merge(time.monotonic(), [member])
        self._updates.put(('m', member.node), introduce(member))


# The measured agent.


def build_targets(count: int) -> dict[TargetId, tuple]:
    """Return declared targets and what is known of them, by id."""
    targets = (build_target(index) for index in range(count))
    return {
        target.id: (target, TargetStatus(target.id, report=LoadReport()))
        for target in targets
    }


def build_target(index: int) -> Target:
    """Return one declared target."""
    return Target(
        id=TargetId(f'trip-desk-{index:05}'),
        host=f'10.{index >> 16}.{index >> 8 & 255}.{index & 255}',
        port=9_000,
        zone=ZoneName('erie-00'),
        shards=(ShardId(f's{index % 850}'),),
    )


def resident_mb() -> float:
    """Return this process's resident memory."""
    with open('/proc/self/statm', encoding='ascii') as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 1_048_576


def import_agent() -> None:
    """Load what an agent's process loads besides its membership."""
    import tornado.httpserver  # noqa: F401
    import tornado.web  # noqa: F401
    import yaml  # noqa: F401


async def measure(case: Case, port: int, grpc_port: int) -> Cost:
    """Join and return the cost of a steady stretch."""
    import_agent()
    import_mb = resident_mb()
    targets = build_targets(case.targets)
    targets_mb = resident_mb() - import_mb
    metrics = Metrics('agent')
    handler = PeerHandler(lambda sealed: gossip.answer_sync(sealed))
    server = Server([handler], codec=MsgpackCodec())
    await server.start(HOST, 0)
    own_grpc_port = server._server.sockets[0].getsockname()[1]
    gossip = Gossip(
        AgentSettings(
            node=NodeId('erie-00-0000'),
            zone=ZoneName('erie-00'),
            http=Endpoint(HOST, 0),
            grpc=Endpoint(HOST, 0),
            gossip=Endpoint(HOST, 0),
            platform=PlatformSettings('http://127.0.0.1:1'),
            membership=CFG,
            seeds=(Endpoint(HOST, port),),
        ),
        build_member(0, 1, own_grpc_port),
        metrics,
        random.Random(1),
        PeerClient(),
    )
    began = time.monotonic()
    await gossip.start()
    while len(gossip.members()) < case.members:
        if time.monotonic() - began > JOIN_TIMEOUT_S:
            break
        await asyncio.sleep(0.1)
    join_s = time.monotonic() - began
    await asyncio.sleep(case.members / 100 * 0.13 + 2.0)
    before = _traffic(metrics)
    cpu_s = time.process_time()
    began = time.monotonic()
    await asyncio.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - began
    cpu_s = time.process_time() - cpu_s
    sent, received, syncs = (
        after - earlier
        for after, earlier in zip(_traffic(metrics), before, strict=True)
    )
    cost = Cost(
        members=case.members,
        changes_per_s=round(case.changes_per_s, 3),
        targets=len(targets),
        seen=len(gossip.members()),
        join_s=round(join_s, 2),
        core_percent=round(100 * cpu_s / elapsed_s, 3),
        resident_mb=round(resident_mb(), 1),
        import_mb=round(import_mb, 1),
        targets_mb=round(targets_mb, 1),
        sent_kb_per_s=round(sent / elapsed_s / 1_000, 3),
        received_kb_per_s=round(received / elapsed_s / 1_000, 3),
        syncs=syncs,
    )
    await gossip.stop(leave=False)
    server.close()
    return cost


def _traffic(metrics: Metrics) -> tuple[int, int, int]:
    """Return bytes sent and received with headers, and exchanges."""
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
    """Measure one case in fresh processes."""
    text = msgspec.json.encode(case).decode()
    command = [sys.executable, '-m', 'benchmark.control']
    others = subprocess.Popen(
        [*command, 'others', text], stdout=subprocess.PIPE, text=True
    )
    try:
        port, grpc_port = others.stdout.readline().split()
        result = subprocess.run(
            [*command, 'agent', text, port, grpc_port],
            capture_output=True,
            text=True,
            check=True,
        )
    finally:
        others.kill()
        others.wait()
    return msgspec.json.decode(
        result.stdout.strip().splitlines()[-1], type=Cost
    )


def slope(low: float, high: float, steps: float) -> float:
    """Return the rise per step."""
    return round((high - low) / steps, 6)


def summarize(costs: list[Cost]) -> dict:
    """Return figures, slopes and what misses its bound."""
    bare, small, _, _, large, busy = costs
    members = large.members - small.members
    changes = busy.changes_per_s - large.changes_per_s
    names = ('core_percent', 'sent_kb_per_s', 'received_kb_per_s')
    misses = [
        name
        for name, bound in (
            ('core_percent', MAX_CORE_PERCENT),
            ('resident_mb', MAX_RESIDENT_MB),
            ('sent_kb_per_s', MAX_KB_PER_S),
            ('received_kb_per_s', MAX_KB_PER_S),
        )
        if getattr(large, name) > bound
    ]
    return {
        'benchmark': 'control',
        'at_4800': msgspec.to_builtins(large),
        'per_member': {
            name: slope(getattr(small, name), getattr(large, name), members)
            for name in (*names, 'resident_mb')
        },
        'per_change_per_s': {
            name: slope(getattr(large, name), getattr(busy, name), changes)
            for name in names
        },
        'resident_mb_per_target': slope(
            bare.resident_mb, small.resident_mb, small.targets
        ),
        'misses': misses,
    }


def main() -> None:
    """Measure all cases and print the figures."""
    match sys.argv[1:]:
        case ['others', text]:
            case_ = msgspec.json.decode(text, type=Case)
            asyncio.run(Others(case_).serve())
        case ['agent', text, port, grpc_port]:
            case_ = msgspec.json.decode(text, type=Case)
            cost = asyncio.run(measure(case_, int(port), int(grpc_port)))
            print(msgspec.json.encode(cost).decode())
        case _:
            with concurrent.futures.ThreadPoolExecutor(3) as pool:
                costs = list(pool.map(run_case, CASES))
            for cost in costs:
                print(msgspec.json.encode(cost).decode())
            print(json.dumps(summarize(costs)))


if __name__ == '__main__':
    main()
