"""Carry one sub-request to a target and say how it ended."""

from __future__ import annotations

import functools
import typing

import msgspec

from .. import logs
from ..metrics import Metrics
from ..types import Clock
from ..types import Outcome
from ..types import RequestId
from ..types import ServiceName
from ..types import TargetId
from .attempts import End
from .attempts import View
from .byte_limits import Excess
from .byte_limits import MessageLimits
from .byte_limits import REPLY_LIMITS
from .choice import SILENT_AFTER_S
from .crashes import Crashes
from .crashes import Identity
from .crashes import Lost
from .pools import IDLE_S
from .pools import Pools
from .routes import RouteName
from .target_connection import Broken
from .target_connection import Reply
from .target_connection import TargetConnection
from .targets import Source
from .wire import Told
from .wire import Wire

# A request that runs once never rides on a connection idle for longer, as
# the target may just be closing it.
ONCE_MAX_IDLE_S = 1.0
# A target may go on this long after nobody waits for it, so that work that
# is nearly done ends and its connection is kept.
GONE_S = 0.25
# A target is given this long beyond the deadline that it was told.
OVERRUN_S = 0.3


class Tools(msgspec.Struct):
    """Hold what every sub-request needs."""

    wire: Wire
    view: View
    pools: Pools
    crashes: Crashes
    metrics: Metrics
    clock: Clock
    on_leaving: typing.Callable[[TargetId, Source], None] = (
        lambda target_id, source: None
    )


class SubRequest(msgspec.Struct):
    """Hold what is asked of a target.

    head and the body of identity are the request's bytes that are the same
    for all targets. on_trial tells that the request may crash targets.
    judges_silence is false for a helper: it does not see whether another
    target has answered instead of a silent one.
    """

    request_id: RequestId
    route: RouteName
    method: bytes
    identity: Identity
    head: bytes
    deadline_at: float
    is_shard: bool
    runs_once: bool
    on_trial: bool = False
    judges_silence: bool = True
    limits: MessageLimits = REPLY_LIMITS


class Result(msgspec.Struct):
    """Hold how a sub-request ended; reply is None where end says why.

    leaving and rest_s are the target's own words, as in Told.
    """

    end: End | None
    reply: Reply | None = None
    signature: bytes | None = None
    leaving: bool = False
    rest_s: float = 0.0


OnResult = typing.Callable[[Result], None]


