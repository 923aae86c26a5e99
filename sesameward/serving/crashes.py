"""Keep a request that crashes targets from reaching more of them.

Load pattern: one request, sent again and again to any node, crashes each
target that begins to run it. Equal requests share a fingerprint; each node
tells the others of each target lost under one, so that the fleet counts
together. A suspect is sent to one target at a time; it is refused once it
has crashed that one too, and cleared once a target has run it.

Load pattern: targets end for other causes, their connections are reset, or
a node is cut off, while many harmless requests run. So a target counts as
lost only once it refuses a new connection, or answers none while others go
on answering; and what has ended well since then is no suspect.
"""

from __future__ import annotations

import enum
import hashlib
import random
import typing

import msgspec

from .. import logs
from ..messages import Rumor
from ..metrics import Metrics
from ..quarantine.quarantine import Admission
from ..quarantine.quarantine import Allow
from ..quarantine.quarantine import Canary
from ..quarantine.quarantine import Cleared
from ..quarantine.quarantine import Death
from ..quarantine.quarantine import FINGERPRINT_BYTES
from ..quarantine.quarantine import Quarantine
from ..quarantine.quarantine import Quarantined
from ..quarantine.quarantine import QuarantineSettings
from ..quarantine.quarantine import Refuse
from ..quarantine.quarantine import Spread
from ..quarantine.quarantine import Suspected
from ..types import Fingerprint
from ..types import RequestId
from ..types import ServiceName
from ..types import TargetId
from .choice import SILENT_AFTER_S
from .pools import Reach
from .target_connection import Broken

# A request is refused after three targets, the number that the users' pages
# allow. They allow three more attempts a day, so a release after 8 hours and
# one after another 16 stay within that. A first request of its kind is sent
# at once: leading with one target would cost each new query a round trip.
SETTINGS = QuarantineSettings(
    lead_s=0.0,
    alarm_s=0.0,
    min_crashes=3,
    suspect_s=600.0,
    quarantine_s=28_800.0,
    max_quarantine_s=86_400.0,
    trial_timeout_s=30.0,
    max_proven=5_000,
)
# A target that answers no new connection may also be cut off from this node.
DARK_CERTAINTY = 0.5
# Suspicions are told at this pace, since all rumors share a budget of 2 KB/s;
# a quarantine is told at once. The first try at another target has mostly
# cleared a harmless request by then.
TELL_GAP_S = 0.5
MAX_UNTOLD = 64
# Targets that are looked into at the same time. Where more are lost together,
# as with a zone, their losses say nothing about single requests.
MAX_CHECKS = 256
# A longer method, host and path are cut in log lines.
MAX_LOGGED_BYTES = 120


class Identity:
    """Hold what equal requests have in common.

    They are equal by method, host, path with its query, and body, whoever
    sends them: callers retry by new connections, ids and nodes, and other
    headers change with each attempt. survived_at names the services that
    have run this one attempt unharmed.
    """

    __slots__ = ('_fingerprint', 'body', 'subject', 'survived_at')

    def __init__(self, subject: bytes, body: bytes):
        self.subject = subject
        self.body = body
        self.survived_at: set[ServiceName] = set()
        self._fingerprint: Fingerprint | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """Return the hash that nodes know the request by."""
        if self._fingerprint is None:
            data = b'%d %s%s' % (len(self.subject), self.subject, self.body)
            hashed = hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES)
            self._fingerprint = Fingerprint(hashed.hexdigest())
        return self._fingerprint


class Lost(msgspec.Struct, frozen=True):
    """Hold a sub-request that a target left without an answer."""

    identity: Identity
    request_id: RequestId
    target_id: TargetId
    service: ServiceName
    how: Broken
    sent_at: float
    lost_at: float
    tried: bool


