"""Check from which node each node pulls a change, and the ranks."""

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sesameward.messages import Member
from sesameward.serving.node_order import MAX_PULLERS_PER_NODE
from sesameward.serving.node_order import NodeOrder

KIND = 'things'


def fleet(count, zones):
    return tuple(
        Member(f'n{i}', f'z{i % zones}', 'h', 1, 2, 3) for i in range(count)
    )


@settings(max_examples=25)
@given(st.integers(2, 320), st.integers(1, 13), st.data())
def test_all_reach_the_reader_and_few_ask_one_node(count, zones, data):
    members = fleet(count, zones)
    zone_of = {m.node: m.zone for m in members}
    reader = data.draw(st.sampled_from([m.node for m in members]))
    sources = {
        m.node: NodeOrder(KIND, m.node).pull_source(reader, members).node
        for m in members
        if m.node != reader
    }
    asked = collections.Counter(sources.values())
    assert max(asked.values()) <= MAX_PULLERS_PER_NODE + zones - 1
    between = [n for n, s in sources.items() if zone_of[n] != zone_of[s]]
    assert len(between) == len(set(zone_of.values())) - 1
    for node in sources:
        steps = 0
        while node != reader:
            node = sources[node]
            steps += 1
        # A zone of 24 nodes needs two steps and one of 320 needs three; one
        # more step leads to the reader's zone.
        assert steps <= 4


def test_nodes_agree_on_their_ranks():
    members = fleet(20, 4)
    orders = [NodeOrder(KIND, m.node) for m in members]
    assert sorted(o.rank(members)[0] for o in orders) == list(range(20))
    first = min(orders, key=lambda o: o.rank(members))
    assert not any(first.ranks_before(m.node, members) for m in members)


def test_leaving_node_has_no_rank_but_still_a_source():
    members = fleet(3, 1)
    leaving = Member('n9', 'z0', 'h', 1, 2, 3, leaving=True)
    order = NodeOrder(KIND, 'n9')
    assert order.pull_source('n0', (*members, leaving)).node in {
        'n0',
        'n1',
        'n2',
    }
    other = NodeOrder(KIND, 'n0')
    assert other.rank((*members, leaving))[1] == 3
