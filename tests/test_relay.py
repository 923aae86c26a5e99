"""Test requests to one service, including those that must not run twice."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sesameward.serving.attempts import AttemptPolicy
from sesameward.serving.attempts import NOTHING_SENT
from sesameward.serving.attempts import Send
from sesameward.serving.attempts import SendReason
from sesameward.serving.attempts import SubRequestFailure
from sesameward.serving.attempts import SURELY_NOT_RUN
from sesameward.serving.budget_window import BudgetWindow
from sesameward.serving.relay import Finish
from sesameward.serving.relay import Relay
from sesameward.serving.relay import Verdict
from sesameward.serving.replica_choice import ReplicaSelector
from sesameward.serving.routes import OneService
from sesameward.serving.routes import Repeat
from sesameward.serving.routes import Route
from sesameward.serving.target_limits import TargetLimits
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.serving.targets import TargetTable

NOW = 100.0
DEADLINE_AT = 101.0


def make_policy(names='abc', slack=500.0):
    targets = TargetTable()
    selector = ReplicaSelector('z', random.Random(1))
    for name in names:
        target = Target(name, 's', 'h', 1, 'z', 2, TargetState.READY)
        targets.put(target)
        selector.declare(target)
    return AttemptPolicy(
        targets,
        selector,
        BudgetWindow(0.2, slack, 10.0, 0.0),
        TargetLimits('me', 'me:1', 0.0),
    )


def make_route(repeat, max_attempts=2):
    return Route(
        'r', 'h', '/p/', repeat, 1.0, 0.3, 1, max_attempts, OneService('s')
    )


def make_relay(policy, repeat, max_attempts=2):
    route = make_route(repeat, max_attempts)
    return Relay(route, 's', policy, DEADLINE_AT)


@pytest.fixture
def policy():
    return make_policy()


@pytest.fixture
def once_relay(policy):
    return make_relay(policy, Repeat.ONCE)


@pytest.fixture
def safe_relay(policy):
    return make_relay(policy, Repeat.SAFE)


def test_success_ends_it(safe_relay):
    (send,) = safe_relay.start(NOW)
    assert safe_relay.replied(send.attempt, True, NOW) == [
        Finish(Verdict.REPLY)
    ]


def test_no_target_is_a_refusal_at_once():
    relay = make_relay(make_policy(''), Repeat.ONCE)
    assert relay.start(NOW) == [Finish(Verdict.REFUSED)]


def test_broken_request_that_may_run_once_is_not_sent_again(once_relay):
    (send,) = once_relay.start(NOW)
    actions = once_relay.failed(send.attempt, SubRequestFailure.BROKEN, NOW)
    assert actions == [Finish(Verdict.FAILED)]


def test_it_is_sent_again_where_no_byte_left(once_relay):
    (send,) = once_relay.start(NOW)
    (again,) = once_relay.failed(send.attempt, SubRequestFailure.NOT_SENT, NOW)
    assert again.reason is SendReason.RETRY_NOT_SENT
    assert again.target_id != send.target_id


def test_it_is_refused_where_each_target_says_it_did_not_run(once_relay):
    actions = once_relay.start(NOW)
    while isinstance(actions[0], Send):
        actions = once_relay.failed(
            actions[0].attempt, SubRequestFailure.NOT_RUN, NOW
        )
    assert actions == [Finish(Verdict.REFUSED)]


# Guards against a second copy of a refusal being taken for the reply to a
# later attempt at the same target: both bear the same request id.
@given(
    st.integers(1, 3),
    st.lists(st.sampled_from(list(SubRequestFailure)), max_size=12),
)
def test_request_that_runs_once_reaches_each_target_once(targets, ends):
    relay = make_relay(make_policy('abc'[:targets]), Repeat.ONCE, 9)
    received = []
    actions = relay.start(NOW)
    for end in ends:
        if not actions or not isinstance(actions[0], Send):
            break
        if end not in NOTHING_SENT:
            received.append(actions[0].target_id)
        actions = relay.failed(actions[0].attempt, end, NOW)
    assert len(received) == len(set(received))


# Guards against the same for requests that may run again: their caller must
# not be told that they did not run.
def test_second_refusal_of_one_target_does_not_show_that_nothing_ran():
    relay = make_relay(make_policy('a'), Repeat.SAFE)
    actions = relay.start(NOW)
    refusals = 0
    while isinstance(actions[0], Send):
        actions = relay.failed(
            actions[0].attempt, SubRequestFailure.NOT_RUN, NOW
        )
        refusals += 1
    assert refusals > 1
    assert actions == [Finish(Verdict.FAILED)]


def test_it_is_never_hedged(once_relay):
    once_relay.start(NOW)
    assert once_relay.on_timer(NOW + 0.9) == []


def test_deadline_after_a_send_is_no_refusal(once_relay):
    once_relay.start(NOW)
    assert once_relay.on_timer(DEADLINE_AT) == [Finish(Verdict.TIMEOUT)]


def test_failed_answer_of_a_safe_request_is_tried_elsewhere(safe_relay):
    (send,) = safe_relay.start(NOW)
    (again,) = safe_relay.replied(send.attempt, False, NOW)
    assert again.reason is SendReason.RETRY_FAILED
    assert again.target_id != send.target_id


def test_last_failed_answer_is_passed_on(safe_relay):
    (send,) = safe_relay.start(NOW)
    (again,) = safe_relay.replied(send.attempt, False, NOW)
    actions = safe_relay.replied(again.attempt, False, NOW)
    assert actions == [Finish(Verdict.REPLY)]


def test_failed_answer_of_a_request_that_runs_once_is_passed_on(once_relay):
    (send,) = once_relay.start(NOW)
    actions = once_relay.replied(send.attempt, False, NOW)
    assert actions == [Finish(Verdict.REPLY)]


def test_far_tail_of_a_safe_request_is_hedged_once(safe_relay):
    safe_relay.start(NOW)
    (hedge,) = safe_relay.on_timer(NOW + 0.5)
    assert hedge.reason is SendReason.HEDGE_SLOW
    assert safe_relay.on_timer(NOW + 0.6) == []


@given(
    st.lists(st.sampled_from(list(SubRequestFailure)), max_size=8),
    st.sampled_from(list(Repeat)),
)
def test_at_most_once_and_true_refusals(ends, repeat):
    relay = make_relay(make_policy(), repeat, max_attempts=3)
    may_have_run = 0
    actions = relay.start(NOW)
    for end in ends:
        if not actions or not isinstance(actions[0], Send):
            break
        may_have_run += end not in SURELY_NOT_RUN
        actions = relay.failed(actions[0].attempt, end, NOW)
    if repeat is Repeat.ONCE:
        assert may_have_run <= 1
    if Finish(Verdict.REFUSED) in actions:
        assert may_have_run == 0


# Load pattern: a request crashes each target that runs it.


def test_request_that_broke_two_targets_is_not_sent_again():
    policy = make_policy('abcde')
    safe_relay = make_relay(policy, Repeat.SAFE, max_attempts=5)
    (first,) = safe_relay.start(NOW)
    (second,) = safe_relay.failed(first.attempt, SubRequestFailure.BROKEN, NOW)
    assert safe_relay.failed(
        second.attempt, SubRequestFailure.BROKEN, NOW
    ) == [Finish(Verdict.FAILED)]


def test_request_on_trial_goes_to_one_target():
    policy = make_policy('abcde')
    route = make_route(Repeat.SAFE, max_attempts=5)
    trial = Relay(route, 's', policy, DEADLINE_AT, on_trial=True)
    (first,) = trial.start(NOW)
    assert trial.on_timer(NOW + 0.5) == []
    assert trial.failed(
        first.attempt, SubRequestFailure.BROKEN, NOW + 0.6
    ) == [Finish(Verdict.FAILED)]


# Issue 17: all targets of the service have asked, with Retry-After, to be sent
# nothing for a time.


def set_retry_after(policy, names, rest_s):
    for name in names:
        policy.selector.back_off(name, rest_s, NOW)


def test_request_is_refused_at_once_where_all_targets_rest():
    policy = make_policy('ab')
    set_retry_after(policy, 'a', 5.0)
    set_retry_after(policy, 'b', 2.0)
    assert make_relay(policy, Repeat.ONCE).start(NOW) == [
        Finish(Verdict.REFUSED, 2.0)
    ]


def test_refusal_by_the_last_target_says_when_to_come_back():
    policy = make_policy('a')
    once_relay = make_relay(policy, Repeat.ONCE)
    (send,) = once_relay.start(NOW)
    set_retry_after(policy, 'a', 3.0)
    assert once_relay.failed(send.attempt, SubRequestFailure.NOT_RUN, NOW) == [
        Finish(Verdict.REFUSED, 3.0)
    ]


def test_target_that_asked_for_rest_is_not_sent_to_again():
    policy = make_policy('ab')
    safe_relay = make_relay(policy, Repeat.SAFE, max_attempts=9)
    (send,) = safe_relay.start(NOW)
    set_retry_after(policy, send.target_id, 3.0)
    (again,) = safe_relay.failed(send.attempt, SubRequestFailure.NOT_RUN, NOW)
    assert again.target_id != send.target_id
    set_retry_after(policy, again.target_id, 3.0)
    (finish,) = safe_relay.failed(
        again.attempt, SubRequestFailure.NOT_RUN, NOW
    )
    assert finish.verdict is Verdict.REFUSED


def test_request_without_a_permit_goes_to_another_target():
    policy = make_policy('ab')
    relay = make_relay(policy, Repeat.ONCE)
    (first,) = relay.start(NOW)
    policy.limits.record_reply(first.target_id, 1, 5.0, NOW)
    policy.limits.record_none_left(first.target_id, 0, 0.3, NOW)
    (second,) = relay.failed(first.attempt, SubRequestFailure.NO_PERMIT, NOW)
    assert second.target_id != first.target_id


def test_request_is_refused_at_once_if_no_target_has_permits():
    policy = make_policy('a')
    relay = make_relay(policy, Repeat.ONCE)
    (first,) = relay.start(NOW)
    policy.limits.record_reply('a', 1, 5.0, NOW)
    policy.limits.record_none_left('a', 0, 0.3, NOW)
    (finish,) = relay.failed(first.attempt, SubRequestFailure.NO_PERMIT, NOW)
    assert finish.verdict is Verdict.REFUSED
    assert finish.rest_s == pytest.approx(0.3)
