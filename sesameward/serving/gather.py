"""Decide on one query over shards: whom to ask, when again, when to end.

Load pattern: one of many shards is late in most queries, since each replica
pauses at its own times. An answer without that shard is worth the square of
its coverage, one after the objective next to nothing; so a slow shard is
asked of its other replica while the repeat can still help, and just before
the objective passes the answer goes out with what is there, if that is
enough.

Load pattern: a query crashes each target that runs it, and its first attempt
goes to all shards at once. From the first break on nothing more is sent until
a target has answered. Where all of them broke, one target is asked alone.
"""

from __future__ import annotations

import enum
import math
import typing

import msgspec

from ..types import ServiceName
from ..types import TargetId
from .attempts import AttemptNo
from .attempts import End
from .attempts import Send
from .attempts import SURELY_NOT_RUN
from .attempts import View
from .attempts import Why
from .routes import Route
from .routes import Shards

# A shard is asked of a second replica once it is slower than this part of
# its route's sub-requests; at the budget of 0.2 repeats a request, half of
# that is left for replicas that pause or fail.
HEDGE_QUANTILE = 0.9
# Repeats kept back for shards that are overdue; a node's part of the slack
# alone is about eight.
HEDGE_RESERVE = 3.0
# Sub-requests that surely did not run may go out again this often.
MAX_NOT_RUN = 3
# Breaks after dispatch which suggest that the query itself crashes targets:
# so many, and more than this part of all that ended. Where a network or many
# targets lose answers, a good part of the others still comes back.
MAX_BREAKS = 3
BREAK_PART = 0.8
# Targets that a query on trial is sent to in turn until one answers it.
MAX_TRIES = 3
# Pause between looks at the shards that are still open.
LOOK_S = 0.004


class Ending(enum.Enum):
    """Say how a query ended."""

    WHOLE = 'whole'
    PARTIAL = 'partial'
    TOO_FEW = 'too_few'
    HOPELESS = 'hopeless'


class Finish(msgspec.Struct, frozen=True):
    """End the query; was_run tells whether any target may have run it.

    rest_s is when enough targets may be asked again, where they have said.
    """

    ending: Ending
    was_run: bool
    rest_s: float | None = None


Action = Send | Finish


class Trial(msgspec.Struct, frozen=True):
    """Ask one shard first; struck are those that lost targets before."""

    struck: frozenset[ServiceName]


class _Shard:
    __slots__ = ('asked', 'breaks', 'done', 'not_run', 'open')

    def __init__(self):
        self.asked: list[TargetId] = []
        self.open: dict[AttemptNo, tuple[TargetId, float]] = {}
        self.done = False
        self.not_run = 0
        self.breaks = 0


