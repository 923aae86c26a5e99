"""Tests that a node stops reading endless replies and requests.

They guard against a target or caller that exhausts a node's memory by sending
bytes without end. Reading must stop at the size limits of the message.
"""

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
from sesameward.serving.target_connection import ExchangeFailure
from sesameward.serving.target_connection import Reply
from sesameward.serving.target_connection import TargetConnection

PIECE_BYTES = 64 * 1024
# The test stops sending after this many bytes. A receiver that has read all of
# them applies no size limit, and the test fails.
MAX_SENT_BYTES = 64 * 1024 * 1024
# Bytes that may be sent beyond a size limit: those in the socket buffers of
# both ends of a loopback connection, and in one read of the receiver.
BUFFER_BYTES = 12 * 1024 * 1024
MAX_BODY_BYTES = 100_000
LIMITS = MessageLimits(max_body_bytes=MAX_BODY_BYTES)
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
OK_LINE = b'HTTP/1.1 200 OK\r\n'
CHUNKED_HEAD = OK_LINE + b'Transfer-Encoding: chunked\r\n\r\n'

ENDLESS_REPLIES = {
    'header_lines': (OK_LINE, b'X-Header: value\r\n'),
    'header_value': (OK_LINE + b'X-Header: ', b'v'),
    'header_name': (OK_LINE, b'n'),
    'reason': (b'HTTP/1.1 200 ', b'r'),
    'interim_answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'chunk_extension': (CHUNKED_HEAD + b'1;', b'e'),
    'trailers': (CHUNKED_HEAD + b'1\r\nx\r\n0\r\n', b'X-Trailer: value\r\n'),
    'chunks': (CHUNKED_HEAD, b'1\r\nx\r\n'),
    'large_chunks': (CHUNKED_HEAD, b'1000\r\n' + b'x' * 4_096 + b'\r\n'),
    'body_to_the_end': (OK_LINE + b'\r\n', b'x'),
    'body_with_length': (
        OK_LINE + b'Content-Length: 99999999999\r\n\r\n',
        b'x',
    ),
    'foreign_replies': (
        b'',
        OK_LINE + b'Id: other\r\nContent-Length: 1\r\n\r\nx',
    ),
}


