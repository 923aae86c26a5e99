"""Queue updates by urgency and bound what they take per second."""

from __future__ import annotations

import enum

from .datagrams import Update
from .piggyback import Key
from .piggyback import Piggyback
from .piggyback import TokenBucket

GOSSIP_BACKLOG = 32


class Lane(enum.Enum):
    """Rank updates; the first lane goes first."""

    RUMOR = 'rumor'
    URGENT = 'urgent'
    REVIVAL = 'revival'


BYTES_PER_S = {
    Lane.RUMOR: 2_000.0,
    Lane.URGENT: 2_500.0,
    Lane.REVIVAL: 600.0,
}
BURST_BYTES = {
    Lane.RUMOR: 4_000.0,
    Lane.URGENT: 5_000.0,
    Lane.REVIVAL: 600.0,
}


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
        self.drop(key)
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
        return any(
            len(self._queues[lane]) for lane in (Lane.RUMOR, Lane.URGENT)
        )

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
