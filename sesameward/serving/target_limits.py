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
from ..rendezvous import pick
from ..types import MemberState
from ..types import NodeId
from ..types import TargetId
from .budget_window import SlidingCounter
from .limit_messages import LimitAnswer
from .limit_messages import LimitRequest
from .limit_messages import PermitAsk
from .limit_messages import PermitGrant
from .named_limits import NamedLimits
from .named_limits import OnLimitChange
from .permit_ledger import Grant
from .permit_ledger import PermitLedger
from .permit_ledger import SHARE_TTL_S

# Interval at which a node entrusts its share again while any target names a
# limit. Two attempts fit into SHARE_TTL_S.
ENTRUST_INTERVAL_S = 0.4
# Time after which a call to the coordinator has failed. A request waits for
# its permit no longer than this.
CALL_TIMEOUT_S = 0.25
# A permit that is not used within this time has expired.
PERMIT_TTL_S = 0.5
# After this many failed calls in a row, another coordinator is taken for
# RETRY_BASE_S; the time doubles each time, up to RETRY_CAP_S.
MAX_FAILED_CALLS = 2
RETRY_BASE_S = 2.0
RETRY_CAP_S = 30.0
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
    """Result of an attempt to take a permit without one.

    ASK: the coordinator has to be asked. NONE_LEFT: no permit is to be had
    at the moment.
    """

    ASK = 'ask'
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


