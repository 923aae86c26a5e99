"""Inject faults that concern organisations, cold targets and evacuations."""

from __future__ import annotations

import asyncio
import time

from sesameward.standin.fleet import ZONES
from tests.soak.faults import Fault
from tests.soak.faults import Injector
from tests.soak.faults import KINDS

# Each kind is injected by the HardLoadInjector method of that name.
NEW_KINDS = (
    'key_added',
    'key_withdrawn',
    'limit_changed',
    'organisation_floods',
    'target_cold',
    'service_cold',
    'zone_evacuated',
)
# The new kinds are drawn about as often as all others together.
HARD_LOAD_KINDS = (*KINDS, *4 * NEW_KINDS)

# Requests per second of an organisation that sends far more than usual, and
# the least time for which it does: shorter ones don't fill the window in which
# requests are counted. With the last limit, two nodes that each use the whole
# of it exceed the bound.
FLOOD_PER_S = 70.0
FLOOD_S = 4.0
RATES_PER_S = (0.0, 3.0, 6.0, 12.0)
# Further requests per second to a service without warm targets. The others
# are too few to exceed the bound of two cold targets.
COLD_SERVICE_LOAD_PER_S = 50.0
# Time for which a target stays cold, and how long at most its answers tell so
# before its registration does.
COLD_S = 5.0
REGISTERED_AFTER_S = 0.8
# Time for which a zone is evacuated. Nodes must keep to it from evac_ms on.
EVACUATED_S = 4.5


class HardLoadInjector(Injector):
    """Inject faults into a HardLoadWorld."""

    async def _key_added(self, fault: Fault) -> None:
        self.world.add_key(fault.fraction)

    async def _key_withdrawn(self, fault: Fault) -> None:
        self.world.withdraw_key(fault.fraction)

    async def _limit_changed(self, fault: Fault) -> None:
        number = int(fault.fraction * 1_000)
        self.world.set_limit(
            fault.fraction, RATES_PER_S[number % len(RATES_PER_S)]
        )

    async def _organisation_floods(self, fault: Fault) -> None:
        """Send an organisation's requests at many times its usual rate."""
        name = self.world.limited_organisation(fault.fraction)
        await self._load(
            lambda: self.world.send_as(name),
            FLOOD_PER_S,
            FLOOD_S + fault.duration_s,
        )

    async def _load(self, send, per_s: float, length_s: float) -> None:
        """Call send at a rate, without waiting for earlier calls."""
        until = time.monotonic() + length_s
        tasks: set[asyncio.Task] = set()
        while time.monotonic() < until:
            task = asyncio.create_task(send())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1.0 / per_s)
        await asyncio.gather(*tasks)

    async def _chill(self, targets, fault: Fault) -> None:
        """Make targets cold; their answers may tell it first."""
        answers_first = int(fault.fraction * 100) % 2 == 0
        for target in targets:
            self.world.begin_cold(target, COLD_S, tells=answers_first)
        if answers_first:
            await asyncio.sleep(fault.fraction * REGISTERED_AFTER_S)
        for target in targets:
            self.world.register_cold(target)
        await self._warm_up(targets)

    async def _warm_up(self, targets) -> None:
        """Wait until targets are warm; they then register anew."""
        await asyncio.sleep(COLD_S)
        for target in targets:
            self.world.register_warm(target)

    async def _target_cold(self, fault: Fault) -> None:
        await self._chill([await self.select_target(fault)], fault)

    async def _service_cold(self, fault: Fault) -> None:
        service = (await self.select_target(fault)).service
        kind = 'safe' if service == 'desk' else 'q'
        await asyncio.gather(
            self._chill(self.targets_of(service), fault),
            self._load(
                lambda: self.world.send_as('base', kind),
                COLD_SERVICE_LOAD_PER_S,
                COLD_S,
            ),
        )

    async def _zone_evacuated(self, fault: Fault) -> None:
        """Evacuate a zone; its targets may be cold when it is taken back."""
        number = int(fault.fraction * 100)
        zone = ZONES[number % len(ZONES)]
        self.world.begin_evacuation(zone)
        await asyncio.sleep(EVACUATED_S)
        cold = []
        if number // len(ZONES) % 2 == 0:
            cold = self.world.targets_in(zone)
        for target in cold:
            self.world.begin_cold(target, COLD_S, tells=False)
            self.world.register_cold(target)
        self.world.end_evacuation(zone)
        if cold:
            await self._warm_up(cold)
