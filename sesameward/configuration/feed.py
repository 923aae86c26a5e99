"""Define the messages between an agent and its entries."""

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

WATCH_METHOD = '/sesameward.Feed/Watch'
REPORT_METHOD = '/sesameward.Feed/Report'
# Topic of rumors that a target is shutting down; the key is the target's id.
LEAVING_TOPIC = 'leaving'
# Topics of the rumors that entries exchange through their agents.
ENTRY_TOPICS = (QUARANTINE_TOPIC, LEAVING_TOPIC)


class WatchRequest(msgspec.Struct, frozen=True):
    """Subscribe an entry to all updates of its agent.

    address is the address at which callers reach the entry.
    """

    address: Address


class ConfigUpdate(msgspec.Struct, frozen=True, tag='config'):
    """Carry all declared objects in force at a revision.

    The objects are sent encoded, as they are stored, so that an agent does
    not need to keep decoded copies of them.
    """

    revision: Revision
    objects: tuple[StoredObject, ...]


class TargetsUpdate(msgspec.Struct, frozen=True, tag='targets'):
    """Carry the states of targets.

    The first update of a stream has all targets, later ones have those that
    changed.
    """

    statuses: tuple[TargetStatus, ...]


class NodesUpdate(msgspec.Struct, frozen=True, tag='nodes'):
    """Carry the live entries and an entry's share of target connections.

    addresses lists the entries that callers may use; live also contains
    entries that callers should not use. shares maps the connection
    limit of a target to the number of connections that one entry may open to
    such a target. agents lists some agents of other VMs, from which an entry
    can get its updates while its own agent is down.
    """

    addresses: Addresses
    shares: dict[int, int]
    live: tuple[Address, ...] = ()
    agents: tuple[Endpoint, ...] = ()


class RumorsUpdate(msgspec.Struct, frozen=True, tag='rumors'):
    """Carry rumors that other entries published."""

    rumors: tuple[Rumor, ...]


class LeaveUpdate(msgspec.Struct, frozen=True, tag='leave'):
    """Ask the entry to drain and shut down."""


class Keepalive(msgspec.Struct, frozen=True, tag='keepalive'):
    """Show that the agent is running while it has no other update to send.

    The objects of the last ConfigUpdate are still those in force at revision;
    0 says nothing about that.
    """

    revision: Revision = Revision(0)


Update = (
    ConfigUpdate
    | TargetsUpdate
    | NodesUpdate
    | RumorsUpdate
    | LeaveUpdate
    | Keepalive
)


class UpdateEnvelope(msgspec.Struct, frozen=True):
    """Wrap an update, since a gRPC stream carries a single message type."""

    update: Update


class Report(msgspec.Struct, frozen=True):
    """Report the state of an entry to its agent.

    revision is that of the configuration in force on the entry; rumors are
    those that the agent should publish to other entries.
    """

    node: NodeId
    address: Address
    revision: Revision
    ready: bool = False
    leaving: bool = False
    in_flight: int = 0
    rumors: tuple[Rumor, ...] = ()


class ReportAck(msgspec.Struct, frozen=True):
    """Acknowledge a report; revision is the agent's configuration revision."""

    revision: Revision = Revision(0)
