"""Stand in for one target server, with switches for its faults."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import os
import random

import msgspec
import tornado.httpserver
import tornado.web

from ..messages import LoadReport
from ..messages import Record
from ..messages import ShardQuery
from ..messages import ShardReply
from ..messages import TargetBooking
from ..messages import TargetBookingReply
from ..messages import TargetRefusal
from ..messages import TargetReply
from ..types import RecordVersion
from ..types import ShardId
from ..types import Snapshot

_EXIT_CRASHED = 70


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switch faults on; times in milliseconds, chances from 0 to 1."""

    latency_ms: float = 0.0
    straggler_chance: float = 0.0
    straggler_ms: float = 0.0
    drain: bool = False
    shed_chance: float = 0.0
    cold_ms: float = 0.0
    crash_on: str = ''
    lose_reply_chance: float = 0.0
    lie_idle: bool = False
    report_draining: bool | None = None
    drop_connections: bool = False
    wrong_attempt: bool = False
    wrong_snapshot: bool = False


class Data(msgspec.Struct, forbid_unknown_fields=True):
    """Set what the target holds; keys are spread over its shards."""

    snapshots: tuple[Snapshot, ...] | None = None
    records: dict[ShardId, tuple[Record, ...]] | None = None


@dataclasses.dataclass
class Calls:
    """Count what reached the target."""

    queries: int = 0
    shards: int = 0
    cancelled: int = 0
    refused: int = 0
    bookings: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    connections: int = 0
    peak_connections: int = 0
    opened: int = 0
    peak_in_flight: int = 0
    last_work_at: float = 0.0
    attempts: list[str] = dataclasses.field(default_factory=list)


class TargetState:
    """Hold the target's data, its faults and its counts."""

    def __init__(
        self,
        shards: tuple[ShardId, ...],
        slots: int,
        latency_ms: float,
        records: int,
        seed: int,
    ):
        self.shards = shards
        self.snapshots: tuple[Snapshot, ...] = (Snapshot(1),)
        self.faults = Faults(latency_ms=latency_ms)
        self.calls = Calls()
        self.rng = random.Random(seed)
        self.slots = asyncio.Semaphore(slots)
        self.in_flight = 0
        self.running = 0
        self.data: dict[ShardId, tuple[Record, ...]] = {
            shard: _make_records(shard, records) for shard in shards
        }

    def report(self, holds: bool) -> LoadReport:
        """Return what the target says of itself."""
        faults = self.faults
        draining = faults.drain
        if faults.report_draining is not None:
            draining = faults.report_draining
        held = {shard: self.snapshots for shard in self.shards}
        return LoadReport(
            in_flight=0 if faults.lie_idle else self.running,
            queued=0 if faults.lie_idle else self.in_flight - self.running,
            draining=draining,
            cold=faults.cold_ms > 0,
            holds=held if holds else None,
        )

    def service_time_s(self) -> float:
        """Draw how long the next request takes."""
        faults = self.faults
        time_ms = faults.latency_ms + faults.cold_ms
        if self.rng.random() < faults.straggler_chance:
            time_ms += faults.straggler_ms
        return time_ms / 1000


def _make_records(shard: ShardId, count: int) -> tuple[Record, ...]:
    return tuple(
        Record(f'{shard}-{index:04d}', RecordVersion(1 + index % 2))
        for index in range(count)
    )


