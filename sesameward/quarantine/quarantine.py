"""Detect requests that crash targets, and decide how they may be sent."""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable
import enum
import hashlib
import math
import random
import typing

import msgspec

from ..messages import BookingBody
from ..messages import QueryBody
from ..messages import Rumor
from ..messages import Urgency
from ..types import Fingerprint
from ..types import NodeId
from ..types import ServiceName
from ..types import TargetId

TOPIC = 'quarantine'
FINGERPRINT_BYTES = 12
MAX_VERDICT_BYTES = 256
# Bounds the exponent by which the time of repeated quarantines grows.
MAX_COUNTED_QUARANTINES = 16
# Service names are cut to this length, so that a verdict fits its size limit.
MAX_SERVICE_CHARS = 64

# The blame for a failure is shared among the requests in flight by weight.
PROVEN_WEIGHT = 0.1
DEFAULT_WEIGHT = 1.0
TRIAL_WEIGHT = 100.0
LEAD_BLAME_FACTOR = 0.5
# A request that has succeeded before was more likely only in flight beside the
# request that caused the crash.
PROVEN_BLAME_FACTOR = 0.5


Duration = typing.Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]
Share = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Bound = typing.Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]


class QuarantineSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Hold the limits, durations and memory bounds of the quarantine.

    A fingerprint is quarantined after min_crashes lost targets and at least
    blame_limit of blame. told_s is how long other nodes gossip a suspicion.
    For alarm_s after a failure with blame, unproven requests are sent as
    canaries. Connections to a target that break within same_break_s count as
    one failure. Other failures within window_s reduce a request's blame.
    """

    enabled: bool = True
    min_crashes: typing.Annotated[int, msgspec.Meta(ge=1, le=100)] = 2
    told_s: Duration = 60.0
    lead_s: Duration = 0.05
    suspect_s: Duration = 60.0
    alarm_s: Duration = 10.0
    quarantine_s: Duration = 30.0
    max_quarantine_s: Duration = 900.0
    jitter: Share = 0.2
    blame_limit: Share = 0.75
    window_s: Duration = 1.0
    same_break_s: Duration = 0.05
    trial_timeout_s: Duration = 5.0
    trial_retry_s: typing.Annotated[float, msgspec.Meta(ge=0.001, le=10.0)] = (
        0.02
    )
    max_suspects: Bound = 4_096
    max_proven: Bound = 50_000


# Decisions of Quarantine.admit().


class Allow(msgspec.Struct, frozen=True, tag=True):
    """Send all sub-requests at once, without a trial."""


class Lead(msgspec.Struct, frozen=True, tag=True):
    """Send one sub-request first, the rest on its success or after wait_s.

    If its connection breaks before that, the rest is not sent. The target is
    chosen as for a canary.
    """

    wait_s: float


class Canary(msgspec.Struct, frozen=True, tag=True):
    """Send one sub-request; the rest only after it has succeeded.

    The target must not run another trial, and each of its shards needs
    another live replica in case it crashes. broken is the target that the
    request is suspected to have crashed last; its shards are to be avoided.
    """

    broken: TargetId | None = None


class Refuse(msgspec.Struct, frozen=True, tag=True):
    """Refuse the request for retry_after_s.

    on_trial says that a trial of an equal request is still running, so that
    the sender may wait and ask for admission again.
    """

    retry_after_s: float
    on_trial: bool = False


Admission = Allow | Lead | Canary | Refuse


class Death(msgspec.Struct, frozen=True):
    """Describe a target that was found dead after it got a request.

    service is the service of the target. certainty is 1 if only a crash can
    explain that the target is gone, and lower otherwise. tried says that the
    request was sent to this target alone, as its trial.
    """

    target: TargetId
    service: str
    at: float
    certainty: float
    tried: bool


# Actions that the caller of a Quarantine has to carry out.


class Spread(msgspec.Struct, frozen=True):
    """Ask to send a rumor to the other nodes."""

    rumor: Rumor


class Suspected(msgspec.Struct, frozen=True):
    """Report that a fingerprint came under suspicion."""

    fp: Fingerprint


class Quarantined(msgspec.Struct, frozen=True):
    """Report that a fingerprint is refused for for_s."""

    fp: Fingerprint
    for_s: float


class Cleared(msgspec.Struct, frozen=True):
    """Report that a fingerprint is no longer suspected."""

    fp: Fingerprint


Action = Spread | Suspected | Quarantined | Cleared


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """Hold what one node knows of a fingerprint, as the body of a rumor.

    crashes and blame count only what origin itself observed. repeats is the
    number of quarantines so far, remaining_s the rest of the current one.
    age_s is the time since the first crash; service is that of the last
    crashed target. disproved says that a target has run the request unharmed
    since, so that a quarantine ends as well.
    """

    fp: Fingerprint
    origin: str
    crashes: int = 0
    blame: float = 0.0
    repeats: int = 0
    remaining_s: float = 0.0
    cleared: bool = False
    age_s: float = 0.0
    service: str = ''
    disproved: bool = False


_verdict_decoder = msgspec.msgpack.Decoder(Verdict)


def to_rumor(verdict: Verdict, version: int, ttl_s: float) -> Rumor:
    """Return the rumor that carries a verdict."""
    is_decision = verdict.remaining_s > 0.0 or verdict.cleared
    return Rumor(
        topic=TOPIC,
        key=f'{verdict.fp}:{verdict.origin}',
        version=version,
        body=msgspec.msgpack.encode(verdict),
        ttl_s=ttl_s,
        urgency=Urgency.DECISION if is_decision else Urgency.REPORT,
    )


def from_rumor(rumor: Rumor) -> Verdict | None:
    """Return the verdict of a rumor, or None if it holds no valid one."""
    if rumor.topic != TOPIC or len(rumor.body) > MAX_VERDICT_BYTES:
        return None
    try:
        return _verdict_decoder.decode(rumor.body)
    except msgspec.DecodeError:
        return None


def fingerprint(
    service: ServiceName, body: QueryBody | BookingBody
) -> Fingerprint:
    """Return the hash that is the same for equal requests of all callers."""
    match body:
        case QueryBody(match, keys, versions):
            parts = (
                'query',
                service,
                msgspec.json.decode(match),
                sorted(set(keys)) if keys is not None else None,
                sorted(set(versions)) if versions is not None else None,
            )
        case BookingBody(record_key, action):
            parts = (
                'booking',
                service,
                record_key,
                msgspec.json.decode(action),
            )
    return fingerprint_of(*parts)


def fingerprint_of(*parts: object) -> Fingerprint:
    """Return the hash of the parts that equal requests share."""
    data = msgspec.json.encode(parts, order='sorted')
    digest = hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES)
    return Fingerprint(digest.hexdigest())


def home(fp: Fingerprint, nodes: Iterable[NodeId]) -> NodeId:
    """Return the node that decides on the trials of a fingerprint.

    Rendezvous hashing is used, so that few fingerprints get another home when
    a node joins or leaves.
    """
    return max(
        nodes,
        key=lambda node: hashlib.blake2b(
            f'{fp}:{node}'.encode(), digest_size=8
        ).digest(),
    )


class TrialKind(enum.Enum):
    """Distinguish trials by when the rest of the sub-requests is sent."""

    LEAD = 'lead'
    CANARY = 'canary'


_BLAME_FACTORS = {TrialKind.LEAD: LEAD_BLAME_FACTOR, TrialKind.CANARY: 1.0}


class _Trial(msgspec.Struct):
    kind: TrialKind
    since: float


class _Evidence(msgspec.Struct):
    crashes: int = 0
    blame: float = 0.0


class _Suspect(msgspec.Struct):
    """Hold the evidence against one fingerprint.

    evidence_by_origin has this node's own evidence under the key ''. since
    is the time of the first known crash, broken the last target whose failure
    this node counted, repeats the number of quarantines so far. services are
    those whose targets the request is known to have crashed.
    """

    refused_until: float = 0.0
    expires_at: float = 0.0
    repeats: int = 0
    broken: TargetId | None = None
    was_proven: bool = False
    since: float = math.inf
    last_service: str = ''
    proven_at: float = -math.inf
    services: set[str] = msgspec.field(default_factory=set)
    evidence_by_origin: dict[str, _Evidence] = msgspec.field(
        default_factory=dict
    )

    @property
    def crashes(self) -> int:
        return sum(e.crashes for e in self.evidence_by_origin.values())

    @property
    def blame(self) -> float:
        return sum(e.blame for e in self.evidence_by_origin.values())


class _TargetFailure(msgspec.Struct):
    """Hold one failure of a target, shared by the requests in flight there.

    weights are those of the requests when the failure was recorded;
    counted_fps are the requests whose crash count already includes it.
    """

    target: TargetId
    at: float
    weights: dict[Fingerprint, float]
    counted_fps: set[Fingerprint] = msgspec.field(default_factory=set)


class Quarantine:
    """Decide how requests may be sent, from the failures of their targets.

    origin names this process in rumors. It must differ between processes and
    between restarts of a process.
    """

    def __init__(
        self, origin: str, cfg: QuarantineSettings, rng: random.Random
    ):
        self._origin = origin
        self._cfg = cfg
        self._rng = rng
        self._version = 0
        self._alarm_until = 0.0
        self._suspects: collections.OrderedDict[Fingerprint, _Suspect] = (
            collections.OrderedDict()
        )
        self._proven: collections.OrderedDict[Fingerprint, float] = (
            collections.OrderedDict()
        )
        self._trials: collections.OrderedDict[Fingerprint, _Trial] = (
            collections.OrderedDict()
        )
        self._rumor_versions: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._failures: collections.deque[_TargetFailure] = collections.deque(
            maxlen=256
        )

    @property
    def suspects(self) -> int:
        """Return the number of fingerprints under suspicion or quarantine."""
        return len(self._suspects)

    def decided(self, fp: Fingerprint, now: float) -> Admission | None:
        """Decide on a request if its state here suffices.

        Return None if a trial may be needed, on which the home decides.
        """
        suspect = self._suspect(fp, now)
        if suspect is not None and now < suspect.refused_until:
            return Refuse(suspect.refused_until - now)
        if suspect is None and fp in self._proven:
            self._proven.move_to_end(fp)
            return Allow()
        return None

    def admit(self, fp: Fingerprint, now: float) -> Admission:
        """Decide how a request may be sent; start a trial if one is needed."""
        decided = self.decided(fp, now)
        if decided is not None:
            return decided
        suspect = self._suspects.get(fp)
        if self._current_trial(fp, now) is not None:
            return Refuse(self._cfg.trial_retry_s, on_trial=True)
        if suspect is not None:
            self._start_trial(fp, TrialKind.CANARY, now)
            return Canary(suspect.broken)
        if now < self._alarm_until:
            self._start_trial(fp, TrialKind.CANARY, now)
            return Canary()
        if self._cfg.lead_s <= 0.0:
            return Allow()
        self._start_trial(fp, TrialKind.LEAD, now)
        return Lead(self._cfg.lead_s)

    def broke(
        self,
        fp: Fingerprint,
        target: TargetId,
        in_flight: Collection[Fingerprint],
        now: float,
        ends_trial: bool = True,
    ) -> list[Action]:
        """Record that a connection broke after this request was sent on it.

        in_flight are the requests that the target was running. ends_trial is
        false if the sub-request was sent before the request's current trial,
        so that this trial goes on.
        """
        failure = self._record_failure(fp, target, in_flight, now)
        blame = self._end_trial(fp, failure, now) if ends_trial else 0.0
        if fp in failure.counted_fps and not blame:
            return []
        return self._add_evidence(fp, failure, blame, now, now)

    def died(
        self,
        fp: Fingerprint,
        death: Death,
        in_flight: Collection[Fingerprint],
        now: float,
    ) -> list[Action]:
        """Record a target that was found dead after it got this request.

        Unlike a broken connection, the failure has been confirmed by a check
        of the target. Only a request that ran there as its trial is blamed.
        """
        failure = self._record_failure(fp, death.target, in_flight, now)
        if fp in failure.counted_fps:
            return []
        blame = 0.0
        if death.tried:
            failure.weights[fp] = TRIAL_WEIGHT
            blame = self._blame_share(fp, failure, now) * death.certainty
        actions = self._add_evidence(fp, failure, blame, death.at, now)
        suspect = self._suspects[fp]
        suspect.last_service = death.service[:MAX_SERVICE_CHARS]
        suspect.services.add(suspect.last_service)
        return actions

    def noticed_dead(self, target: TargetId, now: float) -> None:
        """Record that a target is down, without blaming any request."""
        self._failures.append(_TargetFailure(target, now, {}))

    def survived(
        self, fp: Fingerprint, service: str, now: float
    ) -> list[Action]:
        """Clear a suspect after a target of the service ran it unharmed.

        Only services whose targets it is suspected to have crashed count,
        because the request may be harmless to all others.
        """
        suspect = self._suspect(fp, now)
        if suspect is None:
            return []
        if (
            suspect.services
            and service[:MAX_SERVICE_CHARS] not in suspect.services
        ):
            return []
        return self._clear_suspect(fp, suspect, now)

    def proved(self, fp: Fingerprint, now: float) -> None:
        """Mark a fingerprint as proven after a whole request succeeded."""
        if fp not in self._suspects:
            self._mark_proven(fp, now)

    def report(self, fp: Fingerprint, now: float) -> Rumor | None:
        """Return a rumor with this node's evidence, or None for no suspect."""
        suspect = self._suspect(fp, now)
        if suspect is None:
            return None
        return self._suspect_rumor(fp, suspect, now)

    def crashes(self, fp: Fingerprint) -> int:
        """Return the number of known crashes of targets under a suspect."""
        suspect = self._suspects.get(fp)
        return suspect.crashes if suspect is not None else 0

    def struck_places(self, fp: Fingerprint) -> frozenset[str]:
        """Return the services whose targets a suspect has crashed."""
        suspect = self._suspects.get(fp)
        return frozenset(suspect.services) if suspect else frozenset()

    def _add_evidence(
        self,
        fp: Fingerprint,
        failure: _TargetFailure,
        blame: float,
        at: float,
        now: float,
    ) -> list[Action]:
        is_new = self._suspect(fp, now) is None
        suspect = self._suspect_or_new(fp, now)
        own_evidence = suspect.evidence_by_origin.setdefault('', _Evidence())
        own_evidence.crashes += fp not in failure.counted_fps
        own_evidence.blame += blame * (
            PROVEN_BLAME_FACTOR if suspect.was_proven else 1.0
        )
        failure.counted_fps.add(fp)
        if blame:
            self._alarm_until = now + self._cfg.alarm_s
        suspect.broken = failure.target
        suspect.since = min(suspect.since, at)
        suspect.expires_at = max(suspect.expires_at, now + self._cfg.suspect_s)
        actions: list[Action] = [Suspected(fp)] if is_new else []
        actions += self._quarantine_if_due(fp, suspect, now)
        actions.append(Spread(self._suspect_rumor(fp, suspect, now)))
        return actions

    def _clear_suspect(
        self, fp: Fingerprint, suspect: _Suspect, now: float
    ) -> list[Action]:
        del self._suspects[fp]
        self._mark_proven(fp, now)
        actions: list[Action] = [Cleared(fp)]
        if '' in suspect.evidence_by_origin or now < suspect.refused_until:
            verdict = Verdict(fp, self._origin, cleared=True, disproved=True)
            actions.append(Spread(self._make_rumor(verdict)))
        return actions

    def succeeded(
        self, fp: Fingerprint, target: TargetId, now: float
    ) -> list[Action]:
        """Record a success; a suspect is cleared only if it was on trial."""
        trial = self._trials.pop(fp, None)
        suspect = self._suspects.get(fp)
        if suspect is None:
            self._mark_proven(fp, now)
            return []
        if trial is None or now < suspect.refused_until:
            return []
        del self._suspects[fp]
        self._mark_proven(fp, now)
        verdict = Verdict(fp, self._origin, cleared=True)
        return [Cleared(fp), Spread(self._make_rumor(verdict))]

    def is_proven(self, fp: Fingerprint) -> bool:
        """Return whether a further success would change nothing."""
        return fp in self._proven and fp not in self._trials

    def ended(self, fp: Fingerprint) -> None:
        """End a trial that neither succeeded nor broke the connection."""
        self._trials.pop(fp, None)

    def heard(self, rumor: Rumor, now: float) -> list[Action]:
        """Apply a rumor from another node; ignore old and unreadable ones."""
        verdict = from_rumor(rumor)
        if verdict is None or verdict.origin == self._origin:
            return []
        if rumor.version <= self._rumor_versions.get(rumor.key, 0):
            return []
        self._remember_version(rumor)
        if verdict.cleared:
            return self._apply_cleared(verdict, now)
        if verdict.blame > 0.0 or verdict.remaining_s > 0.0:
            self._alarm_until = now + self._cfg.alarm_s
        is_new = self._suspect(verdict.fp, now) is None
        suspect = self._suspect_or_new(verdict.fp, now)
        suspect.evidence_by_origin[verdict.origin] = _Evidence(
            verdict.crashes, verdict.blame
        )
        suspect.expires_at = max(suspect.expires_at, now + self._cfg.suspect_s)
        suspect.since = min(suspect.since, now - verdict.age_s)
        if verdict.service:
            suspect.services.add(verdict.service)
        actions: list[Action] = [Suspected(verdict.fp)] if is_new else []
        if verdict.remaining_s > 0.0:
            remaining_s = min(verdict.remaining_s, rumor.ttl_s)
            actions += self._apply_quarantine(
                suspect, verdict, remaining_s, now
            )
        else:
            actions += self._quarantine_if_due(verdict.fp, suspect, now)
        if suspect.services and suspect.proven_at > suspect.since:
            # This node saw the request succeed after the first crash that the
            # rumor reports.
            return actions + self._clear_suspect(verdict.fp, suspect, now)
        return actions

    # Attribution of failures to requests.

    def _record_failure(
        self,
        fp: Fingerprint,
        target: TargetId,
        in_flight: Collection[Fingerprint],
        now: float,
    ) -> _TargetFailure:
        """Return the failure shared by all requests in flight; add if new."""
        failure = self._find_failure(fp, target, now)
        if failure is None:
            fps = {fp, *in_flight}
            weights = {each: self._weight(each, now) for each in fps}
            failure = _TargetFailure(target, now, weights)
            self._failures.append(failure)
        return failure

    def _end_trial(
        self, fp: Fingerprint, failure: _TargetFailure, now: float
    ) -> float:
        """End the trial; return the blame if only its sub-request was out."""
        ran_alone = self._runs_alone(fp, now)
        trial = self._trials.pop(fp, None)
        if not ran_alone:
            return 0.0
        return self._blame_share(fp, failure, now) * _BLAME_FACTORS[trial.kind]

    def _blame_share(
        self, fp: Fingerprint, failure: _TargetFailure, now: float
    ) -> float:
        share = failure.weights[fp] / sum(failure.weights.values())
        return share / (1 + self._count_unrelated_failures(fp, now))

    def _find_failure(
        self, fp: Fingerprint, target: TargetId, now: float
    ) -> _TargetFailure | None:
        for failure in reversed(self._failures):
            if now - failure.at > self._cfg.same_break_s:
                return None
            if failure.target == target and fp in failure.weights:
                return failure
        return None

    def _count_unrelated_failures(self, fp: Fingerprint, now: float) -> int:
        """Count targets that failed recently while not running the request.

        Several entries may report one failure, each with its own requests in
        flight. Targets that failed under the trial of another request are
        not counted, because that request explains the failure.
        """
        since = now - self._cfg.window_s
        recent = [failure for failure in self._failures if failure.at >= since]
        explained = {
            failure.target
            for failure in recent
            if fp in failure.weights
            or TRIAL_WEIGHT in failure.weights.values()
        }
        return len({failure.target for failure in recent} - explained)

    def _weight(self, fp: Fingerprint, now: float) -> float:
        if self._runs_alone(fp, now):
            return TRIAL_WEIGHT
        return PROVEN_WEIGHT if fp in self._proven else DEFAULT_WEIGHT

    def _quarantine_if_due(
        self, fp: Fingerprint, suspect: _Suspect, now: float
    ) -> list[Action]:
        cfg = self._cfg
        if suspect.crashes < cfg.min_crashes:
            return []
        if suspect.blame < cfg.blame_limit or now < suspect.refused_until:
            return []
        for_s = min(
            cfg.quarantine_s * 2**suspect.repeats, cfg.max_quarantine_s
        ) * self._rng.uniform(1.0, 1.0 + cfg.jitter)
        suspect.repeats = min(suspect.repeats + 1, MAX_COUNTED_QUARANTINES)
        self._refuse_until(suspect, now + for_s)
        return [Quarantined(fp, for_s)]

    def _refuse_until(self, suspect: _Suspect, until: float) -> None:
        """Start or extend a quarantine.

        The evidence is set to one crash below min_crashes, so that one more
        crash, of the canary after the quarantine, is enough to renew it.
        """
        suspect.refused_until = until
        suspect.expires_at = until + self._cfg.suspect_s
        suspect.evidence_by_origin = {
            '': _Evidence(crashes=self._cfg.min_crashes - 1)
        }

    # State of trials.

    def _start_trial(
        self, fp: Fingerprint, kind: TrialKind, now: float
    ) -> None:
        self._trials[fp] = _Trial(kind, now)
        if len(self._trials) > self._cfg.max_suspects:
            self._trials.popitem(last=False)

    def _current_trial(self, fp: Fingerprint, now: float) -> _Trial | None:
        trial = self._trials.get(fp)
        if trial is None:
            return None
        if now - trial.since > self._cfg.trial_timeout_s:
            del self._trials[fp]
            return None
        return trial

    def _runs_alone(self, fp: Fingerprint, now: float) -> bool:
        """Return whether only the trial's sub-request was sent so far."""
        trial = self._current_trial(fp, now)
        if trial is None:
            return False
        elapsed_s = now - trial.since
        return trial.kind is TrialKind.CANARY or elapsed_s <= self._cfg.lead_s

    # Bounded tables of suspects and of proven fingerprints.

    def _suspect(self, fp: Fingerprint, now: float) -> _Suspect | None:
        suspect = self._suspects.get(fp)
        if suspect is not None and now > suspect.expires_at:
            del self._suspects[fp]
            return None
        return suspect

    def _suspect_or_new(self, fp: Fingerprint, now: float) -> _Suspect:
        proven_at = self._proven.pop(fp, None)
        suspect = self._suspects.setdefault(fp, _Suspect())
        if proven_at is not None:
            suspect.was_proven = True
            suspect.proven_at = proven_at
        self._suspects.move_to_end(fp)
        if len(self._suspects) > self._cfg.max_suspects:
            self._evict_suspect(fp, now)
        return suspect

    def _evict_suspect(self, kept_fp: Fingerprint, now: float) -> None:
        """Remove the oldest suspect other than kept_fp.

        A quarantined one is removed only if all others are quarantined too.
        """
        evictable = (
            fp
            for fp, suspect in self._suspects.items()
            if suspect.refused_until <= now and fp != kept_fp
        )
        oldest = next(evictable, next(iter(self._suspects)))
        del self._suspects[oldest]

    def _mark_proven(self, fp: Fingerprint, now: float) -> None:
        self._proven[fp] = now
        self._proven.move_to_end(fp)
        if len(self._proven) > self._cfg.max_proven:
            self._proven.popitem(last=False)

    # Rumors to and from other nodes.

    def _suspect_rumor(
        self, fp: Fingerprint, suspect: _Suspect, now: float
    ) -> Rumor:
        own_evidence = suspect.evidence_by_origin.get('', _Evidence())
        verdict = Verdict(
            fp,
            self._origin,
            crashes=own_evidence.crashes,
            blame=own_evidence.blame,
            repeats=suspect.repeats,
            remaining_s=max(suspect.refused_until - now, 0.0),
            age_s=max(now - suspect.since, 0.0),
            service=suspect.last_service,
        )
        return self._make_rumor(verdict)

    def _make_rumor(self, verdict: Verdict) -> Rumor:
        self._version += 1
        ttl_s = max(verdict.remaining_s, self._cfg.told_s)
        return to_rumor(verdict, self._version, ttl_s)

    def _remember_version(self, rumor: Rumor) -> None:
        self._rumor_versions[rumor.key] = rumor.version
        self._rumor_versions.move_to_end(rumor.key)
        if len(self._rumor_versions) > self._cfg.max_suspects:
            self._rumor_versions.popitem(last=False)

    def _apply_cleared(self, verdict: Verdict, now: float) -> list[Action]:
        suspect = self._suspects.get(verdict.fp)
        if suspect is None:
            return []
        if now < suspect.refused_until and not verdict.disproved:
            return []
        del self._suspects[verdict.fp]
        self._mark_proven(verdict.fp, now)
        return [Cleared(verdict.fp)]

    def _apply_quarantine(
        self,
        suspect: _Suspect,
        verdict: Verdict,
        remaining_s: float,
        now: float,
    ) -> list[Action]:
        remaining_s = min(
            remaining_s,
            self._cfg.max_quarantine_s * (1.0 + self._cfg.jitter),
        )
        was_refused = now < suspect.refused_until
        suspect.repeats = max(
            suspect.repeats, min(verdict.repeats, MAX_COUNTED_QUARANTINES)
        )
        until = max(suspect.refused_until, now + remaining_s)
        self._refuse_until(suspect, until)
        return [] if was_refused else [Quarantined(verdict.fp, remaining_s)]