class Gather:
    """Hold the state of one query."""

    def __init__(
        self,
        route: Route,
        view: View,
        cutoff_at: float,
        deadline_at: float,
        trial: Trial | None = None,
    ):
        shards = typing.cast(Shards, route.destination)
        self._route = route
        self._services = shards.services
        self._needed = max(
            1, math.ceil(shards.min_coverage * len(shards.services) - 1e-9)
        )
        self._view = view
        self._cutoff_at = cutoff_at
        self._deadline_at = deadline_at
        self._shards = [_Shard() for _ in shards.services]
        self._attempts = 0
        self._answered = 0
        self._breaks = 0
        self._was_run = False
        self._finished = False
        self._trial = trial
        # The attempt that goes out alone after all others broke.
        self._probe: AttemptNo | None = None

    @property
    def on_trial(self) -> bool:
        """Tell whether only one shard may be asked for now."""
        return self._trial is not None

    @property
    def answered(self) -> int:
        """Return how many shards have answered."""
        return self._answered

    @property
    def finished(self) -> bool:
        """Tell whether the query has ended."""
        return self._finished

    def is_held(self, attempt: AttemptNo) -> bool:
        """Tell whether an attempt must not leave while it waits to be sent."""
        return self._suspects_crash() and attempt != self._probe

    def missing(self) -> list[int]:
        """Return the positions of the shards without an answer."""
        return [at for at, shard in enumerate(self._shards) if not shard.done]

    def start(self, now: float) -> list[Action]:
        """Ask one replica of each shard, unless too few could answer."""
        rests = [self._view.rest_s(one, now) for one in self._services]
        if rests.count(0.0) < self._needed:
            return self._finish(Ending.HOPELESS, self._rested_s(rests))
        for service in self._services:
            self._view.budget.requested(service, now)
        if self._trial is not None:
            return self._try_one(self._trial, now) or self._finish(
                Ending.HOPELESS
            )
        return self._ask_all(now)

    def _ask_all(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for at, shard in enumerate(self._shards):
            if not shard.asked:
                actions += self._send(at, Why.FIRST, now)
        return actions

    def _try_one(self, trial: Trial, now: float) -> list[Action]:
        """Ask one shard, if possible one that lost targets before."""
        order = sorted(
            range(len(self._shards)),
            key=lambda at: self._services[at] not in trial.struck,
        )
        for at in order:
            why = Why.RETRY_FAILED if self._shards[at].asked else Why.FIRST
            sent = self._send(at, why, now)
            if sent:
                return sent
        return []

    def replied(self, at: int, attempt: AttemptNo, now: float) -> list[Action]:
        """Take in a part; a second one of the same shard is not used."""
        shard = self._shards[at]
        shard.open.pop(attempt, None)
        self._was_run = True
        if self._finished or shard.done:
            return []
        shard.done = True
        self._answered += 1
        if self._trial is not None:
            self._trial = None
            return self._ask_all(now) + self._judge(now)
        if self._answered == 1 and self._breaks:
            return self._ask_held(now) + self._judge(now)
        return self._judge(now)

    def _ask_held(self, now: float) -> list[Action]:
        """Ask the shards that waited for the first answer."""
        actions: list[Action] = []
        for at, shard in enumerate(self._shards):
            if not shard.done and not shard.open:
                actions += self._ask_late(at, shard, now)
        return actions

    def uses(self, at: int) -> bool:
        """Tell whether a part of this shard is still wanted."""
        return not self._finished and not self._shards[at].done

    def failed(
        self, at: int, attempt: AttemptNo, end: End, now: float
    ) -> list[Action]:
        """Take in a failure; ask another replica where that may help."""
        shard = self._shards[at]
        shard.open.pop(attempt, None)
        if end in SURELY_NOT_RUN:
            shard.not_run += 1
        else:
            self._was_run = True
            shard.breaks += end is End.BROKEN
            self._breaks += end is End.BROKEN
        if self._finished or shard.done:
            return []
        if self._trial is not None:
            return self._fail_trial(self._trial, end, now)
        if self._suspects_crash():
            return self._ask_alone(now) or self._judge(now)
        if shard.open:
            return self._judge(now)
        sends = self._retry(at, end, now)
        return sends or self._judge(now)

    def _ask_alone(self, now: float) -> list[Action]:
        """Ask one target once all others broke, unless they were many."""
        if self._breaks >= MAX_BREAKS:
            return []
        if any(shard.open for shard in self._shards):
            return []
        for at, shard in enumerate(self._shards):
            if shard.not_run > MAX_NOT_RUN or not self._has_attempts(shard):
                continue
            self._probe = AttemptNo(self._attempts + 1)
            sent = self._send(at, Why.RETRY_FAILED, now)
            if sent:
                return sent
        return []

    def _fail_trial(self, trial: Trial, end: End, now: float) -> list[Action]:
        # A target that answers with a failure has not been crashed.
        if end is End.BROKEN or self._attempts >= MAX_TRIES:
            return self._finish(Ending.TOO_FEW)
        return self._try_one(trial, now) or self._finish(Ending.TOO_FEW)

    def tick(self, now: float) -> list[Action]:
        """Hedge shards that are late; end the query when its time is up."""
        if self._finished:
            return []
        if now >= self._deadline_at or (
            now >= self._cutoff_at and self._answered >= self._needed
        ):
            return self._finish(self._by_coverage())
        if self._trial is not None:
            return []
        actions: list[Action] = []
        hedge_s = self._view.choice.hedge_s(
            self._route.name, HEDGE_QUANTILE, now
        )
        for at, shard in enumerate(self._shards):
            if not shard.done:
                actions += self._hedge(at, shard, hedge_s, now)
        return actions

    def next_at(self, now: float) -> float:
        """Return when tick() should be called next."""
        if now < self._cutoff_at:
            return min(now + LOOK_S, self._cutoff_at, self._deadline_at)
        return min(now + LOOK_S, self._deadline_at)

    # Sending again.

    def _hedge(
        self, at: int, shard: _Shard, hedge_s: float, now: float
    ) -> list[Action]:
        if not shard.open:
            return self._ask_late(at, shard, now)
        if len(shard.open) != 1:
            return []
        if not self._may_run_again(shard):
            return []
        ((target_id, sent_at),) = shard.open.values()
        if self._view.choice.paused(target_id, now):
            why, reserve = Why.HEDGE_PAUSED, 0.0
        elif now - sent_at >= hedge_s:
            why, reserve = Why.HEDGE_SLOW, HEDGE_RESERVE
        else:
            return []
        return self._send(at, why, now, reserve)

    def _ask_late(self, at: int, shard: _Shard, now: float) -> list[Action]:
        """Ask a shard that had no replica or budget when it was its turn."""
        if shard.not_run > MAX_NOT_RUN or self._suspects_crash():
            return []
        if not shard.asked:
            return self._send(at, Why.FIRST, now)
        if not self._may_run_again(shard):
            return []
        return self._send(at, Why.RETRY_FAILED, now)

    def _retry(self, at: int, end: End, now: float) -> list[Action]:
        shard = self._shards[at]
        if shard.not_run > MAX_NOT_RUN or not self._may_run_again(shard):
            return []
        match end:
            case End.NOT_SENT:
                return self._send(at, Why.RETRY_NOT_SENT, now)
            case End.NOT_RUN | End.MISDIRECTED:
                return self._send(at, Why.RETRY_NOT_RUN, now)
            case _:
                return self._send(at, Why.RETRY_FAILED, now)

    def _seems_to_crash_targets(self) -> bool:
        ended = self._answered + self._breaks
        return self._breaks >= MAX_BREAKS and self._breaks > BREAK_PART * ended

    def _suspects_crash(self) -> bool:
        """Tell whether a target broke and none has run the query yet."""
        return self._breaks > 0 and self._answered == 0

    def _may_run_again(self, shard: _Shard) -> bool:
        if self._suspects_crash() or self._seems_to_crash_targets():
            return False
        return self._has_attempts(shard)

    def _has_attempts(self, shard: _Shard) -> bool:
        ran = len(shard.asked) - shard.not_run
        return ran < self._route.max_attempts

    def _send(
        self, at: int, why: Why, now: float, reserve: float = 0.0
    ) -> list[Action]:
        shard = self._shards[at]
        target_id = self._view.pick(
            self._services[at], shard.asked, why, now, reserve
        )
        if target_id is None:
            return []
        self._attempts += 1
        attempt = AttemptNo(self._attempts)
        shard.asked.append(target_id)
        shard.open[attempt] = target_id, now
        return [Send(at, attempt, target_id, why)]

    # The end.

    def _judge(self, now: float) -> list[Action]:
        if self._answered == len(self._shards):
            return self._finish(Ending.WHOLE)
        if now >= self._cutoff_at and self._answered >= self._needed:
            return self._finish(Ending.PARTIAL)
        if self._answered >= self._needed or now >= self._deadline_at:
            if not any(self._is_hopeful(shard) for shard in self._shards):
                return self._finish(self._by_coverage())
        elif not any(
            self._is_hopeful(shard) or self._may_be_asked(shard)
            for shard in self._shards
        ):
            return self._finish(self._by_coverage())
        return []

    def _is_hopeful(self, shard: _Shard) -> bool:
        return not shard.done and bool(shard.open)

    def _may_be_asked(self, shard: _Shard) -> bool:
        """Tell whether a shard may still get another sub-request."""
        return (
            not shard.done
            and shard.not_run <= MAX_NOT_RUN
            and self._may_run_again(shard)
        )

    def _by_coverage(self) -> Ending:
        if self._answered >= self._needed:
            return Ending.PARTIAL
        return Ending.TOO_FEW

    def _rested_s(self, rests: list[float | None]) -> float | None:
        """Return when enough shards may be asked; None if nobody knows."""
        known = sorted(rest for rest in rests if rest is not None)
        return known[self._needed - 1] if len(known) >= self._needed else None

    def _finish(
        self, ending: Ending, rest_s: float | None = None
    ) -> list[Action]:
        self._finished = True
        was_run = self._was_run or any(s.open for s in self._shards)
        return [Finish(ending, was_run, rest_s)]
