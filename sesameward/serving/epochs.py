"""Order what nodes know of the store by its epoch, then by its revision.

The store may be restored from an older copy. Then its revisions go back and
are given out again for other changes, so a revision alone does not tell which
of two states is newer. Each restore raises the store's epoch.
"""

from __future__ import annotations

import msgspec

from ..types import Revision
from ..types import StoreEpoch


class Position(msgspec.Struct, frozen=True):
    """Hold a revision of the store and the epoch in which it was given out.

    epoch is None if the store names none. is_epoch_valid is False if it named
    one that can't be read.
    """

    revision: Revision
    epoch: StoreEpoch | None = None
    is_epoch_valid: bool = True
