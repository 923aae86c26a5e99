"""Tests that callers get addresses of live nodes, preferably in their zone."""

import random

import pytest

from sesameward.messages import Address
from sesameward.messages import Member
from sesameward.serving.directory import ADDRESS_TTL_S
from sesameward.serving.directory import Directory
from sesameward.serving.directory import MAX_ADDRESSES
from sesameward.types import MemberState


def make_member(node, zone, **kwargs):
    entry = Address(node, node, 80, zone, 1.0)
    return Member(node, zone, 'h', 1, 2, 3, **({'entries': (entry,)} | kwargs))


@pytest.fixture
def directory():
    return Directory(random.Random(1))


def test_nodes_of_the_own_zone_only(directory):
    members = (
        make_member('a1', 'a'),
        make_member('a2', 'a'),
        make_member('b1', 'b'),
    )
    result = directory.addresses(members, 'a', 5.0)
    assert sorted(result.addresses) == ['a1:80', 'a2:80']


def test_caller_never_depends_on_one_node(directory):
    members = (
        make_member('a1', 'a'),
        make_member('b1', 'b'),
        make_member('c1', 'c'),
    )
    spares = set()
    for _ in range(50):
        first, spare = directory.addresses(members, 'a', 5.0).addresses
        assert first == 'a1:80'
        spares.add(spare)
    assert spares == {'b1:80', 'c1:80'}


def test_all_nodes_where_the_zone_has_none(directory):
    members = (make_member('a1', 'a'), make_member('b1', 'b'))
    result = directory.addresses(members, 'c', 5.0)
    assert sorted(result.addresses) == ['a1:80', 'b1:80']


@pytest.mark.parametrize('change', [{'leaving': True}, {'entries': ()}])
def test_leaving_and_unready_nodes_are_left_out(directory, change):
    members = (make_member('a1', 'a', **change), make_member('b1', 'b'))
    result = directory.addresses(members, 'a', 5.0)
    assert result.addresses == ('b1:80',)


def test_suspected_nodes_are_left_out_unless_all_are(directory):
    suspected_member = make_member('a1', 'a', state=MemberState.SUSPECT)
    members = (suspected_member, make_member('b1', 'b'))
    assert directory.addresses(members, 'a', 5.0).addresses == ('b1:80',)
    assert directory.addresses((suspected_member,), 'a', 5.0).addresses == (
        'a1:80',
    )


def test_time_to_live_keeps_to_the_bound(directory):
    members = (make_member('a1', 'a'),)
    assert directory.addresses(members, 'a', 1.5).ttl_s == 1.5
    assert directory.addresses(members, 'a', 60.0).ttl_s == ADDRESS_TTL_S


def make_members(linked, cut_off):
    return [make_member(f'l{n}', 'a') for n in range(linked)] + [
        make_member(f'c{n}', 'a', reaches_targets=False)
        for n in range(cut_off)
    ]


# The directory went on naming nodes that had lost all their targets.
@pytest.mark.parametrize(('linked', 'cut_off'), [(3, 1), (9, 15), (32, 46)])
def test_nodes_without_targets_are_left_out(directory, linked, cut_off):
    members = make_members(linked, cut_off)
    result = directory.addresses(members, 'a', 5.0)
    assert len(result.addresses) == min(linked, MAX_ADDRESSES)
    assert all(address.startswith('l') for address in result.addresses)


# The nodes with connections would get too many callers, or there are none.
@pytest.mark.parametrize(('linked', 'cut_off'), [(1, 11), (0, 5), (4, 20)])
def test_all_nodes_are_listed_where_few_have_targets(
    directory, linked, cut_off
):
    members = make_members(linked, cut_off)
    result = directory.addresses(members, 'a', 5.0)
    assert len(result.addresses) == linked + cut_off


def test_zone_whose_nodes_are_cut_off_is_served_by_others(directory):
    members = [
        make_member('a1', 'a', reaches_targets=False),
        make_member('b1', 'b'),
        make_member('c1', 'c'),
    ]
    result = directory.addresses(members, 'a', 5.0)
    assert sorted(result.addresses) == ['b1:80', 'c1:80']
