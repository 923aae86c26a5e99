"""Test that a booking takes effect at most once, whatever is lost."""

from __future__ import annotations

import random

import msgspec
import pytest

from sesameward.bookings import bookings
from sesameward.messages import BookingBody
from sesameward.types import AttemptId
from sesameward.types import BookingKey
from sesameward.types import NodeId
from sesameward.types import RefusalKind
from sesameward.types import RequestId
from sesameward.types import Revision
from sesameward.types import RunState
from sesameward.types import ServiceName
from sesameward.types import TargetId

from .histories import checks
from .histories import records as rec
from .histories import shrink

SERVICE = ServiceName('trip-desk')
CFG = bookings.BookingSettings(store_tries=3)
TARGETS = (TargetId('t0'), TargetId('t1'))
RESULT = msgspec.Raw(b'{"seat":7}')


def make_booking(kind=bookings.Booking, seed=1, **changes):
    fields = dict(
        request_id=RequestId(f'r{seed}'),
        service=SERVICE,
        key=BookingKey('k'),
        digest='d',
        attempt=1,
        deadline=1.0,
        targets=TARGETS,
    )
    req = bookings.BookingRequest(**{**fields, **changes})
    claimer = bookings.Claimer(NodeId(f'e{seed}'), 1)
    return kind(req, claimer, CFG, random.Random(seed))


def only(actions, kind):
    found = [action for action in actions if isinstance(action, kind)]
    assert len(found) == 1, actions
    return found[0]


def stored(claim, revision=5, alive=True, age_s=0.1):
    return bookings.Stored(claim, Revision(revision), alive, age_s)


@pytest.fixture
def claimed():
    """Return a booking which has just been dispatched."""
    booking = make_booking()
    create = only(booking.start(0.0, 0.0), bookings.CreateClaim)
    actions = booking.handle(bookings.ClaimCreated(Revision(5)), 0.1)
    return booking, create.claim, only(actions, bookings.Dispatch)


def test_outcome_is_told_and_stored(claimed):
    booking, _, dispatch = claimed
    event = bookings.TargetAnswered(dispatch.attempt, RESULT)
    actions = booking.handle(event, 0.2)
    reply = only(actions, bookings.Reply).result
    assert (reply.run, reply.repeated) == (RunState.YES, False)
    write = only(actions, bookings.WriteOutcome)
    assert write.revision == 5
    assert write.claim.state is bookings.ClaimState.DONE
    assert booking.handle(bookings.OutcomeWritten(), 0.3) == []
    assert booking.ended


def test_resend_reads_the_outcome(claimed):
    _, claim, _ = claimed
    done = msgspec.structs.replace(
        claim, state=bookings.ClaimState.DONE, result=RESULT
    )
    done = bookings.decode_claim(bookings.encode_claim(done))
    again = make_booking(seed=2)
    again.start(0.0, 0.0)
    actions = again.handle(bookings.ClaimConflict(stored(done)), 0.1)
    reply = only(actions, bookings.Reply).result
    assert (reply.run, reply.repeated) == (RunState.YES, True)
    assert bytes(reply.result) == bytes(RESULT)


@pytest.mark.parametrize('alive, age_s', [(False, 0.1), (True, 60.0)])
def test_claim_without_holder_is_unknown(claimed, alive, age_s):
    _, claim, _ = claimed
    again = make_booking(seed=2)
    again.start(0.0, 0.0)
    seen = stored(claim, alive=alive, age_s=age_s)
    reply = only(
        again.handle(bookings.ClaimConflict(seen), 0.1), bookings.Reply
    )
    assert reply.result.run is RunState.UNKNOWN


def test_claim_in_progress_asks_to_come_back(claimed):
    _, claim, _ = claimed
    again = make_booking(seed=2)
    again.start(0.0, 0.0)
    actions = again.handle(bookings.ClaimConflict(stored(claim)), 0.1)
    refusal = only(actions, bookings.Refuse)
    assert refusal.kind is RefusalKind.IN_PROGRESS
    assert refusal.run is RunState.UNKNOWN
    assert refusal.retry_after_s > 0


