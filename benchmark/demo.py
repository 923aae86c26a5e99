"""Show the whole path with separate processes, checking each step."""

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
NEW_WORK_LIMIT_S = 3.0
WATCH_S = 2.0
MANIFEST = {'match': {'manifest': 'launch-42'}}


class DemoError(Exception):
    """Report a step which did not hold."""


def check(holds: bool, what: str) -> None:
    """Print what holds; raise DemoError where it doesn't."""
    if not holds:
        raise DemoError(what)
    print(f'  ok: {what}')


def show_search(tier: Tier) -> None:
    """Read a search frame by frame while one server is slow."""
    print('A manifest search, with one slow instance:')
    for server in range(2):
        tier.set_faults(f't0-{server}', latency_ms=300)
    frames = read_frames(tier.entries[0].ports['port'])
    for server in range(2):
        tier.set_faults(f't0-{server}')
    end_s, end = frames[-1]
    rows = [at_s for at_s, frame in frames if frame['frame'] == 'rows']
    check(frames[0][1]['frame'] == 'open', 'the answer names its snapshot')
    check(
        rows[0] < end_s / 2,
        f'first rows after {rows[0] * 1000:.0f} ms, '
        f'the end after {end_s * 1000:.0f} ms',
    )
    check(
        end['complete'] and end['answered'] == tier.shape.shards,
        f'coverage: {end["answered"]} of {end["asked"]} shards',
    )


def read_frames(port: int) -> list[tuple[float, dict]]:
    """Return each frame with the seconds after which it came."""
    conn = http.client.HTTPConnection(HOST, port, timeout=10)
    began_at = time.monotonic()
    conn.request('POST', '/v1/services/trip-desk/query', json.dumps(MANIFEST))
    frames = []
    for line in conn.getresponse():
        frames.append((time.monotonic() - began_at, json.loads(line)))
    conn.close()
    return frames


def show_booking(tier: Tier) -> None:
    """Send one booking twice, to two entries."""
    print('One booking, sent twice:')
    key = 'demo-booking-1'
    first = tier.book(tier.entries[0], key).json()
    again = tier.book(tier.entries[-1], key).json()
    check(first['run'] == 'yes' and not first['repeated'], 'the first ran')
    check(
        again['run'] == 'yes' and again['repeated'],
        'the second was told that it was already done',
    )
    effects = sum(
        tier.calls(target)['bookings'].get(key, 0) for target in tier.targets
    )
    check(effects == 1, 'it took effect once')


class Load:
    """Send queries in the background and keep their ends."""

    def __init__(self, tier: Tier):
        self._tier = tier
        self._stop = threading.Event()
        self.ends: list[dict] = []
        self._threads = [
            threading.Thread(target=self._run, args=(entry,))
            for entry in tier.entries
        ]

    def __enter__(self) -> Load:
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
    """Drain a target by operator's command while queries run."""
    print('Draining target t1-0 while queries run:')
    agent = tier.agents[0].ports['http']
    with Load(tier) as load:
        time.sleep(0.5)
        call(agent, '/v1/drain', {'target': 't1-0'})
        took_s = wait_until(lambda: is_quiet(tier, 't1-0'), 'the drain', 10.0)
        before = tier.calls('t1-0')['queries']
        time.sleep(WATCH_S)
        after = tier.calls('t1-0')['queries']
    check(took_s < NEW_WORK_LIMIT_S, f'new work ended in {took_s:.1f} s')
    check(before == after, f'none came in the {WATCH_S:.0f} s after that')
    check(
        all(end.get('complete') for end in load.ends),
        f'all {len(load.ends)} answers meanwhile were complete',
    )


def is_quiet(tier: Tier, target: str) -> bool:
    """Tell whether a target got no query for a moment."""
    before = tier.calls(target)['queries']
    time.sleep(0.3)
    return tier.calls(target)['queries'] == before


def show_stop(tier: Tier) -> None:
    """Stop everything gracefully."""
    print('Stopping:')
    for process in [*tier.entries, *tier.agents]:
        process.send(15)
    codes = [p.wait(30) for p in [*tier.entries, *tier.agents]]
    check(set(codes) == {0}, 'entries and agents ended with exit code 0')


def main() -> int:
    """Run all steps; return the exit code."""
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
    print('Everything held; nothing is left running.')
    return 0


if __name__ == '__main__':
    sys.exit(main())
