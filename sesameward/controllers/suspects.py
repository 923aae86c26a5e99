"""Keep track of requests which may crash targets."""

from __future__ import annotations

import typing

from .. import logs
from ..messages import Rumor
from ..metrics import Metrics
from ..quarantine import Action
from ..quarantine import Admission
from ..quarantine import Cleared
from ..quarantine import Quarantine
from ..quarantine import Quarantined
from ..quarantine import Spread
from ..quarantine import Suspected
from ..types import Fingerprint
from ..types import TargetId


class Suspects:
    """Connect the quarantine with the sub-requests and with rumors."""

    def __init__(self, quarantine: Quarantine, metrics: Metrics, clock):
        self._quarantine = quarantine
        self._metrics = metrics
        self._clock = clock
        self._running: dict[TargetId, dict[Fingerprint, int]] = {}
        self.spread: typing.Callable[[Rumor], None] = lambda _: None

    def admit(self, fp: Fingerprint) -> Admission:
        """Decide how a request may be sent."""
        return self._quarantine.admit(fp, self._clock())

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

    def broke(self, fp: Fingerprint, target: TargetId) -> bool:
        """Count a broken connection; return whether fp is quarantined."""
        running = tuple(self._running.get(target, ()))
        actions = self._quarantine.broke(fp, target, running, self._clock())
        self._carry_out(actions)
        return any(isinstance(a, Quarantined) for a in actions)

    def succeeded(self, fp: Fingerprint, target: TargetId) -> None:
        """Take in that a target survived the request."""
        if self._quarantine.is_proven(fp):
            return
        self._carry_out(self._quarantine.succeeded(fp, target, self._clock()))

    def trial_ended(self, fp: Fingerprint) -> None:
        """Take in that a trial proved nothing."""
        self._quarantine.ended(fp)

    def heard(self, rumor: Rumor) -> None:
        """Take over what another entry found out."""
        self._carry_out(self._quarantine.heard(rumor, self._clock()))

    def _carry_out(self, actions: typing.Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Spread(rumor):
                    self.spread(rumor)
                case Suspected(fp):
                    self._metrics.count('fingerprints', 'suspected')
                    logs.change('fingerprint_suspected', fingerprint=fp)
                case Quarantined(fp, for_s):
                    self._metrics.count('fingerprints', 'quarantined')
                    logs.change(
                        'fingerprint_quarantined', fingerprint=fp, for_s=for_s
                    )
                case Cleared(fp):
                    self._metrics.count('fingerprints', 'cleared')
                    logs.change('fingerprint_cleared', fingerprint=fp)
