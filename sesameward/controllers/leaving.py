"""Let an entry leave without cutting off what is in flight."""

from __future__ import annotations

import asyncio
import enum
import typing

from .. import logs


class Stage(enum.Enum):
    """Name how far an entry has come with leaving."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    CLOSING = 'closing'


class Leaving:
    """Track the work in flight and the stage of this process."""

    def __init__(self):
        self.stage = Stage.SERVING
        self._held: set[asyncio.Future] = set()
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def in_flight(self) -> int:
        """Return how much work must end before the process may."""
        return len(self._held)

    def hold(self, work: asyncio.Future) -> None:
        """Keep the process until this work has ended."""
        self._held.add(work)
        self._empty.clear()
        work.add_done_callback(self._release)

    async def run(
        self,
        serve_on_s: float,
        limit_s: float,
        announce: typing.Callable[[], None],
    ) -> int:
        """Leave; return how much work was still in flight at the limit.

        The entry serves on for serve_on_s, since callers keep addresses.
        """
        self.stage = Stage.LEAVING
        logs.change('entry_leaving', in_flight=self.in_flight)
        announce()
        await asyncio.sleep(serve_on_s)
        self.stage = Stage.CLOSING
        logs.change('entry_closing', in_flight=self.in_flight)
        try:
            await asyncio.wait_for(self._empty.wait(), limit_s)
        except asyncio.TimeoutError:
            logs.change('entry_closed_early', in_flight=self.in_flight)
        return self.in_flight

    def _release(self, work: asyncio.Future) -> None:
        self._held.discard(work)
        if not self._held:
            self._empty.set()
