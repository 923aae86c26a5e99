"""Call the platform's store."""

from __future__ import annotations

import urllib.parse

import msgspec

from ..exceptions import CompactedError
from ..exceptions import PlatformError
from ..exceptions import PlatformThrottledError
from ..exceptions import PlatformUnavailableError
from ..messages import StoredObject
from ..serving.byte_limits import STORE_LIMITS
from ..serving.http_caller import HttpCaller
from ..serving.settings import NodeSettings
from ..serving.target_connection import Reply
from ..settings import Endpoint
from ..types import Revision

NODES_KIND = 'sesameward-nodes'
TIMEOUT_S = 1.0
# About 500 objects each; 30,000 servers are the size to come.
MAX_PAGES = 200


class _Meta(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _Listing(msgspec.Struct):
    """Hold a page; as_of is the revision at which the list is true."""

    items: tuple[_Object, ...]
    more: bool
    as_of: int


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool


class _Events(msgspec.Struct):
    events: tuple[_Event, ...]
    as_of: int


class _NodeSpec(msgspec.Struct):
    host: str
    port: int


class StoreCalls:
    """Send the store's calls over kept connections."""

    def __init__(self, cfg: NodeSettings):
        address = cfg.store
        self._host = f'{address.host}:{address.port}'
        self._caller = HttpCaller(address.host, address.port, STORE_LIMITS)

    async def list(
        self, kind: str, timeout_s: float, may_be_old: bool = False
    ) -> tuple[Revision, list[StoredObject]]:
        """Return all objects of a kind; raise PlatformError."""
        objects: list[StoredObject] = []
        as_of: int | None = None
        after = ''
        passed: set[str] = set()
        for _ in range(MAX_PAGES):
            query: dict[str, object] = {'after': after} if after else {}
            if may_be_old:
                query['stale_ok'] = 1
            reply = await self._call('GET', kind, query, timeout_s)
            page = self._decode(reply, _Listing)
            # Pages may show different states; the earliest one's revision
            # is where a watch must go on so that nothing is missed.
            as_of = page.as_of if as_of is None else min(as_of, page.as_of)
            objects += [_stored(kind, item) for item in page.items]
            if not page.more or not page.items:
                return Revision(as_of or 0), objects
            after = page.items[-1].meta.name
            if after in passed:
                break
            passed.add(after)
        raise self._unreadable(f'pages of {kind} without end')

    async def watch(
        self, kind: str, since: Revision, wait_s: float, timeout_s: float
    ) -> tuple[Revision, list[StoredObject]]:
        """Return what changed since; raise CompactedError."""
        query = {'watch': since, 'wait_ms': int(wait_s * 1_000)}
        reply = await self._call('GET', kind, query, timeout_s)
        if reply.status == 410:
            raise CompactedError(
                f'changes of {kind} after {since} are gone; list them'
            )
        found = self._decode(reply, _Events)
        return Revision(found.as_of), [
            _stored(kind, event.object, event.deleted)
            for event in found.events
        ]

    async def register(self, cfg: NodeSettings) -> None:
        """Write where this node gossips; raise PlatformError."""
        spec = _NodeSpec(cfg.gossip.host, cfg.gossip.port)
        body = msgspec.json.encode({'meta': {'name': cfg.node}, 'spec': spec})
        reply = await self._call('POST', NODES_KIND, {}, TIMEOUT_S, body)
        if reply.status == 409:
            # An earlier process of this name is registered.
            path = f'{NODES_KIND}/{urllib.parse.quote(cfg.node, safe="")}'
            reply = await self._call('PUT', path, {}, TIMEOUT_S, body)
        if reply.status not in (200, 201):
            raise PlatformError(
                f'the store answered {reply.status} to a registration; '
                'it is sent again soon'
            )

    async def nodes(self) -> list[Endpoint]:
        """Return where nodes gossip; raise PlatformError."""
        reply = await self._call('GET', NODES_KIND, {'stale_ok': 1}, TIMEOUT_S)
        found = []
        for item in self._decode(reply, _Listing).items:
            try:
                spec = msgspec.json.decode(item.spec, type=_NodeSpec)
            except msgspec.DecodeError as exc:
                raise PlatformError(
                    f'the entry of node {item.meta.name} is unreadable '
                    f'({exc}); remove it from the store'
                ) from exc
            found.append(Endpoint(spec.host, spec.port))
        return found

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        timeout_s: float,
        body: bytes = b'',
    ) -> Reply:
        target = f'/v1/objects/{path}'
        if query:
            target += f'?{urllib.parse.urlencode(query)}'
        head = f'{method} {target} HTTP/1.1\r\nHost: {self._host}\r\n'
        if body:
            head += 'Content-Type: application/json\r\n'
            head += f'Content-Length: {len(body)}\r\n'
        data = f'{head}\r\n'.encode() + body
        reply = await self._caller.call(data, timeout_s)
        if reply.status == 429:
            raise PlatformThrottledError(
                'the store is over its rates', _retry_after_s(reply)
            )
        if reply.status >= 500:
            raise PlatformUnavailableError(
                f'the store answered {reply.status}; it is called again soon'
            )
        return reply

    def _decode(self, reply: Reply, kind):
        if reply.status != 200:
            raise PlatformError(
                f'the store answered {reply.status}; check its address'
            )
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except msgspec.DecodeError as exc:
            raise self._unreadable(f'what is not readable ({exc})') from exc

    def _unreadable(self, problem: str) -> PlatformUnavailableError:
        # It may be the late answer of another call, and so would all be that
        # come after it on this connection.
        self._caller.close()
        return PlatformUnavailableError(
            f'the store sent {problem}; it is called again soon'
        )


def _stored(kind: str, found: _Object, deleted: bool = False) -> StoredObject:
    return StoredObject(
        kind,
        found.meta.name,
        Revision(found.meta.revision),
        b'' if deleted else bytes(found.spec),
        deleted=deleted,
    )


def _retry_after_s(reply: Reply) -> float:
    for name, value in reply.headers:
        if name.lower() == b'retry-after':
            try:
                return float(value)
            except ValueError:
                break
    return 0.2
