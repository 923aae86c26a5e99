"""Decide which sub-requests go through a node in the target's zone.

Load pattern: half of a query's shards have no replica in the zone of the
node that received the query, and each reply that crosses zones costs bytes
and latency. So a node in the other zone, the helper, gets a batch of
sub-requests. It sends them to the targets of its zone over connections that
are open already, drops the records that can't be among the greatest, and
returns the rest in a few messages.
"""

from __future__ import annotations

import typing

import msgspec

from ..messages import Member
from ..types import MemberState
from ..types import NodeId
from ..types import RequestId
from ..types import TargetId
from ..types import ZoneName
from .attempts import End
from .routes import RouteName

AskNo = typing.NewType('AskNo', int)

# A helper that has unfinished batches and has sent nothing for this long is
# assumed to be frozen or cut off: single targets pause for up to 120 ms, but
# not all targets of a zone at once.
HELPER_QUIET_AFTER_S = 0.06
# A helper that was disconnected or quiet is used again after this time.
HELPER_RETRY_S = 1.0


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One sub-request of a batch; no is its number within the batch."""

    no: int
    target_id: TargetId


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Message to a helper: send one request to several targets.

    ask is the number of this batch on its stream. subject and body identify
    equal requests, as in crashes.Identity; head holds the request's bytes
    that are the same for all targets. The sender doesn't need records up to
    floor. With may_filter the helper may also drop records that can't be
    among the top_k greatest of the batch.
    """

    ask: AskNo
    request_id: RequestId
    route: RouteName
    method: bytes
    subject: bytes
    head: bytes
    body: bytes
    remaining_ms: int
    top_k: int
    items: tuple[Item, ...]
    may_filter: bool
    floor: bytes = b''


class Mark(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Message to a helper: an item was also sent to another target.

    The sender may use that target's reply instead, so the helper must not
    drop records of other items because this item has greater ones.
    """

    ask: AskNo
    no: int
    floor: bytes = b''


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Message to a helper: the results of a batch are no longer needed."""

    ask: AskNo


class PartEnd(msgspec.Struct, frozen=True, array_like=True):
    """Result of one item; end is None if its target replied.

    whole holds the item's records above the floor, or None if they are among
    Parts.records. leaving and rest_s repeat what the target's reply said:
    that it is shutting down, and for how long it wants no requests.
    """

    no: int
    end: End | None
    signature: bytes = b''
    whole: bytes | None = None
    leaving: bool = False
    rest_s: float = 0.0


class Parts(msgspec.Struct, frozen=True, array_like=True):
    """Message from a helper: the results of some items of a batch.

    records holds the filtered records of all items whose whole is None.
    """

    ask: AskNo
    ends: tuple[PartEnd, ...]
    records: bytes = b''


HelperMessage = Ask | Mark | Cancel


class _Helper:
    """State of one helper; open maps unfinished batches to sending times."""

    __slots__ = ('last_message_at', 'open', 'unusable_until')

    def __init__(self):
        self.open: dict[AskNo, float] = {}
        self.last_message_at = 0.0
        self.unusable_until = 0.0


class Delegation:
    """Choose helpers, and stop using those that are quiet or disconnected.

    on_helper_quiet is called with the node and the seconds of silence when a
    helper is left out because it sent nothing.
    """

    def __init__(self, node: NodeId, zone: ZoneName):
        self.on_helper_quiet: typing.Callable[[NodeId, float], None] = (
            lambda node, for_s: None
        )
        self._node = node
        self._zone = zone
        self._helpers: dict[NodeId, _Helper] = {}
        self._by_zone: dict[ZoneName, list[Member]] = {}
        self._members: typing.Sequence[Member] = ()

    def set_members(self, members: typing.Sequence[Member]) -> None:
        """Replace the list of members from which helpers are chosen."""
        if members is self._members:
            return
        self._members = members
        self._by_zone = {}
        for member in members:
            if (
                member.node != self._node
                and member.zone != self._zone
                and member.entries
                and not member.leaving
                and member.state is MemberState.ALIVE
            ):
                self._by_zone.setdefault(member.zone, []).append(member)
        known = {member.node for member in members}
        for node in self._helpers.keys() - known:
            del self._helpers[node]

    def zones(self) -> set[ZoneName]:
        """Return the other zones that have a node which can be a helper."""
        return set(self._by_zone)

    def helper(self, zone: ZoneName, now: float) -> Member | None:
        """Return the helper in a zone with the fewest unfinished batches.

        None means that targets of the zone must be asked directly: it is
        this node's own zone, or it has no usable helper.
        """
        if zone == self._zone:
            return None
        usable_members = [
            member
            for member in self._by_zone.get(zone, ())
            if self._is_usable(member.node, now)
        ]
        if not usable_members:
            return None
        return min(
            usable_members,
            key=lambda m: len(self._helper_state(m.node).open),
        )

    def batch_sent(self, node: NodeId, batch_no: AskNo, now: float) -> None:
        """Record that a batch was sent to a helper."""
        self._helper_state(node).open[batch_no] = now

    def message_received(self, node: NodeId, now: float) -> None:
        """Record that a message of any batch came from a helper."""
        self._helper_state(node).last_message_at = now

    def batch_ended(self, node: NodeId, batch_no: AskNo) -> None:
        """Record that no more results of a batch are expected."""
        self._helper_state(node).open.pop(batch_no, None)

    def connection_lost(self, node: NodeId, now: float) -> None:
        """Drop a helper's batches and don't use it for HELPER_RETRY_S."""
        helper = self._helper_state(node)
        helper.open.clear()
        helper.unusable_until = now + HELPER_RETRY_S

    def _helper_state(self, node: NodeId) -> _Helper:
        helper = self._helpers.get(node)
        if helper is None:
            helper = self._helpers[node] = _Helper()
        return helper

    def _is_usable(self, node: NodeId, now: float) -> bool:
        helper = self._helper_state(node)
        if now < helper.unusable_until:
            return False
        if not helper.open:
            return True
        oldest_sent_at = next(iter(helper.open.values()))
        quiet_s = now - max(oldest_sent_at, helper.last_message_at)
        if quiet_s > HELPER_QUIET_AFTER_S:
            helper.unusable_until = now + HELPER_RETRY_S
            self.on_helper_quiet(node, quiet_s)
            return False
        return True
