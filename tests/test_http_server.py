"""Tests that HttpServer handles callers that misbehave.

Invalid, oversized or slow requests are answered with an error and never reach
the handler.
"""

import asyncio

import hypothesis
from hypothesis import strategies as st
import pytest

from sesameward.metrics import Metrics
from sesameward.serving.http_server import Answer
from sesameward.serving.http_server import CallerConnection
from sesameward.serving.http_server import HttpServer
from sesameward.serving.listening import listen
from sesameward.serving.routes import CallerLimits
from sesameward.settings import Endpoint
from tests.test_endless_bytes import feed_in_pieces
from tests.test_endless_bytes import Transport

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


@pytest.fixture
def run_with_server():
    """Return a function that runs a scenario against an HttpServer.

    The returned function gives back the scenario's result and the requests
    that reached the server's handler.
    """

    def run(scenario, handle=None, limits=CallerLimits()):
        requests = []

        def record(req, responder):
            requests.append(req)
            if handle is not None:
                handle(req, responder)
            else:
                responder.send(Answer(200, [], req.body or b'ok'))

        async def main():
            loop = asyncio.get_running_loop()
            server = HttpServer(record, Metrics('t'), loop.time)
            server.limits = limits
            await server.start('127.0.0.1', 0)
            try:
                return await asyncio.wait_for(scenario(server), 8.0)
            finally:
                server.stop()

        return asyncio.run(main()), requests

    return run


async def exchange(server, data, wait_s=0.3):
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(data)
    received = b''
    try:
        async with asyncio.timeout(wait_s):
            while piece := await reader.read(65_536):
                received += piece
        closed = True
    except TimeoutError:
        closed = False
    except ConnectionResetError:
        closed = True
    writer.close()
    return received, closed


def send_scenario(data):
    return lambda server: exchange(server, data)


def test_kept_connection_serves_pipelined_requests_in_order(run_with_server):
    (received, closed), requests = run_with_server(
        send_scenario(GET + GET.replace(b'/a', b'/b?q=1')), None
    )
    assert received.count(b'HTTP/1.1 200 OK') == 2
    assert not closed
    assert [(r.path, r.query) for r in requests] == [
        ('/a', b''),
        ('/b', b'q=1'),
    ]
    assert [r.is_first_on_connection for r in requests] == [True, False]


def test_chunked_body_is_put_together(run_with_server):
    data = (
        b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
    )
    (received, _), requests = run_with_server(send_scenario(data))
    assert requests[0].body == b'abcde'
    assert received.endswith(b'abcde')


@pytest.mark.parametrize(
    'data',
    [
        b'nonsense\r\n\r\n',
        b'GET /a HTTP/1.1\r\n\r\n',
        b'GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n',
        b'GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n',
        b'GET /a HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n',
        b'GET /a HTTP/1.1\r\nHost : h\r\n\r\n',
        b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
        b'Content-Length: 4\r\n\r\nabcd',
        b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc',
        b'POST /a HTTP/1.1\r\nHost: h\r\n'
        b'Transfer-Encoding: chunked\r\n\r\nxyz\r\n\r\n',
        b'POST /a HTTP/1.1\r\nHost: h\r\n'
        b'Transfer-Encoding: gzip, identity\r\n\r\n',
    ],
)
def test_bad_input_gets_400_and_a_close_and_goes_no_further(
    run_with_server, data
):
    (received, closed), requests = run_with_server(send_scenario(data + GET))
    assert received.startswith(b'HTTP/1.1 400 ')
    assert received.count(b'HTTP/1.1') == 1
    assert closed
    assert requests == []


def test_bad_request_behind_a_good_one_spares_the_good_one(run_with_server):
    (received, closed), requests = run_with_server(
        send_scenario(GET + b'nonsense\r\n\r\n')
    )
    assert received.startswith(b'HTTP/1.1 200 ')
    assert b'HTTP/1.1 400 ' in received
    assert closed
    assert len(requests) == 1


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'GET /a HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 300 + b'\r\n\r\n', 431),
        (
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n'
            + b'x' * 200,
            413,
        ),
    ],
)
def test_limits_of_size(run_with_server, data, status):
    limits = CallerLimits(max_header_bytes=200, max_body_bytes=100)
    (received, closed), requests = run_with_server(
        send_scenario(data), limits=limits
    )
    assert received.startswith(b'HTTP/1.1 %d ' % status)
    assert closed
    assert requests == []


def test_slow_header_gets_408(run_with_server):
    limits = CallerLimits(header_timeout_s=0.2)

    def scenario(server):
        return exchange(server, GET[:10], wait_s=2.0)

    (received, closed), _ = run_with_server(scenario, limits=limits)
    assert received.startswith(b'HTTP/1.1 408 ')
    assert closed


