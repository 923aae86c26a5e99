"""Take one request from its arrival to its answer."""

from __future__ import annotations

import asyncio
import typing

import msgspec

from .. import logs
from . import gather
from ..messages import Member
from . import relay
from ..types import NodeId
from ..types import Outcome
from ..types import ServiceName
from ..types import TargetId
from .attempts import End
from .attempts import Send
from .attempts import Why
from .choice import Token
from .delegate_client import DelegateClient
from .delegation import Ask
from .delegation import AskNo
from .delegation import Delegation
from .delegation import Item
from .delegation import Mark
from .delegation import PartEnd
from .delegation import Parts
from .exchange import Exchange
from .exchange import is_final_status
from .exchange import Result
from .exchange import SubRequest
from .exchange import Tools
from .gather import Gather
from .http_server import Answer
from .http_server import Request
from .http_server import Responder
from .relay import Relay
from .routes import OneService
from .routes import Repeat
from .routes import Route
from .routes import RouteTable
from .routes import Shards
from .routes import Split
from .routes import Version
from .splits import Splits
from .target_connection import Reply
from .topk import Greatest
from .wire import Asked

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
    def table(self) -> RouteTable | None:
        """Return the routes in force."""

    def age_s(self, now: float) -> float:
        """Return how long ago the routes were known to be the newest."""


