"""Tell all nodes in time what they act on, whatever else they report.

Load pattern: many targets fall silent or end at once, so that each node has
more reports to pass on than the gossip's bytes carry, while targets leave and
one node goes on reading the store for all others.
"""

import random

import pytest

from benchmark.virtual import build_members
from benchmark.virtual import Cluster
from sesameward.membership.outbox import BYTES_PER_S
from sesameward.messages import Rumor
from sesameward.messages import Urgency
from sesameward.settings import MembershipSettings

CFG = MembershipSettings(keys=('test',), probes_per_period=2)
# A node follows the store through others for no longer than this without
# asking it itself: a third of the shortest time in which a change must be in
# force (3 s), and what a reading needs to spread.
MOST_AGE_S = 1.7
# The shortest time in which a change must be in force.
IN_FORCE_S = 3.0
# What a node may spend for control.
CONTROL_BYTES_PER_S = 8_000.0
READ_GAP_S = 0.25
SILENCES_GAP_S = 0.3
SUSPICIONS_GAP_S = 0.5
BEGIN_S = 1.0
END_S = 6.0


class Flood:
    """Let all nodes report without pause, and one read the store."""

    def __init__(self, nodes):
        self.rng = random.Random(nodes)
        self.cluster = Cluster(build_members(nodes), CFG, nodes)
        self.cluster.know_each_other()
        self.read_at = {}
        self.cluster.at(BEGIN_S, self.read)
        for index in range(nodes):
            self.cluster.at(self.soon(), lambda n=index: self.silences(n))
            self.cluster.at(self.soon(), lambda n=index: self.suspicion(n))

    def soon(self):
        return BEGIN_S + self.rng.random() * SILENCES_GAP_S

    def publish(self, index, *rumor):
        agent = self.cluster.agents[index]
        now = self.cluster.now
        self.cluster.act(agent, agent.swim.publish(now, Rumor(*rumor)))

    def read(self):
        now = self.cluster.now
        version = len(self.read_at) + 1
        self.read_at[version] = now
        self.publish(
            0, 'reading', 'servers', version, b'r' * 40, 5.0, Urgency.CURRENT
        )
        self.cluster.at(now + READ_GAP_S, self.read)

    def silences(self, index):
        now = self.cluster.now
        version = int(now * 1_000)
        self.publish(index, 'silent', f'n{index}', version, b's' * 300, 2.0)
        self.cluster.at(now + SILENCES_GAP_S, lambda: self.silences(index))

    def suspicion(self, index):
        key = str(self.rng.random())
        self.publish(index, 'quarantine', key, 1, b'q' * 120, 60.0)
        at = self.cluster.now + SUSPICIONS_GAP_S
        self.cluster.at(at, lambda: self.suspicion(index))

    def has_heard(self, key):
        now = self.cluster.now
        return all(
            any(rumor.key == key for rumor in agent.swim.rumors(now))
            for agent in self.cluster.agents
        )

    def age_s(self, agent):
        """Return how old the reading is that a node has heard of."""
        now = self.cluster.now
        heard = [r for r in agent.swim.rumors(now) if r.topic == 'reading']
        return now - (self.read_at[heard[0].version] if heard else 0.0)


@pytest.mark.parametrize('nodes', [25, 78, 300])
def test_readings_reach_all_nodes_beside_a_flood_of_reports(nodes):
    flood = Flood(nodes)
    cluster = flood.cluster
    cluster.run(BEGIN_S + MOST_AGE_S)
    while cluster.now < END_S:
        assert max(map(flood.age_s, cluster.agents)) <= MOST_AGE_S
        cluster.run(cluster.now + 0.5)


@pytest.mark.parametrize('nodes', [25, 78, 300])
def test_decisions_reach_all_nodes_beside_a_flood_of_reports(nodes):
    flood = Flood(nodes)
    cluster = flood.cluster
    cluster.run(2.0)
    decisions = [('leaving', 'i-1'), ('quarantine', 'f')]
    for index, (topic, key) in enumerate(decisions):
        flood.publish(index, topic, key, 1, b'd' * 60, 60.0, Urgency.DECISION)
    cluster.run(cluster.now + IN_FORCE_S)
    assert all(flood.has_heard(key) for _, key in decisions)


def test_all_lanes_together_stay_within_the_bytes_for_control():
    assert sum(BYTES_PER_S.values()) <= CONTROL_BYTES_PER_S
