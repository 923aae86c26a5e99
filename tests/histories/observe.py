"""Send requests and record what callers, targets and platform saw."""

from __future__ import annotations

from collections.abc import Iterator
import hashlib
import http.client
import itertools
import json
import pathlib
import threading
import time

import msgspec

from sesameward.messages import End
from sesameward.messages import Frame
from sesameward.messages import Open
from sesameward.messages import Record as DataRecord
from sesameward.messages import Rows
from sesameward.standin.processes import call
from sesameward.standin.processes import HOST
from sesameward.standin.processes import Tier
from sesameward.standin.worklog import Echo
from sesameward.standin.worklog import Step
from sesameward.standin.worklog import Work
from sesameward.types import BookingKey
from sesameward.types import NodeId
from sesameward.types import RequestId
from sesameward.types import Revision
from sesameward.types import RunState
from sesameward.types import ServiceName
from sesameward.types import TargetId

from . import records as rec

SERVICE = ServiceName('trip-desk')
# Names under which revisions are recorded: the last revision that changed the
# configuration, and the last revision of all writes.
CONFIG = 'config'
STORE = 'store'
# Kinds of stored objects that make up the configuration.
CONFIG_KINDS = ('service', 'pool')
CALLER_TIMEOUT_S = 6.0

_frame_decoder = msgspec.json.Decoder(Frame)
_work_decoder = msgspec.json.Decoder(Work)


class EntryAddress(msgspec.Struct, frozen=True):
    """Name an entry's node and the port on which it serves callers."""

    node: NodeId
    port: int


class Observer:
    """Write the records of all callers and operators of a run to a file.

    May be used by several threads.
    """

    def __init__(self, path: pathlib.Path):
        self.path = path
        self._recorder = rec.Recorder(path)
        self._send_numbers = itertools.count(1)
        self._lock = threading.Lock()

    def add(self, kind: type[rec.Record], *args, **fields) -> None:
        """Write a record with the current time."""
        with self._lock:
            self._recorder.add(kind(time.monotonic(), *args, **fields))

    def new_send_id(self, prefix: str) -> str:
        """Return a new id for a send."""
        return f'{prefix}{next(self._send_numbers)}'

    def close(self) -> None:
        """Close the file of records."""
        self._recorder.close()


class Reply(msgspec.Struct):
    """Hold the result of one send, as its caller saw it.

    end is None without a complete answer. run_state and refusal_kind are
    those of a booking's result or a refusal. cut means that the connection
    ended early, timed_out that no data came within CALLER_TIMEOUT_S.
    """

    send: str
    end: End | None = None
    run_state: RunState | None = None
    refusal_kind: str = ''
    cut: bool = False
    timed_out: bool = False
    took_s: float = 0.0


class Query:
    """Send one query and record its frames as they arrive.

    The event rows_received is set when the first rows arrive or, if none
    arrive, when the method run ends.
    """

    def __init__(
        self,
        observer: Observer,
        address: EntryAddress,
        keys: tuple[str, ...] | None = None,
        deadline_ms: int | None = None,
    ):
        self._observer = observer
        self._address = address
        self._keys = keys
        self._deadline_ms = deadline_ms
        self.reply = Reply(observer.new_send_id('q'))
        self.rows_received = threading.Event()

    def run(self) -> Reply:
        """Send the query; return when its answer or connection has ended."""
        began_at = time.monotonic()
        self._observer.add(
            rec.QuerySent,
            self.reply.send,
            self._address.node,
            SERVICE,
            self._keys,
        )
        body = {'match': {'token': self.reply.send}}
        if self._keys is not None:
            body['keys'] = self._keys
        headers = {}
        if self._deadline_ms is not None:
            headers['Sesameward-Deadline-Ms'] = str(self._deadline_ms)
        self._exchange(body, headers)
        self.reply.took_s = time.monotonic() - began_at
        self.rows_received.set()
        return self.reply

    def _exchange(self, body: dict, headers: dict[str, str]) -> None:
        path = f'/v1/services/{SERVICE}/query'
        conn = _connect(self._address)
        if conn is None:
            return
        try:
            conn.request('POST', path, json.dumps(body), headers)
            resp = conn.getresponse()
            if resp.status == 200:
                self._read(resp)
            else:
                _record_refusal(self._observer, self.reply, resp.read())
        except TimeoutError:
            self.reply.timed_out = True
        except (OSError, http.client.HTTPException, msgspec.DecodeError):
            _record_cut(self._observer, self.reply)
        finally:
            conn.close()

    def _read(self, resp: http.client.HTTPResponse) -> None:
        request_id = RequestId('')
        for line in resp:
            frame = _frame_decoder.decode(line)
            match frame:
                case Open():
                    request_id = frame.request_id
                    self._observer.add(
                        rec.OpenReceived, self.reply.send, frame
                    )
                case Rows():
                    rows = tuple(
                        _row_record(r, request_id) for r in frame.records
                    )
                    self._observer.add(
                        rec.RowsReceived, self.reply.send, frame.shard, rows
                    )
                    self.rows_received.set()
                case End():
                    self._observer.add(rec.EndReceived, self.reply.send, frame)
                    self.reply.end = frame
        if self.reply.end is None:
            _record_cut(self._observer, self.reply)


