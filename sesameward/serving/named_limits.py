"""Track which targets limit their request rate.

A target in need names in its replies how many requests per second it accepts
from all nodes together. Only the nodes that get its replies see that, so nodes
send this evidence to one coordinator, which decides when a limit has ended.
"""

from __future__ import annotations

import collections
import typing

from ..types import TargetId
from .limit_messages import LimitChange
from .limit_messages import LimitEvidence
from .targets import Target
from .targets import TargetTable

# A limit has ended once at least GIVE_UP_REPLIES replies in a row, and all
# replies of GIVE_UP_AFTER_S, did not name it. Some targets name their limit
# in only a part of their replies.
GIVE_UP_REPLIES = 5
GIVE_UP_AFTER_S = 4.0
# Interval at which a node reports that a target still names the same limit.
# It is a fraction of GIVE_UP_AFTER_S, so that the coordinator does not end a
# limit that other nodes still see.
STILL_NAMED_INTERVAL_S = 1.0
# Time for which the limit of a target without a registration is kept. The
# registration may come back, and the target's requests are then still limited.
ABSENT_KEEP_S = 60.0
# Largest number of ended limits that are remembered, so that other nodes can
# be told that they have ended.
MAX_ENDED = 1_000
# Evidence seems more recent than it is by the time that it was on its way. So
# it renews an ended limit only if it is more recent by more than this.
MAX_TRANSIT_S = 1.0
# Largest number of limits that are accepted from other nodes.
MAX_LIMITS = 10_000


class _NamedLimit:
    """Limit of one target; times are of this node's clock."""

    __slots__ = (
        'change_no',
        'is_reported',
        'limit',
        'named_at',
        'reported_at',
        'started_ms',
        'unnamed_count',
        'unreported_count',
    )

    def __init__(self, limit: float, started_ms: int, named_at: float):
        self.limit = limit
        self.started_ms = started_ms
        self.named_at = named_at
        self.change_no = 0
        self.is_reported = False
        self.reported_at = named_at
        self.unnamed_count = 0
        self.unreported_count = 0


class _EndedLimit(typing.NamedTuple):
    """End of a limit that a reply had last named at named_at."""

    change_no: int
    started_ms: int
    named_at: float


# Called with the target, its limit and the limit before; None means no limit.
OnLimitChange = typing.Callable[[TargetId, float | None, float | None], None]


