"""Test that one node at a time writes the summary of the fleet."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from sesameward.configuration.leases import LeaseValue
from sesameward.controllers.rollup import FleetSummary
from sesameward.controllers.rollup import LEASE_KIND
from sesameward.controllers.rollup import LEASE_NAME
from sesameward.controllers.rollup import Rollup
from sesameward.controllers.rollup import ZoneSummary
from sesameward.messages import Member
from sesameward.standin.platform import Faults
from sesameward.types import MemberState

MEMBERS = [
    Member('a', 'z1', '', 0, 0, 0),
    Member('b', 'z2', '', 0, 0, 0, state=MemberState.SUSPECT),
    Member('c', 'z2', '', 0, 0, 0, leaving=True),
]


class Clock:
    """Represent a clock that returns the time set by a test."""

    now = 1_000.0

    def __call__(self):
        return self.now


@pytest.fixture
def with_rollups(with_platform, metrics):
    """Return a function that runs a scenario with two rollups.

    The scenario gets the stand-in platform, the rollups and their clocks.
    """

    def run(scenario):
        async def with_client(standin, client):
            clocks = Clock(), Clock()
            first, second = (
                Rollup(
                    node,
                    client,
                    lambda: MEMBERS,
                    lambda: 7,
                    metrics,
                    random.Random(node),
                    clock=clock,
                )
                for node, clock in zip('ab', clocks)
            )
            await scenario(standin, first, second, clocks)

        with_platform(with_client)

    return run


def stored_lease(standin):
    return msgspec.json.decode(
        standin.store.find(LEASE_KIND, LEASE_NAME).value, type=LeaseValue
    )


def test_holder_writes_the_summary_and_renews(with_rollups):
    async def scenario(standin, first, second, clocks):
        standin.store.write(
            LEASE_KIND, LEASE_NAME, b'no lease', '', deleted=False
        )
        await first.run_once()
        await second.run_once()
        assert first.holds() and not second.holds()
        body = msgspec.json.decode(
            stored_lease(standin).body, type=FleetSummary
        )
        assert body.revision == 7
        assert body.zones['z2'] == ZoneSummary(2, 1, 1)
        for _ in range(10):
            for clock in clocks:
                clock.now += 4.0
            await first.run_once()
            await second.run_once()
        assert first.holds() and stored_lease(standin).term == 1
        assert standin.store.revision > 3
        await first.release()
        await second.run_once()
        assert second.holds() and stored_lease(standin).term == 2

    with_rollups(scenario)


def test_paused_holder_writes_nothing(with_rollups, metrics):
    async def scenario(standin, first, second, clocks):
        await first.run_once()
        await second.run_once()
        real_put = first._platform.put
        resume_write = asyncio.Event()

        async def paused_put(*args):
            await resume_write.wait()
            return await real_put(*args)

        first._platform.put = paused_put
        clocks[0].now += 6.0
        renewal = asyncio.ensure_future(first.run_once())
        await asyncio.sleep(0.05)
        first._platform.put = real_put
        clocks[1].now += 16.0
        await second.run_once()
        assert second.holds()
        lease_before = standin.store.find(LEASE_KIND, LEASE_NAME)
        resume_write.set()
        await renewal
        assert not first.holds()
        assert standin.store.find(LEASE_KIND, LEASE_NAME) == lease_before
        assert metrics.value('rollup_refused', 'lease_taken') == 1

    with_rollups(scenario)


def test_outage_ends_the_holding_before_another_may_claim(with_rollups):
    async def scenario(standin, first, second, clocks):
        await first.run_once()
        await second.run_once()
        standin.faults = Faults(outage=True)
        clocks[0].now += 10.0
        assert not first.holds()
        standin.faults = Faults()
        clocks[1].now += 14.9
        await second.run_once()
        assert not second.holds()
        await first.run_once()
        assert first.holds() and stored_lease(standin).holder == 'a'

    with_rollups(scenario)
