"""Limit how many requests an entry runs at once."""

from __future__ import annotations

from ..controllers.gate import Gate
from .chain import FilterChain
from .exchange import Exchange


class LimitConcurrency:
    """Queue or refuse requests by priority and deadline under overload."""

    def __init__(self, gate: Gate, clock):
        self._gate = gate
        self._clock = clock

    async def __call__(self, exchange: Exchange, proceed: FilterChain) -> None:
        """Run the request once the gate admits it, or raise RefusalError.

        The latency reported to the gate excludes the wait for admission.
        """
        await self._gate.enter(exchange)
        admitted_at = self._clock()
        try:
            await proceed(exchange)
        finally:
            self._gate.leave(exchange, self._clock() - admitted_at)
