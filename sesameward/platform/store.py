"""Call the HTTP API of the platform's store."""

from __future__ import annotations

import typing
import urllib.parse

import msgspec

from .. import logs
from . import addresses
from ..exceptions import CompactedError
from ..exceptions import PlatformError
from ..exceptions import PlatformThrottledError
from ..exceptions import PlatformUnavailableError
from ..messages import StoredObject
from ..serving.byte_limits import STORE_LIMITS
from ..serving.epochs import Position
from ..serving.http_caller import HttpCaller
from ..serving.settings import NodeSettings
from ..serving.target_connection import Reply
from ..settings import Endpoint
from . import store_replies
from ..types import Revision
from ..types import StoreEpoch

NODES_KIND = 'sesameward-nodes'
NODES_CALL_TIMEOUT_S = 1.0
EPOCH_HEADERS = (b'store-era', b'sesameward-store-era')
# Longer numbers would not fit into the messages between nodes.
MAX_EPOCH_DIGITS = 18
# Limits the pages of one list, because a faulty store may never send the last
# page. A list with more pages fails; the list of a deployment with 30,000
# targets takes 60 pages.
MAX_LIST_PAGES = 200

# Pause after a refused call without a valid Retry-After, and the longest pause
# that the store can ask for: with a wrong number a node would never read the
# store again.
DEFAULT_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 30.0

T = typing.TypeVar('T')


class _NodeSpec(msgspec.Struct):
    host: str
    port: int


class StoreSettings(typing.Protocol):
    """Name the store to call."""

    store: Endpoint


