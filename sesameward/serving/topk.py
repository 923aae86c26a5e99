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

    Equal records count separately. Records not greater than the record floor
    are ignored: the node that merges the replies to the query already has
    top_k records that are at least as great as floor.
    """

    def __init__(self, top_k: int, floor: bytes = b''):
        self._top_k = top_k
        self._floor = floor
        self._best: list[bytes] = []

    def __len__(self) -> int:
        return len(self._best)

    def add(self, body: bytes) -> bytes:
        """Add a body; return its records that are among the greatest so far.

        The other records were dropped in favour of records of earlier bodies.
        So the result must be merged only together with the results for all of
        those bodies.
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

        A record that is not greater can't be among the greatest any more. The
        result is empty while fewer than top_k records are kept.
        """
        if not self._top_k or len(self._best) < self._top_k:
            return b''
        return self._best[0]

    def body(self) -> bytes:
        """Return the kept records as one body, greatest first."""
        return b''.join(reversed(self._best))


def records_above(body: bytes, floor: bytes) -> bytes:
    """Return the records of a body that are greater than the record floor.

    If floor is empty, return all records.
    """
    if not floor:
        return body
    return b''.join(record for record in records(body) if record > floor)
