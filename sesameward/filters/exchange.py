"""Hold one request while it passes through the filters."""

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
    """Carry frames and results to the caller."""

    def send(self, frame: Frame) -> None: ...

    def answer(self, result: BookingResult) -> None: ...


def _make_future() -> asyncio.Future:
    return asyncio.get_running_loop().create_future()


@dataclasses.dataclass(slots=True)
class Exchange:
    """Hold a request and what the filters found out about it.

    Times are seconds on the monotonic clock; gone is done when the caller
    has closed its connection.
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
    trial: Admission = Allow()
    pin: Pin | None = None
    complete: bool = True
