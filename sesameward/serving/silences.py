"""Tell other nodes of targets that answer nothing."""

from __future__ import annotations

import typing

import msgspec

from ..messages import Rumor
from ..types import Clock
from ..types import NodeId
from ..types import TargetId

TOPIC = 'silent'
TTL_S = 2.0
# As many ids as fit a rumor beside its other fields.
MAX_TOLD = 24
# Silences within this time share a rumor; the gossip's budget carries about
# four small rumors a second.
TELL_GAP_S = 0.3


class Silences:
    """Gather what this node notices and pass on what others tell."""

    def __init__(
        self,
        node: NodeId,
        publish: typing.Callable[[Rumor], None],
        clock: Clock,
    ):
        self._key = node
        self._publish = publish
        self._clock = clock
        self._version = int(clock() * 1_000)
        self._noted: list[TargetId] = []
        self._told_at = 0.0

    def note(self, target_id: TargetId) -> None:
        """Take in that a target answered nothing."""
        if len(self._noted) < MAX_TOLD:
            self._noted.append(target_id)

    def tell(self) -> None:
        """Spread what was noted, not too often."""
        now = self._clock()
        if not self._noted or now - self._told_at < TELL_GAP_S:
            return
        self._told_at = now
        self._version += 1
        body = msgspec.msgpack.encode(self._noted)
        self._noted = []
        self._publish(Rumor(TOPIC, self._key, self._version, body, TTL_S))


def read(rumor: Rumor) -> list[TargetId]:
    """Return the targets that a rumor tells of."""
    return msgspec.msgpack.decode(rumor.body, type=list[TargetId])
