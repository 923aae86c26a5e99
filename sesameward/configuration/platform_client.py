"""Call the platform within deadlines and a budget of calls."""

from __future__ import annotations

import asyncio
import collections.abc
import random
import time
import typing
import urllib.parse

import msgspec
import pycurl
from tornado import httpclient

from ..exceptions import BudgetSpentError
from ..exceptions import CompactedError
from ..exceptions import ConflictError
from ..exceptions import DeclarationError
from ..exceptions import NotFoundError
from ..exceptions import PlatformError
from ..exceptions import PlatformThrottledError
from ..exceptions import PlatformUnavailableError
from ..exceptions import UnsureWriteError
from ..http_client import CurlClient
from ..messages import Listing
from ..messages import StoredObject
from ..messages import Vm
from ..messages import Written
from ..metrics import Metrics
from ..rates import TokenBucket
from ..settings import PlatformSettings
from ..types import ChangeId
from ..types import Clock
from ..types import Revision

MAX_CLIENTS = 64
QUEUE_S = 0.25
SETTLE_BASE_S = 0.05
SETTLE_CAP_S = 0.5
SETTLE_TIMEOUTS = 2.0

Message = typing.TypeVar('Message')


class PlatformClient:
    """Read, write and watch objects; settle writes of unsure effect."""

    def __init__(
        self,
        cfg: PlatformSettings,
        metrics: Metrics,
        rng: random.Random,
        clock: Clock = time.monotonic,
    ):
        self._cfg = cfg
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._seen = Revision(0)
        self._budget = TokenBucket(cfg.calls_per_s, cfg.burst, clock())
        self._http = CurlClient(force_instance=True, max_clients=MAX_CLIENTS)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def get(self, kind: str, name: str) -> StoredObject:
        """Read one object; raise NotFoundError."""
        resp = await self._call('GET', _path(kind, name))
        if resp.code == 404:
            raise NotFoundError(
                f'{kind} {name} does not exist; list the {kind} objects'
            )
        return self._decode(resp, StoredObject)

    async def list(self, kind: str) -> tuple[Revision, list[StoredObject]]:
        """Read all objects of a kind and the revision which they show."""
        resp = await self._call('GET', _path(kind))
        listing = self._decode(resp, Listing)
        return listing.revision, list(listing.objects)

    async def put(
        self,
        kind: str,
        name: str,
        value: bytes,
        expected: Revision | None,
        change: ChangeId,
        timeout_s: float | None = None,
    ) -> Revision:
        """Write where the revision is expected; None must not exist."""
        headers = _conditions(expected, change)
        write = _Write('PUT', kind, name, headers, value, expected, change)
        return await self._write(write, timeout_s)

    async def delete(
        self,
        kind: str,
        name: str,
        expected: Revision,
        change: ChangeId,
        timeout_s: float | None = None,
    ) -> Revision:
        """Delete the object where its revision is the expected one."""
        headers = _conditions(expected, change)
        write = _Write('DELETE', kind, name, headers, None, expected, change)
        return await self._write(write, timeout_s)

    async def watch(
        self,
        kinds: collections.abc.Iterable[str],
        since: Revision,
        wait_s: float,
    ) -> tuple[Revision, list[StoredObject]]:
        """Wait for events after a revision; raise CompactedError."""
        query = urllib.parse.urlencode(
            {'kinds': ','.join(kinds), 'since': since, 'wait_s': wait_s}
        )
        resp = await self._call(
            'GET', f'/v1/watch?{query}', timeout_s=wait_s + self._cfg.timeout_s
        )
        if resp.code == 410:
            self._metrics.count('platform_errors', 'compacted')
            raise CompactedError(
                f'events after revision {since} are gone; list the objects'
            )
        listing = self._decode(resp, Listing)
        return listing.revision, list(listing.objects)

    async def vms(self) -> tuple[Vm, ...]:
        """Read the VM list, which can lag."""
        resp = await self._call('GET', '/v1/vms')
        return self._decode(resp, tuple[Vm, ...])

    async def _write(self, write: _Write, timeout_s: float | None) -> Revision:
        if timeout_s is None:
            timeout_s = self._cfg.timeout_s * SETTLE_TIMEOUTS
        deadline = self._clock() + timeout_s
        since = Revision(max(write.expected or 0, self._seen))
        unsure = False
        pause_s = SETTLE_BASE_S
        while True:
            try:
                return await self._attempt(write, deadline, since)
            except BudgetSpentError:
                if not unsure:
                    raise
            except PlatformThrottledError:
                if not unsure and await self._left_no_trace(write, since):
                    raise
                unsure = True
            except PlatformUnavailableError:
                unsure = True
            self._metrics.count('platform_retries', 'unsure_write')
            await asyncio.sleep(self._rng.uniform(0.0, pause_s))
            pause_s = min(pause_s * 2.0, SETTLE_CAP_S)
            if self._clock() >= deadline:
                self._metrics.count('platform_errors', 'unsure_write')
                raise UnsureWriteError(
                    f'{write.kind} {write.name} may or may not have been '
                    f'changed by change {write.change}; read it again'
                )

    async def _attempt(
        self, write: _Write, deadline: float, since: Revision
    ) -> Revision:
        rest_s = max(0.001, deadline - self._clock())
        resp = await self._call(
            write.method,
            _path(write.kind, write.name),
            headers=write.headers,
            body=write.value,
            timeout_s=min(rest_s, self._cfg.timeout_s),
        )
        if resp.code == 413:
            self._metrics.count('platform_errors', 'too_large')
            raise DeclarationError(
                'size', 'the platform refused the value', 'divide the object'
            )
        written = self._decode(resp, Written, accept=(200, 404, 412))
        if resp.code == 200:
            return written.revision
        return await self._lost(write, written, since)

    async def _lost(
        self, write: _Write, current: Written, since: Revision
    ) -> Revision:
        # libcurl sends a request again by itself where a kept connection
        # proves dead, so even a first attempt can meet its own effect.
        if current.change == write.change:
            self._metrics.count('platform_retries', 'settled')
            return current.revision
        revision = await self._find_in_events(write, since)
        if revision is not None:
            self._metrics.count('platform_retries', 'settled_overwritten')
            return revision
        self._metrics.count('platform_errors', 'conflict')
        raise ConflictError(
            f'{write.kind} {write.name}', current.revision, current.change
        )

    async def _left_no_trace(self, write: _Write, since: Revision) -> bool:
        # What was refused can be libcurl's own repetition of a write that had
        # taken effect.
        try:
            stored = await self.get(write.kind, write.name)
        except NotFoundError:
            return write.method == 'PUT'
        except PlatformError:
            return False
        if stored.revision <= since:
            return True
        if stored.change == write.change:
            return False
        try:
            return await self._find_in_events(write, since) is None
        except PlatformError:
            return False

    async def _find_in_events(
        self, write: _Write, since: Revision
    ) -> Revision | None:
        if since == 0:
            return None
        try:
            _, events = await self.watch([write.kind], since, 0.0)
        except CompactedError:
            return None
        for event in events:
            if event.name == write.name and event.change == write.change:
                return event.revision
        return None

    async def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float | None = None,
    ) -> httpclient.HTTPResponse:
        wait_s = self._budget.take(self._clock())
        if wait_s > 0.0:
            self._metrics.count('platform_errors', 'local_budget')
            raise BudgetSpentError(
                'this process spent its budget of platform calls', wait_s
            )
        timeout_s = timeout_s or self._cfg.timeout_s
        self._metrics.count('platform_calls', method)
        req = httpclient.HTTPRequest(
            self._cfg.url.rstrip('/') + path,
            method=method,
            headers=headers or {},
            body=body,
            connect_timeout=min(timeout_s, self._cfg.timeout_s),
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
            prepare_curl_callback=_prepare,
        )
        try:
            # The transfer's own timeout leaves out the wait for a handle.
            async with asyncio.timeout(timeout_s + QUEUE_S):
                resp = await self._http.fetch(req, raise_error=False)
        except (httpclient.HTTPError, OSError) as exc:
            raise self._unavailable('unreachable', str(exc)) from exc
        if resp.code == 429:
            self._metrics.count('platform_errors', 'throttled')
            raise PlatformThrottledError(
                'the platform is over its rates', _retry_after_s(resp)
            )
        if resp.code >= 500:
            raise self._unavailable('failing', f'HTTP {resp.code}')
        return resp

    def _unavailable(
        self, reason: str, problem: str
    ) -> PlatformUnavailableError:
        self._metrics.count('platform_errors', reason)
        return PlatformUnavailableError(
            f'the platform at {self._cfg.url} is {reason} ({problem}); '
            'try again later'
        )

    def _decode(
        self,
        resp: httpclient.HTTPResponse,
        kind: type[Message],
        accept: tuple[int, ...] = (200,),
    ) -> Message:
        if resp.code not in accept:
            self._metrics.count('platform_errors', 'unexpected')
            raise PlatformError(
                f'the platform answered {resp.code}; check its address'
            )
        try:
            message = msgspec.json.decode(resp.body, type=kind)
        except msgspec.DecodeError as exc:
            self._metrics.count('platform_errors', 'undecodable')
            raise PlatformUnavailableError(
                f'the platform answered nonsense ({exc}); check its address'
            ) from exc
        self._seen = max(self._seen, getattr(message, 'revision', 0))
        return message


class _Write(msgspec.Struct, frozen=True):
    """Hold one conditional write."""

    method: str
    kind: str
    name: str
    headers: dict[str, str]
    value: bytes | None
    expected: Revision | None
    change: ChangeId


def _conditions(expected: Revision | None, change: ChangeId) -> dict[str, str]:
    if expected is None:
        return {'If-None-Match': '*', 'X-Change-Id': change}
    return {'If-Match': str(expected), 'X-Change-Id': change}


def _path(*names: str) -> str:
    quoted = [urllib.parse.quote(name, safe='') for name in names]
    return '/'.join(['/v1/objects', *quoted])


def _prepare(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.NOSIGNAL, 1)


def _retry_after_s(resp: httpclient.HTTPResponse) -> float:
    try:
        return float(resp.headers.get('Retry-After', '1'))
    except ValueError:
        return 1.0
