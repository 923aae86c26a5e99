"""Let a request in, by its priority and deadline."""

from __future__ import annotations

from ..controllers.gate import Gate
from .chain import Proceed
from .exchange import Exchange


class Admit:
    """Hold a place in the entry while the request runs."""

    def __init__(self, gate: Gate, clock):
        self._gate = gate
        self._clock = clock

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> None:
        """Wait for a place, proceed, and give it back."""
        await self._gate.enter(exchange)
        began_at = self._clock()
        try:
            await proceed(exchange)
        finally:
            self._gate.leave(exchange, self._clock() - began_at)
