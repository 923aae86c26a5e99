"""Measure what a sub-request costs an entry, next to a bare pycurl loop."""

from __future__ import annotations

import http.client
import io
import json
import statistics
import sys
import threading
import time

import msgspec
import pycurl

from sesameward.messages import ShardQuery
from sesameward.standin.processes import HOST
from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier

QUERY = '/v1/services/trip-desk/query'
CALLERS = 8
WARM_UP_S = 2.0
RUN_S = 8.0
BARE_REQUESTS = 20_000
BARE_PER_TARGET = 2
REACH_RATIO = 0.5


class Caller(threading.Thread):
    """Send queries over one connection until told to stop."""

    def __init__(self, port: int, stop: threading.Event):
        super().__init__()
        self._conn = http.client.HTTPConnection(HOST, port, timeout=30)
        self._halt = stop
        self.queries = 0
        self.incomplete = 0
        self.first_rows_s: list[float] = []

    def run(self) -> None:
        """Send one query after another."""
        while not self._halt.is_set():
            began_at = time.monotonic()
            self._conn.request('POST', QUERY, '{}')
            resp = self._conn.getresponse()
            resp.readline()
            resp.readline()
            self.first_rows_s.append(time.monotonic() - began_at)
            tail = resp.read()
            self.queries += 1
            if b'"complete":true' not in tail:
                self.incomplete += 1
        self._conn.close()


def measure_entry(tier: Tier) -> dict:
    """Load the entry from several callers."""
    entry = tier.entries[0]
    stop = threading.Event()
    callers = [Caller(entry.ports['port'], stop) for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
    time.sleep(WARM_UP_S)
    before = (sum(c.queries for c in callers), entry.cpu_s())
    began_at = time.monotonic()
    time.sleep(RUN_S)
    elapsed_s = time.monotonic() - began_at
    queries = sum(c.queries for c in callers) - before[0]
    cpu_s = entry.cpu_s() - before[1]
    stop.set()
    for caller in callers:
        caller.join()
    first = sorted(t for c in callers for t in c.first_rows_s)
    sub_requests = queries * tier.shape.instances
    return {
        'queries': queries,
        'queries_per_s': round(queries / elapsed_s, 1),
        'cores': round(cpu_s / elapsed_s, 3),
        'incomplete': sum(c.incomplete for c in callers),
        'sub_requests_per_core_s': round(sub_requests / cpu_s),
        'first_rows_p50_ms': round(statistics.median(first) * 1000, 2),
        'first_rows_p99_ms': round(first[len(first) * 99 // 100] * 1000, 2),
        'entry_rss_mb': round(entry.rss_mb(), 1),
        'agent_rss_mb': round(tier.agents[0].rss_mb(), 1),
    }


def measure_idle_first_rows(tier: Tier) -> float:
    """Return the median milliseconds to the first rows without load."""
    stop = threading.Event()
    caller = Caller(tier.entries[0].ports['port'], stop)
    caller.start()
    time.sleep(1.0)
    stop.set()
    caller.join()
    return round(statistics.median(caller.first_rows_s) * 1000, 2)


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


def main() -> int:
    """Print the figures; return 1 where the ratio is not reached."""
    shape = Shape(
        nodes=1,
        instances=20,
        shards=20,
        latency_ms=0.0,
        records=5,
        slots=8,
        connections=25,
        deadline_ms=5_000,
    )
    with Tier(shape) as tier:
        idle_ms = measure_idle_first_rows(tier)
        bare = measure_bare(tier)
        figures = measure_entry(tier)
        bare = (bare + measure_bare(tier)) / 2
    ratio = figures['sub_requests_per_core_s'] / bare
    print(
        json.dumps(
            {
                'benchmark': 'path',
                'shards_per_query': shape.shards,
                'first_rows_idle_p50_ms': idle_ms,
                **figures,
                'bare_per_core_s': round(bare),
                'ratio': round(ratio, 3),
                'ratio_to_reach': REACH_RATIO,
            }
        )
    )
    return 0 if ratio >= REACH_RATIO else 1


if __name__ == '__main__':
    sys.exit(main())
