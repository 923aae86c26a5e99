"""Compare an entry's sub-request cost with that of a bare pycurl loop."""

from __future__ import annotations

import io
import json
import multiprocessing
import multiprocessing.pool
import statistics
import sys
import time
import typing

import msgspec
import pycurl

from benchmark import callers
from sesameward.messages import ShardQuery
from sesameward.standin.processes import HOST
from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier

TARGET_PROCESSES = 4
CALLER_PROCESSES = 2
SATURATING_CONNECTIONS = 8
ROUNDS = 3
WARM_UP_S = 1.0
RUN_S = 4.0
IDLE_PAUSE_S = 0.02
BARE_REQUESTS = 10_000
BARE_HANDLES_PER_TARGET = 2
MIN_RATIO = 0.5


class QuickTier(Tier):
    """Run a tier with cheap stand-in targets, several in a process."""

    def start_target(self, instance: int, server: int) -> None:
        """Start all targets on the first call; do nothing on later ones."""
        if self.targets:
            return
        targets_with_shards = [
            (self.target_id(i, s), self.instance_shards(i))
            for i in range(self.shape.instances)
            for s in range(self.shape.servers)
        ]
        for index in range(TARGET_PROCESSES):
            part = targets_with_shards[index::TARGET_PROCESSES]
            process = self.run(
                f'targets-{index}',
                'benchmark.quick_target',
                json.dumps([shards for _, shards in part]),
                str(self.shape.records),
            )
            for (name, _), port in zip(
                part, process.ports['ports'], strict=True
            ):
                self.targets[name] = process
                self.target_ports[name] = port


