"""Fix the shard map and the snapshot of an answer."""

from __future__ import annotations

from ..controllers.routing import Routing
from ..exceptions import RefusalError
from ..routing.snapshots import narrow
from ..types import RefusalKind
from .chain import Proceed
from .exchange import Exchange

NO_REPLICA_RETRY_S = 1.0


class PinSnapshot:
    """Pin the snapshot once for the whole answer."""

    def __init__(self, routing: Routing):
        self._routing = routing

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> None:
        """Fill in the pin."""
        pin = self._routing.pin(exchange.service)
        if pin is None:
            raise RefusalError(
                RefusalKind.NO_REPLICA,
                f'no target of {exchange.service.name} is live',
                'come back later',
                retry_after_s=NO_REPLICA_RETRY_S,
            )
        keys = exchange.query.keys
        if keys is not None:
            owners = {pin.shard_map.owner(key).id for key in keys}
            pin = narrow(pin, owners)
        exchange.pin = pin
        await proceed(exchange)
