"""Test that nodes follow a store that was restored from an older copy.

The store is away for a moment and comes back as it was some seconds before.
It gives out its revisions again, and the operator and the targets repeat
their writes a little later.
"""

import asyncio
import collections
import itertools
import signal
import time

import msgspec
import pytest

from sesameward.exceptions import PlatformUnavailableError
from sesameward.standin.fleet import Fleet
from tests.scenarios import SHARDS
from tests.scenarios import with_fleet

NODES = 5
DRILLS = 3
# Times of the users' documentation: within these a change must be in force,
# and requests to a draining target must stop.
IN_FORCE_S = 3.0
DRAIN_S = 3.0
AWAY_S = 1.0
# Time for which the restored store lacks what was written after the copy.
OLD_COPY_S = 1.0
# Versions of the configuration after the copy. Only the last one is written
# again, so the restored store stays behind the revisions that nodes know.
LOST_VERSIONS = 10
REQUESTS = 40
# Requests sent at the same time, to all nodes in turn.
CONCURRENT = 20
ZONE = 'zone-a'


class DrillResult(msgspec.Struct):
    """Hold what callers saw in one drill.

    statuses_of_old_copy counts, for each node, the statuses of requests to the
    route that the restored store lacks. The delays are None if a change is not
    in force on all nodes in time. to_drained is the number of requests that
    reached a draining target too late, to_added that of requests to a new one.
    """

    statuses_of_old_copy: dict[str, collections.Counter] = msgspec.field(
        default_factory=dict
    )
    route_delay_s: float | None = None
    drained_before_delay: int = 0
    to_drained: int = 0
    to_added: int = 0


