"""Decide which requests may crash targets and hold them back."""

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
MAX_RUMOR_BYTES = 256
MAX_REPEATS = 16
# Names of places are cut to this length in verdicts, so that they fit.
MAX_PLACE_CHARS = 64

PROVEN_WEIGHT = 0.1
PLAIN_WEIGHT = 1.0
TRIAL_WEIGHT = 100.0
LEAD_BLAME = 0.5
# What has succeeded before more likely ran beside the cause of a crash.
PROVEN_BLAME = 0.5


Duration = typing.Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]
Share = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Bound = typing.Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]


class QuarantineSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Time suspicion and quarantine, and bound their memory.

    A quarantine needs min_crashes targets lost and blame_limit of blame.
    told_s is how long others pass a suspicion on.
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


# What admit() decides.


class Allow(msgspec.Struct, frozen=True, tag=True):
    """Send all sub-requests at once."""


class Lead(msgspec.Struct, frozen=True, tag=True):
    """Send one sub-request; the rest when it succeeds or after wait_s.

    Where it breaks, none of the rest is sent. Choose its target as for a
    canary.
    """

    wait_s: float


class Canary(msgspec.Struct, frozen=True, tag=True):
    """Send one sub-request; the rest only after it has succeeded.

    Choose a target which runs no other trial and whose shards all keep
    another live replica should it crash; so keep away from the shards of
    broken, where it is given.
    """

    broken: TargetId | None = None


class Refuse(msgspec.Struct, frozen=True, tag=True):
    """Refuse the request, or wait where its trial is still running."""

    retry_after_s: float
    on_trial: bool = False


Admission = Allow | Lead | Canary | Refuse


class Death(msgspec.Struct, frozen=True):
    """Hold that a target was found dead after it got a request.

    place names whatever else the request may be run by; certainty is 1
    where nothing else can explain that the target is gone. tried tells that
    the request went to this target alone, as its trial.
    """

    target: TargetId
    place: str
    at: float
    certainty: float
    tried: bool


# What broke() asks for.


class Spread(msgspec.Struct, frozen=True):
    """Send a rumor to the other entries at once."""

    rumor: Rumor


class Suspected(msgspec.Struct, frozen=True):
    """Report that a fingerprint came under suspicion."""

    fp: Fingerprint


class Quarantined(msgspec.Struct, frozen=True):
    """Report that a fingerprint is refused for a time."""

    fp: Fingerprint
    for_s: float


class Cleared(msgspec.Struct, frozen=True):
    """Report that a fingerprint has proved harmless."""

    fp: Fingerprint


Action = Spread | Suspected | Quarantined | Cleared


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """Hold what one entry says of a fingerprint, as a rumor's body.

    age_s is the time since the first crash, place where the last one was.
    disproved says that a target has run the request unharmed since then.
    """

    fp: Fingerprint
    origin: str
    crashes: int = 0
    blame: float = 0.0
    repeats: int = 0
    remaining_s: float = 0.0
    cleared: bool = False
    age_s: float = 0.0
    place: str = ''
    disproved: bool = False


_verdicts = msgspec.msgpack.Decoder(Verdict)


def to_rumor(verdict: Verdict, version: int, ttl_s: float) -> Rumor:
    """Return the rumor which carries a verdict."""
    is_decided = verdict.remaining_s > 0.0 or verdict.cleared
    return Rumor(
        topic=TOPIC,
        key=f'{verdict.fp}:{verdict.origin}',
        version=version,
        body=msgspec.msgpack.encode(verdict),
        ttl_s=ttl_s,
        urgency=Urgency.DECISION if is_decided else Urgency.REPORT,
    )


def from_rumor(rumor: Rumor) -> Verdict | None:
    """Return the rumor's verdict, or None where it is not one."""
    if rumor.topic != TOPIC or len(rumor.body) > MAX_RUMOR_BYTES:
        return None
    try:
        return _verdicts.decode(rumor.body)
    except msgspec.DecodeError:
        return None


def fingerprint(
    service: ServiceName, body: QueryBody | BookingBody
) -> Fingerprint:
    """Return what equal requests of all callers have in common."""
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
    """Return the fingerprint of what equal requests have in common."""
    data = msgspec.json.encode(parts, order='sorted')
    hashed = hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES)
    return Fingerprint(hashed.hexdigest())


