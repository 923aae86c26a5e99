"""Test that VMs together keep connection limits.

The limits must hold even if the VMs know different members.
"""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sesameward.routing.shares import ABSENT_REMOVAL_S
from sesameward.routing.shares import connection_share
from sesameward.routing.shares import ConnectRateLimit
from sesameward.routing.shares import HolderCount
from sesameward.routing.shares import UNLISTED_REMOVAL_S
from sesameward.types import NodeId
from sesameward.types import TargetId

RESERVE = 0.2
VMS = [NodeId(f'vm{index}') for index in range(5)]
SERVER = TargetId('t0')


@pytest.fixture
def counts():
    """Return the HolderCount of each of five VMs that all count each other."""
    counts = {node: HolderCount(node) for node in VMS}
    for count in counts.values():
        count.update_vm_list(VMS, VMS, 0.0)
    for count in counts.values():
        for node, other in counts.items():
            count.record_holders(node, other.holders, full=True)
    return counts


@pytest.mark.parametrize('limit', [25, 40, 100])
@pytest.mark.parametrize('holders', [1, 5, 7])
@pytest.mark.parametrize('entries', [1, 2])
def test_shares_keep_the_reserve(limit, holders, entries):
    share = connection_share(limit, holders, entries, RESERVE)
    assert share * holders * entries <= limit * (1 - RESERVE)
    assert (share + 1) * holders * entries > limit * (1 - RESERVE) - 1


def test_five_vms_share_a_small_server(counts):
    shares = [count.share(25, 1, RESERVE) for count in counts.values()]
    assert shares == [4] * 5


def test_cut_off_vm_never_grows(counts):
    count = counts[VMS[0]]
    count.update_vm_list(VMS, VMS[:1], 1_000.0)
    assert count.share(25, 1, RESERVE) == 4
    assert count.next_removal_at() is None


def test_share_grows_after_the_list_confirms_the_loss(counts):
    count = counts[VMS[0]]
    count.update_vm_list(VMS[:4], VMS[:4], 0.0)
    assert count.share(25, 1, RESERVE) == 4
    assert count.next_removal_at() == ABSENT_REMOVAL_S
    count.update_vm_list(VMS[:4], VMS[:4], ABSENT_REMOVAL_S)
    assert count.share(25, 1, RESERVE) == 5


def test_alive_member_missing_from_the_list_still_counts(counts):
    count = counts[VMS[0]]
    for now in (0.0, 100.0, 200.0):
        count.update_vm_list(VMS[:4], VMS, now)
    assert len(count.holders) == 5


def test_member_back_in_the_list_starts_over(counts):
    count = counts[VMS[0]]
    count.update_vm_list(VMS[:4], VMS[:4], 0.0)
    count.update_vm_list(VMS, VMS[:4], ABSENT_REMOVAL_S)
    count.update_vm_list(VMS[:4], VMS[:4], 2 * ABSENT_REMOVAL_S)
    assert len(count.holders) == 5


def test_member_never_listed_is_given_up_late(counts):
    count = counts[VMS[0]]
    count.add_member(NodeId('ghost'))
    count.update_vm_list(VMS, VMS, 0.0)
    count.update_vm_list(VMS, VMS, UNLISTED_REMOVAL_S - 1.0)
    assert len(count.holders) == 6
    count.update_vm_list(VMS, VMS, UNLISTED_REMOVAL_S)
    assert len(count.holders) == 5


def test_leaving_vm_gives_its_share_back(counts):
    counts[VMS[0]].remove_left(VMS[4])
    assert counts[VMS[0]].share(25, 1, RESERVE) == 5


def test_new_vm_takes_from_the_reserve_until_all_count_it(counts):
    new_count = HolderCount(NodeId('new'))
    assert new_count.share(25, 1, RESERVE) == 0
    all_vms = [*VMS, NodeId('new')]
    new_count.update_vm_list(all_vms, all_vms, 0.0)
    for node, count in counts.items():
        new_count.record_holders(node, count.holders, full=True)
    assert new_count.share(25, 1, RESERVE) == 2
    for node in VMS:
        new_count.record_holders(node, all_vms, full=True)
    assert new_count.share(25, 1, RESERVE) == 3


class Fleet:
    """Simulate VMs that start and stop, with VM lists that are out of date."""

    def __init__(self):
        self.now = 0.0
        self.counts = {}
        self.lists = [()]
        self.read_index = {}

    def start(self):
        node = NodeId(f'n{100 - len(self.lists)}')
        self.counts[node] = HolderCount(node)
        self.read_index[node] = len(self.lists) - 1
        self.lists.append(tuple(self.counts))

    def stop(self, node):
        del self.counts[node]
        self.lists.append(tuple(self.counts))

    def read_list(self, node, advance, alive):
        last = len(self.lists) - 1
        self.read_index[node] = min(self.read_index[node] + advance, last)
        listed_nodes = self.lists[self.read_index[node]]
        self.counts[node].update_vm_list(listed_nodes, alive, self.now)

    def gossip(self, node, other):
        count = self.counts[node]
        self.counts[other].record_holders(
            node, count.holders, count.counted_by_all
        )

    def total(self, limit):
        return sum(
            count.share(limit, 1, RESERVE) for count in self.counts.values()
        )


@given(st.data(), st.sampled_from([25, 40, 100]))
def test_totals_never_pass_the_limit(data, limit):
    fleet = Fleet()
    fleet.start()
    for _ in range(data.draw(st.integers(1, 60))):
        fleet.now += data.draw(st.sampled_from([0.1, 1.0, ABSENT_REMOVAL_S]))
        nodes = list(fleet.counts)
        event = data.draw(st.sampled_from(['start', 'stop', 'list', 'gossip']))
        node = data.draw(st.sampled_from(nodes)) if nodes else None
        match event:
            case 'start' if len(fleet.lists) < 30:
                fleet.start()
            case 'stop' if nodes:
                fleet.stop(node)
            case 'list' if nodes:
                alive = data.draw(st.sets(st.sampled_from(nodes)))
                fleet.read_list(node, data.draw(st.integers(0, 9)), alive)
            case 'gossip' if nodes:
                fleet.gossip(node, data.draw(st.sampled_from(nodes)))
        assert fleet.total(limit) <= limit


def test_new_connections_are_spaced():
    policy = ConnectRateLimit(random.Random(1))
    granted = sum(
        policy.grant(SERVER, 6.0, 5, step / 1_000) for step in range(10_000)
    )
    assert 10 <= granted <= 18
    assert policy.next_connect_at(SERVER) > 9.0


def test_servers_open_independently():
    policy = ConnectRateLimit(random.Random(1))
    assert policy.grant(SERVER, 6.0, 5, 0.0)
    assert not policy.grant(SERVER, 6.0, 5, 0.0)
    assert policy.grant(TargetId('t1'), 6.0, 5, 0.0)
    policy.forget(SERVER)
    assert policy.grant(SERVER, 6.0, 5, 0.0)
