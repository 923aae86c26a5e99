"""Forward loopback connections and inject network faults into them."""

from __future__ import annotations

import asyncio

from sesameward.standin.forwarding import Forwarder


class FaultProxy(Forwarder):
    """Forward TCP connections to one server, with faults on request.

    Data may be delayed or, for each direction, discarded; all connections
    may be reset. Once data was discarded, a connection is unusable.
    """

    def __init__(self, host: str, port: int):
        super().__init__('127.0.0.1', 0, (host, port))
        self.delay_s = 0.0
        self.discards_to_server = False
        self.discards_to_client = False

    def clear_faults(self) -> None:
        """End all faults; reset connections that may have lost data."""
        if self.discards_to_server or self.discards_to_client:
            self.reset_connections()
        self.delay_s = 0.0
        self.discards_to_server = self.discards_to_client = False

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_listening()
        self.reset_connections()

    async def pass_on(
        self, data: bytes, writer: asyncio.StreamWriter, to_server: bool
    ) -> None:
        """Write what one side sent to the other, subject to the faults."""
        if data and self.delay_s:
            await asyncio.sleep(self.delay_s)
        discards = (
            self.discards_to_server if to_server else self.discards_to_client
        )
        if not (data and discards):
            await super().pass_on(data, writer, to_server)
