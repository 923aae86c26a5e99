"""Define the messages that sesameward sends, receives and stores."""

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
from .types import StoreEpoch
from .types import TargetId
from .types import ZoneName


class Record(msgspec.Struct, frozen=True):
    """Hold one record as a target returned it."""

    key: str
    version: RecordVersion
    fields: msgspec.Raw = msgspec.Raw(b'{}')


# Messages between callers and entries.


class QueryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the body of a query; without keys it goes to all shards."""

    match: msgspec.Raw = msgspec.Raw(b'{}')
    keys: tuple[str, ...] | None = None
    versions: tuple[RecordVersion, ...] | None = None


class BookingBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the body of a booking; record_key decides which shard runs it."""

    record_key: str
    action: msgspec.Raw = msgspec.Raw(b'{}')


class Missing(msgspec.Struct, frozen=True):
    """Name a shard whose records an answer lacks, and the reason."""

    shard: ShardId
    reason: MissingReason


class Open(msgspec.Struct, frozen=True, tag='open', tag_field='frame'):
    """Begin an answer; name the shard map and snapshot it is read from."""

    request_id: RequestId
    service: ServiceName
    generation: Generation
    snapshot: Snapshot
    shards: int


class Rows(msgspec.Struct, frozen=True, tag='rows', tag_field='frame'):
    """Carry records of one shard within an answer."""

    shard: ShardId
    records: tuple[Record, ...]


class End(msgspec.Struct, frozen=True, tag='end', tag_field='frame'):
    """End an answer; say how many shards answered and which are missing.

    uncovered_records counts the records that exist only in versions that
    the query does not cover.
    """

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
    """Tell a caller why its request was refused and whether it took effect."""

    kind: RefusalKind
    problem: str
    remedy: str
    run: RunState
    request_id: RequestId
    retry_after_s: float | None = None


class BookingResult(msgspec.Struct, frozen=True):
    """Tell a caller the result of its booking.

    repeated means that the result is that of an earlier request with the
    same key.
    """

    request_id: RequestId
    key: BookingKey
    run: RunState
    repeated: bool
    result: msgspec.Raw = msgspec.Raw(b'null')


class Address(msgspec.Struct, frozen=True):
    """Hold the address of one entry and its share of new callers."""

    node: NodeId
    host: str
    port: int
    zone: ZoneName
    weight: float
    incarnation: int = 0
    grpc_port: int = 0


class Addresses(msgspec.Struct, frozen=True):
    """List the entries a caller may use for ttl_s, its own zone first."""

    addresses: tuple[Address, ...]
    ttl_s: float


# Messages between entries and targets.


class ShardQuery(msgspec.Struct, frozen=True):
    """Ask one target for some of the shards of a query."""

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
    """Hold what a target reports of itself; it can be outdated or wrong.

    holds maps each shard to the snapshots which the target has of it. pace is
    the time that work takes there at present, in percent of the usual one, or
    0 if the target does not report it.
    """

    in_flight: int = 0
    queued: int = 0
    draining: bool = False
    cold: bool = False
    holds: dict[ShardId, tuple[Snapshot, ...]] | None = None
    pace: int = 0


class ShardReply(msgspec.Struct, frozen=True):
    """Hold the records of one shard.

    snapshot is None where the target lacks the snapshot asked for.
    """

    shard: ShardId
    snapshot: Snapshot | None = None
    records: tuple[Record, ...] = ()


class TargetReply(msgspec.Struct, frozen=True):
    """Answer one ShardQuery."""

    attempt: AttemptId
    shards: tuple[ShardReply, ...] = ()
    load: LoadReport | None = None


class TargetRefusal(msgspec.Struct, frozen=True):
    """Refuse one sub-request or booking, which the target did not run."""

    attempt: AttemptId
    kind: str
    retry_after_ms: int = 0


class TargetBooking(msgspec.Struct, frozen=True):
    """Ask a target to run one booking."""

    attempt: AttemptId
    key: BookingKey
    service: ServiceName
    shard: ShardId
    record_key: str
    remaining_ms: int
    action: msgspec.Raw = msgspec.Raw(b'{}')
    request: RequestId = RequestId('')


class TargetBookingReply(msgspec.Struct, frozen=True):
    """Return the result of one booking that the target ran."""

    attempt: AttemptId
    result: msgspec.Raw = msgspec.Raw(b'null')


class QueryHeaders(msgspec.Struct, frozen=True):
    """Hold the values of a caller's request headers."""

    priority: Priority | None = None
    deadline_ms: int | None = None
    attempt: int = 1


class TargetStatus(msgspec.Struct, frozen=True):
    """Hold the state of one target as an agent knows it."""

    target: TargetId
    live: bool = True
    leaving: bool = False
    report: LoadReport | None = None


