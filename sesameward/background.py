"""Run background loops, and restart those that fail unexpectedly."""

from __future__ import annotations

import asyncio
import collections.abc
import random

from . import logs
from .metrics import Metrics

MAX_RESTART_PAUSE_S = 1.0

RunLoop = collections.abc.Callable[[], collections.abc.Awaitable[None]]
OnFault = collections.abc.Callable[[Exception], None]


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
        except Exception as exc:
            on_fault(exc)
            await asyncio.sleep(rng.uniform(0.5, 1.0) * max_pause_s)


def restart_logger(metrics: Metrics, loop_name: str) -> OnFault:
    """Return a function that counts and logs the restarts of a loop."""

    def log_restart(exc: Exception) -> None:
        metrics.count('loops_restarted', loop_name)
        logs.log_event(
            'loop_restarted',
            loop=loop_name,
            error=repr(exc),
            where=logs.origin_of(exc),
        )

    return log_restart
