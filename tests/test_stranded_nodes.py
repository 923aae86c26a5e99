"""Test that callers of nodes that have lost all targets are served.

A node is stranded while it is cut off from all targets, but not from callers,
the store and the other nodes.
"""

import asyncio
import collections
import itertools
import signal
import time

import pytest

from sesameward.standin.fleet import DEADLINE_MS
from sesameward.standin.links import Cut
from tests import promises
from tests.scenarios import SHARDS
from tests.scenarios import with_fleet

# From this time after the cut on, requests at stranded nodes must be served
# as often as at the others, within SERVED_GAP.
SETTLED_S = 4.0
SERVED_GAP = 0.05
CUT_S = 9.0
REQUESTS_PER_S = 40.0
# Requests to a service that take longer than replies to queries.
SLOW_WORK_S = 0.2
SLOW_REQUESTS_PER_S = 12.0
# Time for which a node serves on after SIGTERM at least.
LEAVING_S = 2.3
# After the end of a cut all nodes must serve everything again within this.
RECOVERED_S = 1.5
# A request that nobody can serve must be refused at once, nine of ten within
# this time, and none after half of its deadline of 1 s.
REFUSED_WITHIN_S = 0.1
LATEST_REFUSAL_S = 0.5
PATHS = ('/q/1', '/q/2', '/safe/1', '/once/1')
# A node with a capped core stands still for up to this time. PAUSES such
# pauses begin PAUSE_PERIOD_S after each other.
PAUSE_S = 0.1
PAUSES = 4
PAUSE_PERIOD_S = 1.2
# A pause in which all queries with a short deadline end, and the time from its
# end until requests must be served again.
LONG_PAUSE_S = 0.6
AFTER_PAUSE_S = 0.15
SHORT_DEADLINE_MS = 250


class Load:
    """Send requests of all kinds to all nodes; keep how each one ended."""

    def __init__(
        self,
        fleet,
        requests_per_s=REQUESTS_PER_S,
        paths=PATHS,
        deadline_ms=DEADLINE_MS,
    ):
        self.fleet = fleet
        self.nodes = fleet.nodes
        self.requests_per_s = requests_per_s
        self.paths = paths
        self.deadline_ms = deadline_ms
        self.results = []
        self._tasks = set()

    async def run(self, length_s):
        asked = itertools.cycle(itertools.product(self.paths, self.nodes))
        until = time.monotonic() + length_s
        while time.monotonic() < until:
            path, node = next(asked)
            if node.is_running:
                task = asyncio.create_task(self._send(node, path))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / self.requests_per_s)
        await asyncio.gather(*self._tasks)

    async def _send(self, node, path):
        request_id = self.fleet.request_id()
        is_once = path.startswith('/once')
        sent_at = time.monotonic()
        try:
            reply = await self.fleet.ask(
                node,
                path,
                request_id,
                *(('POST', b'x') if is_once else ()),
                deadline_ms=self.deadline_ms,
            )
        except Exception:
            reply = None
        took_s = time.monotonic() - sent_at
        self.results.append((node.name, path, sent_at, reply, took_s))
        if reply is not None and reply.status == 200:
            if path.startswith('/q'):
                promises.check_query(
                    self.fleet, reply, path, request_id, SHARDS
                )
            else:
                promises.check_single(self.fleet, reply, path, request_id)
        if is_once:
            promises.check_once(self.fleet, reply, request_id)

    def served(self, names, since, until):
        """Return the served share of the requests, by kind."""
        ends = collections.defaultdict(list)
        for name, path, sent_at, reply, _ in self.results:
            if name in names and since <= sent_at < until:
                kind = path.split('/')[1]
                ends[kind].append(reply is not None and reply.status == 200)
        return {kind: sum(oks) / len(oks) for kind, oks in ends.items()}


def check_served(load, stranded, cut_at, until):
    since = cut_at + SETTLED_S
    names = {node.name for node in load.fleet.nodes}
    others = load.served(names - stranded, since, until)
    for kind, share in load.served(stranded, since, until).items():
        assert share >= others.get(kind, 1.0) - SERVED_GAP, (kind, share)
        assert share >= 1.0 - SERVED_GAP, (kind, share)


