"""Define what is asked of targets for one request and how it ended."""

from __future__ import annotations

import enum
import typing

import msgspec

from ..types import TargetId
from .budget_window import BudgetWindow
from .choice import Choice
from .targets import TargetTable

AttemptNo = typing.NewType('AttemptNo', int)


class Why(enum.Enum):
    """Say why a sub-request is sent."""

    FIRST = 'first'
    HEDGE_SLOW = 'hedge_slow'
    HEDGE_PAUSED = 'hedge_paused'
    RETRY_NOT_SENT = 'retry_not_sent'
    RETRY_NOT_RUN = 'retry_not_run'
    RETRY_FAILED = 'retry_failed'


class End(enum.Enum):
    """Say how a sub-request failed.

    NOT_SENT and NOT_RUN mean that the target surely did not run it.
    """

    NOT_SENT = 'not_sent'
    NOT_RUN = 'not_run'
    MISDIRECTED = 'misdirected'
    FAILED = 'failed'
    BROKEN = 'broken'


SURELY_NOT_RUN = frozenset({End.NOT_SENT, End.NOT_RUN, End.MISDIRECTED})


class Send(msgspec.Struct, frozen=True):
    """Ask a target; shard is the position of its service in the route."""

    shard: int
    attempt: AttemptNo
    target_id: TargetId
    why: Why


class View(typing.NamedTuple):
    """Hold what a node knows that decides where a request may go."""

    targets: TargetTable
    choice: Choice
    budget: BudgetWindow
