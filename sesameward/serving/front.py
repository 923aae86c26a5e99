"""Take one request from its arrival to its answer."""

from __future__ import annotations

import asyncio
import functools
import typing

import msgspec

from . import gather
from . import relay
from . import routes
from . import topk
from .. import logs
from ..metrics import Metrics
from ..types import Clock
from ..types import Outcome
from ..types import ServiceName
from ..types import TargetId
from .attempts import AttemptNo
from .attempts import End
from .attempts import Send
from .attempts import View
from .choice import Token
from .crashes import Crashes
from .http_server import Answer
from .http_server import Request
from .http_server import Responder
from .pools import IDLE_S
from .pools import Pools
from .splits import Splits
from .target_connection import Broken
from .target_connection import Reply
from .target_connection import TargetConnection
from .wire import Asked
from .wire import Told
from .wire import Wire

# One way between callers and this node, at most; both deployments' pages
# name 1 and 3 ms.
CALLER_S = 0.003
# From the decision to answer until the last byte has left.
FINISH_S = 0.003
# A target may go on this long after its caller left, so that work that is
# nearly done ends and its connection is kept.
GONE_S = 0.25
# A target is given this long beyond the deadline that it was told.
OVERRUN_S = 0.3
# A request that runs once never rides on a connection idle for longer, as
# the target may just be closing it.
ONCE_MAX_IDLE_S = 1.0
# A caller that was refused comes back after about this time, spread so that
# refused callers don't return together.
RETRY_S = 0.3
RETRY_SPREAD = 1.0
# How long a node relies on its routes for saying that there is none.
ROUTES_FRESH_S = 2.5

_RETRY_AFTER = b'Retry-After'


class Beliefs(typing.Protocol):
    """Hold what a node believes of the configuration."""

    @property
    def table(self) -> routes.RouteTable | None:
        """Return the routes in force."""

    def age_s(self, now: float) -> float:
        """Return how long ago the routes were known to be the newest."""


class Deps(msgspec.Struct):
    """Hold what every request needs."""

    wire: Wire
    view: View
    pools: Pools
    splits: Splits
    crashes: Crashes
    metrics: Metrics
    clock: Clock
    random: typing.Callable[[], float]


