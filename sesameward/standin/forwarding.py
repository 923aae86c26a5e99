"""Forward loopback connections to a server."""

from __future__ import annotations

import asyncio


class Forwarder:
    """Listen at an address; forward each connection to a server.

    Subclasses inject faults by overriding pass_on(). With port 0 a free port
    is chosen when listening starts.
    """

    def __init__(self, host: str, port: int, server: tuple[str, int]):
        self.port = port
        self._host = host
        self._server_address = server
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def reset_connections(self) -> None:
        """Abort all open connections on both sides."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop_listening(self) -> None:
        """Refuse new connections; open ones are kept."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def pass_on(
        self, data: bytes, writer: asyncio.StreamWriter, to_server: bool
    ) -> None:
        """Write what one side sent to the other; empty data is its end."""
        if data:
            writer.write(data)
        else:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *self._server_address
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(server_writer)
        try:
            await asyncio.gather(
                self._forward(reader, server_writer, True),
                self._forward(server_reader, writer, False),
            )
        finally:
            for side_writer in (writer, server_writer):
                side_writer.transport.abort()
                self._writers.discard(side_writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_server: bool,
    ) -> None:
        try:
            data = b'-'
            while data:
                data = await reader.read(65_536)
                await self.pass_on(data, writer, to_server)
        except OSError:
            writer.transport.abort()
