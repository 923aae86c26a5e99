"""Test how targets are assigned to their home nodes."""

from __future__ import annotations

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesameward.routing.homes import bucket_of
from sesameward.routing.homes import BUCKETS
from sesameward.routing.homes import Homes

MIN_HOMES = 4
SAMPLE_BUCKETS = range(0, BUCKETS, 37)

ZONES = st.sampled_from(('a', 'b', 'c'))
FLEETS = st.dictionaries(
    st.integers(0, 19).map('n{}'.format), ZONES, min_size=1, max_size=20
)


def build_homes(node, fleet):
    homes = Homes(node, fleet[node], MIN_HOMES)
    for other, zone in fleet.items():
        homes.add(other, zone)
    return homes


def homes_of_sample(homes):
    return [sorted(homes.homes_of(bucket)) for bucket in SAMPLE_BUCKETS]


@given(FLEETS)
@settings(max_examples=40)
def test_every_bucket_has_its_homes(fleet):
    homes = build_homes(min(fleet), fleet)
    for nodes in map(homes.homes_of, SAMPLE_BUCKETS):
        assert len(nodes) == len(set(nodes))
        assert len(nodes) >= min(MIN_HOMES, len(fleet))
        assert {fleet[n] for n in nodes} == set(fleet.values())


@given(FLEETS, st.lists(st.tuples(st.sampled_from('arm'), st.integers(0, 19))))
@settings(max_examples=40)
def test_steps_give_what_a_fresh_start_gives(fleet, steps):
    own = min(fleet)
    homes = build_homes(own, fleet)
    # 'a' adds a node, 'r' removes it, 'm' moves it to zone a.
    for kind, index in steps:
        node = f'n{index}'
        if kind == 'r' and node != own:
            fleet.pop(node, None)
            homes.remove(node)
        elif kind != 'r':
            fleet[node] = 'abc'[index % 3] if kind == 'a' else 'a'
            homes.add(node, fleet[node])
    assert homes_of_sample(homes) == homes_of_sample(build_homes(own, fleet))


@given(FLEETS, st.data())
@settings(max_examples=40)
def test_missing_members_cost_only_surplus_probes(fleet, data):
    true_homes = build_homes(min(fleet), fleet)
    for node in fleet:
        others = data.draw(st.sets(st.sampled_from(sorted(fleet))))
        view = {n: fleet[n] for n in {*others, node}}
        own = build_homes(node, view).own_buckets()
        for bucket in SAMPLE_BUCKETS:
            if node in true_homes.homes_of(bucket):
                assert bucket in own


@given(FLEETS, FLEETS)
@settings(max_examples=40)
def test_a_living_home_probes_while_others_are_not_known_dead(fleet, dead):
    view = {**{f'x{n}': z for n, z in dead.items()}, **fleet}
    complete = build_homes(min(fleet), view)
    own = {node: build_homes(node, view).own_buckets() for node in fleet}
    for bucket in SAMPLE_BUCKETS:
        for node in complete.homes_of(bucket):
            if node in fleet:
                assert bucket in own[node]


def test_a_small_fleet_is_home_to_all():
    fleet = {f'n{i}': 'a' if i < 3 else 'b' for i in range(MIN_HOMES)}
    for node in fleet:
        assert len(build_homes(node, fleet).own_buckets()) == BUCKETS


def test_the_own_node_is_never_taken_out():
    homes = Homes('n0', 'a', MIN_HOMES)
    homes.remove('n0')
    assert len(homes.own_buckets()) == BUCKETS


@pytest.mark.parametrize('count', [50, 200])
def test_targets_and_buckets_are_spread(count):
    fleet = {f'n{i}': 'abcd'[i % 4] for i in range(count)}
    homes = build_homes('n0', fleet)
    buckets_by_node = collections.Counter(
        node for bucket in range(BUCKETS) for node in homes.homes_of(bucket)
    )
    mean = BUCKETS * MIN_HOMES / count
    assert set(buckets_by_node) == set(fleet)
    assert max(buckets_by_node.values()) < mean + 5 * mean**0.5
    targets = collections.Counter(bucket_of(f't{i}') for i in range(30_000))
    assert max(targets.values()) < 30 + 6 * 30**0.5
