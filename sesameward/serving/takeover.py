"""Decide which nodes read the store, and how often.

Load pattern: the node that watches the store for all nodes may be cut off,
killed or refused by the store. The other nodes then start to watch one after
the other, until one of them can read the store. Their starting times are
spread so that they don't all call the store at once, and so that even the
last node reads a change before it must be in force.
"""

from __future__ import annotations

# Time for which the store holds a watch, the call that waits for changes, as a
# fraction of the time within which a change must be in force. A broken
# connection may go unnoticed for as long, and another node must still be able
# to read the change after that.
WATCH_FRACTION = 1 / 3
# Pause between two watches, as a fraction of the time within which a change
# must be in force; all changes during the pause are returned by one call.
READ_GAP_FRACTION = 1 / 15
# After each watch a node publishes a rumor, which takes some tenths of a
# second to reach all nodes. The next node takes over if it got no such rumor
# for the time that a watch is held plus this time.
RUMOR_ALLOWANCE_S = 0.7
# The last node takes over this long before a change must be in force, so that
# it has time to read the change.
READ_ALLOWANCE_S = 0.6
# A node that has read the store publishes a rumor, whose version it takes from
# the next block of this many versions. Within a block the version depends on
# the node's rank, so nodes that publish at the same time get different ones.
VERSIONS_PER_ROUND = 64
# A node that has no objects after its start waits for this time, multiplied by
# its rank, in addition to first_wait_s before it watches the store, so that
# the nodes don't all call it at once.
FIRST_READ_STEP_S = 0.2
# Pause between the list calls of a starting node of rank 0. The store normally
# answers in 4 ms, so a call that has no answer after this time may never get
# one, and another call is sent.
FIRST_LIST_GAP_S = 0.2


class Takeover:
    """Compute when a node should watch the store for one kind of objects.

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
        """Return True if the node of this rank should watch the store.

        age_s is the time since the node's objects were last known to be
        current. The node of rank 0 always watches. Another node, once it has
        taken over, goes on until a node of lower rank reads the store again;
        otherwise each change would be read only after another takeover.
        """
        if rank == 0 or took_over:
            return True
        return (
            age_s >= self.takeover_age_s + self._spread_s * rank / node_count
        )

    def should_read_first(self, rank: int, waited_s: float) -> bool:
        """Return True if a node without objects should watch the store.

        waited_s is the time since the node was started.
        """
        return waited_s >= self._first_wait_s + rank * FIRST_READ_STEP_S

    def first_list_gap_s(self, rank: int) -> float:
        """Return the pause between the list calls of a starting node.

        Load pattern: all nodes start while the store does not answer. Some of
        them must read it as soon as it answers again and publish that to the
        others, but if all nodes called as often as the node of rank 0, they
        would use up the store's capacity. So the pause grows with the rank.
        """
        return FIRST_LIST_GAP_S * (1 + rank)


def next_version(latest: int, rank: int) -> int:
    """Return the version of a new rumor that a node has read the store.

    The parameter latest is the highest version of such rumors that the node
    knows. If two nodes publish at the same time, the node of lower rank gets
    the higher version: its rumor prevails and the other node stops watching
    the store.
    """
    return (latest // VERSIONS_PER_ROUND + 1) * VERSIONS_PER_ROUND + max(
        0, VERSIONS_PER_ROUND - 1 - rank
    )
