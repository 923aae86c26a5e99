"""Log when the store is lost, back or restored, as one mirror sees it."""

from __future__ import annotations

from .. import logs
from ..exceptions import PlatformError
from ..metrics import Metrics
from ..types import Revision
from ..types import StoreEpoch
from .epochs import Position


class StoreLog:
    """Log changes of what a mirror's calls show of the store."""

    def __init__(self, kind: str, metrics: Metrics):
        self._kind = kind
        self._metrics = metrics
        self._is_lost = False
        self._epoch: StoreEpoch | None = None
        self._is_epoch_readable = True

    def record_call(
        self, exc: PlatformError | None, read_age_s: float | None
    ) -> None:
        """Record how a call ended; read_age_s is the age of the objects."""
        if (exc is not None) == self._is_lost:
            return
        self._is_lost = exc is not None
        logs.log_event(
            'store_lost' if self._is_lost else 'store_back',
            kind=self._kind,
            read_age_s=read_age_s,
            error=str(exc) if exc is not None else None,
        )

    def record_position(
        self, position: Position, own_revision: Revision
    ) -> None:
        """Record the position that an answer of the store names."""
        if position.is_epoch_valid != self._is_epoch_readable:
            self._is_epoch_readable = position.is_epoch_valid
            logs.log_event(
                'store_epoch_readable'
                if position.is_epoch_valid
                else 'store_epoch_unreadable',
                kind=self._kind,
            )
        if not position.is_epoch_valid:
            self._metrics.count('store_epochs_unreadable')
        if position.epoch != self._epoch:
            logs.log_event(
                'store_epoch',
                kind=self._kind,
                before=self._epoch,
                epoch=position.epoch,
                revision=position.revision,
                own_revision=own_revision,
            )
            self._epoch = position.epoch
