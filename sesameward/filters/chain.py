"""Run a request through a chain of filters, each of which may refuse it.

A query passes the filters of readiness, parsing, quarantining, admitting,
pinning and answering; a booking those of readiness, parsing, quarantining,
admitting and booking.
Each filter does its own work, awaits proceed(exchange), which runs the filters
after it, and can clean up once they have returned.
"""

from __future__ import annotations

import typing

from .exchange import Exchange

# Runs a request through all filters, or through those after a given filter.
FilterChain = typing.Callable[[Exchange], typing.Awaitable[None]]


class Filter(typing.Protocol):
    """Represent one step in the processing of a request."""

    async def __call__(self, exchange: Exchange, proceed: FilterChain) -> None:
        """Do this filter's work, and await proceed to run the later filters.

        Raise RefusalError to refuse the request.
        """
        ...


def chain_filters(filters: typing.Sequence[Filter]) -> FilterChain:
    """Return a callable that runs the filters in the given order."""
    proceed: FilterChain = _end_chain
    for step in reversed(filters):
        proceed = _prepend(step, proceed)
    return proceed


def _prepend(step: Filter, proceed: FilterChain) -> FilterChain:
    async def run(exchange: Exchange) -> None:
        await step(exchange, proceed)

    return run


async def _end_chain(exchange: Exchange) -> None:
    pass
