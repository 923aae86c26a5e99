"""Test anti-entropy exchanges between real agents over gRPC."""

from __future__ import annotations

import asyncio
import random
import time

from grpclib.server import Server
import msgspec
import pytest

from sesameward.codec import MsgpackCodec
from sesameward.exceptions import PeerUnavailableError
from sesameward.membership.events import SyncWanted
from sesameward.membership.gossip import Gossip
from sesameward.membership.message_auth import MessageAuthenticator
from sesameward.membership.peers import PeerClient
from sesameward.membership.peers import PeerHandler
from sesameward.messages import Member
from sesameward.messages import Rumor
from sesameward.metrics import Metrics
from sesameward.settings import AgentSettings
from sesameward.settings import Endpoint
from sesameward.settings import MembershipSettings
from sesameward.settings import PlatformSettings
from sesameward.types import NodeId
from sesameward.types import ZoneName

KEYS = ('key',)
FLEET_MEMBERS = 700


@pytest.fixture
def serve():
    """Return a function that starts an agent and its gRPC server."""
    servers = []

    async def start(name, metrics=None):
        handler = PeerHandler(lambda sealed: gossip.answer_sync(sealed))
        server = Server([handler], codec=MsgpackCodec())
        await server.start('127.0.0.1', 0)
        servers.append(server)
        port = server._server.sockets[0].getsockname()[1]
        any_port = Endpoint('127.0.0.1', 0)
        gossip = Gossip(
            AgentSettings(
                node=NodeId(name),
                zone=ZoneName('a'),
                http=any_port,
                grpc=any_port,
                gossip=any_port,
                platform=PlatformSettings('http://127.0.0.1:1'),
                membership=MembershipSettings(keys=KEYS),
            ),
            Member(NodeId(name), ZoneName('a'), '127.0.0.1', 1, port, 1),
            metrics or Metrics(name),
            random.Random(name),
            PeerClient(),
        )
        await gossip.start()
        return gossip

    yield start
    for server in servers:
        server.close()


async def wait_until(condition):
    """Wait until a condition holds; raise TimeoutError if it does not."""
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


def test_an_exchange_carries_members_and_rumors_both_ways(serve):
    async def run():
        first, second = await serve('n0'), await serve('n1')
        fleet = [
            msgspec.structs.replace(first.me, node=NodeId(f'far-{index}'))
            for index in range(FLEET_MEMBERS)
        ]
        now = asyncio.get_running_loop().time()
        first._swim.merge(now, fleet)
        first.publish(Rumor('config', 'a', 1))
        second.publish(Rumor('config', 'b', 1))
        second._run_actions([SyncWanted(first.me)])
        await wait_until(lambda: len(second.members()) == FLEET_MEMBERS + 2)
        await wait_until(lambda: len(first.members()) == FLEET_MEMBERS + 2)
        for agent in (first, second):
            assert {r.key for r in agent.rumors()} == {'a', 'b'}
            await agent.stop(leave=False)

    asyncio.run(run())


def test_unsealed_and_repeated_requests_are_refused(serve):
    async def run():
        metrics = Metrics('n0')
        first = await serve('n0', metrics)
        client = PeerClient()
        context = f'{first.me.host}:{first.me.grpc_port}'
        foreign = MessageAuthenticator(('wrong',), b'attacker').sign(
            b'', context, time.time()
        )
        with pytest.raises(PeerUnavailableError):
            await client.sync(first.me, foreign)
        req = first._anti_entropy.first_request(0.0)
        body = msgspec.msgpack.encode(req)
        sealed = MessageAuthenticator(KEYS, b'newcomer').sign(
            body, context, time.time()
        )
        await client.sync(first.me, sealed)
        with pytest.raises(PeerUnavailableError):
            await client.sync(first.me, sealed)
        refused = {
            reason: metrics.value('datagrams_refused', reason)
            for reason in ('foreign', 'replayed')
        }
        assert refused == {'foreign': 1, 'replayed': 1}
        await first.stop(leave=False)

    asyncio.run(run())


def test_a_peer_which_does_not_answer_is_counted(serve):
    async def run():
        metrics = Metrics('n0')
        first = await serve('n0', metrics)
        unreachable = msgspec.structs.replace(
            first.me, node=NodeId('n1'), grpc_port=1
        )
        first._run_actions([SyncWanted(unreachable)])
        await wait_until(lambda: metrics.value('syncs_failed', 'unavailable'))
        await first.stop(leave=False)

    asyncio.run(run())
