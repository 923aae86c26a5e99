"""Run the routing decisions over stand-in service times."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import heapq
import math
import random

from sesameward.configuration import declared
from sesameward.messages import LoadReport
from sesameward.routing.admission import Admission
from sesameward.routing.admission import Admit
from sesameward.routing.admission import Refuse
from sesameward.routing.budget import BudgetBook
from sesameward.routing.hedging import HedgePolicy
from sesameward.routing.latency import LatencyTracker
from sesameward.routing.replicas import ReplicaChooser
from sesameward.settings import LimitSettings
from sesameward.types import Outcome
from sesameward.types import Priority
from sesameward.types import RequestId
from sesameward.types import ServiceName
from sesameward.types import ShardId
from sesameward.types import TargetId
from sesameward.types import ZoneName

SERVICE = ServiceName('trip-desk')
ZONE = ZoneName('a')
TICK_S = 0.005
RESEND_S = 0.05
RETRY_S = 0.05
RESENDS = 3


class Events:
    """Run callbacks in the order of their instants."""

    def __init__(self):
        self.now = 0.0
        self._heap: list[tuple] = []
        self._count = 0

    def at(self, instant: float, call: collections.abc.Callable, *args):
        """Run a callback at an instant."""
        self._count += 1
        heapq.heappush(self._heap, (instant, self._count, call, args))

    def run(self, until: float = math.inf):
        """Run all callbacks up to an instant."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """Hold one sub-request at one server."""

    entry: Entry
    query: Query
    shard: int
    server: Server
    sent_at: float
    extra: bool
    settled: bool = False
    running: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Query:
    """Hold one request of a caller."""

    name: RequestId
    priority: Priority
    arrived_at: float
    deadline_at: float
    shards: collections.abc.Sequence[int]
    started_at: float = 0.0
    open: dict[int, list[Attempt]] = dataclasses.field(default_factory=dict)
    missing: int = 0
    hedges: int = 0
    resends: int = 0
    ended: bool = False


class Server:
    """Serve sub-requests with a few slots and a bounded queue."""

    def __init__(
        self,
        events: Events,
        name: str,
        service_s: collections.abc.Callable[[float], float],
        slots: int = 2,
        max_queue: float = math.inf,
        lies: bool = False,
    ):
        self.id = TargetId(name)
        self.slots = slots
        self.max_queue = max_queue
        self.lies = lies
        self.service_s = service_s
        self._events = events
        self._busy = 0
        self._queue: collections.deque[Attempt] = collections.deque()

    def submit(self, attempt: Attempt) -> None:
        """Take one sub-request or shed it."""
        if self._busy < self.slots:
            self._start(attempt)
        elif len(self._queue) >= self.max_queue:
            now = self._events.now
            self._events.at(now, attempt.entry.ended, attempt, Outcome.SHED)
        else:
            self._queue.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Stop one sub-request."""
        if attempt.running:
            self._free(attempt)
            return
        self._queue.remove(attempt)

    def report(self) -> LoadReport:
        """Return the load, or a lie about it."""
        if self.lies:
            return LoadReport()
        return LoadReport(in_flight=self._busy, queued=len(self._queue))

    def _start(self, attempt: Attempt) -> None:
        self._busy += 1
        attempt.running = True
        now = self._events.now
        self._events.at(now + self.service_s(now), self._finish, attempt)

    def _finish(self, attempt: Attempt) -> None:
        if not attempt.running:
            return
        self._free(attempt)
        attempt.entry.ended(attempt, Outcome.OK)

    def _free(self, attempt: Attempt) -> None:
        attempt.running = False
        self._busy -= 1
        if self._queue:
            self._start(self._queue.popleft())


@dataclasses.dataclass
class Result:
    """Collect what callers and servers saw."""

    answers: list[tuple[float, Priority, float]] = dataclasses.field(
        default_factory=list
    )
    partial: int = 0
    refused: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    refusal_waits: list[float] = dataclasses.field(default_factory=list)
    accepted: int = 0
    firsts: int = 0
    extras: int = 0

    def latencies(
        self,
        start: float = 0.0,
        end: float = math.inf,
        priority: Priority | None = None,
    ) -> list[float]:
        """Return the latencies of answers that ended in an interval."""
        return [
            latency_s
            for at, rank, latency_s in self.answers
            if start <= at < end and priority in (None, rank)
        ]


