"""Define what the membership is told and what it asks for."""

from __future__ import annotations

import dataclasses

from ..messages import Member
from ..messages import Rumor
from .datagrams import Datagram


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Tell that a sealed datagram came in from this address."""

    host: str
    port: int
    message: Datagram


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Tell that time went on."""


Event = Received | Tick


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Ask for a datagram to be sent."""

    host: str
    port: int
    message: Datagram


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """Tell that a member was added or changed."""

    member: Member


@dataclasses.dataclass(frozen=True, slots=True)
class RumorHeard:
    """Tell of a rumor's new version, once."""

    rumor: Rumor


@dataclasses.dataclass(frozen=True, slots=True)
class SyncWanted:
    """Ask for an exchange of state with this member."""

    member: Member


@dataclasses.dataclass(frozen=True, slots=True)
class Contested:
    """Tell that another process uses this agent's node name."""

    incarnation: int


Action = Send | Changed | RumorHeard | SyncWanted | Contested
