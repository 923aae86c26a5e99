"""Tell the truth about exchanges with targets that misbehave."""

import asyncio
import socket
import struct

import pytest

from sesameward.serving.target_connection import Broken
from sesameward.serving.target_connection import Reply
from sesameward.serving.target_connection import TargetConnection

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
OWN = b'HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nhi'
FOREIGN = b'HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nold'


def is_own(reply):
    return (b'Id', b'own') in reply.headers


class Target(asyncio.Protocol):
    """Answer each request by the next bytes of a script.

    None in a script closes, an exception resets.
    """

    def __init__(self, script):
        self.script = script
        self.received = bytearray()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data
        for step in self.script.pop(0) if self.script else ():
            if step is None:
                self.transport.close()
            elif isinstance(step, type):
                self.reset()
            else:
                self.transport.write(step)

    def reset(self):
        sock = self.transport.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.transport.abort()


@pytest.fixture
def talk():
    """Run a scenario with a connection to a scripted target."""

    def run(script, scenario):
        async def main():
            loop = asyncio.get_running_loop()
            server = await loop.create_server(
                lambda: Target(list(script)), '127.0.0.1', 0
            )
            port = server.sockets[0].getsockname()[1]
            _, conn = await loop.create_connection(
                lambda: TargetConnection(lambda _: None), '127.0.0.1', port
            )
            try:
                return await asyncio.wait_for(scenario(conn), 5.0)
            finally:
                conn.close()
                server.close()

        return asyncio.run(main())

    return run


async def ask(conn, no_body=False):
    done = asyncio.get_running_loop().create_future()
    conn.send(REQUEST, done.set_result, is_own, no_body)
    return await done


async def ask_and_pause(conn):
    what = await ask(conn)
    await asyncio.sleep(0.05)
    return what, conn.usable


def test_whole_answer_keeps_the_connection(talk):
    what, usable = talk([[OWN]], ask_and_pause)
    assert isinstance(what, Reply)
    assert (what.status, what.body, usable) == (200, b'hi', True)


def test_two_requests_in_turn(talk):
    async def scenario(conn):
        return [(await ask(conn)).body for _ in range(2)]

    assert talk([[OWN], [OWN]], scenario) == [b'hi', b'hi']


@pytest.mark.parametrize(
    'steps',
    [
        [OWN + OWN],
        [OWN + b'garbage'],
        [OWN + FOREIGN],
    ],
)
def test_surplus_bytes_end_the_connection_not_the_answer(talk, steps):
    what, usable = talk([steps], ask_and_pause)
    assert (what.body, usable) == (b'hi', False)


def test_bytes_on_an_idle_connection_end_it(talk):
    async def scenario(conn):
        what = await ask(conn)
        await asyncio.sleep(0.1)
        return what.body, conn.usable

    class Late(Target):
        def data_received(self, data):
            self.transport.write(OWN)
            asyncio.get_running_loop().call_later(
                0.03, self.transport.write, OWN
            )

    async def main():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Late([]), '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        _, conn = await loop.create_connection(
            lambda: TargetConnection(lambda _: None), '127.0.0.1', port
        )
        result = await scenario(conn)
        server.close()
        return result

    assert asyncio.run(main()) == (b'hi', False)


def test_late_answer_of_an_earlier_request_is_skipped(talk):
    what, usable = talk([[FOREIGN, OWN]], ask_and_pause)
    assert (what.body, usable) == (b'hi', False)


def test_only_a_foreign_answer_is_none(talk):
    what, _ = talk([[FOREIGN, None]], ask_and_pause)
    assert what is Broken.CLOSED


@pytest.mark.parametrize(
    ('steps', 'how'),
    [
        ([b'this is not http\r\n\r\n'], Broken.NOT_HTTP),
        ([b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf', None], None),
        ([b'HTTP/1.1 200 OK\r\nContent-Len', None], None),
        ([None], None),
        ([OSError], Broken.RESET),
        (
            [
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'5\r\nhel',
                None,
            ],
            None,
        ),
    ],
)
def test_broken_answers_are_no_answers(talk, steps, how):
    what, usable = talk([steps], ask_and_pause)
    assert isinstance(what, Broken)
    assert what is not Broken.NOT_SENT
    if how is not None:
        assert what is how
    assert not usable


def test_answer_without_length_ends_with_the_connection(talk):
    head = b'HTTP/1.1 200 OK\r\nId: own\r\n\r\n'
    what, usable = talk([[head + b'all of it', None]], ask_and_pause)
    assert (what.body, usable) == (b'all of it', False)


def test_answer_without_length_that_is_reset_is_none(talk):
    head = b'HTTP/1.1 200 OK\r\nId: own\r\n\r\n'

    async def scenario(conn):
        done = asyncio.get_running_loop().create_future()
        conn.send(REQUEST, done.set_result, is_own)
        return await done

    class Resetting(Target):
        def data_received(self, data):
            self.transport.write(head + b'part')
            asyncio.get_running_loop().call_later(0.05, self.reset)

    async def main():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: Resetting([]), '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        _, conn = await loop.create_connection(
            lambda: TargetConnection(lambda _: None), '127.0.0.1', port
        )
        result = await scenario(conn)
        server.close()
        return result

    assert asyncio.run(main()) is Broken.RESET


def test_close_header_ends_the_connection(talk):
    reply = OWN.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
    what, usable = talk([[reply]], ask_and_pause)
    assert (what.body, usable) == (b'hi', False)


def test_interim_answers_are_skipped(talk):
    interim = b'HTTP/1.1 103 Early Hints\r\n\r\n'
    what, usable = talk([[interim + OWN]], ask_and_pause)
    assert (what.body, usable) == (b'hi', True)


def test_head_has_no_body_whatever_its_length_says(talk):
    head = b'HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 99\r\n\r\n'

    async def scenario(conn):
        return await ask(conn, no_body=True)

    assert talk([[head]], scenario).status == 200


def test_closed_connection_sends_nothing(talk):
    async def scenario(conn):
        conn.close()
        await asyncio.sleep(0.02)
        return await ask(conn)

    assert talk([[OWN]], scenario) is Broken.NOT_SENT


def test_announced_idle_time_is_kept(talk):
    reply = OWN.replace(b'\r\n\r\n', b'\r\nKeep-Alive: timeout=7\r\n\r\n')

    async def scenario(conn):
        await ask(conn)
        return conn.keep_alive_timeout_s

    assert talk([[reply]], scenario) == 7.0


def test_abandoned_exchange_ends_at_once(talk):
    async def scenario(conn):
        done = asyncio.get_running_loop().create_future()
        conn.send(REQUEST, done.set_result, is_own)
        conn.abandon()
        return await done

    assert talk([[]], scenario) is Broken.ABANDONED
