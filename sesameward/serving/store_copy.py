"""Copy the store's objects of one kind, from the store and from other nodes.

Load pattern: the store is restored from an older copy while nodes read it and
each other. Some nodes notice it first, answers from before arrive late, and
the store gives out the same revisions again for other changes. A node must
not go back to what was before the restore, and not miss what comes after it.
"""

from __future__ import annotations

import collections.abc

import msgspec

from ..configuration.objects import ObjectReplica
from ..messages import Delta
from ..messages import Digest
from ..messages import Pull
from ..messages import StoredObject
from ..metrics import Metrics
from ..types import NodeId
from ..types import Revision
from ..types import StoreEpoch
from .epochs import EpochOrder
from .epochs import Order
from .epochs import Position

Objects = collections.abc.Sequence[StoredObject]


class Reading(msgspec.Struct, frozen=True, array_like=True):
    """Body of the rumor that a node has just read the store.

    The node has all objects of one kind as of the revision in the field
    revision. Up to the later revision in the field through, the store had no
    further change of this kind. Both were given out in epoch.
    """

    node: NodeId
    revision: Revision
    through: Revision
    epoch: StoreEpoch | None = None


class Changed(msgspec.Struct, frozen=True):
    """Objects that were added, changed or deleted."""

    objects: list[StoredObject]


class Restored(msgspec.Struct, frozen=True):
    """All objects of a store that was restored from an older copy.

    Objects that this node knew before may be missing, or be older.
    """

    objects: list[StoredObject]


class Refused(msgspec.Struct, frozen=True):
    """Nothing changed: the objects are older than this node's, or unusable."""

    reason: str


Update = Changed | Restored | Refused


class StoreCopy:
    """Hold the objects of one kind as of a position, which never goes back.

    complete_through is the revision from which a watch continues; it may be
    later than that of the objects if the store had no change of this kind
    since. It is None until this node knows such a revision.
    """

    def __init__(self, kind: str, metrics: Metrics):
        self.kind = kind
        self.replica = self._empty_replica(metrics)
        self.complete_through: Revision | None = None
        self._metrics = metrics
        self._epochs = EpochOrder()
        # True after another node sent changes of a later epoch: they can't be
        # applied, so all objects of that epoch must be pulled.
        self._needs_all = False

    def _empty_replica(self, metrics: Metrics) -> ObjectReplica:
        return ObjectReplica(metrics, (self.kind,), lambda stored: None)

    @property
    def epoch(self) -> StoreEpoch | None:
        """Return the epoch of the objects, None if the store names none."""
        return self._epochs.latest

    def order(self, message: Reading | Pull | Delta) -> Order:
        """Return the order of the epoch in another node's message."""
        return self._epochs.of_node(message.epoch)

    def confirm(self, reading: Reading) -> bool:
        """Record through which revision a reading shows this to be complete.

        Return False if this copy is of another epoch, or lacks objects.
        """
        if (
            self.order(reading) is not Order.SAME
            or self.replica.revision < reading.revision
        ):
            return False
        self._complete(reading.through)
        return True

    def reading(self, node: NodeId) -> Reading:
        """Return what this node announces after it has read the store."""
        return Reading(
            node,
            self.replica.revision,
            self.complete_through or Revision(0),
            self.epoch,
        )

    # Updates from the store.

    def apply_list(self, position: Position, objects: Objects) -> Update:
        """Apply all objects of the store as of a position."""
        match self._epochs.of_store(position.epoch):
            case Order.EARLIER:
                return Refused('earlier_epoch')
            case Order.LATER:
                return self._begin_epoch(position, objects)
        if position.revision < self.replica.revision:
            return Refused('earlier_revision')
        self._epochs.record_read(position)
        changed = self.replica.replace(objects, position.revision)
        self._complete(position.revision)
        return Changed(changed)

    def apply_watch(
        self, since: Position, position: Position, events: Objects
    ) -> Update:
        """Apply the changes after since, which was this copy's position.

        If the store or this copy is of another epoch by now, they are not the
        changes after it, so the objects must be listed.
        """
        if since.epoch != self.epoch:
            return Refused('copy_of_later_epoch')
        match self._epochs.of_store(position.epoch):
            case Order.SAME:
                self._epochs.record_read(position)
                self._complete(position.revision)
                if not events:
                    return Changed([])
                newest = max(event.revision for event in events)
                return Changed(self.replica.apply(events, newest))
            case order:
                return Refused(f'{order.value}_epoch')

    def watch_position(self) -> Position | None:
        """Return the position from which a watch continues, if known."""
        if self.complete_through is None:
            return None
        return Position(self.complete_through, self.epoch)

    # Updates from other nodes.

    def pull_request(self, wants_kept: bool = False) -> Pull:
        """Return a request to another node for the objects that lack here."""
        return Pull(
            Digest(Revision(0)) if self._needs_all else self.replica.digest(),
            kind=self.kind,
            epoch=self.epoch,
            wants_kept=wants_kept,
        )

    def answer(self, request: Pull) -> Delta:
        """Answer another node's pull with the objects that it lacks."""
        digest = request.digest
        if self._epochs.of_node(request.epoch) is Order.EARLIER:
            digest = Digest(Revision(0))
        delta = self.replica.delta(digest, request.after)
        return msgspec.structs.replace(delta, epoch=self.epoch)

    def apply_delta(self, delta: Delta) -> Update:
        """Apply what another node answered to a pull."""
        match self._epochs.of_node(delta.epoch):
            case Order.EARLIER:
                return Refused('earlier_epoch')
            case Order.SAME:
                return Changed(self.replica.apply_delta(delta))
        if not delta.full:
            self._needs_all = True
            return Refused('part_of_later_epoch')
        position = Position(delta.revision, delta.epoch)
        return self._begin_epoch(position, delta.objects)

    def _begin_epoch(self, position: Position, objects: Objects) -> Update:
        before = self.replica
        self.replica = self._empty_replica(self._metrics)
        self.complete_through = position.revision
        self._needs_all = False
        self._epochs.advance(position.epoch)
        changed = self.replica.replace(objects, position.revision)
        return Restored(changed) if before.revision else Changed(changed)

    def _complete(self, through: Revision) -> None:
        self.complete_through = max(self.complete_through or 0, through)
