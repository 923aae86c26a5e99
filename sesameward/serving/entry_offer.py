"""Decide whether a node is announced to callers.

A node that is not ready only because its reading of the store has stopped
stays announced while no other node is: old routes are better than none.
"""

from __future__ import annotations

import typing


class EntryOffer:
    """Hold whether this node is announced to callers."""

    def __init__(self):
        self.is_offered = False
        # Whether this node is announced though it is not ready, because no
        # other node was announced.
        self._is_last_resort = False

    def update(
        self,
        is_ready: bool,
        may_serve: bool,
        is_other_offered: typing.Callable[[], bool],
    ) -> bool:
        """Apply the node's state; return True if is_offered has changed.

        may_serve is True if the node could serve though it is not ready. Once
        it is announced as the last resort, it stays so until it is ready or
        can't serve any more, because nodes that all follow each other would be
        announced and withdrawn in turn.
        """
        if is_ready or not may_serve:
            self._is_last_resort = False
        elif not is_other_offered():
            self._is_last_resort = True
        was_offered = self.is_offered
        self.is_offered = is_ready or self._is_last_resort
        return self.is_offered != was_offered
