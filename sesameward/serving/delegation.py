"""Decide which sub-requests go through another node, a helper.

Load pattern: half of a query's shards have no replica in the zone of the node
that received the query, and each reply that crosses zones costs bytes and
latency. So a helper node, in the other zone, gets a batch of sub-requests. It
sends them to the targets of its zone over connections that are open already. A
query returns only the greatest records of all shards, so the helper node drops
records that can't be among these, and returns the rest in a few messages.

Load pattern: a node has lost its connections to all targets, while callers go
on sending it requests. All its sub-requests go through helper nodes then, also
to targets of its own zone and those of requests to a single target. Most nodes
may be cut off at the same time, or all of a zone. Its targets are then asked
by helper nodes of other zones. A helper node never passes a sub-request on to
another one.

Load pattern: nodes outnumber the connections that a target accepts. Most nodes
send to such a target through the same helper node, its relay, which has open
connections to it; see placement/relays.py.
"""

from __future__ import annotations

import typing

import msgspec

from .. import rendezvous
from ..messages import Member
from ..placement.relays import NO_RELAYS
from ..placement.relays import RelayPair
from ..placement.relays import RelayRole
from ..types import MemberState
from ..types import NodeId
from ..types import RequestId
from ..types import TargetId
from ..types import ZoneName
from .attempts import SubRequestFailure
from .routes import RouteName

BatchNo = typing.NewType('BatchNo', int)

# A helper node that has unfinished batches and has sent nothing for this long
# is assumed to be frozen or cut off. Slow targets are not the cause: single
# ones pause for up to 120 ms, but not all targets of a zone at once. A request
# to a single target may take longer, so the helper node acknowledges it.
HELPER_QUIET_AFTER_S = 0.06
# A node that can't send by itself and has no other helper node waits for this
# long, because nodes with a capped core stand still for up to 0.1 s at a time.
ONLY_HELPER_QUIET_AFTER_S = 0.2
# A helper node that was disconnected, sent nothing or can't reach targets gets
# no batch of sub-requests for this time, if there is any other way.
HELPER_RETRY_S = 1.0


class BatchItem(msgspec.Struct, frozen=True, array_like=True):
    """Sub-request to one target; the field no is its number in the batch."""

    no: int
    target_id: TargetId


