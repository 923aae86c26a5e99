"""Test that a booking with a ticket runs at most once, at its issuer."""

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


def make_tickets(node='e0', incarnation=1):
    return tickets.Tickets(NodeId(node), incarnation, CFG, random.Random(1))


@pytest.fixture
def issuer():
    return make_tickets()


@pytest.fixture
def ticket(issuer):
    return issuer.issue(0.0)


def admit(issuer, ticket, digest='d', attempt=1, alive=True, now=1.0):
    return issuer.admit(ticket, digest, attempt, alive, now)


def test_ticket_runs_once_and_repeats(issuer, ticket):
    assert admit(issuer, ticket) == tickets.Run()
    resend = admit(issuer, ticket, attempt=2)
    assert resend == tickets.Refuse('in_progress', RunState.UNKNOWN)
    issuer.record_result(ticket, RESULT)
    assert admit(issuer, ticket, attempt=3) == tickets.Repeat(RESULT)
    other = admit(issuer, ticket, digest='other', attempt=4)
    assert other == tickets.Refuse('key_reused', RunState.NO)


def test_lost_booking_stays_unknown(issuer, ticket):
    admit(issuer, ticket)
    issuer.record_no_reply(ticket)
    assert admit(issuer, ticket, attempt=2).run is RunState.UNKNOWN


def test_only_later_sends_may_run_an_unsent_booking(issuer, ticket):
    admit(issuer, ticket, attempt=2)
    issuer.record_not_run(ticket, 2)
    late = admit(issuer, ticket, attempt=1)
    assert late == tickets.Refuse('superseded', RunState.NO)
    assert admit(issuer, ticket, attempt=3) == tickets.Run()


def test_unused_ticket_expires(issuer, ticket):
    refusal = admit(issuer, ticket, now=CFG.unused_s + 1.0)
    assert refusal == tickets.Refuse('expired', RunState.NO)


def test_other_process_forwards_while_the_holder_lives(ticket):
    other = make_tickets('e1')
    assert admit(other, ticket) == tickets.Forward(NodeId('e0'))
    resend = admit(other, ticket, attempt=2, alive=False)
    assert resend.run is RunState.UNKNOWN
    first_send = admit(other, ticket, attempt=1, alive=False)
    assert first_send.run is RunState.NO


def test_restarted_process_does_not_run_old_tickets(issuer, ticket):
    admit(issuer, ticket)
    assert admit(
        make_tickets(incarnation=2), ticket, attempt=2
    ) == tickets.Refuse('holder_gone', RunState.UNKNOWN)


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
    assert admit(make_tickets(), forged).run is RunState.NO


class Simulation:
    """Simulate sends, restarts and lost replies in the order of a schedule."""

    def __init__(self, tickets_type, schedule):
        self.tickets_type = tickets_type
        self.schedule = schedule
        self.rng = random.Random(1)
        self.incarnations = [0, 0]
        self.issuers = [self.new_issuer(index) for index in range(2)]
        self.tickets = []
        self.waiting = []
        self.running = []
        self.history = []
        self.now = 0.0

    def new_issuer(self, index):
        self.incarnations[index] += 1
        node = NodeId(f'e{index}')
        incarnation = self.incarnations[index]
        cfg = tickets.TicketSettings()
        return self.tickets_type(
            node, incarnation, cfg, random.Random(incarnation)
        )

    def run(self):
        for choice in self.schedule:
            self.now += 1.0
            steps = (self.send, self.send, self.arrive, self.arrive)
            steps += (self.end_dispatch, self.end_dispatch, self.restart)
            steps[(choice & 0xFF) % len(steps)](choice >> 8)
        return self.history

    def send(self, choice):
        if len(self.tickets) < 3:
            self.tickets.append(self.issuers[choice % 2].issue(self.now))
        ticket = self.tickets[choice // 2 % len(self.tickets)]
        sends = checks.records_of_type(self.history, rec.BookingSent)
        key = BookingKey(str(ticket))
        attempt = 1 + sum(sent.key == key for sent in sends)
        node = NodeId(f'e{choice % 2}')
        sent = rec.BookingSent(
            self.now, f'b{len(sends)}', node, key, 'd', attempt
        )
        self.history.append(sent)
        self.waiting.append((choice % 2, ticket, sent))

    def arrive(self, choice):
        """Deliver one of the waiting requests, not always the oldest."""
        if not self.waiting:
            return
        item = self.waiting.pop(choice % len(self.waiting))
        index, ticket, sent = item
        alive = choice % 3 > 0
        decision = self.issuers[index].admit(
            ticket, sent.digest, sent.attempt, alive, self.now
        )
        match decision:
            case tickets.Run():
                self.running.append(item)
            case tickets.Repeat():
                self.record_answer(sent, RunState.YES)
            case tickets.Refuse(_, run):
                self.record_answer(sent, run)
            case tickets.Forward(node):
                self.waiting.append((int(node[1:]), ticket, sent))

    def end_dispatch(self, choice):
        """End a dispatch, whose entry may have restarted in the meantime."""
        if not self.running:
            return
        index, ticket, sent = self.running.pop(choice % len(self.running))
        issuer = self.issuers[index]
        alive = ticket.incarnation == self.incarnations[index]
        if choice % 3 == 0:
            if alive:
                issuer.record_not_run(ticket, sent.attempt)
                self.record_answer(sent, RunState.NO)
            return
        target = TargetId('t0')
        self.history.append(
            rec.TargetBooked(self.now, target, sent.send, sent.key, 'd')
        )
        if alive and choice % 3 == 1:
            issuer.record_result(ticket, RESULT)
            self.record_answer(sent, RunState.YES)
        elif alive:
            issuer.record_no_reply(ticket)
            self.record_answer(sent, RunState.UNKNOWN)

    def restart(self, choice):
        self.issuers[choice % 2] = self.new_issuer(choice % 2)

    def record_answer(self, sent, run):
        self.history.append(rec.Told(self.now, sent.send, run))


def run_histories(tickets_type):
    for seed in range(1_000):
        rng = random.Random(seed)
        schedule = [rng.getrandbits(16) for _ in range(40)]
        history = Simulation(tickets_type, schedule).run()
        for violation in checks.check(history):
            raise AssertionError(shrink.render(history, violation, seed))


def test_every_interleaving_is_at_most_once():
    run_histories(tickets.Tickets)


# Faulty variants of Tickets, whose violations the checks have to find.


class ForgetsIncarnation(tickets.Tickets):
    """Run tickets that the process issued before its restart."""

    def _issued_here(self, ticket):
        if ticket.node == self._node:
            self._records.setdefault(
                ticket.serial, tickets._TicketRecord(ticket.nonce, 0.0)
            )
        return ticket.node == self._node


class RunsAfterLoss(tickets.Tickets):
    """Run a booking again after its first dispatch got no reply."""

    def record_no_reply(self, ticket):
        self.record_not_run(ticket, 0)


class IgnoresAttempt(tickets.Tickets):
    """Run attempts older than one that was reported as not run."""

    def record_not_run(self, ticket, attempt):
        super().record_not_run(ticket, 0)


@pytest.mark.parametrize(
    'faulty_type', [ForgetsIncarnation, RunsAfterLoss, IgnoresAttempt]
)
def test_the_check_catches(faulty_type):
    with pytest.raises(AssertionError, match='broken for'):
        run_histories(faulty_type)
