"""Detect requests that crash targets, and decide how they may be sent.

Equal requests share a fingerprint. A fingerprint becomes a suspect when a
target fails while it runs a request with this fingerprint. The next requests
with it are sent on trial, that is to one target first. A success clears the
fingerprint; further crashes quarantine it: its requests are refused for some
time. A fingerprint is proven once a request with it has succeeded.
"""

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
MAX_STATE_BYTES = 256
# Each quarantine of a fingerprint lasts twice as long as the one before it.
# The count of quarantines stops at this number, because the computed duration
# would overflow with an unlimited count.
MAX_COUNTED_QUARANTINES = 16
# Service names are cut to this length, so that an encoded SuspectState fits
# into MAX_STATE_BYTES.
MAX_SERVICE_CHARS = 64

# The blame for the failure of a target is divided among the requests that it
# was running, in proportion to these weights. A request that has succeeded
# before is an unlikely cause; a request on trial is the likeliest.
PROVEN_WEIGHT = 0.1
DEFAULT_WEIGHT = 1.0
TRIAL_WEIGHT = 100.0
# The blame of a request whose trial was a Lead is multiplied by this factor.
# A Lead is used only if there was no evidence against the request and no crash
# was blamed on any request within alarm_s. So there is less reason to blame
# the request than after a Canary.
LEAD_BLAME_FACTOR = 0.5
# The blame of a request that has succeeded before is multiplied by this
# factor, because another request that the target was running more likely
# caused the crash.
PROVEN_BLAME_FACTOR = 0.5


Duration = typing.Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]
Share = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Bound = typing.Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]


class QuarantineSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Hold the limits and durations of the quarantine.

    A fingerprint is quarantined once at least min_crashes targets crashed
    while they ran its requests and its blame is at least blame_limit. Each
    crash adds 0 to 1 of blame, and less if targets that did not run the
    request failed within window_s too. Connections to one target that break
    within same_break_s count as one failure.

    The first quarantine of a fingerprint lasts quarantine_s, each further one
    twice as long as the one before it, up to max_quarantine_s. Each is
    extended by a random time, at most jitter times its length. A fingerprint
    stays a suspect until suspect_s after the last evidence against it or the
    end of its quarantine. Rumors about suspects are valid for at least told_s.

    A Lead sends the remaining sub-requests after lead_s at the latest; with
    0, no Lead is used. For alarm_s after a crash that was blamed on any
    request, each request that is not proven is sent as a Canary. A trial
    without a result ends after trial_timeout_s. While it runs, equal requests
    are refused and may be retried after trial_retry_s.

    At most max_suspects suspects and max_proven proven fingerprints are kept
    in memory.
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


# Decisions that Quarantine.admit() returns.


class Allow(msgspec.Struct, frozen=True, tag=True):
    """Send all sub-requests at once, without a trial."""


class Lead(msgspec.Struct, frozen=True, tag=True):
    """Send one sub-request first, the rest on its success or after wait_s.

    The rest is not sent if the connection of the first sub-request breaks
    before that. The target of this sub-request is chosen as for a Canary.
    """

    wait_s: float


class Canary(msgspec.Struct, frozen=True, tag=True):
    """Send one sub-request; the rest only after it has succeeded.

    Choose a target that runs no other trial. Each of its shards needs another
    live replica, in case the target crashes. broken is the target that an
    equal request is suspected to have crashed last; avoid the shards that
    broken holds, because they may already have lost a replica.
    """

    broken: TargetId | None = None


class Refuse(msgspec.Struct, frozen=True, tag=True):
    """Refuse the request; it may be sent again after retry_after_s.

    on_trial says that a trial of an equal request is still running. After its
    end, Quarantine.admit() may decide otherwise.
    """

    retry_after_s: float
    on_trial: bool = False


Admission = Allow | Lead | Canary | Refuse


