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
    """Say why a sub-request is sent.

    HEDGE_SLOW and HEDGE_PAUSED repeat one that is still open, because it
    takes long or because a request at its target is overdue. RETRY_NOT_SENT
    repeats one that failed as End.NOT_SENT, RETRY_NOT_RUN one that failed as
    End.NOT_RUN or MISDIRECTED, RETRY_FAILED one that failed otherwise.
    """

    FIRST = 'first'
    HEDGE_SLOW = 'hedge_slow'
    HEDGE_PAUSED = 'hedge_paused'
    RETRY_NOT_SENT = 'retry_not_sent'
    RETRY_NOT_RUN = 'retry_not_run'
    RETRY_FAILED = 'retry_failed'


# Sub-requests for these reasons take nothing from the retry budget: no target
# of the service has received an earlier one for the caller's request.
_WITHOUT_BUDGET = frozenset({SendReason.FIRST, SendReason.RETRY_NOT_SENT})


class End(enum.Enum):
    """Say how a sub-request failed.

    After NOT_SENT, NOT_RUN and MISDIRECTED the target surely did not run it:
    nothing was sent, the target's reply said so, or the process at the
    target's address is another target. BROKEN means that the connection ended
    without a reply, FAILED any other failure.
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
    """Choose targets by their registration, state and retry budget.

    targets holds the registered targets, choice their load and failures, and
    budget limits the repeats to each service.
    """

    targets: TargetTable
    choice: Choice
    budget: BudgetWindow

    def may_send(self, target_id: TargetId, now: float) -> bool:
        """Tell whether a target may be sent requests.

        It may not while it drains, nor during the time for which it asked,
        with Retry-After, to be sent nothing.
        """
        target = self.targets.get(target_id)
        leaves = target is not None and target.drain
        return not leaves and not self.choice.resting(target_id, now)

    def rest_s(self, service: ServiceName, now: float) -> float | None:
        """Return the time until a target of a service accepts requests.

        The time is 0 unless all targets have asked, with Retry-After, to be
        sent nothing. None means that the service has no target.
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
        """Return the target to send to; None if no target or budget is left.

        asked are the targets of earlier attempts, which are avoided. A repeat
        uses the retry budget unless the earlier attempt was not sent. It is
        allowed only if at least reserve repeats are left in the budget.
        """
        candidates = self.targets.candidates(service)
        target_id = self.choice.choose(candidates, now, asked)
        if target_id is None and reason is SendReason.RETRY_NOT_RUN:
            # All usable replicas had an attempt already. One that refused it
            # because of overload may accept it by now.
            target_id = self.choice.choose(candidates, now)
        if target_id is None or reason in _WITHOUT_BUDGET:
            return target_id
        return target_id if self.budget.take(service, now, reserve) else None
