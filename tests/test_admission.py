"""Test which requests are admitted, queued and refused under load."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sesameward.routing.admission import Admission
from sesameward.routing.admission import Admit
from sesameward.routing.admission import Queue
from sesameward.routing.admission import Refuse
from sesameward.routing.concurrency import IDLE_PEAK_FACTOR
from sesameward.routing.concurrency import MIN_LIMIT
from sesameward.settings import LimitSettings
from sesameward.types import Priority
from sesameward.types import RefusalKind
from sesameward.types import RequestId

CFG = LimitSettings(max_in_flight=8, max_queue=4)


@pytest.fixture
def admission():
    """Return an Admission for at most 8 running and 4 queued requests."""
    return Admission(CFG, random.Random(1))


def arrive(
    admission, name, priority=Priority.INTERACTIVE, deadline_at=1.0, now=0.0
):
    return admission.arrive(RequestId(name), priority, deadline_at, 1.0, now)


def fill_to_limit(admission, priority=Priority.INTERACTIVE, now=0.0):
    running = []
    for index in range(100):
        action = arrive(admission, f'fill{index}', priority, 9.0, now)[-1]
        if not isinstance(action, Admit):
            return running
        running.append(action.request_id)
    raise AssertionError(
        '100 requests were admitted without reaching the limit'
    )


def test_idle_admits_at_once(admission):
    assert arrive(admission, 'a') == [Admit(RequestId('a'))]


def test_past_deadline_is_refused_for_good(admission):
    refused = arrive(admission, 'a', deadline_at=0.0, now=0.0)[-1]
    assert refused.kind is RefusalKind.DEADLINE_UNREACHABLE
    assert refused.retry_after_s is None


def test_finished_request_lets_the_next_in(admission):
    running = fill_to_limit(admission)
    actions = admission.finished(running[0], 0.01, 0.01)
    assert [type(action) for action in actions] == [Admit]


def test_urgent_requests_leave_the_queue_first(admission):
    running = fill_to_limit(admission)
    assert arrive(admission, 'n', Priority.NORMAL)[-1] == Queue('n')
    assert arrive(admission, 'i', Priority.INTERACTIVE)[-1] == Queue('i')
    admitted = []
    for request_id in running[:4]:
        admitted += admission.finished(request_id, 0.01, 0.01)
    names = [action.request_id for action in admitted]
    assert names.index('i') < (names + ['n']).index('n')


def test_full_queue_drops_the_lowest_priority(admission):
    fill_to_limit(admission)
    while admission.queued < CFG.max_queue:
        arrive(admission, f'b{admission.queued}', Priority.NORMAL)
    actions = arrive(admission, 'i', Priority.INTERACTIVE)
    dropped, decision = actions
    assert isinstance(dropped, Refuse)
    assert dropped.retry_after_s > 0.0
    assert decision == Queue(RequestId('i'))
    assert admission.queued == CFG.max_queue


def test_full_queue_refuses_its_equals_at_once(admission):
    fill_to_limit(admission)
    while admission.queued < CFG.max_queue:
        arrive(admission, f'i{admission.queued}')
    refused = arrive(admission, 'late')[-1]
    assert refused.kind is RefusalKind.OVERLOADED
    assert refused.retry_after_s >= 0.1


def test_lower_priorities_leave_room_for_urgent_ones(admission):
    fill_to_limit(admission, Priority.NORMAL)
    assert isinstance(arrive(admission, 'i')[-1], Admit)


def test_caller_who_hangs_up_frees_the_place(admission):
    running = fill_to_limit(admission)
    queued = admission.queued
    arrive(admission, 'w')
    admission.remove_disconnected(RequestId('w'), 0.0)
    assert admission.queued == queued
    assert admission.remove_disconnected(running[0], 0.0)
    assert admission.remove_disconnected(RequestId('unknown'), 0.0) == []


def test_unmeetable_request_leaves_the_queue(admission):
    fill_to_limit(admission)
    arrive(admission, 'w', deadline_at=0.2)
    actions = admission.update_queues(0.3)
    assert Refuse('w', RefusalKind.DEADLINE_UNREACHABLE, None) in actions


def test_wrong_estimate_is_corrected(admission):
    for index in range(50):
        arrive(admission, f'x{index}', deadline_at=100.0)
        admission.finished(RequestId(f'x{index}'), 5.0, 0.1)
    assert isinstance(
        arrive(admission, 'a', deadline_at=0.3, now=0.1)[-1], Admit
    )


def test_fast_failures_do_not_lower_the_limit(admission):
    now = 0.0
    for index in range(2_000):
        now += 0.01
        name = RequestId(f'r{index}')
        admission.arrive(name, Priority.NORMAL, now + 1.0, 1.0, now)
        failed = index % 2 == 0
        latency_s = 0.0001 if failed else 0.05
        admission.finished(name, latency_s, now, complete=not failed)
    for index in range(500):
        now += 0.01
        name = RequestId(f's{index}')
        admission.arrive(name, Priority.NORMAL, now + 1.0, 1.0, now)
        admission.finished(name, 0.05, now)
    assert admission.limit >= MIN_LIMIT * IDLE_PEAK_FACTOR


@given(
    st.lists(
        st.tuples(
            st.sampled_from(['arrive', 'finish', 'gone', 'tick']),
            st.sampled_from(Priority),
            st.floats(0.0, 2.0),
            st.floats(0.0, 0.3),
        ),
        max_size=80,
    )
)
def test_every_request_is_settled_once_and_none_waits_in_vain(events):
    admission = Admission(CFG, random.Random(1))
    now = 0.0
    deadlines = {}
    running, waiting, settled = {}, set(), set()
    for index, (event, priority, time_left_s, step_s) in enumerate(events):
        now += step_s
        match event:
            case 'arrive':
                name = RequestId(f'r{index}')
                deadlines[name] = now + time_left_s
                waiting.add(name)
                actions = admission.arrive(
                    name, priority, now + time_left_s, 1.0, now
                )
                assert actions[-1].request_id == name
            case 'finish' if running:
                name = next(iter(running))
                since = running.pop(name)
                actions = admission.finished(name, now - since, now)
            case 'gone' if deadlines:
                name = list(deadlines)[index % len(deadlines)]
                actions = admission.remove_disconnected(name, now)
                running.pop(name, None)
                waiting.discard(name)
                settled.add(name)
            case _:
                actions = admission.update_queues(now)
        for action in actions:
            match action:
                case Admit(name):
                    assert name in waiting and name not in settled
                    assert deadlines[name] > now
                    waiting.discard(name)
                    running[name] = now
                case Refuse(name, _, _):
                    assert name in waiting and name not in settled
                    waiting.discard(name)
                    settled.add(name)
        assert admission.in_flight == len(running) <= CFG.max_in_flight
        assert admission.queued == len(waiting) <= CFG.max_queue
        assert all(deadlines[name] > now for name in waiting)
