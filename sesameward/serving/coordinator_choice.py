"""Choose the node that holds this node's share of the targets' limits.

That node is the coordinator, which grants permits for the shares that it
holds. A share must never be used in two places: the node gives it to another
coordinator, or uses it itself, only after the former one has given it back,
after the time for which it was entrusted, or once it is proven that the
process to which it was entrusted has ended.
"""

from __future__ import annotations

import enum
import math
import typing

from ..messages import Member
from ..rendezvous import pick
from ..types import MemberState
from ..types import NodeId
from .permit_ledger import SHARE_TTL_S

# Time after which a call to the coordinator has failed. A request waits for
# its permit no longer than this.
CALL_TIMEOUT_S = 0.25
# After this many failed calls in a row, another coordinator is taken for
# RETRY_BASE_S; the time doubles each time, up to RETRY_CAP_S.
MAX_FAILED_CALLS = 2
RETRY_BASE_S = 2.0
RETRY_CAP_S = 30.0


class Step(enum.Enum):
    """What to do about the share.

    ENTRUST: entrust it to the holder (again), which may be this node itself.
    WITHDRAW: take it back from the holder. WAIT: the holder is no member any
    more, and may still use it.
    """

    ENTRUST = 'entrust'
    WITHDRAW = 'withdraw'
    WAIT = 'wait'


class CoordinatorChoice:
    """Track which node holds this node's share, and move it if needed.

    holder is this node itself while it uses its share. is_withdrawing is True
    from the first attempt to take the share back until it has moved.
    """

    def __init__(self, node: NodeId, share_ttl_s: float = SHARE_TTL_S):
        self.holder = node
        self.is_withdrawing = False
        self._node = node
        self._share_ttl_s = share_ttl_s
        self._entrusted_until = -math.inf
        self._failed_calls = 0
        self._retry_s: dict[NodeId, float] = {}
        self._unusable_until: dict[NodeId, float] = {}
        self._members: typing.Sequence[Member] | None = None
        self._known: set[NodeId] = set()
        self._order: list[NodeId] = [node]

    @property
    def is_own(self) -> bool:
        """Return True if this node uses its share itself."""
        return self.holder == self._node

    def is_usable(self, now: float) -> bool:
        """Return True if the holder is another node that answers."""
        return not self.is_own and self._answers(self.holder, now)

    def next_step(self, members: typing.Sequence[Member], now: float) -> Step:
        """Move the share if it can move; return what to do about it.

        Of the nodes that answer, the one of the highest rendezvous weight is
        preferred, so that most nodes choose the same one. The share is taken
        back from a holder that does not answer as well: if it only paused, it
        answers before the share expires.
        """
        preferred = self._preferred(members, now)
        if self.holder == preferred:
            self.is_withdrawing = False
            return Step.ENTRUST
        if not self.is_own and now < self._entrusted_until:
            if self.holder not in self._known:
                return Step.WAIT
            self.is_withdrawing = True
            return Step.WITHDRAW
        self.holder = preferred
        self.is_withdrawing = False
        self._failed_calls = 0
        return Step.ENTRUST

    def record_call(self, now: float) -> None:
        """Record that the share is entrusted to the holder by a call."""
        if not self.is_withdrawing:
            self._entrusted_until = now + CALL_TIMEOUT_S + self._share_ttl_s

    def record_answer(self, is_held: bool, now: float) -> None:
        """Record the holder's answer; is_held is False if it has no share."""
        self._failed_calls = 0
        if not is_held:
            self._entrusted_until = now
        if is_held or self.is_withdrawing:
            self._retry_s.pop(self.holder, None)
            self._unusable_until.pop(self.holder, None)
        else:
            self._unusable_until[self.holder] = now + RETRY_BASE_S

    def record_failure(self, now: float) -> None:
        """Record that the holder did not answer a call."""
        self._failed_calls += 1
        if self._failed_calls >= MAX_FAILED_CALLS:
            self._avoid_holder(now)

    def record_end(self, now: float) -> None:
        """Record proof that the process that holds the share has ended."""
        if not self.is_own:
            self._entrusted_until = now
            self._avoid_holder(now)

    def reset(self, now: float) -> None:
        """Distrust the times recorded before this process was suspended."""
        if not self.is_own:
            self._entrusted_until = now + CALL_TIMEOUT_S + self._share_ttl_s

    def _avoid_holder(self, now: float) -> None:
        retry_s = self._retry_s.get(self.holder, RETRY_BASE_S)
        self._retry_s[self.holder] = min(2 * retry_s, RETRY_CAP_S)
        self._unusable_until[self.holder] = now + retry_s

    def _preferred(
        self, members: typing.Sequence[Member], now: float
    ) -> NodeId:
        if members is not self._members:
            self._members = members
            candidates = {
                member.node
                for member in members
                if member.state is MemberState.ALIVE and not member.leaving
            }
            candidates.add(self._node)
            self._order = pick('limits', candidates, len(candidates))
            self._known = {member.node for member in members}
            for node in self._unusable_until.keys() - self._known:
                del self._unusable_until[node]
                self._retry_s.pop(node, None)
        for node in self._order:
            if node == self._node or self._answers(node, now):
                return node
        return self._node

    def _answers(self, node: NodeId, now: float) -> bool:
        unusable_until = self._unusable_until.get(node, -math.inf)
        return node in self._known and now >= unusable_until
