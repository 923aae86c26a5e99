"""Send requests and record what each process of a run saw."""

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
CONFIG = 'config'
STORE = 'store'
CONFIG_KINDS = ('service', 'pool')
CALLER_TIMEOUT_S = 6.0

_frames = msgspec.json.Decoder(Frame)
_works = msgspec.json.Decoder(Work)


class Place(msgspec.Struct, frozen=True):
    """Name an entry and where it listens."""

    node: NodeId
    port: int


class Observer:
    """Record a run's callers and operators in one file."""

    def __init__(self, path: pathlib.Path):
        self.path = path
        self._recorder = rec.Recorder(path)
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()

    def add(self, kind: type[rec.Record], *args, **fields) -> None:
        """Record something that happens now."""
        with self._lock:
            self._recorder.add(kind(time.monotonic(), *args, **fields))

    def token(self, prefix: str) -> str:
        """Return the name of the next send."""
        return f'{prefix}{next(self._numbers)}'

    def close(self) -> None:
        """Close the file."""
        self._recorder.close()


class Reply(msgspec.Struct):
    """Hold how one send ended; end is None where no answer did."""

    send: str
    end: End | None = None
    run: RunState | None = None
    kind: str = ''
    cut: bool = False
    late: bool = False
    took_s: float = 0.0