def test_key_with_another_body_is_refused(claimed):
    _, claim, _ = claimed
    other = make_booking(seed=2, digest='other')
    other.start(0.0, 0.0)
    actions = other.handle(bookings.ClaimConflict(stored(claim)), 0.1)
    refusal = only(actions, bookings.Refuse)
    assert refusal.kind is RefusalKind.KEY_REUSED
    assert refusal.run is RunState.NO


@pytest.mark.parametrize(
    'attempt, run', [(1, RunState.NO), (2, RunState.UNKNOWN)]
)
def test_store_down_is_refused(attempt, run):
    booking = make_booking(attempt=attempt)
    booking.start(0.0, 0.0)
    actions = booking.handle(bookings.ClaimUnsure(), 0.1)
    while not any(isinstance(a, bookings.Refuse) for a in actions):
        actions = booking.handle(bookings.ReadFailed(), 0.2)
    refusal = only(actions, bookings.Refuse)
    assert refusal.kind is RefusalKind.STORE_UNAVAILABLE
    assert refusal.run is run
    assert refusal.retry_after_s > 0


def test_send_older_than_the_release_never_runs(claimed):
    _, claim, _ = claimed
    released = msgspec.structs.replace(
        claim, state=bookings.ClaimState.RELEASED, attempt=2
    )
    older = make_booking(seed=2, attempt=1)
    older.start(0.0, 0.0)
    conflict = bookings.ClaimConflict(stored(released))
    refusal = only(older.handle(conflict, 0.1), bookings.Refuse)
    assert refusal.kind is RefusalKind.SUPERSEDED
    newer = make_booking(seed=3, attempt=3)
    newer.start(0.0, 0.0)
    create = only(newer.handle(conflict, 0.1), bookings.CreateClaim)
    assert create.replaces == 5


def test_throttled_claim_is_refused_without_a_read():
    booking = make_booking()
    booking.start(0.0, 0.0)
    actions = booking.handle(bookings.ClaimFailed(), 0.1)
    assert only(actions, bookings.Refuse).run is RunState.NO
    assert booking.ended


def test_late_claim_of_a_refused_booking_is_released():
    booking = make_booking()
    create = only(booking.start(0.0, 0.0), bookings.CreateClaim)
    booking.handle(bookings.DeadlinePassed(), 1.0)
    seen = stored(create.claim)
    release = only(
        booking.handle(bookings.ClaimRead(seen), 1.1), bookings.ReleaseClaim
    )
    assert release.claim.state is bookings.ClaimState.RELEASED


def test_lost_reply_is_settled_by_the_nonce():
    booking = make_booking()
    create = only(booking.start(0.0, 0.0), bookings.CreateClaim)
    only(booking.handle(bookings.ClaimUnsure(), 0.1), bookings.ReadClaim)
    event = bookings.ClaimRead(stored(create.claim))
    only(booking.handle(event, 0.2), bookings.Dispatch)


def test_claimer_paused_past_its_deadline_does_not_dispatch():
    booking = make_booking()
    booking.start(0.0, 0.0)
    actions = booking.handle(bookings.ClaimCreated(Revision(5)), 30.0)
    assert only(actions, bookings.Refuse).run is RunState.NO
    only(actions, bookings.ReleaseClaim)


def test_unsent_booking_goes_to_another_replica_then_is_released(claimed):
    booking, _, first = claimed
    event = bookings.ConnectFailed(first.attempt)
    second = only(booking.handle(event, 0.2), bookings.Dispatch)
    assert second.target != first.target
    event = bookings.ConnectFailed(second.attempt)
    actions = booking.handle(event, 0.3)
    assert only(actions, bookings.Refuse).run is RunState.NO
    only(actions, bookings.ReleaseClaim)


def test_booking_broken_after_dispatch_is_never_sent_again(claimed):
    booking, _, dispatch = claimed
    booking.handle(bookings.Dispatched(dispatch.attempt), 0.15)
    event = bookings.ConnectFailed(dispatch.attempt)
    actions = booking.handle(event, 0.2)
    assert only(actions, bookings.Reply).result.run is RunState.UNKNOWN
    write = only(actions, bookings.WriteOutcome)
    assert write.claim.state is bookings.ClaimState.LOST


