"""Open a listening socket before the server that accepts from it runs."""

from __future__ import annotations

import socket

from ..settings import Endpoint

# Connections that may wait to be accepted; after a loss of all nodes, all
# callers reconnect at once.
BACKLOG = 512


def listen(at: Endpoint) -> socket.socket:
    """Bind and listen; connections queue until a server accepts them.

    Raises OSError if the address can't be bound.
    """
    sock = socket.create_server((at.host, at.port), backlog=BACKLOG)
    sock.setblocking(False)
    return sock
