"""Hold the objects that all runs of requests share; set Retry-After."""

from __future__ import annotations

import typing

import msgspec

from .delegate_client import DelegateClient
from .delegation import Delegation
from .exchange import Tools
from .http_server import Answer
from .splits import Splits

# Refused callers are told to retry after this time, if no other is known, plus
# a random delay, so that they don't all return at once.
RETRY_AFTER_S = 0.3
# The random delay is at most this multiple of RETRY_AFTER_S ...
RETRY_SPREAD_FACTOR = 1.0
# ... or of this share of the time that they are told, if that is more.
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
    """Add a Retry-After header with a random delay to an answer."""
    if retry_after_s is None:
        retry_after_s = RETRY_AFTER_S
    spread_s = RETRY_SPREAD_FACTOR * max(
        RETRY_AFTER_S, LONG_RETRY_SPREAD_SHARE * retry_after_s
    )
    retry_after_s += spread_s * deps.random()
    answer.headers.append((b'Retry-After', b'%.2f' % retry_after_s))
