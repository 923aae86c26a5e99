"""Publish to other nodes which targets have said that they are leaving.

Load pattern: the store is slow, down or refuses this node while targets are
replaced one after the other. A leaving target says so in each reply, but only
to the node that gets the reply. So that node publishes to all others that the
target is leaving.
"""

from __future__ import annotations

import typing

import msgspec

from ..messages import Rumor
from ..messages import Urgency
from ..types import TargetId
from .targets import DepartureSource
from .targets import TargetTable

TOPIC = 'leaving'
# Time until the rumor that a target is leaving expires. If it expired while
# the target still serves, nodes that join later would send requests to the
# target until the store or one of its replies says that it is leaving. 60 s is
# longer than a target goes on serving after it has said that it is leaving,
# and by the time the rumor expires the target's registration in the store says
# the same.
RUMOR_TTL_S = 60.0


class Departures:
    """Publish which targets are leaving, and apply other nodes' rumors of it.

    mark_leaving marks a target as leaving at this node and returns True if
    that was not known yet; a rumor is published only in that case.
    """

    def __init__(
        self,
        targets: TargetTable,
        mark_leaving: typing.Callable[[TargetId, DepartureSource, int], bool],
        publish: typing.Callable[[Rumor], None],
    ):
        self._targets = targets
        self._mark_leaving = mark_leaving
        self._publish = publish

    def on_leaving_reply(
        self, target_id: TargetId, source: DepartureSource
    ) -> None:
        """Record and publish that a target's reply said that it is leaving."""
        target = self._targets.get(target_id)
        started_ms = target.started_ms if target is not None else 0
        self.announce(target_id, source, started_ms)

    def announce(
        self, target_id: TargetId, source: DepartureSource, started_ms: int
    ) -> None:
        """Record and publish that the process of a target is leaving."""
        if self._mark_leaving(target_id, source, started_ms):
            self._publish(to_rumor(target_id, started_ms))

    def on_rumor(self, rumor: Rumor) -> None:
        """Mark the target that is named in another node's rumor as leaving."""
        started_ms = msgspec.msgpack.decode(rumor.body, type=int)
        self._mark_leaving(
            TargetId(rumor.key), DepartureSource.PEER, started_ms
        )


def to_rumor(target_id: TargetId, started_ms: int) -> Rumor:
    """Return the rumor that a target is leaving.

    The rumor holds only the target's id and start time, so all nodes that get
    such a reply of the target publish the same rumor.
    """
    body = msgspec.msgpack.encode(started_ms)
    version = max(started_ms, 1)
    return Rumor(
        TOPIC, target_id, version, body, RUMOR_TTL_S, Urgency.DECISION
    )
