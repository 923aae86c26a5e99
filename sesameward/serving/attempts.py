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
from .cold_targets import ColdTargets
from .evacuations import Evacuations
from .replica_choice import ReplicaSelector
from .target_limits import TargetLimits
from .targets import TargetTable

# Limit of retries, per request and service, after helper nodes that had no
# connections. They refuse at once, and most nodes may be cut off at a time.
MAX_NO_LINKS_ATTEMPTS = 8

AttemptNo = typing.NewType('AttemptNo', int)


class SendReason(enum.Enum):
    """Reason for sending a sub-request.

    A hedge repeats a sub-request that has no result yet: HEDGE_SLOW because it
    takes long, HEDGE_PAUSED because a request sent to its target is overdue. A
    retry repeats one that failed: RETRY_NOT_SENT after one in NOTHING_SENT,
    RETRY_NOT_RUN after SubRequestFailure.NOT_RUN or
    SubRequestFailure.MISDIRECTED, RETRY_FAILED after any other failure.
    """

    FIRST = 'first'
    HEDGE_SLOW = 'hedge_slow'
    HEDGE_PAUSED = 'hedge_paused'
    RETRY_NOT_SENT = 'retry_not_sent'
    RETRY_NOT_RUN = 'retry_not_run'
    RETRY_FAILED = 'retry_failed'


_RETRIES = frozenset(
    {
        SendReason.RETRY_NOT_SENT,
        SendReason.RETRY_NOT_RUN,
        SendReason.RETRY_FAILED,
    }
)
# Sub-requests sent for these reasons are not charged to the retry budget. A
# first sub-request repeats nothing. A RETRY_NOT_SENT replaces a sub-request
# that no target has received, so it adds no load to the targets.
_WITHOUT_BUDGET = frozenset({SendReason.FIRST, SendReason.RETRY_NOT_SENT})


class SubRequestFailure(enum.Enum):
    """Way in which a sub-request failed.

    NOT_SENT: nothing was sent. NO_PERMIT: nothing was sent, because the target
    limits its request rate and no permit was left. NO_LINKS: nothing was sent,
    because the helper node has no connections. NOT_RUN: the target replied
    that it did not run the request. MISDIRECTED: the process at the target's
    address is not this target, and did not run it either. BROKEN: the
    connection ended before a complete reply. FAILED: any other failure.
    """

    NOT_SENT = 'not_sent'
    NO_PERMIT = 'no_permit'
    NO_LINKS = 'no_links'
    NOT_RUN = 'not_run'
    MISDIRECTED = 'misdirected'
    FAILED = 'failed'
    BROKEN = 'broken'


NOTHING_SENT = frozenset(
    {
        SubRequestFailure.NOT_SENT,
        SubRequestFailure.NO_PERMIT,
        SubRequestFailure.NO_LINKS,
    }
)
SURELY_NOT_RUN = NOTHING_SENT | {
    SubRequestFailure.NOT_RUN,
    SubRequestFailure.MISDIRECTED,
}


def may_ask_again(end: SubRequestFailure, permit_wait_s: float) -> bool:
    """Return True if the cause of a failed attempt was not its target.

    The target got nothing then, and may be chosen again. permit_wait_s is the
    time until a permit for the target is expected.
    """
    match end:
        case SubRequestFailure.NO_LINKS:
            return True
        case SubRequestFailure.NO_PERMIT:
            return permit_wait_s > 0.0
        case _:
            return False


class Recipients:
    """Record which targets have received a request.

    A faulty target may send a reply twice, the second time where its reply to
    a later attempt is expected, on the same connection or on another. Both
    attempts bear the request's id, so nothing tells that copy from the reply.
    Hence a refusal proves that its attempt did not run only if it is the first
    that the target received.
    """

    def __init__(self):
        self._targets: set[TargetId] = set()

    @property
    def targets(self) -> typing.Collection[TargetId]:
        """Return the targets that have received the request."""
        return self._targets

    def record_failure(
        self, target_id: TargetId, end: SubRequestFailure
    ) -> bool:
        """Record a failed attempt; return True if it surely did not run."""
        if end in NOTHING_SENT:
            return True
        is_first = target_id not in self._targets
        self._targets.add(target_id)
        return is_first and end in SURELY_NOT_RUN


class Send(msgspec.Struct, frozen=True):
    """Order to send one sub-request to a target.

    shard is the index of the target's service in the route's list of shards;
    0 if the route sends each request to one service only.
    """

    shard: int
    attempt: AttemptNo
    target_id: TargetId
    reason: SendReason


