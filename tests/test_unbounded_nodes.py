"""Tests that other nodes which respect no limit can't exhaust a node.

They guard against a node whose process exceeds the memory or the descriptors
of its machine, hangs or ends because of what arrives at its address for other
nodes: batches of sub-requests whose results are not read, messages without
end, and connections or calls that only open. Each test starts a node as a real
process with lowered limits, and sends one ordinary request at the end.
"""

import asyncio
import contextlib
import functools
import random
import socket
import struct
import time

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import h2.settings
import pytest

from sesameward.codec import MsgpackCodec
from sesameward.configuration.config_peers import PULL_METHOD
from sesameward.exceptions import PlatformUnavailableError
from sesameward.membership import datagrams
from sesameward.membership.message_auth import MessageAuthenticator
from sesameward.membership.peers import SYNC_PATH
from sesameward.messages import Urgency
from sesameward.serving.delegate_client import Envelope
from sesameward.serving.delegate_client import METHOD
from sesameward.serving.delegation import BatchItem
from sesameward.serving.delegation import DelegatedBatch
from sesameward.serving.limit_exchange import TARGET_LIMITS
from sesameward.standin.fleet import Fleet
from sesameward.standin.fleet import INTERNAL_PORTS
from sesameward.standin.fleet import ZONES
from tests.test_unbounded_callers import ask_until_answered
from tests.test_unbounded_callers import check
from tests.test_unbounded_callers import MAX_FDS
from tests.test_unbounded_callers import MEMORY_MB

GOSSIP_PORT = INTERNAL_PORTS[0]
PEER_PORT = GOSSIP_PORT + 1
SENDER_COUNT = 40
OPENER_COUNT = 600
# Number of nodes that connect again and again.
GONE_COUNT = 16
HOLD_S = 3.0
GOSSIP_HOLD_S = 8.0
# Helper nodes, and what each of them sends.
HELPER_COUNT = 8
HELPER_BYTES = 40_000_000
CALLS = 100
BODY = b'b' * 200_000
UNKNOWN_ITEMS = tuple(BatchItem(n, f'nothing-{n}') for n in range(400))


class NodeConnection:
    """HTTP/2 connection of a node that takes no results.

    It reads the connection, but never enlarges the window for results, so the
    other side can send 64 KiB of them.
    """

    def __init__(self, sock):
        self._sock = sock
        self._loop = asyncio.get_running_loop()
        self._changed = asyncio.Event()
        self._is_over = False
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True)
        )

    async def begin(self):
        self.h2.initiate_connection()
        await self.flush()
        return asyncio.ensure_future(self._read())

    async def flush(self):
        await self._loop.sock_sendall(self._sock, self.h2.data_to_send())

    async def call(self, method):
        """Begin a call; wait until the other side admits one more."""
        while True:
            stream_id = self.h2.get_next_available_stream_id()
            try:
                self.h2.send_headers(
                    stream_id,
                    [
                        (':method', 'POST'),
                        (':scheme', 'http'),
                        (':path', method),
                        (':authority', 'node'),
                        ('te', 'trailers'),
                        ('content-type', 'application/grpc+msgpack'),
                    ],
                )
            except h2.exceptions.TooManyStreamsError:
                await self._wait()
                continue
            await self.flush()
            return stream_id

    async def send(self, stream_id, data):
        """Send bytes on a call as far as the window admits it."""
        view = memoryview(data)
        while view:
            window = self.h2.local_flow_control_window(stream_id)
            if window <= 0:
                await self._wait()
                continue
            size = min(window, self.h2.max_outbound_frame_size, len(view))
            self.h2.send_data(stream_id, bytes(view[:size]))
            view = view[size:]
            await self.flush()

    async def _wait(self):
        if self._is_over:
            raise ConnectionResetError
        self._changed.clear()
        await self._changed.wait()

    async def _read(self):
        with contextlib.suppress(OSError, h2.exceptions.ProtocolError):
            while data := await self._loop.sock_recv(self._sock, 65_536):
                self.h2.receive_data(data)
                await self.flush()
                self._changed.set()
        self._is_over = True
        self._changed.set()


def framed(message):
    """Return a gRPC message to a helper node."""
    data = MsgpackCodec().encode(Envelope(message), Envelope)
    return struct.pack('>?I', False, len(data)) + data


def batch(no, items, body=b'', **fields):
    return framed(
        DelegatedBatch(
            no,
            f'r{no}',
            'safe',
            b'GET',
            b'GET search.example/safe/1',
            b'GET /safe/1 HTTP/1.1\r\nHost: search.example\r\n',
            body,
            60_000,
            10,
            items,
            **{'may_filter': False, 'is_single': True, **fields},
        )
    )


async def large_batches(conn, target_id):
    """Send batches of large requests to a target that does not answer."""
    stream_id = await conn.call(METHOD)
    for no in range(CALLS):
        items = (BatchItem(0, target_id),)
        await conn.send(stream_id, batch(no, items, BODY))


