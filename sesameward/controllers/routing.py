"""Track the state of targets, which decides where new work may go."""

from __future__ import annotations

import math
import typing

from .. import logs
from ..configuration.declared import Service
from ..configuration.declared import Target
from ..messages import LoadReport
from ..messages import TargetStatus
from ..routing.replicas import ReplicaChooser
from ..routing.snapshots import pin
from ..routing.snapshots import Pin
from ..types import ShardId
from ..types import Snapshot
from ..types import TargetId
from .catalog import Catalog

# A target that announced its shutdown gets no new work for this long, even if
# the agent reports it as usable.
LEAVING_S = 10.0
# If a target's reply lacks a snapshot that its load report lists, the target
# gets no queries for that snapshot for this long.
MISSING_SNAPSHOT_S = 3.0


class Routing:
    """Track the state of targets and choose snapshots and targets by it."""

    def __init__(self, catalog: Catalog, chooser: ReplicaChooser, clock):
        self.chooser = chooser
        self._catalog = catalog
        self._clock = clock
        self._statuses: dict[TargetId, TargetStatus] = {}
        self._leaving_until: dict[TargetId, float] = {}
        self._missing_snapshots: dict[
            TargetId, set[tuple[ShardId, Snapshot]]
        ] = {}
        self._missing_until: dict[TargetId, float] = {}
        # Callbacks, which the entry sets. on_leaving gets each target that
        # announces its shutdown to this entry. agent_connected returns whether
        # this entry is connected to an agent that sends it the state of the
        # targets.
        self.on_leaving: typing.Callable[[TargetId], None] = lambda _: None
        self.agent_connected: typing.Callable[[], bool] = lambda: True
        self._pins: dict[str, Pin | None] = {}
        self._pins_valid_until = math.inf

    def declare(self) -> tuple[list[Target], list[TargetId]]:
        """Apply the catalog's targets; return those added and removed."""
        declared = self._catalog.targets
        removed = [t for t in self._statuses if t not in declared]
        for target_id in removed:
            del self._statuses[target_id]
            self._leaving_until.pop(target_id, None)
            self._missing_snapshots.pop(target_id, None)
            self._missing_until.pop(target_id, None)
            self.chooser.forget(target_id)
        added = []
        for target in declared.values():
            self.chooser.declare(target)
            if target.id not in self._statuses:
                self._statuses[target.id] = TargetStatus(target.id)
                added.append(target)
        self._pins.clear()
        return added, removed

    def apply_status(self, status: TargetStatus) -> None:
        """Apply a target's status, which the agent sent."""
        previous = self._statuses.get(status.target)
        if previous is None:
            return
        self._statuses[status.target] = status
        if status.report is not None:
            self.chooser.reported(status.target, status.report, self._clock())
        if _routing_fields(previous) != _routing_fields(status):
            self._missing_snapshots.pop(status.target, None)
            self._pins.clear()

    def apply_report(self, target_id: TargetId, report: LoadReport) -> None:
        """Apply the load report in a target's reply."""
        self.chooser.reported(target_id, report, self._clock())
        if report.draining:
            self.mark_leaving(target_id)

    def mark_leaving(self, target_id: TargetId) -> None:
        """Stop new work to a target that announced its shutdown."""
        if self._stop_new_work(target_id, LEAVING_S, 'in_band'):
            self.on_leaving(target_id)

    def mark_leaving_elsewhere(
        self, target_id: TargetId, duration_s: float
    ) -> None:
        """Stop new work to a target whose shutdown another entry reported."""
        self._stop_new_work(
            target_id, min(duration_s, LEAVING_S), 'other_entry'
        )

    def _stop_new_work(
        self, target_id: TargetId, duration_s: float, signal: str
    ) -> bool:
        """Stop new work to a leaving target.

        Return False if it was stopped before or the target is unknown.
        """
        if target_id not in self._statuses:
            return False
        is_new = target_id not in self._leaving_until
        if is_new:
            logs.log_event('target_leaving', target=target_id, signal=signal)
            self._pins.clear()
        ends_at = self._clock() + duration_s
        known_end_at = self._leaving_until.get(target_id, ends_at)
        self._leaving_until[target_id] = max(ends_at, known_end_at)
        self._pins_valid_until = min(self._pins_valid_until, ends_at)
        return is_new

    def mark_missing_snapshot(
        self,
        target_id: TargetId,
        shards: typing.Iterable[ShardId],
        snapshot: Snapshot,
    ) -> None:
        """Record that a target lacks a snapshot that its load report lists."""
        missing = self._missing_snapshots.setdefault(target_id, set())
        missing.update((shard, snapshot) for shard in shards)
        ends_at = self._clock() + MISSING_SNAPSHOT_S
        self._missing_until[target_id] = ends_at
        self._pins_valid_until = min(self._pins_valid_until, ends_at)
        self._pins.clear()

    def usable(self, target_id: TargetId) -> bool:
        """Return whether a target may get new work."""
        status = self._statuses.get(target_id)
        target = self._catalog.targets.get(target_id)
        if status is None or target is None or target.drain:
            return False
        if not status.live or status.leaving:
            return False
        if status.report is not None and status.report.draining:
            return False
        return target_id not in self._leaving_until

    def pin(self, service: Service) -> Pin | None:
        """Return the snapshot and targets for a service's queries.

        Return None if no usable target reports a snapshot.
        """
        now = self._clock()
        if now >= self._pins_valid_until:
            self._expire_marks(now)
        if service.name not in self._pins:
            self._pins[service.name] = pin(service, self._holdings(service))
        return self._pins[service.name]

    def _expire_marks(self, now: float) -> None:
        # An agent that missed a target's short shutdown never reports its
        # end, so end the mark of a leaving target after a time. While no agent
        # is connected, prolong it, because the target may still be leaving.
        for target_id in _expired(self._leaving_until, now):
            if self.agent_connected():
                del self._leaving_until[target_id]
                self.chooser.cancel_drain(target_id)
            else:
                self._leaving_until[target_id] = now + LEAVING_S
        for target_id in _expired(self._missing_until, now):
            del self._missing_until[target_id]
            self._missing_snapshots.pop(target_id, None)
        self._pins.clear()
        self._pins_valid_until = min(
            (*self._leaving_until.values(), *self._missing_until.values()),
            default=math.inf,
        )

    def replicas(self, service: Service, shard: ShardId) -> list[TargetId]:
        """Return the usable targets of one shard, best first."""
        holders = [
            target_id
            for target_id, target in self._catalog.targets.items()
            if self._catalog.service_of[target_id] == service.name
            and shard in target.shards
            and self.usable(target_id)
        ]
        ordered = []
        while holders:
            best = self.chooser.choose(holders, self._clock())
            if best is None:
                break
            holders.remove(best)
            ordered.append(best)
        return ordered

    def _holdings(
        self, service: Service
    ) -> dict[ShardId, dict[TargetId, typing.Collection[Snapshot]]]:
        holdings: dict[
            ShardId, dict[TargetId, typing.Collection[Snapshot]]
        ] = {}
        for target_id, service_name in self._catalog.service_of.items():
            if service_name != service.name or not self.usable(target_id):
                continue
            report = self._statuses[target_id].report
            if report is None or report.holds is None:
                continue
            missing = self._missing_snapshots.get(target_id, ())
            for shard, versions in report.holds.items():
                held = [v for v in versions if (shard, v) not in missing]
                if held:
                    holdings.setdefault(shard, {})[target_id] = held
        return holdings


def _expired(end_times: dict[TargetId, float], now: float) -> list[TargetId]:
    return [target_id for target_id, at in end_times.items() if at <= now]


def _routing_fields(status: TargetStatus) -> tuple:
    report = status.report
    if report is None:
        return (status.live, status.leaving, None, False)
    return (status.live, status.leaving, report.holds, report.draining)
