"""Define the ids, enumerations and protocols that all modules share."""

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
StoreEpoch = typing.NewType('StoreEpoch', int)
RecordVersion = typing.NewType('RecordVersion', int)
ChangeId = typing.NewType('ChangeId', str)
BookingKey = typing.NewType('BookingKey', str)
Fingerprint = typing.NewType('Fingerprint', str)


class Priority(enum.Enum):
    """Rank requests; under overload the least urgent are refused first."""

    INTERACTIVE = 'interactive'
    NORMAL = 'normal'
    BATCH = 'batch'

    @property
    def rank(self) -> int:
        """Return the position of this priority; 0 is the most urgent."""
        return _PRIORITY_ORDER.index(self)


_PRIORITY_ORDER = (Priority.INTERACTIVE, Priority.NORMAL, Priority.BATCH)


class RunState(enum.Enum):
    """Say whether a request took effect."""

    YES = 'yes'
    NO = 'no'
    UNKNOWN = 'unknown'


class MissingReason(enum.Enum):
    """Name why the records of a shard are missing from an answer."""

    DEADLINE = 'deadline'
    NO_REPLICA = 'no_replica'
    NO_SNAPSHOT = 'no_snapshot'
    TARGET_ERROR = 'target_error'
    OVERLOADED = 'overloaded'
    QUARANTINED = 'quarantined'


class RefusalKind(enum.Enum):
    """Name why an entry refused a request."""

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
    INTERNAL = 'internal'


class Outcome(enum.Enum):
    """Name how one sub-request or booking sent to a target ended."""

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
    """List the states of a member in rising order of precedence.

    Of two records with the same incarnation the later state wins.
    """

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEFT = 'left'


class Clock(typing.Protocol):
    """Return the time of a monotonic clock in seconds."""

    def __call__(self) -> float: ...
