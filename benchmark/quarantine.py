"""Measure how many targets a crashing request takes, and what it costs."""

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
SERVICE_S = 0.004
STRAGGLER_S = 0.08
DEADLINE_S = 0.21
DOWN_S = 5.0
QUERIES_PER_S = 300
POPULAR = 50
RUN_S = 3.0
POISON_FROM_S = 0.5
POISON = Fingerprint('poison')


class Policy(msgspec.Struct, frozen=True):
    """Hold one way to treat requests which may crash targets."""

    name: str
    active: bool = True
    lead_s: float = 0.0
    spread_s: float = 0.5
    cancel: bool = False
    home: bool = False


class Query(msgspec.Struct, eq=False):
    """Hold one query in progress at an entry."""

    fp: Fingerprint
    entry: int
    start: float
    waiting: set[int]
    outstanding: dict[int, Sub] = {}
    lost: int = 0
    refused: bool = False
    over: bool = False


class Sub(msgspec.Struct, eq=False):
    """Hold one sub-request to a target."""

    query: Query
    shard: int
    target: int
    cancelled: bool = False


class Server:
    """Run sub-requests in a few slots and crash on the poison."""

    def __init__(self):
        self.running: list[Sub] = []
        self.queue: collections.deque[Sub] = collections.deque()
        self.down_until = 0.0
        self.epoch = 0


