"""Share a node's objects among the runs of requests; set Retry-After."""

from __future__ import annotations

import typing

import msgspec

from .delegate_client import DelegateClient
from .delegation import Delegation
from .exchange import Tools
from .http_server import Answer
from .splits import Splits

# Retry-After sent to callers if no better time is known. A random delay is
# added to it, so that callers don't all return at once.
RETRY_AFTER_S = 0.3
# The random delay is at most this factor times the greater of two: the above
# RETRY_AFTER_S, and LONG_RETRY_SPREAD_SHARE of the time before the delay.
RETRY_SPREAD_FACTOR = 1.0
LONG_RETRY_SPREAD_SHARE = 0.2


class Deps(msgspec.Struct):
    """Hold the objects of the node that all runs of requests use."""

    tools: Tools
    delegation: Delegation
    delegates: DelegateClient
    splits: Splits
    random: typing.Callable[[], float]
    # Runs of requests in progress; their number is logged at shutdown.
    runs: set = msgspec.field(default_factory=set)


def add_retry_after(
    deps: Deps, answer: Answer, retry_after_s: float | None = None
) -> None:
    """Add a Retry-After header to an answer.

    It is retry_after_s, by default RETRY_AFTER_S, plus a random delay.
    """
    if retry_after_s is None:
        retry_after_s = RETRY_AFTER_S
    spread_s = RETRY_SPREAD_FACTOR * max(
        RETRY_AFTER_S, LONG_RETRY_SPREAD_SHARE * retry_after_s
    )
    retry_after_s += spread_s * deps.random()
    answer.headers.append((b'Retry-After', b'%.2f' % retry_after_s))