async def refused_batches(conn, target_id):
    """Send batches whose many small results are known at once."""
    stream_id = await conn.call(METHOD)
    for no in range(1_000):
        await conn.send(stream_id, batch(no, UNKNOWN_ITEMS))


async def many_calls_with_batches(conn, target_id):
    for _ in range(CALLS):
        stream_id = await conn.call(METHOD)
        for no in range(3):
            await conn.send(stream_id, batch(no, UNKNOWN_ITEMS))


async def only_calls(conn, target_id):
    for _ in range(CALLS):
        await conn.call(METHOD)


def endless_message(method):
    async def send(conn, target_id):
        stream_id = await conn.call(method)
        await conn.send(stream_id, struct.pack('>?I', False, 1 << 31))
        for _ in range(80):
            await conn.send(stream_id, BODY)

    return send


async def parts_of_messages(conn, target_id):
    """Leave many messages of one connection unfinished."""
    stream_ids = [await conn.call(PULL_METHOD) for _ in range(90)]
    for stream_id in stream_ids:
        await conn.send(stream_id, struct.pack('>?I', False, 60_000))
    for stream_id in stream_ids:
        await conn.send(stream_id, b'b' * 59_000)


async def unfinished_headers(conn, target_id):
    """Send fields of a call's head in frames that don't end it."""
    await conn.flush()
    payload = b'h' * 16_384
    length = struct.pack('>I', len(payload))[1:]
    frames = length + b'\x01\x00' + struct.pack('>I', 1) + payload
    for _ in range(60):
        frames += length + b'\x09\x00' + struct.pack('>I', 1) + payload
    await conn._loop.sock_sendall(conn._sock, frames)


ATTACKS = {
    'large_batches': large_batches,
    'refused_batches': refused_batches,
    'many_calls_with_batches': many_calls_with_batches,
    'only_calls': only_calls,
    'parts_of_messages': parts_of_messages,
    'unfinished_headers': unfinished_headers,
    'endless_batch': endless_message(METHOD),
    'endless_pull': endless_message(PULL_METHOD),
    'endless_sync': endless_message(SYNC_PATH),
    'endless_limits': endless_message(TARGET_LIMITS.method),
}


async def connect_and_send(host, target_id, send):
    """Connect, send as a node, and hold the connection until cancelled."""
    loop = asyncio.get_running_loop()
    with (
        socket.socket() as sock,
        contextlib.suppress(OSError, h2.exceptions.ProtocolError),
    ):
        sock.setblocking(False)
        await loop.sock_connect(sock, (host, PEER_PORT))
        conn = NodeConnection(sock)
        reading = await conn.begin()
        try:
            await send(conn, target_id)
            await asyncio.sleep(3_600)
        finally:
            reading.cancel()


