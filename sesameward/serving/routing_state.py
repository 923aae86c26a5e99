"""Apply changed store objects to the routes and targets that a node uses.

Versions of the configuration and start times of targets order what is in
force. They come from the operator and the targets, so they stay in order when
the store is restored from an older copy.
"""

from __future__ import annotations

import typing

from .. import logs
from ..exceptions import DeclarationError
from ..messages import StoredObject
from ..metrics import Metrics
from ..types import Clock
from ..types import Revision
from ..types import ServiceName
from ..types import TargetId
from .budget_window import BudgetWindow
from .kept_rests import KeptRests
from .kept_routes import KeptRoutes
from .mirror import Mirror
from .pools import Pools
from .replica_choice import ReplicaSelector
from .restored_targets import RestoredTargets
from .restored_targets import Shown
from .routes import RouteTable
from .splits import Splits
from .store_copy import Changed
from .store_copy import Restored
from .store_copy import Update
from .targets import DepartureSource
from .targets import Target
from .targets import TargetTable

# Limit on the connections of all nodes together to a target whose service the
# configuration doesn't name.
DEFAULT_MAX_CONNECTIONS = 10
# Time after a restore of the store for which a path without a route is not
# refused for good, since the operator's last writes may not be repeated yet.
ROUTES_DOUBTFUL_S = 5.0


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
    its registration is gone, on_target_added with each added or updated one,
    and on_routes with each route table that comes into force.
    """

    def __init__(
        self,
        decoder: Decoder,
        targets: TargetTable,
        selector: ReplicaSelector,
        pools: Pools,
        splits: Splits,
        budget: BudgetWindow,
        kept_routes: KeptRoutes,
        restored_targets: RestoredTargets,
        metrics: Metrics,
        clock: Clock,
    ):
        self.route_table: RouteTable | None = None
        self.routes_mirror: Mirror | None = None
        self.targets_mirror: Mirror | None = None
        self.kept_routes = kept_routes
        self._decoder = decoder
        self._targets = targets
        self._selector = selector
        self._pools = pools
        self._splits = splits
        self._budget = budget
        self._metrics = metrics
        self._clock = clock
        self._restored_targets = restored_targets
        self._kept_rests = KeptRests()
        self._routes_doubtful_until = clock()
        self._routed_services: frozenset[ServiceName] = frozenset()
        self.on_routes: typing.Callable[[RouteTable], None] = lambda _: None
        self.on_target_dropped: typing.Callable[[TargetId], None] = lambda _: (
            None
        )
        self.on_target_added: typing.Callable[[Target], None] = lambda _: None
        self.on_target_left: typing.Callable[[TargetId, int], None] = (
            lambda target_id, started_ms: None
        )

    def age_s(self, now: float) -> float:
        """Return the time since the routes were last known to be current."""
        mirror = self.routes_mirror
        return mirror.age_s(now) if mirror is not None else 0.0

    def may_lack_routes(self, now: float) -> bool:
        """Return True if the store is known to lack recent configurations."""
        return (
            self.kept_routes.is_store_behind
            or now < self._routes_doubtful_until
        )

    def update_routes(self, update: Update) -> None:
        """Apply configuration objects that the store has.

        An object that can't be decoded is logged and skipped, and a deleted
        one is ignored, so that the last good configuration stays in force.
        """
        match update:
            case Changed(objects):
                self._apply_shown_routes(objects)
            case Restored(objects):
                self._routes_doubtful_until = self._clock() + ROUTES_DOUBTFUL_S
                self.kept_routes.record_shown(None)
                self._apply_shown_routes(objects)
                self.kept_routes.announce()

    def _apply_shown_routes(
        self, objects: typing.Iterable[StoredObject]
    ) -> None:
        for table, stored in self._decode_routes(objects):
            self.kept_routes.record_shown(table.version)
            self._apply_route_table(table, stored)

    def apply_kept_routes(
        self, objects: typing.Iterable[StoredObject]
    ) -> None:
        """Apply what another node has in force though the store lacks it."""
        for table, stored in self._decode_routes(objects):
            self._apply_route_table(table, stored)

    def _decode_routes(
        self, objects: typing.Iterable[StoredObject]
    ) -> typing.Iterator[tuple[RouteTable, StoredObject]]:
        for stored in objects:
            if stored.deleted:
                continue
            try:
                yield self._decoder.routes(stored), stored
            except DeclarationError as exc:
                self._metrics.count('routes_refused')
                logs.log_event(
                    'routes_refused',
                    revision=stored.revision,
                    error=str(exc),
                )

    def _apply_route_table(
        self, table: RouteTable, stored: StoredObject
    ) -> None:
        in_force = self.route_table
        if in_force is None or table.version >= in_force.version:
            self._activate_routes(table, stored)
            return
        self._metrics.count('routes_kept')
        logs.log_event(
            'routes_kept',
            version=in_force.version,
            shown=table.version,
            revision=stored.revision,
        )

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
        self.on_routes(table)
        self.kept_routes.record_in_force(stored, table.version)
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

    def update_targets(self, update: Update) -> None:
        """Apply registrations of targets that the store has.

        A target whose registration is deleted or can't be decoded gets new
        requests only if its service has no other target; drop_expired removes
        it later. One that a restored store lacks is used on for some time.
        """
        match update:
            case Changed(objects):
                for target, revision in self._decode_targets(objects):
                    self._restored_targets.record_registered(target.id)
                    self._add_target(target, revision)
            case Restored(objects):
                self._restore_targets(objects)

    def _decode_targets(
        self, objects: typing.Iterable[StoredObject]
    ) -> typing.Iterator[tuple[Target, Revision]]:
        """Yield the registered targets; lapse those without registration."""
        for stored in objects:
            target_id = TargetId(stored.name)
            if stored.deleted:
                self._lapse_target(target_id, 'gone')
                continue
            try:
                yield self._decoder.target(stored), stored.revision
            except DeclarationError as exc:
                self._metrics.count('targets_refused')
                logs.log_event(
                    'target_refused', target=target_id, error=str(exc)
                )
                self._lapse_target(target_id, 'unreadable')

    def _restore_targets(self, objects: list[StoredObject]) -> None:
        now = self._clock()
        restored = self._restored_targets
        restored.begin()
        for target, revision in self._decode_targets(objects):
            known = self._targets.get(target.id)
            match restored.judge(target, known):
                case Shown.USE:
                    self._add_target(target, revision)
                case Shown.LEAVING:
                    self._log_kept(target, 'leaving')
                    self.on_target_left(target.id, target.started_ms)
                    self._add_target(target, revision)
                case Shown.HOLD:
                    self._log_kept(target, 'gone')
                    restored.hold(target, revision, now)
        shown = {stored.name for stored in objects}
        for target in self._targets:
            if target.id not in shown:
                self._log_kept(target, 'missing')
                restored.record_missing(target.id, now)

    def _log_kept(self, target: Target, reason: str) -> None:
        self._metrics.count('targets_kept', reason)
        logs.log_event(
            'target_kept',
            target=target.id,
            service=target.service,
            shown=None if reason == 'missing' else target.state.value,
            reason=reason,
        )

    def _add_target(self, target: Target, revision: Revision) -> None:
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
                revision=revision,
            )
        if old is not None and old.started_ms != target.started_ms:
            self._selector.forget(target.id)
            self._pools.forget(target.id)
        self._targets.put(target)
        self._declare_target(target.id)
        if old is None:
            now = self._clock()
            rest_s = self._kept_rests.take(target, now)
            if rest_s > 0.0:
                self._selector.back_off(target.id, rest_s, now)
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
        self._restored_targets.settle(target_id)
        target = self._targets.get(target_id)
        if target is not None:
            logs.log_event(
                'target',
                target=target_id,
                service=target.service,
                state=reason,
            )
            self._targets.mark_registration_gone(target_id, self._clock())
            if reason == 'gone':
                self._restored_targets.record_gone(target)

    def drop_expired(self) -> None:
        """Drop targets whose registration has been gone for LAPSED_KEEP_S.

        After a restore of the store, also decide on the targets that it lacks
        or shows again.
        """
        now = self._clock()
        if self.targets_mirror is not None:
            read_at = now - self.targets_mirror.age_s(now)
            self._settle_restored(read_at)
        for target in self._targets.expire(now):
            target_id = target.id
            until = self._selector.rests_until(target_id)
            self._kept_rests.keep(target, until, now)
            self._selector.forget(target_id)
            self._pools.forget(target_id)
            self.on_target_dropped(target_id)
            logs.log_event('target', target=target_id, state='dropped')

    def _settle_restored(self, read_at: float) -> None:
        for target_id in self._restored_targets.take_missing(read_at):
            self._lapse_target(target_id, 'gone')
        for held in self._restored_targets.take_held(read_at):
            self._add_target(held.target, held.revision)
