"""Stop a request that crashes targets from reaching more of them.

Load pattern: one request, sent again and again to any node, crashes each
target that starts to run it. Equal requests share a fingerprint, a hash of
their method, host, path with query, and body. Each node publishes the crashes
that it sees under a fingerprint, so that all nodes count them together. After
the first crash the request is suspected, and each attempt is sent to one
target alone, as a trial. The request is refused once it has crashed three
targets, at least one of them in a trial. It is cleared once a target has run
it without crashing.

Load pattern: targets stop for other reasons, their connections are reset, or
a node is cut off from the network, while many harmless requests run. So a
target counts as crashed only if it refuses a new connection, or does not
answer one while other targets still answer. No crash is counted for an
attempt that another target of the same service has run without crashing.
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
from ..quarantine.quarantine import FINGERPRINT_BYTES
from ..quarantine.quarantine import Quarantine
from ..quarantine.quarantine import Quarantined
from ..quarantine.quarantine import QuarantineSettings
from ..quarantine.quarantine import Refuse
from ..quarantine.quarantine import SendRumor
from ..quarantine.quarantine import Suspected
from ..quarantine.quarantine import TargetCrash
from ..types import Fingerprint
from ..types import RequestId
from ..types import ServiceName
from ..types import TargetId
from .pools import ConnectCheck
from .replica_choice import SILENT_AFTER_S
from .target_connection import ExchangeFailure

# The user documentation promises that a request is refused after it has
# crashed three targets, and that at most three more attempts reach targets
# in a day. The first quarantine lasts 8 hours and the second 16 hours, so at
# most two more attempts do. A request that was never seen before is sent to
# all its targets at once (lead_s=0): trying one target first would cost each
# new query a round trip.
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
# A request's blame for a crash is multiplied by this factor if its target does
# not answer a new connection, instead of refusing it. The target may not have
# crashed then: the network between it and this node may be down.
UNRESPONSIVE_CERTAINTY = 0.5
# A node publishes the suspicion of at most one request per interval, because
# rumors of this urgency share a gossip budget of 1.2 KB/s; a quarantine is
# published at once. A suspicion is not published before it is this old: by
# then a retry at another target has usually cleared a harmless request.
PUBLISH_INTERVAL_S = 0.5
# Limit on the suspected requests of a node that wait to be published; further
# ones are not published.
MAX_PENDING_SUSPICIONS = 64
# Limit on the targets that a node checks for a crash at the same time. If more
# targets fail together, as in the outage of a zone, single requests are not
# the cause, so no request is blamed for the targets beyond this number.
MAX_CONCURRENT_CHECKS = 256
# Length to which a request's method, host and path with query are cut in a log
# line.
MAX_LOGGED_SUBJECT_BYTES = 120


class RequestIdentity:
    """Hold what identifies a request and its repetitions.

    Two requests are equal if they agree in method, host, path with query,
    and body. The sender and other headers are left out: callers retry over
    new connections, with new ids and at other nodes, and other headers
    change with each attempt. subject holds method, host and path with query.
    survived_at holds each service that has a target which ran this attempt
    without crashing.
    """

    __slots__ = ('_fingerprint', 'body', 'subject', 'survived_at')

    def __init__(self, subject: bytes, body: bytes):
        self.subject = subject
        self.body = body
        self.survived_at: set[ServiceName] = set()
        self._fingerprint: Fingerprint | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """Return a hash of subject and body that is the same at all nodes."""
        if self._fingerprint is None:
            data = b'%d %s%s' % (len(self.subject), self.subject, self.body)
            hashed = hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES)
            self._fingerprint = Fingerprint(hashed.hexdigest())
        return self._fingerprint


class TargetLoss(msgspec.Struct, frozen=True):
    """Describe a sub-request that got no reply from its target.

    The field how says whether the target lost the connection or this node
    closed it, because the target had stopped answering. tried is True if the
    request was on trial, that is, sent to this target alone. sent_at and
    lost_at are times of the monotonic clock in seconds.
    """

    identity: RequestIdentity
    request_id: RequestId
    target_id: TargetId
    service: ServiceName
    how: ExchangeFailure
    sent_at: float
    lost_at: float
    tried: bool


class Finding(enum.Enum):
    """Classify why a target left a sub-request without a reply.

    CRASHED: the target refuses a new connection. UNRESPONSIVE: it does not
    answer one, while other targets still answer this node. NODE_CUT_OFF: no
    other target answers this node either, or none accepts its connections.
    LEFT: the target was shutting down on purpose, or its registration is gone.
    ALIVE: it accepts a new connection, or its address has changed during the
    check.
    """

    CRASHED = 'crashed'
    UNRESPONSIVE = 'dark'
    ALIVE = 'alive'
    LEFT = 'left'
    NODE_CUT_OFF = 'node_cut_off'


class Crashes:
    """Find requests that crash targets; refuse them or send them on trial.

    When a sub-request gets no reply, its target is checked; if it has crashed,
    the Quarantine counts that against the request. The owner sets the
    callbacks: publish sends a rumor to all nodes, check_reachable tries to
    connect to a target, is_cut_off returns True if this node has lost its
    connections to all targets, is_leaving returns True if a target is shutting
    down on purpose or no longer registered, and clock returns the monotonic
    time in seconds.
    """

    def __init__(self, origin: str, metrics: Metrics, rng: random.Random):
        self.publish: typing.Callable[[Rumor], None] = lambda _: None
        self.check_reachable: typing.Callable[
            [TargetId, typing.Callable[[ConnectCheck], None]], None
        ] = lambda target_id, on_reach: on_reach(ConnectCheck.UNKNOWN)
        self.is_leaving: typing.Callable[[TargetId], bool] = lambda _: False
        self.is_cut_off: typing.Callable[[], bool] = lambda: False
        self.clock: typing.Callable[[], float] = lambda: 0.0
        self._quarantine = Quarantine(origin, SETTINGS, rng)
        self._metrics = metrics
        self._pending_losses: dict[TargetId, list[TargetLoss]] = {}
        self._unreachable_targets: set[TargetId] = set()
        self._pending_suspicions: dict[Fingerprint, float] = {}
        self._last_published_at = 0.0
        self._last_answer_at = 0.0

    # Decisions whether a request is sent to all its targets, tried at one
    # target first, or refused.

    def admit(self, identity: RequestIdentity, now: float) -> Admission:
        """Decide if a request is sent, tried at one target first or refused.

        Returning a Canary starts a trial, in which the request is sent to one
        target alone. trial_ended() ends the trial.
        """
        if not self._quarantine.suspects:
            return Allow()
        fp = identity.fingerprint
        admission = self._quarantine.admit(fp, now)
        if isinstance(admission, Refuse) and admission.on_trial:
            # The request is refused only because an equal request is on
            # trial. Trials may run at the same time, because the result of
            # each counts on its own, so this request gets its own trial.
            admission = Canary()
        if isinstance(admission, Canary):
            self._metrics.count('canaries')
            logs.log_event(
                'request_on_trial',
                fingerprint=fp,
                crashes=self._quarantine.crashes(fp),
            )
        return admission

    def is_refused(self, identity: RequestIdentity, now: float) -> bool:
        """Return True if a request must be refused; start no trial of it."""
        if not self._quarantine.suspects:
            return False
        decided = self._quarantine.decide_without_trial(
            identity.fingerprint, now
        )
        return isinstance(decided, Refuse)

    def crashed_services(self, identity: RequestIdentity) -> frozenset[str]:
        """Return the services whose targets a suspected request crashed."""
        return self._quarantine.crashed_services(identity.fingerprint)

    # Results of sub-requests, and crash checks of targets.

    def target_answered(self, target_id: TargetId, now: float) -> None:
        """Record that a target replied, whatever the status of the reply."""
        self._last_answer_at = now
        self._unreachable_targets.discard(target_id)

    def target_survived(
        self, identity: RequestIdentity, service: ServiceName, now: float
    ) -> None:
        """Record that a target of a service ran a request without crashing.

        Clears the request if it is suspected to crash targets of the service.
        """
        identity.survived_at.add(service)
        if self._quarantine.suspects:
            fp = identity.fingerprint
            self._apply(self._quarantine.clear_if_harmless(fp, service, now))

    def request_succeeded(self, identity: RequestIdentity, now: float) -> None:
        """Record that all sub-requests of a request have succeeded.

        The request is then blamed less for later crashes of targets. Does
        nothing for a suspected request.
        """
        self._quarantine.record_request_success(identity.fingerprint, now)

    def trial_ended(self, identity: RequestIdentity) -> None:
        """End the trial of a request, if any; its crashes stay counted."""
        self._quarantine.end_trial(identity.fingerprint)

    def mark_unreachable(self, target_id: TargetId, now: float) -> None:
        """Record that a target accepts no connection, blaming no request.

        Requests that crash other targets at about this time are blamed less,
        since a common cause is likely. Does nothing while the target is being
        checked after a sub-request got no reply: that check records the
        failure.
        """
        if (
            target_id not in self._unreachable_targets
            and target_id not in self._pending_losses
        ):
            self._unreachable_targets.add(target_id)
            self._quarantine.record_target_down(target_id, now)

    def forget_target(self, target_id: TargetId) -> None:
        """Forget that a target was unreachable; it is no longer registered."""
        self._unreachable_targets.discard(target_id)

    @property
    def unreachable_count(self) -> int:
        """Return how many targets currently accept no connection."""
        return len(self._unreachable_targets)

    def report_loss(self, lost: TargetLoss) -> None:
        """Check why a target did not reply; if it crashed, blame the request.

        Does nothing if another target of the service has run this attempt,
        because the request is then harmless, or if MAX_CONCURRENT_CHECKS other
        targets are being checked.
        """
        if lost.service in lost.identity.survived_at:
            return
        pending = self._pending_losses.get(lost.target_id)
        if pending is not None:
            pending.append(lost)
            return
        if len(self._pending_losses) >= MAX_CONCURRENT_CHECKS:
            self._metrics.count('crash_checks_skipped')
            return
        self._pending_losses[lost.target_id] = [lost]
        self.check_reachable(
            lost.target_id,
            lambda reach: self._on_checked(lost.target_id, reach),
        )

    def _on_checked(self, target_id: TargetId, reach: ConnectCheck) -> None:
        now = self.clock()
        group = self._pending_losses.pop(target_id)
        fps = {lost.identity.fingerprint for lost in group}
        for lost in group:
            if lost.service in lost.identity.survived_at:
                continue
            finding = self._classify(lost, reach)
            self._metrics.count('target_losses', finding.value)
            logs.log_event(
                'target_lost',
                request=lost.request_id,
                fingerprint=lost.identity.fingerprint,
                subject=lost.identity.subject[
                    :MAX_LOGGED_SUBJECT_BYTES
                ].decode('latin-1'),
                target=target_id,
                how=lost.how.value,
                finding=finding.value,
                on_trial=lost.tried,
                ran_ms=round((lost.lost_at - lost.sent_at) * 1_000, 1),
                answered_ms_ago=round((now - self._last_answer_at) * 1_000, 1),
                running=len(fps),
            )
            self._report_crash(lost, finding, fps, now)

    def _classify(self, lost: TargetLoss, reach: ConnectCheck) -> Finding:
        if self.is_leaving(lost.target_id):
            return Finding.LEFT
        if reach is not ConnectCheck.ACCEPTS and self.is_cut_off():
            return Finding.NODE_CUT_OFF
        match reach:
            case ConnectCheck.REFUSES:
                return Finding.CRASHED
            case ConnectCheck.SILENT if (
                self._last_answer_at > lost.sent_at + SILENT_AFTER_S
            ):
                return Finding.UNRESPONSIVE
            case ConnectCheck.SILENT:
                return Finding.NODE_CUT_OFF
            case _:
                return Finding.ALIVE

    def _report_crash(
        self,
        lost: TargetLoss,
        finding: Finding,
        fps: typing.Collection[Fingerprint],
        now: float,
    ) -> None:
        match finding:
            case Finding.CRASHED:
                certainty = 1.0
            case Finding.UNRESPONSIVE:
                certainty = UNRESPONSIVE_CERTAINTY
            case _:
                return
        self._unreachable_targets.add(lost.target_id)
        death = TargetCrash(
            lost.target_id,
            lost.service,
            lost.lost_at,
            certainty,
            lost.tried,
        )
        fp = lost.identity.fingerprint
        self._apply(self._quarantine.record_crash(fp, death, fps, now))

    # Rumors to and from other nodes.

    def on_rumor(self, rumor: Rumor, now: float) -> None:
        """Apply another node's rumor about a request that crashes targets."""
        self._apply(self._quarantine.apply_rumor(rumor, now))

    def publish_suspicions(self, now: float) -> None:
        """Publish the waiting suspected request with the most crashes.

        Called periodically. This node publishes at most one such request per
        PUBLISH_INTERVAL_S. A request must also have waited that long: by then
        a retry has usually cleared it if it is harmless.
        """
        if now - self._last_published_at < PUBLISH_INTERVAL_S:
            return
        due = [
            fp
            for fp, at in self._pending_suspicions.items()
            if now - at >= PUBLISH_INTERVAL_S
        ]
        if not due:
            return
        fp = max(due, key=self._quarantine.crashes)
        del self._pending_suspicions[fp]
        rumor = self._quarantine.evidence_rumor(fp, now)
        if rumor is not None:
            self._last_published_at = now
            self.publish(rumor)

    def _apply(self, actions: typing.Sequence) -> None:
        is_urgent = any(
            isinstance(action, Quarantined | Cleared) for action in actions
        )
        for action in actions:
            match action:
                case SendRumor(rumor) if is_urgent:
                    self.publish(rumor)
                case SendRumor(rumor):
                    self._queue_suspicion(rumor)
                case Suspected(fp):
                    self._metrics.count('suspected')
                    logs.log_event(
                        'request_suspected',
                        fingerprint=fp,
                        crashes=self._quarantine.crashes(fp),
                    )
                case Quarantined(fp, for_s):
                    self._metrics.count('quarantined')
                    logs.log_event(
                        'request_quarantined',
                        fingerprint=fp,
                        for_s=round(for_s, 3),
                    )
                case Cleared(fp):
                    logs.log_event('request_cleared', fingerprint=fp)

    def _queue_suspicion(self, rumor: Rumor) -> None:
        fp = Fingerprint(rumor.key.partition(':')[0])
        if len(self._pending_suspicions) < MAX_PENDING_SUSPICIONS:
            self._pending_suspicions.setdefault(fp, self.clock())
