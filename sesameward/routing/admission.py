"""Admit, queue or refuse requests by priority and deadline."""

from __future__ import annotations

import collections
import dataclasses
import math
import random

from ..settings import LimitSettings
from ..types import Priority
from ..types import RefusalKind
from ..types import RequestId
from .concurrency import ConcurrencyLimit
from .latency import LatencyWindow

FIRST_LATENCY_S = 0.02
SERVICE_FRACTION = 0.9
SERVICE_WINDOW_S = 10.0
WAIT_SHARE = 0.5
RESERVE = 0.05
OVERDRAFT = 0.2
SAFETY = 0.9
PROBE_SHARE = 0.1
RATE_WINDOW_S = 0.5
MEAN_WEIGHT = 0.02
MIN_RETRY_S = 0.1
MAX_RETRY_S = 2.0
JITTER = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Run the request now."""

    request_id: RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Keep the request waiting; a later action settles it."""

    request_id: RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request, which was not run."""

    request_id: RequestId
    kind: RefusalKind
    retry_after_s: float | None


Action = Admit | Queue | Refuse


@dataclasses.dataclass(slots=True)
class _Waiting:
    priority: Priority
    deadline_at: float
    cost: float


class _Rate:
    """Measure cost a second with an exponentially fading memory."""

    __slots__ = ('_amount', '_at')

    def __init__(self):
        self._amount = 0.0
        self._at = 0.0

    def add(self, cost: float, now: float) -> None:
        self._amount = self.per_s(now) * RATE_WINDOW_S + cost
        self._at = now

    def per_s(self, now: float) -> float:
        age_s = max(now - self._at, 0.0)
        return self._amount * math.exp(-age_s / RATE_WINDOW_S) / RATE_WINDOW_S


class Admission:
    """Decide which requests run, wait or are refused at once."""

    def __init__(self, cfg: LimitSettings, rng: random.Random):
        self._rng = rng
        self._max_queue = cfg.max_queue
        self._ceiling = float(cfg.max_in_flight)
        self._limit = ConcurrencyLimit(
            cfg.max_in_flight, cfg.latency_tolerance
        )
        self._service = LatencyWindow(SERVICE_WINDOW_S, 0.0)
        self._mean_s = FIRST_LATENCY_S
        self._running: dict[RequestId, float] = {}
        self._in_flight = 0.0
        self._queues: tuple[
            collections.OrderedDict[RequestId, _Waiting], ...
        ] = tuple(collections.OrderedDict() for _ in Priority)
        self._queued_cost = [0.0 for _ in Priority]
        self._rates = tuple(_Rate() for _ in Priority)

    @property
    def limit(self) -> float:
        """Return how much cost may be in flight at the moment."""
        return self._limit.value

    @property
    def in_flight(self) -> float:
        """Return the cost of all running requests."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self._queues)

    def arrive(
        self,
        request_id: RequestId,
        priority: Priority,
        deadline_at: float,
        cost: float,
        now: float,
    ) -> list[Action]:
        """Settle a new request; the last action is the request's own."""
        rank = priority.rank
        self._rates[rank].add(cost, now)
        actions = self._purge(now)
        actions += self._drain(now)
        slack_s = deadline_at - now - self._service_s(now)
        if deadline_at <= now or (slack_s <= 0.0 and not self._probing()):
            actions.append(self._late(request_id))
            return actions
        if self._fits(rank, cost) and not self._ahead(rank):
            actions.append(self._admit(request_id, cost))
            return actions
        if self._wait_s(rank, cost, now) > slack_s * WAIT_SHARE:
            actions.append(self._overloaded(request_id, rank, now))
            return actions
        if self.queued >= self._max_queue:
            displaced = self._displace(rank, now)
            if displaced is None:
                actions.append(self._overloaded(request_id, rank, now))
                return actions
            actions.append(displaced)
        self._queues[rank][request_id] = _Waiting(priority, deadline_at, cost)
        self._queued_cost[rank] += cost
        actions.append(Queue(request_id))
        return actions

    def finished(
        self,
        request_id: RequestId,
        latency_s: float,
        now: float,
        complete: bool = True,
    ) -> list[Action]:
        """Take in the end of a request that ran."""
        cost = self._running.pop(request_id, None)
        if cost is None:
            return []
        # A failure that comes fast says nothing of the unloaded latency.
        if complete or latency_s > self._mean_s:
            self._learn(latency_s, now)
        self._release(cost)
        return self.tick(now)

    def gone(self, request_id: RequestId, now: float) -> list[Action]:
        """Drop a request whose caller hung up."""
        cost = self._running.pop(request_id, None)
        if cost is not None:
            self._release(cost)
            return self.tick(now)
        for rank, queue in enumerate(self._queues):
            if request_id in queue:
                self._take(rank, request_id)
        return []

    def tick(self, now: float) -> list[Action]:
        """Refuse what can no longer be met and admit what fits."""
        return self._purge(now) + self._drain(now)

    def _learn(self, latency_s: float, now: float) -> None:
        self._limit.finished(latency_s, self._in_flight, now)
        self._service.observe(latency_s, now)
        self._mean_s += MEAN_WEIGHT * (latency_s - self._mean_s)

    def _purge(self, now: float) -> list[Action]:
        actions: list[Action] = []
        earliest = now + self._service_s(now)
        for rank, queue in enumerate(self._queues):
            late = [
                request_id
                for request_id, waiting in queue.items()
                if waiting.deadline_at <= earliest
            ]
            for request_id in late:
                self._take(rank, request_id)
                actions.append(self._late(request_id))
        return actions

    def _drain(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for rank, queue in enumerate(self._queues):
            while queue:
                request_id, waiting = next(iter(queue.items()))
                if not self._fits(rank, waiting.cost):
                    return actions
                self._take(rank, request_id)
                actions.append(self._admit(request_id, waiting.cost))
        return actions

    def _displace(self, rank: int, now: float) -> Refuse | None:
        for lower in range(len(self._queues) - 1, rank, -1):
            if self._queues[lower]:
                request_id = next(reversed(self._queues[lower]))
                self._take(lower, request_id)
                return self._overloaded(request_id, lower, now)
        return None

    def _admit(self, request_id: RequestId, cost: float) -> Admit:
        self._running[request_id] = cost
        self._in_flight += cost
        return Admit(request_id)

    def _release(self, cost: float) -> None:
        self._in_flight -= cost
        if not self._running:
            self._in_flight = 0.0

    def _take(self, rank: int, request_id: RequestId) -> None:
        waiting = self._queues[rank].pop(request_id)
        self._queued_cost[rank] -= waiting.cost
        if not self._queues[rank]:
            self._queued_cost[rank] = 0.0

    def _fits(self, rank: int, cost: float) -> bool:
        if not self._running:
            return True
        if rank == 0:
            # The most urgent exceed the limit a little and don't wait.
            bound = self.limit + max(self.limit * OVERDRAFT, 1.0)
        else:
            bound = self.limit * (1.0 - RESERVE * rank)
        return self._in_flight + cost <= min(max(bound, 1.0), self._ceiling)

    def _ahead(self, rank: int) -> bool:
        return any(self._queues[urgent] for urgent in range(rank + 1))

    def _probing(self) -> bool:
        # Some requests run even when the estimate says that they can't
        # end in time; else a wrong estimate would never be corrected.
        return self._in_flight < max(self.limit * PROBE_SHARE, 1.0)

    def _service_s(self, now: float) -> float:
        service_s = self._service.quantile(SERVICE_FRACTION, now)
        return 0.0 if service_s is None else service_s

    def _drain_per_s(self, rank: int, now: float) -> float:
        total = self.limit / self._mean_s * SAFETY
        urgent = sum(self._rates[other].per_s(now) for other in range(rank))
        return total - urgent

    def _wait_s(self, rank: int, cost: float, now: float) -> float:
        per_s = self._drain_per_s(rank, now)
        if per_s <= 0.0:
            return math.inf
        return (sum(self._queued_cost[: rank + 1]) + cost) / per_s

    def _late(self, request_id: RequestId) -> Refuse:
        return Refuse(request_id, RefusalKind.DEADLINE_UNREACHABLE, None)

    def _overloaded(
        self, request_id: RequestId, rank: int, now: float
    ) -> Refuse:
        wait_s = self._wait_s(rank, self._in_flight, now)
        base_s = min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
        retry_after_s = base_s * (1.0 + self._rng.random() * JITTER)
        return Refuse(request_id, RefusalKind.OVERLOADED, retry_after_s)
