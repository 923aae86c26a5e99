"""Test which targets a query over shards is sent to and how it ends."""

import random

import pytest

from sesameward.serving.attempts import AttemptPolicy
from sesameward.serving.attempts import Send
from sesameward.serving.attempts import SendReason
from sesameward.serving.attempts import SubRequestFailure
from sesameward.serving.budget_window import BudgetWindow
from sesameward.serving.gather import Ending
from sesameward.serving.gather import Finish
from sesameward.serving.gather import Gather
from sesameward.serving.gather import MAX_BROKEN_ATTEMPTS
from sesameward.serving.gather import MAX_TRIAL_ATTEMPTS
from sesameward.serving.gather import Trial
from sesameward.serving.replica_choice import ReplicaSelector
from sesameward.serving.routes import Repeat
from sesameward.serving.routes import Route
from sesameward.serving.routes import Shards
from sesameward.serving.target_limits import TargetLimits
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.serving.targets import TargetTable

SHARDS = 10
CUTOFF_AT = 100.08
DEADLINE_AT = 100.4
NOW = 100.0


def make_route(max_attempts=2, min_coverage=0.8, shards=SHARDS):
    shards = Shards(tuple(f's{n}' for n in range(shards)), 50, min_coverage)
    return Route(
        'r', 'h', '/p/', Repeat.SAFE, 0.4, 0.1, 1, max_attempts, shards
    )


@pytest.fixture
def policy():
    targets = TargetTable()
    selector = ReplicaSelector('z', random.Random(1))
    for shard in range(SHARDS):
        for replica in 'ab':
            target = Target(
                f't{shard}{replica}',
                f's{shard}',
                'h',
                1,
                'z',
                2,
                TargetState.READY,
            )
            targets.put(target)
            selector.declare(target)
    return AttemptPolicy(
        targets,
        selector,
        BudgetWindow(0.2, 500.0, 10.0, 0.0),
        TargetLimits('me', 'me:1', 0.0),
    )


def make_gather(policy, **kwargs):
    return Gather(make_route(**kwargs), policy, CUTOFF_AT, DEADLINE_AT)


@pytest.fixture
def query(policy):
    return make_gather(policy)


def only_sends(actions):
    return [one for one in actions if isinstance(one, Send)]


def ending_of(actions):
    (finish,) = [one for one in actions if isinstance(one, Finish)]
    return finish.ending


def answer_shards(query, first_sends, shards, now):
    actions = []
    for send in first_sends:
        if send.shard in shards:
            actions += query.replied(send.shard, send.attempt, now)
    return actions


def test_each_shard_is_asked_once(query):
    first_sends = only_sends(query.start(NOW))
    assert [one.shard for one in first_sends] == list(range(SHARDS))
    assert {one.reason for one in first_sends} == {SendReason.FIRST}


def test_all_answers_end_it_whole(query):
    first_sends = only_sends(query.start(NOW))
    actions = answer_shards(query, first_sends, range(SHARDS), NOW + 0.02)
    assert ending_of(actions) is Ending.COMPLETE


def test_one_late_shard_is_hedged_at_its_other_replica(query):
    first_sends = only_sends(query.start(NOW))
    answer_shards(query, first_sends, range(1, SHARDS), NOW + 0.02)
    (hedge,) = only_sends(query.on_timer(NOW + 0.05))
    assert hedge.shard == 0
    assert hedge.target_id != first_sends[0].target_id
    assert hedge.reason in (SendReason.HEDGE_SLOW, SendReason.HEDGE_PAUSED)
    assert only_sends(query.on_timer(NOW + 0.06)) == []


def test_paused_replica_is_hedged_before_the_usual_delay(query, policy):
    first_sends = only_sends(query.start(NOW))
    # A request of another query to this target is overdue, so the target
    # counts as paused.
    policy.selector.sent(first_sends[3].target_id, 'r', NOW - 1.0)
    (hedge,) = only_sends(query.on_timer(NOW + 0.001))
    assert hedge.shard == 3
    assert hedge.reason is SendReason.HEDGE_PAUSED


