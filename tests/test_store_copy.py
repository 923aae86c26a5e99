"""Test that copies of a store stay in order when it is restored.

Answers and requests are delivered late, in any order, or not at all, while
the store changes, goes back to older copies and gives out the same revisions
again.
"""

import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import pytest

from sesameward.messages import Delta
from sesameward.messages import Digest
from sesameward.messages import Pull
from sesameward.messages import StoredObject
from sesameward.metrics import Metrics
from sesameward.serving.epochs import Order
from sesameward.serving.epochs import Position
from sesameward.serving.store_copy import Changed
from sesameward.serving.store_copy import Reading
from sesameward.serving.store_copy import Refused
from sesameward.serving.store_copy import Restored
from sesameward.serving.store_copy import StoreCopy

KIND = 'things'
NODES = ('a', 'b', 'c')
NAMES = ('x', 'y', 'z')


class Store:
    """A store in memory which can be restored from its copies.

    It names its first epoch only if names_first is True.
    """

    def __init__(self, names_first=True):
        self.names_first = names_first
        self.epoch = 1
        self.revision = 1
        self.objects = {}
        self.events = []
        self.history = {(1, 1): {}}

    @property
    def position(self):
        if self.epoch == 1 and not self.names_first:
            return Position(self.revision)
        return Position(self.revision, self.epoch)

    def put(self, name, value):
        self.revision += 1
        self.objects[name] = StoredObject(KIND, name, self.revision, value)
        self._record(self.objects[name])

    def delete(self, name):
        if name in self.objects:
            self.revision += 1
            del self.objects[name]
            self._record(StoredObject(KIND, name, self.revision, deleted=True))

    def _record(self, event):
        self.events.append(event)
        self.history[self.epoch, self.revision] = contents(
            self.objects.values()
        )

    def copy(self):
        return self.revision, dict(self.objects)

    def restore(self, copy):
        self.revision, objects = copy
        self.objects = dict(objects)
        self.events = [e for e in self.events if e.revision <= self.revision]
        self.epoch += 1
        self.history[self.epoch, self.revision] = contents(
            self.objects.values()
        )

    def list(self):
        return self.position, list(self.objects.values())

    def changes_after(self, since):
        """Return None if the store doesn't have this revision."""
        if since > self.revision:
            return None
        found = [e for e in self.events if e.revision > since]
        return self.position, found


def contents(objects):
    return {stored.name: stored.value for stored in objects}


def values_of(copy):
    return contents(copy.replica.in_force().values())


class CopiesOfOneStore(stateful.RuleBasedStateMachine):
    """Several nodes copy one store, from it and from each other."""

    saved = stateful.Bundle('saved')
    replies = stateful.Bundle('replies')
    requests = stateful.Bundle('requests')

    names_first = True

    def __init__(self):
        super().__init__()
        self.store = Store(self.names_first)
        self.copies = {node: StoreCopy(KIND, Metrics('t')) for node in NODES}
        self.positions = dict.fromkeys(NODES, (0, 0))

    @stateful.rule(name=st.sampled_from(NAMES), value=st.binary(max_size=2))
    def put(self, name, value):
        self.store.put(name, value)

    @stateful.rule(name=st.sampled_from(NAMES))
    def delete(self, name):
        self.store.delete(name)

    @stateful.rule(target=saved)
    def save(self):
        return self.store.copy()

    @stateful.rule(copy=saved)
    def restore(self, copy):
        self.store.restore(copy)

    @stateful.rule(target=replies, node=st.sampled_from(NODES))
    def list(self, node):
        position, objects = self.store.list()
        return lambda: self.copies[node].apply_list(position, objects)

    @stateful.rule(target=replies, node=st.sampled_from(NODES))
    def watch(self, node):
        since = self.copies[node].watch_position()
        if since is None:
            return stateful.multiple()
        changes = self.store.changes_after(since.revision)
        if changes is None:
            return stateful.multiple()
        return lambda: self.copies[node].apply_watch(since, *changes)

    @stateful.rule(target=requests, node=st.sampled_from(NODES))
    def ask_other_node(self, node):
        return node, self.copies[node].pull_request()

    @stateful.rule(
        target=replies,
        asked=stateful.consumes(requests),
        other=st.sampled_from(NODES),
    )
    def answer_other_node(self, asked, other):
        node, request = asked
        delta = self.copies[other].answer(request)
        return lambda: self.copies[node].apply_delta(delta)

    @stateful.rule(reply=stateful.consumes(replies))
    def deliver(self, reply):
        reply()

    @stateful.rule(reader=st.sampled_from(NODES), node=st.sampled_from(NODES))
    def hear_reading(self, reader, node):
        reading = self.copies[reader].reading(reader)
        self.copies[node].confirm(reading)

    @stateful.invariant()
    def no_copy_goes_back(self):
        for node, copy in self.copies.items():
            position = copy.epoch or 0, copy.replica.revision
            assert position >= self.positions[node]
            self.positions[node] = position

    @stateful.invariant()
    def copies_are_what_the_store_had_at_their_position(self):
        for copy in self.copies.values():
            if copy.replica.revision:
                position = copy.epoch or 1, copy.replica.revision
                assert values_of(copy) == self.store.history[position]

    def teardown(self):
        reader = self.copies['a']
        reader.apply_list(*self.store.list())
        for node in ('b', 'c'):
            copy = self.copies[node]
            copy.apply_delta(reader.answer(copy.pull_request()))
            assert copy.confirm(reader.reading('a'))
        for copy in self.copies.values():
            assert values_of(copy) == contents(self.store.objects.values())


