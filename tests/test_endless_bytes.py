"""End exchanges with targets and callers that send bytes without end."""

import asyncio
import contextlib

import hypothesis
from hypothesis import strategies as st
import pytest

from sesameward.metrics import Metrics
from sesameward.serving.byte_limits import FIRST_LINE_BYTES
from sesameward.serving.byte_limits import MAX_REPLY_HEAD_BYTES
from sesameward.serving.byte_limits import MessageLimits
from sesameward.serving.http_server import Answer
from sesameward.serving.http_server import HttpServer
from sesameward.serving.routes import CallerLimits
from sesameward.serving.target_connection import Broken
from sesameward.serving.target_connection import Reply
from sesameward.serving.target_connection import TargetConnection

PIECE = 64 * 1024
# What is sent until the other end is taken to read without end.
MOST_SENT = 64 * 1024 * 1024
# One read and the sockets' buffers of both ends on the loopback.
IN_FLIGHT = 12 * 1024 * 1024
BODY_BYTES = 100_000
LIMITS = MessageLimits(max_body_bytes=BODY_BYTES)
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'

ENDLESS_REPLIES = {
    'header_lines': (OK, b'X-Header: value\r\n'),
    'header_value': (OK + b'X-Header: ', b'v'),
    'header_name': (OK, b'n'),
    'reason': (b'HTTP/1.1 200 ', b'r'),
    'interim_answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'chunk_extension': (CHUNKED + b'1;', b'e'),
    'trailers': (CHUNKED + b'1\r\nx\r\n0\r\n', b'X-Trailer: value\r\n'),
    'chunks': (CHUNKED, b'1\r\nx\r\n'),
    'large_chunks': (CHUNKED, b'1000\r\n' + b'x' * 4_096 + b'\r\n'),
    'body_to_the_end': (OK + b'\r\n', b'x'),
    'body_with_length': (OK + b'Content-Length: 99999999999\r\n\r\n', b'x'),
    'foreign_replies': (
        b'',
        OK + b'Id: other\r\nContent-Length: 1\r\n\r\nx',
    ),
}


async def send_without_end(writer, first, unit):
    """Write until the other end closes; return how many bytes left."""
    piece = unit * max(1, PIECE // len(unit))
    sent = len(first)
    writer.write(first)
    with contextlib.suppress(ConnectionError):
        while sent < MOST_SENT:
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
    return sent


@pytest.mark.parametrize('name', ENDLESS_REPLIES)
def test_endless_reply_ends_at_its_bound(name):
    async def main():
        sent = asyncio.get_running_loop().create_future()

        async def answer(reader, writer):
            await reader.read(len(REQUEST))
            sent.set_result(
                await send_without_end(writer, *ENDLESS_REPLIES[name])
            )
            writer.close()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(
            lambda: TargetConnection(lambda _: None), '127.0.0.1', port
        )
        done = loop.create_future()
        conn.send(
            REQUEST,
            done.set_result,
            lambda reply: (b'Id', b'other') not in reply.headers,
            limits=LIMITS,
        )
        what = await asyncio.wait_for(done, 10.0)
        assert what in (Broken.TOO_LARGE, Broken.NOT_HTTP)
        assert not conn.usable
        most = 9 * (MAX_REPLY_HEAD_BYTES + BODY_BYTES) + 2 * 256 * 1024
        assert conn.received <= most
        assert await asyncio.wait_for(sent, 10.0) <= most + IN_FLIGHT
        server.close()

    asyncio.run(main())


class Served:
    """Run a server and note what reaches its handler."""

    def __init__(self, limits=CallerLimits(), answer=Answer(200)):
        self.answer = answer
        self.limits = limits
        self.requests = []

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self.server = HttpServer(self.take, Metrics('t'), loop.time)
        self.server.limits = self.limits
        await self.server.start('127.0.0.1', 0)
        return self

    async def __aexit__(self, *exc):
        self.server.stop()

    def take(self, req, responder):
        self.requests.append(req)
        responder.send(self.answer)

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.server.port)


