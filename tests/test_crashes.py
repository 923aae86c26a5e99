"""Test, with real processes, a query that crashes each target it runs on."""

from __future__ import annotations

from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier

MAX_CRASHED_TARGETS = 2
CRASHING_QUERY = {'match': {'x': 'boom'}}
DEADLINE_HEADERS = {'Sesameward-Deadline-Ms': '400'}


def test_crashing_request_is_refused_after_two_targets():
    with Tier(Shape(nodes=1, instances=2, shards=4, latency_ms=1.0)) as tier:
        entry = tier.entries[0]
        for target in tier.targets:
            tier.set_faults(target, crash_on='boom')
        # A client may silently resend a request whose kept-alive connection
        # broke, so these queries open connections first.
        for _ in range(5):
            assert tier.query(entry).frames()[-1]['complete']
        replies = [
            tier.query(entry, CRASHING_QUERY, DEADLINE_HEADERS)
            for _ in range(6)
        ]
        exit_codes = [process.exit_code for process in tier.targets.values()]
    answers = [reply for reply in replies if reply.status == 200]
    assert not any(reply.frames()[-1]['complete'] for reply in answers)
    refusal = replies[-1]
    assert refusal.status == 503
    assert refusal.json()['kind'] == 'quarantined'
    assert refusal.json()['run'] == 'no'
    crashed_targets = sum(code is not None for code in exit_codes)
    assert 1 <= crashed_targets <= MAX_CRASHED_TARGETS
