"""Test the membership protocol, with several agents in virtual time."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from benchmark.virtual import build_members
from benchmark.virtual import Cluster
from sesameward.exceptions import RumorTooLargeError
from sesameward.membership.antientropy import AntiEntropy
from sesameward.membership.antientropy import MAX_RUMORS
from sesameward.membership.antientropy import SyncRequest
from sesameward.membership import datagrams
from sesameward.membership.datagrams import Ack
from sesameward.membership.datagrams import Claim
from sesameward.membership.datagrams import Datagram
from sesameward.membership.datagrams import introduction_of
from sesameward.membership.datagrams import Nack
from sesameward.membership.datagrams import Ping
from sesameward.membership.datagrams import PingRequest
from sesameward.membership.datagrams import UpdatesOnly
from sesameward.membership.datagrams import WireRumor
from sesameward.membership.events import NameConflict
from sesameward.membership.events import Received
from sesameward.membership.events import RecordRefused
from sesameward.membership.events import RumorAccepted
from sesameward.membership.events import Send
from sesameward.membership.events import TimerDue
from sesameward.membership.message_auth import OVERHEAD_BYTES
from sesameward.membership.outbox import BYTES_PER_S
from sesameward.membership.outbox import Lane
from sesameward.membership.outbox import Outbox
from sesameward.membership.piggyback import Piggyback
from sesameward.membership.roster import Roster
from sesameward.membership.rumors import Rumors
from sesameward.membership.swim import RESERVED_BODY_BYTES
from sesameward.membership.swim import Swim
from sesameward.messages import Address
from sesameward.messages import Rumor
from sesameward.settings import MembershipSettings
from sesameward.types import MemberState
from sesameward.types import NodeId
from sesameward.types import ZoneName

CFG = MembershipSettings(keys=('key',))
# Time within which all other agents must report a killed agent as dead.
CONVERGENCE_S = 3.0

record_strategy = st.builds(
    lambda index, incarnation, state, leaving: msgspec.structs.replace(
        build_members(3)[index],
        incarnation=incarnation,
        state=state,
        leaving=leaving,
    ),
    st.integers(0, 2),
    st.integers(0, 3),
    st.sampled_from(MemberState),
    st.booleans(),
)
rumor_strategy = st.builds(
    Rumor,
    topic=st.just('t'),
    key=st.sampled_from('ab'),
    version=st.integers(0, 3),
    body=st.sampled_from([b'', b'x']),
)


node_strategy = st.sampled_from([m.node for m in build_members(4)])
number_strategy = st.integers(0, 4)
update_strategy = st.one_of(
    st.builds(
        Claim,
        node_strategy,
        st.integers(0, 3),
        st.integers(0, 3),
        st.sampled_from([0, *map(datagrams.hash_content, build_members(3))]),
        node_strategy,
    ),
    record_strategy.map(introduction_of),
)
body_strategy = st.one_of(
    st.builds(Ping, number_strategy, node_strategy),
    st.builds(Ack, number_strategy),
    st.builds(PingRequest, number_strategy, node_strategy),
    st.builds(Nack, number_strategy),
    st.just(UpdatesOnly()),
)
step_strategy = st.tuples(
    st.floats(0.0, 3.0),
    st.builds(
        Datagram, node_strategy, body_strategy, st.tuples(update_strategy)
    ),
)


def merge_all(members):
    """Merge members into a new roster; return its records and digests."""
    roster = Roster()
    for member in members:
        roster.merge(member)
    return {member.node: member for member in roster}, roster.digests()


@hypothesis.given(st.lists(record_strategy, max_size=8), st.randoms())
def test_merging_records_is_commutative_and_idempotent(members, rng):
    shuffled = members + members
    rng.shuffle(shuffled)
    assert merge_all(shuffled) == merge_all(members)


@hypothesis.given(st.lists(record_strategy, max_size=8))
def test_merging_records_is_monotone(members):
    roster = Roster()
    for member in members:
        before = roster.get(member.node)
        roster.merge(member)
        after = roster.get(member.node)
        if before is not None:
            assert after.incarnation >= before.incarnation
        assert roster.merge(member) is False


@hypothesis.given(st.lists(rumor_strategy, max_size=8), st.randoms())
def test_merging_rumors_keeps_the_highest_version(rumors, rng):
    def stored_after(order):
        store = Rumors()
        for rumor in order:
            store.merge(rumor, 0.0)
        return sorted(store.unexpired(0.0), key=repr), store.digest(0.0)

    shuffled = rumors + rumors
    rng.shuffle(shuffled)
    assert stored_after(shuffled) == stored_after(rumors)


def test_an_expired_rumor_is_not_heard_again():
    rumors = Rumors()
    rumor = Rumor('t', 'k', 1, ttl_s=5.0)
    assert rumors.merge(rumor, 0.0)
    rumors.expire(6.0)
    assert rumors.unexpired(6.0) == []
    assert not rumors.merge(rumor, 6.0)
    rumors.expire(120.0)
    assert rumors.merge(rumor, 120.0)


@hypothesis.given(record_strategy)
def test_records_survive_the_wire(member):
    entry = Address(NodeId('e'), '10.0.0.9', 80, ZoneName('z'), 0.5)
    member = msgspec.structs.replace(member, entries=(entry,))
    message = Datagram(member.node, Ping(1), (introduction_of(member),))
    decoded = datagrams.decode(datagrams.encode(message))
    assert decoded == message
    assert decoded.updates[0].to_member() == member


def test_updates_are_sent_a_bounded_number_of_times():
    queue = Piggyback()
    for index in range(10):
        queue.put(('m', str(index)), Claim(NodeId(f'n{index}'), 1, 0, 1))
    sent = []
    while len(queue):
        updates, size = queue.take(60, member_count=4_800)
        assert sum(len(datagrams.encode(u)) for u in updates) == size <= 60
        sent += updates
    assert len(sent) == 10 * 16


def test_a_rumor_overtakes_a_backlog_of_records():
    outbox = Outbox()
    for index in range(500):
        claim = Claim(NodeId(f'n{index}'), 1, 2, 1)
        outbox.put(Lane.URGENT, ('m', f'n{index}'), claim)
    rumor = WireRumor('drain', 't1', 1, b'', 60_000)
    outbox.put(Lane.DECISION, ('r', 't1'), rumor)
    updates = outbox.take_updates(0.0, 1_000, 4_800)
    assert updates[0] == rumor
    spent = sum(
        len(datagrams.encode(update))
        for step in range(200)
        for update in outbox.take_updates(step / 20, 1_000, 4_800)
    )
    assert spent <= 10 * BYTES_PER_S[Lane.URGENT] + 5_000 + 4_000


@pytest.fixture
def build_cluster():
    """Return a function that builds a cluster of agents, all joined."""

    def build(count, seed=1, loss=0.0, observer=None, cfg=CFG):
        cluster = Cluster(build_members(count), cfg, seed, loss, observer)
        cluster.know_each_other()
        return cluster

    return build


@pytest.fixture
def swim():
    """Return the protocol state of an agent that knows two others."""
    me, *others = build_members(3)
    agent = Swim(me, CFG, random.Random(1))
    agent.start(0.0)
    agent.merge(0.0, others)
    return agent


def states_seen(cluster, node):
    """Return the states in which the running agents list a node."""
    return {
        agent.swim.get(node).state for agent in cluster.agents if agent.alive
    }


@pytest.mark.parametrize('seed', range(8))
@pytest.mark.parametrize('count', [2, 3, 5])
def test_a_killed_agent_is_known_to_all_in_time(build_cluster, count, seed):
    cluster = build_cluster(count, seed)
    cluster.run(5.0 + seed / 7)
    cluster.kill(0)
    cluster.run(cluster.now + CONVERGENCE_S)
    node = cluster.agents[0].swim.me.node
    assert states_seen(cluster, node) == {MemberState.DEAD}


def test_loss_and_freezes_remove_nobody(build_cluster):
    removed = []

    def observe(now, index, member):
        if member.state in (MemberState.DEAD, MemberState.LEFT):
            removed.append((now, index, member))

    cluster = build_cluster(5, loss=0.05, observer=observe)
    for minute in range(5):
        cluster.at(
            20 + 60 * minute,
            lambda minute=minute: cluster.freeze(minute % 5, 2.0),
        )
    cluster.run(300)
    assert removed == []


def test_a_long_frozen_agent_returns_and_blames_nobody(build_cluster):
    cluster = build_cluster(5)
    frozen = cluster.agents[0].swim
    cluster.run(5.0)
    cluster.freeze(0, 20.0)
    cluster.run(20.0)
    assert MemberState.DEAD in states_seen(cluster, frozen.me.node)
    cluster.run(30.0)
    assert states_seen(cluster, frozen.me.node) == {MemberState.ALIVE}
    assert all(len(a.swim.members()) == 5 for a in cluster.agents)
    assert len(frozen.known()) == 5


def test_a_cut_heals_and_all_know_each_other(build_cluster):
    cluster = build_cluster(12)
    cluster.side = lambda index: index % 3
    cluster.run(60)
    sizes = [len(agent.swim.members()) for agent in cluster.agents]
    assert sizes == [4] * 12
    cluster.side = None
    cluster.run(150)
    sizes = [len(agent.swim.members()) for agent in cluster.agents]
    assert sizes == [12] * 12


def test_no_datagram_passes_its_bound(build_cluster):
    cfg = msgspec.structs.replace(CFG, datagram_bytes=500)
    cluster = build_cluster(40, cfg=cfg)
    sizes = []
    run_actions = cluster.act

    def act(agent, actions):
        sizes.extend(
            len(datagrams.encode(action.message)) + OVERHEAD_BYTES
            for action in actions
            if isinstance(action, Send)
        )
        run_actions(agent, actions)

    cluster.act = act
    cluster.side = lambda index: index % 2
    cluster.run(20)
    cluster.side = None
    cluster.run(40)
    min_largest_bytes = cfg.datagram_bytes - RESERVED_BODY_BYTES
    assert min_largest_bytes <= max(sizes) <= cfg.datagram_bytes


def test_anti_entropy_brings_what_gossip_lost(build_cluster):
    cluster = build_cluster(6)
    cluster.loss = 1.0
    rumor = Rumor('config', 'revision', 7, b'7', ttl_s=300.0)
    first = cluster.agents[0].swim
    first.publish(0.0, rumor)
    first.update(0.0, msgspec.structs.replace(first.me, leaving=True))
    first.leave(0.0)
    for agent in cluster.agents[1:]:
        cluster.act(cluster.agents[0], [])
        cluster._sync(agent, build_members(6)[0])
        assert [r.version for r in agent.swim.rumors(0.0)] == [7]
        assert agent.swim.get(first.me.node).state is MemberState.LEFT


def test_a_suspected_agent_refutes_with_a_higher_incarnation(swim):
    me, other, _ = build_members(3)
    content_hash = datagrams.hash_content(me)
    suspect_claim = Claim(me.node, me.incarnation, 1, content_hash, other.node)
    message = Datagram(other.node, Ping(7, me.node), (suspect_claim,))
    actions = swim.handle(0.1, Received('10.0.0.1', 1, message))
    sent = [a.message for a in actions if isinstance(a, Send)]
    assert sent[0].body == Ack(7)
    assert swim.me.incarnation == me.incarnation + 1
    refutation = Claim(me.node, me.incarnation + 1, 0, content_hash)
    assert refutation in sent[0].updates
    assert swim.local_health == 1


@hypothesis.given(st.lists(step_strategy, max_size=30))
def test_no_datagram_stops_an_agent_or_takes_its_own_record(history):
    me, *others = build_members(3)
    agent = Swim(me, CFG, random.Random(1))
    agent.start(0.0)
    agent.merge(0.0, others)
    now = 0.0
    for pause_s, message in history:
        now += pause_s
        before = agent.me.incarnation
        agent.handle(now, TimerDue())
        agent.handle(now, Received('10.0.0.1', 1, message))
        assert agent.me.state is MemberState.ALIVE
        assert agent.me.incarnation >= before
        assert agent.get(me.node) == agent.me
        assert agent.next_at > now - CFG.period_s


def test_a_ping_for_another_node_is_not_answered(swim):
    message = Datagram(NodeId('erie-01-0001'), Ping(7, NodeId('gone')))
    actions = swim.handle(0.1, Received('10.0.0.1', 1, message))
    assert [a for a in actions if isinstance(a, Send)] == []


def test_a_paused_agent_gives_others_their_time_again(swim):
    now = 0.0
    while now < 0.6:
        now = max(now, swim.next_at)
        swim.handle(now, TimerDue())
    actions = swim.handle(now + 60.0, TimerDue())
    assert len(swim.members()) == 3
    assert swim.local_health > 0
    assert all(isinstance(action, Send) for action in actions)


def test_a_second_owner_of_a_name_is_told_of_at_a_bounded_rate(swim):
    conflicts = []
    for step in range(100):
        rival = msgspec.structs.replace(
            swim.me, incarnation=swim.me.incarnation + 1, http_port=9
        )
        actions = swim.merge(1.0 + step / 100, [rival])
        conflicts += [a for a in actions if isinstance(a, NameConflict)]
    assert 1 <= len(conflicts) <= 4


def test_a_rumor_is_heard_once_per_version(swim):
    rumor = Rumor('drain', 't1', 3)
    accepted = [
        action
        for now in (0.1, 0.2)
        for action in swim.merge_rumors(now, [rumor, rumor])
        if isinstance(action, RumorAccepted)
    ]
    assert accepted == [RumorAccepted(rumor)]


# Guards against issue 16: many short-lived rumors filled the anti-entropy
# reply, so that a node that had been disconnected did not receive a long-lived
# rumor about a request that crashes targets.
def test_a_rumor_that_holds_for_long_reaches_a_node_that_was_away(swim):
    for number in range(2 * MAX_RUMORS):
        swim.publish(1.0, Rumor('t', f'short-{number}', 1, ttl_s=60.0))
    long_lived = Rumor('t', 'lasting', 1, ttl_s=28_800.0)
    swim.publish(1.0, long_lived)
    digests = Swim(build_members(2)[1], CFG, random.Random(2)).digests()
    req = SyncRequest(sender=NodeId('n1'), digests=digests)
    reply, _ = AntiEntropy(swim, random.Random(1)).answer(2.0, req)
    assert 'lasting' in {rumor.key for rumor in reply.rumors}


def test_a_rumor_too_large_for_a_datagram_is_refused(swim):
    with pytest.raises(RumorTooLargeError, match='publish a reference'):
        swim.publish(0.0, Rumor('t', 'k', 1, b'x' * 600))


def test_records_above_the_limit_are_refused():
    # Guards against a sender of ever new members and rumors, whose records
    # would take all memory of the machine.
    me, *others = build_members(60)
    agent = Swim(me, CFG, random.Random(1), max_bytes=20_000)
    agent.start(0.0)
    actions = agent.merge(0.0, others)
    refused = [a for a in actions if isinstance(a, RecordRefused)]
    known = agent.known()
    assert refused and len(known) + len(refused) == 60
    assert agent._roster.held_bytes <= 20_000
    # What is known still changes.
    leaving = msgspec.structs.replace(
        known[1], leaving=True, incarnation=known[1].incarnation + 1
    )
    agent.merge(1.0, [leaving])
    assert agent._roster.get(leaving.node).leaving
    rumors = [Rumor('t', str(n), 1, b'r' * 100, 5.0) for n in range(60)]
    actions = agent.merge_rumors(1.0, rumors)
    refused = [a for a in actions if isinstance(a, RecordRefused)]
    assert len(agent.rumors(1.0)) + len(refused) == 60
    assert agent._rumors.held_bytes <= 20_000
    # Its own rumors are always spread.
    agent.publish(1.0, Rumor('t', 'own', 1, b'', 5.0))
    assert any(rumor.key == 'own' for rumor in agent.rumors(1.0))
    # Expired ones make room.
    agent._rumors.expire(100.0)
    assert agent._rumors.held_bytes == 0
