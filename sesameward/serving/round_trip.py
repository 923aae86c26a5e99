"""Read the round-trip time of a connection as its kernel measures it."""

from __future__ import annotations

import asyncio
import socket
import struct

# Size of Linux's struct tcp_info up to tcpi_total_retrans, and the offset of
# its field tcpi_rtt: the smoothed round-trip time in microseconds.
_TCP_INFO_BYTES = 104
_RTT_OFFSET_BYTES = 68


def round_trip_s(transport: asyncio.BaseTransport | None) -> float | None:
    """Return the round-trip time to the peer; None if it isn't known."""
    sock = transport.get_extra_info('socket') if transport else None
    if sock is None:
        return None
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
    except OSError:
        # The socket is closed, or not of TCP.
        return None
    if len(info) < _RTT_OFFSET_BYTES + 4:
        return None
    (rtt_us,) = struct.unpack_from('I', info, _RTT_OFFSET_BYTES)
    return rtt_us / 1e6 if rtt_us else None
