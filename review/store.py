"""Stand in for the platform's store: objects, lists, watches."""

from __future__ import annotations

import asyncio
import json
import time
import urllib.parse

from . import http

PAGE = 50


class Store:
    """Hold objects; the spec of each one is kept as JSON text."""

    def __init__(self):
        self.revision = 1
        self.objects: dict[tuple[str, str], tuple[dict, str]] = {}
        self.events: list[tuple[int, str, dict, str, bool]] = []
        self.changed = asyncio.Event()
        # Monotonic time at which each object was last written.
        self.written_at: dict[tuple[str, str], float] = {}
        self.server: asyncio.Server | None = None
        self.address = ''

    async def start(self, host: str) -> None:
        self.server = await asyncio.start_server(self._serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object, as the operator or a server does."""
        self.put_text(kind, name, json.dumps(spec))

    def put_text(self, kind: str, name: str, text: str) -> None:
        """Write an object whose spec is the given JSON text."""
        old = self.objects.get((kind, name))
        if old is not None and old[1] == text:
            return
        self.revision += 1
        meta = {
            'name': name,
            'revision': self.revision,
            'created': old[0]['created'] if old else self.revision,
            'finalizers': [],
            'deleting': False,
        }
        self.objects[kind, name] = meta, text
        self.written_at[kind, name] = time.monotonic()
        self._record(kind, meta, text, False)

    def delete(self, kind: str, name: str) -> None:
        old = self.objects.pop((kind, name), None)
        if old is not None:
            self.revision += 1
            meta = {**old[0], 'revision': self.revision}
            self._record(kind, meta, old[1], True)

    def _record(self, kind: str, meta: dict, text: str, deleted: bool) -> None:
        self.events.append((self.revision, kind, meta, text, deleted))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await http.read(reader)) is not None:
                status, text = await self._answer(message)
                headers = {
                    'Content-Type': 'application/json',
                    'Store-Era': '1',
                }
                await asyncio.sleep(0.004)
                writer.write(http.answer(status, headers, text.encode()))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _answer(self, message: http.Message) -> tuple[int, str]:
        method, target = message.start[0], message.start[1]
        path, _, query_text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        path = urllib.parse.unquote(path.removeprefix('/v1/objects/'))
        kind, _, name = path.partition('/')
        if method == 'GET' and not name:
            if 'watch' in query:
                return await self._watch(kind, query)
            return 200, self._list(kind, query.get('after', ''))
        if method == 'GET':
            found = self.objects.get((kind, name))
            return (404, '{}') if found is None else (200, _object(*found))
        body = json.loads(message.body)
        if method == 'POST':
            name = body['meta']['name']
            if (kind, name) in self.objects:
                return 409, _object(*self.objects[kind, name])
            self.put(kind, name, body.get('spec'))
            return 201, _object(*self.objects[kind, name])
        if method == 'PUT':
            if (kind, name) not in self.objects:
                return 404, '{}'
            self.put(kind, name, body.get('spec'))
            return 200, _object(*self.objects[kind, name])
        return 405, '{}'

    def _list(self, kind: str, after: str) -> str:
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [_object(*self.objects[kind, name]) for name in names[:PAGE]]
        more = json.dumps(len(names) > PAGE)
        return (
            f'{{"items":[{",".join(items)}],"more":{more},'
            f'"as_of":{self.revision}}}'
        )

    async def _watch(self, kind: str, query: dict) -> tuple[int, str]:
        since = int(query['watch'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1_000
        while True:
            found = [e for e in self.events if e[0] > since and e[1] == kind]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        events = [
            f'{{"object":{_object(meta, text)},'
            f'"deleted":{json.dumps(deleted)}}}'
            for _, _, meta, text, deleted in found
        ]
        return (
            200,
            f'{{"events":[{",".join(events)}],"as_of":{self.revision}}}',
        )


def _object(meta: dict, text: str) -> str:
    return f'{{"meta":{json.dumps(meta)},"spec":{text},"status":null}}'
