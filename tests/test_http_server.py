"""Take requests from callers that behave badly; pass nothing bad on."""

import asyncio

import pytest

from sesameward.metrics import Metrics
from sesameward.serving.http_server import Answer
from sesameward.serving.http_server import HttpServer
from sesameward.serving.listening import listen
from sesameward.serving.routes import CallerLimits
from sesameward.settings import Endpoint

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


@pytest.fixture
def serve():
    """Run a scenario against a server that notes what it hands over."""

    def run(scenario, handle=None, limits=CallerLimits()):
        seen = []

        def note(req, responder):
            seen.append(req)
            if handle is not None:
                handle(req, responder)
            else:
                responder.send(Answer(200, [], req.body or b'ok'))

        async def main():
            loop = asyncio.get_running_loop()
            server = HttpServer(note, Metrics('t'), loop.time)
            server.limits = limits
            await server.start('127.0.0.1', 0)
            try:
                return await asyncio.wait_for(scenario(server), 8.0)
            finally:
                server.stop()

        return asyncio.run(main()), seen

    return run


async def exchange(server, data, wait_s=0.3):
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(data)
    found = b''
    try:
        async with asyncio.timeout(wait_s):
            while part := await reader.read(65_536):
                found += part
        closed = True
    except TimeoutError:
        closed = False
    except ConnectionResetError:
        closed = True
    writer.close()
    return found, closed


def sends(data):
    return lambda server: exchange(server, data)


def test_kept_connection_serves_pipelined_requests_in_order(serve):
    (found, closed), seen = serve(
        sends(GET + GET.replace(b'/a', b'/b?q=1')), None
    )
    assert found.count(b'HTTP/1.1 200 OK') == 2
    assert not closed
    assert [(r.path, r.query) for r in seen] == [('/a', b''), ('/b', b'q=1')]
    assert [r.is_first for r in seen] == [True, False]


def test_chunked_body_is_put_together(serve):
    data = (
        b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
    )
    (found, _), seen = serve(sends(data))
    assert seen[0].body == b'abcde'
    assert found.endswith(b'abcde')


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
def test_bad_input_gets_400_and_a_close_and_goes_no_further(serve, data):
    (found, closed), seen = serve(sends(data + GET))
    assert found.startswith(b'HTTP/1.1 400 ')
    assert found.count(b'HTTP/1.1') == 1
    assert closed
    assert seen == []


def test_bad_request_behind_a_good_one_spares_the_good_one(serve):
    (found, closed), seen = serve(sends(GET + b'nonsense\r\n\r\n'))
    assert found.startswith(b'HTTP/1.1 200 ')
    assert b'HTTP/1.1 400 ' in found
    assert closed
    assert len(seen) == 1


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
def test_limits_of_size(serve, data, status):
    limits = CallerLimits(max_header_bytes=200, max_body_bytes=100)
    (found, closed), seen = serve(sends(data), limits=limits)
    assert found.startswith(b'HTTP/1.1 %d ' % status)
    assert closed
    assert seen == []


def test_slow_header_gets_408(serve):
    limits = CallerLimits(header_timeout_s=0.2)

    def scenario(server):
        return exchange(server, GET[:10], wait_s=2.0)

    (found, closed), _ = serve(scenario, limits=limits)
    assert found.startswith(b'HTTP/1.1 408 ')
    assert closed


def test_idle_connection_is_closed(serve):
    limits = CallerLimits(idle_timeout_s=0.2)

    def scenario(server):
        return exchange(server, GET, wait_s=3.0)

    (found, closed), _ = serve(scenario, limits=limits)
    assert found.startswith(b'HTTP/1.1 200 ')
    assert closed


def test_caller_that_leaves_is_noticed(serve):
    gone = []

    def handle(req, responder):
        responder.on_gone = lambda: gone.append(req.path)

    async def scenario(server):
        await exchange(server, GET, wait_s=0.05)
        await asyncio.sleep(0.1)

    serve(scenario, handle)
    assert gone == ['/a']


def test_leaving_server_answers_and_closes(serve):
    async def scenario(server):
        server.leaving = True
        return await exchange(server, GET)

    (found, closed), _ = serve(scenario)
    assert b'Connection: close' in found
    assert closed


def test_requests_read_whole_are_answered_before_a_close(serve):
    async def scenario(server):
        server.leaving = True
        return await exchange(server, GET + GET)

    (found, closed), seen = serve(scenario)
    assert found.count(b'HTTP/1.1 200 ') == len(seen) == 2
    assert closed


def test_expectation_is_met(serve):
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

    (interim, final), _ = serve(scenario)
    assert interim.startswith(b'HTTP/1.1 100 ')
    assert final.startswith(b'HTTP/1.1 200 ')


def test_fault_of_the_handler_is_an_answer(serve):
    def handle(req, responder):
        raise RuntimeError('broken handler')

    (found, _), _ = serve(sends(GET), handle)
    assert found.startswith(b'HTTP/1.1 500 ')


def test_answer_to_nobody_is_dropped(serve):
    kept = []

    async def scenario(server):
        await exchange(server, GET, wait_s=0.05)
        await asyncio.sleep(0.05)
        kept[0].send(Answer(200))

    serve(scenario, lambda req, responder: kept.append(responder))


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
        found = await asyncio.wait_for(reader.readuntil(b'ok'), 5.0)
        writer.close()
        server.stop()
        return found

    assert asyncio.run(main()).startswith(b'HTTP/1.1 200 OK')
