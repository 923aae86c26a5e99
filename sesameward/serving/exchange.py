"""Send one sub-request to a target and report its result."""

from __future__ import annotations

import functools
import typing

import msgspec

from .. import logs
from ..metrics import Metrics
from ..placement.relays import Relays
from ..types import Clock
from ..types import Outcome
from ..types import RequestId
from ..types import ServiceName
from ..types import TargetId
from .attempts import AttemptPolicy
from .attempts import SubRequestFailure
from .byte_limits import ExceededLimit
from .byte_limits import MessageLimits
from .byte_limits import REPLY_LIMITS
from .crashes import Crashes
from .crashes import RequestIdentity
from .crashes import TargetLoss
from .limit_exchange import LimitExchange
from .pools import DEFAULT_MAX_IDLE_S
from .pools import Pools
from .pools import WaitRank
from .replica_choice import SILENT_AFTER_S
from .routes import RouteName
from .target_connection import ExchangeFailure
from .target_connection import Reply
from .target_connection import TargetConnection
from .target_limits import Permit
from .target_links import TargetLinks
from .targets import DepartureSource
from .wire import ReplyHeaders
from .wire import Wire

# A request that must not run twice is not sent on a connection that was idle
# for this long or longer: the target may be closing the connection at that
# moment, which leaves unknown whether the request ran.
ONCE_MAX_IDLE_S = 1.0
# Sub-requests are abandoned, and their connections closed, this long after the
# caller of a repeatable request has disconnected, or after a helper node got
# the message that their batch is cancelled. Replies that are nearly complete
# still arrive in this time, so that their connections can be reused.
CANCEL_GRACE_S = 0.25
# The connection of a sub-request is closed if its reply has not arrived this
# long after the deadline that was sent to the target.
DEADLINE_GRACE_S = 0.3


class ExchangeDeps(msgspec.Struct):
    """Hold what all sub-requests of a node share, such as connection pools.

    on_leaving is called when a target's reply, or a helper node that sent the
    request to the target, says that the target is about to stop. on_sent is
    called when a sub-request is sent to a target.
    """

    wire: Wire
    policy: AttemptPolicy
    pools: Pools
    crashes: Crashes
    limits: LimitExchange
    metrics: Metrics
    clock: Clock
    on_leaving: typing.Callable[[TargetId, DepartureSource], None] = (
        lambda target_id, source: None
    )
    links: TargetLinks = msgspec.field(default_factory=TargetLinks)
    on_sent: typing.Callable[[], None] = lambda: None
    relays: Relays = msgspec.field(default_factory=Relays)


class SubRequest(msgspec.Struct):
    """Hold what all sub-requests for one request have in common.

    The field head holds the start of the request as sent to each target; the
    request body is in identity. share_group is the organisation or route whose
    fair share of connections the request uses. If on_trial is True, the
    request is suspected of crashing targets. If sees_whole_request is True, a
    target that answers nothing until the sub-request is abandoned is reported
    as possibly crashed by the request. It is False on a helper node, which
    sends sub-requests for another node, because it does not see whether
    another target answered the request.
    """

    request_id: RequestId
    route: RouteName
    method: bytes
    identity: RequestIdentity
    head: bytes
    deadline_at: float
    priority: int
    is_shard: bool
    runs_once: bool
    on_trial: bool = False
    sees_whole_request: bool = True
    limits: MessageLimits = REPLY_LIMITS
    share_group: str = ''


class Result(msgspec.Struct):
    """Hold the result of a sub-request: a reply, or why there is none.

    The reason why there is no reply is in the field end. leaving is True if
    the target replied that it is about to stop. rest_s is the time for which
    the target asked, in its reply, to be sent nothing. no_permit_s is the time
    for which no permit for the target is expected, after NO_PERMIT.
    no_connection is True if there was no connection to the target.
    """

    end: SubRequestFailure | None
    reply: Reply | None = None
    signature: bytes | None = None
    leaving: bool = False
    rest_s: float = 0.0
    no_permit_s: float = 0.0
    no_connection: bool = False


OnResult = typing.Callable[[Result], None]