GET = b'GET / HTTP/1.1\r\nHost: h\r\n'
POST = b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'

ENDLESS_REQUESTS = {
    'target': (b'GET /', b'a', {400, 431}),
    'header_lines': (GET, b'X-Header: value\r\n', {431}),
    'header_value': (GET + b'X-Header: ', b'v', {431}),
    'header_name': (GET, b'n', {431}),
    'blank_lines': (b'', b'\r\n', {400, 431}),
    'chunk_extension': (POST + b'1;', b'e', {400}),
    'trailers': (
        POST + b'1\r\nx\r\n0\r\n',
        b'X-Trailer: value\r\n',
        {400, 431},
    ),
    'chunks': (POST, b'1\r\nx\r\n', {413}),
    'body': (
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n',
        b'x',
        {413},
    ),
}


@pytest.mark.parametrize('name', ENDLESS_REQUESTS)
def test_endless_request_ends_at_its_bound(name):
    first, unit, statuses = ENDLESS_REQUESTS[name]

    async def main():
        async with Served() as served:
            reader, writer = await served.connect()
            sending = asyncio.ensure_future(
                send_without_end(writer, first, unit)
            )
            (conn,) = await until(lambda: tuple(served.server.connections))
            writes = []
            conn._transport_write = conn._write
            conn._write = lambda answer: (
                writes.append(answer.status),
                conn._transport_write(answer),
            )
            sent = await asyncio.wait_for(sending, 10.0)
            limits = served.limits
            most = limits.max_header_bytes + FIRST_LINE_BYTES
            most += 9 * limits.max_body_bytes
            assert sent <= most + IN_FLIGHT
            assert writes and set(writes) <= statuses
            assert served.server.ledger.held == 0
            assert served.requests == []
            writer.close()

    asyncio.run(main())


async def until(holds):
    async with asyncio.timeout(5.0):
        while not (found := holds()):
            await asyncio.sleep(0.001)
    return found


@pytest.mark.parametrize(
    'first', [b'GET / HT', GET + b'X: ', POST + b'5\r\na'], ids=str
)
def test_slow_request_ends_by_the_time_for_it(first):
    limits = CallerLimits(header_timeout_s=0.3)

    async def main():
        async with Served(limits) as served:
            reader, writer = await served.connect()
            writer.write(first)

            async def trickle():
                with contextlib.suppress(ConnectionError):
                    while True:
                        writer.write(b'x')
                        await writer.drain()
                        await asyncio.sleep(0.05)

            task = asyncio.ensure_future(trickle())
            line = await asyncio.wait_for(reader.readline(), 2.0)
            assert line.split()[1] in (b'408', b'400')
            task.cancel()
            writer.close()

    asyncio.run(main())


def test_caller_that_reads_nothing_is_answered_once():
    answer = Answer(200, body=b'x' * 8 * 1024 * 1024)

    async def main():
        async with Served(answer=answer) as served:
            reader, writer = await served.connect()
            for _ in range(50):
                writer.write(GET + b'\r\n')
            await asyncio.sleep(0.3)
            assert len(served.requests) == 1
            assert served.server.ledger.held <= 9 * 1024 * 1024
            # All are served once the caller reads.
            total = 50 * len(answer.body)
            read = 0
            while read < total:
                piece = await reader.read(1 << 20)
                assert piece
                read += len(piece)
            assert len(served.requests) == 50
            writer.close()
            await until(lambda: not served.server.connections)
            assert served.server.ledger.held == 0

    asyncio.run(main())


