"""Choose the shard map and the snapshot from which a query is answered."""

from __future__ import annotations

from ..controllers.routing import Routing
from ..exceptions import RefusalError
from ..routing.snapshots import narrow
from ..types import RefusalKind
from .chain import FilterChain
from .exchange import Exchange

NO_REPLICA_RETRY_AFTER_S = 1.0


class PinSnapshot:
    """Pin one snapshot for a query, so that all its shards answer from it."""

    def __init__(self, routing: Routing):
        self._routing = routing

    async def __call__(self, exchange: Exchange, proceed: FilterChain) -> None:
        """Set the query's snapshot and the targets that can answer from it.

        Raise RefusalError if no usable target reports a snapshot.
        """
        pin = self._routing.pin(exchange.service)
        if pin is None:
            raise RefusalError(
                RefusalKind.NO_REPLICA,
                'no usable target of service '
                f'{exchange.service.name} reports a snapshot',
                'retry after retry_after_s seconds',
                retry_after_s=NO_REPLICA_RETRY_AFTER_S,
            )
        keys = exchange.query.keys
        if keys is not None:
            owners = {pin.shard_map.owner(key).id for key in keys}
            pin = narrow(pin, owners)
        exchange.pin = pin
        await proceed(exchange)
