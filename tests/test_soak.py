"""Run some soak seeds and test that the soak checks can fail."""

import asyncio
import types

import pytest

from sesameward.serving.target_connection import Reply
from sesameward.standin.shard_target import records
from tests import promises
from tests.soak.faults import KINDS
from tests.soak.faults import schedule
from tests.soak.hard_load import HardLoadWorld
from tests.soak.hard_load_faults import HARD_LOAD_KINDS
from tests.soak.hard_load_faults import NEW_KINDS
from tests.soak.world import World

CI_SEEDS = (1, 2)
LENGTH_S = 6.0
# Seeds whose runs have found a bug earlier. The length of the run in seconds
# and the kinds of injected faults reproduce the schedule of each seed.
REGRESSIONS = {
    # SIGHUP ended a node that was still starting.
    118: (10.0, KINDS[:21]),
    # Refusals of targets lacked the id of their request, so nodes took them
    # for replies to other requests, and did not see their Retry-After.
    324: (10.0, KINDS[:29]),
    358: (10.0, KINDS[:29]),
    360: (10.0, KINDS[:29]),
}

# Restores of the store beside whatever else changes what the nodes know of it.
RESTORE_SEEDS = (904, 905)
RESTORE_KINDS = (
    *3 * ('store_restored',),
    'config',
    'node_kill',
    'node_term',
    'target_drain',
    'target_crash',
    'store_busy',
    'store_forgets',
)
# Seeds whose runs found nodes that ignored the signals to stop.
STARTING_SEEDS = (1, 2)
STARTING_LENGTH_S = 8.0
# Seeds that meet many of the promises to organisations, cold targets and
# evacuated zones within a short run: cold targets and an evacuation beside a
# killed node, and withdrawn keys and a flood beside a restore of the store.
HARD_LOAD_LENGTH_S = 3.5
HARD_LOAD_SEEDS = {
    393: (
        *NEW_KINDS,
        'node_kill',
        'store_silent',
        'store_restored',
        'node_freeze',
    ),
    266: (
        'key_added',
        'key_withdrawn',
        'limit_changed',
        'organisation_floods',
        'store_restored',
        'node_kill',
        'store_silent',
        'node_freeze',
    ),
}


@pytest.mark.parametrize('seed', [*CI_SEEDS, *REGRESSIONS])
def test_no_promise_is_broken_under_faults(seed):
    world = World(seed, nodes=3)
    length_s, kinds = REGRESSIONS.get(seed, (LENGTH_S, KINDS))
    assert asyncio.run(world.run(length_s, kinds)) == []
    assert sum(world.outcomes.values()) > 100


@pytest.mark.parametrize('seed', RESTORE_SEEDS)
def test_no_promise_is_broken_while_the_store_is_restored(seed):
    world = World(seed, nodes=3)
    assert asyncio.run(world.run(LENGTH_S, RESTORE_KINDS)) == []
    kinds = [f.kind for f in schedule(seed, LENGTH_S, RESTORE_KINDS)]
    assert kinds.count('store_restored') > 1


# Guards against nodes that run on, and cut off what is in flight when they are
# killed, because they were told to stop while they were starting.
@pytest.mark.parametrize('seed', STARTING_SEEDS)
def test_no_promise_is_broken_while_starting_nodes_are_stopped(seed):
    world = World(seed, nodes=3)
    kinds = ('node_term_starting',)
    assert asyncio.run(world.run(STARTING_LENGTH_S, kinds)) == []


@pytest.mark.parametrize('seed', HARD_LOAD_SEEDS)
def test_no_promise_of_hard_load_is_broken_under_faults(seed):
    world = HardLoadWorld(seed, nodes=3)
    kinds = HARD_LOAD_SEEDS[seed]
    assert asyncio.run(world.run(HARD_LOAD_LENGTH_S, kinds)) == []
    for kind in ('once', 'q', 'safe'):
        assert world.outcomes[f'keyed {kind} 200']
        assert world.outcomes[f'keyed {kind} 401']
        assert world.outcomes[f'keyed {kind} 429']


