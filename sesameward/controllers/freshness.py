"""Notice when this process was paused and may hold old state."""

from __future__ import annotations

import asyncio

from .. import logs
from ..metrics import Metrics
from ..types import Clock
from ..types import Revision
from .catalog import Catalog

BEAT_S = 0.25
# A gap this long between two beats is taken for a pause.
PAUSE_S = 1.5
# How long the agent's word is awaited before the last state is used.
PATIENCE_S = 2.0


class Freshness:
    """Hold requests off after a pause until the agent was heard again."""

    def __init__(self, catalog: Catalog, metrics: Metrics, clock: Clock):
        self._catalog = catalog
        self._metrics = metrics
        self._clock = clock
        self._beat_at = clock()
        self._stale_until = 0.0
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to beat."""
        self._task = asyncio.ensure_future(self._run())
        logs.watch(self._task)

    async def stop(self) -> None:
        """End the beat."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def fresh(self) -> bool:
        """Tell whether requests may use the state as it is."""
        self._beat()
        return self._clock() >= self._stale_until

    def heard(self, revision: Revision) -> None:
        """Take in the agent's revision, asked for after the last beat."""
        if self._catalog.revision >= revision:
            self._stale_until = 0.0

    async def _run(self) -> None:
        while True:
            self._beat()
            await asyncio.sleep(BEAT_S)

    def _beat(self) -> None:
        now = self._clock()
        gap_s = now - self._beat_at
        self._beat_at = now
        if gap_s > PAUSE_S:
            self._metrics.count('pauses')
            logs.change('paused', gap_s=round(gap_s, 3))
            self._stale_until = now + PATIENCE_S
