"""Publish to other nodes which targets have said that they are leaving.

Load pattern: the store is slow, down or refuses this node while targets are
replaced one after the other. A leaving target says so in each reply, but only
the node that gets the reply learns of it.
"""

from __future__ import annotations

import typing

import msgspec

from ..messages import Rumor
from ..messages import Urgency
from ..types import TargetId
from .targets import Source
from .targets import TargetTable

TOPIC = 'leaving'
# Longer than a target goes on serving after it said that it is leaving; by
# then its registration in the store says so as well.
RUMOR_TTL_S = 60.0


class Departures:
    """Publish that a target is leaving, and apply what others publish.

    mark_leaving records it at this node and returns whether it is new; only
    then a rumor is published.
    """

    def __init__(
        self,
        targets: TargetTable,
        mark_leaving: typing.Callable[[TargetId, Source, int], bool],
        publish: typing.Callable[[Rumor], None],
    ):
        self._targets = targets
        self._mark_leaving = mark_leaving
        self._publish = publish

    def on_leaving_reply(self, target_id: TargetId, source: Source) -> None:
        """Handle a target's reply that said the target is leaving."""
        target = self._targets.get(target_id)
        started_ms = target.started_ms if target is not None else 0
        if self._mark_leaving(target_id, source, started_ms):
            self._publish(to_rumor(target_id, started_ms))

    def on_rumor(self, rumor: Rumor) -> None:
        """Mark the target as leaving that another node's rumor names."""
        started_ms = msgspec.msgpack.decode(rumor.body, type=int)
        self._mark_leaving(TargetId(rumor.key), Source.PEER, started_ms)


def to_rumor(target_id: TargetId, started_ms: int) -> Rumor:
    """Return the rumor that a target is leaving.

    It depends only on the target and its start time, so all nodes that learn
    it from the target publish the same rumor.
    """
    body = msgspec.msgpack.encode(started_ms)
    version = max(started_ms, 1)
    return Rumor(
        TOPIC, target_id, version, body, RUMOR_TTL_S, Urgency.DECISION
    )
