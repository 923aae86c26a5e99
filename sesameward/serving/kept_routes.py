"""Keep routes in force while the store shows an older configuration.

Load pattern: the store was restored from a copy that lacks the newest
configurations, and the operator writes the last one again some seconds later.
Some nodes had it in force, some had an earlier one, some start meanwhile. All
must go by the newest version that any of them knows, not by the copy.
"""

from __future__ import annotations

import typing

import msgspec

from ..messages import Rumor
from ..messages import StoredObject
from ..messages import Urgency
from ..types import NodeId
from .routes import Version

TOPIC = 'kept_routes'
# Longer than a rumor takes to reach all nodes; a node that starts later pulls
# the kept routes itself.
RUMOR_TTL_S = 10.0


class KeptRoutes:
    """Compare the version in force with the one that the store shows.

    kind is that of the configuration object; publish sends a rumor to the
    other nodes.
    """

    def __init__(
        self,
        kind: str,
        node: NodeId,
        publish: typing.Callable[[Rumor], None],
    ):
        self._kind = kind
        self._node = node
        self._publish = publish
        self._in_force: StoredObject | None = None
        self._version: Version | None = None
        self._shown_version: Version | None = None

    def record_in_force(self, stored: StoredObject, version: Version) -> None:
        """Record the configuration object that is now in force."""
        self._in_force = stored
        self._version = version

    def record_shown(self, version: Version | None) -> None:
        """Record the version that the store has; None if it has none."""
        self._shown_version = version

    @property
    def is_store_behind(self) -> bool:
        """Return True if a newer version is in force than the store has."""
        if self._version is None:
            return False
        return self._shown_version is None or (
            self._version > self._shown_version
        )

    def objects(self) -> tuple[StoredObject, ...]:
        """Return the configuration object in force if the store lacks it."""
        return (self._in_force,) if self.is_store_behind else ()

    def in_force(self) -> tuple[StoredObject, ...]:
        """Return the configuration object in force, whatever the store has."""
        return () if self._in_force is None else (self._in_force,)

    def announce(self) -> None:
        """Publish which version this node has in force against the store."""
        if not self.is_store_behind:
            return
        self._publish(
            Rumor(
                TOPIC,
                self._kind,
                self._version,
                msgspec.msgpack.encode(self._node),
                RUMOR_TTL_S,
                Urgency.DECISION,
            )
        )

    def find_source(self, rumor: Rumor) -> NodeId | None:
        """Return the node that has a newer version than this one in force.

        rumor is what such a node has published.
        """
        if self._version is not None and rumor.version <= self._version:
            return None
        return msgspec.msgpack.decode(rumor.body, type=NodeId)
