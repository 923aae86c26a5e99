"""Define sub-requests to targets, and choose the target of each.

A sub-request is one attempt to have a target run a caller's request.
"""

from __future__ import annotations

import enum
import typing

import msgspec

from ..types import ServiceName
from ..types import TargetId
from .budget_window import BudgetWindow
from .choice import Choice
from .targets import TargetTable

AttemptNo = typing.NewType('AttemptNo', int)


class SendReason(enum.Enum):
    """Say why a sub-request is sent."""

    FIRST = 'first'
    HEDGE_SLOW = 'hedge_slow'
    HEDGE_PAUSED = 'hedge_paused'
    RETRY_NOT_SENT = 'retry_not_sent'
    RETRY_NOT_RUN = 'retry_not_run'
    RETRY_FAILED = 'retry_failed'


# These take nothing from the retry budget: as far as the service's targets can
# tell, they are the first sub-request for the caller's request.
_WITHOUT_BUDGET = frozenset({SendReason.FIRST, SendReason.RETRY_NOT_SENT})


class End(enum.Enum):
    """Say how a sub-request failed.

    NOT_SENT, NOT_RUN and MISDIRECTED mean that the target surely did not run
    it: nothing was sent, the target said so, or it is not the target that the
    request names. BROKEN means that the connection ended without a reply.
    """

    NOT_SENT = 'not_sent'
    NOT_RUN = 'not_run'
    MISDIRECTED = 'misdirected'
    FAILED = 'failed'
    BROKEN = 'broken'


SURELY_NOT_RUN = frozenset({End.NOT_SENT, End.NOT_RUN, End.MISDIRECTED})


class Send(msgspec.Struct, frozen=True):
    """Order one sub-request to a target.

    shard is the position of the target's service in the route.
    """

    shard: int
    attempt: AttemptNo
    target_id: TargetId
    reason: SendReason


class View(typing.NamedTuple):
    """Combine what a node knows of targets to choose one for a request."""

    targets: TargetTable
    choice: Choice
    budget: BudgetWindow

    def may_send(self, target_id: TargetId, now: float) -> bool:
        """Tell whether a target accepts requests by its own account.

        It does not while it drains or after it asked to be sent nothing for a
        time.
        """
        target = self.targets.get(target_id)
        leaves = target is not None and target.drain
        return not leaves and not self.choice.resting(target_id, now)

    def rest_s(self, service: ServiceName, now: float) -> float | None:
        """Return the time until a target of a service accepts requests.

        None means that the service has no target.
        """
        candidates = self.targets.candidates(service)
        if not candidates:
            return None
        if not self.choice.any_resting(now):
            return 0.0
        return min(self.choice.rest_s(one, now) for one in candidates)

    def pick(
        self,
        service: ServiceName,
        asked: typing.Collection[TargetId],
        reason: SendReason,
        now: float,
        reserve: float = 0.0,
    ) -> TargetId | None:
        """Return the target to send to; None if there is none or no budget.

        Repeats use the retry budget, except those of attempts that were not
        sent, and leave at least reserve repeats in it.
        """
        candidates = self.targets.candidates(service)
        target_id = self.choice.choose(candidates, now, asked)
        if target_id is None and reason is SendReason.RETRY_NOT_RUN:
            # No replica is left that was not asked. One that refused because
            # it was full may have room by now.
            target_id = self.choice.choose(candidates, now)
        if target_id is None or reason in _WITHOUT_BUDGET:
            return target_id
        return target_id if self.budget.take(service, now, reserve) else None
