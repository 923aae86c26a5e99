"""Measure what a sub-request costs an entry, next to a bare pycurl loop."""

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
SATURATING = 8
ROUNDS = 3
WARM_UP_S = 1.0
RUN_S = 4.0
IDLE_PAUSE_S = 0.02
BARE_REQUESTS = 10_000
BARE_PER_TARGET = 2
REACH_RATIO = 0.5


class QuickTier(Tier):
    """Run a tier whose targets cost little processor time."""

    def start_target(self, instance: int, server: int) -> None:
        """Start all targets with the first of them."""
        if self.targets:
            return
        names = [
            (self.target_id(i, s), self.instance_shards(i))
            for i in range(self.shape.instances)
            for s in range(self.shape.servers)
        ]
        for index in range(TARGET_PROCESSES):
            part = names[index::TARGET_PROCESSES]
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
    """Load the entry: saturate it, or leave it idle most of the time."""
    entry = tier.entries[0]
    load = callers.Load(
        entry.ports['port'],
        1 if idle else SATURATING,
        WARM_UP_S + RUN_S + 0.5,
        IDLE_PAUSE_S if idle else 0.0,
    )
    running = callers.start(pool, load, 1 if idle else CALLER_PROCESSES)
    time.sleep(WARM_UP_S)
    began_s = entry.cpu_s()
    began_at = time.monotonic()
    time.sleep(RUN_S)
    cpu_s = entry.cpu_s() - began_s
    end_at = time.monotonic()
    seen = callers.collect(running)
    queries = seen.between(began_at, end_at)
    first = sorted(seen.first_rows_s)
    sub_requests = queries * tier.shape.instances
    return {
        'queries_per_s': round(queries / (end_at - began_at), 1),
        'cores': round(cpu_s / (end_at - began_at), 3),
        'incomplete': seen.incomplete,
        'sub_requests_per_core_s': round(sub_requests / cpu_s),
        'first_rows_p50_ms': round(statistics.median(first) * 1000, 2),
        'first_rows_p99_ms': round(first[len(first) * 99 // 100] * 1000, 2),
    }


def measure_bare(tier: Tier) -> float:
    """Return sub-requests a core-second of a bare pycurl multi loop."""
    multi = pycurl.CurlMulti()
    handles = []
    for instance in range(tier.shape.instances):
        for server in range(tier.shape.servers):
            target = tier.target_id(instance, server)
            shard = tier.instance_shards(instance)[0]
            for _ in range(BARE_PER_TARGET):
                handles.append(bare_handle(tier.target_ports[target], shard))
    left = BARE_REQUESTS
    done = 0
    began_s = time.process_time()
    for handle in handles:
        submit(multi, handle)
        left -= 1
    while done < BARE_REQUESTS:
        multi.perform()
        _, finished, failed = multi.info_read()
        if failed:
            raise RuntimeError(f'bare loop failed: {failed[0][2]}')
        for handle in finished:
            multi.remove_handle(handle)
            done += 1
            if left > 0:
                left -= 1
                submit(multi, handle)
        multi.select(0.1)
    cpu_s = time.process_time() - began_s
    multi.close()
    return BARE_REQUESTS / cpu_s


def bare_handle(port: int, shard: str) -> pycurl.Curl:
    """Return a handle which asks a target for one shard."""
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


def submit(multi: pycurl.CurlMulti, handle: pycurl.Curl) -> None:
    """Start the handle's next request."""
    handle.setopt(pycurl.WRITEFUNCTION, io.BytesIO().write)
    multi.add_handle(handle)


def measure_round(tier: Tier, pool: multiprocessing.pool.Pool) -> dict:
    """Measure both close to each other, since other load disturbs them."""
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
    """Return a tier of which each query asks this many servers."""
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
    """Print the processor time of a query over its sub-requests."""
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
    """Print the figures; return 1 where the ratio is not reached."""
    if len(sys.argv) > 1:
        return measure_slope([int(size) for size in sys.argv[1:]])
    shape = make_shape(20)
    with multiprocessing.Pool(CALLER_PROCESSES) as pool:
        with QuickTier(shape) as tier:
            idle = measure_entry(tier, pool, idle=True)
            rounds = sorted(
                (measure_round(tier, pool) for _ in range(ROUNDS)),
                key=lambda one: one['ratio'],
            )
            entry_rss_mb = tier.entries[0].rss_mb()
            agent_rss_mb = tier.agents[0].rss_mb()
    middle = rounds[ROUNDS // 2]
    ratio = middle['ratio']
    print(
        json.dumps(
            {
                'benchmark': 'path',
                'shards_per_query': shape.shards,
                **middle,
                'idle': idle,
                'entry_rss_mb': round(entry_rss_mb, 1),
                'agent_rss_mb': round(agent_rss_mb, 1),
                'ratios': [one['ratio'] for one in rounds],
                'ratio_to_reach': REACH_RATIO,
            }
        )
    )
    return 0 if ratio >= REACH_RATIO else 1


if __name__ == '__main__':
    sys.exit(main())
