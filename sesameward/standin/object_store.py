"""Stand in for the store of the users' platform, with fault switches.

It speaks the published protocol: objects by kind and name, lists in pages,
watches from a revision, conditional writes.
"""

from __future__ import annotations

import asyncio
import collections
import functools
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
PAGE = 50
MAX_WAIT_S = 30.0


class StoreFaults(msgspec.Struct):
    """Hold the faults that the stand-in shows at the moment.

    busy_for and silent_for name the doors at which callers are turned away.
    """

    busy_for: set[str] = msgspec.field(default_factory=set)
    silent_for: set[str] = msgspec.field(default_factory=set)
    slow_s: float = 0.0
    lose_replies: int = 0


class ObjectStore:
    """Keep objects and their recent events in memory."""

    def __init__(self):
        self.faults = StoreFaults()
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.calls: collections.Counter[str] = collections.Counter()
        self._events: list[tuple[int, str, dict, bool]] = []
        self._compacted = 0
        self._changed = asyncio.Event()
        self._doors: list[HttpServer] = []

    async def open_door(self, door: str, port: int = 0) -> int:
        """Listen for one caller, so that faults can meet it alone."""
        http = HttpServer(
            functools.partial(self._handle, door),
            Metrics('store'),
            time.monotonic,
        )
        await http.start('127.0.0.1', port)
        self._doors.append(http)
        return http.port

    def stop(self) -> None:
        """Close everything."""
        for http in self._doors:
            http.stop()

    # What tests and the demo do to it.

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object; return the revision."""
        key = kind, name
        old = self.objects.get(key)
        if old is not None and old['spec'] == spec:
            return old['meta']['revision']
        self.revision += 1
        created = old['meta']['created'] if old else self.revision
        found = {
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
        self.objects[key] = found
        self._note(kind, found, False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.objects.pop((kind, name), None)
        if found is not None:
            self.revision += 1
            meta = {**found['meta'], 'revision': self.revision}
            self._note(kind, {**found, 'meta': meta}, True)

    def forget_history(self) -> None:
        """Discard all events, as the platform may at any time."""
        self._compacted = self.revision
        self._events.clear()
        self._wake()

    def _note(self, kind: str, found: dict, deleted: bool) -> None:
        self._events.append((self.revision, kind, found, deleted))
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    # The protocol.

    def _handle(self, door: str, req: Request, responder: Responder) -> None:
        task = asyncio.ensure_future(self._serve(door, req, responder))
        logs.watch(task)

    async def _serve(
        self, door: str, req: Request, responder: Responder
    ) -> None:
        query = dict(urllib.parse.parse_qsl(req.query.decode()))
        faults = self.faults
        self.calls[door] += 1
        if door in faults.silent_for:
            return
        if door in faults.busy_for:
            responder.send(Answer(503))
            return
        await asyncio.sleep(faults.slow_s)
        answer = await self._answer(req, query)
        if door in faults.silent_for:
            return
        if req.method != b'GET' and faults.lose_replies > 0:
            faults.lose_replies -= 1
            return
        responder.send(answer)

    async def _answer(self, req: Request, query: dict[str, str]) -> Answer:
        path = req.path.removeprefix(PREFIX)
        kind, _, name = urllib.parse.unquote(path).partition('/')
        match req.method, bool(name):
            case b'GET', False if 'watch' in query:
                return await self._watch(kind, query)
            case b'GET', False:
                return self._list(kind, query.get('after', ''))
            case b'GET', True:
                found = self.objects.get((kind, name))
                return _json(404 if found is None else 200, found)
            case b'POST', False:
                return self._create(kind, req.body)
            case b'PUT', True:
                return self._replace(kind, name, req.body)
            case b'DELETE', True:
                self.delete(kind, name)
                return _json(200, None)
        return Answer(405)

    def _list(self, kind: str, after: str) -> Answer:
        names = sorted(
            name
            for held, name in self.objects
            if held == kind and name > after
        )
        page = [self.objects[kind, name] for name in names[:PAGE]]
        body = {
            'items': page,
            'more': len(names) > PAGE,
            'as_of': self.revision,
        }
        return _json(200, body)

    async def _watch(self, kind: str, query: dict[str, str]) -> Answer:
        since = int(query['watch'])
        wait_s = min(int(query.get('wait_ms', 0)) / 1_000, MAX_WAIT_S)
        try:
            async with asyncio.timeout(wait_s):
                while since >= self._compacted and not self._since(
                    kind, since
                ):
                    await self._changed.wait()
        except TimeoutError:
            pass
        if since < self._compacted:
            return Answer(410)
        events = [
            {'object': found, 'deleted': deleted}
            for _, _, found, deleted in self._since(kind, since)
        ]
        return _json(200, {'events': events, 'as_of': self.revision})

    def _since(self, kind: str, since: int) -> list:
        return [e for e in self._events if e[0] > since and e[1] == kind]

    def _create(self, kind: str, body: bytes) -> Answer:
        sent = msgspec.json.decode(body)
        name = sent['meta']['name']
        if (kind, name) in self.objects:
            return _json(409, self.objects[kind, name])
        self.put(kind, name, sent.get('spec'))
        return _json(201, self.objects[kind, name])

    def _replace(self, kind: str, name: str, body: bytes) -> Answer:
        sent = msgspec.json.decode(body)
        found = self.objects.get((kind, name))
        if found is None:
            return _json(404, None)
        wanted = sent.get('meta', {}).get('revision')
        if wanted is not None and wanted != found['meta']['revision']:
            return _json(409, found)
        self.put(kind, name, sent.get('spec'))
        return _json(200, self.objects[kind, name])


def _json(status: int, body: typing.Any) -> Answer:
    headers = [(b'Content-Type', b'application/json')]
    return Answer(status, headers, msgspec.json.encode(body))
