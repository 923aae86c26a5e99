"""Decide which targets to use after the store was restored from a copy.

Load pattern: the store comes back as it was some seconds before, and targets
repeat their registrations within REGISTER_AGAIN_S. Until then the store lacks
targets that run, and shows others as ready that are leaving or gone. If nodes
went by it, the load of the missing ones would fall on the rest, and requests
would be sent to targets that have announced their departure.
"""

from __future__ import annotations

import collections
import enum

import msgspec

from ..types import Revision
from ..types import TargetId
from .targets import MAX_DEPARTED_IDS
from .targets import Target

# Time after the return of the store within which targets register again.
REGISTER_AGAIN_S = 2.0


class Shown(enum.Enum):
    """How to treat a registration that a restored store shows.

    USE: as it says. LEAVING: the target has announced its departure since the
    copy was made. HOLD: the target was gone, so it is not used until it has
    registered again or its registration has outlived one that lapses.
    """

    USE = 'use'
    LEAVING = 'leaving'
    HOLD = 'hold'


class _Gone(msgspec.Struct, frozen=True):
    started_ms: int
    drain: bool


class Held(msgspec.Struct, frozen=True):
    """Hold a target that is not used although the store shows it."""

    target: Target
    revision: Revision
    since: float


class RestoredTargets:
    """Remember targets that a restored store shows as they were before.

    registration_ttl_s is the time after which the store removes the
    registration of a target that is silent.
    """

    def __init__(self, registration_ttl_s: float):
        self._hold_s = REGISTER_AGAIN_S + registration_ttl_s
        self._gone: collections.OrderedDict[TargetId, _Gone] = (
            collections.OrderedDict()
        )
        self._missing_since: dict[TargetId, float] = {}
        self._held: dict[TargetId, Held] = {}

    def record_gone(self, target: Target) -> None:
        """Record that the store removed a target's registration."""
        self._gone[target.id] = _Gone(target.started_ms, target.drain)
        self._gone.move_to_end(target.id)
        if len(self._gone) > MAX_DEPARTED_IDS:
            self._gone.popitem(last=False)

    def record_registered(self, target_id: TargetId) -> None:
        """Record that a target has registered."""
        self.settle(target_id)
        self._gone.pop(target_id, None)

    def settle(self, target_id: TargetId) -> None:
        """End the wait for a target, whose registration has changed."""
        self._missing_since.pop(target_id, None)
        self._held.pop(target_id, None)

    def begin(self) -> None:
        """Forget what an earlier restore left open, since another one came."""
        self._missing_since.clear()
        self._held.clear()

    def judge(self, shown: Target, known: Target | None) -> Shown:
        """Return how to treat a target that a restored store shows.

        known is the target as this node has it, None if it has none.
        """
        gone = self._gone.get(shown.id)
        before = gone or known
        if before is None or shown.started_ms > before.started_ms > 0:
            return Shown.USE
        if before.drain:
            return Shown.USE if shown.drain else Shown.LEAVING
        return Shown.USE if gone is None else Shown.HOLD

    def hold(self, target: Target, revision: Revision, now: float) -> None:
        """Record a target that a restored store shows although it was gone."""
        self._held[target.id] = Held(target, revision, now)

    def record_missing(self, target_id: TargetId, now: float) -> None:
        """Record that a restored store lacks a target that is in use."""
        self._missing_since[target_id] = now

    def take_missing(self, read_at: float) -> list[TargetId]:
        """Return the targets that have not registered again in time.

        read_at is the time up to which changes of the store are known.
        """
        overdue = [
            target_id
            for target_id, since in self._missing_since.items()
            if read_at >= since + REGISTER_AGAIN_S
        ]
        for target_id in overdue:
            del self._missing_since[target_id]
        return overdue

    def take_held(self, read_at: float) -> list[Held]:
        """Return the held targets whose registration the store has kept."""
        kept = [
            held
            for held in self._held.values()
            if read_at >= held.since + self._hold_s
        ]
        for held in kept:
            self.record_registered(held.target.id)
        return kept
