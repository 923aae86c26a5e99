"""Define the interface to the platform's HTTP headers and body formats."""

from __future__ import annotations

import typing

import msgspec

from ..messages import LoadReport
from ..types import RequestId
from ..types import TargetId
from .http_server import Answer
from .http_server import Request
from .routes import OrganisationName
from .target_connection import Reply


class RequestHeaders(msgspec.Struct):
    """Hold what was read from a caller's request.

    caller_timeout_s is how long the caller waits for an answer; None if the
    request does not say. head holds the request line and those headers that
    are the same for all targets. api_keys has the value of each key header if
    the request was read with keys.
    """

    request_id: RequestId
    caller_timeout_s: float | None
    head: bytes
    api_keys: tuple[bytes, ...] = ()


class ReplyHeaders(msgspec.Struct):
    """Hold what was read from the headers of a target's reply.

    not_run is True if the target confirms that it did not run the request,
    leaving is True if the target is about to stop, and is_encoded is True if
    the body has a content coding. retry_after_s is the time for which the
    target wants to be sent nothing. The signature proves the content to the
    caller; a successful reply without a signature or with a content coding is
    treated as a failure. limit_per_s is the number of requests per second that
    the target accepts from all nodes together, None if the reply names no
    limit; invalid_limits counts the values that are no such number. warmup_s
    is the time for which the target stays cold, None if the reply names none.
    """

    request_id: RequestId | None = None
    signature: bytes | None = None
    not_run: bool = False
    leaving: bool = False
    is_encoded: bool = False
    retry_after_s: float = 0.0
    load: LoadReport | None = None
    limit_per_s: float | None = None
    invalid_limits: int = 0
    warmup_s: float | None = None


class Wire(typing.Protocol):
    """Translate between HTTP messages and the types of this package."""

    def read_request(
        self, req: Request, with_keys: bool = False
    ) -> RequestHeaders | None:
        """Read a caller's request; return None if it has no request id.

        If with_keys is True, the head gets neither a key nor an organisation
        that the caller named.
        """

    def add_organisation(
        self, asked: RequestHeaders, organisation: OrganisationName
    ) -> None:
        """Add the caller's organisation to the head sent to targets."""

    def sub_request(
        self, head: bytes, body: bytes, target_id: TargetId, left_s: float
    ) -> bytes:
        """Return the bytes of a request to one target.

        left_s is the time until the request's deadline.
        """

    def read_reply(self, reply: Reply) -> ReplyHeaders:
        """Read the headers of a target's reply."""

    def reply_answer(self, reply: Reply) -> Answer:
        """Return the answer that passes a target's reply on unchanged."""

    def merged_answer(
        self, signatures: list[bytes], missing: int, body: bytes
    ) -> Answer:
        """Return the answer to a query over shards.

        body holds the merged records, signatures those of the replies that
        were merged; missing is the number of shards without a reply.
        """