def test_stop_waits_for_a_caller_that_is_still_reading():
    answer = Answer(200, body=b'x' * 16 * 1024 * 1024)

    async def main():
        async with Served(answer=answer) as served:
            reader, writer = await served.connect()
            writer.write(GET + b'\r\n')
            await until(lambda: served.requests)
            served.server.leaving = True
            assert served.server.close_idle() == 1
            read = 0
            while read < len(answer.body):
                read += len(await reader.read(1 << 20))
            await until(lambda: served.server.close_idle() == 0)
            writer.close()

    asyncio.run(main())


def test_caller_that_stops_reading_is_disconnected(monkeypatch):
    monkeypatch.setattr(
        'sesameward.serving.http_server.SLOW_READER_PERIOD_S', 0.2
    )
    answer = Answer(200, body=b'x' * 16 * 1024 * 1024)

    async def main():
        async with Served(answer=answer) as served:
            _, writer = await served.connect()
            writer.write(GET + b'\r\n')
            await until(lambda: served.requests)
            await until(lambda: not served.server.connections)
            assert served.server.ledger.held == 0
            writer.close()

    asyncio.run(main())


# Both parsers, fed in pieces of any size.

NOISE = st.lists(
    st.one_of(
        st.sampled_from(
            [
                OK,
                CHUNKED,
                GET,
                POST,
                b'\r\n',
                b'1\r\nx\r\n',
                b'0\r\n\r\n',
                b'Content-Length: 2\r\n\r\nhi',
                b'Content-Length: 5\r\n\r\nhi',
                b'Id: own\r\n',
                b'HTTP/1.1 100 Continue\r\n\r\n',
                b'Connection: close\r\n',
            ]
        ),
        st.binary(max_size=40),
    ),
    max_size=8,
).map(b''.join)
PIECES = st.lists(st.integers(1, 40), min_size=1, max_size=20)


class Transport:
    """Take what a protocol writes, without a network."""

    def __init__(self):
        self.written = bytearray()
        self.closed = False

    def write(self, data):
        self.written += data

    def is_closing(self):
        return self.closed

    def close(self):
        self.closed = True

    abort = close

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high):
        pass

    def pause_reading(self):
        pass

    resume_reading = pause_reading


def feed(protocol, transport, data, pieces):
    at = 0
    for number in range(len(data)):
        if transport.closed or at >= len(data):
            break
        size = pieces[number % len(pieces)]
        protocol.data_received(data[at : at + size])
        at += size


@hypothesis.given(NOISE, PIECES, st.booleans())
def test_no_reply_is_taken_that_is_not_whole_and_own(data, pieces, is_reset):
    ends = []
    conn = TargetConnection(lambda _: None)
    transport = Transport()
    conn.connection_made(transport)
    conn.send(
        REQUEST,
        ends.append,
        lambda reply: (b'Id', b'own') in reply.headers,
    )
    feed(conn, transport, data, pieces)
    if is_reset:
        conn.connection_lost(ConnectionResetError())
    else:
        conn.eof_received()
        conn.connection_lost(None)
    (what,) = ends
    assert conn._meter.received == 0
    if isinstance(what, Reply):
        assert (b'Id', b'own') in what.headers
        headers = dict(what.headers)
        if b'Content-Length' in headers:
            assert len(what.body) == int(headers[b'Content-Length'])
        elif b'Transfer-Encoding' not in headers:
            # Only a clean end completes a reply without a length.
            assert not is_reset or what.status in (204, 304)


@hypothesis.given(NOISE, PIECES)
def test_each_whole_request_is_handed_over_as_it_was_sent(data, pieces):
    taken = []

    def take(req, responder):
        taken.append(req)
        responder.send(Answer(200))

    from sesameward.serving.http_server import CallerConnection

    server = HttpServer(take, Metrics('t'), lambda: 0.0)
    conn = CallerConnection(server)
    transport = Transport()
    conn.connection_made(transport)
    feed(conn, transport, data, pieces)
    conn.connection_lost(None)
    assert server.ledger.held == 0
    for req in taken:
        assert req.body in data.replace(b'\r\n', b'') or req.body in data
        assert req.host
