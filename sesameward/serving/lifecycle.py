"""Start the parts of a process one after the other, and stop them again.

The request to stop a process may come at any moment, also while its parts
start. It is only recorded, so that no part has to be able to leave before it
is up; run() acts on it once the part that is being started is up.
"""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import enum
import inspect
import typing

from .. import logs
from ..metrics import Metrics
from ..types import Clock

Action = collections.abc.Callable[[], collections.abc.Awaitable[None] | None]


class Stage(enum.Enum):
    """Name what a process does as a whole."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'
    STOPPING = 'stopping'
    STOPPED = 'stopped'


class Part(typing.NamedTuple):
    """Describe one part of a process.

    stop must also work for a part whose start failed halfway.
    """

    name: str
    start: Action | None = None
    stop: Action | None = None


class Lifecycle:
    """Take a process from its start to its end, whenever it is told to stop.

    stage is what the process does, current the part or the step of leaving
    that is at work. stop_requested_at is None before the request to stop.
    """

    def __init__(self, metrics: Metrics, clock: Clock):
        self.stage = Stage.STARTING
        self.current = ''
        self.stop_requested_at: float | None = None
        self._metrics = metrics
        self._clock = clock
        self._started: set[str] = set()
        self._stop_requested = asyncio.Event()

    @property
    def is_stop_requested(self) -> bool:
        """Return True from the first request to stop on."""
        return self._stop_requested.is_set()

    def has_started(self, name: str) -> bool:
        """Return True if the part of this name has been started."""
        return name in self._started

    def request_stop(self, signal_name: str) -> None:
        """Make run() stop the process; further requests change nothing."""
        is_repeated = self.is_stop_requested
        if not is_repeated:
            self.stop_requested_at = self._clock()
            self._stop_requested.set()
        logs.log_event(
            'signal',
            signal=signal_name,
            stage=self.stage.value,
            current=self.current,
            is_repeated=is_repeated,
        )

    async def run(
        self,
        parts: collections.abc.Iterable[Part],
        leave_steps: collections.abc.Mapping[str, Action],
    ) -> None:
        """Start the parts in order, wait for the request to stop, and stop.

        After the request no further part is started, the steps of leaving are
        taken, and the parts are stopped in reverse order; where one of these
        fails, the others follow. Raises what the start of a part raises, after
        the parts before it have been stopped.
        """
        async with contextlib.AsyncExitStack() as started:
            for part in parts:
                if self.is_stop_requested:
                    break
                self.current = part.name
                started.push_async_callback(
                    self._attempt, part.name, part.stop
                )
                await self._start(part)
            else:
                self._enter(Stage.SERVING)
            await self._stop_requested.wait()
            self._enter(Stage.LEAVING)
            for name, action in leave_steps.items():
                await self._attempt(name, action)
            self._enter(Stage.STOPPING)
        self._enter(Stage.STOPPED)

    def _enter(self, stage: Stage) -> None:
        self.stage = stage
        self.current = ''

    async def _start(self, part: Part) -> None:
        try:
            await _perform(part.start)
        except Exception as exc:
            logs.log_event(
                'start_failed',
                part=part.name,
                error=repr(exc),
                where=logs.origin_of(exc),
            )
            raise
        self._started.add(part.name)

    async def _attempt(self, name: str, action: Action | None) -> None:
        """Perform an action; count and log its failure."""
        self.current = name
        try:
            await _perform(action)
        except Exception as exc:
            self._metrics.count('stop_faults', name)
            logs.log_event(
                'stop_fault',
                stage=self.stage.value,
                current=name,
                error=repr(exc),
                where=logs.origin_of(exc),
            )


async def _perform(action: Action | None) -> None:
    result = action() if action is not None else None
    if inspect.isawaitable(result):
        await result
