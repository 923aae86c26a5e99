"""Detect that this process was paused and may hold outdated state."""

from __future__ import annotations

import asyncio

from .. import logs
from ..metrics import Metrics
from ..types import Clock
from ..types import Revision
from .catalog import Catalog

CHECK_PERIOD_S = 0.25
# A longer time between two checks means that the process was paused.
PAUSE_THRESHOLD_S = 1.5
# This long after a pause was detected, the entry serves requests again even if
# the agent has not confirmed that the entry's state is current.
REFRESH_TIMEOUT_S = 2.0


class Freshness:
    """Mark this entry's state as stale after a pause of its process.

    A paused process receives no updates. Requests are refused until the agent
    has confirmed that the entry has the current configuration revision, or
    REFRESH_TIMEOUT_S has passed.
    """

    def __init__(self, catalog: Catalog, metrics: Metrics, clock: Clock):
        self._catalog = catalog
        self._metrics = metrics
        self._clock = clock
        self._checked_at = clock()
        self._stale_until = 0.0
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the periodic check for pauses."""
        self._task = asyncio.ensure_future(self._check_periodically())
        logs.log_failure(self._task)

    async def stop(self) -> None:
        """Cancel the periodic check and wait until it has ended."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def fresh(self) -> bool:
        """Return False if the state may be stale after a pause.

        This first checks whether the process has just been paused.
        """
        self._check_for_pause()
        return self._clock() >= self._stale_until

    def confirm_revision(self, revision: Revision) -> None:
        """Serve requests again if the catalog has the agent's revision.

        The revision is assumed to come from the agent's reply to a report
        that this process sent after its pause; this is not checked.
        """
        if self._catalog.revision >= revision:
            self._stale_until = 0.0

    async def _check_periodically(self) -> None:
        while True:
            self._check_for_pause()
            await asyncio.sleep(CHECK_PERIOD_S)

    def _check_for_pause(self) -> None:
        now = self._clock()
        gap_s = now - self._checked_at
        self._checked_at = now
        if gap_s > PAUSE_THRESHOLD_S:
            self._metrics.count('pauses')
            logs.log_event('paused', gap_s=round(gap_s, 3))
            self._stale_until = now + REFRESH_TIMEOUT_S