class TargetCrash(msgspec.Struct, frozen=True):
    """Describe a target that was found dead after it got a request.

    service is the service of the target; at is when the connection to the
    target was lost. certainty is 1 if only a crash explains that the target is
    down, and lower otherwise; the blame is multiplied by it. tried says that
    the request was on trial and was sent to this target only.
    """

    target: TargetId
    service: str
    at: float
    certainty: float
    tried: bool


# Actions that methods of Quarantine return. The code that calls the method
# carries them out.


class SendRumor(msgspec.Struct, frozen=True):
    """Send a rumor about a suspect to other nodes."""

    rumor: Rumor


class Suspected(msgspec.Struct, frozen=True):
    """Log and count that a fingerprint has become a suspect."""

    fp: Fingerprint


class Quarantined(msgspec.Struct, frozen=True):
    """Log and count that a fingerprint is quarantined.

    Its requests are refused for the next for_s seconds.
    """

    fp: Fingerprint
    for_s: float


class Cleared(msgspec.Struct, frozen=True):
    """Log and count that a fingerprint is no longer a suspect."""

    fp: Fingerprint


Action = SendRumor | Suspected | Quarantined | Cleared


class SuspectState(msgspec.Struct, frozen=True, array_like=True):
    """Hold what one node knows of a suspect, as the body of a rumor.

    origin names the node; crashes and blame count only what this node observed
    itself. repeats is the number of quarantines so far; remaining_s is the
    time until the current quarantine ends, or 0. age_s is the time since the
    first known crash, service the service of the last crashed target. cleared
    makes other nodes end the suspicion, unless a quarantine is running. With
    ends_quarantine they end both, because a target has run the request
    without a crash.
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
    ends_quarantine: bool = False


_state_decoder = msgspec.msgpack.Decoder(SuspectState)


def to_rumor(state: SuspectState, version: int, ttl_s: float) -> Rumor:
    """Encode the state of a suspect as a rumor that is valid for ttl_s."""
    is_decision = state.remaining_s > 0.0 or state.cleared
    return Rumor(
        topic=TOPIC,
        key=f'{state.fp}:{state.origin}',
        version=version,
        body=msgspec.msgpack.encode(state),
        ttl_s=ttl_s,
        urgency=Urgency.DECISION if is_decision else Urgency.REPORT,
    )


def from_rumor(rumor: Rumor) -> SuspectState | None:
    """Decode a rumor; return None if it holds no valid SuspectState."""
    if rumor.topic != TOPIC or len(rumor.body) > MAX_STATE_BYTES:
        return None
    try:
        return _state_decoder.decode(rumor.body)
    except msgspec.DecodeError:
        return None


def fingerprint(
    service: ServiceName, body: QueryBody | BookingBody
) -> Fingerprint:
    """Return the hash that equal requests share, whoever sends them.

    The order of keys and of versions makes no difference.
    """
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
    """Return the hash of the parts, which all processes compute alike."""
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
    """Distinguish trials by when the remaining sub-requests are sent.

    LEAD: after the first has succeeded, or after a wait. CANARY: only after
    the first has succeeded.
    """

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
    """Hold the evidence against one suspected fingerprint.

    evidence_by_origin maps each other node to the evidence that it reported,
    and the key '' to the evidence of this node. broken is the last target
    whose failure this node counted. repeats is the number of quarantines so
    far; since is the time of the first known crash. last_service is the
    service of the last target that this node saw crash; services also has
    those that other nodes reported. was_proven says whether requests with the
    fingerprint had succeeded before it became a suspect, proven_at when the
    last of them did.
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
    """Record one failure of a target and the requests that it was running.

    weights divide the blame for the failure among these requests. counted_fps
    are the requests whose crash count already includes the failure, so that
    the failure is not counted twice.
    """

    target: TargetId
    at: float
    weights: dict[Fingerprint, float]
    counted_fps: set[Fingerprint] = msgspec.field(default_factory=set)


