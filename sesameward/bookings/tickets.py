"""Run bookings at most once without the store.

A caller first gets a ticket and uses it as the booking's idempotency key.
Only the process that issued the ticket runs the booking, and it remembers the
outcome in memory.
"""

from __future__ import annotations

import collections
import enum
import random

import msgspec

from ..types import BookingKey
from ..types import NodeId
from ..types import RunState
from .bookings import unclaimed_run

KEY_PREFIX = 'ticket'


class TicketSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit how many tickets a process remembers, and for how long."""

    # A booking that has not run is refused if its ticket is older than this.
    unused_s: float = 60.0
    # A ticket and its booking's outcome are forgotten this long after the
    # issue of the ticket, but not while the booking is running.
    outcome_keep_s: float = 3_600.0
    max_tickets: int = 100_000


class Ticket(msgspec.Struct, frozen=True):
    """Identify one booking and the only process that may run it."""

    node: NodeId
    incarnation: int
    serial: int
    nonce: str

    def __str__(self) -> str:
        return (
            f'{KEY_PREFIX}:{self.node}:{self.incarnation}:'
            f'{self.serial}:{self.nonce}'
        )


def parse(key: BookingKey) -> Ticket | None:
    """Return the ticket in an idempotency key, or None if it has none."""
    parts = key.split(':')
    if len(parts) != 5 or parts[0] != KEY_PREFIX:
        return None
    _, node, incarnation, serial, nonce = parts
    if not (incarnation.isdecimal() and serial.isdecimal()):
        return None
    return Ticket(NodeId(node), int(incarnation), int(serial), nonce)


class TicketState(enum.Enum):
    """List the states of a ticket's booking."""

    # The booking is not running and has not run.
    ISSUED = 'issued'
    # The booking was dispatched and has no outcome yet.
    RUNNING = 'running'
    # A target ran the booking and returned a result.
    DONE = 'done'
    # The booking was dispatched, but no reply came.
    LOST = 'lost'


# Decisions that Tickets.admit() returns.


class Run(msgspec.Struct, frozen=True):
    """Dispatch the booking to a target once."""


class Repeat(msgspec.Struct, frozen=True):
    """Answer the caller with the result of the earlier run."""

    result: msgspec.Raw


class Forward(msgspec.Struct, frozen=True):
    """Forward the request to the node that issued the ticket."""

    node: NodeId


class Refuse(msgspec.Struct, frozen=True):
    """Refuse the request; run says whether the booking took effect."""

    reason: str
    run: RunState


Admission = Run | Repeat | Forward | Refuse


class _TicketRecord(msgspec.Struct):
    nonce: str
    # When the ticket was issued.
    at: float
    state: TicketState = TicketState.ISSUED
    # Digest of the booking that the ticket was first used for.
    digest: str = ''
    # Number of the latest attempt known not to have run. Requests with a
    # lower number are refused.
    unsent_attempt: int = 0
    result: msgspec.Raw = msgspec.Raw(b'null')


class Tickets:
    """Issue tickets and decide which of their bookings to run."""

    def __init__(
        self,
        node: NodeId,
        incarnation: int,
        cfg: TicketSettings,
        rng: random.Random,
    ):
        self._node = node
        self._incarnation = incarnation
        self._cfg = cfg
        self._rng = rng
        self._serial = 0
        self._records: collections.OrderedDict[int, _TicketRecord] = (
            collections.OrderedDict()
        )

    def issue(self, now: float) -> Ticket | None:
        """Return a new ticket, or None if there are already max_tickets."""
        self._drop_expired(now)
        if len(self._records) >= self._cfg.max_tickets:
            return None
        self._serial += 1
        nonce = f'{self._rng.getrandbits(64):016x}'
        self._records[self._serial] = _TicketRecord(nonce, now)
        return Ticket(self._node, self._incarnation, self._serial, nonce)

    def admit(
        self,
        ticket: Ticket,
        digest: str,
        attempt: int,
        holder_alive: bool,
        now: float,
    ) -> Admission:
        """Decide whether to run, repeat, forward or refuse a booking.

        attempt is 1 when the caller first sends the ticket, and higher each
        time it sends the ticket again. holder_alive says whether the process
        that issued the ticket is alive.
        """
        if not self._issued_here(ticket):
            return self._admit_elsewhere(ticket, attempt, holder_alive)
        record = self._records.get(ticket.serial)
        if record is None:
            return Refuse('forgotten', unclaimed_run(attempt))
        if record.nonce != ticket.nonce:
            return Refuse('forged', RunState.NO)
        if record.digest not in ('', digest):
            return Refuse('key_reused', RunState.NO)
        if attempt < record.unsent_attempt:
            return Refuse('superseded', RunState.NO)
        match record.state:
            case TicketState.ISSUED if now > record.at + self._cfg.unused_s:
                return Refuse('expired', RunState.NO)
            case TicketState.ISSUED:
                record.state = TicketState.RUNNING
                record.digest = digest
                return Run()
            case TicketState.RUNNING:
                return Refuse('in_progress', RunState.UNKNOWN)
            case TicketState.DONE:
                return Repeat(record.result)
            case TicketState.LOST:
                return Refuse('lost', RunState.UNKNOWN)

    def record_result(self, ticket: Ticket, result: msgspec.Raw) -> None:
        """Record the result of a booking that a target ran."""
        record = self._records.get(ticket.serial)
        if record is not None:
            record.state = TicketState.DONE
            record.result = result

    def record_no_reply(self, ticket: Ticket) -> None:
        """Record that no reply to a dispatched booking came."""
        record = self._records.get(ticket.serial)
        if record is not None:
            record.state = TicketState.LOST

    def record_not_run(self, ticket: Ticket, attempt: int) -> None:
        """Record that an attempt did not run, so that the next one may run.

        Attempts with a lower number than this one are refused from then on.
        """
        record = self._records.get(ticket.serial)
        if record is not None:
            record.state = TicketState.ISSUED
            record.unsent_attempt = attempt

    def _issued_here(self, ticket: Ticket) -> bool:
        return (ticket.node, ticket.incarnation) == (
            self._node,
            self._incarnation,
        )

    def _admit_elsewhere(
        self, ticket: Ticket, attempt: int, holder_alive: bool
    ) -> Admission:
        if holder_alive and ticket.node != self._node:
            return Forward(ticket.node)
        return Refuse('holder_gone', unclaimed_run(attempt))

    def _drop_expired(self, now: float) -> None:
        """Drop the oldest tickets up to one that is running or recent."""
        while self._records:
            serial, record = next(iter(self._records.items()))
            if record.state is TicketState.RUNNING:
                return
            if now < record.at + self._cfg.outcome_keep_s:
                return
            del self._records[serial]
