"""Run the background work of a process, and restart loops that end."""

from __future__ import annotations

import asyncio
import collections.abc
import random
import time

from . import logs
from .metrics import Metrics
from .types import Clock

MAX_RESTART_PAUSE_S = 1.0

RunLoop = collections.abc.Callable[[], collections.abc.Awaitable[None]]
OnFault = collections.abc.Callable[[BaseException], None]


async def keep_running(
    run_loop: RunLoop,
    on_fault: OnFault,
    rng: random.Random,
    max_pause_s: float = MAX_RESTART_PAUSE_S,
) -> None:
    """Run a loop until it returns; restart it if it raises an exception.

    The pause before a restart is drawn at random, so that processes that fail
    together do not restart together.
    """
    while True:
        try:
            return await run_loop()
        except asyncio.CancelledError as exc:
            if asyncio.current_task().cancelling():
                raise
            # The loop awaited something that another task has cancelled.
            on_fault(exc)
        except Exception as exc:
            on_fault(exc)
        await asyncio.sleep(rng.uniform(0.5, 1.0) * max_pause_s)


def restart_logger(metrics: Metrics, loop_name: str) -> OnFault:
    """Return a function that counts and logs the restarts of a loop."""

    def log_restart(exc: BaseException) -> None:
        metrics.count('loops_restarted', loop_name)
        logs.log_event(
            'loop_restarted',
            loop=loop_name,
            error=repr(exc),
            where=logs.origin_of(exc),
        )

    return log_restart


def log_task_failure(
    metrics: Metrics, task_name: str, exc: BaseException
) -> None:
    """Count and log the failure of work that is not repeated."""
    metrics.count('tasks_failed', task_name)
    logs.log_event(
        'task_failed',
        task=task_name,
        error=repr(exc),
        where=logs.origin_of(exc),
    )


def call_all(
    calls: collections.abc.Iterable[collections.abc.Callable[[], None]],
) -> None:
    """Make all calls, also after one has failed; raise the first failure."""
    failure = None
    for call in calls:
        try:
            call()
        except Exception as exc:
            failure = failure or exc
    if failure is not None:
        raise failure


class Supervisor:
    """Run the background work of one part of a process.

    A loop must not end: it is restarted after an exception, after it has
    returned, and after something that it awaited was cancelled. Other work is
    not repeated; its failure is counted and logged.
    """

    def __init__(
        self,
        metrics: Metrics,
        rng: random.Random | None = None,
        clock: Clock = time.monotonic,
        max_pause_s: float = MAX_RESTART_PAUSE_S,
    ):
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._clock = clock
        self._max_pause_s = max_pause_s
        # Keeps references to the tasks; the event loop itself has weak ones.
        self._tasks: set[asyncio.Task] = set()
        self._failing_since: dict[str, float] = {}

    def start_loop(self, name: str, run_loop: RunLoop) -> asyncio.Task:
        """Run a loop until its task is cancelled."""
        log_restart = restart_logger(self._metrics, name)

        def on_fault(exc: BaseException) -> None:
            self._failing_since.setdefault(name, self._clock())
            log_restart(exc)

        async def run_endless() -> None:
            await run_loop()
            raise RuntimeError(f'the loop {name} has returned')

        return self.start(
            name,
            keep_running(run_endless, on_fault, self._rng, self._max_pause_s),
        )

    def start(
        self, name: str, work: collections.abc.Coroutine
    ) -> asyncio.Task:
        """Run work in a task; count and log its failure."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._on_done(name, task))
        return task

    def _on_done(self, name: str, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            log_task_failure(self._metrics, name, exc)

    def record_round(self, name: str) -> None:
        """Record that a loop has done once what it is for."""
        self._failing_since.pop(name, None)

    def failing_s(self, name: str) -> float:
        """Return for how long a loop has failed without a whole round."""
        since = self._failing_since.get(name)
        return 0.0 if since is None else self._clock() - since

    def stop(self) -> list[asyncio.Task]:
        """Cancel all work; return the tasks, which end soon."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks
