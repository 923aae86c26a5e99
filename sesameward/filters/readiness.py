"""Refuse requests while this entry can't serve any."""

from __future__ import annotations

from ..controllers.catalog import Catalog
from ..controllers.freshness import Freshness
from ..controllers.nodes import Nodes
from ..exceptions import RefusalError
from ..types import RefusalKind
from .chain import Proceed
from .exchange import Exchange

RETRY_S = 1.0


class CheckReady:
    """Let requests pass once there is a configuration and a connection."""

    def __init__(self, catalog: Catalog, nodes: Nodes, freshness: Freshness):
        self._catalog = catalog
        self._nodes = nodes
        self._freshness = freshness

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> None:
        """Raise RefusalError where the entry is not ready."""
        if not self._catalog.ready:
            raise _refusal('this entry has no configuration yet')
        if not self._freshness.fresh():
            raise _refusal('this entry was paused and may hold old state')
        if self._catalog.targets and not self._nodes.connected:
            raise _refusal('this entry may not connect to targets yet')
        await proceed(exchange)


def _refusal(problem: str) -> RefusalError:
    return RefusalError(
        RefusalKind.NOT_READY,
        problem,
        'use another address of /v1/addresses',
        retry_after_s=RETRY_S,
    )
