"""Test HTTP transfers against a real server on the loopback interface."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from sesameward.clients.transfers import Failure
from sesameward.clients.transfers import HandlePool
from sesameward.clients.transfers import Response
from sesameward.clients.transfers import Transfers

HOST = '127.0.0.1'
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
TIMEOUT_MS = 5_000


class Server:
    """Serve HTTP requests whose body selects the reply or the failure.

    The bodies received and the connections opened are recorded.
    """

    def __init__(self):
        self.bodies: list[bytes] = []
        self.closed = asyncio.Event()
        self.connections = 0
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'http://{HOST}:{port}/'

    def close_idle(self) -> None:
        """Close all connections, as a server does when they stay idle."""
        for writer in self._writers:
            writer.close()
        self._writers.clear()

    def stop(self) -> None:
        self._server.close()
        self.close_idle()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while await self._answer(reader, writer):
                pass
        self.closed.set()
        writer.close()

    async def _answer(self, reader, writer) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        length = head.lower().partition(b'content-length:')[2]
        body = await reader.readexactly(int(length.split(b'\r\n')[0]))
        self.bodies.append(body)
        match body:
            case b'crash':
                return False
            case b'crash and stop':
                self._server.close()
                return False
            case b'hang':
                await reader.read()
                return False
            case b'large':
                size = 1_000
                writer.write(b'HTTP/1.1 200 OK\r\n')
                writer.write(b'Content-Length: %d\r\n\r\n' % size)
                writer.write(b'x' * size)
            case _:
                writer.write(OK)
        return True


class TransferSetup:
    """Hold a server, and handles for reused and for fresh connections."""

    def __init__(self, server: Server, url: str):
        self.server = server
        self.transfers = Transfers()
        self.handle_pool = HandlePool(url, [], max_bytes=100)
        self.fresh_handle_pool = HandlePool(url, [], fresh_connection=True)

    async def send(
        self,
        body: bytes,
        handle_pool: HandlePool | None = None,
        timeout_ms: int = TIMEOUT_MS,
    ) -> Response:
        future = asyncio.get_running_loop().create_future()
        self.transfers.submit(
            handle_pool or self.handle_pool,
            body,
            future.set_result,
            timeout_ms,
        )
        return await asyncio.wait_for(future, 10.0)


@pytest.fixture
def run_scenario():
    """Return a function that runs a scenario with a TransferSetup."""

    def run(scenario):
        async def main():
            server = Server()
            setup = TransferSetup(server, await server.start())
            try:
                return await scenario(setup)
            finally:
                setup.transfers.close()
                server.stop()

        return asyncio.run(main())

    return run


def test_many_transfers_share_few_connections(run_scenario):
    async def scenario(setup):
        for _ in range(20):
            replies = await asyncio.gather(
                *(setup.send(b'a') for _ in range(8))
            )
            assert {(r.status, r.body) for r in replies} == {(200, b'ok')}
        assert setup.server.connections == 8

    run_scenario(scenario)


def test_descriptors_reused_after_idle_connections_were_closed(run_scenario):
    async def scenario(setup):
        for round_number in range(30):
            # Extra sockets occupy other descriptor numbers in each round.
            extra_sockets = [socket.socket() for _ in range(round_number % 5)]
            replies = await asyncio.gather(
                *(setup.send(b'a') for _ in range(10))
            )
            assert {r.status for r in replies} == {200}
            setup.server.close_idle()
            await asyncio.sleep(0.01)
            for extra_socket in extra_sockets:
                extra_socket.close()

    run_scenario(scenario)


@pytest.mark.parametrize('crash', [b'crash', b'crash and stop'])
@pytest.mark.parametrize('fresh', [False, True])
def test_request_is_never_sent_again_once_it_was_read(
    run_scenario, crash, fresh
):
    async def scenario(setup):
        handle_pool = setup.fresh_handle_pool if fresh else setup.handle_pool
        assert (await setup.send(b'a', handle_pool)).status == 200
        assert (await setup.send(b'a', handle_pool)).status == 200
        reply = await setup.send(crash, handle_pool)
        assert (reply.failure, reply.sent) == (Failure.BROKEN, True)
        assert setup.server.bodies.count(crash) == 1

    run_scenario(scenario)


def test_fresh_connection_lane_opens_a_connection_each_time(run_scenario):
    async def scenario(setup):
        for _ in range(3):
            await setup.send(b'a', setup.fresh_handle_pool)
        assert setup.server.connections == 3

    run_scenario(scenario)


def test_refused_connection_has_sent_nothing(run_scenario):
    async def scenario(setup):
        setup.server.stop()
        for handle_pool in (setup.handle_pool, setup.fresh_handle_pool):
            reply = await setup.send(b'a', handle_pool)
            assert (reply.failure, reply.sent) == (Failure.CONNECT, False)

    run_scenario(scenario)


def test_cancel_closes_the_connection_at_once(run_scenario):
    async def scenario(setup):
        done = []
        transfer = setup.transfers.submit(
            setup.handle_pool, b'hang', done.append
        )
        while not setup.server.bodies:
            await asyncio.sleep(0.005)
        setup.transfers.cancel(transfer)
        setup.transfers.cancel(transfer)
        await asyncio.wait_for(setup.server.closed.wait(), 1.0)
        assert not done
        # The handle of the cancelled transfer can be reused.
        assert (await setup.send(b'a')).status == 200

    run_scenario(scenario)


def test_too_large_a_response_fails(run_scenario):
    async def scenario(setup):
        reply = await setup.send(b'large')
        assert (reply.failure, reply.sent) == (Failure.TOO_LARGE, True)
        assert (await setup.send(b'a')).body == b'ok'

    run_scenario(scenario)


def test_timeout_of_a_request_which_hangs(run_scenario):
    async def scenario(setup):
        reply = await setup.send(b'hang', timeout_ms=100)
        assert (reply.failure, reply.sent) == (Failure.TIMEOUT, True)

    run_scenario(scenario)


def test_descriptors_reused_between_lanes_at_once(run_scenario):
    async def scenario(setup):
        for _ in range(20):
            sends = [
                setup.send(
                    b'a',
                    setup.fresh_handle_pool
                    if index % 3
                    else setup.handle_pool,
                )
                for index in range(60)
            ]
            cancelled = [
                setup.transfers.submit(
                    setup.handle_pool, b'hang', lambda _: None
                )
                for _ in range(10)
            ]
            replies = await asyncio.gather(*sends)
            assert {r.status for r in replies} == {200}
            for transfer in cancelled:
                setup.transfers.cancel(transfer)

    run_scenario(scenario)
