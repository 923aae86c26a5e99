"""Test that a booking takes effect at most once despite lost messages."""

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


def make_booking(booking_type=bookings.Booking, seed=1, **changes):
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
    return booking_type(req, claimer, CFG, random.Random(seed))


def single_action(actions, action_type):
    found = [a for a in actions if isinstance(a, action_type)]
    assert len(found) == 1, actions
    return found[0]


def stored_claim(claim, revision=5, alive=True, age_s=0.1):
    return bookings.StoredClaim(claim, Revision(revision), alive, age_s)


@pytest.fixture
def dispatched_booking():
    """Return a booking just dispatched, its claim and the dispatch."""
    booking = make_booking()
    create = single_action(booking.start(0.0, 0.0), bookings.CreateClaim)
    actions = booking.handle(bookings.ClaimCreated(Revision(5)), 0.1)
    return booking, create.claim, single_action(actions, bookings.Dispatch)


def test_outcome_is_told_and_stored(dispatched_booking):
    booking, _, dispatch = dispatched_booking
    event = bookings.TargetAnswered(dispatch.attempt, RESULT)
    actions = booking.handle(event, 0.2)
    reply = single_action(actions, bookings.Reply).result
    assert (reply.run, reply.repeated) == (RunState.YES, False)
    write = single_action(actions, bookings.WriteOutcome)
    assert write.revision == 5
    assert write.claim.state is bookings.ClaimState.DONE
    assert booking.handle(bookings.OutcomeWritten(), 0.3) == []
    assert booking.ended


def test_resend_reads_the_outcome(dispatched_booking):
    _, claim, _ = dispatched_booking
    done = msgspec.structs.replace(
        claim, state=bookings.ClaimState.DONE, result=RESULT
    )
    done = bookings.decode_claim(bookings.encode_claim(done))
    resend = make_booking(seed=2)
    resend.start(0.0, 0.0)
    actions = resend.handle(bookings.ClaimConflict(stored_claim(done)), 0.1)
    reply = single_action(actions, bookings.Reply).result
    assert (reply.run, reply.repeated) == (RunState.YES, True)
    assert bytes(reply.result) == bytes(RESULT)


@pytest.mark.parametrize('alive, age_s', [(False, 0.1), (True, 60.0)])
def test_claim_without_holder_is_unknown(dispatched_booking, alive, age_s):
    _, claim, _ = dispatched_booking
    resend = make_booking(seed=2)
    resend.start(0.0, 0.0)
    existing = stored_claim(claim, alive=alive, age_s=age_s)
    reply = single_action(
        resend.handle(bookings.ClaimConflict(existing), 0.1), bookings.Reply
    )
    assert reply.result.run is RunState.UNKNOWN


def test_claim_in_progress_asks_to_come_back(dispatched_booking):
    _, claim, _ = dispatched_booking
    resend = make_booking(seed=2)
    resend.start(0.0, 0.0)
    actions = resend.handle(bookings.ClaimConflict(stored_claim(claim)), 0.1)
    refusal = single_action(actions, bookings.Refuse)
    assert refusal.kind is RefusalKind.IN_PROGRESS
    assert refusal.run is RunState.UNKNOWN
    assert refusal.retry_after_s > 0


def test_key_with_another_body_is_refused(dispatched_booking):
    _, claim, _ = dispatched_booking
    other = make_booking(seed=2, digest='other')
    other.start(0.0, 0.0)
    actions = other.handle(bookings.ClaimConflict(stored_claim(claim)), 0.1)
    refusal = single_action(actions, bookings.Refuse)
    assert refusal.kind is RefusalKind.KEY_REUSED
    assert refusal.run is RunState.NO


@pytest.mark.parametrize(
    'attempt, run', [(1, RunState.NO), (2, RunState.UNKNOWN)]
)
def test_store_down_is_refused(attempt, run):
    booking = make_booking(attempt=attempt)
    booking.start(0.0, 0.0)
    actions = booking.handle(bookings.ClaimCreateUnconfirmed(), 0.1)
    while not any(isinstance(a, bookings.Refuse) for a in actions):
        actions = booking.handle(bookings.ReadFailed(), 0.2)
    refusal = single_action(actions, bookings.Refuse)
    assert refusal.kind is RefusalKind.STORE_UNAVAILABLE
    assert refusal.run is run
    assert refusal.retry_after_s > 0


