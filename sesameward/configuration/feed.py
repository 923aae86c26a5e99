"""Define what an agent tells its entries, and they tell it."""

from __future__ import annotations

import msgspec

from ..messages import Address
from ..messages import Addresses
from ..messages import Rumor
from ..messages import StoredObject
from ..messages import TargetStatus
from ..quarantine.quarantine import TOPIC as QUARANTINE_TOPIC
from ..settings import Endpoint
from ..types import NodeId
from ..types import Revision

WATCH = '/sesameward.Feed/Watch'
REPORT = '/sesameward.Feed/Report'
# A target has told an entry that it leaves; the rumor's key names it.
LEAVING_TOPIC = 'leaving'
# What entries tell each other through their agents.
ENTRY_TOPICS = (QUARANTINE_TOPIC, LEAVING_TOPIC)


class WatchRequest(msgspec.Struct, frozen=True):
    """Ask for all updates; address names the entry to callers."""

    address: Address


class ConfigUpdate(msgspec.Struct, frozen=True, tag='config'):
    """Carry the whole declared configuration of one revision.

    The objects stay encoded, so that an agent holds no second form of them.
    """

    revision: Revision
    objects: tuple[StoredObject, ...]


class TargetsUpdate(msgspec.Struct, frozen=True, tag='targets'):
    """Carry the targets whose state changed."""

    statuses: tuple[TargetStatus, ...]


class NodesUpdate(msgspec.Struct, frozen=True, tag='nodes'):
    """Carry the live entries and how connections are divided.

    shares maps a server's connection limit to an entry's part of it; live
    also names the entries which callers should no longer use; agents names
    some agents of other VMs, to be followed while the own one is gone.
    """

    addresses: Addresses
    shares: dict[int, int]
    live: tuple[Address, ...] = ()
    agents: tuple[Endpoint, ...] = ()


class RumorsUpdate(msgspec.Struct, frozen=True, tag='rumors'):
    """Carry facts which other entries spread."""

    rumors: tuple[Rumor, ...]


class LeaveUpdate(msgspec.Struct, frozen=True, tag='leave'):
    """Ask the entry to leave."""


class Keepalive(msgspec.Struct, frozen=True, tag='keepalive'):
    """Tell that the agent runs and nothing changed."""


Update = (
    ConfigUpdate
    | TargetsUpdate
    | NodesUpdate
    | RumorsUpdate
    | LeaveUpdate
    | Keepalive
)


class UpdateEnvelope(msgspec.Struct, frozen=True):
    """Wrap an update, so that one message type covers all."""

    update: Update


class Report(msgspec.Struct, frozen=True):
    """Tell the agent how an entry fares; revision is in force there."""

    node: NodeId
    address: Address
    revision: Revision
    ready: bool = False
    leaving: bool = False
    in_flight: int = 0
    rumors: tuple[Rumor, ...] = ()


class ReportAck(msgspec.Struct, frozen=True):
    """Acknowledge a report with the agent's revision."""

    revision: Revision = Revision(0)
