"""Simulate entries and servers in virtual time with the real routing."""

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
from sesameward.routing.budget import RetryBudgets
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
ADMISSION_TICK_S = 0.005
CALLER_RESEND_S = 0.05
BASELINE_RETRY_S = 0.05
MAX_RESENDS = 3


class EventQueue:
    """Run callbacks in the order of their virtual times."""

    def __init__(self):
        self.now = 0.0
        self._heap: list[tuple] = []
        self._count = 0

    def schedule(
        self, time_s: float, callback: collections.abc.Callable, *args
    ):
        """Run a callback at a virtual time, in seconds."""
        self._count += 1
        heapq.heappush(self._heap, (time_s, self._count, callback, args))

    def run(self, until: float = math.inf):
        """Run all callbacks up to a virtual time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self._heap)
            callback(*args)


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """Track a sub-request at a server; hedges and retries are extra."""

    entry: Entry
    query: Query
    shard: int
    server: Server
    sent_at: float
    is_extra: bool
    settled: bool = False
    running: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Query:
    """Track a caller's query and its open attempts by shard."""

    name: RequestId
    priority: Priority
    arrived_at: float
    deadline_at: float
    shards: collections.abc.Sequence[int]
    started_at: float = 0.0
    open_attempts: dict[int, list[Attempt]] = dataclasses.field(
        default_factory=dict
    )
    missing_shards: int = 0
    hedges: int = 0
    resends: int = 0
    ended: bool = False