class TargetLimits:
    """Take and grant permits for requests to targets that limit their rate.

    named has the limits in force; on_change is called when one of them begins,
    changes or ends. If this node is the coordinator of others, answer() grants
    them permits.
    """

    def __init__(self, node: NodeId, origin: str, now: float):
        self.on_change: OnLimitChange = lambda target_id, limit, before: None
        self.named = NamedLimits()
        self.named.on_change = self._on_change
        self._node = node
        self._origin = origin
        self._started_at = now
        self._ledger = PermitLedger()
        self._targets: dict[TargetId, _TargetPermits] = {}
        self._nodes = 1
        # Largest numbers of nodes: as the callers of this node know it, and as
        # this node or its coordinator knew it lately.
        self._called_nodes = _RecentLargest(SHARE_TTL_S)
        self._most_nodes = _RecentLargest(NODES_KEEP_S)
        self._is_stopping = False
        self._announced_until = -math.inf
        self._announce_at = -math.inf
        # Which node has this node's share, and until when at the latest.
        self._holder = node
        self._entrusted_until = -math.inf
        self._seen: tuple[str, int] = ('', 0)
        self._failed_calls = 0
        self._retry_s: dict[NodeId, float] = {}
        self._unusable_until: dict[NodeId, float] = {}
        self._members: typing.Sequence[Member] | None = None
        self._known: set[NodeId] = set()
        self._order: list[NodeId] = [node]

    # Permits for this node's requests.

    def wait_s(self, target_id: TargetId, priority: int, now: float) -> float:
        """Return the seconds until a target may accept another request.

        The result is 0 if a permit is left or the coordinator can be asked.
        """
        if self.named.get(target_id) is None:
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

    def take(
        self, target_id: TargetId, priority: int, now: float
    ) -> Permit | Denial:
        """Take a permit for one request, before the request is sent."""
        limit = self.named.get(target_id)
        if limit is None:
            return Permit(target_id)
        state = self._state(target_id)
        state.demand.add(now)
        if _first_valid(state.stock, now):
            return Permit(target_id, state.stock.popleft())
        if self.wait_s(target_id, priority, now) > 0.0:
            return Denial.NONE_LEFT
        if self._holder != self._node:
            if self._is_usable(self._holder, now):
                return Denial.ASK
            self.record_none_left(target_id, priority, NO_ANSWER_WAIT_S, now)
            return Denial.NONE_LEFT
        grant = self._ledger.grant(
            target_id, limit, self._node, 1, 0, priority, now
        )
        if grant.permits:
            return Permit(target_id, now + PERMIT_TTL_S)
        self.record_none_left(target_id, priority, grant.wait_s, now)
        return Denial.NONE_LEFT

    def take_granted(self, target_id: TargetId, now: float) -> Permit | None:
        """Take a permit after the coordinator has been asked for it."""
        if self.named.get(target_id) is None:
            return Permit(target_id)
        stock = self._state(target_id).stock
        if not _first_valid(stock, now):
            return None
        return Permit(target_id, stock.popleft())

    def is_valid(self, permit: Permit, now: float) -> bool:
        """Return True if a request may be sent with a permit now."""
        if self.named.get(permit.target_id) is None:
            return True
        return permit.expires_at is not None and now < permit.expires_at

    def give_back(self, permit: Permit, now: float) -> None:
        """Keep a permit whose request was not sent for another request."""
        if permit.expires_at is not None and now < permit.expires_at:
            # It is older than the permits that are left.
            stock = self._state(permit.target_id).stock
            stock.appendleft(permit.expires_at)

    def record_none_left(
        self, target_id: TargetId, priority: int, wait_s: float, now: float
    ) -> None:
        """Record that permits of this and lower priorities are used up."""
        self._state(target_id).none_until[priority] = now + wait_s

    def _state(self, target_id: TargetId) -> _TargetPermits:
        state = self._targets.get(target_id)
        if state is None:
            state = self._targets[target_id] = _TargetPermits()
        return state

    # Evidence from replies.

    def record_reply(
        self,
        target_id: TargetId,
        started_ms: int,
        limit: float | None,
        now: float,
    ) -> bool:
        """Record a reply; return True if the coordinator must know at once."""
        return self.named.record_reply(target_id, started_ms, limit, now)

    def _on_change(
        self, target_id: TargetId, limit: float | None, before: float | None
    ) -> None:
        # Permits for a higher limit are void; after a lower one, there are
        # possibly more permits than before.
        self._targets.pop(target_id, None)
        if limit is None:
            self._ledger.forget(target_id)
        self.on_change(target_id, limit, before)

    # This node's share, and calls to the coordinator.

    @property
    def coordinator(self) -> NodeId:
        """Return the node that has this node's share of all limits."""
        return self._holder

    def part(self, now: float) -> float:
        """Return the part of each limit that this node grants itself."""
        return self._ledger.part(now)

    def is_active(self, now: float) -> bool:
        """Return True if any target names a limit, as far as known."""
        return bool(len(self.named)) or now < self._announced_until

    def set_nodes(self, nodes: int, now: float) -> None:
        """Set the number of nodes that this node knows."""
        self._nodes = nodes
        self._count_nodes(nodes, now)

    def _count_nodes(self, nodes: int, now: float) -> None:
        self._ledger.set_nodes(self._most_nodes.add(nodes, now))

    def stop(self) -> None:
        """Give the shares of other nodes back, because this node leaves."""
        self._is_stopping = True

    def reset(self, now: float) -> None:
        """Drop all permits and shares, after this process was suspended."""
        self._targets.clear()
        self._ledger.clear()
        if self._holder != self._node:
            self._entrusted_until = now + CALL_TIMEOUT_S + SHARE_TTL_S

    def next_call(
        self, members: typing.Sequence[Member], now: float
    ) -> Call | None:
        """Return the periodic call to the coordinator, if one is due.

        The node with the highest rendezvous weight is the coordinator. A
        share that another node may still use is not entrusted to a second
        one, nor used by this node.
        """
        preferred = self._preferred(members, now)
        if self._holder != preferred:
            if self._holder == self._node:
                self._ledger.take_back(self._node)
            elif self._is_usable(self._holder, now):
                return self._call((), now, is_last=True)
            elif now < self._entrusted_until:
                return None
            self._holder = preferred
            self._failed_calls = 0
            self.named.report_again()
        if self._holder == self._node:
            self._ledger.entrust(self._node, self._weight(now), now)
            self.named.end_unnamed(now)
            return None
        return self._call((), now)

    def ask_call(
        self, asks: typing.Iterable[tuple[TargetId, int, int]], now: float
    ) -> Call | None:
        """Return a call that asks for permits.

        Each item of asks is a target, a priority and a number of requests.
        None means that there is no coordinator to ask at the moment.
        """
        if self._holder == self._node or not self._is_usable(
            self._holder, now
        ):
            return None
        items = []
        for target_id, priority, needed in asks:
            limit = self.named.get(target_id)
            if limit is None:
                continue
            # Half of what is sent while a permit is valid: less demand than
            # predicted would leave permits unused.
            demand = self._state(target_id).demand
            demand.trim(now)
            expected = demand.total * PERMIT_TTL_S / DEMAND_WINDOW_S / 2
            items.append(
                PermitAsk(target_id, priority, limit, needed, int(expected))
            )
        return self._call(tuple(items), now)

    def _call(
        self, asks: tuple[PermitAsk, ...], now: float, is_last: bool = False
    ) -> Call:
        if not is_last:
            self._entrusted_until = now + CALL_TIMEOUT_S + SHARE_TTL_S
        request = LimitRequest(
            self._node,
            self._weight(now),
            is_last,
            self._nodes,
            *self._seen,
            self.named.unreported(now),
            asks,
        )
        return Call(self._holder, request, now)

    def _weight(self, now: float) -> float:
        return min(1.0, (now - self._started_at) / FULL_SHARE_AFTER_S)

    def on_answer(self, call: Call, answer: LimitAnswer, now: float) -> None:
        """Apply a coordinator's answer to a call of this node."""
        if call.coordinator == self._holder:
            self._failed_calls = 0
            if answer.is_held:
                self._retry_s.pop(self._holder, None)
            else:
                self._entrusted_until = now
                self._unusable_until[self._holder] = now + RETRY_BASE_S
            if answer.origin != self._seen[0]:
                # Another process than before, which knows nothing yet.
                self.named.report_again()
            self._seen = answer.origin, answer.change_no
        self._count_nodes(answer.nodes, now)
        self.named.apply(answer.changes, call.at)
        needed = {
            (ask.target_id, ask.priority): ask.needed
            for ask in call.request.asks
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
        for ask in call.request.asks:
            self.record_none_left(
                ask.target_id, ask.priority, NO_ANSWER_WAIT_S, now
            )
        if call.coordinator != self._holder:
            return
        self._failed_calls += 1
        if self._failed_calls >= MAX_FAILED_CALLS:
            retry_s = self._retry_s.get(self._holder, RETRY_BASE_S)
            self._retry_s[self._holder] = min(2 * retry_s, RETRY_CAP_S)
            self._unusable_until[self._holder] = now + retry_s

    def _preferred(
        self, members: typing.Sequence[Member], now: float
    ) -> NodeId:
        if members is not self._members:
            self._members = members
            alive = {
                member.node
                for member in members
                if member.state is MemberState.ALIVE and not member.leaving
            }
            known = alive | {self._node}
            self._order = pick('limits', known, len(known))
            self._known = {member.node for member in members}
            for node in self._unusable_until.keys() - self._known:
                del self._unusable_until[node]
                self._retry_s.pop(node, None)
        for node in self._order:
            if node == self._node or self._is_usable(node, now):
                return node
        return self._node

    def _is_usable(self, node: NodeId, now: float) -> bool:
        return node in self._known and now >= self._unusable_until.get(
            node, -math.inf
        )

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
            self._ledger.take_back(request.node)
        since = request.change_no if request.origin == self._origin else 0
        return LimitAnswer(
            is_held,
            nodes,
            self._origin,
            self.named.change_no,
            self.named.changes_since(since),
            tuple(self._grant(request.node, ask, now) for ask in request.asks),
        )

    def _grant(self, node: NodeId, ask: PermitAsk, now: float) -> PermitGrant:
        limit = self.named.get(ask.target_id)
        grant: Grant = self._ledger.grant(
            ask.target_id,
            ask.limit if limit is None else limit,
            node,
            ask.needed,
            ask.extra,
            ask.priority,
            now,
        )
        return PermitGrant(
            ask.target_id, ask.priority, grant.permits, grant.wait_s
        )

    # Announcement to all nodes.

    def announcement_due(self, now: float) -> bool:
        """Return True if this node must tell all others that limits exist."""
        if (
            self._holder != self._node
            or not len(self.named)
            or now < self._announce_at
        ):
            return False
        self._announce_at = now + ANNOUNCE_INTERVAL_S
        return True

    def on_announcement(self, ttl_s: float, now: float) -> None:
        """Take part in keeping limits, as another node announced."""
        self._announced_until = max(self._announced_until, now + ttl_s)


def _first_valid(stock: collections.deque[float], now: float) -> bool:
    """Drop the expired permits; return True if any is left."""
    while stock and stock[0] <= now:
        stock.popleft()
    return bool(stock)
