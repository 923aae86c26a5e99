"""Simulate target servers for nodes, with faults on request."""

from __future__ import annotations

import asyncio
import enum
import hashlib
import itertools
import random
import time
import typing

import msgspec

from .. import logs
from ..metrics import Metrics
from ..serving.byte_limits import MessageMemory
from ..serving.http_server import Answer
from ..serving.http_server import encode
from ..serving.http_server import Request
from ..serving.http_server import Responder
from ..serving.routes import CallerLimits
from ..serving.target_connection import Headers
from .abrupt_server import AbruptServer

RECORD_BYTES = 16
RECORDS_PER_REPLY = 20
# Nodes add headers to a caller's request of up to 16,384 bytes of headers.
MAX_HEADER_BYTES = 32 * 1_024
# Limits that no test reaches: targets don't close connections of nodes.
MEMORY_BYTES = 4_000_000_000
MAX_FDS = 100_000
# A request gets 503 if this many others already wait for a slot.
MAX_QUEUED = 12


class CrashHow(enum.Enum):
    """Say how a target's open connections end when it crashes.

    RESET: they are reset. CLOSE: they are closed without an answer. SILENCE:
    they stay open, but nothing more is sent. HALF_ANSWER: the first half of
    an answer is sent, then they are closed.
    """

    RESET = 'reset'
    CLOSE = 'close'
    SILENCE = 'silence'
    HALF_ANSWER = 'half_answer'


class CopyHow(enum.Enum):
    """Say where a target sends an answer a second time.

    CONNECTION: before its next answer on the same connection. REQUEST: before
    its next answer to a request with the same id, on any connection.
    """

    CONNECTION = 'connection'
    REQUEST = 'request'


class FloodHow(enum.Enum):
    """Say which part of an answer never ends."""

    HEADER_LINES = 'header_lines'
    HEADER_VALUE = 'header_value'
    INTERIM_ANSWERS = 'interim_answers'
    CHUNK_EXTENSION = 'chunk_extension'
    TRAILERS = 'trailers'
    BODY = 'body'


_STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _STATUS_LINE + b'Transfer-Encoding: chunked\r\n\r\n'
# For each kind of endless answer: its first bytes, and the bytes that are then
# repeated until the peer closes the connection.
FLOOD_PATTERNS = {
    FloodHow.HEADER_LINES: (_STATUS_LINE, b'X-Header: value\r\n'),
    FloodHow.HEADER_VALUE: (_STATUS_LINE + b'X-Header: ', b'v'),
    FloodHow.INTERIM_ANSWERS: (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    FloodHow.CHUNK_EXTENSION: (_CHUNKED + b'1;', b'e'),
    FloodHow.TRAILERS: (_CHUNKED + b'0\r\n', b'X-Trailer: value\r\n'),
    FloodHow.BODY: (_STATUS_LINE + b'\r\n', b'x'),
}
# Bytes of one write, and the size of the write buffer at which writes pause.
FLOOD_CHUNK_BYTES = 64 * 1024
FLOOD_INTERVAL_S = 0.002


class TargetFaults(msgspec.Struct):
    """Configure the faults that a target injects at the moment.

    work_s: how long a request runs.
    paused: no request is started.
    fails: requests are answered with 500.
    sheds: requests are answered with 503 and not run. If rest_after is not
    empty, these answers have a Retry-After header.
    leaving: each answer says that the target is about to stop.
    limit: if not empty, answers name it as the requests per second that the
    target accepts; named_by is the part of the answers that do so.
    loses_answers: requests are run but not answered.
    encodes: answers claim a content encoding, so that nodes can't merge them.
    crashes_on: the paths whose requests crash the target; crash_mode says how
    its connections then end.
    floods: if set, answers never end.
    queue_limit: a request gets 503 if this many others wait for a slot.
    copies_refusals: if set, each answer that refuses a request is sent a
    second time, late.
    body_bytes: if not 0, the size of the body of answers.
    tells_cold: answers state how long the target stays cold, if it is.
    """

    work_s: float = 0.003
    paused: bool = False
    fails: bool = False
    sheds: bool = False
    rest_after: str = ''
    leaving: bool = False
    limit: str = ''
    named_by: float = 1.0
    loses_answers: bool = False
    encodes: bool = False
    crashes_on: frozenset[str] = frozenset()
    crash_mode: CrashHow = CrashHow.RESET
    floods: FloodHow | None = None
    queue_limit: int = MAX_QUEUED
    copies_refusals: CopyHow | None = None
    body_bytes: int = 0
    tells_cold: bool = False


class Run(msgspec.Struct, frozen=True):
    """Record one request that a target ran, as it arrived.

    at is when the run began, in seconds on the monotonic clock.
    """

    target: str
    request_id: str
    method: bytes
    path: str
    body: bytes
    at: float
    headers: Headers = []


class Arrival(msgspec.Struct, frozen=True):
    """Record one request that a target ran or answered with 503.

    It names the node that the caller sent the request to, if the caller says
    so, and tells whether the target answered 503 with Retry-After. at is in
    seconds on the monotonic clock.
    """

    request_id: str
    asked: str
    at: float
    told_rest: bool


class ShardTarget:
    """Serve requests as one server of a service, and record them.

    runs has the requests that it ran, arrivals also those that it answered
    with 503.
    """

    def __init__(self, target_id: str, service: str, slots: int = 2):
        self.id = target_id
        self.service = service
        self.faults = TargetFaults()
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.port = 0
        # Number of the registration; it rises with each one that differs.
        self.seq = 1
        # Start of the target in Unix milliseconds, 0 if it does not tell.
        self.born = 0
        # Time on the monotonic clock until which the target is cold.
        self.cold_until = 0.0
        self.crashed = False
        self.on_crash: typing.Callable[[ShardTarget], None] = lambda _: None
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._queued_count = 0
        self._running_count = 0
        self._reply_numbers = itertools.count(1)
        self._rng = random.Random(target_id)
        # Refusals to be sent a second time, by where that happens.
        self._copies: dict[object, bytes] = {}
        self._http = AbruptServer(
            self._handle,
            Metrics('target'),
            time.monotonic,
            MessageMemory(MEMORY_BYTES, MAX_FDS),
        )
        self._http.limits = CallerLimits(max_header_bytes=MAX_HEADER_BYTES)

    async def start(self, port: int = 0) -> int:
        """Start to listen; return the port, a free one if port is 0."""
        self._http.has_crashed = False
        await self._http.start('127.0.0.1', port)
        self.port = self._http.port
        return self.port

    def stop(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        self._http.has_crashed = True
        self._http.stop_listening()
        self.reset_connections()
        self._http.stop()

    def reset_connections(self) -> None:
        """Reset all connections, as a network fault does, but serve on."""
        for conn in tuple(self._http.connections):
            conn.abort()

    def crash(self, partial_reply: bytes) -> None:
        """Crash in the mode that is set in faults; answer nothing afterwards.

        partial_reply is sent in the mode HALF_ANSWER.
        """
        self.crashed = True
        self._http.has_crashed = self.faults.crash_mode is not CrashHow.SILENCE
        self._http.stop_listening()
        for conn in tuple(self._http.connections):
            match self.faults.crash_mode:
                case CrashHow.RESET:
                    conn.abort()
                case CrashHow.CLOSE:
                    conn.break_off()
                case CrashHow.HALF_ANSWER:
                    conn.break_off(partial_reply)
                case CrashHow.SILENCE:
                    pass
        self.on_crash(self)

    def registration(self, zone: str, state: str = 'ready') -> dict:
        """Return what the target registers about itself in the store."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': zone,
            'version': 'v1',
            'slots': self._slot_count,
            'state': state,
            'warmup_left_ms': 0,
            'seq': self.seq,
            **({'born': self.born} if self.born else {}),
        }

    def _handle(self, req: Request, responder: Responder) -> None:
        if self.crashed:
            return
        headers = {name.lower(): value for name, value in req.headers}
        expected_instance = headers.get(b'sesameward-expect-instance')
        request_id = headers.get(b'sesameward-request-id', b'')
        if (
            expected_instance is not None
            and expected_instance.decode() != self.id
        ):
            self._refuse(421, request_id, responder)
        elif not request_id:
            self._refuse(400, request_id, responder)
        elif self._is_full():
            self._record_arrival(headers, bool(self.faults.rest_after))
            self._refuse(503, request_id, responder)
        else:
            self._record_arrival(headers, False)
            work = self._execute(req, request_id, responder)
            logs.log_failure(asyncio.ensure_future(work))

    def _is_full(self) -> bool:
        return (
            self.faults.sheds or self._queued_count >= self.faults.queue_limit
        )

    def _refuse(
        self, status: int, request_id: bytes, responder: Responder
    ) -> None:
        answer = self._not_executed(status, request_id)
        key = self._copy_key(request_id, responder)
        self._send(answer, request_id, responder)
        if key is not None:
            self._copies[key] = encode(answer, True)

    def _send(
        self, answer: Answer, request_id: bytes, responder: Responder
    ) -> None:
        """Send an answer, after the copy that is due before it, if any."""
        transport = responder.raw_transport()
        copy = self._copies.pop(self._copy_key(request_id, responder), None)
        if copy is not None and transport is not None:
            transport.write(copy)
        responder.send(answer)

    def _copy_key(self, request_id: bytes, responder: Responder) -> object:
        match self.faults.copies_refusals:
            case CopyHow.CONNECTION:
                return responder.raw_transport()
            case CopyHow.REQUEST:
                return request_id
            case None:
                return None

    def _record_arrival(
        self, headers: dict[bytes, bytes], has_retry_after: bool
    ) -> None:
        self.arrivals.append(
            Arrival(
                headers[b'sesameward-request-id'].decode(),
                headers.get(b'x-asked', b'').decode(),
                time.monotonic(),
                has_retry_after,
            )
        )

    async def _execute(
        self, req: Request, request_id: bytes, responder: Responder
    ) -> None:
        self._queued_count += 1
        async with self._slots:
            self._queued_count -= 1
            while self.faults.paused:
                await asyncio.sleep(0.002)
            self._running_count += 1
            self.runs.append(
                Run(
                    self.id,
                    request_id.decode(),
                    req.method,
                    req.path,
                    req.body,
                    time.monotonic(),
                    req.headers,
                )
            )
            if req.path in self.faults.crashes_on:
                answer = encode(self._answer(request_id, req), True)
                self.crash(answer[: len(answer) // 2])
            await asyncio.sleep(self.faults.work_s)
            self._running_count -= 1
        if self.crashed:
            return
        if self.faults.floods is not None:
            await self._flood(responder, self.faults.floods)
        elif not self.faults.loses_answers:
            self._send(self._answer(request_id, req), request_id, responder)

    async def _flood(self, responder: Responder, kind: FloodHow) -> None:
        """Send an endless answer until the peer closes the connection."""
        transport = responder.raw_transport()
        first, unit = FLOOD_PATTERNS[kind]
        chunk = unit * (FLOOD_CHUNK_BYTES // len(unit))
        if transport is not None:
            transport.write(first)
        while transport is not None and not transport.is_closing():
            if transport.get_write_buffer_size() < FLOOD_CHUNK_BYTES:
                transport.write(chunk)
            await asyncio.sleep(FLOOD_INTERVAL_S)

    def _answer(self, request_id: bytes, req: Request) -> Answer:
        stamp = f'{self.id}.{next(self._reply_numbers)}.{request_id.decode()}'
        load = f'{self._running_count},{self._queued_count},{self._slot_count}'
        headers = [
            (b'Sesameward-Request-Id', request_id),
            (b'Sesameward-Server-Stamp', stamp.encode()),
            (b'Sesameward-Server-Load', load.encode()),
        ]
        if self.faults.encodes:
            headers.append((b'Content-Encoding', b'gzip'))
        headers += self._notice_headers()
        status = 500 if self.faults.fails else 200
        body = b'x' * self.faults.body_bytes or records(self.service, req.path)
        return Answer(status, headers, body)

    def _not_executed(self, status: int, request_id: bytes) -> Answer:
        headers = [
            (b'Sesameward-Request-Id', request_id),
            (b'Sesameward-Not-Executed', b'1'),
            (b'Sesameward-Instance-Id', self.id.encode()),
        ]
        if status == 503 and self.faults.rest_after:
            headers.append((b'Retry-After', self.faults.rest_after.encode()))
        return Answer(status, headers + self._notice_headers())

    def _notice_headers(self) -> Headers:
        headers = []
        if self.faults.leaving:
            headers.append((b'Server-Leaving', b'1'))
        if self.faults.limit and self._rng.random() < self.faults.named_by:
            headers.append((b'Server-Limit', self.faults.limit.encode()))
        left_s = self.cold_until - time.monotonic()
        if self.faults.tells_cold and left_s > 0.0:
            left_ms = b'%d' % (left_s * 1_000)
            headers.append((b'Sesameward-Warmup-Ms', left_ms))
        return headers


def records(service: str, path: str) -> bytes:
    """Return the records with which each target of a service answers a path.

    They depend on nothing else, so that tests can compute correct answers.
    """
    return b''.join(
        hashlib.blake2b(
            f'{service} {path} {n}'.encode(), digest_size=RECORD_BYTES
        ).digest()
        for n in range(RECORDS_PER_REPLY)
    )
