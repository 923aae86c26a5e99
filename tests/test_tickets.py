"""Test that a ticket runs at most once, in the process it names."""

from __future__ import annotations

import random

import msgspec
import pytest

from sesameward.bookings import tickets
from sesameward.types import BookingKey
from sesameward.types import NodeId
from sesameward.types import RunState
from sesameward.types import TargetId

from .histories import checks
from .histories import records as rec
from .histories import shrink

CFG = tickets.TicketSettings(max_tickets=3)
RESULT = msgspec.Raw(b'7')


def make(node='e0', incarnation=1):
    return tickets.Tickets(NodeId(node), incarnation, CFG, random.Random(1))


@pytest.fixture
def issuer():
    return make()


@pytest.fixture
def ticket(issuer):
    return issuer.issue(0.0)


def admit(book, ticket, digest='d', attempt=1, alive=True, now=1.0):
    return book.admit(ticket, digest, attempt, alive, now)


def test_ticket_runs_once_and_repeats(issuer, ticket):
    assert admit(issuer, ticket) == tickets.Run()
    again = admit(issuer, ticket, attempt=2)
    assert again == tickets.Refuse('in_progress', RunState.UNKNOWN)
    issuer.done(ticket, RESULT)
    assert admit(issuer, ticket, attempt=3) == tickets.Repeat(RESULT)
    other = admit(issuer, ticket, digest='other', attempt=4)
    assert other == tickets.Refuse('key_reused', RunState.NO)


def test_lost_booking_stays_unknown(issuer, ticket):
    admit(issuer, ticket)
    issuer.lost(ticket)
    assert admit(issuer, ticket, attempt=2).run is RunState.UNKNOWN


def test_only_later_sends_may_run_an_unsent_booking(issuer, ticket):
    admit(issuer, ticket, attempt=2)
    issuer.unsent(ticket, 2)
    late = admit(issuer, ticket, attempt=1)
    assert late == tickets.Refuse('superseded', RunState.NO)
    assert admit(issuer, ticket, attempt=3) == tickets.Run()


def test_unused_ticket_expires(issuer, ticket):
    refusal = admit(issuer, ticket, now=CFG.unused_s + 1.0)
    assert refusal == tickets.Refuse('expired', RunState.NO)


def test_other_process_forwards_while_the_holder_lives(ticket):
    other = make('e1')
    assert admit(other, ticket) == tickets.Forward(NodeId('e0'))
    gone = admit(other, ticket, attempt=2, alive=False)
    assert gone.run is RunState.UNKNOWN
    never_sent = admit(other, ticket, attempt=1, alive=False)
    assert never_sent.run is RunState.NO


def test_restarted_process_does_not_run_old_tickets(issuer, ticket):
    admit(issuer, ticket)
    assert admit(make(incarnation=2), ticket, attempt=2) == tickets.Refuse(
        'holder_gone', RunState.UNKNOWN
    )


def test_memory_is_bounded(issuer, ticket):
    assert [issuer.issue(1.0) is None for _ in range(3)] == [0, 0, 1]
    later = CFG.outcome_keep_s + 2.0
    assert issuer.issue(later) is not None
    assert admit(issuer, ticket, attempt=2, now=later).run is (
        RunState.UNKNOWN
    )


def test_ticket_is_carried_in_the_key(ticket):
    assert tickets.parse(BookingKey(str(ticket))) == ticket
    for key in ('', 'k', 'ticket:a:b:c:d', 'other:e0:1:1:ff'):
        assert tickets.parse(BookingKey(key)) is None
    forged = msgspec.structs.replace(ticket, nonce='0')
    assert admit(make(), forged).run is RunState.NO


