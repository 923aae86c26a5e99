"""Keep what an entry knows of the targets' state."""

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

# How long a target's own word that it leaves outweighs other reports.
LEAVING_S = 10.0
# How long a missing snapshot outweighs what a target is said to hold.
LACKING_S = 3.0


class Routing:
    """Hold the targets' state and pin snapshots on it."""

    def __init__(self, catalog: Catalog, chooser: ReplicaChooser, clock):
        self.chooser = chooser
        self._catalog = catalog
        self._clock = clock
        self._statuses: dict[TargetId, TargetStatus] = {}
        self._leaving_until: dict[TargetId, float] = {}
        self._lacking: dict[TargetId, set[tuple[ShardId, Snapshot]]] = {}
        self._lacking_until: dict[TargetId, float] = {}
        self.on_leaving: typing.Callable[[TargetId], None] = lambda _: None
        self.fed: typing.Callable[[], bool] = lambda: True
        self._pins: dict[str, Pin | None] = {}
        self._pins_until = math.inf

    def declare(self) -> tuple[list[Target], list[TargetId]]:
        """Take over the catalog; return the added and removed targets."""
        declared = self._catalog.targets
        removed = [t for t in self._statuses if t not in declared]
        for target_id in removed:
            del self._statuses[target_id]
            self._leaving_until.pop(target_id, None)
            self._lacking.pop(target_id, None)
            self._lacking_until.pop(target_id, None)
            self.chooser.forget(target_id)
        added = []
        for target in declared.values():
            self.chooser.declare(target)
            if target.id not in self._statuses:
                self._statuses[target.id] = TargetStatus(target.id)
                added.append(target)
        self._pins.clear()
        return added, removed

    def take_status(self, status: TargetStatus) -> None:
        """Take over what the agent found out about a target."""
        before = self._statuses.get(status.target)
        if before is None:
            return
        self._statuses[status.target] = status
        if status.report is not None:
            self.chooser.reported(status.target, status.report, self._clock())
        if _routing_part(before) != _routing_part(status):
            self._lacking.pop(status.target, None)
            self._pins.clear()

    def take_report(self, target_id: TargetId, report: LoadReport) -> None:
        """Take over the load report that came with a reply."""
        self.chooser.reported(target_id, report, self._clock())
        if report.draining:
            self.take_leaving(target_id)

    def take_leaving(self, target_id: TargetId) -> None:
        """Stop new work to a target which said that it is leaving."""
        if self._leave_alone(target_id, LEAVING_S, 'in_band'):
            self.on_leaving(target_id)

    def heard_leaving(self, target_id: TargetId, for_s: float) -> None:
        """Take over that a target said so to another entry."""
        self._leave_alone(target_id, min(for_s, LEAVING_S), 'other_entry')

    def _leave_alone(
        self, target_id: TargetId, for_s: float, signal: str
    ) -> bool:
        """Stop new work to a target; tell whether that is news."""
        if target_id not in self._statuses:
            return False
        is_news = target_id not in self._leaving_until
        if is_news:
            logs.change('target_leaving', target=target_id, signal=signal)
            self._pins.clear()
        until = self._clock() + for_s
        known_until = self._leaving_until.get(target_id, until)
        self._leaving_until[target_id] = max(until, known_until)
        self._pins_until = min(self._pins_until, until)
        return is_news

    def take_lacking(
        self,
        target_id: TargetId,
        shards: typing.Iterable[ShardId],
        snapshot: Snapshot,
    ) -> None:
        """Remember that a target lacks a snapshot it was said to hold."""
        lacking = self._lacking.setdefault(target_id, set())
        lacking.update((shard, snapshot) for shard in shards)
        until = self._clock() + LACKING_S
        self._lacking_until[target_id] = until
        self._pins_until = min(self._pins_until, until)
        self._pins.clear()

    def usable(self, target_id: TargetId) -> bool:
        """Tell whether a target may get new work."""
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
        """Pin the service's snapshot; None where no target is usable."""
        now = self._clock()
        if now >= self._pins_until:
            self._expire(now)
        if service.name not in self._pins:
            self._pins[service.name] = pin(service, self._holdings(service))
        return self._pins[service.name]

    def _expire(self, now: float) -> None:
        # The agent may have seen nothing of a short change, so it would
        # never report its end.
        for target_id in _due(self._leaving_until, now):
            if self.fed():
                del self._leaving_until[target_id]
                self.chooser.returned(target_id)
            else:
                self._leaving_until[target_id] = now + LEAVING_S
        for target_id in _due(self._lacking_until, now):
            del self._lacking_until[target_id]
            self._lacking.pop(target_id, None)
        self._pins.clear()
        self._pins_until = min(
            (*self._leaving_until.values(), *self._lacking_until.values()),
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
        for target_id, name in self._catalog.service_of.items():
            if name != service.name or not self.usable(target_id):
                continue
            report = self._statuses[target_id].report
            if report is None or report.holds is None:
                continue
            lacking = self._lacking.get(target_id, ())
            for shard, versions in report.holds.items():
                held = [v for v in versions if (shard, v) not in lacking]
                if held:
                    holdings.setdefault(shard, {})[target_id] = held
        return holdings


def _due(until: dict[TargetId, float], now: float) -> list[TargetId]:
    return [target_id for target_id, at in until.items() if at <= now]


def _routing_part(status: TargetStatus) -> tuple:
    report = status.report
    if report is None:
        return (status.live, status.leaving, None, False)
    return (status.live, status.leaving, report.holds, report.draining)
