"""Limit the memory and the connections that others take on a node.

All connections that others open to a node's HTTP servers (callers, directory,
readiness, operators) share one account. It counts each connection, bytes that
were read and not parsed, requests that were not answered, and answers that
were not read. When the account is exceeded, connections are closed: those
first that hold most for the longest time. Connections that other nodes open
have an account of the same kind. docs/design/unbounded-callers.md has the
reasons.
"""

from __future__ import annotations

import typing

from .. import logs

# Memory that an open connection takes in the process and in the kernel while
# it holds nothing else: 600 connections that sent nothing took 1.4 MB of the
# process; the kernel's socket takes some 3 KB.
CONNECTION_BYTES = 6 * 1_024
# Memory that a parsed request takes in addition to its bytes, and that each of
# its headers does (a tuple of two bytes objects).
REQUEST_BYTES = 1_024
HEADER_BYTES = 192
# Descriptors that the platform reserves for files.
RESERVED_FDS = 200
# Fraction of the other descriptors that callers' connections may take. The
# rest is for connections to targets and to other nodes.
CALLERS_FD_FRACTION = 0.5
# The same for connections that other nodes open. A node opens at most five to
# another one, and opens one anew if it was closed while nothing used it.
NODES_FD_FRACTION = 0.25
# Memory that a connection of another node takes in the process and in the
# kernel while it holds nothing else (measured: 20 KB in the process).
NODE_CONNECTION_BYTES = 23 * 1_024
# Part of the nodes' memory that one connection may take before its calls are
# not read any more, and the largest length of one message.
NODE_SHARE = 0.5
# While memory is short, batches are refused with which a connection would hold
# more than this part of the nodes' memory.
SMALL_NODE_SHARE = 0.125
# Above this multiple of the limit, all calls and batches are refused: what was
# held by connections that are being closed is not freed yet.
CLOSING_FACTOR = 1.5
# Part of the nodes' memory that batches may take whose connection is closed.
# Above it, they are ended with their connection.
DETACHED_FRACTION = 0.25
# max_fds of settings that don't name it, unless the process has a lower limit.
# Below 400 MB of memory, callers' connections are then limited by memory.
DEFAULT_MAX_FDS = 20_000
# When a limit is exceeded, connections are closed until this fraction of it is
# left, so that the connections are not compared again for each further byte.
LOW_WATER_FRACTION = 0.9
# Above this fraction of the limit, large requests are refused.
SHORT_FRACTION = 0.75
# Requests up to this size are served even if memory is short, because most of
# the ordinary requests are that small.
SMALL_REQUEST_BYTES = 16 * 1_024
# A log line counts all connections that were closed in this time.
LOG_PERIOD_S = 1.0


class Connection(typing.Protocol):
    """Interface to one connection of a caller or of another node."""

    held_bytes: int

    def waits_since(self) -> float | None:
        """Return since when the node waits for the other side.

        Return None if that waits for the answer to a complete request.
        """

    def close_for_memory(self) -> None:
        """Close the connection at once and free what it holds."""

    def close_for_descriptors(self) -> None:
        """Close the connection at once, because there are too many."""


