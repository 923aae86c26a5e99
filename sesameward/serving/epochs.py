"""Order what nodes know of the store by its epoch, then by its revision.

The store may be restored from an older copy. Then its revisions go back and
are given out again for other changes, so a revision alone does not tell which
of two states is newer. Each restore raises the store's epoch.
"""

from __future__ import annotations

import enum

import msgspec

from ..types import Revision
from ..types import StoreEpoch

# Epoch of a store that has not named one yet.
FIRST_EPOCH = StoreEpoch(0)


class Position(msgspec.Struct, frozen=True):
    """Hold a revision of the store and the epoch in which it was given out.

    epoch is None if the store names none. is_epoch_valid is False if it named
    one that can't be read.
    """

    revision: Revision
    epoch: StoreEpoch | None = None
    is_epoch_valid: bool = True


class Order(enum.Enum):
    """Order of an epoch relative to the one that this node goes by."""

    EARLIER = 'earlier'
    SAME = 'same'
    LATER = 'later'


class EpochOrder:
    """Compare epochs with the latest one that this node has objects of.

    The store, or a node of an earlier release, may name no epoch. That counts
    as the same one, but no longer for nodes once this node has seen the store
    restored: the objects of such a node may be from before. A store that has
    never named one is in FIRST_EPOCH, so the first that it names is later.
    """

    def __init__(self):
        self.latest: StoreEpoch | None = None
        self.has_seen_restore = False

    def of_store(self, epoch: StoreEpoch | None) -> Order:
        """Return the order of an epoch that the store named."""
        if epoch == self.latest or epoch is None:
            return Order.SAME
        if self.latest is None or epoch > self.latest:
            return Order.LATER
        return Order.EARLIER

    def of_node(self, epoch: StoreEpoch | None) -> Order:
        """Return the order of an epoch that another node named."""
        if epoch is None and self.has_seen_restore:
            return Order.EARLIER
        return self.of_store(epoch)

    def record_read(self, position: Position) -> None:
        """Record that the store was read at a position of the same epoch."""
        if self.latest is None and position.is_epoch_valid:
            self.latest = FIRST_EPOCH

    def advance(self, epoch: StoreEpoch) -> None:
        """Go by a later epoch from now on."""
        if self.latest is not None:
            self.has_seen_restore = True
        self.latest = epoch
