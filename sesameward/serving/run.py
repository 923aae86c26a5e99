"""Send the sub-requests for a caller's request and answer the caller."""

from __future__ import annotations

import asyncio
import typing

import msgspec

from .. import logs
from ..admission.control import End
from ..types import NodeId
from ..types import ServiceName
from .attempts import Send
from .attempts import SendReason
from .attempts import SubRequestFailure
from .byte_limits import MessageLimits
from .byte_limits import part_limits
from .byte_limits import REPLY_LIMITS
from .crashes import RequestIdentity
from .deps import Deps
from .exchange import CANCEL_GRACE_S
from .exchange import DEADLINE_GRACE_S
from .exchange import Result
from .exchange import SubRequest
from .exchange import SubRequestExchange
from .gather import Gather
from .http_server import Answer
from .http_server import answer_fault
from .http_server import record_caller_gone
from .http_server import Request
from .http_server import Responder
from .relay import Relay
from .routes import OrganisationName
from .routes import Repeat
from .routes import Route
from .routes import Shards
from .routes import Version
from .wire import RequestHeaders


class Arrival(msgspec.Struct):
    """Hold a caller's request with its route and the responder to answer it.

    version is the version of the configuration that defines the route. The
    priority of the route is that of the request's organisation, if it has one
    of its own; organisation is None if the request has none. If
    on_trial is True, the request is suspected of crashing targets, so it is
    sent to one target first. service is the one that the request was admitted
    for, if it needs a single one. on_end is called when the request ends.
    """

    req: Request
    asked: RequestHeaders
    route: Route
    version: Version
    responder: Responder
    identity: RequestIdentity
    on_trial: bool = False
    organisation: OrganisationName | None = None
    service: ServiceName | None = None
    on_end: typing.Callable[[End], None] = lambda end: None

    @property
    def priority(self) -> int:
        """Return the request's priority; 0 is the most urgent."""
        return self.route.priority

    @property
    def deadline_at(self) -> float:
        """Return when the request must be answered at the latest."""
        timeout_s = self.asked.caller_timeout_s
        if timeout_s is None or timeout_s > self.route.timeout_s:
            timeout_s = self.route.timeout_s
        return self.req.arrived_at + timeout_s

    @property
    def share_group(self) -> str:
        """Return whose fair share of the capacity the request uses."""
        return self.organisation or self.route.name


