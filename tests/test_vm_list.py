"""Test that an agent goes on reading the platform's list of VMs."""

import asyncio
import random

from sesameward.controllers.vm_list import VmList
from sesameward.metrics import Metrics


class Platform:
    def __init__(self):
        self.calls = 0

    async def vms(self):
        self.calls += 1
        if self.calls == 1:
            raise RecursionError
        return ()


# Guards against an agent whose list of VMs stays as it is for good, because
# one reply of the platform could not be decoded.
def test_reading_goes_on_after_an_unexpected_exception():
    async def main():
        platform = Platform()
        vms = VmList(
            platform,
            lambda: 1,
            lambda: True,
            Metrics('t'),
            random.Random(1),
        )
        vms.start()
        try:
            async with asyncio.timeout(3.0):
                while platform.calls < 2:
                    await asyncio.sleep(0.02)
        finally:
            await vms.stop()

    asyncio.run(main())
