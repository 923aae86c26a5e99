"""Test membership with real agents over UDP on the loopback interface."""

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
from sesameward.membership.message_auth import MessageAuthenticator
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

# Time within which agents must list each other, or a killed agent as dead.
CONVERGENCE_S = 3.0
KEYS = ('one', 'two')


@pytest.fixture
def build_agent():
    """Return a function that builds the Gossip object of one agent."""

    def build(name, metrics=None, seeds=(), keys=KEYS, port=0):
        any_port = Endpoint('127.0.0.1', 0)
        cfg = AgentSettings(
            node=NodeId(name),
            zone=ZoneName('a'),
            http=any_port,
            grpc=any_port,
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
    """Return the UDP address of an agent."""
    return Endpoint(gossip.me.host, gossip.me.gossip_port)


async def wait_until(condition, timeout_s):
    """Wait until a condition holds; raise TimeoutError if it does not."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def run_three_agents(build_agent, metrics=None):
    """Run three agents that know each other, and stop them at the end."""
    first = build_agent('n0', metrics)
    await first.start()
    seeds = (endpoint(first),)
    agents = [
        first,
        build_agent('n1', seeds=seeds),
        build_agent('n2', seeds=seeds),
    ]
    for other in agents[1:]:
        await other.start()
    try:
        await wait_until(
            lambda: member_counts(agents) == [3, 3, 3], CONVERGENCE_S
        )
        yield agents
    finally:
        for agent in agents:
            await agent.stop(leave=False)


def member_counts(agents):
    """Return the number of live members that each agent knows."""
    return [len(agent.members()) for agent in agents]


def test_a_killed_agent_is_known_to_all_within_three_seconds(build_agent):
    async def run():
        async with run_three_agents(build_agent) as agents:
            await agents[2].stop(leave=False)
            await wait_until(
                lambda: member_counts(agents[:2]) == [2, 2], CONVERGENCE_S
            )
            dead = agents[0].known()
            states = {member.node: member.state for member in dead}
            assert states[NodeId('n2')] is MemberState.DEAD

    asyncio.run(run())


def test_a_leaving_agent_is_known_at_once(build_agent):
    async def run():
        async with run_three_agents(build_agent) as agents:
            await agents[2].stop()
            await wait_until(lambda: member_counts(agents[:2]) == [2, 2], 1.0)

    asyncio.run(run())


def test_a_restarted_agent_rejoins_under_its_old_name(build_agent):
    async def run():
        async with run_three_agents(build_agent) as agents:
            await agents[2].stop(leave=False)
            await wait_until(
                lambda: member_counts(agents[:2]) == [2, 2], CONVERGENCE_S
            )
            restarted = build_agent('n2', seeds=(endpoint(agents[0]),))
            await restarted.start()
            agents[2] = restarted
            await wait_until(
                lambda: member_counts(agents) == [3, 3, 3], CONVERGENCE_S
            )

    asyncio.run(run())


def test_rumors_and_records_reach_all(build_agent):
    async def run():
        async with run_three_agents(build_agent) as agents:
            received = []
            for agent in agents:
                agent.subscribe('drain', received.append)
            agents[1].publish(Rumor('drain', 't1', 1, b'x'))
            await wait_until(lambda: len(received) == 3, 1.0)
            agents[1].publish(Rumor('drain', 't1', 1, b'x'))
            entry = Address(NodeId('n1'), '127.0.0.1', 80, ZoneName('a'), 1.0)
            agents[1].update(entries=(entry,), leaving=True)
            await wait_until(
                lambda: all(
                    entry in member.entries and member.leaving
                    for agent in agents
                    for member in agent.members()
                    if member.node == 'n1'
                ),
                1.0,
            )
            assert len(received) == 3

    asyncio.run(run())


def test_bad_foreign_and_replayed_datagrams_change_nothing(build_agent):
    async def run():
        metrics = Metrics('n0')
        async with run_three_agents(build_agent, metrics) as agents:
            receiver = agents[0].me
            false_claim = Claim(NodeId('n1'), 1 << 40, 2, 0)
            body = datagrams.encode(
                Datagram(NodeId('n2'), Ping(1), (false_claim,))
            )
            context = f'{receiver.host}:{receiver.gossip_port}'
            now = agents[0].wall_clock()
            foreign = MessageAuthenticator(('wrong',), b'attacker').sign(
                body, context, now
            )
            misdirected = MessageAuthenticator(KEYS, b'attacker').sign(
                body, 'x:1', now
            )
            stale = MessageAuthenticator(KEYS, b'attacker').sign(
                body, context, now - 3_600
            )
            ping = datagrams.encode(Datagram(NodeId('n2'), Ping(1)))
            valid = MessageAuthenticator(KEYS, b'newcomer').sign(
                ping, context, now
            )
            malformed = MessageAuthenticator(KEYS, b'garbage!').sign(
                b'noise', context, now
            )
            before = sorted(agents[0].members(), key=repr)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for data in (
                    b'',
                    b'noise',
                    foreign,
                    misdirected,
                    stale,
                    malformed,
                    valid,
                    valid,
                ):
                    sock.sendto(data, (receiver.host, receiver.gossip_port))
            expected = {'short': 2, 'foreign': 2, 'stale': 1}
            expected |= {'malformed': 1, 'replayed': 1}
            await wait_until(
                lambda: (
                    {
                        reason: metrics.value('datagrams_refused', reason)
                        for reason in expected
                    }
                    == expected
                ),
                1.0,
            )
            assert sorted(agents[0].members(), key=repr) == before

    asyncio.run(run())


def test_keys_are_rotated_without_a_restart(build_agent):
    async def run():
        async with run_three_agents(build_agent) as agents:
            for keys in (('two', 'three'), ('three',)):
                for agent in agents:
                    agent.set_keys(keys)
            received = []
            for agent in agents:
                agent.subscribe('drain', received.append)
            agents[0].publish(Rumor('drain', 't1', 1))
            await wait_until(lambda: len(received) == 3, 1.0)
            assert member_counts(agents) == [3, 3, 3]

    asyncio.run(run())
