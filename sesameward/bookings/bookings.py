"""Decide how a booking takes effect at most once."""

from __future__ import annotations

from collections.abc import Sequence
import enum
import hashlib
import random

import msgspec

from ..messages import BookingBody
from ..messages import BookingResult
from ..types import AttemptId
from ..types import BookingKey
from ..types import NodeId
from ..types import RefusalKind
from ..types import RequestId
from ..types import Revision
from ..types import RunState
from ..types import ServiceName
from ..types import TargetId

KIND = 'booking'
NULL = msgspec.Raw(b'null')


class BookingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bound the store calls and the waits of a booking."""

    min_run_s: float = 0.01
    store_tries: int = 3
    backoff_s: float = 0.05
    max_backoff_s: float = 5.0
    in_progress_retry_s: float = 0.25
    store_retry_s: float = 1.0
    replica_retry_s: float = 0.5
    claim_grace_s: float = 5.0
    outcome_keep_s: float = 600.0


# What the store holds.


class ClaimState(enum.Enum):
    """Name how far the holder of a claim has come."""

    CLAIMED = 'claimed'
    DONE = 'done'
    LOST = 'lost'
    RELEASED = 'released'


class Claim(msgspec.Struct, frozen=True):
    """Hold the only right to dispatch one key; only its nonce may use it."""

    service: ServiceName
    key: BookingKey
    digest: str
    nonce: str
    node: NodeId
    incarnation: int
    attempt: int
    created_s: float
    budget_s: float
    state: ClaimState = ClaimState.CLAIMED
    result: msgspec.Raw = NULL


class Stored(msgspec.Struct, frozen=True):
    """Hold a claim as it was read, with what is known of its holder."""

    claim: Claim
    revision: Revision
    holder_alive: bool
    age_s: float


_decoder = msgspec.json.Decoder(Claim)


def encode_claim(claim: Claim) -> bytes:
    """Encode a claim as it is stored."""
    return msgspec.json.encode(claim)


def decode_claim(data: bytes) -> Claim:
    """Decode a stored claim; raise msgspec.DecodeError."""
    return _decoder.decode(data)


def object_name(service: ServiceName, key: BookingKey) -> str:
    """Return the name under which the key's claim is stored."""
    text = f'{len(service)}:{service}{key}'
    return hashlib.sha256(text.encode()).hexdigest()[:40]


def digest(body: BookingBody) -> str:
    """Return a hash of the body, free of the order of its fields."""
    plain = (body.record_key, msgspec.json.decode(body.action))
    data = msgspec.json.encode(plain, order='sorted')
    return hashlib.sha256(data).hexdigest()[:40]


def unclaimed_run(attempt: int) -> RunState:
    """Say what is certain of a booking refused before its claim is read.

    An earlier attempt may run elsewhere, so only the first one is certain.
    """
    return RunState.NO if attempt == 1 else RunState.UNKNOWN


# Events.


class ClaimCreated(msgspec.Struct, frozen=True):
    """Report that the conditional create took effect."""

    revision: Revision


class ClaimConflict(msgspec.Struct, frozen=True):
    """Report that the create lost; existing None asks for a read."""

    existing: Stored | None = None


class ClaimUnsure(msgspec.Struct, frozen=True):
    """Report that the create's reply was lost."""


class ClaimFailed(msgspec.Struct, frozen=True):
    """Report that the store refused the create without running it."""


class ClaimRead(msgspec.Struct, frozen=True):
    """Report what a read of the claim returned."""

    existing: Stored | None


class ReadFailed(msgspec.Struct, frozen=True):
    """Report that the claim could not be read."""


class Dispatched(msgspec.Struct, frozen=True):
    """Report that the first byte may have left."""

    attempt: AttemptId


class TargetAnswered(msgspec.Struct, frozen=True):
    """Report the target's result."""

    attempt: AttemptId
    result: msgspec.Raw


class TargetRefusedUnrun(msgspec.Struct, frozen=True):
    """Report that the target refused before it ran anything."""

    attempt: AttemptId
    retry_after_s: float = 0.0


class ConnectFailed(msgspec.Struct, frozen=True):
    """Report that not one byte was sent."""

    attempt: AttemptId


class ConnectionBroken(msgspec.Struct, frozen=True):
    """Report that no usable answer came after the dispatch."""

    attempt: AttemptId


class DeadlinePassed(msgspec.Struct, frozen=True):
    """Report that the caller's deadline is over."""


class OutcomeWritten(msgspec.Struct, frozen=True):
    """Report that the outcome or release is stored."""


class OutcomeUnsure(msgspec.Struct, frozen=True):
    """Report that the write of an outcome failed or lost its reply."""


