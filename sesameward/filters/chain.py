"""Run a request through its filters, each of which may refuse it.

A query passes readiness, parsing, quarantining, admitting, pinning and
answering; a booking passes readiness, parsing, quarantining, admitting and
booking.
Each filter does its part, awaits proceed(exchange) and may clean up.
"""

from __future__ import annotations

import typing

from .exchange import Exchange

Proceed = typing.Callable[[Exchange], typing.Awaitable[None]]


class Filter(typing.Protocol):
    """Do one step of a request."""

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> None:
        """Do this step, then await proceed; raise RefusalError."""
        ...


def link(filters: typing.Sequence[Filter]) -> Proceed:
    """Return one callable which runs the filters in order."""
    proceed: Proceed = _end
    for step in reversed(filters):
        proceed = _bind(step, proceed)
    return proceed


def _bind(step: Filter, proceed: Proceed) -> Proceed:
    async def run(exchange: Exchange) -> None:
        await step(exchange, proceed)

    return run


async def _end(exchange: Exchange) -> None:
    pass
