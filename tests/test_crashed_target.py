"""Test how simulated targets crash, leave and are replaced."""

import asyncio
import socket

import pytest

from sesameward.standin.fleet import Fleet
from sesameward.standin.shard_target import ShardTarget

REQUEST = b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n'
CONNECTIONS = 3
# Loop iterations between the connect and the crash: a connection may wait to
# be accepted, be accepted but not set up, or be set up by then.
ITERATIONS = range(8)


async def is_ended(sock):
    """Return whether a connection is closed without an answer."""
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_sendall(sock, REQUEST)
        return await asyncio.wait_for(loop.sock_recv(sock, 100), 1.0) == b''
    except ConnectionError:
        return True
    except TimeoutError:
        return False
    finally:
        sock.close()


# A connection that was accepted, but not set up when the target crashed, was
# left open without an answer, or served. Nodes took the target for hanging.
@pytest.mark.parametrize('iterations', ITERATIONS)
def test_connections_that_are_being_accepted_end_with_a_crash(iterations):
    async def scenario():
        target = ShardTarget('i-1', 'desk')
        address = '127.0.0.1', await target.start()
        socks = [socket.create_connection(address) for _ in range(CONNECTIONS)]
        for sock in socks:
            sock.setblocking(False)
        for _ in range(iterations):
            await asyncio.sleep(0)
        target.stop()
        assert all([await is_ended(sock) for sock in socks])
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)

    asyncio.run(scenario())


# A soak ended with a KeyError: a target was replaced, or drained, while the
# store had been restored from a copy that lacked it.
def test_target_that_a_restored_store_lacks_drains_and_is_replaced():
    async def scenario():
        async with Fleet(nodes=0, shards=1, replicas=1) as fleet:
            copy = fleet.store.copy()
            target = await fleet.add_target('desk', 'zone-b')
            fleet.store.restore(copy)
            fleet.drain(target.id)
            spec = fleet.store.objects['servers', target.id]['spec']
            assert (spec['zone'], spec['state']) == ('zone-b', 'draining')
            fleet.store.restore(copy)
            replacement = await fleet.replace(target)
            spec = fleet.store.objects['servers', replacement.id]['spec']
            assert (spec['zone'], spec['state']) == ('zone-b', 'ready')

    asyncio.run(scenario())
