"""Exchange limits and permits with the coordinator, over gRPC.

The decisions are in target_limits; this module makes the calls that it orders.
"""

from __future__ import annotations

import asyncio
import functools
import math
import time
import typing

from grpclib import client
from grpclib import const
from grpclib.exceptions import StreamTerminatedError
from grpclib import server

from .. import grpc_errors
from .. import logs
from .. import rendezvous
from ..background import call_all
from ..background import log_task_failure
from ..channels import Channel
from ..channels import Channels
from ..messages import Member
from ..messages import Rumor
from ..messages import Urgency
from ..metrics import Metrics
from ..types import Clock
from ..types import NodeId
from ..types import TargetId
from .coordinator_choice import CALL_TIMEOUT_S
from .limit_messages import LimitAnswer
from .limit_messages import LimitRequest
from .target_limits import ANNOUNCEMENT_TTL_S
from .target_limits import Call
from .target_limits import Denial
from .target_limits import ENTRUST_INTERVAL_S
from .target_limits import Permit
from .target_limits import SharedLimits
from .target_limits import TargetLimits
from .targets import Target

# What changes within this time is sent to the coordinator in one call.
CALL_DELAY_S = 0.02
# Nodes that lose the connection to the coordinator call another one spread
# over this time for each node, so that it does not get hundreds of new
# connections at once. Requests that need permits don't wait for that.
SPREAD_PER_NODE_S = 0.002
# Number of ended coordinators after which a request gets no permit, or the
# periodic call is left to the next interval.
MAX_ENDED_COORDINATORS = 3

# A request that has waited this long for the coordinator's answer is admitted
# without it, if that is possible. Queries lose most of their value after a
# quarter of their objective, which is 57 ms at least.
UNANSWERED_S = 0.02

TOPIC = 'limits'

MAX_WEIGHT = float(2 ** (8 * rendezvous.WEIGHT_BYTES))

OnPermit = typing.Callable[[Permit | None], None]


class LimitKind(typing.NamedTuple):
    """What differs between kinds of limits: names, and the call interval.

    method is the gRPC method of the coordinator, permits_metric counts the
    permits, and coordinator_event is logged when the coordinator changes.
    """

    method: str
    permits_metric: str
    coordinator_event: str
    entrust_interval_s: float


TARGET_LIMITS = LimitKind(
    '/sesameward.Peer/Limits',
    'permits',
    'limit_coordinator',
    ENTRUST_INTERVAL_S,
)


class _Waiting(typing.NamedTuple):
    """One request that waits for a permit."""

    target_id: TargetId
    priority: int
    on_permit: OnPermit


class LimitHandler:
    """Answer the calls of nodes for which this node is the coordinator."""

    def __init__(
        self,
        limits: SharedLimits,
        clock: Clock,
        kind: LimitKind = TARGET_LIMITS,
    ):
        self._limits = limits
        self._method = kind.method
        self._clock = clock

    def __mapping__(self) -> dict[str, const.Handler]:
        """Return the methods for grpclib's Server."""
        return {
            self._method: const.Handler(
                self._serve,
                const.Cardinality.UNARY_UNARY,
                LimitRequest,
                LimitAnswer,
            )
        }

    async def _serve(self, stream: server.Stream) -> None:
        request = await stream.recv_message()
        if request is not None:
            answer = self._limits.answer(request, self._clock())
            await stream.send_message(answer)


