"""Keep to the request rates that targets name, together with all nodes.

Each request to a target that limits its rate needs a permit, whatever the
reason for the request. TargetLimits decides, without I/O, where permits come
from: from this node's ledger, if it has its share of the limits itself, or
from the coordinator to which it has entrusted the share.
"""

from __future__ import annotations

import collections
import enum
import math
import typing

import msgspec

from ..messages import Member
from ..types import NodeId
from ..types import TargetId
from .budget_window import SlidingCounter
from .coordinator_choice import CoordinatorChoice
from .coordinator_choice import Step
from .limit_messages import LimitAnswer
from .limit_messages import LimitChange
from .limit_messages import LimitEvidence
from .limit_messages import LimitRequest
from .limit_messages import PermitGrant
from .limit_messages import PermitRequest
from .named_limits import NamedLimits
from .named_limits import OnLimitChange
from .permit_ledger import Grant
from .permit_ledger import HeldShares
from .permit_ledger import PermitLedger
from .permit_ledger import SHARE_TTL_S

# Interval at which a node entrusts its share again while any target names a
# limit. Two attempts fit into SHARE_TTL_S.
ENTRUST_INTERVAL_S = 0.4
# A permit that is not used within this time has expired.
PERMIT_TTL_S = 0.5
# A target gets no requests for this time if the coordinator does not answer.
NO_ANSWER_WAIT_S = 0.1
# A node gets its whole share only this long after its start. Before that it
# may not know most of the other nodes.
FULL_SHARE_AFTER_S = 4.0
# The largest number of nodes that any node knows counts for this time.
NODES_KEEP_S = 30.0
# All nodes learn by rumor that targets name limits. The rumor is renewed
# every ANNOUNCE_INTERVAL_S.
ANNOUNCE_INTERVAL_S = 5.0
ANNOUNCEMENT_TTL_S = 15.0
# Window in which the requests to a target are counted to predict how many
# extra permits are needed.
DEMAND_WINDOW_S = 1.0


class Denial(enum.Enum):
    """Reason why this node has no permit for a request.

    REMOTE: the coordinator has to be asked for one. NONE_LEFT: none is left
    at the moment.
    """

    REMOTE = 'remote'
    NONE_LEFT = 'none_left'


class Permit(msgspec.Struct, frozen=True):
    """Allow one request to a target.

    expires_at is None if the target named no limit when it was taken.
    """

    target_id: TargetId
    expires_at: float | None = None


class Call(msgspec.Struct, frozen=True):
    """Order to send a request to the coordinator."""

    coordinator: NodeId
    request: LimitRequest
    at: float


class LimitSource(typing.Protocol):
    """Interface to the limits in force; None from get means no limit.

    The other methods exchange what is known of the limits with other nodes.
    """

    on_change: OnLimitChange

    @property
    def change_no(self) -> int:
        """Return the number of the last change."""

    def __len__(self) -> int:
        """Return the number of limits in force."""

    def get(self, target_id: TargetId) -> float | None:
        """Return the limit in requests per second, or None."""

    def end_unnamed(self, now: float) -> None:
        """End the limits that are no longer named."""

    def unreported(self, now: float) -> tuple[LimitEvidence, ...]:
        """Return the evidence since the last call of this method."""

    def report_again(self) -> None:
        """Include all limits in the next evidence."""

    def merge(
        self, evidence: typing.Iterable[LimitEvidence], now: float
    ) -> None:
        """Apply the evidence of another node."""

    def changes_since(self, change_no: int) -> tuple[LimitChange, ...]:
        """Return the changes after the one with this number."""

    def apply(
        self, changes: typing.Iterable[LimitChange], requested_at: float
    ) -> None:
        """Apply changes that the coordinator decided."""


class _RecentLargest:
    """Keep the largest of the numbers added within some time."""

    def __init__(self, keep_s: float):
        self._keep_s = keep_s
        self._largest = 0
        self._until = -math.inf

    def add(self, number: int, now: float) -> int:
        """Add a number; return the largest recent one."""
        if number >= self._largest or now >= self._until:
            self._largest = number
            self._until = now + self._keep_s
        return self._largest


class _TargetPermits:
    """Permits of this node for one target, and whether to ask for more."""

    __slots__ = ('demand', 'none_until', 'stock')

    def __init__(self):
        self.stock: collections.deque[float] = collections.deque()
        # For each priority: the time until which no permits are expected.
        self.none_until: dict[int, float] = {}
        self.demand = SlidingCounter(DEMAND_WINDOW_S)