class Deps(msgspec.Struct):
    """Hold what every request needs."""

    tools: Tools
    delegation: Delegation
    delegates: DelegateClient
    splits: Splits
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
        now = deps.tools.clock()
        table = self._beliefs.table
        asked = deps.tools.wire.read_request(req)
        if asked is None:
            self._refuse(req, responder, 400, 'no_request_id')
            return
        if table is None:
            self._refuse(req, responder, 503, 'no_configuration', asked)
            return
        route = table.find(req.host, req.path)
        if route is None:
            fresh = self._beliefs.age_s(now) <= ROUTES_FRESH_S
            status = 404 if fresh else 503
            self._refuse(req, responder, status, 'no_route', asked)
            return
        quarantine_s = deps.tools.crashes.refused_s(
            subject_of(req), req.body, now
        )
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
        route: Route,
        table: RouteTable,
        responder: Responder,
        now: float,
    ) -> None:
        match route.destination:
            case Shards():
                run: _Run = _GatherRun(self, req, asked, route, responder)
            case Split() as split:
                service = self._deps.splits.pick(route.name, split)
                run = _RelayRun(self, req, asked, route, responder, service)
            case OneService(service):
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
        deps.tools.metrics.count('refused', reason)
        logs.change(
            'refused',
            request=asked.request_id if asked else None,
            path=req.path,
            status=status,
            reason=reason,
            routes_age_s=round(self._beliefs.age_s(deps.tools.clock()), 3),
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

    _plan: Gather | Relay

    def __init__(
        self,
        front: Front,
        req: Request,
        asked: Asked,
        route: Route,
        responder: Responder,
    ):
        self._front = front
        self._deps = front.deps
        self._tools = front.deps.tools
        self._req = req
        self._asked = asked
        self._route = route
        self._responder = responder
        self._live: set[Exchange] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._is_over = False
        self._repeats: list[str] = []
        self._failures: list[str] = []
        self.version = Version(0)
        patience_s = asked.patience_s
        if patience_s is None or patience_s > route.timeout_s:
            patience_s = route.timeout_s
        self._deadline_at = req.arrived_at + patience_s
        self._sub = SubRequest(
            asked.request_id,
            route.name,
            req.method,
            subject_of(req),
            asked.head,
            req.body,
            self._deadline_at,
            isinstance(route.destination, Shards),
            route.repeat is Repeat.ONCE,
        )
        responder.on_gone = self._on_gone

    def begin(self, now: float) -> None:
        """Send the first sub-requests."""
        self._act(self._plan.start(now))
        self._schedule()

    # Sends and their ends.

    def _act(self, actions: typing.Iterable) -> None:
        for action in actions:
            if isinstance(action, Send):
                if action.why is not Why.FIRST:
                    self._note_repeat(action)
                self._send(action)
            elif not self._is_over:
                self._is_over = True
                self._finish(action)

    def _note_repeat(self, send: Send) -> None:
        self._tools.metrics.count('sub_requests', send.why.value)
        self._repeats.append(f'{send.why.value}:{send.target_id}')

    def _note_failure(self, send: Send, end: End | None) -> End:
        end = end or End.FAILED
        self._failures.append(f'{end.value}:{send.target_id}')
        return end

    def _send(self, send: Send) -> None:
        exchange = Exchange(
            self._tools,
            self._sub,
            send.target_id,
            lambda: self._wants(send),
            lambda result: self._took(send, exchange, result),
        )
        self._live.add(exchange)
        exchange.begin()

    def _wants(self, send: Send) -> bool:
        return not self._is_over

    def _took(self, send: Send, exchange: Exchange, result: Result) -> None:
        self._live.discard(exchange)
        self._act(self._take(send, result, self._tools.clock()))

    def _take(self, send: Send, result: Result, now: float) -> list:
        raise NotImplementedError

    def _finish(self, action: object) -> None:
        raise NotImplementedError

    # Time.

    def _schedule(self) -> None:
        if self._is_over:
            return
        at = self._plan.next_at(self._tools.clock())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(at, self._tick)

    def _tick(self) -> None:
        self._act(self._plan.tick(self._tools.clock()))
        self._schedule()

    # The end.

    def _respond(self, answer: Answer, ending: str, **fields: object) -> None:
        tools = self._tools
        took_s = tools.clock() - self._req.arrived_at
        tools.metrics.count('answers', f'{ending}:{answer.status}')
        tools.metrics.observe('request_s', self._route.name, took_s)
        logs.change(
            'answer',
            request=self._asked.request_id,
            route=self._route.name,
            version=self.version,
            ending=ending,
            status=answer.status,
            took_ms=round(took_s * 1_000, 2),
            repeats=self._repeats,
            failures=self._failures,
            fresh=self._req.is_first,
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
        self._tools.metrics.count('callers_gone')
        logs.change(
            'caller_gone',
            request=self._asked.request_id,
            route=self._route.name,
            running=sum(one.is_running for one in self._live),
        )
        self._leave()
        if self._live and self._route.repeat is Repeat.SAFE:
            asyncio.get_running_loop().call_later(GONE_S, self._abandon)

    def _abandon(self) -> None:
        for exchange in tuple(self._live):
            exchange.abandon()
        self._live.clear()


class _OpenAsk:
    """Hold what a helper still owes for one ask."""

    def __init__(self, node: NodeId, no: AskNo):
        self.node = node
        self.no = no
        self.open: dict[int, tuple[Send, Token]] = {}
        self.is_tainted = False


class _GatherRun(_Run):
    """Ask all shards, some through helpers, and merge what they return."""

    def __init__(
        self,
        front: Front,
        req: Request,
        asked: Asked,
        route: Route,
        responder: Responder,
    ):
        super().__init__(front, req, asked, route, responder)
        self._shards = typing.cast(Shards, route.destination)
        self._signatures: list[bytes] = []
        self._greatest = Greatest(self._shards.top_k)
        self._batches: dict[tuple[NodeId, bool], list[Send]] = {}
        self._helpers: dict[NodeId, Member] = {}
        self._asks: dict[AskNo, _OpenAsk] = {}
        ways = 4 if req.is_first else 2
        cutoff_s = route.objective_s - ways * CALLER_S - FINISH_S
        self._plan = Gather(
            route,
            self._tools.view,
            min(req.arrived_at + cutoff_s, self._deadline_at),
            self._deadline_at,
        )

    def _act(self, actions: typing.Iterable) -> None:
        super()._act(actions)
        if self._batches:
            batches, self._batches = self._batches, {}
            for (node, is_first), sends in batches.items():
                self._ask(self._helpers[node], is_first, sends)

    def _send(self, send: Send) -> None:
        if send.why is not Why.FIRST:
            self._mark(send.shard)
        target = self._tools.view.targets.get(send.target_id)
        helper = None
        if target is not None:
            helper = self._deps.delegation.helper(
                target.zone, self._tools.clock()
            )
        if helper is None:
            super()._send(send)
            return
        self._helpers[helper.node] = helper
        key = helper.node, send.why is Why.FIRST
        self._batches.setdefault(key, []).append(send)

    def _wants(self, send: Send) -> bool:
        return self._plan.uses(send.shard)

    def _take(self, send: Send, result: Result, now: float) -> list:
        if result.end is not None or result.reply is None:
            end = self._note_failure(send, result.end)
            return self._plan.failed(send.shard, send.attempt, end, now)
        if self._plan.uses(send.shard):
            self._signatures.append(result.signature or b'')
            self._greatest.add(result.reply.body)
        return self._plan.replied(send.shard, send.attempt, now)

    # Helpers.

    def _ask(self, helper: Member, is_first: bool, sends: list[Send]) -> None:
        if self._is_over:
            return
        tools = self._tools
        now = tools.clock()
        no = self._deps.delegates.next_no()
        ask = self._asks[no] = _OpenAsk(helper.node, no)
        choice = tools.view.choice
        for at, send in enumerate(sends):
            token = choice.sent(send.target_id, self._route.name, now)
            ask.open[at] = send, token
        sub = self._sub
        message = Ask(
            no,
            sub.request_id,
            sub.route,
            sub.method,
            sub.subject,
            sub.head,
            sub.body,
            max(1, int((self._deadline_at - now) * 1_000)),
            self._shards.top_k,
            tuple(Item(at, send.target_id) for at, send in enumerate(sends)),
            is_first,
            self._greatest.floor,
        )
        self._deps.delegates.ask(
            helper, message, lambda parts: self._took_parts(ask, parts)
        )

    def _mark(self, shard: int) -> None:
        """Tell a helper that a shard of its ask is asked elsewhere too."""
        for ask in self._asks.values():
            for at, (send, _) in ask.open.items():
                if send.shard == shard:
                    self._deps.delegates.tell(
                        ask.node, Mark(ask.no, at, self._greatest.floor)
                    )

    def _took_parts(self, ask: _OpenAsk, parts: Parts | None) -> None:
        if parts is None:
            ends = [PartEnd(at, End.FAILED) for at in ask.open]
            self._took_ends(ask, ends, Outcome.CANCELLED)
            return
        filtered = [
            end for end in parts.ends if end.end is None and end.whole is None
        ]
        # Filtered records stand for themselves only beside all the parts
        # that they were compared with.
        if any(not self._is_wanted(ask, end) for end in filtered):
            ask.is_tainted = True
        if filtered and not ask.is_tainted:
            self._greatest.add(parts.records)
        self._took_ends(ask, parts.ends, Outcome.ERROR)

    def _is_wanted(self, ask: _OpenAsk, end: PartEnd) -> bool:
        opened = ask.open.get(end.no)
        return opened is not None and self._plan.uses(opened[0].shard)

    def _took_ends(
        self,
        ask: _OpenAsk,
        ends: typing.Sequence[PartEnd],
        failure: Outcome,
    ) -> None:
        now = self._tools.clock()
        # One of the ends may end the query, but its message counts whole.
        wanted = {end.no for end in ends if self._is_wanted(ask, end)}
        actions: list = []
        for end in ends:
            opened = ask.open.pop(end.no, None)
            if opened is None:
                continue
            send, token = opened
            outcome = Outcome.OK if end.end is None else failure
            self._tools.view.choice.ended(token, outcome, now)
            actions += self._took_end(ask, send, end, end.no in wanted, now)
        if not ask.open:
            self._asks.pop(ask.no, None)
            self._deps.delegates.end(ask.node, ask.no, True)
        self._act(actions)

    def _took_end(
        self,
        ask: _OpenAsk,
        send: Send,
        end: PartEnd,
        is_wanted: bool,
        now: float,
    ) -> list:
        if end.end is not None:
            self._note_failure(send, end.end)
            return self._plan.failed(send.shard, send.attempt, end.end, now)
        if end.whole is None and ask.is_tainted:
            self._tools.metrics.count('parts_unusable')
            return self._plan.failed(send.shard, send.attempt, End.FAILED, now)
        if is_wanted:
            self._signatures.append(end.signature)
            if end.whole is not None:
                self._greatest.add(end.whole)
        return self._plan.replied(send.shard, send.attempt, now)

    def _leave(self) -> None:
        super()._leave()
        now = self._tools.clock()
        for ask in tuple(self._asks.values()):
            for _, token in ask.open.values():
                self._tools.view.choice.ended(token, Outcome.CANCELLED, now)
            self._deps.delegates.end(ask.node, ask.no, False)
        self._asks.clear()

    def _finish(self, action: gather.Finish) -> None:
        asked = len(self._shards.services)
        missing = asked - len(self._signatures)
        match action.ending:
            case gather.Ending.WHOLE | gather.Ending.PARTIAL:
                answer = self._tools.wire.merged_answer(
                    self._signatures,
                    missing,
                    self._greatest.body(),
                )
            case _:
                answer = Answer(504 if action.was_run else 503)
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
        route: Route,
        responder: Responder,
        service: ServiceName,
    ):
        super().__init__(front, req, asked, route, responder)
        self._reply: Reply | None = None
        self._target_id: TargetId | None = None
        self._plan = Relay(route, service, self._tools.view, self._deadline_at)

    def _take(self, send: Send, result: Result, now: float) -> list:
        if result.reply is None:
            end = self._note_failure(send, result.end)
            return self._plan.failed(send.attempt, end, now)
        if not self._is_over:
            self._reply = result.reply
            self._target_id = send.target_id
        is_final = is_final_status(result.reply.status)
        return self._plan.replied(send.attempt, is_final, now)

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
        return self._tools.wire.reply_answer(reply)


def subject_of(req: Request) -> bytes:
    """Return what equal requests have in common beside their body."""
    return b'%s %s%s' % (req.method, req.host.encode(), req.target)