class World:
    """Run schedules of sends, restarts and lost answers over tickets."""

    def __init__(self, book_type, schedule):
        self.book_type = book_type
        self.schedule = schedule
        self.rng = random.Random(1)
        self.incarnations = [0, 0]
        self.books = [self.new_book(index) for index in range(2)]
        self.tickets = []
        self.waiting = []
        self.running = []
        self.history = []
        self.now = 0.0

    def new_book(self, index):
        self.incarnations[index] += 1
        node = NodeId(f'e{index}')
        number = self.incarnations[index]
        cfg = tickets.TicketSettings()
        return self.book_type(node, number, cfg, random.Random(number))

    def run(self):
        for choice in self.schedule:
            self.now += 1.0
            steps = (self.send, self.send, self.arrive, self.arrive)
            steps += (self.end, self.end, self.restart)
            steps[(choice & 0xFF) % len(steps)](choice >> 8)
        return self.history

    def send(self, choice):
        if len(self.tickets) < 3:
            self.tickets.append(self.books[choice % 2].issue(self.now))
        ticket = self.tickets[choice // 2 % len(self.tickets)]
        sends = checks.of(self.history, rec.BookingSent)
        key = BookingKey(str(ticket))
        attempt = 1 + sum(sent.key == key for sent in sends)
        node = NodeId(f'e{choice % 2}')
        sent = rec.BookingSent(
            self.now, f'b{len(sends)}', node, key, 'd', attempt
        )
        self.history.append(sent)
        self.waiting.append((choice % 2, ticket, sent))

    def arrive(self, choice):
        """Let a send arrive, perhaps after later ones."""
        if not self.waiting:
            return
        item = self.waiting.pop(choice % len(self.waiting))
        index, ticket, sent = item
        alive = choice % 3 > 0
        decision = self.books[index].admit(
            ticket, sent.digest, sent.attempt, alive, self.now
        )
        match decision:
            case tickets.Run():
                self.running.append(item)
            case tickets.Repeat():
                self.tell(sent, RunState.YES)
            case tickets.Refuse(_, run):
                self.tell(sent, run)
            case tickets.Forward(node):
                self.waiting.append((int(node[1:]), ticket, sent))

    def end(self, choice):
        """End a dispatch; its entry may be gone by then."""
        if not self.running:
            return
        index, ticket, sent = self.running.pop(choice % len(self.running))
        book = self.books[index]
        alive = ticket.incarnation == self.incarnations[index]
        if choice % 3 == 0:
            if alive:
                book.unsent(ticket, sent.attempt)
                self.tell(sent, RunState.NO)
            return
        target = TargetId('t0')
        self.history.append(
            rec.TargetBooked(self.now, target, sent.send, sent.key, 'd')
        )
        if alive and choice % 3 == 1:
            book.done(ticket, RESULT)
            self.tell(sent, RunState.YES)
        elif alive:
            book.lost(ticket)
            self.tell(sent, RunState.UNKNOWN)

    def restart(self, choice):
        self.books[choice % 2] = self.new_book(choice % 2)

    def tell(self, sent, run):
        self.history.append(rec.Told(self.now, sent.send, run))


def run_histories(book_type):
    for seed in range(1_000):
        rng = random.Random(seed)
        schedule = [rng.getrandbits(16) for _ in range(40)]
        history = World(book_type, schedule).run()
        for violation in checks.check(history):
            raise AssertionError(shrink.render(history, violation, seed))


def test_every_interleaving_is_at_most_once():
    run_histories(tickets.Tickets)


class ForgetsIncarnation(tickets.Tickets):
    """Run the tickets of the process's previous incarnation."""

    def _is_own(self, ticket):
        if ticket.node == self._node:
            self._entries.setdefault(
                ticket.serial, tickets._Entry(ticket.nonce, 0.0)
            )
        return ticket.node == self._node


class RunsAfterLoss(tickets.Tickets):
    """Run a ticket again whose first run has no answer."""

    def lost(self, ticket):
        self.unsent(ticket, 0)


class IgnoresAttempt(tickets.Tickets):
    """Run sends older than one that was told not to have run."""

    def unsent(self, ticket, attempt):
        super().unsent(ticket, 0)


@pytest.mark.parametrize(
    'broken', [ForgetsIncarnation, RunsAfterLoss, IgnoresAttempt]
)
def test_the_check_catches(broken):
    with pytest.raises(AssertionError, match='broken for'):
        run_histories(broken)
