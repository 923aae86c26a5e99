"""Send bytes without end to nodes, and look at the memory they hold."""

import asyncio
import time

from sesameward.standin.fleet import PORTS

PIECE = 65_536
GAP_S = 0.002
AGAIN_S = 0.02
# The smallest VM of the users' deployments, in bytes.
SMALLEST_VM = 300_000_000


async def flood_front(node, until):
    """Send a header without end, again and again, up to a time."""
    while time.monotonic() < until:
        try:
            _, writer = await asyncio.open_connection(
                node.host, PORTS['front']
            )
        except OSError:
            # The node is starting again.
            await asyncio.sleep(AGAIN_S)
            continue
        try:
            writer.write(b'GET /q/1 HTTP/1.1\r\nHost: h\r\nX-Header: ')
            while time.monotonic() < until:
                writer.write(b'v' * PIECE)
                async with asyncio.timeout(1.0):
                    await writer.drain()
                await asyncio.sleep(GAP_S)
        except (OSError, TimeoutError):
            pass
        finally:
            writer.close()
        await asyncio.sleep(AGAIN_S)


def peak_bytes(node):
    """Return the most memory that a node's process has held, 0 if it ended."""
    try:
        with open(f'/proc/{node.process.pid}/status') as status:
            lines = [line for line in status if line.startswith('VmHWM')]
    except OSError:
        return 0
    return int(lines[0].split()[1]) * 1_024 if lines else 0
