"""Simulate the network between one node and all targets, with faults."""

from __future__ import annotations

import asyncio
import enum
import socket

from .forwarding import Forwarder

# A listener with a backlog of 0 holds this many connections that nobody has
# accepted. The kernel then drops the packets that open further ones.
FILLING_CONNECTIONS = 2
TARGET_HOST = '127.0.0.1'


class Cut(enum.Enum):
    """Say what happens to a node's connections while it is cut off.

    HANG: open and new ones hang. RESET: open ones are reset, new ones
    refused. REFUSE_NEW: open ones live on, new ones are refused. ONE_WAY:
    targets get what is sent on open ones, but their replies hang; new ones
    hang.
    """

    HANG = 'hang'
    RESET = 'reset'
    REFUSE_NEW = 'refuse_new'
    ONE_WAY = 'one_way'


class _Link(Forwarder):
    """Forward connections of one node to one target."""

    def __init__(self, host: str, port: int):
        super().__init__(host, port, (TARGET_HOST, port))
        # Events that are set while bytes pass in the direction.
        self._to_target = asyncio.Event()
        self._to_node = asyncio.Event()
        self._to_target.set()
        self._to_node.set()
        self._blockers: list[socket.socket] = []
        self._target_is_gone = False

    async def cut(self, how: Cut) -> None:
        await self._close_listener()
        match how:
            case Cut.HANG | Cut.ONE_WAY:
                self._to_node.clear()
                if how is Cut.HANG:
                    self._to_target.clear()
                if not self._target_is_gone:
                    self._block()
            case Cut.RESET:
                self.reset_connections()
            case Cut.REFUSE_NEW:
                pass

    async def heal(self) -> None:
        self._unblock()
        self._to_target.set()
        self._to_node.set()
        if self._server is None and not self._target_is_gone:
            await self.start()

    async def stop(self) -> None:
        await self._close_listener()
        self._unblock()
        self.reset_connections()

    def refuse_for_good(self) -> None:
        """Refuse new connections from now on, also after a cut."""
        self._target_is_gone = True
        self.stop_listening()
        self._unblock()

    async def pass_on(
        self, data: bytes, writer: asyncio.StreamWriter, to_server: bool
    ) -> None:
        """Write what one side sent to the other once the direction is open."""
        await (self._to_target if to_server else self._to_node).wait()
        await super().pass_on(data, writer, to_server)

    def _block(self) -> None:
        """Listen without accepting, so that new connections hang."""
        address = self._host, self.port
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(0)
        self._blockers.append(listener)
        for _ in range(FILLING_CONNECTIONS):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            self._blockers.append(sock)

    def _unblock(self) -> None:
        for sock in self._blockers:
            sock.close()
        self._blockers.clear()

    async def _close_listener(self) -> None:
        if self._server is not None:
            self.stop_listening()
            # The listening socket is closed in the next turn of the loop.
            await asyncio.sleep(0)


class NodeLinks:
    """Hold the links of one node to all targets; cut and heal them."""

    def __init__(self, host: str):
        self.host = host
        self.cut_how: Cut | None = None
        self._links: dict[int, _Link] = {}

    async def add(self, port: int) -> None:
        """Add a link to the target that listens at a port, unless known."""
        if port in self._links:
            return
        link = self._links[port] = _Link(self.host, port)
        await link.start()
        if self.cut_how is not None:
            await link.cut(self.cut_how)

    def remove(self, port: int) -> None:
        """Refuse new connections to a target that has crashed."""
        if port in self._links:
            self._links[port].refuse_for_good()

    async def cut(self, how: Cut, without_healing: bool = False) -> None:
        """Cut the node off from all targets.

        An earlier cut ends first; if without_healing is True, what it held up
        is lost.
        """
        for link in tuple(self._links.values()):
            if self.cut_how is not None:
                if without_healing and how is not Cut.REFUSE_NEW:
                    link.reset_connections()
                await link.heal()
            await link.cut(how)
        self.cut_how = how

    async def heal(self) -> None:
        """End the cut; what was held up in open connections goes on."""
        self.cut_how = None
        for link in tuple(self._links.values()):
            await link.heal()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        for link in self._links.values():
            await link.stop()
