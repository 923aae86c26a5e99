"""Hold the declared services and targets that an entry uses."""

from __future__ import annotations

from .. import logs
from ..configuration import declared
from ..configuration.feed import ConfigUpdate
from ..configuration.objects import decode_stored
from ..types import Revision
from ..types import TargetId


class Catalog:
    """Hold the services and targets of the newest configuration received.

    ready is False until the first update from the agent has been applied.
    """

    def __init__(self):
        self.revision = Revision(0)
        self.ready = False
        self.services: dict[str, declared.Service] = {}
        self.targets: dict[TargetId, declared.Target] = {}
        self.service_of: dict[TargetId, str] = {}

    def apply(self, update: ConfigUpdate) -> bool:
        """Apply an update if its revision is newer; return whether it is."""
        if self.ready and update.revision <= self.revision:
            return False
        self.revision = update.revision
        self.ready = True
        self.services = {}
        pools = []
        for stored in update.objects:
            match decode_stored(stored):
                case declared.Service() as service:
                    self.services[service.name] = service
                case declared.Pool() as pool:
                    pools.append(pool)
        pools = [p for p in pools if p.service in self.services]
        self.targets = {t.id: t for p in pools for t in p.targets}
        self.service_of = {t.id: p.service for p in pools for t in p.targets}
        logs.log_event('config_in_force', revision=self.revision)
        return True

    def confirm(self, revision: Revision) -> bool:
        """Record that the objects are still those in force at a revision.

        Return whether the revision is newer.
        """
        if not self.ready or revision <= self.revision:
            return False
        self.revision = revision
        return True
