"""Order waiting requests by priority, fair shares and deadline."""

from __future__ import annotations

import heapq
import itertools
import math
import typing

import msgspec

# Time constant with which counts of served and unserved requests decay. It
# covers a burst of some seconds and follows a change of the load.
RATIO_DECAY_S = 10.0
# A priority or group is starved if its service ratio is below this part of
# the ratio of all. A quarter is required; the rest is a margin, because a
# starved request is served only after others went unserved.
STARVED_BELOW = 0.35
# Before the sums have seen this many requests, a ratio is mostly chance.
MIN_COUNTED = 4.0

Lane = typing.NewType('Lane', str)


class Waiting(msgspec.Struct, eq=False):
    """Hold one request that waits for capacity.

    group is the organisation, or the route where there is none; lane is the
    resource that the request needs besides those that all requests use.
    """

    priority: int
    group: str
    deadline_at: float
    item: typing.Any
    lane: Lane = Lane('')


class ServiceRatio:
    """Decaying counts of served requests and of all that have ended."""

    __slots__ = ('_at', '_ended', '_served')

    def __init__(self):
        self._at = -math.inf
        self._served = self._ended = 0.0

    def count(self, is_served: bool, now: float) -> None:
        """Count a request that was served, or that went unserved."""
        decay = math.exp(min(self._at - now, 0.0) / RATIO_DECAY_S)
        self._at = now
        self._served = self._served * decay + is_served
        self._ended = self._ended * decay + 1.0

    @property
    def value(self) -> float:
        """Return the served part; 1 if too few have been counted."""
        if self._ended < MIN_COUNTED:
            return 1.0
        return self._served / self._ended


class ServiceRatios:
    """Tell which priorities and groups are served much less than all are."""

    __slots__ = ('_all', '_by_key')

    def __init__(self):
        self._all = ServiceRatio()
        self._by_key: dict[int | str, ServiceRatio] = {}

    def count(self, entry: Waiting, is_served: bool, now: float) -> None:
        """Count a request that was served, or that went unserved."""
        self._all.count(is_served, now)
        for key in (entry.priority, entry.group):
            ratio = self._by_key.get(key)
            if ratio is None:
                ratio = self._by_key[key] = ServiceRatio()
            ratio.count(is_served, now)

    def value(self, key: int | str) -> float:
        """Return the service ratio of a priority or group."""
        ratio = self._by_key.get(key)
        return 1.0 if ratio is None else ratio.value

    def starved_ratio(self, entry: Waiting) -> float | None:
        """Return the ratio of a starved request's group or priority."""
        ratio = min(self.value(entry.priority), self.value(entry.group))
        return ratio if ratio < STARVED_BELOW * self._all.value else None


Bucket = tuple[int, str, Lane]


class WaitingOrder:
    """Queue of requests, ordered by priority, fair shares and deadline.

    Within a priority the groups take turns. A request of a starved group or
    priority comes before all others.
    """

    __slots__ = ('_buckets', '_numbers', '_turns', '_waiting', 'ratios')

    def __init__(self):
        self.ratios = ServiceRatios()
        self._buckets: dict[Bucket, list[tuple[float, int, Waiting]]] = {}
        self._numbers = itertools.count()
        # Number of turns that each group has had since the queue was empty.
        self._turns: dict[str, int] = {}
        self._waiting: set[Waiting] = set()

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, entry: Waiting) -> bool:
        return entry in self._waiting

    def add(self, entry: Waiting) -> None:
        """Add a request to the queue."""
        # A group does not make up for turns while it had nothing waiting.
        heads = self._heads()
        if not any(one.group == entry.group for one in heads):
            least = min((self._turns[one.group] for one in heads), default=0)
            self._turns[entry.group] = max(
                least, self._turns.get(entry.group, 0)
            )
        self._waiting.add(entry)
        bucket = entry.priority, entry.group, entry.lane
        heapq.heappush(
            self._buckets.setdefault(bucket, []),
            (entry.deadline_at, next(self._numbers), entry),
        )

    def discard(self, entry: Waiting) -> None:
        """Remove a request if it still waits."""
        if entry not in self._waiting:
            return
        self._waiting.discard(entry)
        bucket = entry.priority, entry.group, entry.lane
        rest = [one for one in self._buckets[bucket] if one[2] is not entry]
        heapq.heapify(rest)
        self._buckets[bucket] = rest
        self._drop_if_empty(bucket)

    def take(
        self, has_room: typing.Callable[[Waiting], bool] = lambda entry: True
    ) -> Waiting | None:
        """Remove and return the next request for which there is room."""
        heads = [one for one in self._heads() if has_room(one)]
        if not heads:
            return None
        entry = min(heads, key=self._rank)
        bucket = entry.priority, entry.group, entry.lane
        heapq.heappop(self._buckets[bucket])
        self._waiting.discard(entry)
        self._turns[entry.group] += 1
        self._drop_if_empty(bucket)
        return entry

    def count_ahead(self, entry: Waiting, lane: Lane | None) -> int:
        """Return how many requests of a lane, or of all, come before one."""
        own = sum(
            len(one)
            for (priority, group, its_lane), one in self._buckets.items()
            if (priority, group) == (entry.priority, entry.group)
            and lane in (None, its_lane)
        )
        ahead = own
        for (priority, group, its_lane), one in self._buckets.items():
            if lane not in (None, its_lane):
                continue
            if priority < entry.priority:
                ahead += len(one)
            elif priority == entry.priority and group != entry.group:
                ahead += min(len(one), own + 1)
        return ahead

    def has_waiting(self, lane: Lane, priority: int) -> bool:
        """Return True if a request of a lane and this priority waits.

        More urgent ones count too.
        """
        return any(
            its_lane == lane and its_priority <= priority
            for its_priority, _, its_lane in self._buckets
        )

    def count_by_priority(self) -> dict[int, int]:
        """Return the number of waiting requests of each priority."""
        counts: dict[int, int] = {}
        for (priority, _, _), one in self._buckets.items():
            counts[priority] = counts.get(priority, 0) + len(one)
        return counts

    def _heads(self) -> list[Waiting]:
        return [one[0][2] for one in self._buckets.values()]

    def _rank(self, entry: Waiting) -> tuple:
        turns = self._turns[entry.group]
        starved_ratio = self.ratios.starved_ratio(entry)
        if starved_ratio is not None:
            return 0, starved_ratio, turns, entry.deadline_at
        return 1, entry.priority, turns, entry.deadline_at

    def _drop_if_empty(self, bucket: Bucket) -> None:
        if not self._buckets[bucket]:
            del self._buckets[bucket]
        if not self._buckets:
            self._turns.clear()
