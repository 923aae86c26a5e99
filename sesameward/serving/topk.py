"""Merge the greatest fixed-size records of several parts."""

from __future__ import annotations

import bisect

RECORD_BYTES = 16


def records(body: bytes) -> list[bytes]:
    """Return the whole records of a part; a shorter rest is none."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


class Greatest:
    """Keep the greatest records of all parts added; equal ones all count.

    A floor is a record below which none can be among the greatest, since
    enough others are known elsewhere.
    """

    def __init__(self, top_k: int, floor: bytes = b''):
        self._top_k = top_k
        self._floor = floor
        self._best: list[bytes] = []

    def add(self, body: bytes) -> bytes:
        """Add a part; return those of its records that may matter.

        What is returned is complete only beside all parts added before:
        whoever leaves one of those out must not use this one.
        """
        best = self._best
        top_k = self._top_k
        kept: list[bytes] = []
        if not top_k:
            return b''
        for record in sorted(records(body), reverse=True):
            if record <= self._floor:
                break
            if len(best) >= top_k:
                if record <= best[0]:
                    break
                del best[0]
            bisect.insort(best, record)
            kept.append(record)
        return b''.join(kept)

    @property
    def floor(self) -> bytes:
        """Return the least of the greatest records once there are enough."""
        if not self._top_k or len(self._best) < self._top_k:
            return b''
        return self._best[0]

    def body(self) -> bytes:
        """Return the greatest records, greatest first."""
        return b''.join(reversed(self._best))


def above(body: bytes, floor: bytes) -> bytes:
    """Return the records of a part that are greater than a floor."""
    if not floor:
        return body
    return b''.join(record for record in records(body) if record > floor)