def test_late_answer_is_stored_for_the_resend(claimed):
    booking, _, dispatch = claimed
    told = booking.handle(bookings.DeadlinePassed(), 1.0)
    assert only(told, bookings.Reply).result.run is RunState.UNKNOWN
    event = bookings.TargetAnswered(dispatch.attempt, RESULT)
    only(booking.handle(event, 2.0), bookings.WriteOutcome)


def test_foreign_answers_are_ignored(claimed):
    booking, _, _ = claimed
    event = bookings.TargetAnswered(AttemptId('other'), RESULT)
    assert booking.handle(event, 0.2) == []


def test_digest_ignores_the_order_of_fields():
    one, two = (
        bookings.digest(BookingBody('k', msgspec.Raw(action)))
        for action in (b'{"a":1,"b":2}', b'{"b": 2, "a": 1}')
    )
    assert one == two


# Interleavings of several entries over one store.


class Call(msgspec.Struct, eq=False):
    """Hold a store call; it can take effect long after its timeout."""

    entry: Entry
    booking: bookings.Booking
    action: object
    applied: bool = False
    answered: bool = False
    reply: object = None


class Sending(msgspec.Struct, eq=False):
    """Hold a dispatch on its way to a target."""

    entry: Entry
    booking: bookings.Booking
    sent: rec.BookingSent
    action: bookings.Dispatch
    left: bool = False
    ran: bool = False
    over: bool = False


class Entry(msgspec.Struct, eq=False):
    """Hold one entry process."""

    node: str
    incarnation: int = 0
    paused: bool = False


