"""Queue updates by urgency and bound what they take per second."""

from __future__ import annotations

import enum

from ..messages import Urgency
from .datagrams import Update
from .piggyback import Key
from .piggyback import Piggyback
from .piggyback import TokenBucket

GOSSIP_BACKLOG = 32


class Lane(enum.Enum):
    """Rank updates; the first lane goes first."""

    CURRENT = 'current'
    DECISION = 'decision'
    REPORT = 'report'
    URGENT = 'urgent'
    REVIVAL = 'revival'


LANE_OF = {
    Urgency.CURRENT: Lane.CURRENT,
    Urgency.DECISION: Lane.DECISION,
    Urgency.REPORT: Lane.REPORT,
}
# The sum of all lanes stays below the 8 KB/s that a node may spend for
# control (docs/CAPACITY.md). A lane does not lend its share, so that no flood
# of reports delays a decision.
BYTES_PER_S = {
    Lane.CURRENT: 1_200.0,
    Lane.DECISION: 900.0,
    Lane.REPORT: 1_200.0,
    Lane.URGENT: 2_500.0,
    Lane.REVIVAL: 600.0,
}
BURST_BYTES = {
    Lane.CURRENT: 2_400.0,
    Lane.DECISION: 2_000.0,
    Lane.REPORT: 2_400.0,
    Lane.URGENT: 5_000.0,
    Lane.REVIVAL: 600.0,
}
# What waits in these is sent at once, not with the next probe.
HURRIED = (Lane.CURRENT, Lane.DECISION, Lane.REPORT, Lane.URGENT)


class Outbox:
    """Hold the updates which are still to be passed on."""

    def __init__(self):
        self._budgets = {
            lane: TokenBucket(BYTES_PER_S[lane], BURST_BYTES[lane])
            for lane in Lane
        }
        self.clear()

    def clear(self) -> None:
        """Forget all updates."""
        self._queues = {lane: Piggyback() for lane in Lane}

    def put(self, lane: Lane, key: Key, update: Update) -> None:
        """Queue an update in place of older ones of the same key."""
        for other, queue in self._queues.items():
            if other is not lane:
                queue.drop(key)
        self._queues[lane].put(key, update)

    def drop(self, key: Key) -> None:
        """Forget the updates of this key."""
        for queue in self._queues.values():
            queue.drop(key)

    @property
    def has_backlog(self) -> bool:
        """Tell whether too many updates wait to hurry with any."""
        return len(self._queues[Lane.URGENT]) > GOSSIP_BACKLOG

    @property
    def has_news(self) -> bool:
        """Tell whether updates wait which should not wait for a probe."""
        return any(len(self._queues[lane]) for lane in HURRIED)

    def fill(self, now: float, room: int, members: int) -> list[Update]:
        """Return updates for one datagram with so many bytes left."""
        taken: list[Update] = []
        for lane, queue in self._queues.items():
            if not len(queue):
                continue
            budget = self._budgets[lane]
            most = min(room, budget.left(now))
            updates, size = queue.take(most, members)
            budget.spend(size)
            room -= size
            taken += updates
        return taken
