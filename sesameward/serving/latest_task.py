"""Handle items one at a time, and skip those that a newer one has replaced."""

from __future__ import annotations

import asyncio
import typing

from .. import logs

Item = typing.TypeVar('Item')


class LatestTask(typing.Generic[Item]):
    """Handle each item in a task; of those that wait, only the newest."""

    def __init__(
        self, handle: typing.Callable[[Item], typing.Awaitable[None]]
    ):
        self._handle = handle
        self._waiting: Item | None = None
        self.task: asyncio.Task | None = None

    def put(self, item: Item) -> None:
        """Handle an item, now or after the one that is being handled."""
        self._waiting = item
        if self.task is None or self.task.done():
            self.task = asyncio.ensure_future(self._run())
            logs.log_failure(self.task)

    async def _run(self) -> None:
        while self._waiting is not None:
            item, self._waiting = self._waiting, None
            await self._handle(item)
