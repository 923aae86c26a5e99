"""Simulate nodes that keep to the limit of an organisation, not a network.

It differs from LimitFleet in that the limit is configured and that the
requests of callers are admitted or refused, with the time of each.
"""

from __future__ import annotations

import bisect

import msgspec

from sesameward.messages import Member
from sesameward.organisations.quotas import OrganisationLimits
from sesameward.organisations.quotas import PRIORITY
from sesameward.organisations.quotas import QUOTA_ENTRUST_INTERVAL_S
from sesameward.serving.limit_exchange import CALL_DELAY_S
from sesameward.serving.limit_exchange import UNANSWERED_S
from sesameward.serving.routes import CallerLimits
from sesameward.serving.routes import Organisation
from sesameward.serving.routes import RouteTable
from sesameward.serving.target_limits import Denial
from sesameward.serving.target_limits import Permit
from tests.limit_fleet import LimitFleet
from tests.limit_fleet import TARGET

WINDOW_S = 5.0
OVERSHOOT = 0.1
SLACK = 20.0


class Shaper:
    """The token bucket of an organisation, as if there were one node only."""

    def __init__(self, level):
        self._level = level
        self._updated_at = 0.0

    def admits(self, organisation, now):
        passed_s, self._updated_at = now - self._updated_at, now
        added = passed_s * organisation.rate_per_s
        self._level = min(organisation.burst, self._level + added)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class QuotaNode:
    """One node's decisions about the requests of one organisation."""

    def __init__(self, fleet, name, now):
        self.name = name
        self.limits = OrganisationLimits(
            name, f'{name}:{now}', OVERSHOOT, SLACK, WINDOW_S, now
        )
        self.waiting = []
        self.apply(fleet.organisation)

    def apply(self, organisation):
        self.limits.configured.apply_table(
            RouteTable(1, (), (), CallerLimits(), [organisation])
        )


class QuotaFleet(LimitFleet):
    """Run nodes that share the limit of one organisation.

    requests has the time of each request, and whether it was admitted. A
    request reaches a target as soon as it is admitted. If is_shaped is True,
    callers send only what one full bucket of the limit admits.
    """

    entrust_interval_s = QUOTA_ENTRUST_INTERVAL_S

    def __init__(self, nodes, rate_per_s, burst, seed=1):
        self.organisation = Organisation(TARGET, (), None, rate_per_s, burst)
        self.requests = []
        self.is_shaped = False
        self._shaper = Shaper(burst)
        super().__init__(nodes, rate_per_s, seed)

    def make_node(self, name, started_at):
        return QuotaNode(self, name, started_at)

    def set_limit(self, rate_per_s, burst, max_delay_s=1.0):
        """Change the limit; nodes learn of it at different times."""
        self.organisation = msgspec.structs.replace(
            self.organisation, rate_per_s=rate_per_s, burst=burst
        )
        for node in self.nodes.values():
            delay_s = self.rng.uniform(0.0, max_delay_s)
            self.at(delay_s, node.apply, self.organisation, node=node.name)

    def request(self, node, priority):
        is_within = self._shaper.admits(self.organisation, self.now)
        if self.is_shaped and not is_within:
            return
        record = [self.now, False]
        self.requests.append(record)
        match node.limits.acquire(TARGET, PRIORITY, self.now):
            case Permit() as permit:
                self._send_request(node, permit, record)
            case Denial.REMOTE:
                if not node.waiting:
                    self.at(0.0, self._send_waiting, node, node=node.name)
                node.waiting.append(record)

    def _send_waiting(self, node):
        waiting, node.waiting = node.waiting, []
        self._request_permits(node, waiting)

    def _request_permits(self, node, waiting):
        needs = [(TARGET, PRIORITY, len(waiting))]
        call = node.limits.permit_call(needs, self.now)
        self.at(
            UNANSWERED_S, self._on_no_answer, node, waiting, node=node.name
        )
        if call is None:
            self._pass_on(node, waiting)
        else:
            self._send_call(node, call, waiting)

    def _on_no_answer(self, node, waiting):
        for record in tuple(waiting):
            permit = node.limits.acquire_unanswered(TARGET, self.now)
            if permit is not None:
                waiting.remove(record)
                self._send_request(node, permit, record)

    def _pass_on(self, node, waiting):
        while waiting:
            record = waiting.pop(0)
            permit = node.limits.acquire_waited(TARGET, PRIORITY, self.now)
            if permit is not None:
                self._send_request(node, permit, record)

    def _send_request(self, node, permit, record):
        assert node.limits.is_valid(permit, self.now)
        record[1] = True
        self.arrivals.append(self.now)

    # Restart of all nodes.

    def restart_all(self, count_interval_s, start_s=0.3, join_s=(0.02, 0.2)):
        """Kill all nodes; restart them within start_s, as real ones do.

        Each node learns of another one within join_s after both have started.
        It counts the others every count_interval_s, and calls the coordinator
        when their number has changed.
        """
        for name in self.names:
            self.kill(name)
        self.run(0.5)
        for name in self.names:
            self._members[name] = (Member(name, 'z', 'h', 1, 2, 3),)
            self.counted[name] = 1
        delays_s = {n: self.rng.uniform(0.0, start_s) for n in self.names}
        for name, delay_s in delays_s.items():
            self.at(delay_s, self._start_anew, name, count_interval_s)
        for name, delay_s in delays_s.items():
            for other, other_delay_s in delays_s.items():
                if other != name:
                    known_s = max(delay_s, other_delay_s)
                    known_s += self.rng.uniform(*join_s)
                    self.at(known_s, self._learn, name, other)

    def _start_anew(self, name, count_interval_s):
        self.start_node(name)
        node = self.nodes[name]
        node.limits.set_registered_nodes(len(self.names), self.now)
        self.at(CALL_DELAY_S, self.call, node, node=name)
        self._count(node, count_interval_s)

    def _learn(self, name, other):
        self._members[name] += (Member(other, 'z', 'h', 1, 2, 3),)

    def _count(self, node, interval_s):
        if self.nodes[node.name] is not node:
            return
        nodes = len(self._members[node.name])
        if nodes != self.counted[node.name]:
            self.counted[node.name] = nodes
            node.limits.set_nodes(nodes, self.now)
            self.at(CALL_DELAY_S, self.call, node, node=node.name)
        if nodes < len(self.names):
            self.at(interval_s, self._count, node, interval_s, node=node.name)

    def _update_views(self):
        if not self.counted:
            super()._update_views()

    # Results.

    def coordinator(self):
        """Return the coordinator, as a node knows it that is not down."""
        running = next(n for n in self.names if n not in self.down)
        return self.nodes[running].limits.coordinator

    def check_bound(self, since=0.0):
        """Check every window that begins with an admitted request."""
        limit = self.organisation
        bound = limit.rate_per_s * WINDOW_S + limit.burst
        bound = bound * (1 + OVERSHOOT) + SLACK
        times = sorted(at for at in self.arrivals if at >= since)
        worst = max(
            (
                bisect.bisect_left(times, at + WINDOW_S) - n
                for n, at in enumerate(times)
            ),
            default=0,
        )
        assert worst <= bound, (worst, bound)
        return worst

    def refused(self):
        """End the demand; return the times of the refused requests."""
        self.start_demand({})
        self.run(1.0)
        return [at for at, is_admitted in self.requests if not is_admitted]
