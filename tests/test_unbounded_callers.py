"""Tests that callers who respect no limit can't exhaust a node.

They guard against a node whose process exceeds the memory or the descriptors
of its machine, hangs or ends because of callers that nobody controls. Each
test starts a node as a real process with lowered limits, holds the attacking
connections open, and then sends one ordinary request.
"""

import asyncio
import contextlib
import os
import socket

import pytest

from sesameward.exceptions import PlatformUnavailableError
from sesameward.standin.fleet import Fleet
from sesameward.standin.fleet import PORTS
from tests.floods import peak_bytes

# Limits in the settings of the node under test.
MEMORY_MB = 110
MAX_FDS = 500
# Number of connections that send requests, and of those that hardly send.
SENDER_COUNT = 80
OPENER_COUNT = 600
# Time for which the attackers send and then hold their connections open.
HOLD_S = 2.5
# Time within which an ordinary caller, who repeats its request after a
# refusal, gets an answer. It is long, because no time is checked here.
ORDINARY_TIMEOUT_S = 20.0
ANSWER_BYTES = 4 * 1024 * 1024
MAX_BODY_BYTES = 262_144
PIPELINED_COUNT = 16_000

ADDRESSES = ('front', 'directory', 'ready')
CHUNKED = (
    b'POST /safe/1 HTTP/1.1\r\nHost: search.example\r\n'
    b'Sesameward-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n'
)
LONG_ANSWER = (
    b'GET /safe/1 HTTP/1.1\r\nHost: search.example\r\n'
    b'Sesameward-Request-Id: a-%d\r\n\r\n'
)
ATTACKS = {
    'large_chunks': (
        SENDER_COUNT,
        CHUNKED + (b'8000\r\n' + b'x' * 0x8000 + b'\r\n') * 7,
    ),
    'small_chunks': (
        SENDER_COUNT,
        CHUNKED + b'2\r\nxx\r\n' * (MAX_BODY_BYTES // 2 - 1),
    ),
    'pipelined': (
        SENDER_COUNT,
        b'GET /safe/1 HTTP/1.1\r\nHost: h\r\n\r\n' * PIPELINED_COUNT,
    ),
    'pipelined_bodies': (
        SENDER_COUNT,
        b'POST /safe/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n'
        b'01234567890123456789' * PIPELINED_COUNT,
    ),
    'many_headers': (
        SENDER_COUNT,
        (b'GET /safe/1 HTTP/1.1\r\nHost: h\r\n' + b'a:\r\n' * 3_000 + b'\r\n')
        * 40,
    ),
    'slow_heads': (
        OPENER_COUNT,
        b'GET /safe/1 HTTP/1.1\r\nHost: h\r\nX: ' + b'v' * 15_000,
    ),
    'only_open': (OPENER_COUNT, b''),
}


async def send_and_hold(host, port, data):
    """Connect, send bytes, and read nothing until cancelled."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        await loop.sock_connect(sock, (host, port))
        await loop.sock_sendall(sock, data)
        await asyncio.sleep(3_600)


def descriptor_count(node):
    return len(os.listdir(f'/proc/{node.process.pid}/fd'))


async def ask_until_answered(fleet, node):
    """Repeat an ordinary request until it is answered; return the reply."""
    async with asyncio.timeout(ORDINARY_TIMEOUT_S):
        while True:
            with contextlib.suppress(PlatformUnavailableError):
                reply = await fleet.ask(node, '/q/1')
                if reply.status == 200:
                    return reply
            await asyncio.sleep(0.2)


async def attack(address, count, make_data, body_bytes=0):
    """Attack a node; assert that it keeps to its limits and serves."""
    limits = {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}
    async with Fleet(nodes=1, shards=1, limits=limits) as fleet:
        node = fleet.nodes[0]
        for target in fleet.targets.values():
            if target.service == 'desk':
                target.faults.body_bytes = body_bytes
        await ask_until_answered(fleet, node)
        senders = [
            send_and_hold(node.host, PORTS[address], make_data(number))
            for number in range(count)
        ]
        await check(fleet, node, senders, HOLD_S)


async def check(fleet, node, coroutines, hold_s):
    """Run an attack; assert that the node keeps to its limits and serves."""
    start_bytes, start_fds = peak_bytes(node), descriptor_count(node)
    senders = [asyncio.ensure_future(one) for one in coroutines]
    max_fds = 0
    for _ in range(int(hold_s / 0.1)):
        await asyncio.sleep(0.1)
        if node.is_running:
            max_fds = max(max_fds, descriptor_count(node))
    is_answered = True
    try:
        await ask_until_answered(fleet, node)
    except TimeoutError:
        is_answered = False
    is_running, peak = node.is_running, peak_bytes(node)
    for sender in senders:
        sender.cancel()
    await asyncio.gather(*senders, return_exceptions=True)
    print(
        f'MEASURED memory {start_bytes / 1e6:.1f} to {peak / 1e6:.1f} MB, '
        f'descriptors {start_fds} to {max_fds}, running {is_running}, '
        f'answered {is_answered}'
    )
    assert is_running and is_answered
    assert peak <= MEMORY_MB * 1_000_000
    assert max_fds <= MAX_FDS


@pytest.mark.parametrize('address', ADDRESSES)
@pytest.mark.parametrize('name', ATTACKS)
def test_node_outlasts_callers_without_limits(name, address):
    count, data = ATTACKS[name]
    asyncio.run(attack(address, count, lambda _: data))


def test_node_outlasts_long_answers_that_are_read_slowly():
    asyncio.run(
        attack('front', SENDER_COUNT, lambda n: LONG_ANSWER % n, ANSWER_BYTES)
    )


LARGEST_BODY = b'0123456789abcdef' * (MAX_BODY_BYTES // 16)


@pytest.mark.parametrize('in_chunks', [False, True], ids=['length', 'chunks'])
def test_largest_request_within_the_limits_is_served(in_chunks):
    # Guards against bounds that an ordinary caller meets.
    lines = (
        b'POST /safe/1 HTTP/1.1\r\nHost: search.example\r\n'
        b'Sesameward-Request-Id: large\r\nConnection: close\r\n'
    )
    if in_chunks:
        lines += b'Transfer-Encoding: chunked\r\n'
        body = b''.join(b'1\r\n%c\r\n' % byte for byte in LARGEST_BODY)
        body += b'0\r\n\r\n'
    else:
        lines += b'Content-Length: %d\r\n' % MAX_BODY_BYTES
        body = LARGEST_BODY
    # max_header_bytes counts the target, but not the rest of the first line.
    counted = len(lines) - len(b'POST  HTTP/1.1\r\n')
    lines += b'X-Filler: ' + b'v' * (16_384 - counted - 14) + b'\r\n'

    async def main():
        limits = {'memory_mb': 200, 'max_fds': 4_100}
        async with Fleet(nodes=1, shards=1, limits=limits) as fleet:
            node = fleet.nodes[0]
            await ask_until_answered(fleet, node)
            reader, writer = await asyncio.open_connection(
                node.host, PORTS['front']
            )
            writer.write(lines + b'\r\n' + body)
            async with asyncio.timeout(10.0):
                status_line = await reader.readline()
            writer.close()
            runs = [
                run
                for target in fleet.targets.values()
                for run in target.runs
                if run.request_id == 'large'
            ]
        assert status_line == b'HTTP/1.1 200 OK\r\n'
        assert [run.body for run in runs] == [LARGEST_BODY]

    asyncio.run(main())
