"""Decide which targets a request to one service is sent to, and how it ends.

This module does no I/O: each call returns the sub-request to send, or how the
request ended. A request that must not run twice is sent again only if it
surely did not run, and no target receives it twice.
"""

from __future__ import annotations

import enum

import msgspec

from ..types import ServiceName
from ..types import TargetId
from .attempts import AttemptNo
from .attempts import AttemptPolicy
from .attempts import MAX_NO_LINKS_ATTEMPTS
from .attempts import may_ask_again
from .attempts import NOTHING_SENT
from .attempts import Recipients
from .attempts import Send
from .attempts import SendReason
from .attempts import SubRequestFailure
from .attempts import SURELY_NOT_RUN
from .routes import Repeat
from .routes import Route

# A request is hedged once it takes longer than this quantile of its route's
# latencies. At a lower quantile many requests that merely need more work would
# be hedged, and a hedge occupies a target for as long as the first attempt.
HEDGE_QUANTILE = 0.97
# A request is hedged only if the node could still send its service this many
# repeats after the hedge. They are reserved for retries.
HEDGE_RESERVED_REPEATS = 3.0
# Limit of retries, per request, after attempts that the target surely did not
# run. These attempts do not count towards the route's max_attempts.
MAX_NOT_RUN_ATTEMPTS = 3
# A request is not sent again after this many of its connections broke. One can
# break by chance; after the second the request probably crashes targets.
MAX_BROKEN_ATTEMPTS = 2
# Seconds between checks whether the request needs a hedge.
CHECK_INTERVAL_S = 0.02


class Verdict(enum.Enum):
    """Kind of answer that the caller gets.

    REPLY: a target's reply. REFUSED: there is no reply, and no target can have
    run the request. Otherwise, without a reply, TIMEOUT at the deadline and
    FAILED before it.
    """

    REPLY = 'reply'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMEOUT = 'timeout'


class Finish(msgspec.Struct, frozen=True):
    """Order to end the request with this verdict.

    rest_s is the time until a target accepts requests again, if all targets
    asked, with Retry-After, to be sent nothing; otherwise None.
    """

    verdict: Verdict
    rest_s: float | None = None


Action = Send | Finish


