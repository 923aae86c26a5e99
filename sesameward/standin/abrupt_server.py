"""Serve HTTP on a port that can vanish at any moment, as in a crash."""

from __future__ import annotations

import asyncio
import socket

from .. import logs
from ..serving.http_server import CallerConnection
from ..serving.http_server import HttpServer


class _Connection(CallerConnection):
    """Connection that is reset at once if the server has crashed meanwhile."""

    def __init__(self, server: AbruptServer):
        super().__init__(server)
        self._abrupt_server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the connection, or reset it."""
        super().connection_made(transport)
        if self._abrupt_server.has_crashed:
            self.abort()


class _Listener:
    """Accept connections on a socket until it is closed.

    A server of asyncio that is closed leaves connections open that it has
    accepted but not set up.
    """

    def __init__(self, sock: socket.socket, server: AbruptServer):
        self.sockets = (sock,)
        self._server = server
        self._setups: set[asyncio.Task] = set()
        sock.setblocking(False)
        asyncio.get_running_loop().add_reader(sock, self._accept)

    def _accept(self) -> None:
        try:
            conn, _ = self.sockets[0].accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        setup = asyncio.ensure_future(self._set_up(conn))
        logs.log_failure(setup)
        self._setups.add(setup)
        setup.add_done_callback(self._setups.discard)

    async def _set_up(self, conn: socket.socket) -> None:
        conn.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(
            lambda: _Connection(self._server), conn
        )

    def close(self) -> None:
        """Refuse connections from now on."""
        sock = self.sockets[0]
        if sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()


class AbruptServer(HttpServer):
    """HTTP server that can end all its connections, also those being set up.

    While has_crashed is True, a connection that was just accepted is reset.
    """

    has_crashed = False

    async def _listen(self, sock: socket.socket) -> _Listener:
        return _Listener(sock, self)
