"""Measure the targets lost to a crashing request, with real processes."""

from __future__ import annotations

import concurrent.futures
import contextlib
import itertools
import json
import re
import statistics
import threading
import time
import typing

import msgspec

from sesameward.standin.processes import call
from sesameward.standin.processes import Process
from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier
from sesameward.standin.processes import wait_until

NODES = 5
SENDS_IN_TURN = 10
CALLER_COUNT = 5
DEADLINE_MS = 1_000
CRASH_DELAYS_MS = (1.0, 20.0, 100.0)
CALM_QUERIES = 500
SETTLE_PAUSE_S = 0.5

# For alarm_s after a crash, entries send one sub-request of each request not
# seen before as a canary. The benchmark waits that long between runs.
ALARM_S = 1.5

SETTINGS_BY_MODE = {
    'off': {'quarantine': {'enabled': False}},
    'on': {'quarantine': {'alarm_s': ALARM_S}},
}
WITHOUT_LEAD = {'quarantine': {'lead_s': 0.0}}


class Row(msgspec.Struct, frozen=True):
    """Hold the figures of one run with a crashing request."""

    targets_lost: int
    innocent_answers: int
    innocent_incomplete: int
    innocent_refused: int
    innocent_failed: int
    home_fallbacks: int


class Callers:
    """Send harmless queries until the end of the context; count results.

    Every other query has a text that no entry has seen before.
    """

    def __init__(self, tier: Tier, run: str):
        self.answers = self.incomplete = self.refused = self.failed = 0
        self._tier = tier
        self._run_name = run
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._send_queries, args=(index,))
            for index in range(CALLER_COUNT)
        ]

    def __enter__(self) -> Callers:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send_queries(self, index: int) -> None:
        entry = self._tier.entries[index % NODES]
        for number in itertools.count():
            if self._stop.is_set():
                return
            unseen = f'{self._run_name}-{index}-{number}'
            text = unseen if number % 2 else f'seen-{index}'
            try:
                reply = self._tier.query(entry, {'match': {'text': text}})
            except OSError:
                self._count('failed')
                continue
            self._count('answers')
            if reply.status != 200:
                self._count('refused')
            elif not reply.frames()[-1].get('complete'):
                self._count('incomplete')

    def _count(self, name: str) -> None:
        with self._lock:
            setattr(self, name, getattr(self, name) + 1)


def poison_body(name: str) -> dict:
    """Return the body of a query that crashes targets."""
    return {'match': {'text': f'poison {name}'}}


def send_in_turn(tier: Tier, body: dict) -> None:
    """Send a query to one entry after another; await each answer."""
    for number in range(SENDS_IN_TURN):
        with contextlib.suppress(OSError):
            tier.query(tier.entries[number % NODES], body)


def send_at_once(tier: Tier, body: dict) -> None:
    """Send a query to all entries at once, then to one after another."""
    with concurrent.futures.ThreadPoolExecutor(NODES) as pool:
        list(pool.map(lambda entry: tier.query(entry, body), tier.entries))
    send_in_turn(tier, body)


def measure_poison(
    tier: Tier,
    name: str,
    crash_ms: float,
    send: typing.Callable[[Tier, dict], None],
) -> Row:
    """Send one crashing query repeatedly and return the losses."""
    fallbacks_before = count_home_fallbacks(tier)
    for target in tier.targets:
        tier.set_faults(target, crash_on='poison', crash_after_ms=crash_ms)
    with Callers(tier, name) as callers:
        time.sleep(SETTLE_PAUSE_S)
        send(tier, poison_body(name))
        time.sleep(SETTLE_PAUSE_S)
        targets_lost = len(tier.dead_targets())
    tier.restart_dead_targets()
    for entry in tier.entries:
        wait_until(lambda checked=entry: tier.is_whole(checked), entry.name)
    return Row(
        targets_lost,
        callers.answers,
        callers.incomplete,
        callers.refused,
        callers.failed,
        count_home_fallbacks(tier) - fallbacks_before,
    )


def lists_all_entries(entry: Process) -> bool:
    """Tell whether an entry lists all entries, and so knows every home."""
    found = call(entry.ports['port'], '/v1/addresses').json()
    return len(found['addresses']) == NODES


def count_home_fallbacks(tier: Tier) -> int:
    """Return how often entries decided without the home node."""
    pages = [
        call(entry.ports['port'], '/metrics').body for entry in tier.entries
    ]
    counts = re.findall(
        rb'sesameward_home_fallbacks_total\S* ([0-9.]+)', b''.join(pages)
    )
    return sum(int(float(count)) for count in counts)


def measure_calm(tier: Tier) -> dict[str, float]:
    """Measure the latency of new queries, sent one at a time."""
    elapsed_ms = []
    for number in range(CALM_QUERIES):
        entry = tier.entries[number % NODES]
        body = {'match': {'text': f'calm-{number}'}}
        began_at = time.perf_counter()
        tier.query(entry, body)
        elapsed_ms.append((time.perf_counter() - began_at) * 1000)
    elapsed_ms.sort()
    return {
        'p50_ms': round(statistics.median(elapsed_ms), 2),
        'p99_ms': round(elapsed_ms[int(CALM_QUERIES * 0.99)], 2),
    }


def measure(settings: dict) -> dict[str, object]:
    """Run a tier with these settings and return its figures."""
    figures: dict[str, object] = {}
    shape = Shape(nodes=NODES, deadline_ms=DEADLINE_MS, max_deadline_ms=5_000)
    with Tier(shape, **settings) as tier:
        for entry in tier.entries:
            wait_until(
                lambda checked=entry: lists_all_entries(checked),
                'all addresses',
            )
        figures['calm'] = measure_calm(tier)
        print('calm', figures['calm'], flush=True)
        if settings is WITHOUT_LEAD:
            return figures
        for crash_ms in CRASH_DELAYS_MS:
            for send in (send_in_turn, send_at_once):
                if settings is SETTINGS_BY_MODE['on']:
                    time.sleep(ALARM_S)
                name = f'{send.__name__} {crash_ms:g} ms'
                row = measure_poison(tier, name, crash_ms, send)
                figures[name] = msgspec.to_builtins(row)
                print(name, row, flush=True)
    return figures


def main() -> None:
    """Print a line for each run, then all figures as JSON."""
    figures = {}
    for name, settings in {**SETTINGS_BY_MODE, 'unled': WITHOUT_LEAD}.items():
        print(name)
        figures[name] = measure(settings)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