# Messages between sesameward and the platform.


class StoredObject(msgspec.Struct, frozen=True):
    """Hold one object of the store, or the tombstone of a deleted one."""

    kind: str
    name: str
    revision: Revision
    value: bytes = b''
    change: ChangeId = ChangeId('')
    deleted: bool = False


class Vm(msgspec.Struct, frozen=True):
    """Hold one row of the platform's VM list, which can be out of date."""

    name: str
    host: str
    zone: ZoneName
    leaving: bool = False
    role: str = 'entry'


class Listing(msgspec.Struct, frozen=True):
    """Hold objects, or events, complete through a revision."""

    revision: Revision
    objects: tuple[StoredObject, ...] = ()


class Written(msgspec.Struct, frozen=True):
    """Hold the current revision of an object and the change that made it."""

    revision: Revision
    change: ChangeId = ChangeId('')


# Messages between agents.


class Member(msgspec.Struct, frozen=True):
    """Describe one agent, its VM and the entries that run there.

    reaches_targets is False while the agent has no connections to targets and
    can't open any.
    """

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
    reaches_targets: bool = True


class Urgency(enum.IntEnum):
    """Classify rumors; each class has its own share of the gossip bandwidth.

    REPORT is for facts of which there can be many. DECISION is for rumors
    on which nodes act, so that they reach all nodes even under a flood of
    reports. CURRENT is for values that the next version soon replaces.
    """

    REPORT = 0
    DECISION = 1
    CURRENT = 2


class Rumor(msgspec.Struct, frozen=True):
    """Carry a small fact to all agents for ttl_s.

    Of two rumors with the same topic and key the higher version wins.
    """

    topic: str
    key: str
    version: int
    body: bytes = b''
    ttl_s: float = 60.0
    urgency: Urgency = Urgency.REPORT


class Digest(msgspec.Struct, frozen=True):
    """Summarize an agent's declared objects, to compare two agents."""

    revision: Revision
    checksum: int = 0


class Pull(msgspec.Struct, frozen=True):
    """Ask an agent for the objects changed after the revision of a digest.

    The agent delays its answer until it has the wanted revision, but by no
    more than wait_s. after is the cursor of the page before, None for the
    first page. An empty kind asks for all declared objects. epoch is that in
    which the store gave out the revision of the digest, None if unknown.
    wants_kept asks for the objects that are in force against the store too.
    accepts_compressed allows an answer with compressed objects.
    """

    digest: Digest
    wanted: Revision = Revision(0)
    wait_s: float = 0.0
    after: Revision | None = None
    kind: str = ''
    epoch: StoreEpoch | None = None
    wants_kept: bool = False
    accepts_compressed: bool = False


class Delta(msgspec.Struct, frozen=True):
    """Carry a page of the objects changed after since, through revision.

    full means that the pages hold all objects, so that absent ones are
    deleted. cursor asks for the next page; the last page has None. epoch is
    that of the revisions, None if unknown. kept holds objects that are in
    force at the sender though the store shows older ones. If objects is empty,
    compressed_objects may hold them, as MessagePack compressed by zlib.
    """

    since: Revision
    revision: Revision
    objects: tuple[StoredObject, ...] = ()
    full: bool = False
    cursor: Revision | None = None
    checksum: int = 0
    epoch: StoreEpoch | None = None
    kept: tuple[StoredObject, ...] = ()
    compressed_objects: bytes = b''


# Messages between agents and operators.


class Rejected(msgspec.Struct, frozen=True):
    """Name a stored object that a node found invalid, and the problem."""

    kind: str
    name: str
    revision: Revision
    problem: str


class EntryStatus(msgspec.Struct, frozen=True):
    """Hold the state of one entry and the revision in force on it."""

    address: str
    revision: Revision
    ready: bool = False
    leaving: bool = False
    in_flight: int = 0


class NodeStatus(msgspec.Struct, frozen=True):
    """Hold the state of one agent and of the entries on its VM.

    local_health is 0 on a healthy node and the higher, the more signs there
    are that the node itself is slow. holders is the number of VMs among
    which the connections to a target are divided.
    """

    node: NodeId
    revision: Revision
    entries: tuple[EntryStatus, ...] = ()
    rejected: tuple[Rejected, ...] = ()
    watching: bool = False
    local_health: int = 0
    holders: int = 0


class HoldersRumorBody(msgspec.Struct, frozen=True, array_like=True):
    """Tell other agents which VMs this one counts to divide connections.

    full means that all of those are known to count this VM as well.
    """

    holders: tuple[NodeId, ...]
    full: bool


class DrainRumorBody(msgspec.Struct, frozen=True, array_like=True):
    """Tell other agents whether an operator drains a target."""

    drain: bool
