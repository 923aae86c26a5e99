"""Forward loopback connections and inject network faults into them."""

from __future__ import annotations

import asyncio


class FaultProxy:
    """Forward TCP connections to one server, with faults on request.

    Data may be delayed or, for each direction, discarded; all connections
    may be reset. Once data was discarded, a connection is unusable.
    """

    def __init__(self, host: str, port: int):
        self.delay_s = 0.0
        self.discards_to_server = False
        self.discards_to_client = False
        self.port = 0
        self._server_address = host, port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Listen on a free loopback port; return the port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def clear_faults(self) -> None:
        """End all faults; reset connections that may have lost data."""
        if self.discards_to_server or self.discards_to_client:
            self.reset_connections()
        self.delay_s = 0.0
        self.discards_to_server = self.discards_to_client = False

    def reset_connections(self) -> None:
        """Abort all open connections on both sides."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop_listening(self) -> None:
        """Refuse new connections; open ones are kept."""
        if self._server is not None:
            self._server.close()

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_listening()
        self.reset_connections()

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
                self._forward(reader, server_writer, 'discards_to_server'),
                self._forward(server_reader, writer, 'discards_to_client'),
            )
        finally:
            for side_writer in (writer, server_writer):
                side_writer.transport.abort()
                self._writers.discard(side_writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        discard_flag: str,
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not getattr(self, discard_flag):
                    writer.write(data)
            writer.close()
        except OSError:
            writer.transport.abort()
