"""Test how targets are divided among nodes."""

from __future__ import annotations

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesameward.routing.homes import bucket_of
from sesameward.routing.homes import BUCKETS
from sesameward.routing.homes import Homes

WANTED = 4
SAMPLE = range(0, BUCKETS, 37)

ZONES = st.sampled_from(('a', 'b', 'c'))
FLEETS = st.dictionaries(
    st.integers(0, 19).map('n{}'.format), ZONES, min_size=1, max_size=20
)


def build(node, fleet):
    homes = Homes(node, fleet[node], WANTED)
    for other, zone in fleet.items():
        homes.add(other, zone)
    return homes


def table(homes):
    return [sorted(homes.of(bucket)) for bucket in SAMPLE]


@given(FLEETS)
@settings(max_examples=40)
def test_every_bucket_has_its_homes(fleet):
    homes = build(min(fleet), fleet)
    for found in map(homes.of, SAMPLE):
        assert len(found) == len(set(found))
        assert len(found) >= min(WANTED, len(fleet))
        assert {fleet[n] for n in found} == set(fleet.values())


@given(FLEETS, st.lists(st.tuples(st.sampled_from('arm'), st.integers(0, 19))))
@settings(max_examples=40)
def test_steps_give_what_a_fresh_start_gives(fleet, steps):
    own = min(fleet)
    homes = build(own, fleet)
    for kind, index in steps:
        node = f'n{index}'
        if kind == 'r' and node != own:
            fleet.pop(node, None)
            homes.remove(node)
        elif kind != 'r':
            fleet[node] = 'abc'[index % 3] if kind == 'a' else 'a'
            homes.add(node, fleet[node])
    assert table(homes) == table(build(own, fleet))


@given(FLEETS, st.data())
@settings(max_examples=40)
def test_missing_members_cost_only_surplus_probes(fleet, data):
    true_homes = build(min(fleet), fleet)
    for node in fleet:
        others = data.draw(st.sets(st.sampled_from(sorted(fleet))))
        view = {n: fleet[n] for n in {*others, node}}
        own = build(node, view).own()
        for bucket in SAMPLE:
            if node in true_homes.of(bucket):
                assert bucket in own


@given(FLEETS, FLEETS)
@settings(max_examples=40)
def test_a_living_home_probes_while_others_are_not_known_dead(fleet, dead):
    view = {**{f'x{n}': z for n, z in dead.items()}, **fleet}
    seen = build(min(fleet), view)
    own = {node: build(node, view).own() for node in fleet}
    for bucket in SAMPLE:
        for node in seen.of(bucket):
            if node in fleet:
                assert bucket in own[node]


def test_a_small_fleet_is_home_to_all():
    fleet = {f'n{i}': 'a' if i < 3 else 'b' for i in range(WANTED)}
    for node in fleet:
        assert len(build(node, fleet).own()) == BUCKETS


def test_the_own_node_is_never_taken_out():
    homes = Homes('n0', 'a', WANTED)
    homes.remove('n0')
    assert len(homes.own()) == BUCKETS


@pytest.mark.parametrize('count', [50, 200])
def test_targets_and_buckets_are_spread(count):
    fleet = {f'n{i}': 'abcd'[i % 4] for i in range(count)}
    homes = build('n0', fleet)
    load = collections.Counter(
        node for bucket in range(BUCKETS) for node in homes.of(bucket)
    )
    fair = BUCKETS * WANTED / count
    assert set(load) == set(fleet)
    assert max(load.values()) < fair + 5 * fair**0.5
    targets = collections.Counter(bucket_of(f't{i}') for i in range(30_000))
    assert max(targets.values()) < 30 + 6 * 30**0.5