def test_answer_goes_out_at_the_cutoff_with_what_is_there(query):
    first_sends = only_sends(query.start(NOW))
    answer_shards(query, first_sends, range(8), NOW + 0.02)
    assert ending_of(query.on_timer(CUTOFF_AT)) is Ending.PARTIAL
    assert query.missing() == [8, 9]


def test_too_few_shards_wait_beyond_the_cutoff(query):
    first_sends = only_sends(query.start(NOW))
    answer_shards(query, first_sends, range(7), NOW + 0.02)
    query.on_timer(CUTOFF_AT)
    assert not query.finished
    actions = answer_shards(query, first_sends, [7], CUTOFF_AT + 0.05)
    assert ending_of(actions) is Ending.PARTIAL


def test_too_few_shards_at_the_deadline_are_a_failure(query):
    first_sends = only_sends(query.start(NOW))
    answer_shards(query, first_sends, range(7), NOW + 0.02)
    assert ending_of(query.on_timer(DEADLINE_AT)) is Ending.TOO_FEW_SHARDS


def test_nothing_is_sent_where_too_few_shards_have_targets(policy):
    for shard in range(3):
        for replica in 'ab':
            policy.targets.mark_registration_gone(f't{shard}{replica}', 0.0)
    policy.targets.expire(NOW)
    (finish,) = make_gather(policy).start(NOW)
    assert finish == Finish(Ending.TOO_FEW_AVAILABLE, may_have_run=False)


def test_shard_without_targets_does_not_hold_up_the_others(policy):
    for replica in 'ab':
        policy.targets.mark_registration_gone(f't0{replica}', 0.0)
    policy.targets.expire(NOW)
    query = make_gather(policy)
    first_sends = only_sends(query.start(NOW))
    actions = answer_shards(query, first_sends, range(1, SHARDS), NOW + 0.02)
    assert ending_of(actions) is Ending.PARTIAL


def test_refused_part_is_asked_of_the_other_replica(query):
    first_sends = only_sends(query.start(NOW))
    one = first_sends[4]
    (retry,) = query.failed(
        4, one.attempt, SubRequestFailure.NOT_RUN, NOW + 0.01
    )
    assert retry.reason is SendReason.RETRY_NOT_RUN
    assert retry.target_id != one.target_id


# Guards against a second copy of a refusal being taken for the reply to a
# later attempt at the same target: both bear the same request id.
def test_second_refusal_of_one_target_does_not_show_that_nothing_ran(policy):
    query = make_gather(policy, min_coverage=1.0)
    actions = query.start(NOW)
    refused = []
    while sends := only_sends(actions):
        actions = []
        for one in sends:
            refused.append(one.target_id)
            actions += query.failed(
                one.shard, one.attempt, SubRequestFailure.NOT_RUN, NOW
            )
    assert len(refused) > len(set(refused))
    assert actions == [Finish(Ending.TOO_FEW_SHARDS, True)]


def test_never_more_replicas_run_it_than_allowed(policy):
    query = make_gather(policy, max_attempts=1)
    first_sends = only_sends(query.start(NOW))
    assert (
        query.failed(2, first_sends[2].attempt, SubRequestFailure.FAILED, NOW)
        == []
    )
    assert only_sends(query.on_timer(NOW + 0.05)) == []


def test_unsent_request_goes_elsewhere_without_budget(policy):
    policy = policy._replace(budget=BudgetWindow(0.0, 0.0, 10.0, 0.0))
    query = make_gather(policy)
    first_sends = only_sends(query.start(NOW))
    assert (
        query.failed(1, first_sends[1].attempt, SubRequestFailure.FAILED, NOW)
        == []
    )
    (retry,) = query.failed(
        2, first_sends[2].attempt, SubRequestFailure.NOT_SENT, NOW
    )
    assert retry.reason is SendReason.RETRY_NOT_SENT


def test_no_hedge_without_budget(policy):
    policy = policy._replace(budget=BudgetWindow(0.0, 0.0, 10.0, 0.0))
    query = make_gather(policy)
    query.start(NOW)
    assert query.on_timer(NOW + 0.05) == []


