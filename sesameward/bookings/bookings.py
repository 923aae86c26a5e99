"""Decide the steps of a booking so that it takes effect at most once.

Booking is a state machine without I/O: it takes events and returns actions.
The code that uses it carries out the actions, which are store calls,
dispatches to targets and answers to the caller.
"""

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

# Kind of the stored objects that hold claims.
CLAIM_KIND = 'booking'
JSON_NULL = msgspec.Raw(b'null')


class BookingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit the store calls and the waits of a booking."""

    # If the deadline is closer than this, nothing is claimed or dispatched.
    min_run_s: float = 0.01
    # The caller is refused after this many attempts to create or read the
    # claim without a clear reply of the store.
    store_tries: int = 3
    backoff_s: float = 0.05
    max_backoff_s: float = 5.0
    # Minimum retry delays for refused callers, by the cause of the refusal.
    in_progress_retry_s: float = 0.25
    store_retry_s: float = 1.0
    replica_retry_s: float = 0.5
    # A claim whose holder is alive counts as in progress until this long
    # after the deadline of its request.
    claim_grace_s: float = 5.0
    # How long a failed write of an outcome or a release is retried.
    outcome_keep_s: float = 600.0


# Claims, and how they are stored.


class ClaimState(enum.Enum):
    """List the states that a stored claim can have."""

    # The holder may still dispatch the booking or wait for its reply.
    CLAIMED = 'claimed'
    # A target ran the booking; the claim contains its result.
    DONE = 'done'
    # The booking may have run, but no usable reply came.
    LOST = 'lost'
    # The booking did not run; a repeated request may replace the claim.
    RELEASED = 'released'


class Claim(msgspec.Struct, frozen=True):
    """Hold the exclusive right to dispatch the booking of one key.

    Only the request that generated the nonce may use the claim.
    """

    service: ServiceName
    key: BookingKey
    digest: str
    nonce: str
    node: NodeId
    incarnation: int
    attempt: int
    # Wall-clock time of the claim, and the time left to the deadline then.
    created_s: float
    budget_s: float
    state: ClaimState = ClaimState.CLAIMED
    result: msgspec.Raw = JSON_NULL


class StoredClaim(msgspec.Struct, frozen=True):
    """Hold a claim read from the store, and whether its holder is alive."""

    claim: Claim
    revision: Revision
    holder_alive: bool
    age_s: float


_claim_decoder = msgspec.json.Decoder(Claim)


def encode_claim(claim: Claim) -> bytes:
    """Encode a claim as the JSON that is stored."""
    return msgspec.json.encode(claim)


def decode_claim(data: bytes) -> Claim:
    """Decode a stored claim; raise msgspec.DecodeError if it is invalid."""
    return _claim_decoder.decode(data)


def claim_object_name(service: ServiceName, key: BookingKey) -> str:
    """Return the name of the stored object that holds the key's claim."""
    key_text = f'{len(service)}:{service}{key}'
    return hashlib.sha256(key_text.encode()).hexdigest()[:40]


def digest(body: BookingBody) -> str:
    """Return a hash of the booking that ignores the order of JSON fields."""
    fields = (body.record_key, msgspec.json.decode(body.action))
    data = msgspec.json.encode(fields, order='sorted')
    return hashlib.sha256(data).hexdigest()[:40]


def unclaimed_run(attempt: int) -> RunState:
    """Return whether a booking has run, as known without its claim.

    On the caller's first attempt it has certainly not run. On a later one it
    is unknown, as an earlier attempt may have run through another entry.
    """
    return RunState.NO if attempt == 1 else RunState.UNKNOWN


# Events, which the code that uses Booking passes to Booking.handle().


class ClaimCreated(msgspec.Struct, frozen=True):
    """Report that the store accepted the conditional create of the claim."""

    revision: Revision


class ClaimConflict(msgspec.Struct, frozen=True):
    """Report that the key already has a claim in the store.

    If existing is None, the claim has to be read to learn whose it is.
    """

    existing: StoredClaim | None = None


