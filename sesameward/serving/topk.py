"""Merge the greatest records of the replies of several shards.

The body of a reply is a sequence of records of one size, compared as bytes.
"""

from __future__ import annotations

import bisect

RECORD_BYTES = 16


def records(body: bytes) -> list[bytes]:
    """Split a reply's body into records; ignore an incomplete last one."""
    end = len(body) - len(body) % RECORD_BYTES
    return [
        body[offset : offset + RECORD_BYTES]
        for offset in range(0, end, RECORD_BYTES)
    ]


class Greatest:
    """Keep the top_k greatest records of all bodies added.

    Equal records count separately. Records up to floor are ignored: whoever
    gave it already has top_k records that are at least as great.
    """

    def __init__(self, top_k: int, floor: bytes = b''):
        self._top_k = top_k
        self._floor = floor
        self._best: list[bytes] = []

    def add(self, body: bytes) -> bytes:
        """Add a body; return its records that are among the greatest so far.

        Records that are left out are surpassed by those of earlier bodies, so
        the result must only be merged together with the results of all of
        them.
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
        """Return the least of the top_k greatest records.

        Empty while there are fewer than top_k.
        """
        if not self._top_k or len(self._best) < self._top_k:
            return b''
        return self._best[0]

    def body(self) -> bytes:
        """Return the kept records as one body, greatest first."""
        return b''.join(reversed(self._best))


def above(body: bytes, floor: bytes) -> bytes:
    """Return the records of a body that are greater than a floor."""
    if not floor:
        return body
    return b''.join(record for record in records(body) if record > floor)
