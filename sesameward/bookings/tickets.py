"""Run bookings at most once without the store, by one process's tickets."""

from __future__ import annotations

import collections
import enum
import random

import msgspec

from ..types import BookingKey
from ..types import NodeId
from ..types import RunState
from .bookings import unclaimed_run

PREFIX = 'ticket'


class TicketSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bound the tickets which a process remembers."""

    unused_s: float = 60.0
    outcome_keep_s: float = 3_600.0
    max_tickets: int = 100_000


class Ticket(msgspec.Struct, frozen=True):
    """Name the only process which may run one booking."""

    node: NodeId
    incarnation: int
    serial: int
    nonce: str

    def __str__(self) -> str:
        return (
            f'{PREFIX}:{self.node}:{self.incarnation}:'
            f'{self.serial}:{self.nonce}'
        )


def parse(key: BookingKey) -> Ticket | None:
    """Return the ticket in an idempotency key, or None."""
    parts = key.split(':')
    if len(parts) != 5 or parts[0] != PREFIX:
        return None
    _, node, incarnation, serial, nonce = parts
    if not (incarnation.isdecimal() and serial.isdecimal()):
        return None
    return Ticket(NodeId(node), int(incarnation), int(serial), nonce)


class TicketState(enum.Enum):
    """Name how far a ticket has come."""

    ISSUED = 'issued'
    RUNNING = 'running'
    DONE = 'done'
    LOST = 'lost'


# What admit() decides.


class Run(msgspec.Struct, frozen=True):
    """Dispatch the booking once."""


class Repeat(msgspec.Struct, frozen=True):
    """Answer with the stored result."""

    result: msgspec.Raw


class Forward(msgspec.Struct, frozen=True):
    """Send the request on to the process that the ticket names."""

    node: NodeId


class Refuse(msgspec.Struct, frozen=True):
    """Refuse with what is certain about the run."""

    reason: str
    run: RunState


Admission = Run | Repeat | Forward | Refuse


class _Entry(msgspec.Struct):
    nonce: str
    at: float
    state: TicketState = TicketState.ISSUED
    digest: str = ''
    unsent_attempt: int = 0
    result: msgspec.Raw = msgspec.Raw(b'null')


class Tickets:
    """Issue tickets and run each one at most once in this process."""

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
        self._entries: collections.OrderedDict[int, _Entry] = (
            collections.OrderedDict()
        )

    def issue(self, now: float) -> Ticket | None:
        """Return a new ticket, or None while too many are remembered."""
        self._forget(now)
        if len(self._entries) >= self._cfg.max_tickets:
            return None
        self._serial += 1
        nonce = f'{self._rng.getrandbits(64):016x}'
        self._entries[self._serial] = _Entry(nonce, now)
        return Ticket(self._node, self._incarnation, self._serial, nonce)

    def admit(
        self,
        ticket: Ticket,
        digest: str,
        attempt: int,
        holder_alive: bool,
        now: float,
    ) -> Admission:
        """Decide on a booking; attempt counts the sends of its ticket."""
        if not self._is_own(ticket):
            return self._admit_foreign(ticket, attempt, holder_alive)
        entry = self._entries.get(ticket.serial)
        if entry is None:
            return Refuse('forgotten', unclaimed_run(attempt))
        if entry.nonce != ticket.nonce:
            return Refuse('forged', RunState.NO)
        if entry.digest not in ('', digest):
            return Refuse('key_reused', RunState.NO)
        if attempt < entry.unsent_attempt:
            return Refuse('superseded', RunState.NO)
        match entry.state:
            case TicketState.ISSUED if now > entry.at + self._cfg.unused_s:
                return Refuse('expired', RunState.NO)
            case TicketState.ISSUED:
                entry.state = TicketState.RUNNING
                entry.digest = digest
                return Run()
            case TicketState.RUNNING:
                return Refuse('in_progress', RunState.UNKNOWN)
            case TicketState.DONE:
                return Repeat(entry.result)
            case TicketState.LOST:
                return Refuse('lost', RunState.UNKNOWN)

    def done(self, ticket: Ticket, result: msgspec.Raw) -> None:
        """Keep the result of a booking which ran."""
        entry = self._entries.get(ticket.serial)
        if entry is not None:
            entry.state = TicketState.DONE
            entry.result = result

    def lost(self, ticket: Ticket) -> None:
        """Keep that a dispatched booking has no answer."""
        entry = self._entries.get(ticket.serial)
        if entry is not None:
            entry.state = TicketState.LOST

    def unsent(self, ticket: Ticket, attempt: int) -> None:
        """Let later sends run a booking which certainly did not run."""
        entry = self._entries.get(ticket.serial)
        if entry is not None:
            entry.state = TicketState.ISSUED
            entry.unsent_attempt = attempt

    def _is_own(self, ticket: Ticket) -> bool:
        return (ticket.node, ticket.incarnation) == (
            self._node,
            self._incarnation,
        )

    def _admit_foreign(
        self, ticket: Ticket, attempt: int, holder_alive: bool
    ) -> Admission:
        if holder_alive and ticket.node != self._node:
            return Forward(ticket.node)
        return Refuse('holder_gone', unclaimed_run(attempt))

    def _forget(self, now: float) -> None:
        """Drop the oldest tickets which need no more be remembered."""
        while self._entries:
            serial, entry = next(iter(self._entries.items()))
            if entry.state is TicketState.RUNNING:
                return
            if now < entry.at + self._cfg.outcome_keep_s:
                return
            del self._entries[serial]
