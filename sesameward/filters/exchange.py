"""Define the state of one request that its filters share."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from ..configuration.declared import Service
from ..messages import BookingBody
from ..messages import BookingResult
from ..messages import Frame
from ..messages import QueryBody
from ..quarantine.quarantine import Admission
from ..quarantine.quarantine import Allow
from ..routing.snapshots import Pin
from ..types import BookingKey
from ..types import Fingerprint
from ..types import Priority
from ..types import RecordVersion
from ..types import RequestId


class Caller(typing.Protocol):
    """Write the frames of a query or the result of a booking to the caller."""

    def send(self, frame: Frame) -> None: ...

    def answer(self, result: BookingResult) -> None: ...


def _make_future() -> asyncio.Future:
    return asyncio.get_running_loop().create_future()


@dataclasses.dataclass(slots=True)
class Exchange:
    """Hold a request and what its filters have added to it.

    received_at and deadline_at are seconds on the monotonic clock. The
    future gone is done once the caller has closed its connection. key and
    attempt are the caller's idempotency key and the number of this attempt
    of a booking; attempt is 0 if unknown. claiming is set once the booking
    tries to store its claim. quarantine_admission says how the request may
    be sent to targets, and complete whether its answer covers all shards.
    """

    request_id: RequestId
    service_name: str
    headers: typing.Mapping[str, str]
    body: bytes
    received_at: float
    caller: Caller
    gone: asyncio.Future = dataclasses.field(default_factory=_make_future)
    service: Service | None = None
    query: QueryBody | None = None
    booking: BookingBody | None = None
    key: BookingKey = BookingKey('')
    attempt: int = 1
    claiming: bool = False
    priority: Priority = Priority.NORMAL
    versions: tuple[RecordVersion, ...] = ()
    deadline_at: float = 0.0
    fingerprint: Fingerprint = Fingerprint('')
    quarantine_admission: Admission = Allow()
    pin: Pin | None = None
    complete: bool = True
