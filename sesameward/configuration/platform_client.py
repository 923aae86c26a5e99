"""Call the platform's API with timeouts and a limited rate of calls."""

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

MAX_CONCURRENT_CALLS = 64
# Time added to a call's timeout for the wait until one of the libcurl handles
# (MAX_CONCURRENT_CALLS) is free.
QUEUE_TIMEOUT_S = 0.25
# Before a write is sent again, there is a random pause. Its upper limit starts
# at the base and doubles with each attempt up to the cap.
WRITE_RETRY_BASE_S = 0.05
WRITE_RETRY_CAP_S = 0.5
# Default time limit for all attempts of a write together, as a multiple of the
# timeout of one call (PlatformSettings.timeout_s).
WRITE_TIMEOUT_FACTOR = 2.0

Message = typing.TypeVar('Message')


class PlatformClient:
    """Read, write and watch objects in the platform's store.

    A write without a reply may or may not have taken effect. It is sent again
    with the same change id until a reply or the store's events show whether
    it took effect, or until the time limit of the write is reached.
    """

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
        self._newest_revision = Revision(0)
        self._budget = TokenBucket(cfg.calls_per_s, cfg.burst, clock())
        self._http = CurlClient(
            force_instance=True, max_clients=MAX_CONCURRENT_CALLS
        )

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def get(self, kind: str, name: str) -> StoredObject:
        """Read one object; raise NotFoundError if it does not exist."""
        resp = await self._call('GET', _object_path(kind, name))
        if resp.code == 404:
            raise NotFoundError(
                f'{kind} {name} does not exist; list the {kind} objects'
            )
        return self._decode(resp, StoredObject)

    async def list(self, kind: str) -> tuple[Revision, list[StoredObject]]:
        """Return all objects of a kind.

        The first value is the revision of the store at which they were read.
        """
        resp = await self._call('GET', _object_path(kind))
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
        """Write an object if its revision is still the expected one.

        An expected revision of None means that the object must not exist yet.
        change identifies the write and must be unique. timeout_s covers all
        attempts. Return the new revision. Raise ConflictError if the object
        has another revision, and UnsureWriteError if it stays unknown whether
        the write took effect.
        """
        headers = _condition_headers(expected, change)
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
        """Delete an object if its revision is still the expected one.

        The parameters, the result and the errors are as for put.
        """
        headers = _condition_headers(expected, change)
        write = _Write('DELETE', kind, name, headers, None, expected, change)
        return await self._write(write, timeout_s)

    async def watch(
        self,
        kinds: collections.abc.Iterable[str],
        since: Revision,
        wait_s: float,
    ) -> tuple[Revision, list[StoredObject]]:
        """Wait up to wait_s for changes of some kinds after a revision.

        Return the revision up to which the changes are complete, and the
        objects that were changed or deleted. Raise CompactedError if the
        platform no longer keeps all changes after the revision.
        """
        query = urllib.parse.urlencode(
            {'kinds': ','.join(kinds), 'since': since, 'wait_s': wait_s}
        )
        resp = await self._call(
            'GET', f'/v1/watch?{query}', timeout_s=wait_s + self._cfg.timeout_s
        )
        if resp.code == 410:
            self._metrics.count('platform_errors', 'compacted')
            raise CompactedError(
                'the platform no longer keeps the events after revision '
                f'{since}; list the objects'
            )
        listing = self._decode(resp, Listing)
        return listing.revision, list(listing.objects)

    async def vms(self) -> tuple[Vm, ...]:
        """Read the platform's VM list, which can be out of date."""
        resp = await self._call('GET', '/v1/vms')
        return self._decode(resp, tuple[Vm, ...])

    async def _write(self, write: _Write, timeout_s: float | None) -> Revision:
        if timeout_s is None:
            timeout_s = self._cfg.timeout_s * WRITE_TIMEOUT_FACTOR
        deadline = self._clock() + timeout_s
        since = Revision(max(write.expected or 0, self._newest_revision))
        may_be_applied = False
        pause_s = WRITE_RETRY_BASE_S
        while True:
            try:
                return await self._attempt(write, deadline, since)
            except BudgetSpentError:
                if not may_be_applied:
                    raise
            except PlatformThrottledError:
                if not may_be_applied and await self._had_no_effect(
                    write, since
                ):
                    raise
                may_be_applied = True
            except PlatformUnavailableError:
                may_be_applied = True
            self._metrics.count('platform_retries', 'unsure_write')
            await asyncio.sleep(self._rng.uniform(0.0, pause_s))
            pause_s = min(pause_s * 2.0, WRITE_RETRY_CAP_S)
            if self._clock() >= deadline:
                self._metrics.count('platform_errors', 'unsure_write')
                raise UnsureWriteError(
                    f'{write.kind} {write.name} may or may not have been '
                    f'changed by change {write.change}; read it to find out'
                )

    async def _attempt(
        self, write: _Write, deadline: float, since: Revision
    ) -> Revision:
        remaining_s = max(0.001, deadline - self._clock())
        resp = await self._call(
            write.method,
            _object_path(write.kind, write.name),
            headers=write.headers,
            body=write.value,
            timeout_s=min(remaining_s, self._cfg.timeout_s),
        )
        if resp.code == 413:
            self._metrics.count('platform_errors', 'too_large')
            raise DeclarationError(
                'size',
                'the platform refused the value as too large',
                'divide the object',
            )
        written = self._decode(resp, Written, accept=(200, 404, 412))
        if resp.code == 200:
            return written.revision
        return await self._resolve_conflict(write, written, since)

    async def _resolve_conflict(
        self, write: _Write, current: Written, since: Revision
    ) -> Revision:
        # libcurl itself sends a request again if a reused connection turns
        # out to be closed. If the first request took effect, the second one
        # gets a conflict with the revision that the first one wrote.
        if current.change == write.change:
            self._metrics.count('platform_retries', 'settled')
            return current.revision
        revision = await self._find_change_in_events(write, since)
        if revision is not None:
            self._metrics.count('platform_retries', 'settled_overwritten')
            return revision
        self._metrics.count('platform_errors', 'conflict')
        raise ConflictError(
            f'{write.kind} {write.name}', current.revision, current.change
        )

    async def _had_no_effect(self, write: _Write, since: Revision) -> bool:
        # The throttled request may be a repetition that libcurl sent by
        # itself after the write had already taken effect. The stored object
        # and the store's events show whether it had.
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
            return await self._find_change_in_events(write, since) is None
        except PlatformError:
            return False

    async def _find_change_in_events(
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
                'this process reached its own rate limit of platform calls',
                wait_s,
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
            prepare_curl_callback=_disable_signals,
        )
        try:
            # request_timeout starts when a libcurl handle is free. This
            # timeout also limits the wait for the handle.
            async with asyncio.timeout(timeout_s + QUEUE_TIMEOUT_S):
                resp = await self._http.fetch(req, raise_error=False)
        except (httpclient.HTTPError, OSError) as exc:
            raise self._unavailable('unreachable', str(exc)) from exc
        if resp.code == 429:
            self._metrics.count('platform_errors', 'throttled')
            raise PlatformThrottledError(
                'the platform throttled the call', _retry_after_s(resp)
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
        message_type: type[Message],
        accept: tuple[int, ...] = (200,),
    ) -> Message:
        if resp.code not in accept:
            self._metrics.count('platform_errors', 'unexpected')
            raise PlatformError(
                'the platform answered with the unexpected HTTP status '
                f'{resp.code}; check the configured URL'
            )
        try:
            message = msgspec.json.decode(resp.body, type=message_type)
        except msgspec.DecodeError as exc:
            self._metrics.count('platform_errors', 'undecodable')
            raise PlatformUnavailableError(
                f'the reply of the platform cannot be decoded ({exc}); '
                'check the configured URL'
            ) from exc
        self._newest_revision = max(
            self._newest_revision, getattr(message, 'revision', 0)
        )
        return message


class _Write(msgspec.Struct, frozen=True):
    """Hold one conditional write, as it is sent in each attempt."""

    method: str
    kind: str
    name: str
    headers: dict[str, str]
    value: bytes | None
    expected: Revision | None
    change: ChangeId


def _condition_headers(
    expected: Revision | None, change: ChangeId
) -> dict[str, str]:
    if expected is None:
        return {'If-None-Match': '*', 'X-Change-Id': change}
    return {'If-Match': str(expected), 'X-Change-Id': change}


def _object_path(*names: str) -> str:
    quoted = [urllib.parse.quote(name, safe='') for name in names]
    return '/'.join(['/v1/objects', *quoted])


def _disable_signals(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.NOSIGNAL, 1)


def _retry_after_s(resp: httpclient.HTTPResponse) -> float:
    try:
        return float(resp.headers.get('Retry-After', '1'))
    except ValueError:
        return 1.0