class SharedLimits:
    """Take and grant permits for requests that shared limits apply to.

    named has the limits in force, each with an id, such as that of a target.
    If this node is the coordinator of others, answer() grants them permits.
    on_change is called when a limit begins, changes or ends.
    """

    def __init__(
        self,
        node: NodeId,
        origin: str,
        source: LimitSource,
        ledger: HeldShares,
        share_ttl_s: float,
        now: float,
    ):
        self.on_change: OnLimitChange = lambda target_id, limit, before: None
        self.named = source
        self.named.on_change = self._on_change
        self._node = node
        self._origin = origin
        self._started_at = now
        self._ledger = ledger
        self._targets: dict[TargetId, _TargetPermits] = {}
        self._nodes = 1
        # Largest numbers of nodes: as the callers of this node know it, and as
        # this node or its coordinator knew it lately.
        self._called_nodes = _RecentLargest(share_ttl_s)
        self._most_nodes = _RecentLargest(NODES_KEEP_S)
        self._is_stopping = False
        self._announced_until = -math.inf
        self._announce_at = -math.inf
        self.share_ttl_s = share_ttl_s
        self._choice = CoordinatorChoice(node, share_ttl_s)
        # Process of the coordinator, and the last change that it sent.
        self._seen: tuple[str, int] = ('', 0)

    def limit(self, target_id: TargetId) -> float | None:
        """Return a limit in requests per second, or None."""
        return self.named.get(target_id)

    @property
    def are_any(self) -> bool:
        """Return True if any limit is in force."""
        return bool(len(self.named))

    # Permits for this node's requests.

    def wait_s(self, target_id: TargetId, priority: int, now: float) -> float:
        """Return the seconds until a target may accept another request.

        The result is 0 if a permit is left or the coordinator can be asked.
        """
        if self.limit(target_id) is None:
            return 0.0
        state = self._targets.get(target_id)
        if state is None or _first_valid(state.stock, now):
            return 0.0
        waits_s = (
            until - now
            for level, until in state.none_until.items()
            if level <= priority
        )
        return max(0.0, max(waits_s, default=0.0))

    def is_limited(self, target_id: TargetId) -> bool:
        """Return True if requests need permits."""
        return self.limit(target_id) is not None

    def acquire(
        self, target_id: TargetId, priority: int, now: float
    ) -> Permit | Denial:
        """Acquire a permit for one request, before the request is sent."""
        limit = self.limit(target_id)
        if limit is None:
            return Permit(target_id)
        state = self._state(target_id)
        state.demand.add(now)
        if _first_valid(state.stock, now):
            return Permit(target_id, state.stock.popleft())
        if self.wait_s(target_id, priority, now) > 0.0:
            return Denial.NONE_LEFT
        if not self._choice.is_own:
            if self._choice.is_usable(now):
                return Denial.REMOTE
            self.record_none_left(target_id, priority, NO_ANSWER_WAIT_S, now)
            return Denial.NONE_LEFT
        grant = self._ledger.grant(
            target_id, limit, self._node, 1, 0, priority, now
        )
        if grant.permits:
            return Permit(target_id, now + PERMIT_TTL_S)
        self.record_none_left(target_id, priority, grant.wait_s, now)
        return Denial.NONE_LEFT

    def acquire_granted(
        self, target_id: TargetId, now: float
    ) -> Permit | None:
        """Acquire a permit after the coordinator has been asked for it."""
        if self.limit(target_id) is None:
            return Permit(target_id)
        stock = self._state(target_id).stock
        if not _first_valid(stock, now):
            return None
        return Permit(target_id, stock.popleft())

    def acquire_waited(
        self, target_id: TargetId, priority: int, now: float
    ) -> Permit | None:
        """Acquire a permit for a request that has waited for a coordinator."""
        permit = self.acquire_granted(target_id, now)
        if permit is None and self._choice.is_own:
            # This node has taken its share back meanwhile.
            taken = self.acquire(target_id, priority, now)
            permit = taken if isinstance(taken, Permit) else None
        return permit

    def acquire_unanswered(
        self, target_id: TargetId, now: float
    ) -> Permit | None:
        """Acquire a permit for a request while the coordinator is silent."""
        return None

    def is_valid(self, permit: Permit, now: float) -> bool:
        """Return True if a request may be sent with a permit now."""
        if self.limit(permit.target_id) is None:
            return True
        return permit.expires_at is not None and now < permit.expires_at

    def give_back(self, permit: Permit, now: float) -> None:
        """Keep a permit whose request was not sent for another request."""
        if (
            permit.expires_at is not None
            and now < permit.expires_at
            and self.limit(permit.target_id) is not None
        ):
            # It is older than the permits that are left.
            stock = self._state(permit.target_id).stock
            stock.appendleft(permit.expires_at)

    def record_none_left(
        self, target_id: TargetId, priority: int, wait_s: float, now: float
    ) -> None:
        """Record that permits of this and lower priorities are used up."""
        if self.limit(target_id) is not None:
            self._state(target_id).none_until[priority] = now + wait_s

    def _state(self, target_id: TargetId) -> _TargetPermits:
        state = self._targets.get(target_id)
        if state is None:
            state = self._targets[target_id] = _TargetPermits()
        return state

    def _on_change(
        self, target_id: TargetId, limit: float | None, before: float | None
    ) -> None:
        self._drop_permits(target_id)
        self.on_change(target_id, limit, before)

    def _drop_permits(self, target_id: TargetId) -> None:
        # Permits for a higher limit are void; after a lower one, there are
        # possibly more permits than before.
        self._targets.pop(target_id, None)
        if self.limit(target_id) is None:
            self._ledger.forget(target_id)

    # This node's share, and calls to the coordinator.

    @property
    def coordinator(self) -> NodeId:
        """Return the node that has this node's share of all limits."""
        return self._choice.holder

    def part(self, now: float) -> float:
        """Return the part of each limit that this node grants itself."""
        return self._ledger.part(now)

    def is_active(self, now: float) -> bool:
        """Return True if any target names a limit, as far as known."""
        return self.are_any or now < self._announced_until

    def set_nodes(self, nodes: int, now: float) -> None:
        """Set the number of nodes that this node knows."""
        self._nodes = nodes
        self._count_nodes(nodes, now)

    def _count_nodes(self, nodes: int, now: float) -> None:
        self._ledger.set_nodes(self._most_nodes.add(nodes, now))

    def stop(self) -> None:
        """Give the shares of other nodes back, because this node leaves."""
        self._is_stopping = True

    def close(self) -> None:
        """Grant no more permits from the shares of other nodes."""
        self._ledger.clear()

    def reset(self, now: float) -> None:
        """Drop all permits and shares, after this process was suspended."""
        self._targets.clear()
        self._ledger.clear()
        self._choice.reset(now)

    def next_call(
        self, members: typing.Sequence[Member], now: float
    ) -> Call | None:
        """Return the periodic call to the coordinator, if one is due."""
        step = self.choose_coordinator(members, now)
        if step is Step.WAIT:
            return None
        if not self._choice.is_own:
            return self._call((), now)
        self.named.end_unnamed(now)
        return None

    def choose_coordinator(
        self, members: typing.Sequence[Member], now: float
    ) -> Step:
        """Move this node's share if it must be elsewhere and can move."""
        holder = self._choice.holder
        step = self._choice.next_step(members, now)
        if self._choice.holder != holder:
            self._ledger.withdraw(self._node)
            self.named.report_again()
        if self._choice.is_own and step is not Step.WAIT:
            self._ledger.entrust(self._node, self._weight(now), now)
        return step

    def permit_call(
        self, needs: typing.Iterable[tuple[TargetId, int, int]], now: float
    ) -> Call | None:
        """Return a call that requests permits.

        Each item of needs is a target, a priority and a number of requests.
        None means that there is no coordinator to ask at the moment.
        """
        if not self._choice.is_usable(now):
            return None
        items = []
        for target_id, priority, needed in needs:
            limit = self.limit(target_id)
            if limit is None:
                continue
            extra = self.expected_extra(target_id, now)
            items.append(
                PermitRequest(target_id, priority, limit, needed, extra)
            )
        return self._call(tuple(items), now)

    def expected_extra(self, target_id: TargetId, now: float) -> int:
        """Return how many permits to ask for beyond those needed now."""
        # Half of what is sent while a permit is valid: less demand than
        # predicted would leave permits unused.
        demand = self._state(target_id).demand
        demand.trim(now)
        return int(demand.total * PERMIT_TTL_S / DEMAND_WINDOW_S / 2)

    def _call(
        self, permit_requests: tuple[PermitRequest, ...], now: float
    ) -> Call:
        self._choice.record_call(now)
        request = LimitRequest(
            self._node,
            self._weight(now),
            self._choice.is_withdrawing,
            self._nodes,
            *self._seen,
            self.named.unreported(now),
            permit_requests,
        )
        return Call(self._choice.holder, request, now)

    def _weight(self, now: float) -> float:
        return min(1.0, (now - self._started_at) / FULL_SHARE_AFTER_S)

    def on_answer(self, call: Call, answer: LimitAnswer, now: float) -> None:
        """Apply a coordinator's answer to a call of this node."""
        if call.coordinator == self._choice.holder:
            self._choice.record_answer(answer.is_held, now)
            if answer.origin != self._seen[0]:
                # Another process than before, which knows nothing yet.
                self.named.report_again()
            self._seen = answer.origin, answer.change_no
        self._count_nodes(answer.nodes, now)
        self.named.apply(answer.changes, call.at)
        needed = {
            (item.target_id, item.priority): item.needed
            for item in call.request.permit_requests
        }
        for grant in answer.grants:
            stock = self._state(grant.target_id).stock
            stock.extend([call.at + PERMIT_TTL_S] * grant.permits)
            key = grant.target_id, grant.priority
            if grant.permits < needed.get(key, 0):
                self.record_none_left(*key, grant.wait_s, now)

    def on_failure(self, call: Call, now: float) -> None:
        """Record that a coordinator did not answer a call."""
        self.named.report_again()
        for item in call.request.permit_requests:
            self.record_none_left(
                item.target_id, item.priority, NO_ANSWER_WAIT_S, now
            )
        if call.coordinator == self._choice.holder:
            self._choice.record_failure(now)

    def on_ended(self, call: Call, now: float) -> None:
        """Record proof that the called coordinator's process has ended.

        All shares and unused permits that it held have ended with it, so the
        share can be used at once. What it granted is from the past rate of the
        share, so no more than one bucket is granted in all.
        """
        self.named.report_again()
        if call.coordinator == self._choice.holder:
            self._choice.record_end(now)

    # As coordinator.

    def answer(self, request: LimitRequest, now: float) -> LimitAnswer:
        """Answer another node's request; grant it permits."""
        nodes = self._called_nodes.add(max(request.nodes, self._nodes), now)
        self._count_nodes(nodes, now)
        self.named.merge(request.evidence, now)
        is_held = not (request.is_last or self._is_stopping)
        if is_held:
            self._ledger.entrust(request.node, request.weight, now)
        else:
            self._ledger.withdraw(request.node)
        since = request.change_no if request.origin == self._origin else 0
        return LimitAnswer(
            is_held,
            nodes,
            self._origin,
            self.named.change_no,
            self.named.changes_since(since),
            tuple(
                self._grant(request.node, item, now)
                for item in request.permit_requests
            ),
        )

    def _grant(
        self, node: NodeId, item: PermitRequest, now: float
    ) -> PermitGrant:
        grant: Grant = self._ledger.grant(
            item.target_id,
            self._granted_limit(item),
            node,
            item.needed,
            item.extra,
            item.priority,
            now,
        )
        return PermitGrant(
            item.target_id, item.priority, grant.permits, grant.wait_s
        )

    def _granted_limit(self, item: PermitRequest) -> float:
        limit = self.limit(item.target_id)
        return item.limit if limit is None else limit

    # Announcement to all nodes.

    def announcement_due(self, now: float) -> bool:
        """Return True if this node must tell all others that limits exist."""
        if (
            not self._choice.is_own
            or not len(self.named)
            or now < self._announce_at
        ):
            return False
        self._announce_at = now + ANNOUNCE_INTERVAL_S
        return True

    def on_announcement(self, ttl_s: float, now: float) -> None:
        """Take part in keeping limits, as another node announced."""
        self._announced_until = max(self._announced_until, now + ttl_s)