def test_idle_connection_is_closed(run_with_server):
    limits = CallerLimits(idle_timeout_s=0.2)

    def scenario(server):
        return exchange(server, GET, wait_s=3.0)

    (received, closed), _ = run_with_server(scenario, limits=limits)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert closed


def test_caller_that_leaves_is_noticed(run_with_server):
    gone_paths = []

    def handle(req, responder):
        responder.on_gone = lambda: gone_paths.append(req.path)

    async def scenario(server):
        await exchange(server, GET, wait_s=0.05)
        await asyncio.sleep(0.1)

    run_with_server(scenario, handle)
    assert gone_paths == ['/a']


def test_leaving_server_answers_and_closes(run_with_server):
    async def scenario(server):
        server.leaving = True
        return await exchange(server, GET)

    (received, closed), _ = run_with_server(scenario)
    assert b'Connection: close' in received
    assert closed


def test_requests_read_whole_are_answered_before_a_close(run_with_server):
    async def scenario(server):
        server.leaving = True
        return await exchange(server, GET + GET)

    (received, closed), requests = run_with_server(scenario)
    assert received.count(b'HTTP/1.1 200 ') == len(requests) == 2
    assert closed


def test_expectation_is_met(run_with_server):
    async def scenario(server):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', server.port
        )
        writer.write(
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n'
            b'Expect: 100-continue\r\n\r\n'
        )
        interim = await reader.readuntil(b'\r\n\r\n')
        writer.write(b'ab')
        final = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        return interim, final

    (interim, final), _ = run_with_server(scenario)
    assert interim.startswith(b'HTTP/1.1 100 ')
    assert final.startswith(b'HTTP/1.1 200 ')


def test_fault_of_the_handler_is_an_answer(run_with_server):
    def handle(req, responder):
        raise RuntimeError('broken handler')

    (received, _), _ = run_with_server(send_scenario(GET), handle)
    assert received.startswith(b'HTTP/1.1 500 ')


def test_answer_to_nobody_is_dropped(run_with_server):
    responders = []

    async def scenario(server):
        await exchange(server, GET, wait_s=0.05)
        await asyncio.sleep(0.05)
        responders[0].send(Answer(200))

    run_with_server(
        scenario, lambda req, responder: responders.append(responder)
    )


def test_caller_who_comes_before_the_server_waits_for_it():
    async def main():
        loop = asyncio.get_running_loop()
        sock = listen(Endpoint('127.0.0.1', 0))
        reader, writer = await asyncio.open_connection(*sock.getsockname())
        writer.write(GET)
        server = HttpServer(
            lambda req, responder: responder.send(Answer(200, [], b'ok')),
            Metrics('t'),
            loop.time,
        )
        await server.accept(sock)
        received = await asyncio.wait_for(reader.readuntil(b'ok'), 5.0)
        writer.close()
        server.stop()
        return received

    assert asyncio.run(main()).startswith(b'HTTP/1.1 200 OK')


OFFER = b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'


@st.composite
def offered_requests(draw):
    """Draw a valid request that may offer another protocol, and its body."""
    body = draw(st.binary(max_size=1_500))
    lines = [b'Host: h\r\n', OFFER if draw(st.booleans()) else b'X: y\r\n']
    in_chunks = draw(st.booleans())
    if in_chunks:
        lines.append(b'Transfer-Encoding: chunked\r\n')
        size = draw(st.integers(1, 700))
        pieces = [body[at : at + size] for at in range(0, len(body), size)]
        sent = b''.join(b'%x\r\n%s\r\n' % (len(p), p) for p in pieces)
        sent += b'0\r\n\r\n'
    else:
        lines.append(b'Content-Length: %d\r\n' % len(body))
        sent = body
    lines = draw(st.permutations(lines))
    method = draw(st.sampled_from([b'GET', b'POST', b'PUT']))
    head = b'%s /a HTTP/1.1\r\n%s\r\n' % (method, b''.join(lines))
    return method, body, head + sent


@hypothesis.given(
    st.lists(offered_requests(), min_size=1, max_size=12),
    st.lists(st.integers(1, 2_000), min_size=1, max_size=20),
)
def test_offer_of_another_protocol_is_ignored(offered, piece_sizes):
    # Guards against requests that run without their body, because the bytes
    # after a head with "Connection: Upgrade" were taken for another protocol.
    requests = []

    def record(req, responder):
        requests.append((req.method, req.body))
        responder.send(Answer(200))

    server = HttpServer(record, Metrics('t'), lambda: 0.0)
    conn = CallerConnection(server)
    transport = Transport()
    conn.connection_made(transport)
    data = b''.join(sent for _, _, sent in offered)
    feed_in_pieces(conn, transport, data, piece_sizes)
    assert requests == [(method, body) for method, body, _ in offered]
    assert transport.written.count(b'HTTP/1.1 200 OK') == len(offered)
    conn.connection_lost(None)
    assert server.message_memory.held_bytes == 0


