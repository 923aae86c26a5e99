"""Play a request that crashes its targets against the nodes' decisions.

No network: the nodes' verdicts travel as messages with a delay and a loss.
"""

from __future__ import annotations

import random

import msgspec

from sesameward.messages import Rumor
from sesameward.metrics import Metrics
from sesameward.quarantine.quarantine import Canary
from sesameward.quarantine.quarantine import Refuse
from sesameward.serving.crashes import Crashes
from sesameward.serving.crashes import Identity
from sesameward.serving.crashes import Lost
from sesameward.serving.pools import Reach
from sesameward.serving.target_connection import Broken

# The rule of the users' pages: so many attempts may reach targets later than
# this after the third crash, over the whole day.
WINDOW_S = 4.0
MOST_LATE = 3


class Node:
    """Hold one node's decisions."""

    def __init__(self, name: str, play: FleetPlay):
        self.reach = play.reach
        self.crashes = Crashes(name, Metrics('t'), random.Random(name))
        self.crashes.check = lambda target, on_reach: on_reach(self.reach)
        self.crashes.clock = lambda: play.now

    def attempt(
        self,
        identity: Identity,
        request_id: str,
        targets: list[str],
        now: float,
        how: Broken = Broken.RESET,
    ) -> list[str]:
        """Return the targets that the attempt reached; all of them die."""
        match self.crashes.admit(identity, now):
            case Refuse():
                return []
            case Canary():
                tried, targets = True, targets[:1]
            case _:
                tried = False
        # A request ends before its targets have been looked into.
        self.crashes.ended(identity)
        for n, target in enumerate(targets):
            self.crashes.lost(
                Lost(
                    identity,
                    request_id,
                    target,
                    f's{n}',
                    how,
                    now - 0.3,
                    now,
                    tried,
                )
            )
        return targets


class FleetPlay:
    """Hold the nodes and what they tell each other."""

    def __init__(
        self, nodes: int, seed: int, delay_s: float = 0.0, loss: float = 0.0
    ):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.reach = Reach.REFUSES
        self.how = Broken.RESET
        # Whether other targets go on answering each node.
        self.answers = True
        self.nodes = [self._start(f'n{n}') for n in range(nodes)]
        self._delay_s = delay_s
        self._loss = loss
        self._on_the_way: list[tuple[float, Node, Rumor]] = []
        self._kept: dict[str, tuple[Rumor, float]] = {}
        self._targets = 0
        self._attempts = 0

    def _start(self, name: str) -> Node:
        node = Node(name, self)
        node.crashes.spread = lambda rumor: self._tell(node, rumor)
        return node

    def restart(self, index: int) -> None:
        """Let a node forget everything but what the others still tell."""
        self.nodes[index] = self._start(f'again-{index}-{self.now}')
        for rumor, until in self._kept.values():
            if until > self.now:
                left_s = until - self.now
                heard = msgspec.structs.replace(rumor, ttl_s=left_s)
                self.nodes[index].crashes.heard(heard, self.now)

    def _tell(self, teller: Node, rumor: Rumor) -> None:
        self._kept[rumor.key] = rumor, self.now + rumor.ttl_s
        for node in self.nodes:
            if node is not teller and self.rng.random() >= self._loss:
                at = self.now + self._delay_s * self.rng.uniform(0.5, 1.0)
                self._on_the_way.append((at, node, rumor))
        self._deliver()

    def _deliver(self) -> None:
        due = [one for one in self._on_the_way if one[0] <= self.now]
        self._on_the_way = [
            one for one in self._on_the_way if one[0] > self.now
        ]
        for _, node, rumor in due:
            node.crashes.heard(rumor, self.now)

    def look_after(self) -> None:
        """Let each node tell what it has not told yet."""
        self._deliver()
        for node in self.nodes:
            if self.answers:
                node.crashes.answered('other', self.now)
            node.crashes.tell(self.now)

    def wait(self, for_s: float) -> None:
        """Let time pass, with the nodes' upkeep."""
        until = self.now + for_s
        while self.now < until:
            self.now = min(self.now + 0.25, until)
            self.look_after()

    def attempt(
        self, subject: bytes, each: int, node: Node | None = None
    ) -> list[str]:
        """Let one attempt arrive at a node; return the targets it ended."""
        self.look_after()
        self._attempts += 1
        targets = [f't{self._targets + n}' for n in range(each)]
        self._targets += each
        node = node or self.rng.choice(self.nodes)
        identity = Identity(subject, b'')
        return node.attempt(
            identity, f'r{self._attempts}', targets, self.now, self.how
        )


def late_attempts(
    play: FleetPlay,
    gap_s: float,
    each: int,
    length_s: float,
    subject: bytes = b'GET h/p/1',
) -> int:
    """Return how many attempts reached targets after the window."""
    lost = 0
    third_at = None
    late = 0
    until = play.now + length_s
    while play.now < until:
        reached = play.attempt(subject, each)
        if reached and third_at is not None:
            late += play.now > third_at + WINDOW_S
        lost += len(reached)
        if lost >= 3 and third_at is None:
            third_at = play.now
        play.wait(gap_s)
    return late
