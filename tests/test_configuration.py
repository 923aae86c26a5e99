"""Test the distribution of configuration to real agents over loopback."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket

from grpclib import server
import msgspec
import pytest

from sesameward.codec import MsgpackCodec
from sesameward.configuration.config_peers import PullClient
from sesameward.configuration.config_peers import PullHandler
from sesameward.configuration import declared
from sesameward.configuration import objects
from sesameward.configuration.platform_client import PlatformClient
from sesameward.configuration.spread import PullTree
from sesameward.controllers import configuration
from sesameward.controllers.configuration import Configuration
from sesameward.exceptions import ConflictError
from sesameward.exceptions import PlatformThrottledError
from sesameward.exceptions import UnsureWriteError
from sesameward.messages import Member
from sesameward.messages import Rumor
from sesameward.messages import StoredObject
from sesameward.settings import PlatformSettings
from sesameward.standin.platform import Faults

# How long a change may take to be in force on all agents.
REACH_TIMEOUT_S = 2.0


class Agents:
    """Run agents that receive each other's rumors immediately.

    Agents in cut_off receive no rumors and are not among the members that the
    agents know, but they can still call the platform.
    """

    def __init__(self, url, metrics):
        self.url = url
        self.metrics = metrics
        self.nodes = {}
        self.servers = {}
        self.members = {}
        self.cut_off = set()

    async def add(self, node, zone='a'):
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            port = probe.getsockname()[1]
        rng = random.Random(node)
        cfg = PlatformSettings(url=self.url, timeout_s=0.5)
        agent = Configuration(
            node,
            PullTree(node, zone, 1, rng),
            PlatformClient(cfg, self.metrics, rng),
            PullClient(self.metrics, 0.5).pull,
            lambda: [
                m for n, m in self.members.items() if n not in self.cut_off
            ],
            lambda rumor: self.send_rumor(node, rumor),
            self.metrics,
            rng,
        )
        handler = PullHandler(agent.answer_pull)
        self.servers[node] = server.Server([handler], codec=MsgpackCodec())
        await self.servers[node].start('127.0.0.1', port)
        self.members[node] = Member(node, zone, '127.0.0.1', 0, port, 0)
        self.nodes[node] = agent
        agent.start()
        return agent

    def send_rumor(self, source, rumor):
        for node, agent in self.nodes.items():
            if node != source and node not in self.cut_off:
                agent.handle_hint(rumor)

    async def remove(self, node):
        await self.nodes.pop(node).stop()
        self.members.pop(node)
        grpc = self.servers.pop(node)
        grpc.close()
        await grpc.wait_closed()

    async def wait_for_revision(self, revision, timeout_s=REACH_TIMEOUT_S):
        async with asyncio.timeout(timeout_s):
            while any(a.revision < revision for a in self.nodes.values()):
                await asyncio.sleep(0.01)


@pytest.fixture
def with_agents(with_platform, metrics, monkeypatch):
    """Return a function that runs a scenario with a platform and agents."""
    monkeypatch.setattr(configuration, 'RECONCILE_PERIOD_S', 0.5)
    monkeypatch.setattr(configuration, 'BACKOFF_CAP_S', 0.5)
    monkeypatch.setattr(configuration, 'ROLE_CHECK_PERIOD_S', 0.2)
    monkeypatch.setattr(objects, 'PAGE_BYTES', 300)

    def run(scenario, count=5):
        async def with_client(standin, client):
            agents = Agents(f'http://127.0.0.1:{standin.port}', metrics)
            for index in range(count):
                await agents.add(f'n{index}')
            try:
                await scenario(standin, client, agents)
            finally:
                for node in list(agents.nodes):
                    await agents.remove(node)

        with_platform(with_client)

    return run


async def write(client, service, expected=None, change='c1', **fields):
    value = declared.encode(service)
    return await client.put('service', service.name, value, expected, change)


async def wait_until(condition, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def test_change_is_in_force_on_all_of_five(with_agents, service):
    async def scenario(standin, client, agents):
        received = []
        agents.nodes['n3'].on_change(received.extend)
        await wait_until(
            lambda: all(a.ready.is_set() for a in agents.nodes.values())
        )
        await wait_until(
            lambda: any(a.watching for a in agents.nodes.values())
        )
        revision = None
        for number in range(3):
            revision = await write(client, service, revision, f'c{number}')
            await agents.wait_for_revision(revision)
        await client.delete('service', service.name, revision, 'gone')
        await agents.wait_for_revision(revision + 1)
        assert all(not a.replica.in_force() for a in agents.nodes.values())
        revisions = [o.revision for o in received]
        assert revisions == sorted(set(revisions)) and received[-1].deleted

    with_agents(scenario)


def test_only_a_few_watch(with_agents, service):
    async def scenario(standin, client, agents):
        await wait_until(lambda: standin.calls.waiting == 1)
        await agents.wait_for_revision(await write(client, service))
        assert sum(a.watching for a in agents.nodes.values()) == 1

    with_agents(scenario)


def test_outage_keeps_configuration_and_fresh_agent_boots_from_peers(
    with_agents, service
):
    async def scenario(standin, client, agents):
        for number in range(5):
            other = msgspec.structs.replace(service, name=f's{number}')
            await write(client, other, None, f's{number}')
        first = await write(client, service)
        await agents.wait_for_revision(first)
        standin.faults = Faults(outage=True)
        fresh = await agents.add('fresh')
        await agents.wait_for_revision(first)
        assert fresh.replica.service(service.service) == service
        assert len(fresh.replica) == 6
        standin.faults = Faults()
        await agents.wait_for_revision(
            await write(client, service, first, 'c2'), 5.0
        )

    with_agents(scenario)


def test_fresh_agent_takes_the_highest_of_stale_peers(with_agents, service):
    async def scenario(standin, client, agents):
        first = await write(client, service)
        await agents.wait_for_revision(first)
        agents.cut_off.add('n0')
        await wait_until(
            lambda: any(
                a.watching for n, a in agents.nodes.items() if n != 'n0'
            )
        )
        stale = agents.nodes['n0']
        await stale.stop()
        second = await write(client, service, first, 'c2')
        await wait_until(lambda: agents.nodes['n1'].revision >= second)
        standin.faults = Faults(outage=True)
        agents.cut_off.clear()
        await agents.add('fresh')
        await wait_until(lambda: agents.nodes['fresh'].revision >= second)
        stale.start()
        await agents.wait_for_revision(second, 5.0)

    with_agents(scenario)


def test_watcher_that_dies_is_replaced(with_agents, service):
    async def scenario(standin, client, agents):
        await wait_until(
            lambda: any(a.watching for a in agents.nodes.values())
        )
        for number in range(3):
            watcher = next(n for n, a in agents.nodes.items() if a.watching)
            await agents.remove(watcher)
            revision = await write(
                client, service, number or None, f'c{number}'
            )
            await agents.wait_for_revision(revision, 5.0)

    with_agents(scenario)


def test_restarted_store_with_lower_revisions_changes_nothing(
    with_agents, service
):
    async def scenario(standin, client, agents):
        revision = await write(client, service)
        for number in range(5):
            revision = await write(client, service, revision, f'c{number}')
        await agents.wait_for_revision(revision)
        old = StoredObject('service', service.name, 1, b'{}')
        for agent in agents.nodes.values():
            assert agent.replica.replace([old], 1) == []
            assert agent.replica.replace([], 2) == []
            assert agent.revision == revision

    with_agents(scenario)


def test_racing_operators_leave_one_order(with_agents, service):
    async def scenario(standin, client, agents):
        standin.faults = Faults(lose_replies=3, lose_requests=3)
        revision = await write(client, service)
        history = [revision]

        async def operator(name):
            for number in range(5):
                read = await client.get('service', service.name)
                with contextlib.suppress(ConflictError):
                    history.append(
                        await write(
                            client, service, read.revision, f'{name}-{number}'
                        )
                    )

        await asyncio.gather(*map(operator, 'abc'))
        assert len(set(history)) == len(history) == standin.store.revision
        await agents.wait_for_revision(max(history))

    with_agents(scenario)


def test_compaction_leads_to_a_listing(with_agents, service):
    async def scenario(standin, client, agents):
        first = await write(client, service)
        await agents.wait_for_revision(first)
        standin.faults = Faults(outage=True)
        store = standin.store
        store.write('service', service.name, b'', 'c2', deleted=True)
        store.compact(store.revision)
        standin.faults = Faults()
        await agents.wait_for_revision(store.revision, 5.0)
        assert not any(a.replica.in_force() for a in agents.nodes.values())

    with_agents(scenario)


def test_false_hint_and_faulty_callback_stop_nothing(
    with_agents, service, metrics, monkeypatch
):
    monkeypatch.setattr(configuration, 'PULL_TRIES', 1)
    monkeypatch.setattr(configuration, 'MAX_RESTART_PAUSE_S', 0.1)

    async def scenario(standin, client, agents):
        def fail(changed):
            raise ValueError('fault in a callback')

        for agent in agents.nodes.values():
            agent.on_change(fail)
            agent.handle_hint(Rumor('config', 'revision', 10**9, b'\xff'))
        await wait_until(lambda: metrics.value('config_pulls', 'gave_up') >= 4)
        await agents.wait_for_revision(await write(client, service), 5.0)
        assert metrics.value('config_faults', 'ValueError')

    with_agents(scenario)


FAULTS = {
    'outage': Faults(outage=True),
    'slow': Faults(slow_ms=300.0),
    'lost_replies': Faults(lose_replies=2),
    'lost_requests': Faults(lose_requests=2),
    'throttled': Faults(reject_rate=0.7),
    'watcher_killed': None,
    'hints_lost': None,
}
FAULT_DURATION_S = 0.5


@pytest.mark.parametrize('step', ['write', 'accepted', 'in_force_on_watcher'])
@pytest.mark.parametrize('fault', FAULTS)
def test_every_fault_at_every_step(with_agents, service, fault, step):
    async def scenario(standin, client, agents):
        await wait_until(
            lambda: any(a.watching for a in agents.nodes.values())
        )
        first = await write(client, service)
        await agents.wait_for_revision(first)
        watcher = next(n for n, a in agents.nodes.items() if a.watching)
        history = {n: [first] for n in agents.nodes}
        for node, agent in agents.nodes.items():
            agent.on_change(
                lambda changed, node=node: history[node].extend(
                    stored.revision for stored in changed
                )
            )

        async def inject_fault():
            standin.faults = FAULTS[fault] or Faults()
            if fault == 'watcher_killed':
                await agents.remove(watcher)
            if fault == 'hints_lost':
                agents.cut_off.update(agents.nodes)
            await asyncio.sleep(FAULT_DURATION_S)
            standin.faults = Faults()
            agents.cut_off.clear()

        if step == 'write':
            injection = asyncio.ensure_future(inject_fault())
            await asyncio.sleep(0)
        second = await write_with_retries(client, service, first)
        if step == 'accepted':
            injection = asyncio.ensure_future(inject_fault())
        if step == 'in_force_on_watcher':
            await wait_until(lambda: agents.nodes[watcher].revision >= second)
            injection = asyncio.ensure_future(inject_fault())
        await agents.wait_for_revision(second, 8.0)
        await injection
        assert standin.store.revision == second == first + 1
        for node in agents.nodes:
            assert history[node] == [first, second]

    with_agents(scenario, 3)


async def write_with_retries(client, service, expected):
    for _ in range(20):
        with contextlib.suppress(PlatformThrottledError, UnsureWriteError):
            return await write(client, service, expected, 'second')
        await asyncio.sleep(0.1)