class Query:
    """Send one query and record its frames as they arrive."""

    def __init__(
        self,
        observer: Observer,
        place: Place,
        keys: tuple[str, ...] | None = None,
        deadline_ms: int | None = None,
    ):
        self._observer = observer
        self._place = place
        self._keys = keys
        self._deadline_ms = deadline_ms
        self.reply = Reply(observer.token('q'))
        self.on_rows = threading.Event()

    def run(self) -> Reply:
        """Return when the answer has ended or the connection has."""
        began_at = time.monotonic()
        self._observer.add(
            rec.QuerySent,
            self.reply.send,
            self._place.node,
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
        self.on_rows.set()
        return self.reply

    def _exchange(self, body: dict, headers: dict[str, str]) -> None:
        path = f'/v1/services/{SERVICE}/query'
        conn = _connect(self._place)
        if conn is None:
            return
        try:
            conn.request('POST', path, json.dumps(body), headers)
            resp = conn.getresponse()
            if resp.status == 200:
                self._read(resp)
            else:
                _refused(self._observer, self.reply, resp.read())
        except TimeoutError:
            self.reply.late = True
        except (OSError, http.client.HTTPException, msgspec.DecodeError):
            _cut(self._observer, self.reply)
        finally:
            conn.close()

    def _read(self, resp: http.client.HTTPResponse) -> None:
        opened = RequestId('')
        for line in resp:
            frame = _frames.decode(line)
            match frame:
                case Open():
                    opened = frame.request_id
                    self._observer.add(
                        rec.OpenReceived, self.reply.send, frame
                    )
                case Rows():
                    rows = tuple(_row(r, opened) for r in frame.records)
                    self._observer.add(
                        rec.RowsReceived, self.reply.send, frame.shard, rows
                    )
                    self.on_rows.set()
                case End():
                    self._observer.add(rec.EndReceived, self.reply.send, frame)
                    self.reply.end = frame
        if self.reply.end is None:
            _cut(self._observer, self.reply)


def _connect(place: Place) -> http.client.HTTPConnection | None:
    conn = http.client.HTTPConnection(
        HOST, place.port, timeout=CALLER_TIMEOUT_S
    )
    try:
        conn.connect()
    except OSError:
        return None
    return conn


def _cut(observer: Observer, reply: Reply) -> None:
    reply.cut = True
    observer.add(rec.Cut, reply.send)


def _refused(observer: Observer, reply: Reply, body: bytes) -> None:
    refusal = json.loads(body)
    reply.run = RunState(refusal['run'])
    reply.kind = refusal['kind']
    observer.add(
        rec.Told,
        reply.send,
        reply.run,
        RequestId(refusal['request_id']),
        refused=True,
    )


def _row(record: DataRecord, opened: RequestId) -> rec.Row:
    echo = msgspec.json.decode(record.fields, type=Echo)
    token = msgspec.json.decode(echo.match).get('token', '')
    if echo.request != opened:
        token = f'request {echo.request}'
    return rec.Row(record.key, echo.snapshot, token)


def digest(record_key: str, action: bytes) -> str:
    """Return what equal bookings have in common."""
    parsed = json.dumps(json.loads(action), sort_keys=True)
    return hashlib.sha256(f'{record_key} {parsed}'.encode()).hexdigest()[:16]


def book(
    observer: Observer,
    place: Place,
    key: str,
    attempt: int,
    record_key: str = 's000-0001',
) -> Reply:
    """Send one booking and record what the caller is told."""
    action = {'seat': key}
    reply = Reply(observer.token('b'))
    began_at = time.monotonic()
    observer.add(
        rec.BookingSent,
        reply.send,
        place.node,
        BookingKey(key),
        digest(record_key, json.dumps(action).encode()),
        attempt,
    )
    conn = _connect(place)
    if conn is None:
        return reply
    headers = {'Idempotency-Key': key, 'Sesameward-Attempt': str(attempt)}
    body = json.dumps({'record_key': record_key, 'action': action})
    try:
        conn.request('POST', f'/v1/services/{SERVICE}/bookings', body, headers)
        resp = conn.getresponse()
        data = resp.read()
        if resp.status == 200:
            _told(observer, reply, data)
        else:
            _refused(observer, reply, data)
    except TimeoutError:
        reply.late = True
    except (OSError, http.client.HTTPException, ValueError):
        _cut(observer, reply)
    finally:
        conn.close()
    reply.took_s = time.monotonic() - began_at
    return reply


def _told(observer: Observer, reply: Reply, data: bytes) -> None:
    told = json.loads(data)
    reply.run = RunState(told['run'])
    observer.add(
        rec.Told,
        reply.send,
        reply.run,
        RequestId(told['request_id']),
        repeated=told['repeated'],
    )


def target_records(tier: Tier, seen: list[rec.Record]) -> Iterator[rec.Record]:
    """Translate the work which the targets wrote down."""
    sends = _BookingSends(seen)
    for name in tier.targets:
        path = tier.work_log(name)
        lines = path.read_bytes().split(b'\n') if path.exists() else []
        for line in lines[:-1]:
            yield from _work_records(TargetId(name), line, sends)


def _work_records(
    target: TargetId, line: bytes, sends: _BookingSends
) -> Iterator[rec.Record]:
    work = _works.decode(line)
    if work.key:
        token = sends.cause(work)
    else:
        token = msgspec.json.decode(work.body).get('token', '')
    match work.step:
        case Step.GOT:
            yield rec.TargetGot(work.at, target, token)
        case Step.RAN:
            yield rec.TargetRan(work.at, target, token)
        case Step.BOOKED:
            same = digest(work.record_key, bytes(work.body))
            yield rec.TargetBooked(work.at, target, token, work.key, same)


class _BookingSends:
    """Find the send behind a booking's effect.

    A caller that was cut off knows no request id. Such an effect is put
    down to the last of these sends, which accuses nobody falsely.
    """

    def __init__(self, seen: list[rec.Record]):
        self._by_request: dict[str, str] = {}
        self._sent: dict[str, list[rec.BookingSent]] = {}
        told = set()
        for record in seen:
            if isinstance(record, rec.Told):
                self._by_request[record.request_id] = record.send
                told.add(record.send)
        for record in seen:
            if isinstance(record, rec.BookingSent):
                if record.send not in told:
                    self._sent.setdefault(record.key, []).append(record)

    def cause(self, work: Work) -> str:
        """Return the send that caused the work."""
        if work.request in self._by_request:
            return self._by_request[work.request]
        before = [s for s in self._sent.get(work.key, ()) if s.at <= work.at]
        if not before:
            return f'request {work.request}'
        return max(before, key=lambda sent: sent.attempt).send


def platform_records(tier: Tier) -> Iterator[rec.Record]:
    """Translate the writes which the platform accepted."""
    port = tier.platform.ports['port']
    for write in call(port, '/standin/writes').json():
        revision = Revision(write['revision'])
        yield rec.ObjectWritten(write['at'], STORE, revision)
        if write['kind'] in CONFIG_KINDS:
            yield rec.ObjectWritten(write['at'], CONFIG, revision)


def gather(tier: Tier, observer: Observer) -> list[rec.Record]:
    """Return what all processes saw, in the order of time."""
    seen = rec.load([observer.path])
    seen += list(target_records(tier, seen))
    seen += list(platform_records(tier))
    return sorted(seen, key=lambda record: record.at)


class StatusPoller(threading.Thread):
    """Record which revision each process of a node has in force."""

    PERIOD_S = 0.25
    # A process that was paused or has just started can't know the newest.
    GRACE_S = 4.0

    def __init__(self, observer: Observer, tier: Tier):
        super().__init__(daemon=True)
        self._observer = observer
        self._tier = tier
        self._halt = threading.Event()
        self._told: dict[tuple[str, int, str], tuple[int, float]] = {}
        self._unsteady_until: dict[int, float] = {}

    def unsettle(self, index: int) -> None:
        """Allow a node time to catch up."""
        self._unsteady_until[index] = time.monotonic() + self.GRACE_S

    def stop(self) -> None:
        """End polling."""
        self._halt.set()
        self.join()

    def run(self) -> None:
        """Poll all agents in turn."""
        while not self._halt.wait(self.PERIOD_S):
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
            self.unsettle(index)
            return
        if time.monotonic() - asked_at > self.PERIOD_S:
            self.unsettle(index)
        node = self._tier.node_name(index)
        places = [(node, agent.pid, status['revision'])]
        for entry in status['entries']:
            place = f'{node} {entry["address"]}'
            places.append((place, agent.pid, entry['revision']))
        for place, pid, revision in places:
            self._note(index, place, pid, revision, written)

    def _note(
        self,
        index: int,
        place: str,
        pid: int,
        revision: int,
        written: list[int],
    ) -> None:
        if not revision:
            return
        self._record(place, pid, STORE, revision)
        config = max((r for r in written if r <= revision), default=0)
        steady = time.monotonic() >= self._unsteady_until.get(index, 0.0)
        if config and steady:
            self._record(place, pid, CONFIG, config)

    def _record(self, place: str, pid: int, name: str, revision: int) -> None:
        now = time.monotonic()
        known, at = self._told.get((place, pid, name), (0, 0.0))
        if known == revision and now - at < 1.0:
            return
        self._told[place, pid, name] = revision, now
        self._observer.add(
            rec.InForce, NodeId(place), pid, name, Revision(revision)
        )
