"""Admit single requests without a permit while a coordinator does not answer.

Load pattern: a machine dies, or a link breaks, and for some seconds nobody
grants permits, while each organisation has few requests at each node. The
slack of the bound allows some of them without a permit, if it is certain that
few nodes admit one and none admits a second one within the same window.
"""

from __future__ import annotations

import math
import typing

from .. import rendezvous
from ..serving.coordinator_choice import CALL_TIMEOUT_S
from ..serving.routes import Organisation
from ..serving.routes import OrganisationName
from ..serving.target_limits import PERMIT_TTL_S
from ..types import NodeId
from .quota_ledger import bucket_size
from .quota_ledger import has_whole_permit
from .quota_ledger import used_factor


class Bound(typing.NamedTuple):
    """Bound of the requests that run in a window, over all nodes."""

    overshoot: float
    slack: float
    window_s: float


def reserved_nodes(
    organisation: Organisation, nodes: int, bound: Bound
) -> int:
    """Return how many nodes may admit one request in a window, unpermitted.

    That is what the bound leaves after what all buckets together have saved,
    what accrues in a window, and what was granted just before it. If each
    node may save up a whole permit from its own share, those that do save
    more together than one bucket; nodes that do have no reserve meanwhile.
    """
    rate_per_s = organisation.rate_per_s
    burst = organisation.burst
    factor = used_factor(bound.overshoot)
    saved = factor * bucket_size(rate_per_s, burst)
    accrued = factor * rate_per_s * (bound.window_s + CALL_TIMEOUT_S)
    allowed = rate_per_s * bound.window_s + burst
    allowed = allowed * (1.0 + bound.overshoot) + bound.slack
    spare = allowed - accrued - saved
    part = saved / nodes
    if part < 1.0 and has_whole_permit(nodes, burst, bound.slack):
        # Of nodes that save a permit each, all but those with a reserve.
        more = 1.0 - part
        spare = (spare - more * nodes) / part
    return max(0, min(nodes, math.floor(spare)))


class Reserve:
    """Track the reserve of this node for each organisation."""

    def __init__(self, node: NodeId, bound: Bound, now: float):
        self._node = node
        self._bound = bound
        # A request may run this long after its permit was taken.
        self._interval_s = bound.window_s + PERMIT_TTL_S
        # The former process of this node may have used its reserve.
        self._usable_from = now + self._interval_s
        self._used_at: dict[OrganisationName, float] = {}
        self._names: set[NodeId] = {node}
        self._ranks: dict[OrganisationName, int] = {}

    def add_nodes(self, names: typing.Iterable[NodeId]) -> None:
        """Add nodes that this one has seen; none is ever removed.

        More names only lower the number of nodes that have a reserve.
        """
        count = len(self._names)
        self._names.update(names)
        if len(self._names) != count:
            self._ranks.clear()

    def defer(self, now: float) -> None:
        """Use no reserve for a window, as this node granted permits."""
        self._usable_from = max(self._usable_from, now + self._interval_s)

    def take(self, organisation: Organisation, nodes: int, now: float) -> bool:
        """Use the reserve for a request, if there is one left.

        nodes is the largest number of nodes that is known.
        """
        name = organisation.name
        used_at = self._used_at.get(name, -math.inf)
        if now < self._usable_from or now < used_at + self._interval_s:
            return False
        if len(self._names) < nodes:
            # Nodes that this one has not seen may come before it.
            return False
        if self._rank(name) >= reserved_nodes(
            organisation, len(self._names), self._bound
        ):
            return False
        self._used_at[name] = now
        return True

    def _rank(self, name: OrganisationName) -> int:
        rank = self._ranks.get(name)
        if rank is None:
            key = f'reserve {name}'
            own = rendezvous.weight(key, self._node), self._node
            rank = sum(
                (rendezvous.weight(key, other), other) > own
                for other in self._names
            )
            self._ranks[name] = rank
        return rank
