"""Decide whether a node runs a request, queues it or refuses it.

Two resources are limited: the node itself, seen as the lag of its event loop,
and each single service, seen as requests that its targets refuse.
"""

from __future__ import annotations

import collections
import enum
import math
import typing

import msgspec

from .limits import AdaptiveLimit
from .order import Lane
from .order import Waiting
from .order import WaitingOrder

# The lane of requests that need no single service.
NODE_LANE = Lane('')
# A node with this many requests running has work for its processor while
# others wait for targets.
MIN_NODE_LIMIT = 4
# A node sends to a service for at least this part of the time, so that it
# learns when its targets accept requests again. It is below one because nodes
# may outnumber the requests that all targets of a service accept: 91 nodes for
# three targets with 2 slots and a queue of 8.
MIN_SERVICE_LIMIT = 0.1
# Added to the limit of a service for each served request, as long as the limit
# is below one; above, SERVICE_INCREASE is divided among as many requests as
# the limit is. Many nodes raise their limits at once: with 1.0, the queues of
# the targets were soon full again in the simulation of the tests.
MIN_SERVICE_INCREASE = 0.1
SERVICE_INCREASE = 0.2
# The event loop lags this much where the processor has more work than it can
# do. A single lag may be a pause of the machine, so two in a row count.
LAG_HIGH_S = 0.04
LAG_LOW_S = 0.01
# Part of the node's limit that is added after each small lag.
NODE_INCREASE_FRACTION = 0.1
# Weight of a new duration in the moving means.
DURATION_WEIGHT = 0.1
# A request may start until its route's mean duration, plus this many mean
# deviations, is left to its deadline. At the mean alone, half of those that
# start last would end too late, and have used capacity in vain.
START_DEVIATIONS = 2.0
# Requests that take this many times the shortest duration have waited at their
# target. The limit of a service falls then already, so that the queues of its
# targets keep room for urgent requests. With a lower factor, work of uneven
# length would count as waiting.
QUEUED_FACTOR = 2.5
# Part by which the shortest duration approaches a longer one.
SHORTEST_RISE = 0.02
# Duration assumed until a request has ended; the shortest of the routes in the
# deployments at hand, so that a new node refuses nothing by a guess.
DEFAULT_DURATION_S = 0.02
# Longest Retry-After before jitter. The overload rarely lasts longer, and
# callers' own deadlines are some seconds.
MAX_RETRY_AFTER_S = 5.0


class Decision(enum.Enum):
    """What happens to a request at first."""

    RUN = 'run'
    WAIT = 'wait'


class End(enum.Enum):
    """How a running request ended.

    REFUSED: targets refused it because of overload, and none served it. OTHER:
    it says nothing of the capacity.
    """

    SERVED = 'served'
    REFUSED = 'refused'
    OTHER = 'other'


class Overloaded(msgspec.Struct, frozen=True):
    """Order to refuse a request that can't be served in time."""

    retry_after_s: float


class Claim(Waiting, kw_only=True):
    """Hold a caller's request and the last moment at which it may start."""

    route: str
    latest_at: float = 0.0
    started_at: float = 0.0


class _Service:
    """Limit of one service, and what is known of the requests to it."""

    __slots__ = ('least_urgent', 'limit', 'started_at')

    def __init__(self, priority: int):
        self.limit = AdaptiveLimit(MIN_SERVICE_LIMIT)
        # Largest priority of a request since there is a limit.
        self.least_urgent = priority
        self.started_at = 0.0


