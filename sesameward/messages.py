"""Define the messages between callers, entries, agents and targets."""

from __future__ import annotations

import enum

import msgspec

from .types import AttemptId
from .types import BookingKey
from .types import ChangeId
from .types import Generation
from .types import MemberState
from .types import MissingReason
from .types import NodeId
from .types import Priority
from .types import RecordVersion
from .types import RefusalKind
from .types import RequestId
from .types import Revision
from .types import RunState
from .types import ServiceName
from .types import ShardId
from .types import Snapshot
from .types import TargetId
from .types import ZoneName


class Record(msgspec.Struct, frozen=True):
    """Hold one record as its target returned it."""

    key: str
    version: RecordVersion
    fields: msgspec.Raw = msgspec.Raw(b'{}')


# Callers and entries.


class QueryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold what a caller asks of a service; keys None means all shards."""

    match: msgspec.Raw = msgspec.Raw(b'{}')
    keys: tuple[str, ...] | None = None
    versions: tuple[RecordVersion, ...] | None = None


class BookingBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold one booking of a caller; record_key names the shard's key."""

    record_key: str
    action: msgspec.Raw = msgspec.Raw(b'{}')


class Missing(msgspec.Struct, frozen=True):
    """Name one shard that an answer lacks, and why."""

    shard: ShardId
    reason: MissingReason


class Open(msgspec.Struct, frozen=True, tag='open', tag_field='frame'):
    """Begin an answer."""

    request_id: RequestId
    service: ServiceName
    generation: Generation
    snapshot: Snapshot
    shards: int


class Rows(msgspec.Struct, frozen=True, tag='rows', tag_field='frame'):
    """Carry the records of one shard."""

    shard: ShardId
    records: tuple[Record, ...]


class End(msgspec.Struct, frozen=True, tag='end', tag_field='frame'):
    """End an answer with its coverage."""

    request_id: RequestId
    complete: bool
    asked: int
    answered: int
    missing: tuple[Missing, ...] = ()
    uncovered_records: int = 0
    elapsed_ms: float = 0.0
    retry_after_s: float | None = None


Frame = Open | Rows | End


class Refusal(msgspec.Struct, frozen=True):
    """Tell a caller why its request was not served."""

    kind: RefusalKind
    problem: str
    remedy: str
    run: RunState
    request_id: RequestId
    retry_after_s: float | None = None


class BookingResult(msgspec.Struct, frozen=True):
    """Tell a caller what became of its booking."""

    request_id: RequestId
    key: BookingKey
    run: RunState
    repeated: bool
    result: msgspec.Raw = msgspec.Raw(b'null')


class Address(msgspec.Struct, frozen=True):
    """Name one entry that callers may use."""

    node: NodeId
    host: str
    port: int
    zone: ZoneName
    weight: float
    incarnation: int = 0
    grpc_port: int = 0


class Addresses(msgspec.Struct, frozen=True):
    """List entries to use, nearest zone first."""

    addresses: tuple[Address, ...]
    ttl_s: float


# Entries and targets.


class ShardQuery(msgspec.Struct, frozen=True):
    """Ask one server for all of a query's shards which it holds."""

    attempt: AttemptId
    request: RequestId
    service: ServiceName
    generation: Generation
    snapshot: Snapshot
    shards: tuple[ShardId, ...]
    versions: tuple[RecordVersion, ...]
    remaining_ms: int
    match: msgspec.Raw = msgspec.Raw(b'{}')
    keys: tuple[str, ...] | None = None


class LoadReport(msgspec.Struct, frozen=True):
    """Hold what a target says of itself; it can lag or mislead."""

    in_flight: int = 0
    queued: int = 0
    draining: bool = False
    cold: bool = False
    holds: dict[ShardId, tuple[Snapshot, ...]] | None = None


class ShardReply(msgspec.Struct, frozen=True):
    """Hold one shard's records; snapshot None means that it is lacking."""

    shard: ShardId
    snapshot: Snapshot | None = None
    records: tuple[Record, ...] = ()


class TargetReply(msgspec.Struct, frozen=True):
    """Answer one sub-request."""

    attempt: AttemptId
    shards: tuple[ShardReply, ...] = ()
    load: LoadReport | None = None


class TargetRefusal(msgspec.Struct, frozen=True):
    """Refuse one sub-request which the target did not run."""

    attempt: AttemptId
    kind: str
    retry_after_ms: int = 0


