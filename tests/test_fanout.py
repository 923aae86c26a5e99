"""Test which sub-requests a query sends, retries, hedges and cancels."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sesameward.configuration import declared
from sesameward.messages import Record
from sesameward.messages import ShardReply
from sesameward.messages import TargetReply
from sesameward.routing.fanout import Cancel
from sesameward.routing.fanout import Count
from sesameward.routing.fanout import Emit
from sesameward.routing.fanout import Fanout
from sesameward.routing.fanout import FanoutRequest
from sesameward.routing.fanout import Finish
from sesameward.routing.fanout import Send
from sesameward.routing.snapshots import Group
from sesameward.routing.snapshots import Pin
from sesameward.types import AttemptId
from sesameward.types import MissingReason
from sesameward.types import Outcome
from sesameward.types import ShardId
from sesameward.types import Snapshot
from sesameward.types import TargetId

PINNED = Snapshot(7)
DEADLINE_S = 1.0
HEDGE_S = 0.1
SHARDS = [ShardId(f's{index}') for index in range(6)]
TARGETS = [TargetId(f't{index}') for index in range(6)]
FAILURES = [o for o in Outcome if o is not Outcome.OK]
NOT_RUN_REASONS = {'no_snapshot', 'draining', 'connect_failed'}


class Chooser:
    """Choose a random replica, or None with probability none_rate."""

    def __init__(self, rng, none_rate=0.0):
        self._rng = rng
        self._none_rate = none_rate

    def choose(self, candidates, now, avoid=()):
        remaining = [target for target in candidates if target not in avoid]
        if not remaining or self._rng.random() < self._none_rate:
            return None
        return self._rng.choice(remaining)

    def record_wait(self, target_id, waited_s, now):
        assert waited_s >= 0


class Budget:
    """Allow a fixed number of hedges and retries."""

    def __init__(self, tokens):
        self.tokens = tokens
        self.deposits = 0

    def deposit(self, target):
        self.deposits += 1

    def withdraw(self, target):
        if not self.tokens:
            return False
        self.tokens -= 1
        return True


class Hedges:
    """Hedge each attempt after a fixed delay, up to three times."""

    def delay_s(self, key, now, hedges, priority):
        return HEDGE_S if hedges < 3 else None


class FanoutCaller:
    """Call the methods of a fan-out and check the actions that it returns.

    Attempt identifiers must be unique, the records of each shard may be passed
    on only once, and no action may follow the end of the answer.
    """

    def __init__(self, tokens=3, seed=1, none_rate=0.0, lost=()):
        shards = tuple(declared.Shard(s, start=s, end=f'{s}~') for s in SHARDS)
        groups = tuple(
            Group(tuple(SHARDS[i : i + 2]), tuple(TARGETS[i : i + 2]))
            for i in (0, 2)
        )
        groups += (Group(tuple(SHARDS[4:5]), tuple(TARGETS)),)
        pin = Pin(
            declared.ShardMap(1, shards), PINNED, groups, tuple(SHARDS[5:])
        )
        self.budget = Budget(tokens)
        self.fanout = Fanout(
            FanoutRequest('r', 'trip-desk', pin, (1, 2), 0.0, DEADLINE_S),
            Chooser(random.Random(seed), none_rate),
            self.budget,
            Hedges(),
        )
        self.running: dict[AttemptId, Send] = {}
        self.ended: list[Send] = []
        self.merged: list[ShardId] = []
        self.extra_attempts = 0
        self.end = None

    def apply(self, actions):
        for action in actions:
            assert self.end is None, 'action after the end of the answer'
            match action:
                case Send(attempt):
                    assert attempt not in self.running
                    assert all(s.attempt != attempt for s in self.ended)
                    self.running[attempt] = action
                    if action.reason not in NOT_RUN_REASONS | {'first'}:
                        self.extra_attempts += 1
                case Cancel(attempt):
                    self.ended.append(self.running.pop(attempt))
                case Emit(rows):
                    assert rows.shard not in self.merged
                    self.merged.append(rows.shard)
                case Finish(end):
                    self.end = end
        return actions

    def start(self):
        return self.apply(self.fanout.start(0.0))

    def reply(self, attempt, now, snapshots=None, extra=(), omit=0):
        send = self.running.pop(attempt)
        self.ended.append(send)
        return self.apply(
            self.fanout.replied(
                attempt, make_reply(send, snapshots, extra, omit), now
            )
        )

    def fail(self, attempt, outcome, now):
        self.ended.append(self.running.pop(attempt))
        return self.apply(self.fanout.failed(attempt, outcome, now))

    def check_end(self):
        end = self.end
        assert end is not None
        assert not self.running
        missing = [m.shard for m in end.missing]
        assert end.answered == len(self.merged)
        assert end.asked == end.answered + len(missing) == len(SHARDS)
        assert sorted(self.merged + missing) == SHARDS
        assert end.complete is (not missing)


def make_reply(send, snapshots=None, extra=(), omit=0):
    shards = [
        ShardReply(
            shard,
            PINNED if snapshots is None else snapshots(shard),
            (Record(f'{shard}-1', 1),),
        )
        for shard in (*send.shards[omit:], *extra)
    ]
    return TargetReply(send.attempt, tuple(shards))


@st.composite
def drawn_event(draw):
    event = draw(
        st.sampled_from(
            ['reply', 'fail', 'late', 'without_snapshot', 'mixed', 'wait']
        )
    )
    return event, draw(st.integers(0, 9)), draw(st.sampled_from(FAILURES))


@given(
    st.lists(drawn_event(), max_size=40),
    st.integers(0, 4),
    st.integers(0, 2**32),
    st.sampled_from([0.0, 0.3]),
)
def test_every_history_keeps_the_promises(events, tokens, seed, none_rate):
    caller = FanoutCaller(tokens, seed, none_rate)
    caller.start()
    now = 0.0
    for event, choice, outcome in events:
        now += 0.01
        attempts = list(caller.running)
        if event == 'late' and caller.ended:
            old = caller.ended[choice % len(caller.ended)]
            late = caller.fanout.replied(old.attempt, make_reply(old), now)
            assert late == [Count('replies_dropped', 'unknown_attempt')]
        elif event == 'wait':
            now += choice * 0.05
            caller.apply(caller.fanout.due(now))
        elif caller.end is None and attempts:
            attempt = attempts[choice % len(attempts)]
            if event == 'fail':
                caller.fail(attempt, outcome, now)
            elif event == 'without_snapshot':
                caller.reply(attempt, now, lambda _: None)
            elif event == 'mixed':
                other = Snapshot(PINNED + choice % 2)
                caller.reply(
                    attempt, now, lambda _, s=other: s, SHARDS[:3], choice % 2
                )
            else:
                caller.reply(attempt, now)
        if caller.end is None:
            assert now < caller.fanout.next_due() or event != 'wait'
    caller.apply(caller.fanout.due(max(now, DEADLINE_S)))
    caller.check_end()
    assert caller.extra_attempts <= tokens
    assert caller.fanout.due(now + 9.0) == []


@pytest.fixture
def caller():
    """Return a fan-out that has sent its first attempts."""
    caller = FanoutCaller()
    caller.start()
    return caller


def test_first_attempts_go_out_once_for_each_target(caller):
    targets = [send.target for send in caller.running.values()]
    assert len(targets) == len(set(targets)) == caller.budget.deposits
    asked = sorted(s for send in caller.running.values() for s in send.shards)
    assert asked == SHARDS[:5]


def test_shard_without_replica_is_missing(caller):
    for attempt in list(caller.running):
        caller.reply(attempt, 0.01)
    caller.check_end()
    (missing,) = caller.end.missing
    assert missing.shard == SHARDS[5]
    assert missing.reason is MissingReason.NO_REPLICA


def test_other_snapshot_is_asked_for_elsewhere_and_never_merged(caller):
    attempt, send = next(iter(caller.running.items()))
    actions = caller.reply(attempt, 0.01, lambda _: Snapshot(PINNED + 1))
    assert not [a for a in actions if isinstance(a, Emit)]
    (retry,) = [a for a in actions if isinstance(a, Send)]
    assert retry.target != send.target
    assert retry.reason == 'no_snapshot'


def test_foreign_shard_and_wrong_attempt_change_nothing(caller):
    attempt, send = next(iter(caller.running.items()))
    forged = TargetReply(AttemptId('x'), make_reply(send).shards)
    assert caller.fanout.replied(attempt, forged, 0.01) == [
        Count('replies_dropped', 'unknown_attempt')
    ]
    foreign = [s for s in SHARDS if s not in send.shards][:2]
    actions = caller.reply(attempt, 0.01, extra=foreign)
    assert actions.count(Count('replies_dropped', 'foreign_shard')) == 2
    assert sorted(caller.merged) == sorted(send.shards)


def test_hedge_that_wins_cancels_the_first_attempt(caller):
    firsts = list(caller.running.values())
    sent = caller.apply(caller.fanout.due(HEDGE_S))
    hedge = next(a for a in sent if isinstance(a, Send))
    assert hedge.reason == 'hedge'
    first = next(s for s in firsts if set(s.shards) & set(hedge.shards))
    assert hedge.target != first.target
    actions = caller.reply(hedge.attempt, 0.2)
    if set(first.shards) <= set(hedge.shards):
        assert Cancel(first.attempt) in actions


def test_hedges_stay_within_the_budget():
    caller = FanoutCaller(tokens=0)
    caller.start()
    actions = caller.apply(caller.fanout.due(HEDGE_S))
    assert {type(a) for a in actions} == {Count}
    assert {a.name for a in actions} == {'hedges_refused'}


def test_first_attempts_are_held_until_release():
    caller = FanoutCaller()
    caller.apply(caller.fanout.start(0.0, one_first=True, broken=TARGETS[0]))
    (send,) = caller.running.values()
    assert set(SHARDS[2:4]) <= set(send.shards)
    assert caller.fanout.holds_back
    caller.apply(caller.fanout.release(0.01))
    assert not caller.fanout.holds_back
    for attempt in list(caller.running):
        caller.reply(attempt, 0.02)
    caller.check_end()


def test_stop_names_the_reason(caller):
    caller.apply(caller.fanout.stop(MissingReason.QUARANTINED, 0.1))
    caller.check_end()
    reasons = {m.reason for m in caller.end.missing}
    assert reasons == {MissingReason.QUARANTINED, MissingReason.NO_REPLICA}


def test_another_attempt_leads_when_the_first_found_no_replica():
    caller = FanoutCaller(tokens=0)
    caller.apply(caller.fanout.start(0.0, one_first=True, broken=TARGETS[0]))
    trials = 0
    while caller.running:
        (attempt,) = caller.running
        caller.fail(attempt, Outcome.CONNECT_FAILED, 0.01)
        trials += 1
    # After each failed trial the next one must be sent; otherwise the attempts
    # that are held back would wait until the deadline.
    caller.check_end()
    assert trials > 1