class TargetLimits(SharedLimits):
    """Take and grant permits for requests to targets that limit their rate.

    named has the limits that replies of the targets name. Cold targets have
    limits as well, which each node knows by itself; follows_cold is False
    where no target ever counts as cold.
    """

    named: NamedLimits

    def __init__(self, node: NodeId, origin: str, now: float):
        super().__init__(
            node, origin, NamedLimits(), PermitLedger(), SHARE_TTL_S, now
        )
        self.follows_cold = False
        self._cold: dict[TargetId, float] = {}

    def limit(self, target_id: TargetId) -> float | None:
        """Return a target's limit in requests per second, or None.

        It is the lower one of the limit that the target names and the one that
        holds while it is cold.
        """
        named = self.named.get(target_id)
        cold = self._cold.get(target_id)
        if named is None or cold is None:
            return cold if named is None else named
        return min(named, cold)

    @property
    def are_any(self) -> bool:
        """Return True if any target limits its request rate."""
        return bool(self.named) or bool(self._cold)

    def set_cold_limit(self, target_id: TargetId, limit: float | None) -> None:
        """Set the limit of a cold target; None if it is warm."""
        if limit is None:
            self._cold.pop(target_id, None)
        else:
            self._cold[target_id] = limit
        self._drop_permits(target_id)

    def _granted_limit(self, item: PermitRequest) -> float:
        limit = self.limit(item.target_id)
        if limit is not None and self.follows_cold:
            # The other node may have read already that the target is cold.
            return min(limit, item.limit)
        return super()._granted_limit(item)

    def record_reply(
        self,
        target_id: TargetId,
        started_ms: int,
        limit: float | None,
        now: float,
    ) -> bool:
        """Record a reply; return True if the coordinator must know at once."""
        return self.named.record_reply(target_id, started_ms, limit, now)


def _first_valid(stock: collections.deque[float], now: float) -> bool:
    """Drop the expired permits; return True if any is left."""
    while stock and stock[0] <= now:
        stock.popleft()
    return bool(stock)
