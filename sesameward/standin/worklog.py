"""Log each query and booking that a simulated target works on.

Tests read the log to check what targets ran against what callers were told.
"""

from __future__ import annotations

import enum
import pathlib
import time

import msgspec

from ..types import AttemptId
from ..types import BookingKey
from ..types import RequestId
from ..types import Snapshot


class Step(enum.Enum):
    """Say how far a target got with a query or a booking.

    GOT: the request arrived. RAN: a query was executed. BOOKED: a booking
    took effect.
    """

    GOT = 'got'
    RAN = 'ran'
    BOOKED = 'booked'


class Work(msgspec.Struct, frozen=True):
    """Describe one step of a query or booking, as one line of the log.

    at is in seconds on the monotonic clock. snapshot is set for queries, key
    and record_key are set for bookings; body is what the caller sent.
    """

    at: float
    step: Step
    request: RequestId
    attempt: AttemptId
    snapshot: Snapshot = Snapshot(0)
    key: BookingKey = BookingKey('')
    record_key: str = ''
    body: msgspec.Raw = msgspec.Raw(b'{}')


class Echo(msgspec.Struct, frozen=True):
    """Identify the sub-request that a returned record answers.

    A target that keeps a work log returns this as the record's fields.
    """

    snapshot: Snapshot
    request: RequestId
    attempt: AttemptId
    match: msgspec.Raw


class WorkLog:
    """Append steps of work to a file, one line of JSON each."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open('ab', buffering=0)

    def add(self, step: Step, request: str, attempt: str, **fields) -> None:
        """Write one step unbuffered: a process that is killed loses none."""
        work = Work(time.monotonic(), step, request, attempt, **fields)
        self._file.write(msgspec.json.encode(work) + b'\n')