class ClaimCreateUnconfirmed(msgspec.Struct, frozen=True):
    """Report that the store did not say whether it created the claim."""


class ClaimCreateRejected(msgspec.Struct, frozen=True):
    """Report that the store did not carry out the create of the claim."""


class ClaimRead(msgspec.Struct, frozen=True):
    """Report the claim that was read; None means that the store has none."""

    existing: StoredClaim | None


class ReadFailed(msgspec.Struct, frozen=True):
    """Report that the claim could not be read or decoded."""


class Dispatched(msgspec.Struct, frozen=True):
    """Report that the first byte of the booking may have been sent."""

    attempt: AttemptId


class TargetAnswered(msgspec.Struct, frozen=True):
    """Report that the target ran the booking and returned a result."""

    attempt: AttemptId
    result: msgspec.Raw


class TargetRefused(msgspec.Struct, frozen=True):
    """Report that the target refused the booking without running it."""

    attempt: AttemptId
    retry_after_s: float = 0.0


class ConnectFailed(msgspec.Struct, frozen=True):
    """Report that no byte of the booking was sent to the target."""

    attempt: AttemptId


class ConnectionBroken(msgspec.Struct, frozen=True):
    """Report that the booking was sent but no usable reply came."""

    attempt: AttemptId


class DeadlinePassed(msgspec.Struct, frozen=True):
    """Report that the deadline of the caller's request has passed."""


class OutcomeWritten(msgspec.Struct, frozen=True):
    """Report that the store accepted the outcome or the release."""


class OutcomeUnconfirmed(msgspec.Struct, frozen=True):
    """Report that a write of the outcome or release was not confirmed.

    The write failed, or its reply was lost and it may have taken effect.
    """


class OutcomeConflict(msgspec.Struct, frozen=True):
    """Report that the store refused the outcome or release.

    The revision of the stored claim is not the expected one.
    """


Event = (
    ClaimCreated
    | ClaimConflict
    | ClaimCreateUnconfirmed
    | ClaimCreateRejected
    | ClaimRead
    | ReadFailed
    | Dispatched
    | TargetAnswered
    | TargetRefused
    | ConnectFailed
    | ConnectionBroken
    | DeadlinePassed
    | OutcomeWritten
    | OutcomeUnconfirmed
    | OutcomeConflict
)


# Actions, which Booking returns and the code that uses it carries out.


class CreateClaim(msgspec.Struct, frozen=True):
    """Create the claim, or replace a released one of the given revision."""

    name: str
    claim: Claim
    replaces: Revision | None = None


class ReadClaim(msgspec.Struct, frozen=True):
    """Read the claim after a delay."""

    name: str
    after_s: float = 0.0


class Dispatch(msgspec.Struct, frozen=True):
    """Send the booking to a target once, unless the deadline has passed."""

    target: TargetId
    attempt: AttemptId
    deadline: float


class WriteOutcome(msgspec.Struct, frozen=True):
    """Store the outcome after a delay, if the claim has this revision."""

    name: str
    claim: Claim
    revision: Revision
    after_s: float = 0.0


class ReleaseClaim(msgspec.Struct, frozen=True):
    """Release the claim after a delay, if it still has this revision."""

    name: str
    claim: Claim
    revision: Revision
    after_s: float = 0.0


class Reply(msgspec.Struct, frozen=True):
    """Answer the caller with what is known of its booking."""

    result: BookingResult


class Refuse(msgspec.Struct, frozen=True):
    """Refuse the caller; retry_after_s None means that retrying is useless."""

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
    """Hold one booking request.

    attempt is 1 when the caller first sends the key, and higher each time it
    sends the same key again.
    """

    request_id: RequestId
    service: ServiceName
    key: BookingKey
    digest: str
    attempt: int
    deadline: float
    targets: tuple[TargetId, ...]


