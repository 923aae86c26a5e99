"""Stand in for the platform's object API and its VM list."""

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
KEPT_EVENTS = 20_000


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Hold the faults which the stand-in shows at the moment."""

    outage: bool = False
    slow_ms: float = 0.0
    lose_replies: int = 0
    lose_requests: int = 0
    reject_rate: float = 0.0
    slow_reply_ms: float = 0.0
    only_kind: str = ''

    def concern(self, kind: str) -> bool:
        """Tell whether writes of a kind show the faults of writes."""
        return self.only_kind in ('', kind)


class Calls(msgspec.Struct):
    """Count the calls which the stand-in received."""

    by_method: collections.Counter[str]
    waiting: int = 0


class Write(msgspec.Struct, frozen=True):
    """Hold when an object was written, on the monotonic clock."""

    at: float
    kind: str
    name: str
    revision: Revision


class Store:
    """Keep objects, their revisions and their recent events in memory."""

    def __init__(self, kept_events: int = KEPT_EVENTS):
        self.revision = Revision(0)
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self._events: collections.deque[StoredObject] = collections.deque()
        self.writes: collections.deque[Write] = collections.deque(
            maxlen=KEPT_EVENTS
        )
        self._kept = kept_events
        self._compacted = Revision(0)
        self._changed = asyncio.Event()

    def live(self, kind: str) -> tuple[StoredObject, ...]:
        """Return the objects of a kind."""
        return tuple(
            stored
            for (held, _), stored in sorted(self.objects.items())
            if held == kind and not stored.deleted
        )

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Return an object or its tombstone."""
        return self.objects.get((kind, name))

    def write(
        self, kind: str, name: str, value: bytes, change: str, deleted: bool
    ) -> StoredObject:
        """Give the object its next revision and wake the watches."""
        self.revision = Revision(self.revision + 1)
        stored = StoredObject(
            kind, name, self.revision, value, ChangeId(change), deleted
        )
        self.objects[kind, name] = stored
        self.writes.append(Write(time.monotonic(), kind, name, self.revision))
        self._events.append(stored)
        if len(self._events) > self._kept:
            self.compact(self._events[0].revision)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return stored

    def compact(self, through: Revision) -> None:
        """Forget the events through a revision."""
        while self._events and self._events[0].revision <= through:
            self._events.popleft()
        self._compacted = max(self._compacted, through)

    def keeps(self, since: int) -> bool:
        """Tell whether all events after a revision are still kept."""
        return since >= self._compacted

    def events(self, kinds: set[str], since: int) -> tuple[StoredObject, ...]:
        """Return the events of some kinds after a revision, oldest first."""
        newer = itertools.takewhile(
            lambda stored: stored.revision > since, reversed(self._events)
        )
        return tuple(e for e in newer if e.kind in kinds)[::-1]

    async def wait(self, kinds: set[str], since: int, wait_s: float) -> None:
        """Return when there are events or the time is over."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while not self.events(kinds, since):
            rest_s = deadline - loop.time()
            if rest_s <= 0.0:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), rest_s)
            except TimeoutError:
                return


class Platform:
    """Serve the stand-in over HTTP."""

    def __init__(
        self,
        writes_per_s: float = 500.0,
        reads_per_s: float = 2_000.0,
        seed: int = 0,
        kept_events: int = KEPT_EVENTS,
    ):
        self.store = Store(kept_events)
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
        """Listen and return the bound port."""
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
        """Return the routes."""
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
    """Answer in JSON."""

    def initialize(self, platform: Platform) -> None:
        """Keep the platform."""
        self.platform = platform

    def reply(self, message: object, status: int = 200) -> None:
        """Send a message."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(message))

    def drop(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()


class CountedHandler(Handler):
    """Count the call and show the faults and rates of the platform."""

    name = ''

    async def prepare(self) -> None:
        """Refuse, delay or drop the call as the faults and rates say."""
        platform = self.platform
        platform.calls.by_method[self.name or self.request.method] += 1
        faults = platform.faults
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / 1e3)
        if faults.outage:
            self.drop()
            return
        if self._over_rate() or self._rejected():
            self.set_header('Retry-After', '1')
            self.reply(Written(platform.store.revision), 429)

    def _over_rate(self) -> bool:
        writing = self.request.method in {'PUT', 'DELETE'}
        bucket = self.platform.writes if writing else self.platform.reads
        return bucket.take(time.monotonic()) > 0.0

    def _rejected(self) -> bool:
        return self.platform.rng.random() < self.platform.faults.reject_rate


class ListHandler(CountedHandler):
    """List the objects of a kind."""

    name = 'LIST'

    def get(self, kind: str) -> None:
        """Send the objects and the revision."""
        store = self.platform.store
        self.reply(Listing(store.revision, store.live(kind)))


