"""Let an entry leave without cutting off what is in flight."""

from __future__ import annotations

import asyncio
import enum
import itertools
import typing

from .. import logs


MAX_NAMED = 20


class Stage(enum.Enum):
    """Name how far an entry has come with leaving."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    CLOSING = 'closing'


class Leaving:
    """Track the work in flight and the stage of this process."""

    def __init__(self):
        self.stage = Stage.SERVING
        self._held: dict[asyncio.Future, str] = {}
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def in_flight(self) -> int:
        """Return how much work must end before the process may."""
        return len(self._held)

    def waits_for(self) -> list[str]:
        """Name the work in flight, the oldest first, if it is not much."""
        return list(itertools.islice(self._held.values(), MAX_NAMED))

    def hold(self, work: asyncio.Future, name: str = '') -> None:
        """Keep the process until this work has ended."""
        self._held[work] = name
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
        self._log('entry_leaving')
        announce()
        await asyncio.sleep(serve_on_s)
        self.stage = Stage.CLOSING
        self._log('entry_closing')
        try:
            await asyncio.wait_for(self._empty.wait(), limit_s)
        except asyncio.TimeoutError:
            self._log('entry_closed_early')
        else:
            self._log('entry_left')
        return self.in_flight

    def _log(self, event: str) -> None:
        logs.change(
            event, in_flight=self.in_flight, waits_for=self.waits_for()
        )

    def _release(self, work: asyncio.Future) -> None:
        del self._held[work]
        if not self._held:
            self._empty.set()
