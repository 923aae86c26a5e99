"""Follow the platform's list of VMs, which lags."""

from __future__ import annotations

import asyncio
import random
import typing

from .. import logs
from ..configuration.platform_client import PlatformClient
from ..exceptions import PlatformError
from ..messages import Vm
from ..metrics import Metrics

PERIOD_S = 1.5
# Bounds what a large fleet asks of the platform together.
PERIOD_PER_MEMBER_S = 0.05
MAX_PERIOD_S = 300.0

OnVms = typing.Callable[[tuple[Vm, ...]], None]


class VmList:
    """Read the list again and again; keep the last one through outages."""

    def __init__(
        self,
        platform: PlatformClient,
        members: typing.Callable[[], int],
        hurried: typing.Callable[[], bool],
        metrics: Metrics,
        rng: random.Random,
    ):
        self._platform = platform
        self._members = members
        self._hurried = hurried
        self._metrics = metrics
        self._rng = rng
        self._task: asyncio.Task | None = None
        self.vms: tuple[Vm, ...] = ()
        self.on_vms: OnVms = lambda _: None

    def start(self) -> None:
        """Begin to read."""
        self._task = asyncio.ensure_future(self._run())
        logs.watch(self._task)

    async def stop(self) -> None:
        """End reading."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        failures = 0
        while True:
            try:
                self.vms = await self._platform.vms()
                failures = 0
                self.on_vms(self.vms)
            except PlatformError:
                failures += 1
                self._metrics.count('vm_list_failed')
            await asyncio.sleep(self._pause_s(failures))

    def _pause_s(self, failures: int) -> float:
        pause_s = PERIOD_S
        if not self._hurried():
            pause_s = max(pause_s, self._members() * PERIOD_PER_MEMBER_S)
        pause_s = min(pause_s * 2.0 ** min(failures, 6), MAX_PERIOD_S)
        return pause_s * self._rng.uniform(0.7, 1.3)
