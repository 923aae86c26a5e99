"""Define the ids, states and protocols that all modules share."""

from __future__ import annotations

import enum
import typing

RequestId = typing.NewType('RequestId', str)
AttemptId = typing.NewType('AttemptId', str)
ServiceName = typing.NewType('ServiceName', str)
ShardId = typing.NewType('ShardId', str)
TargetId = typing.NewType('TargetId', str)
NodeId = typing.NewType('NodeId', str)
ZoneName = typing.NewType('ZoneName', str)
Snapshot = typing.NewType('Snapshot', int)
Generation = typing.NewType('Generation', int)
Revision = typing.NewType('Revision', int)
RecordVersion = typing.NewType('RecordVersion', int)
ChangeId = typing.NewType('ChangeId', str)
BookingKey = typing.NewType('BookingKey', str)
Fingerprint = typing.NewType('Fingerprint', str)


class Priority(enum.Enum):
    """Rank requests; lower ranks are refused first under overload."""

    INTERACTIVE = 'interactive'
    NORMAL = 'normal'
    BATCH = 'batch'

    @property
    def rank(self) -> int:
        """Return 0 for the most urgent priority."""
        return _PRIORITY_ORDER.index(self)


_PRIORITY_ORDER = (Priority.INTERACTIVE, Priority.NORMAL, Priority.BATCH)


class RunState(enum.Enum):
    """Say whether a request took effect."""

    YES = 'yes'
    NO = 'no'
    UNKNOWN = 'unknown'


class MissingReason(enum.Enum):
    """Name why a shard is absent from an answer."""

    DEADLINE = 'deadline'
    NO_REPLICA = 'no_replica'
    NO_SNAPSHOT = 'no_snapshot'
    TARGET_ERROR = 'target_error'
    OVERLOADED = 'overloaded'
    QUARANTINED = 'quarantined'


class RefusalKind(enum.Enum):
    """Name why a request was refused before it was dispatched."""

    BAD_REQUEST = 'bad_request'
    UNKNOWN_SERVICE = 'unknown_service'
    UNCOVERED_VERSION = 'uncovered_version'
    BAD_DEADLINE = 'bad_deadline'
    BAD_KEY = 'bad_key'
    TOO_LARGE = 'too_large'
    KEY_REUSED = 'key_reused'
    OVERLOADED = 'overloaded'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    QUARANTINED = 'quarantined'
    LEAVING = 'leaving'
    NOT_READY = 'not_ready'
    NO_REPLICA = 'no_replica'
    STORE_UNAVAILABLE = 'store_unavailable'
    IN_PROGRESS = 'in_progress'
    SUPERSEDED = 'superseded'


class Outcome(enum.Enum):
    """Name how one sub-request to a target ended."""

    OK = 'ok'
    SHED = 'shed'
    DRAINING = 'draining'
    NO_SNAPSHOT = 'no_snapshot'
    ERROR = 'error'
    CONNECT_FAILED = 'connect_failed'
    BROKEN = 'broken'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'


class MemberState(enum.Enum):
    """Rank what is believed of a member; later ones override earlier."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEFT = 'left'


class Clock(typing.Protocol):
    """Return seconds from a monotonic clock."""

    def __call__(self) -> float: ...