class Server:
    """Serve sub-requests in parallel slots behind a bounded queue."""

    def __init__(
        self,
        events: EventQueue,
        name: str,
        service_s: collections.abc.Callable[[float], float],
        slots: int = 2,
        max_queue: float = math.inf,
        misreports_load: bool = False,
    ):
        self.id = TargetId(name)
        self.slots = slots
        self.max_queue = max_queue
        self.misreports_load = misreports_load
        self.service_s = service_s
        self._events = events
        self._busy = 0
        self._queue: collections.deque[Attempt] = collections.deque()

    def submit(self, attempt: Attempt) -> None:
        """Run or queue a sub-request; shed it if the queue is full."""
        if self._busy < self.slots:
            self._start(attempt)
        elif len(self._queue) >= self.max_queue:
            now = self._events.now
            self._events.schedule(
                now, attempt.entry.on_attempt_end, attempt, Outcome.SHED
            )
        else:
            self._queue.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Stop a running or queued sub-request."""
        if attempt.running:
            self._free(attempt)
            return
        self._queue.remove(attempt)

    def report(self) -> LoadReport:
        """Return the load; a misreporting server always reports none."""
        if self.misreports_load:
            return LoadReport()
        return LoadReport(in_flight=self._busy, queued=len(self._queue))

    def _start(self, attempt: Attempt) -> None:
        self._busy += 1
        attempt.running = True
        now = self._events.now
        self._events.schedule(now + self.service_s(now), self._finish, attempt)

    def _finish(self, attempt: Attempt) -> None:
        if not attempt.running:
            return
        self._free(attempt)
        attempt.entry.on_attempt_end(attempt, Outcome.OK)

    def _free(self, attempt: Attempt) -> None:
        attempt.running = False
        self._busy -= 1
        if self._queue:
            self._start(self._queue.popleft())


@dataclasses.dataclass
class Result:
    """Collect answers, refusals and counts of sub-requests."""

    answers: list[tuple[float, Priority, float]] = dataclasses.field(
        default_factory=list
    )
    partial: int = 0
    refused: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    refusal_waits_s: list[float] = dataclasses.field(default_factory=list)
    accepted: int = 0
    first_sub_requests: int = 0
    extra_sub_requests: int = 0

    def latencies(
        self,
        start: float = 0.0,
        end: float = math.inf,
        priority: Priority | None = None,
    ) -> list[float]:
        """Return the latencies of complete answers that ended in a span."""
        return [
            latency_s
            for ended_at_s, answer_priority, latency_s in self.answers
            if start <= ended_at_s < end
            and priority in (None, answer_priority)
        ]


class Entry:
    """Fan queries out with the routing classes of sesameward."""

    def __init__(
        self,
        events: EventQueue,
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
        self._budgets = RetryBudgets(0.05)
        self.admission = Admission(cfg, rng) if cfg else None
        if cfg:
            events.schedule(ADMISSION_TICK_S, self._tick)

    def arrive(self, query: Query) -> None:
        """Admit, queue or refuse a query that a caller sent."""
        now = self._events.now
        self._queries[query.name] = query
        query.arrived_at = now
        if self.admission is None:
            self._dispatch(query)
            return
        self._apply(
            self.admission.arrive(
                query.name, query.priority, query.deadline_at, 1.0, now
            )
        )

    def stop_abruptly(self) -> None:
        """Stop this entry at once; its open queries end with shards missing.

        Callers then send queries to other entries.
        """
        self.alive = False
        for query in list(self._queries.values()):
            self._end_incomplete(query)

    def on_attempt_end(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record the end of a sub-request; retry its shard if it failed."""
        if attempt.settled:
            return
        self._record_end(attempt, outcome)
        query = attempt.query
        if query.ended:
            return
        if outcome is Outcome.OK:
            self._on_shard_answer(query, attempt.shard)
            return
        attempts = query.open_attempts[attempt.shard]
        attempts.remove(attempt)
        if not attempts and not self._send_extra(
            query, attempt.shard, attempt
        ):
            del query.open_attempts[attempt.shard]
            query.missing_shards += 1
            self._end_if_done(query)

    def _dispatch(self, query: Query) -> None:
        now = self._events.now
        query.started_at = now
        self.result.accepted += 1
        for shard in query.shards:
            target_id = self._choose(shard, ())
            self._count_first(target_id)
            self._send(query, shard, target_id, False)
        self._schedule_hedges(query)
        if query.deadline_at < math.inf:
            self._events.schedule(
                query.deadline_at, self._end_incomplete, query
            )

    def _choose(self, shard, avoid):
        return self._chooser.choose(
            self._replicas[shard], self._events.now, avoid
        )

    def _count_first(self, target_id: TargetId) -> None:
        self.result.first_sub_requests += 1
        self._budgets.deposit(SERVICE, target_id)
        self._hedging.sent(SERVICE, hedge=False)

    def _send(self, query, shard, target_id, is_extra) -> None:
        now = self._events.now
        server = self._servers[target_id]
        attempt = Attempt(self, query, shard, server, now, is_extra)
        query.open_attempts.setdefault(shard, []).append(attempt)
        self._chooser.started(target_id, now)
        server.submit(attempt)

    def _schedule_hedges(self, query: Query) -> None:
        delay_s = self._hedging.delay_s(
            SERVICE, self._events.now, query.hedges, query.priority
        )
        if delay_s is not None:
            self._events.schedule(
                self._events.now + delay_s, self._hedge, query
            )

    def _hedge(self, query: Query) -> None:
        if query.ended:
            return
        for shard, attempts in list(query.open_attempts.items()):
            now = self._events.now
            for attempt in attempts:
                self._chooser.record_wait(
                    attempt.server.id, now - attempt.sent_at, now
                )
            if self._send_extra(query, shard):
                self._hedging.sent(SERVICE, hedge=True)
        query.hedges += 1
        self._schedule_hedges(query)

    def _send_extra(self, query, shard, failed=None) -> bool:
        tried = [attempt.server.id for attempt in query.open_attempts[shard]]
        if failed:
            tried.append(failed.server.id)
        target_id = self._choose_within_budget(shard, tried)
        if target_id is None and (failed or query.hedges >= 2):
            # All replicas were tried. Trying one again helps, because an
            # attempt that failed or was slow once need not be so again.
            target_id = self._choose_within_budget(shard, ())
        if target_id is None:
            return False
        self.result.extra_sub_requests += 1
        self._send(query, shard, target_id, True)
        return True

    def _choose_within_budget(self, shard, tried) -> TargetId | None:
        avoid = list(tried)
        while target_id := self._choose(shard, avoid):
            if self._budgets.withdraw(SERVICE, target_id):
                return target_id
            avoid.append(target_id)
        return None

    def _record_end(self, attempt: Attempt, outcome: Outcome) -> None:
        attempt.settled = True
        now = self._events.now
        latency_s = now - attempt.sent_at
        target_id = attempt.server.id
        if outcome is Outcome.OK:
            self._chooser.reported(target_id, attempt.server.report(), now)
        self._chooser.finished(target_id, outcome, latency_s, now)
        if not attempt.is_extra and outcome is not Outcome.SHED:
            self._tracker.observe(SERVICE, latency_s, now)

    def _on_shard_answer(self, query: Query, shard: int) -> None:
        for other in query.open_attempts.pop(shard):
            self._cancel(other)
        self._end_if_done(query)

    def _cancel(self, attempt: Attempt) -> None:
        if not attempt.settled:
            attempt.server.cancel(attempt)
            self._record_end(attempt, Outcome.CANCELLED)

    def _end_if_done(self, query: Query) -> None:
        if not query.open_attempts:
            self._end(query)

    def _end_incomplete(self, query: Query) -> None:
        if query.ended or not query.open_attempts:
            return
        query.missing_shards += len(query.open_attempts)
        for attempts in list(query.open_attempts.values()):
            for attempt in attempts:
                self._cancel(attempt)
        self._end(query)

    def _end(self, query: Query) -> None:
        query.ended = True
        now = self._events.now
        del self._queries[query.name]
        if query.missing_shards:
            self.result.partial += 1
        else:
            self.result.answers.append(
                (now, query.priority, now - query.arrived_at)
            )
        if self.admission:
            latency_s = now - query.started_at
            complete = not query.missing_shards
            self._apply(
                self.admission.finished(query.name, latency_s, now, complete)
            )

    def _tick(self) -> None:
        now = self._events.now
        self._apply(self.admission.update_queues(now))
        if self.alive or self._queries:
            self._events.schedule(now + ADMISSION_TICK_S, self._tick)

    def _apply(self, actions) -> None:
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
        self.result.refusal_waits_s.append(now - query.arrived_at)
        self._resend(query, retry_after_s)

    def _resend(self, query, retry_after_s) -> None:
        if query.resends >= MAX_RESENDS or not self.alive:
            return
        resent = Query(
            RequestId(f'{query.name}+'),
            query.priority,
            0.0,
            0.0,
            query.shards,
            resends=query.resends + 1,
        )
        pause_s = CALLER_RESEND_S if retry_after_s is None else retry_after_s
        self._events.schedule(
            self._events.now + pause_s,
            self._arrive_again,
            resent,
            query.deadline_at - query.arrived_at,
        )

    def _arrive_again(self, query: Query, deadline_s: float) -> None:
        query.deadline_at = self._events.now + deadline_s
        self.arrive(query)


