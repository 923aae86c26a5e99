"""Shut an entry down without cutting off requests in flight."""

from __future__ import annotations

import asyncio
import enum
import itertools
import typing

from .. import logs


# A log line names at most this many of the requests and bookings in flight.
MAX_LISTED_NAMES = 20


class Stage(enum.Enum):
    """Name the stages of an entry's graceful shutdown."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    CLOSING = 'closing'


class Leaving:
    """Track the work in flight and the shutdown stage of this process."""

    def __init__(self):
        self.stage = Stage.SERVING
        self._in_flight: dict[asyncio.Future, str] = {}
        self._all_ended = asyncio.Event()
        self._all_ended.set()

    @property
    def in_flight(self) -> int:
        """Return how many requests and bookings the exit must wait for."""
        return len(self._in_flight)

    def waits_for(self) -> list[str]:
        """Return the names of the oldest work in flight, for the log."""
        return list(
            itertools.islice(self._in_flight.values(), MAX_LISTED_NAMES)
        )

    def track(self, work: asyncio.Future, name: str = '') -> None:
        """Delay the exit of the process until this work has ended."""
        self._in_flight[work] = name
        self._all_ended.clear()
        work.add_done_callback(self._on_ended)

    async def run(
        self,
        keep_serving_s: float,
        drain_timeout_s: float,
        announce: typing.Callable[[], None],
    ) -> int:
        """Shut down; return how many pieces of work did not end in time.

        Callers cache addresses, so the entry serves new requests for another
        keep_serving_s. Then it refuses new requests and waits up to
        drain_timeout_s until all work has ended.
        """
        self.stage = Stage.LEAVING
        self._log_stage('entry_leaving')
        announce()
        await asyncio.sleep(keep_serving_s)
        self.stage = Stage.CLOSING
        self._log_stage('entry_closing')
        try:
            await asyncio.wait_for(self._all_ended.wait(), drain_timeout_s)
        except asyncio.TimeoutError:
            self._log_stage('entry_drain_timed_out')
        else:
            self._log_stage('entry_left')
        return self.in_flight

    def _log_stage(self, event: str) -> None:
        logs.log_event(
            event, in_flight=self.in_flight, waits_for=self.waits_for()
        )

    def _on_ended(self, work: asyncio.Future) -> None:
        del self._in_flight[work]
        if not self._in_flight:
            self._all_ended.set()