def measure_entry(
    tier: Tier, pool: multiprocessing.pool.Pool, idle: bool = False
) -> dict:
    """Load the first entry and return its figures.

    Queries saturate it, or come one by one with pauses if idle is set.
    """
    entry = tier.entries[0]
    load = callers.Load(
        entry.ports['port'],
        1 if idle else SATURATING_CONNECTIONS,
        WARM_UP_S + RUN_S + 0.5,
        IDLE_PAUSE_S if idle else 0.0,
    )
    results = callers.start_load(pool, load, 1 if idle else CALLER_PROCESSES)
    time.sleep(WARM_UP_S)
    cpu_before_s = entry.cpu_s()
    began_at = time.monotonic()
    time.sleep(RUN_S)
    cpu_s = entry.cpu_s() - cpu_before_s
    end_at = time.monotonic()
    answers = callers.collect_answers(results)
    queries = answers.answers_between(began_at, end_at)
    first_rows_s = sorted(answers.first_rows_s)
    sub_requests = queries * tier.shape.instances
    return {
        'queries_per_s': round(queries / (end_at - began_at), 1),
        'cores': round(cpu_s / (end_at - began_at), 3),
        'incomplete': answers.incomplete,
        'sub_requests_per_core_s': round(sub_requests / cpu_s),
        'first_rows_p50_ms': round(statistics.median(first_rows_s) * 1000, 2),
        'first_rows_p99_ms': round(
            first_rows_s[len(first_rows_s) * 99 // 100] * 1000, 2
        ),
    }


def measure_bare(tier: Tier) -> float:
    """Return the sub-requests per core-second of a bare pycurl multi loop."""
    multi = pycurl.CurlMulti()
    handles = []
    for instance in range(tier.shape.instances):
        for server in range(tier.shape.servers):
            target = tier.target_id(instance, server)
            shard = tier.instance_shards(instance)[0]
            for _ in range(BARE_HANDLES_PER_TARGET):
                handles.append(bare_handle(tier.target_ports[target], shard))
    unsent = BARE_REQUESTS
    done = 0
    cpu_before_s = time.process_time()
    for handle in handles:
        send_request(multi, handle)
        unsent -= 1
    while done < BARE_REQUESTS:
        multi.perform()
        _, finished, failed = multi.info_read()
        if failed:
            raise RuntimeError(
                f'request of the bare pycurl loop failed: {failed[0][2]}'
            )
        for handle in finished:
            multi.remove_handle(handle)
            done += 1
            if unsent > 0:
                unsent -= 1
                send_request(multi, handle)
        multi.select(0.1)
    cpu_s = time.process_time() - cpu_before_s
    multi.close()
    return BARE_REQUESTS / cpu_s


def bare_handle(port: int, shard: str) -> pycurl.Curl:
    """Return a handle that queries one shard of a target."""
    query = ShardQuery(
        'a' * 35, 'r' * 32, 'trip-desk', 1, 1, (shard,), (1,), 500
    )
    handle = pycurl.Curl()
    handle.setopt(pycurl.URL, f'http://{HOST}:{port}/v1/query')
    handle.setopt(pycurl.POST, 1)
    handle.setopt(pycurl.HTTPHEADER, ['Expect:'])
    handle.setopt(pycurl.POSTFIELDS, msgspec.json.encode(query))
    handle.setopt(pycurl.NOSIGNAL, 1)
    return handle


def send_request(multi: pycurl.CurlMulti, handle: pycurl.Curl) -> None:
    """Send the request of a handle, again if it was already sent."""
    handle.setopt(pycurl.WRITEFUNCTION, io.BytesIO().write)
    multi.add_handle(handle)


def measure_round(tier: Tier, pool: multiprocessing.pool.Pool) -> dict:
    """Measure the entry between two runs of the bare pycurl loop.

    The ratio compares their sub-requests per core-second. Because the loop
    runs before and after, other load on the machine affects both alike.
    """
    before = measure_bare(tier)
    figures = measure_entry(tier, pool)
    bare = (before + measure_bare(tier)) / 2
    ratio = figures['sub_requests_per_core_s'] / bare
    return {
        **figures,
        'bare_per_core_s': round(bare),
        'ratio': round(ratio, 3),
    }


def make_shape(instances: int) -> Shape:
    """Return a shape where a query sends one sub-request per instance."""
    return Shape(
        nodes=1,
        instances=instances,
        shards=instances,
        latency_ms=0.0,
        records=5,
        slots=8,
        connections=25,
        deadline_ms=5_000,
    )


def measure_slope(sizes: typing.Sequence[int]) -> int:
    """Print a linear fit of processor time over sub-requests per query."""
    costs_us = []
    for size in sizes:
        with multiprocessing.Pool(CALLER_PROCESSES) as pool:
            with QuickTier(make_shape(size)) as tier:
                figures = measure_entry(tier, pool)
        costs_us.append(size * 1e6 / figures['sub_requests_per_core_s'])
    slope, intercept = statistics.linear_regression(sizes, costs_us)
    print(
        json.dumps(
            {
                'benchmark': 'path_slope',
                'sub_requests_per_query': list(sizes),
                'query_us': [round(cost) for cost in costs_us],
                'sub_request_us': round(slope, 1),
                'query_fixed_us': round(intercept),
            }
        )
    )
    return 0


def main() -> int:
    """Print the figures; return 1 if the entry's ratio is below MIN_RATIO.

    The ratio is that of the entry's sub-requests per core-second to those of
    the bare pycurl loop.

    Arguments are numbers of sub-requests per query: with any, print how the
    processor time of a query grows with them instead.
    """
    if len(sys.argv) > 1:
        return measure_slope([int(size) for size in sys.argv[1:]])
    shape = make_shape(20)
    with multiprocessing.Pool(CALLER_PROCESSES) as pool:
        with QuickTier(shape) as tier:
            idle = measure_entry(tier, pool, idle=True)
            rounds = sorted(
                (measure_round(tier, pool) for _ in range(ROUNDS)),
                key=lambda figures: figures['ratio'],
            )
            entry_rss_mb = tier.entries[0].rss_mb()
            agent_rss_mb = tier.agents[0].rss_mb()
    median_round = rounds[ROUNDS // 2]
    ratio = median_round['ratio']
    print(
        json.dumps(
            {
                'benchmark': 'path',
                'shards_per_query': shape.shards,
                **median_round,
                'idle': idle,
                'entry_rss_mb': round(entry_rss_mb, 1),
                'agent_rss_mb': round(agent_rss_mb, 1),
                'ratios': [figures['ratio'] for figures in rounds],
                'ratio_to_reach': MIN_RATIO,
            }
        )
    )
    return 0 if ratio >= MIN_RATIO else 1


if __name__ == '__main__':
    sys.exit(main())