class DelegatedBatch(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Message to a helper node: send one request to several targets.

    The field batch_no holds the number of this batch of sub-requests. Equal
    requests have the same subject and body, as in crashes.RequestIdentity;
    head holds those bytes of the request's head that are the same for all
    targets. The sender already has top_k records that are at least as great as
    the record in floor, so the helper node returns only greater ones. If
    may_filter is True, it also drops records that can't be among the top_k
    greatest of the batch. remaining_ms is the time until the deadline of the
    request, priority that of its route. If is_single is True, the request is
    not a query over shards, and the target's whole reply is returned; if
    runs_once is True, it must not run twice. If on_trial is True, the request
    is suspected of crashing targets. share_group is the organisation or route
    whose fair share of connections the request uses.
    """

    batch_no: BatchNo
    request_id: RequestId
    route: RouteName
    method: bytes
    subject: bytes
    head: bytes
    body: bytes
    remaining_ms: int
    top_k: int
    items: tuple[BatchItem, ...]
    may_filter: bool
    floor: bytes = b''
    priority: int = 0
    is_single: bool = False
    runs_once: bool = False
    on_trial: bool = False
    share_group: str = ''


class MarkSentElsewhere(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Message to a helper node: a sub-request was sent to another target too.

    The sender possibly uses the reply of that other target instead, so the
    helper node must not drop records of other sub-requests because this one
    has greater ones. For this one it returns all records that are greater than
    the record in floor.
    """

    batch_no: BatchNo
    no: int
    floor: bytes = b''


class CancelBatch(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Message to a helper node: a batch's results are no longer needed."""

    batch_no: BatchNo


class WholeReply(msgspec.Struct, frozen=True, array_like=True):
    """Complete reply of a target to a request that is not a query."""

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ItemResult(msgspec.Struct, frozen=True, array_like=True):
    """Result of one item, that is, of one sub-request of a batch.

    The field end says how the sub-request failed; None means that it
    succeeded. The field whole holds all records of the reply that are greater
    than the floor of the DelegatedBatch or MarkSentElsewhere. It is None if
    the helper node also dropped records that can't be among the greatest of
    the batch; those kept are then in BatchResults.records. The fields leaving
    and rest_s repeat what the reply said: that the target is shutting down,
    and for how long it wants no requests. no_permit_s is positive if nothing
    was sent because the target limits its request rate; it is the time for
    which the helper node expects no permit. no_links is True if nothing
    was sent because the helper node has probably lost its connections to all
    targets. reply is the target's reply if the batch is_single.
    """

    no: int
    end: SubRequestFailure | None
    signature: bytes = b''
    whole: bytes | None = None
    leaving: bool = False
    rest_s: float = 0.0
    no_permit_s: float = 0.0
    no_links: bool = False
    reply: WholeReply | None = None


class TargetNotice(msgspec.Struct, frozen=True, array_like=True):
    """What a target's reply said, although its result is no longer needed.

    The fields have the same meaning as those of ItemResult.
    """

    target_id: TargetId
    leaving: bool
    rest_s: float


class LoadFigures(msgspec.Struct, frozen=True, array_like=True):
    """Newest load report that a helper node has of one target.

    running and waiting are numbers of requests, pace is that of LoadReport,
    and age_ms is the time since the helper node received the report.
    """

    target_id: TargetId
    running: int
    waiting: int
    pace: int
    age_ms: int


class BatchResults(msgspec.Struct, frozen=True, array_like=True):
    """Message from a helper node: results of some sub-requests of a batch.

    The field ends holds one result for each of them. The field records holds
    the joined records of those sub-requests whose ItemResult has None in both
    end and whole. The field notices is about targets whose replies came after
    the batch was cancelled. A message with neither acknowledges the batch. The
    field figures is about the targets of the results, where they report their
    pace. Nodes of earlier releases don't know it.
    """

    batch_no: BatchNo
    item_results: tuple[ItemResult, ...]
    records: bytes = b''
    notices: tuple[TargetNotice, ...] = ()
    figures: tuple[LoadFigures, ...] = ()


HelperMessage = DelegatedBatch | MarkSentElsewhere | CancelBatch


def make_probe(batch_no: BatchNo) -> DelegatedBatch:
    """Return a batch without sub-requests, which shows if a node runs.

    Nodes of all releases acknowledge it at once.
    """
    return DelegatedBatch(
        batch_no,
        request_id=RequestId(''),
        route=RouteName(''),
        method=b'',
        subject=b'',
        head=b'',
        body=b'',
        remaining_ms=0,
        top_k=0,
        items=(),
        may_filter=False,
        is_single=True,
    )


class _Helper:
    """State of one helper node, which sends sub-requests for this node.

    The field open maps each unfinished batch of sub-requests to the time at
    which it was sent, awaited holds those that were not acknowledged. The
    helper node is left out until the time in lost_until. One that was found
    quiet has is_quiet set until its next message; until the times in
    quiet_until and no_links_until it gets a batch only if no other helper node
    is left. Then it gets one also while it is quiet, until wait_until.
    """

    __slots__ = (
        'awaited',
        'is_quiet',
        'last_message_at',
        'lost_until',
        'no_links_until',
        'open',
        'quiet_since',
        'quiet_until',
        'wait_until',
    )

    def __init__(self):
        self.open: dict[BatchNo, float] = {}
        self.awaited: dict[BatchNo, float] = {}
        self.last_message_at = 0.0
        self.lost_until = 0.0
        self.no_links_until = 0.0
        self.is_quiet = False
        self.quiet_since = 0.0
        self.quiet_until = 0.0
        self.wait_until = 0.0

    def silent_since(self) -> float | None:
        """Return since when a message is awaited, None if none is."""
        if not self.awaited:
            return None
        return max(next(iter(self.awaited.values())), self.last_message_at)

    def mark_quiet(self, since: float, now: float) -> None:
        """Record that the helper node has sent nothing since a time."""
        # One that has not been heard of since it was last found quiet is
        # probably frozen, so nothing more waits for it.
        self.wait_until = (
            now if self.is_quiet else since + ONLY_HELPER_QUIET_AFTER_S
        )
        self.is_quiet = True
        self.quiet_since = since
        self.quiet_until = now + HELPER_RETRY_S


class Delegation:
    """Choose helper nodes; avoid those that are silent or disconnected.

    A helper node sends batches of sub-requests to targets of its zone for this
    node. on_helper_quiet is called when one has sent nothing for too long and
    is avoided for HELPER_RETRY_S, on_helper_heard at its next message. Their
    arguments are the helper node and the seconds for which it sent nothing.
    """

    def __init__(self, node: NodeId, zone: ZoneName):
        self.on_helper_quiet: typing.Callable[[NodeId, float], None] = (
            lambda node, for_s: None
        )
        self.on_helper_heard: typing.Callable[[NodeId, float], None] = (
            lambda node, for_s: None
        )
        self._node = node
        self._zone = zone
        self._helpers: dict[NodeId, _Helper] = {}
        self._weights: dict[NodeId, int] = {}
        self._by_zone: dict[ZoneName, list[Member]] = {}
        self._by_node: dict[NodeId, Member] = {}
        # Nodes that leave help only as a last resort.
        self._leaving: list[Member] = []
        self._members: typing.Sequence[Member] = ()

    def set_members(self, members: typing.Sequence[Member]) -> None:
        """Replace the list of nodes from which helper nodes are chosen."""
        if members is self._members:
            return
        self._members = members
        self._by_zone = {}
        self._leaving = []
        for member in members:
            if (
                member.node == self._node
                or not member.reaches_targets
                or member.state is not MemberState.ALIVE
            ):
                continue
            if member.leaving:
                self._leaving.append(member)
            elif member.entries:
                self._by_zone.setdefault(member.zone, []).append(member)
        # Of helper nodes with equally many batches the first one is chosen. So
        # each node has an order of its own, which spreads the batches.
        for helpers in self._by_zone.values():
            helpers.sort(key=lambda member: self._weight(member.node))
        self._by_node = {
            member.node: member
            for helpers in self._by_zone.values()
            for member in helpers
        }
        known = {member.node for member in members}
        for node in self._helpers.keys() - known:
            del self._helpers[node]
        for node in self._weights.keys() - known:
            del self._weights[node]

    def _weight(self, node: NodeId) -> int:
        found = self._weights.get(node)
        if found is None:
            found = rendezvous.weight(self._node, node)
            self._weights[node] = found
        return found

    def zones(self) -> set[ZoneName]:
        """Return the other zones with a node that can be a helper node."""
        return self._by_zone.keys() - {self._zone}

    def has_helper(self, now: float) -> bool:
        """Return True if there is a helper node, also as a last resort."""
        return any(self._all_usable(now))

    def choose_relay(
        self, relays: RelayPair, zone: ZoneName, now: float
    ) -> tuple[RelayRole, Member | None]:
        """Return the node that sends to a target with relays, and its role.

        zone is the zone of the target. If neither relay is usable, it is any
        helper node of the zone. None means that this node sends by itself,
        because it is a relay of the target, or because no other node is left;
        the role is UNRELAYED in the latter case.
        """
        # This runs for each sub-request, and the first relay is mostly usable.
        first, second = relays
        if first == self._node:
            return RelayRole.FIRST, None
        member = self._usable_relay(first, now)
        if member is not None:
            return RelayRole.FIRST, member
        if second == self._node:
            return RelayRole.SECOND, None
        member = self._usable_relay(second, now)
        if member is not None:
            return RelayRole.SECOND, member
        member = self._least_busy((zone,), now)
        role = RelayRole.UNRELAYED if member is None else RelayRole.OTHER
        return role, member

    def _usable_relay(self, node: NodeId | None, now: float) -> Member | None:
        if node is None:
            return None
        member = self._by_node.get(node)
        if member is None:
            return None
        helper = self._helper_state(node)
        if now < helper.no_links_until or not self._is_usable(node, now):
            return None
        return member

    def helpers_to_connect(
        self, nodes: typing.Iterable[NodeId], now: float
    ) -> typing.Iterator[Member]:
        """Return those of some nodes to which a stream may be opened now."""
        for node in nodes:
            member = self._by_node.get(node)
            if member is not None and (
                now >= self._helper_state(node).lost_until
            ):
                yield member

    def choose_helper(
        self,
        zone: ZoneName,
        now: float,
        must_help: bool = False,
        relays: RelayPair = NO_RELAYS,
    ) -> Member | None:
        """Return the helper node in a zone with the fewest unfinished batches.

        None means that this node must send to the targets of the zone itself,
        because the zone is its own or has no usable helper node. If must_help
        is True, this node can't do so: a helper node of its own zone is then
        returned too, one of another zone, or, as a last resort, one that
        leaves, that has lately refused batches for want of connections, or
        that paused and has been heard of since. The target's relays are
        preferred to all of them.
        """
        if must_help:
            return (
                self._usable_relay(relays.first, now)
                or self._usable_relay(relays.second, now)
                or self._least_busy((zone,), now)
                or self._least_busy(self._zones_in_own_order(), now)
                or self._last_resort(now)
            )
        return None if zone == self._zone else self._least_busy((zone,), now)

    def _zones_in_own_order(self) -> list[ZoneName]:
        return sorted(
            self._by_zone, key=lambda zone: rendezvous.weight(self._node, zone)
        )

    def _least_busy(
        self, zones: typing.Iterable[ZoneName], now: float
    ) -> Member | None:
        return min(
            (
                member
                for member in self._usable(zones, now)
                if now >= self._helper_state(member.node).no_links_until
            ),
            key=lambda m: len(self._helper_state(m.node).open),
            default=None,
        )

    def _last_resort(self, now: float) -> Member | None:
        return min(
            self._all_usable(now),
            key=lambda m: self._last_resort_order(m.node),
            default=None,
        )

    def _last_resort_order(self, node: NodeId) -> tuple[bool, float]:
        helper = self._helper_state(node)
        return helper.is_quiet, helper.no_links_until

    def _all_usable(self, now: float) -> typing.Iterator[Member]:
        """Return the helper nodes, those that are a last resort included."""
        for members in (*self._by_zone.values(), self._leaving):
            for member in members:
                if self._is_last_resort(member.node, now):
                    yield member

    def _usable(
        self, zones: typing.Iterable[ZoneName], now: float
    ) -> typing.Iterator[Member]:
        for zone in zones:
            for member in self._by_zone.get(zone, ()):
                if self._is_usable(member.node, now):
                    yield member

    def batch_sent(self, node: NodeId, batch_no: BatchNo, now: float) -> None:
        """Record that a batch of sub-requests was sent to a helper node."""
        helper = self._helper_state(node)
        helper.open[batch_no] = helper.awaited[batch_no] = now

    def batch_acknowledged(self, node: NodeId, batch_no: BatchNo) -> None:
        """Record that a helper node has begun a batch that may take long."""
        self._helper_state(node).awaited.pop(batch_no, None)

    def message_received(self, node: NodeId, now: float) -> None:
        """Record that a helper node sent a message, so it is not frozen."""
        helper = self._helper_state(node)
        helper.last_message_at = now
        if helper.is_quiet:
            helper.is_quiet = False
            self.on_helper_heard(node, now - helper.quiet_since)

    def batch_ended(self, node: NodeId, batch_no: BatchNo) -> None:
        """Record that a helper node's batch will get no more results."""
        helper = self._helper_state(node)
        helper.open.pop(batch_no, None)
        helper.awaited.pop(batch_no, None)

    def connection_lost(self, node: NodeId, now: float) -> None:
        """Forget a helper node's open batches; avoid it for HELPER_RETRY_S."""
        helper = self._helper_state(node)
        helper.open.clear()
        helper.awaited.clear()
        helper.is_quiet = False
        helper.lost_until = now + HELPER_RETRY_S

    def record_no_links(self, node: NodeId, now: float) -> None:
        """Prefer others to a helper node that can't send, for HELPER_RETRY_S.

        Without this it would be preferred, because it refuses its batches at
        once and so has fewer unfinished ones than all others. It is perhaps
        only in doubt about its connections; if it has lost them, it says so in
        its member record soon.
        """
        self._helper_state(node).no_links_until = now + HELPER_RETRY_S

    def _helper_state(self, node: NodeId) -> _Helper:
        helper = self._helpers.get(node)
        if helper is None:
            helper = self._helpers[node] = _Helper()
        return helper

    def _is_usable(self, node: NodeId, now: float) -> bool:
        helper = self._helper_state(node)
        if now < helper.lost_until or now < helper.quiet_until:
            return False
        if not helper.awaited:
            return True
        self._check_quiet(node, helper, now)
        return now >= helper.quiet_until

    def _is_last_resort(self, node: NodeId, now: float) -> bool:
        helper = self._helper_state(node)
        if now < helper.lost_until:
            return False
        if now >= helper.quiet_until or not helper.is_quiet:
            self._check_quiet(node, helper, now)
        return (
            not helper.is_quiet
            or now >= helper.quiet_until
            or now < helper.wait_until
        )

    def _check_quiet(self, node: NodeId, helper: _Helper, now: float) -> None:
        since = helper.silent_since()
        if since is not None and now - since > HELPER_QUIET_AFTER_S:
            helper.mark_quiet(since, now)
            self.on_helper_quiet(node, now - since)
