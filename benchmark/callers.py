"""Load an entry with queries from several processes."""

from __future__ import annotations

import dataclasses
import multiprocessing
import multiprocessing.pool
import socket
import threading
import time

HOST = '127.0.0.1'
QUERY = '/v1/services/trip-desk/query'
_REQUEST = (
    f'POST {QUERY} HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n\r\n{{}}'
).encode()
_END = b'0\r\n\r\n'
_RECEIVE_BYTES = 262_144
_TIMEOUT_S = 30.0
_COLLECT_TIMEOUT_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Say how to load an entry from one process."""

    port: int
    connections: int
    run_s: float
    pause_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Seen:
    """Hold what callers saw; times are seconds on the monotonic clock."""

    ended_at: list[float] = dataclasses.field(default_factory=list)
    first_rows_s: list[float] = dataclasses.field(default_factory=list)
    incomplete: int = 0

    def add(self, other: Seen) -> None:
        """Take over what another caller saw."""
        self.ended_at += other.ended_at
        self.first_rows_s += other.first_rows_s
        self.incomplete += other.incomplete

    def between(self, began_at: float, end_at: float) -> int:
        """Return how many answers ended in the span."""
        return sum(began_at <= at < end_at for at in self.ended_at)


def start(
    pool: multiprocessing.pool.Pool, load: Load, processes: int
) -> list[multiprocessing.pool.AsyncResult]:
    """Begin to send from several processes."""
    return [pool.apply_async(_send_all, (load,)) for _ in range(processes)]


def collect(results: list[multiprocessing.pool.AsyncResult]) -> Seen:
    """Wait for the end of the load."""
    seen = Seen()
    for result in results:
        seen.add(result.get(_COLLECT_TIMEOUT_S))
    return seen


def _send_all(load: Load) -> Seen:
    end_at = time.monotonic() + load.run_s
    seen = [Seen() for _ in range(load.connections)]
    threads = [
        threading.Thread(target=_send, args=(load, end_at, one))
        for one in seen
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    total = Seen()
    for one in seen:
        total.add(one)
    return total


def _send(load: Load, end_at: float, seen: Seen) -> None:
    with socket.create_connection((HOST, load.port), _TIMEOUT_S) as conn:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while time.monotonic() < end_at:
            _send_one(conn, seen)
            if load.pause_s:
                time.sleep(load.pause_s)


def _send_one(conn: socket.socket, seen: Seen) -> None:
    began_at = time.monotonic()
    conn.sendall(_REQUEST)
    received = b''
    first_rows_s = None
    while not received.endswith(_END):
        chunk = conn.recv(_RECEIVE_BYTES)
        if not chunk:
            raise ConnectionError('the entry closed the connection')
        received += chunk
        if first_rows_s is None and b'"frame":"rows"' in received:
            first_rows_s = time.monotonic() - began_at
        if received.startswith((b'HTTP/1.1 4', b'HTTP/1.1 5')):
            raise RuntimeError(f'the entry refused: {received!r}')
    seen.ended_at.append(time.monotonic())
    seen.first_rows_s.append(first_rows_s)
    seen.incomplete += b'"complete":true' not in received
