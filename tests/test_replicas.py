"""Test the choice of replicas by latency, load, zone and state."""

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

ZONE = ZoneName('a')
TARGET_IDS = [TargetId(f't{index}') for index in range(4)]


def make_target(
    index: int, zone: str = 'a', slots: int = 2
) -> declared.Target:
    return declared.Target(
        id=TargetId(f't{index}'),
        host='127.0.0.1',
        port=9_000 + index,
        zone=ZoneName(zone),
        shards=(ShardId('s0'),),
        slots=slots,
    )


def count_choices(chooser, now, count=400, ids=TARGET_IDS, avoid=()):
    return collections.Counter(
        chooser.choose(ids, now, avoid) for _ in range(count)
    )


def run_sub_requests(
    chooser, target_id, latency_s, now, count=30, outcome=Outcome.OK
):
    for _ in range(count):
        chooser.started(target_id, now)
        chooser.finished(target_id, outcome, latency_s, now)


@pytest.fixture
def chooser():
    """Return a chooser with four equally fast targets in its zone."""
    chooser = ReplicaChooser(ZONE, random.Random(1))
    for index in range(4):
        chooser.declare(make_target(index))
    for target_id in TARGET_IDS:
        run_sub_requests(chooser, target_id, 0.01, 0.0)
    return chooser


def test_equals_share_the_work(chooser):
    assert min(count_choices(chooser, 0.0).values()) > 60


def test_no_candidate_gives_none(chooser):
    assert chooser.choose([], 0.0) is None
    assert chooser.choose([TargetId('unknown')], 0.0) is None
    assert chooser.choose(TARGET_IDS[:1], 0.0, avoid=TARGET_IDS[:1]) is None


def test_avoided_targets_are_never_chosen(chooser):
    assert set(count_choices(chooser, 0.0, avoid=TARGET_IDS[:3])) == {
        TARGET_IDS[3]
    }


def test_busy_target_is_left_alone(chooser):
    for _ in range(6):
        chooser.started(TARGET_IDS[0], 0.0)
    assert chooser.in_flight(TARGET_IDS[0]) == 6
    assert TARGET_IDS[0] not in count_choices(chooser, 0.0)


def test_more_slots_take_more_work():
    chooser = ReplicaChooser(ZONE, random.Random(1))
    chooser.declare(make_target(0, slots=2))
    chooser.declare(make_target(1, slots=8))
    for _ in range(50):
        chooser.started(chooser.choose(TARGET_IDS[:2], 0.0), 0.0)
    assert chooser.in_flight(TARGET_IDS[1]) == pytest.approx(40, abs=3)


def test_report_counts_while_fresh(chooser):
    chooser.reported(TARGET_IDS[0], LoadReport(in_flight=2, queued=6), 0.0)
    assert TARGET_IDS[0] not in count_choices(chooser, 0.0)
    assert count_choices(chooser, 60.0)[TARGET_IDS[0]] > 20


def test_idle_report_is_not_believed_against_latency(chooser):
    run_sub_requests(chooser, TARGET_IDS[0], 0.05, 1.0)
    chooser.reported(TARGET_IDS[0], LoadReport(), 1.0)
    assert TARGET_IDS[0] not in count_choices(chooser, 1.0)


def test_slow_target_is_tried_again_later(chooser):
    run_sub_requests(chooser, TARGET_IDS[0], 0.05, 1.0)
    assert TARGET_IDS[0] not in count_choices(chooser, 1.0)
    chosen = set()
    for step in range(600):
        now = 1.0 + step / 10
        target_id = chooser.choose(TARGET_IDS, now)
        chosen.add(target_id)
        run_sub_requests(chooser, target_id, 0.01, now, count=1)
    assert TARGET_IDS[0] in chosen


def test_cancelled_trial_confirms_a_slow_target(chooser):
    run_sub_requests(chooser, TARGET_IDS[0], 0.05, 1.0)
    for target_id in TARGET_IDS[1:]:
        run_sub_requests(chooser, target_id, 0.01, 3.0)
    run_sub_requests(chooser, TARGET_IDS[0], 0.04, 3.0, 1, Outcome.CANCELLED)
    for target_id in TARGET_IDS[1:]:
        run_sub_requests(chooser, target_id, 0.01, 5.0)
    assert TARGET_IDS[0] not in count_choices(chooser, 5.0)


def test_same_zone_goes_first_unless_slower():
    chooser = ReplicaChooser(ZONE, random.Random(1))
    for index, zone in enumerate('aabb'):
        chooser.declare(make_target(index, zone))
    for target_id in TARGET_IDS:
        run_sub_requests(chooser, target_id, 0.01, 0.0)
    assert set(count_choices(chooser, 0.0)) == set(TARGET_IDS[:2])
    for target_id in TARGET_IDS[:2]:
        run_sub_requests(chooser, target_id, 0.1, 0.0)
    assert set(count_choices(chooser, 0.0)) == set(TARGET_IDS[2:])


