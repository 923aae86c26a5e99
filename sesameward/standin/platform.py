"""Simulate the platform's object API and VM list for agents and entries.

Tests control it through the paths below /standin/.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import random
import time

import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

from ..messages import Listing
from ..messages import StoredObject
from ..messages import Vm
from ..messages import Written
from ..rates import TokenBucket
from ..types import ChangeId
from ..types import Revision

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_S = 60.0
# Number of most recent writes that are kept for tests to read. By default, the
# platform also keeps this number of most recent events for watches.
MAX_EVENTS = 20_000


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Configure the faults that the platform injects at the moment.

    During an outage, connections are closed without a reply. slow_ms delays
    each call. reject_rate is the fraction of calls, 0 to 1, that get 429.

    The other faults affect only writes of objects of the kind only_kind, or
    of all kinds if it is empty. slow_reply_ms delays the reply to a write that
    has taken effect. The connections of the next lose_requests writes are
    closed before the write, those of the next lose_replies writes after it.
    """

    outage: bool = False
    slow_ms: float = 0.0
    lose_replies: int = 0
    lose_requests: int = 0
    reject_rate: float = 0.0
    slow_reply_ms: float = 0.0
    only_kind: str = ''

    def affects(self, kind: str) -> bool:
        """Return whether the faults of writes affect this kind of objects."""
        return self.only_kind in ('', kind)


class Calls(msgspec.Struct):
    """Count the received calls; waiting counts the open watches."""

    by_method: collections.Counter[str]
    waiting: int = 0


class Write(msgspec.Struct, frozen=True):
    """Record one write; at is in seconds on the monotonic clock."""

    at: float
    kind: str
    name: str
    revision: Revision


class Store:
    """Keep objects, their revisions and their recent events in memory."""

    def __init__(self, max_events: int = MAX_EVENTS):
        self.revision = Revision(0)
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self._events: collections.deque[StoredObject] = collections.deque()
        self.writes: collections.deque[Write] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._max_events = max_events
        self._compacted_revision = Revision(0)
        self._changed = asyncio.Event()

    def live(self, kind: str) -> tuple[StoredObject, ...]:
        """Return the objects of a kind that exist, sorted by name."""
        return tuple(
            stored
            for (other_kind, _), stored in sorted(self.objects.items())
            if other_kind == kind and not stored.deleted
        )

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or its tombstone if it was deleted."""
        return self.objects.get((kind, name))

    def write(
        self, kind: str, name: str, value: bytes, change: str, deleted: bool
    ) -> StoredObject:
        """Write or delete an object under the next revision; wake watches."""
        self.revision = Revision(self.revision + 1)
        stored = StoredObject(
            kind, name, self.revision, value, ChangeId(change), deleted
        )
        self.objects[kind, name] = stored
        self.writes.append(Write(time.monotonic(), kind, name, self.revision))
        self._events.append(stored)
        if len(self._events) > self._max_events:
            self.compact(self._events[0].revision)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return stored

    def compact(self, through: Revision) -> None:
        """Discard the events up to and including a revision."""
        while self._events and self._events[0].revision <= through:
            self._events.popleft()
        self._compacted_revision = max(self._compacted_revision, through)

    def has_history_since(self, since: int) -> bool:
        """Return whether all events after a revision are still available."""
        return since >= self._compacted_revision

    def events(self, kinds: set[str], since: int) -> tuple[StoredObject, ...]:
        """Return the events of some kinds after a revision, oldest first."""
        newer = itertools.takewhile(
            lambda stored: stored.revision > since, reversed(self._events)
        )
        return tuple(e for e in newer if e.kind in kinds)[::-1]

    async def wait(self, kinds: set[str], since: int, wait_s: float) -> None:
        """Wait until there is an event after a revision, at most wait_s."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while not self.events(kinds, since):
            remaining_s = deadline - loop.time()
            if remaining_s <= 0.0:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                return