def test_query_that_breaks_several_targets_is_not_sent_on(query):
    first_sends = only_sends(query.start(NOW))
    for shard in range(2):
        query.failed(
            shard, first_sends[shard].attempt, SubRequestFailure.BROKEN, NOW
        )
    assert (
        query.failed(2, first_sends[2].attempt, SubRequestFailure.BROKEN, NOW)
        == []
    )
    assert only_sends(query.on_timer(NOW + 0.05)) == []


def test_answers_lost_on_the_way_are_asked_for_again(query):
    first_sends = only_sends(query.start(NOW))
    answer_shards(query, first_sends, range(4), NOW + 0.01)
    retried = []
    for shard in range(4, SHARDS):
        retried += query.failed(
            shard,
            first_sends[shard].attempt,
            SubRequestFailure.BROKEN,
            NOW + 0.02,
        )
    assert [one.shard for one in retried] == list(range(4, SHARDS))


def test_shard_without_budget_is_asked_once_there_is_some(policy):
    # A new budget allows its first repeat after 1.25 s. This one is created at
    # NOW - 1.22, so it allows one at NOW + 0.03.
    budget = BudgetWindow(0.0, 10.0, 10.0, NOW - 1.22)
    query = make_gather(policy._replace(budget=budget))
    first_sends = only_sends(query.start(NOW))
    answer_shards(query, first_sends, range(1, SHARDS - 1), NOW + 0.01)
    assert (
        query.failed(
            0, first_sends[0].attempt, SubRequestFailure.FAILED, NOW + 0.01
        )
        == []
    )
    assert only_sends(query.on_timer(NOW + 0.01)) == []
    (retry,) = [
        one for one in only_sends(query.on_timer(NOW + 0.04)) if one.shard == 0
    ]
    assert retry.target_id != first_sends[0].target_id


def test_second_answer_of_a_shard_is_not_used(query):
    first_sends = only_sends(query.start(NOW))
    (hedge, *_) = only_sends(query.on_timer(NOW + 0.05))
    query.replied(hedge.shard, hedge.attempt, NOW + 0.06)
    assert not query.needs_result(hedge.shard)
    before = query.answered
    first = first_sends[hedge.shard]
    assert query.replied(first.shard, first.attempt, NOW + 0.07) == []
    assert query.answered == before


def test_failure_tells_whether_a_target_may_have_run_it(query):
    first_sends = only_sends(query.start(NOW))
    for one in first_sends:
        query.failed(
            one.shard, one.attempt, SubRequestFailure.FAILED, NOW + 0.01
        )
    (finish,) = query.on_timer(DEADLINE_AT)
    assert finish.may_have_run


# Load pattern: a query crashes each target that runs it.


@pytest.mark.parametrize(
    'end',
    [
        SubRequestFailure.BROKEN,
        SubRequestFailure.FAILED,
        SubRequestFailure.NOT_SENT,
    ],
)
def test_nothing_follows_a_break_before_an_answer(query, end):
    first_sends = only_sends(query.start(NOW))
    assert (
        query.failed(0, first_sends[0].attempt, SubRequestFailure.BROKEN, NOW)
        == []
    )
    assert query.is_held(first_sends[5].attempt)
    assert query.failed(1, first_sends[1].attempt, end, NOW) == []
    assert query.on_timer(NOW + 0.05) == []
    asked = only_sends(query.replied(2, first_sends[2].attempt, NOW + 0.05))
    assert [one.shard for one in asked] == [0, 1]
    assert not query.is_held(first_sends[5].attempt)


def break_all(query, first_sends):
    """Report to the query that the connections of all attempts broke.

    Return the actions that the query returns for the last of them.
    """
    for one in first_sends[:-1]:
        assert (
            query.failed(one.shard, one.attempt, SubRequestFailure.BROKEN, NOW)
            == []
        )
    last = first_sends[-1]
    return query.failed(
        last.shard, last.attempt, SubRequestFailure.BROKEN, NOW
    )


