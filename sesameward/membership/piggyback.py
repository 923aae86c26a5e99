"""Choose the updates which go along with each datagram."""

from __future__ import annotations

import dataclasses
import math
import typing

from . import datagrams
from .datagrams import Update

RETRANSMIT_MULT = 4
BACKLOG_COUNT = 64
BACKLOG_TRANSMITS = 4
MIN_TRANSMITS = 8
SMALLEST_BYTES = 24
MAX_MISSES = 4
MAX_UPDATE_BYTES = 1_000

Key = tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Queued:
    update: Update
    size: int
    sent: int = 0


class Piggyback:
    """Hold recent updates; those sent least go first, each a few times."""

    def __init__(self):
        self._levels: list[dict[Key, _Queued]] = [{}]
        self._level_of: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    def put(self, key: Key, update: Update) -> None:
        """Queue an update in place of an older one of the same key.

        It keeps the place of one that was never sent, so that frequent
        versions don't go to the end of the queue again and again. What fits
        no datagram is left to the anti-entropy.
        """
        size = len(datagrams.encode(update))
        if self._level_of.get(key) != 0 or size > MAX_UPDATE_BYTES:
            self.drop(key)
        if size > MAX_UPDATE_BYTES:
            return
        self._levels[0][key] = _Queued(update, size)
        self._level_of[key] = 0

    def drop(self, key: Key) -> None:
        """Forget the update of this key."""
        level = self._level_of.pop(key, None)
        if level is not None:
            del self._levels[level][key]

    def take(self, max_bytes: int, members: int) -> tuple[list[Update], int]:
        """Return updates of at most so many bytes, and their bytes."""
        limit = self._limit(members)
        picked: list[tuple[Key, _Queued]] = []
        left = max_bytes
        misses = 0
        for key, queued in self._in_order():
            if queued.size > left:
                misses += 1
                if misses > MAX_MISSES:
                    break
                continue
            left -= queued.size
            picked.append((key, queued))
            if left < SMALLEST_BYTES:
                break
        for key, queued in picked:
            self._move(key, queued, limit)
        updates = [queued.update for _, queued in picked]
        return updates, max_bytes - left

    def _in_order(self) -> typing.Iterator[tuple[Key, _Queued]]:
        for level in self._levels:
            yield from level.items()

    def _move(self, key: Key, queued: _Queued, limit: int) -> None:
        self.drop(key)
        queued.sent += 1
        if queued.sent >= limit:
            return
        while len(self._levels) <= queued.sent:
            self._levels.append({})
        self._levels[queued.sent][key] = queued
        self._level_of[key] = queued.sent

    def _limit(self, members: int) -> int:
        if len(self) > BACKLOG_COUNT:
            return BACKLOG_TRANSMITS
        spread = RETRANSMIT_MULT * math.ceil(math.log10(members + 1))
        return max(spread, MIN_TRANSMITS)


class TokenBucket:
    """Bound bytes or messages per second."""

    def __init__(self, rate: float, burst: float):
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._at = 0.0

    def left(self, now: float) -> int:
        """Return how much may be spent now."""
        gained = max(0.0, now - self._at) * self._rate
        self._left = min(self._burst, self._left + gained)
        self._at = now
        return max(0, int(self._left))

    def spend(self, size: int) -> None:
        """Note what was spent."""
        self._left -= size