def _connect(address: EntryAddress) -> http.client.HTTPConnection | None:
    conn = http.client.HTTPConnection(
        HOST, address.port, timeout=CALLER_TIMEOUT_S
    )
    try:
        conn.connect()
    except OSError:
        return None
    return conn


def _record_cut(observer: Observer, reply: Reply) -> None:
    reply.cut = True
    observer.add(rec.Cut, reply.send)


def _record_refusal(observer: Observer, reply: Reply, body: bytes) -> None:
    refusal = json.loads(body)
    reply.run_state = RunState(refusal['run'])
    reply.refusal_kind = refusal['kind']
    observer.add(
        rec.Told,
        reply.send,
        reply.run_state,
        RequestId(refusal['request_id']),
        refused=True,
    )


def _row_record(record: DataRecord, request_id: RequestId) -> rec.Row:
    echo = msgspec.json.decode(record.fields, type=Echo)
    token = msgspec.json.decode(echo.match).get('token', '')
    if echo.request != request_id:
        token = f'request {echo.request}'
    return rec.Row(record.key, echo.snapshot, token)


def content_digest(record_key: str, action: bytes) -> str:
    """Return a digest that is the same for bookings of equal content."""
    parsed = json.dumps(json.loads(action), sort_keys=True)
    return hashlib.sha256(f'{record_key} {parsed}'.encode()).hexdigest()[:16]


def book(
    observer: Observer,
    address: EntryAddress,
    key: str,
    attempt: int,
    record_key: str = 's000-0001',
) -> Reply:
    """Send one attempt of a booking and record its result."""
    action = {'seat': key}
    reply = Reply(observer.new_send_id('b'))
    began_at = time.monotonic()
    observer.add(
        rec.BookingSent,
        reply.send,
        address.node,
        BookingKey(key),
        content_digest(record_key, json.dumps(action).encode()),
        attempt,
    )
    conn = _connect(address)
    if conn is None:
        return reply
    headers = {'Idempotency-Key': key, 'Sesameward-Attempt': str(attempt)}
    body = json.dumps({'record_key': record_key, 'action': action})
    try:
        conn.request('POST', f'/v1/services/{SERVICE}/bookings', body, headers)
        resp = conn.getresponse()
        data = resp.read()
        if resp.status == 200:
            _record_booking_result(observer, reply, data)
        else:
            _record_refusal(observer, reply, data)
    except TimeoutError:
        reply.timed_out = True
    except (OSError, http.client.HTTPException, ValueError):
        _record_cut(observer, reply)
    finally:
        conn.close()
    reply.took_s = time.monotonic() - began_at
    return reply


def _record_booking_result(
    observer: Observer, reply: Reply, data: bytes
) -> None:
    result = json.loads(data)
    reply.run_state = RunState(result['run'])
    observer.add(
        rec.Told,
        reply.send,
        reply.run_state,
        RequestId(result['request_id']),
        repeated=result['repeated'],
    )


def target_records(tier: Tier, seen: list[rec.Record]) -> Iterator[rec.Record]:
    """Yield the records of all targets from their work logs.

    seen are the callers' records, by which work is matched to sends.
    """
    sends = _BookingSendIndex(seen)
    for name in tier.targets:
        path = tier.work_log(name)
        lines = path.read_bytes().split(b'\n') if path.exists() else []
        for line in lines[:-1]:
            yield from _work_records(TargetId(name), line, sends)


def _work_records(
    target: TargetId, line: bytes, sends: _BookingSendIndex
) -> Iterator[rec.Record]:
    work = _work_decoder.decode(line)
    if work.key:
        token = sends.causing_send(work)
    else:
        token = msgspec.json.decode(work.body).get('token', '')
    match work.step:
        case Step.GOT:
            yield rec.TargetGot(work.at, target, token)
        case Step.RAN:
            yield rec.TargetRan(work.at, target, token)
        case Step.BOOKED:
            digest = content_digest(work.record_key, bytes(work.body))
            yield rec.TargetBooked(work.at, target, token, work.key, digest)