class Drills:
    """Play several drills in a row on one fleet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.numbers = itertools.count(1)
        self.results = []

    async def play(self):
        fleet = self.fleet
        result = DrillResult()
        self.results.append(result)
        copy = fleet.store.copy()
        drained = await self._replace_target()
        await fleet.add_target('shard-0', ZONE)
        for _ in range(LOST_VERSIONS):
            fleet.put_config()
        path = await self.add_route()
        assert await self.in_force_delay_s(path) is not None
        names = {node.name for node in fleet.nodes}
        fleet.store.faults.silent_for |= names
        await asyncio.sleep(AWAY_S)
        fleet.store.restore(copy)
        fleet.store.faults.silent_for -= names
        result.statuses_of_old_copy = await self._statuses(path, OLD_COPY_S)
        fleet.store.repeat_writes('servers', fleet.rng)
        fleet.store.repeat_writes('config', fleet.rng)
        result.drained_before_delay = await self._count_late(drained)
        path = await self.add_route()
        result.route_delay_s = await self.in_force_delay_s(path)
        added, drained = await self._add_and_drain()
        before = len(drained.runs), len(added.runs)
        await self._send(REQUESTS)
        result.to_drained = len(drained.runs) - before[0]
        result.to_added = len(added.runs) - before[1]

    async def add_route(self):
        path = f'/extra-{next(self.numbers)}/'
        self.fleet.put_config(extra_routes=(path,))
        return path

    async def in_force_delay_s(self, path):
        started_at = time.monotonic()
        while time.monotonic() < started_at + IN_FORCE_S:
            replies = await asyncio.gather(
                *(
                    self.fleet.ask(node, f'{path}1')
                    for node in self.fleet.nodes
                )
            )
            if all(reply.status == 200 for reply in replies):
                return time.monotonic() - started_at
            await asyncio.sleep(0.05)
        return None

    async def _statuses(self, path, length_s):
        statuses = {node.name: collections.Counter() for node in self.nodes()}
        until = time.monotonic() + length_s
        while time.monotonic() < until:
            for node in self.nodes():
                reply = await self.fleet.ask(node, f'{path}1')
                statuses[node.name][reply.status] += 1
            await asyncio.sleep(0.02)
        return statuses

    def nodes(self):
        return self.fleet.nodes

    def _serving(self, service):
        objects = self.fleet.store.objects
        return [
            self.fleet.targets[target_id]
            for target_id in self.fleet.services[service]
            if ('servers', target_id) in objects
            and objects['servers', target_id]['spec']['state'] == 'ready'
        ]

    async def _replace_target(self):
        """Drain a target of desk and add another one; return the drained."""
        drained = self._serving('desk')[0]
        await self.fleet.add_target('desk', ZONE)
        self.fleet.drain(drained.id)
        await asyncio.sleep(IN_FORCE_S)
        return drained

    async def _add_and_drain(self):
        drained = self._serving('desk')[0]
        added = await self.fleet.add_target('desk', ZONE)
        self.fleet.drain(drained.id)
        await asyncio.sleep(max(IN_FORCE_S, DRAIN_S))
        return added, drained

    async def _count_late(self, drained):
        count = len(drained.runs)
        await self._send(REQUESTS)
        return len(drained.runs) - count

    async def _send(self, count):
        # Several requests at each node at a time: with one at a time, a node
        # keeps to the one target that has answered it fastest so far.
        for first in range(0, count, CONCURRENT):
            await asyncio.gather(
                *(
                    self.fleet.ask(
                        self.nodes()[number % NODES], f'/safe/{number}'
                    )
                    for number in range(first, first + CONCURRENT)
                )
            )


@pytest.fixture(scope='module')
def drills():
    async def main():
        async with Fleet(nodes=NODES, shards=SHARDS) as fleet:
            drills = Drills(fleet)
            for _ in range(DRILLS):
                await drills.play()
            return drills.results

    return asyncio.run(main())


@pytest.fixture(params=range(DRILLS), ids=lambda number: f'drill-{number + 1}')
def result(request, drills):
    return drills[request.param]


# Guards against a change that is never in force because the restored store
# numbers it below what the nodes have already.
def test_change_after_a_restore_is_in_force_in_time(result):
    assert result.route_delay_s is not None


# Guards against requests to targets whose departure a restored store has
# numbered again or shows no more.
def test_draining_target_gets_nothing_after_a_restore(result):
    assert result.drained_before_delay == 0
    assert result.to_drained == 0


# Guards against targets that are never used because their registration is
# numbered below what the nodes have already.
def test_target_registered_after_a_restore_is_used(result):
    assert result.to_added >= REQUESTS / 8


# Guards against a node that serves or refuses by the older configuration which
# a restored store shows for a moment.
def test_no_node_goes_back_to_an_older_configuration(result):
    for statuses in result.statuses_of_old_copy.values():
        assert set(statuses) == {200}


# Guards against a node that starts while the store shows an older copy, and
# serves or refuses by it although the other nodes know a newer configuration.
@with_fleet(nodes=3)
async def test_node_that_starts_during_a_restore_goes_by_the_others(fleet):
    copy = fleet.store.copy()
    drills = Drills(fleet)
    for _ in range(LOST_VERSIONS):
        fleet.put_config()
    path = await drills.add_route()
    assert await drills.in_force_delay_s(path) is not None
    fleet.store.restore(copy)
    await asyncio.sleep(OLD_COPY_S)
    statuses = collections.Counter()
    for _ in range(4):
        for node in fleet.nodes:
            node.send(signal.SIGKILL)
            node.process.wait()
            node.start()
            statuses += await first_statuses(fleet, node, path)
    assert set(statuses) == {200}


async def first_statuses(fleet, node, path):
    """Return the statuses of a node's first answers after its start."""
    statuses = collections.Counter()
    while sum(statuses.values()) < 10:
        try:
            reply = await fleet.ask(node, f'{path}1')
        except PlatformUnavailableError:
            # The node does not listen yet.
            await asyncio.sleep(0.005)
            continue
        statuses[reply.status] += 1
    return statuses
