"""Simulate the platform's object store for nodes, with faults on request.

It serves the platform's published HTTP protocol: objects by kind and name,
lists in pages, watches from a revision, conditional writes.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import random
import time
import typing
import urllib.parse

import msgspec

from .. import logs
from ..metrics import Metrics
from ..serving.http_server import Answer
from ..serving.http_server import HttpServer
from ..serving.http_server import Request
from ..serving.http_server import Responder

PREFIX = '/v1/objects/'
ERA_HEADER = b'Store-Era'
PAGE_SIZE = 50
MAX_WAIT_S = 30.0


class StoreFaults(msgspec.Struct):
    """Configure the faults that the store injects at the moment.

    Clients named in busy_for get 503, those named in silent_for get no reply.
    slow_s delays each reply. The next lose_replies writes take effect but get
    no reply.
    """

    busy_for: set[str] = msgspec.field(default_factory=set)
    silent_for: set[str] = msgspec.field(default_factory=set)
    slow_s: float = 0.0
    lose_replies: int = 0


class Copy(msgspec.Struct, frozen=True):
    """Hold all objects of a store as of a revision."""

    revision: int
    objects: dict[tuple[str, str], dict]


class ObjectStore:
    """Serve objects and their past changes from memory.

    calls counts the requests of each client. era is the number that the
    store's answers bear; it rises each time that the store is restored from
    a copy. With None they bear no such number. kinds_read has the kinds that
    were listed or watched; those in unreadable_kinds get 404.
    """

    def __init__(self):
        self.faults = StoreFaults()
        self.era_header = ERA_HEADER
        self.era: int | bytes | None = 1
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        # The last writes of the operator and the targets, which they repeat
        # when the store has lost them. Those of nodes are not among them.
        self._last_writes: dict[tuple[str, str], object] = {}
        self.calls: collections.Counter[str] = collections.Counter()
        self.kinds_read: set[str] = set()
        self.unreadable_kinds: set[str] = set()
        self._events: list[tuple[int, str, dict, bool]] = []
        self._compacted_revision = 0
        self._changed = asyncio.Event()
        self._listeners: list[HttpServer] = []

    async def open_door(self, client: str, port: int = 0) -> int:
        """Listen on a port for one client, so that faults can hit it alone."""
        http = HttpServer(
            functools.partial(self._handle, client),
            Metrics('store'),
            time.monotonic,
        )
        await http.start('127.0.0.1', port)
        self._listeners.append(http)
        return http.port

    def stop(self) -> None:
        """Stop the listeners of all clients."""
        for http in self._listeners:
            http.stop()

    # Changes made directly by tests and the demo.

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object and return its revision.

        If the object already has this spec, write nothing and return its
        current revision.
        """
        self._last_writes[kind, name] = spec
        return self._put(kind, name, spec)

    def _put(self, kind: str, name: str, spec: object) -> int:
        key = kind, name
        old = self.objects.get(key)
        if old is not None and old['spec'] == spec:
            return old['meta']['revision']
        self.revision += 1
        created = old['meta']['created'] if old else self.revision
        stored = {
            'meta': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[key] = stored
        self._record_event(kind, stored, False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if it exists."""
        self._last_writes.pop((kind, name), None)
        self._delete(kind, name)

    def _delete(self, kind: str, name: str) -> None:
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            meta = {**stored['meta'], 'revision': self.revision}
            self._record_event(kind, {**stored, 'meta': meta}, True)

    def forget_history(self) -> None:
        """Discard all events, as the platform may at any time.

        A watch from an older revision then gets 410.
        """
        self._compacted_revision = self.revision
        self._events.clear()
        self._wake_watches()

    def copy(self) -> Copy:
        """Return a copy of all objects, to restore the store from it later."""
        return Copy(self.revision, dict(self.objects))

    def restore(self, copy: Copy) -> None:
        """Go back to a copy; what was written since then is gone.

        The revisions after that of the copy are given out again.
        """
        self.revision = copy.revision
        self.objects = dict(copy.objects)
        self._events = [e for e in self._events if e[0] <= copy.revision]
        self._compacted_revision = min(self._compacted_revision, copy.revision)
        if self.era is not None:
            self.era += 1
        self._wake_watches()

    def repeat_writes(self, kind: str, rng: random.Random) -> None:
        """Repeat what the operator and the targets wrote last, in any order.

        An object whose last write was its removal is removed again.
        """
        names = {
            name
            for other_kind, name in {**self.objects, **self._last_writes}
            if other_kind == kind
        }
        for name in rng.sample(sorted(names), len(names)):
            if (kind, name) in self._last_writes:
                self._put(kind, name, self._last_writes[kind, name])
            else:
                self._delete(kind, name)

    def _record_event(self, kind: str, stored: dict, deleted: bool) -> None:
        self._events.append((self.revision, kind, stored, deleted))
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    # The HTTP protocol.

    def _handle(self, client: str, req: Request, responder: Responder) -> None:
        task = asyncio.ensure_future(self._serve(client, req, responder))
        logs.log_failure(task)

    async def _serve(
        self, client: str, req: Request, responder: Responder
    ) -> None:
        query = dict(urllib.parse.parse_qsl(req.query.decode()))
        faults = self.faults
        self.calls[client] += 1
        if client in faults.silent_for:
            return
        if client in faults.busy_for:
            self._send(responder, Answer(503))
            return
        await asyncio.sleep(faults.slow_s)
        answer = await self._answer(req, query)
        if client in faults.silent_for:
            return
        if req.method != b'GET' and faults.lose_replies > 0:
            faults.lose_replies -= 1
            return
        self._send(responder, answer)

    def _send(self, responder: Responder, answer: Answer) -> None:
        if self.era is not None:
            era = self.era if isinstance(self.era, bytes) else b'%d' % self.era
            answer.headers.append((self.era_header, era))
        responder.send(answer)

    async def _answer(self, req: Request, query: dict[str, str]) -> Answer:
        path = req.path.removeprefix(PREFIX)
        kind, _, name = urllib.parse.unquote(path).partition('/')
        if req.method == b'GET':
            self.kinds_read.add(kind)
        if kind in self.unreadable_kinds:
            return Answer(404)
        match req.method, bool(name):
            case b'GET', False if 'watch' in query:
                return await self._watch(kind, query)
            case b'GET', False:
                return self._list(kind, query.get('after', ''))
            case b'GET', True:
                stored = self.objects.get((kind, name))
                return _json(404 if stored is None else 200, stored)
            case b'POST', False:
                return self._create(kind, req.body)
            case b'PUT', True:
                return self._replace(kind, name, req.body)
            case b'DELETE', True:
                self._delete(kind, name)
                return _json(200, None)
        return Answer(405)

    def _list(self, kind: str, after: str) -> Answer:
        names = sorted(
            name
            for other_kind, name in self.objects
            if other_kind == kind and name > after
        )
        page = [self.objects[kind, name] for name in names[:PAGE_SIZE]]
        body = {
            'items': page,
            'more': len(names) > PAGE_SIZE,
            'as_of': self.revision,
        }
        return _json(200, body)

    async def _watch(self, kind: str, query: dict[str, str]) -> Answer:
        since = int(query['watch'])
        wait_s = min(int(query.get('wait_ms', 0)) / 1_000, MAX_WAIT_S)
        try:
            async with asyncio.timeout(wait_s):
                while self._has_history(since) and not self._events_since(
                    kind, since
                ):
                    await self._changed.wait()
        except TimeoutError:
            pass
        if not self._has_history(since):
            return Answer(410)
        events = [
            {'object': stored, 'deleted': deleted}
            for _, _, stored, deleted in self._events_since(kind, since)
        ]
        return _json(200, {'events': events, 'as_of': self.revision})

    def _has_history(self, since: int) -> bool:
        return self._compacted_revision <= since <= self.revision

    def _events_since(self, kind: str, since: int) -> list:
        return [e for e in self._events if e[0] > since and e[1] == kind]

    def _create(self, kind: str, body: bytes) -> Answer:
        message = msgspec.json.decode(body)
        name = message['meta']['name']
        if (kind, name) in self.objects:
            return _json(409, self.objects[kind, name])
        self._put(kind, name, message.get('spec'))
        return _json(201, self.objects[kind, name])

    def _replace(self, kind: str, name: str, body: bytes) -> Answer:
        message = msgspec.json.decode(body)
        stored = self.objects.get((kind, name))
        if stored is None:
            return _json(404, None)
        expected = message.get('meta', {}).get('revision')
        if expected is not None and expected != stored['meta']['revision']:
            return _json(409, stored)
        self._put(kind, name, message.get('spec'))
        return _json(200, self.objects[kind, name])


def _json(status: int, body: typing.Any) -> Answer:
    headers = [(b'Content-Type', b'application/json')]
    return Answer(status, headers, msgspec.json.encode(body))
