"""Apply the quarantine of requests that may crash targets."""

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
from ..quarantine.quarantine import SendRumor
from ..quarantine.quarantine import Suspected
from ..quarantine.trials import AdmitRequest
from ..quarantine.trials import EventKind
from ..quarantine.trials import TrialEvent
from ..types import Clock
from ..types import Fingerprint
from ..types import TargetId
from .homes import FingerprintHomes

# Connections to one target that break within this time count as one crash:
# each is reported with the requests in flight at the first break.
SAME_BREAK_S = 0.05
# How many granted trials an entry remembers. To bound its memory, it forgets
# the oldest beyond that. Trials end within seconds, so more are hardly open at
# the same time.
MAX_GRANTED_TRIALS = 4_096


class Suspects:
    """Decide how requests that may crash targets are sent.

    A fingerprint, which equal requests share, is suspected after a target
    failed while it ran such a request. Later outcomes clear or quarantine it.
    The home of a request's fingerprint is the entry that decides on its
    trials. This entry asks the home. If it is the home itself, it decides, and
    answers other entries that ask it.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        homes: FingerprintHomes,
        metrics: Metrics,
        clock: Clock,
        enabled: bool = True,
    ):
        self.enabled = enabled
        self._quarantine = quarantine
        self._homes = homes
        self._metrics = metrics
        self._clock = clock
        self._running_counts: dict[TargetId, dict[Fingerprint, int]] = {}
        self._last_breaks: dict[
            TargetId, tuple[float, tuple[Fingerprint, ...]]
        ] = {}
        # For each fingerprint, the other entry that was granted its trial.
        self._granted_to: dict[Fingerprint, str] = {}
        # Callback that publishes a verdict to all entries by gossip; the entry
        # sets it.
        self.publish: typing.Callable[[Rumor], None] = lambda _: None

    async def admit(self, fp: Fingerprint, until: float) -> Admission:
        """Return how a request may be sent to targets.

        While an equal request is on trial, ask again after each retry delay.
        If the next retry would be at the clock time given as until or later,
        return the refusal at once.
        """
        req = AdmitRequest(fp)
        while True:
            admission = await self._decide_or_ask_home(req)
            self._count_decision(admission)
            if not isinstance(admission, Refuse) or not admission.on_trial:
                return admission
            if self._clock() + admission.retry_after_s >= until:
                return admission
            await asyncio.sleep(admission.retry_after_s)

    def sent(self, fp: Fingerprint, target: TargetId) -> None:
        """Record that a sub-request was sent to a target."""
        running = self._running_counts.get(target)
        if running is None:
            running = self._running_counts[target] = {}
        running[fp] = running.get(fp, 0) + 1

    def ended(self, fp: Fingerprint, target: TargetId) -> None:
        """Record that a sub-request to a target ended, with any outcome."""
        running = self._running_counts[target]
        remaining = running[fp] - 1
        if remaining:
            running[fp] = remaining
        else:
            del running[fp]

    def broke(
        self, fp: Fingerprint, target: TargetId, tried: bool
    ) -> typing.Awaitable[None]:
        """Report a broken connection to the home of the fingerprint.

        The returned awaitable ends when the home has judged the break. tried
        says whether the target got the request as the trial of its
        fingerprint. Call this before ended(), so that the request still counts
        as in flight at the target.
        """
        in_flight = self._in_flight_at_break(target)
        event = TrialEvent(EventKind.BROKE, fp, target, in_flight, tried)
        return self._report_to_home(event)

    def succeeded(
        self, fp: Fingerprint, target: TargetId, tried: bool
    ) -> None:
        """Record that a target answered the request without a crash.

        tried says whether the target got the request as the trial of its
        fingerprint.
        """
        if not tried and self._quarantine.is_proven(fp):
            return
        event = TrialEvent(EventKind.SUCCEEDED, fp, target, tried=tried)
        self.judge(event)
        if tried and self._homes.is_decided_elsewhere(fp):
            self._homes.run_in_background(self._report_to_home(event))

    def trial_ended(self, fp: Fingerprint) -> None:
        """End the trial of a request that ended without a result."""
        event = TrialEvent(EventKind.ENDED, fp)
        self.judge(event)
        if self._homes.is_decided_elsewhere(fp):
            self._homes.run_in_background(self._report_to_home(event))

    def apply_rumor(self, rumor: Rumor) -> None:
        """Apply another entry's verdict on a fingerprint."""
        self._execute(self._quarantine.apply_rumor(rumor, self._clock()))

    # Methods for the home of a fingerprint; other entries call them too.

    def decide(self, req: AdmitRequest) -> Admission:
        """Decide whether to send a request at once, on trial, or not at all.

        If a trial is granted to another entry, record that entry.
        """
        admission = self._quarantine.admit(req.fp, self._clock())
        if isinstance(admission, Lead | Canary) and req.asker:
            self._granted_to[req.fp] = req.asker
            while len(self._granted_to) > MAX_GRANTED_TRIALS:
                del self._granted_to[next(iter(self._granted_to))]
        return admission

    def judge(self, event: TrialEvent) -> tuple[Rumor, ...]:
        """Judge the outcome of a sub-request; return rumors with verdicts."""
        now = self._clock()
        actions: list[Action] = []
        match event.kind:
            case EventKind.BROKE:
                actions = self._quarantine.record_disconnect(
                    event.fp, event.target, event.in_flight, now, event.tried
                )
            case EventKind.SUCCEEDED:
                actions = self._quarantine.record_success(
                    event.fp, event.target, now
                )
            case EventKind.ENDED if self._may_end_trial(event):
                self._quarantine.end_trial(event.fp)
        if self._may_end_trial(event):
            self._granted_to.pop(event.fp, None)
        self._execute(actions)
        return tuple(a.rumor for a in actions if isinstance(a, SendRumor))

    def _may_end_trial(self, event: TrialEvent) -> bool:
        """Return whether an event may end the open trial of its fingerprint.

        An event that names another entry as its asker may end only a trial
        that was granted to that entry.
        """
        return not event.asker or (
            self._granted_to.get(event.fp) == event.asker
        )

    async def _decide_or_ask_home(self, req: AdmitRequest) -> Admission:
        decided = self._quarantine.decide_without_trial(req.fp, self._clock())
        if decided is not None:
            return decided
        admission = await self._homes.admit(req)
        return self.decide(req) if admission is None else admission

    async def _report_to_home(self, event: TrialEvent) -> None:
        rumors = await self._homes.report(event)
        if rumors is None:
            self.judge(event)
            return
        for rumor in rumors:
            self.apply_rumor(rumor)

    def _in_flight_at_break(self, target: TargetId) -> tuple[Fingerprint, ...]:
        """Return the fingerprints in flight when a target's connection broke.

        Further connections to the target that break within SAME_BREAK_S get
        the same result.
        """
        now = self._clock()
        broken_at, in_flight = self._last_breaks.get(
            target, (-SAME_BREAK_S, ())
        )
        if now - broken_at >= SAME_BREAK_S:
            in_flight = tuple(self._running_counts.get(target, ()))
            self._last_breaks[target] = (now, in_flight)
        return in_flight

    def _count_decision(self, admission: Admission) -> None:
        match admission:
            case Lead():
                self._metrics.count('quarantine', 'lead')
            case Canary():
                self._metrics.count('quarantine', 'canary')
            case Refuse(_, True):
                self._metrics.count('quarantine', 'on_trial')
            case Refuse():
                self._metrics.count('quarantine', 'refused')

    def _execute(self, actions: typing.Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendRumor(rumor):
                    self.publish(rumor)
                    self._homes.push_verdict(rumor)
                case Suspected(fp):
                    self._metrics.count('quarantine', 'suspected')
                    logs.log_event('fingerprint_suspected', fingerprint=fp)
                case Quarantined(fp, for_s):
                    self._metrics.count('quarantine', 'quarantined')
                    logs.log_event(
                        'fingerprint_quarantined', fingerprint=fp, for_s=for_s
                    )
                case Cleared(fp):
                    self._metrics.count('quarantine', 'cleared')
                    logs.log_event('fingerprint_cleared', fingerprint=fp)
