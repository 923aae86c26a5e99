"""Define the input events and resulting actions of the membership protocol."""

from __future__ import annotations

import dataclasses

from ..messages import Member
from ..messages import Rumor
from .datagrams import Datagram


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Report an authentic datagram that came from this address."""

    host: str
    port: int
    message: Datagram


@dataclasses.dataclass(frozen=True, slots=True)
class TimerDue:
    """Report that time has passed, so that due timers run."""


Event = Received | TimerDue


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Request that a datagram is sent to this address."""

    host: str
    port: int
    message: Datagram


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """Report that a member was added or that its record changed."""

    member: Member


@dataclasses.dataclass(frozen=True, slots=True)
class RumorAccepted:
    """Report a rumor, or a version of it, that is new to this agent."""

    rumor: Rumor


@dataclasses.dataclass(frozen=True, slots=True)
class SyncWanted:
    """Request an anti-entropy exchange with this member."""

    member: Member


@dataclasses.dataclass(frozen=True, slots=True)
class NameConflict:
    """Report that another process uses this agent's node name.

    The incarnation is the one in the record of that process.
    """

    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRefused:
    """Report that a record was not stored for lack of memory.

    The kind is 'members' or 'rumors'.
    """

    kind: str


Action = (
    Send
    | MemberChanged
    | RumorAccepted
    | SyncWanted
    | NameConflict
    | RecordRefused
)