class Control:
    """Admit requests of a node in order, within its limits.

    has_free_slot returns True if a target of the service of a lane is known
    to have a free slot; the request then runs, whatever the limit.
    """

    def __init__(
        self,
        has_free_slot: typing.Callable[[Lane, float], bool] = (
            lambda lane, now: False
        ),
    ):
        self.order = WaitingOrder()
        self.node_limit = AdaptiveLimit(MIN_NODE_LIMIT)
        self._has_free_slot = has_free_slot
        # Only services whose targets have refused requests.
        self._services: dict[Lane, _Service] = {}
        self._running: collections.Counter[tuple[Lane, int]] = (
            collections.Counter()
        )
        self._running_count = 0
        self._durations_s: dict[tuple[str, str], float] = {}
        self._deviations_s: dict[str, float] = {}
        self._shortest_s: dict[tuple[str, str], float] = {}
        self._was_lagging = False
        self._last_return_at = 0.0

    def offer(self, claim: Claim, now: float) -> Decision | Overloaded:
        """Run a request if nothing waits and there is room; or queue it.

        It is refused if its expected wait ends too late, unless its group or
        priority is starved.
        """
        claim.latest_at = claim.deadline_at - self._long_duration_s(claim)
        service = self._services.get(claim.lane)
        if service is not None:
            service.least_urgent = max(service.least_urgent, claim.priority)
        is_behind = self.order.has_waiting(claim.lane, claim.priority) or (
            self.node_limit.limit is not None and len(self.order) > 0
        )
        if not is_behind and self.has_room(claim, now):
            self._start(claim, now)
            return Decision.RUN
        wait_s = self._expected_wait_s(claim)
        allowed_s = claim.latest_at - now
        is_starved = self.order.ratios.starved_ratio(claim) is not None
        if allowed_s <= 0.0 or (wait_s > allowed_s and not is_starved):
            return self._refuse(claim, wait_s - max(allowed_s, 0.0), now)
        self.order.add(claim)
        return Decision.WAIT

    def take(self, now: float) -> Claim | None:
        """Return the next waiting request that may start now."""
        if not len(self.order):
            return None
        claim = self.order.take(lambda entry: self.has_room(entry, now))
        if claim is not None:
            self._start(claim, now)
        return claim

    def expire(self, claim: Claim, now: float) -> Overloaded:
        """Refuse a request that has waited until its last moment."""
        self.order.discard(claim)
        return self._refuse(claim, self._expected_wait_s(claim), now)

    def withdraw(self, claim: Claim) -> None:
        """Remove a waiting request whose caller has gone."""
        self.order.discard(claim)

    def ended(self, claim: Claim, end: End, now: float) -> None:
        """Record the end of a running request."""
        if claim.lane != NODE_LANE:
            self._adapt_service(claim, end, now)
        self._running_count -= 1
        key = claim.lane, claim.priority
        self._running[key] -= 1
        if not self._running[key]:
            del self._running[key]
        if end is End.SERVED:
            took_s = now - claim.started_at
            off_s = abs(took_s - self._duration_s('route', claim.route))
            before_s = self._deviations_s.get(claim.route, 0.0)
            self._deviations_s[claim.route] = before_s + DURATION_WEIGHT * (
                off_s - before_s
            )
            self._record_duration('route', claim.route, took_s)
            self._record_duration('lane', claim.lane, took_s)

    def on_lag(self, lag_s: float, now: float) -> None:
        """Adapt the node's limit to the lag of its event loop."""
        is_lagging = lag_s >= LAG_HIGH_S
        if is_lagging and self._was_lagging:
            self.node_limit.decrease(self._running_count, now)
        elif lag_s <= LAG_LOW_S:
            step = NODE_INCREASE_FRACTION * (self.node_limit.limit or 0.0)
            self.node_limit.increase(max(step, 1.0), now)
        self._was_lagging = is_lagging

    def has_room(self, entry: Waiting, now: float) -> bool:
        """Return True if one more request may run.

        A request that is more urgent than others of its service exceeds the
        limit of the service by one: the limit holds these others back, so that
        the queues of the targets have room for it.
        """
        if not self.node_limit.has_room(self._running_count):
            return False
        service = self._services.get(entry.lane)
        if service is None or self._has_service_room(entry.lane, service, now):
            return True
        if entry.priority < service.least_urgent and not any(
            lane == entry.lane and priority <= entry.priority
            for lane, priority in self._running
        ):
            return True
        return self._has_free_slot(entry.lane, now)

    def running_by_priority(self) -> dict[int, int]:
        """Return the number of running requests of each priority."""
        counts: dict[int, int] = {}
        for (_, priority), count in self._running.items():
            counts[priority] = counts.get(priority, 0) + count
        return counts

    def _has_service_room(
        self, lane: Lane, service: _Service, now: float
    ) -> bool:
        running = self._running_at(lane)
        if running or (service.limit.limit or 1.0) >= 1.0:
            return service.limit.has_room(running)
        pause_s = self._lane_spacing_s(lane, service.limit)
        return now - service.started_at >= pause_s

    def _running_at(self, lane: Lane) -> int:
        return sum(
            count
            for (its_lane, _), count in self._running.items()
            if its_lane == lane
        )

    def _adapt_service(self, claim: Claim, end: End, now: float) -> None:
        service = self._services.get(claim.lane)
        if end is End.REFUSED:
            if service is None:
                service = self._services[claim.lane] = _Service(claim.priority)
            service.limit.decrease(self._running_at(claim.lane), now)
        elif service is not None and end is End.SERVED:
            # Other routes of the service may have shorter work.
            key = 'route', claim.route
            shortest_s = self._shortest_s.get(key, math.inf)
            if now - claim.started_at > QUEUED_FACTOR * shortest_s:
                service.limit.decrease(self._running_at(claim.lane), now)
                return
            limit = service.limit.limit or 1.0
            step = (
                MIN_SERVICE_INCREASE
                if limit < 1.0
                else SERVICE_INCREASE / limit
            )
            service.limit.increase(step, now)
            if service.limit.limit is None:
                del self._services[claim.lane]

    def _start(self, claim: Claim, now: float) -> None:
        claim.started_at = now
        self._running_count += 1
        self._running[claim.lane, claim.priority] += 1
        service = self._services.get(claim.lane)
        if service is not None:
            service.started_at = now
        self.order.ratios.count(claim, True, now)

    def _refuse(self, claim: Claim, excess_s: float, now: float) -> Overloaded:
        self.order.ratios.count(claim, False, now)
        # Refused requests return one after the other, at the rate at which
        # requests are served.
        spacing_s = self._spacing_s(claim.lane)
        return_at = max(now + excess_s, self._last_return_at + spacing_s)
        return_at = min(return_at, now + MAX_RETRY_AFTER_S)
        self._last_return_at = return_at
        return Overloaded(max(return_at - now, 0.0))

    def _expected_wait_s(self, claim: Claim) -> float:
        wait_s = 0.0
        service = self._services.get(claim.lane)
        if service is not None:
            ahead = self.order.count_ahead(claim, claim.lane)
            wait_s = (ahead + 1) * self._lane_spacing_s(
                claim.lane, service.limit
            )
        if self.node_limit.limit is not None:
            ahead = self.order.count_ahead(claim, None)
            wait_s = max(
                wait_s,
                (ahead + 1) * self._lane_spacing_s(NODE_LANE, self.node_limit),
            )
        return wait_s

    def _spacing_s(self, lane: Lane) -> float:
        service = self._services.get(lane)
        limit = self.node_limit if service is None else service.limit
        return self._lane_spacing_s(lane, limit)

    def _lane_spacing_s(self, lane: Lane, limit: AdaptiveLimit) -> float:
        if limit.limit is not None and limit.limit < 1.0:
            # Requests start at this interval, however long the last one took
            # in the queue of its target.
            shortest_s = self._shortest_s.get(
                ('lane', lane), DEFAULT_DURATION_S
            )
            return shortest_s / limit.limit
        return self._duration_s('lane', lane) / (limit.limit or 1.0)

    def _duration_s(self, kind: str, name: str) -> float:
        return self._durations_s.get((kind, name), DEFAULT_DURATION_S)

    def _long_duration_s(self, claim: Claim) -> float:
        deviation_s = self._deviations_s.get(claim.route, 0.0)
        mean_s = self._duration_s('route', claim.route)
        return mean_s + START_DEVIATIONS * deviation_s

    def _record_duration(self, kind: str, name: str, took_s: float) -> None:
        shortest_s = self._shortest_s.get((kind, name), took_s)
        self._shortest_s[kind, name] = min(
            took_s, shortest_s + SHORTEST_RISE * (took_s - shortest_s)
        )
        before_s = self._durations_s.get((kind, name), took_s)
        self._durations_s[kind, name] = before_s + DURATION_WEIGHT * (
            took_s - before_s
        )