class Bench:
    """Run callers, entries and servers over one event queue."""

    def __init__(
        self,
        policy: Policy,
        crash_s: float = 0.0,
        restarts: int = 0,
        at_once: bool = False,
        stragglers: float = 0.0,
    ):
        self.policy = policy
        self.crash_s = crash_s
        self.at_once = at_once
        self.stragglers = stragglers
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
        self.missing = 0
        self.innocents = 0
        self.refused = 0
        self.quarantined: set[Fingerprint] = set()
        for at in self.arrivals():
            self.after(at, self.innocent)
        for index in range(restarts):
            at = 0.2 + index * RUN_S / max(restarts, 1)
            self.after(at, self.restart, index * 7 % len(self.servers))

    def arrivals(self):
        at = 0.0
        while at < RUN_S:
            at += self.rng.expovariate(QUERIES_PER_S)
            yield at

    def after(self, delay, step, *args):
        at = self.now + delay
        heapq.heappush(self.events, (at, next(self.order), step, args))

    def run(self, with_poison=True):
        if with_poison:
            self.after(POISON_FROM_S, self.begin_poison)
        while self.events:
            self.now, _, step, args = heapq.heappop(self.events)
            if self.now > RUN_S + DEADLINE_S:
                break
            step(*args)
        return self

    # Callers.

    def begin_poison(self):
        entries = range(ENTRIES) if self.at_once else [0]
        for entry in entries:
            self.send_poison(entry)

    def send_poison(self, entry):
        if self.now < RUN_S:
            self.poison_sends += 1
            self.begin(Query(POISON, entry, self.now, set(range(SHARDS))))

    def innocent(self):
        self.innocents += 1
        number = self.rng.randrange(POPULAR * 2)
        unseen = number >= POPULAR
        fp = f'u{self.innocents}' if unseen else f'p{number}'
        entry = self.rng.randrange(ENTRIES)
        self.begin(Query(Fingerprint(fp), entry, self.now, set(range(SHARDS))))

    def finish(self, query):
        if query.over:
            return
        query.over = True
        if query.outstanding:
            self.decisions(query).ended(query.fp)
        for sub in list(query.outstanding.values()):
            self.cancel(sub)
        if query.fp == POISON:
            entry = (query.entry + 1) % ENTRIES
            self.after(4 * HOP_S, self.send_poison, entry)
            return
        if query.refused:
            self.refused += 1
        self.missing += len(query.waiting) + query.lost
        self.elapsed.append(self.now - query.start)

    # Entries.

    def begin(self, query):
        self.after(DEADLINE_S, self.finish, query)
        self.admit(query, sorted(query.waiting))

    def admit(self, query, shards):
        """Send shards as far as the quarantine lets it."""
        if query.over or not shards:
            return
        if not self.policy.active:
            return self.send_all(query, shards)
        local = self.quarantines[query.entry]
        decided = local.decided(query.fp, self.now)
        if decided is not None:
            self.apply(query, shards, decided)
        elif self.decisions(query) is local:
            self.ask(query, shards)
        else:
            self.after(2 * HOP_S, self.ask, query, shards)

    def ask(self, query, shards):
        """Ask where trials of the fingerprint are decided."""
        if not query.over:
            admission = self.decisions(query).admit(query.fp, self.now)
            self.apply(query, shards, admission)

    def apply(self, query, shards, admission):
        match admission:
            case quarantine.Allow():
                self.send_all(query, shards)
            case quarantine.Lead(wait_s):
                self.send_first(query, shards)
                self.after(wait_s, self.follow, query, shards)
            case quarantine.Canary():
                self.send_first(query, shards)
            case quarantine.Refuse(retry_after_s, True):
                self.after(retry_after_s, self.admit, query, shards)
            case quarantine.Refuse():
                query.refused = True
                self.finish(query)

    def decisions(self, query):
        """Return the decisions of the entry, or of the request's home."""
        if self.policy.home:
            return self.quarantines[int(quarantine.home(query.fp, NODES))]
        return self.quarantines[query.entry]

    def send_first(self, query, shards):
        """Send to a shard that would keep a replica after a crash."""
        safe = [s for s in shards if len(self.live(s)) == REPLICAS]
        some = [s for s in shards if self.live(s)]
        choice = safe or some or shards
        self.send(query, self.rng.choice(choice))

    def live(self, shard):
        replicas = [shard + SHARDS * r for r in range(REPLICAS)]
        return [t for t in replicas if self.servers[t].down_until <= self.now]

    def follow(self, query, shards):
        """Send what is left after a lead, unless it broke meanwhile."""
        if query.over:
            return
        if self.decisions(query)._suspect(query.fp, self.now) is None:
            self.send_all(query, shards)

    def send_all(self, query, shards):
        for shard in shards:
            if shard in query.waiting and shard not in query.outstanding:
                self.send(query, shard)

    def send(self, query, shard):
        replicas = [shard + SHARDS * r for r in range(REPLICAS)]
        live = [t for t in replicas if self.servers[t].down_until <= self.now]
        if not live:
            query.waiting.discard(shard)
            query.lost += 1
            return self.check_done(query)
        sub = Sub(query, shard, self.rng.choice(live))
        query.outstanding = {**query.outstanding, shard: sub}
        self.after(HOP_S, self.arrive, sub)

    def answer(self, sub):
        query = sub.query
        if query.over or sub.cancelled:
            return
        query.outstanding.pop(sub.shard, None)
        query.waiting.discard(sub.shard)
        if self.policy.active:
            target = TargetId(str(sub.target))
            decisions = self.decisions(query)
            self.act(query, decisions.succeeded(query.fp, target, self.now))
            local = self.quarantines[query.entry]
            if local is not decisions:
                local.succeeded(query.fp, target, self.now)
            rest = sorted(query.waiting - set(query.outstanding))
            if rest:
                self.send_all(query, rest)
        self.check_done(query)

    def broke(self, sub, fps):
        query = sub.query
        query.outstanding.pop(sub.shard, None)
        if self.policy.active:
            target = TargetId(str(sub.target))
            decisions = self.decisions(query)
            mine = fps[query.entry]
            actions = decisions.broke(query.fp, target, mine, self.now)
            self.act(query, actions)
            if self.policy.cancel:
                for other in list(query.outstanding.values()):
                    self.cancel(other)
                    query.outstanding.pop(other.shard, None)
        if not query.over:
            rest = sorted(query.waiting - set(query.outstanding))
            self.admit(query, rest)

    def check_done(self, query):
        if not query.waiting:
            self.finish(query)

    def act(self, query, actions):
        for action in actions:
            match action:
                case quarantine.Spread(rumor):
                    self.spread(self.decisions(query), rumor)
                case quarantine.Quarantined(fp):
                    self.quarantined.add(fp)

    def spread(self, origin, rumor):
        for decisions in self.quarantines:
            if decisions is not origin:
                delay = self.policy.spread_s * self.rng.uniform(0.5, 1.0)
                self.after(delay, self.hear, decisions, rumor)

    def hear(self, decisions, rumor):
        for action in decisions.heard(rumor, self.now):
            if isinstance(action, quarantine.Quarantined):
                self.quarantined.add(action.fp)

    def cancel(self, sub):
        sub.cancelled = True
        self.after(HOP_S, self.arrive_cancel, sub)

    # Servers.

    def arrive(self, sub):
        server = self.servers[sub.target]
        if server.down_until > self.now:
            self.after(HOP_S, self.refused_connect, sub)
            return
        server.queue.append(sub)
        self.start_next(server, sub.target)

    def refused_connect(self, sub):
        if not sub.query.over and not sub.cancelled:
            sub.query.outstanding.pop(sub.shard, None)
            self.send(sub.query, sub.shard)

    def start_next(self, server, target):
        while server.queue and len(server.running) < SLOTS:
            sub = server.queue.popleft()
            server.running.append(sub)
            if sub.query.fp == POISON:
                self.after(self.crash_s, self.crash, sub, server.epoch)
            else:
                service_s = self.rng.expovariate(1.0 / SERVICE_S)
                if self.rng.random() < self.stragglers:
                    service_s = STRAGGLER_S
                self.after(service_s, self.serve, sub, server.epoch)

    def serve(self, sub, epoch):
        server = self.servers[sub.target]
        if server.epoch != epoch or sub not in server.running:
            return
        server.running.remove(sub)
        self.after(HOP_S, self.answer, sub)
        self.start_next(server, sub.target)

    def arrive_cancel(self, sub):
        server = self.servers[sub.target]
        if sub in server.queue:
            server.queue.remove(sub)
        elif sub in server.running:
            server.running.remove(sub)
            self.start_next(server, sub.target)

    def crash(self, sub, epoch):
        server = self.servers[sub.target]
        if server.epoch == epoch and sub in server.running:
            self.lost_targets += 1
            self.restart(sub.target)

    def restart(self, target):
        server = self.servers[target]
        broken = [*server.running, *server.queue]
        server.running.clear()
        server.queue.clear()
        server.epoch += 1
        server.down_until = self.now + DOWN_S
        fps = collections.defaultdict(set)
        for sub in broken:
            fps[sub.query.entry].add(sub.query.fp)
        for sub in broken:
            self.after(HOP_S, self.broke, sub, fps)

    def figures(self):
        elapsed = sorted(self.elapsed)
        shards = self.innocents * SHARDS
        return {
            'targets_lost': self.lost_targets,
            'poison_sends': self.poison_sends,
            'innocent_p50_ms': round(statistics.median(elapsed) * 1e3, 2),
            'innocent_p99_ms': round(
                elapsed[int(len(elapsed) * 0.99)] * 1e3, 2
            ),
            'innocent_refused': self.refused,
            'innocent_quarantined': len(self.quarantined - {POISON}),
            'innocent_coverage': round(1.0 - self.missing / shards, 5),
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
    Policy('lead_50ms_home', lead_s=0.05, spread_s=0.002, home=True),
)
CRASHES_S = (0.001, 0.004, 0.02, 0.1)


