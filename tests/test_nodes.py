"""Test which addresses of entries callers get, and in what order."""

from __future__ import annotations

import collections
import random

import msgspec
import pytest

from sesameward.configuration.feed import NodesUpdate
from sesameward.controllers.nodes import MAX_ADDRESSES
from sesameward.controllers.nodes import Nodes
from sesameward.messages import Address
from sesameward.messages import Addresses
from sesameward.routing.entry_weight import EntryWeight
from sesameward.routing.entry_weight import RAISE_AFTER_S

CALLERS = 200
ROUNDS = 10
MAX_OVER_FAIR = 1.25


def make_entry(index, zones=4, weight=1.0):
    host = f'10.0.0.{index}'
    zone = f'z{index % zones}'
    return Address(f'n{index}', host, 8080, zone, weight, index)


def make_nodes(entries, seed):
    all_nodes = []
    for index, own in enumerate(entries):
        nodes = Nodes(own, random.Random(seed * 100 + index))
        nodes.apply(NodesUpdate(Addresses(tuple(entries), 5.0), {}), False)
        all_nodes.append(nodes)
    return all_nodes


def count_first_places(all_nodes, zones, rng):
    """Count how often each entry is the first address that callers get.

    Each caller asks a random entry.
    """
    first_places = collections.Counter()
    for index in range(CALLERS):
        zone = zones[index % len(zones)]
        addresses_found = rng.choice(all_nodes).addresses(zone).addresses
        first_places[addresses_found[0].node] += 1
    return first_places


@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize('zones', [['z0', 'z1', 'z2', 'z3'], ['z1'], [None]])
def test_callers_spread_within_bounds_of_the_fair_share(seed, zones):
    rng = random.Random(seed)
    all_nodes = make_nodes([make_entry(i) for i in range(5)], seed)
    for _ in range(ROUNDS):
        first_places = count_first_places(all_nodes, zones, rng)
        assert max(first_places.values()) <= MAX_OVER_FAIR * CALLERS / 5


@pytest.mark.parametrize('seed', range(5))
def test_weights_divide_the_callers(seed):
    entries = [make_entry(i, weight=0.5 if i == 4 else 1.0) for i in range(5)]
    rng = random.Random(seed)
    zones = ['z0', 'z1', 'z2', 'z3']
    first_places = count_first_places(make_nodes(entries, seed), zones, rng)
    fair = CALLERS / 4.5
    assert max(first_places.values()) <= MAX_OVER_FAIR * fair
    assert first_places['n4'] <= MAX_OVER_FAIR * fair / 2


def test_a_new_entry_is_not_flooded():
    entries = [make_entry(i) for i in range(5)]
    (nodes, *_) = make_nodes(entries[:4], 1)
    for _ in range(60):
        nodes.addresses('z9')
    nodes.apply(NodesUpdate(Addresses(tuple(entries), 5.0), {}), False)
    first_places = [nodes.addresses('z9').addresses[0].node for _ in range(20)]
    assert 3 <= first_places.count('n4') <= 5


def test_near_entries_come_first_while_they_have_room():
    (nodes, *_) = make_nodes([make_entry(i) for i in range(8)], 1)
    near_first = 0
    for _ in range(100):
        for zone in ('z0', 'z1', 'z2', 'z3'):
            addresses_found = nodes.addresses(zone).addresses
            assert len(addresses_found) == 8
            near_first += addresses_found[0].zone == zone
            rest_in_zone = [a.zone == zone for a in addresses_found[1:]]
            assert rest_in_zone == sorted(rest_in_zone, reverse=True)
    assert near_first > 380


def test_overloaded_entries_are_left_out_unless_all_are():
    entries = [make_entry(i, weight=0.0 if i else 1.0) for i in range(3)]
    (nodes, *_) = make_nodes(entries, 1)
    assert [a.node for a in nodes.addresses(None).addresses] == ['n0']
    all_overloaded = [msgspec.structs.replace(e, weight=0.0) for e in entries]
    (nodes, *_) = make_nodes(all_overloaded, 1)
    assert len(nodes.addresses(None).addresses) == 3


def test_a_large_fleet_gives_a_short_answer():
    (nodes, *_) = make_nodes([make_entry(i) for i in range(500)], 1)
    assert len(nodes.addresses('z1').addresses) == MAX_ADDRESSES


def test_weight_falls_at_once_and_rises_late():
    weight = EntryWeight()
    assert weight.update(0.5, 0.0) == 1.0
    assert weight.update(9.0, 2.0) == 0.0
    assert weight.update(0.5, 4.0) == 0.0
    assert weight.update(0.5, 4.0 + RAISE_AFTER_S) == 1.0
