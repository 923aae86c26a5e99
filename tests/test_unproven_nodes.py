"""Test how many nodes share the limits that must hold across partitions."""

import types

import pytest

from sesameward.messages import Member
from sesameward.serving.peers import LEAVING_MARGIN_S
from sesameward.serving.peers import Peers

NOW = 100.0
GRACE_S = 6.0


def make_member(n, name=None, leaving=False):
    return Member(
        name or f'n{n}', 'z', f'127.0.0.{n}', 1, 2, 3, leaving=leaving
    )


@pytest.fixture
def count():
    """Return a function that counts the nodes, given the members."""
    peers = Peers.__new__(Peers)
    peers._leaving_since = {}
    peers._left_since = {}
    peers._counted_members = None
    peers._cfg = types.SimpleNamespace(
        seeds=(), bounds=types.SimpleNamespace(grace_s=GRACE_S)
    )

    def call(members, now):
        peers.gossip = types.SimpleNamespace(members=lambda: members)
        return peers.unproven_nodes(now)

    return call


# Guards against both sides of a partition taking the whole limits.
def test_node_that_is_not_seen_counts_for_good(count):
    assert count([make_member(n) for n in range(4)], NOW) == 4
    assert count([make_member(0)], NOW + 1_000_000.0) == 4


def test_node_that_left_counts_until_it_must_have_ended(count):
    count([make_member(0), make_member(1)], NOW)
    count([make_member(0), make_member(1, leaving=True)], NOW + 1.0)
    until = NOW + 1.0 + GRACE_S + LEAVING_MARGIN_S
    assert count([make_member(0)], until) == 2
    assert count([make_member(0)], until + 0.1) == 1


# Guards against a share that is lost for good with each replaced machine.
def test_node_that_takes_over_an_address_replaces_the_former_one(count):
    count([make_member(0), make_member(1)], NOW)
    assert count([make_member(0), make_member(1, 'other')], NOW + 9.0) == 2


# Guards against a count that changes only with the members: a node that left
# has ended some time after the last change of them.
def test_node_that_left_ends_while_the_members_stay_the_same(count):
    count([make_member(0), make_member(1, leaving=True)], NOW)
    rest = [make_member(0)]
    assert count(rest, NOW + 1.0) == 2
    assert count(rest, NOW + GRACE_S + LEAVING_MARGIN_S + 0.1) == 1