class CopiesOfUnnamedEpoch(CopiesOfOneStore):
    """The same, of a store that names no epoch until its first restore."""

    names_first = False


TestCopiesOfOneStore = CopiesOfOneStore.TestCase
TestCopiesOfUnnamedEpoch = CopiesOfUnnamedEpoch.TestCase
TestCopiesOfOneStore.settings = TestCopiesOfUnnamedEpoch.settings = settings(
    max_examples=300, stateful_step_count=40
)


@pytest.fixture
def store():
    store = Store()
    for number in range(5):
        store.put('x', b'%d' % number)
    return store


@pytest.fixture
def copy(store):
    copy = StoreCopy(KIND, Metrics('t'))
    copy.apply_list(*store.list())
    return copy


# Guards against a watch that goes on over a restore: the store has given out
# the revision of the copy again, so the changes seem to continue it.
def test_watch_is_refused_where_its_revision_was_given_out_again(store, copy):
    since = copy.watch_position()
    store.restore((2, {}))
    for _ in range(6):
        store.put('y', b'new')
    update = copy.apply_watch(since, *store.changes_after(since.revision))
    assert update == Refused('later_epoch')
    assert isinstance(copy.apply_list(*store.list()), Restored)
    assert values_of(copy) == {'y': b'new'}


# Guards against a watch that was answered after this node had heard of the
# restore from another node.
def test_watch_from_before_a_restore_is_refused(store, copy):
    since = copy.watch_position()
    store.restore((2, {}))
    copy.apply_list(*store.list())
    for _ in range(6):
        store.put('y', b'new')
    update = copy.apply_watch(since, *store.changes_after(since.revision))
    assert isinstance(update, Refused)


def test_list_of_an_earlier_epoch_is_refused(store, copy):
    late = store.list()
    store.restore((2, {}))
    copy.apply_list(*store.list())
    assert copy.apply_list(*late) == Refused('earlier_epoch')


def test_reading_of_an_earlier_epoch_makes_nothing_current(store, copy):
    late = copy.reading('b')
    store.restore((2, {}))
    copy.apply_list(*store.list())
    assert copy.order(late) is Order.EARLIER
    assert not copy.confirm(late)
    assert copy.watch_position() == store.position


def test_first_list_is_no_restore(store):
    copy = StoreCopy(KIND, Metrics('t'))
    assert isinstance(copy.apply_list(*store.list()), Changed)


def test_part_of_a_later_epoch_is_refused(store, copy):
    part = Delta(store.revision, store.revision + 1, epoch=2)
    assert copy.apply_delta(part) == Refused('part_of_later_epoch')
    assert copy.epoch == 1


# A store that names no epoch is ordered by its revisions alone.
def test_store_without_epoch_never_goes_back(store):
    copy = StoreCopy(KIND, Metrics('t'))
    position, objects = store.list()
    copy.apply_list(Position(position.revision), objects)
    late = Position(position.revision - 1)
    assert copy.apply_list(late, []) == Refused('earlier_revision')
    assert values_of(copy) == contents(objects)


# Guards against nodes that go back: a store that names an epoch only once it
# was restored was not known to have been restored, so objects of nodes that
# had not read it since were taken for newer ones.
def test_first_epoch_that_a_store_names_is_that_of_a_restore():
    store = Store(names_first=False)
    store.put('x', b'old')
    late, copy = (StoreCopy(KIND, Metrics('t')) for _ in range(2))
    before = store.copy()
    store.put('x', b'lost')
    for one in (late, copy):
        one.apply_list(*store.list())
    store.restore(before)
    assert isinstance(copy.apply_list(*store.list()), Restored)
    assert copy.order(late.reading('late')) is Order.EARLIER
    delta = late.answer(copy.pull_request())
    assert copy.apply_delta(delta) == Refused('earlier_epoch')
    late.apply_delta(copy.answer(late.pull_request()))
    assert values_of(copy) == values_of(late) == {'x': b'old'}


