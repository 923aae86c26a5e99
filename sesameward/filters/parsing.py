"""Decode and check the headers and the body of a request."""

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
from .chain import FilterChain
from .exchange import Exchange

DEADLINE_HEADER = 'Sesameward-Deadline-Ms'
PRIORITY_HEADER = 'Sesameward-Priority'
ATTEMPT_HEADER = 'Sesameward-Attempt'
KEY_HEADER = 'Idempotency-Key'
# The attempt number of a booking without a valid attempt header. An earlier
# attempt of this booking may then have run.
UNNUMBERED_ATTEMPT = 0
_MAX_ATTEMPT = 1_000_000
# int() raises ValueError above 4,300 digits.
MAX_DIGITS = 18
_KEY_PATTERN = re.compile(r'[A-Za-z0-9._:-]{8,128}')
# An answer ends before the caller's deadline by this fraction of the deadline,
# within the bounds below, because its last frame, which carries the coverage,
# must arrive while the caller still waits.
DEADLINE_MARGIN_RATIO = 0.03
MIN_DEADLINE_MARGIN_S = 0.005
MAX_DEADLINE_MARGIN_S = 0.025

Body = typing.TypeVar('Body', QueryBody, BookingBody)


class ParseQuery:
    """Decode a query and check it against the declared service."""

    def __init__(self, catalog: Catalog):
        self._catalog = catalog

    async def __call__(self, exchange: Exchange, proceed: FilterChain) -> None:
        """Set the query, record versions, service, priority and deadline."""
        service = _parse_common(exchange, self._catalog)
        query = _decode_body(exchange.body, QueryBody)
        exchange.query = query
        exchange.versions = _parse_versions(query, service)
        await proceed(exchange)


class ParseBooking:
    """Decode a booking and check that the service accepts bookings."""

    def __init__(self, catalog: Catalog):
        self._catalog = catalog

    async def __call__(self, exchange: Exchange, proceed: FilterChain) -> None:
        """Set the booking, key, attempt, service, priority and deadline."""
        service = _parse_common(exchange, self._catalog)
        if not service.bookings:
            raise RefusalError(
                RefusalKind.BAD_REQUEST,
                f'service {service.name} does not accept bookings',
                'send the booking to a service declared with bookings',
            )
        exchange.booking = _decode_body(exchange.body, BookingBody)
        exchange.key = _parse_key(exchange.headers.get(KEY_HEADER))
        exchange.attempt = _parse_attempt(exchange.headers)
        await proceed(exchange)


def _parse_common(exchange: Exchange, catalog: Catalog) -> Service:
    """Set the service, priority and deadline; return the service."""
    service = catalog.services.get(exchange.service_name)
    if service is None:
        raise RefusalError(
            RefusalKind.UNKNOWN_SERVICE,
            f'service {exchange.service_name!r} is not declared',
            'use the name of a declared service',
        )
    exchange.service = service
    exchange.priority = _parse_priority(
        exchange.headers.get(PRIORITY_HEADER), service
    )
    deadline_ms = _parse_deadline_ms(
        exchange.headers.get(DEADLINE_HEADER), service
    )
    deadline_s = deadline_ms / 1000
    margin_s = min(
        max(deadline_s * DEADLINE_MARGIN_RATIO, MIN_DEADLINE_MARGIN_S),
        MAX_DEADLINE_MARGIN_S,
    )
    exchange.deadline_at = exchange.received_at + deadline_s - margin_s
    return service


def _decode_body(body: bytes, kind: type[Body]) -> Body:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise RefusalError(
            RefusalKind.BAD_REQUEST,
            f'the request body is not valid: {exc}',
            'correct the request body',
        ) from exc


def _parse_priority(text: str | None, service: Service) -> Priority:
    if text is None:
        return service.priority
    try:
        return Priority(text)
    except ValueError:
        raise RefusalError(
            RefusalKind.BAD_REQUEST,
            f'{PRIORITY_HEADER} {text!r} is not a known priority',
            f'use one of {[p.value for p in Priority]}',
        ) from None


def _parse_deadline_ms(text: str | None, service: Service) -> int:
    if text is None:
        return service.deadlines.default_ms
    max_ms = service.deadlines.max_ms
    deadline_ms = _whole_number(text, max_ms)
    if deadline_ms is not None:
        return deadline_ms
    raise RefusalError(
        RefusalKind.BAD_DEADLINE,
        f'{DEADLINE_HEADER} {text!r} is not a valid deadline',
        f'send a whole number of milliseconds from 1 to {max_ms}',
    )


def _whole_number(text: str, most: int) -> int | None:
    """Return a whole number from 1 to most, or None for any other text."""
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        return None
    return number if 1 <= (number := int(text)) <= most else None


def _parse_versions(
    query: QueryBody, service: Service
) -> tuple[RecordVersion, ...]:
    if query.versions is None:
        return service.record_versions
    uncovered = sorted(set(query.versions) - set(service.record_versions))
    if uncovered or not query.versions:
        raise RefusalError(
            RefusalKind.UNCOVERED_VERSION,
            f'service {service.name} does not cover record versions '
            f'{uncovered}',
            f'request one or more of {list(service.record_versions)}',
        )
    return query.versions


def _parse_key(text: str | None) -> BookingKey:
    if text is None or not _KEY_PATTERN.fullmatch(text):
        raise RefusalError(
            RefusalKind.BAD_KEY,
            f'{KEY_HEADER} is missing or malformed',
            'send 8 to 128 characters out of A-Z a-z 0-9 . _ : -',
        )
    return BookingKey(text)


def attempt_number(headers: typing.Mapping[str, str]) -> int:
    """Return the attempt number in the headers of a booking.

    Return 0 if the header is missing or not valid.
    """
    text = headers.get(ATTEMPT_HEADER, '')
    return _whole_number(text, _MAX_ATTEMPT) or UNNUMBERED_ATTEMPT


def _parse_attempt(headers: typing.Mapping[str, str]) -> int:
    number = attempt_number(headers)
    text = headers.get(ATTEMPT_HEADER)
    if number == UNNUMBERED_ATTEMPT and text is not None:
        raise RefusalError(
            RefusalKind.BAD_REQUEST,
            f'{ATTEMPT_HEADER} {text!r} is not a valid attempt number',
            f'send a whole number from 1 to {_MAX_ATTEMPT}',
        )
    return number
