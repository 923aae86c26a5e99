"""Test rendezvous (highest random weight) hashing."""

from __future__ import annotations

import collections

import hypothesis
from hypothesis import strategies as st

from sesameward import rendezvous

NODES = [f'n{i}' for i in range(20)]


def test_is_stable_across_releases():
    assert rendezvous.pick('t', ['a', 'b', 'c'], 3) == ['c', 'a', 'b']


@hypothesis.given(st.text(), st.sets(st.text(), min_size=1), st.integers(0, 5))
def test_losing_a_node_moves_only_its_keys(key, nodes, count):
    picked = rendezvous.pick(key, nodes, count)
    assert len(picked) == min(count, len(nodes))
    for removed in nodes - set(picked):
        assert rendezvous.pick(key, nodes - {removed}, count) == picked
    for removed in picked:
        new_pick = rendezvous.pick(key, nodes - {removed}, count)
        assert [n for n in picked if n != removed] == new_pick[
            : len(picked) - 1
        ]


def test_spreads_evenly():
    keys_per_node = collections.Counter(
        rendezvous.pick(f'key-{i}', NODES, 1)[0] for i in range(4_000)
    )
    assert len(keys_per_node) == len(NODES)
    assert max(keys_per_node.values()) < 1.5 * 4_000 / len(NODES)
