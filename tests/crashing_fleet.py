"""Simulate a request that crashes its targets, and the nodes' decisions.

There is no network: rumors are passed between the nodes in memory, with a
configurable delay and loss.
"""

from __future__ import annotations

import random

import msgspec

from sesameward.messages import Rumor
from sesameward.metrics import Metrics
from sesameward.quarantine.quarantine import Canary
from sesameward.quarantine.quarantine import Refuse
from sesameward.serving.crashes import Crashes
from sesameward.serving.crashes import RequestIdentity
from sesameward.serving.crashes import TargetLoss
from sesameward.serving.pools import ConnectCheck
from sesameward.serving.target_connection import ExchangeFailure

# By the user documentation at most MAX_LATE_ATTEMPTS attempts of a request
# reach targets in a day, not counting those within STOP_WITHIN_S of its third
# crash.
STOP_WITHIN_S = 4.0
MAX_LATE_ATTEMPTS = 3


class Node:
    """Simulate one node whose target checks all have the same result."""

    def __init__(self, name: str, fleet: SimulatedFleet):
        self.reach = fleet.reach
        self.crashes = Crashes(name, Metrics('t'), random.Random(name))
        self.crashes.check_reachable = lambda target, on_reach: on_reach(
            self.reach
        )
        self.crashes.clock = lambda: fleet.now

    def attempt(
        self,
        identity: RequestIdentity,
        request_id: str,
        targets: list[str],
        now: float,
        how: ExchangeFailure = ExchangeFailure.RESET,
    ) -> list[str]:
        """Send an attempt; return the targets reached, which all crash."""
        match self.crashes.admit(identity, now):
            case Refuse():
                return []
            case Canary():
                on_trial, targets = True, targets[:1]
            case _:
                on_trial = False
        # As in a node, the request ends before its targets have been checked.
        self.crashes.trial_ended(identity)
        for n, target in enumerate(targets):
            self.crashes.report_loss(
                TargetLoss(
                    identity,
                    request_id,
                    target,
                    f's{n}',
                    how,
                    now - 0.3,
                    now,
                    on_trial,
                )
            )
        return targets


class SimulatedFleet:
    """Simulate nodes, their clock and the rumors between them."""

    def __init__(
        self, nodes: int, seed: int, delay_s: float = 0.0, loss: float = 0.0
    ):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.reach = ConnectCheck.REFUSES
        self.how = ExchangeFailure.RESET
        # Whether each node gets replies of targets that did not crash.
        self.others_answer = True
        self.nodes = [self._start_node(f'n{n}') for n in range(nodes)]
        self._delay_s = delay_s
        self._loss = loss
        self._in_transit: list[tuple[float, Node, Rumor]] = []
        self._latest_rumors: dict[str, tuple[Rumor, float]] = {}
        self._target_count = 0
        self._attempt_count = 0

    def _start_node(self, name: str) -> Node:
        node = Node(name, self)
        node.crashes.publish = lambda rumor: self._broadcast(node, rumor)
        return node

    def restart(self, index: int) -> None:
        """Replace a node by a new one that knows only the unexpired rumors."""
        self.nodes[index] = self._start_node(f'again-{index}-{self.now}')
        for rumor, until in self._latest_rumors.values():
            if until > self.now:
                remaining_s = until - self.now
                received = msgspec.structs.replace(rumor, ttl_s=remaining_s)
                self.nodes[index].crashes.on_rumor(received, self.now)

    def _broadcast(self, sender: Node, rumor: Rumor) -> None:
        self._latest_rumors[rumor.key] = rumor, self.now + rumor.ttl_s
        for node in self.nodes:
            if node is not sender and self.rng.random() >= self._loss:
                at = self.now + self._delay_s * self.rng.uniform(0.5, 1.0)
                self._in_transit.append((at, node, rumor))
        self._deliver()

    def _deliver(self) -> None:
        due = [queued for queued in self._in_transit if queued[0] <= self.now]
        self._in_transit = [
            queued for queued in self._in_transit if queued[0] > self.now
        ]
        for _, node, rumor in due:
            node.crashes.on_rumor(rumor, self.now)

    def run_upkeep(self) -> None:
        """Deliver the rumors that are due; let nodes publish suspicions."""
        self._deliver()
        for node in self.nodes:
            if self.others_answer:
                node.crashes.target_answered('other', self.now)
            node.crashes.publish_suspicions(self.now)

    def wait(self, for_s: float) -> None:
        """Advance the clock in steps of 0.25 s, with upkeep after each."""
        until = self.now + for_s
        while self.now < until:
            self.now = min(self.now + 0.25, until)
            self.run_upkeep()

    def attempt(
        self,
        subject: bytes,
        targets_per_attempt: int,
        node: Node | None = None,
    ) -> list[str]:
        """Send one attempt to a node; return the targets that it crashed."""
        self.run_upkeep()
        self._attempt_count += 1
        targets = [
            f't{self._target_count + n}' for n in range(targets_per_attempt)
        ]
        self._target_count += targets_per_attempt
        node = node or self.rng.choice(self.nodes)
        identity = RequestIdentity(subject, b'')
        return node.attempt(
            identity, f'r{self._attempt_count}', targets, self.now, self.how
        )


def late_attempts(
    fleet: SimulatedFleet,
    gap_s: float,
    targets_per_attempt: int,
    length_s: float,
    subject: bytes = b'GET h/p/1',
) -> int:
    """Return how many attempts reach targets long after the third crash.

    An attempt is sent every gap_s for length_s. Those within STOP_WITHIN_S of
    the third crash are not counted.
    """
    crash_count = 0
    third_at = None
    late = 0
    until = fleet.now + length_s
    while fleet.now < until:
        reached = fleet.attempt(subject, targets_per_attempt)
        if reached and third_at is not None:
            late += fleet.now > third_at + STOP_WITHIN_S
        crash_count += len(reached)
        if crash_count >= 3 and third_at is None:
            third_at = fleet.now
        fleet.wait(gap_s)
    return late