@pytest.mark.parametrize('kinds', [KINDS, HARD_LOAD_KINDS])
def test_schedule_is_the_same_for_a_seed(kinds):
    assert schedule(7, 20.0, kinds) == schedule(7, 20.0, kinds)
    drawn_kinds = {
        fault.kind for seed in range(60) for fault in schedule(seed, 12, kinds)
    }
    assert drawn_kinds == set(kinds)


@pytest.fixture
def fleet():
    """Provide four targets without runs, one per shard."""
    targets = {
        f't{n}': types.SimpleNamespace(service=f'shard-{n}', runs=[])
        for n in range(4)
    }
    return types.SimpleNamespace(targets=targets)


def answer(target_numbers, missing=0, request_id='r1', path='/q/1', body=None):
    stamps = ', '.join(f't{n}.1.{request_id}' for n in target_numbers)
    found = sorted(
        (
            data[at : at + 16]
            for data in (
                records(f'shard-{n}', path) for n in set(target_numbers)
            )
            for at in range(0, len(data), 16)
        ),
        reverse=True,
    )
    expected_body = b''.join(found[: promises.TOP_K])
    headers = [
        (b'Sesameward-Part-Stamps', stamps.encode()),
        (b'Sesameward-Missing-Parts', b'%d' % missing),
    ]
    return Reply(200, b'OK', headers, expected_body if body is None else body)


def test_true_answers_pass(fleet):
    assert promises.check_query(fleet, answer('0123'), '/q/1', 'r1', 4) == 4
    partial = answer('012', missing=1)
    assert promises.check_query(fleet, partial, '/q/1', 'r1', 4) == 3


@pytest.mark.parametrize(
    'reply',
    [
        answer('0123', request_id='r2'),
        answer('0122', missing=0),
        answer('012', missing=0),
        answer('0123', missing=1),
        answer('0', missing=3),
        answer('0123', path='/q/2'),
        answer('0123', body=b''),
        answer('012', missing=1, body=answer('0123').body),
    ],
    ids=[
        'foreign part',
        'shard twice',
        'coverage too high',
        'coverage too low',
        'too few',
        'another query',
        'no records',
        'records of an unnamed part',
    ],
)
def test_false_answers_fail(fleet, reply):
    with pytest.raises(AssertionError):
        promises.check_query(fleet, reply, '/q/1', 'r1', 4)


@pytest.mark.parametrize(
    ('runs', 'status', 'is_broken'),
    [(0, 503, False), (1, 200, False), (1, 503, True), (2, 200, True)],
)
def test_requests_that_run_once_are_judged(fleet, runs, status, is_broken):
    run = types.SimpleNamespace(request_id='r1')
    fleet.targets['t0'].runs = [run] * runs
    reply = Reply(status, b'', [], b'')
    if not is_broken:
        promises.check_once(fleet, reply, 'r1')
        return
    with pytest.raises(AssertionError):
        promises.check_once(fleet, reply, 'r1')


def run_at(at, request_id):
    return types.SimpleNamespace(at=at, request_id=request_id)


def test_attempts_after_the_third_crash_are_judged():
    crashes = [run_at(n, f'r{n}') for n in range(3)]
    late = [run_at(10.0 + n, f'x{n}') for n in range(4)]
    assert promises.check_crashing(crashes + late[:3]) == 6
    # One attempt that reaches several targets counts once against the limit.
    assert promises.check_crashing(crashes + late[:3] + late[:1]) == 7
    assert promises.check_crashing(crashes + late, {'x0'}) == 7
    with pytest.raises(AssertionError):
        promises.check_crashing(crashes + late)


def arrival(at, request_id='x', told_rest=False):
    return types.SimpleNamespace(
        at=at, request_id=request_id, told_rest=told_rest
    )


def test_requests_to_a_target_that_leaves_are_judged():
    sent_at = {'a': 12.9, 'b': 13.1}
    early, late = arrival(20.0, 'a'), arrival(13.2, 'b')
    promises.check_left([early], sent_at, told_at=10.0)
    promises.check_left([late], sent_at, 10.0, disturbed={'b'})
    with pytest.raises(AssertionError):
        promises.check_left([late], sent_at, told_at=10.0)


