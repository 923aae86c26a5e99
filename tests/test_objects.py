"""Test that replicas of declared objects converge and never revert."""

from __future__ import annotations

import collections
import random

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from sesameward.configuration import declared
from sesameward.configuration import objects
from sesameward.configuration.objects import ObjectReplica
from sesameward.messages import StoredObject

NAMES = ('a', 'b', 'c')

# The name and the kind of each change: v writes a valid version of the object,
# x an invalid one, and d deletes the object.
change_lists = st.lists(
    st.tuples(st.sampled_from(NAMES), st.sampled_from('vvvxd')), max_size=12
)


def stored_object(kind, name, revision, change='v'):
    item = {'name': name, 'service': 's', 'targets': []}
    value = msgspec.json.encode(item) if change == 'v' else b'{"name": 1}'
    deleted = change == 'd'
    return StoredObject(
        kind, name, revision, b'' if deleted else value, deleted=deleted
    )


def build_history(changes):
    return [
        stored_object('pool', name, revision, change)
        for revision, (name, change) in enumerate(changes, 1)
    ]


def newest_by_key(history):
    return {(o.kind, o.name): o for o in history}


def expected_in_force(history):
    valid = [o for o in history if o.deleted or b'service' in o.value]
    return {k: o for k, o in newest_by_key(valid).items() if not o.deleted}


@hypothesis.given(change_lists, st.randoms(use_true_random=False))
def test_any_order_and_repetition_converges_and_never_goes_back(changes, rng):
    history = build_history(changes)
    deliveries = history + [o for o in history if rng.random() < 0.5]
    rng.shuffle(deliveries)
    replica = ObjectReplica()
    highest = collections.Counter()
    for stored in deliveries:
        for changed in replica.apply([stored]):
            assert changed.revision > highest[changed.name]
            highest[changed.name] = changed.revision
    assert replica.in_force() == expected_in_force(history)


@hypothesis.given(
    change_lists,
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(-1, 3)),
        max_size=30,
    ),
    st.randoms(use_true_random=False),
)
def test_agents_agree_after_pulls_in_any_order(changes, pulls, rng):
    history = build_history(changes)
    replicas = [ObjectReplica() for _ in range(4)]
    # A source below 0 means that the replica gets events from the store.
    for puller, source in pulls:
        before = replicas[puller].in_force()
        revision = replicas[puller].revision
        if source < 0:
            through = rng.randint(0, len(history))
            since = replicas[puller].revision
            replicas[puller].apply(history[since:through], through, since)
        else:
            pull_all_pages(replicas[puller], replicas[source])
        after = replicas[puller].in_force()
        assert replicas[puller].revision >= revision
        for key in before.keys() & after.keys():
            assert after[key].revision >= before[key].revision
    replicas[0].apply(
        history[replicas[0].revision :], len(history), replicas[0].revision
    )
    for replica in replicas[1:]:
        pull_all_pages(replica, replicas[0])
        assert replica.digest() == replicas[0].digest()
        assert replica.in_force() == expected_in_force(history)


def pull_all_pages(puller, source):
    digest = puller.digest()
    delta = source.delta(digest)
    pages = list(delta.objects)
    while delta.cursor is not None:
        delta = source.delta(digest, delta.cursor)
        pages += delta.objects
    puller.apply_delta(msgspec.structs.replace(delta, objects=tuple(pages)))
    assert puller.is_consistent_with(delta)


def test_listing_deletes_what_is_absent_and_old_copies_stay_out():
    replica = ObjectReplica()
    old = stored_object('pool', 'a', 1)
    replica.apply([old, stored_object('pool', 'b', 2)], 2)
    changed = replica.replace([stored_object('pool', 'b', 2)], 9)
    assert [(o.name, o.deleted) for o in changed] == [('a', True)]
    assert replica.apply([old]) == []
    assert replica.replace([old], 1) == []
    assert set(replica.in_force()) == {('pool', 'b')}


def test_gap_leaves_the_revision():
    replica = ObjectReplica()
    replica.apply([stored_object('pool', 'a', 7)], 7, since=5)
    assert replica.revision == 0
    assert ('pool', 'a') in replica.in_force()


def test_invalid_object_keeps_the_last_good_one(metrics):
    replica = ObjectReplica(metrics)
    replica.apply([stored_object('pool', 'a', 1)], 1)
    assert replica.apply([stored_object('pool', 'a', 2, 'x')], 2) == []
    assert replica.in_force()['pool', 'a'].revision == 1
    assert [r.revision for r in replica.rejected()] == [2]
    assert metrics.value('config_refused', 'invalid') == 1
    replica.apply([stored_object('pool', 'a', 3)], 3)
    assert replica.rejected() == ()


def test_object_under_another_name_is_refused():
    replica = ObjectReplica()
    stored = msgspec.structs.replace(stored_object('pool', 'a', 1), name='z')
    assert replica.apply([stored], 1) == []
    assert 'name' in replica.rejected()[0].problem


def test_pages_carry_everything(monkeypatch):
    monkeypatch.setattr(objects, 'PAGE_BYTES', 100)
    source = ObjectReplica()
    source.apply([stored_object('pool', f'p{i}', i) for i in range(1, 30)], 29)
    fresh = ObjectReplica()
    assert source.delta(fresh.digest()).cursor is not None
    pull_all_pages(fresh, source)
    assert fresh.in_force() == source.in_force()


def test_dropped_tombstones_lead_to_a_full_delta(monkeypatch):
    monkeypatch.setattr(objects, 'MAX_TOMBSTONES', 4)
    source, stale = ObjectReplica(), ObjectReplica()
    first = [stored_object('pool', f'p{i}', i) for i in range(1, 10)]
    for replica in (source, stale):
        replica.apply(first, 9)
    deletions = [
        stored_object('pool', f'p{i}', i + 9, 'd') for i in range(1, 9)
    ]
    source.apply(deletions, 17)
    assert source.delta(stale.digest()).full
    pull_all_pages(stale, source)
    assert set(stale.in_force()) == {('pool', 'p9')}


@pytest.mark.parametrize('seed', range(3))
def test_views_follow_the_book(service, pool, seed):
    items = [service, pool]
    random.Random(seed).shuffle(items)
    replica = ObjectReplica()
    for revision, item in enumerate(items, 1):
        kind, value = declared.kind_of(item), declared.encode(item)
        replica.apply(
            [StoredObject(kind, item.name, revision, value)], revision
        )
    assert replica.services() == {service.service: service}
    assert replica.service(service.service) == service
    assert replica.pools(service.service) == [pool]
    assert len(replica) == 2
