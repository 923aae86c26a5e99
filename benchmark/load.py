"""Measure routing, hedging and admission against a plain baseline."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import json
import math
import random
import statistics
import time
import timeit

from sesameward import declared
from sesameward.admission import Admission
from sesameward.budget import BudgetBook
from sesameward.hedging import HedgePolicy
from sesameward.latency import LatencyTracker
from sesameward.messages import LoadReport
from sesameward.replicas import ReplicaChooser
from sesameward.settings import LimitSettings
from sesameward.types import Outcome
from sesameward.types import Priority
from sesameward.types import RequestId
from sesameward.types import ServiceName
from sesameward.types import ShardId
from sesameward.types import TargetId
from sesameward.types import ZoneName

from .queues import BaselineEntry
from .queues import Entry
from .queues import Events
from .queues import Query
from .queues import Result
from .queues import Server

MEDIAN_S = 0.005
SIGMA = 0.3
STRAGGLERS = 0.02
SLOWNESS = 20.0
DEADLINE_S = 0.21
WORKERS = 4
WARM_S = 3.0
ENTRIES = {'ours': Entry, 'baseline': BaselineEntry}


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of the values."""
    if not values:
        return math.nan
    values = sorted(values)
    return values[min(int(fraction * len(values)), len(values) - 1)]


def body_s(rng: random.Random, sigma: float) -> float:
    """Return one service time without straggling."""
    return MEDIAN_S * rng.lognormvariate(0.0, sigma)


def slow_requests(rng, sigma):
    """Make a part of all sub-requests straggle."""

    def service_s(now: float) -> float:
        slow = SLOWNESS if rng.random() < STRAGGLERS else 1.0
        return slow * body_s(rng, sigma)

    return service_s


def slow_spells(rng, sigma, offset, count):
    """Make a part of the servers straggle, others every two seconds."""

    def service_s(now: float) -> float:
        place = (offset + int(now / 2.0) * 7) % count
        slow = SLOWNESS if place < count * STRAGGLERS else 1.0
        return slow * body_s(rng, sigma)

    return service_s