class Relay:
    """Choose the attempts of one request to a service and decide how it ends.

    If on_trial is True, the request is suspected of crashing targets. It is
    then not hedged, and it ends when one connection breaks.
    """

    def __init__(
        self,
        route: Route,
        service: ServiceName,
        policy: AttemptPolicy,
        deadline_at: float,
        on_trial: bool = False,
    ):
        self._on_trial = on_trial
        self._broken_count = 0
        self._route = route
        self._service = service
        self._policy = policy
        self._deadline_at = deadline_at
        self._asked: list[TargetId] = []
        self._recipients = Recipients()
        self._open: dict[AttemptNo, tuple[TargetId, float]] = {}
        self._attempts = 0
        self._not_run_count = 0
        self._unpermitted_count = 0
        self._no_links_count = 0
        self._may_have_run = False
        self._has_reply = False
        self._finished = False

    @property
    def service(self) -> ServiceName:
        """Return the service that runs the request."""
        return self._service

    @property
    def finished(self) -> bool:
        """Return True if the request has ended."""
        return self._finished

    def start(self, now: float) -> list[Action]:
        """Send the first attempt, or refuse if no target accepts requests."""
        self._policy.budget.count_request(self._service, now)
        return self._send(SendReason.FIRST, now) or self._refuse(now)

    def replied(
        self, attempt: AttemptNo, is_success: bool, now: float
    ) -> list[Action]:
        """Record a target's reply; retry an error if the route allows it.

        While another attempt is open, its result is awaited instead.
        """
        self._open.pop(attempt, None)
        self._may_have_run = True
        if self._finished:
            return []
        self._has_reply = True
        if is_success or self._route.repeat is Repeat.ONCE:
            return self._finish(Verdict.REPLY)
        return self._retry_or_finish(SendReason.RETRY_FAILED, now)

    def failed(
        self, attempt: AttemptNo, end: SubRequestFailure, now: float
    ) -> list[Action]:
        """Record an attempt without a reply; retry if that is safe.

        A retry is safe if the target surely did not run the attempt, or if the
        route allows its requests to run more than once.
        """
        target_id, _ = self._open.pop(attempt)
        if not self._recipients.record_failure(target_id, end):
            self._may_have_run = True
        if may_ask_again(end, self._wait_s(target_id, now)):
            self._asked.remove(target_id)
            self._no_links_count += end is SubRequestFailure.NO_LINKS
            self._unpermitted_count += end is SubRequestFailure.NO_PERMIT
        elif end in SURELY_NOT_RUN:
            self._not_run_count += 1
        self._broken_count += end is SubRequestFailure.BROKEN
        if self._finished:
            return []
        match end:
            case _ if end in NOTHING_SENT:
                return self._retry_or_finish(SendReason.RETRY_NOT_SENT, now)
            case SubRequestFailure.NOT_RUN | SubRequestFailure.MISDIRECTED:
                return self._retry_or_finish(SendReason.RETRY_NOT_RUN, now)
            case SubRequestFailure.BROKEN if (
                self._broken_count >= self._max_broken()
            ):
                return self._finish(
                    self._verdict_without_success(Verdict.FAILED)
                )
            case _ if self._route.repeat is Repeat.SAFE:
                return self._retry_or_finish(SendReason.RETRY_FAILED, now)
            case _:
                return self._finish(Verdict.FAILED)

    def on_timer(self, now: float) -> list[Action]:
        """Hedge a slow request if its route allows it; end it at the deadline.

        Routes whose requests must not run twice do not allow hedges.
        """
        if self._finished:
            return []
        if now >= self._deadline_at:
            return self._finish(self._verdict_without_success(Verdict.TIMEOUT))
        if self._route.repeat is Repeat.ONCE or len(self._open) != 1:
            return []
        if self._on_trial:
            return []
        ((target_id, sent_at),) = self._open.values()
        delay_s = self._policy.selector.latency_quantile_s(
            self._route.name, HEDGE_QUANTILE, now
        )
        if now - sent_at < delay_s:
            return []
        return self._send(SendReason.HEDGE_SLOW, now, HEDGE_RESERVED_REPEATS)

    def next_timer_at(self, now: float) -> float:
        """Return the clock time at which to call on_timer() next."""
        if self._route.repeat is Repeat.ONCE:
            return self._deadline_at
        return min(now + CHECK_INTERVAL_S, self._deadline_at)

    def _wait_s(self, target_id: TargetId, now: float) -> float:
        priority = self._route.priority
        return self._policy.limits.wait_s(target_id, priority, now)

    def _max_broken(self) -> int:
        return 1 if self._on_trial else MAX_BROKEN_ATTEMPTS

    def _retry_or_finish(self, reason: SendReason, now: float) -> list[Action]:
        if self._open:
            return []
        sends: list[Action] = []
        retries = self._not_run_count + self._unpermitted_count
        if (
            retries <= MAX_NOT_RUN_ATTEMPTS
            and self._no_links_count <= MAX_NO_LINKS_ATTEMPTS
        ):
            sends = self._send(reason, now)
        if sends:
            return sends
        verdict = self._verdict_without_success(Verdict.FAILED)
        if verdict is Verdict.REFUSED:
            return self._refuse(now)
        return self._finish(verdict)

    def _refuse(self, now: float) -> list[Action]:
        rest_s = self._policy.available_in_s(
            self._service, self._route.priority, now
        )
        return self._finish(Verdict.REFUSED, rest_s or None)

    def _verdict_without_success(self, otherwise: Verdict) -> Verdict:
        if self._has_reply:
            return Verdict.REPLY
        if self._may_have_run or self._open:
            return otherwise
        return Verdict.REFUSED

    def _send(
        self, reason: SendReason, now: float, reserve: float = 0.0
    ) -> list[Action]:
        if len(self._asked) - self._not_run_count >= self._route.max_attempts:
            return []
        is_once = self._route.repeat is Repeat.ONCE
        target_id = self._policy.pick(
            self._service,
            self._asked,
            reason,
            now,
            reserve,
            self._route.priority,
            self._recipients.targets if is_once else (),
        )
        if target_id is None:
            return []
        self._attempts += 1
        attempt = AttemptNo(self._attempts)
        self._asked.append(target_id)
        self._open[attempt] = target_id, now
        return [Send(0, attempt, target_id, reason)]

    def _finish(
        self, verdict: Verdict, rest_s: float | None = None
    ) -> list[Action]:
        self._finished = True
        return [Finish(verdict, rest_s)]