class ConnectionMemory:
    """Account of the memory that connections of one kind take together."""

    # Fraction of the descriptors for the connections, and the memory that one
    # takes while it holds nothing else.
    FD_FRACTION: float
    CONNECTION_BYTES: int
    # Log events for connections that are closed for lack of memory, and
    # because there are too many.
    CUT_EVENT: str
    TOO_MANY_EVENT: str

    def __init__(self, limit_bytes: int, max_fds: int = DEFAULT_MAX_FDS):
        self.limit_bytes = limit_bytes
        by_fds = (max_fds - RESERVED_FDS) * self.FD_FRACTION
        by_memory = limit_bytes // self.CONNECTION_BYTES
        self.max_connections = max(1, min(int(by_fds), by_memory))
        self.held_bytes = 0
        # Bytes of connections that were closed here, whose buffers are freed
        # only when the event loop has run.
        self.closing_bytes = 0
        self._closing: dict[Connection, int] = {}
        self._connections: dict[Connection, None] = {}
        self._unlogged: dict[str, int] = {}
        self._logged_at: dict[str, float] = {}

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def taken_bytes(self) -> int:
        """Return what open connections hold, and what is not freed yet."""
        return self.held_bytes + self.closing_bytes

    def add(self, conn: Connection, now: float) -> None:
        """Count a new connection; close others if there are too many."""
        self._connections[conn] = None
        self.set_held(conn, self.CONNECTION_BYTES, now)
        if len(self._connections) > self.max_connections:
            self._close_longest_waiting(now)

    def remove(self, conn: Connection) -> None:
        """Stop counting a connection and what it holds."""
        if conn in self._connections:
            del self._connections[conn]
            self.held_bytes -= conn.held_bytes
        conn.held_bytes = 0
        self.closing_bytes -= self._closing.pop(conn, 0)

    def set_held(self, conn: Connection, size_bytes: int, now: float) -> None:
        """Set what a connection holds; close some if all exceed the limit."""
        if conn not in self._connections:
            return
        self.held_bytes += size_bytes - conn.held_bytes
        conn.held_bytes = size_bytes
        if self.held_bytes > self.limit_bytes:
            self._close_heaviest(now)

    def _begin_close(self, conn: Connection) -> None:
        size_bytes = conn.held_bytes
        self.remove(conn)
        self._closing[conn] = size_bytes
        self.closing_bytes += size_bytes

    def log_event(
        self, event: str, now: float, counted: str = 'closed'
    ) -> None:
        """Log how often this has happened, once in LOG_PERIOD_S.

        counted is the name of the field that holds the count.
        """
        count = self._unlogged[event] = self._unlogged.get(event, 0) + 1
        if now - self._logged_at.get(event, -LOG_PERIOD_S) >= LOG_PERIOD_S:
            self._logged_at[event] = now
            self._unlogged[event] = 0
            logs.log_event(
                event,
                **{counted: count},
                held_bytes=self.held_bytes,
                connections=len(self._connections),
            )

    def _close_heaviest(self, now: float) -> None:
        """Close connections, those first that hold most for longest."""

        def weight(conn: Connection) -> float:
            since = conn.waits_since()
            waited_s = 0.0 if since is None else max(0.0, now - since)
            return conn.held_bytes * (1.0 + waited_s)

        low = LOW_WATER_FRACTION * self.limit_bytes
        for conn in sorted(self._connections, key=weight, reverse=True):
            if self.held_bytes <= low:
                return
            self._begin_close(conn)
            conn.close_for_memory()
            self.log_event(self.CUT_EVENT, now)

    def _close_longest_waiting(self, now: float) -> None:
        """Close connections on which the node waits, the longest first.

        If the other sides of all connections wait for answers, the newest
        connections are closed.
        """

        def order(entry: tuple[int, Connection]) -> tuple[bool, float]:
            number, conn = entry
            since = conn.waits_since()
            return (True, -number) if since is None else (False, since)

        low = int(LOW_WATER_FRACTION * self.max_connections)
        surplus = len(self._connections) - low
        numbered = sorted(enumerate(self._connections), key=order)
        for _, conn in numbered[:surplus]:
            self._begin_close(conn)
            conn.close_for_descriptors()
            self.log_event(self.TOO_MANY_EVENT, now)


class CallerMemory(ConnectionMemory):
    """Account of the memory that callers' connections take together."""

    FD_FRACTION = CALLERS_FD_FRACTION
    CONNECTION_BYTES = CONNECTION_BYTES
    CUT_EVENT = 'caller_cut'
    TOO_MANY_EVENT = 'caller_connections_closed'

    @property
    def is_short(self) -> bool:
        """Return True if large requests are to be refused."""
        return self.held_bytes > SHORT_FRACTION * self.limit_bytes


class NodeMemory(ConnectionMemory):
    """Account of the memory that connections of other nodes take together.

    A batch of sub-requests may go on after its connection has been closed. It
    then counts in detached_bytes.
    """

    FD_FRACTION = NODES_FD_FRACTION
    CONNECTION_BYTES = NODE_CONNECTION_BYTES
    CUT_EVENT = 'node_cut'
    TOO_MANY_EVENT = 'node_connections_closed'

    def __init__(self, limit_bytes: int, max_fds: int = DEFAULT_MAX_FDS):
        super().__init__(limit_bytes, max_fds)
        self.share_bytes = int(limit_bytes * NODE_SHARE)
        self.detached_bytes = 0

    @property
    def may_detach(self) -> bool:
        """Return True if a batch may go on without its connection."""
        return self.detached_bytes <= DETACHED_FRACTION * self.limit_bytes

    @property
    def refuses_all(self) -> bool:
        """Return True if new calls and batches are to be refused."""
        return self.taken_bytes > CLOSING_FACTOR * self.limit_bytes

    def refuses_batch(self, size_bytes: int, conn: Connection) -> bool:
        """Return True if a batch of a connection is to be refused."""
        if self.taken_bytes + size_bytes <= SHORT_FRACTION * self.limit_bytes:
            return False
        own_bytes = conn.held_bytes + size_bytes
        return (
            own_bytes > SMALL_NODE_SHARE * self.limit_bytes or self.refuses_all
        )

    @property
    def taken_bytes(self) -> int:
        """Return the same with batches whose connection is closed."""
        return super().taken_bytes + self.detached_bytes
