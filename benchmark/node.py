"""Measure the processor time per query of a node of sesameward.platform."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time

from sesameward.serving.http_caller import HttpCaller
from sesameward.standin.fleet import Fleet
from sesameward.standin.fleet import FleetNode
from sesameward.standin.fleet import PORTS
from sesameward.standin.fleet import request

DEFAULT_SHARDS = 20
QUERIES = 400
CALLERS = 4
WARM_UP_QUERIES = 50
BYTES_PER_MB = 1_048_576


def cpu_s(node: FleetNode) -> float:
    """Return the processor time that a node has used, in seconds."""
    with open(f'/proc/{node.process.pid}/stat') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def rss_mb(node: FleetNode) -> float:
    """Return a node's resident memory in MiB."""
    with open(f'/proc/{node.process.pid}/statm') as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / BYTES_PER_MB


async def send_queries(
    fleet: Fleet, node: FleetNode, queries: int
) -> list[float]:
    """Send queries in turn over one connection; return their latencies."""
    caller = HttpCaller(node.host, PORTS['front'])
    latencies_s = []
    for number in range(queries):
        began_at = time.perf_counter()
        reply = await caller.call(
            request(f'/q/{number}', fleet.request_id()), 5.0
        )
        latencies_s.append(time.perf_counter() - began_at)
        if reply.status != 200:
            raise RuntimeError(f'query failed with HTTP status {reply.status}')
    caller.close()
    return latencies_s


async def measure(shards: int, queries: int) -> dict:
    """Load one node with queries to all shards; return the figures."""
    async with Fleet(nodes=1, shards=shards, replicas=1) as fleet:
        (node,) = fleet.nodes
        for target in fleet.targets.values():
            target.faults.work_s = 0.0
        await send_queries(fleet, node, min(WARM_UP_QUERIES, queries))
        cpu_before_s = cpu_s(node)
        queries_per_caller = max(1, queries // CALLERS)
        latencies_by_caller = await asyncio.gather(
            *(
                send_queries(fleet, node, queries_per_caller)
                for _ in range(CALLERS)
            )
        )
        spent_cpu_s = cpu_s(node) - cpu_before_s
        latencies_s = sorted(
            latency_s for part in latencies_by_caller for latency_s in part
        )
        memory_mb = rss_mb(node)
    count = len(latencies_s)
    return {
        'benchmark': 'node',
        'shards': shards,
        'queries': count,
        'us_per_query': round(spent_cpu_s / count * 1e6),
        'us_per_sub_request': round(spent_cpu_s / count / shards * 1e6, 1),
        'p50_ms': round(latencies_s[count // 2] * 1_000, 1),
        'rss_mb': round(memory_mb, 1),
    }


def main() -> None:
    """Print one JSON line for each number of shards."""
    shard_counts = [int(text) for text in sys.argv[1:]] or [DEFAULT_SHARDS]
    for shards in shard_counts:
        print(json.dumps(asyncio.run(measure(shards, QUERIES))))


if __name__ == '__main__':
    main()
