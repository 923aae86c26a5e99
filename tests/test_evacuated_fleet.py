"""Test evacuated zones and cold targets with node processes and a store."""

import asyncio
import itertools
import signal
import time

from sesameward.standin.fleet import MAX_CONFIG_DELAY_MS
from sesameward.standin.fleet import ZONES
from tests.scenarios import query_coverage
from tests.scenarios import SHARDS
from tests.scenarios import wait_until
from tests.scenarios import with_fleet

EVAC_MS = 3_000
WARMUP_PER_S = 10.0
OVERSHOOT = 1.5
SLACK = 5.0
BOUNDS = {
    'evac_ms': EVAC_MS,
    'warmup_overshoot': OVERSHOOT,
    'warmup_slack': SLACK,
}
# Time that nodes have from the removal of an evacuation until the zone's
# targets are used: that of a change, and the time that they hold it back.
BACK_S = EVAC_MS / 1_000 + 2.0
# Time for which a restored store lacks an evacuation.
LACKING_S = 2.0
# Time between two requests, and how long they are sent.
INTERVAL_S = 0.02
LOAD_S = 6.0


class Load:
    """Send requests to all nodes in turn, and keep the statuses."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.statuses = []
        self._stopped = False
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        self._stopped = True
        await self._task

    async def _run(self):
        nodes = itertools.cycle(self.fleet.nodes)
        paths = itertools.cycle(('/q/1', '/safe/1'))
        tasks = set()
        while not self._stopped:
            task = asyncio.create_task(self._ask(next(nodes), next(paths)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)

    async def _ask(self, node, path):
        try:
            reply = await self.fleet.ask(node, path)
        except Exception:
            # The node was killed meanwhile.
            return
        self.statuses.append(reply.status)


def arrivals_in(fleet, zone, since):
    return [
        arrival
        for target_id in fleet.targets_in(zone)
        for arrival in fleet.targets[target_id].arrivals
        if arrival.at >= since
    ]


async def check_nothing_arrives(fleet, zone, length_s):
    since = time.monotonic()
    await asyncio.sleep(length_s)
    assert arrivals_in(fleet, zone, since) == []


# Guards against requests to an evacuated zone, also after a restore of the
# store, by a node that starts meanwhile, and against a zone that stays empty.
@with_fleet(nodes=4, bounds=BOUNDS)
async def test_evacuated_zone_gets_nothing_until_the_evacuation_ends(fleet):
    zone = ZONES[0]
    copy = fleet.store.copy()
    load = Load(fleet)
    fleet.evacuate(zone)
    await asyncio.sleep(EVAC_MS / 1_000)
    await check_nothing_arrives(fleet, zone, 1.5)
    for node in fleet.nodes:
        assert await query_coverage(fleet, node) == SHARDS
    # The store is away and then lacks the evacuation for some time; one node
    # starts meanwhile.
    names = {node.name for node in fleet.nodes}
    fleet.store.faults.silent_for |= names
    await check_nothing_arrives(fleet, zone, 1.0)
    fleet.store.restore(copy)
    fleet.store.faults.silent_for -= names
    node = fleet.nodes[0]
    node.send(signal.SIGKILL)
    node.process.wait()
    node.start()
    await check_nothing_arrives(fleet, zone, LACKING_S)
    fleet.evacuate(zone)
    await check_nothing_arrives(fleet, zone, 5.0)
    since = time.monotonic()
    fleet.end_evacuation(zone)

    async def is_used():
        return bool(arrivals_in(fleet, zone, since))

    await wait_until(is_used, BACK_S)
    await load.stop()
    assert load.statuses.count(200) >= 0.99 * len(load.statuses)


@with_fleet(nodes=3, bounds=BOUNDS)
async def test_request_is_refused_if_all_zones_are_evacuated(fleet):
    for zone in ZONES:
        fleet.evacuate(zone)
    await asyncio.sleep(EVAC_MS / 1_000)
    for node in fleet.nodes:
        for path, method in (('/q/1', 'GET'), ('/once/1', 'POST')):
            asked_at = time.monotonic()
            reply = await fleet.ask(node, path, method=method)
            assert reply.status == 503
            names = {name.lower() for name, _ in reply.headers}
            assert b'retry-after' in names
            assert time.monotonic() - asked_at < 0.5


# Guards against a store that can't be read for evacuations only, which must
# not keep nodes from serving.
@with_fleet(nodes=2, bounds=BOUNDS)
async def test_node_serves_although_evacuations_can_t_be_read(fleet):
    fleet.store.unreadable_kinds.add('evacuations')
    for node in fleet.nodes:
        node.send(signal.SIGKILL)
        node.process.wait()
    for node in fleet.nodes:
        node.start()
    await fleet.wait_until_ready()
    for node in fleet.nodes:
        assert await query_coverage(fleet, node) == SHARDS
        assert node.lines('evacuations_unknown')


# Guards against nodes that each use the whole rate of a cold target, and
# against targets that get everything as soon as their zone is back.
@with_fleet(
    nodes=4,
    bounds=BOUNDS,
    service_fields={'warmup_s': 20, 'warmup_per_s': WARMUP_PER_S},
)
async def test_cold_targets_get_no_more_than_their_bound(fleet):
    zone = ZONES[0]
    load = Load(fleet)
    fleet.evacuate(zone)
    fleet.evacuate(ZONES[1])
    await asyncio.sleep(EVAC_MS / 1_000)
    # Only the targets of one zone come back, and they are cold.
    cold = fleet.targets_in(zone)
    for target_id in cold:
        fleet.make_cold(target_id, 20_000)
    since = time.monotonic()
    fleet.end_evacuation(zone)
    await asyncio.sleep(BACK_S + LOAD_S)
    await load.stop()
    allowed = WARMUP_PER_S * OVERSHOOT + SLACK
    for target_id in cold:
        target = fleet.targets[target_id]
        times = [one.at for one in target.arrivals if one.at >= since]
        assert times, 'a cold target without a warm one got nothing'
        for first in times:
            count = sum(first <= at < first + 1.0 for at in times)
            assert count <= allowed, (target_id, count)
    for node in fleet.nodes:
        assert node.lines('target_cold')


# Without the settings nothing may change, and no further kind be read.
@with_fleet(nodes=2)
async def test_evacuations_are_ignored_without_their_setting(fleet):
    for zone in ZONES:
        fleet.evacuate(zone)
    for target_id in fleet.targets:
        fleet.make_cold(target_id, 20_000)
    await asyncio.sleep(MAX_CONFIG_DELAY_MS / 1_000)
    for node in fleet.nodes:
        assert await query_coverage(fleet, node) == SHARDS
        assert not node.lines('target_cold')
    assert 'evacuations' not in fleet.store.kinds_read
