"""Tell other nodes of targets that say that they leave.

Load pattern: the store is slow, down or turns this node away while targets
are replaced one after the other. Their own word comes with each answer, to
one node at a time.
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
# Longer than a target serves on after its word; the store names it by then.
TTL_S = 60.0


class Departures:
    """Pass on a target's word once, and take over what others pass on."""

    def __init__(
        self,
        targets: TargetTable,
        take: typing.Callable[[TargetId, Source, int], bool],
        publish: typing.Callable[[Rumor], None],
    ):
        self._targets = targets
        self._take = take
        self._publish = publish

    def told(self, target_id: TargetId, source: Source) -> None:
        """Take in a word that a target's answer carried."""
        target = self._targets.get(target_id)
        started_ms = target.started_ms if target is not None else 0
        if self._take(target_id, source, started_ms):
            self._publish(to_rumor(target_id, started_ms))

    def heard(self, rumor: Rumor) -> None:
        """Take over what another node says."""
        started_ms = msgspec.msgpack.decode(rumor.body, type=int)
        self._take(TargetId(rumor.key), Source.PEER, started_ms)


def to_rumor(target_id: TargetId, started_ms: int) -> Rumor:
    """Return the rumor that a target leaves; all nodes make the same."""
    body = msgspec.msgpack.encode(started_ms)
    version = max(started_ms, 1)
    return Rumor(TOPIC, target_id, version, body, TTL_S, Urgency.DECISION)