class Finding(enum.Enum):
    """Say what became of a target that left a request unanswered."""

    CRASHED = 'crashed'
    DARK = 'dark'
    ALIVE = 'alive'
    LEFT = 'left'
    NODE_CUT_OFF = 'node_cut_off'


class Crashes:
    """Connect the quarantine with requests that are passed on.

    check looks into whether a target still takes connections; is_leaving
    tells whether a target ends on purpose.
    """

    def __init__(self, origin: str, metrics: Metrics, rng: random.Random):
        self.spread: typing.Callable[[Rumor], None] = lambda _: None
        self.check: typing.Callable[
            [TargetId, typing.Callable[[Reach], None]], None
        ] = lambda target_id, on_reach: on_reach(Reach.UNKNOWN)
        self.is_leaving: typing.Callable[[TargetId], bool] = lambda _: False
        self.clock: typing.Callable[[], float] = lambda: 0.0
        self._quarantine = Quarantine(origin, SETTINGS, rng)
        self._metrics = metrics
        self._lost: dict[TargetId, list[Lost]] = {}
        self._down: set[TargetId] = set()
        self._untold: dict[Fingerprint, float] = {}
        self._told_at = 0.0
        self._answered_at = 0.0

    # What may be sent.

    def admit(self, identity: Identity, now: float) -> Admission:
        """Decide whether a request goes out, and to one target first."""
        if not self._quarantine.suspects:
            return Allow()
        fp = identity.fingerprint
        admission = self._quarantine.admit(fp, now)
        if isinstance(admission, Refuse) and admission.on_trial:
            # Each trial is judged for itself, so equal ones need not wait.
            admission = Canary()
        if isinstance(admission, Canary):
            self._metrics.count('canaries')
            logs.change(
                'request_on_trial',
                fingerprint=fp,
                crashes=self._quarantine.crashes(fp),
            )
        return admission

    def is_refused(self, identity: Identity, now: float) -> bool:
        """Tell whether a request is known to crash targets."""
        if not self._quarantine.suspects:
            return False
        decided = self._quarantine.decided(identity.fingerprint, now)
        return isinstance(decided, Refuse)

    def struck_places(self, identity: Identity) -> frozenset[str]:
        """Return the services that lost targets to a suspect."""
        return self._quarantine.struck_places(identity.fingerprint)

    # What became of it.

    def answered(self, target_id: TargetId, now: float) -> None:
        """Take in that a target answered, whatever it said."""
        self._answered_at = now
        self._down.discard(target_id)

    def survived(
        self, identity: Identity, service: ServiceName, now: float
    ) -> None:
        """Take in that a target ran a request unharmed."""
        identity.survived_at.add(service)
        if self._quarantine.suspects:
            fp = identity.fingerprint
            self._act(self._quarantine.survived(fp, service, now))

    def proved(self, identity: Identity, now: float) -> None:
        """Take in that all of a request ended well."""
        self._quarantine.proved(identity.fingerprint, now)

    def ended(self, identity: Identity) -> None:
        """Take in that a trial is over."""
        self._quarantine.ended(identity.fingerprint)

    def unreachable(self, target_id: TargetId, now: float) -> None:
        """Take in that a target accepts no connection."""
        if target_id not in self._down and target_id not in self._lost:
            self._down.add(target_id)
            self._quarantine.noticed_dead(target_id, now)

    def forget(self, target_id: TargetId) -> None:
        """Drop what is known of a target that is gone for good."""
        self._down.discard(target_id)

    @property
    def down(self) -> int:
        """Return how many targets are known to accept no connection."""
        return len(self._down)

    def lost(self, lost: Lost) -> None:
        """Look into why a target left a request without an answer.

        Where another target of the service has run it, that says enough.
        """
        if lost.service in lost.identity.survived_at:
            return
        waiting = self._lost.get(lost.target_id)
        if waiting is not None:
            waiting.append(lost)
            return
        if len(self._lost) >= MAX_CHECKS:
            self._metrics.count('crash_checks_skipped')
            return
        self._lost[lost.target_id] = [lost]
        self.check(
            lost.target_id, lambda reach: self._checked(lost.target_id, reach)
        )

    def _checked(self, target_id: TargetId, reach: Reach) -> None:
        now = self.clock()
        group = self._lost.pop(target_id)
        fps = {lost.identity.fingerprint for lost in group}
        for lost in group:
            if lost.service in lost.identity.survived_at:
                continue
            finding = self._find(lost, reach)
            self._metrics.count('target_losses', finding.value)
            logs.change(
                'target_lost',
                request=lost.request_id,
                fingerprint=lost.identity.fingerprint,
                subject=lost.identity.subject[:MAX_LOGGED_BYTES].decode(
                    'latin-1'
                ),
                target=target_id,
                how=lost.how.value,
                finding=finding.value,
                on_trial=lost.tried,
                ran_ms=round((lost.lost_at - lost.sent_at) * 1_000, 1),
                answered_ms_ago=round((now - self._answered_at) * 1_000, 1),
                running=len(fps),
            )
            self._judge(lost, finding, fps, now)

    def _find(self, lost: Lost, reach: Reach) -> Finding:
        if self.is_leaving(lost.target_id):
            return Finding.LEFT
        match reach:
            case Reach.REFUSES:
                return Finding.CRASHED
            case Reach.SILENT if (
                self._answered_at > lost.sent_at + SILENT_AFTER_S
            ):
                return Finding.DARK
            case Reach.SILENT:
                return Finding.NODE_CUT_OFF
            case _:
                return Finding.ALIVE

    def _judge(
        self,
        lost: Lost,
        finding: Finding,
        fps: typing.Collection[Fingerprint],
        now: float,
    ) -> None:
        match finding:
            case Finding.CRASHED:
                certainty = 1.0
            case Finding.DARK:
                certainty = DARK_CERTAINTY
            case _:
                return
        self._down.add(lost.target_id)
        death = Death(
            lost.target_id,
            lost.service,
            lost.lost_at,
            certainty,
            lost.tried,
        )
        fp = lost.identity.fingerprint
        self._act(self._quarantine.died(fp, death, fps, now))

    # What nodes tell each other.

    def heard(self, rumor: Rumor, now: float) -> None:
        """Take over what another node says."""
        self._act(self._quarantine.heard(rumor, now))

    def tell(self, now: float) -> None:
        """Spread the gravest of the suspicions that others don't know."""
        if now - self._told_at < TELL_GAP_S:
            return
        due = [fp for fp, at in self._untold.items() if now - at >= TELL_GAP_S]
        if not due:
            return
        fp = max(due, key=self._quarantine.crashes)
        del self._untold[fp]
        rumor = self._quarantine.report(fp, now)
        if rumor is not None:
            self._told_at = now
            self.spread(rumor)

    def _act(self, actions: typing.Sequence) -> None:
        is_urgent = any(
            isinstance(action, Quarantined | Cleared) for action in actions
        )
        for action in actions:
            match action:
                case Spread(rumor) if is_urgent:
                    self.spread(rumor)
                case Spread(rumor):
                    self._queue(rumor)
                case Suspected(fp):
                    self._metrics.count('suspected')
                    logs.change(
                        'request_suspected',
                        fingerprint=fp,
                        crashes=self._quarantine.crashes(fp),
                    )
                case Quarantined(fp, for_s):
                    self._metrics.count('quarantined')
                    logs.change(
                        'request_quarantined',
                        fingerprint=fp,
                        for_s=round(for_s, 3),
                    )
                case Cleared(fp):
                    logs.change('request_cleared', fingerprint=fp)

    def _queue(self, rumor: Rumor) -> None:
        fp = Fingerprint(rumor.key.partition(':')[0])
        if len(self._untold) < MAX_UNTOLD:
            self._untold.setdefault(fp, self.clock())