class OutcomeConflict(msgspec.Struct, frozen=True):
    """Report that the claim's revision had already moved on."""


Event = (
    ClaimCreated
    | ClaimConflict
    | ClaimUnsure
    | ClaimFailed
    | ClaimRead
    | ReadFailed
    | Dispatched
    | TargetAnswered
    | TargetRefusedUnrun
    | ConnectFailed
    | ConnectionBroken
    | DeadlinePassed
    | OutcomeWritten
    | OutcomeUnsure
    | OutcomeConflict
)


# Actions.


class CreateClaim(msgspec.Struct, frozen=True):
    """Create the claim, or replace the released one of this revision."""

    name: str
    claim: Claim
    replaces: Revision | None = None


class ReadClaim(msgspec.Struct, frozen=True):
    """Read the claim after a wait."""

    name: str
    after_s: float = 0.0


class Dispatch(msgspec.Struct, frozen=True):
    """Send the booking once, unless the deadline is over by then."""

    target: TargetId
    attempt: AttemptId
    deadline: float


class WriteOutcome(msgspec.Struct, frozen=True):
    """Store what is known of the run, conditional on the revision."""

    name: str
    claim: Claim
    revision: Revision
    after_s: float = 0.0


class ReleaseClaim(msgspec.Struct, frozen=True):
    """Store that this claim never ran, conditional on the revision."""

    name: str
    claim: Claim
    revision: Revision
    after_s: float = 0.0


class Reply(msgspec.Struct, frozen=True):
    """Answer the caller."""

    result: BookingResult


class Refuse(msgspec.Struct, frozen=True):
    """Refuse the caller; retry_after_s None means that it is useless."""

    kind: RefusalKind
    run: RunState
    retry_after_s: float | None


Action = (
    CreateClaim
    | ReadClaim
    | Dispatch
    | WriteOutcome
    | ReleaseClaim
    | Reply
    | Refuse
)


class BookingRequest(msgspec.Struct, frozen=True):
    """Hold one booking request; attempt counts the sends of its key."""

    request_id: RequestId
    service: ServiceName
    key: BookingKey
    digest: str
    attempt: int
    deadline: float
    targets: tuple[TargetId, ...]


class Claimer(msgspec.Struct, frozen=True):
    """Name the process that claims; a restart changes the incarnation."""

    node: NodeId
    incarnation: int


class Phase(enum.Enum):
    """Name what a booking waits for."""

    CLAIMING = 'claiming'
    SETTLING = 'settling'
    DISPATCHED = 'dispatched'
    CLEANING = 'cleaning'
    WRITING = 'writing'
    ENDED = 'ended'


