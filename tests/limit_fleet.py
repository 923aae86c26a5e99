"""Simulate nodes that keep to the limits of targets, without a network."""

from __future__ import annotations

import heapq
import itertools
import random

from sesameward.messages import Member
from sesameward.serving.cold_targets import ColdTargets
from sesameward.serving.limit_exchange import CALL_DELAY_S
from sesameward.serving.limit_exchange import SPREAD_PER_NODE_S
from sesameward.serving.target_limits import Denial
from sesameward.serving.target_limits import ENTRUST_INTERVAL_S
from sesameward.serving.target_limits import Permit
from sesameward.serving.target_limits import TargetLimits
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState

TARGET = 't'
# Smallest and largest time of a message between two nodes.
DELAY_S = (0.0005, 0.003)
# Time within which rumors and changes of the members reach all nodes.
RUMOR_S = (0.3, 1.2)
REPLY_S = 0.005
# Time after which the failure of a node is known to the others.
DETECTED_S = 2.0
# Time after which the process of a leaving node ends.
LEAVING_S = 3.0
# Time for which nodes count others that they no longer see.
ABSENT_S = 30.0
SERVICE = 's'
# Settings for cold targets, as documented by the users.
WARMUP_OVERSHOOT = 1.5
WARMUP_SLACK = 5.0


class SimulatedNode:
    """One node's decisions, and what it knows of the others."""

    def __init__(self, fleet, name, now):
        self.name = name
        self.fleet = fleet
        self.limits = TargetLimits(name, f'{name}:{now}', now)
        self.limits.follows_cold = True
        self.cold = ColdTargets(WARMUP_OVERSHOOT, WARMUP_SLACK)
        self.cold.on_change = lambda target_id, limit, before: (
            self.limits.set_cold_limit(target_id, limit)
        )
        self.waiting = []
        self.is_ticking = False


