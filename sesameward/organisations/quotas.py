"""Keep to the request rates of organisations, together with all nodes.

Each request of an organisation with a limit needs one permit, whatever it is
sent to and however often. Shares, leases and the choice of a coordinator are
those of the limits of targets (serving/target_limits.py).
"""

from __future__ import annotations

import math
import typing

from ..messages import Member
from ..serving.coordinator_choice import Step
from ..serving.limit_exchange import LimitKind
from ..serving.limit_messages import LimitAnswer
from ..serving.limit_messages import LimitChange
from ..serving.limit_messages import LimitEvidence
from ..serving.limit_messages import LimitRequest
from ..serving.named_limits import OnLimitChange
from ..serving.routes import Organisation
from ..serving.routes import OrganisationName
from ..serving.routes import RouteTable
from ..serving.target_limits import Call
from ..serving.target_limits import Denial
from ..serving.target_limits import NODES_KEEP_S
from ..serving.target_limits import Permit
from ..serving.target_limits import PERMIT_TTL_S
from ..serving.target_limits import SharedLimits
from ..types import NodeId
from .quota_ledger import QUOTA_SHARE_TTL_S
from .quota_ledger import QuotaLedger
from .reserve import Bound
from .reserve import Reserve

# Interval at which a node entrusts its share again while any organisation has
# a limit. Two attempts fit into QUOTA_SHARE_TTL_S.
QUOTA_ENTRUST_INTERVAL_S = 0.8
# Time from the first answer of a new coordinator in which it may still lack
# permits: the shares come within QUOTA_ENTRUST_INTERVAL_S.
UNSETTLED_S = 1.0
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

    def organisation(self, name: OrganisationName) -> Organisation | None:
        """Return an organisation that has a limit."""
        return self._limited.get(name)

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
        window_s: float,
        now: float,
    ):
        self.configured = ConfiguredLimits()
        ledger = QuotaLedger(overshoot, slack, self.configured.burst)
        super().__init__(
            node, origin, self.configured, ledger, QUOTA_SHARE_TTL_S, now
        )
        self._reserve = Reserve(node, Bound(overshoot, slack, window_s), now)
        self._members: typing.Sequence[Member] | None = None
        # Whether the last call failed, and until when a new coordinator may
        # lack permits.
        self._is_failing = False
        self._unsettled_until = -math.inf
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
        # of this node has used. All nodes that were registered before have
        # the limit divided among at least as many as are registered, so it
        # doesn't matter how many each has seen. A node that was not registered
        # may know too few others, and gets its share little by little.
        if self._registered_nodes:
            return 1.0
        return super()._weight(now)

    def choose_coordinator(
        self, members: typing.Sequence[Member], now: float
    ) -> Step:
        """Move this node's share if it must be elsewhere and can move."""
        if members is not self._members:
            self._members = members
            self._reserve.add_nodes(member.node for member in members)
        coordinator = self.coordinator
        step = super().choose_coordinator(members, now)
        self._defer_reserve(now)
        if self.coordinator != coordinator:
            # The former coordinator had no permits; this one may have some.
            for state in self._targets.values():
                state.none_until.clear()
        return step

    def answer(self, request: LimitRequest, now: float) -> LimitAnswer:
        """Answer another node's request; grant it permits."""
        answer = super().answer(request, now)
        self._defer_reserve(now)
        return answer

    def on_answer(self, call: Call, answer: LimitAnswer, now: float) -> None:
        """Apply a coordinator's answer to a call of this node."""
        if self._is_failing and call.coordinator == self.coordinator:
            self._is_failing = False
            self._unsettled_until = now + UNSETTLED_S
        super().on_answer(call, answer, now)

    def on_failure(self, call: Call, now: float) -> None:
        """Record that a coordinator did not answer a call."""
        super().on_failure(call, now)
        self._is_failing = True

    def on_ended(self, call: Call, now: float) -> None:
        """Record proof that the called coordinator's process has ended."""
        super().on_ended(call, now)
        self._is_failing = True

    # Requests without a permit.

    def acquire(
        self, target_id: OrganisationName, priority: int, now: float
    ) -> Permit | Denial:
        """Acquire a permit for one request, or use the reserve for it."""
        taken = super().acquire(target_id, priority, now)
        if taken is Denial.NONE_LEFT:
            return self._use_reserve_if_unsettled(target_id, now) or taken
        return taken

    def acquire_waited(
        self, target_id: OrganisationName, priority: int, now: float
    ) -> Permit | None:
        """Acquire a permit for a request that has waited for a coordinator."""
        return super().acquire_waited(
            target_id, priority, now
        ) or self._use_reserve_if_unsettled(target_id, now)

    def acquire_unanswered(
        self, target_id: OrganisationName, now: float
    ) -> Permit | None:
        """Acquire a permit for a request while the coordinator is silent."""
        organisation = self.configured.organisation(target_id)
        if organisation is None:
            return Permit(target_id)
        if self._ledger.part(now) > 0.0:
            return None
        if not self._reserve.take(organisation, self._ledger.nodes, now):
            return None
        return Permit(target_id, now + PERMIT_TTL_S)

    def _use_reserve_if_unsettled(
        self, name: OrganisationName, now: float
    ) -> Permit | None:
        if self._is_failing or now < self._unsettled_until:
            return self.acquire_unanswered(name, now)
        return None

    def _defer_reserve(self, now: float) -> None:
        # Shares that this node holds may have saved up permits until they
        # expire, which are not counted beside a reserve.
        if self._ledger.part(now) > 0.0:
            self._reserve.defer(now + QUOTA_SHARE_TTL_S)

    def expected_extra(self, name: OrganisationName, now: float) -> int:
        """Return 0: permits that are not used would be missing elsewhere."""
        return 0

    def announcement_due(self, now: float) -> bool:
        """Return False: all nodes read in the store that limits exist."""
        return False
