"""Test that urgent rumors reach all nodes in time despite many reports.

Load: many targets stop answering or terminate at once, so that each node has
more reports to spread than the byte limits of gossip admit. Meanwhile one node
reads the store for all nodes and spreads each result as a rumor (a reading),
and decisions, such as that a target leaves, are spread too.
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
# A node reads the store itself if the newest reading that it received is older
# than this, so that changes in the store are in force within IN_FORCE_S.
MAX_READING_AGE_S = 1.7
# Time within which a decision must reach all nodes.
IN_FORCE_S = 3.0
# Bytes per second that a node may send for control traffic.
CONTROL_BYTES_PER_S = 8_000.0
READ_INTERVAL_S = 0.25
SILENCE_INTERVAL_S = 0.3
SUSPICION_INTERVAL_S = 0.5
START_S = 1.0
END_S = 6.0


class Flood:
    """Run nodes that all publish reports, and one that publishes readings."""

    def __init__(self, nodes):
        self.rng = random.Random(nodes)
        self.cluster = Cluster(build_members(nodes), CFG, nodes)
        self.cluster.know_each_other()
        self.read_at = {}
        self.cluster.at(START_S, self.publish_reading)
        for index in range(nodes):
            self.cluster.at(
                self.random_start_s(), lambda n=index: self.publish_silence(n)
            )
            self.cluster.at(
                self.random_start_s(),
                lambda n=index: self.publish_suspicion(n),
            )

    def random_start_s(self):
        return START_S + self.rng.random() * SILENCE_INTERVAL_S

    def publish(self, index, *rumor):
        agent = self.cluster.agents[index]
        now = self.cluster.now
        self.cluster.act(agent, agent.swim.publish(now, Rumor(*rumor)))

    def publish_reading(self):
        now = self.cluster.now
        version = len(self.read_at) + 1
        self.read_at[version] = now
        self.publish(
            0, 'reading', 'servers', version, b'r' * 40, 5.0, Urgency.CURRENT
        )
        self.cluster.at(now + READ_INTERVAL_S, self.publish_reading)

    def publish_silence(self, index):
        now = self.cluster.now
        version = int(now * 1_000)
        self.publish(index, 'silent', f'n{index}', version, b's' * 300, 2.0)
        self.cluster.at(
            now + SILENCE_INTERVAL_S, lambda: self.publish_silence(index)
        )

    def publish_suspicion(self, index):
        key = str(self.rng.random())
        self.publish(index, 'quarantine', key, 1, b'q' * 120, 60.0)
        at = self.cluster.now + SUSPICION_INTERVAL_S
        self.cluster.at(at, lambda: self.publish_suspicion(index))

    def all_know(self, key):
        now = self.cluster.now
        return all(
            any(rumor.key == key for rumor in agent.swim.rumors(now))
            for agent in self.cluster.agents
        )

    def reading_age_s(self, agent):
        """Return the age of the newest reading that an agent received."""
        now = self.cluster.now
        readings = [r for r in agent.swim.rumors(now) if r.topic == 'reading']
        return now - (self.read_at[readings[0].version] if readings else 0.0)


@pytest.mark.parametrize('nodes', [25, 78, 300])
def test_readings_reach_all_nodes_beside_a_flood_of_reports(nodes):
    flood = Flood(nodes)
    cluster = flood.cluster
    cluster.run(START_S + MAX_READING_AGE_S)
    while cluster.now < END_S:
        assert (
            max(map(flood.reading_age_s, cluster.agents)) <= MAX_READING_AGE_S
        )
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
    assert all(flood.all_know(key) for _, key in decisions)


def test_all_lanes_together_stay_within_the_bytes_for_control():
    assert sum(BYTES_PER_S.values()) <= CONTROL_BYTES_PER_S
