"""Let callers' requests wait for capacity, and measure the node's own lag."""

from __future__ import annotations

import asyncio
import functools
import typing

import msgspec

from .. import logs
from ..admission.control import Claim
from ..admission.control import Control
from ..admission.control import Decision
from ..admission.control import End
from ..admission.control import NODE_LANE
from ..admission.control import Overloaded
from ..admission.order import Lane
from ..metrics import Metrics
from ..types import Clock
from ..types import ServiceName
from .attempts import AttemptPolicy
from .http_server import answer_fault
from .http_server import record_caller_gone

if typing.TYPE_CHECKING:
    from .run import Arrival

# Interval at which the lag of the event loop is measured and waiting requests
# are looked through.
LAG_INTERVAL_S = 0.05
# The same while nothing waits. Each measurement wakes the process: with 0.05
# s, 91 nodes with few requests used 67 s of processor time instead of 49 s.
IDLE_LAG_INTERVAL_S = 0.25
# Interval of checks whether admission has become active.
INACTIVE_INTERVAL_S = 1.0
# A target is known to have a free slot if its figures are at most this old;
# queues of a few requests change within some 50 ms.
MAX_FIGURES_AGE_S = 0.1
# Waits longer than this are logged: most of the objective of short queries.
LOGGED_WAIT_S = 0.05

OnRefuse = typing.Callable[['Arrival', float], None]


class PriorityStatus(msgspec.Struct, frozen=True):
    """Numbers of requests of one priority that run and wait at a node."""

    priority: int
    running: int
    waiting: int


class AdmissionGate:
    """Start callers' requests as the control admits them, or refuse them.

    is_active returns True where requests are admitted in order. start runs an
    admitted request, refuse answers one that can't be served in time and gets
    the time after which it may be repeated. runs holds waiting requests too,
    so that a leaving node waits for them.
    """

    def __init__(
        self,
        policy: AttemptPolicy,
        metrics: Metrics,
        clock: Clock,
        is_active: typing.Callable[[], bool],
    ):
        self.is_active = is_active
        self.start: typing.Callable[[Arrival, float], None] = (
            lambda arrival, now: None
        )
        self.refuse: OnRefuse = lambda arrival, retry_after_s: None
        self.runs: set = set()
        self.control = Control(self._has_free_slot)
        self._policy = policy
        self._metrics = metrics
        self._clock = clock
        self._timers: dict[Claim, asyncio.TimerHandle] = {}
        self._is_drain_due = False

    def submit(self, arrival: Arrival, now: float) -> None:
        """Start a request, let it wait or refuse it."""
        claim = Claim(
            arrival.priority,
            arrival.share_group,
            arrival.deadline_at,
            arrival,
            NODE_LANE if arrival.service is None else Lane(arrival.service),
            route=arrival.route.name,
        )
        match self.control.offer(claim, now):
            case Decision.RUN:
                self._start(claim, now)
            case Decision.WAIT:
                self._metrics.count('admission', 'waited')
                arrival.responder.on_gone = functools.partial(
                    self._on_gone, claim
                )
                self.runs.add(claim)
                self._timers[claim] = asyncio.get_running_loop().call_at(
                    claim.latest_at, self._expire, claim
                )
                self._schedule_drain()
            case Overloaded(retry_after_s):
                self.refuse(arrival, retry_after_s)

    async def run(self) -> None:
        """Measure the lag of the event loop, and admit waiting requests."""
        while True:
            if not self.is_active() and not self._timers:
                await asyncio.sleep(INACTIVE_INTERVAL_S)
                continue
            interval_s = (
                LAG_INTERVAL_S if self._timers else IDLE_LAG_INTERVAL_S
            )
            due_at = self._clock() + interval_s
            await asyncio.sleep(interval_s)
            now = self._clock()
            self.control.on_lag(now - due_at, now)
            self._drain()

    def statuses(self) -> tuple[PriorityStatus, ...]:
        """Return how many requests of each priority run and wait."""
        running = self.control.running_by_priority()
        waiting = self.control.order.count_by_priority()
        return tuple(
            PriorityStatus(one, running.get(one, 0), waiting.get(one, 0))
            for one in sorted({*running, *waiting})
        )

    def _start(self, claim: Claim, now: float) -> None:
        arrival = claim.item
        arrival.on_end = functools.partial(self._ended, claim)
        try:
            self.start(arrival, now)
        except Exception:
            # Otherwise the request would use its room for ever.
            arrival.on_end(End.OTHER)
            raise

    def _ended(self, claim: Claim, end: End) -> None:
        claim.item.on_end = _ignore_end
        self.control.ended(claim, end, self._clock())
        self._schedule_drain()

    def _schedule_drain(self) -> None:
        if self._timers and not self._is_drain_due:
            self._is_drain_due = True
            asyncio.get_running_loop().call_soon(self._drain)

    def _drain(self) -> None:
        self._is_drain_due = False
        now = self._clock()
        while (claim := self.control.take(now)) is not None:
            self._leave_queue(claim)
            waited_s = now - claim.item.req.arrived_at
            self._metrics.observe('admission_wait_s', claim.route, waited_s)
            if waited_s >= LOGGED_WAIT_S:
                logs.log_event(
                    'admission_waited',
                    request=claim.item.asked.request_id,
                    route=claim.route,
                    organisation=claim.item.organisation,
                    priority=claim.priority,
                    waited_ms=round(waited_s * 1_000, 2),
                    waiting=len(self.control.order),
                )
            self._start_waited(claim, now)

    def _start_waited(self, claim: Claim, now: float) -> None:
        try:
            self._start(claim, now)
        except Exception as exc:
            # The other waiting requests must not be lost by this fault.
            arrival = claim.item
            answer_fault(self._metrics, exc, arrival.req, arrival.responder)

    def _expire(self, claim: Claim) -> None:
        if claim not in self._timers:
            return
        self._leave_queue(claim)
        try:
            refusal = self.control.expire(claim, self._clock())
            self.refuse(claim.item, refusal.retry_after_s)
        except Exception as exc:
            # Nothing else answers a request that is not waiting any more.
            arrival = claim.item
            answer_fault(self._metrics, exc, arrival.req, arrival.responder)

    def _on_gone(self, claim: Claim) -> None:
        if claim in self._timers:
            self._leave_queue(claim)
            self.control.withdraw(claim)
            record_caller_gone(
                self._metrics, claim.item.asked.request_id, claim.route
            )

    def _leave_queue(self, claim: Claim) -> None:
        self.runs.discard(claim)
        self._timers.pop(claim).cancel()

    def _has_free_slot(self, lane: Lane, now: float) -> bool:
        policy = self._policy
        for target_id in policy.targets.candidates(ServiceName(lane)):
            view = policy.selector.load_view(target_id)
            target = policy.targets.get(target_id)
            if (
                view is not None
                and target is not None
                and now - view.taken_at <= MAX_FIGURES_AGE_S
                and view.load + view.sent_since < target.slots
            ):
                return True
        return False


def _ignore_end(end: End) -> None:
    """Do nothing: the end of the request was recorded."""
