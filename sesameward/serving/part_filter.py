"""Send on only those records of parts that may be among the greatest."""

from __future__ import annotations

import bisect

from . import topk


class PartFilter:
    """Drop records that earlier parts of the same query surpass.

    What is sent for a part is complete only together with all parts passed
    through the filter before it: whoever leaves one of those out of its
    answer must not use later ones either.
    """

    def __init__(self, top_k: int):
        self._top_k = top_k
        self._best: list[bytes] = []

    def keep(self, body: bytes) -> bytes:
        """Return a part's records that may still be among the top ones."""
        best = self._best
        kept = []
        for record in sorted(topk.records(body), reverse=True):
            if len(best) >= self._top_k and record <= best[0]:
                break
            kept.append(record)
            bisect.insort(best, record)
            if len(best) > self._top_k:
                del best[0]
        return b''.join(kept)