class PermitExchange:
    """Get permits for requests, and call the coordinator of the limits."""

    def __init__(
        self,
        node: NodeId,
        limits: SharedLimits,
        members: typing.Callable[[], typing.Sequence[Member]],
        publish: typing.Callable[[Rumor], None],
        metrics: Metrics,
        clock: Clock,
        kind: LimitKind = TARGET_LIMITS,
    ):
        self.limits = limits
        self._kind = kind
        self._node = node
        self._members = members
        self._publish = publish
        self._metrics = metrics
        self.clock = clock
        self._channels = Channels(on_lost=self._on_connection_lost)
        # The node that is called, its address, and the time from which on no
        # other address has been called within the time of a lease.
        self._called: tuple[NodeId, tuple[str, int], float] | None = None
        self._waiting: list[_Waiting] = []
        self._announcement_no = 0
        self._call_now = asyncio.Event()

    def acquire(
        self, target_id: TargetId, priority: int, on_permit: OnPermit
    ) -> None:
        """Pass a permit for one request to a target, or None, to on_permit.

        If the coordinator has to be asked, on_permit is called later.
        """
        match self.limits.acquire(target_id, priority, self.clock()):
            case Permit() as permit:
                if permit.expires_at is not None:
                    self._metrics.count(self._kind.permits_metric, 'granted')
                on_permit(permit)
            case Denial.NONE_LEFT:
                self._metrics.count(self._kind.permits_metric, 'denied')
                on_permit(None)
            case Denial.REMOTE:
                if not self._waiting:
                    loop = asyncio.get_running_loop()
                    loop.call_soon(self._send_waiting)
                self._waiting.append(_Waiting(target_id, priority, on_permit))

    def call_soon(self) -> None:
        """Call the coordinator now, as other nodes have become known."""
        self._call_now.set()

    async def run(self) -> None:
        """Call the coordinator periodically while there are limits."""
        while True:
            now = self.clock()
            if self.limits.is_active(now):
                await self._entrust(now)
            try:
                async with asyncio.timeout(self._kind.entrust_interval_s):
                    await self._call_now.wait()
                    await asyncio.sleep(CALL_DELAY_S)
            except TimeoutError:
                continue
            finally:
                self._call_now.clear()

    def on_rumor(self, rumor: Rumor) -> None:
        """Start to call the coordinator, as another node announced."""
        self.limits.on_announcement(rumor.ttl_s, self.clock())
        self._call_now.set()

    def close(self) -> None:
        """Close the connections to coordinators, and be none any more.

        Other nodes take a closed port as proof that this is so.
        """
        self._channels.close()
        self.limits.close()

    async def _entrust(self, now: float) -> None:
        for _ in range(MAX_ENDED_COORDINATORS):
            coordinator = self.limits.coordinator
            call = self.limits.next_call(self._members(), now)
            self._log_coordinator(coordinator)
            if self.limits.announcement_due(now):
                self._announce()
            if call is None or await self._call(call):
                return
            now = self.clock()

    def _log_coordinator(self, before: NodeId) -> None:
        if self.limits.coordinator != before:
            logs.log_event(
                self._kind.coordinator_event,
                coordinator=self.limits.coordinator,
                before=before,
            )

    def _on_connection_lost(self, node: NodeId) -> None:
        if node != self.limits.coordinator:
            return
        nodes = len(self._members())
        # The next coordinator, of the highest weight, is among the first.
        position = 1.0 - rendezvous.weight('limits', self._node) / MAX_WEIGHT
        loop = asyncio.get_running_loop()
        loop.call_later(position * nodes * SPREAD_PER_NODE_S, self.call_soon)

    def _announce(self) -> None:
        # Versions come from the wall clock, so that rumors of a restarted node
        # override those of its former process.
        self._announcement_no = max(
            self._announcement_no + 1, int(time.time() * 1_000)
        )
        self._publish(
            Rumor(
                TOPIC,
                self._node,
                self._announcement_no,
                ttl_s=ANNOUNCEMENT_TTL_S,
                urgency=Urgency.DECISION,
            )
        )

    def _send_waiting(self) -> None:
        """Ask the coordinator for permits for all requests that wait."""
        waiting, self._waiting = self._waiting, []
        waiting.sort(key=lambda one: one.priority)
        task = asyncio.ensure_future(self._request_permits(waiting))
        logs.log_failure(task)

    def _permit_call(self, waiting: list[_Waiting]) -> Call | None:
        counts: dict[tuple[TargetId, int], int] = {}
        for one in waiting:
            key = one.target_id, one.priority
            counts[key] = counts.get(key, 0) + 1
        return self.limits.permit_call(
            [(*key, count) for key, count in counts.items()], self.clock()
        )

    async def _request_permits(self, waiting: list[_Waiting]) -> None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(UNANSWERED_S, self._on_no_answer, waiting)
        try:
            await self._ask_coordinators(waiting)
        except Exception as exc:
            # Without permits the requests end at once; nothing else ends them
            # before their deadlines.
            log_task_failure(self._metrics, self._kind.permits_metric, exc)
        finally:
            timer.cancel()
        call_all(functools.partial(self._end_wait, one) for one in waiting)

    def _end_wait(self, one: _Waiting) -> None:
        permit = self.limits.acquire_waited(
            one.target_id, one.priority, self.clock()
        )
        self._metrics.count(
            self._kind.permits_metric, 'granted' if permit else 'denied'
        )
        one.on_permit(permit)

    def _on_no_answer(self, waiting: list[_Waiting]) -> None:
        """Let requests go on waiting only if nothing else admits them."""
        for one in tuple(waiting):
            permit = self.limits.acquire_unanswered(
                one.target_id, self.clock()
            )
            if permit is not None:
                waiting.remove(one)
                self._metrics.count(self._kind.permits_metric, 'granted')
                one.on_permit(permit)

    async def _ask_coordinators(self, waiting: list[_Waiting]) -> None:
        for _ in range(MAX_ENDED_COORDINATORS):
            call = self._permit_call(waiting)
            if call is None or await self._call(call):
                break
            coordinator = self.limits.coordinator
            self.limits.choose_coordinator(self._members(), self.clock())
            self._log_coordinator(coordinator)

    async def _call(self, call: Call) -> bool:
        """Make a call; return False if the coordinator's process has ended."""
        member = next(
            (m for m in self._members() if m.node == call.coordinator), None
        )
        if member is None or call.coordinator != self.limits.coordinator:
            self.limits.on_failure(call, self.clock())
            return True
        self._record_address(member)
        channel = self._channels.get(member)
        try:
            answer = await self._send(channel, call.request)
        except grpc_errors.LOST as exc:
            # The connection may be silent for good while a new one works.
            self._channels.drop(call.coordinator, channel)
            self._metrics.count('limit_call_errors', type(exc).__name__)
            logs.log_event(
                'limit_call_failed',
                coordinator=call.coordinator,
                error=repr(exc),
            )
            if await self._has_ended(member, exc):
                self.limits.on_ended(call, self.clock())
                return False
            self.limits.on_failure(call, self.clock())
            return True
        self.limits.on_answer(call, answer, self.clock())
        if not answer.is_held:
            self._call_now.set()
        return True

    async def _send(
        self, channel: Channel, request: LimitRequest
    ) -> LimitAnswer:
        method = client.UnaryUnaryMethod(
            channel, self._kind.method, LimitRequest, LimitAnswer
        )
        return await method(request, timeout=CALL_TIMEOUT_S)

    def _record_address(self, member: Member) -> None:
        address = member.host, member.grpc_port
        if self._called is None or self._called[0] != member.node:
            self._called = member.node, address, -math.inf
        elif self._called[1] != address:
            # A process at the former address may still hold the share.
            lease_s = CALL_TIMEOUT_S + self.limits.share_ttl_s
            self._called = member.node, address, self.clock() + lease_s

    async def _has_ended(self, member: Member, exc: Exception) -> bool:
        """Return True if the process that a call was for has proven to end.

        Its system refuses connections then. A process that is paused, or is
        beyond a broken link, does not answer; its calls time out.
        """
        if isinstance(exc, (ConnectionResetError, StreamTerminatedError)):
            # The connection is closed; a new one shows whether the process is.
            channel = self._channels.get(member)
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    await channel.open()
            except grpc_errors.LOST as next_exc:
                self._channels.drop(member.node, channel)
                exc = next_exc
        if not isinstance(exc, ConnectionRefusedError):
            return False
        if self._called is None:
            return False
        node, address, since = self._called
        is_only_address = (node, address) == (
            member.node,
            (member.host, member.grpc_port),
        )
        return is_only_address and self.clock() >= since


class LimitExchange(PermitExchange):
    """Exchange permits for requests to targets that limit their rate."""

    limits: TargetLimits

    def record_reply(self, target: Target, limit: float | None) -> None:
        """Record whether a target's reply named a limit."""
        now = self.clock()
        if self.limits.record_reply(target.id, target.started_ms, limit, now):
            self._call_now.set()
