"""Test that pulled pages are compressed, and that invalid ones are refused."""

from __future__ import annotations

import asyncio
import os
import zlib

from grpclib import client
from grpclib import server
import msgspec
import pytest

from sesameward.codec import MsgpackCodec
from sesameward.configuration import config_peers

from sesameward.configuration.objects import PAGE_BYTES
from sesameward.configuration import page_compression
from sesameward.messages import Delta
from sesameward.messages import Digest
from sesameward.messages import Member
from sesameward.messages import Pull
from sesameward.messages import StoredObject
from sesameward.metrics import Metrics

REGISTRATION = b'{"service": "s%d", "port": 8000, "capacity": {"slots": 2}}'


def page(count):
    return Delta(
        1,
        9,
        tuple(
            StoredObject('servers', f'id-{i}', i + 1, REGISTRATION % i)
            for i in range(count)
        ),
        cursor=7,
        epoch=3,
    )


def test_compressed_page_is_smaller_and_holds_the_same_objects():
    """Guards against pages that take as many bytes as before, or lose some."""
    before = page(300)
    sent = page_compression.compress(before)
    assert sent.objects == ()
    encoded = [msgspec.msgpack.encode(delta) for delta in (sent, before)]
    assert len(encoded[0]) * 4 < len(encoded[1])
    received = msgspec.msgpack.decode(encoded[0], type=Delta)
    assert page_compression.decompress(received) == before


@pytest.mark.parametrize(
    'delta',
    [
        page(0),
        page(2),
        Delta(1, 2, (StoredObject('k', 'n', 1, os.urandom(4_000)),)),
    ],
    ids=['empty', 'small', 'random'],
)
def test_page_that_gets_no_smaller_stays_as_it_is(delta):
    """Guards against compressed pages that are larger than the plain ones."""
    assert page_compression.compress(delta) is delta
    assert page_compression.decompress(delta) is delta


def compressed(data):
    return Delta(1, 2, compressed_objects=data)


@pytest.mark.parametrize(
    'data',
    [
        b'not compressed',
        page_compression.compress(page(300)).compressed_objects[:-1],
        zlib.compress(b'not MessagePack'),
        zlib.compress(msgspec.msgpack.encode([{'kind': 3}])),
        zlib.compress(bytes(page_compression.MAX_PAGE_BYTES + 1)),
    ],
    ids=['plain', 'truncated', 'no message', 'no object', 'too large'],
)
def test_invalid_compressed_page_is_a_decoding_error(data):
    """Guards against a page that ends the pulling task or fills the memory."""
    with pytest.raises(msgspec.DecodeError):
        page_compression.decompress(compressed(data))


def test_largest_page_can_be_read():
    """Guards against a limit that a page of two large versions exceeds."""
    versions = tuple(
        StoredObject('config', 'main', i, b'{}' * PAGE_BYTES) for i in (1, 2)
    )
    before = Delta(0, 2, versions)
    sent = page_compression.compress(before)
    assert sent.objects == ()
    assert page_compression.decompress(sent) == before


async def pull_twice(answer):
    """Return the answers to a client of each release: the former, this one."""

    async def answer_pull(request):
        return answer

    handler = config_peers.PullHandler(answer_pull)
    grpc_server = server.Server([handler], codec=MsgpackCodec())
    await grpc_server.start('127.0.0.1', 0)
    port = grpc_server._server.sockets[0].getsockname()[1]
    channel = client.Channel('127.0.0.1', port, codec=MsgpackCodec())
    puller = config_peers.PullClient(Metrics('n'))
    try:
        former = client.UnaryUnaryMethod(
            channel, config_peers.PULL_METHOD, Pull, Delta
        )
        return (
            await former(Pull(Digest(1)), timeout=5.0),
            await puller.pull(
                Member('m', 'a', '127.0.0.1', 0, port, 0), Pull(Digest(1))
            ),
        )
    finally:
        channel.close()
        puller.close()
        grpc_server.close()
        await grpc_server.wait_closed()


def test_only_a_node_that_accepts_it_gets_a_compressed_page():
    """Guards against pages that nodes of the former release can't read."""
    answer = msgspec.structs.replace(page(300), cursor=None)
    former, current = asyncio.run(pull_twice(answer))
    assert former == answer
    assert current == answer
