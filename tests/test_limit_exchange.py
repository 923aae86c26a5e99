"""Test calls to the coordinator of limits over real connections."""

import asyncio
import contextlib
import socket

from grpclib.server import Server
import pytest

from sesameward.codec import MsgpackCodec
from sesameward.messages import Member
from sesameward.metrics import Metrics
from sesameward.organisations.quotas import ORGANISATION_LIMITS
from sesameward.organisations.quotas import OrganisationLimits
from sesameward.rendezvous import pick
from sesameward.serving.limit_exchange import LimitHandler
from sesameward.serving.limit_exchange import PermitExchange
from sesameward.serving.routes import CallerLimits
from sesameward.serving.routes import Organisation
from sesameward.serving.routes import RouteTable

ACME = Organisation('acme', (), None, 100.0, 100.0)
NAMES = pick('limits', ['n0', 'n1'], 2)
COORDINATOR, NODE = NAMES


def make_limits(name, now):
    # Started long ago, so it has its whole share.
    limits = OrganisationLimits(name, f'{name}:1', 0.1, 20.0, 5.0, now - 60.0)
    limits.configured.apply_table(
        RouteTable(1, (), (), CallerLimits(), [ACME])
    )
    limits.set_nodes(2, now)
    return limits


class Coordinator(Server):
    """A coordinator whose port and connections close, as if it was killed."""

    def __init__(self, handlers):
        super().__init__(handlers, codec=MsgpackCodec())
        self._protocols = []

    def _protocol_factory(self):
        self._protocols.append(super()._protocol_factory())
        return self._protocols[-1]

    async def end(self):
        self.close()
        for protocol in self._protocols:
            protocol.processor.close()
            protocol.connection.close()
        await self.wait_closed()


class Play:
    """One node that calls a coordinator, which the test serves or not."""

    def __init__(self):
        self.clock = asyncio.get_running_loop().time
        self.address = '127.0.0.1', 0
        self.limits = make_limits(NODE, self.clock())
        self.exchange = PermitExchange(
            NODE,
            self.limits,
            self.members,
            print,
            Metrics('test'),
            self.clock,
            ORGANISATION_LIMITS,
        )

    def members(self):
        return (
            Member(COORDINATOR, 'z', self.address[0], 1, self.address[1], 1),
            Member(NODE, 'z', '127.0.0.1', 1, 1, 1),
        )

    def listen(self):
        listener = socket.create_server(('127.0.0.1', 0))
        self.address = listener.getsockname()
        return listener

    async def start_coordinator(self):
        limits = make_limits(COORDINATOR, self.clock())
        handler = LimitHandler(limits, self.clock, ORGANISATION_LIMITS)
        server = Coordinator([handler])
        await server.start(sock=self.listen())
        return server

    async def entrust(self):
        call = self.limits.next_call(self.members(), self.clock())
        assert call.coordinator == COORDINATOR
        return await self.exchange._call(call)

    async def take_permit(self):
        taken = asyncio.get_running_loop().create_future()
        self.exchange.acquire('acme', 0, taken.set_result)
        return await taken

    def holder(self):
        self.limits.choose_coordinator(self.members(), self.clock())
        return self.limits.coordinator


@pytest.fixture
def play():
    """Return a function that runs a scenario."""

    async def run(scenario):
        one = Play()
        async with asyncio.timeout(10.0):
            await scenario(one)
        one.exchange.close()

    return lambda scenario: asyncio.run(run(scenario))


# Guards against shares that stay unused for the rest of a lease after the
# coordinator's process has ended, and requests refused meanwhile.
def test_refused_connection_moves_the_share_at_once(play):
    async def scenario(one):
        server = await one.start_coordinator()
        assert await one.entrust()
        await server.end()
        await one.take_permit()
        assert one.limits.coordinator == NODE
        # The bucket here is empty at first and then has a node's part.
        await asyncio.sleep(0.1)
        assert await one.take_permit() is not None

    play(scenario)


# Guards against a process whose end is noticed only by the next request.
def test_lost_connection_makes_the_node_call_at_once(play, monkeypatch):
    async def scenario(one):
        server = await one.start_coordinator()
        assert await one.entrust()
        called = asyncio.Event()
        monkeypatch.setattr(one.exchange, 'call_soon', called.set)
        assert not called.is_set()
        await server.end()
        await called.wait()

    play(scenario)


# Guards against a call during which the process ends being taken for one that
# a running process did not answer.
def test_connection_closed_during_a_call_moves_the_share_at_once(play):
    async def scenario(one):
        listener = one.listen()

        def close_both():
            connection, _ = listener.accept()
            listener.close()
            connection.close()

        closing = asyncio.to_thread(close_both)
        is_running, _ = await asyncio.gather(one.entrust(), closing)
        assert not is_running
        assert one.holder() == NODE

    play(scenario)


# Guards against a share that is used in two places because a paused process,
# whose system still accepts connections, or a lost message is taken for the
# end of a process.
def test_silent_coordinator_keeps_the_share(play):
    async def scenario(one):
        with one.listen():
            for _ in range(3):
                assert await one.entrust()
            assert one.holder() == COORDINATOR

    play(scenario)


# Guards against a closed connection alone being taken for proof.
def test_coordinator_that_closes_connections_keeps_the_share(play):
    async def scenario(one):
        def close_connection(reader, writer):
            writer.close()

        server = await asyncio.start_server(close_connection, '127.0.0.1', 0)
        one.address = server.sockets[0].getsockname()
        for _ in range(3):
            assert await one.entrust()
        assert one.holder() == COORDINATOR
        server.close()

    play(scenario)


# Guards against a refusal at a new address of the coordinator as proof that
# the process at its former address, which holds the share, has ended.
def test_refusal_at_another_address_proves_nothing(play):
    async def scenario(one):
        server = await one.start_coordinator()
        assert await one.entrust()
        with contextlib.closing(one.listen()):
            pass
        assert await one.entrust()
        assert one.holder() == COORDINATOR
        await server.end()

    play(scenario)


# Guards against a coordinator that grants permits after its port is closed.
def test_closed_exchange_holds_no_shares(play):
    async def scenario(one):
        one.limits.next_call(one.members()[1:], one.clock())
        assert one.limits.part(one.clock()) > 0.0
        one.exchange.close()
        assert one.limits.part(one.clock()) == 0.0

    play(scenario)


def test_fault_of_one_request_leaves_no_other_without_an_end(play):
    """Guards against requests that wait until their deadlines.

    A call that fails unexpectedly, or a request that can't take its permit,
    must not keep the other requests of the call from theirs.
    """

    async def scenario(run):
        async def fail(waiting):
            raise RuntimeError('a fault of the exchange')

        def refuse(permit):
            raise RuntimeError('a fault of the request')

        server = await run.start_coordinator()
        try:
            assert await run.entrust()
            run.exchange._ask_coordinators = fail
            taken = asyncio.get_running_loop().create_future()
            run.exchange.acquire('acme', 0, refuse)
            run.exchange.acquire('acme', 0, taken.set_result)
            assert await asyncio.wait_for(taken, 5.0) is None
        finally:
            await server.end()
        metrics = run.exchange._metrics
        assert metrics.value('tasks_failed', 'organisation_permits') == 1

    play(scenario)
