"""Pass updates of a copy of store objects on to their consumer."""

from __future__ import annotations

import collections.abc

from .. import logs
from ..metrics import Metrics
from .store_copy import Changed
from .store_copy import Restored
from .store_copy import Update

OnUpdate = collections.abc.Callable[[Update], None]


class Delivery:
    """Pass updates on, so that an object that fails harms no others."""

    def __init__(self, kind: str, on_update: OnUpdate, metrics: Metrics):
        self._kind = kind
        self._on_update = on_update
        self._metrics = metrics

    def deliver(self, update: Changed | Restored) -> None:
        """Pass an update on; pass its objects one by one if that fails.

        The copy has the objects already, so none would be passed on later.
        """
        if self._try(update):
            return
        for stored in update.objects:
            self._try(Changed([stored]), stored.name)

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
