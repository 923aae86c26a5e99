"""Define what callers, targets, the platform and operators each saw.

All times are of the machine's monotonic clock, which its processes share.
"""

from __future__ import annotations

from collections.abc import Iterable
import pathlib

import msgspec

from sesameward.messages import End
from sesameward.messages import Open
from sesameward.types import BookingKey
from sesameward.types import Generation
from sesameward.types import NodeId
from sesameward.types import RequestId
from sesameward.types import Revision
from sesameward.types import RunState
from sesameward.types import ServiceName
from sesameward.types import ShardId
from sesameward.types import Snapshot
from sesameward.types import TargetId


class Base(msgspec.Struct, frozen=True, tag=True, tag_field='record'):
    """Hold when a record was made."""

    at: float


# What callers saw. A send is one request of one caller; its token travels
# with it and comes back in each row.


class QuerySent(Base, frozen=True):
    """Record a query; keys None asks for all shards."""

    send: str
    entry: NodeId
    service: ServiceName
    keys: tuple[str, ...] | None = None


class OpenReceived(Base, frozen=True):
    """Record the first frame of an answer."""

    send: str
    frame: Open


class Row(msgspec.Struct, frozen=True):
    """Hold one record of an answer with what its target wrote into it."""

    key: str
    snapshot: Snapshot
    token: str


class RowsReceived(Base, frozen=True):
    """Record the rows of one shard."""

    send: str
    shard: ShardId
    rows: tuple[Row, ...]


class EndReceived(Base, frozen=True):
    """Record the last frame of an answer."""

    send: str
    frame: End


class BookingSent(Base, frozen=True):
    """Record a booking; attempt counts the sends of its key."""

    send: str
    entry: NodeId
    key: BookingKey
    digest: str
    attempt: int


class Told(Base, frozen=True):
    """Record what a caller was told of a booking's run, or a refusal."""

    send: str
    run: RunState
    request_id: RequestId = RequestId('')
    refused: bool = False
    repeated: bool = False


class Cut(Base, frozen=True):
    """Record a connection that ended before its answer did."""

    send: str


# What targets saw.


class TargetGot(Base, frozen=True):
    """Record that work arrived; token is the send which caused it."""

    target: TargetId
    token: str


class TargetRan(Base, frozen=True):
    """Record that a query was run for a send."""

    target: TargetId
    token: str


class TargetBooked(Base, frozen=True):
    """Record that a booking took effect."""

    target: TargetId
    token: str
    key: BookingKey
    digest: str


# What the platform and operators saw.


class Published(Base, frozen=True):
    """Record which keys each shard holds in a snapshot.

    Where starts are known, a shard owns the keys up to the next start.
    """

    service: ServiceName
    generation: Generation
    snapshot: Snapshot
    shards: dict[ShardId, tuple[str, ...]]
    starts: dict[ShardId, str] = {}


class ObjectWritten(Base, frozen=True):
    """Record a write that the platform accepted."""

    name: str
    revision: Revision


class Accepted(Base, frozen=True):
    """Record that an operator was told that a change is accepted."""

    name: str
    revision: Revision


class InForce(Base, frozen=True):
    """Record which revision a node says that it serves by."""

    node: NodeId
    incarnation: int
    name: str
    revision: Revision


class TargetLeaving(Base, frozen=True):
    """Record that a target began to leave."""

    target: TargetId


class TargetBack(Base, frozen=True):
    """Record that a target serves again."""

    target: TargetId


class EntryStopping(Base, frozen=True):
    """Record that an entry was asked to shut down gracefully."""

    entry: NodeId


class EntryKilled(Base, frozen=True):
    """Record that an entry was killed."""

    entry: NodeId


class EntryStarted(Base, frozen=True):
    """Record that an entry was started, anew or again."""

    entry: NodeId


Record = (
    QuerySent
    | OpenReceived
    | RowsReceived
    | EndReceived
    | BookingSent
    | Told
    | Cut
    | TargetGot
    | TargetRan
    | TargetBooked
    | Published
    | ObjectWritten
    | Accepted
    | InForce
    | TargetLeaving
    | TargetBack
    | EntryStopping
    | EntryKilled
    | EntryStarted
)

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Record)


class Recorder:
    """Append a process's records to its own file, one JSON line each."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open('ab', buffering=0)

    def add(self, record: Record) -> None:
        """Write one record at once, so that a kill loses none."""
        self._file.write(_encoder.encode(record) + b'\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def load(paths: Iterable[pathlib.Path]) -> list[Record]:
    """Return the records of all processes in the order of time.

    The last line of a process that was killed may be cut short.
    """
    history: list[Record] = []
    for path in paths:
        lines = path.read_bytes().split(b'\n')
        history += [_decoder.decode(line) for line in lines[:-1] if line]
    return sorted(history, key=lambda record: record.at)
