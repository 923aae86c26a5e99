"""Hold what all requests on a node share, and add Retry-After to answers."""

from __future__ import annotations

import math
import typing

import msgspec

from .admission_gate import AdmissionGate
from .byte_limits import MessageMemory
from .delegate_client import DelegateClient
from .delegation import Delegation
from .exchange import ExchangeDeps
from .http_server import Answer
from .splits import Splits

# Seconds in the Retry-After header of an answer if no better time is known. A
# random delay is added, so that callers don't all repeat requests at once.
RETRY_AFTER_S = 0.3
# The random delay is at most RETRY_SPREAD_FACTOR * max(RETRY_AFTER_S,
# LONG_RETRY_SPREAD_SHARE * t), where t is the time to which it is added.
RETRY_SPREAD_FACTOR = 1.0
LONG_RETRY_SPREAD_SHARE = 0.2


class Deps(msgspec.Struct):
    """Hold the objects of a node that it uses for every caller's request."""

    tools: ExchangeDeps
    delegation: Delegation
    delegates: DelegateClient
    splits: Splits
    random: typing.Callable[[], float]
    # Bandwidth of this node's link, in bytes per second.
    link_bytes_per_s: float = math.inf
    # One Run for each caller's request in progress, or its claim while it
    # waits for admission; their number is logged at shutdown.
    runs: set = msgspec.field(default_factory=set)
    # What runs keep of replies counts here.
    message_memory: MessageMemory = msgspec.field(
        default_factory=MessageMemory
    )
    # None where a node admits all requests, as in tests of other parts.
    admission: AdmissionGate | None = None


def add_retry_after(
    deps: Deps, answer: Answer, retry_after_s: float | None = None
) -> None:
    """Add a Retry-After header to an answer.

    Its value is retry_after_s, by default RETRY_AFTER_S, plus a random delay
    that keeps callers from repeating their requests all at once.
    """
    if retry_after_s is None:
        retry_after_s = RETRY_AFTER_S
    spread_s = RETRY_SPREAD_FACTOR * max(
        RETRY_AFTER_S, LONG_RETRY_SPREAD_SHARE * retry_after_s
    )
    retry_after_s += spread_s * deps.random()
    answer.headers.append((b'Retry-After', b'%.2f' % retry_after_s))