def home(fp: Fingerprint, nodes: Iterable[NodeId]) -> NodeId:
    """Return the node which decides on trials of a fingerprint."""
    return max(
        nodes,
        key=lambda node: hashlib.blake2b(
            f'{fp}:{node}'.encode(), digest_size=8
        ).digest(),
    )


class TrialKind(enum.Enum):
    """Name how a request on trial is sent."""

    LEAD = 'lead'
    CANARY = 'canary'


_BLAME = {TrialKind.LEAD: LEAD_BLAME, TrialKind.CANARY: 1.0}


class _Trial(msgspec.Struct):
    kind: TrialKind
    since: float


class _Blame(msgspec.Struct):
    crashes: int = 0
    blame: float = 0.0


class _Suspect(msgspec.Struct):
    """Hold what is known against one fingerprint; own is at origin ''."""

    until: float = 0.0
    forget_at: float = 0.0
    repeats: int = 0
    broken: TargetId | None = None
    was_proven: bool = False
    since: float = math.inf
    last_place: str = ''
    proven_at: float = -math.inf
    places: set[str] = msgspec.field(default_factory=set)
    by_origin: dict[str, _Blame] = msgspec.field(default_factory=dict)

    @property
    def crashes(self) -> int:
        return sum(b.crashes for b in self.by_origin.values())

    @property
    def blame(self) -> float:
        return sum(b.blame for b in self.by_origin.values())


class _Break(msgspec.Struct):
    """Hold one target's break with the weights at its moment."""

    target: TargetId
    at: float
    weights: dict[Fingerprint, float]
    counted: set[Fingerprint] = msgspec.field(default_factory=set)