def test_requests_to_a_target_that_rests_are_judged():
    told = arrival(10.0, told_rest=True)
    within = [arrival(10.4), arrival(10.6), arrival(12.4), arrival(12.6)]
    promises.check_rests([told, *within], 2.5)
    late = [told, *within, arrival(11.0)]
    with pytest.raises(AssertionError):
        promises.check_rests(late, 2.5)
    promises.check_rests(late, 2.5, lambda begun, ended: begun < 11 < ended)


def test_requests_to_a_target_that_names_a_limit_are_judged():
    # A limit of 2 allows 17 requests in any 4 s, from 4 s after it was named.
    early = [0.1 * n for n in range(30)]
    allowed = [4.0 + 0.2 * n for n in range(17)]
    assert promises.check_limit([*early, *allowed], 2.0, 0.0) == 17
    with pytest.raises(AssertionError):
        promises.check_limit([*early, *allowed, 7.9], 2.0, 0.0)


@pytest.mark.parametrize(
    ('stranded', 'others', 'is_broken'),
    [
        ((90, 10), (100, 0), False),
        ((60, 40), (100, 0), True),
        ((60, 40), (80, 20), False),
        ((0, 12), (100, 0), False),
        ((0, 13), (100, 0), True),
        ((0, 50), (0, 50), False),
    ],
)
def test_requests_at_stranded_nodes_are_judged(stranded, others, is_broken):
    tries = [
        [True] * served + [False] * failed
        for served, failed in (stranded, others)
    ]
    if not is_broken:
        promises.check_stranded(*tries)
        return
    with pytest.raises(AssertionError):
        promises.check_stranded(*tries)


def probe(node, route, sent_at, is_served, lacked_route=None, process=1):
    return promises.Probe(
        node,
        process,
        route,
        sent_at,
        sent_at + 0.1,
        is_served,
        not is_served if lacked_route is None else lacked_route,
    )


# The configuration with route 1 was written at 0 s, that with route 2 at 10 s.
WRITTEN_AT = {1: 0.0, 2: 10.0}


@pytest.mark.parametrize(
    ('late', 'early'),
    [
        (probe('n', 2, 13.1, False), probe('n', 2, 12.9, False)),
        (probe('n', 1, 13.1, True), probe('n', 1, 12.9, True)),
        (probe('n', 1, 3.1, False), probe('n', 1, 13.1, False)),
        (probe('n', 2, 13.1, False), probe('n', 2, 13.1, False, False)),
    ],
    ids=['new route', 'old route', 'only route', 'other refusal'],
)
def test_configurations_that_are_in_force_too_late_are_judged(late, early):
    promises.check_in_force([early], WRITTEN_AT, lambda _: False)
    promises.check_in_force([late], WRITTEN_AT, lambda _: True)
    with pytest.raises(AssertionError):
        promises.check_in_force([late], WRITTEN_AT, lambda _: False)


@pytest.mark.parametrize(
    ('back', 'allowed'),
    [
        (probe('n', 1, 11.4, True), probe('n', 1, 11.3, True)),
        (probe('n', 2, 11.4, False), probe('n', 2, 11.4, False, False)),
        (probe('n', 1, 11.4, True), probe('m', 1, 11.4, True)),
        (probe('n', 2, 11.4, False), probe('n', 2, 11.4, False, process=2)),
        (probe('n', 1, 11.4, True), probe('n', 1, 11.4, False)),
    ],
    ids=['in flight', 'other refusal', 'other node', 'restarted', 'dropped'],
)
def test_nodes_that_go_back_to_a_configuration_are_judged(back, allowed):
    seen = probe('n', 2, 11.0, True)
    promises.check_never_back([seen, allowed], WRITTEN_AT)
    with pytest.raises(AssertionError):
        promises.check_never_back([seen, back], WRITTEN_AT)
