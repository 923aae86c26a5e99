"""Test with real processes that requests that crash targets are refused."""

from __future__ import annotations

import concurrent.futures
import re
import signal
import time

import pytest

from sesameward.bookings.bookings import CLAIM_KIND
from sesameward.bookings.bookings import claim_object_name
from sesameward.standin.processes import call
from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier
from sesameward.standin.processes import wait_until
from sesameward.types import BookingKey
from sesameward.types import ServiceName

NODES = 5
QUARANTINE_S = 6.0
ALARM_S = 1.0


@pytest.fixture(scope='module')
def started_tier():
    shape = Shape(nodes=NODES, deadline_ms=2_000, max_deadline_ms=5_000)
    settings = {
        'quarantine_s': QUARANTINE_S,
        'max_quarantine_s': QUARANTINE_S,
        'alarm_s': ALARM_S,
        # Long enough that a crashing request crashes its target within it
        # also on a busy machine.
        'lead_s': 0.5,
    }
    with Tier(shape, quarantine=settings) as started:
        yield started


@pytest.fixture
def tier(started_tier):
    """Return the tier without faults, ALARM_S after any earlier crash.

    Until ALARM_S after a crash, each query that has not succeeded before is
    sent to a single target at first.
    """
    time.sleep(ALARM_S)
    restore(started_tier)
    return started_tier


def restore(tier):
    tier.restart_dead_targets()
    for target in tier.targets:
        tier.set_faults(target)
    for entry in tier.entries:
        wait_until(
            lambda checked=entry: len(addresses(checked)) == NODES,
            'all addresses',
        )
        wait_until(lambda checked=entry: tier.is_whole(checked), entry.name)


def addresses(entry):
    return call(entry.ports['port'], '/v1/addresses').json()['addresses']


def quarantine_count(tier, reason):
    """Return the sum of all entries' quarantine counter for a reason."""
    pattern = rf'sesameward_quarantine\S*reason="{reason}"\S* ([0-9.]+)'
    texts = [
        call(entry.ports['port'], '/metrics').body.decode()
        for entry in tier.entries
    ]
    return sum(
        float(value) for text in texts for value in re.findall(pattern, text)
    )


def set_faults_on_all(tier, **faults):
    for target in tier.targets:
        tier.set_faults(target, **faults)


def query_at_once(tier, entries, bodies):
    """Send all queries at the same time, spread over the entries."""
    with concurrent.futures.ThreadPoolExecutor(len(bodies)) as pool:
        return list(
            pool.map(
                lambda pair: tier.query(
                    entries[pair[0] % len(entries)], pair[1]
                ),
                enumerate(bodies),
            )
        )


def incomplete_ends(replies):
    """Return refusals and end frames of incomplete answers."""
    ends = [reply.frames()[-1] for reply in replies]
    return [end for end in ends if not end.get('complete')]


def query_body(text):
    return {'match': {'text': text}}


@pytest.mark.parametrize('crash_ms', [0, 20])
def test_five_entries_at_once_lose_at_most_two_targets(tier, crash_ms):
    set_faults_on_all(tier, crash_on='poison', crash_after_ms=crash_ms)
    body = query_body(f'poison {crash_ms}')
    replies = query_at_once(tier, tier.entries, [body] * NODES)
    for entry in tier.entries:
        replies.append(tier.query(entry, body))
    assert 1 <= len(tier.dead_targets()) <= 2
    for reply in replies:
        if reply.status == 200:
            end = reply.frames()[-1]
            assert not end['complete']
            assert end['retry_after_s'] > 0
        else:
            assert reply.json()['kind'] == 'quarantined'
            assert int(reply.headers['Retry-After']) >= 1
    assert [reply.status for reply in replies[-NODES:]] == [503] * NODES
    assert quarantine_count(tier, 'quarantined') >= 1


