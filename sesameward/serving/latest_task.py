"""Handle items one at a time, and skip those that a newer one has replaced."""

from __future__ import annotations

import asyncio
import typing

from ..background import log_task_failure
from ..background import Supervisor
from ..metrics import Metrics

Item = typing.TypeVar('Item')


class LatestTask(typing.Generic[Item]):
    """Handle each item in a task; of those that wait, only the newest.

    If the handling of an item fails, that is counted and logged, and the next
    item is handled.
    """

    def __init__(
        self,
        name: str,
        handle: typing.Callable[[Item], typing.Awaitable[None]],
        supervisor: Supervisor,
        metrics: Metrics,
    ):
        self._name = name
        self._handle = handle
        self._supervisor = supervisor
        self._metrics = metrics
        self._waiting: Item | None = None
        self.task: asyncio.Task | None = None

    def put(self, item: Item) -> None:
        """Handle an item, now or after the one that is being handled."""
        self._waiting = item
        if self.task is None or self.task.done():
            self.task = self._supervisor.start(self._name, self._run())

    async def _run(self) -> None:
        while self._waiting is not None:
            item, self._waiting = self._waiting, None
            try:
                await self._handle(item)
            except Exception as exc:
                log_task_failure(self._metrics, self._name, exc)
