"""Test when a node believes that it has lost its connections to all targets.

The plays simulate nodes, their connections and gossip, without a network.
"""

import random

import pytest

from sesameward.serving.target_links import CHECK_DELAY_S
from sesameward.serving.target_links import CHECK_INTERVAL_S
from sesameward.serving.target_links import CHECK_ROUNDS
from sesameward.serving.target_links import LinkState
from sesameward.serving.target_links import TargetLinks
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState

# Time of a check whose target does not respond, and of one that is accepted.
TIMEOUT_S = 0.25
ACCEPT_S = 0.003
# While a node is cut off, it must know that within this time after a failure.
KNOWN_WITHIN_S = 1.0


def make_targets(services, replicas, zones):
    return [
        Target(
            f'{service}-{n}',
            f's{service}',
            'h',
            1,
            f'z{(service + n) % zones}',
            2,
            TargetState.READY,
        )
        for service in range(services)
        for n in range(replicas)
    ]


class Node:
    """Play the checks that a node's TargetLinks asks for."""

    def __init__(self, targets, seed=1, refuse_s=TIMEOUT_S):
        self.targets = targets
        self.links = TargetLinks(random.Random(seed))
        self.now = 100.0
        self.refuse_s = refuse_s
        self.reachable = lambda target: True
        self.checked = []
        self.changes = []
        self.links.on_change = lambda is_lost, for_s: self.changes.append(
            (self.now, is_lost)
        )

    def fail(self, silent_for_s=0.0):
        """Report a failure, and play the checks that it leads to."""
        if self.links.record_failure(self.now - silent_for_s, self.now):
            self.now += CHECK_DELAY_S
            while self.links.state is LinkState.SUSPECTED:
                self.check()

    def check(self):
        chosen = self.links.targets_to_check(self.targets, self.now)
        self.checked += chosen
        by_id = {target.id: target for target in self.targets}
        accepted = [one for one in chosen if self.reachable(by_id[one])]
        if accepted:
            self.now += ACCEPT_S
            self.links.record_contact(self.now)
        elif chosen:
            self.now += self.refuse_s
            for _ in chosen:
                self.links.check_failed(self.refuse_s < TIMEOUT_S)

    def recheck_until_back(self, interval_s=0.25):
        started_at = self.now
        while self.links.is_lost:
            self.now += interval_s
            self.check()
        return self.now - started_at


# A node that had lost all targets did not know it, and went on trying.
@pytest.mark.parametrize('refuse_s', [TIMEOUT_S, 0.001])
@pytest.mark.parametrize('services', [1, 5, 90])
def test_node_without_any_connection_knows_it_soon(services, refuse_s):
    node = Node(make_targets(services, 2, 5), refuse_s=refuse_s)
    node.reachable = lambda target: False
    started_at = node.now
    node.fail()
    assert node.links.is_lost
    assert node.now - started_at < KNOWN_WITHIN_S
    assert node.changes == [(node.now, True)]


@pytest.mark.parametrize('seed', range(50))
@pytest.mark.parametrize(
    'dead',
    [
        lambda target: target.service == 's0',
        lambda target: target.zone == 'z0',
        lambda target: target.service in ('s0', 's1', 's2'),
    ],
    ids=['service', 'zone', 'services'],
)
def test_targets_that_are_gone_are_no_lost_connections(dead, seed):
    node = Node(make_targets(20, 2, 4), seed)
    node.reachable = lambda target: not dead(target)
    for _ in range(10):
        node.fail()
        node.now += CHECK_INTERVAL_S
    assert node.changes == []


def test_answer_since_the_failure_makes_checks_needless():
    node = Node(make_targets(5, 2, 2))
    node.links.record_contact(node.now)
    node.now += 0.1
    node.fail(silent_for_s=0.2)
    assert node.checked == []
    assert node.links.state is LinkState.UP


def test_answer_while_targets_are_checked_ends_the_suspicion():
    node = Node(make_targets(5, 2, 2))
    assert node.links.record_failure(node.now, node.now)
    chosen = node.links.targets_to_check(node.targets, node.now)
    node.links.record_contact(node.now + 0.01)
    for _ in chosen:
        assert not node.links.check_failed(False)
    assert node.links.state is LinkState.UP
    assert node.changes == []


def test_one_accepted_connection_ends_the_belief():
    node = Node(make_targets(20, 2, 4))
    node.reachable = lambda target: False
    node.fail()
    node.now += 5.0
    node.reachable = lambda target: True
    assert node.recheck_until_back() < 1.0
    assert [is_lost for _, is_lost in node.changes] == [True, False]


def test_checks_are_few():
    node = Node(make_targets(100, 2, 5))
    for _ in range(100):
        node.fail()
        node.now += 0.05
    elapsed_s = node.now - 100.0
    rounds = elapsed_s / CHECK_INTERVAL_S + 1
    assert len(node.checked) <= rounds * CHECK_ROUNDS[0]


def test_node_that_knows_no_target_believes_nothing():
    node = Node([])
    node.fail()
    assert node.links.state is LinkState.UP


def test_suspended_process_forgets_its_suspicion():
    links = TargetLinks()
    assert links.record_failure(1.0, 1.0)
    links.reset()
    assert links.state is LinkState.UP


# Lost packets make single checks fail; few nodes may then believe wrongly, and
# only for a moment.
def test_lossy_links_cost_little_belief():
    lost_s = 0.0
    for seed in range(200):
        rng = random.Random(seed)
        node = Node(make_targets(20, 2, 4), seed)
        node.reachable = lambda target, rng=rng: rng.random() < 0.5
        node.fail()
        if node.links.is_lost:
            lost_s += node.recheck_until_back()
    assert lost_s / 200 < 0.05


# New connections are refused, but the open ones answer.
def test_refused_connections_are_not_lost_while_others_are_open():
    node = Node(make_targets(20, 2, 4), refuse_s=0.001)
    node.reachable = lambda target: False
    node.links.has_open = lambda: True
    assert node.links.record_failure(node.now, node.now, was_open=False)
    while node.links.state is LinkState.SUSPECTED:
        node.check()
    assert node.changes == []
    node.now += CHECK_INTERVAL_S
    node.fail()
    assert node.links.is_lost


# Targets of one service or zone could be gone together.
@pytest.mark.parametrize('seed', range(20))
def test_checked_targets_are_of_many_services_and_zones(seed):
    targets = make_targets(20, 2, 4)
    node = Node(targets, seed)
    node.reachable = lambda target: False
    node.fail()
    checked = [target for target in targets if target.id in node.checked]
    assert len(checked) == sum(CHECK_ROUNDS)
    services = {target.service for target in checked}
    assert len(services) >= max(CHECK_ROUNDS)
    first_two = [t.zone for t in targets if t.id in node.checked[:2]]
    assert len(set(first_two)) == CHECK_ROUNDS[0]
