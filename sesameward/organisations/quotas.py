"""Keep to the request rates of organisations, together with all nodes.

Each request of an organisation with a limit needs one permit, whatever it is
sent to and however often. Shares, leases and the choice of a coordinator are
those of the limits of targets (serving/target_limits.py).
"""

from __future__ import annotations

import typing

from ..messages import Member
from ..serving.coordinator_choice import Step
from ..serving.limit_exchange import LimitKind
from ..serving.limit_messages import LimitChange
from ..serving.limit_messages import LimitEvidence
from ..serving.named_limits import OnLimitChange
from ..serving.routes import Organisation
from ..serving.routes import OrganisationName
from ..serving.routes import RouteTable
from ..serving.target_limits import NODES_KEEP_S
from ..serving.target_limits import SharedLimits
from ..types import NodeId
from .quota_ledger import QUOTA_SHARE_TTL_S
from .quota_ledger import QuotaLedger

# Interval at which a node entrusts its share again while any organisation has
# a limit. Two attempts fit into QUOTA_SHARE_TTL_S.
QUOTA_ENTRUST_INTERVAL_S = 0.8
# A restarted node uses its whole share once it has seen this part of the
# registered nodes: then it chooses the same coordinator as the others, and its
# part of each limit is not too large. Some registered nodes may be gone.
SEEN_NODES_PART = 0.8
# A permit is for a request that waits for it, so all have the same priority.
PRIORITY = 0

ORGANISATION_LIMITS = LimitKind(
    '/sesameward.Peer/OrganisationLimits',
    'organisation_permits',
    'organisation_coordinator',
    QUOTA_ENTRUST_INTERVAL_S,
)


class ConfiguredLimits:
    """Hold the limits of the configuration in force.

    All nodes read them from the store, so none are exchanged.
    """

    change_no = 0

    def __init__(self):
        self.on_change: OnLimitChange = lambda name, limit, before: None
        self._limited: dict[OrganisationName, Organisation] = {}

    def __len__(self) -> int:
        return len(self._limited)

    def get(self, name: OrganisationName) -> float | None:
        """Return an organisation's limit in requests per second, or None."""
        organisation = self._limited.get(name)
        return None if organisation is None else organisation.rate_per_s

    def burst(self, name: OrganisationName) -> float:
        """Return how many requests of an organisation may run at once."""
        organisation = self._limited.get(name)
        return 0.0 if organisation is None else organisation.burst

    def apply_table(self, table: RouteTable) -> None:
        """Use the limits of a configuration from now on."""
        before = self._limited
        self._limited = {}
        for organisation in table.organisations or ():
            if organisation.rate_per_s > 0.0:
                # Of two organisations of a name, the first one counts.
                self._limited.setdefault(organisation.name, organisation)
        for name in before.keys() | self._limited.keys():
            old, new = before.get(name), self._limited.get(name)
            if _limit_of(old) != _limit_of(new):
                self.on_change(
                    name,
                    None if new is None else new.rate_per_s,
                    None if old is None else old.rate_per_s,
                )

    def end_unnamed(self, now: float) -> None:
        """Do nothing: limits end with a configuration."""

    def unreported(self, now: float) -> tuple[LimitEvidence, ...]:
        """Return nothing: other nodes read the store themselves."""
        return ()

    def report_again(self) -> None:
        """Do nothing: other nodes read the store themselves."""

    def merge(
        self, evidence: typing.Iterable[LimitEvidence], now: float
    ) -> None:
        """Do nothing: limits come from the store alone."""

    def changes_since(self, change_no: int) -> tuple[LimitChange, ...]:
        """Return nothing: other nodes read the store themselves."""
        return ()

    def apply(
        self, changes: typing.Iterable[LimitChange], requested_at: float
    ) -> None:
        """Do nothing: limits come from the store alone."""


def _limit_of(organisation: Organisation | None) -> tuple[float, float]:
    if organisation is None:
        return 0.0, 0.0
    return organisation.rate_per_s, organisation.burst


class OrganisationLimits(SharedLimits):
    """Take and grant permits for requests of organisations with a limit.

    configured has the limits in force. All times are those of a clock that
    counts the time for which the machine is suspended, so that shares and
    permits expire meanwhile.
    """

    def __init__(
        self,
        node: NodeId,
        origin: str,
        overshoot: float,
        slack: float,
        now: float,
    ):
        self.configured = ConfiguredLimits()
        ledger = QuotaLedger(overshoot, slack, self.configured.burst)
        super().__init__(
            node, origin, self.configured, ledger, QUOTA_SHARE_TTL_S, now
        )
        self._seen_nodes = 0
        self._registered_nodes = 0
        self._registered_until = now

    def set_nodes(self, nodes: int, now: float) -> None:
        """Set the number of nodes that this node has seen."""
        self._seen_nodes = nodes
        if now >= self._registered_until:
            self._registered_nodes = 0
        super().set_nodes(max(nodes, self._registered_nodes), now)

    def set_registered_nodes(self, nodes: int, now: float) -> None:
        """Set how many nodes were registered when this node was restarted."""
        self._registered_nodes = nodes
        self._registered_until = now + NODES_KEEP_S
        self.set_nodes(self._seen_nodes, now)

    def _weight(self, now: float) -> float:
        # A new bucket is empty, so it doesn't matter what the former process
        # of this node has used. A node that was not registered before may
        # know too few others, and gets its share little by little.
        needed = SEEN_NODES_PART * self._registered_nodes
        if self._registered_nodes and self._seen_nodes >= needed:
            return 1.0
        return super()._weight(now)

    def choose_coordinator(
        self, members: typing.Sequence[Member], now: float
    ) -> Step:
        """Move this node's share if it must be elsewhere and can move."""
        coordinator = self.coordinator
        step = super().choose_coordinator(members, now)
        if self.coordinator != coordinator:
            # The former coordinator had no permits; this one may have some.
            for state in self._targets.values():
                state.none_until.clear()
        return step

    def expected_extra(self, name: OrganisationName, now: float) -> int:
        """Return 0: permits that are not used would be missing elsewhere."""
        return 0

    def announcement_due(self, now: float) -> bool:
        """Return False: all nodes read in the store that limits exist."""
        return False