class _BookingSendIndex:
    """Find the send that caused a booking's work at a target.

    A caller that got no result does not know its request id. Work with an
    unknown request id is attributed to the last such send of its key, which
    can't cause a false violation.
    """

    def __init__(self, seen: list[rec.Record]):
        self._send_by_request: dict[str, str] = {}
        self._unanswered: dict[str, list[rec.BookingSent]] = {}
        answered = set()
        for record in seen:
            if isinstance(record, rec.Told):
                self._send_by_request[record.request_id] = record.send
                answered.add(record.send)
        for record in seen:
            if isinstance(record, rec.BookingSent):
                if record.send not in answered:
                    self._unanswered.setdefault(record.key, []).append(record)

    def causing_send(self, work: Work) -> str:
        """Return the id of the send that caused the work."""
        if work.request in self._send_by_request:
            return self._send_by_request[work.request]
        earlier_sends = [
            s for s in self._unanswered.get(work.key, ()) if s.at <= work.at
        ]
        if not earlier_sends:
            return f'request {work.request}'
        return max(earlier_sends, key=lambda sent: sent.attempt).send


def platform_records(tier: Tier) -> Iterator[rec.Record]:
    """Yield a record for each write that the platform accepted."""
    port = tier.platform.ports['port']
    for write in call(port, '/standin/writes').json():
        revision = Revision(write['revision'])
        yield rec.ObjectWritten(write['at'], STORE, revision)
        if write['kind'] in CONFIG_KINDS:
            yield rec.ObjectWritten(write['at'], CONFIG, revision)


def collect_history(tier: Tier, observer: Observer) -> list[rec.Record]:
    """Return the records of callers, targets and platform, sorted by time."""
    seen = rec.load_history([observer.path])
    seen += list(target_records(tier, seen))
    seen += list(platform_records(tier))
    return sorted(seen, key=lambda record: record.at)


class StatusPoller(threading.Thread):
    """Poll the agents and record the revisions their nodes have in force."""

    PERIOD_S = 0.25
    # A process that was suspended or has just started gets this time to learn
    # of the newest configuration.
    CATCH_UP_S = 4.0

    def __init__(self, observer: Observer, tier: Tier):
        super().__init__(daemon=True)
        self._observer = observer
        self._tier = tier
        self._stop_requested = threading.Event()
        self._last_recorded: dict[tuple[str, int, str], tuple[int, float]] = {}
        self._catching_up_until: dict[int, float] = {}

    def allow_catch_up(self, index: int) -> None:
        """Stop recording a node's configuration revision for CATCH_UP_S."""
        self._catching_up_until[index] = time.monotonic() + self.CATCH_UP_S

    def stop(self) -> None:
        """Stop polling and wait for the thread."""
        self._stop_requested.set()
        self.join()

    def run(self) -> None:
        """Poll all agents until stopped; called in the thread."""
        while not self._stop_requested.wait(self.PERIOD_S):
            written = self._config_revisions()
            for index, agent in enumerate(list(self._tier.agents)):
                self._poll(index, agent, written)

    def _config_revisions(self) -> list[int]:
        port = self._tier.platform.ports['port']
        writes = call(port, '/standin/writes').json()
        return [w['revision'] for w in writes if w['kind'] in CONFIG_KINDS]

    def _poll(self, index: int, agent, written: list[int]) -> None:
        asked_at = time.monotonic()
        try:
            status = call(
                agent.ports['http'], '/v1/status', timeout_s=0.5
            ).json()
        except (OSError, http.client.HTTPException, RuntimeError):
            self.allow_catch_up(index)
            return
        if time.monotonic() - asked_at > self.PERIOD_S:
            self.allow_catch_up(index)
        node = self._tier.node_name(index)
        revisions = [(node, agent.pid, status['revision'])]
        for entry in status['entries']:
            process = f'{node} {entry["address"]}'
            revisions.append((process, agent.pid, entry['revision']))
        for process, pid, revision in revisions:
            self._record_revisions(index, process, pid, revision, written)

    def _record_revisions(
        self,
        index: int,
        process: str,
        pid: int,
        revision: int,
        written: list[int],
    ) -> None:
        if not revision:
            return
        self._record_in_force(process, pid, STORE, revision)
        config_revision = max((r for r in written if r <= revision), default=0)
        is_caught_up = time.monotonic() >= self._catching_up_until.get(
            index, 0.0
        )
        if config_revision and is_caught_up:
            self._record_in_force(process, pid, CONFIG, config_revision)

    def _record_in_force(
        self, process: str, pid: int, name: str, revision: int
    ) -> None:
        now = time.monotonic()
        last_revision, recorded_at = self._last_recorded.get(
            (process, pid, name), (0, 0.0)
        )
        if last_revision == revision and now - recorded_at < 1.0:
            return
        self._last_recorded[process, pid, name] = revision, now
        self._observer.add(
            rec.InForce, NodeId(process), pid, name, Revision(revision)
        )