class Entry:
    """Fan queries out by this project's decisions."""

    def __init__(
        self,
        events: Events,
        servers: dict[TargetId, Server],
        replicas: list[list[TargetId]],
        result: Result,
        rng: random.Random,
        cfg: LimitSettings | None = None,
    ):
        self._events = events
        self._servers = servers
        self._replicas = replicas
        self.result = result
        self.alive = True
        self._queries: dict[RequestId, Query] = {}
        self._chooser = ReplicaChooser(ZONE, rng)
        for server in servers.values():
            self._chooser.declare(
                declared.Target(
                    id=server.id,
                    host='127.0.0.1',
                    port=1,
                    zone=ZONE,
                    shards=(ShardId('s0'),),
                    slots=server.slots,
                )
            )
        self._tracker = LatencyTracker()
        self._hedging = HedgePolicy(self._tracker, 0.05)
        self._budget = BudgetBook(0.05)
        self.admission = Admission(cfg, rng) if cfg else None
        if cfg:
            events.at(TICK_S, self._tick)

    def arrive(self, query: Query) -> None:
        """Take one query of a caller."""
        now = self._events.now
        self._queries[query.name] = query
        query.arrived_at = now
        if self.admission is None:
            self._dispatch(query)
            return
        self._act(
            self.admission.arrive(
                query.name, query.priority, query.deadline_at, 1.0, now
            )
        )

    def die(self) -> None:
        """Stop without a word; callers go elsewhere."""
        self.alive = False
        for query in list(self._queries.values()):
            self._expire(query)

    def ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Take one sub-request's end."""
        if attempt.settled:
            return
        self._settle(attempt, outcome)
        query = attempt.query
        if query.ended:
            return
        if outcome is Outcome.OK:
            self._answered(query, attempt.shard)
            return
        attempts = query.open[attempt.shard]
        attempts.remove(attempt)
        if not attempts and not self._extra(query, attempt.shard, attempt):
            del query.open[attempt.shard]
            query.missing += 1
            self._check(query)

    def _dispatch(self, query: Query) -> None:
        now = self._events.now
        query.started_at = now
        self.result.accepted += 1
        for shard in query.shards:
            one = self._choose(shard, ())
            self._count_first(one)
            self._send(query, shard, one, False)
        self._plan_hedges(query)
        if query.deadline_at < math.inf:
            self._events.at(query.deadline_at, self._expire, query)

    def _choose(self, shard, avoid):
        return self._chooser.choose(
            self._replicas[shard], self._events.now, avoid
        )

    def _count_first(self, one: TargetId) -> None:
        self.result.firsts += 1
        self._budget.deposit(SERVICE, one)
        self._hedging.sent(SERVICE, hedge=False)

    def _send(self, query, shard, one, extra) -> None:
        now = self._events.now
        server = self._servers[one]
        attempt = Attempt(self, query, shard, server, now, extra)
        query.open.setdefault(shard, []).append(attempt)
        self._chooser.started(one, now)
        server.submit(attempt)

    def _plan_hedges(self, query: Query) -> None:
        delay_s = self._hedging.delay_s(
            SERVICE, self._events.now, query.hedges, query.priority
        )
        if delay_s is not None:
            self._events.at(self._events.now + delay_s, self._hedge, query)

    def _hedge(self, query: Query) -> None:
        if query.ended:
            return
        for shard, attempts in list(query.open.items()):
            now = self._events.now
            for one in attempts:
                self._chooser.late(one.server.id, now - one.sent_at, now)
            if self._extra(query, shard):
                self._hedging.sent(SERVICE, hedge=True)
        query.hedges += 1
        self._plan_hedges(query)

    def _extra(self, query, shard, failed=None) -> bool:
        tried = [one.server.id for one in query.open[shard]]
        if failed:
            tried.append(failed.server.id)
        one = self._affordable(shard, tried)
        if one is None and (failed or query.hedges >= 2):
            # All replicas were asked; a slow request need not repeat.
            one = self._affordable(shard, ())
        if one is None:
            return False
        self.result.extras += 1
        self._send(query, shard, one, True)
        return True

    def _affordable(self, shard, tried) -> TargetId | None:
        avoid = list(tried)
        while one := self._choose(shard, avoid):
            if self._budget.withdraw(SERVICE, one):
                return one
            avoid.append(one)
        return None

    def _settle(self, attempt: Attempt, outcome: Outcome) -> None:
        attempt.settled = True
        now = self._events.now
        latency_s = now - attempt.sent_at
        one = attempt.server.id
        if outcome is Outcome.OK:
            self._chooser.reported(one, attempt.server.report(), now)
        self._chooser.finished(one, outcome, latency_s, now)
        if not attempt.extra and outcome is not Outcome.SHED:
            self._tracker.observe(SERVICE, latency_s, now)

    def _answered(self, query: Query, shard: int) -> None:
        for other in query.open.pop(shard):
            self._cancel(other)
        self._check(query)

    def _cancel(self, attempt: Attempt) -> None:
        if not attempt.settled:
            attempt.server.cancel(attempt)
            self._settle(attempt, Outcome.CANCELLED)

    def _check(self, query: Query) -> None:
        if not query.open:
            self._end(query)

    def _expire(self, query: Query) -> None:
        if query.ended or not query.open:
            return
        query.missing += len(query.open)
        for attempts in list(query.open.values()):
            for attempt in attempts:
                self._cancel(attempt)
        self._end(query)

    def _end(self, query: Query) -> None:
        query.ended = True
        now = self._events.now
        del self._queries[query.name]
        if query.missing:
            self.result.partial += 1
        else:
            self.result.answers.append(
                (now, query.priority, now - query.arrived_at)
            )
        if self.admission:
            latency_s = now - query.started_at
            complete = not query.missing
            self._act(
                self.admission.finished(query.name, latency_s, now, complete)
            )

    def _tick(self) -> None:
        now = self._events.now
        self._act(self.admission.tick(now))
        if self.alive or self._queries:
            self._events.at(now + TICK_S, self._tick)

    def _act(self, actions) -> None:
        for action in actions:
            match action:
                case Admit(name):
                    self._dispatch(self._queries[name])
                case Refuse(name, kind, retry_after_s):
                    query = self._queries.pop(name)
                    self._refuse(query, kind.value, retry_after_s)

    def _refuse(self, query, kind, retry_after_s) -> None:
        now = self._events.now
        self.result.refused[f'{query.priority.value} {kind}'] += 1
        self.result.refusal_waits.append(now - query.arrived_at)
        self._resend(query, retry_after_s)

    def _resend(self, query, retry_after_s) -> None:
        if query.resends >= RESENDS or not self.alive:
            return
        again = Query(
            RequestId(f'{query.name}+'),
            query.priority,
            0.0,
            0.0,
            query.shards,
            resends=query.resends + 1,
        )
        pause_s = RESEND_S if retry_after_s is None else retry_after_s
        self._events.at(
            self._events.now + pause_s,
            self._resent,
            again,
            query.deadline_at - query.arrived_at,
        )

    def _resent(self, query: Query, deadline_s: float) -> None:
        query.deadline_at = self._events.now + deadline_s
        self.arrive(query)