def test_query_that_broke_all_targets_ends_at_once(query):
    actions = break_all(query, only_sends(query.start(NOW)))
    assert actions == [Finish(Ending.TOO_FEW_SHARDS, True)]


@pytest.mark.parametrize('shards', [1, 2])
def test_query_over_few_shards_ends_three_targets_at_most(policy, shards):
    query = make_gather(policy, shards=shards, max_attempts=5)
    first_sends = only_sends(query.start(NOW))
    lost = len(first_sends)
    actions = break_all(query, first_sends)
    while only_sends(actions):
        (probe,) = only_sends(actions)
        assert not query.is_held(probe.attempt)
        lost += 1
        actions = query.failed(
            probe.shard, probe.attempt, SubRequestFailure.BROKEN, NOW
        )
    assert actions == [Finish(Ending.TOO_FEW_SHARDS, True)]
    assert lost <= MAX_BROKEN_ATTEMPTS


def test_query_whose_connections_were_all_reset_is_answered(policy):
    query = make_gather(policy, shards=2)
    (probe,) = only_sends(break_all(query, only_sends(query.start(NOW))))
    others = only_sends(query.replied(probe.shard, probe.attempt, NOW + 0.02))
    assert [one.shard for one in others] == [1 - probe.shard]
    (last,) = others
    actions = query.replied(last.shard, last.attempt, NOW + 0.04)
    assert ending_of(actions) is Ending.COMPLETE


def make_trial(policy, services_with_losses=()):
    trial = Trial(frozenset(services_with_losses))
    return Gather(make_route(), policy, CUTOFF_AT, DEADLINE_AT, trial)


def test_query_on_trial_asks_one_shard_where_targets_were_lost(policy):
    (first,) = make_trial(policy, {'s7'}).start(NOW)
    assert first.shard == 7


def test_query_on_trial_asks_the_others_once_it_was_run(policy):
    query = make_trial(policy)
    (first,) = query.start(NOW)
    assert query.on_timer(NOW + 0.05) == []
    others = only_sends(query.replied(first.shard, first.attempt, NOW + 0.05))
    assert len(others) == SHARDS - 1
    assert not query.on_trial


def test_query_on_trial_that_breaks_reaches_no_other_target(policy):
    query = make_trial(policy)
    (first,) = query.start(NOW)
    actions = query.failed(
        first.shard, first.attempt, SubRequestFailure.BROKEN, NOW
    )
    assert actions == [Finish(Ending.TOO_FEW_SHARDS, True)]


@pytest.mark.parametrize(
    'end',
    [
        SubRequestFailure.NOT_RUN,
        SubRequestFailure.NOT_SENT,
        SubRequestFailure.FAILED,
    ],
)
def test_query_on_trial_that_broke_nothing_is_tried_elsewhere(policy, end):
    query = make_trial(policy)
    (send,) = query.start(NOW)
    for _ in range(MAX_TRIAL_ATTEMPTS - 1):
        actions = query.failed(send.shard, send.attempt, end, NOW)
        (send,) = only_sends(actions)
    actions = query.failed(send.shard, send.attempt, end, NOW)
    assert ending_of(actions) is Ending.TOO_FEW_SHARDS


# Issue 17: all targets of some shards have asked, with Retry-After, to be sent
# nothing for a time.


def set_retry_after(policy, shards, rest_s):
    for shard in shards:
        for replica in 'ab':
            policy.selector.back_off(f't{shard}{replica}', rest_s, NOW)


def test_query_goes_out_without_the_shards_that_rest(policy, query):
    set_retry_after(policy, range(2), 5.0)
    asked = only_sends(query.start(NOW))
    assert {one.shard for one in asked} == set(range(2, SHARDS))


def test_query_is_refused_before_any_target_is_asked(policy, query):
    for shard in range(4):
        set_retry_after(policy, [shard], 5.0 - shard)
    # Eight of ten shards are enough. Six accept requests now, the other four
    # again after 2, 3, 4 and 5 s, so eight accept them after 3 s.
    assert query.start(NOW) == [Finish(Ending.TOO_FEW_AVAILABLE, False, 3.0)]


