"""Apply changed store objects to the routes and targets that a node uses."""

from __future__ import annotations

import typing

from .. import logs
from ..exceptions import DeclarationError
from ..messages import StoredObject
from ..metrics import Metrics
from ..types import Clock
from ..types import ServiceName
from ..types import TargetId
from .budget_window import BudgetWindow
from .mirror import Mirror
from .pools import Pools
from .replica_choice import ReplicaSelector
from .routes import RouteTable
from .splits import Splits
from .targets import DepartureSource
from .targets import Target
from .targets import TargetTable

# Limit on the connections of all nodes together to a target whose service the
# configuration doesn't name.
DEFAULT_MAX_CONNECTIONS = 10


class Decoder(typing.Protocol):
    """Interface to decode stored configurations and target registrations.

    Both methods raise DeclarationError if the object is invalid.
    """

    def routes(self, stored: StoredObject) -> RouteTable:
        """Return the route table of a configuration object."""

    def target(self, stored: StoredObject) -> Target:
        """Return the target that a registration object describes."""


class RoutingState:
    """Hold the routes in force, and apply changes of routes and targets.

    A configuration does not replace one of a higher version, and a target's
    registration does not replace that of a process of the target that started
    later. on_target_dropped is called with each target that is removed because
    its registration is gone, on_target_added with each added or updated one.
    """

    def __init__(
        self,
        decoder: Decoder,
        targets: TargetTable,
        selector: ReplicaSelector,
        pools: Pools,
        splits: Splits,
        budget: BudgetWindow,
        metrics: Metrics,
        clock: Clock,
    ):
        self.route_table: RouteTable | None = None
        self.routes_mirror: Mirror | None = None
        self._decoder = decoder
        self._targets = targets
        self._selector = selector
        self._pools = pools
        self._splits = splits
        self._budget = budget
        self._metrics = metrics
        self._clock = clock
        self._routed_services: frozenset[ServiceName] = frozenset()
        self.on_target_dropped: typing.Callable[[TargetId], None] = lambda _: (
            None
        )
        self.on_target_added: typing.Callable[[Target], None] = lambda _: None

    def age_s(self, now: float) -> float:
        """Return the time since the routes were last known to be current."""
        mirror = self.routes_mirror
        return mirror.age_s(now) if mirror is not None else 0.0

    def apply_routes(self, changed: list[StoredObject]) -> None:
        """Apply changed configuration objects.

        An object that can't be decoded is logged and skipped, and a deleted
        one is ignored, so that the last good configuration stays in force.
        """
        for stored in changed:
            if stored.deleted:
                continue
            try:
                table = self._decoder.routes(stored)
            except DeclarationError as exc:
                self._metrics.count('routes_refused')
                logs.log_event(
                    'routes_refused',
                    revision=stored.revision,
                    error=str(exc),
                )
                continue
            if (
                self.route_table is None
                or table.version >= self.route_table.version
            ):
                self._activate_routes(table, stored)

    def _activate_routes(
        self, table: RouteTable, stored: StoredObject
    ) -> None:
        logs.log_event(
            'routes_in_force',
            version=table.version,
            before=self.route_table.version if self.route_table else None,
            revision=stored.revision,
            routes=len(table.routes),
        )
        self.route_table = table
        services = {
            name for route in table.routes for name in route.services()
        }
        self._routed_services = frozenset(services)
        self._splits.retain({route.name for route in table.routes})
        self._budget.retain(services)
        self._declare_routed_targets()

    def _declare_routed_targets(self) -> None:
        for target in self._targets:
            if target.service in self._routed_services:
                self._pools.declare(target)

    def max_connections(self, target: Target) -> int:
        """Return the limit on open connections of all nodes to a target."""
        table = self.route_table
        service = table.services.get(target.service) if table else None
        if service is None:
            return DEFAULT_MAX_CONNECTIONS
        return service.max_connections

    def apply_targets(self, changed: list[StoredObject]) -> None:
        """Apply changed registrations of targets.

        A target whose registration is deleted or can't be decoded gets new
        requests only if its service has no other target; drop_expired removes
        it later.
        """
        for stored in changed:
            target_id = TargetId(stored.name)
            if stored.deleted:
                self._lapse_target(target_id, 'gone')
                continue
            try:
                target = self._decoder.target(stored)
            except DeclarationError as exc:
                self._metrics.count('targets_refused')
                logs.log_event(
                    'target_refused', target=target_id, error=str(exc)
                )
                self._lapse_target(target_id, 'unreadable')
                continue
            self._add_target(target, stored)

    def _add_target(self, target: Target, stored: StoredObject) -> None:
        old = self._targets.get(target.id)
        if old is not None and old.started_ms > target.started_ms > 0:
            self._metrics.count('targets_refused', 'older_lifetime')
            return
        if old is None or old.state is not target.state:
            logs.log_event(
                'target',
                target=target.id,
                service=target.service,
                state=target.state.value,
                revision=stored.revision,
            )
        if old is not None and old.started_ms != target.started_ms:
            self._selector.forget(target.id)
            self._pools.forget(target.id)
        self._targets.put(target)
        self._declare_target(target.id)
        self.on_target_added(target)

    def _declare_target(self, target_id: TargetId) -> None:
        # Read the target from the table, where its state is DRAINING if it has
        # said that it is leaving. Its registration may not say so yet.
        target = self._targets.get(target_id)
        if target is None:
            return
        self._selector.declare(target)
        if target.service in self._routed_services:
            self._pools.declare(target)

    def mark_leaving(
        self, target_id: TargetId, source: DepartureSource, started_ms: int = 0
    ) -> bool:
        """Mark a target as leaving; return True if that was not known yet.

        started_ms is the start time (Unix time) of the leaving process, 0 if
        unknown. Returns False, and marks nothing, if the target has since been
        registered by a process that started later.
        """
        if not self._targets.mark_leaving(target_id, started_ms):
            return False
        self._metrics.count('targets_left_out', f'leaving_{source.value}')
        logs.log_event(
            'target_left_out',
            target=target_id,
            reason='leaving',
            source=source.value,
        )
        self._declare_target(target_id)
        return True

    def _lapse_target(self, target_id: TargetId, reason: str) -> None:
        target = self._targets.get(target_id)
        if target is not None:
            logs.log_event(
                'target',
                target=target_id,
                service=target.service,
                state=reason,
            )
            self._targets.mark_registration_gone(target_id, self._clock())

    def drop_expired(self) -> None:
        """Drop targets whose registration has been gone for LAPSED_KEEP_S."""
        for target_id in self._targets.expire(self._clock()):
            self._selector.forget(target_id)
            self._pools.forget(target_id)
            self.on_target_dropped(target_id)
            logs.log_event('target', target=target_id, state='dropped')