async def send_without_end(writer, first, unit):
    """Write first once, then unit repeatedly until the other end closes.

    Stops after MAX_SENT_BYTES. Returns the number of bytes sent.
    """
    piece = unit * max(1, PIECE_BYTES // len(unit))
    sent = len(first)
    writer.write(first)
    with contextlib.suppress(ConnectionError):
        while sent < MAX_SENT_BYTES:
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
    return sent


@pytest.mark.parametrize('name', ENDLESS_REPLIES)
def test_endless_reply_ends_at_its_bound(name):
    async def main():
        sent = asyncio.get_running_loop().create_future()

        async def serve_endless_reply(reader, writer):
            await reader.read(len(REQUEST))
            sent.set_result(
                await send_without_end(writer, *ENDLESS_REPLIES[name])
            )
            writer.close()

        server = await asyncio.start_server(
            serve_endless_reply, '127.0.0.1', 0
        )
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
        result = await asyncio.wait_for(done, 10.0)
        assert result in (ExchangeFailure.TOO_LARGE, ExchangeFailure.NOT_HTTP)
        assert not conn.usable
        max_bytes = (
            9 * (MAX_REPLY_HEAD_BYTES + MAX_BODY_BYTES) + 2 * 256 * 1024
        )
        assert conn.received_bytes <= max_bytes
        assert await asyncio.wait_for(sent, 10.0) <= max_bytes + BUFFER_BYTES
        server.close()

    asyncio.run(main())


class RecordingServer:
    """HttpServer that records the requests that reach its handler."""

    def __init__(self, limits=CallerLimits(), answer=Answer(200)):
        self.answer = answer
        self.limits = limits
        self.requests = []

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self.server = HttpServer(self.handle, Metrics('t'), loop.time)
        self.server.limits = self.limits
        await self.server.start('127.0.0.1', 0)
        return self

    async def __aexit__(self, *exc):
        self.server.stop()

    def handle(self, req, responder):
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
        async with RecordingServer() as recording:
            reader, writer = await recording.connect()
            sending = asyncio.ensure_future(
                send_without_end(writer, first, unit)
            )
            (conn,) = await wait_until(
                lambda: tuple(recording.server.connections)
            )
            writes = []
            conn.original_write = conn._write
            conn._write = lambda answer: (
                writes.append(answer.status),
                conn.original_write(answer),
            )
            sent = await asyncio.wait_for(sending, 10.0)
            limits = recording.limits
            max_bytes = limits.max_header_bytes + FIRST_LINE_BYTES
            max_bytes += 9 * limits.max_body_bytes
            assert sent <= max_bytes + BUFFER_BYTES
            assert writes and set(writes) <= statuses
            assert recording.server.message_memory.held_bytes == 0
            assert recording.requests == []
            writer.close()

    asyncio.run(main())


async def wait_until(condition):
    async with asyncio.timeout(5.0):
        while not (value := condition()):
            await asyncio.sleep(0.001)
    return value


@pytest.mark.parametrize(
    'first',
    [b'GET / HT', GET + b'X: ', POST + b'5\r\na'],
    ids=str,
)
def test_slow_request_ends_by_the_time_for_it(first):
    limits = CallerLimits(header_timeout_s=0.3)

    async def main():
        async with RecordingServer(limits) as recording:
            reader, writer = await recording.connect()
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
        async with RecordingServer(answer=answer) as recording:
            reader, writer = await recording.connect()
            for _ in range(50):
                writer.write(GET + b'\r\n')
            await asyncio.sleep(0.3)
            assert len(recording.requests) == 1
            assert (
                recording.server.message_memory.held_bytes <= 9 * 1024 * 1024
            )
            # All 50 requests are answered once the caller starts to read.
            total = 50 * len(answer.body)
            read = 0
            while read < total:
                piece = await reader.read(1 << 20)
                assert piece
                read += len(piece)
            assert len(recording.requests) == 50
            writer.close()
            await wait_until(lambda: not recording.server.connections)
            assert recording.server.message_memory.held_bytes == 0

    asyncio.run(main())


def test_stop_waits_for_a_caller_that_is_still_reading():
    answer = Answer(200, body=b'x' * 16 * 1024 * 1024)

    async def main():
        async with RecordingServer(answer=answer) as recording:
            reader, writer = await recording.connect()
            writer.write(GET + b'\r\n')
            await wait_until(lambda: recording.requests)
            recording.server.leaving = True
            assert recording.server.close_idle() == 1
            read = 0
            while read < len(answer.body):
                read += len(await reader.read(1 << 20))
            await wait_until(lambda: recording.server.close_idle() == 0)
            writer.close()

    asyncio.run(main())


def test_caller_that_stops_reading_is_disconnected(monkeypatch):
    monkeypatch.setattr(
        'sesameward.serving.http_server.SLOW_READER_PERIOD_S', 0.2
    )
    answer = Answer(200, body=b'x' * 16 * 1024 * 1024)

    async def main():
        async with RecordingServer(answer=answer) as recording:
            _, writer = await recording.connect()
            writer.write(GET + b'\r\n')
            await wait_until(lambda: recording.requests)
            await wait_until(lambda: not recording.server.connections)
            assert recording.server.message_memory.held_bytes == 0
            writer.close()

    asyncio.run(main())


# Property tests: the parsers of replies and of requests get random input in
# pieces of random sizes.

RANDOM_INPUT = st.lists(
    st.one_of(
        st.sampled_from(
            [
                OK_LINE,
                CHUNKED_HEAD,
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
PIECE_SIZES = st.lists(st.integers(1, 40), min_size=1, max_size=20)


class Transport:
    """Fake asyncio transport that stores the bytes written to it."""

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


def feed_in_pieces(protocol, transport, data, piece_sizes):
    position = 0
    for number in range(len(data)):
        if transport.closed or position >= len(data):
            break
        size = piece_sizes[number % len(piece_sizes)]
        protocol.data_received(data[position : position + size])
        position += size


@hypothesis.given(RANDOM_INPUT, PIECE_SIZES, st.booleans())
def test_no_reply_is_taken_that_is_not_whole_and_own(
    data, piece_sizes, is_reset
):
    results = []
    conn = TargetConnection(lambda _: None)
    transport = Transport()
    conn.connection_made(transport)
    conn.send(
        REQUEST,
        results.append,
        lambda reply: (b'Id', b'own') in reply.headers,
    )
    feed_in_pieces(conn, transport, data, piece_sizes)
    if is_reset:
        conn.connection_lost(ConnectionResetError())
    else:
        conn.eof_received()
        conn.connection_lost(None)
    (result,) = results
    assert conn._meter.received == 0
    if isinstance(result, Reply):
        assert (b'Id', b'own') in result.headers
        headers = dict(result.headers)
        if b'Content-Length' in headers:
            assert len(result.body) == int(headers[b'Content-Length'])
        elif b'Transfer-Encoding' not in headers:
            # A reply with neither a length nor chunks ends when the connection
            # is closed. If the connection is reset, the reply is incomplete.
            assert not is_reset or result.status in (204, 304)


@hypothesis.given(RANDOM_INPUT, PIECE_SIZES)
def test_each_whole_request_is_handed_over_as_it_was_sent(data, piece_sizes):
    requests = []

    def handle(req, responder):
        requests.append(req)
        responder.send(Answer(200))

    from sesameward.serving.http_server import CallerConnection

    server = HttpServer(handle, Metrics('t'), lambda: 0.0)
    conn = CallerConnection(server)
    transport = Transport()
    conn.connection_made(transport)
    feed_in_pieces(conn, transport, data, piece_sizes)
    conn.connection_lost(None)
    assert server.message_memory.held_bytes == 0
    for req in requests:
        assert req.body in data.replace(b'\r\n', b'') or req.body in data
        assert req.host
