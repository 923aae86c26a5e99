"""Poll the platform's list of VMs, which can be out of date."""

from __future__ import annotations

import asyncio
import random
import typing

from ..background import keep_running
from ..background import restart_logger
from ..configuration.platform_client import PlatformClient
from ..exceptions import PlatformError
from ..messages import Vm
from ..metrics import Metrics

POLL_PERIOD_S = 1.5
# The poll period is at least this many seconds multiplied by the number of
# members, to bound the rate at which all agents together poll the platform.
POLL_PERIOD_PER_MEMBER_S = 0.05
MAX_POLL_PERIOD_S = 300.0

OnVms = typing.Callable[[tuple[Vm, ...]], None]


class VmList:
    """Poll the list of VMs; keep the last one while the platform is down.

    While polls_fast() is true, as on agents that watch the store, the poll
    period does not grow with the fleet.
    """

    def __init__(
        self,
        platform: PlatformClient,
        member_count: typing.Callable[[], int],
        polls_fast: typing.Callable[[], bool],
        metrics: Metrics,
        rng: random.Random,
    ):
        self._platform = platform
        self._member_count = member_count
        self._polls_fast = polls_fast
        self._metrics = metrics
        self._rng = rng
        self._task: asyncio.Task | None = None
        self.vms: tuple[Vm, ...] = ()
        # Callback for the list after each successful poll; the agent sets it.
        self.on_vms: OnVms = lambda _: None

    def start(self) -> None:
        """Start the poll loop."""
        on_fault = restart_logger(self._metrics, 'vm_list')
        self._task = asyncio.ensure_future(
            keep_running(self._run, on_fault, self._rng)
        )

    async def stop(self) -> None:
        """Cancel the poll loop and wait until it has ended."""
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
        pause_s = POLL_PERIOD_S
        if not self._polls_fast():
            pause_s = max(
                pause_s, self._member_count() * POLL_PERIOD_PER_MEMBER_S
            )
        pause_s = min(pause_s * 2.0 ** min(failures, 6), MAX_POLL_PERIOD_S)
        return pause_s * self._rng.uniform(0.7, 1.3)
