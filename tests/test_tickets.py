"""Test that a ticket runs at most once, in the process it names."""

from __future__ import annotations

import random

import msgspec
import pytest

from sesameward import tickets
from sesameward.types import BookingKey
from sesameward.types import NodeId
from sesameward.types import RunState

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