def test_query_says_no_time_where_shards_have_no_target(policy, query):
    for shard in range(3):
        for replica in 'ab':
            policy.targets.mark_leaving(f't{shard}{replica}')
    assert query.start(NOW) == [Finish(Ending.TOO_FEW_AVAILABLE, False, None)]


def limit_target(policy, target_id, wait_s):
    """Let a target name a limit and have no permit for some time."""
    policy.limits.record_reply(target_id, 1, 5.0, NOW)
    policy.limits.record_none_left(target_id, 0, wait_s, NOW)


def test_target_without_a_permit_is_passed_over(query, policy):
    limit_target(policy, 't0a', 0.3)
    first_sends = only_sends(query.start(NOW))
    assert first_sends[0].target_id == 't0b'


# Such a query waited until its deadline although it could not be served.
def test_query_is_refused_at_once_while_too_few_shards_have_permits(
    query, policy
):
    for shard in range(3):
        for replica in 'ab':
            limit_target(policy, f't{shard}{replica}', 0.3)
    (finish,) = query.start(NOW)
    assert finish.ending is Ending.TOO_FEW_AVAILABLE
    assert not finish.may_have_run
    assert finish.rest_s == pytest.approx(0.3)


def deny(query, policy, send, wait_s=0.3):
    """Let an attempt fail because the coordinator granted no permit."""
    limit_target(policy, send.target_id, wait_s)
    return query.failed(
        send.shard, send.attempt, SubRequestFailure.NO_PERMIT, NOW
    )


def test_denied_attempt_goes_to_the_other_replica(query, policy):
    first_sends = only_sends(query.start(NOW))
    (send,) = only_sends(deny(query, policy, first_sends[0]))
    assert send.shard == 0
    assert send.target_id != first_sends[0].target_id


@pytest.mark.parametrize(
    ('denied', 'ending'), [(2, Ending.PARTIAL), (3, Ending.TOO_FEW_SHARDS)]
)
def test_query_does_not_wait_for_permits_that_come_too_late(
    query, policy, denied, ending
):
    first_sends = only_sends(query.start(NOW))
    for send in first_sends[:denied]:
        (second,) = only_sends(deny(query, policy, send))
        assert deny(query, policy, second) == []
    actions = answer_shards(
        query, first_sends, range(denied, SHARDS), NOW + 0.01
    )
    assert ending_of(actions) is ending


def test_query_waits_for_permits_that_come_in_time(query, policy):
    first_sends = only_sends(query.start(NOW))
    for send in first_sends[:3]:
        (second,) = only_sends(deny(query, policy, send, 0.02))
        assert deny(query, policy, second, 0.02) == []
    assert (
        answer_shards(query, first_sends, range(3, SHARDS), NOW + 0.01) == []
    )
    sends = only_sends(query.on_timer(NOW + 0.03))
    assert {send.shard for send in sends} == {0, 1, 2}
    assert {send.reason for send in sends} == {SendReason.FIRST}


# The shard was left out: its limited replica had no permit, and the other one
# had been asked already.
def test_failed_attempt_is_repeated_where_other_replicas_have_no_permit(
    query, policy
):
    first_sends = only_sends(query.start(NOW))
    send = first_sends[0]
    other = 't0b' if send.target_id == 't0a' else 't0a'
    limit_target(policy, other, 0.3)
    (retry,) = only_sends(
        query.failed(0, send.attempt, SubRequestFailure.FAILED, NOW)
    )
    assert retry.target_id == send.target_id


# A helper knew a limit that this node did not know yet. The same target was
# chosen again and again, and the shard was left out.
def test_target_denied_for_an_unknown_limit_is_not_chosen_again(query):
    first = only_sends(query.start(NOW))[0]
    denied = query.failed(0, first.attempt, SubRequestFailure.NO_PERMIT, NOW)
    (second,) = only_sends(denied)
    assert second.target_id != first.target_id
    assert (
        only_sends(
            query.failed(0, second.attempt, SubRequestFailure.NO_PERMIT, NOW)
        )
        == []
    )
