"""Test transfers against real servers on the loopback."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from sesameward.clients.transfers import Failure
from sesameward.clients.transfers import Lane
from sesameward.clients.transfers import Response
from sesameward.clients.transfers import Transfers

HOST = '127.0.0.1'
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
TIMEOUT_MS = 5_000


class Server:
    """Count what arrives and answer as the request's body says."""

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
        """Close all connections, as a server does with idle ones."""
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


class Bench:
    """Hold a server and transfers to it."""

    def __init__(self, server: Server, url: str):
        self.server = server
        self.transfers = Transfers()
        self.lane = Lane(url, [], max_bytes=100)
        self.once = Lane(url, [], once=True)

    async def send(
        self,
        body: bytes,
        lane: Lane | None = None,
        timeout_ms: int = TIMEOUT_MS,
    ) -> Response:
        fut = asyncio.get_running_loop().create_future()
        self.transfers.submit(
            lane or self.lane, body, fut.set_result, timeout_ms
        )
        return await asyncio.wait_for(fut, 10.0)


@pytest.fixture
def on_bench():
    """Run a coroutine function with a server and transfers."""

    def run(scenario):
        async def main():
            server = Server()
            bench = Bench(server, await server.start())
            try:
                return await scenario(bench)
            finally:
                bench.transfers.close()
                server.stop()

        return asyncio.run(main())

    return run


def test_many_transfers_share_few_connections(on_bench):
    async def scenario(bench):
        for _ in range(20):
            replies = await asyncio.gather(
                *(bench.send(b'a') for _ in range(8))
            )
            assert {(r.status, r.body) for r in replies} == {(200, b'ok')}
        assert bench.server.connections == 8

    on_bench(scenario)


def test_descriptors_reused_after_idle_connections_were_closed(on_bench):
    async def scenario(bench):
        for round_number in range(30):
            # Sockets of others take the numbers in another order each time.
            others = [socket.socket() for _ in range(round_number % 5)]
            replies = await asyncio.gather(
                *(bench.send(b'a') for _ in range(10))
            )
            assert {r.status for r in replies} == {200}
            bench.server.close_idle()
            await asyncio.sleep(0.01)
            for other in others:
                other.close()

    on_bench(scenario)


@pytest.mark.parametrize('crash', [b'crash', b'crash and stop'])
@pytest.mark.parametrize('once', [False, True])
def test_request_is_never_sent_again_once_it_was_read(on_bench, crash, once):
    async def scenario(bench):
        lane = bench.once if once else bench.lane
        assert (await bench.send(b'a', lane)).status == 200
        assert (await bench.send(b'a', lane)).status == 200
        reply = await bench.send(crash, lane)
        assert (reply.failure, reply.sent) == (Failure.BROKEN, True)
        assert bench.server.bodies.count(crash) == 1

    on_bench(scenario)


def test_a_once_lane_opens_a_connection_each_time(on_bench):
    async def scenario(bench):
        for _ in range(3):
            await bench.send(b'a', bench.once)
        assert bench.server.connections == 3

    on_bench(scenario)


def test_refused_connection_has_sent_nothing(on_bench):
    async def scenario(bench):
        bench.server.stop()
        for lane in (bench.lane, bench.once):
            reply = await bench.send(b'a', lane)
            assert (reply.failure, reply.sent) == (Failure.CONNECT, False)

    on_bench(scenario)


def test_cancel_closes_the_connection_at_once(on_bench):
    async def scenario(bench):
        done = []
        transfer = bench.transfers.submit(bench.lane, b'hang', done.append)
        while not bench.server.bodies:
            await asyncio.sleep(0.005)
        bench.transfers.cancel(transfer)
        bench.transfers.cancel(transfer)
        await asyncio.wait_for(bench.server.closed.wait(), 1.0)
        assert not done
        # The handle works again.
        assert (await bench.send(b'a')).status == 200

    on_bench(scenario)


def test_too_large_a_response_fails(on_bench):
    async def scenario(bench):
        reply = await bench.send(b'large')
        assert (reply.failure, reply.sent) == (Failure.TOO_LARGE, True)
        assert (await bench.send(b'a')).body == b'ok'

    on_bench(scenario)


def test_timeout_of_a_request_which_hangs(on_bench):
    async def scenario(bench):
        reply = await bench.send(b'hang', timeout_ms=100)
        assert (reply.failure, reply.sent) == (Failure.TIMEOUT, True)

    on_bench(scenario)


def test_descriptors_reused_between_lanes_at_once(on_bench):
    async def scenario(bench):
        for _ in range(20):
            sends = [
                bench.send(b'a', bench.once if index % 3 else bench.lane)
                for index in range(60)
            ]
            cancelled = [
                bench.transfers.submit(bench.lane, b'hang', lambda _: None)
                for _ in range(10)
            ]
            replies = await asyncio.gather(*sends)
            assert {r.status for r in replies} == {200}
            for transfer in cancelled:
                bench.transfers.cancel(transfer)

    on_bench(scenario)