async def send_pings(host, _target_id, _send):
    """Send pings and read nothing, not even the replies to them."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        await loop.sock_connect(sock, (host, PEER_PORT))
        conn = h2.connection.H2Connection()
        conn.initiate_connection()
        await loop.sock_sendall(sock, conn.data_to_send())
        ping = b'\x00\x00\x08\x06\x00\x00\x00\x00\x00' + b'p' * 8
        for _ in range(40):
            await loop.sock_sendall(sock, ping * 6_000)
        await asyncio.sleep(3_600)


async def only_open(host, _target_id, _send):
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(host, PEER_PORT)
        try:
            await asyncio.sleep(3_600)
        finally:
            writer.close()


async def reconnect_with_batches(host, target_id, _send):
    """Send a batch that runs once, close, and begin again."""
    for no in range(CALLS):
        conn_task = asyncio.ensure_future(
            connect_and_send(host, target_id, functools.partial(send_once, no))
        )
        await asyncio.sleep(0.03)
        conn_task.cancel()
    await asyncio.sleep(3_600)


async def send_once(no, conn, target_id):
    stream_id = await conn.call(METHOD)
    items = (BatchItem(0, target_id),)
    await conn.send(stream_id, batch(no, items, BODY, runs_once=True))


class Sender:
    """Send authentic datagrams of a node that does not exist."""

    def __init__(self, node):
        self.address = node.host, GOSSIP_PORT
        keys = (','.join(sorted(ZONES)),)
        session = random.randbytes(8)
        self._seals = MessageAuthenticator(keys, session)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def send(self, updates):
        host, port = self.address
        body = datagrams.encode(
            datagrams.Datagram('node-x', datagrams.UpdatesOnly(), updates)
        )
        sealed = self._seals.sign(body, f'{host}:{port}', time.time())
        self._sock.sendto(sealed, self.address)


async def send_rumors(node):
    sender = Sender(node)
    for no in range(20_000):
        sender.send(
            tuple(
                datagrams.WireRumor(
                    'any', f'{no}-{n}', 1, b'r' * 900, 10**9, Urgency.REPORT
                )
                for n in range(50)
            )
        )
        await asyncio.sleep(0.002)


async def send_members(node):
    sender = Sender(node)
    for no in range(20_000):
        sender.send(
            tuple(
                datagrams.Introduction(
                    f'node-{no}-{n}' + 'n' * 400,
                    'z' * 400 + f'{no}-{n}',
                    f'127.1.{no % 250}.{n + 1}',
                    1_000 + no,
                    1,
                    1,
                    1,
                    0,
                    False,
                )
                for n in range(50)
            )
        )
        await asyncio.sleep(0.002)


async def attack(count, act, act_arg=None):
    """Attack a node; assert that it keeps to its limits and serves."""
    limits = {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}
    async with Fleet(nodes=1, shards=1, limits=limits) as fleet:
        node = fleet.nodes[0]
        await ask_until_answered(fleet, node)
        (target_id, *_) = (
            target.id
            for target in fleet.targets.values()
            if target.service == 'desk'
        )
        for target in fleet.targets.values():
            if target.service == 'desk':
                target.faults.paused = True
        await check(
            fleet,
            node,
            [act(node.host, target_id, act_arg) for _ in range(count)],
            HOLD_S,
        )


@pytest.mark.parametrize('name', ATTACKS)
def test_node_outlasts_nodes_without_limits(name):
    asyncio.run(attack(SENDER_COUNT, connect_and_send, ATTACKS[name]))


def test_node_outlasts_pings_whose_replies_are_not_read():
    asyncio.run(attack(SENDER_COUNT, send_pings))


def test_node_outlasts_connections_that_only_open():
    asyncio.run(attack(OPENER_COUNT, only_open))


def test_node_outlasts_batches_whose_senders_are_gone():
    asyncio.run(attack(GONE_COUNT, reconnect_with_batches))


@pytest.mark.parametrize('send', [send_rumors, send_members])
def test_node_outlasts_gossip_without_limits(send):
    async def main():
        limits = {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}
        async with Fleet(nodes=1, shards=1, limits=limits) as fleet:
            node = fleet.nodes[0]
            await ask_until_answered(fleet, node)
            await check(fleet, node, [send(node)], GOSSIP_HOLD_S)

    asyncio.run(main())


class EndlessNode:
    """Node that answers each call, such as a pull, with an endless message."""

    def __init__(self):
        self.call_count = 0

    async def serve(self, reader, writer):
        conn = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False)
        )
        conn.initiate_connection()
        stream_id = None
        sent = 0
        with contextlib.suppress(OSError, h2.exceptions.ProtocolError):
            while data := await reader.read(65_536):
                for event in conn.receive_data(data):
                    if isinstance(event, h2.events.RequestReceived):
                        self.call_count += 1
                        stream_id = event.stream_id
                        conn.send_headers(
                            stream_id,
                            [
                                (':status', '200'),
                                ('content-type', 'application/grpc+msgpack'),
                            ],
                        )
                        conn.send_data(
                            stream_id, struct.pack('>?I', False, 1 << 31)
                        )
                while stream_id is not None and sent < HELPER_BYTES:
                    size = min(
                        conn.local_flow_control_window(stream_id), 16_384
                    )
                    if size <= 0:
                        break
                    conn.send_data(stream_id, b'b' * size)
                    sent += size
                writer.write(conn.data_to_send())
        writer.close()


def test_node_outlasts_replies_of_nodes_without_end():
    async def main():
        limits = {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}
        async with Fleet(nodes=1, shards=1, limits=limits) as fleet:
            node = fleet.nodes[0]
            await ask_until_answered(fleet, node)
            helper = EndlessNode()
            network = node.host.rsplit('.', 1)[0]
            servers = [
                await asyncio.start_server(
                    helper.serve, f'{network}.{100 + n}', PEER_PORT
                )
                for n in range(HELPER_COUNT)
            ]
            members = tuple(
                datagrams.Introduction(
                    f'helper-{n}',
                    ZONES[1],
                    f'{network}.{100 + n}',
                    GOSSIP_PORT,
                    PEER_PORT,
                    1,
                    1,
                    0,
                    False,
                )
                for n in range(HELPER_COUNT)
            )
            for target_id in fleet.targets_in(ZONES[0]):
                fleet.drain(target_id)

            async def ask_meanwhile():
                sender = Sender(node)
                for _ in range(30):
                    sender.send(members)
                    with contextlib.suppress(PlatformUnavailableError):
                        await fleet.ask(node, '/q/2', timeout_s=0.3)
                    await asyncio.sleep(0.05)

            await check(fleet, node, [ask_meanwhile()], GOSSIP_HOLD_S)
            for server in servers:
                server.close()
            # Otherwise nothing was tested.
            assert helper.call_count >= HELPER_COUNT // 2

    asyncio.run(main())
