"""Measure routing, hedging and admission against a plain baseline."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import json
import math
import random
import sys
import time
import timeit

from sesameward.configuration import declared
from sesameward.messages import LoadReport
from sesameward.routing.admission import Admission
from sesameward.routing.budget import BudgetBook
from sesameward.routing.hedging import HedgePolicy
from sesameward.routing.latency import LatencyTracker
from sesameward.routing.replicas import ReplicaChooser
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
SEED = 4
WARM_S = 3.0
ENTRY_COUNT = 5
ODD_SERVERS = (0, 11)
SERVICE = ServiceName('trip-desk')
ZONE = ZoneName('a')
ENTRIES = {'ours': Entry, 'baseline': BaselineEntry}


def quantile_ms(values: list[float], fraction: float) -> float | None:
    """Return a quantile in milliseconds; None where nothing was seen."""
    if not values:
        return None
    values = sorted(values)
    place = min(int(fraction * len(values)), len(values) - 1)
    return round(values[place] * 1e3, 2)


def ratio(above: float | None, below: float | None) -> float | None:
    """Return a quotient; None where a side is missing."""
    if above is None or not below:
        return None
    return round(above / below, 3)


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
    kind: str,
    shards: int,
    queries: int,
    per_s: float,
    mode: str,
    sigma: float,
    seed: int = SEED,
) -> dict[str, float]:
    """Measure whole answers with stragglers among many shards."""
    rng = random.Random(seed)
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
        'p50_ms': quantile_ms(settled, 0.5),
        'p99_ms': quantile_ms(settled, 0.99),
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
ROSTER = Shape(servers=4, slots=4, shards=1, width=1, tolerance=1.05)


@dataclasses.dataclass(frozen=True)
class Phases:
    """Say when the load is heavy, in seconds, and how heavy."""

    heavy_from: float = 5.0
    heavy_to: float = 10.0
    end: float = 17.0
    light: float = 0.5
    heavy: float = 2.0
    lost_at: float = math.inf

    def load(self, now: float) -> float:
        """Return the offered load as a part of the capacity."""
        inside = self.heavy_from <= now < self.heavy_to
        return self.heavy if inside else self.light


class Callers:
    """Send queries whose urgent rate stays the same in all phases."""

    def __init__(self, events, entries, shape, phases, capacity, rng):
        self._events = events
        self._entries = entries
        self._shape = shape
        self._phases = phases
        self._capacity = capacity
        self._rng = rng
        self._serial = 0
        events.at(0.0, self._arrive)
        if phases.lost_at < math.inf:
            events.at(phases.lost_at, self._lose)

    def _arrive(self) -> None:
        now = self._events.now
        load = self._phases.load(now)
        if now < self._phases.end:
            pause_s = self._rng.expovariate(self._capacity * load)
            self._events.at(now + pause_s, self._arrive)
        self._serial += 1
        shards = range(self._shape.shards)
        query = Query(
            RequestId(f'q{self._serial}'),
            self._priority(load),
            now,
            now + DEADLINE_S,
            self._rng.sample(shards, self._shape.width),
        )
        alive = [one for one in self._entries if one.alive]
        self._rng.choice(alive).arrive(query)

    def _priority(self, load: float) -> Priority:
        draw = self._rng.random()
        if draw < 0.2 * self._phases.light / load:
            return Priority.INTERACTIVE
        return Priority.NORMAL if draw < 0.6 else Priority.BATCH

    def _lose(self) -> None:
        self._entries[0].die()


def crowd(
    kind: str, sigma: float, shape: Shape, phases: Phases, seed: int = SEED
):
    """Measure five entries while the load changes or one is lost."""
    rng = random.Random(seed + 1)
    events = Events()
    servers = {}
    for index in range(shape.servers):
        server = Server(
            events, f't{index}', lambda _: body_s(rng, sigma), shape.slots, 50
        )
        servers[server.id] = server
    ids = list(servers)
    replicas = [ids[place :: shape.shards] for place in range(shape.shards)]
    mean_s = MEDIAN_S * math.exp(sigma**2 / 2)
    capacity = shape.servers * shape.slots / mean_s / shape.width
    result = Result()
    cfg = LimitSettings(latency_tolerance=shape.tolerance)
    entries = [
        ENTRIES[kind](events, servers, replicas, result, rng, cfg)
        for _ in range(ENTRY_COUNT)
    ]
    Callers(events, entries, shape, phases, capacity, rng)
    events.run(phases.heavy_from)
    before = (result.accepted, result.firsts + result.extras)
    events.run(phases.heavy_to)
    accepted = result.accepted - before[0]
    sent = result.firsts + result.extras - before[1]
    events.run(phases.end + 1.0)
    figures = crowd_figures(result, phases, capacity)
    figures['amplification'] = round(sent / accepted / shape.width, 4)
    return figures


def crowd_figures(result: Result, phases: Phases, capacity: float):
    """Summarize what callers saw in each phase."""
    urgent = Priority.INTERACTIVE
    start, stop = phases.heavy_from + 1.0, phases.heavy_to
    after = phases.heavy_to + 5.0
    if phases.lost_at < math.inf:
        start = phases.lost_at + 3.0
    calm_ms = quantile_ms(
        result.latencies(1.0, phases.heavy_from, urgent), 0.99
    )
    busy_ms = quantile_ms(result.latencies(start, stop, urgent), 0.99)
    after_ms = quantile_ms(result.latencies(after, phases.end, urgent), 0.99)
    good = len(result.latencies(start, stop)) / (stop - start)
    late = None
    if after < phases.end:
        late = len(result.latencies(after, phases.end))
        late /= phases.end - after
    offered = capacity * phases.light
    return {
        'goodput': round(good / capacity, 3),
        'urgent_calm_p99_ms': calm_ms,
        'urgent_heavy_p99_ms': busy_ms,
        'urgent_ratio': ratio(busy_ms, calm_ms),
        'after_p99_ms': after_ms,
        'after_goodput_of_offered': ratio(late, offered),
        'refusal_p99_ms': quantile_ms(result.refusal_waits, 0.99),
        'refused': dict(result.refused),
        'urgent_refused': sum(
            count
            for reason, count in result.refused.items()
            if reason.startswith(urgent.value)
        ),
        'partial': result.partial,
    }


def uneven(kind: str, mode: str, seed: int = SEED):
    """Measure replicas that lie about their load or start cold."""
    rng = random.Random(seed + 2)
    events = Events()
    servers = {}
    for index in range(20):
        odd = index in ODD_SERVERS
        lies = odd and mode == 'lying'
        service_s = uneven_s(rng, mode, odd)
        server = Server(events, f't{index}', service_s, 4, lies=lies)
        servers[server.id] = server
    ids = list(servers)
    replicas = [ids[place::5] for place in range(5)]
    result = Result()
    entries = [
        ENTRIES[kind](events, servers, replicas, result, rng)
        for _ in range(ENTRY_COUNT)
    ]
    per_s = 0.6 * 80 / (MEDIAN_S * math.exp(SIGMA**2 / 2)) / 5
    for index in range(int(6.0 * per_s)):
        query = Query(
            RequestId(f'q{index}'),
            Priority.INTERACTIVE,
            0.0,
            math.inf,
            range(5),
        )
        events.at(index / per_s, rng.choice(entries).arrive, query)
    events.run()
    settled = result.latencies(start=1.0)
    return {
        'p50_ms': quantile_ms(settled, 0.5),
        'p99_ms': quantile_ms(settled, 0.99),
        'extra': round(result.extras / result.firsts, 4),
    }


def uneven_s(rng: random.Random, mode: str, odd: bool):
    """Return the service times of a usual or an odd server."""

    def service_s(now: float) -> float:
        factor = 1.0
        if odd and mode == 'lying':
            factor = 3.0
        if odd and mode == 'cold':
            warm = min(max(now - 2.0, 0.0) / WARM_S, 1.0)
            factor = 10.0 - 9.0 * warm if now >= 2.0 else 1.0
        return factor * body_s(rng, SIGMA)

    return service_s


def chooser_of(count: int) -> tuple[ReplicaChooser, list[TargetId]]:
    """Return a chooser that knows some targets."""
    chooser = ReplicaChooser(ZONE, random.Random(1))
    ids = [TargetId(f't{index}') for index in range(count)]
    for one in ids:
        chooser.declare(
            declared.Target(
                id=one,
                host='127.0.0.1',
                port=1,
                zone=ZONE,
                shards=(ShardId('s0'),),
            )
        )
        chooser.started(one, 0.0)
        chooser.finished(one, Outcome.OK, MEDIAN_S, 0.0)
        chooser.reported(one, LoadReport(in_flight=1), 0.0)
    return chooser, ids


def cost_us(call) -> float:
    """Return the microseconds of one call."""
    return round(min(timeit.repeat(call, number=20_000, repeat=3)) * 50, 3)


def costs() -> dict[str, float]:
    """Measure the processor time of each decision."""
    figures = {}
    for count in (2, 3, 4, 8, 16):
        chooser, ids = chooser_of(count)
        figures[f'choose_{count}_us'] = cost_us(
            lambda: chooser.choose(ids, 0.1)
        )
    slope = figures['choose_16_us'] - figures['choose_2_us']
    figures['choose_slope_us_per_candidate'] = round(slope / 14, 3)
    one = ids[0]
    report = LoadReport(in_flight=1)
    figures['started_finished_us'] = cost_us(
        lambda: (
            chooser.started(one, 0.1),
            chooser.finished(one, Outcome.OK, MEDIAN_S, 0.1),
        )
    )
    figures['reported_us'] = cost_us(
        lambda: chooser.reported(one, report, 0.1)
    )
    tracker = LatencyTracker()
    figures['observe_us'] = cost_us(
        lambda: tracker.observe('k', MEDIAN_S, 0.1)
    )
    window = tracker.window('k', 0.1)
    figures['window_observe_us'] = cost_us(
        lambda: window.observe(MEDIAN_S, 0.1)
    )
    policy = HedgePolicy(tracker, 0.05)
    figures['hedge_delay_us'] = cost_us(lambda: policy.delay_s('k', 0.1))
    figures['hedge_sent_us'] = cost_us(lambda: policy.sent('k', False))
    book = BudgetBook(0.05)
    figures['deposit_us'] = cost_us(lambda: book.deposit(SERVICE, one))
    figures['withdraw_us'] = cost_us(lambda: book.withdraw(SERVICE, one))
    admission = Admission(LimitSettings(), random.Random(1))

    def admit() -> None:
        name = RequestId('q')
        admission.arrive(name, Priority.NORMAL, 1.0, 1.0, 0.1)
        admission.finished(name, MEDIAN_S, 0.1)

    figures['admit_finish_us'] = cost_us(admit)
    return figures


def verdict(figures) -> dict[str, bool]:
    """Compare the figures with what was to be reached."""
    found = {}
    for mode in ('requests', 'servers'):
        ours = figures[f'wide40 {mode} ours']
        plain = figures[f'wide40 {mode} baseline']
        found[f'wide40 {mode} p99'] = ours['p99_ms'] <= 0.35 * plain['p99_ms']
        found[f'wide40 {mode} extra'] = ours['extra'] <= 0.05
        wide = figures[f'wide850 {mode} ours']
        bound = 2.0 * figures['wide850 none baseline']['p50_ms']
        found[f'wide850 {mode} p99'] = wide['p99_ms'] <= bound
        found[f'wide850 {mode} extra'] = wide['extra'] <= 0.05
    for name in ('desk', 'roster'):
        ours = figures[f'overload {name} ours']
        found[f'{name} goodput'] = ours['goodput'] >= 0.9
        found[f'{name} urgent'] = ours['urgent_ratio'] <= 1.3
        found[f'{name} amplification'] = ours['amplification'] <= 1.06
        found[f'{name} refusals'] = ours['refusal_p99_ms'] <= 5.0
        found[f'{name} recovery'] = (
            ours['after_p99_ms'] <= 1.3 * ours['urgent_calm_p99_ms']
        )
    lost = figures['lost desk ours']
    found['lost urgent'] = lost['urgent_ratio'] <= 1.3
    for mode in ('lying', 'cold'):
        ours = figures[f'{mode} ours']['p99_ms']
        found[mode] = ours < figures[f'{mode} baseline']['p99_ms']
    return found


def plan(pool, kind: str, seed: int):
    """Start all measurements of one kind."""
    for mode in ('requests', 'servers', 'none'):
        yield (
            f'wide40 {mode} {kind}',
            pool.submit(fan_out, kind, 40, 4_000, 100.0, mode, SIGMA, seed),
        )
        yield (
            f'wide850 {mode} {kind}',
            pool.submit(fan_out, kind, 850, 400, 40.0, mode, SIGMA, seed),
        )
    lost = Phases(
        heavy_from=4.0, heavy_to=10.0, end=10.0, heavy=0.5, lost_at=4.0
    )
    for name, shape in (('desk', DESK), ('roster', ROSTER)):
        yield (
            f'overload {name} {kind}',
            pool.submit(crowd, kind, SIGMA, shape, Phases(), seed),
        )
    yield (
        f'lost desk {kind}',
        pool.submit(crowd, kind, SIGMA, DESK, lost, seed),
    )
    for mode in ('lying', 'cold'):
        yield f'{mode} {kind}', pool.submit(uneven, kind, mode, seed)


def main() -> None:
    """Print the figures; the last line is one JSON object."""
    began = time.monotonic()
    seed = int(sys.argv[1]) if sys.argv[1:] else SEED
    figures: dict[str, object] = {'costs': costs()}
    print('costs', figures['costs'], flush=True)
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        jobs = [job for kind in ENTRIES for job in plan(pool, kind, seed)]
        for name, job in jobs:
            figures[name] = job.result()
            print(name, figures[name], flush=True)
    figures['verdict'] = verdict(figures)
    figures['elapsed_s'] = round(time.monotonic() - began, 1)
    print(json.dumps(figures, allow_nan=False))


if __name__ == '__main__':
    main()
