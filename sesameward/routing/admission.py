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

# Initial value of the mean latency, used until requests have ended.
INITIAL_LATENCY_S = 0.02
# The time that a request needs once it runs is estimated as this quantile of
# the latencies within the window.
SERVICE_TIME_QUANTILE = 0.9
SERVICE_TIME_WINDOW_S = 10.0
# The slack of a request is the time to its deadline minus the estimated
# service time. A request is refused if its expected wait in the queue exceeds
# this fraction of its slack.
MAX_WAIT_FRACTION = 0.5
# The part of the limit that a priority may use shrinks by this fraction of the
# limit with each step to a lower priority, which keeps room for urgent
# requests.
RESERVED_FRACTION_PER_RANK = 0.05
# The most urgent requests may exceed the limit by this fraction of it.
URGENT_EXCESS_FRACTION = 0.2
# The estimated rate at which running requests end is multiplied by this safety
# factor, so that waits are overestimated rather than underestimated.
DRAIN_RATE_FACTOR = 0.9
# While less than this fraction of the limit is in use, requests run even if
# they are estimated to miss their deadline. Their latencies correct an
# estimate that is too high.
PROBE_FRACTION = 0.1
# Time constant with which the measured arrival rates decay.
RATE_DECAY_S = 0.5
# Weight of a new latency in the moving average of latencies.
MEAN_LATENCY_WEIGHT = 0.02
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0
# A random part, up to this fraction, is added to the retry delay, so that
# callers do not retry all at once.
RETRY_JITTER_FRACTION = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Instruct the caller to run the request now."""

    request_id: RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Instruct the caller to keep the request in a queue.

    An Admit or Refuse for this request follows, unless its client disconnects.
    """

    request_id: RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Instruct the caller to refuse the request without running it."""

    request_id: RequestId
    kind: RefusalKind
    retry_after_s: float | None


Action = Admit | Queue | Refuse


@dataclasses.dataclass(slots=True)
class _QueuedRequest:
    priority: Priority
    deadline_at: float
    cost: float


class _CostRate:
    """Measure the cost of arriving requests per second, averaged over time."""

    __slots__ = ('_decayed_cost', '_updated_at')

    def __init__(self):
        self._decayed_cost = 0.0
        self._updated_at = 0.0

    def add(self, cost: float, now: float) -> None:
        self._decayed_cost = self.per_s(now) * RATE_DECAY_S + cost
        self._updated_at = now

    def per_s(self, now: float) -> float:
        age_s = max(now - self._updated_at, 0.0)
        return (
            self._decayed_cost * math.exp(-age_s / RATE_DECAY_S) / RATE_DECAY_S
        )


class Admission:
    """Decide which requests run, wait in a queue or are refused.

    There is one queue for each priority. Each request has a cost, and the
    total cost of running requests is kept within a limit that depends on
    their latency. Methods return actions, which the caller carries out in
    order.
    """

    def __init__(self, cfg: LimitSettings, rng: random.Random):
        self._rng = rng
        self._max_queue = cfg.max_queue
        self._max_in_flight = float(cfg.max_in_flight)
        self._limit = ConcurrencyLimit(
            cfg.max_in_flight, cfg.latency_tolerance
        )
        self._service_times = LatencyWindow(SERVICE_TIME_WINDOW_S, 0.0)
        self._mean_latency_s = INITIAL_LATENCY_S
        self._running: dict[RequestId, float] = {}
        self._in_flight = 0.0
        self._queues: tuple[
            collections.OrderedDict[RequestId, _QueuedRequest], ...
        ] = tuple(collections.OrderedDict() for _ in Priority)
        self._queued_cost = [0.0 for _ in Priority]
        self._arrival_rates = tuple(_CostRate() for _ in Priority)

    @property
    def limit(self) -> float:
        """Return the current limit on the total cost of running requests."""
        return self._limit.limit

    @property
    def in_flight(self) -> float:
        """Return the total cost of the running requests."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Return the number of queued requests of all priorities."""
        return sum(len(queue) for queue in self._queues)

    def arrive(
        self,
        request_id: RequestId,
        priority: Priority,
        deadline_at: float,
        cost: float,
        now: float,
    ) -> list[Action]:
        """Admit, queue or refuse a new request.

        The last returned action concerns this request, those before it concern
        requests that were queued earlier.
        """
        rank = priority.rank
        self._arrival_rates[rank].add(cost, now)
        actions = self._refuse_late(now)
        actions += self._admit_queued(now)
        slack_s = deadline_at - now - self._service_time_s(now)
        if deadline_at <= now or (slack_s <= 0.0 and not self._may_probe()):
            actions.append(self._deadline_refusal(request_id))
            return actions
        if self._fits(rank, cost) and not self._has_queued_ahead(rank):
            actions.append(self._admit(request_id, cost))
            return actions
        if (
            self._expected_wait_s(rank, cost, now)
            > slack_s * MAX_WAIT_FRACTION
        ):
            actions.append(self._overload_refusal(request_id, rank, now))
            return actions
        if self.queued >= self._max_queue:
            refusal = self._refuse_lower_priority(rank, now)
            if refusal is None:
                actions.append(self._overload_refusal(request_id, rank, now))
                return actions
            actions.append(refusal)
        self._queues[rank][request_id] = _QueuedRequest(
            priority, deadline_at, cost
        )
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
        """Release the cost of a request that ended, and admit queued ones.

        complete is whether the whole request succeeded.
        """
        cost = self._running.pop(request_id, None)
        if cost is None:
            return []
        # A fast failure would lower the estimate of the unloaded latency. The
        # latency of other requests would then seem high, which would lower the
        # limit.
        if complete or latency_s > self._mean_latency_s:
            self._record_latency(latency_s, now)
        self._release(cost)
        return self.update_queues(now)

    def remove_disconnected(
        self, request_id: RequestId, now: float
    ) -> list[Action]:
        """Remove a running or queued request whose client disconnected."""
        cost = self._running.pop(request_id, None)
        if cost is not None:
            self._release(cost)
            return self.update_queues(now)
        for rank, queue in enumerate(self._queues):
            if request_id in queue:
                self._remove_queued(rank, request_id)
        return []

    def update_queues(self, now: float) -> list[Action]:
        """Refuse or admit queued requests according to the current time.

        Requests that can no longer end before their deadline are refused, and
        those that fit within the limit are admitted.
        """
        return self._refuse_late(now) + self._admit_queued(now)

    def _record_latency(self, latency_s: float, now: float) -> None:
        self._limit.finished(latency_s, self._in_flight, now)
        self._service_times.observe(latency_s, now)
        self._mean_latency_s += MEAN_LATENCY_WEIGHT * (
            latency_s - self._mean_latency_s
        )

    def _refuse_late(self, now: float) -> list[Action]:
        actions: list[Action] = []
        earliest_end = now + self._service_time_s(now)
        for rank, queue in enumerate(self._queues):
            late = [
                request_id
                for request_id, queued_request in queue.items()
                if queued_request.deadline_at <= earliest_end
            ]
            for request_id in late:
                self._remove_queued(rank, request_id)
                actions.append(self._deadline_refusal(request_id))
        return actions

    def _admit_queued(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for rank, queue in enumerate(self._queues):
            while queue:
                request_id, queued_request = next(iter(queue.items()))
                if not self._fits(rank, queued_request.cost):
                    return actions
                self._remove_queued(rank, request_id)
                actions.append(self._admit(request_id, queued_request.cost))
        return actions

    def _refuse_lower_priority(self, rank: int, now: float) -> Refuse | None:
        for lower_rank in range(len(self._queues) - 1, rank, -1):
            if self._queues[lower_rank]:
                request_id = next(reversed(self._queues[lower_rank]))
                self._remove_queued(lower_rank, request_id)
                return self._overload_refusal(request_id, lower_rank, now)
        return None

    def _admit(self, request_id: RequestId, cost: float) -> Admit:
        self._running[request_id] = cost
        self._in_flight += cost
        return Admit(request_id)

    def _release(self, cost: float) -> None:
        self._in_flight -= cost
        if not self._running:
            self._in_flight = 0.0

    def _remove_queued(self, rank: int, request_id: RequestId) -> None:
        queued_request = self._queues[rank].pop(request_id)
        self._queued_cost[rank] -= queued_request.cost
        if not self._queues[rank]:
            self._queued_cost[rank] = 0.0

    def _fits(self, rank: int, cost: float) -> bool:
        if not self._running:
            return True
        if rank == 0:
            # The most urgent requests may exceed the limit a little, so that
            # they don't wait for less urgent ones to end.
            bound = self.limit + max(self.limit * URGENT_EXCESS_FRACTION, 1.0)
        else:
            bound = self.limit * (1.0 - RESERVED_FRACTION_PER_RANK * rank)
        return self._in_flight + cost <= min(
            max(bound, 1.0), self._max_in_flight
        )

    def _has_queued_ahead(self, rank: int) -> bool:
        return any(self._queues[queue_rank] for queue_rank in range(rank + 1))

    def _may_probe(self) -> bool:
        # If all requests that are estimated to miss their deadlines were
        # refused, a service time that is estimated too high would never be
        # corrected, because only running requests are measured.
        return self._in_flight < max(self.limit * PROBE_FRACTION, 1.0)

    def _service_time_s(self, now: float) -> float:
        service_time_s = self._service_times.quantile(
            SERVICE_TIME_QUANTILE, now
        )
        return 0.0 if service_time_s is None else service_time_s

    def _drain_cost_per_s(self, rank: int, now: float) -> float:
        total_per_s = self.limit / self._mean_latency_s * DRAIN_RATE_FACTOR
        urgent_per_s = sum(
            self._arrival_rates[higher_rank].per_s(now)
            for higher_rank in range(rank)
        )
        return total_per_s - urgent_per_s

    def _expected_wait_s(self, rank: int, cost: float, now: float) -> float:
        per_s = self._drain_cost_per_s(rank, now)
        if per_s <= 0.0:
            return math.inf
        return (sum(self._queued_cost[: rank + 1]) + cost) / per_s

    def _deadline_refusal(self, request_id: RequestId) -> Refuse:
        return Refuse(request_id, RefusalKind.DEADLINE_UNREACHABLE, None)

    def _overload_refusal(
        self, request_id: RequestId, rank: int, now: float
    ) -> Refuse:
        expected_wait_s = self._expected_wait_s(rank, self._in_flight, now)
        base_s = min(
            max(expected_wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S
        )
        retry_after_s = base_s * (
            1.0 + self._rng.random() * RETRY_JITTER_FRACTION
        )
        return Refuse(request_id, RefusalKind.OVERLOADED, retry_after_s)