def test_cold_target_ramps_up(chooser):
    chooser.reported(TARGET_IDS[0], LoadReport(cold=True), 0.0)
    run_sub_requests(chooser, TARGET_IDS[0], 0.01, 0.0)
    assert count_choices(chooser, 0.1)[TARGET_IDS[0]] == 0
    assert count_choices(chooser, 30.0)[TARGET_IDS[0]] > 60


def test_draining_target_gets_nothing(chooser):
    chooser.reported(TARGET_IDS[0], LoadReport(draining=True), 0.0)
    chooser.started(TARGET_IDS[1], 0.0)
    chooser.finished(TARGET_IDS[1], Outcome.DRAINING, 0.001, 0.0)
    assert set(count_choices(chooser, 0.0)) == set(TARGET_IDS[2:])
    assert chooser.choose(TARGET_IDS[:2], 0.0) is None


def test_late_report_does_not_undo_a_drain(chooser):
    chooser.started(TARGET_IDS[0], 1.0)
    chooser.finished(TARGET_IDS[0], Outcome.DRAINING, 0.001, 1.0)
    chooser.reported(TARGET_IDS[0], LoadReport(), 2.0)
    assert TARGET_IDS[0] not in count_choices(chooser, 2.0)
    chooser.reported(TARGET_IDS[0], LoadReport(), 30.0)
    assert TARGET_IDS[0] in count_choices(chooser, 30.0)


def test_declared_drain_stops_new_work(chooser):
    chooser.declare(msgspec.structs.replace(make_target(0), drain=True))
    assert TARGET_IDS[0] not in count_choices(chooser, 0.0)
    chooser.declare(make_target(0))
    chooser.reported(TARGET_IDS[0], LoadReport(), 0.0)
    assert TARGET_IDS[0] in count_choices(chooser, 0.0)


def test_new_target_ramps_up(chooser):
    new_id = TargetId('t9')
    chooser.declare(make_target(9))
    chooser.started(new_id, 0.0)
    chooser.finished(new_id, Outcome.OK, 0.01, 0.01)
    ids = [*TARGET_IDS, new_id]
    assert new_id not in count_choices(chooser, 0.1, ids=ids)
    assert new_id in count_choices(chooser, 30.0, ids=ids)


def test_shedding_target_rests(chooser):
    run_sub_requests(
        chooser, TARGET_IDS[0], 0.001, 0.0, count=1, outcome=Outcome.SHED
    )
    assert TARGET_IDS[0] not in count_choices(chooser, 0.0)
    assert TARGET_IDS[0] in count_choices(chooser, 5.0)


def test_failing_target_is_ejected_for_a_time(chooser):
    run_sub_requests(
        chooser, TARGET_IDS[0], 0.01, 0.0, 3, Outcome.CONNECT_FAILED
    )
    assert TARGET_IDS[0] not in count_choices(chooser, 0.1)
    assert TARGET_IDS[0] in count_choices(chooser, 30.0)


@given(
    st.lists(st.integers(0, 3), max_size=60),
    st.integers(1, 4),
    st.integers(0, 2**32),
)
def test_ejection_is_bounded_and_choice_never_starves(failed, count, seed):
    chooser = ReplicaChooser(ZONE, random.Random(seed))
    for index in range(4):
        chooser.declare(make_target(index))
    for index in failed:
        run_sub_requests(
            chooser, TARGET_IDS[index], 0.01, 0.0, 1, Outcome.ERROR
        )
    ids = TARGET_IDS[:count]
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
    chooser = ReplicaChooser(ZONE, random.Random(1))
    for index in range(4):
        chooser.declare(make_target(index))
    now = 0.0
    for index, outcome, latency_s, step_s in events:
        now += step_s
        chooser.started(TARGET_IDS[index], now)
        chooser.finished(TARGET_IDS[index], outcome, latency_s, now)
        chosen = chooser.choose(TARGET_IDS, now)
        assert chosen is None or chosen in TARGET_IDS
    assert [chooser.in_flight(t) for t in TARGET_IDS] == [0] * 4


# Issue 17: when all targets had refused with a retry-after time, one of them
# was sent a sub-request before that time had passed.
def test_target_that_named_a_time_is_not_asked_before(chooser):
    for target_id in TARGET_IDS:
        chooser.started(target_id, 0.0)
        chooser.finished(target_id, Outcome.SHED, 0.01, 0.0, 2.0)
    assert chooser.choose(TARGET_IDS, 1.9) is None
    assert chooser.choose(TARGET_IDS, 2.1) is not None
