"""Test the choice of replicas."""

from __future__ import annotations

import collections
import random

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from sesameward.configuration import declared
from sesameward.messages import LoadReport
from sesameward.routing.replicas import ReplicaChooser
from sesameward.types import Outcome
from sesameward.types import ShardId
from sesameward.types import TargetId
from sesameward.types import ZoneName

HOME = ZoneName('a')
IDS = [TargetId(f't{index}') for index in range(4)]


def target(index: int, zone: str = 'a', slots: int = 2) -> declared.Target:
    return declared.Target(
        id=TargetId(f't{index}'),
        host='127.0.0.1',
        port=9_000 + index,
        zone=ZoneName(zone),
        shards=(ShardId('s0'),),
        slots=slots,
    )


def picks(chooser, now, count=400, ids=IDS, avoid=()):
    return collections.Counter(
        chooser.choose(ids, now, avoid) for _ in range(count)
    )


def serve(chooser, one, latency_s, now, count=30, outcome=Outcome.OK):
    for _ in range(count):
        chooser.started(one, now)
        chooser.finished(one, outcome, latency_s, now)


@pytest.fixture
def chooser():
    """Return a chooser with four targets in its zone."""
    chooser = ReplicaChooser(HOME, random.Random(1))
    for index in range(4):
        chooser.declare(target(index))
    for one in IDS:
        serve(chooser, one, 0.01, 0.0)
    return chooser


def test_equals_share_the_work(chooser):
    assert min(picks(chooser, 0.0).values()) > 60


def test_no_candidate_gives_none(chooser):
    assert chooser.choose([], 0.0) is None
    assert chooser.choose([TargetId('unknown')], 0.0) is None
    assert chooser.choose(IDS[:1], 0.0, avoid=IDS[:1]) is None


def test_avoided_targets_are_never_chosen(chooser):
    assert set(picks(chooser, 0.0, avoid=IDS[:3])) == {IDS[3]}


def test_busy_target_is_left_alone(chooser):
    for _ in range(6):
        chooser.started(IDS[0], 0.0)
    assert chooser.in_flight(IDS[0]) == 6
    assert IDS[0] not in picks(chooser, 0.0)


def test_more_slots_take_more_work():
    chooser = ReplicaChooser(HOME, random.Random(1))
    chooser.declare(target(0, slots=2))
    chooser.declare(target(1, slots=8))
    for _ in range(50):
        chooser.started(chooser.choose(IDS[:2], 0.0), 0.0)
    assert chooser.in_flight(IDS[1]) == pytest.approx(40, abs=3)


def test_report_counts_while_fresh(chooser):
    chooser.reported(IDS[0], LoadReport(in_flight=2, queued=6), 0.0)
    assert IDS[0] not in picks(chooser, 0.0)
    assert picks(chooser, 60.0)[IDS[0]] > 20


def test_idle_report_is_not_believed_against_latency(chooser):
    serve(chooser, IDS[0], 0.05, 1.0)
    chooser.reported(IDS[0], LoadReport(), 1.0)
    assert IDS[0] not in picks(chooser, 1.0)


def test_slow_target_is_tried_again_later(chooser):
    serve(chooser, IDS[0], 0.05, 1.0)
    assert IDS[0] not in picks(chooser, 1.0)
    chosen = set()
    for step in range(600):
        now = 1.0 + step / 10
        one = chooser.choose(IDS, now)
        chosen.add(one)
        serve(chooser, one, 0.01, now, count=1)
    assert IDS[0] in chosen


def test_cancelled_trial_confirms_a_slow_target(chooser):
    serve(chooser, IDS[0], 0.05, 1.0)
    for one in IDS[1:]:
        serve(chooser, one, 0.01, 3.0)
    serve(chooser, IDS[0], 0.04, 3.0, 1, Outcome.CANCELLED)
    for one in IDS[1:]:
        serve(chooser, one, 0.01, 5.0)
    assert IDS[0] not in picks(chooser, 5.0)


def test_same_zone_goes_first_unless_slower():
    chooser = ReplicaChooser(HOME, random.Random(1))
    for index, zone in enumerate('aabb'):
        chooser.declare(target(index, zone))
    for one in IDS:
        serve(chooser, one, 0.01, 0.0)
    assert set(picks(chooser, 0.0)) == set(IDS[:2])
    for one in IDS[:2]:
        serve(chooser, one, 0.1, 0.0)
    assert set(picks(chooser, 0.0)) == set(IDS[2:])


