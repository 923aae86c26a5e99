"""Flood nodes with endless requests and read their peak memory use."""

import asyncio
import time

from sesameward.standin.fleet import PORTS

PIECE_BYTES = 65_536
WRITE_PAUSE_S = 0.002
RECONNECT_PAUSE_S = 0.02
# Memory of the smallest VM in the users' deployments, in bytes.
SMALLEST_VM = 300_000_000


async def flood_front(node, until):
    """Send requests with an endless header to a node until a given time.

    until is a time of the monotonic clock.
    """
    while time.monotonic() < until:
        try:
            _, writer = await asyncio.open_connection(
                node.host, PORTS['front']
            )
        except OSError:
            # The node is restarting.
            await asyncio.sleep(RECONNECT_PAUSE_S)
            continue
        try:
            writer.write(b'GET /q/1 HTTP/1.1\r\nHost: h\r\nX-Header: ')
            while time.monotonic() < until:
                writer.write(b'v' * PIECE_BYTES)
                async with asyncio.timeout(1.0):
                    await writer.drain()
                await asyncio.sleep(WRITE_PAUSE_S)
        except (OSError, TimeoutError):
            pass
        finally:
            writer.close()
        await asyncio.sleep(RECONNECT_PAUSE_S)


def peak_bytes(node):
    """Return the peak memory of a node's process, 0 if it has ended."""
    try:
        with open(f'/proc/{node.process.pid}/status') as status:
            lines = [line for line in status if line.startswith('VmHWM')]
    except OSError:
        return 0
    return int(lines[0].split()[1]) * 1_024 if lines else 0
