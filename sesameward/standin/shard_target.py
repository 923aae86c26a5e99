"""Stand in for servers of the users' platform, with fault switches."""

from __future__ import annotations

import asyncio
import enum
import hashlib
import itertools
import time
import typing

import msgspec

from .. import logs
from ..metrics import Metrics
from ..serving.http_server import Answer
from ..serving.http_server import encode
from ..serving.http_server import HttpServer
from ..serving.http_server import Request
from ..serving.http_server import Responder
from ..serving.target_connection import Headers

RECORD_BYTES = 16
RECORDS = 20
QUEUE = 12


class CrashHow(enum.Enum):
    """Say what a target's connections see of its crash."""

    RESET = 'reset'
    CLOSE = 'close'
    SILENCE = 'silence'
    HALF_ANSWER = 'half_answer'


class FloodHow(enum.Enum):
    """Say which part of an answer has no end."""

    HEADER_LINES = 'header_lines'
    HEADER_VALUE = 'header_value'
    INTERIM_ANSWERS = 'interim_answers'
    CHUNK_EXTENSION = 'chunk_extension'
    TRAILERS = 'trailers'
    BODY = 'body'


_STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _STATUS_LINE + b'Transfer-Encoding: chunked\r\n\r\n'
# What begins such an answer, and what is sent then until the other end
# closes the connection.
FLOODS = {
    FloodHow.HEADER_LINES: (_STATUS_LINE, b'X-Header: value\r\n'),
    FloodHow.HEADER_VALUE: (_STATUS_LINE + b'X-Header: ', b'v'),
    FloodHow.INTERIM_ANSWERS: (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    FloodHow.CHUNK_EXTENSION: (_CHUNKED + b'1;', b'e'),
    FloodHow.TRAILERS: (_CHUNKED + b'0\r\n', b'X-Trailer: value\r\n'),
    FloodHow.BODY: (_STATUS_LINE + b'\r\n', b'x'),
}
FLOOD_BYTES = 64 * 1024
FLOOD_GAP_S = 0.002


class TargetFaults(msgspec.Struct):
    """Hold the faults that a stand-in shows at the moment.

    A request whose path is among crashes_on ends the target. A target that
    is leaving says so in each answer; one that sheds names rest_after, if it
    is not empty, as the time in which it wants no more.
    """

    work_s: float = 0.003
    paused: bool = False
    fails: bool = False
    sheds: bool = False
    rest_after: str = ''
    leaving: bool = False
    loses_answers: bool = False
    encodes: bool = False
    crashes_on: frozenset[str] = frozenset()
    crash_how: CrashHow = CrashHow.RESET
    floods: FloodHow | None = None


class Run(msgspec.Struct, frozen=True):
    """Hold one request that a target ran, as it arrived."""

    target: str
    request_id: str
    method: bytes
    path: str
    body: bytes
    at: float


class Arrival(msgspec.Struct, frozen=True):
    """Hold that a request reached a target, whether it ran or not.

    asked is the node that its caller asked, where the caller says so.
    """

    request_id: str
    asked: str
    at: float
    told_rest: bool


class ShardTarget:
    """Answer requests as one server of a service does."""

    def __init__(self, target_id: str, service: str, slots: int = 2):
        self.id = target_id
        self.service = service
        self.faults = TargetFaults()
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.port = 0
        self.crashed = False
        self.on_crash: typing.Callable[[ShardTarget], None] = lambda _: None
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._waiting = 0
        self._running = 0
        self._count = itertools.count(1)
        self._http = HttpServer(
            self._handle, Metrics('target'), time.monotonic
        )

    async def start(self, port: int = 0) -> int:
        """Listen; return the port."""
        await self._http.start('127.0.0.1', port)
        self.port = self._http.port
        return self.port

    def stop(self) -> None:
        """Break all connections, as a crash does."""
        self._http.stop_listening()
        self.reset_connections()
        self._http.stop()

    def reset_connections(self) -> None:
        """Break all connections, as a network does; serve on."""
        for conn in tuple(self._http.connections):
            conn.abort()

    def crash(self, half: bytes) -> None:
        """End as the switch says; half is the first half of an answer."""
        self.crashed = True
        self._http.stop_listening()
        for conn in tuple(self._http.connections):
            match self.faults.crash_how:
                case CrashHow.RESET:
                    conn.abort()
                case CrashHow.CLOSE:
                    conn.break_off()
                case CrashHow.HALF_ANSWER:
                    conn.break_off(half)
                case CrashHow.SILENCE:
                    pass
        self.on_crash(self)

    def entry(self, zone: str, state: str = 'ready') -> dict:
        """Return what the server registers of itself."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': zone,
            'version': 'v1',
            'slots': self._slot_count,
            'state': state,
            'warmup_left_ms': 0,
            'seq': 1,
        }

    def _handle(self, req: Request, responder: Responder) -> None:
        if self.crashed:
            return
        headers = {name.lower(): value for name, value in req.headers}
        wanted = headers.get(b'sesameward-expect-instance')
        request_id = headers.get(b'sesameward-request-id', b'')
        if wanted is not None and wanted.decode() != self.id:
            responder.send(self._not_run(421))
        elif not request_id:
            responder.send(self._not_run(400))
        elif self.faults.sheds or self._waiting >= QUEUE:
            self._note(headers, bool(self.faults.rest_after))
            responder.send(self._not_run(503))
        else:
            self._note(headers, False)
            work = self._run(req, request_id, responder)
            logs.watch(asyncio.ensure_future(work))

    def _note(self, headers: dict[bytes, bytes], told_rest: bool) -> None:
        self.arrivals.append(
            Arrival(
                headers[b'sesameward-request-id'].decode(),
                headers.get(b'x-asked', b'').decode(),
                time.monotonic(),
                told_rest,
            )
        )

    async def _run(
        self, req: Request, request_id: bytes, responder: Responder
    ) -> None:
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            while self.faults.paused:
                await asyncio.sleep(0.002)
            self._running += 1
            self.runs.append(
                Run(
                    self.id,
                    request_id.decode(),
                    req.method,
                    req.path,
                    req.body,
                    time.monotonic(),
                )
            )
            if req.path in self.faults.crashes_on:
                answer = encode(self._answer(request_id, req), True)
                self.crash(answer[: len(answer) // 2])
            await asyncio.sleep(self.faults.work_s)
            self._running -= 1
        if self.crashed:
            return
        if self.faults.floods is not None:
            await self._flood(responder, self.faults.floods)
        elif not self.faults.loses_answers:
            responder.send(self._answer(request_id, req))

    async def _flood(self, responder: Responder, how: FloodHow) -> None:
        """Send bytes without end until the other end closes."""
        transport = responder.take_over()
        first, unit = FLOODS[how]
        piece = unit * (FLOOD_BYTES // len(unit))
        if transport is not None:
            transport.write(first)
        while transport is not None and not transport.is_closing():
            if transport.get_write_buffer_size() < FLOOD_BYTES:
                transport.write(piece)
            await asyncio.sleep(FLOOD_GAP_S)

    def _answer(self, request_id: bytes, req: Request) -> Answer:
        stamp = f'{self.id}.{next(self._count)}.{request_id.decode()}'
        load = f'{self._running},{self._waiting},{self._slot_count}'
        headers = [
            (b'Sesameward-Request-Id', request_id),
            (b'Sesameward-Server-Stamp', stamp.encode()),
            (b'Sesameward-Server-Load', load.encode()),
        ]
        if self.faults.encodes:
            headers.append((b'Content-Encoding', b'gzip'))
        headers += self._leaving()
        status = 500 if self.faults.fails else 200
        return Answer(status, headers, records(self.service, req.path))

    def _not_run(self, status: int) -> Answer:
        headers = [
            (b'Sesameward-Not-Executed', b'1'),
            (b'Sesameward-Instance-Id', self.id.encode()),
        ]
        if status == 503 and self.faults.rest_after:
            headers.append((b'Retry-After', self.faults.rest_after.encode()))
        return Answer(status, headers + self._leaving())

    def _leaving(self) -> Headers:
        return [(b'Server-Leaving', b'1')] if self.faults.leaving else []


def records(service: str, path: str) -> bytes:
    """Return the records that a service holds for a path."""
    return b''.join(
        hashlib.blake2b(
            f'{service} {path} {n}'.encode(), digest_size=RECORD_BYTES
        ).digest()
        for n in range(RECORDS)
    )
