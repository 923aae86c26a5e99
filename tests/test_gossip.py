"""Run real agents' membership over UDP on the loopback."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket

import pytest

from sesameward.membership import datagrams
from sesameward.membership.datagrams import Claim
from sesameward.membership.datagrams import Datagram
from sesameward.membership.datagrams import Ping
from sesameward.membership.gossip import Gossip
from sesameward.membership.seals import Seals
from sesameward.messages import Address
from sesameward.messages import Member
from sesameward.messages import Rumor
from sesameward.metrics import Metrics
from sesameward.settings import AgentSettings
from sesameward.settings import Endpoint
from sesameward.settings import MembershipSettings
from sesameward.settings import PlatformSettings
from sesameward.types import MemberState
from sesameward.types import NodeId
from sesameward.types import ZoneName

KNOWN_S = 3.0
KEYS = ('one', 'two')


@pytest.fixture
def agent():
    """Return a function which builds one agent's membership."""

    def build(name, metrics=None, seeds=(), keys=KEYS, port=0):
        anywhere = Endpoint('127.0.0.1', 0)
        cfg = AgentSettings(
            node=NodeId(name),
            zone=ZoneName('a'),
            http=anywhere,
            grpc=anywhere,
            gossip=Endpoint('127.0.0.1', port),
            platform=PlatformSettings('http://127.0.0.1:1'),
            membership=MembershipSettings(keys=keys),
            seeds=seeds,
        )
        me = Member(NodeId(name), ZoneName('a'), '127.0.0.1', 1, 1, 1)
        metrics = metrics or Metrics(name)
        return Gossip(cfg, me, metrics, random.Random(name))

    return build


def endpoint(gossip):
    """Return the address of an agent."""
    return Endpoint(gossip.me.host, gossip.me.gossip_port)


async def until(condition, timeout_s):
    """Wait for a condition; raise TimeoutError."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def group(agent, metrics=None):
    """Run three agents which know each other."""
    first = agent('n0', metrics)
    await first.start()
    seeds = (endpoint(first),)
    agents = [first, agent('n1', seeds=seeds), agent('n2', seeds=seeds)]
    for other in agents[1:]:
        await other.start()
    try:
        await until(lambda: sizes(agents) == [3, 3, 3], KNOWN_S)
        yield agents
    finally:
        for one in agents:
            await one.stop(leave=False)


def sizes(agents):
    """Return how many members each agent sees."""
    return [len(one.members()) for one in agents]


def test_a_killed_agent_is_known_to_all_within_three_seconds(agent):
    async def run():
        async with group(agent) as agents:
            await agents[2].stop(leave=False)
            await until(lambda: sizes(agents[:2]) == [2, 2], KNOWN_S)
            dead = agents[0].known()
            states = {member.node: member.state for member in dead}
            assert states[NodeId('n2')] is MemberState.DEAD

    asyncio.run(run())


def test_a_leaving_agent_is_known_at_once(agent):
    async def run():
        async with group(agent) as agents:
            await agents[2].stop()
            await until(lambda: sizes(agents[:2]) == [2, 2], 1.0)

    asyncio.run(run())


def test_a_restarted_agent_rejoins_under_its_old_name(agent):
    async def run():
        async with group(agent) as agents:
            await agents[2].stop(leave=False)
            await until(lambda: sizes(agents[:2]) == [2, 2], KNOWN_S)
            again = agent('n2', seeds=(endpoint(agents[0]),))
            await again.start()
            agents[2] = again
            await until(lambda: sizes(agents) == [3, 3, 3], KNOWN_S)

    asyncio.run(run())


def test_rumors_and_records_reach_all(agent):
    async def run():
        async with group(agent) as agents:
            heard = []
            for one in agents:
                one.subscribe('drain', heard.append)
            agents[1].publish(Rumor('drain', 't1', 1, b'x'))
            await until(lambda: len(heard) == 3, 1.0)
            agents[1].publish(Rumor('drain', 't1', 1, b'x'))
            entry = Address(NodeId('n1'), '127.0.0.1', 80, ZoneName('a'), 1.0)
            agents[1].update(entries=(entry,), leaving=True)
            await until(
                lambda: all(
                    entry in member.entries and member.leaving
                    for one in agents
                    for member in one.members()
                    if member.node == 'n1'
                ),
                1.0,
            )
            assert len(heard) == 3

    asyncio.run(run())


def test_bad_foreign_and_replayed_datagrams_change_nothing(agent):
    async def run():
        metrics = Metrics('n0')
        async with group(agent, metrics) as agents:
            victim = agents[0].me
            lie = Claim(NodeId('n1'), 1 << 40, 2, 0)
            body = datagrams.encode(Datagram(NodeId('n2'), Ping(1), (lie,)))
            to = f'{victim.host}:{victim.gossip_port}'
            now = agents[0].wall_clock()
            foreign = Seals(('wrong',), b'attacker').seal(body, to, now)
            elsewhere = Seals(KEYS, b'attacker').seal(body, 'x:1', now)
            stale = Seals(KEYS, b'attacker').seal(body, to, now - 3_600)
            ping = datagrams.encode(Datagram(NodeId('n2'), Ping(1)))
            fresh = Seals(KEYS, b'newcomer').seal(ping, to, now)
            noise = Seals(KEYS, b'garbage!').seal(b'noise', to, now)
            before = sorted(agents[0].members(), key=repr)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for data in (
                    b'',
                    b'noise',
                    foreign,
                    elsewhere,
                    stale,
                    noise,
                    fresh,
                    fresh,
                ):
                    sock.sendto(data, (victim.host, victim.gossip_port))
            counted = {'short': 2, 'foreign': 2, 'stale': 1}
            counted |= {'malformed': 1, 'replayed': 1}
            await until(
                lambda: (
                    {
                        reason: metrics.value('datagrams_refused', reason)
                        for reason in counted
                    }
                    == counted
                ),
                1.0,
            )
            assert sorted(agents[0].members(), key=repr) == before

    asyncio.run(run())


def test_keys_are_rotated_without_a_restart(agent):
    async def run():
        async with group(agent) as agents:
            for keys in (('two', 'three'), ('three',)):
                for one in agents:
                    one.set_keys(keys)
            heard = []
            for one in agents:
                one.subscribe('drain', heard.append)
            agents[0].publish(Rumor('drain', 't1', 1))
            await until(lambda: len(heard) == 3, 1.0)
            assert sizes(agents) == [3, 3, 3]

    asyncio.run(run())