def check_refused(load, cut_at, until):
    times_s = []
    for _, _, sent_at, reply, took_s in load.results:
        if cut_at + SETTLED_S <= sent_at < until - 1.0:
            assert reply.status == 503
            assert float(promises.header(reply, 'Retry-After')) > 0.0
            times_s.append(took_s)
    assert max(times_s) < LATEST_REFUSAL_S
    assert sum(s < REFUSED_WITHIN_S for s in times_s) >= 0.9 * len(times_s)


async def play_cut(fleet, load, stranded, how):
    """Cut nodes off for CUT_S; return when the cut began and ended."""
    cut_at = time.monotonic()
    for node in stranded:
        await node.links.cut(how)
    await asyncio.sleep(CUT_S)
    until = time.monotonic()
    for node in stranded:
        await node.links.heal()
    return cut_at, until


# Callers of nodes without connections to any target got no answers: requests
# for one target had no other way, and helpers without connections were
# preferred because they refused everything at once.
@pytest.mark.parametrize('how', list(Cut))
@pytest.mark.parametrize(
    ('count', 'stranded_numbers'),
    [(5, (0, 1, 2)), (5, (0, 2, 4)), (2, (1,))],
    ids=['most', 'zone', 'one_of_two'],
)
def test_requests_at_stranded_nodes_are_served(count, stranded_numbers, how):
    @with_fleet(nodes=count, linked=True)
    async def scenario(fleet):
        load = Load(fleet)
        running = asyncio.create_task(load.run(CUT_S + 2 * RECOVERED_S + 1.0))
        await asyncio.sleep(1.0)
        stranded = [fleet.nodes[n] for n in stranded_numbers]
        cut_at, until = await play_cut(fleet, load, stranded, how)
        await running
        names = {node.name for node in stranded}
        check_served(load, names, cut_at, until)
        everyone = {node.name for node in fleet.nodes}
        after = load.served(everyone, until + RECOVERED_S, until + 99.0)
        assert min(after.values()) >= 1.0 - SERVED_GAP, after

    scenario()


# A helper that waits for a slow reply was taken for frozen, so that a node
# without any other helper refused what it could have served.
def test_slow_requests_at_a_stranded_node_are_served():
    @with_fleet(nodes=2, linked=True)
    async def scenario(fleet):
        for target_id in fleet.services['desk']:
            fleet.targets[target_id].faults.work_s = SLOW_WORK_S
        load = Load(fleet, SLOW_REQUESTS_PER_S)
        running = asyncio.create_task(load.run(CUT_S + 1.0))
        await asyncio.sleep(1.0)
        cut = await play_cut(fleet, load, [fleet.nodes[0]], Cut.HANG)
        await running
        check_served(load, {'node-0'}, *cut)

    scenario()


# Each kind of cut leaves open connections in another state for the next one.
@pytest.mark.parametrize(
    'kinds',
    [
        (Cut.REFUSE_NEW, Cut.HANG, Cut.RESET, Cut.REFUSE_NEW),
        (Cut.RESET, Cut.ONE_WAY, Cut.REFUSE_NEW, Cut.HANG),
    ],
)
def test_requests_are_served_through_changing_cuts(kinds):
    @with_fleet(nodes=5, linked=True)
    async def scenario(fleet):
        load = Load(fleet)
        running = asyncio.create_task(load.run(CUT_S + 3.0))
        await asyncio.sleep(1.0)
        stranded = fleet.nodes[:3]
        cut_at = time.monotonic()
        for how in kinds:
            for node in stranded:
                await node.links.cut(how, without_healing=True)
            await asyncio.sleep(CUT_S / len(kinds))
        until = time.monotonic()
        for node in stranded:
            await node.links.heal()
        await running
        check_served(load, {node.name for node in stranded}, cut_at, until)

    scenario()


# A node that starts while it is cut off has no connection that could break.
def test_node_that_starts_while_it_is_stranded_serves():
    @with_fleet(nodes=3, linked=True)
    async def scenario(fleet):
        load = Load(fleet)
        node = fleet.nodes[0]
        running = asyncio.create_task(load.run(CUT_S + 2.0))
        await asyncio.sleep(1.0)
        cut_at = time.monotonic()
        await node.links.cut(Cut.HANG)
        node.send(signal.SIGKILL)
        node.process.wait()
        node.start()
        await asyncio.sleep(CUT_S)
        until = time.monotonic()
        await node.links.heal()
        await running
        check_served(load, {node.name}, cut_at, until)

    scenario()


