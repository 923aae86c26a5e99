"""Choose the updates that are piggybacked on each datagram."""

from __future__ import annotations

import dataclasses
import math
import typing

from . import datagrams
from .datagrams import Update

# An update is sent RETRANSMIT_MULT * ceil(log10(member count + 1)) times, and
# at least MIN_TRANSMITS times. While more than BACKLOG_UPDATES updates are
# queued, each is sent only BACKLOG_TRANSMITS times.
RETRANSMIT_MULT = 4
BACKLOG_UPDATES = 64
BACKLOG_TRANSMITS = 4
MIN_TRANSMITS = 8
# No further update is added to a datagram when it has less than
# MIN_UPDATE_BYTES free, or when more than MAX_SKIPPED_UPDATES updates were
# larger than its free space.
MIN_UPDATE_BYTES = 24
MAX_SKIPPED_UPDATES = 4
# Larger updates are not queued; anti-entropy exchanges spread them.
MAX_UPDATE_BYTES = 1_000

Key = tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Queued:
    update: Update
    size: int
    sent: int = 0


class Piggyback:
    """Queue updates to send several times each, the least sent ones first."""

    def __init__(self):
        self._by_transmits: list[dict[Key, _Queued]] = [{}]
        self._transmits_of: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._transmits_of)

    def put(self, key: Key, update: Update) -> None:
        """Queue an update; it replaces an older one of the same key.

        If the older update was never sent, the new one takes its position in
        the queue. Otherwise a key with frequent changes would move to the end
        each time. Updates over MAX_UPDATE_BYTES are not queued.
        """
        size = len(datagrams.encode(update))
        if self._transmits_of.get(key) != 0 or size > MAX_UPDATE_BYTES:
            self.drop(key)
        if size > MAX_UPDATE_BYTES:
            return
        self._by_transmits[0][key] = _Queued(update, size)
        self._transmits_of[key] = 0

    def drop(self, key: Key) -> None:
        """Remove the update of this key from the queue, if any."""
        transmits = self._transmits_of.pop(key, None)
        if transmits is not None:
            del self._by_transmits[transmits][key]

    def take(
        self, max_bytes: int, member_count: int
    ) -> tuple[list[Update], int]:
        """Choose updates of up to max_bytes in total.

        Return them and their total size. Each counts as sent once more.
        """
        transmit_limit = self._transmit_limit(member_count)
        picked: list[tuple[Key, _Queued]] = []
        left_bytes = max_bytes
        skipped = 0
        for key, queued in self._in_order():
            if queued.size > left_bytes:
                skipped += 1
                if skipped > MAX_SKIPPED_UPDATES:
                    break
                continue
            left_bytes -= queued.size
            picked.append((key, queued))
            if left_bytes < MIN_UPDATE_BYTES:
                break
        for key, queued in picked:
            self._requeue(key, queued, transmit_limit)
        updates = [queued.update for _, queued in picked]
        return updates, max_bytes - left_bytes

    def _in_order(self) -> typing.Iterator[tuple[Key, _Queued]]:
        for queue in self._by_transmits:
            yield from queue.items()

    def _requeue(self, key: Key, queued: _Queued, transmit_limit: int) -> None:
        self.drop(key)
        queued.sent += 1
        if queued.sent >= transmit_limit:
            return
        while len(self._by_transmits) <= queued.sent:
            self._by_transmits.append({})
        self._by_transmits[queued.sent][key] = queued
        self._transmits_of[key] = queued.sent

    def _transmit_limit(self, member_count: int) -> int:
        if len(self) > BACKLOG_UPDATES:
            return BACKLOG_TRANSMITS
        transmits = RETRANSMIT_MULT * math.ceil(math.log10(member_count + 1))
        return max(transmits, MIN_TRANSMITS)


class TokenBucket:
    """Limit bytes or messages per second, with bursts."""

    def __init__(self, rate: float, burst: float):
        self._rate = rate
        self._burst = burst
        self._available = burst
        self._refilled_at = 0.0

    def available(self, now: float) -> int:
        """Return how many bytes or messages may be sent now."""
        gained = max(0.0, now - self._refilled_at) * self._rate
        self._available = min(self._burst, self._available + gained)
        self._refilled_at = now
        return max(0, int(self._available))

    def spend(self, size: int) -> None:
        """Subtract bytes or messages that were sent."""
        self._available -= size