class LimitFleet:
    """Run nodes on a simulated clock; record what reaches the target.

    limit is the number that the target's replies name, or None. Requests are
    sent by the nodes at the rates in demand.
    """

    entrust_interval_s = ENTRUST_INTERVAL_S
    # False if a refused connection is taken for any other failure.
    proves_end = True

    def __init__(self, nodes, limit, seed=1, named_by=1.0):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.limit = limit
        self.started_ms = 1
        self.named_by = named_by
        self.named_at = None
        # Registration of the target, which says how long it stays cold.
        self.registration = None
        self.cold_rate_per_s = None
        self.arrivals = []
        self.denied = 0
        self.demand = {}
        self.priorities = {}
        self.sent = {}
        self.lost = 0.0
        self.names = [f'n{n}' for n in range(nodes)]
        # Number of nodes that a node counts, if it is not that of all.
        self.counted = {}
        self.cut = set()
        self.down = set()
        # Nodes whose process was killed, while their host refuses connections.
        self.refusing = set()
        self.leaving = set()
        self.frozen = set()
        self._frozen_events = []
        self._members = {}
        self._ids = itertools.count()
        self._events = []
        self.nodes = {}
        for name in self.names:
            self.start_node(name, self.now - 60.0)
        self._update_views()

    # Events.

    def at(self, delay_s, act, *args, node=None):
        event = (self.now + delay_s, next(self._ids), act, args, node)
        heapq.heappush(self._events, event)

    def run(self, length_s):
        until = self.now + length_s
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = max(self.now, event[0])
            _, _, act, args, node = event
            if node in self.frozen:
                self._frozen_events.append(event)
            else:
                act(*args)
        self.now = until

    def send(self, sender, receiver, act, *args):
        """Deliver a message between two nodes, unless it is lost."""
        if (sender in self.cut) != (receiver in self.cut):
            return
        if self.rng.random() < self.lost:
            return
        delay_s = self.rng.uniform(*DELAY_S)
        self.at(delay_s, self._deliver, receiver, act, args, node=receiver)

    def _deliver(self, receiver, act, args):
        if receiver not in self.down:
            act(*args)

    # Faults.

    def start_node(self, name, started_at=None):
        self.down.discard(name)
        self.refusing.discard(name)
        self.leaving.discard(name)
        node = self.make_node(
            name, self.now if started_at is None else started_at
        )
        self.nodes[name] = node
        self._read_registration(node)
        if name not in self.names:
            self.names.append(name)
        self.at(
            self.rng.uniform(0, self.entrust_interval_s),
            self._tick,
            node,
            node=name,
        )

    def make_cold(self, rate_per_s, left_s):
        """Register the target as cold; nodes read this at various times."""
        seq = self.registration.seq + 1 if self.registration else 1
        self.cold_rate_per_s = rate_per_s
        self.registration = Target(
            TARGET,
            SERVICE,
            'h',
            1,
            'z',
            2,
            TargetState.READY,
            left_s,
            self.started_ms,
            seq,
        )
        for node in self.nodes.values():
            self.at(
                self.rng.uniform(*RUMOR_S),
                self._read_registration,
                node,
                node=node.name,
            )

    def _read_registration(self, node):
        if self.registration is not None:
            node.cold.set_rates({SERVICE: self.cold_rate_per_s}, self.now)
            node.cold.on_registered(self.registration, self.now)

    def make_node(self, name, started_at):
        return SimulatedNode(self, name, started_at)

    def kill(self, name):
        self.down.add(name)
        self.at(DETECTED_S, self._update_views)

    def crash(self, name):
        """Kill a node's process; its host closes and refuses connections."""
        self.refusing.add(name)
        self.kill(name)
        for node in self.nodes.values():
            if node.name != name and node.limits.coordinator == name:
                spread_s = SPREAD_PER_NODE_S * len(self.names)
                self.at(
                    CALL_DELAY_S + self.rng.uniform(0.0, spread_s),
                    self._notice_crash,
                    node,
                    name,
                    node=node.name,
                )

    def _notice_crash(self, node, name):
        if (node.name in self.cut) == (name in self.cut):
            self._call_if_active(node)

    def stop(self, name):
        """Let a node leave: it tells so, and its process ends later."""
        self.leaving.add(name)
        self.nodes[name].limits.stop()
        self.at(self.rng.uniform(*RUMOR_S), self._update_views)
        self.at(LEAVING_S, self.crash, name)

    def restart(self, name):
        self.start_node(name)
        self.at(self.rng.uniform(*RUMOR_S), self._update_views)

    def set_cut(self, names):
        self.cut = set(names)
        self.at(DETECTED_S, self._update_views)

    def isolate_all(self):
        """Cut each node from all others."""
        self.lost = 1.0
        self._members = {
            name: (Member(name, 'z', 'h', 1, 2, 3),) for name in self.names
        }

    def freeze(self, name):
        self.frozen.add(name)
        self.at(DETECTED_S, self._update_views)

    def thaw(self, name):
        self.frozen.discard(name)
        events, self._frozen_events = self._frozen_events, []
        for event in events:
            heapq.heappush(self._events, (max(event[0], self.now), *event[1:]))
        self.at(self.rng.uniform(*RUMOR_S), self._update_views)

    def members_of(self, name):
        return self._members.get(name, ())

    def _update_views(self):
        """Let each node see the nodes that it can reach, as gossip does."""
        for is_cut in (False, True):
            side = [n for n in self.names if (n in self.cut) is is_cut]
            seen = tuple(
                Member(name, 'z', 'h', 1, 2, 3, leaving=name in self.leaving)
                for name in side
                if name not in self.down | self.frozen
            )
            for name in side:
                self._members[name] = seen

    # Nodes.

    def _tick(self, node):
        if self.nodes.get(node.name) is not node or node.name in self.down:
            return
        if self.registration is not None:
            node.cold.settle(self.now)
        self.call(node)
        self.at(self.entrust_interval_s, self._tick, node, node=node.name)

    def call(self, node):
        limits = node.limits
        # Nodes that are not seen any more are counted for ABSENT_S, which is
        # longer than these plays.
        limits.set_nodes(
            self.counted.get(node.name, len(self.names)), self.now
        )
        self._call_if_active(node)

    def _call_if_active(self, node):
        limits = node.limits
        if not limits.is_active(self.now) or node.name in self.down:
            return
        call = limits.next_call(self.members_of(node.name), self.now)
        if limits.announcement_due(self.now):
            for name in self.names:
                if name != node.name:
                    self.at(
                        self.rng.uniform(*RUMOR_S),
                        self.send,
                        node.name,
                        name,
                        self._announced,
                        name,
                    )
        if call is not None:
            self._send_call(node, call, [])

    def _announced(self, name):
        self.nodes[name].limits.on_announcement(15.0, self.now)

    def _send_call(self, node, call, waiting):
        state = {'is_over': False}
        is_cut = (node.name in self.cut) != (call.coordinator in self.cut)
        if call.coordinator in self.refusing and not is_cut:
            delay_s = 2 * self.rng.uniform(*DELAY_S)
            self.at(
                delay_s,
                self._refuse,
                node,
                call,
                waiting,
                state,
                node=node.name,
            )
            return
        self.send(
            node.name,
            call.coordinator,
            self._answer,
            call.coordinator,
            node,
            call,
            waiting,
            state,
        )
        self.at(0.25, self._fail, node, call, waiting, state, node=node.name)

    def _answer(self, coordinator, node, call, waiting, state):
        answer = self.nodes[coordinator].limits.answer(call.request, self.now)
        self.send(
            coordinator,
            node.name,
            self._answered,
            node,
            call,
            answer,
            waiting,
            state,
        )

    def _answered(self, node, call, answer, waiting, state):
        if state['is_over'] or self.nodes[node.name] is not node:
            return
        state['is_over'] = True
        node.limits.on_answer(call, answer, self.now)
        self._pass_on(node, waiting)
        if not answer.is_held:
            self.call(node)

    def _refuse(self, node, call, waiting, state):
        if call.coordinator not in self.refusing:
            # It was started again meanwhile.
            self._fail(node, call, waiting, state)
            return
        if state['is_over'] or self.nodes[node.name] is not node:
            return
        state['is_over'] = True
        if not self.proves_end:
            node.limits.on_failure(call, self.now)
            self._pass_on(node, waiting)
            return
        node.limits.on_ended(call, self.now)
        node.limits.choose_coordinator(self.members_of(node.name), self.now)
        if waiting:
            self._request_permits(node, waiting)
        else:
            self._call_if_active(node)

    def _fail(self, node, call, waiting, state):
        if state['is_over'] or self.nodes[node.name] is not node:
            return
        state['is_over'] = True
        node.limits.on_failure(call, self.now)
        self._pass_on(node, waiting)

    def _pass_on(self, node, waiting):
        for priority in waiting:
            permit = node.limits.acquire_waited(TARGET, priority, self.now)
            if permit is None:
                self.denied += 1
            else:
                self._send_request(node, permit, priority)

    # Requests.

    def start_demand(self, rates):
        """Send requests from nodes at the given rates from now on."""
        for name in sorted(rates.keys() - self.demand.keys()):
            self.at(0.0, self._demand, name, node=name)
        self.demand = dict(rates)

    def _demand(self, name):
        rate_per_s = self.demand.get(name, 0.0)
        if rate_per_s <= 0.0:
            self.demand.pop(name, None)
            return
        if name not in self.down:
            self.request(self.nodes[name], self.priorities.get(name, 1))
        self.at(
            self.rng.expovariate(rate_per_s), self._demand, name, node=name
        )

    def request(self, node, priority):
        if node.limits.wait_s(TARGET, priority, self.now) > 0.0:
            self.denied += 1
            return
        match node.limits.acquire(TARGET, priority, self.now):
            case Permit() as permit:
                self._send_request(node, permit, priority)
            case Denial.NONE_LEFT:
                self.denied += 1
            case Denial.REMOTE:
                if not node.waiting:
                    self.at(0.0, self._send_waiting, node, node=node.name)
                node.waiting.append(priority)

    def _send_waiting(self, node):
        waiting, node.waiting = sorted(node.waiting), []
        self._request_permits(node, waiting)

    def _request_permits(self, node, waiting):
        asks = [
            (TARGET, priority, waiting.count(priority))
            for priority in sorted(set(waiting))
        ]
        call = node.limits.permit_call(asks, self.now)
        if call is None:
            self._pass_on(node, waiting)
        else:
            self._send_call(node, call, waiting)

    def _send_request(self, node, permit, priority):
        assert node.limits.is_valid(permit, self.now)
        self.sent[priority] = self.sent.get(priority, 0) + 1
        self.at(DELAY_S[0], self._arrive, node)

    def _arrive(self, node):
        self.arrivals.append(self.now)
        named = None
        if self.limit is not None and self.rng.random() < self.named_by:
            named = self.limit
            if self.named_at is None:
                self.named_at = self.now
        self.at(REPLY_S, self._reply, node, named, node=node.name)

    def _reply(self, node, named):
        if self.nodes[node.name] is not node:
            return
        if node.limits.record_reply(TARGET, self.started_ms, named, self.now):
            self.call(node)

    # Results.

    def used_per_s(self, since, until):
        return sum(since <= at < until for at in self.arrivals) / (
            until - since
        )
