"""Keep track of requests which may crash targets."""

from __future__ import annotations

import asyncio
import typing

from .. import logs
from ..messages import Rumor
from ..metrics import Metrics
from ..quarantine.quarantine import Action
from ..quarantine.quarantine import Admission
from ..quarantine.quarantine import Canary
from ..quarantine.quarantine import Cleared
from ..quarantine.quarantine import Lead
from ..quarantine.quarantine import Quarantine
from ..quarantine.quarantine import Quarantined
from ..quarantine.quarantine import Refuse
from ..quarantine.quarantine import Spread
from ..quarantine.quarantine import Suspected
from ..quarantine.trials import AdmitRequest
from ..quarantine.trials import Event
from ..quarantine.trials import EventKind
from ..types import Clock
from ..types import Fingerprint
from ..types import TargetId
from .homes import Homes

# Connections to one target that break within this time broke together.
SAME_BREAK_S = 0.05
# Trials end after seconds, so more are hardly out at the same time.
MAX_GRANTED = 4_096


class Suspects:
    """Connect the quarantine with the sub-requests and with other entries."""

    def __init__(
        self,
        quarantine: Quarantine,
        homes: Homes,
        metrics: Metrics,
        clock: Clock,
        enabled: bool = True,
    ):
        self.enabled = enabled
        self._quarantine = quarantine
        self._homes = homes
        self._metrics = metrics
        self._clock = clock
        self._running: dict[TargetId, dict[Fingerprint, int]] = {}
        self._breaks: dict[
            TargetId, tuple[float, tuple[Fingerprint, ...]]
        ] = {}
        # Which entry has the trial of a fingerprint.
        self._granted: dict[Fingerprint, str] = {}
        self.spread: typing.Callable[[Rumor], None] = lambda _: None

    async def admit(self, fp: Fingerprint, until: float) -> Admission:
        """Decide how a request may be sent; wait for an equal one's trial."""
        req = AdmitRequest(fp)
        while True:
            admission = await self._ask(req)
            self._count(admission)
            if not isinstance(admission, Refuse) or not admission.on_trial:
                return admission
            if self._clock() + admission.retry_after_s >= until:
                return admission
            await asyncio.sleep(admission.retry_after_s)

    def sent(self, fp: Fingerprint, target: TargetId) -> None:
        """Take in that a sub-request left for a target."""
        running = self._running.get(target)
        if running is None:
            running = self._running[target] = {}
        running[fp] = running.get(fp, 0) + 1

    def ended(self, fp: Fingerprint, target: TargetId) -> None:
        """Take in that a sub-request ended, however it did."""
        running = self._running[target]
        left = running[fp] - 1
        if left:
            running[fp] = left
        else:
            del running[fp]

    def broke(
        self, fp: Fingerprint, target: TargetId, tried: bool
    ) -> typing.Awaitable[None]:
        """Count a broken connection; return when the home has judged it.

        Call it before ended(), which forgets that the request ran there.
        """
        in_flight = self._in_flight(target)
        event = Event(EventKind.BROKE, fp, target, in_flight, tried)
        return self._report(event)

    def succeeded(
        self, fp: Fingerprint, target: TargetId, tried: bool
    ) -> None:
        """Take in that a target survived the request."""
        if not tried and self._quarantine.is_proven(fp):
            return
        event = Event(EventKind.SUCCEEDED, fp, target, tried=tried)
        self.take(event)
        if tried and self._homes.is_elsewhere(fp):
            self._homes.run(self._report(event))

    def trial_ended(self, fp: Fingerprint) -> None:
        """Take in that a trial proved nothing."""
        event = Event(EventKind.ENDED, fp)
        self.take(event)
        if self._homes.is_elsewhere(fp):
            self._homes.run(self._report(event))

    def heard(self, rumor: Rumor) -> None:
        """Take over what another entry found out."""
        self._carry_out(self._quarantine.heard(rumor, self._clock()))

    # As the home of a fingerprint.

    def decide(self, req: AdmitRequest) -> Admission:
        """Decide how a request may be sent, if need be on trial."""
        admission = self._quarantine.admit(req.fp, self._clock())
        if isinstance(admission, Lead | Canary) and req.asker:
            self._granted[req.fp] = req.asker
            while len(self._granted) > MAX_GRANTED:
                del self._granted[next(iter(self._granted))]
        return admission

    def take(self, event: Event) -> tuple[Rumor, ...]:
        """Take in what became of a request; return the verdicts."""
        now = self._clock()
        actions: list[Action] = []
        match event.kind:
            case EventKind.BROKE:
                actions = self._quarantine.broke(
                    event.fp, event.target, event.in_flight, now, event.tried
                )
            case EventKind.SUCCEEDED:
                actions = self._quarantine.succeeded(
                    event.fp, event.target, now
                )
            case EventKind.ENDED if self._is_granted(event):
                self._quarantine.ended(event.fp)
        if self._is_granted(event):
            self._granted.pop(event.fp, None)
        self._carry_out(actions)
        return tuple(a.rumor for a in actions if isinstance(a, Spread))

    def _is_granted(self, event: Event) -> bool:
        """Tell whether the trial is the asker's; others end it by a result."""
        return not event.asker or (self._granted.get(event.fp) == event.asker)

    async def _ask(self, req: AdmitRequest) -> Admission:
        decided = self._quarantine.decided(req.fp, self._clock())
        if decided is not None:
            return decided
        admission = await self._homes.admit(req)
        return self.decide(req) if admission is None else admission

    async def _report(self, event: Event) -> None:
        rumors = await self._homes.report(event)
        if rumors is None:
            self.take(event)
            return
        for rumor in rumors:
            self.heard(rumor)

    def _in_flight(self, target: TargetId) -> tuple[Fingerprint, ...]:
        """Return what ran there when the first connection broke."""
        now = self._clock()
        at, in_flight = self._breaks.get(target, (-SAME_BREAK_S, ()))
        if now - at >= SAME_BREAK_S:
            in_flight = tuple(self._running.get(target, ()))
            self._breaks[target] = (now, in_flight)
        return in_flight

    def _count(self, admission: Admission) -> None:
        match admission:
            case Lead():
                self._metrics.count('quarantine', 'lead')
            case Canary():
                self._metrics.count('quarantine', 'canary')
            case Refuse(_, True):
                self._metrics.count('quarantine', 'on_trial')
            case Refuse():
                self._metrics.count('quarantine', 'refused')

    def _carry_out(self, actions: typing.Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Spread(rumor):
                    self.spread(rumor)
                    self._homes.tell(rumor)
                case Suspected(fp):
                    self._metrics.count('quarantine', 'suspected')
                    logs.change('fingerprint_suspected', fingerprint=fp)
                case Quarantined(fp, for_s):
                    self._metrics.count('quarantine', 'quarantined')
                    logs.change(
                        'fingerprint_quarantined', fingerprint=fp, for_s=for_s
                    )
                case Cleared(fp):
                    self._metrics.count('quarantine', 'cleared')
                    logs.change('fingerprint_cleared', fingerprint=fp)