class Run:
    """Send the sub-requests that a plan decides on and answer the caller.

    The plan is a Gather (query over shards) or a Relay (request to one
    service). Subclasses pass the results of the sub-requests to the plan, and
    make the answer when the plan ends the request.
    """

    _plan: Gather | Relay

    def __init__(self, deps: Deps, arrival: Arrival):
        req, asked, route = arrival.req, arrival.asked, arrival.route
        self._deps = deps
        self._tools = deps.tools
        self._req = req
        self._asked = asked
        self._route = route
        self._responder = arrival.responder
        self._version = arrival.version
        self._organisation_field = (
            {}
            if arrival.organisation is None
            else {'organisation': arrival.organisation}
        )
        # The exchanges without a result, by the order of their start.
        self._exchanges: dict[int, SubRequestExchange] = {}
        self._exchange_count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._is_over = False
        self._repeats: list[str] = []
        self._failures: list[str] = []
        self._deadline_at = arrival.deadline_at
        self._on_end = arrival.on_end
        self._was_shed = False
        self._sub = SubRequest(
            asked.request_id,
            route.name,
            req.method,
            arrival.identity,
            asked.head,
            self._deadline_at,
            arrival.priority,
            isinstance(route.destination, Shards),
            route.repeat is Repeat.ONCE,
            arrival.on_trial,
            limits=_reply_limits(route),
            share_group=arrival.share_group,
        )
        self._responder.on_gone = self._on_caller_disconnect

    def start(self, now: float) -> None:
        """Send the first sub-requests; start the hedge and deadline timer."""
        self._perform(self._plan.start(now))
        self._schedule()

    # Sub-requests and their results.

    def _perform(self, actions: typing.Iterable) -> None:
        for action in actions:
            if isinstance(action, Send):
                if action.reason is not SendReason.FIRST:
                    self._record_repeat(action)
                self._send(action)
            elif not self._is_over:
                self._is_over = True
                self._finish(action)

    def _record_repeat(self, send: Send) -> None:
        self._tools.metrics.count('sub_requests', send.reason.value)
        self._repeats.append(f'{send.reason.value}:{send.target_id}')

    def _record_failure(
        self,
        send: Send,
        end: SubRequestFailure | None,
        helper: NodeId | None = None,
    ) -> SubRequestFailure:
        end = end or SubRequestFailure.FAILED
        self._was_shed |= end is SubRequestFailure.NOT_RUN
        through = '' if helper is None else f'@{helper}'
        self._failures.append(f'{end.value}:{send.target_id}{through}')
        return end

    def _send(self, send: Send) -> None:
        # The exchange must not refer to itself, or it would stay until the
        # garbage collector finds it.
        number = self._exchange_count = self._exchange_count + 1
        exchange = SubRequestExchange(
            self._tools,
            self._sub,
            send.target_id,
            lambda: self._needs_result(send),
            lambda result: self._on_exchange_end(send, number, result),
            lambda: self._is_held(send),
        )
        self._exchanges[number] = exchange
        exchange.start()

    def _needs_result(self, send: Send) -> bool:
        return not self._is_over

    def _is_held(self, send: Send) -> bool:
        """Return True if a sub-request must not be sent at present."""
        return False

    def _on_exchange_end(
        self, send: Send, number: int, result: Result
    ) -> None:
        self._exchanges.pop(number, None)
        self._perform(self._apply_result(send, result, self._tools.clock()))

    def _apply_result(self, send: Send, result: Result, now: float) -> list:
        raise NotImplementedError

    def _finish(self, action: object) -> None:
        raise NotImplementedError

    # Timers for hedges and the deadline.

    def _schedule(self) -> None:
        if self._is_over:
            return
        at = self._plan.next_timer_at(self._tools.clock())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(at, self._on_timer)

    def _on_timer(self) -> None:
        try:
            self._perform(self._plan.on_timer(self._tools.clock()))
        except Exception as exc:
            # Nothing else ends a request whose targets don't reply.
            answer_fault(self._tools.metrics, exc, self._req, self._responder)
            if self in self._deps.runs:
                self._is_over = True
                self._release()
            return
        self._schedule()

    # Answer to the caller, and clean-up.

    def _respond(self, answer: Answer, ending: str, **fields: object) -> None:
        tools = self._tools
        took_s = tools.clock() - self._req.arrived_at
        tools.metrics.count('answers', f'{ending}:{answer.status}')
        tools.metrics.observe('request_s', self._route.name, took_s)
        logs.log_event(
            'answer',
            request=self._asked.request_id,
            route=self._route.name,
            version=self._version,
            **self._organisation_field,
            ending=ending,
            status=answer.status,
            took_ms=round(took_s * 1_000, 2),
            repeats=self._repeats,
            failures=self._failures,
            fresh=self._req.is_first_on_connection,
            **fields,
        )
        self._responder.send(answer)
        self._release(answer.status < 500)

    def _release(self, was_served: bool = False) -> None:
        self._deps.runs.discard(self)
        match was_served, self._was_shed:
            case True, False:
                self._on_end(End.SERVED)
            case False, True:
                self._on_end(End.REFUSED)
            case _:
                self._on_end(End.OTHER)
        if self._sub.on_trial:
            self._tools.crashes.trial_ended(self._sub.identity)
        if self._timer is not None:
            self._timer.cancel()
        if self._exchanges:
            at = self._deadline_at + DEADLINE_GRACE_S
            asyncio.get_running_loop().call_at(at, self._abandon)

    def _on_caller_disconnect(self) -> None:
        if self._is_over:
            return
        self._is_over = True
        record_caller_gone(
            self._tools.metrics,
            self._asked.request_id,
            self._route.name,
            sum(one.is_running for one in self._exchanges.values()),
        )
        self._release()
        if self._exchanges and self._route.repeat is Repeat.SAFE:
            asyncio.get_running_loop().call_later(
                CANCEL_GRACE_S, self._abandon
            )

    def _abandon(self) -> None:
        for exchange in tuple(self._exchanges.values()):
            exchange.abandon()
        self._exchanges.clear()


def _reply_limits(route: Route) -> MessageLimits:
    match route.destination:
        case Shards(top_k=top_k):
            return part_limits(top_k)
        case _:
            return REPLY_LIMITS


def identity_of(req: Request) -> RequestIdentity:
    """Return what equal requests agree in: method, host, path and body.

    The path includes the query string.
    """
    subject = b'%s %s%s' % (req.method, req.host.encode(), req.target)
    return RequestIdentity(subject, req.body)
