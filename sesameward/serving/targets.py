"""Table of the registered targets, and which of them may get requests."""

from __future__ import annotations

import collections
import enum
import typing

import msgspec

from ..types import ServiceName
from ..types import TargetId
from ..types import ZoneName

# How long a target is kept after its registration lapsed. After an outage of
# the store, targets renew their registrations within two seconds; with less
# time, they would be removed. A target that stops on purpose serves for longer
# than this, so requests that are still sent to it are answered.
LAPSED_KEEP_S = 2.0
# Number of ids of departed targets that are remembered, so that an old
# registration does not make them usable again. If there are more, those whose
# departure was reported longest ago are forgotten.
MAX_DEPARTED_IDS = 10_000


class TargetState(enum.Enum):
    """States that a target can report in its registration."""

    READY = 'ready'
    DRAINING = 'draining'


class DepartureSource(enum.Enum):
    """Sources from which a node can learn that a target is leaving.

    ANSWER: a reply of the target. HELPER: a helper node, which sends this
    node's sub-requests to the target. PEER: a rumor from another node.
    REGISTRATION: the target's registration before the store was restored from
    an older copy.
    """

    ANSWER = 'answer'
    HELPER = 'helper'
    PEER = 'peer'
    REGISTRATION = 'registration'


class Target(msgspec.Struct, frozen=True):
    """Registration of one target.

    warmup_s is the time for which the target is still slow after its start;
    started_ms is the Unix time of that start in ms, or 0 if unknown. seq rises
    with each registration that the target writes.
    """

    id: TargetId
    service: ServiceName
    host: str
    port: int
    zone: ZoneName
    slots: int
    state: TargetState
    warmup_s: float = 0.0
    started_ms: int = 0
    seq: int = 0

    @property
    def drain(self) -> bool:
        """Return whether the target must get no new requests."""
        return self.state is TargetState.DRAINING


class TargetTable:
    """Targets grouped by service, including lapsed and leaving ones.

    A target with a lapsed registration is kept for LAPSED_KEEP_S. It gets
    requests only if all targets of its service are lapsed or draining.

    A target that announced its departure gets no more requests, even if a
    registration of it arrives later, because that registration may be older
    than the announcement. A registration with the same id makes it usable
    again only if the registered process started after the one that announced
    its departure.
    """

    def __init__(self):
        self._targets: dict[TargetId, Target] = {}
        self._by_service: dict[ServiceName, dict[TargetId, Target]] = {}
        self._lapsed_at: dict[TargetId, float] = {}
        # For each target that announced its departure: the Unix time in ms at
        # which the departing process had started, or 0 if unknown.
        self._started_ms_by_departed_id: collections.OrderedDict[
            TargetId, int
        ] = collections.OrderedDict()
        self._candidates: dict[ServiceName, tuple[TargetId, ...]] = {}
        # Rises whenever a target is added, removed, or moved to another
        # service or zone.
        self.placement_no = 0

    def get(self, target_id: TargetId) -> Target | None:
        """Return a target, or None if it is unknown."""
        return self._targets.get(target_id)

    def __iter__(self) -> typing.Iterator[Target]:
        return iter(tuple(self._targets.values()))

    def __len__(self) -> int:
        return len(self._targets)

    def put(self, target: Target) -> None:
        """Add a target or update its registration."""
        if self._has_left(target):
            target = msgspec.structs.replace(
                target, state=TargetState.DRAINING
            )
        old = self._targets.get(target.id)
        if old is not None and old.service != target.service:
            self._remove(target.id)
        self._lapsed_at.pop(target.id, None)
        if old is None or (old.service, old.zone) != (
            target.service,
            target.zone,
        ):
            self.placement_no += 1
        self._targets[target.id] = target
        self._by_service.setdefault(target.service, {})[target.id] = target
        self._update_candidates(target.service)

    def mark_leaving(self, target_id: TargetId, started_ms: int = 0) -> bool:
        """Record that a target announced its departure.

        started_ms is the Unix time in ms at which the departing process had
        started, or 0 if unknown. Returns False if the departure was known
        already, or if the departing process is an earlier one than the
        registered process; otherwise True.
        """
        target = self._targets.get(target_id)
        if target is not None and 0 < started_ms < target.started_ms:
            return False
        is_known = target_id in self._started_ms_by_departed_id
        started_ms = started_ms or (target.started_ms if target else 0)
        self._started_ms_by_departed_id[target_id] = max(
            started_ms, self._started_ms_by_departed_id.get(target_id, 0)
        )
        self._started_ms_by_departed_id.move_to_end(target_id)
        if len(self._started_ms_by_departed_id) > MAX_DEPARTED_IDS:
            self._started_ms_by_departed_id.popitem(last=False)
        if target is not None and not target.drain:
            lapsed_at = self._lapsed_at.get(target_id)
            self.put(target)
            if lapsed_at is not None:
                self.mark_registration_gone(target_id, lapsed_at)
        return not is_known

    def _has_left(self, target: Target) -> bool:
        departed_started_ms = self._started_ms_by_departed_id.get(target.id)
        if departed_started_ms is None:
            return False
        if 0 < departed_started_ms < target.started_ms:
            del self._started_ms_by_departed_id[target.id]
            return False
        return True

    def mark_registration_gone(self, target_id: TargetId, now: float) -> None:
        """Record that a target's registration lapsed at the given time."""
        target = self._targets.get(target_id)
        if target is not None and target_id not in self._lapsed_at:
            self._lapsed_at[target_id] = now
            self._update_candidates(target.service)

    def is_leaving_or_gone(self, target_id: TargetId) -> bool:
        """Return whether a target is draining, lapsed or unknown."""
        target = self._targets.get(target_id)
        return target is None or target.drain or target_id in self._lapsed_at

    def expire(self, now: float) -> list[Target]:
        """Remove targets whose registration lapsed LAPSED_KEEP_S ago or more.

        Returns the removed targets.
        """
        expired_ids = [
            target_id
            for target_id, lapsed_at in self._lapsed_at.items()
            if now - lapsed_at >= LAPSED_KEEP_S
        ]
        expired = [self._targets[target_id] for target_id in expired_ids]
        for target_id in expired_ids:
            self._remove(target_id)
        return expired

    def candidates(self, service: ServiceName) -> tuple[TargetId, ...]:
        """Return the ids of a service's targets that may get new requests."""
        return self._candidates.get(service, ())

    def _remove(self, target_id: TargetId) -> None:
        self._lapsed_at.pop(target_id, None)
        target = self._targets.pop(target_id, None)
        if target is not None:
            self.placement_no += 1
            members = self._by_service[target.service]
            del members[target_id]
            if not members:
                del self._by_service[target.service]
            self._update_candidates(target.service)

    def _update_candidates(self, service: ServiceName) -> None:
        members = self._by_service.get(service, {})
        accepting = [t.id for t in members.values() if not t.drain]
        registered = [
            target_id
            for target_id in accepting
            if target_id not in self._lapsed_at
        ]
        candidates = tuple(sorted(registered or accepting))
        if candidates:
            self._candidates[service] = candidates
        else:
            self._candidates.pop(service, None)
