"""Tests that TargetConnection reports correctly how an exchange ended.

The targets send malformed, truncated, duplicate or late replies.
"""

import asyncio
import socket
import struct

import hypothesis
from hypothesis import strategies as st
import pytest

from sesameward.serving.target_connection import ExchangeFailure
from sesameward.serving.target_connection import Reply
from sesameward.serving.target_connection import TargetConnection

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
OWN_REPLY = b'HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nhi'
FOREIGN_REPLY = b'HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nold'


def is_own(reply):
    return (b'Id', b'own') in reply.headers


class ScriptedTarget(asyncio.Protocol):
    """Target that answers each request with the next entry of a script.

    An entry is a list of steps: bytes are sent, None closes the connection,
    and an exception class resets it.
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
def run_with_target():
    """Return a function that runs a scenario against a ScriptedTarget.

    The scenario is called with an open connection to that target.
    """

    def run(script, scenario):
        async def main():
            loop = asyncio.get_running_loop()
            server = await loop.create_server(
                lambda: ScriptedTarget(list(script)), '127.0.0.1', 0
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


async def exchange(conn, no_body=False):
    done = asyncio.get_running_loop().create_future()
    conn.send(REQUEST, done.set_result, is_own, no_body)
    return await done


async def exchange_and_check(conn):
    result = await exchange(conn)
    await asyncio.sleep(0.05)
    return result, conn.usable


def test_whole_answer_keeps_the_connection(run_with_target):
    result, is_usable = run_with_target([[OWN_REPLY]], exchange_and_check)
    assert isinstance(result, Reply)
    assert (result.status, result.body, is_usable) == (200, b'hi', True)


def test_two_requests_in_turn(run_with_target):
    async def scenario(conn):
        return [(await exchange(conn)).body for _ in range(2)]

    assert run_with_target([[OWN_REPLY], [OWN_REPLY]], scenario) == [
        b'hi',
        b'hi',
    ]


@pytest.mark.parametrize(
    'steps',
    [
        [OWN_REPLY + OWN_REPLY],
        [OWN_REPLY + b'garbage'],
        [OWN_REPLY + FOREIGN_REPLY],
    ],
)
def test_surplus_bytes_end_the_connection_not_the_answer(
    run_with_target, steps
):
    result, is_usable = run_with_target([steps], exchange_and_check)
    assert (result.body, is_usable) == (b'hi', False)


def test_bytes_on_an_idle_connection_end_it(run_with_target):
    async def scenario(conn):
        result = await exchange(conn)
        await asyncio.sleep(0.1)
        return result.body, conn.usable

    class LateDuplicateTarget(ScriptedTarget):
        def data_received(self, data):
            self.transport.write(OWN_REPLY)
            asyncio.get_running_loop().call_later(
                0.03, self.transport.write, OWN_REPLY
            )

    async def main():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: LateDuplicateTarget([]), '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        _, conn = await loop.create_connection(
            lambda: TargetConnection(lambda _: None), '127.0.0.1', port
        )
        result = await scenario(conn)
        server.close()
        return result

    assert asyncio.run(main()) == (b'hi', False)


def test_late_answer_of_an_earlier_request_is_skipped(run_with_target):
    result, is_usable = run_with_target(
        [[FOREIGN_REPLY, OWN_REPLY]], exchange_and_check
    )
    assert (result.body, is_usable) == (b'hi', False)


def test_only_a_foreign_answer_is_none(run_with_target):
    result, _ = run_with_target([[FOREIGN_REPLY, None]], exchange_and_check)
    assert result is ExchangeFailure.CLOSED


@pytest.mark.parametrize(
    ('steps', 'failure'),
    [
        ([b'this is not http\r\n\r\n'], ExchangeFailure.NOT_HTTP),
        ([b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf', None], None),
        ([b'HTTP/1.1 200 OK\r\nContent-Len', None], None),
        ([None], None),
        ([OSError], ExchangeFailure.RESET),
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
def test_broken_answers_are_no_answers(run_with_target, steps, failure):
    result, is_usable = run_with_target([steps], exchange_and_check)
    assert isinstance(result, ExchangeFailure)
    assert result is not ExchangeFailure.NOT_SENT
    if failure is not None:
        assert result is failure
    assert not is_usable


def test_answer_without_length_ends_with_the_connection(run_with_target):
    head = b'HTTP/1.1 200 OK\r\nId: own\r\n\r\n'
    result, is_usable = run_with_target(
        [[head + b'all of it', None]], exchange_and_check
    )
    assert (result.body, is_usable) == (b'all of it', False)


def test_answer_without_length_that_is_reset_is_none(run_with_target):
    head = b'HTTP/1.1 200 OK\r\nId: own\r\n\r\n'

    async def scenario(conn):
        done = asyncio.get_running_loop().create_future()
        conn.send(REQUEST, done.set_result, is_own)
        return await done

    class ResettingTarget(ScriptedTarget):
        def data_received(self, data):
            self.transport.write(head + b'part')
            asyncio.get_running_loop().call_later(0.05, self.reset)

    async def main():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: ResettingTarget([]), '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        _, conn = await loop.create_connection(
            lambda: TargetConnection(lambda _: None), '127.0.0.1', port
        )
        result = await scenario(conn)
        server.close()
        return result

    assert asyncio.run(main()) is ExchangeFailure.RESET


def test_close_header_ends_the_connection(run_with_target):
    reply = OWN_REPLY.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
    result, is_usable = run_with_target([[reply]], exchange_and_check)
    assert (result.body, is_usable) == (b'hi', False)


def test_interim_answers_are_skipped(run_with_target):
    interim = b'HTTP/1.1 103 Early Hints\r\n\r\n'
    result, is_usable = run_with_target(
        [[interim + OWN_REPLY]], exchange_and_check
    )
    assert (result.body, is_usable) == (b'hi', True)


def test_head_has_no_body_whatever_its_length_says(run_with_target):
    head = b'HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 99\r\n\r\n'

    async def scenario(conn):
        return await exchange(conn, no_body=True)

    assert run_with_target([[head]], scenario).status == 200


def test_closed_connection_sends_nothing(run_with_target):
    async def scenario(conn):
        conn.close()
        await asyncio.sleep(0.02)
        return await exchange(conn)

    assert run_with_target([[OWN_REPLY]], scenario) is ExchangeFailure.NOT_SENT


def test_announced_idle_time_is_kept(run_with_target):
    reply = OWN_REPLY.replace(
        b'\r\n\r\n', b'\r\nKeep-Alive: timeout=7\r\n\r\n'
    )

    async def scenario(conn):
        await exchange(conn)
        return conn.keep_alive_timeout_s

    assert run_with_target([[reply]], scenario) == 7.0


def test_abandoned_exchange_ends_at_once(run_with_target):
    async def scenario(conn):
        done = asyncio.get_running_loop().create_future()
        conn.send(REQUEST, done.set_result, is_own)
        conn.abandon()
        return await done

    assert run_with_target([[]], scenario) is ExchangeFailure.ABANDONED


FINAL_STATUSES = range(200, 600)


@hypothesis.given(
    status=st.from_regex(
        r'[0-9]{1,4}|[0-9][0-9 x]{2}|-[0-9]{2}', fullmatch=True
    ),
    body=st.sampled_from([b'', b'hi']),
    has_length=st.booleans(),
)
@hypothesis.example('000', b'hi', True)
@hypothesis.example('099', b'hi', True)
@hypothesis.example('101', b'', True)
@hypothesis.example('600', b'hi', True)
@hypothesis.example('999', b'hi', False)
@hypothesis.settings(
    max_examples=120,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
def test_only_final_statuses_of_http_are_replies(
    run_with_target, status, body, has_length
):
    # A target in trouble sends statuses that HTTP does not know. Passed on,
    # they reach the caller as answers; taken for interim replies, they keep
    # the request waiting until its deadline.
    head = f'HTTP/1.1 {status} Odd\r\nId: own\r\n'.encode()
    if has_length:
        head += b'Content-Length: %d\r\n' % len(body)
    result = run_with_target([[head + b'\r\n' + body, None]], exchange)
    if isinstance(result, Reply):
        assert len(status) == 3
        assert result.status == int(status)
        assert result.status in FINAL_STATUSES
    elif not (status.isdigit() and 100 <= int(status) < 600):
        assert result is ExchangeFailure.NOT_HTTP


@pytest.mark.parametrize('status', [0, 99, 101, 600, 999])
def test_a_reply_without_a_valid_status_fails_at_once(run_with_target, status):
    # The connection stays open: waiting for a further reply would hold the
    # request until its deadline.
    head = f'HTTP/1.1 {status:03} Odd\r\nContent-Length: 0\r\n\r\n'.encode()
    result, is_usable = run_with_target([[head]], exchange_and_check)
    assert (result, is_usable) == (ExchangeFailure.NOT_HTTP, False)


def test_a_final_reply_after_interim_ones_is_used(run_with_target):
    # Interim replies must not be mistaken for statuses that HTTP does not
    # know.
    script = [[b'HTTP/1.1 103 Early Hints\r\n\r\n', OWN_REPLY]]
    result, is_usable = run_with_target(script, exchange_and_check)
    assert (result.status, is_usable) == (200, True)


def test_an_odd_status_after_a_complete_reply_does_not_spoil_it(
    run_with_target,
):
    # Bytes after a complete reply belong to no request. They end the use of
    # the connection, not the request that was answered.
    script = [[OWN_REPLY + b'HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n']]
    result, is_usable = run_with_target(script, exchange_and_check)
    assert (result.status, is_usable) == (200, False)
