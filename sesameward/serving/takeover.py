"""Decide which nodes ask the store, and how often.

Load pattern: the node that watches for all may be cut off, killed or turned
away by the store. The others then step in one after the other, spread over
the time in which a change must be in force, so that neither all ask at once
nor the last one is late.
"""

from __future__ import annotations

# Part of the time in which a change must be in force that a watch waits: it
# may be cut off without a sign, and a takeover must fit in as well.
WATCH_PART = 1 / 3
# Part of that time within which changes share one call.
GAP_PART = 1 / 15
# Readings come once a watch and take some tenths of a second to spread;
# without one for this much longer the next node steps in.
READING_S = 0.7
# Kept of the time for the reading itself.
READ_S = 0.6
# Readings told at the same time are told apart by as many ranks.
RANKS = 64
# Steps between nodes that have no reading yet.
FIRST_STEP_S = 0.2
# A node that has read nothing calls again after this time, as an answer
# takes 4 ms and one that is late may never come.
FIRST_GAP_S = 0.2


class Takeover:
    """Time the watches of one kind of objects."""

    def __init__(self, in_force_s: float, first_wait_s: float):
        self.wait_s = in_force_s * WATCH_PART
        self.gap_s = in_force_s * GAP_PART
        self.after_s = self.wait_s + READING_S
        self._spread_s = max(0.0, in_force_s - READ_S - self.after_s)
        self._first_wait_s = first_wait_s

    def watches(
        self, rank: int, count: int, age_s: float, acting: bool = False
    ) -> bool:
        """Tell whether a node of this rank of so many asks the store.

        age_s is how long ago the objects were known to be the newest. A node
        that has stepped in is acting until one of a lower rank reads again,
        so that the others need not fall behind once more before it asks.
        """
        if rank == 0 or acting:
            return True
        return age_s >= self.after_s + self._spread_s * rank / count

    def watches_first(self, rank: int, waited_s: float) -> bool:
        """Tell whether a node that has read nothing yet asks the store."""
        return waited_s >= self._first_wait_s + rank * FIRST_STEP_S

    def first_gap_s(self, rank: int) -> float:
        """Return how long a node that has read nothing waits between calls.

        Load pattern: all nodes start while the store is away. Some of them
        must read as soon as it is back and tell the others; all of them at
        the same rate would use up what the store answers.
        """
        return FIRST_GAP_S * (1 + rank)


def next_reading(heard: int, rank: int) -> int:
    """Return the number of a reading that follows all that were heard.

    Of two nodes that read at the same time the one of the lower rank is
    heard, so that the other can yield to it.
    """
    return (heard // RANKS + 1) * RANKS + max(0, RANKS - 1 - rank)
