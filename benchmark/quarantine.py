"""Simulate crashing requests under several policies of quarantine.

Count the targets that a repeated crashing request ("poison") takes down, and
measure what other, innocent queries lose by the policy.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import json
import random
import statistics
import time

import msgspec

from sesameward.quarantine import quarantine
from sesameward.types import Fingerprint
from sesameward.types import NodeId
from sesameward.types import TargetId

ENTRIES = 5
NODES = tuple(NodeId(str(index)) for index in range(ENTRIES))
SHARDS = 20
REPLICAS = 2
SLOTS = 2
HOP_S = 0.0005
SERVICE_MEAN_S = 0.004
STRAGGLER_SERVICE_S = 0.08
DEADLINE_S = 0.21
DOWN_S = 5.0
QUERIES_PER_S = 300
POPULAR_QUERIES = 50
RUN_S = 3.0
POISON_START_S = 0.5
POISON = Fingerprint('poison')


class Policy(msgspec.Struct, frozen=True):
    """Set how entries treat requests that may crash targets."""

    name: str
    active: bool = True
    lead_s: float = 0.0
    spread_s: float = 0.5
    cancel: bool = False
    uses_home: bool = False


class Query(msgspec.Struct, eq=False):
    """Track a query in progress at an entry."""

    fp: Fingerprint
    entry: int
    start: float
    waiting: set[int]
    outstanding: dict[int, SubRequest] = {}
    lost_shards: int = 0
    refused: bool = False
    finished: bool = False


class SubRequest(msgspec.Struct, eq=False):
    """Track a sub-request to a target."""

    query: Query
    shard: int
    target: int
    cancelled: bool = False


class Server:
    """Hold a target's running and queued sub-requests and its downtime.

    The epoch counts its restarts.
    """

    def __init__(self):
        self.running: list[SubRequest] = []
        self.queue: collections.deque[SubRequest] = collections.deque()
        self.down_until = 0.0
        self.epoch = 0


class Simulation:
    """Simulate callers, entries and targets in virtual time."""

    def __init__(
        self,
        policy: Policy,
        crash_s: float = 0.0,
        restarts: int = 0,
        at_once: bool = False,
        straggler_fraction: float = 0.0,
    ):
        self.policy = policy
        self.crash_s = crash_s
        self.at_once = at_once
        self.straggler_fraction = straggler_fraction
        self.rng = random.Random(7)
        self.now = 0.0
        self.events: list[tuple] = []
        self.order = itertools.count()
        self.servers = [Server() for _ in range(SHARDS * REPLICAS)]
        cfg = quarantine.QuarantineSettings(lead_s=policy.lead_s)
        self.quarantines = [
            quarantine.Quarantine(f'e{i}', cfg, random.Random(i))
            for i in range(ENTRIES)
        ]
        self.lost_targets = 0
        self.poison_sends = 0
        self.elapsed: list[float] = []
        self.missing_shards = 0
        self.innocent_count = 0
        self.refused = 0
        self.quarantined: set[Fingerprint] = set()
        for at in self.arrivals():
            self.after(at, self.send_innocent)
        for index in range(restarts):
            at = 0.2 + index * RUN_S / max(restarts, 1)
            self.after(at, self.restart, index * 7 % len(self.servers))

    def arrivals(self):
        at = 0.0
        while at < RUN_S:
            at += self.rng.expovariate(QUERIES_PER_S)
            yield at

    def after(self, delay, callback, *args):
        at = self.now + delay
        heapq.heappush(self.events, (at, next(self.order), callback, args))

    def run(self, with_poison=True):
        if with_poison:
            self.after(POISON_START_S, self.start_poison)
        while self.events:
            self.now, _, callback, args = heapq.heappop(self.events)
            if self.now > RUN_S + DEADLINE_S:
                break
            callback(*args)
        return self

    # Simulated callers.

    def start_poison(self):
        entries = range(ENTRIES) if self.at_once else [0]
        for entry in entries:
            self.send_poison(entry)

    def send_poison(self, entry):
        if self.now < RUN_S:
            self.poison_sends += 1
            self.start_query(
                Query(POISON, entry, self.now, set(range(SHARDS)))
            )

    def send_innocent(self):
        self.innocent_count += 1
        number = self.rng.randrange(POPULAR_QUERIES * 2)
        unseen = number >= POPULAR_QUERIES
        fp = f'u{self.innocent_count}' if unseen else f'p{number}'
        entry = self.rng.randrange(ENTRIES)
        self.start_query(
            Query(Fingerprint(fp), entry, self.now, set(range(SHARDS)))
        )

    def finish(self, query):
        if query.finished:
            return
        query.finished = True
        if query.outstanding:
            self.quarantine_for(query).end_trial(query.fp)
        for sub_request in list(query.outstanding.values()):
            self.cancel(sub_request)
        if query.fp == POISON:
            entry = (query.entry + 1) % ENTRIES
            self.after(4 * HOP_S, self.send_poison, entry)
            return
        if query.refused:
            self.refused += 1
        self.missing_shards += len(query.waiting) + query.lost_shards
        self.elapsed.append(self.now - query.start)

    # Simulated entries.

    def start_query(self, query):
        self.after(DEADLINE_S, self.finish, query)
        self.send_admitted(query, sorted(query.waiting))

    def send_admitted(self, query, shards):
        """Send the shards' sub-requests as far as the quarantine allows."""
        if query.finished or not shards:
            return
        if not self.policy.active:
            return self.send_all(query, shards)
        local = self.quarantines[query.entry]
        decided = local.decide_without_trial(query.fp, self.now)
        if decided is not None:
            self.apply_admission(query, shards, decided)
        elif self.quarantine_for(query) is local:
            self.request_trial(query, shards)
        else:
            self.after(2 * HOP_S, self.request_trial, query, shards)

    def request_trial(self, query, shards):
        """Ask the quarantine that decides on trials of the fingerprint."""
        if not query.finished:
            admission = self.quarantine_for(query).admit(query.fp, self.now)
            self.apply_admission(query, shards, admission)

    def apply_admission(self, query, shards, admission):
        match admission:
            case quarantine.Allow():
                self.send_all(query, shards)
            case quarantine.Lead(wait_s):
                self.send_first(query, shards)
                self.after(wait_s, self.send_rest, query, shards)
            case quarantine.Canary():
                self.send_first(query, shards)
            case quarantine.Refuse(retry_after_s, True):
                self.after(retry_after_s, self.send_admitted, query, shards)
            case quarantine.Refuse():
                query.refused = True
                self.finish(query)

    def quarantine_for(self, query):
        """Return the quarantine that decides on trials of the fingerprint.

        That is the entry's own or, by policy, the one at the home node.
        """
        if self.policy.uses_home:
            return self.quarantines[int(quarantine.home(query.fp, NODES))]
        return self.quarantines[query.entry]

    def send_first(self, query, shards):
        """Send one sub-request, if possible to a shard with all replicas up.

        Such a shard still has a replica if the request crashes one.
        """
        safe = [s for s in shards if len(self.live(s)) == REPLICAS]
        with_replica = [s for s in shards if self.live(s)]
        choice = safe or with_replica or shards
        self.send(query, self.rng.choice(choice))

    def live(self, shard):
        replicas = [shard + SHARDS * r for r in range(REPLICAS)]
        return [
            target
            for target in replicas
            if self.servers[target].down_until <= self.now
        ]

    def send_rest(self, query, shards):
        """Send the other sub-requests unless the first one has broken."""
        if query.finished:
            return
        if (
            self.quarantine_for(query)._find_suspect(query.fp, self.now)
            is None
        ):
            self.send_all(query, shards)

    def send_all(self, query, shards):
        for shard in shards:
            if shard in query.waiting and shard not in query.outstanding:
                self.send(query, shard)

    def send(self, query, shard):
        replicas = [shard + SHARDS * r for r in range(REPLICAS)]
        live = [
            target
            for target in replicas
            if self.servers[target].down_until <= self.now
        ]
        if not live:
            query.waiting.discard(shard)
            query.lost_shards += 1
            return self.finish_if_done(query)
        sub_request = SubRequest(query, shard, self.rng.choice(live))
        query.outstanding = {**query.outstanding, shard: sub_request}
        self.after(HOP_S, self.arrive, sub_request)

    def on_answer(self, sub_request):
        query = sub_request.query
        if query.finished or sub_request.cancelled:
            return
        query.outstanding.pop(sub_request.shard, None)
        query.waiting.discard(sub_request.shard)
        if self.policy.active:
            target = TargetId(str(sub_request.target))
            decider = self.quarantine_for(query)
            self.apply_actions(
                query, decider.record_success(query.fp, target, self.now)
            )
            local = self.quarantines[query.entry]
            if local is not decider:
                local.record_success(query.fp, target, self.now)
            rest = sorted(query.waiting - set(query.outstanding))
            if rest:
                self.send_all(query, rest)
        self.finish_if_done(query)

    def on_disconnect(self, sub_request, fps):
        query = sub_request.query
        query.outstanding.pop(sub_request.shard, None)
        if self.policy.active:
            target = TargetId(str(sub_request.target))
            decider = self.quarantine_for(query)
            entry_fps = fps[query.entry]
            actions = decider.record_disconnect(
                query.fp, target, entry_fps, self.now
            )
            self.apply_actions(query, actions)
            if self.policy.cancel:
                for other in list(query.outstanding.values()):
                    self.cancel(other)
                    query.outstanding.pop(other.shard, None)
        if not query.finished:
            rest = sorted(query.waiting - set(query.outstanding))
            self.send_admitted(query, rest)

    def finish_if_done(self, query):
        if not query.waiting:
            self.finish(query)

    def apply_actions(self, query, actions):
        for action in actions:
            match action:
                case quarantine.SendRumor(rumor):
                    self.send_rumor(self.quarantine_for(query), rumor)
                case quarantine.Quarantined(fp):
                    self.quarantined.add(fp)

    def send_rumor(self, origin, rumor):
        for receiver in self.quarantines:
            if receiver is not origin:
                delay = self.policy.spread_s * self.rng.uniform(0.5, 1.0)
                self.after(delay, self.receive_rumor, receiver, rumor)

    def receive_rumor(self, receiver, rumor):
        for action in receiver.apply_rumor(rumor, self.now):
            if isinstance(action, quarantine.Quarantined):
                self.quarantined.add(action.fp)

    def cancel(self, sub_request):
        sub_request.cancelled = True
        self.after(HOP_S, self.arrive_cancel, sub_request)

    # Simulated targets.

    def arrive(self, sub_request):
        server = self.servers[sub_request.target]
        if server.down_until > self.now:
            self.after(HOP_S, self.on_connect_refused, sub_request)
            return
        server.queue.append(sub_request)
        self.start_next(server, sub_request.target)

    def on_connect_refused(self, sub_request):
        if not sub_request.query.finished and not sub_request.cancelled:
            sub_request.query.outstanding.pop(sub_request.shard, None)
            self.send(sub_request.query, sub_request.shard)

    def start_next(self, server, target):
        while server.queue and len(server.running) < SLOTS:
            sub_request = server.queue.popleft()
            server.running.append(sub_request)
            if sub_request.query.fp == POISON:
                self.after(self.crash_s, self.crash, sub_request, server.epoch)
            else:
                service_s = self.rng.expovariate(1.0 / SERVICE_MEAN_S)
                if self.rng.random() < self.straggler_fraction:
                    service_s = STRAGGLER_SERVICE_S
                self.after(
                    service_s, self.finish_serving, sub_request, server.epoch
                )

    def finish_serving(self, sub_request, epoch):
        server = self.servers[sub_request.target]
        if server.epoch != epoch or sub_request not in server.running:
            return
        server.running.remove(sub_request)
        self.after(HOP_S, self.on_answer, sub_request)
        self.start_next(server, sub_request.target)

    def arrive_cancel(self, sub_request):
        server = self.servers[sub_request.target]
        if sub_request in server.queue:
            server.queue.remove(sub_request)
        elif sub_request in server.running:
            server.running.remove(sub_request)
            self.start_next(server, sub_request.target)

    def crash(self, sub_request, epoch):
        server = self.servers[sub_request.target]
        if server.epoch == epoch and sub_request in server.running:
            self.lost_targets += 1
            self.restart(sub_request.target)

    def restart(self, target):
        server = self.servers[target]
        lost_sub_requests = [*server.running, *server.queue]
        server.running.clear()
        server.queue.clear()
        server.epoch += 1
        server.down_until = self.now + DOWN_S
        fps = collections.defaultdict(set)
        for sub_request in lost_sub_requests:
            fps[sub_request.query.entry].add(sub_request.query.fp)
        for sub_request in lost_sub_requests:
            self.after(HOP_S, self.on_disconnect, sub_request, fps)

    def figures(self):
        elapsed = sorted(self.elapsed)
        shards = self.innocent_count * SHARDS
        return {
            'targets_lost': self.lost_targets,
            'poison_sends': self.poison_sends,
            'innocent_p50_ms': round(statistics.median(elapsed) * 1e3, 2),
            'innocent_p99_ms': round(
                elapsed[int(len(elapsed) * 0.99)] * 1e3, 2
            ),
            'innocent_refused': self.refused,
            'innocent_quarantined': len(self.quarantined - {POISON}),
            'innocent_coverage': round(1.0 - self.missing_shards / shards, 5),
        }


