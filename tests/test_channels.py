"""Test gRPC channels to processes that end while they are called."""

from __future__ import annotations

import asyncio
import socket
import struct

from grpclib import client
import msgspec
import pytest

from sesameward.channels import Channels
from sesameward.exceptions import PeerUnavailableError
from sesameward import grpc_errors
from sesameward.membership.peers import PeerClient
from sesameward.messages import Member

# Closing a socket with this option resets its connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@pytest.fixture
def call_ending_peer(monkeypatch):
    """Return a function that runs a call to a peer which resets it.

    The reset arrives after the connection was accepted and before the caller
    writes to it.
    """

    async def run(call):
        loop = asyncio.get_running_loop()
        connect = loop.sock_connect

        async def connect_and_wait(sock, address):
            await connect(sock, address)
            accepted, _ = listener.accept()
            accepted.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            accepted.close()
            await asyncio.sleep(0.05)

        with socket.create_server(('127.0.0.1', 0)) as listener:
            monkeypatch.setattr(loop, 'sock_connect', connect_and_wait)
            port = listener.getsockname()[1]
            await call(Member('n', 'a', '127.0.0.1', 1, port, 1))

    return lambda call: asyncio.run(run(call))


# Guards against calls that fail with an AttributeError of grpclib, which has
# deleted the transport, instead of the error for a peer that does not answer:
# the task of an anti-entropy exchange ended with a traceback.
def test_exchange_with_an_ending_peer(call_ending_peer):
    async def call(member):
        with pytest.raises(PeerUnavailableError):
            await PeerClient().sync(member, b'sealed')

    call_ending_peer(call)


def test_call_over_a_cached_channel_to_an_ending_peer(call_ending_peer):
    async def call(member):
        channels = Channels()
        method = client.UnaryUnaryMethod(
            channels.get(member), '/x/Y', msgspec.Raw, msgspec.Raw
        )
        with pytest.raises(grpc_errors.LOST):
            await method(msgspec.Raw(b''), timeout=5.0)
        channels.close()

    call_ending_peer(call)