class Platform:
    """Serve the object API, the VM list and the controls over HTTP."""

    def __init__(
        self,
        writes_per_s: float = 500.0,
        reads_per_s: float = 2_000.0,
        seed: int = 0,
        max_events: int = MAX_EVENTS,
    ):
        self.store = Store(max_events)
        self.faults = Faults()
        self.calls = Calls(collections.Counter())
        self.vms: tuple[Vm, ...] = ()
        self.rng = random.Random(seed)
        now = time.monotonic()
        self.writes = TokenBucket(writes_per_s, writes_per_s, now)
        self.reads = TokenBucket(reads_per_s, reads_per_s, now)
        self.port = 0
        self._server: httpserver.HTTPServer | None = None

    def start(self, host: str = '127.0.0.1', port: int = 0) -> int:
        """Start to listen; return the port, a free one if port is 0."""
        sockets = netutil.bind_sockets(port, host)
        self._server = httpserver.HTTPServer(
            self.application(), max_body_size=4 * MAX_VALUE_BYTES
        )
        self._server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]
        return self.port

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def application(self) -> web.Application:
        """Build the web application that serves all paths."""
        args = {'platform': self}
        return web.Application(
            [
                (r'/v1/objects/([^/]+)', ListHandler, args),
                (r'/v1/objects/([^/]+)/([^/]+)', ObjectHandler, args),
                (r'/v1/watch', WatchHandler, args),
                (r'/v1/vms', VmsHandler, args),
                (r'/standin/faults', FaultsHandler, args),
                (r'/standin/vms', SetVmsHandler, args),
                (r'/standin/calls', CallsHandler, args),
                (r'/standin/compact', CompactHandler, args),
                (r'/standin/clear', ClearHandler, args),
                (r'/standin/writes', WritesHandler, args),
            ],
            log_function=lambda handler: None,
        )


class Handler(web.RequestHandler):
    """Provide the methods with which all handlers reply to a call."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def reply(self, message: object, status: int = 200) -> None:
        """Send a message as JSON."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(message))

    def close_connection(self) -> None:
        """Close the connection without a reply."""
        self.detach().close()


class CountedHandler(Handler):
    """Count each call and apply the injected faults and the rate limits."""

    name = ''

    async def prepare(self) -> None:
        """Apply the faults and limits: delay, closed connection or 429."""
        platform = self.platform
        platform.calls.by_method[self.name or self.request.method] += 1
        faults = platform.faults
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / 1e3)
        if faults.outage:
            self.close_connection()
            return
        if self._is_over_rate() or self._is_randomly_rejected():
            self.set_header('Retry-After', '1')
            self.reply(Written(platform.store.revision), 429)

    def _is_over_rate(self) -> bool:
        writing = self.request.method in {'PUT', 'DELETE'}
        bucket = self.platform.writes if writing else self.platform.reads
        return bucket.take(time.monotonic()) > 0.0

    def _is_randomly_rejected(self) -> bool:
        return self.platform.rng.random() < self.platform.faults.reject_rate


class ListHandler(CountedHandler):
    """List the objects of a kind."""

    name = 'LIST'

    def get(self, kind: str) -> None:
        """Send the objects of a kind and the newest revision of the store."""
        store = self.platform.store
        self.reply(Listing(store.revision, store.live(kind)))


