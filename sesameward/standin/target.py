"""Simulate target servers for entries, with faults on request.

Tests control a target through its paths below /standin/.
"""

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
from .worklog import Echo
from .worklog import Step
from .worklog import WorkLog

_CRASH_EXIT_CODE = 70


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Configure the faults that a target injects at the moment.

    Chances are probabilities from 0 to 1.

    latency_ms: how long a request runs.
    straggler_chance: the chance that a request runs straggler_ms longer.
    drain: all requests are refused and not run.
    shed_chance: the chance that a request is refused and not run.
    cold_ms: added to latency_ms; if not 0, load reports say that the target
    is cold.
    crash_on: text; if the body of a query or booking contains it, the process
    ends after crash_after_ms. Empty: no crash.
    lose_reply_chance: the chance that the connection is closed after the work
    is done, without a reply.
    lie_idle: load reports contain 0 running and 0 queued requests.
    report_draining: the value of draining in load reports; if None, they
    contain the value of drain.
    drop_connections: connections are closed when a query arrives on them; the
    query is not run.
    wrong_attempt: replies to queries contain a wrong attempt id.
    wrong_snapshot: replies to queries contain a wrong snapshot number.
    """

    latency_ms: float = 0.0
    straggler_chance: float = 0.0
    straggler_ms: float = 0.0
    drain: bool = False
    shed_chance: float = 0.0
    cold_ms: float = 0.0
    crash_on: str = ''
    crash_after_ms: float = 0.0
    lose_reply_chance: float = 0.0
    lie_idle: bool = False
    report_draining: bool | None = None
    drop_connections: bool = False
    wrong_attempt: bool = False
    wrong_snapshot: bool = False


class Data(msgspec.Struct, forbid_unknown_fields=True):
    """Set the data that the target holds; fields that are None change nothing.

    records maps each shard to its records. changed maps a snapshot to the
    shards that have other records in this snapshot, with these records.
    """

    snapshots: tuple[Snapshot, ...] | None = None
    records: dict[ShardId, tuple[Record, ...]] | None = None
    changed: dict[Snapshot, dict[ShardId, tuple[Record, ...]]] | None = None


@dataclasses.dataclass
class Calls:
    """Count the work and the connections that reached the target.

    bookings counts how often each booking key took effect; cancelled counts
    queries whose caller disconnected or whose time ran out.
    """

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
    """Hold the data, the faults and the counts of one target."""

    def __init__(
        self,
        shards: tuple[ShardId, ...],
        slots: int,
        latency_ms: float,
        records: int,
        seed: int,
        log: WorkLog | None = None,
    ):
        self.shards = shards
        self.log = log
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
        self.changed: dict[Snapshot, dict[ShardId, tuple[Record, ...]]] = {}

    def records(
        self, shard: ShardId, snapshot: Snapshot
    ) -> tuple[Record, ...]:
        """Return the records that a shard has in a snapshot."""
        changed = self.changed.get(snapshot, {})
        return changed.get(shard, self.data.get(shard, ()))

    def report(self, holds: bool) -> LoadReport:
        """Return a load report, which is false if the faults require it.

        If holds is True, it contains the shards and their snapshots.
        """
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
        """Draw at random how long the next request takes, in seconds."""
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
        self.disconnected = asyncio.get_running_loop().create_future()

    def on_connection_close(self):
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    def send(self, message: object, status: int = 200) -> None:
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(message))

    def refuse(self, attempt: str, kind: str, retry_after_ms: int) -> None:
        self.state.calls.refused += 1
        self.send(TargetRefusal(attempt, kind, retry_after_ms), 503)

    def close_connection(self) -> None:
        self.request.connection.stream.close()

    async def run_in_slot(self, remaining_ms: int) -> bool:
        """Simulate the work of a request; return True if it was finished.

        The work waits for a free slot and occupies it for the service time.
        It is cancelled if the caller disconnects or if it is not finished
        within remaining_ms.
        """
        state = self.state
        state.in_flight += 1
        state.calls.peak_in_flight = max(
            state.calls.peak_in_flight, state.in_flight
        )
        work = asyncio.ensure_future(self._occupy_slot())
        try:
            await asyncio.wait(
                {work, self.disconnected},
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

    async def _occupy_slot(self) -> None:
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
        self.log_step(Step.GOT, query)
        if faults.crash_on and faults.crash_on.encode() in bytes(query.match):
            await asyncio.sleep(faults.crash_after_ms / 1000)
            os._exit(_CRASH_EXIT_CODE)
        if faults.drop_connections:
            return self.close_connection()
        if faults.drain:
            return self.refuse(query.attempt, 'draining', 0)
        if state.rng.random() < faults.shed_chance:
            return self.refuse(query.attempt, 'shed', 50)
        if not await self.run_in_slot(query.remaining_ms):
            return self.close_connection()
        self.log_step(Step.RAN, query)
        if state.rng.random() < faults.lose_reply_chance:
            return self.close_connection()
        self.send(_answer(state, query))

    def log_step(self, step: Step, query: ShardQuery) -> None:
        if self.state.log is not None:
            self.state.log.add(
                step,
                query.request,
                query.attempt,
                snapshot=query.snapshot,
                body=query.match,
            )


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
    records = state.records(shard, query.snapshot)
    if query.keys is not None:
        records = tuple(r for r in records if r.key in query.keys)
    if state.log is not None:
        records = _with_echo(records, query, snapshot)
    return ShardReply(shard, snapshot, records)


def _with_echo(
    records: tuple[Record, ...], query: ShardQuery, snapshot: Snapshot
) -> tuple[Record, ...]:
    echo = Echo(snapshot, query.request, query.attempt, query.match)
    fields = msgspec.Raw(msgspec.json.encode(echo))
    return tuple(Record(r.key, r.version, fields) for r in records)


class _BookHandler(_Handler):
    async def post(self):
        state = self.state
        faults = state.faults
        booking = msgspec.json.decode(self.request.body, type=TargetBooking)
        state.calls.last_work_at = asyncio.get_running_loop().time()
        self.log_step(Step.GOT, booking)
        if faults.drain:
            return self.refuse(booking.attempt, 'draining', 0)
        if state.rng.random() < faults.shed_chance:
            return self.refuse(booking.attempt, 'shed', 50)
        # A booking that was started takes effect even if its caller
        # disconnects.
        state.calls.bookings[booking.key] += 1
        self.log_step(Step.BOOKED, booking)
        if faults.crash_on and faults.crash_on.encode() in bytes(
            booking.action
        ):
            await asyncio.sleep(faults.crash_after_ms / 1000)
            os._exit(_CRASH_EXIT_CODE)
        await asyncio.sleep(state.service_time_s())
        if state.rng.random() < faults.lose_reply_chance:
            return self.close_connection()
        effects = state.calls.bookings[booking.key]
        self.send(
            TargetBookingReply(
                booking.attempt,
                msgspec.Raw(msgspec.json.encode({'effect': effects})),
            )
        )

    def log_step(self, step: Step, booking: TargetBooking) -> None:
        if self.state.log is not None:
            self.state.log.add(
                step,
                booking.request,
                booking.attempt,
                key=booking.key,
                record_key=booking.record_key,
                body=booking.action,
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
        if data.changed is not None:
            self.state.changed.update(data.changed)
        self.send(data)


class _Server(tornado.httpserver.HTTPServer):
    """Count open connections, which real servers limit."""

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
    """Start to listen; return the port, a free one if port is 0."""
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
