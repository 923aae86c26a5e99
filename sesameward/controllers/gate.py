"""Let requests wait until admission settles them."""

from __future__ import annotations

import asyncio
import typing

from ..exceptions import CallerGoneError
from ..exceptions import RefusalError
from ..filters.exchange import Exchange
from ..metrics import Metrics
from ..routing.admission import Action
from ..routing.admission import Admission
from ..routing.admission import Admit
from ..routing.admission import Queue
from ..routing.admission import Refuse
from ..types import Clock
from ..types import RefusalKind
from ..types import RequestId

_TICK_S = 0.005


class Gate:
    """Carry requests to admission and its decisions back."""

    def __init__(
        self,
        make_admission: typing.Callable[[], Admission],
        metrics: Metrics,
        clock: Clock,
    ):
        # Services differ in what a request costs, so each has its own limit.
        self._make_admission = make_admission
        self._admissions: dict[str, Admission] = {}
        self._metrics = metrics
        self._clock = clock
        self._waiting: dict[RequestId, asyncio.Future[Action]] = {}
        self._ticking: asyncio.TimerHandle | None = None
        self._inside = 0

    @property
    def in_flight(self) -> int:
        """Return how many requests run or wait."""
        return self._inside + len(self._waiting)

    @property
    def load(self) -> float:
        """Return the requests inside over those which may run at once."""
        return max(
            (
                (one.in_flight + one.queued) / max(one.limit, 1.0)
                for one in self._admissions.values()
            ),
            default=0.0,
        )

    async def enter(self, exchange: Exchange) -> None:
        """Return once the request may run; raise RefusalError."""
        admission = self._admission(exchange)
        actions = admission.arrive(
            exchange.request_id,
            exchange.priority,
            exchange.deadline_at,
            1.0,
            self._clock(),
        )
        own = actions.pop()
        self._settle(actions)
        if isinstance(own, Queue):
            own = await self._wait(admission, exchange)
        match own:
            case Admit():
                self._inside += 1
            case Refuse(_, kind, retry_after_s):
                raise _refusal(kind, retry_after_s)

    def leave(self, exchange: Exchange, latency_s: float) -> None:
        """Take in that an admitted request has ended."""
        self._inside -= 1
        admission = self._admission(exchange)
        now = self._clock()
        if exchange.gone.done():
            self._settle(admission.gone(exchange.request_id, now))
            return
        self._settle(
            admission.finished(
                exchange.request_id, latency_s, now, exchange.complete
            )
        )

    def _admission(self, exchange: Exchange) -> Admission:
        name = exchange.service.name
        if name not in self._admissions:
            self._admissions[name] = self._make_admission()
        return self._admissions[name]

    async def _wait(self, admission: Admission, exchange: Exchange) -> Action:
        request_id = exchange.request_id
        fut = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = fut
        self._metrics.count('requests_queued')
        self._schedule()
        exchange.gone.add_done_callback(
            lambda _: self._drop(admission, request_id)
        )
        return await fut

    def _drop(self, admission: Admission, request_id: RequestId) -> None:
        fut = self._waiting.pop(request_id, None)
        if fut is not None:
            self._metrics.count('callers_gone', 'queued')
            self._settle(admission.gone(request_id, self._clock()))
            fut.set_exception(CallerGoneError('the caller is gone'))

    def _schedule(self) -> None:
        if self._ticking is None and self._waiting:
            loop = asyncio.get_running_loop()
            self._ticking = loop.call_later(_TICK_S, self._tick)

    def _tick(self) -> None:
        self._ticking = None
        now = self._clock()
        for admission in self._admissions.values():
            self._settle(admission.tick(now))
        self._schedule()

    def _settle(self, actions: list[Action]) -> None:
        for action in actions:
            fut = self._waiting.pop(action.request_id, None)
            if fut is not None and not fut.done():
                fut.set_result(action)


def _refusal(kind: RefusalKind, retry_after_s: float | None) -> RefusalError:
    match kind:
        case RefusalKind.DEADLINE_UNREACHABLE:
            return RefusalError(
                kind,
                'the deadline can not be met',
                'allow more time or come back later',
                retry_after_s=retry_after_s or 1.0,
            )
        case _:
            return RefusalError(
                kind,
                'this entry is overloaded',
                'come back after the given time',
                retry_after_s=retry_after_s,
            )
