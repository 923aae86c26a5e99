"""Demonstrate search, booking, drain and stop with real processes.

Each step checks its result.
"""

from __future__ import annotations

import http.client
import json
import sys
import threading
import time

from sesameward.standin.processes import call
from sesameward.standin.processes import HOST
from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier
from sesameward.standin.processes import wait_until

INSTANCES = 8
MAX_DRAIN_S = 3.0
QUIET_CHECK_S = 2.0
MANIFEST = {'match': {'manifest': 'launch-42'}}


class DemoError(Exception):
    """Report a step of the demo whose check failed."""


def check(passed: bool, description: str) -> None:
    """Print a check that passed; raise DemoError if it failed."""
    if not passed:
        raise DemoError(description)
    print(f'  ok: {description}')


def show_search(tier: Tier) -> None:
    """Read the frames of a search while one instance is slow."""
    print('Searching for a manifest while one instance is slow:')
    for server in range(2):
        tier.set_faults(f't0-{server}', latency_ms=300)
    frames = read_frames(tier.entries[0].ports['port'])
    for server in range(2):
        tier.set_faults(f't0-{server}')
    end_s, end = frames[-1]
    row_times_s = [at_s for at_s, frame in frames if frame['frame'] == 'rows']
    check(
        frames[0][1]['frame'] == 'open', 'the answer starts with an open frame'
    )
    check(
        row_times_s[0] < end_s / 2,
        f'first rows after {row_times_s[0] * 1000:.0f} ms, '
        f'the end after {end_s * 1000:.0f} ms',
    )
    check(
        end['complete'] and end['answered'] == tier.shape.shards,
        f'coverage: {end["answered"]} of {end["asked"]} shards',
    )


def read_frames(port: int) -> list[tuple[float, dict]]:
    """Send a search; return its frames with their times in seconds."""
    conn = http.client.HTTPConnection(HOST, port, timeout=10)
    began_at = time.monotonic()
    conn.request('POST', '/v1/services/trip-desk/query', json.dumps(MANIFEST))
    frames = []
    for line in conn.getresponse():
        frames.append((time.monotonic() - began_at, json.loads(line)))
    conn.close()
    return frames


def show_booking(tier: Tier) -> None:
    """Send a booking to two entries; it must take effect once."""
    print('Sending one booking to two entries:')
    key = 'demo-booking-1'
    first = tier.book(tier.entries[0], key).json()
    second = tier.book(tier.entries[-1], key).json()
    check(
        first['run'] == 'yes' and not first['repeated'],
        'the first entry ran the booking',
    )
    check(
        second['run'] == 'yes' and second['repeated'],
        'the second entry replied that the booking had already run',
    )
    effect_count = sum(
        tier.calls(target)['bookings'].get(key, 0) for target in tier.targets
    )
    check(effect_count == 1, 'the booking took effect once')


class BackgroundQueries:
    """Query all entries in the background; keep each answer's end frame."""

    def __init__(self, tier: Tier):
        self._tier = tier
        self._stop = threading.Event()
        self.ends: list[dict] = []
        self._threads = [
            threading.Thread(target=self._run, args=(entry,))
            for entry in tier.entries
        ]

    def __enter__(self) -> BackgroundQueries:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, entry) -> None:
        while not self._stop.is_set():
            reply = self._tier.query(entry, MANIFEST)
            self.ends.append(reply.frames()[-1])


def show_drain(tier: Tier) -> None:
    """Drain a target through its agent while queries run."""
    print('Draining target t1-0 while queries run:')
    agent = tier.agents[0].ports['http']
    with BackgroundQueries(tier) as background:
        time.sleep(0.5)
        call(agent, '/v1/drain', {'target': 't1-0'})
        took_s = wait_until(lambda: is_quiet(tier, 't1-0'), 'the drain', 10.0)
        queries_before = tier.calls('t1-0')['queries']
        time.sleep(QUIET_CHECK_S)
        queries_after = tier.calls('t1-0')['queries']
    check(
        took_s < MAX_DRAIN_S,
        f'new queries to the target ended after {took_s:.1f} s',
    )
    check(
        queries_before == queries_after,
        f'no query arrived in the next {QUIET_CHECK_S:.0f} s',
    )
    check(
        all(end.get('complete') for end in background.ends),
        f'all {len(background.ends)} answers during the drain were complete',
    )


def is_quiet(tier: Tier, target: str) -> bool:
    """Tell whether a target receives no query for 0.3 s."""
    queries_before = tier.calls(target)['queries']
    time.sleep(0.3)
    return tier.calls(target)['queries'] == queries_before


def show_stop(tier: Tier) -> None:
    """Stop entries and agents with SIGTERM; they must exit with code 0."""
    print('Stopping entries and agents:')
    for process in [*tier.entries, *tier.agents]:
        process.send(15)
    codes = [process.wait(30) for process in [*tier.entries, *tier.agents]]
    check(set(codes) == {0}, 'all entries and agents exited with code 0')


def main() -> int:
    """Run all steps; return 1 if one fails."""
    shape = Shape(instances=INSTANCES, shards=2 * INSTANCES)
    print(
        f'Starting a platform, {INSTANCES} x 2 targets, '
        '2 agents, 2 entries ...'
    )
    try:
        with Tier(shape) as tier:
            show_search(tier)
            show_booking(tier)
            show_drain(tier)
            show_stop(tier)
    except (DemoError, TimeoutError) as exc:
        print(f'  FAILED: {exc}')
        return 1
    print('All steps passed; no process is left running.')
    return 0


if __name__ == '__main__':
    sys.exit(main())