def test_cold_target_ramps_up(chooser):
    chooser.reported(IDS[0], LoadReport(cold=True), 0.0)
    serve(chooser, IDS[0], 0.01, 0.0)
    assert picks(chooser, 0.1)[IDS[0]] == 0
    assert picks(chooser, 30.0)[IDS[0]] > 60


def test_draining_target_gets_nothing(chooser):
    chooser.reported(IDS[0], LoadReport(draining=True), 0.0)
    chooser.started(IDS[1], 0.0)
    chooser.finished(IDS[1], Outcome.DRAINING, 0.001, 0.0)
    assert set(picks(chooser, 0.0)) == set(IDS[2:])
    assert chooser.choose(IDS[:2], 0.0) is None


def test_late_report_does_not_undo_a_drain(chooser):
    chooser.started(IDS[0], 1.0)
    chooser.finished(IDS[0], Outcome.DRAINING, 0.001, 1.0)
    chooser.reported(IDS[0], LoadReport(), 2.0)
    assert IDS[0] not in picks(chooser, 2.0)
    chooser.reported(IDS[0], LoadReport(), 30.0)
    assert IDS[0] in picks(chooser, 30.0)


def test_declared_drain_stops_new_work(chooser):
    chooser.declare(msgspec.structs.replace(target(0), drain=True))
    assert IDS[0] not in picks(chooser, 0.0)
    chooser.declare(target(0))
    chooser.reported(IDS[0], LoadReport(), 0.0)
    assert IDS[0] in picks(chooser, 0.0)


def test_new_target_ramps_up(chooser):
    new = TargetId('t9')
    chooser.declare(target(9))
    chooser.started(new, 0.0)
    chooser.finished(new, Outcome.OK, 0.01, 0.01)
    ids = [*IDS, new]
    assert new not in picks(chooser, 0.1, ids=ids)
    assert new in picks(chooser, 30.0, ids=ids)


def test_shedding_target_rests(chooser):
    serve(chooser, IDS[0], 0.001, 0.0, count=1, outcome=Outcome.SHED)
    assert IDS[0] not in picks(chooser, 0.0)
    assert IDS[0] in picks(chooser, 5.0)


def test_failing_target_is_ejected_for_a_time(chooser):
    serve(chooser, IDS[0], 0.01, 0.0, 3, Outcome.CONNECT_FAILED)
    assert IDS[0] not in picks(chooser, 0.1)
    assert IDS[0] in picks(chooser, 30.0)


@given(
    st.lists(st.integers(0, 3), max_size=60),
    st.integers(1, 4),
    st.integers(0, 2**32),
)
def test_ejection_is_bounded_and_choice_never_starves(failed, count, seed):
    chooser = ReplicaChooser(HOME, random.Random(seed))
    for index in range(4):
        chooser.declare(target(index))
    for index in failed:
        serve(chooser, IDS[index], 0.01, 0.0, 1, Outcome.ERROR)
    ids = IDS[:count]
    assert len(chooser.ejected(ids, 0.1)) <= count / 2
    assert chooser.choose(ids, 0.1) in ids


@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sampled_from(Outcome),
            st.floats(0.0, 10.0),
            st.floats(0.0, 5.0),
        ),
        max_size=60,
    )
)
def test_in_flight_returns_to_zero(events):
    chooser = ReplicaChooser(HOME, random.Random(1))
    for index in range(4):
        chooser.declare(target(index))
    now = 0.0
    for index, outcome, latency_s, step_s in events:
        now += step_s
        chooser.started(IDS[index], now)
        chooser.finished(IDS[index], outcome, latency_s, now)
        chosen = chooser.choose(IDS, now)
        assert chosen is None or chosen in IDS
    assert [chooser.in_flight(one) for one in IDS] == [0] * 4


# Issue 17: where all had refused, one was asked within the time it had named.
def test_target_that_named_a_time_is_not_asked_before(chooser):
    for name in IDS:
        chooser.started(name, 0.0)
        chooser.finished(name, Outcome.SHED, 0.01, 0.0, 2.0)
    assert chooser.choose(IDS, 1.9) is None
    assert chooser.choose(IDS, 2.1) is not None
