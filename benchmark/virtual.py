"""Simulate the membership protocol of many agents in virtual time."""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import typing

from sesameward.membership import antientropy
from sesameward.membership.antientropy import AntiEntropy
from sesameward.membership import datagrams
from sesameward.membership.events import Action
from sesameward.membership.events import MemberChanged
from sesameward.membership.events import Received
from sesameward.membership.events import Send
from sesameward.membership.events import SyncWanted
from sesameward.membership.events import TimerDue
from sesameward.membership.message_auth import OVERHEAD_BYTES
from sesameward.membership.roster import Roster
from sesameward.membership.swim import Swim
from sesameward.messages import Member
from sesameward.settings import MembershipSettings
from sesameward.types import NodeId
from sesameward.types import ZoneName

HOST = '10.0.0.1'
FIRST_PORT = 10_000
IP_UDP_BYTES = 28
SYNC_CONNECTION_BYTES = 1_200
MIN_DELAY_S = 0.0005
MAX_DELAY_S = 0.003

Observer = typing.Callable[[float, int, Member], None]


class Agent:
    """Hold an agent's membership state, next timer and byte counts."""

    def __init__(self, index: int, swim: Swim, rng: random.Random):
        self.index = index
        self.swim = swim
        self.anti_entropy = AntiEntropy(swim, rng)
        self.alive = True
        self.frozen_until = 0.0
        self.tick_at = float('inf')
        self.sent_bytes = 0
        self.received_bytes = 0


class Cluster:
    """Run agents over a simulated network with loss and partitions.

    A partition separates agents for which side returns different values.
    """

    def __init__(
        self,
        members: list[Member],
        cfg: MembershipSettings,
        seed: int,
        loss: float = 0.0,
        observer: Observer | None = None,
        kind: type[Swim] = Swim,
        counts_bytes: bool = False,
    ):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.loss = loss
        self.observer = observer
        self.side: typing.Callable[[int], int] | None = None
        self.syncs = 0
        self._counts_bytes = counts_bytes
        self._events: list[tuple] = []
        self._sequence = itertools.count()
        self._cfg = cfg
        self._swim_class = kind
        self.agents = [
            self._build_agent(index, member)
            for index, member in enumerate(members)
        ]
        for agent in self.agents:
            agent.swim.start(self.now)
            self._schedule_tick(agent)

    def know_each_other(self) -> None:
        """Make all agents members in each agent's roster."""
        roster = Roster()
        for agent in self.agents:
            roster.merge(agent.swim.me)
        for agent in self.agents:
            agent.swim.load_roster(roster)

    def run(self, until: float) -> None:
        """Process events up to a virtual time, in seconds."""
        while self._events and self._events[0][0] <= until:
            at, _, agent, message, source = heapq.heappop(self._events)
            self.now = at
            if callable(agent):
                agent()
            elif message is None:
                self._tick(agent, at)
            else:
                self._deliver(agent, message, source)
        self.now = until

    def at(self, at: float, action: typing.Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        self._schedule_event(at, action, None, 0)

    def kill(self, index: int) -> None:
        """Stop an agent without announcing it to the others."""
        self.agents[index].alive = False

    def freeze(self, index: int, seconds: float) -> None:
        """Pause an agent; messages to it are delivered after the pause."""
        agent = self.agents[index]
        agent.frozen_until = self.now + seconds
        self._schedule_event(agent.frozen_until, agent, None, 0)
        agent.tick_at = agent.frozen_until

    def act(self, agent: Agent, actions: list[Action]) -> None:
        """Perform the actions that an agent decided on."""
        for action in actions:
            match action:
                case Send():
                    self._send(agent, action)
                case MemberChanged(member):
                    if self.observer is not None:
                        self.observer(self.now, agent.index, member)
                case SyncWanted(member):
                    self._sync(agent, member)
        self._schedule_tick(agent)

    def reset_bytes(self) -> None:
        """Reset the byte counts of all agents."""
        for agent in self.agents:
            agent.sent_bytes = agent.received_bytes = 0

    def _build_agent(self, index: int, member: Member) -> Agent:
        rng = random.Random(f'{self.rng.random()}')
        return Agent(index, self._swim_class(member, self._cfg, rng), rng)

    def _schedule_event(self, at: float, agent, message, source: int) -> None:
        event = (at, next(self._sequence), agent, message, source)
        heapq.heappush(self._events, event)

    def _schedule_tick(self, agent: Agent) -> None:
        at = max(agent.swim.next_at, agent.frozen_until)
        if at < agent.tick_at:
            agent.tick_at = at
            self._schedule_event(at, agent, None, 0)

    def _tick(self, agent: Agent, at: float) -> None:
        if not agent.alive or at != agent.tick_at:
            return
        agent.tick_at = float('inf')
        self.act(agent, agent.swim.handle(self.now, TimerDue()))

    def _send(self, agent: Agent, send: Send) -> None:
        index = send.port - FIRST_PORT
        size = 0
        if self._counts_bytes:
            size = len(datagrams.encode(send.message))
            size += OVERHEAD_BYTES + IP_UDP_BYTES
            agent.sent_bytes += size
        if self.rng.random() < self.loss or self._is_partitioned(
            agent.index, index
        ):
            return
        receiver = self.agents[index]
        receiver.received_bytes += size
        delay_s = self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
        self._schedule_event(
            self.now + delay_s, receiver, send.message, agent.index
        )

    def _deliver(self, agent: Agent, message, source: int) -> None:
        if not agent.alive:
            return
        if self.now < agent.frozen_until:
            self._schedule_event(agent.frozen_until, agent, message, source)
            return
        event = Received(HOST, FIRST_PORT + source, message)
        self.act(agent, agent.swim.handle(self.now, event))

    def _is_partitioned(self, one: int, other: int) -> bool:
        return self.side is not None and self.side(one) != self.side(other)

    def _sync(self, agent: Agent, member: Member) -> None:
        index = member.gossip_port - FIRST_PORT
        peer = self.agents[index]
        frozen = self.now < peer.frozen_until
        if (
            not peer.alive
            or frozen
            or self._is_partitioned(agent.index, index)
        ):
            return
        self.syncs += 1
        req = agent.anti_entropy.first_request(self.now)
        self._count_sync(agent, peer, SYNC_CONNECTION_BYTES)
        self._count_sync(peer, agent, SYNC_CONNECTION_BYTES)
        while req is not None:
            self._count_sync(agent, peer, self._size(req))
            reply, peer_actions = peer.anti_entropy.answer(self.now, req)
            self._count_sync(peer, agent, self._size(reply))
            req, agent_actions = agent.anti_entropy.follow_up(self.now, reply)
            self.act(peer, peer_actions)
            self.act(agent, agent_actions)

    def _size(self, message) -> int:
        if not self._counts_bytes:
            return 0
        return len(antientropy.encode(message)) + OVERHEAD_BYTES

    def _count_sync(self, sender: Agent, receiver: Agent, size: int) -> None:
        sender.sent_bytes += size
        receiver.received_bytes += size


def build_members(count: int) -> list[Member]:
    """Return members with the names and zones of a fleet over 13 zones."""
    return [
        Member(
            node=NodeId(f'erie-{index % 13:02}-{index:04}'),
            zone=ZoneName(f'zone-{index % 13}'),
            host=HOST,
            gossip_port=FIRST_PORT + index,
            grpc_port=7_001,
            http_port=7_002,
            incarnation=1_790_000_000,
        )
        for index in range(count)
    ]


def count_states(agent: Agent) -> collections.Counter:
    """Return how many members an agent knows in each state."""
    return collections.Counter(member.state for member in agent.swim.known())
