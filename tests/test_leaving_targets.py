"""Check that other nodes learn when a target says that it is leaving."""

import pytest

from sesameward.serving.leaving_targets import Departures
from sesameward.serving.targets import DepartureSource
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.serving.targets import TargetTable


class Node:
    """Hold one node's target table and the rumors that it published."""

    def __init__(self):
        self.table = TargetTable()
        self.table.put(
            Target('a', 's', 'h', 1, 'z', 2, TargetState.READY, started_ms=5)
        )
        self.published = []
        self.sources = []
        self.departures = Departures(
            self.table, self._mark_leaving, self.published.append
        )

    def _mark_leaving(self, target_id, source, started_ms):
        self.sources.append(source)
        return self.table.mark_leaving(target_id, started_ms)


@pytest.fixture
def nodes():
    return Node(), Node()


def test_rumor_marks_the_target_at_the_other_node_once(nodes):
    one, other = nodes
    for _ in range(3):
        one.departures.on_leaving_reply('a', DepartureSource.ANSWER)
    (rumor,) = one.published
    other.departures.on_rumor(rumor)
    assert other.table.candidates('s') == ()
    assert other.sources == [DepartureSource.PEER]
    assert other.published == []


def test_nodes_that_get_the_same_reply_publish_the_same_rumor(nodes):
    for node in nodes:
        node.departures.on_leaving_reply('a', DepartureSource.ANSWER)
    assert nodes[0].published == nodes[1].published


def test_rumor_of_an_earlier_start_does_not_mark_a_later_one(nodes):
    one, other = nodes
    one.departures.on_leaving_reply('a', DepartureSource.HELPER)
    other.table.put(
        Target('a', 's', 'h', 1, 'z', 2, TargetState.READY, started_ms=9)
    )
    other.departures.on_rumor(one.published[0])
    assert other.table.candidates('s') == ('a',)
