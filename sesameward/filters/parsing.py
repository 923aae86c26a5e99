"""Check what the caller sent and decode it."""

from __future__ import annotations

import re
import typing

import msgspec

from ..configuration.declared import Service
from ..controllers.catalog import Catalog
from ..exceptions import RefusalError
from ..messages import BookingBody
from ..messages import QueryBody
from ..types import BookingKey
from ..types import Priority
from ..types import RecordVersion
from ..types import RefusalKind
from .chain import Proceed
from .exchange import Exchange

DEADLINE_HEADER = 'Sesameward-Deadline-Ms'
PRIORITY_HEADER = 'Sesameward-Priority'
ATTEMPT_HEADER = 'Sesameward-Attempt'
KEY_HEADER = 'Idempotency-Key'
# Without a number it is not certain that no earlier attempt ran.
UNNUMBERED_ATTEMPT = 0
_MAX_ATTEMPT = 1_000_000
_KEY = re.compile(r'[A-Za-z0-9._:-]{8,128}')
# Leaves time to write the coverage before the caller stops to wait.
MARGIN_PART = 0.03
MIN_MARGIN_S = 0.005
MAX_MARGIN_S = 0.025

Body = typing.TypeVar('Body', QueryBody, BookingBody)


class ParseQuery:
    """Decode a query."""

    def __init__(self, catalog: Catalog):
        self._catalog = catalog

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> None:
        """Fill in the service, the query and the deadline."""
        service = _parse_head(exchange, self._catalog)
        query = _decode(exchange.body, QueryBody)
        exchange.query = query
        exchange.versions = _versions(query, service)
        await proceed(exchange)


class ParseBooking:
    """Decode a booking."""

    def __init__(self, catalog: Catalog):
        self._catalog = catalog

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> None:
        """Fill in the service, the booking and its key."""
        service = _parse_head(exchange, self._catalog)
        if not service.bookings:
            raise RefusalError(
                RefusalKind.BAD_REQUEST,
                f'{service.name} takes no bookings',
                'send it to a service declared with bookings',
            )
        exchange.booking = _decode(exchange.body, BookingBody)
        exchange.key = _key(exchange.headers.get(KEY_HEADER))
        exchange.attempt = _attempt(exchange.headers)
        await proceed(exchange)


def _parse_head(exchange: Exchange, catalog: Catalog) -> Service:
    service = catalog.services.get(exchange.service_name)
    if service is None:
        raise RefusalError(
            RefusalKind.UNKNOWN_SERVICE,
            f'no service is named {exchange.service_name!r}',
            'use a declared service',
        )
    exchange.service = service
    exchange.priority = _priority(
        exchange.headers.get(PRIORITY_HEADER), service
    )
    deadline_ms = _deadline_ms(exchange.headers.get(DEADLINE_HEADER), service)
    deadline_s = deadline_ms / 1000
    margin_s = min(max(deadline_s * MARGIN_PART, MIN_MARGIN_S), MAX_MARGIN_S)
    exchange.deadline_at = exchange.received_at + deadline_s - margin_s
    return service


def _decode(body: bytes, kind: type[Body]) -> Body:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise RefusalError(
            RefusalKind.BAD_REQUEST,
            f'the body is not valid: {exc}',
            'correct the body',
        ) from exc


def _priority(text: str | None, service: Service) -> Priority:
    if text is None:
        return service.priority
    try:
        return Priority(text)
    except ValueError:
        raise RefusalError(
            RefusalKind.BAD_REQUEST,
            f'{PRIORITY_HEADER} {text!r} is unknown',
            f'use one of {[p.value for p in Priority]}',
        ) from None


def _deadline_ms(text: str | None, service: Service) -> int:
    if text is None:
        return service.deadlines.default_ms
    longest = service.deadlines.max_ms
    if text.isascii() and text.isdigit() and 1 <= int(text) <= longest:
        return int(text)
    raise RefusalError(
        RefusalKind.BAD_DEADLINE,
        f'{DEADLINE_HEADER} {text!r} is not allowed',
        f'send whole milliseconds from 1 to {longest}',
    )


def _versions(query: QueryBody, service: Service) -> tuple[RecordVersion, ...]:
    if query.versions is None:
        return service.record_versions
    uncovered = sorted(set(query.versions) - set(service.record_versions))
    if uncovered or not query.versions:
        raise RefusalError(
            RefusalKind.UNCOVERED_VERSION,
            f'{service.name} does not cover record versions {uncovered}',
            f'ask for some of {list(service.record_versions)}',
        )
    return query.versions


def _key(text: str | None) -> BookingKey:
    if text is None or not _KEY.fullmatch(text):
        raise RefusalError(
            RefusalKind.BAD_KEY,
            f'{KEY_HEADER} is absent or malformed',
            'send 8 to 128 letters, digits or any of . _ : -',
        )
    return BookingKey(text)


def attempt_number(headers: typing.Mapping[str, str]) -> int:
    """Return the number of this send of a booking; 0 where it is unknown."""
    text = headers.get(ATTEMPT_HEADER, '')
    if text.isascii() and text.isdigit() and 1 <= int(text) <= _MAX_ATTEMPT:
        return int(text)
    return UNNUMBERED_ATTEMPT


def _attempt(headers: typing.Mapping[str, str]) -> int:
    number = attempt_number(headers)
    text = headers.get(ATTEMPT_HEADER)
    if number == UNNUMBERED_ATTEMPT and text is not None:
        raise RefusalError(
            RefusalKind.BAD_REQUEST,
            f'{ATTEMPT_HEADER} {text!r} is not a number of attempts',
            f'send a whole number from 1 to {_MAX_ATTEMPT}',
        )
    return number