FAULTS = {
    'both_framings': b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n',
    'framings_reversed': (
        b'Transfer-Encoding: chunked\r\nContent-Length: 3\r\n'
    ),
    'two_lengths': b'Content-Length: 3\r\nContent-Length: 4\r\n',
    'no_length': b'Content-Length: +3\r\n',
    'unknown_coding': b'Transfer-Encoding: gzip\r\n',
    'two_hosts': b'Host: i\r\n',
}


@hypothesis.given(
    offered_requests(),
    st.sampled_from(sorted(FAULTS)),
    st.sampled_from([b'POST /a', b'GET /a', b'CONNECT h:1']),
    st.booleans(),
    st.binary(max_size=60),
    st.lists(st.integers(1, 300), min_size=1, max_size=20),
)
def test_faulty_request_with_an_offer_runs_nothing(
    offered, fault, line, offer_first, rest, piece_sizes
):
    # Guards against requests smuggled in the body of one whose framing is
    # ambiguous, because the head was parsed again without the offer.
    requests = []

    def record(req, responder):
        requests.append((req.method, req.body))
        responder.send(Answer(200))

    conn = CallerConnection(HttpServer(record, Metrics('t'), lambda: 0.0))
    transport = Transport()
    conn.connection_made(transport)
    method, body, good = offered
    lines = [OFFER, FAULTS[fault]] if offer_first else [FAULTS[fault], OFFER]
    bad = line + b' HTTP/1.1\r\nHost: h\r\n' + b''.join(lines) + b'\r\n'
    data = good + bad + rest + GET
    feed_in_pieces(conn, transport, data, piece_sizes)
    assert requests == [(method, body)]
    assert transport.written.count(b'HTTP/1.1 4') == 1
    assert transport.closed


@pytest.mark.parametrize(
    'data',
    [
        b'CONNECT h:1 HTTP/1.1\r\nHost: h\r\n' + OFFER + b'\r\n',
        b'POST /a HTTP/1.1\r\nHost: h\r\n'
        + OFFER
        + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n'
        + b'0\r\n\r\n',
        b'POST /a HTTP/1.1\r\nHost: h\r\n'
        + OFFER
        + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
        b'POST /a HTTP/1.1\r\nHost: h\r\n'
        + OFFER
        + b'Transfer-Encoding: chunked\r\n\r\nxyz\r\n\r\n',
    ],
)
def test_offer_of_another_protocol_hides_no_fault(run_with_server, data):
    (received, closed), requests = run_with_server(send_scenario(data + GET))
    assert received.startswith(b'HTTP/1.1 400 ')
    assert received.count(b'HTTP/1.1') == 1
    assert closed
    assert requests == []


def test_large_request_is_refused_while_memory_is_short(run_with_server):
    # Guards against a refusal of a request that runs all the same, and against
    # refusing the small requests of ordinary callers.
    large = (
        b'POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n'
        + b'x' * 20_000
    )

    async def scenario(server):
        memory = server.message_memory.callers
        holder = CallerConnection(server)
        memory.add(holder, server.now())
        memory.set_held(holder, int(0.8 * memory.limit_bytes), server.now())
        received = await exchange(server, large + GET)
        memory.remove(holder)
        return received, await exchange(server, large)

    answers, requests = run_with_server(scenario)
    (refused, _), (served, _) = answers
    assert refused.startswith(b'HTTP/1.1 503 ')
    assert b'\r\nRetry-After: ' in refused
    assert b'HTTP/1.1 200 OK' in refused
    assert served.startswith(b'HTTP/1.1 200 OK')
    assert [req.path for req in requests] == ['/a', '/large']


def test_queue_of_requests_is_bounded_in_number_and_bytes(run_with_server):
    # Guards against thousands of small requests that are parsed and queued
    # from one read while the first of them is not answered.
    responders = []

    async def scenario(server):
        _, writer = await asyncio.open_connection('127.0.0.1', server.port)
        writer.write(GET * 5_000)
        await asyncio.sleep(0.3)
        # Another test process may still call a former user of this port.
        conn = max(server.connections, key=lambda one: len(one._queued))
        found = len(conn._queued), server.message_memory.held_bytes
        writer.close()
        return found

    (queued, held), requests = run_with_server(
        scenario, lambda req, responder: responders.append(responder)
    )
    assert len(requests) == 1
    assert 8 <= queued <= 28
    assert held < 300_000
