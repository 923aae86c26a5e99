"""Tests that small replies of targets can't exhaust a node.

They guard against a node whose process exceeds the memory of its machine
because very many replies below 16 KiB wait: for their own end, for the last
shard of a query, or for callers that read nothing. Each test starts a node as
a real process with lowered limits, and sends one ordinary request at the end.
"""

import asyncio
import contextlib
import socket

import pytest

from sesameward.standin.fleet import Fleet
from sesameward.standin.fleet import PORTS
from sesameward.standin.fleet import request
from sesameward.standin.shard_target import ShardTarget
from tests.floods import peak_bytes
from tests.test_unbounded_callers import ask_until_answered

MEMORY_MB = 110
MAX_FDS = 8_000
SHARDS = 12
CALLER_COUNT = 300
HOLD_S = 3.0
REPLY_BYTES = 15_000


class SmallReplies(ShardTarget):
    """Target whose replies to queries begin and then wait."""

    # 'begun': all but the end of the body is sent. 'signed': the whole reply
    # is sent, with a long signature, except by the last shard.
    mode = None

    def _handle(self, req, responder):
        headers = {name.lower(): value for name, value in req.headers}
        request_id = headers.get(b'sesameward-request-id', b'')
        transport = responder.raw_transport()
        mode = type(self).mode
        if not request_id.startswith(b'attack') or transport is None:
            super()._handle(req, responder)
            return
        if self.service == f'shard-{SHARDS - 1}':
            return
        head = (
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n'
            b'Sesameward-Request-Id: %b\r\nSesameward-Server-Stamp: %b\r\n\r\n'
        )
        if mode == 'begun':
            transport.write(
                head % (REPLY_BYTES + 1, request_id, b's') + b'x' * REPLY_BYTES
            )
        else:
            transport.write(head % (0, request_id, b's' * REPLY_BYTES))


async def send_query(host, number):
    loop = asyncio.get_running_loop()
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.setblocking(False)
        await loop.sock_connect(sock, (host, PORTS['front']))
        query = request(f'/q/{number}', f'attack-{number}', deadline_ms=900)
        while True:
            await loop.sock_sendall(sock, query)
            await asyncio.sleep(1.0)


@pytest.mark.parametrize('mode', ['begun', 'signed'])
def test_node_outlasts_small_replies(mode, monkeypatch):
    monkeypatch.setattr('sesameward.standin.fleet.ShardTarget', SmallReplies)
    monkeypatch.setattr(SmallReplies, 'mode', mode)

    async def main():
        limits = {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}
        async with Fleet(
            nodes=1, shards=SHARDS, limits=limits, max_connections=400
        ) as fleet:
            node = fleet.nodes[0]
            await ask_until_answered(fleet, node)
            start_bytes = peak_bytes(node)
            senders = [
                asyncio.ensure_future(send_query(node.host, number))
                for number in range(CALLER_COUNT)
            ]
            await asyncio.sleep(HOLD_S)
            is_running, peak = node.is_running, peak_bytes(node)
            for sender in senders:
                sender.cancel()
            await asyncio.gather(*senders, return_exceptions=True)
            await ask_until_answered(fleet, node)
            peak = max(peak, peak_bytes(node))
            print(
                f'MEASURED {mode}: memory {start_bytes / 1e6:.1f} to '
                f'{peak / 1e6:.1f} MB'
            )
            assert is_running and node.is_running
            assert peak <= MEMORY_MB * 1_000_000

    asyncio.run(main())
