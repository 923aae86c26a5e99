"""Simulate nodes of which some lose all targets, without a network."""

from __future__ import annotations

import collections
import heapq
import itertools
import random

import msgspec

from sesameward.messages import Address
from sesameward.messages import Member
from sesameward.serving.delegation import Delegation
from sesameward.serving.delegation import HELPER_QUIET_AFTER_S
from sesameward.serving.target_links import CHECK_DELAY_S
from sesameward.serving.target_links import LinkState
from sesameward.serving.target_links import TargetLinks
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState

# Time within which a change of a member's record reaches the other nodes.
GOSSIP_S = (0.3, 1.2)
# Time without a reply after which a node suspects its links, time of a check
# that nobody answers, and interval of the checks while links are lost.
SILENT_S = 0.15
CHECK_S = 0.15
RECHECK_S = 0.25
REPLY_S = 0.005
# Sub-requests that a helper refused are sent again at most this often.
MAX_RETRIES = 3


class SimulatedNode:
    """One node's decisions about its links and its helpers."""

    def __init__(self, name, zone, fleet):
        self.member = Member(
            name, zone, 'h', 1, 2, 3, entries=(Address(name, 'h', 1, zone, 1),)
        )
        self.fleet = fleet
        self.is_cut = False
        self.helped = 0
        self.knows_new = True
        self.links = TargetLinks(random.Random(name))
        self.links.on_change = lambda is_lost, for_s: fleet.announce(
            self, not is_lost
        )
        self.delegation = Delegation(name, zone)

    def fail(self):
        """Note that a target has not replied, and check others."""
        silent_since = self.fleet.now - SILENT_S
        if self.links.record_failure(silent_since, self.fleet.now):
            self.fleet.at(CHECK_DELAY_S, self.check)

    def check(self):
        chosen = self.links.targets_to_check(
            self.fleet.targets, self.fleet.now
        )
        if chosen and not self.is_cut:
            self.links.record_contact(self.fleet.now)
        elif self.links.state is LinkState.SUSPECTED and chosen:
            self.fleet.at(CHECK_S, self.end_check, len(chosen))
        if self.links.is_lost:
            self.fleet.at(RECHECK_S, self.check)

    def end_check(self, count):
        if any([self.links.check_failed(False) for _ in range(count)]):
            self.check()


class LinkFleet:
    """Run nodes on a simulated clock; count the queries that are served.

    A query is served if the targets of all zones are reached.
    """

    def __init__(self, nodes, zones, seed=1):
        self.rng = random.Random(seed)
        self.now = 100.0
        self._events = []
        self._ids = itertools.count()
        self.zones = [f'z{n}' for n in range(zones)]
        self.targets = [
            Target(
                f't{n}',
                f's{n // 2}',
                'h',
                1,
                self.zones[n % zones],
                2,
                TargetState.READY,
            )
            for n in range(40)
        ]
        self.nodes = [
            SimulatedNode(f'n{n}', self.zones[n % zones], self)
            for n in range(nodes)
        ]
        for node in self.nodes:
            node.known = {one.member.node: one.member for one in self.nodes}
        self.served = collections.defaultdict(list)

    def at(self, delay_s, act, *args):
        event = (self.now + delay_s, next(self._ids), act, args)
        heapq.heappush(self._events, event)

    def announce(self, node, reaches_targets):
        node.member = msgspec.structs.replace(
            node.member, reaches_targets=reaches_targets
        )
        for other in self.nodes:
            delay_s = 0.0 if other is node else self.rng.uniform(*GOSSIP_S)
            self.at(delay_s, self._learn, other, node.member)

    def _learn(self, node, member):
        node.known[member.node] = member
        node.knows_new = True

    def run(self, length_s, queries_per_s):
        until = self.now + length_s
        at_s = 0.0
        while at_s < length_s:
            at_s += self.rng.expovariate(queries_per_s)
            self.at(at_s, self._query, self.rng.choice(self.nodes))
        while self._events and self._events[0][0] < until:
            self.now, _, act, args = heapq.heappop(self._events)
            act(*args)
        self.now = until

    def _query(self, node):
        reached = [self._reach(node, zone) for zone in self.zones]
        self.served[node.is_cut].append(all(reached))

    def _reach(self, node, zone):
        """Return whether a node's sub-requests reach the targets of a zone."""
        if node.knows_new:
            node.knows_new = False
            node.delegation.set_members(tuple(node.known.values()))
        for _ in range(MAX_RETRIES):
            helper = node.delegation.choose_helper(
                zone, self.now, node.links.is_lost
            )
            if helper is None:
                return self._send_directly(node)
            end = self._help(node, helper.node)
            if end is not None:
                return end
        return False

    def _send_directly(self, node):
        if node.is_cut:
            self.at(SILENT_S, node.fail)
            return False
        node.links.record_contact(self.now)
        return True

    def _help(self, node, name):
        """Return whether a helper's targets were reached, None if refused."""
        helper = self.nodes[int(name[1:])]
        assert helper is not node
        helper.helped += 1
        if helper.links.is_lost:
            node.delegation.record_no_links(name, self.now)
            return None
        node.delegation.batch_sent(name, next(self._ids), self.now)
        batch = next(reversed(node.delegation._helper_state(name).open))
        if self._send_directly(helper):
            node.delegation.message_received(name, self.now)
            self.at(REPLY_S, node.delegation.batch_ended, name, batch)
            return True
        # The query is abandoned later, and its batch cancelled.
        self.at(4 * HELPER_QUIET_AFTER_S, node.delegation.batch_ended, name, 0)
        self.at(0.5, node.delegation.batch_ended, name, batch)
        return False