class SubRequestExchange:
    """Send one sub-request over a pooled connection and await its reply.

    is_wanted returns True while the result is needed, is_held while the
    sub-request must not be sent. on_result is called with the result, unless
    is_wanted returns False when the sub-request gets its permit or its
    connection.
    """

    def __init__(
        self,
        tools: ExchangeDeps,
        sub: SubRequest,
        target_id: TargetId,
        is_wanted: typing.Callable[[], bool],
        on_result: OnResult,
        is_held: typing.Callable[[], bool] = lambda: False,
    ):
        self._tools = tools
        self._sub = sub
        self._target_id = target_id
        self._is_wanted = is_wanted
        self._on_result = on_result
        self._is_held = is_held
        self._permit = Permit(target_id)
        self._conn: TargetConnection | None = None
        self._sent_at = 0.0
        # Headers of the reply read last, which may belong to an earlier
        # request on the connection. Once this sub-request has ended with a
        # reply, they are the headers of its own reply.
        self._reply_info = ReplyHeaders()

    def start(self) -> None:
        """Send the sub-request as soon as it has a permit and a connection.

        Only targets that limit their request rate require a permit.
        """
        self._tools.limits.acquire(
            self._target_id, self._sub.priority, self._permit_taken
        )

    def _permit_taken(self, permit: Permit | None) -> None:
        if permit is None:
            if self._is_wanted():
                self._report_no_permit()
            return
        self._permit = permit
        if not self._is_wanted():
            # It ended while the permit was fetched. An idle connection that
            # it took would not be given back.
            self._give_permit_back()
            return
        self._tools.pools.acquire(
            self._target_id,
            self._connected,
            ONCE_MAX_IDLE_S if self._sub.runs_once else DEFAULT_MAX_IDLE_S,
            WaitRank(
                self._sub.priority,
                self._sub.share_group,
                self._sub.deadline_at,
            ),
        )

    def abandon(self) -> None:
        """Close the connection, so that the target cancels the request.

        Do nothing if the sub-request was not sent or has its result.
        """
        if self._conn is not None:
            self._conn.abandon()

    @property
    def is_running(self) -> bool:
        """Return True if the request was sent and has no result yet."""
        return self._conn is not None

    def _report_no_permit(self) -> None:
        policy = self._tools.policy
        wait_s = policy.limits.wait_s(
            self._target_id, self._sub.priority, self._tools.clock()
        )
        self._on_result(
            Result(SubRequestFailure.NO_PERMIT, no_permit_s=wait_s)
        )

    def _give_permit_back(self) -> None:
        limits = self._tools.policy.limits
        limits.give_back(self._permit, self._tools.clock())

    def _connected(self, conn: TargetConnection | None) -> None:
        if not self._is_wanted():
            self._give_permit_back()
            return
        if conn is None:
            self._give_permit_back()
            self._on_result(
                Result(SubRequestFailure.NOT_SENT, no_connection=True)
            )
            return
        tools = self._tools
        sub = self._sub
        now = tools.clock()
        if not tools.policy.limits.is_valid(self._permit, now):
            # It expired, or the target named a limit, while this sub-request
            # waited for its connection.
            conn.release()
            self._report_no_permit()
            return
        if self._is_held() or not tools.policy.may_send(self._target_id, now):
            # While this sub-request waited for its connection, another one of
            # the same request may have crashed its target, or this target
            # asked to be sent nothing or said that it is about to stop.
            conn.release()
            self._give_permit_back()
            self._on_result(Result(SubRequestFailure.NOT_SENT))
            return
        left_s = max(sub.deadline_at - now, 0.001)
        token = tools.policy.selector.sent(self._target_id, sub.route, now)
        self._conn = conn
        self._sent_at = now
        tools.on_sent()
        conn.send(
            tools.wire.sub_request(
                sub.head, sub.identity.body, self._target_id, left_s
            ),
            functools.partial(self._ended, token),
            self._is_own_reply,
            sub.method == b'HEAD',
            sub.limits,
        )

    def _is_own_reply(self, reply: Reply) -> bool:
        self._reply_info = self._tools.wire.read_reply(reply)
        named_id = self._reply_info.request_id
        conn = typing.cast(TargetConnection, self._conn)
        if named_id is None:
            # On a connection whose replies carry the id of their request, a
            # reply without one may be a copy of an earlier reply.
            return not conn.echoes_request_ids
        conn.echoes_request_ids = True
        return named_id == self._sub.request_id

    def _ended(self, token, reply_or_broken: Reply | ExchangeFailure) -> None:
        conn, self._conn = self._conn, None
        tools = self._tools
        now = tools.clock()
        if isinstance(reply_or_broken, Reply):
            reply_info = self._reply_info
            tools.links.record_contact(now)
            tools.crashes.target_answered(self._target_id, now)
            outcome, result = self._classify(reply_or_broken, reply_info, now)
            if reply_info.load is not None:
                tools.policy.selector.reported(
                    self._target_id, reply_info.load, now
                )
            retry_after_s = reply_info.retry_after_s
            result.leaving = reply_info.leaving
            result.rest_s = retry_after_s
            if reply_info.leaving:
                tools.on_leaving(self._target_id, DepartureSource.ANSWER)
            if reply_info.invalid_limits:
                tools.metrics.count(
                    'target_limits_invalid', amount=reply_info.invalid_limits
                )
            target = tools.policy.targets.get(self._target_id)
            if target is not None and reply_or_broken.status != 421:
                tools.limits.record_reply(target, reply_info.limit_per_s)
                if reply_info.warmup_s is not None:
                    tools.policy.cold.on_answer(
                        target, reply_info.warmup_s, now
                    )
        else:
            tools.metrics.count('target_breaks', reply_or_broken.value)
            if reply_or_broken in _SIZE_LIMIT_BREAKS and conn is not None:
                self._log_dropped_reply(conn, reply_or_broken)
            outcome, end = _FAILURES[reply_or_broken]
            if (
                reply_or_broken is ExchangeFailure.ABANDONED
                and now >= self._sub.deadline_at
            ):
                outcome = Outcome.TIMEOUT
            result = Result(end)
            retry_after_s = 0.0
        tools.policy.selector.ended(
            token, outcome, now, retry_after_s, tools.links.is_doubtful
        )
        if isinstance(reply_or_broken, ExchangeFailure):
            self._report_possible_crash(reply_or_broken, now)
        elif 200 <= reply_or_broken.status < 300 and outcome is Outcome.OK:
            tools.crashes.target_survived(
                self._sub.identity, self._service(), now
            )
        self._on_result(result)

    def _log_dropped_reply(
        self, conn: TargetConnection, broken: ExchangeFailure
    ) -> None:
        excess = (
            ExceededLimit.NODE
            if conn.exceeded_limit is None
            else conn.exceeded_limit
        )
        self._tools.metrics.count('messages_cut', excess.value)
        logs.log_event(
            'target_cut',
            request=self._sub.request_id,
            target=self._target_id,
            how=broken.value,
            bound=excess.value,
            received=conn.received_bytes,
        )

    def _service(self) -> ServiceName:
        target = self._tools.policy.targets.get(self._target_id)
        return target.service if target is not None else ServiceName('')

    def _report_possible_crash(self, how: ExchangeFailure, now: float) -> None:
        is_silent = (
            self._sub.sees_whole_request
            and how is ExchangeFailure.ABANDONED
            and now - self._sent_at >= SILENT_AFTER_S
        )
        selector = self._tools.policy.selector
        if is_silent and selector.answered_since(
            self._target_id, self._sent_at
        ):
            return
        if is_silent or how in (ExchangeFailure.RESET, ExchangeFailure.CLOSED):
            sub = self._sub
            self._tools.crashes.report_loss(
                TargetLoss(
                    sub.identity,
                    sub.request_id,
                    self._target_id,
                    self._service(),
                    how,
                    self._sent_at,
                    now,
                    sub.on_trial,
                )
            )

    def _classify(
        self, reply: Reply, reply_info: ReplyHeaders, now: float
    ) -> tuple[Outcome, Result]:
        metrics = self._tools.metrics
        if reply_info.not_run:
            if reply.status == 421:
                self._tools.policy.targets.mark_registration_gone(
                    self._target_id, now
                )
                end, outcome = SubRequestFailure.MISDIRECTED, Outcome.DRAINING
            else:
                end, outcome = SubRequestFailure.NOT_RUN, Outcome.SHED
            metrics.count('target_refusals', end.value)
            return outcome, Result(end)
        is_success = 200 <= reply.status < 300
        if is_success and (
            reply_info.signature is None or reply_info.is_encoded
        ):
            metrics.count('target_failures', 'unsigned')
            return Outcome.ERROR, Result(SubRequestFailure.FAILED)
        if is_success:
            return Outcome.OK, Result(None, reply, reply_info.signature)
        metrics.count('target_failures', str(reply.status))
        if self._sub.is_shard:
            return Outcome.ERROR, Result(SubRequestFailure.FAILED)
        is_final = is_final_status(reply.status)
        outcome = Outcome.OK if is_final else Outcome.ERROR
        return outcome, Result(None, reply, reply_info.signature)


def is_final_status(status: int) -> bool:
    """Return True if no other target is tried after a reply of this status.

    Another target would most likely reply with the same status.
    """
    return status < 500 and status not in (408, 421, 429)


_SIZE_LIMIT_BREAKS = (ExchangeFailure.TOO_LARGE, ExchangeFailure.NO_MEMORY)
_FAILURES = {
    ExchangeFailure.NOT_SENT: (
        Outcome.CONNECT_FAILED,
        SubRequestFailure.NOT_SENT,
    ),
    ExchangeFailure.RESET: (Outcome.BROKEN, SubRequestFailure.BROKEN),
    ExchangeFailure.CLOSED: (Outcome.BROKEN, SubRequestFailure.BROKEN),
    ExchangeFailure.NOT_HTTP: (Outcome.BROKEN, SubRequestFailure.FAILED),
    ExchangeFailure.TOO_LARGE: (Outcome.BROKEN, SubRequestFailure.FAILED),
    ExchangeFailure.NO_MEMORY: (Outcome.CANCELLED, SubRequestFailure.FAILED),
    ExchangeFailure.ABANDONED: (Outcome.CANCELLED, SubRequestFailure.FAILED),
}