class ObjectHandler(CountedHandler):
    """Read and write one object."""

    def get(self, kind: str, name: str) -> None:
        """Send the object, or 404 if it doesn't exist."""
        stored = self.platform.store.find(kind, name)
        if stored is None or stored.deleted:
            self._reply_not_found(stored)
            return
        self.reply(stored)

    async def put(self, kind: str, name: str) -> None:
        """Write the object if the request's revision condition holds."""
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.reply(Written(self.platform.store.revision), 413)
            return
        await self._write(kind, name, deleted=False)

    async def delete(self, kind: str, name: str) -> None:
        """Delete the object if the request's revision condition holds."""
        await self._write(kind, name, deleted=True)

    async def _write(self, kind: str, name: str, deleted: bool) -> None:
        faults = self.platform.faults
        affected = faults.affects(kind)
        if affected and faults.lose_requests > 0:
            faults.lose_requests -= 1
            self.close_connection()
            return
        store = self.platform.store
        stored = store.find(kind, name)
        if not self._condition_holds(stored):
            self._reply_conflict(stored)
            return
        change = self.request.headers.get('X-Change-Id', '')
        value = b'' if deleted else self.request.body
        written = store.write(kind, name, value, change, deleted)
        if affected and faults.slow_reply_ms:
            await asyncio.sleep(faults.slow_reply_ms / 1e3)
        if affected and faults.lose_replies > 0:
            faults.lose_replies -= 1
            self.close_connection()
            return
        self.reply(Written(written.revision, written.change))

    def _condition_holds(self, stored: StoredObject | None) -> bool:
        exists = stored is not None and not stored.deleted
        if self.request.headers.get('If-None-Match') == '*':
            return not exists
        expected = self.request.headers.get('If-Match')
        return exists and expected == str(stored.revision)

    def _reply_conflict(self, stored: StoredObject | None) -> None:
        if stored is None or stored.deleted:
            self._reply_not_found(stored)
            return
        self.reply(Written(stored.revision, stored.change), 412)

    def _reply_not_found(self, stored: StoredObject | None) -> None:
        if stored is None:
            self.reply(Written(Revision(0)), 404)
        else:
            self.reply(Written(stored.revision, stored.change), 404)


class WatchHandler(CountedHandler):
    """Serve watches: calls that wait for changes (long polling)."""

    name = 'WATCH'
    _waiting: asyncio.Task | None = None

    async def get(self) -> None:
        """Send the events after a revision as soon as there are any.

        The list is empty if there are none within the wait time. The answer
        is 410 if events after the revision have been discarded.
        """
        kinds = set(self.get_query_argument('kinds').split(','))
        since = int(self.get_query_argument('since'))
        wait_s = float(self.get_query_argument('wait_s', '0'))
        store = self.platform.store
        if not store.has_history_since(since):
            self.reply(Written(store.revision), 410)
            return
        await self._wait(kinds, since, min(wait_s, MAX_WAIT_S))
        if self.platform.faults.outage:
            self.close_connection()
            return
        self.reply(Listing(store.revision, store.events(kinds, since)))

    async def _wait(self, kinds: set[str], since: int, wait_s: float) -> None:
        self.platform.calls.waiting += 1
        try:
            await self.platform.store.wait(kinds, since, wait_s)
        finally:
            self.platform.calls.waiting -= 1


class VmsHandler(CountedHandler):
    """Serve the VM list."""

    name = 'VMS'

    def get(self) -> None:
        """Send all rows of the VM list."""
        self.reply(self.platform.vms)


class FaultsHandler(Handler):
    """Set the faults that the platform injects."""

    def post(self) -> None:
        """Replace all faults; those not named are switched off."""
        self.platform.faults = msgspec.json.decode(
            self.request.body, type=Faults
        )
        self.reply(self.platform.faults)


class SetVmsHandler(Handler):
    """Set the VM list."""

    def post(self) -> None:
        """Replace all rows of the VM list."""
        self.platform.vms = msgspec.json.decode(
            self.request.body, type=tuple[Vm, ...]
        )
        self.reply(self.platform.vms)


class CallsHandler(Handler):
    """Serve the counts of the received calls."""

    def get(self) -> None:
        """Send the calls by method and the number of open watches."""
        self.reply(self.platform.calls)


class CompactHandler(Handler):
    """Discard the history of the store, as a compaction does."""

    def post(self) -> None:
        """Discard all events; watches from older revisions then get 410."""
        store = self.platform.store
        store.compact(store.revision)
        self.reply(Written(store.revision))


class ClearHandler(Handler):
    """Empty the store between tests."""

    def post(self) -> None:
        """Delete all objects, each with a revision of its own."""
        store = self.platform.store
        for (kind, name), stored in list(store.objects.items()):
            if not stored.deleted:
                store.write(kind, name, b'', 'clear', deleted=True)
        self.reply(Written(store.revision))


class WritesHandler(Handler):
    """Serve the log of writes."""

    def get(self) -> None:
        """Send the last MAX_EVENTS writes, oldest first."""
        self.reply(tuple(self.platform.store.writes))