class NamedLimits:
    """Hold the limits that targets name, and the evidence for them.

    on_change is called when a limit begins, changes or ends.
    """

    def __init__(self):
        self.on_change: OnLimitChange = lambda target_id, limit, before: None
        self.change_no = 0
        self._limits: dict[TargetId, _NamedLimit] = {}
        self._ended: collections.OrderedDict[TargetId, _EndedLimit] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._limits)

    def __iter__(self) -> typing.Iterator[TargetId]:
        return iter(tuple(self._limits))

    def get(self, target_id: TargetId) -> float | None:
        """Return a target's limit in requests per second, or None."""
        entry = self._limits.get(target_id)
        return entry.limit if entry is not None else None

    def named_age_s(self, target_id: TargetId, now: float) -> float | None:
        """Return the seconds since a reply last named a target's limit."""
        entry = self._limits.get(target_id)
        return now - entry.named_at if entry is not None else None

    def record_reply(
        self,
        target_id: TargetId,
        started_ms: int,
        limit: float | None,
        now: float,
    ) -> bool:
        """Record whether a reply named a limit; return True if it is new.

        A limit that differs from the one before is new as well.
        """
        entry = self._limits.get(target_id)
        if limit is None:
            if entry is not None:
                entry.unnamed_count += 1
                entry.unreported_count += 1
            return False
        is_new = entry is None or entry.limit != limit
        entry = self._set(target_id, started_ms, limit, now)
        entry.unnamed_count = 0
        entry.unreported_count = 0
        if is_new:
            entry.is_reported = False
        return is_new

    def on_target_added(self, target: Target) -> None:
        """Drop the limit of an earlier process of a registered target."""
        entry = self._limits.get(target.id)
        if entry is not None and 0 < entry.started_ms < target.started_ms:
            self._drop(target.id)

    def drop_absent(self, targets: TargetTable, now: float) -> None:
        """Drop the limits of targets that are no longer registered."""
        for target_id, entry in tuple(self._limits.items()):
            if (
                now - entry.named_at >= ABSENT_KEEP_S
                and targets.get(target_id) is None
            ):
                self._drop(target_id)

    def _drop(self, target_id: TargetId) -> None:
        entry = self._limits.pop(target_id)
        self.on_change(target_id, None, entry.limit)

    def end_unnamed(self, now: float) -> None:
        """End the limits that replies no longer name."""
        for target_id, entry in tuple(self._limits.items()):
            if (
                entry.unnamed_count >= GIVE_UP_REPLIES
                and now - entry.named_at >= GIVE_UP_AFTER_S
            ):
                self._end(target_id, entry)

    # Exchange with other nodes.

    def unreported(self, now: float) -> tuple[LimitEvidence, ...]:
        """Return the evidence since the last call of this method."""
        evidence = []
        for target_id, entry in self._limits.items():
            is_renewed = (
                entry.named_at > entry.reported_at
                and now - entry.reported_at >= STILL_NAMED_INTERVAL_S
            )
            if entry.is_reported and not (
                is_renewed or entry.unreported_count
            ):
                continue
            evidence.append(
                LimitEvidence(
                    target_id,
                    entry.started_ms,
                    entry.limit,
                    now - entry.named_at,
                    entry.unreported_count,
                )
            )
            entry.is_reported = True
            entry.reported_at = now
            entry.unreported_count = 0
        return tuple(evidence)

    def report_again(self) -> None:
        """Include all limits in the next evidence, for another coordinator."""
        for entry in self._limits.values():
            entry.is_reported = False

    def merge(
        self, evidence: typing.Iterable[LimitEvidence], now: float
    ) -> None:
        """Apply the evidence of another node; newer evidence wins."""
        for one in evidence:
            named_at = now - one.age_s
            entry = self._limits.get(one.target_id)
            if entry is None:
                ended = self._ended.get(one.target_id)
                if len(self._limits) >= MAX_LIMITS or (
                    ended is not None
                    and named_at < ended.named_at + MAX_TRANSIT_S
                ):
                    continue
                entry = self._set(
                    one.target_id, one.started_ms, one.limit, named_at
                )
            elif 0 < one.started_ms < entry.started_ms:
                continue
            elif named_at > entry.named_at:
                entry = self._set(
                    one.target_id, one.started_ms, one.limit, named_at
                )
                entry.unnamed_count = 0
            entry.unnamed_count += one.unnamed_replies

    def changes_since(self, change_no: int) -> tuple[LimitChange, ...]:
        """Return the changes after the one with this number."""
        changes = [
            LimitChange(target_id, entry.started_ms, entry.limit)
            for target_id, entry in self._limits.items()
            if entry.change_no > change_no
        ]
        changes += [
            LimitChange(target_id, ended.started_ms, None)
            for target_id, ended in self._ended.items()
            if ended.change_no > change_no
        ]
        return tuple(changes)

    def apply(
        self,
        changes: typing.Iterable[LimitChange],
        requested_at: float,
    ) -> None:
        """Apply changes that the coordinator decided.

        A limit that a reply named to this node after requested_at, when it
        called the coordinator, is newer and is kept.
        """
        for change in changes:
            entry = self._limits.get(change.target_id)
            if entry is not None and (
                entry.named_at > requested_at
                or 0 < change.started_ms < entry.started_ms
            ):
                continue
            if change.limit is not None:
                self._set(
                    change.target_id,
                    change.started_ms,
                    change.limit,
                    entry.named_at if entry is not None else requested_at,
                ).is_reported = True
            elif entry is not None:
                self._end(change.target_id, entry)

    def _set(
        self,
        target_id: TargetId,
        started_ms: int,
        limit: float,
        named_at: float,
    ) -> _NamedLimit:
        entry = self._limits.get(target_id)
        before = entry.limit if entry is not None else None
        if entry is None:
            entry = _NamedLimit(limit, started_ms, named_at)
            self._limits[target_id] = entry
            self._ended.pop(target_id, None)
        entry.limit = limit
        entry.named_at = max(named_at, entry.named_at)
        entry.started_ms = max(started_ms, entry.started_ms)
        if limit != before:
            self.change_no += 1
            entry.change_no = self.change_no
            self.on_change(target_id, limit, before)
        return entry

    def _end(self, target_id: TargetId, entry: _NamedLimit) -> None:
        del self._limits[target_id]
        self.change_no += 1
        self._ended[target_id] = _EndedLimit(
            self.change_no, entry.started_ms, entry.named_at
        )
        self._ended.move_to_end(target_id)
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)
        self.on_change(target_id, None, entry.limit)