class Quarantine:
    """Keep requests from crashing one target after another.

    origin must differ between processes and between their restarts.
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
        self._heard: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._breaks: collections.deque[_Break] = collections.deque(maxlen=256)

    @property
    def suspects(self) -> int:
        """Return how many fingerprints are suspected or refused."""
        return len(self._suspects)

    def decided(self, fp: Fingerprint, now: float) -> Admission | None:
        """Decide without a trial, or return None: ask the home."""
        suspect = self._suspect(fp, now)
        if suspect is not None and now < suspect.until:
            return Refuse(suspect.until - now)
        if suspect is None and fp in self._proven:
            self._proven.move_to_end(fp)
            return Allow()
        return None

    def admit(self, fp: Fingerprint, now: float) -> Admission:
        """Decide how a request may be sent, if need be on trial."""
        decided = self.decided(fp, now)
        if decided is not None:
            return decided
        suspect = self._suspects.get(fp)
        if self._trial(fp, now) is not None:
            return Refuse(self._cfg.trial_retry_s, on_trial=True)
        if suspect is not None:
            self._begin_trial(fp, TrialKind.CANARY, now)
            return Canary(suspect.broken)
        if now < self._alarm_until:
            self._begin_trial(fp, TrialKind.CANARY, now)
            return Canary()
        if self._cfg.lead_s <= 0.0:
            return Allow()
        self._begin_trial(fp, TrialKind.LEAD, now)
        return Lead(self._cfg.lead_s)

    def broke(
        self,
        fp: Fingerprint,
        target: TargetId,
        in_flight: Collection[Fingerprint],
        now: float,
        tried: bool = True,
    ) -> list[Action]:
        """Count a connection which broke after this request's dispatch.

        tried tells whether this ends the request's trial; it does not where
        the sub-request left before the trial and the trial is still out.
        """
        broken = self._record(fp, target, in_flight, now)
        blame = self._take_blame(fp, broken, now) if tried else 0.0
        if fp in broken.counted and not blame:
            return []
        return self._charge(fp, broken, blame, now, now)

    def died(
        self,
        fp: Fingerprint,
        death: Death,
        in_flight: Collection[Fingerprint],
        now: float,
    ) -> list[Action]:
        """Count a target that was found dead after this request's dispatch.

        Unlike broke(), only a death that was looked into counts, and each
        trial is blamed for its own.
        """
        broken = self._record(fp, death.target, in_flight, now)
        if fp in broken.counted:
            return []
        blame = 0.0
        if death.tried:
            broken.weights[fp] = TRIAL_WEIGHT
            blame = self._share(fp, broken, now) * death.certainty
        actions = self._charge(fp, broken, blame, death.at, now)
        suspect = self._suspects[fp]
        suspect.last_place = death.place[:MAX_PLACE_CHARS]
        suspect.places.add(suspect.last_place)
        return actions

    def noticed_dead(self, target: TargetId, now: float) -> None:
        """Take in that a target died, whatever it was running."""
        self._breaks.append(_Break(target, now, {}))

    def survived(
        self, fp: Fingerprint, place: str, now: float
    ) -> list[Action]:
        """Clear a suspect that a target has just run unharmed.

        It must have run where targets were lost: a request may be harmless
        to all others.
        """
        suspect = self._suspect(fp, now)
        if suspect is None:
            return []
        if suspect.places and place[:MAX_PLACE_CHARS] not in suspect.places:
            return []
        return self._disprove(fp, suspect, now)

    def proved(self, fp: Fingerprint, now: float) -> None:
        """Remember that a whole request has ended well."""
        if fp not in self._suspects:
            self._prove(fp, now)

    def report(self, fp: Fingerprint, now: float) -> Rumor | None:
        """Return what others should know of a suspect; None if nothing."""
        suspect = self._suspect(fp, now)
        if suspect is None:
            return None
        return self._report(fp, suspect, now)

    def crashes(self, fp: Fingerprint) -> int:
        """Return how many targets a suspect is known to have lost."""
        suspect = self._suspects.get(fp)
        return suspect.crashes if suspect is not None else 0

    def struck_places(self, fp: Fingerprint) -> frozenset[str]:
        """Return where a suspect has lost targets, as far as is known."""
        suspect = self._suspects.get(fp)
        return frozenset(suspect.places) if suspect else frozenset()

    def _charge(
        self,
        fp: Fingerprint,
        broken: _Break,
        blame: float,
        at: float,
        now: float,
    ) -> list[Action]:
        is_new = self._suspect(fp, now) is None
        suspect = self._touch_suspect(fp, now)
        own = suspect.by_origin.setdefault('', _Blame())
        own.crashes += fp not in broken.counted
        own.blame += blame * (PROVEN_BLAME if suspect.was_proven else 1.0)
        broken.counted.add(fp)
        if blame:
            self._alarm_until = now + self._cfg.alarm_s
        suspect.broken = broken.target
        suspect.since = min(suspect.since, at)
        suspect.forget_at = max(suspect.forget_at, now + self._cfg.suspect_s)
        actions: list[Action] = [Suspected(fp)] if is_new else []
        actions += self._judge(fp, suspect, now)
        actions.append(Spread(self._report(fp, suspect, now)))
        return actions

    def _disprove(
        self, fp: Fingerprint, suspect: _Suspect, now: float
    ) -> list[Action]:
        del self._suspects[fp]
        self._prove(fp, now)
        actions: list[Action] = [Cleared(fp)]
        if '' in suspect.by_origin or now < suspect.until:
            verdict = Verdict(fp, self._origin, cleared=True, disproved=True)
            actions.append(Spread(self._rumor(verdict)))
        return actions

    def succeeded(
        self, fp: Fingerprint, target: TargetId, now: float
    ) -> list[Action]:
        """Clear a fingerprint whose trial ended well."""
        trial = self._trials.pop(fp, None)
        suspect = self._suspects.get(fp)
        if suspect is None:
            self._prove(fp, now)
            return []
        if trial is None or now < suspect.until:
            return []
        del self._suspects[fp]
        self._prove(fp, now)
        verdict = Verdict(fp, self._origin, cleared=True)
        return [Cleared(fp), Spread(self._rumor(verdict))]

    def is_proven(self, fp: Fingerprint) -> bool:
        """Tell whether succeeded() would change nothing."""
        return fp in self._proven and fp not in self._trials

    def ended(self, fp: Fingerprint) -> None:
        """End the trial of the caller's own request without a verdict."""
        self._trials.pop(fp, None)

    def heard(self, rumor: Rumor, now: float) -> list[Action]:
        """Take over what another entry says of a fingerprint."""
        verdict = from_rumor(rumor)
        if verdict is None or verdict.origin == self._origin:
            return []
        if rumor.version <= self._heard.get(rumor.key, 0):
            return []
        self._remember_version(rumor)
        if verdict.cleared:
            return self._hear_cleared(verdict, now)
        if verdict.blame > 0.0 or verdict.remaining_s > 0.0:
            self._alarm_until = now + self._cfg.alarm_s
        is_new = self._suspect(verdict.fp, now) is None
        suspect = self._touch_suspect(verdict.fp, now)
        suspect.by_origin[verdict.origin] = _Blame(
            verdict.crashes, verdict.blame
        )
        suspect.forget_at = max(suspect.forget_at, now + self._cfg.suspect_s)
        suspect.since = min(suspect.since, now - verdict.age_s)
        if verdict.place:
            suspect.places.add(verdict.place)
        actions: list[Action] = [Suspected(verdict.fp)] if is_new else []
        if verdict.remaining_s > 0.0:
            remaining_s = min(verdict.remaining_s, rumor.ttl_s)
            actions += self._hear_quarantine(
                suspect, verdict, remaining_s, now
            )
        else:
            actions += self._judge(verdict.fp, suspect, now)
        if suspect.places and suspect.proven_at > suspect.since:
            # It has ended well here after the first crash that is told of.
            return actions + self._disprove(verdict.fp, suspect, now)
        return actions

    # Blame.

    def _record(
        self,
        fp: Fingerprint,
        target: TargetId,
        in_flight: Collection[Fingerprint],
        now: float,
    ) -> _Break:
        """Return the one record of the break that all its requests share."""
        broken = self._find_break(fp, target, now)
        if broken is None:
            fps = {fp, *in_flight}
            weights = {each: self._weight(each, now) for each in fps}
            broken = _Break(target, now, weights)
            self._breaks.append(broken)
        return broken

    def _take_blame(
        self, fp: Fingerprint, broken: _Break, now: float
    ) -> float:
        """End the trial; return what its end says against the request."""
        was_alone = self._on_trial(fp, now)
        trial = self._trials.pop(fp, None)
        if not was_alone:
            return 0.0
        return self._share(fp, broken, now) * _BLAME[trial.kind]

    def _share(self, fp: Fingerprint, broken: _Break, now: float) -> float:
        share = broken.weights[fp] / sum(broken.weights.values())
        return share / (1 + self._unexplained(fp, now))

    def _find_break(
        self, fp: Fingerprint, target: TargetId, now: float
    ) -> _Break | None:
        for broken in reversed(self._breaks):
            if now - broken.at > self._cfg.same_break_s:
                return None
            if broken.target == target and fp in broken.weights:
                return broken
        return None

    def _unexplained(self, fp: Fingerprint, now: float) -> int:
        """Count the targets which broke at the time without the request.

        Several entries report one break, each with what it had in flight.
        What broke under another request's trial has its own explanation.
        """
        since = now - self._cfg.window_s
        recent = [broken for broken in self._breaks if broken.at >= since]
        explained = {
            b.target
            for b in recent
            if fp in b.weights or TRIAL_WEIGHT in b.weights.values()
        }
        return len({b.target for b in recent} - explained)

    def _weight(self, fp: Fingerprint, now: float) -> float:
        if self._on_trial(fp, now):
            return TRIAL_WEIGHT
        return PROVEN_WEIGHT if fp in self._proven else PLAIN_WEIGHT

    def _judge(
        self, fp: Fingerprint, suspect: _Suspect, now: float
    ) -> list[Action]:
        cfg = self._cfg
        if suspect.crashes < cfg.min_crashes:
            return []
        if suspect.blame < cfg.blame_limit or now < suspect.until:
            return []
        for_s = min(
            cfg.quarantine_s * 2**suspect.repeats, cfg.max_quarantine_s
        ) * self._rng.uniform(1.0, 1.0 + cfg.jitter)
        suspect.repeats = min(suspect.repeats + 1, MAX_REPEATS)
        self._refuse_until(suspect, now + for_s)
        return [Quarantined(fp, for_s)]

    def _refuse_until(self, suspect: _Suspect, until: float) -> None:
        """Refuse until then; one crash of the canary renews it after that."""
        suspect.until = until
        suspect.forget_at = until + self._cfg.suspect_s
        suspect.by_origin = {'': _Blame(crashes=self._cfg.min_crashes - 1)}

    # Trials.

    def _begin_trial(
        self, fp: Fingerprint, kind: TrialKind, now: float
    ) -> None:
        self._trials[fp] = _Trial(kind, now)
        if len(self._trials) > self._cfg.max_suspects:
            self._trials.popitem(last=False)

    def _trial(self, fp: Fingerprint, now: float) -> _Trial | None:
        trial = self._trials.get(fp)
        if trial is None:
            return None
        if now - trial.since > self._cfg.trial_timeout_s:
            del self._trials[fp]
            return None
        return trial

    def _on_trial(self, fp: Fingerprint, now: float) -> bool:
        """Tell whether only one sub-request of it is out."""
        trial = self._trial(fp, now)
        if trial is None:
            return False
        led_s = now - trial.since
        return trial.kind is TrialKind.CANARY or led_s <= self._cfg.lead_s

    # Memory.

    def _suspect(self, fp: Fingerprint, now: float) -> _Suspect | None:
        suspect = self._suspects.get(fp)
        if suspect is not None and now > suspect.forget_at:
            del self._suspects[fp]
            return None
        return suspect

    def _touch_suspect(self, fp: Fingerprint, now: float) -> _Suspect:
        proven_at = self._proven.pop(fp, None)
        suspect = self._suspects.setdefault(fp, _Suspect())
        if proven_at is not None:
            suspect.was_proven = True
            suspect.proven_at = proven_at
        self._suspects.move_to_end(fp)
        if len(self._suspects) > self._cfg.max_suspects:
            self._drop_suspect(fp, now)
        return suspect

    def _drop_suspect(self, kept: Fingerprint, now: float) -> None:
        """Drop the oldest other one, in quarantine only if all are."""
        free = (
            fp
            for fp, suspect in self._suspects.items()
            if suspect.until <= now and fp != kept
        )
        oldest = next(free, next(iter(self._suspects)))
        del self._suspects[oldest]

    def _prove(self, fp: Fingerprint, now: float) -> None:
        self._proven[fp] = now
        self._proven.move_to_end(fp)
        if len(self._proven) > self._cfg.max_proven:
            self._proven.popitem(last=False)

    # Rumors.

    def _report(self, fp: Fingerprint, suspect: _Suspect, now: float) -> Rumor:
        own = suspect.by_origin.get('', _Blame())
        verdict = Verdict(
            fp,
            self._origin,
            crashes=own.crashes,
            blame=own.blame,
            repeats=suspect.repeats,
            remaining_s=max(suspect.until - now, 0.0),
            age_s=max(now - suspect.since, 0.0),
            place=suspect.last_place,
        )
        return self._rumor(verdict)

    def _rumor(self, verdict: Verdict) -> Rumor:
        self._version += 1
        ttl_s = max(verdict.remaining_s, self._cfg.told_s)
        return to_rumor(verdict, self._version, ttl_s)

    def _remember_version(self, rumor: Rumor) -> None:
        self._heard[rumor.key] = rumor.version
        self._heard.move_to_end(rumor.key)
        if len(self._heard) > self._cfg.max_suspects:
            self._heard.popitem(last=False)

    def _hear_cleared(self, verdict: Verdict, now: float) -> list[Action]:
        suspect = self._suspects.get(verdict.fp)
        if suspect is None:
            return []
        if now < suspect.until and not verdict.disproved:
            return []
        del self._suspects[verdict.fp]
        self._prove(verdict.fp, now)
        return [Cleared(verdict.fp)]

    def _hear_quarantine(
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
        was_refused = now < suspect.until
        suspect.repeats = max(
            suspect.repeats, min(verdict.repeats, MAX_REPEATS)
        )
        until = max(suspect.until, now + remaining_s)
        self._refuse_until(suspect, until)
        return [] if was_refused else [Quarantined(verdict.fp, remaining_s)]
