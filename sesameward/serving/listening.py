"""Open a listening socket before the server that uses it is started."""

from __future__ import annotations

import socket

from ..exceptions import StartError
from ..settings import Endpoint

# Connections that the kernel may queue until the server accepts them. After a
# failure of all nodes, all callers reconnect at once.
BACKLOG = 512


def listen(at: Endpoint) -> socket.socket:
    """Return a listening socket; connections queue until they are accepted.

    Raises StartError if the address can't be bound.
    """
    try:
        sock = socket.create_server((at.host, at.port), backlog=BACKLOG)
    except OSError as exc:
        raise StartError(str(at), exc) from exc
    sock.setblocking(False)
    return sock