class _Handler(tornado.web.RequestHandler):
    def initialize(self, state: TargetState):
        self.state = state
        self.gone = asyncio.get_running_loop().create_future()

    def on_connection_close(self):
        if not self.gone.done():
            self.gone.set_result(None)

    def send(self, message: object, status: int = 200) -> None:
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(message))

    def refuse(self, attempt: str, kind: str, retry_after_ms: int) -> None:
        self.state.calls.refused += 1
        self.send(TargetRefusal(attempt, kind, retry_after_ms), 503)

    def drop(self) -> None:
        self.request.connection.stream.close()

    async def run_in_slot(self, remaining_ms: int) -> bool:
        """Hold a slot for the service time; return whether it finished."""
        state = self.state
        state.in_flight += 1
        state.calls.peak_in_flight = max(
            state.calls.peak_in_flight, state.in_flight
        )
        work = asyncio.ensure_future(self._work())
        try:
            await asyncio.wait(
                {work, self.gone},
                timeout=remaining_ms / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if work.done():
                return True
            state.calls.cancelled += 1
            return False
        finally:
            work.cancel()
            state.in_flight -= 1

    async def _work(self) -> None:
        state = self.state
        async with state.slots:
            state.running += 1
            try:
                await asyncio.sleep(state.service_time_s())
            finally:
                state.running -= 1


class _QueryHandler(_Handler):
    async def post(self):
        state = self.state
        faults = state.faults
        query = msgspec.json.decode(self.request.body, type=ShardQuery)
        state.calls.queries += 1
        state.calls.shards += len(query.shards)
        state.calls.last_work_at = asyncio.get_running_loop().time()
        if faults.crash_on and faults.crash_on.encode() in bytes(query.match):
            os._exit(_EXIT_CRASHED)
        if faults.drop_connections:
            return self.drop()
        if faults.drain:
            return self.refuse(query.attempt, 'draining', 0)
        if state.rng.random() < faults.shed_chance:
            return self.refuse(query.attempt, 'shed', 50)
        if not await self.run_in_slot(query.remaining_ms):
            return self.drop()
        if state.rng.random() < faults.lose_reply_chance:
            return self.drop()
        self.send(_answer(state, query))


def _answer(state: TargetState, query: ShardQuery) -> TargetReply:
    attempt = query.attempt
    if state.faults.wrong_attempt:
        attempt = attempt[::-1]
    return TargetReply(
        attempt,
        tuple(_answer_shard(state, query, s) for s in query.shards),
        state.report(holds=False),
    )


def _answer_shard(
    state: TargetState, query: ShardQuery, shard: ShardId
) -> ShardReply:
    if query.snapshot not in state.snapshots or shard not in state.data:
        return ShardReply(shard)
    snapshot = query.snapshot
    if state.faults.wrong_snapshot:
        snapshot = Snapshot(snapshot + 1)
    records = state.data[shard]
    if query.keys is not None:
        records = tuple(r for r in records if r.key in query.keys)
    return ShardReply(shard, snapshot, records)


class _BookHandler(_Handler):
    async def post(self):
        state = self.state
        faults = state.faults
        booking = msgspec.json.decode(self.request.body, type=TargetBooking)
        state.calls.last_work_at = asyncio.get_running_loop().time()
        if faults.drain:
            return self.refuse(booking.attempt, 'draining', 0)
        if state.rng.random() < faults.shed_chance:
            return self.refuse(booking.attempt, 'shed', 50)
        # A booking which has begun takes effect even if its caller leaves.
        state.calls.bookings[booking.key] += 1
        if faults.crash_on and faults.crash_on.encode() in bytes(
            booking.action
        ):
            os._exit(_EXIT_CRASHED)
        await asyncio.sleep(state.service_time_s())
        if state.rng.random() < faults.lose_reply_chance:
            return self.drop()
        number = state.calls.bookings[booking.key]
        self.send(
            TargetBookingReply(
                booking.attempt,
                msgspec.Raw(msgspec.json.encode({'effect': number})),
            )
        )


class _LoadHandler(_Handler):
    def get(self):
        self.send(self.state.report(holds=True))


class _CallsHandler(_Handler):
    def get(self):
        self.send(self.state.calls)


class _FaultsHandler(_Handler):
    def post(self):
        self.state.faults = msgspec.json.decode(self.request.body, type=Faults)
        self.send(self.state.faults)


class _DataHandler(_Handler):
    def post(self):
        data = msgspec.json.decode(self.request.body, type=Data)
        if data.snapshots is not None:
            self.state.snapshots = data.snapshots
        if data.records is not None:
            self.state.data.update(data.records)
            self.state.shards = tuple(self.state.data)
        self.send(data)


class _Server(tornado.httpserver.HTTPServer):
    """Count connections as the real servers limit them."""

    def initialize(self, *args, calls: Calls, **kwargs):
        super().initialize(*args, **kwargs)
        self._calls = calls

    def handle_stream(self, stream, address):
        calls = self._calls
        calls.connections += 1
        calls.opened += 1
        calls.peak_connections = max(calls.peak_connections, calls.connections)
        super().handle_stream(stream, address)

    def on_close(self, server_conn):
        self._calls.connections -= 1
        super().on_close(server_conn)


def serve(state: TargetState, host: str, port: int) -> int:
    """Start to serve; return the port."""
    routes = [
        (path, handler, {'state': state})
        for path, handler in (
            ('/v1/query', _QueryHandler),
            ('/v1/book', _BookHandler),
            ('/v1/load', _LoadHandler),
            ('/standin/calls', _CallsHandler),
            ('/standin/faults', _FaultsHandler),
            ('/standin/data', _DataHandler),
        )
    ]
    app = tornado.web.Application(routes, log_function=lambda _: None)
    server = _Server(app, calls=state.calls)
    sockets = tornado.netutil.bind_sockets(port, host)
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]
