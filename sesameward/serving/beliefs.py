"""Turn stored objects into the routes and targets in force."""

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
from .choice import Choice
from .mirror import Mirror
from .pools import Pools
from .routes import RouteTable
from .splits import Splits
from .targets import Source
from .targets import Target
from .targets import TargetTable

# Where the configuration doesn't bound a service's connections.
DEFAULT_CONNECTIONS = 10


class Decoder(typing.Protocol):
    """Decode stored objects; raise DeclarationError."""

    def routes(self, stored: StoredObject) -> RouteTable:
        """Return the routes that an object holds."""

    def target(self, stored: StoredObject) -> Target:
        """Return the target that an object registers."""


class Beliefs:
    """Apply changes of the configuration and of targets, never backwards."""

    def __init__(
        self,
        decoder: Decoder,
        targets: TargetTable,
        choice: Choice,
        pools: Pools,
        splits: Splits,
        budget: BudgetWindow,
        metrics: Metrics,
        clock: Clock,
    ):
        self.table: RouteTable | None = None
        self.routes_mirror: Mirror | None = None
        self._decoder = decoder
        self._targets = targets
        self._choice = choice
        self._pools = pools
        self._splits = splits
        self._budget = budget
        self._metrics = metrics
        self._clock = clock
        self._used: frozenset[ServiceName] = frozenset()
        self.on_dropped: typing.Callable[[TargetId], None] = lambda _: None

    def age_s(self, now: float) -> float:
        """Return how long ago the routes were known to be the newest."""
        mirror = self.routes_mirror
        return mirror.age_s(now) if mirror is not None else 0.0

    def take_routes(self, changed: list[StoredObject]) -> None:
        """Put the newest readable configuration in force."""
        for stored in changed:
            if stored.deleted:
                continue
            try:
                table = self._decoder.routes(stored)
            except DeclarationError as exc:
                self._metrics.count('routes_refused')
                logs.change(
                    'routes_refused',
                    revision=stored.revision,
                    error=str(exc),
                )
                continue
            if self.table is None or table.version >= self.table.version:
                self._put(table, stored)

    def _put(self, table: RouteTable, stored: StoredObject) -> None:
        logs.change(
            'routes_in_force',
            version=table.version,
            before=self.table.version if self.table else None,
            revision=stored.revision,
            routes=len(table.routes),
        )
        self.table = table
        services = {
            name for route in table.routes for name in route.services()
        }
        self._used = frozenset(services)
        self._splits.keep({route.name for route in table.routes})
        self._budget.forget(services)
        self._declare_used()

    def _declare_used(self) -> None:
        for target in self._targets:
            if target.service in self._used:
                self._pools.declare(target)

    def limit(self, target: Target) -> int:
        """Return how many connections all nodes may open to a target."""
        table = self.table
        service = table.services.get(target.service) if table else None
        if service is None:
            return DEFAULT_CONNECTIONS
        return service.max_connections

    def take_targets(self, changed: list[StoredObject]) -> None:
        """Add, change and lapse targets."""
        for stored in changed:
            target_id = TargetId(stored.name)
            if stored.deleted:
                self._lapse(target_id, 'gone')
                continue
            try:
                target = self._decoder.target(stored)
            except DeclarationError as exc:
                self._metrics.count('targets_refused')
                logs.change('target_refused', target=target_id, error=str(exc))
                self._lapse(target_id, 'unreadable')
                continue
            self._add(target, stored)

    def _add(self, target: Target, stored: StoredObject) -> None:
        old = self._targets.get(target.id)
        if old is not None and old.started_ms > target.started_ms > 0:
            self._metrics.count('targets_refused', 'older_lifetime')
            return
        if old is None or old.state is not target.state:
            logs.change(
                'target',
                target=target.id,
                service=target.service,
                state=target.state.value,
                revision=stored.revision,
            )
        if old is not None and old.started_ms != target.started_ms:
            self._choice.forget(target.id)
            self._pools.forget(target.id)
        self._targets.put(target)
        self._declare(target.id)

    def _declare(self, target_id: TargetId) -> None:
        # As the table holds it: it may know that the target leaves.
        target = self._targets.get(target_id)
        if target is None:
            return
        self._choice.declare(target)
        if target.service in self._used:
            self._pools.declare(target)

    def take_leaving(
        self, target_id: TargetId, source: Source, started_ms: int = 0
    ) -> bool:
        """Take in a target's own word that it leaves; tell if it is new."""
        if not self._targets.leave(target_id, started_ms):
            return False
        self._metrics.count('targets_left_out', f'leaving_{source.value}')
        logs.change(
            'target_left_out',
            target=target_id,
            reason='leaving',
            source=source.value,
        )
        self._declare(target_id)
        return True

    def _lapse(self, target_id: TargetId, reason: str) -> None:
        target = self._targets.get(target_id)
        if target is not None:
            logs.change(
                'target',
                target=target_id,
                service=target.service,
                state=reason,
            )
            self._targets.lapse(target_id, self._clock())

    def expire(self) -> None:
        """Drop targets that lapsed and did not come back."""
        for target_id in self._targets.expire(self._clock()):
            self._choice.forget(target_id)
            self._pools.forget(target_id)
            self.on_dropped(target_id)
            logs.change('target', target=target_id, state='dropped')
