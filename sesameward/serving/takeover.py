"""Decide which nodes read the store, and how often.

Load pattern: the node that watches the store for all nodes may be cut off,
killed or refused by the store. The other nodes then take over one after the
other. Their times are spread over the period within which a change must be
in force, so that they don't all call the store at once and the last one is
not too late.
"""

from __future__ import annotations

# How long a watch is held by the store, as a fraction of the time within
# which a change must be in force. A broken connection may go unnoticed for
# as long, and a takeover must still fit in after that.
WATCH_FRACTION = 1 / 3
# Pause between two reads, as a fraction of the same time; changes within the
# pause are returned by one call.
READ_GAP_FRACTION = 1 / 15
# A reading is published after each watch and takes some tenths of a second
# to reach all nodes. The next node takes over if none came for this much
# longer than a watch is held.
RUMOR_ALLOWANCE_S = 0.7
# Part of the time for a change that is left for the last node's own read.
READ_ALLOWANCE_S = 0.6
# Rumor versions per round of readings: nodes of different rank that publish
# in the same round get different versions.
VERSIONS_PER_ROUND = 64
# How much later each next rank first reads the store after its start.
FIRST_READ_STEP_S = 0.2
# A node that has read nothing yet calls again after this time: an answer
# takes 4 ms, so one that is so late may never come.
FIRST_LIST_GAP_S = 0.2


class Takeover:
    """Time the watches and takeovers for one kind of objects.

    in_force_s is the time within which a change must be in force at all
    nodes; first_wait_s is how long a starting node waits for objects from
    other nodes before it watches the store.
    """

    def __init__(self, in_force_s: float, first_wait_s: float):
        self.wait_s = in_force_s * WATCH_FRACTION
        self.read_gap_s = in_force_s * READ_GAP_FRACTION
        self.takeover_age_s = self.wait_s + RUMOR_ALLOWANCE_S
        self._spread_s = max(
            0.0, in_force_s - READ_ALLOWANCE_S - self.takeover_age_s
        )
        self._first_wait_s = first_wait_s

    def should_watch(
        self, rank: int, node_count: int, age_s: float, took_over: bool = False
    ) -> bool:
        """Return whether the node of this rank should watch the store.

        age_s is the time since the node's objects were last known to be
        current. A node that took over goes on until one of lower rank reads
        again; otherwise each change would have to wait for a new takeover.
        """
        if rank == 0 or took_over:
            return True
        return (
            age_s >= self.takeover_age_s + self._spread_s * rank / node_count
        )

    def should_read_first(self, rank: int, waited_s: float) -> bool:
        """Return whether a node that has no objects yet watches the store."""
        return waited_s >= self._first_wait_s + rank * FIRST_READ_STEP_S

    def first_list_gap_s(self, rank: int) -> float:
        """Return the pause between the list calls of a starting node.

        Load pattern: all nodes start while the store does not answer. Some of
        them must read as soon as it is back and publish that to the others,
        but calls of all nodes at the highest rate would use up the store's
        capacity. So the pause grows with the rank.
        """
        return FIRST_LIST_GAP_S * (1 + rank)


def next_version(latest: int, rank: int) -> int:
    """Return the rumor version for a reading that follows the latest one.

    If two nodes publish at the same time, the one of lower rank gets the
    higher version: its rumor prevails and the other node stops watching.
    """
    return (latest // VERSIONS_PER_ROUND + 1) * VERSIONS_PER_ROUND + max(
        0, VERSIONS_PER_ROUND - 1 - rank
    )
