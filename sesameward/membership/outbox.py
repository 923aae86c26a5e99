"""Queue updates by urgency, each queue with a limit of bytes per second."""

from __future__ import annotations

import enum

from ..messages import Urgency
from .datagrams import Update
from .piggyback import Key
from .piggyback import Piggyback
from .piggyback import TokenBucket

# While the URGENT queue has more updates than this, no update is sent at once:
# all wait until they are piggybacked on the messages of probes.
MAX_URGENT_BACKLOG = 32


class Lane(enum.Enum):
    """Name the queues (lanes) of updates, in the order of sending.

    Rumors are queued by their urgency in CURRENT, DECISION or REPORT. Changes
    of members are URGENT, except for REVIVAL: changes that may wait, mainly
    claims that a known member is alive.
    """

    CURRENT = 'current'
    DECISION = 'decision'
    REPORT = 'report'
    URGENT = 'urgent'
    REVIVAL = 'revival'


LANE_BY_URGENCY = {
    Urgency.CURRENT: Lane.CURRENT,
    Urgency.DECISION: Lane.DECISION,
    Urgency.REPORT: Lane.REPORT,
}
# The sum of all lanes stays below the 8 KB/s that a node may spend for
# control traffic (docs/CAPACITY.md). A lane cannot use the unused
# bytes of another lane, so that many reports cannot delay a decision.
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
# Updates in these lanes are sent at once instead of with the next probe.
IMMEDIATE_LANES = (Lane.CURRENT, Lane.DECISION, Lane.REPORT, Lane.URGENT)


class Outbox:
    """Hold the updates to send to other members, one queue per lane."""

    def __init__(self):
        self._byte_budgets = {
            lane: TokenBucket(BYTES_PER_S[lane], BURST_BYTES[lane])
            for lane in Lane
        }
        self.clear()

    def clear(self) -> None:
        """Remove all queued updates."""
        self._queues = {lane: Piggyback() for lane in Lane}

    def put(self, lane: Lane, key: Key, update: Update) -> None:
        """Queue an update; it replaces those of the same key in any lane."""
        for other, queue in self._queues.items():
            if other is not lane:
                queue.drop(key)
        self._queues[lane].put(key, update)

    def drop(self, key: Key) -> None:
        """Remove the queued updates of this key from all lanes."""
        for queue in self._queues.values():
            queue.drop(key)

    @property
    def has_backlog(self) -> bool:
        """Tell whether the URGENT lane exceeds MAX_URGENT_BACKLOG updates."""
        return len(self._queues[Lane.URGENT]) > MAX_URGENT_BACKLOG

    @property
    def has_immediate_updates(self) -> bool:
        """Tell whether any of the IMMEDIATE_LANES has updates."""
        return any(len(self._queues[lane]) for lane in IMMEDIATE_LANES)

    def take_updates(
        self, now: float, left_bytes: int, member_count: int
    ) -> list[Update]:
        """Choose the updates for one datagram that has left_bytes free."""
        taken: list[Update] = []
        for lane, queue in self._queues.items():
            if not len(queue):
                continue
            budget = self._byte_budgets[lane]
            max_bytes = min(left_bytes, budget.available(now))
            updates, size = queue.take(max_bytes, member_count)
            budget.spend(size)
            left_bytes -= size
            taken += updates
        return taken
