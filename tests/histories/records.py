"""Define records of what callers, targets, platform and operators saw.

All times are seconds of the machine's monotonic clock, which is the same for
all processes.
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


class RecordBase(msgspec.Struct, frozen=True, tag=True, tag_field='record'):
    """Serve as base of all records, with the time at which one was made."""

    at: float


# Records of callers. A send is one request of one caller, named by an id. The
# id travels with the request as its token, and targets return it in each row.


class QuerySent(RecordBase, frozen=True):
    """Record that a caller sent a query; keys None asks for all shards."""

    send: str
    entry: NodeId
    service: ServiceName
    keys: tuple[str, ...] | None = None


class OpenReceived(RecordBase, frozen=True):
    """Record that a caller got the first frame of an answer."""

    send: str
    frame: Open


class Row(msgspec.Struct, frozen=True):
    """Hold one returned record with the snapshot and token of its target."""

    key: str
    snapshot: Snapshot
    token: str


class RowsReceived(RecordBase, frozen=True):
    """Record that a caller got rows of one shard."""

    send: str
    shard: ShardId
    rows: tuple[Row, ...]


class EndReceived(RecordBase, frozen=True):
    """Record that a caller got the last frame of an answer."""

    send: str
    frame: End


class BookingSent(RecordBase, frozen=True):
    """Record that a caller sent a booking; attempt counts its key's sends."""

    send: str
    entry: NodeId
    key: BookingKey
    digest: str
    attempt: int


class Told(RecordBase, frozen=True):
    """Record that a caller got a booking's result, or a refusal.

    run tells whether the request was run, as far as the answer says.
    """

    send: str
    run: RunState
    request_id: RequestId = RequestId('')
    refused: bool = False
    repeated: bool = False


class Cut(RecordBase, frozen=True):
    """Record that a caller's connection ended before the answer did."""

    send: str


# Records of targets. token is the id of the send that caused the work.


class TargetGot(RecordBase, frozen=True):
    """Record that a target received a query or a booking."""

    target: TargetId
    token: str


class TargetRan(RecordBase, frozen=True):
    """Record that a target ran a query."""

    target: TargetId
    token: str


class TargetBooked(RecordBase, frozen=True):
    """Record that a booking took effect at a target."""

    target: TargetId
    token: str
    key: BookingKey
    digest: str


# Records of the platform and of operators.


class Published(RecordBase, frozen=True):
    """Record that a snapshot was published, with the keys of each shard.

    starts has the first key of each shard's range, which ends at the next
    start. It may be empty.
    """

    service: ServiceName
    generation: Generation
    snapshot: Snapshot
    shards: dict[ShardId, tuple[str, ...]]
    starts: dict[ShardId, str] = {}


class ObjectWritten(RecordBase, frozen=True):
    """Record that the platform accepted the write of an object."""

    name: str
    revision: Revision


class Accepted(RecordBase, frozen=True):
    """Record that an operator got the confirmation of a change."""

    name: str
    revision: Revision


class InForce(RecordBase, frozen=True):
    """Record that a node reported the revision it has in force."""

    node: NodeId
    incarnation: int
    name: str
    revision: Revision


class TargetLeaving(RecordBase, frozen=True):
    """Record that a target began to leave."""

    target: TargetId


class TargetBack(RecordBase, frozen=True):
    """Record that a target that was leaving serves again."""

    target: TargetId


class EntryStopping(RecordBase, frozen=True):
    """Record that an entry was asked to shut down gracefully."""

    entry: NodeId


class EntryKilled(RecordBase, frozen=True):
    """Record that an entry is about to be killed."""

    entry: NodeId


class EntryStarted(RecordBase, frozen=True):
    """Record that a new process of an entry was started."""

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
    """Append the records of one process to a file, one JSON line each."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open('ab', buffering=0)

    def add(self, record: Record) -> None:
        """Write one record unbuffered, so that a kill loses none."""
        self._file.write(_encoder.encode(record) + b'\n')

    def close(self) -> None:
        """Close the file of records."""
        self._file.close()


def load_history(paths: Iterable[pathlib.Path]) -> list[Record]:
    """Return the records of all files, sorted by time.

    A last line without a line end is ignored, since a process may have been
    killed while it wrote the line.
    """
    history: list[Record] = []
    for path in paths:
        lines = path.read_bytes().split(b'\n')
        history += [_decoder.decode(line) for line in lines[:-1] if line]
    return sorted(history, key=lambda record: record.at)
