"""Keep this node registered in the store, and find the other nodes there.

Load pattern: a store that was restored from an older copy has lost the
registrations of the nodes that started since. All of them notice it when they
next read the list of nodes; they must not all write at once.
"""

from __future__ import annotations

import asyncio
import random
import typing

from .. import logs
from ..configuration.spread import Backoff
from ..exceptions import PlatformError
from ..metrics import Metrics
from ..settings import Endpoint
from .settings import NodeSettings

BACKOFF_BASE_S = 0.5
BACKOFF_CAP_S = 5.0
# Interval at which the list of nodes is read from the store again, so that
# gossip finds nodes again after it has lost contact with them.
LIST_INTERVAL_S = 15.0
# Time over which the nodes register again after the store has lost their
# registrations.
REGISTER_SPREAD_S = 3.0


class Registry(typing.Protocol):
    """Interface to register this node in the store and to find all nodes."""

    async def register(self, cfg: NodeSettings) -> bool:
        """Write this node's addresses; return if it was registered before.

        Raises PlatformError on failure.
        """

    async def nodes(self) -> list[Endpoint]:
        """Return the gossip addresses of all nodes.

        Raises PlatformError if they can't be read.
        """


class Registration:
    """Register this node, and register it again if the store lost that.

    on_nodes is called with the gossip addresses of all registered nodes.
    on_restart is called with their number if this node was registered before
    its process started: then the others have registered as well.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        registry: Registry,
        on_nodes: typing.Callable[[list[Endpoint]], None],
        metrics: Metrics,
        rng: random.Random,
        sleep: typing.Callable[
            [float], typing.Awaitable[None]
        ] = asyncio.sleep,
    ):
        self._cfg = cfg
        self._registry = registry
        self._on_nodes = on_nodes
        self._metrics = metrics
        self._rng = rng
        self._sleep = sleep
        self._backoff = Backoff(rng, BACKOFF_BASE_S, BACKOFF_CAP_S)
        self._is_registered = False
        self._is_restarted = False
        self.on_restart: typing.Callable[[int], None] = lambda nodes: None

    async def run(self) -> None:
        """Register, and read the list of nodes again and again."""
        while True:
            try:
                pause_s = await self._check()
                self._backoff.reset()
            except PlatformError as exc:
                self._metrics.count('store_retries', type(exc).__name__)
                pause_s = 0.1 + self._backoff.next_s()
            await self._sleep(pause_s)

    async def _check(self) -> float:
        """Return the pause until the next check, in seconds."""
        was_registered = self._is_registered
        if not was_registered:
            if await self._registry.register(self._cfg):
                self._is_restarted = True
            self._is_registered = True
        addresses = await self._registry.nodes()
        self._on_nodes(addresses)
        if self._is_restarted:
            self._is_restarted = False
            self.on_restart(len(addresses))
        # A list that is read just after the registration may be older than it.
        if was_registered and self._cfg.gossip not in addresses:
            self._is_registered = False
            self._metrics.count('registrations_lost')
            logs.log_event('registration_lost')
            return self._rng.uniform(0.0, REGISTER_SPREAD_S)
        return LIST_INTERVAL_S * self._rng.uniform(0.8, 1.2)