def measure_cost() -> dict[str, float]:
    """Return the microseconds of each decision on a busy entry."""
    decisions = quarantine.Quarantine(
        'e0', quarantine.QuarantineSettings(), random.Random(1)
    )
    count = 100_000
    fps = [Fingerprint(f'{index:024x}') for index in range(1_000)]
    target = TargetId('t0')
    for fp in fps:
        decisions.succeeded(fp, target, 0.0)
    start = time.perf_counter()
    for index in range(count):
        decisions.admit(fps[index % 1_000], 0.0)
    admitted = time.perf_counter()
    for index in range(count):
        decisions.succeeded(fps[index % 1_000], target, 0.0)
    succeeded = time.perf_counter()
    return {
        'admit_us': round((admitted - start) / count * 1e6, 3),
        'succeeded_us': round((succeeded - admitted) / count * 1e6, 3),
    }


def measure(policy: Policy) -> dict[str, dict]:
    """Return the figures of a policy with and without the poison."""
    rows = {
        f'crash_{crash_s * 1e3:g}ms': Bench(policy, crash_s).run().figures()
        for crash_s in CRASHES_S
    }
    at_once = Bench(policy, CRASHES_S[1], at_once=True)
    rows['five_entries_at_once'] = at_once.run().figures()
    rows['calm'] = Bench(policy).run(False).figures()
    rows['restarts'] = Bench(policy, restarts=12).run(False).figures()
    straggling = Bench(policy, stragglers=0.02)
    rows['stragglers'] = straggling.run(False).figures()
    return rows


def main() -> None:
    """Print a line for each run, then the figures as JSON."""
    figures: dict[str, object] = {'cost': measure_cost()}
    for policy in POLICIES:
        figures[policy.name] = measure(policy)
        for run, row in figures[policy.name].items():
            print(f'{policy.name:17} {run:21}', *row.values())
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