# A node without connections refused everything while its only helper left,
# which serves on for seconds, and cuts nothing off that it has begun.
def test_stranded_node_is_served_while_its_only_helper_leaves():
    @with_fleet(nodes=2, linked=True)
    async def scenario(fleet):
        stranded, helper = fleet.nodes
        load = Load(fleet)
        load.nodes = [stranded]
        running = asyncio.create_task(load.run(1.0 + SETTLED_S + LEAVING_S))
        await asyncio.sleep(1.0)
        cut_at = time.monotonic()
        await stranded.links.cut(Cut.HANG)
        await asyncio.sleep(SETTLED_S)
        helper.send(signal.SIGTERM)
        await running
        check_served(load, {stranded.name}, cut_at, cut_at + 99.0)

    scenario()


async def pause(node, for_s):
    node.send(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    node.send(signal.SIGCONT)


# A node without connections refused everything for a second after each moment
# in which its only helper stood still.
def test_stranded_node_is_served_while_its_only_helper_pauses():
    @with_fleet(nodes=2, linked=True)
    async def scenario(fleet):
        stranded, helper = fleet.nodes
        load = Load(fleet)
        load.nodes = [stranded]
        running = asyncio.create_task(
            load.run(1.0 + SETTLED_S + PAUSES * PAUSE_PERIOD_S)
        )
        await asyncio.sleep(1.0)
        cut_at = time.monotonic()
        await stranded.links.cut(Cut.HANG)
        await asyncio.sleep(SETTLED_S)
        for _ in range(PAUSES):
            await pause(helper, PAUSE_S)
            await asyncio.sleep(PAUSE_PERIOD_S - PAUSE_S)
        await running
        check_served(load, {stranded.name}, cut_at, cut_at + 99.0)

    scenario()


# The same after a longer pause: all that the helper had been sent was
# cancelled meanwhile, so that it had nothing to answer.
def test_stranded_node_is_served_once_its_only_helper_runs_again():
    @with_fleet(nodes=2, linked=True)
    async def scenario(fleet):
        stranded, helper = fleet.nodes
        load = Load(
            fleet, paths=('/q/1', '/q/2'), deadline_ms=SHORT_DEADLINE_MS
        )
        load.nodes = [stranded]
        running = asyncio.create_task(
            load.run(1.0 + SETTLED_S + LONG_PAUSE_S + PAUSE_PERIOD_S)
        )
        await asyncio.sleep(1.0)
        await stranded.links.cut(Cut.HANG)
        await asyncio.sleep(SETTLED_S)
        await pause(helper, LONG_PAUSE_S)
        served_from = time.monotonic() + AFTER_PAUSE_S
        await running
        served = load.served({stranded.name}, served_from, served_from + 99.0)
        assert served['q'] >= 1.0 - SERVED_GAP

    scenario()


# Nodes that could help fall silent one after the other.
def test_stranded_node_without_helpers_refuses_at_once():
    @with_fleet(nodes=3, linked=True)
    async def scenario(fleet):
        load = Load(fleet)
        load.nodes = fleet.nodes[:1]
        running = asyncio.create_task(load.run(CUT_S + 1.0))
        await asyncio.sleep(1.0)
        cut_at = time.monotonic()
        await fleet.nodes[0].links.cut(Cut.HANG)
        for node in fleet.nodes[1:]:
            node.send(signal.SIGSTOP)
        await asyncio.sleep(CUT_S)
        until = time.monotonic()
        for node in fleet.nodes[1:]:
            node.send(signal.SIGCONT)
        await running
        check_refused(load, cut_at, until)

    scenario()


# Requests that no node could pass on waited for their deadline.
@pytest.mark.parametrize('how', [Cut.HANG, Cut.RESET])
def test_requests_are_refused_at_once_if_all_nodes_are_stranded(how):
    @with_fleet(nodes=3, linked=True)
    async def scenario(fleet):
        load = Load(fleet)
        running = asyncio.create_task(load.run(CUT_S + 2 * RECOVERED_S + 1.0))
        await asyncio.sleep(1.0)
        cut_at, until = await play_cut(fleet, load, fleet.nodes, how)
        await running
        check_refused(load, cut_at, until)
        everyone = {node.name for node in fleet.nodes}
        after = load.served(everyone, until + RECOVERED_S, until + 99.0)
        assert min(after.values()) >= 1.0 - SERVED_GAP, after

    scenario()