class BaselineEntry(Entry):
    """Fan out to random replicas with no hedge and unlimited retries."""

    def __init__(self, events, servers, replicas, result, rng, cfg=None):
        super().__init__(events, servers, replicas, result, rng)
        self._rng = rng
        self._cfg = cfg
        self._running = 0
        self._fifo: collections.deque[Query] = collections.deque()

    def arrive(self, query: Query) -> None:
        """Take one query of a caller."""
        query.arrived_at = self._events.now
        self._queries[query.name] = query
        if self._cfg is None or self._running < self._cfg.max_in_flight:
            self._running += 1
            self._dispatch(query)
        elif len(self._fifo) < self._cfg.max_queue:
            self._fifo.append(query)
        else:
            del self._queries[query.name]
            self._refuse(query, 'full', None)

    def _choose(self, shard, avoid):
        return self._rng.choice(self._replicas[shard])

    def _count_first(self, one) -> None:
        self.result.firsts += 1

    def _plan_hedges(self, query) -> None:
        pass

    def _settle(self, attempt, outcome) -> None:
        attempt.settled = True

    def _cancel(self, attempt) -> None:
        # The baseline sends no cancellation.
        attempt.settled = True

    def _extra(self, query, shard, failed=None) -> bool:
        self.result.extras += 1
        one = self._choose(shard, ())
        query.open.setdefault(shard, [])
        self._events.at(
            self._events.now + RETRY_S, self._retry, query, shard, one
        )
        return True

    def _retry(self, query, shard, one) -> None:
        if not query.ended:
            self._send(query, shard, one, True)

    def _end(self, query) -> None:
        super()._end(query)
        if query.missing:
            self._resend(query, None)
        self._running -= 1
        if self._fifo:
            self._running += 1
            self._dispatch(self._fifo.popleft())