def test_innocents_on_a_crashed_target_are_answered_whole(tier):
    bodies = [query_body(f'innocent {number // 2}') for number in range(20)]
    assert incomplete_ends(query_at_once(tier, tier.entries, bodies)) == []
    set_faults_on_all(
        tier, latency_ms=60, crash_on='poison', crash_after_ms=20
    )
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(query_at_once, tier, tier.entries, bodies)
        time.sleep(0.03)
        tier.query(tier.entries[0], query_body('poison amid innocents'))
        replies = sent.result()
    assert 1 <= len(tier.dead_targets()) <= 2
    assert incomplete_ends(replies) == []


def test_quarantined_request_is_released_after_its_time(tier):
    set_faults_on_all(tier, crash_on='poison')
    body = query_body('poison for a time')
    for entry in tier.entries:
        tier.query(entry, body)
    refused = tier.query(tier.entries[0], body)
    assert refused.status == 503
    restore(tier)
    assert tier.query(tier.entries[1], body).status == 503
    time.sleep(refused.json()['retry_after_s'])
    wait_until(
        lambda: (
            (reply := tier.query(tier.entries[0], body)).status == 200
            and reply.frames()[-1]['complete']
        ),
        'the release from quarantine',
        QUARANTINE_S,
    )


def test_restarts_of_targets_quarantine_nobody(tier):
    before = quarantine_count(tier, 'quarantined')
    set_faults_on_all(tier, latency_ms=60)
    bodies = [query_body(f'caller {number}') for number in range(50)]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(query_at_once, tier, tier.entries, bodies)
        time.sleep(0.1)
        for name in ('t0-0', 't1-1'):
            tier.targets[name].send(signal.SIGKILL)
        replies = sent.result()
    assert incomplete_ends(replies) == []
    assert quarantine_count(tier, 'quarantined') == before


def test_frozen_home_delays_others_once(tier):
    frozen, *others = tier.entries
    frozen.send(signal.SIGSTOP)
    times_s = []
    try:
        for number in range(40):
            began_at = time.monotonic()
            reply = tier.query(
                others[number % 4], query_body(f'home {number}')
            )
            times_s.append(time.monotonic() - began_at)
            assert reply.frames()[-1]['complete']
    finally:
        frozen.send(signal.SIGCONT)
    # The frozen entry is the home of about a fifth of these queries. Each
    # other entry may wait for it only once.
    assert sum(took_s > 0.1 for took_s in times_s) <= len(others)


MAX_SENDS = 3


def book_crashing(tier, number):
    return tier.book(
        tier.entries[number % NODES],
        f'crashing-key-{number}',
        headers={'Sesameward-Attempt': '1'},
        action={'text': 'poison'},
    )


def test_booking_that_crashes_targets_is_refused_before_its_claim(tier):
    set_faults_on_all(tier, crash_on='poison')
    sent = 0
    reply = book_crashing(tier, sent)
    # Two bookings may crash a target each; one more may reach a target that
    # is still dying.
    while reply.status != 503 and sent < MAX_SENDS:
        assert reply.json()['run'] == 'unknown'
        sent += 1
        reply = book_crashing(tier, sent)
    assert 1 <= len(tier.dead_targets()) <= 2
    restore(tier)
    set_faults_on_all(tier, crash_on='poison')
    numbers = range(sent + 1, sent + 6)
    refused = [book_crashing(tier, number) for number in numbers]
    assert not tier.dead_targets()
    for reply in refused:
        assert reply.status == 503
        assert reply.json()['kind'] == 'quarantined'
        assert reply.json()['run'] == 'no'
        assert int(reply.headers['Retry-After']) >= 1
    port = tier.platform.ports['port']
    claims = call(port, f'/v1/objects/{CLAIM_KIND}').json()['objects']
    names = {claim['name'] for claim in claims}
    assert {claim_name(number) for number in range(sent)} <= names
    assert not {claim_name(number) for number in numbers} & names


def claim_name(number):
    key = BookingKey(f'crashing-key-{number}')
    return claim_object_name(ServiceName('trip-desk'), key)
