"""Check that all nodes follow changes while few of them read the store."""

import asyncio
import collections
import random

import pytest

from sesameward.exceptions import CompactedError
from sesameward.exceptions import PeerUnavailableError
from sesameward.exceptions import PlatformUnavailableError
from sesameward.messages import Member
from sesameward.messages import StoredObject
from sesameward.metrics import Metrics
from sesameward.serving import delivery
from sesameward.serving.epochs import Position
from sesameward.serving.mirror import Mirror
from sesameward.serving.mirror import PUBLISH_INTERVAL_S
from sesameward.serving.node_order import NodeOrder
from sesameward.serving.takeover import Takeover

KIND = 'things'
IN_FORCE_S = 0.9


class FakeStore:
    """A store in memory that counts calls and refuses those of some nodes."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []
        self.compacted_to = 0
        self.calls = {}
        self.refused_nodes = set()
        self.changed = asyncio.Event()
        self.old_list = None
        self.answers_nothing = False
        # The exception that each call raises, as a fault of the client would.
        self.fault = None
        self.epoch = 1

    def restore(self, revision, objects):
        self.revision = revision
        self.objects = dict(objects)
        self.events.clear()
        self.epoch += 1
        self._wake()

    @property
    def position(self):
        return Position(self.revision, self.epoch)

    def put(self, name, value):
        self.revision += 1
        stored = StoredObject(KIND, name, self.revision, value)
        self.objects[name] = stored
        self._append_event(stored)

    def delete(self, name):
        self.revision += 1
        del self.objects[name]
        self._append_event(
            StoredObject(KIND, name, self.revision, deleted=True)
        )

    def compact(self):
        self.compacted_to = self.revision
        self.events.clear()
        self._wake()

    def _append_event(self, stored):
        self.events.append(stored)
        self._wake()

    def _wake(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class StoreView:
    """The fake store as called by one node."""

    def __init__(self, store, node):
        self.store = store
        self.node = node

    def _count_call(self, verb):
        key = self.node, verb
        self.store.calls[key] = self.store.calls.get(key, 0) + 1
        if self.node in self.store.refused_nodes:
            raise PlatformUnavailableError('the store refuses this node')
        if self.store.fault is not None:
            raise self.store.fault

    async def list(self, kind, timeout_s, allow_stale=False):
        self._count_call('stale' if allow_stale else 'list')
        if self.store.answers_nothing:
            await asyncio.sleep(timeout_s)
            raise PlatformUnavailableError('the store does not answer')
        if allow_stale and self.store.old_list is not None:
            return self.store.old_list
        return self.store.position, list(self.store.objects.values())

    async def watch(self, kind, since, wait_s, timeout_s):
        self._count_call('watch')
        if not self.store.compacted_to <= since <= self.store.revision:
            raise CompactedError('the history was compacted')
        found = [e for e in self.store.events if e.revision > since]
        if not found and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await self.store.changed.wait()
            except TimeoutError:
                pass
            if not self.store.compacted_to <= since <= self.store.revision:
                raise CompactedError('the history was compacted')
            found = [e for e in self.store.events if e.revision > since]
        return self.store.position, found


class Fleet:
    """Run one mirror for each node, with immediate delivery of rumors."""

    def __init__(self, names, zones=1):
        self.store = FakeStore()
        self.members = tuple(
            Member(name, f'z{index % zones}', 'h', 1, 2, 3)
            for index, name in enumerate(names)
        )
        self.cut_off = set()
        self.pulls = collections.Counter()
        self.changes_seen = {name: [] for name in names}
        # The consumers of updates fail if one of these objects is in them.
        self.harmful_names = set()
        self.mirrors = {name: self._make(name) for name in names}

    def _make(self, name):
        loop = asyncio.get_running_loop()

        async def pull(member, request):
            if {name, member.node} & self.cut_off:
                raise PeerUnavailableError('the peer is cut off')
            self.pulls[name, member.node] += 1
            return self.mirrors[member.node].answer(request)

        def publish(rumor):
            if name in self.cut_off:
                return
            for other, mirror in self.mirrors.items():
                if other != name and other not in self.cut_off:
                    loop.call_soon(mirror.on_rumor, rumor)

        def on_update(update):
            if self.harmful_names & {one.name for one in update.objects}:
                raise ValueError('an object that the consumer can not use')
            self.changes_seen[name].extend(update.objects)

        return Mirror(
            KIND,
            name,
            StoreView(self.store, name),
            pull,
            lambda: self.members,
            publish,
            on_update,
            Takeover(IN_FORCE_S, 0.0),
            Metrics('t'),
            random.Random(name),
            loop.time,
        )

    def watchers(self):
        return {n for n, m in self.mirrors.items() if m.watching}

    def values(self, name):
        book = self.mirrors[name].replica.in_force()
        return {key[1]: stored.value for key, stored in book.items()}


@pytest.fixture
def run():
    """Return a function that runs a scenario on a fleet of started mirrors."""

    def run(scenario, names=('a', 'b', 'c', 'd'), zones=1):
        async def main():
            fleet = Fleet(names, zones)
            fleet.store.put('x', b'1')
            for mirror in fleet.mirrors.values():
                mirror.start()
            await asyncio.sleep(0.8)
            try:
                return await scenario(fleet)
            finally:
                for mirror in fleet.mirrors.values():
                    await mirror.stop()

        return asyncio.run(main())

    return run


def test_nodes_that_start_while_the_store_is_silent_read_it_once_back():
    async def main():
        fleet = Fleet(('a', 'b', 'c', 'd'))
        fleet.store.put('x', b'1')
        fleet.store.answers_nothing = True
        for mirror in fleet.mirrors.values():
            mirror.start()
        await asyncio.sleep(0.7)
        call_count = sum(fleet.store.calls.values())
        fleet.store.answers_nothing = False
        try:
            async with asyncio.timeout(0.6):
                while not all(m.was_read for m in fleet.mirrors.values()):
                    await asyncio.sleep(0.01)
        finally:
            for mirror in fleet.mirrors.values():
                await mirror.stop()
        return call_count

    # Upper bounds for the four nodes in 0.7 s: the node of rank 0 calls every
    # 0.2 s, and the pause grows by 0.2 s with each rank.
    assert asyncio.run(main()) <= 4 + 4 + 2 + 2


async def all_reach(fleet, wanted, names=None):
    names = names or fleet.mirrors
    for _ in range(200):
        if all(fleet.values(name) == wanted for name in names):
            return True
        await asyncio.sleep(0.01)
    return False


def test_one_node_watches_and_all_follow(run):
    async def scenario(fleet):
        fleet.store.put('y', b'2')
        assert await all_reach(fleet, {'x': b'1', 'y': b'2'})
        fleet.store.delete('x')
        assert await all_reach(fleet, {'y': b'2'})
        assert len(fleet.watchers()) == 1

    run(scenario)


def test_node_that_the_store_turns_away_stays_current(run):
    async def scenario(fleet):
        (watcher,) = fleet.watchers()
        fleet.store.refused_nodes.add(watcher)
        fleet.store.put('y', b'2')
        assert await all_reach(fleet, {'x': b'1', 'y': b'2'})
        now = asyncio.get_running_loop().time()
        assert fleet.mirrors[watcher].age_s(now) < IN_FORCE_S

    run(scenario)


def test_node_that_stepped_in_goes_on_until_its_better_reads_again(run):
    async def scenario(fleet):
        clock = asyncio.get_running_loop().time
        (watcher,) = fleet.watchers()
        fleet.store.refused_nodes.add(watcher)
        fleet.store.put('y', b'')
        assert await all_reach(fleet, {'x': b'1', 'y': b''})
        for value in (b'2', b'3', b'4'):
            await asyncio.sleep(0.4)
            fleet.store.put('y', value)
            put_at = clock()
            assert await all_reach(fleet, {'x': b'1', 'y': value})
            # The node that took over still watches, so the change arrives
            # at once and not only after another takeover.
            assert clock() - put_at < 2 * PUBLISH_INTERVAL_S
        fleet.store.refused_nodes.clear()
        async with asyncio.timeout(3.0):
            while fleet.watchers() != {watcher}:
                await asyncio.sleep(0.01)

    run(scenario)


def test_one_node_of_a_zone_asks_another_zone(run):
    async def scenario(fleet):
        zone_of = {member.node: member.zone for member in fleet.members}
        fleet.pulls.clear()
        fleet.store.put('y', b'2')
        assert await all_reach(fleet, {'x': b'1', 'y': b'2'})
        pulls_by_zone = collections.Counter(
            zone_of[name]
            for name, source in fleet.pulls
            if zone_of[name] != zone_of[source]
        )
        (watcher,) = fleet.watchers()
        assert set(pulls_by_zone) == set(zone_of.values()) - {zone_of[watcher]}
        assert set(pulls_by_zone.values()) == {1}

    run(scenario, [f'n{index}' for index in range(24)], zones=3)


def test_node_whose_source_is_cut_off_asks_the_reader(run):
    async def scenario(fleet):
        (watcher,) = fleet.watchers()
        order = NodeOrder(KIND, watcher)
        in_zone = {m.node for m in order.zone_peers(fleet.members)} | {watcher}
        other_zone_node = next(n for n in fleet.mirrors if n not in in_zone)
        source = NodeOrder(KIND, other_zone_node).pull_source(
            watcher, fleet.members
        )
        fleet.cut_off.add(
            source.node if source.node != watcher else other_zone_node
        )
        fleet.store.put('y', b'2')
        names = [n for n in fleet.mirrors if n not in fleet.cut_off]
        assert await all_reach(fleet, {'x': b'1', 'y': b'2'}, names)

    run(scenario, [f'n{index}' for index in range(24)], zones=2)


def test_node_that_its_peers_cannot_reach_watches_by_itself(run):
    async def scenario(fleet):
        (watcher,) = fleet.watchers()
        isolated = next(n for n in fleet.mirrors if n != watcher)
        fleet.cut_off.add(isolated)
        await asyncio.sleep(IN_FORCE_S * 1.5)
        fleet.store.put('y', b'2')
        assert await all_reach(fleet, {'x': b'1', 'y': b'2'})
        assert isolated in fleet.watchers()

    run(scenario)


def test_change_is_in_force_in_time_though_the_watcher_is_cut_off(run):
    async def scenario(fleet):
        (watcher,) = fleet.watchers()
        fleet.cut_off.add(watcher)
        fleet.store.refused_nodes.add(watcher)
        started_at = asyncio.get_running_loop().time()
        fleet.store.put('y', b'2')
        others = [n for n in fleet.mirrors if n != watcher]
        assert await all_reach(fleet, {'x': b'1', 'y': b'2'}, others)
        # IN_FORCE_S is short in this test, so half of it is added for delays
        # of the event loop.
        took_s = asyncio.get_running_loop().time() - started_at
        assert took_s <= IN_FORCE_S * 1.5

    run(scenario)


def test_forgotten_history_is_made_up_by_a_list(run):
    async def scenario(fleet):
        fleet.store.put('y', b'2')
        fleet.store.delete('x')
        fleet.store.compact()
        assert await all_reach(fleet, {'y': b'2'})

    run(scenario)


def test_store_outage_keeps_the_last_state(run):
    async def scenario(fleet):
        fleet.store.refused_nodes.update(fleet.mirrors)
        await asyncio.sleep(IN_FORCE_S * 2)
        assert await all_reach(fleet, {'x': b'1'})
        fleet.store.refused_nodes.clear()
        fleet.store.put('y', b'2')
        assert await all_reach(fleet, {'x': b'1', 'y': b'2'})

    run(scenario)


def test_old_list_at_the_start_never_hides_the_newest(run):
    async def scenario(fleet):
        old = (
            Position(fleet.store.revision),
            list(fleet.store.objects.values()),
        )
        fleet.store.old_list = old
        fleet.store.put('y', b'2')
        restarted = fleet._make('a')
        fleet.mirrors['a'] = restarted
        restarted.start()
        assert await all_reach(fleet, {'x': b'1', 'y': b'2'})
        await restarted.stop()

    run(scenario)


def test_state_never_goes_back(run):
    async def scenario(fleet):
        for n in range(20):
            fleet.store.put('x', b'%d' % n)
            await asyncio.sleep(0.02)
        assert await all_reach(fleet, {'x': b'19'})
        for changes_seen in fleet.changes_seen.values():
            revisions = [stored.revision for stored in changes_seen]
            assert revisions == sorted(revisions)

    run(scenario)


def test_refresh_reads_again_at_once(run):
    async def scenario(fleet):
        (watcher,) = fleet.watchers()
        before = fleet.store.calls[watcher, 'watch']
        fleet.mirrors[watcher].refresh()
        await asyncio.sleep(IN_FORCE_S / 3)
        assert fleet.store.calls[watcher, 'watch'] > before

    run(scenario)


def test_calls_do_not_grow_with_the_nodes(run):
    def count(names):
        async def scenario(fleet):
            fleet.store.calls.clear()
            await asyncio.sleep(2.0)
            return sum(fleet.store.calls.values())

        return run(scenario, names)

    few = count(('a', 'b', 'c'))
    many = count(tuple('abcdefghijkl'))
    assert many <= few + 4


# Guards against nodes that refuse what a restored store has, until its
# revision has passed their own. The store may have given out that revision
# again before the first node reads it.
@pytest.mark.parametrize('further', [0, 40], ids=['behind', 'beyond'])
def test_change_after_a_restore_reaches_all_nodes(run, further):
    async def scenario(fleet):
        copy = fleet.store.revision, dict(fleet.store.objects)
        for n in range(20):
            fleet.store.put('x', b'%d' % n)
        assert await all_reach(fleet, {'x': b'19'})
        for _ in range(2):
            fleet.store.restore(*copy)
            for n in range(further):
                fleet.store.put('y', b'%d' % n)
            fleet.store.put('y', b'new')
            assert await all_reach(fleet, {'x': b'1', 'y': b'new'})

    run(scenario)


# Guards against a storm of calls: each node may list the objects once, but
# must not go on to call since its copy is beyond the restored store.
def test_calls_after_a_restore_stay_few(run):
    async def scenario(fleet):
        for n in range(20):
            fleet.store.put('x', b'%d' % n)
        assert await all_reach(fleet, {'x': b'19'})
        fleet.store.calls.clear()
        fleet.store.restore(2, {})
        assert await all_reach(fleet, {})
        assert fleet.store.calls[next(iter(fleet.watchers())), 'list'] == 1
        listed = sum(
            n for (_, v), n in fleet.store.calls.items() if v == 'list'
        )
        assert listed <= 2

    run(scenario, [f'n{index}' for index in range(24)])


# Guards against an exception other than PlatformError ending the reading of
# the store for good, on one node after the other.
@pytest.mark.parametrize('fault', [RecursionError(), ValueError()])
def test_reading_goes_on_after_an_unexpected_exception(run, fault):
    async def scenario(fleet):
        fleet.store.fault = fault
        fleet.store.put('y', b'2')
        await asyncio.sleep(4 * IN_FORCE_S)
        fleet.store.fault = None
        fleet.store.put('z', b'3')
        assert await all_reach(fleet, {'x': b'1', 'y': b'2', 'z': b'3'})

    run(scenario)


# Guards against a watch that fails again and again because of a change that
# the store sends again until its history is gone.
def test_changes_that_can_not_be_read_are_made_up_by_a_list(run):
    async def scenario(fleet):
        view_class = StoreView
        watch = view_class.watch

        async def failing_watch(self, kind, since, wait_s, timeout_s):
            position, found = await watch(self, kind, since, wait_s, timeout_s)
            if any(one.value == b'harmful' for one in found):
                raise RecursionError
            return position, found

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(view_class, 'watch', failing_watch)
            fleet.store.put('y', b'harmful')
            await asyncio.sleep(IN_FORCE_S)
            fleet.store.delete('y')
            fleet.store.put('z', b'3')
            assert await all_reach(fleet, {'x': b'1', 'z': b'3'})

    run(scenario)


# Guards against an object that is missing at a node for good after a failure
# of the moment.
def test_object_that_failed_is_passed_on_later(run, monkeypatch):
    monkeypatch.setattr(delivery, 'RETRY_INTERVAL_S', 0.1)

    async def scenario(fleet):
        fleet.harmful_names.add('b')
        fleet.store.put('b', b'1')
        assert await all_reach(fleet, {'x': b'1', 'b': b'1'})
        fleet.harmful_names.clear()
        await asyncio.sleep(2 * IN_FORCE_S)
        for seen in fleet.changes_seen.values():
            assert {one.name for one in seen} == {'x', 'b'}

    run(scenario)


# Guards against one object that the consumer of the updates can't use keeping
# the others of the same update from it.
def test_object_that_its_consumer_can_not_use_harms_no_others(run):
    async def scenario(fleet):
        fleet.harmful_names.add('b')
        fleet.store.revision += 3
        for offset, name in enumerate('abc'):
            revision = fleet.store.revision - 2 + offset
            stored = StoredObject(KIND, name, revision, b'1')
            fleet.store.objects[name] = stored
            fleet.store.events.append(stored)
        fleet.store._wake()
        wanted = {name: b'1' for name in 'xabc'}
        assert await all_reach(fleet, wanted)
        for seen in fleet.changes_seen.values():
            assert {one.name for one in seen} == {'x', 'a', 'c'}
        fleet.store.put('d', b'2')
        assert await all_reach(fleet, wanted | {'d': b'2'})

    run(scenario)
