"""Keep which targets asked for no requests while they are not registered.

Load pattern: a target asks with Retry-After for no requests for a minute, and
its registration is gone for some seconds, because the store or the link to it
fails. The target still wants no requests once it is registered again.
"""

from __future__ import annotations

import collections
import typing

from ..types import TargetId
from .targets import Target

# Number of targets that are remembered. If there are more, those that were
# dropped longest ago are forgotten.
MAX_KEPT = 10_000


class _Rest(typing.NamedTuple):
    """Until when the process that started at started_ms wants no requests."""

    started_ms: int
    until: float


class KeptRests:
    """Hold until when targets that were dropped want no requests."""

    def __init__(self):
        self._rests: collections.OrderedDict[TargetId, _Rest] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._rests)

    def keep(self, target: Target, until: float, now: float) -> None:
        """Record that a target is dropped; it wants no requests until then."""
        if until <= now:
            return
        self._drop_ended(now)
        self._rests[target.id] = _Rest(target.started_ms, until)
        self._rests.move_to_end(target.id)
        if len(self._rests) > MAX_KEPT:
            self._rests.popitem(last=False)

    def take(self, target: Target, now: float) -> float:
        """Return for how long a target that is back still wants no requests.

        This is 0 for a later process, which did not ask for it.
        """
        rest = self._rests.pop(target.id, None)
        if rest is None or rest.started_ms != target.started_ms:
            return 0.0
        return max(0.0, rest.until - now)

    def _drop_ended(self, now: float) -> None:
        while self._rests:
            target_id, rest = next(iter(self._rests.items()))
            if rest.until > now:
                return
            del self._rests[target_id]
