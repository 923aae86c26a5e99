"""Send endless requests to nodes and measure the nodes' peak memory use."""

import asyncio
import time

from sesameward.standin.fleet import PORTS

PIECE_BYTES = 65_536
WRITE_PAUSE_S = 0.002
RECONNECT_PAUSE_S = 0.02
# Memory in bytes of the smallest VM on which the users run a node.
SMALLEST_VM_BYTES = 300_000_000


async def flood_front(node, until):
    """Send requests whose header never ends to a node's port for callers.

    Stops when the monotonic clock reaches until.
    """
    while time.monotonic() < until:
        try:
            _, writer = await asyncio.open_connection(
                node.host, PORTS['front']
            )
        except OSError:
            # The node does not accept connections while it restarts.
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
    """Return the peak resident memory of a node's process in bytes.

    Returns 0 if the process has exited.
    """
    try:
        with open(f'/proc/{node.process.pid}/status') as status:
            lines = [line for line in status if line.startswith('VmHWM')]
    except OSError:
        return 0
    return int(lines[0].split()[1]) * 1_024 if lines else 0
