"""Measure what a query over shards costs a node of the platform path."""

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

SHARDS = 20
QUERIES = 400
CALLERS = 4
WARM_UP = 50
MB = 1_048_576


def cpu_s(node: FleetNode) -> float:
    """Return the processor time that a node has used."""
    with open(f'/proc/{node.process.pid}/stat') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def rss_mb(node: FleetNode) -> float:
    """Return a node's resident memory."""
    with open(f'/proc/{node.process.pid}/statm') as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / MB


async def load(fleet: Fleet, node: FleetNode, queries: int) -> list[float]:
    """Send queries over one kept connection; return their latencies."""
    caller = HttpCaller(node.host, PORTS['front'])
    took = []
    for n in range(queries):
        begun = time.perf_counter()
        reply = await caller.call(request(f'/q/{n}', fleet.request_id()), 5.0)
        took.append(time.perf_counter() - begun)
        if reply.status != 200:
            raise RuntimeError(f'a query ended with {reply.status}')
    caller.close()
    return took


async def measure(shards: int, queries: int) -> dict:
    """Return what a query costs at this many shards."""
    async with Fleet(nodes=1, shards=shards, replicas=1) as fleet:
        (node,) = fleet.nodes
        for target in fleet.targets.values():
            target.faults.work_s = 0.0
        await load(fleet, node, min(WARM_UP, queries))
        before = cpu_s(node)
        part = max(1, queries // CALLERS)
        took = await asyncio.gather(
            *(load(fleet, node, part) for _ in range(CALLERS))
        )
        spent = cpu_s(node) - before
        latencies = sorted(one for part in took for one in part)
        memory_mb = rss_mb(node)
    count = len(latencies)
    return {
        'benchmark': 'node',
        'shards': shards,
        'queries': count,
        'us_per_query': round(spent / count * 1e6),
        'us_per_sub_request': round(spent / count / shards * 1e6, 1),
        'p50_ms': round(latencies[count // 2] * 1_000, 1),
        'rss_mb': round(memory_mb, 1),
    }


def main() -> None:
    """Print the figures of each size as one JSON line."""
    sizes = [int(size) for size in sys.argv[1:]] or [SHARDS]
    for shards in sizes:
        print(json.dumps(asyncio.run(measure(shards, QUERIES))))


if __name__ == '__main__':
    main()
