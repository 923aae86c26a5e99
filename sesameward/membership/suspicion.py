"""Compute how long a member is suspected before it is declared dead."""

from __future__ import annotations

import dataclasses
import math

from ..settings import MembershipSettings
from ..types import NodeId

# Number of nodes, besides the first, that must also report failed probes of a
# member to shorten the timeout of its suspicion to the minimum.
MAX_CONFIRMATIONS = 2
# Estimated time for an update to reach all members: this number of probe
# periods, times the binary logarithm of the member count.
DISSEMINATION_PERIODS = 1.0
MAX_LOCAL_HEALTH = 8


class LocalHealth:
    """Score how slow this agent itself is (Lifeguard's local health).

    The score prolongs the timeouts of this agent's probes.
    """

    def __init__(self):
        self.score = 0

    def add(self, amount: int) -> None:
        """Change the score; positive amounts mean that this agent is slow."""
        self.score = min(max(self.score + amount, 0), MAX_LOCAL_HEALTH)

    def scale(self, timeout_s: float) -> float:
        """Return the timeout prolonged in proportion to the score."""
        return timeout_s * (1 + self.score)


@dataclasses.dataclass(slots=True)
class Suspicion:
    """Track the nodes (origins) that suspect one incarnation of a member.

    The field failures counts this agent's own failed probes in a row.
    """

    incarnation: int
    started_at: float
    origins: set[NodeId] = dataclasses.field(default_factory=set)
    failures: int = 0
    timer_due_at: float = 0.0

    def deadline(
        self, me: NodeId, member_count: int, cfg: MembershipSettings
    ) -> float:
        """Return when the member is declared dead.

        An agent whose own probes did not fail waits longer: a refutation by
        the member takes as long to reach this agent as the suspicion did.
        """
        timeout_s = _timeout_s(len(self.origins), member_count, cfg)
        if me not in self.origins:
            timeout_s += _dissemination_s(member_count, cfg)
        return self.started_at + timeout_s


def needed_confirmations(member_count: int) -> int:
    """Return how many confirmations make a suspicion's timeout minimal.

    A node confirms a suspicion by suspecting the same member. The first node
    that suspects the member does not count.
    """
    return max(0, min(MAX_CONFIRMATIONS, member_count - 2))


def _timeout_s(
    origin_count: int, member_count: int, cfg: MembershipSettings
) -> float:
    needed = needed_confirmations(member_count)
    longest_s = cfg.suspicion_s * cfg.suspicion_mult
    if needed == 0:
        return cfg.suspicion_s
    shrink = math.log(max(origin_count, 1)) / math.log(needed + 1)
    timeout_s = longest_s - (longest_s - cfg.suspicion_s) * shrink
    return max(timeout_s, cfg.suspicion_s)


def _dissemination_s(member_count: int, cfg: MembershipSettings) -> float:
    return DISSEMINATION_PERIODS * cfg.period_s * math.log2(member_count + 1)
