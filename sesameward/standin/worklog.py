"""Write down each piece of work that reached a target."""

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
    """Name how far a piece of work came."""

    GOT = 'got'
    RAN = 'ran'
    BOOKED = 'booked'


class Work(msgspec.Struct, frozen=True):
    """Hold one step of one piece of work; at is on the monotonic clock."""

    at: float
    step: Step
    request: RequestId
    attempt: AttemptId
    snapshot: Snapshot = Snapshot(0)
    key: BookingKey = BookingKey('')
    record_key: str = ''
    body: msgspec.Raw = msgspec.Raw(b'{}')


class Echo(msgspec.Struct, frozen=True):
    """Tell in a record's fields which sub-request it answers."""

    snapshot: Snapshot
    request: RequestId
    attempt: AttemptId
    match: msgspec.Raw


class WorkLog:
    """Append the work to a file, one JSON line each."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open('ab', buffering=0)

    def add(self, step: Step, request: str, attempt: str, **more) -> None:
        """Write one step at once, so that a kill loses none."""
        work = Work(time.monotonic(), step, request, attempt, **more)
        self._file.write(msgspec.json.encode(work) + b'\n')
