"""Test a request which crashes each target that runs it, with processes."""

from __future__ import annotations

from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier

MOST_CRASHES = 2
CRASHING = {'match': {'x': 'boom'}}
DEADLINE = {'Sesameward-Deadline-Ms': '400'}


def test_crashing_request_is_refused_after_two_targets():
    with Tier(Shape(nodes=1, instances=2, shards=4, latency_ms=1.0)) as tier:
        entry = tier.entries[0]
        for target in tier.targets:
            tier.set_faults(target, crash_on='boom')
        # Warm connections are where a request could be sent again unseen.
        for _ in range(5):
            assert tier.query(entry).frames()[-1]['complete']
        replies = [tier.query(entry, CRASHING, DEADLINE) for _ in range(6)]
        codes = [process.exit_code for process in tier.targets.values()]
    answers = [reply for reply in replies if reply.status == 200]
    assert not any(reply.frames()[-1]['complete'] for reply in answers)
    refusal = replies[-1]
    assert refusal.status == 503
    assert refusal.json()['kind'] == 'quarantined'
    assert refusal.json()['run'] == 'no'
    crashes = sum(code is not None for code in codes)
    assert 1 <= crashes <= MOST_CRASHES