class BaselineEntry(Entry):
    """Fan out to random replicas without hedges and with unlimited retries."""

    def __init__(self, events, servers, replicas, result, rng, cfg=None):
        super().__init__(events, servers, replicas, result, rng)
        self._rng = rng
        self._cfg = cfg
        self._running = 0
        self._waiting: collections.deque[Query] = collections.deque()

    def arrive(self, query: Query) -> None:
        """Admit, queue or refuse a query that a caller sent."""
        query.arrived_at = self._events.now
        self._queries[query.name] = query
        if self._cfg is None or self._running < self._cfg.max_in_flight:
            self._running += 1
            self._dispatch(query)
        elif len(self._waiting) < self._cfg.max_queue:
            self._waiting.append(query)
        else:
            del self._queries[query.name]
            self._refuse(query, 'full', None)

    def _choose(self, shard, avoid):
        return self._rng.choice(self._replicas[shard])

    def _count_first(self, target_id) -> None:
        self.result.first_sub_requests += 1

    def _schedule_hedges(self, query) -> None:
        pass

    def _record_end(self, attempt, outcome) -> None:
        attempt.settled = True

    def _cancel(self, attempt) -> None:
        # The baseline sends no cancellation, so the server goes on.
        attempt.settled = True

    def _send_extra(self, query, shard, failed=None) -> bool:
        self.result.extra_sub_requests += 1
        target_id = self._choose(shard, ())
        query.open_attempts.setdefault(shard, [])
        self._events.schedule(
            self._events.now + BASELINE_RETRY_S,
            self._retry,
            query,
            shard,
            target_id,
        )
        return True

    def _retry(self, query, shard, target_id) -> None:
        if not query.ended:
            self._send(query, shard, target_id, True)

    def _end(self, query) -> None:
        super()._end(query)
        if query.missing_shards:
            self._resend(query, None)
        self._running -= 1
        if self._waiting:
            self._running += 1
            self._dispatch(self._waiting.popleft())
