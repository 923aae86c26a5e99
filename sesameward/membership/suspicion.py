"""Time how long a member may stay suspected before it counts as dead."""

from __future__ import annotations

import dataclasses
import math

from ..settings import MembershipSettings
from ..types import NodeId

CONFIRMATIONS = 2
SPREAD_PERIODS = 1.0
MAX_LOCAL_HEALTH = 8


class LocalHealth:
    """Score how far this agent itself may be the one that is slow."""

    def __init__(self):
        self.score = 0

    def add(self, amount: int) -> None:
        """Raise the score for signs of own slowness, lower it for others."""
        self.score = min(max(self.score + amount, 0), MAX_LOCAL_HEALTH)

    def stretch(self, timeout_s: float) -> float:
        """Return the timeout which fits the score."""
        return timeout_s * (1 + self.score)


@dataclasses.dataclass(slots=True)
class Suspicion:
    """Gather who found a member silent, at one of its incarnations."""

    incarnation: int
    started_at: float
    origins: set[NodeId] = dataclasses.field(default_factory=set)
    failures: int = 0
    armed_at: float = 0.0

    def deadline(
        self, me: NodeId, members: int, cfg: MembershipSettings
    ) -> float:
        """Return when the member counts as dead.

        An agent which only heard of the suspicion waits longer, since a
        refutation takes as long to reach it as the suspicion did.
        """
        timeout_s = _timeout_s(len(self.origins), members, cfg)
        if me not in self.origins:
            timeout_s += _spread_s(members, cfg)
        return self.started_at + timeout_s


def confirmations(members: int) -> int:
    """Return how many further origins make the timeout shortest."""
    return max(0, min(CONFIRMATIONS, members - 2))


def _timeout_s(origins: int, members: int, cfg: MembershipSettings) -> float:
    wanted = confirmations(members)
    longest_s = cfg.suspicion_s * cfg.suspicion_mult
    if wanted == 0:
        return cfg.suspicion_s
    shrink = math.log(max(origins, 1)) / math.log(wanted + 1)
    timeout_s = longest_s - (longest_s - cfg.suspicion_s) * shrink
    return max(timeout_s, cfg.suspicion_s)


def _spread_s(members: int, cfg: MembershipSettings) -> float:
    return SPREAD_PERIODS * cfg.period_s * math.log2(members + 1)
