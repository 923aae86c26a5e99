"""Translate between the platform's HTTP messages and sesameward's types."""

from __future__ import annotations

import math
import re
import urllib.parse

import msgspec

from ..messages import LoadReport
from ..serving.directory import Addresses
from ..serving.http_server import Answer
from ..serving.http_server import Request
from ..serving.routes import OrganisationName
from ..serving.target_connection import Headers
from ..serving.target_connection import Reply
from ..serving.wire import ReplyHeaders
from ..serving.wire import RequestHeaders
from ..types import RequestId
from ..types import TargetId
from ..types import ZoneName

REQUEST_ID_HEADER = b'sesameward-request-id'
DEADLINE_HEADER = b'sesameward-deadline-ms'
EXPECT_TARGET_HEADER = b'sesameward-expect-instance'
API_KEY_HEADER = b'x-api-key'
ORGANISATION_HEADER = b'sesameward-tenant'
PART_SIGNATURES_HEADER = b'Sesameward-Part-Stamps'
MISSING_PARTS_HEADER = b'Sesameward-Missing-Parts'

RESOLVE_PATH = '/v1/resolve'
READY_PATH = '/v1/readyz'

_HOP_BY_HOP_HEADERS = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    }
)
# This node sets these headers on each sub-request itself. The values that a
# caller sent are not passed on to targets.
_REPLACED_HEADERS = frozenset({DEADLINE_HEADER, EXPECT_TARGET_HEADER})
# If the configuration lists organisations, a key is not passed on, and only
# this node names the organisation of a request.
_REPLACED_HEADERS_WITH_KEYS = _REPLACED_HEADERS | {
    API_KEY_HEADER,
    ORGANISATION_HEADER,
}

# Highest accepted pace in percent. A target at a hundredth of its speed is
# chosen only if no other is left, so greater values tell nothing more.
MAX_PACE = 10_000

# The format is "running requests,waiting requests,slots" and, where servers
# share machines, ",pace". Longer numbers are not meant as such, and the
# conversion of very long ones fails.
_LOAD_FIGURES = re.compile(
    rb'\s*(\d{1,18})\s*,\s*(\d{1,18})\s*,\s*\d{1,18}\s*'
    rb'(?:,\s*(\d{1,18})\s*)?'
)

# Longest time for which an answer can make its target cold. With a wrong
# number a target would otherwise stay limited for good.
MAX_WARMUP_S = 3_600.0
# There is one way only to match a run of digits: with \d+\.?\d* a value of
# 31,000 digits and one other byte took 33 s.
_DECIMAL_NUMBER = re.compile(rb'(\d+(\.\d*)?|\.\d+)([eE][+-]?\d+)?')


class PlatformWire:
    """Convert HTTP headers between callers, this node and targets.

    A request comes from a caller. A target replies to sub-requests, and the
    node answers the caller.
    """

    def read_request(
        self, req: Request, with_keys: bool = False
    ) -> RequestHeaders | None:
        """Return a request's id, deadline and the head to send to targets.

        Return None if the request has no request id. If with_keys is True, its
        keys are returned as well, and are not in the head.
        """
        replaced = (
            _REPLACED_HEADERS_WITH_KEYS if with_keys else _REPLACED_HEADERS
        )
        api_keys = []
        request_id = None
        deadline_s = None
        dropped = _connection_options(req.headers)
        lines = [b'%s %s HTTP/1.1\r\n' % (req.method, req.target)]
        for name, value in req.headers:
            lower = name.lower()
            if lower == DEADLINE_HEADER:
                deadline_s = _parse_deadline_s(value)
            if with_keys and lower == API_KEY_HEADER:
                api_keys.append(value.strip())
            if (
                lower in _HOP_BY_HOP_HEADERS
                or lower in replaced
                or lower in dropped
            ):
                continue
            if lower == REQUEST_ID_HEADER:
                request_id = value
            lines.append(b'%s: %s\r\n' % (name, value))
        if not request_id:
            return None
        if req.body or req.method in (b'POST', b'PUT', b'PATCH'):
            lines.append(b'Content-Length: %d\r\n' % len(req.body))
        return RequestHeaders(
            RequestId(request_id.decode('latin-1')),
            deadline_s,
            b''.join(lines),
            tuple(api_keys),
        )

    def add_organisation(
        self, asked: RequestHeaders, organisation: OrganisationName
    ) -> None:
        """Add the header that names the caller's organisation to targets."""
        asked.head += b'Sesameward-Tenant: %s\r\n' % organisation.encode()

    def sub_request(
        self, head: bytes, body: bytes, target_id: TargetId, left_s: float
    ) -> bytes:
        """Return the bytes of a sub-request to one target.

        left_s is the time until the deadline of the request.
        """
        return (
            b'%sSesameward-Deadline-Ms: %d\r\n'
            b'Sesameward-Expect-Instance: %s\r\n\r\n%s'
            % (
                head,
                max(1, int(left_s * 1_000)),
                target_id.encode(),
                body,
            )
        )

    def read_reply(self, reply: Reply) -> ReplyHeaders:
        """Extract what this node uses from a reply's status and headers."""
        info = ReplyHeaders()
        for name, value in reply.headers:
            match name.lower():
                case b'sesameward-request-id':
                    info.request_id = RequestId(value.decode('latin-1'))
                case b'sesameward-server-stamp':
                    # The target's signature of the reply. It is passed on,
                    # because it proves the content to the caller.
                    info.signature = value
                case b'sesameward-not-executed':
                    info.not_run = True
                case b'sesameward-server-load':
                    info.load = _parse_load(value)
                case b'server-leaving' | b'sesameward-server-leaving':
                    info.leaving = value.strip() not in (b'', b'0')
                case b'server-limit' | b'sesameward-server-limit':
                    _add_limits(info, value)
                case b'sesameward-warmup-ms':
                    _add_warmup(info, value)
                case b'content-encoding':
                    info.is_encoded = value.lower() != b'identity'
                case b'retry-after':
                    info.retry_after_s = _parse_positive(value)
        if reply.status == 421:
            # The reply comes from another target than the intended one, and
            # the request did not run. A leaving header and a limit are
            # ignored, because they are about that other target.
            info.not_run = True
            info.leaving = False
            info.limit_per_s = None
            info.warmup_s = None
        if reply.status not in (429, 503):
            info.retry_after_s = 0.0
        return info

    def reply_answer(self, reply: Reply) -> Answer:
        """Return a target's reply as the answer to the caller.

        Only hop-by-hop headers are removed.
        """
        dropped = _connection_options(reply.headers)
        headers = [
            (name, value)
            for name, value in reply.headers
            if name.lower() not in _HOP_BY_HOP_HEADERS
            and name.lower() not in dropped
        ]
        return Answer(reply.status, headers, reply.body, reply.reason)

    def merged_answer(
        self, signatures: list[bytes], missing: int, body: bytes
    ) -> Answer:
        """Return the merged results of several shards for the caller.

        signatures holds the signature header of each merged reply, the
        target's proof of its content. missing is the number of shards without
        a result.
        """
        headers = [(PART_SIGNATURES_HEADER, b', '.join(signatures))]
        if missing:
            headers.append((MISSING_PARTS_HEADER, b'%d' % missing))
        return Answer(200, headers, body)


