"""Refuse requests while this entry is not ready to serve them."""

from __future__ import annotations

from ..controllers.catalog import Catalog
from ..controllers.freshness import Freshness
from ..controllers.nodes import Nodes
from ..exceptions import RefusalError
from ..types import RefusalKind
from .chain import FilterChain
from .exchange import Exchange

RETRY_AFTER_S = 1.0


class CheckReady:
    """Require a configuration, fresh state and a share of connections."""

    def __init__(self, catalog: Catalog, nodes: Nodes, freshness: Freshness):
        self._catalog = catalog
        self._nodes = nodes
        self._freshness = freshness

    async def __call__(self, exchange: Exchange, proceed: FilterChain) -> None:
        """Run the request if the entry is ready; else raise RefusalError."""
        if not self._catalog.ready:
            raise _refusal('this entry has no configuration yet')
        if not self._freshness.fresh():
            raise _refusal('this entry was paused and its state may be stale')
        if self._catalog.targets and not self._nodes.has_connection_share:
            raise _refusal(
                'this entry has no share of the target connections yet'
            )
        await proceed(exchange)


def _refusal(problem: str) -> RefusalError:
    return RefusalError(
        RefusalKind.NOT_READY,
        problem,
        'use another entry from /v1/addresses',
        retry_after_s=RETRY_AFTER_S,
    )