class TargetBooking(msgspec.Struct, frozen=True):
    """Ask a server to run one booking."""

    attempt: AttemptId
    key: BookingKey
    service: ServiceName
    shard: ShardId
    record_key: str
    remaining_ms: int
    action: msgspec.Raw = msgspec.Raw(b'{}')
    request: RequestId = RequestId('')


class TargetBookingReply(msgspec.Struct, frozen=True):
    """Answer one booking which the target ran."""

    attempt: AttemptId
    result: msgspec.Raw = msgspec.Raw(b'null')


class QueryHead(msgspec.Struct, frozen=True):
    """Hold what a caller's headers say about a request."""

    priority: Priority | None = None
    deadline_ms: int | None = None
    attempt: int = 1


class TargetStatus(msgspec.Struct, frozen=True):
    """Hold what a node knows of one target at the moment."""

    target: TargetId
    live: bool = True
    leaving: bool = False
    report: LoadReport | None = None


# The platform.


class StoredObject(msgspec.Struct, frozen=True):
    """Hold one object of the platform; deleted ones keep their revision."""

    kind: str
    name: str
    revision: Revision
    value: bytes = b''
    change: ChangeId = ChangeId('')
    deleted: bool = False


class Vm(msgspec.Struct, frozen=True):
    """Hold one row of the platform's VM list, which can lag."""

    name: str
    host: str
    zone: ZoneName
    leaving: bool = False
    role: str = 'entry'


class Listing(msgspec.Struct, frozen=True):
    """Hold objects and the revision through which they are complete."""

    revision: Revision
    objects: tuple[StoredObject, ...] = ()


class Written(msgspec.Struct, frozen=True):
    """Name the newest revision of an object and the change behind it."""

    revision: Revision
    change: ChangeId = ChangeId('')


# Agents among each other.


class Member(msgspec.Struct, frozen=True):
    """Hold what one agent says of its VM; entries are its addresses."""

    node: NodeId
    zone: ZoneName
    host: str
    gossip_port: int
    grpc_port: int
    http_port: int
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    entries: tuple[Address, ...] = ()
    leaving: bool = False


class Urgency(enum.IntEnum):
    """Rank rumors; each rank has its own share of the gossip's bytes.

    A report is one of many. A decision is acted on and must reach all nodes
    whatever is reported. A current value soon has another version.
    """

    REPORT = 0
    DECISION = 1
    CURRENT = 2


class Rumor(msgspec.Struct, frozen=True):
    """Carry a small fact to all agents; the highest version wins."""

    topic: str
    key: str
    version: int
    body: bytes = b''
    ttl_s: float = 60.0
    urgency: Urgency = Urgency.REPORT


class Digest(msgspec.Struct, frozen=True):
    """Sum up the declared objects which an agent holds."""

    revision: Revision
    checksum: int = 0


class Pull(msgspec.Struct, frozen=True):
    """Ask an agent for objects; hold the answer until it has wanted.

    An empty kind means all declared objects of an agent.
    """

    digest: Digest
    wanted: Revision = Revision(0)
    wait_s: float = 0.0
    after: Revision | None = None
    kind: str = ''


class Delta(msgspec.Struct, frozen=True):
    """Carry a page of objects; full means that absent ones are deleted.

    A cursor names where the next page starts; None ends the last page.
    """

    since: Revision
    revision: Revision
    objects: tuple[StoredObject, ...] = ()
    full: bool = False
    cursor: Revision | None = None
    checksum: int = 0


# Agents and operators.


class Rejected(msgspec.Struct, frozen=True):
    """Name an object which a node keeps out of force, and why."""

    kind: str
    name: str
    revision: Revision
    problem: str


class EntryStatus(msgspec.Struct, frozen=True):
    """Name the revision in force on one entry."""

    address: str
    revision: Revision
    ready: bool = False
    leaving: bool = False
    in_flight: int = 0


class NodeStatus(msgspec.Struct, frozen=True):
    """Name the revision in force on one agent and its entries."""

    node: NodeId
    revision: Revision
    entries: tuple[EntryStatus, ...] = ()
    rejected: tuple[Rejected, ...] = ()
    watching: bool = False
    local_health: int = 0
    holders: int = 0


class HoldersNote(msgspec.Struct, frozen=True, array_like=True):
    """Tell which VMs an agent counts when it divides connections."""

    holders: tuple[NodeId, ...]
    full: bool


class DrainNote(msgspec.Struct, frozen=True, array_like=True):
    """Tell that an operator drains a target, or no longer does."""

    drain: bool