class PlatformEndpointAdapter:
    """Recognize requests for node addresses or for this node's readiness.

    Such requests are answered by this node and not sent to targets.
    """

    def is_resolve(self, req: Request) -> bool:
        """Return whether a request asks for addresses of nodes."""
        return req.path == RESOLVE_PATH

    def is_readiness(self, req: Request) -> bool:
        """Return whether a request asks if this node is ready."""
        return req.path == READY_PATH

    def caller_zone(self, req: Request) -> ZoneName:
        """Return the zone in a request's query string, or an empty name."""
        query = urllib.parse.parse_qs(req.query.decode('latin-1'))
        return ZoneName(query.get('zone', [''])[0])

    def addresses_answer(self, addresses: Addresses) -> Answer:
        """Return the answer with node addresses and their validity time."""
        body = msgspec.json.encode(
            {'addrs': addresses.addresses, 'ttl_s': addresses.ttl_s}
        )
        return Answer(200, [(b'Content-Type', b'application/json')], body)


def _connection_options(headers: Headers) -> set[bytes]:
    """Return the lower-case header names listed in Connection headers."""
    options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b'connection':
            options.update(part.strip().lower() for part in value.split(b','))
    return options


def _parse_deadline_s(value: bytes) -> float | None:
    """Convert positive milliseconds to seconds; None for other values."""
    number = _parse_positive(value)
    return number / 1_000 if number > 0.0 else None


def _add_warmup(info: ReplyHeaders, value: bytes) -> None:
    """Add the time of a header; of several, the longest holds."""
    if _DECIMAL_NUMBER.fullmatch(value.strip()) is not None:
        warmup_s = min(float(value) / 1_000, MAX_WARMUP_S)
        info.warmup_s = max(warmup_s, info.warmup_s or 0.0)


def _parse_positive(value: bytes) -> float:
    """Return a positive finite number, or 0 for any other value."""
    try:
        number = float(value)
    except ValueError:
        return 0.0
    return number if 0.0 < number < math.inf else 0.0


def _add_limits(info: ReplyHeaders, value: bytes) -> None:
    """Add the limits of a header; of several limits, the smallest holds."""
    for text in value.split(b','):
        is_number = _DECIMAL_NUMBER.fullmatch(text.strip()) is not None
        number = float(text) if is_number else math.inf
        if number == math.inf:
            info.invalid_limits += 1
        elif info.limit_per_s is None or number < info.limit_per_s:
            info.limit_per_s = number


def _parse_load(value: bytes) -> LoadReport | None:
    match = _LOAD_FIGURES.fullmatch(value)
    if match is None:
        return None
    running, waiting, pace = match.groups()
    if pace is None:
        return LoadReport(in_flight=int(running), queued=int(waiting))
    return LoadReport(
        in_flight=int(running),
        queued=int(waiting),
        pace=min(int(pace), MAX_PACE),
    )