class Claimer(msgspec.Struct, frozen=True):
    """Identify the process that claims; a restart changes the incarnation."""

    node: NodeId
    incarnation: int


class Phase(enum.Enum):
    """List what a booking can be waiting for."""

    # The store's reply to the create of the claim.
    CLAIMING = 'claiming'
    # A read that shows whether a create without a clear reply took effect.
    SETTLING = 'settling'
    # The target's reply.
    DISPATCHED = 'dispatched'
    # The caller was refused; a read shows whether a claim must be released.
    CLEANING = 'cleaning'
    # The store's reply to the write of the outcome or release.
    WRITING = 'writing'
    ENDED = 'ended'


class Booking:
    """Track one booking request from its claim to its stored outcome.

    Only the process that made a claim may change it until its state is DONE,
    LOST or RELEASED. A holder that resumes after a long pause therefore
    cannot race with another process.
    """

    def __init__(
        self,
        req: BookingRequest,
        claimer: Claimer,
        cfg: BookingSettings,
        rng: random.Random,
    ):
        self.phase = Phase.CLAIMING
        self.answered = False
        self.name = claim_object_name(req.service, req.key)
        self._req = req
        self._claimer = claimer
        self._cfg = cfg
        self._rng = rng
        self._nonce = f'{rng.getrandbits(128):032x}'
        self._claim: Claim | None = None
        self._revision: Revision | None = None
        self._replaces: Revision | None = None
        self._failed_calls = 0
        self._untried_targets: list[TargetId] = list(req.targets)
        self._attempt_id: AttemptId | None = None
        self._maybe_sent = False
        self._pending_write: WriteOutcome | ReleaseClaim | None = None
        self._write_deadline = 0.0

    @property
    def ended(self) -> bool:
        """Return whether all dispatches, writes and answers are done."""
        return self.phase is Phase.ENDED

    def start(self, now: float, wall_time_s: float) -> Sequence[Action]:
        """Return the first actions.

        now is a monotonic time. wall_time_s is stored with the claim, so that
        other processes can tell its age.
        """
        req = self._req
        if now + self._cfg.min_run_s > req.deadline:
            return self._end(self._refuse_unclaimed(_DEADLINE_UNREACHABLE))
        self._claim = Claim(
            service=req.service,
            key=req.key,
            digest=req.digest,
            nonce=self._nonce,
            node=self._claimer.node,
            incarnation=self._claimer.incarnation,
            attempt=req.attempt,
            created_s=wall_time_s,
            budget_s=req.deadline - now,
        )
        return [self._create()]

    def handle(self, event: Event, now: float) -> Sequence[Action]:
        """Return the actions to carry out after an event."""
        match event:
            case ClaimCreated(revision):
                return self._on_claim_held(revision, now)
            case ClaimConflict(None) | ClaimCreateUnconfirmed():
                return self._on_claim_unknown(now)
            case ClaimConflict(existing) | ClaimRead(existing):
                return self._on_claim_read(existing, now)
            case ClaimCreateRejected() if self._creates_resolved:
                return self._end(self._refuse_unclaimed(_STORE_UNAVAILABLE))
            case ClaimCreateRejected() | ReadFailed():
                return self._on_claim_unknown(now)
            case DeadlinePassed():
                return self._on_deadline()
            case OutcomeWritten() | OutcomeConflict():
                return self._on_write_finished()
            case OutcomeUnconfirmed():
                return self._on_write_unconfirmed(now)
            case _:
                return self._on_target_event(event, now)

    # Claiming the key.

    @property
    def _creates_resolved(self) -> bool:
        """Return whether the store has replied to every earlier create.

        Otherwise a create of this booking's claim may still take effect.
        """
        return self.phase is Phase.CLAIMING and self._failed_calls == 0

    def _create(self) -> CreateClaim:
        self.phase = Phase.CLAIMING
        return CreateClaim(self.name, self._claim, self._replaces)

    def _on_claim_held(self, revision: Revision, now: float) -> list[Action]:
        match self.phase:
            case Phase.CLAIMING | Phase.SETTLING:
                self._revision = revision
                return self._dispatch(now)
            case Phase.CLEANING:
                self._revision = revision
                return self._release(now)
            case _:
                return []

    def _on_claim_unknown(self, now: float) -> list[Action]:
        if self.phase not in (
            Phase.CLAIMING,
            Phase.SETTLING,
            Phase.CLEANING,
        ):
            return []
        self._failed_calls += 1
        if self._failed_calls < self._cfg.store_tries:
            return [self._read_later()]
        if self.phase is Phase.CLEANING:
            return self._end()
        return self._abandon(_STORE_UNAVAILABLE)

    def _read_later(self) -> ReadClaim:
        if self.phase is Phase.CLAIMING:
            self.phase = Phase.SETTLING
        return ReadClaim(self.name, self._backoff())

    def _on_claim_read(
        self, existing: StoredClaim | None, now: float
    ) -> list[Action]:
        is_own = existing is not None and existing.claim.nonce == self._nonce
        match self.phase:
            case Phase.CLAIMING | Phase.SETTLING if is_own:
                return self._on_claim_held(existing.revision, now)
            case Phase.CLAIMING | Phase.SETTLING if existing is None:
                return self._create_again(None, now)
            case Phase.CLAIMING | Phase.SETTLING:
                return self._on_other_claim(existing, now)
            case Phase.CLEANING if is_own:
                return self._on_claim_held(existing.revision, now)
            case Phase.CLEANING if existing is None:
                return self._on_claim_unknown(now)
            case Phase.CLEANING:
                return self._end()
            case _:
                return []

    def _create_again(
        self, replaces: Revision | None, now: float
    ) -> list[Action]:
        if now + self._cfg.min_run_s > self._req.deadline:
            return self._abandon(_DEADLINE_UNREACHABLE)
        self._replaces = replaces
        return [self._create()]

    def _on_other_claim(
        self, existing: StoredClaim, now: float
    ) -> list[Action]:
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
            case ClaimState.CLAIMED if self._is_in_progress(existing):
                return self._end(self._refuse_in_progress())
            case ClaimState.CLAIMED:
                return self._end(self._reply(RunState.UNKNOWN, repeated=True))

    def _is_in_progress(self, existing: StoredClaim) -> bool:
        limit_s = existing.claim.budget_s + self._cfg.claim_grace_s
        return existing.holder_alive and existing.age_s < limit_s

    def _abandon(self, refusal: Refuse) -> list[Action]:
        """Refuse the caller, then release the claim if a read finds it."""
        self.phase = Phase.CLEANING
        self._failed_calls = 0
        return [
            *self._answer_once(self._refuse_unclaimed(refusal)),
            self._read_later(),
        ]

    # Dispatching to a target.

    def _dispatch(self, now: float) -> list[Action]:
        if now + self._cfg.min_run_s > self._req.deadline:
            return self._release(now, _DEADLINE_UNREACHABLE)
        if not self._untried_targets:
            return self._release(now, self._refuse_no_replica())
        self.phase = Phase.DISPATCHED
        self._attempt_id = AttemptId(f'{self._rng.getrandbits(128):032x}')
        self._maybe_sent = False
        target = self._untried_targets.pop(0)
        return [Dispatch(target, self._attempt_id, self._req.deadline)]

    def _on_target_event(self, event: Event, now: float) -> list[Action]:
        if self.phase is not Phase.DISPATCHED:
            return []
        if event.attempt != self._attempt_id:
            return []
        match event:
            case Dispatched():
                self._maybe_sent = True
                return []
            case TargetAnswered(_, result):
                answer = self._answer_once(self._reply(RunState.YES, result))
                return [
                    *answer,
                    *self._store_outcome(ClaimState.DONE, now, result),
                ]
            case TargetRefused(_, retry_after_s):
                return self._release(
                    now, self._refuse_overloaded(retry_after_s)
                )
            case ConnectFailed() if not self._maybe_sent and not self.answered:
                return self._dispatch(now)
            case ConnectFailed() if not self._maybe_sent:
                return self._release(now)
            case ConnectFailed() | ConnectionBroken():
                answer = self._answer_once(self._reply(RunState.UNKNOWN))
                return [*answer, *self._store_outcome(ClaimState.LOST, now)]

    def _on_deadline(self) -> list[Action]:
        match self.phase:
            case Phase.CLAIMING | Phase.SETTLING:
                return self._abandon(_DEADLINE_UNREACHABLE)
            case Phase.DISPATCHED:
                return self._answer_once(self._reply(RunState.UNKNOWN))
            case _:
                return []

    # Storing the outcome.

    def _release(
        self, now: float, refusal: Refuse | None = None
    ) -> list[Action]:
        answer = self._answer_once(refusal) if refusal is not None else []
        return [*answer, *self._store_outcome(ClaimState.RELEASED, now)]

    def _store_outcome(
        self, state: ClaimState, now: float, result: msgspec.Raw = JSON_NULL
    ) -> list[Action]:
        self.phase = Phase.WRITING
        self._failed_calls = 0
        self._write_deadline = now + self._cfg.outcome_keep_s
        released = state is ClaimState.RELEASED
        action_type = ReleaseClaim if released else WriteOutcome
        claim = msgspec.structs.replace(
            self._claim, state=state, result=result
        )
        self._pending_write = action_type(self.name, claim, self._revision)
        return [self._pending_write]

    def _on_write_finished(self) -> list[Action]:
        return self._end() if self.phase is Phase.WRITING else []

    def _on_write_unconfirmed(self, now: float) -> list[Action]:
        if self.phase is not Phase.WRITING:
            return []
        if now > self._write_deadline:
            return self._end()
        self._failed_calls += 1
        after_s = self._backoff()
        return [msgspec.structs.replace(self._pending_write, after_s=after_s)]

    # Answering the caller.

    def _end(self, answer: Reply | Refuse | None = None) -> list[Action]:
        self.phase = Phase.ENDED
        return self._answer_once(answer) if answer is not None else []

    def _answer_once(self, answer: Reply | Refuse) -> list[Action]:
        if self.answered:
            return []
        self.answered = True
        return [answer]

    def _reply(
        self,
        run: RunState,
        result: msgspec.Raw = JSON_NULL,
        repeated: bool = False,
    ) -> Reply:
        req = self._req
        return Reply(
            BookingResult(req.request_id, req.key, run, repeated, result)
        )

    def _refuse_unclaimed(self, refusal: Refuse) -> Refuse:
        return Refuse(
            refusal.kind,
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

    def _refuse_overloaded(self, retry_after_s: float) -> Refuse:
        wait_s = max(retry_after_s, self._cfg.replica_retry_s)
        return Refuse(
            RefusalKind.OVERLOADED, RunState.NO, self._jitter(wait_s)
        )

    def _jitter(self, wait_s: float) -> float:
        return wait_s * self._rng.uniform(1.0, 1.5)

    def _backoff(self) -> float:
        exponent = min(self._failed_calls, 16)
        wait_s = self._cfg.backoff_s * 2**exponent
        return min(wait_s, self._cfg.max_backoff_s) * self._rng.uniform(
            0.5, 1.0
        )


_KEY_REUSED = Refuse(RefusalKind.KEY_REUSED, RunState.NO, None)
_SUPERSEDED = Refuse(RefusalKind.SUPERSEDED, RunState.NO, None)
_DEADLINE_UNREACHABLE = Refuse(
    RefusalKind.DEADLINE_UNREACHABLE, RunState.NO, 0.0
)
_STORE_UNAVAILABLE = Refuse(RefusalKind.STORE_UNAVAILABLE, RunState.NO, 0.0)
