"""Pass updates of a copy of store objects on to their consumer."""

from __future__ import annotations

import collections.abc

from .. import logs
from ..messages import StoredObject
from ..metrics import Metrics
from .store_copy import Changed
from .store_copy import Restored
from .store_copy import Update

# Interval at which objects that failed are passed on again. The failure may
# have come from the moment, such as a lack of memory, and without this they
# would be missing until they change.
RETRY_INTERVAL_S = 5.0

OnUpdate = collections.abc.Callable[[Update], None]


class Delivery:
    """Pass updates on, so that an object that fails harms no others."""

    def __init__(self, kind: str, on_update: OnUpdate, metrics: Metrics):
        self._kind = kind
        self._on_update = on_update
        self._metrics = metrics
        self._failed: dict[str, StoredObject] = {}
        self._retry_at = 0.0

    def deliver(self, update: Changed | Restored) -> None:
        """Pass an update on; pass its objects one by one if that fails.

        The copy has the objects already, so those that failed are kept here.
        """
        if isinstance(update, Restored):
            self._failed.clear()
        for stored in update.objects:
            self._failed.pop(stored.name, None)
        if self._try(update):
            return
        for stored in update.objects:
            if not self._try(Changed([stored]), stored.name):
                self._failed[stored.name] = stored

    def retry(self, now: float) -> None:
        """Pass on again the objects that failed, in intervals."""
        if not self._failed or now < self._retry_at:
            return
        self._retry_at = now + RETRY_INTERVAL_S
        for stored in tuple(self._failed.values()):
            if self._try(Changed([stored]), stored.name):
                del self._failed[stored.name]

    def _try(self, update: Update, name: str | None = None) -> bool:
        try:
            self._on_update(update)
        except Exception as exc:
            self._metrics.count('updates_failed', type(exc).__name__)
            logs.log_event(
                'update_failed', kind=self._kind, object=name, error=repr(exc)
            )
            return False
        return True
