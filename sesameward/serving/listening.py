"""Open a node's address before the rest of the node is there."""

from __future__ import annotations

import socket

from ..settings import Endpoint

# Connections that wait to be accepted; callers come back all at once after
# a loss of all nodes.
BACKLOG = 512


def listen(at: Endpoint) -> socket.socket:
    """Let connections wait for a server; raise OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((at.host, at.port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