POLICIES = (
    Policy('baseline', active=False),
    Policy('a_alarm_gossip'),
    Policy('a_alarm_push', spread_s=0.002),
    Policy('c_cancel_push', spread_s=0.002, cancel=True),
    Policy('lead_5ms_push', lead_s=0.005, spread_s=0.002),
    Policy('lead_50ms_push', lead_s=0.05, spread_s=0.002),
    Policy('lead_50ms_gossip', lead_s=0.05),
    Policy('b_canary_push', lead_s=9.0, spread_s=0.002),
    Policy('lead_50ms_home', lead_s=0.05, spread_s=0.002, uses_home=True),
)
CRASH_DELAYS_S = (0.001, 0.004, 0.02, 0.1)


def measure_cost() -> dict[str, float]:
    """Return the mean time of decisions over 1,000 known fingerprints.

    Times are in microseconds.
    """
    decider = quarantine.Quarantine(
        'e0', quarantine.QuarantineSettings(), random.Random(1)
    )
    count = 100_000
    fps = [Fingerprint(f'{index:024x}') for index in range(1_000)]
    target = TargetId('t0')
    for fp in fps:
        decider.record_success(fp, target, 0.0)
    start = time.perf_counter()
    for index in range(count):
        decider.admit(fps[index % 1_000], 0.0)
    admitted = time.perf_counter()
    for index in range(count):
        decider.record_success(fps[index % 1_000], target, 0.0)
    succeeded = time.perf_counter()
    return {
        'admit_us': round((admitted - start) / count * 1e6, 3),
        'succeeded_us': round((succeeded - admitted) / count * 1e6, 3),
    }


def measure(policy: Policy) -> dict[str, dict]:
    """Return the figures of a policy with and without poison requests."""
    rows = {
        f'crash_{crash_s * 1e3:g}ms': Simulation(policy, crash_s)
        .run()
        .figures()
        for crash_s in CRASH_DELAYS_S
    }
    at_once = Simulation(policy, CRASH_DELAYS_S[1], at_once=True)
    rows['five_entries_at_once'] = at_once.run().figures()
    rows['calm'] = Simulation(policy).run(False).figures()
    rows['restarts'] = Simulation(policy, restarts=12).run(False).figures()
    straggling = Simulation(policy, straggler_fraction=0.02)
    rows['stragglers'] = straggling.run(False).figures()
    return rows


def main() -> None:
    """Print a line for each run, then all figures as JSON."""
    figures: dict[str, object] = {'cost': measure_cost()}
    for policy in POLICIES:
        figures[policy.name] = measure(policy)
        for run, row in figures[policy.name].items():
            print(f'{policy.name:17} {run:21}', *row.values())
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
