"""Hold requests until admission control admits or refuses them."""

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

# How often queued requests are checked: they may run now, or are refused
# because they can no longer end before their deadline.
_RECHECK_PERIOD_S = 0.005


class Gate:
    """Admit, queue or refuse requests, separately for each service."""

    def __init__(
        self,
        make_admission: typing.Callable[[], Admission],
        metrics: Metrics,
        clock: Clock,
    ):
        # The cost of a request differs between services, so each service has
        # its own concurrency limit.
        self._make_admission = make_admission
        self._admissions: dict[str, Admission] = {}
        self._metrics = metrics
        self._clock = clock
        self._waiting: dict[RequestId, asyncio.Future[Action]] = {}
        self._recheck_timer: asyncio.TimerHandle | None = None
        self._admitted = 0

    @property
    def in_flight(self) -> int:
        """Return how many requests are running or queued."""
        return self._admitted + len(self._waiting)

    @property
    def load(self) -> float:
        """Return the highest load of any service.

        A service's load is the number of its running and queued requests
        divided by its concurrency limit.
        """
        return max(
            (
                (admission.in_flight + admission.queued)
                / max(admission.limit, 1.0)
                for admission in self._admissions.values()
            ),
            default=0.0,
        )

    async def enter(self, exchange: Exchange) -> None:
        """Wait until the request may run.

        Raise RefusalError if it is refused, and CallerGoneError if its caller
        disconnects while it is queued.
        """
        admission = self._admission(exchange)
        actions = admission.arrive(
            exchange.request_id,
            exchange.priority,
            exchange.deadline_at,
            1.0,
            self._clock(),
        )
        decision = actions.pop()
        self._resolve(actions)
        if isinstance(decision, Queue):
            decision = await self._wait(admission, exchange)
        match decision:
            case Admit():
                self._admitted += 1
            case Refuse(_, kind, retry_after_s):
                raise _refusal(kind, retry_after_s)

    def leave(self, exchange: Exchange, latency_s: float) -> None:
        """End an admitted request, so that queued requests may run.

        latency_s excludes the time in the queue. It does not affect the
        concurrency limit of the service if the caller disconnected.
        """
        self._admitted -= 1
        admission = self._admission(exchange)
        now = self._clock()
        if exchange.gone.done():
            self._resolve(
                admission.remove_disconnected(exchange.request_id, now)
            )
            return
        self._resolve(
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
        future = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = future
        self._metrics.count('requests_queued')
        self._schedule_recheck()
        exchange.gone.add_done_callback(
            lambda _: self._drop_waiting(admission, request_id)
        )
        return await future

    def _drop_waiting(
        self, admission: Admission, request_id: RequestId
    ) -> None:
        future = self._waiting.pop(request_id, None)
        if future is not None:
            self._metrics.count('callers_gone', 'queued')
            self._resolve(
                admission.remove_disconnected(request_id, self._clock())
            )
            future.set_exception(
                CallerGoneError(
                    'the caller disconnected while its request was queued'
                )
            )

    def _schedule_recheck(self) -> None:
        if self._recheck_timer is None and self._waiting:
            loop = asyncio.get_running_loop()
            self._recheck_timer = loop.call_later(
                _RECHECK_PERIOD_S, self._recheck
            )

    def _recheck(self) -> None:
        self._recheck_timer = None
        now = self._clock()
        for admission in self._admissions.values():
            self._resolve(admission.update_queues(now))
        self._schedule_recheck()

    def _resolve(self, actions: list[Action]) -> None:
        for action in actions:
            future = self._waiting.pop(action.request_id, None)
            if future is not None and not future.done():
                future.set_result(action)


def _refusal(kind: RefusalKind, retry_after_s: float | None) -> RefusalError:
    match kind:
        case RefusalKind.DEADLINE_UNREACHABLE:
            return RefusalError(
                kind,
                'the request is not expected to end before its deadline',
                'set a later deadline or retry later',
                retry_after_s=retry_after_s or 1.0,
            )
        case _:
            return RefusalError(
                kind,
                'this entry is overloaded',
                'retry after the time in retry_after_s',
                retry_after_s=retry_after_s,
            )