class StoreCalls:
    """Call the store's HTTP API, and keep connections open between calls."""

    def __init__(self, cfg: StoreSettings):
        address = cfg.store
        self._host = f'{address.host}:{address.port}'
        self._caller = HttpCaller(address.host, address.port, STORE_LIMITS)

    async def list(
        self, kind: str, timeout_s: float, allow_stale: bool = False
    ) -> tuple[Position, list[StoredObject]]:
        """Return a position to watch from and all objects of a kind.

        allow_stale lets the store answer from a replica that may lag behind.
        Raise PlatformError if the store does not return the whole list.
        """
        objects: list[StoredObject] = []
        first: Position | None = None
        after = ''
        seen_cursors: set[str] = set()
        for _ in range(MAX_LIST_PAGES):
            query: dict[str, object] = {'after': after} if after else {}
            if allow_stale:
                query['stale_ok'] = 1
            reply = await self._call('GET', kind, query, timeout_s)
            page = self._decode(reply, store_replies.decode_listing)
            position = _position(reply, page.as_of)
            if first is None:
                first = position
            if position.epoch != first.epoch:
                raise self._reject_reply(f'pages of {kind} of two epochs')
            # Pages may be of different revisions. A watch has to continue
            # from the lowest one, so that no change is missed.
            first = min(first, position, key=lambda one: one.revision)
            objects += [_to_stored_object(kind, item) for item in page.items]
            if not page.more:
                return first, objects
            if not page.items:
                if page.unnamed:
                    raise self._reject_reply(f'only unnamed {kind} in a page')
                return first, objects
            after = page.items[-1].meta.name
            if after in seen_cursors:
                break
            seen_cursors.add(after)
        raise self._reject_reply(f'repeated or too many pages of {kind}')

    async def watch(
        self, kind: str, since: Revision, wait_s: float, timeout_s: float
    ) -> tuple[Position, list[StoredObject]]:
        """Return the newest position and the objects changed after since.

        since is a revision. If nothing changes, the store replies after at
        most wait_s. Raise CompactedError if the store no longer keeps the
        changes after since, and PlatformError if the call fails.
        """
        query = {'watch': since, 'wait_ms': int(wait_s * 1_000)}
        reply = await self._call('GET', kind, query, timeout_s)
        if reply.status == 410:
            raise CompactedError(
                f'the store no longer keeps the changes of {kind} after '
                f'revision {since}; list the objects again'
            )
        changes = self._decode(reply, store_replies.decode_events)
        return _position(reply, changes.as_of), [
            _to_stored_object(kind, event.object, event.deleted)
            for event in changes.events
        ]

    async def register(self, cfg: NodeSettings) -> bool:
        """Write this node's gossip address to the store.

        Return True if the node was registered before. Raise PlatformError if
        the store does not accept the registration.
        """
        spec = _NodeSpec(cfg.gossip.host, cfg.gossip.port)
        body = msgspec.json.encode({'meta': {'name': cfg.node}, 'spec': spec})
        reply = await self._call(
            'POST', NODES_KIND, {}, NODES_CALL_TIMEOUT_S, body
        )
        was_registered = reply.status == 409
        if was_registered:
            # An earlier process with this node name is still registered, so
            # its registration is replaced.
            path = f'{NODES_KIND}/{urllib.parse.quote(cfg.node, safe="")}'
            reply = await self._call(
                'PUT', path, {}, NODES_CALL_TIMEOUT_S, body
            )
        if reply.status not in (200, 201):
            raise PlatformError(
                f'the store replied with status {reply.status} to the '
                'registration of this node; the registration will be retried'
            )
        return was_registered

    async def nodes(self) -> list[Endpoint]:
        """Return the gossip addresses of the registered nodes.

        Registrations that are not valid are left out. Raise PlatformError if
        the call fails.
        """
        _, objects = await self.list(NODES_KIND, NODES_CALL_TIMEOUT_S, True)
        endpoints = []
        for stored in objects:
            try:
                endpoints.append(_node_address(stored.value))
            except (ValueError, RecursionError) as exc:
                logs.log_event(
                    'node_registration_skipped',
                    name=stored.name,
                    revision=stored.revision,
                    error=str(exc),
                )
        return endpoints

    def close(self) -> None:
        """Close idle connections."""
        self._caller.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        timeout_s: float,
        body: bytes = b'',
    ) -> Reply:
        request_target = f'/v1/objects/{path}'
        if query:
            request_target += f'?{urllib.parse.urlencode(query)}'
        head = f'{method} {request_target} HTTP/1.1\r\nHost: {self._host}\r\n'
        if body:
            head += 'Content-Type: application/json\r\n'
            head += f'Content-Length: {len(body)}\r\n'
        request = f'{head}\r\n'.encode() + body
        reply = await self._caller.call(request, timeout_s)
        if reply.status == 429:
            raise PlatformThrottledError(
                'the store refused a call because its rate limit is exceeded',
                _retry_after_s(reply),
            )
        if reply.status >= 500:
            raise PlatformUnavailableError(
                f'the store replied with status {reply.status}; '
                'the call will be retried'
            )
        return reply

    def _decode(self, reply: Reply, decode: typing.Callable[[bytes], T]) -> T:
        if reply.status != 200:
            raise PlatformError(
                f'the store replied with status {reply.status}, not 200; '
                "check the store's address in the settings"
            )
        try:
            return decode(reply.body)
        except msgspec.DecodeError as exc:
            raise self._reject_reply(
                f'a reply that cannot be decoded ({exc})'
            ) from exc

    def _reject_reply(self, problem: str) -> PlatformUnavailableError:
        # This may be the late reply to an earlier call. Each later call on the
        # connection would then get the reply to the call before it, so the
        # connection is closed.
        self._caller.close()
        return PlatformUnavailableError(
            f'the store sent {problem}; the call will be retried'
        )


def _node_address(value: bytes) -> Endpoint:
    spec = msgspec.json.decode(value, type=_NodeSpec)
    return addresses.parse(f'{spec.host}:{spec.port}')


def _to_stored_object(
    kind: str, item: store_replies.Object, deleted: bool = False
) -> StoredObject:
    return StoredObject(
        kind,
        item.meta.name,
        Revision(item.meta.revision),
        b'' if deleted else bytes(item.spec),
        deleted=deleted,
    )


def _position(reply: Reply, as_of: int) -> Position:
    for name, value in reply.headers:
        if name.lower() in EPOCH_HEADERS:
            if value.isdigit() and len(value) <= MAX_EPOCH_DIGITS:
                return Position(Revision(as_of), StoreEpoch(int(value)))
            return Position(Revision(as_of), is_epoch_valid=False)
    return Position(Revision(as_of))


def _retry_after_s(reply: Reply) -> float:
    """Return the seconds in Retry-After, at most MAX_RETRY_AFTER_S.

    Return DEFAULT_RETRY_AFTER_S if there is no valid value.
    """
    for name, value in reply.headers:
        if name.lower() == b'retry-after':
            try:
                retry_after_s = float(value)
            except ValueError:
                break
            if retry_after_s >= 0.0:
                return min(retry_after_s, MAX_RETRY_AFTER_S)
            break
    return DEFAULT_RETRY_AFTER_S
