"""Track which targets are cold, and the limits that hold meanwhile.

Load pattern: a target that has just started, or was not used for a time, is
slow until its caches are filled, and ends if it gets more than a certain rate
of requests. All nodes read from its registration that it is cold. Each of them
then has to keep the rate, together with all others, without being told by any
reply.
"""

from __future__ import annotations

import typing

from ..types import ServiceName
from ..types import TargetId
from .targets import Target

# Part of the allowed requests that is left for those that were admitted by
# nodes without a coordinator, and for one permit more of each bucket.
RESERVED_REQUESTS = 4.0
# Permits are used up to half a second after they were granted, and half a
# second's unused ones add up (permit_ledger.BURST_S), so that a limit allows
# about twice its rate in a single second.
RATE_IN_ONE_SECOND = 2.0


class _Registered(typing.NamedTuple):
    """What tells one writing of a registration from another."""

    started_ms: int
    seq: int
    warmup_s: float


class _ColdTarget:
    """Times, on this node's clock, until which a target is cold."""

    __slots__ = ('answered_until', 'registered', 'registered_until', 'service')

    def __init__(self, service: ServiceName):
        self.service = service
        self.registered: _Registered | None = None
        self.registered_until = 0.0
        self.answered_until = 0.0

    @property
    def until(self) -> float:
        return max(self.registered_until, self.answered_until)


OnColdChange = typing.Callable[[TargetId, float | None, float | None], None]


class ColdTargets:
    """Hold the cold targets of services that limit the rate meanwhile.

    overshoot and slack are those of the settings; without overshoot no target
    counts as cold. on_change is called with a target that becomes cold or
    warm, or whose limit changes, with its limit and the one before; None means
    that it is warm.
    """

    def __init__(self, overshoot: float | None = None, slack: float = 0.0):
        self.on_change: OnColdChange = lambda target_id, limit, before: None
        self._overshoot = overshoot
        self._slack = slack
        self._rates: dict[ServiceName, float] = {}
        self._targets: dict[TargetId, _ColdTarget] = {}
        self._limits: dict[TargetId, float] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def __contains__(self, target_id: TargetId) -> bool:
        return target_id in self._limits

    def left_s(self, target_id: TargetId, now: float) -> float:
        """Return for how many seconds a target still counts as cold."""
        if target_id not in self._limits:
            return 0.0
        return max(0.0, self._targets[target_id].until - now)

    def set_rates(self, rates: dict[ServiceName, float], now: float) -> None:
        """Set the rates that the cold targets of services may get.

        Targets of services without a rate don't count as cold.
        """
        if self._overshoot is None or rates == self._rates:
            return
        self._rates = rates
        for target_id in tuple(self._targets):
            self._update(target_id, now)

    def on_registered(self, target: Target, now: float) -> None:
        """Record a registration that was read from the store.

        The remaining time counts from when the registration was written, which
        this node does not know. So the target is cold for the whole time from
        now on. If the same registration is read again, from another node or a
        restored store, nothing changes; neither does one that is older.
        """
        if self._overshoot is None:
            return
        entry = self._targets.get(target.id)
        if entry is None:
            entry = self._targets[target.id] = _ColdTarget(target.service)
        written = _Registered(target.started_ms, target.seq, target.warmup_s)
        entry.service = target.service
        known = entry.registered
        is_older = (
            known is not None
            and written.started_ms == known.started_ms > 0
            and written.seq < known.seq
        )
        if written != known and not is_older:
            entry.registered = written
            entry.registered_until = now + target.warmup_s
        self._update(target.id, now)

    def on_answer(self, target: Target, warmup_s: float, now: float) -> None:
        """Record that an answer states how long its target stays cold."""
        if self._overshoot is None:
            return
        entry = self._targets.get(target.id)
        if entry is None:
            entry = self._targets[target.id] = _ColdTarget(target.service)
        entry.answered_until = now + warmup_s
        self._update(target.id, now)

    def forget(self, target_id: TargetId) -> None:
        """Drop a target that is no longer registered."""
        self._targets.pop(target_id, None)
        before = self._limits.pop(target_id, None)
        if before is not None:
            self.on_change(target_id, None, before)

    def settle(self, now: float) -> None:
        """End the cold state of the targets whose time is over."""
        for target_id in tuple(self._limits):
            self._update(target_id, now)

    def _update(self, target_id: TargetId, now: float) -> None:
        entry = self._targets[target_id]
        rate_per_s = self._rates.get(entry.service)
        before = self._limits.get(target_id)
        limit = None
        if rate_per_s is not None and now < entry.until:
            limit = self._limit(rate_per_s)
            self._limits[target_id] = limit
        else:
            self._limits.pop(target_id, None)
        if limit != before:
            self.on_change(target_id, limit, before)

    def _limit(self, rate_per_s: float) -> float:
        """Return the limit with which no second has too many requests."""
        allowed = rate_per_s * (self._overshoot or 1.0) + self._slack
        usable = (allowed - RESERVED_REQUESTS) / RATE_IN_ONE_SECOND
        return max(0.0, min(rate_per_s, usable))
