"""Decide whether this node has lost its connections to all targets.

This module does no I/O: the caller reports what it sees of connections, and
checks the targets that it is told to.

Load pattern: some nodes, also most of them or all of a zone, are cut off from
all targets for seconds, while callers and other nodes still reach them. Open
connections hang or are reset, and new ones hang or are refused. A node gets
only few requests a second, so it can't wait until many of them have failed.
Where only new connections are refused, open ones may live on. The node then
keeps to these, and asks other nodes to send to targets without one.

Load pattern: a target, a service or the targets of a zone crash, or packets
are lost. Other targets still accept connections then. So after a failure the
node counts as cut off only if targets of several services and zones accept no
connection either, and nothing was received from any target meanwhile.
"""

from __future__ import annotations

import enum
import math
import random
import typing

from ..types import TargetId
from ..types import ZoneName
from .targets import Target

# After a failure, this is the time in which another target may answer. Only if
# none does, targets are checked.
CHECK_DELAY_S = 0.03
# Numbers of targets that are checked one after the other; the second number
# only if none of the first accepts a connection. With a single target, each
# crash of a target could be taken for a cut.
CHECK_ROUNDS = (2, 4)
# Least time between two checks that are started by failures.
CHECK_INTERVAL_S = 0.5
# Number of targets that are checked at a time while the connections are lost.
CHECKED_WHILE_LOST = 2


class LinkState(enum.Enum):
    """States of a node's connections to all targets together.

    SUSPECTED: a connection failed, and nothing was received since. LOST: the
    targets that were then checked accept no connection either.
    """

    UP = 'up'
    SUSPECTED = 'suspected'
    LOST = 'lost'


class TargetLinks:
    """Judge this node's connections to targets from their failures.

    on_change is called when the connections are lost, with True, and when they
    are back, with False. The number is that of the seconds for which nothing
    had been received from any target, or for which they were lost. on_settled
    is called when a suspicion has ended, in either way. The owner sets
    has_open, which returns True if any connection is open.
    """

    def __init__(self, rng: random.Random | None = None):
        self.on_change: typing.Callable[[bool, float], None] = (
            lambda is_lost, for_s: None
        )
        self.on_settled: typing.Callable[[], None] = lambda: None
        self.has_open: typing.Callable[[], bool] = lambda: False
        self._rng = rng or random.Random(0)
        self._state = LinkState.UP
        self._last_contact_at = -math.inf
        self._silent_since = math.inf
        self._lost_at = math.inf
        self._checked_at = -math.inf
        self._round = 0
        self._open_checks = 0
        self._checked: set[TargetId] = set()
        # Whether an open connection has failed since the suspicion began, and
        # whether each checked target refused its connection.
        self._open_failed = False
        self._all_refused = True

    @property
    def state(self) -> LinkState:
        """Return what this node believes of its connections."""
        return self._state

    @property
    def is_lost(self) -> bool:
        """Return True if no target can be reached."""
        return self._state is LinkState.LOST

    @property
    def checked(self) -> list[TargetId]:
        """Return the targets that were checked for the last suspicion."""
        return sorted(self._checked)

    @property
    def is_doubtful(self) -> bool:
        """Return True if failures of targets are perhaps this node's own."""
        return self._state is not LinkState.UP

    def record_contact(self, now: float) -> None:
        """Record that a target replied or accepted a connection."""
        self._last_contact_at = now
        if self._state is LinkState.UP:
            return
        was_lost = self._state is LinkState.LOST
        self._state = LinkState.UP
        if was_lost:
            self.on_change(False, now - self._lost_at)
        else:
            self.on_settled()

    def record_failure(
        self, silent_since: float, now: float, was_open: bool = True
    ) -> bool:
        """Record a failure of a connection or a missing reply.

        silent_since is the time since when the target has sent nothing;
        was_open is False if the connection could not be opened. Return True if
        targets are to be checked after CHECK_DELAY_S.
        """
        self._open_failed |= was_open
        if (
            self._state is not LinkState.UP
            or self._last_contact_at > silent_since
            or now - self._checked_at < CHECK_INTERVAL_S
        ):
            return False
        self._state = LinkState.SUSPECTED
        self._silent_since = silent_since
        self._checked_at = now
        self._round = 0
        self._open_checks = 0
        self._checked.clear()
        self._open_failed = was_open
        self._all_refused = True
        return True

    def targets_to_check(
        self, targets: typing.Iterable[Target], now: float
    ) -> list[TargetId]:
        """Return the targets to which the caller shall open connections now.

        The list is empty unless connections are suspected or lost. After a
        connection that was accepted, or is refused by all targets in the list,
        record_contact() or check_failed() must be called.
        """
        match self._state:
            case LinkState.LOST:
                return _spread(targets, CHECKED_WHILE_LOST, (), self._rng)
            case LinkState.SUSPECTED if not self._open_checks:
                return self._start_round(targets, now)
            case _:
                return []

    def _start_round(
        self, targets: typing.Iterable[Target], now: float
    ) -> list[TargetId]:
        chosen = []
        if self._round < len(CHECK_ROUNDS):
            chosen = _spread(
                targets, CHECK_ROUNDS[self._round], self._checked, self._rng
            )
        self._round += 1
        self._open_checks = len(chosen)
        open_may_live = self._all_refused and not self._open_failed
        if chosen:
            self._checked.update(chosen)
        elif self._checked and not (open_may_live and self.has_open()):
            self._state = LinkState.LOST
            self._lost_at = now
            self.on_change(True, now - self._silent_since)
            self.on_settled()
        else:
            # Open connections are perhaps not affected, or no target is known.
            self._state = LinkState.UP
            self.on_settled()
        return chosen

    def check_failed(self, is_refusal: bool) -> bool:
        """Record that a checked target accepts no connection.

        is_refusal is False if it did not respond. Return True if all targets
        of the list were checked, and the next list shall be asked for at once.
        """
        if self._state is not LinkState.SUSPECTED or not self._open_checks:
            return False
        self._all_refused &= is_refusal
        self._open_checks -= 1
        return not self._open_checks

    def reset(self) -> None:
        """Forget a suspicion; the process was suspended meanwhile."""
        if self._state is LinkState.SUSPECTED:
            self._state = LinkState.UP
            self.on_settled()


def _spread(
    targets: typing.Iterable[Target],
    count: int,
    checked: typing.Collection[TargetId],
    rng: random.Random,
) -> list[TargetId]:
    """Choose targets at random, of as many zones and services as possible."""
    left = [one for one in targets if one.id not in checked]
    rng.shuffle(left)
    chosen: list[Target] = []
    seen_zones: dict[ZoneName, int] = {}
    seen_services: dict[str, int] = {}
    while left and len(chosen) < count:
        best = min(
            left,
            key=lambda one: (
                seen_services.get(one.service, 0),
                seen_zones.get(one.zone, 0),
            ),
        )
        left.remove(best)
        chosen.append(best)
        seen_zones[best.zone] = seen_zones.get(best.zone, 0) + 1
        seen_services[best.service] = seen_services.get(best.service, 0) + 1
    return [one.id for one in chosen]
