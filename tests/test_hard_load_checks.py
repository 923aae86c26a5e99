"""Test that the soak's checks for organisations and targets can fail."""

import types

import pytest

from tests.soak import hard_load_checks as checks
from tests.soak.hard_load_checks import KeyedRequest
from tests.soak.hard_load_checks import Limit
from tests.soak.hard_load_checks import Span

SECRET = 'secret-'
KEY = 'secret-1'


def never(_):
    return False


def always(_):
    return True


def run(*headers, path='/q/1', request_id='r1'):
    return types.SimpleNamespace(
        request_id=request_id, path=path, target='t', headers=list(headers)
    )


ACME = (b'Sesameward-Tenant', b'acme')


@pytest.mark.parametrize(
    'good',
    [
        run(ACME),
        run((b'sesameward-tenant', b'acme'), (b'x-other', b'1')),
        run(path='/public/1'),
    ],
)
def test_right_organisations_pass(good):
    checks.check_identity([good], {'r1': 'acme'}, {'acme', 'b'}, SECRET)


@pytest.mark.parametrize(
    'bad',
    [
        run(),
        run((b'Sesameward-Tenant', b'b')),
        run(ACME, ACME),
        run(ACME, (b'x-api-KEY', b'1')),
        run(ACME, (b'X-Other', b'a secret-1')),
        run(ACME, path='/public/1'),
        run((b'Sesameward-Tenant', b'c'), request_id='r2'),
    ],
    ids=[
        'no name',
        'wrong name',
        'name twice',
        'key header',
        'key elsewhere',
        'public',
        'unknown name',
    ],
)
def test_wrong_organisations_and_keys_fail(bad):
    with pytest.raises(AssertionError):
        checks.check_identity([bad], {'r1': 'acme'}, {'acme', 'b'}, SECRET)


def asked(sent_at, status=200, request_id='r1', process=1, key=KEY):
    return KeyedRequest(
        request_id, 'n', process, key, sent_at, sent_at + 0.1, status
    )


HELD = {KEY: [Span(1.0, 10.0)]}


@pytest.mark.parametrize(
    ('key', 'at', 'is_broken', 'can_be_excused'),
    [
        (KEY, 5.0, False, True),
        (KEY, 12.9, False, True),
        (KEY, 13.1, True, True),
        (KEY, 0.5, True, False),
        ('secret-forged', 5.0, True, False),
    ],
)
def test_runs_with_keys_are_judged(key, at, is_broken, can_be_excused):
    request = asked(at, key=key)
    ran_at = {'r1': [at]}
    for is_excused in (never, always):
        if is_broken and not (can_be_excused and is_excused is always):
            with pytest.raises(AssertionError):
                checks.check_keys([request], ran_at, HELD, is_excused)
        else:
            checks.check_keys([request], ran_at, HELD, is_excused)


def test_processes_that_accept_a_refused_key_again_are_judged():
    refused = asked(10.5, 401, 'r0')
    later = asked(11.0)
    ran_at = {'r1': [11.0]}
    with pytest.raises(AssertionError):
        checks.check_keys_never_back([refused, later], ran_at, HELD)
    added_again = {KEY: [*HELD[KEY], Span(10.9)]}
    checks.check_keys_never_back([refused, later], ran_at, added_again)
    for other in (asked(11.0, process=2), asked(10.7)):
        checks.check_keys_never_back([refused, other], ran_at, HELD)
    # The key was refused because the node did not know it yet.
    checks.check_keys_never_back(
        [asked(1.2, 401, 'r0'), asked(2.0)], {'r1': [2.0]}, HELD
    )


def test_final_refusals_of_valid_keys_are_judged():
    for request in (asked(3.9, 401), asked(9.95, 401), asked(5.0, 503)):
        checks.check_valid_keys([request], HELD, never)
    checks.check_valid_keys([asked(5.0, 401)], HELD, always)
    with pytest.raises(AssertionError):
        checks.check_valid_keys([asked(5.0, 401)], HELD, never)


@pytest.mark.parametrize('status', checks.REFUSALS)
def test_refused_requests_that_ran_are_judged(status):
    checks.check_refusals([asked(1.0, status)], {})
    checks.check_refusals([asked(1.0)], {'r1': [1.0]})
    with pytest.raises(AssertionError):
        checks.check_refusals([asked(1.0, status)], {'r1': [1.0]})


# A limit of 10 a second with a burst of 10 allows 86 requests in 5 s.
LIMIT = Limit(10.0, 10.0, 0.0)


def test_requests_over_the_limit_of_an_organisation_are_judged():
    times = [20.0 + 0.05 * n for n in range(86)]
    assert checks.check_quota(times, [LIMIT]) == 86
    # The 87th is more than 5 s after the first one.
    checks.check_quota([*times, 25.01], [LIMIT])
    with pytest.raises(AssertionError):
        checks.check_quota([*times, 24.9], [LIMIT])


@pytest.mark.parametrize('rate_per_s', [0.0, 12.0])
def test_limits_that_may_be_in_force_are_allowed(rate_per_s):
    times = [20.0 + 0.05 * n for n in range(90)]
    earlier = Limit(rate_per_s, rate_per_s, 0.0, 20.5)
    checks.check_quota(times, [earlier, LIMIT])
    checks.check_quota(times, [LIMIT, Limit(rate_per_s, rate_per_s, 24.0)])
    with pytest.raises(AssertionError):
        checks.check_quota(times, [Limit(rate_per_s, 1, 0.0, 19.9), LIMIT])


def arrival(at):
    return types.SimpleNamespace(at=at, request_id='r1')


def test_arrivals_in_an_evacuated_zone_are_judged():
    spans = [Span(10.0, 20.0)]
    outside = [arrival(9.9), arrival(20.0)]
    assert checks.check_evacuated(outside, spans, never) == 0
    assert checks.check_evacuated([arrival(10.0)], spans, always) == 1
    with pytest.raises(AssertionError):
        checks.check_evacuated([*outside, arrival(15.0)], spans, never)


# A link that hung delivered requests that were sent before the evacuation.
def test_arrivals_after_the_deadline_are_left_out():
    arrivals = [arrival(10.0), types.SimpleNamespace(at=10.0, request_id='x')]
    assert checks.without_delayed(arrivals, {'r1': 9.1}) == arrivals
    assert checks.without_delayed(arrivals, {'r1': 8.9}) == arrivals[1:]


def test_requests_to_cold_targets_are_judged():
    # A rate of 10 allows 20 requests in a second.
    spans = [Span(10.0, 20.0)]
    allowed = [12.0 + 0.04 * n for n in range(20)]
    many_before = [9.0 + 0.01 * n for n in range(99)]
    assert checks.check_cold([*many_before, *allowed], spans, never) == 20
    checks.check_cold([*allowed, 12.99], spans, always)
    with pytest.raises(AssertionError):
        checks.check_cold([*allowed, 12.99], spans, never)


def test_time_without_disturbances():
    assert checks.settled_at(1.0, 2.0, []) == 3.0
    assert checks.settled_at(1.0, 2.0, [0.5, 3.5]) == 3.0
    assert checks.settled_at(1.0, 2.0, [0.5, 2.5, 3.0, 9.0]) == 5.0
