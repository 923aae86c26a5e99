"""Test queries and bookings end to end with real processes."""

from __future__ import annotations

import http.client
import json
import signal
import socket
import time

import pytest

from sesameward.standin.processes import call
from sesameward.standin.processes import HOST
from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier
from sesameward.standin.processes import wait_until

QUERY_PATH = '/v1/services/trip-desk/query'


@pytest.fixture(scope='module')
def tier():
    with Tier(Shape(max_deadline_ms=5_000, deadline_ms=2_000)) as started:
        yield started


def test_first_rows_come_before_the_slowest_shard(tier):
    for server in range(2):
        tier.set_faults(f't0-{server}', latency_ms=500)
    conn = http.client.HTTPConnection(
        HOST, tier.entries[0].ports['port'], timeout=10
    )
    conn.request('POST', QUERY_PATH, '{}')
    resp = conn.getresponse()
    began_at = time.monotonic()
    frames = [json.loads(resp.readline()), json.loads(resp.readline())]
    first_rows_s = time.monotonic() - began_at
    frames += [json.loads(line) for line in resp]
    end_s = time.monotonic() - began_at
    for server in range(2):
        tier.set_faults(f't0-{server}')
    assert [f['frame'] for f in frames[:2]] == ['open', 'rows']
    assert frames[-1]['complete']
    assert first_rows_s < 0.4 < end_s


def test_booking_runs_once_at_whichever_entry(tier):
    first, second = (
        tier.book(entry, 'test-booking-1').json() for entry in tier.entries
    )
    assert (first['run'], first['repeated']) == ('yes', False)
    assert (second['run'], second['repeated']) == ('yes', True)
    assert second['result'] == first['result']


def test_entry_books_elsewhere_after_a_draining_target_refused(tier):
    tier.set_faults('t0-0', drain=True)
    replies = [
        tier.book(tier.entries[0], f'drained-booking-{number}').json()
        for number in range(8)
    ]
    tier.set_faults('t0-0')
    refused = [reply for reply in replies if reply['run'] == 'no']
    assert len(refused) <= 1
    assert len(refused) + sum(r['run'] == 'yes' for r in replies) == 8


def test_booking_key_reused_for_another_body(tier):
    tier.book(tier.entries[0], 'test-booking-2')
    reply = tier.book(tier.entries[1], 'test-booking-2', 's001-0001')
    assert reply.status == 409
    assert reply.json()['kind'] == 'key_reused'


@pytest.mark.parametrize(
    'path, body, headers, status, kind',
    [
        (QUERY_PATH, b'{"keys": [', {}, 400, 'bad_request'),
        (QUERY_PATH, b'{"colour": 1}', {}, 400, 'bad_request'),
        (QUERY_PATH, b'\xff\xfe', {}, 400, 'bad_request'),
        ('/v1/services/none/query', b'{}', {}, 404, 'unknown_service'),
        (QUERY_PATH, b'{"versions": [9]}', {}, 400, 'uncovered_version'),
        (
            QUERY_PATH,
            b'{}',
            {'Sesameward-Deadline-Ms': '-5'},
            400,
            'bad_deadline',
        ),
        (
            QUERY_PATH,
            b'{}',
            {'Sesameward-Deadline-Ms': 'x'},
            400,
            'bad_deadline',
        ),
        (
            QUERY_PATH,
            b'{}',
            {'Sesameward-Priority': 'vip'},
            400,
            'bad_request',
        ),
        (QUERY_PATH, b' ' * 70_000, {}, 413, 'too_large'),
        (
            '/v1/services/trip-desk/bookings',
            b'{"record_key": "s000-0001"}',
            {'Idempotency-Key': 'a b'},
            400,
            'bad_key',
        ),
        (
            '/v1/services/trip-desk/bookings',
            b'{"record_key": "s000-0001"}',
            {},
            400,
            'bad_key',
        ),
    ],
)
def test_bad_input_is_refused(tier, path, body, headers, status, kind):
    port = tier.entries[0].ports['port']
    before = sum(tier.calls(t)['queries'] for t in tier.targets)
    reply = call(port, path, body, headers)
    refusal = reply.json()
    assert (reply.status, refusal['kind']) == (status, kind)
    assert refusal['run'] == 'no'
    assert refusal['remedy']
    assert sum(tier.calls(t)['queries'] for t in tier.targets) == before
    counters = call(port, '/metrics').body.decode()
    assert 'sesameward_refusals_total{' in counters
    assert f'reason="{kind}"' in counters


@pytest.mark.parametrize('attempt, run', [('1', 'no'), ('2', 'unknown')])
def test_refused_resend_does_not_deny_the_first_send(tier, attempt, run):
    path = '/v1/services/none/bookings'
    headers = {
        'Idempotency-Key': 'test-booking-3',
        'Sesameward-Attempt': attempt,
    }
    reply = call(tier.entries[0].ports['port'], path, b'{}', headers)
    assert (reply.status, reply.json()['run']) == (404, run)


def test_caller_who_hangs_up_cancels_work_at_targets(tier):
    for target in tier.targets:
        tier.set_faults(target, latency_ms=3_000)
    before = sum(tier.calls(t)['cancelled'] for t in tier.targets)
    sock = socket.create_connection((HOST, tier.entries[0].ports['port']))
    body = b'{"match": {"hang": "up"}}'
    sock.sendall(
        f'POST {QUERY_PATH} HTTP/1.1\r\nHost: a\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'.encode()
        + body
    )
    time.sleep(0.3)
    sock.close()
    wait_until(
        lambda: (
            sum(tier.calls(t)['cancelled'] for t in tier.targets)
            >= before + tier.shape.instances
        ),
        'the cancellations',
        1.0,
    )
    for target in tier.targets:
        tier.set_faults(target)


def test_deadline_ends_the_answer_with_true_coverage(tier):
    for server in range(2):
        tier.set_faults(f't0-{server}', latency_ms=4_000)
    reply = tier.query(
        tier.entries[0], headers={'Sesameward-Deadline-Ms': '1000'}
    )
    for server in range(2):
        tier.set_faults(f't0-{server}')
    frames = reply.frames()
    rows = {f['shard'] for f in frames if f['frame'] == 'rows'}
    end = frames[-1]
    assert not end['complete']
    assert end['elapsed_ms'] < 1000
    assert end['answered'] == len(rows)
    missing = {m['shard'] for m in end['missing']}
    assert missing == set(tier.instance_shards(0))
    assert rows | missing == set(tier.shard_ids())


def test_connections_stay_within_the_share(tier):
    for target in tier.targets:
        calls = tier.calls(target)
        assert calls['peak_connections'] <= tier.shape.connections


def test_sigterm_cuts_off_nothing(tier):
    for target in tier.targets:
        tier.set_faults(target, latency_ms=1_000)
    entry = tier.entries.pop()
    conn = http.client.HTTPConnection(HOST, entry.ports['port'], timeout=10)
    conn.request('POST', QUERY_PATH, '{"match": {"last": 1}}')
    time.sleep(0.2)
    entry.send(signal.SIGTERM)
    frames = [json.loads(line) for line in conn.getresponse()]
    for target in tier.targets:
        tier.set_faults(target)
    assert frames[-1]['complete']
    # Callers may use the entry's address for a while longer, so the entry goes
    # on serving until then.
    assert tier.query(entry).frames()[-1]['complete']
    assert entry.wait(30) == 0
