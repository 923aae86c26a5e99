"""Publish to other nodes which targets have stopped answering."""

from __future__ import annotations

import typing

import msgspec

from ..messages import Rumor
from ..types import Clock
from ..types import NodeId
from ..types import TargetId

TOPIC = 'silent'
RUMOR_TTL_S = 2.0
# Limit on the target ids in one rumor, so that the rumor stays within the size
# that gossip accepts.
MAX_TARGETS_PER_RUMOR = 24
# Least time between two rumors of a node; targets reported in between share
# the next one. The gossip's budget carries about four small rumors a second.
PUBLISH_INTERVAL_S = 0.3


class Silences:
    """Collect the targets that don't answer this node, and publish them.

    The rumors have versions beyond version, which must be higher than those of
    a former process of this node.
    """

    def __init__(
        self,
        node: NodeId,
        publish: typing.Callable[[Rumor], None],
        clock: Clock,
        version: int,
    ):
        self._key = node
        self._publish = publish
        self._clock = clock
        self._version = version
        self._reported: list[TargetId] = []
        self._last_published_at = -PUBLISH_INTERVAL_S

    def report(self, target_id: TargetId) -> None:
        """Add a silent target to the next rumor, unless the rumor is full."""
        if len(self._reported) < MAX_TARGETS_PER_RUMOR:
            self._reported.append(target_id)

    def drop_reported(self) -> None:
        """Forget reported targets: the cause was this node's own network."""
        self._reported = []

    def publish_reported(self) -> None:
        """Publish reported targets, at most once per PUBLISH_INTERVAL_S."""
        now = self._clock()
        if (
            not self._reported
            or now - self._last_published_at < PUBLISH_INTERVAL_S
        ):
            return
        self._last_published_at = now
        self._version += 1
        body = msgspec.msgpack.encode(self._reported)
        self._reported = []
        self._publish(
            Rumor(TOPIC, self._key, self._version, body, RUMOR_TTL_S)
        )


def targets_of_rumor(rumor: Rumor) -> list[TargetId]:
    """Return the ids of the silent targets that a rumor lists."""
    return msgspec.msgpack.decode(rumor.body, type=list[TargetId])
