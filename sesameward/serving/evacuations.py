"""Decide to the targets of which zones nothing may be sent.

The operator evacuates a zone with an object in the store that bears the
zone's name. It holds from when a node knows it until the node knows that it
was removed, also while the store is away.

Load pattern: the store is restored from a copy that lacks an evacuation, and
the operator writes it again some seconds later. Meanwhile the targets of the
zone must get nothing.
"""

from __future__ import annotations

import enum
import typing

from ..messages import StoredObject
from ..types import Revision
from ..types import ZoneName
from .store_copy import Changed
from .store_copy import Restored
from .store_copy import Update

# Time after a restore of the store within which the operator writes an
# evacuation again that the restored store lacks.
WRITE_AGAIN_S = 5.0
# A zone whose evacuation has ended gets requests only after this time. Its
# targets may have become cold just before, and their registrations are read
# independently of the evacuations, possibly a moment later.
BACK_DELAY_S = 0.5
# Longest wait for a reading of the registrations that is later than the end of
# an evacuation. If the store fails or is restored meanwhile, there is none.
MAX_BACK_DELAY_S = 2.0
# A starting node that can't read the evacuations serves without them after
# this time. Reading them takes some 20 ms from a store or a node that answers.
START_TIMEOUT_S = 3.0


class ZoneChange(enum.Enum):
    """Ways in which the evacuation of a zone changes.

    EVACUATED: its targets get nothing from now on. BACK: they may get requests
    again.
    """

    EVACUATED = 'evacuated'
    BACK = 'back'


class _Evacuation:
    """Evacuation of one zone.

    stored is the object that was in force, None if only another node had it.
    missing_since is the time since when a restored store lacks it, ended_at
    the time at which this node learned that it was removed, ended_revision
    the store's revision of the removal.
    """

    __slots__ = ('ended_at', 'ended_revision', 'missing_since', 'stored')

    def __init__(self, stored: StoredObject | None):
        self.stored = stored
        self.missing_since: float | None = None
        self.ended_at: float | None = None
        self.ended_revision = Revision(0)


class Evacuations:
    """Hold the evacuated zones.

    While is_known is False, all zones count as evacuated, because this node
    has not read the evacuations yet. on_change is called when a zone is
    evacuated or back.
    """

    def __init__(self, is_known: bool = True):
        self.on_change: typing.Callable[[ZoneName, ZoneChange], None] = (
            lambda zone, change: None
        )
        self.is_known = is_known
        self._zones: dict[ZoneName, _Evacuation] = {}

    @property
    def are_any(self) -> bool:
        """Return False if contains() is False for all zones."""
        return bool(self._zones) or not self.is_known

    def contains(self, zone: ZoneName) -> bool:
        """Return True if nothing may be sent to the targets of a zone."""
        return zone in self._zones or not self.is_known

    def zones(self) -> tuple[ZoneName, ...]:
        """Return the zones that are evacuated, or not yet used again."""
        return tuple(sorted(self._zones))

    def update(self, update: Update, now: float) -> None:
        """Apply the evacuations that the store has.

        Only the name of an object counts: one with an unreadable body
        evacuates its zone as well.
        """
        match update:
            case Changed(objects):
                self._apply(objects, now)
            case Restored(objects):
                self._apply(objects, now)
                shown = {stored.name for stored in objects}
                for zone, evacuation in self._zones.items():
                    if zone not in shown and evacuation.ended_at is None:
                        evacuation.missing_since = now

    def _apply(
        self, objects: typing.Iterable[StoredObject], now: float
    ) -> None:
        for stored in objects:
            zone = ZoneName(stored.name)
            if not stored.deleted:
                self._begin(zone, stored)
            elif zone in self._zones:
                self._end(self._zones[zone], stored.revision, now)

    def _begin(self, zone: ZoneName, stored: StoredObject | None) -> None:
        is_new = zone not in self._zones
        self._zones[zone] = _Evacuation(stored)
        if is_new:
            self.on_change(zone, ZoneChange.EVACUATED)

    def _end(
        self, evacuation: _Evacuation, revision: Revision, now: float
    ) -> None:
        if evacuation.ended_at is None:
            evacuation.missing_since = None
            evacuation.ended_at = now
            evacuation.ended_revision = revision

    def kept(self) -> tuple[StoredObject, ...]:
        """Return the evacuations in force, for nodes that start.

        This node may not have noticed yet that the store was restored and
        lacks them, while the starting node has read the restored store.
        Those that this node has only from another one are not among them, so
        that nodes can't keep them for each other without end.
        """
        return tuple(
            evacuation.stored
            for evacuation in self._zones.values()
            if evacuation.ended_at is None and evacuation.stored is not None
        )

    def apply_kept(
        self, objects: typing.Iterable[StoredObject], now: float
    ) -> None:
        """Apply what another node has in force though the store lacks it."""
        for stored in objects:
            zone = ZoneName(stored.name)
            known = self._zones.get(zone)
            if known is None or known.ended_at is not None:
                self._begin(zone, None)
                self._zones[zone].missing_since = now

    def settle(
        self, read_at: float, targets_through: Revision, now: float
    ) -> None:
        """End the evacuations whose time is over.

        read_at is the time up to which changes of the evacuations are known,
        targets_through the revision of the store up to which the registrations
        of targets are known.
        """
        for zone, evacuation in tuple(self._zones.items()):
            since = evacuation.missing_since
            if since is not None and read_at >= since + WRITE_AGAIN_S:
                self._end(evacuation, Revision(0), now)
            if self._is_over(evacuation, targets_through, now):
                del self._zones[zone]
                self.on_change(zone, ZoneChange.BACK)

    def _is_over(
        self, evacuation: _Evacuation, targets_through: Revision, now: float
    ) -> bool:
        ended_at = evacuation.ended_at
        if ended_at is None or now < ended_at + BACK_DELAY_S:
            return False
        return (
            targets_through >= evacuation.ended_revision
            or now >= ended_at + MAX_BACK_DELAY_S
        )