class AttemptPolicy(typing.NamedTuple):
    """Choose the target of a sub-request, within the retry budget.

    targets holds the registered targets, selector their load and failures,
    budget limits the repeats of sub-requests to each service, and limits knows
    which targets limit their request rate. evacuations has the zones whose
    targets get nothing, cold the targets that are used only if their service
    has no others. The defaults of both are empty and never change.
    """

    targets: TargetTable
    selector: ReplicaSelector
    budget: BudgetWindow
    limits: TargetLimits
    evacuations: Evacuations = Evacuations()
    cold: ColdTargets = ColdTargets()

    def may_send(self, target_id: TargetId, now: float) -> bool:
        """Return True if a target may be sent requests now.

        It must not be sent any while it drains (before it stops), nor during
        the time for which it asked, with Retry-After, to be sent nothing, nor
        while its zone is evacuated.
        """
        target = self.targets.get(target_id)
        if target is not None and (
            target.drain or self.evacuations.contains(target.zone)
        ):
            return False
        return not self.selector.resting(target_id, now)

    def _candidates(
        self, service: ServiceName, priority: int, now: float
    ) -> tuple[TargetId, ...]:
        """Return the targets of a service that may get requests.

        Those of evacuated zones are left out, and the cold ones as long as the
        service has a usable one that is not cold.
        """
        candidates = self.targets.candidates(service)
        if self.evacuations.are_any:
            candidates = tuple(
                one for one in candidates if not self._is_evacuated(one)
            )
        if not self.cold:
            return candidates
        warm = tuple(one for one in candidates if one not in self.cold)
        if any(self._is_usable(one, priority, now) for one in warm):
            return warm
        return candidates

    def _is_evacuated(self, target_id: TargetId) -> bool:
        target = self.targets.get(target_id)
        return target is not None and self.evacuations.contains(target.zone)

    def _is_usable(
        self, target_id: TargetId, priority: int, now: float
    ) -> bool:
        """Return False if requests to a target would be refused or fail."""
        selector = self.selector
        return not (
            selector.resting(target_id, now)
            or selector.silent(target_id, now)
            or selector.ejected_s(target_id, now) > 0.0
            or self.limits.wait_s(target_id, priority, now) > 0.0
        )

    def available_in_s(
        self,
        service: ServiceName,
        priority: int,
        now: float,
        asked: typing.Collection[TargetId] = (),
    ) -> float | None:
        """Return the seconds until any target of a service accepts requests.

        The result is 0 unless all targets have asked, with Retry-After, to be
        sent nothing, or have used up the rate to which they limit requests. It
        is None if the service has no usable target besides those in asked.
        """
        candidates = self._candidates(service, priority, now)
        if asked:
            candidates = tuple(one for one in candidates if one not in asked)
        if not candidates:
            return None
        if not self.selector.any_resting(now) and not self.limits.are_any:
            return 0.0
        return min(
            max(
                self.selector.backoff_left_s(one, now),
                self.limits.wait_s(one, priority, now),
            )
            for one in candidates
        )

    def pick(
        self,
        service: ServiceName,
        asked: typing.Collection[TargetId],
        reason: SendReason,
        now: float,
        reserve: float = 0.0,
        priority: int = 0,
        excluded: typing.Collection[TargetId] = (),
    ) -> TargetId | None:
        """Return the target to send to; None if no target or budget is left.

        The parameter asked holds the targets of earlier attempts, which are
        avoided; those in excluded are never chosen. A repeat is charged to the
        retry budget, unless the earlier attempt was not sent. The parameter
        reserve is the number of repeats that must be left in the budget after
        it, priority is that of the route.
        """
        registered = candidates = self._candidates(service, priority, now)
        if self.limits.are_any:
            candidates = tuple(
                one
                for one in registered
                if self.limits.wait_s(one, priority, now) == 0.0
            )
        target_id = self.selector.choose(candidates, now, asked)
        if target_id is None and (
            reason is SendReason.RETRY_NOT_RUN
            or (reason in _RETRIES and candidates != registered)
        ):
            # All usable replicas had an attempt already. One that refused it
            # because of overload is possibly less loaded by now. Where the
            # other replicas have no permit left, one that failed has to do.
            target_id = self.selector.choose(candidates, now, excluded)
        if target_id is None or reason in _WITHOUT_BUDGET:
            return target_id
        return target_id if self.budget.take(service, now, reserve) else None
