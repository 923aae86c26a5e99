"""Send queries to an entry over connections of several processes."""

from __future__ import annotations

import dataclasses
import multiprocessing
import multiprocessing.pool
import socket
import threading
import time

HOST = '127.0.0.1'
URL_PATH = '/v1/services/trip-desk/query'
_REQUEST = (
    f'POST {URL_PATH} HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n\r\n{{}}'
).encode()
_LAST_CHUNK = b'0\r\n\r\n'
_RECEIVE_BYTES = 262_144
_TIMEOUT_S = 30.0
_COLLECT_TIMEOUT_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Say how one process loads an entry; each connection is a caller."""

    port: int
    connections: int
    run_s: float
    pause_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Answers:
    """Collect the ends of answers and the waits for their first rows.

    ended_at is on the monotonic clock; first_rows_s counts from the request.
    """

    ended_at: list[float] = dataclasses.field(default_factory=list)
    first_rows_s: list[float] = dataclasses.field(default_factory=list)
    incomplete: int = 0

    def merge(self, other: Answers) -> None:
        """Add the answers of other callers to these."""
        self.ended_at += other.ended_at
        self.first_rows_s += other.first_rows_s
        self.incomplete += other.incomplete

    def answers_between(self, began_at: float, end_at: float) -> int:
        """Return how many answers ended between two monotonic times."""
        return sum(began_at <= at < end_at for at in self.ended_at)


def start_load(
    pool: multiprocessing.pool.Pool, load: Load, processes: int
) -> list[multiprocessing.pool.AsyncResult]:
    """Start to send queries from several processes; don't wait."""
    return [pool.apply_async(_run_callers, (load,)) for _ in range(processes)]


def collect_answers(
    results: list[multiprocessing.pool.AsyncResult],
) -> Answers:
    """Wait until all processes have ended; return their answers."""
    answers = Answers()
    for result in results:
        answers.merge(result.get(_COLLECT_TIMEOUT_S))
    return answers


def _run_callers(load: Load) -> Answers:
    end_at = time.monotonic() + load.run_s
    by_connection = [Answers() for _ in range(load.connections)]
    threads = [
        threading.Thread(target=_run_caller, args=(load, end_at, answers))
        for answers in by_connection
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    total = Answers()
    for answers in by_connection:
        total.merge(answers)
    return total


def _run_caller(load: Load, end_at: float, answers: Answers) -> None:
    with socket.create_connection((HOST, load.port), _TIMEOUT_S) as conn:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while time.monotonic() < end_at:
            _send_query(conn, answers)
            if load.pause_s:
                time.sleep(load.pause_s)


def _send_query(conn: socket.socket, answers: Answers) -> None:
    began_at = time.monotonic()
    conn.sendall(_REQUEST)
    received = b''
    first_rows_s = None
    while not received.endswith(_LAST_CHUNK):
        chunk = conn.recv(_RECEIVE_BYTES)
        if not chunk:
            raise ConnectionError(
                'the entry closed the connection before its answer ended'
            )
        received += chunk
        if first_rows_s is None and b'"frame":"rows"' in received:
            first_rows_s = time.monotonic() - began_at
        if received.startswith((b'HTTP/1.1 4', b'HTTP/1.1 5')):
            raise RuntimeError(f'the entry refused a query: {received!r}')
    answers.ended_at.append(time.monotonic())
    answers.first_rows_s.append(first_rows_s)
    answers.incomplete += b'"complete":true' not in received