class Front:
    """Pass each request through the filters and start its run."""

    def __init__(self, deps: Deps, beliefs: Beliefs):
        self._deps = deps
        self._beliefs = beliefs
        self.runs: set[_Run] = set()

    def handle(self, req: Request, responder: Responder) -> None:
        """Answer a request, now or later."""
        deps = self._deps
        now = deps.clock()
        table = self._beliefs.table
        if table is None:
            self._refuse(req, responder, 503, 'no_configuration')
            return
        asked = deps.wire.read_request(req)
        if asked is None:
            self._refuse(req, responder, 400, 'no_request_id')
            return
        route = table.find(req.host, req.path)
        if route is None:
            fresh = self._beliefs.age_s(now) <= ROUTES_FRESH_S
            status = 404 if fresh else 503
            self._refuse(req, responder, status, 'no_route', asked)
            return
        quarantine_s = deps.crashes.refused_s(req, now)
        if quarantine_s > 0.0:
            self._refuse(
                req, responder, 503, 'quarantined', asked, quarantine_s
            )
            return
        self._begin(req, asked, route, table, responder, now)

    def _begin(
        self,
        req: Request,
        asked: Asked,
        route: routes.Route,
        table: routes.RouteTable,
        responder: Responder,
        now: float,
    ) -> None:
        match route.destination:
            case routes.Shards():
                run: _Run = _GatherRun(self, req, asked, route, responder)
            case routes.Split() as split:
                service = self._deps.splits.pick(route.name, split)
                run = _RelayRun(self, req, asked, route, responder, service)
            case routes.OneService(service):
                run = _RelayRun(self, req, asked, route, responder, service)
        run.version = table.version
        self.runs.add(run)
        run.begin(now)

    def _refuse(
        self,
        req: Request,
        responder: Responder,
        status: int,
        reason: str,
        asked: Asked | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        deps = self._deps
        deps.metrics.count('refused', reason)
        logs.change(
            'refused',
            request=asked.request_id if asked else None,
            path=req.path,
            status=status,
            reason=reason,
            routes_age_s=round(self._beliefs.age_s(deps.clock()), 3),
        )
        answer = Answer(status)
        if status == 503:
            self.add_retry_after(answer, retry_after_s)
        responder.send(answer)

    def add_retry_after(
        self, answer: Answer, retry_after_s: float | None = None
    ) -> None:
        """Tell the caller when to come back."""
        if retry_after_s is None:
            retry_after_s = RETRY_S * (
                1.0 + RETRY_SPREAD * self._deps.random()
            )
        answer.headers.append((_RETRY_AFTER, b'%.2f' % retry_after_s))

    @property
    def deps(self) -> Deps:
        """Return what every request needs."""
        return self._deps


class _Run:
    """Carry the sends of one request to targets and the ends back."""

    def __init__(
        self,
        front: Front,
        req: Request,
        asked: Asked,
        route: routes.Route,
        responder: Responder,
    ):
        self._front = front
        self._deps = front.deps
        self._req = req
        self._asked = asked
        self._route = route
        self._responder = responder
        self._live: dict[AttemptNo, TargetConnection] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._is_over = False
        self._sends: list[str] = []
        self.version = routes.Version(0)
        patience_s = asked.patience_s
        if patience_s is None or patience_s > route.timeout_s:
            patience_s = route.timeout_s
        self._deadline_at = req.arrived_at + patience_s
        responder.on_gone = self._on_gone

    # What the kinds of request differ in.

    _plan: gather.Gather | relay.Relay

    def begin(self, now: float) -> None:
        """Send the first sub-requests."""
        self._act(self._plan.start(now))
        self._schedule()

    def _take_reply(
        self, send: Send, reply: Reply, told: Told, now: float
    ) -> tuple[Outcome, list]:
        raise NotImplementedError

    def _take_end(self, send: Send, end: End, now: float) -> list:
        raise NotImplementedError

    def _finish(self, action: object) -> None:
        raise NotImplementedError

    # Sends and their ends.

    def _act(self, actions: typing.Iterable) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif not self._is_over:
                self._is_over = True
                self._finish(action)

    def _send(self, send: Send) -> None:
        if send.why.value != 'first':
            self._deps.metrics.count('sub_requests', send.why.value)
            self._sends.append(f'{send.why.value}:{send.target_id}')
        once = self._route.repeat is routes.Repeat.ONCE
        self._deps.pools.acquire(
            send.target_id,
            functools.partial(self._connected, send),
            ONCE_MAX_IDLE_S if once else IDLE_S,
        )

    def _connected(self, send: Send, conn: TargetConnection | None) -> None:
        if self._is_over or not self._wants(send):
            return
        deps = self._deps
        now = deps.clock()
        if conn is None:
            self._act(self._take_end(send, End.NOT_SENT, now))
            return
        left_s = self._deadline_at - now
        data = deps.wire.sub_request(
            self._req, self._asked, send.target_id, max(left_s, 0.001)
        )
        token = deps.view.choice.sent(send.target_id, self._route.name, now)
        self._live[send.attempt] = conn
        conn.send(
            data,
            functools.partial(self._ended, send, token),
            self._is_own,
            self._req.method == b'HEAD',
        )

    def _wants(self, send: Send) -> bool:
        return True

    def _is_own(self, reply: Reply) -> bool:
        told_id = self._deps.wire.read_reply(reply).request_id
        return told_id is None or told_id == self._asked.request_id

    def _ended(self, send: Send, token: Token, what: Reply | Broken) -> None:
        deps = self._deps
        now = deps.clock()
        self._live.pop(send.attempt, None)
        choice = deps.view.choice
        if isinstance(what, Reply):
            told = deps.wire.read_reply(what)
            if told.load is not None:
                choice.reported(send.target_id, told.load, now)
            outcome, actions = self._judge(send, what, told, now)
            choice.ended(token, outcome, now, told.retry_after_s)
            if outcome is Outcome.OK:
                deps.crashes.succeeded(self._req, send.target_id, now)
        else:
            deps.metrics.count('target_breaks', what.value)
            outcome, end = _BREAKS[what]
            if what is Broken.ABANDONED and now >= self._deadline_at:
                outcome = Outcome.TIMEOUT
            choice.ended(token, outcome, now)
            if end is End.BROKEN:
                deps.crashes.broke(self._req, send.target_id, now)
            actions = self._take_end(send, end, now)
        self._act(actions)

    def _judge(
        self, send: Send, reply: Reply, told: Told, now: float
    ) -> tuple[Outcome, list]:
        if told.not_run:
            if reply.status == 421:
                self._deps.view.targets.lapse(send.target_id, now)
                end, outcome = End.MISDIRECTED, Outcome.DRAINING
            else:
                end, outcome = End.NOT_RUN, Outcome.SHED
            self._deps.metrics.count('target_refusals', end.value)
            return outcome, self._take_end(send, end, now)
        return self._take_reply(send, reply, told, now)

    # Time.

    def _schedule(self) -> None:
        if self._is_over:
            return
        at = self._plan.next_at(self._deps.clock())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(at, self._tick)

    def _tick(self) -> None:
        self._act(self._plan.tick(self._deps.clock()))
        self._schedule()

    # The end.

    def _respond(self, answer: Answer, ending: str, **fields: object) -> None:
        now = self._deps.clock()
        took_s = now - self._req.arrived_at
        self._deps.metrics.count('answers', f'{ending}:{answer.status}')
        self._deps.metrics.observe('request_s', self._route.name, took_s)
        logs.change(
            'answer',
            request=self._asked.request_id,
            route=self._route.name,
            version=self.version,
            ending=ending,
            status=answer.status,
            took_ms=round(took_s * 1_000, 2),
            repeats=self._sends,
            **fields,
        )
        self._responder.send(answer)
        self._leave()

    def _leave(self) -> None:
        self._front.runs.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._live:
            at = self._deadline_at + OVERRUN_S
            asyncio.get_running_loop().call_at(at, self._abandon)

    def _on_gone(self) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._deps.metrics.count('callers_gone')
        logs.change(
            'caller_gone',
            request=self._asked.request_id,
            route=self._route.name,
            running=len(self._live),
        )
        self._leave()
        if self._live and self._route.repeat is routes.Repeat.SAFE:
            asyncio.get_running_loop().call_later(GONE_S, self._abandon)

    def _abandon(self) -> None:
        for conn in tuple(self._live.values()):
            conn.abandon()


_BREAKS = {
    Broken.NOT_SENT: (Outcome.CONNECT_FAILED, End.NOT_SENT),
    Broken.RESET: (Outcome.BROKEN, End.BROKEN),
    Broken.CLOSED: (Outcome.BROKEN, End.BROKEN),
    Broken.NOT_HTTP: (Outcome.BROKEN, End.FAILED),
    Broken.TOO_LARGE: (Outcome.ERROR, End.FAILED),
    Broken.ABANDONED: (Outcome.CANCELLED, End.FAILED),
}


class _GatherRun(_Run):
    """Ask all shards and merge what they return."""

    def __init__(
        self,
        front: Front,
        req: Request,
        asked: Asked,
        route: routes.Route,
        responder: Responder,
    ):
        super().__init__(front, req, asked, route, responder)
        self._shards = typing.cast(routes.Shards, route.destination)
        self._parts: list[tuple[bytes, bytes]] = []
        ways = 4 if req.is_first else 2
        cutoff_s = route.objective_s - ways * CALLER_S - FINISH_S
        self._plan = gather.Gather(
            route,
            self._deps.view,
            min(req.arrived_at + cutoff_s, self._deadline_at),
            self._deadline_at,
        )

    def _wants(self, send: Send) -> bool:
        return self._plan.uses(send.shard)

    def _take_reply(
        self, send: Send, reply: Reply, told: Told, now: float
    ) -> tuple[Outcome, list]:
        if not 200 <= reply.status < 300 or not _is_whole(told):
            self._deps.metrics.count('target_failures', str(reply.status))
            actions = self._take_end(send, End.FAILED, now)
            return Outcome.ERROR, actions
        if self._plan.uses(send.shard):
            self._parts.append((told.signature, reply.body))
        return Outcome.OK, self._plan.replied(send.shard, send.attempt, now)

    def _take_end(self, send: Send, end: End, now: float) -> list:
        return self._plan.failed(send.shard, send.attempt, end, now)

    def _finish(self, action: gather.Finish) -> None:
        asked = len(self._shards.services)
        missing = asked - len(self._parts)
        match action.ending:
            case gather.Ending.WHOLE | gather.Ending.PARTIAL:
                body = topk.merge(
                    (part for _, part in self._parts), self._shards.top_k
                )
                signatures = [signature for signature, _ in self._parts]
                answer = self._deps.wire.merged_answer(
                    signatures, missing, body
                )
            case _:
                status = 504 if action.was_run else 503
                answer = Answer(status)
                self._front.add_retry_after(answer)
        self._respond(
            answer,
            action.ending.value,
            shards=asked,
            missing=[self._shards.services[at] for at in self._plan.missing()],
        )


class _RelayRun(_Run):
    """Ask one target and pass its answer on."""

    def __init__(
        self,
        front: Front,
        req: Request,
        asked: Asked,
        route: routes.Route,
        responder: Responder,
        service: ServiceName,
    ):
        super().__init__(front, req, asked, route, responder)
        self._reply: Reply | None = None
        self._target_id: TargetId | None = None
        self._plan = relay.Relay(
            route, service, self._deps.view, self._deadline_at
        )

    def _take_reply(
        self, send: Send, reply: Reply, told: Told, now: float
    ) -> tuple[Outcome, list]:
        is_success = 200 <= reply.status < 300
        if is_success and not _is_whole(told):
            self._deps.metrics.count('target_failures', 'unsigned')
            end = End.FAILED
            return Outcome.ERROR, self._take_end(send, end, now)
        is_final = reply.status < 500 and reply.status not in (408, 421, 429)
        if not self._is_over:
            self._reply = reply
            self._target_id = send.target_id
        outcome = Outcome.OK if is_final else Outcome.ERROR
        if not is_final:
            self._deps.metrics.count('target_failures', str(reply.status))
        return outcome, self._plan.replied(send.attempt, is_final, now)

    def _take_end(self, send: Send, end: End, now: float) -> list:
        return self._plan.failed(send.attempt, end, now)

    def _finish(self, action: relay.Finish) -> None:
        match action.verdict:
            case relay.Verdict.REPLY:
                answer = self._passed_on()
            case relay.Verdict.REFUSED:
                answer = Answer(503)
                self._front.add_retry_after(answer)
            case relay.Verdict.TIMEOUT:
                answer = Answer(504)
            case _:
                answer = Answer(502)
                self._front.add_retry_after(answer)
        self._respond(
            answer,
            action.verdict.value,
            service=self._plan.service,
            target=self._target_id,
        )

    def _passed_on(self) -> Answer:
        reply = typing.cast(Reply, self._reply)
        if reply.status in (408, 421, 429, 503):
            # The target did not say that it never ran the request, and these
            # would promise it.
            return Answer(502)
        return self._deps.wire.reply_answer(reply)


def _is_whole(told: Told) -> bool:
    return told.signature is not None and not told.is_encoded
