"""Measure the tail latency of real entries while some targets straggle."""

from __future__ import annotations

import concurrent.futures
import json
import sys
import time

from sesameward.standin.processes import Process
from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier

STRAGGLER_CHANCE = 0.02
LATENCY_MS = 5.0
STRAGGLER_MS = 20 * LATENCY_MS
QUERIES_PER_S = 12.0
WARM_UP_S = 15.0
RUN_S = 20.0
MAX_P99_RATIO = 0.35
MAX_EXTRA_FRACTION = 0.05


class CallerSample:
    """Collect the latencies and incomplete answers of one entry's queries."""

    def __init__(self):
        self.latencies_s: list[float] = []
        self.incomplete = 0

    def quantile_ms(self, fraction: float) -> float:
        """Return a quantile of the latencies in milliseconds."""
        ordered = sorted(self.latencies_s)
        index = min(len(ordered) - 1, int(len(ordered) * fraction))
        return round(ordered[index] * 1000, 1)


def run_load(tier: Tier, entry: Process, run_s: float) -> CallerSample:
    """Send queries at a steady rate, without waiting for earlier answers."""
    sample = CallerSample()

    def send(due_at: float) -> None:
        time.sleep(max(0.0, due_at - time.monotonic()))
        end = tier.query(entry).frames()[-1]
        sample.latencies_s.append(time.monotonic() - due_at)
        sample.incomplete += not end.get('complete')

    began_at = time.monotonic()
    count = int(run_s * QUERIES_PER_S)
    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        for index in range(count):
            pool.submit(send, began_at + index / QUERIES_PER_S)
    return sample


def count_sub_requests(tier: Tier) -> int:
    """Return how many sub-requests the targets have received."""
    return sum(tier.calls(target)['queries'] for target in tier.targets)


def measure(
    tier: Tier, entry: Process, warm_up_s: float, run_s: float
) -> dict:
    """Warm an entry up, then measure its latencies and extra sub-requests."""
    run_load(tier, entry, warm_up_s)
    sent_before = count_sub_requests(tier)
    sample = run_load(tier, entry, run_s)
    sent = count_sub_requests(tier) - sent_before
    first_sub_requests = len(sample.latencies_s) * tier.shape.instances
    return {
        'queries': len(sample.latencies_s),
        'p50_ms': sample.quantile_ms(0.5),
        'p99_ms': sample.quantile_ms(0.99),
        'incomplete': sample.incomplete,
        'extra_sub_requests': round(sent / first_sub_requests - 1, 4),
    }


def main() -> int:
    """Print the figures; return 1 if one misses its goal.

    Arguments are the seconds of warm-up and of the measured run.
    """
    durations_s = [float(text) for text in sys.argv[1:]] or [WARM_UP_S, RUN_S]
    shape = Shape(
        nodes=2,
        instances=40,
        shards=40,
        latency_ms=LATENCY_MS,
        slots=8,
        deadline_ms=2_000,
    )
    with Tier(shape) as tier:
        tier.entries[1].close()
        tier.entries[1] = tier.start_entry(1, limits={'retry_budget': 0.0})
        tier.wait_ready()
        for target in tier.targets:
            tier.set_faults(
                target,
                straggler_chance=STRAGGLER_CHANCE,
                straggler_ms=STRAGGLER_MS,
            )
        baseline = measure(tier, tier.entries[1], *durations_s)
        ours = measure(tier, tier.entries[0], *durations_s)
    p99_ratio = ours['p99_ms'] / baseline['p99_ms']
    reached = (
        p99_ratio <= MAX_P99_RATIO
        and ours['extra_sub_requests'] <= MAX_EXTRA_FRACTION
    )
    print(
        json.dumps(
            {
                'benchmark': 'tail',
                'shards_per_query': shape.shards,
                **ours,
                'baseline': baseline,
                'p99_part': round(p99_ratio, 3),
                'p99_part_to_reach': MAX_P99_RATIO,
                'extra_to_reach': MAX_EXTRA_FRACTION,
                'reached': reached,
            }
        )
    )
    return 0 if reached else 1


if __name__ == '__main__':
    sys.exit(main())