def fan_out(
    kind: str, shards: int, queries: int, per_s: float, mode: str, sigma: float
) -> dict[str, float]:
    """Measure whole answers with stragglers among many shards."""
    rng = random.Random(4)
    events = Events()
    count = shards * 3
    servers = {}
    for index in range(count):
        match mode:
            case 'requests':
                service_s = slow_requests(rng, sigma)
            case 'servers':
                service_s = slow_spells(rng, sigma, index, count)
            case 'none':

                def service_s(now: float) -> float:
                    return body_s(rng, sigma)

        server = Server(events, f't{index}', service_s, slots=4)
        servers[server.id] = server
    ids = list(servers)
    replicas = [ids[index::shards] for index in range(shards)]
    result = Result()
    entry = ENTRIES[kind](events, servers, replicas, result, rng)
    for index in range(queries):
        query = Query(
            RequestId(f'q{index}'),
            Priority.INTERACTIVE,
            0.0,
            math.inf,
            range(shards),
        )
        events.at(index / per_s, entry.arrive, query)
    events.run()
    settled = [one[2] for one in result.answers[queries // 10 :]]
    return {
        'p50_ms': round(quantile(settled, 0.5) * 1e3, 2),
        'p99_ms': round(quantile(settled, 0.99) * 1e3, 2),
        'extra': round(result.extras / result.firsts, 4),
        'partial': result.partial,
    }


@dataclasses.dataclass(frozen=True)
class Shape:
    """Say how many servers serve how many shards."""

    servers: int
    slots: int
    shards: int
    width: int
    tolerance: float


DESK = Shape(servers=40, slots=2, shards=20, width=8, tolerance=2.5)
ROSTER = Shape(servers=4, slots=4, shards=1, width=1, tolerance=1.2)


def overload(
    kind: str, factor: float, sigma: float, shape: Shape, lose: bool = False
):
    """Measure five entries under overload, or with one entry lost."""
    rng = random.Random(5)
    events = Events()
    servers = {}
    for index in range(shape.servers):

        def service_s(now: float) -> float:
            return body_s(rng, sigma)

        server = Server(events, f't{index}', service_s, shape.slots, 50)
        servers[server.id] = server
    ids = list(servers)
    replicas = [ids[index :: shape.shards] for index in range(shape.shards)]
    slots = shape.servers * shape.slots
    capacity = slots / (MEDIAN_S * math.exp(sigma**2 / 2)) / shape.width
    result = Result()
    cfg = LimitSettings(latency_tolerance=shape.tolerance)
    entries = [
        ENTRIES[kind](events, servers, replicas, result, rng, cfg)
        for _ in range(5)
    ]
    light, heavy_from, heavy_to, end = 0.5, 3.0, 8.0, 15.0
    serial = 0

    def arrive() -> None:
        nonlocal serial
        serial += 1
        now = events.now
        heavy = heavy_from <= now < heavy_to
        rate = capacity * (factor if heavy else light)
        if now < end:
            events.at(now + rng.expovariate(rate), arrive)
        draw = rng.random()
        # The urgent rate stays the same while the rest grows.
        urgent = 0.2 * light / (factor if heavy else light)
        if draw < urgent:
            priority = Priority.INTERACTIVE
        elif draw < 0.6:
            priority = Priority.NORMAL
        else:
            priority = Priority.BATCH
        alive = [one for one in entries if one.alive]
        query = Query(
            RequestId(f'q{serial}'),
            priority,
            now,
            now + DEADLINE_S,
            rng.sample(range(shape.shards), shape.width),
        )
        rng.choice(alive).arrive(query)

    def lose_one() -> None:
        entries[0].alive = False

    if lose:
        events.at(heavy_from + 2.0, lose_one)
    events.at(0.0, arrive)
    events.run(heavy_from)
    before = (result.accepted, result.firsts, result.extras)
    events.run(heavy_to)
    accepted = result.accepted - before[0]
    sent = result.firsts + result.extras - before[1] - before[2]
    limits = [one.admission.limit for one in entries if one.admission]
    events.run(end + 1.0)
    good = len(result.latencies(heavy_from + 1.0, heavy_to))
    urgent = Priority.INTERACTIVE
    calm = quantile(result.latencies(1.0, heavy_from, urgent), 0.99)
    busy = quantile(result.latencies(heavy_from + 1.0, heavy_to, urgent), 0.99)
    after = quantile(result.latencies(heavy_to + 5.0, end, urgent), 0.99)
    goodput = good / (heavy_to - heavy_from - 1.0) / capacity
    late = result.latencies(heavy_to + 5.0, end)
    return {
        'goodput': round(goodput, 3),
        'urgent_calm_p99_ms': round(calm * 1e3, 2),
        'urgent_heavy_p99_ms': round(busy * 1e3, 2),
        'urgent_ratio': round(busy / calm, 3),
        'after_p99_ms': round(after * 1e3, 2),
        'after_goodput': round(
            len(late) / (end - heavy_to - 5.0) / capacity / light, 3
        ),
        'amplification': round(sent / max(accepted, 1) / shape.width, 4),
        'refusal_p99_ms': round(quantile(result.refusal_waits, 0.99) * 1e3, 2),
        'refused': dict(result.refused),
        'partial': result.partial,
        'limits': [round(limit, 1) for limit in limits],
    }


def main() -> None:
    """Print the figures; the last line is one JSON object."""
    began = time.monotonic()
    jobs = {}
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for kind in ENTRIES:
            for mode in ('requests', 'servers', 'none'):
                jobs[f'wide40 {mode} {kind}'] = pool.submit(
                    fan_out, kind, 40, 4_000, 100.0, mode, SIGMA
                )
                jobs[f'wide850 {mode} {kind}'] = pool.submit(
                    fan_out, kind, 850, 400, 40.0, mode, SIGMA
                )
            for sigma in (0.3, 0.5):
                jobs[f'overload {sigma} {kind}'] = pool.submit(
                    overload, kind, 2.0, sigma, DESK
                )
        figures = {}
        for name, job in jobs.items():
            figures[name] = job.result()
            print(name, figures[name], flush=True)
    figures['elapsed_s'] = round(time.monotonic() - began, 1)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
