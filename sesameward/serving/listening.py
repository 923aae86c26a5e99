"""Open a node's address before the rest of the node is there."""

from __future__ import annotations

import socket

from ..settings import Endpoint

# Connections that wait to be accepted; callers come back all at once after
# a loss of all nodes.
BACKLOG = 512


def listen(at: Endpoint) -> socket.socket:
    """Let connections wait for a server; raise OSError."""
    sock = socket.create_server((at.host, at.port), backlog=BACKLOG)
    sock.setblocking(False)
    return sock
