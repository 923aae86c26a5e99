"""Serve as cheap stand-in targets that never limit a benchmark."""

from __future__ import annotations

import asyncio
import json
import sys

import msgspec

from sesameward.messages import LoadReport
from sesameward.messages import Record
from sesameward.messages import ShardQuery
from sesameward.messages import ShardReply
from sesameward.messages import TargetReply
from sesameward.types import RecordVersion
from sesameward.types import ShardId
from sesameward.types import Snapshot

HOST = '127.0.0.1'
SNAPSHOT = Snapshot(1)

_query_decoder = msgspec.json.Decoder(ShardQuery)
_encoder = msgspec.json.Encoder()


def make_reply(shard: ShardId, records: int) -> ShardReply:
    """Return a shard's reply with a number of records."""
    return ShardReply(
        shard,
        SNAPSHOT,
        tuple(
            Record(f'{shard}-{index:04d}', RecordVersion(1 + index % 2))
            for index in range(records)
        ),
    )


class QuickTarget(asyncio.Protocol):
    """Answer the queries and load report requests of one connection."""

    def __init__(self, replies: dict[ShardId, ShardReply]):
        self._replies = replies
        self._received = b''
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport to write answers to."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each request that has arrived whole."""
        self._received += data
        while b'\r\n\r\n' in self._received:
            head, _, rest = self._received.partition(b'\r\n\r\n')
            length = _content_length(head)
            if len(rest) < length:
                return
            self._received = rest[length:]
            body = self._answer(head, rest[:length])
            self._transport.write(
                b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
            )

    def _answer(self, head: bytes, body: bytes) -> bytes:
        if not head.startswith(b'POST /v1/query'):
            held = {shard: (SNAPSHOT,) for shard in self._replies}
            return _encoder.encode(LoadReport(holds=held))
        query = _query_decoder.decode(body)
        return _encoder.encode(
            TargetReply(
                query.attempt,
                tuple(self._replies[shard] for shard in query.shards),
                LoadReport(),
            )
        )


def _content_length(head: bytes) -> int:
    _, separator, rest = head.lower().partition(b'content-length:')
    return int(rest.split(b'\r\n', 1)[0]) if separator else 0


async def serve(shard_groups: list[list[ShardId]], records: int) -> None:
    """Serve each group of shards on its own port; print the ports as JSON."""
    loop = asyncio.get_running_loop()
    ports = []
    for shards in shard_groups:
        replies = {shard: make_reply(shard, records) for shard in shards}
        server = await loop.create_server(
            lambda shard_replies=replies: QuickTarget(shard_replies), HOST, 0
        )
        ports.append(server.sockets[0].getsockname()[1])
    print(json.dumps({'ports': ports}), flush=True)
    await loop.create_future()


if __name__ == '__main__':
    asyncio.run(serve(json.loads(sys.argv[1]), int(sys.argv[2])))