class Booking:
    """Take one booking request from its claim to its stored outcome.

    Only the process that made a claim ever changes it before it is final,
    so a holder that was paused for long can't race with another one.
    """

    def __init__(
        self,
        req: BookingRequest,
        claimer: Claimer,
        cfg: BookingSettings,
        rng: random.Random,
    ):
        self.phase = Phase.CLAIMING
        self.told = False
        self.name = object_name(req.service, req.key)
        self._req = req
        self._claimer = claimer
        self._cfg = cfg
        self._rng = rng
        self._nonce = f'{rng.getrandbits(128):032x}'
        self._claim: Claim | None = None
        self._revision: Revision | None = None
        self._replaces: Revision | None = None
        self._tries = 0
        self._targets: list[TargetId] = list(req.targets)
        self._attempt: AttemptId | None = None
        self._sent = False
        self._write: WriteOutcome | ReleaseClaim | None = None
        self._write_until = 0.0

    @property
    def ended(self) -> bool:
        """Tell whether nothing is left to do, not even in the store."""
        return self.phase is Phase.ENDED

    def start(self, now: float, wall_s: float) -> Sequence[Action]:
        """Begin with the claim; wall_s dates it for readers elsewhere."""
        req = self._req
        if now + self._cfg.min_run_s > req.deadline:
            return self._end(self._refuse_unclaimed(_UNREACHABLE))
        self._claim = Claim(
            service=req.service,
            key=req.key,
            digest=req.digest,
            nonce=self._nonce,
            node=self._claimer.node,
            incarnation=self._claimer.incarnation,
            attempt=req.attempt,
            created_s=wall_s,
            budget_s=req.deadline - now,
        )
        return [self._create()]

    def handle(self, event: Event, now: float) -> Sequence[Action]:
        """Return what to do after an event."""
        match event:
            case ClaimCreated(revision):
                return self._on_claimed(revision, now)
            case ClaimConflict(None) | ClaimUnsure():
                return self._on_unsure(now)
            case ClaimConflict(existing) | ClaimRead(existing):
                return self._on_read(existing, now)
            case ClaimFailed() if self._settled:
                return self._end(self._refuse_unclaimed(_STORE_DOWN))
            case ClaimFailed() | ReadFailed():
                return self._on_unsure(now)
            case DeadlinePassed():
                return self._on_deadline()
            case OutcomeWritten() | OutcomeConflict():
                return self._on_stored()
            case OutcomeUnsure():
                return self._on_write_unsure(now)
            case _:
                return self._on_target(event, now)

    # The claim.

    @property
    def _settled(self) -> bool:
        """Tell whether no earlier create may still take effect."""
        return self.phase is Phase.CLAIMING and self._tries == 0

    def _create(self) -> CreateClaim:
        self.phase = Phase.CLAIMING
        return CreateClaim(self.name, self._claim, self._replaces)

    def _on_claimed(self, revision: Revision, now: float) -> list[Action]:
        match self.phase:
            case Phase.CLAIMING | Phase.SETTLING:
                self._revision = revision
                return self._dispatch(now)
            case Phase.CLEANING:
                self._revision = revision
                return self._release(now)
            case _:
                return []

    def _on_unsure(self, now: float) -> list[Action]:
        if self.phase not in (
            Phase.CLAIMING,
            Phase.SETTLING,
            Phase.CLEANING,
        ):
            return []
        self._tries += 1
        if self._tries < self._cfg.store_tries:
            return [self._read_later()]
        if self.phase is Phase.CLEANING:
            return self._end()
        return self._abandon(_STORE_DOWN)

    def _read_later(self) -> ReadClaim:
        if self.phase is Phase.CLAIMING:
            self.phase = Phase.SETTLING
        return ReadClaim(self.name, self._backoff())

    def _on_read(self, existing: Stored | None, now: float) -> list[Action]:
        mine = existing is not None and existing.claim.nonce == self._nonce
        match self.phase:
            case Phase.CLAIMING | Phase.SETTLING if mine:
                return self._on_claimed(existing.revision, now)
            case Phase.CLAIMING | Phase.SETTLING if existing is None:
                return self._create_again(None, now)
            case Phase.CLAIMING | Phase.SETTLING:
                return self._on_other(existing, now)
            case Phase.CLEANING if mine:
                return self._on_claimed(existing.revision, now)
            case Phase.CLEANING if existing is None:
                return self._on_unsure(now)
            case Phase.CLEANING:
                return self._end()
            case _:
                return []

    def _create_again(
        self, replaces: Revision | None, now: float
    ) -> list[Action]:
        if now + self._cfg.min_run_s > self._req.deadline:
            return self._abandon(_UNREACHABLE)
        self._replaces = replaces
        return [self._create()]

    def _on_other(self, existing: Stored, now: float) -> list[Action]:
        claim = existing.claim
        if claim.digest != self._req.digest:
            return self._end(_KEY_REUSED)
        match claim.state:
            case ClaimState.DONE:
                return self._end(
                    self._reply(RunState.YES, claim.result, repeated=True)
                )
            case ClaimState.LOST:
                return self._end(self._reply(RunState.UNKNOWN, repeated=True))
            case ClaimState.RELEASED if self._req.attempt < claim.attempt:
                return self._end(_SUPERSEDED)
            case ClaimState.RELEASED:
                return self._create_again(existing.revision, now)
            case ClaimState.CLAIMED if self._in_progress(existing):
                return self._end(self._refuse_in_progress())
            case ClaimState.CLAIMED:
                return self._end(self._reply(RunState.UNKNOWN, repeated=True))

    def _in_progress(self, existing: Stored) -> bool:
        limit_s = existing.claim.budget_s + self._cfg.claim_grace_s
        return existing.holder_alive and existing.age_s < limit_s

    def _abandon(self, why: Refuse) -> list[Action]:
        """Refuse, then release the claim should it have come into being."""
        self.phase = Phase.CLEANING
        self._tries = 0
        return [*self._tell(self._refuse_unclaimed(why)), self._read_later()]

    # The dispatch.

    def _dispatch(self, now: float) -> list[Action]:
        if now + self._cfg.min_run_s > self._req.deadline:
            return self._release(now, _UNREACHABLE)
        if not self._targets:
            return self._release(now, self._refuse_no_replica())
        self.phase = Phase.DISPATCHED
        self._attempt = AttemptId(f'{self._rng.getrandbits(128):032x}')
        self._sent = False
        target = self._targets.pop(0)
        return [Dispatch(target, self._attempt, self._req.deadline)]

    def _on_target(self, event: Event, now: float) -> list[Action]:
        if self.phase is not Phase.DISPATCHED:
            return []
        if event.attempt != self._attempt:
            return []
        match event:
            case Dispatched():
                self._sent = True
                return []
            case TargetAnswered(_, result):
                told = self._tell(self._reply(RunState.YES, result))
                return [*told, *self._store(ClaimState.DONE, now, result)]
            case TargetRefusedUnrun(_, retry_after_s):
                return self._release(now, self._refuse_shed(retry_after_s))
            case ConnectFailed() if not self._sent and not self.told:
                return self._dispatch(now)
            case ConnectFailed() if not self._sent:
                return self._release(now)
            case ConnectFailed() | ConnectionBroken():
                told = self._tell(self._reply(RunState.UNKNOWN))
                return [*told, *self._store(ClaimState.LOST, now)]

    def _on_deadline(self) -> list[Action]:
        match self.phase:
            case Phase.CLAIMING | Phase.SETTLING:
                return self._abandon(_UNREACHABLE)
            case Phase.DISPATCHED:
                return self._tell(self._reply(RunState.UNKNOWN))
            case _:
                return []

    # The outcome.

    def _release(self, now: float, why: Refuse | None = None) -> list[Action]:
        told = self._tell(why) if why is not None else []
        return [*told, *self._store(ClaimState.RELEASED, now)]

    def _store(
        self, state: ClaimState, now: float, result: msgspec.Raw = NULL
    ) -> list[Action]:
        self.phase = Phase.WRITING
        self._tries = 0
        self._write_until = now + self._cfg.outcome_keep_s
        released = state is ClaimState.RELEASED
        kind = ReleaseClaim if released else WriteOutcome
        claim = msgspec.structs.replace(
            self._claim, state=state, result=result
        )
        self._write = kind(self.name, claim, self._revision)
        return [self._write]

    def _on_stored(self) -> list[Action]:
        return self._end() if self.phase is Phase.WRITING else []

    def _on_write_unsure(self, now: float) -> list[Action]:
        if self.phase is not Phase.WRITING:
            return []
        if now > self._write_until:
            return self._end()
        self._tries += 1
        after_s = self._backoff()
        return [msgspec.structs.replace(self._write, after_s=after_s)]

    # What the caller is told.

    def _end(self, told: Reply | Refuse | None = None) -> list[Action]:
        self.phase = Phase.ENDED
        return self._tell(told) if told is not None else []

    def _tell(self, answer: Reply | Refuse) -> list[Action]:
        if self.told:
            return []
        self.told = True
        return [answer]

    def _reply(
        self,
        run: RunState,
        result: msgspec.Raw = NULL,
        repeated: bool = False,
    ) -> Reply:
        req = self._req
        return Reply(
            BookingResult(req.request_id, req.key, run, repeated, result)
        )

    def _refuse_unclaimed(self, why: Refuse) -> Refuse:
        return Refuse(
            why.kind,
            unclaimed_run(self._req.attempt),
            self._jitter(self._cfg.store_retry_s),
        )

    def _refuse_in_progress(self) -> Refuse:
        return Refuse(
            RefusalKind.IN_PROGRESS,
            RunState.UNKNOWN,
            self._jitter(self._cfg.in_progress_retry_s),
        )

    def _refuse_no_replica(self) -> Refuse:
        return Refuse(
            RefusalKind.NO_REPLICA,
            RunState.NO,
            self._jitter(self._cfg.replica_retry_s),
        )

    def _refuse_shed(self, retry_after_s: float) -> Refuse:
        wait_s = max(retry_after_s, self._cfg.replica_retry_s)
        return Refuse(
            RefusalKind.OVERLOADED, RunState.NO, self._jitter(wait_s)
        )

    def _jitter(self, wait_s: float) -> float:
        return wait_s * self._rng.uniform(1.0, 1.5)

    def _backoff(self) -> float:
        exponent = min(self._tries, 16)
        wait_s = self._cfg.backoff_s * 2**exponent
        return min(wait_s, self._cfg.max_backoff_s) * self._rng.uniform(
            0.5, 1.0
        )


_KEY_REUSED = Refuse(RefusalKind.KEY_REUSED, RunState.NO, None)
_SUPERSEDED = Refuse(RefusalKind.SUPERSEDED, RunState.NO, None)
_UNREACHABLE = Refuse(RefusalKind.DEADLINE_UNREACHABLE, RunState.NO, 0.0)
_STORE_DOWN = Refuse(RefusalKind.STORE_UNAVAILABLE, RunState.NO, 0.0)