def test_send_older_than_the_release_never_runs(dispatched_booking):
    _, claim, _ = dispatched_booking
    released = msgspec.structs.replace(
        claim, state=bookings.ClaimState.RELEASED, attempt=2
    )
    older = make_booking(seed=2, attempt=1)
    older.start(0.0, 0.0)
    conflict = bookings.ClaimConflict(stored_claim(released))
    refusal = single_action(older.handle(conflict, 0.1), bookings.Refuse)
    assert refusal.kind is RefusalKind.SUPERSEDED
    newer = make_booking(seed=3, attempt=3)
    newer.start(0.0, 0.0)
    create = single_action(newer.handle(conflict, 0.1), bookings.CreateClaim)
    assert create.replaces == 5


def test_throttled_claim_is_refused_without_a_read():
    booking = make_booking()
    booking.start(0.0, 0.0)
    actions = booking.handle(bookings.ClaimCreateRejected(), 0.1)
    assert single_action(actions, bookings.Refuse).run is RunState.NO
    assert booking.ended


def test_late_claim_of_a_refused_booking_is_released():
    booking = make_booking()
    create = single_action(booking.start(0.0, 0.0), bookings.CreateClaim)
    booking.handle(bookings.DeadlinePassed(), 1.0)
    existing = stored_claim(create.claim)
    release = single_action(
        booking.handle(bookings.ClaimRead(existing), 1.1),
        bookings.ReleaseClaim,
    )
    assert release.claim.state is bookings.ClaimState.RELEASED


def test_lost_reply_is_settled_by_the_nonce():
    booking = make_booking()
    create = single_action(booking.start(0.0, 0.0), bookings.CreateClaim)
    single_action(
        booking.handle(bookings.ClaimCreateUnconfirmed(), 0.1),
        bookings.ReadClaim,
    )
    event = bookings.ClaimRead(stored_claim(create.claim))
    single_action(booking.handle(event, 0.2), bookings.Dispatch)


def test_claimer_paused_past_its_deadline_does_not_dispatch():
    booking = make_booking()
    booking.start(0.0, 0.0)
    actions = booking.handle(bookings.ClaimCreated(Revision(5)), 30.0)
    assert single_action(actions, bookings.Refuse).run is RunState.NO
    single_action(actions, bookings.ReleaseClaim)


def test_unsent_booking_goes_to_another_replica_then_is_released(
    dispatched_booking,
):
    booking, _, first = dispatched_booking
    event = bookings.ConnectFailed(first.attempt)
    second = single_action(booking.handle(event, 0.2), bookings.Dispatch)
    assert second.target != first.target
    event = bookings.ConnectFailed(second.attempt)
    actions = booking.handle(event, 0.3)
    assert single_action(actions, bookings.Refuse).run is RunState.NO
    single_action(actions, bookings.ReleaseClaim)


def test_booking_broken_after_dispatch_is_never_sent_again(dispatched_booking):
    booking, _, dispatch = dispatched_booking
    booking.handle(bookings.Dispatched(dispatch.attempt), 0.15)
    event = bookings.ConnectFailed(dispatch.attempt)
    actions = booking.handle(event, 0.2)
    assert (
        single_action(actions, bookings.Reply).result.run is RunState.UNKNOWN
    )
    write = single_action(actions, bookings.WriteOutcome)
    assert write.claim.state is bookings.ClaimState.LOST


def test_late_answer_is_stored_for_the_resend(dispatched_booking):
    booking, _, dispatch = dispatched_booking
    actions = booking.handle(bookings.DeadlinePassed(), 1.0)
    assert (
        single_action(actions, bookings.Reply).result.run is RunState.UNKNOWN
    )
    event = bookings.TargetAnswered(dispatch.attempt, RESULT)
    single_action(booking.handle(event, 2.0), bookings.WriteOutcome)


def test_foreign_answers_are_ignored(dispatched_booking):
    booking, _, _ = dispatched_booking
    event = bookings.TargetAnswered(AttemptId('other'), RESULT)
    assert booking.handle(event, 0.2) == []