class Exchange:
    """Run one sub-request over a pooled connection."""

    def __init__(
        self,
        tools: Tools,
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
        self._conn: TargetConnection | None = None
        self._sent_at = 0.0
        # What the reply says that was checked last: the one that is ours.
        self._told = Told()

    def begin(self) -> None:
        """Send as soon as there is a connection."""
        self._tools.pools.acquire(
            self._target_id,
            self._connected,
            ONCE_MAX_IDLE_S if self._sub.runs_once else IDLE_S,
        )

    def abandon(self) -> None:
        """Close the connection, so that the target stops."""
        if self._conn is not None:
            self._conn.abandon()

    @property
    def is_running(self) -> bool:
        """Tell whether the target may be running the request."""
        return self._conn is not None

    def _connected(self, conn: TargetConnection | None) -> None:
        if not self._is_wanted():
            return
        if conn is None:
            self._on_result(Result(End.NOT_SENT))
            return
        tools = self._tools
        sub = self._sub
        now = tools.clock()
        if self._is_held() or not tools.view.may_send(self._target_id, now):
            # A target broke under the request, or this one asked for rest or
            # said that it leaves, in the meantime.
            conn.release()
            self._on_result(Result(End.NOT_SENT))
            return
        left_s = max(sub.deadline_at - now, 0.001)
        token = tools.view.choice.sent(self._target_id, sub.route, now)
        self._conn = conn
        self._sent_at = now
        conn.send(
            tools.wire.sub_request(
                sub.head, sub.identity.body, self._target_id, left_s
            ),
            functools.partial(self._ended, token),
            self._is_own,
            sub.method == b'HEAD',
            sub.limits,
        )

    def _is_own(self, reply: Reply) -> bool:
        self._told = self._tools.wire.read_reply(reply)
        told_id = self._told.request_id
        conn = typing.cast(TargetConnection, self._conn)
        if told_id is None:
            # It may be a copy of an earlier reply that has lost its id.
            return not conn.names_requests
        conn.names_requests = True
        return told_id == self._sub.request_id

    def _ended(self, token, what: Reply | Broken) -> None:
        conn, self._conn = self._conn, None
        tools = self._tools
        now = tools.clock()
        if isinstance(what, Reply):
            told = self._told
            tools.crashes.answered(self._target_id, now)
            outcome, result = self._judge(what, told, now)
            if told.load is not None:
                tools.view.choice.reported(self._target_id, told.load, now)
            retry_after_s = told.retry_after_s
            result.leaving = told.leaving
            result.rest_s = retry_after_s
            if told.leaving:
                tools.on_leaving(self._target_id, Source.ANSWER)
        else:
            tools.metrics.count('target_breaks', what.value)
            if what in _CUT and conn is not None:
                self._note_cut(conn, what)
            outcome, end = _BREAKS[what]
            if what is Broken.ABANDONED and now >= self._sub.deadline_at:
                outcome = Outcome.TIMEOUT
            result = Result(end)
            retry_after_s = 0.0
        tools.view.choice.ended(token, outcome, now, retry_after_s)
        if isinstance(what, Broken):
            self._note_loss(what, now)
        elif 200 <= what.status < 300 and outcome is Outcome.OK:
            tools.crashes.survived(self._sub.identity, self._service(), now)
        self._on_result(result)

    def _note_cut(self, conn: TargetConnection, what: Broken) -> None:
        excess = Excess.NODE if conn.excess is None else conn.excess
        self._tools.metrics.count('messages_cut', excess.value)
        logs.change(
            'target_cut',
            request=self._sub.request_id,
            target=self._target_id,
            how=what.value,
            bound=excess.value,
            received=conn.received,
        )

    def _service(self) -> ServiceName:
        target = self._tools.view.targets.get(self._target_id)
        return target.service if target is not None else ServiceName('')

    def _note_loss(self, how: Broken, now: float) -> None:
        is_silent = (
            self._sub.judges_silence
            and how is Broken.ABANDONED
            and now - self._sent_at >= SILENT_AFTER_S
        )
        choice = self._tools.view.choice
        if is_silent and choice.answered_since(self._target_id, self._sent_at):
            return
        if is_silent or how in (Broken.RESET, Broken.CLOSED):
            sub = self._sub
            self._tools.crashes.lost(
                Lost(
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

    def _judge(
        self, reply: Reply, told: Told, now: float
    ) -> tuple[Outcome, Result]:
        metrics = self._tools.metrics
        if told.not_run:
            if reply.status == 421:
                self._tools.view.targets.lapse(self._target_id, now)
                end, outcome = End.MISDIRECTED, Outcome.DRAINING
            else:
                end, outcome = End.NOT_RUN, Outcome.SHED
            metrics.count('target_refusals', end.value)
            return outcome, Result(end)
        is_success = 200 <= reply.status < 300
        if is_success and (told.signature is None or told.is_encoded):
            metrics.count('target_failures', 'unsigned')
            return Outcome.ERROR, Result(End.FAILED)
        if is_success:
            return Outcome.OK, Result(None, reply, told.signature)
        metrics.count('target_failures', str(reply.status))
        if self._sub.is_shard:
            return Outcome.ERROR, Result(End.FAILED)
        is_final = is_final_status(reply.status)
        outcome = Outcome.OK if is_final else Outcome.ERROR
        return outcome, Result(None, reply, told.signature)


def is_final_status(status: int) -> bool:
    """Tell whether another target would hardly answer otherwise."""
    return status < 500 and status not in (408, 421, 429)


_CUT = (Broken.TOO_LARGE, Broken.NO_MEMORY)
_BREAKS = {
    Broken.NOT_SENT: (Outcome.CONNECT_FAILED, End.NOT_SENT),
    Broken.RESET: (Outcome.BROKEN, End.BROKEN),
    Broken.CLOSED: (Outcome.BROKEN, End.BROKEN),
    Broken.NOT_HTTP: (Outcome.BROKEN, End.FAILED),
    Broken.TOO_LARGE: (Outcome.BROKEN, End.FAILED),
    Broken.NO_MEMORY: (Outcome.CANCELLED, End.FAILED),
    Broken.ABANDONED: (Outcome.CANCELLED, End.FAILED),
}