class World:
    """Run one schedule over several entries, one store and targets."""

    def __init__(self, booking_type, numbered=True):
        self.booking_type = booking_type
        self.numbered = numbered
        self.now = 0.0
        self.entries = [Entry(f'e{index}') for index in range(3)]
        self.store = {}
        self.revision = 0
        self.calls = []
        self.sendings = []
        self.bookings = []
        self.history = []

    def run(self, schedule):
        """Take one of the steps possible at each moment."""
        for choice in schedule:
            steps = self.steps(choice >> 8)
            step, *args = steps[(choice & 0xFF) % len(steps)]
            step(*args)
        return self.history

    def steps(self, extra):
        """List what may happen now; extra chooses details."""
        entry = self.entries[extra % 3]
        steps = [(self.request, entry, extra)] * 2
        steps.append((self.pass_time, (0.01, 0.3, 2.0)[extra % 3]))
        if extra % 4 == 0:
            steps.append((self.pause_or_resume, entry))
        if extra % 8 == 0:
            steps.append((self.kill, extra % 3))
        for call in self.calls:
            if self.runs(call) and not call.answered:
                steps += [(self.answer, call)] * 2
                steps.append((self.lose_answer, call, extra))
            elif not call.applied:
                steps.append((self.apply, call))
        for sending in self.sendings:
            steps += self.sending_steps(sending)
        return steps

    def sending_steps(self, sending):
        steps = []
        if sending.left and not sending.ran:
            steps.append((self.run_at_target, sending))
        if self.runs(sending) and not sending.over:
            attempt = sending.action.attempt
            if not sending.left:
                steps.append((self.send_late, sending))
                steps.append((self.send, sending))
                event = bookings.ConnectFailed(attempt)
                steps.append((self.end, sending, event))
            elif sending.ran:
                event = bookings.TargetAnswered(attempt, RESULT)
                steps.append((self.end, sending, event))
            else:
                steps.append((self.refuse_at_target, sending))
            if sending.left:
                event = bookings.ConnectionBroken(attempt)
                steps.append((self.end, sending, event))
            steps.append((self.pass_deadline, sending))
        return steps

    # What callers, entries and time do.

    def request(self, entry, extra):
        """Send a booking, or send it again, to any entry."""
        key = 'kkkl'[extra // 3 % 4]
        digest = 'other' if extra % 16 == 15 else 'd'
        sends = checks.of(self.history, rec.BookingSent)
        attempt = 1 + sum(sent.key == key for sent in sends)
        attempt = attempt if self.numbered else 0
        sent = rec.BookingSent(
            self.now, f'b{len(sends)}', entry.node, key, digest, attempt
        )
        self.history.append(sent)
        req = bookings.BookingRequest(
            request_id=RequestId(sent.send),
            service=SERVICE,
            key=BookingKey(key),
            digest=digest,
            attempt=attempt,
            deadline=self.now + 1.0,
            targets=TARGETS,
        )
        claimer = bookings.Claimer(NodeId(entry.node), entry.incarnation)
        rng = random.Random(len(sends))
        booking = self.booking_type(req, claimer, CFG, rng)
        booking.sent = sent
        self.bookings.append((entry, booking))
        self.act(entry, booking, booking.start(self.now, self.now))

    def pass_time(self, step_s):
        self.now += step_s

    def pass_deadline(self, item):
        self.now += 1.0
        self.feed(item, bookings.DeadlinePassed())

    def pause_or_resume(self, entry):
        entry.paused = not entry.paused

    def kill(self, index):
        """Replace an entry; what it has sent stays on its way."""
        old = self.entries[index]
        self.entries[index] = Entry(old.node, old.incarnation + 1)

    # What the store does.

    def apply(self, call):
        """Let a call take effect, perhaps long after its timeout."""
        call.applied = True
        call.reply = self.apply_action(call.action)

    def answer(self, call):
        if not call.applied:
            self.apply(call)
        call.answered = True
        self.feed(call, call.reply)

    def lose_answer(self, call, extra):
        """Lose a call's answer; it can still take effect later."""
        call.answered = True
        match call.action:
            case bookings.CreateClaim() if not call.applied and extra % 2:
                call.applied = True
                self.feed(call, bookings.ClaimFailed())
            case bookings.CreateClaim():
                self.feed(call, bookings.ClaimUnsure())
            case bookings.ReadClaim():
                self.feed(call, bookings.ReadFailed())
            case _:
                self.feed(call, bookings.OutcomeUnsure())

    # What targets do.

    def send(self, sending):
        attempt = sending.action.attempt
        if self.now < sending.action.deadline:
            sending.left = True
            self.feed(sending, bookings.Dispatched(attempt))
        else:
            self.end(sending, bookings.ConnectFailed(attempt))

    def send_late(self, sending):
        """Pause between the check of the deadline and the first byte."""
        if self.now < sending.action.deadline:
            self.now += 10.0
            sending.left = True

    def run_at_target(self, sending):
        sending.ran = True
        sent = sending.sent
        target = sending.action.target
        self.history.append(
            rec.TargetBooked(
                self.now, target, sent.send, sent.key, sent.digest
            )
        )

    def refuse_at_target(self, sending):
        sending.ran = True
        attempt = sending.action.attempt
        self.end(sending, bookings.TargetRefusedUnrun(attempt))

    # The entries' edges.

    def runs(self, item):
        return item.entry in self.entries and not item.entry.paused

    def end(self, sending, event):
        sending.over = True
        self.feed(sending, event)

    def feed(self, item, event):
        actions = item.booking.handle(event, self.now)
        self.act(item.entry, item.booking, actions)

    def act(self, entry, booking, actions):
        for action in actions:
            match action:
                case bookings.Reply(result):
                    self.tell(booking, result.run)
                case bookings.Refuse(_, run):
                    self.tell(booking, run)
                case bookings.Dispatch():
                    self.sendings.append(
                        Sending(entry, booking, booking.sent, action)
                    )
                case _:
                    self.calls.append(Call(entry, booking, action))

    def settle(self):
        """Let all that is on its way arrive, with nothing failing."""
        for entry in self.entries:
            entry.paused = False
        while True:
            calls = [c for c in self.calls if self.runs(c) and not c.answered]
            sendings = [s for s in self.sendings if not s.over]
            sendings = [s for s in sendings if self.runs(s)]
            if not calls and not sendings:
                return
            for call in calls:
                self.answer(call)
            for sending in sendings:
                attempt = sending.action.attempt
                event = bookings.ConnectionBroken(attempt)
                self.end(sending, event)

    def tell(self, booking, run):
        self.history.append(rec.Told(self.now, booking.sent.send, run))

    def apply_action(self, action):
        held = self.store.get(action.name)
        revision = held.revision if held is not None else None
        match action:
            case bookings.ReadClaim():
                return bookings.ClaimRead(self.view(held))
            case bookings.CreateClaim(name, claim, replaces):
                if revision == replaces:
                    return bookings.ClaimCreated(self.put(name, claim))
                return bookings.ClaimConflict(self.view(held))
            case bookings.WriteOutcome() | bookings.ReleaseClaim():
                if revision == action.revision:
                    self.put(action.name, action.claim)
                    return bookings.OutcomeWritten()
                return bookings.OutcomeConflict()

    def put(self, name, claim):
        self.revision += 1
        self.store[name] = stored(claim, self.revision)
        return Revision(self.revision)

    def view(self, held):
        """Return the claim with a belief of its holder which can be wrong."""
        if held is None:
            return None
        claim = held.claim
        alive = any(
            e.node == claim.node and e.incarnation == claim.incarnation
            for e in self.entries
            if not e.paused
        )
        return msgspec.structs.replace(
            held, holder_alive=alive, age_s=self.now - claim.created_s
        )


STEPS = 60


def make_schedule(seed):
    rng = random.Random(seed)
    return [rng.getrandbits(16) for _ in range(STEPS)]


def find_violations(booking_type, schedule):
    return checks.check(World(booking_type).run(schedule))


def run_history(booking_type, seed):
    """Raise AssertionError with a shortened history of a violation."""
    schedule = make_schedule(seed)
    if not find_violations(booking_type, schedule):
        return
    short = shrink.shrink(
        schedule, lambda part: find_violations(booking_type, part)
    )
    history = World(booking_type).run(short)
    violation = checks.check(history)[0]
    raise AssertionError(shrink.render(history, violation, seed))


def test_every_interleaving_is_at_most_once():
    for seed in range(3_000):
        run_history(bookings.Booking, seed)


def test_unnumbered_sends_take_effect_once():
    for seed in range(1_000):
        world = World(bookings.Booking, numbered=False)
        history = world.run(make_schedule(seed))
        assert list(checks.booked_once(history)) == [], f'seed {seed}'


def test_every_booking_is_told_and_ends():
    for seed in range(500):
        world = World(bookings.Booking)
        world.run(make_schedule(seed))
        world.settle()
        told = {t.send for t in checks.of(world.history, rec.Told)}
        for entry, booking in world.bookings:
            if entry in world.entries:
                assert booking.ended, f'seed {seed}'
                assert booking.sent.send in told, f'seed {seed}'


class RetriesAfterSend(bookings.Booking):
    """Send again after a broken connection."""

    def _on_target(self, event, now):
        if isinstance(event, bookings.ConnectionBroken):
            return self._dispatch(now)
        return super()._on_target(event, now)


class TakesOver(bookings.Booking):
    """Take the claim of a holder which seems to be gone."""

    def _on_other(self, existing, now):
        if not existing.holder_alive:
            return self._create_again(existing.revision, now)
        return super()._on_other(existing, now)


class IgnoresNonce(bookings.Booking):
    """Believe that any claim found after a lost reply is its own."""

    def _on_read(self, existing, now):
        if self.phase is bookings.Phase.SETTLING and existing is not None:
            return self._on_claimed(existing.revision, now)
        return super()._on_read(existing, now)


class IgnoresAttempt(bookings.Booking):
    """Claim a key again which a later send was told is not run."""

    def _on_other(self, existing, now):
        if existing.claim.state is bookings.ClaimState.RELEASED:
            return self._create_again(existing.revision, now)
        return super()._on_other(existing, now)


class ReleasesAfterSend(bookings.Booking):
    """Release the claim when the deadline passes after the dispatch."""

    def _on_deadline(self):
        if self.phase is bookings.Phase.DISPATCHED:
            return self._release(0.0, bookings._UNREACHABLE)
        return super()._on_deadline()


class RefusesBlindly(bookings.Booking):
    """Say that a resend was not run without having read its claim."""

    def _refuse_unclaimed(self, why):
        return why


@pytest.mark.parametrize(
    'broken',
    [
        RetriesAfterSend,
        TakesOver,
        IgnoresNonce,
        IgnoresAttempt,
        ReleasesAfterSend,
        RefusesBlindly,
    ],
)
def test_the_check_catches(broken):
    with pytest.raises(AssertionError, match='broken for'):
        for seed in range(3_000):
            run_history(broken, seed)