class ObjectHandler(CountedHandler):
    """Read and write one object."""

    def get(self, kind: str, name: str) -> None:
        """Send the object."""
        stored = self.platform.store.find(kind, name)
        if stored is None or stored.deleted:
            self._missing(stored)
            return
        self.reply(stored)

    async def put(self, kind: str, name: str) -> None:
        """Write the object where the condition holds."""
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.reply(Written(self.platform.store.revision), 413)
            return
        await self._write(kind, name, deleted=False)

    async def delete(self, kind: str, name: str) -> None:
        """Delete the object where the condition holds."""
        await self._write(kind, name, deleted=True)

    async def _write(self, kind: str, name: str, deleted: bool) -> None:
        faults = self.platform.faults
        concerned = faults.concern(kind)
        if concerned and faults.lose_requests > 0:
            faults.lose_requests -= 1
            self.drop()
            return
        store = self.platform.store
        stored = store.find(kind, name)
        if not self._condition_holds(stored):
            self._conflict(stored)
            return
        change = self.request.headers.get('X-Change-Id', '')
        value = b'' if deleted else self.request.body
        written = store.write(kind, name, value, change, deleted)
        if concerned and faults.slow_reply_ms:
            await asyncio.sleep(faults.slow_reply_ms / 1e3)
        if concerned and faults.lose_replies > 0:
            faults.lose_replies -= 1
            self.drop()
            return
        self.reply(Written(written.revision, written.change))

    def _condition_holds(self, stored: StoredObject | None) -> bool:
        exists = stored is not None and not stored.deleted
        if self.request.headers.get('If-None-Match') == '*':
            return not exists
        expected = self.request.headers.get('If-Match')
        return exists and expected == str(stored.revision)

    def _conflict(self, stored: StoredObject | None) -> None:
        if stored is None or stored.deleted:
            self._missing(stored)
            return
        self.reply(Written(stored.revision, stored.change), 412)

    def _missing(self, stored: StoredObject | None) -> None:
        if stored is None:
            self.reply(Written(Revision(0)), 404)
        else:
            self.reply(Written(stored.revision, stored.change), 404)


class WatchHandler(CountedHandler):
    """Wait for events."""

    name = 'WATCH'
    _waiting: asyncio.Task | None = None

    async def get(self) -> None:
        """Send the events after a revision as soon as there are any."""
        kinds = set(self.get_query_argument('kinds').split(','))
        since = int(self.get_query_argument('since'))
        wait_s = float(self.get_query_argument('wait_s', '0'))
        store = self.platform.store
        if not store.keeps(since):
            self.reply(Written(store.revision), 410)
            return
        await self._wait(kinds, since, min(wait_s, MAX_WAIT_S))
        if self.platform.faults.outage:
            self.drop()
            return
        self.reply(Listing(store.revision, store.events(kinds, since)))

    async def _wait(self, kinds: set[str], since: int, wait_s: float) -> None:
        self.platform.calls.waiting += 1
        try:
            await self.platform.store.wait(kinds, since, wait_s)
        finally:
            self.platform.calls.waiting -= 1


class VmsHandler(CountedHandler):
    """List the VMs."""

    name = 'VMS'

    def get(self) -> None:
        """Send the VM list."""
        self.reply(self.platform.vms)


class FaultsHandler(Handler):
    """Switch faults on and off."""

    def post(self) -> None:
        """Replace all faults."""
        self.platform.faults = msgspec.json.decode(
            self.request.body, type=Faults
        )
        self.reply(self.platform.faults)


class SetVmsHandler(Handler):
    """Change the VM list."""

    def post(self) -> None:
        """Replace the VM list."""
        self.platform.vms = msgspec.json.decode(
            self.request.body, type=tuple[Vm, ...]
        )
        self.reply(self.platform.vms)


class CallsHandler(Handler):
    """Show the count of calls."""

    def get(self) -> None:
        """Send the calls by method and the waiting watches."""
        self.reply(self.platform.calls)


class CompactHandler(Handler):
    """Forget events."""

    def post(self) -> None:
        """Forget all events through the present revision."""
        store = self.platform.store
        store.compact(store.revision)
        self.reply(Written(store.revision))


class ClearHandler(Handler):
    """Delete objects."""

    def post(self) -> None:
        """Delete all objects."""
        store = self.platform.store
        for (kind, name), stored in list(store.objects.items()):
            if not stored.deleted:
                store.write(kind, name, b'', 'clear', deleted=True)
        self.reply(Written(store.revision))


class WritesHandler(Handler):
    """Show the writes."""

    def get(self) -> None:
        """Send the last writes, oldest first."""
        self.reply(tuple(self.platform.store.writes))