# Guards against a node that gets no changes from another one during an
# upgrade: it has the objects of a node of an earlier release, which names no
# epoch, and refuses each part that bears one.
def test_whole_is_pulled_after_a_part_of_a_later_epoch(store, copy):
    behind = StoreCopy(KIND, Metrics('t'))
    objects = tuple(store.objects.values())
    behind.apply_delta(Delta(0, store.revision, objects, full=True))
    since = copy.watch_position()
    store.put('y', b'new')
    copy.apply_watch(since, *store.changes_after(since.revision))
    part = copy.answer(behind.pull_request())
    assert behind.apply_delta(part) == Refused('part_of_later_epoch')
    behind.apply_delta(copy.answer(behind.pull_request()))
    assert values_of(behind) == values_of(copy) == {'x': b'4', 'y': b'new'}
    assert behind.confirm(copy.reading('b'))
    assert not copy.answer(behind.pull_request()).full


def test_answer_without_readable_epoch_counts_as_the_same(store, copy):
    unreadable = Position(store.revision, is_epoch_valid=False)
    store.put('y', b'new')
    since = copy.watch_position()
    _, events = store.changes_after(since.revision)
    update = copy.apply_watch(
        since, Position(store.revision, is_epoch_valid=False), events
    )
    assert isinstance(update, Changed)
    assert copy.epoch == store.epoch
    assert copy.apply_list(unreadable, []) == Refused('earlier_revision')


# Nodes of an earlier release name no epoch. Before a restore they are pulled
# from as ever; after it, what they have may be from before.
def test_node_of_an_earlier_release_is_believed_until_a_restore(store, copy):
    store.put('y', b'new')
    newer = StoreCopy(KIND, Metrics('t'))
    newer.apply_list(*store.list())
    answered = newer.answer(copy.pull_request())
    delta = Delta(answered.since, answered.revision, answered.objects)
    assert isinstance(copy.apply_delta(delta), Changed)
    assert values_of(copy) == {'x': b'4', 'y': b'new'}
    reading = Reading('old', store.revision + 9, store.revision + 9)
    assert copy.order(reading) is Order.SAME
    store.restore((2, {}))
    copy.apply_list(*store.list())
    assert copy.order(reading) is Order.EARLIER
    assert copy.apply_delta(delta) == Refused('earlier_epoch')


def test_many_nodes_settle_on_one_epoch_whoever_sees_it_first():
    rng = random.Random(1)
    store = Store()
    copies = [StoreCopy(KIND, Metrics('t')) for _ in range(300)]
    for number in range(20):
        store.put(f'n{number}', b'')
    for copy in copies:
        copy.apply_list(*store.list())
    store.restore((6, {}))
    copies[0].apply_list(*store.list())
    # Each pull goes to a random node, so some 2 x 300 x ln(300) are needed.
    for _ in range(10_000):
        copy, other = rng.sample(copies, 2)
        copy.apply_delta(other.answer(copy.pull_request()))
    assert all(copy.epoch == 2 for copy in copies)
    assert all(values_of(copy) == {} for copy in copies)


# Nodes of the release before epochs run beside this one during an upgrade. The
# structs are as that release defines them.
class OldReading(msgspec.Struct, frozen=True, array_like=True):
    node: str
    revision: int
    through: int


class OldDigest(msgspec.Struct, frozen=True):
    revision: int
    checksum: int = 0


class OldPull(msgspec.Struct, frozen=True):
    digest: OldDigest
    wanted: int = 0
    wait_s: float = 0.0
    after: int | None = None
    kind: str = ''


class OldDelta(msgspec.Struct, frozen=True):
    since: int
    revision: int
    objects: tuple[StoredObject, ...] = ()
    full: bool = False
    cursor: int | None = None
    checksum: int = 0


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        (OldReading('n', 3, 4), Reading('n', 3, 4)),
        (
            OldPull(OldDigest(3), kind=KIND),
            Pull(Digest(3), kind=KIND),
        ),
        (OldDelta(1, 3, full=True), Delta(1, 3, full=True)),
    ],
    ids=['reading', 'pull', 'delta'],
)
def test_messages_of_both_releases_are_read_by_each_other(old, new):
    encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
    assert decode(encode(old), type=type(new)) == new
    with_epoch = msgspec.structs.replace(new, epoch=7)
    assert decode(encode(with_epoch), type=type(old)) == old
