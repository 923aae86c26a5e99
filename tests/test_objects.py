"""Test that declared objects never go back."""

from __future__ import annotations

import collections
import random

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from sesameward.configuration import declared
from sesameward.configuration import objects
from sesameward.configuration.objects import ObjectBook
from sesameward.messages import StoredObject

NAMES = ('a', 'b', 'c')

changes = st.lists(
    st.tuples(st.sampled_from(NAMES), st.sampled_from('vvvxd')), max_size=12
)


def store(kind, name, revision, state='v'):
    item = {'name': name, 'service': 's', 'targets': []}
    value = msgspec.json.encode(item) if state == 'v' else b'{"name": 1}'
    deleted = state == 'd'
    return StoredObject(
        kind, name, revision, b'' if deleted else value, deleted=deleted
    )


def history_of(drawn):
    return [
        store('pool', name, revision, state)
        for revision, (name, state) in enumerate(drawn, 1)
    ]


def newest(history):
    return {(o.kind, o.name): o for o in history}


def truth(history):
    valid = [o for o in history if o.deleted or b'service' in o.value]
    return {k: o for k, o in newest(valid).items() if not o.deleted}


@hypothesis.given(changes, st.randoms(use_true_random=False))
def test_any_order_and_repetition_converges_and_never_goes_back(drawn, rng):
    history = history_of(drawn)
    deliveries = history + [o for o in history if rng.random() < 0.5]
    rng.shuffle(deliveries)
    book = ObjectBook()
    seen = collections.Counter()
    for stored in deliveries:
        for changed in book.apply([stored]):
            assert changed.revision > seen[changed.name]
            seen[changed.name] = changed.revision
    assert book.in_force() == truth(history)


@hypothesis.given(
    changes,
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(-1, 3)),
        max_size=30,
    ),
    st.randoms(use_true_random=False),
)
def test_agents_agree_after_pulls_in_any_order(drawn, pulls, rng):
    history = history_of(drawn)
    books = [ObjectBook() for _ in range(4)]
    for to, source in pulls:
        before = books[to].in_force()
        revision = books[to].revision
        if source < 0:
            through = rng.randint(0, len(history))
            since = books[to].revision
            books[to].apply(history[since:through], through, since)
        else:
            exchange(books[to], books[source])
        after = books[to].in_force()
        assert books[to].revision >= revision
        for key in before.keys() & after.keys():
            assert after[key].revision >= before[key].revision
    books[0].apply(
        history[books[0].revision :], len(history), books[0].revision
    )
    for book in books[1:]:
        exchange(book, books[0])
        assert book.digest() == books[0].digest()
        assert book.in_force() == truth(history)


def exchange(to, source):
    digest = to.digest()
    delta = source.delta(digest)
    pages = list(delta.objects)
    while delta.cursor is not None:
        delta = source.delta(digest, delta.cursor)
        pages += delta.objects
    to.apply_delta(msgspec.structs.replace(delta, objects=tuple(pages)))
    assert to.agrees(delta)


def test_listing_deletes_what_is_absent_and_old_copies_stay_out():
    book = ObjectBook()
    old = store('pool', 'a', 1)
    book.apply([old, store('pool', 'b', 2)], 2)
    changed = book.replace([store('pool', 'b', 2)], 9)
    assert [(o.name, o.deleted) for o in changed] == [('a', True)]
    assert book.apply([old]) == []
    assert book.replace([old], 1) == []
    assert set(book.in_force()) == {('pool', 'b')}


def test_gap_leaves_the_revision():
    book = ObjectBook()
    book.apply([store('pool', 'a', 7)], 7, since=5)
    assert book.revision == 0
    assert ('pool', 'a') in book.in_force()


def test_invalid_object_keeps_the_last_good_one(metrics):
    book = ObjectBook(metrics)
    book.apply([store('pool', 'a', 1)], 1)
    assert book.apply([store('pool', 'a', 2, 'x')], 2) == []
    assert book.in_force()['pool', 'a'].revision == 1
    assert [r.revision for r in book.rejected()] == [2]
    assert metrics.value('config_refused', 'invalid') == 1
    book.apply([store('pool', 'a', 3)], 3)
    assert book.rejected() == ()


def test_object_under_another_name_is_refused():
    book = ObjectBook()
    stored = msgspec.structs.replace(store('pool', 'a', 1), name='z')
    assert book.apply([stored], 1) == []
    assert 'name' in book.rejected()[0].problem


def test_pages_carry_everything(monkeypatch):
    monkeypatch.setattr(objects, 'PAGE_BYTES', 100)
    source = ObjectBook()
    source.apply([store('pool', f'p{i}', i) for i in range(1, 30)], 29)
    fresh = ObjectBook()
    assert source.delta(fresh.digest()).cursor is not None
    exchange(fresh, source)
    assert fresh.in_force() == source.in_force()


def test_dropped_tombstones_lead_to_a_full_delta(monkeypatch):
    monkeypatch.setattr(objects, 'MAX_TOMBSTONES', 4)
    source, stale = ObjectBook(), ObjectBook()
    first = [store('pool', f'p{i}', i) for i in range(1, 10)]
    for book in (source, stale):
        book.apply(first, 9)
    gone = [store('pool', f'p{i}', i + 9, 'd') for i in range(1, 9)]
    source.apply(gone, 17)
    assert source.delta(stale.digest()).full
    exchange(stale, source)
    assert set(stale.in_force()) == {('pool', 'p9')}


@pytest.mark.parametrize('seed', range(3))
def test_views_follow_the_book(service, pool, seed):
    items = [service, pool]
    random.Random(seed).shuffle(items)
    book = ObjectBook()
    for revision, item in enumerate(items, 1):
        kind, value = declared.kind_of(item), declared.encode(item)
        book.apply([StoredObject(kind, item.name, revision, value)], revision)
    assert book.services() == {service.service: service}
    assert book.service(service.service) == service
    assert book.pools(service.service) == [pool]
    assert len(book) == 2
