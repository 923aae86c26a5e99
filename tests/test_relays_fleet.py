"""Test real nodes that send to targets with few connections through relays."""

import asyncio
import re
import signal

from sesameward.messages import Address
from sesameward.messages import Member
from sesameward.placement.relays import Relays
from sesameward.serving.http_caller import HttpCaller
from sesameward.standin.fleet import INTERNAL_PORTS
from tests import promises
from tests.scenarios import query_coverage
from tests.scenarios import SHARDS
from tests.scenarios import wait_until
from tests.scenarios import with_fleet

NODES = 8
# The nodes may use 0.8 of these connections, which is less than one for each.
MAX_CONNECTIONS = 9
# Without relays each of the nodes has a connection to each target. With them
# the first relay has one, and perhaps the second one and another node for a
# moment.
MAX_CALM_CONNECTIONS = 3
# A query has one sub-request for each shard. Nodes without relays would open a
# connection for nearly each of them; one for ten is the goal in calm
# conditions. Here a few more are allowed, for requests that start at once.
MAX_OPENED_PER_SUB_REQUEST = 0.2


class CountedConnections(set):
    """Open connections of a target, with their total and greatest number."""

    def __init__(self):
        super().__init__()
        self.total = 0
        self.peak = 0

    def add(self, conn):
        super().add(conn)
        self.total += 1
        self.peak = max(self.peak, len(self))


def count_connections(fleet):
    """Count the connections to each target from now on."""
    counted = {}
    for target in fleet.targets.values():
        counted[target.id] = CountedConnections()
        for conn in target._http.connections:
            set.add(counted[target.id], conn)
        counted[target.id].peak = len(counted[target.id])
        target._http.connections = counted[target.id]
    return counted


def expected_relays(fleet):
    """Return the relays of all targets."""
    members = tuple(
        Member(
            node.name,
            node.zone,
            node.host,
            1,
            2,
            3,
            entries=(Address(node.name, node.host, 1, node.zone, 1.0),),
        )
        for node in fleet.nodes
    )
    relays = Relays()
    relays.update(members, [(one, fleet._zones[one]) for one in fleet.targets])
    return relays


async def read_counter(node, name, reason):
    caller = HttpCaller(node.host, INTERNAL_PORTS[1])
    try:
        reply = await caller.call(
            b'GET /metrics HTTP/1.1\r\nHost: n\r\n\r\n', 1.0
        )
    finally:
        caller.close()
    found = re.search(
        rf'^\S*{name}\S*{{[^}}]*"{reason}"[^}}]*}} (\d+)',
        reply.body.decode(),
        re.MULTILINE,
    )
    return int(found.group(1)) if found else 0


async def total_of(nodes, name, reason):
    return sum([await read_counter(node, name, reason) for node in nodes])


async def wait_until_relayed(fleet):
    async def all_relayed():
        return all(
            node.lines('relays') and node.lines('relays')[-1]['active']
            for node in fleet.nodes
        )

    await wait_until(all_relayed, 5.0)
    # Idle connections of nodes that are no relays are closed after 0.5 s, and
    # streams to the relays are opened two in each round of 0.25 s.
    await asyncio.sleep(1.5)


# Guards against nodes that each open connections of their own to a target that
# accepts fewer than there are nodes.
@with_fleet(nodes=NODES, max_connections=MAX_CONNECTIONS)
async def test_targets_get_few_connections(fleet):
    await wait_until_relayed(fleet)
    counted = count_connections(fleet)
    rounds = 5
    for _ in range(rounds):
        for node in fleet.nodes:
            assert await query_coverage(fleet, node) == SHARDS
    assert max(one.peak for one in counted.values()) <= MAX_CALM_CONNECTIONS
    opened = sum(one.total for one in counted.values())
    sub_requests = rounds * NODES * SHARDS
    assert opened <= MAX_OPENED_PER_SUB_REQUEST * sub_requests
    assert await total_of(fleet.nodes, 'relayed', 'first') >= sub_requests / 2
    assert await total_of(fleet.nodes, 'relayed', 'direct') == 0


# Guards against a relay on which requests to its targets depend.
@with_fleet(nodes=NODES, max_connections=MAX_CONNECTIONS)
async def test_answers_go_on_without_a_killed_relay(fleet):
    await wait_until_relayed(fleet)
    counted = count_connections(fleet)
    relays = expected_relays(fleet)
    firsts = [relays.get(one).first for one in fleet.targets]
    busiest = max(set(firsts), key=firsts.count)
    others = [node for node in fleet.nodes if node.name != busiest]
    (killed,) = (node for node in fleet.nodes if node.name == busiest)

    async def query_often(node):
        covered = []
        for _ in range(40):
            covered.append(await query_coverage(fleet, node))
            await asyncio.sleep(0.05)
        return covered

    waiting = [asyncio.ensure_future(query_often(node)) for node in others]
    await asyncio.sleep(0.5)
    killed.send(signal.SIGKILL)
    for covered in await asyncio.gather(*waiting):
        # Parts of the queries that were under way may be missing.
        assert all(one in range(SHARDS // 2, SHARDS + 1) for one in covered)
        assert covered[-10:] == [SHARDS] * 10
    assert all(one.peak <= MAX_CONNECTIONS for one in counted.values())


# Guards against a request that runs twice, or whose reply is changed, because
# it went through a relay.
@with_fleet(nodes=NODES, max_connections=MAX_CONNECTIONS)
async def test_single_requests_go_through_relays_unchanged(fleet):
    await wait_until_relayed(fleet)
    for n, node in enumerate(fleet.nodes):
        request_id = fleet.request_id()
        path = f'/once/{n}'
        reply = await fleet.ask(node, path, request_id, 'POST', b'body')
        assert reply.status == 200
        promises.check_single(fleet, reply, path, request_id)
        (run,) = promises.runs_of(fleet, request_id)
        assert (run.method, run.path, run.body) == (b'POST', path, b'body')


# Guards against relays where each node may have a connection of its own.
@with_fleet(nodes=2, max_connections=MAX_CONNECTIONS)
async def test_nodes_with_a_connection_each_use_no_relays(fleet):
    for node in fleet.nodes:
        assert await query_coverage(fleet, node) == SHARDS
    await asyncio.sleep(0.6)
    for reason in ('first', 'second', 'other', 'direct'):
        assert await total_of(fleet.nodes, 'relayed', reason) == 0
    assert all(node.lines('relays') == [] for node in fleet.nodes)
