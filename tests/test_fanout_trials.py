"""Test that a query on trial sends only one attempt at a time."""

from __future__ import annotations

import pytest

from sesameward.messages import ShardReply
from sesameward.messages import TargetReply
from sesameward.routing import fanout
from sesameward.routing.snapshots import Group
from sesameward.routing.snapshots import Pin
from sesameward.types import MissingReason
from sesameward.types import Outcome
from sesameward.types import RecordVersion
from sesameward.types import RequestId
from sesameward.types import ShardId
from sesameward.types import Snapshot
from sesameward.types import TargetId

SNAPSHOT = Snapshot(1)
DEADLINE_S = 9.0


class FirstReplica:
    """Choose the first replica and allow a hedge of each attempt after 1 s."""

    def choose(self, candidates, now, avoid=()):
        return next((c for c in candidates if c not in avoid), None)

    def deposit(self, target):
        pass

    def withdraw(self, target):
        return True

    def record_wait(self, target_id, waited_s, now):
        pass

    def delay_s(self, key, now, hedges, priority):
        return 1.0


@pytest.fixture
def query(service):
    """Return a fan-out over two shards with two replicas each."""
    groups = tuple(
        Group((ShardId(f's{i}'),), (TargetId(f't{i}a'), TargetId(f't{i}b')))
        for i in range(2)
    )
    pin = Pin(service.maps[0], SNAPSHOT, groups)
    req = fanout.FanoutRequest(
        RequestId('r'), 'trip-desk', pin, (RecordVersion(1),), 0.0, DEADLINE_S
    )
    return fanout.Fanout(req, FirstReplica(), FirstReplica(), FirstReplica())


def sends(actions):
    return [a for a in actions if isinstance(a, fanout.Send)]


def ends(actions):
    return [a.end for a in actions if isinstance(a, fanout.Finish)]


def reply_to(send):
    shards = tuple(ShardReply(shard, SNAPSHOT) for shard in send.shards)
    return TargetReply(send.attempt, shards)


def reply_ok(query, send, now):
    return query.replied(send.attempt, reply_to(send), now)


def test_nothing_leaves_after_a_break_until_it_is_admitted(query):
    first, second = sends(query.start(0.0))
    assert sends(query.pause(first.attempt, 0.1)) == []
    after_failure = query.failed(second.attempt, Outcome.CONNECT_FAILED, 0.2)
    assert sends(after_failure) == []
    assert sends(query.due(5.0)) == []
    (canary,) = sends(query.resume(5.1, first.target))
    # The canary must ask for the shard that has no replica on the crashed
    # target.
    assert canary.shards == second.shards
    assert sends(query.due(7.0)) == []
    assert not ends(reply_ok(query, canary, 7.1))
    (last,) = sends(query.release(7.1))
    (end,) = ends(reply_ok(query, last, 7.2))
    assert end.complete


def test_older_break_leaves_the_trial_alone(query):
    first, second = sends(query.start(0.0))
    query.pause(first.attempt, 0.1)
    (canary,) = sends(query.resume(0.2, None))
    query.pause(second.attempt, 0.3)
    assert query.trial == canary.attempt
    query.pause(canary.attempt, 0.4)
    assert query.trial is None


def test_lead_is_not_hedged_before_a_success(query):
    (trial,) = sends(query.start(0.0, one_first=True))
    assert sends(query.due(2.0)) == []
    (other,) = sends(query.release(2.1))
    assert sends(query.due(4.0)) == []
    reply_ok(query, other, 4.1)
    (hedge,) = sends(query.due(4.2))
    assert hedge.shards == trial.shards


def test_trial_without_a_verdict_is_followed_by_another(query):
    (trial,) = sends(query.start(0.0, one_first=True))
    actions = query.failed(trial.attempt, Outcome.CONNECT_FAILED, 0.1)
    (next_trial,) = sends(actions)
    assert query.trial == next_trial.attempt


@pytest.mark.parametrize(
    'reason, retry_after_s',
    [
        (MissingReason.QUARANTINED, 30.0),
        (MissingReason.OVERLOADED, 30.0),
        (MissingReason.NO_REPLICA, 30.0),
        (MissingReason.DEADLINE, None),
    ],
)
def test_end_tells_when_to_come_back(query, reason, retry_after_s):
    query.start(0.0)
    (end,) = ends(query.stop(reason, 1.0, 30.0))
    assert end.retry_after_s == retry_after_s


def test_without_a_known_time_the_end_tells_the_usual_one(query):
    query.start(0.0, one_first=True)
    (end,) = ends(query.stop(MissingReason.NO_REPLICA, 1.0))
    assert end.retry_after_s == fanout.DEFAULT_RETRY_AFTER_S