class Quarantine:
    """Decide how requests may be sent, from the failures of their targets.

    origin names this process in rumors. It must differ between processes and
    between restarts of a process: the versions of its rumors start at 1 again
    after a restart, and other nodes ignore versions of an origin that are not
    newer than the last one.
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

    def decide_without_trial(
        self, fp: Fingerprint, now: float
    ) -> Admission | None:
        """Return the decision on a request that needs no trial.

        Return None if a trial may be needed; admit() decides on trials.
        """
        suspect = self._find_suspect(fp, now)
        if suspect is not None and now < suspect.refused_until:
            return Refuse(suspect.refused_until - now)
        if suspect is None and fp in self._proven:
            self._proven.move_to_end(fp)
            return Allow()
        return None

    def admit(self, fp: Fingerprint, now: float) -> Admission:
        """Decide how a request may be sent; start a trial if one is needed."""
        decided = self.decide_without_trial(fp, now)
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

    def record_disconnect(
        self,
        fp: Fingerprint,
        target: TargetId,
        in_flight: Collection[Fingerprint],
        now: float,
        ends_trial: bool = True,
    ) -> list[Action]:
        """Record that a connection broke after a request was sent on it.

        in_flight are the requests that the target was running. ends_trial
        says that the target got the request as the trial of its fingerprint.
        If so, the trial ends, and the request is blamed unless its remaining
        sub-requests had been sent. Otherwise a running trial goes on, and the
        request becomes a suspect without blame, because any request in flight
        may have broken the connection.
        """
        failure = self._record_failure(fp, target, in_flight, now)
        blame = self._end_trial(fp, failure, now) if ends_trial else 0.0
        if fp in failure.counted_fps and not blame:
            return []
        return self._add_evidence(fp, failure, blame, now, now)

    def record_crash(
        self,
        fp: Fingerprint,
        death: TargetCrash,
        in_flight: Collection[Fingerprint],
        now: float,
    ) -> list[Action]:
        """Record a target that was found dead after it got a request.

        in_flight are the requests that the target was running. The request
        becomes a suspect, but is blamed only if it was sent to this target as
        its trial: otherwise any request in flight may have caused the crash.
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

    def record_target_down(self, target: TargetId, now: float) -> None:
        """Record that a target is down, without blaming any request.

        The failure reduces the blame of requests that this target did not run:
        targets that fail without a request suggest another cause.
        """
        self._failures.append(_TargetFailure(target, now, {}))

    def clear_if_harmless(
        self, fp: Fingerprint, service: str, now: float
    ) -> list[Action]:
        """Clear a suspect after a target of the service survived its request.

        Nothing happens if the suspect has only crashed targets of other
        services, because it may be harmless to this service alone.
        """
        suspect = self._find_suspect(fp, now)
        if suspect is None:
            return []
        if (
            suspect.services
            and service[:MAX_SERVICE_CHARS] not in suspect.services
        ):
            return []
        return self._clear_suspect(fp, suspect, now)

    def record_request_success(self, fp: Fingerprint, now: float) -> None:
        """Mark a fingerprint as proven after a whole request succeeded.

        A suspect is not marked: it stays a suspect.
        """
        if fp not in self._suspects:
            self._mark_proven(fp, now)

    def evidence_rumor(self, fp: Fingerprint, now: float) -> Rumor | None:
        """Return a rumor with this node's evidence against a fingerprint.

        Return None if the fingerprint is not a suspect.
        """
        suspect = self._find_suspect(fp, now)
        if suspect is None:
            return None
        return self._suspect_rumor(fp, suspect, now)

    def crashes(self, fp: Fingerprint) -> int:
        """Return how many crashes of targets count against a fingerprint."""
        suspect = self._suspects.get(fp)
        return suspect.crashes if suspect is not None else 0

    def crashed_services(self, fp: Fingerprint) -> frozenset[str]:
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
        is_new = self._find_suspect(fp, now) is None
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
        actions.append(SendRumor(self._suspect_rumor(fp, suspect, now)))
        return actions

    def _clear_suspect(
        self, fp: Fingerprint, suspect: _Suspect, now: float
    ) -> list[Action]:
        del self._suspects[fp]
        self._mark_proven(fp, now)
        actions: list[Action] = [Cleared(fp)]
        if '' in suspect.evidence_by_origin or now < suspect.refused_until:
            state = SuspectState(
                fp, self._origin, cleared=True, ends_quarantine=True
            )
            actions.append(SendRumor(self._make_rumor(state)))
        return actions

    def record_success(
        self, fp: Fingerprint, target: TargetId, now: float
    ) -> list[Action]:
        """Record that a target ran a request; end the trial of the request.

        A suspect is cleared only if it was on trial and is not quarantined. A
        fingerprint that is not a suspect becomes proven.
        """
        trial = self._trials.pop(fp, None)
        suspect = self._suspects.get(fp)
        if suspect is None:
            self._mark_proven(fp, now)
            return []
        if trial is None or now < suspect.refused_until:
            return []
        del self._suspects[fp]
        self._mark_proven(fp, now)
        state = SuspectState(fp, self._origin, cleared=True)
        return [Cleared(fp), SendRumor(self._make_rumor(state))]

    def is_proven(self, fp: Fingerprint) -> bool:
        """Return whether a fingerprint is proven and not on trial.

        If so, further successes of its requests need not be recorded.
        """
        return fp in self._proven and fp not in self._trials

    def end_trial(self, fp: Fingerprint) -> None:
        """End the trial of a request that ended without a result.

        Equal requests are then no longer refused because of the trial.
        """
        self._trials.pop(fp, None)

    def apply_rumor(self, rumor: Rumor, now: float) -> list[Action]:
        """Apply a rumor from another node.

        Rumors that are outdated, unreadable or from this node are ignored.
        """
        state = from_rumor(rumor)
        if state is None or state.origin == self._origin:
            return []
        if rumor.version <= self._rumor_versions.get(rumor.key, 0):
            return []
        self._remember_version(rumor)
        if state.cleared:
            return self._apply_cleared(state, now)
        if state.blame > 0.0 or state.remaining_s > 0.0:
            self._alarm_until = now + self._cfg.alarm_s
        is_new = self._find_suspect(state.fp, now) is None
        suspect = self._suspect_or_new(state.fp, now)
        suspect.evidence_by_origin[state.origin] = _Evidence(
            state.crashes, state.blame
        )
        suspect.expires_at = max(suspect.expires_at, now + self._cfg.suspect_s)
        suspect.since = min(suspect.since, now - state.age_s)
        if state.service:
            suspect.services.add(state.service)
        actions: list[Action] = [Suspected(state.fp)] if is_new else []
        if state.remaining_s > 0.0:
            remaining_s = min(state.remaining_s, rumor.ttl_s)
            actions += self._apply_quarantine(suspect, state, remaining_s, now)
        else:
            actions += self._quarantine_if_due(state.fp, suspect, now)
        if suspect.services and suspect.proven_at > suspect.since:
            # A request with this fingerprint has succeeded at this node after
            # the first known crash, so the fingerprint is cleared.
            return actions + self._clear_suspect(state.fp, suspect, now)
        return actions

    # Attribution of failures to requests.

    def _record_failure(
        self,
        fp: Fingerprint,
        target: TargetId,
        in_flight: Collection[Fingerprint],
        now: float,
    ) -> _TargetFailure:
        """Return the record of a target's failure; create it if needed.

        One failure is reported once for each request that the target was
        running. Reports within same_break_s share one record.
        """
        failure = self._find_failure(fp, target, now)
        if failure is None:
            fps = {fp, *in_flight}
            weights = {each: self._blame_weight(each, now) for each in fps}
            failure = _TargetFailure(target, now, weights)
            self._failures.append(failure)
        return failure

    def _end_trial(
        self, fp: Fingerprint, failure: _TargetFailure, now: float
    ) -> float:
        """End the trial of a request; return the request's blame.

        The blame is 0 if the request was not on trial, or if its remaining
        sub-requests had been sent before the failure.
        """
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

        The blame of the request is reduced by this count, since such failures
        suggest another cause. Several nodes may report the same failure: the
        target counts once, and not at all if any report names the request.
        Targets that failed while running the trial of another request don't
        count, because that request explains their failure.
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

    def _blame_weight(self, fp: Fingerprint, now: float) -> float:
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
            cfg.quarantine_s * 2**suspect.repeats,
            cfg.max_quarantine_s,
        ) * self._rng.uniform(1.0, 1.0 + cfg.jitter)
        suspect.repeats = min(suspect.repeats + 1, MAX_COUNTED_QUARANTINES)
        self._refuse_until(suspect, now + for_s)
        return [Quarantined(fp, for_s)]

    def _refuse_until(self, suspect: _Suspect, until: float) -> None:
        """Start or extend the quarantine of a suspect.

        The crash count is set to one below min_crashes and the blame to 0. If
        the first canary after the quarantine crashes its target, the
        quarantine is renewed.
        """
        suspect.refused_until = until
        suspect.expires_at = until + self._cfg.suspect_s
        suspect.evidence_by_origin = {
            '': _Evidence(crashes=self._cfg.min_crashes - 1)
        }

    # Running trials.

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
        """Return whether a request is on trial with only one sub-request sent.

        For a Lead, this is false after lead_s: the remaining sub-requests have
        been sent by then.
        """
        trial = self._current_trial(fp, now)
        if trial is None:
            return False
        elapsed_s = now - trial.since
        return trial.kind is TrialKind.CANARY or elapsed_s <= self._cfg.lead_s

    # Bounded tables of suspects and of proven fingerprints.

    def _find_suspect(self, fp: Fingerprint, now: float) -> _Suspect | None:
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

        A quarantined suspect is removed only if all others are quarantined.
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
        state = SuspectState(
            fp,
            self._origin,
            crashes=own_evidence.crashes,
            blame=own_evidence.blame,
            repeats=suspect.repeats,
            remaining_s=max(suspect.refused_until - now, 0.0),
            age_s=max(now - suspect.since, 0.0),
            service=suspect.last_service,
        )
        return self._make_rumor(state)

    def _make_rumor(self, state: SuspectState) -> Rumor:
        self._version += 1
        ttl_s = max(state.remaining_s, self._cfg.told_s)
        return to_rumor(state, self._version, ttl_s)

    def _remember_version(self, rumor: Rumor) -> None:
        self._rumor_versions[rumor.key] = rumor.version
        self._rumor_versions.move_to_end(rumor.key)
        if len(self._rumor_versions) > self._cfg.max_suspects:
            self._rumor_versions.popitem(last=False)

    def _apply_cleared(self, state: SuspectState, now: float) -> list[Action]:
        suspect = self._suspects.get(state.fp)
        if suspect is None:
            return []
        if now < suspect.refused_until and not state.ends_quarantine:
            return []
        del self._suspects[state.fp]
        self._mark_proven(state.fp, now)
        return [Cleared(state.fp)]

    def _apply_quarantine(
        self,
        suspect: _Suspect,
        state: SuspectState,
        remaining_s: float,
        now: float,
    ) -> list[Action]:
        remaining_s = min(
            remaining_s,
            self._cfg.max_quarantine_s * (1.0 + self._cfg.jitter),
        )
        was_refused = now < suspect.refused_until
        suspect.repeats = max(
            suspect.repeats,
            min(state.repeats, MAX_COUNTED_QUARANTINES),
        )
        until = max(suspect.refused_until, now + remaining_s)
        self._refuse_until(suspect, until)
        return [] if was_refused else [Quarantined(state.fp, remaining_s)]