def test_digest_ignores_the_order_of_fields():
    one, two = (
        bookings.digest(BookingBody('k', msgspec.Raw(action)))
        for action in (b'{"a":1,"b":2}', b'{"b": 2, "a": 1}')
    )
    assert one == two


# Simulated interleavings of several entries that share one store.


class StoreCall(msgspec.Struct, eq=False):
    """Hold a store call, which may take effect long after its timeout."""

    entry: Entry
    booking: bookings.Booking
    action: object
    applied: bool = False
    answered: bool = False
    reply: object = None


class PendingDispatch(msgspec.Struct, eq=False):
    """Hold a dispatch to a target that may not have ended yet."""

    entry: Entry
    booking: bookings.Booking
    sent: rec.BookingSent
    action: bookings.Dispatch
    was_sent: bool = False
    processed: bool = False
    finished: bool = False


class Entry(msgspec.Struct, eq=False):
    """Hold the state of one simulated entry process."""

    node: str
    incarnation: int = 0
    paused: bool = False


class Simulation:
    """Simulate entries, targets and one store in the order of a schedule."""

    def __init__(self, booking_type, number_sends=True):
        self.booking_type = booking_type
        self.number_sends = number_sends
        self.now = 0.0
        self.entries = [Entry(f'e{index}') for index in range(3)]
        self.store = {}
        self.revision = 0
        self.calls = []
        self.pending_dispatches = []
        self.bookings = []
        self.history = []

    def run(self, schedule):
        """Run one of the possible steps for each number of the schedule."""
        for choice in schedule:
            steps = self.steps(choice >> 8)
            step, *args = steps[(choice & 0xFF) % len(steps)]
            step(*args)
        return self.history

    def steps(self, extra):
        """Return the steps possible now; extra varies their details."""
        entry = self.entries[extra % 3]
        steps = [(self.request, entry, extra)] * 2
        steps.append((self.pass_time, (0.01, 0.3, 2.0)[extra % 3]))
        if extra % 4 == 0:
            steps.append((self.pause_or_resume, entry))
        if extra % 8 == 0:
            steps.append((self.restart, extra % 3))
        for call in self.calls:
            if self.is_running(call) and not call.answered:
                steps += [(self.answer, call)] * 2
                steps.append((self.lose_answer, call, extra))
            elif not call.applied:
                steps.append((self.apply, call))
        for pending in self.pending_dispatches:
            steps += self.dispatch_steps(pending)
        return steps

    def dispatch_steps(self, pending):
        steps = []
        if pending.was_sent and not pending.processed:
            steps.append((self.run_at_target, pending))
        if self.is_running(pending) and not pending.finished:
            attempt = pending.action.attempt
            if not pending.was_sent:
                steps.append((self.send_late, pending))
                steps.append((self.send, pending))
                event = bookings.ConnectFailed(attempt)
                steps.append((self.end_dispatch, pending, event))
            elif pending.processed:
                event = bookings.TargetAnswered(attempt, RESULT)
                steps.append((self.end_dispatch, pending, event))
            else:
                steps.append((self.refuse_at_target, pending))
            if pending.was_sent:
                event = bookings.ConnectionBroken(attempt)
                steps.append((self.end_dispatch, pending, event))
            steps.append((self.pass_deadline, pending))
        return steps

    # Events of the simulation: callers, entries and the clock.

    def request(self, entry, extra):
        """Send a booking, or send it again, to the given entry."""
        key = 'kkkl'[extra // 3 % 4]
        digest = 'other' if extra % 16 == 15 else 'd'
        sends = checks.records_of_type(self.history, rec.BookingSent)
        attempt = 1 + sum(sent.key == key for sent in sends)
        attempt = attempt if self.number_sends else 0
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
        self.carry_out(entry, booking, booking.start(self.now, self.now))

    def pass_time(self, step_s):
        self.now += step_s

    def pass_deadline(self, item):
        self.now += 1.0
        self.deliver(item, bookings.DeadlinePassed())

    def pause_or_resume(self, entry):
        entry.paused = not entry.paused

    def restart(self, index):
        """Restart an entry, whose earlier messages may still take effect."""
        old = self.entries[index]
        self.entries[index] = Entry(old.node, old.incarnation + 1)

    # Events of the simulation: store calls.

    def apply(self, call):
        """Apply a call to the store, possibly long after its timeout."""
        call.applied = True
        call.reply = self.apply_action(call.action)

    def answer(self, call):
        if not call.applied:
            self.apply(call)
        call.answered = True
        self.deliver(call, call.reply)

    def lose_answer(self, call, extra):
        """Lose the reply to a call, or let the store reject a create.

        A call whose reply is lost may still take effect later.
        """
        call.answered = True
        match call.action:
            case bookings.CreateClaim() if not call.applied and extra % 2:
                call.applied = True
                self.deliver(call, bookings.ClaimCreateRejected())
            case bookings.CreateClaim():
                self.deliver(call, bookings.ClaimCreateUnconfirmed())
            case bookings.ReadClaim():
                self.deliver(call, bookings.ReadFailed())
            case _:
                self.deliver(call, bookings.OutcomeUnconfirmed())

    # Events of the simulation: dispatches to targets.

    def send(self, pending):
        attempt = pending.action.attempt
        if self.now < pending.action.deadline:
            pending.was_sent = True
            self.deliver(pending, bookings.Dispatched(attempt))
        else:
            self.end_dispatch(pending, bookings.ConnectFailed(attempt))

    def send_late(self, pending):
        """Send the first byte 10 s after the deadline was checked."""
        if self.now < pending.action.deadline:
            self.now += 10.0
            pending.was_sent = True

    def run_at_target(self, pending):
        pending.processed = True
        sent = pending.sent
        target = pending.action.target
        self.history.append(
            rec.TargetBooked(
                self.now, target, sent.send, sent.key, sent.digest
            )
        )

    def refuse_at_target(self, pending):
        pending.processed = True
        attempt = pending.action.attempt
        self.end_dispatch(pending, bookings.TargetRefused(attempt))

    # Passing events to bookings and carrying out their actions.

    def is_running(self, item):
        return item.entry in self.entries and not item.entry.paused

    def end_dispatch(self, pending, event):
        pending.finished = True
        self.deliver(pending, event)

    def deliver(self, item, event):
        actions = item.booking.handle(event, self.now)
        self.carry_out(item.entry, item.booking, actions)

    def carry_out(self, entry, booking, actions):
        for action in actions:
            match action:
                case bookings.Reply(result):
                    self.record_answer(booking, result.run)
                case bookings.Refuse(_, run):
                    self.record_answer(booking, run)
                case bookings.Dispatch():
                    self.pending_dispatches.append(
                        PendingDispatch(entry, booking, booking.sent, action)
                    )
                case _:
                    self.calls.append(StoreCall(entry, booking, action))

    def finish_pending(self):
        """Resume all entries and end their store calls and dispatches.

        Store calls succeed; the connections of dispatches break.
        """
        for entry in self.entries:
            entry.paused = False
        while True:
            calls = [
                c for c in self.calls if self.is_running(c) and not c.answered
            ]
            pending_dispatches = [
                p for p in self.pending_dispatches if not p.finished
            ]
            pending_dispatches = [
                p for p in pending_dispatches if self.is_running(p)
            ]
            if not calls and not pending_dispatches:
                return
            for call in calls:
                self.answer(call)
            for pending in pending_dispatches:
                attempt = pending.action.attempt
                event = bookings.ConnectionBroken(attempt)
                self.end_dispatch(pending, event)

    def record_answer(self, booking, run):
        self.history.append(rec.Told(self.now, booking.sent.send, run))

    def apply_action(self, action):
        current = self.store.get(action.name)
        revision = current.revision if current is not None else None
        match action:
            case bookings.ReadClaim():
                return bookings.ClaimRead(self.view(current))
            case bookings.CreateClaim(name, claim, replaces):
                if revision == replaces:
                    return bookings.ClaimCreated(self.put(name, claim))
                return bookings.ClaimConflict(self.view(current))
            case bookings.WriteOutcome() | bookings.ReleaseClaim():
                if revision == action.revision:
                    self.put(action.name, action.claim)
                    return bookings.OutcomeWritten()
                return bookings.OutcomeConflict()

    def put(self, name, claim):
        self.revision += 1
        self.store[name] = stored_claim(claim, self.revision)
        return Revision(self.revision)

    def view(self, current):
        """Return the claim as entries read it; a paused holder looks dead."""
        if current is None:
            return None
        claim = current.claim
        alive = any(
            e.node == claim.node and e.incarnation == claim.incarnation
            for e in self.entries
            if not e.paused
        )
        return msgspec.structs.replace(
            current, holder_alive=alive, age_s=self.now - claim.created_s
        )


SCHEDULE_STEPS = 60


def make_schedule(seed):
    rng = random.Random(seed)
    return [rng.getrandbits(16) for _ in range(SCHEDULE_STEPS)]


def find_violations(booking_type, schedule):
    return checks.check(Simulation(booking_type).run(schedule))


def run_history(booking_type, seed):
    """Raise AssertionError with a shortened history if a check fails."""
    schedule = make_schedule(seed)
    if not find_violations(booking_type, schedule):
        return
    shortened = shrink.shrink(
        schedule, lambda part: find_violations(booking_type, part)
    )
    history = Simulation(booking_type).run(shortened)
    violation = checks.check(history)[0]
    raise AssertionError(shrink.render(history, violation, seed))


def test_every_interleaving_is_at_most_once():
    for seed in range(3_000):
        run_history(bookings.Booking, seed)


def test_unnumbered_sends_take_effect_once():
    for seed in range(1_000):
        simulation = Simulation(bookings.Booking, number_sends=False)
        history = simulation.run(make_schedule(seed))
        assert list(checks.booked_once(history)) == [], f'seed {seed}'


def test_every_booking_is_told_and_ends():
    for seed in range(500):
        simulation = Simulation(bookings.Booking)
        simulation.run(make_schedule(seed))
        simulation.finish_pending()
        answered = {
            t.send
            for t in checks.records_of_type(simulation.history, rec.Told)
        }
        for entry, booking in simulation.bookings:
            if entry in simulation.entries:
                assert booking.ended, f'seed {seed}'
                assert booking.sent.send in answered, f'seed {seed}'


# Faulty variants of Booking, whose violations the checks have to find.


class RetriesAfterSend(bookings.Booking):
    """Dispatch the booking again after the connection broke."""

    def _on_target_event(self, event, now):
        if isinstance(event, bookings.ConnectionBroken):
            return self._dispatch(now)
        return super()._on_target_event(event, now)


class TakesOverClaim(bookings.Booking):
    """Replace the claim of a holder that seems to be dead."""

    def _on_other_claim(self, existing, now):
        if not existing.holder_alive:
            return self._create_again(existing.revision, now)
        return super()._on_other_claim(existing, now)


class IgnoresNonce(bookings.Booking):
    """Treat any claim found after a lost reply as its own."""

    def _on_claim_read(self, existing, now):
        if self.phase is bookings.Phase.SETTLING and existing is not None:
            return self._on_claim_held(existing.revision, now)
        return super()._on_claim_read(existing, now)


class IgnoresAttempt(bookings.Booking):
    """Replace a released claim even if a later attempt released it."""

    def _on_other_claim(self, existing, now):
        if existing.claim.state is bookings.ClaimState.RELEASED:
            return self._create_again(existing.revision, now)
        return super()._on_other_claim(existing, now)


class ReleasesAfterSend(bookings.Booking):
    """Release the claim when the deadline passes after the dispatch."""

    def _on_deadline(self):
        if self.phase is bookings.Phase.DISPATCHED:
            return self._release(0.0, bookings._DEADLINE_UNREACHABLE)
        return super()._on_deadline()


class ReportsNotRunUnread(bookings.Booking):
    """Report a repeated request as not run without reading its claim."""

    def _refuse_unclaimed(self, refusal):
        return refusal


@pytest.mark.parametrize(
    'faulty_type',
    [
        RetriesAfterSend,
        TakesOverClaim,
        IgnoresNonce,
        IgnoresAttempt,
        ReleasesAfterSend,
        ReportsNotRunUnread,
    ],
)
def test_the_check_catches(faulty_type):
    with pytest.raises(AssertionError, match='broken for'):
        for seed in range(3_000):
            run_history(faulty_type, seed)
