"""Simulate routing, hedging and admission and compare with a baseline."""

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
from sesameward.routing.budget import RetryBudgets
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
from .queues import EventQueue
from .queues import Query
from .queues import Result
from .queues import Server

MEDIAN_SERVICE_S = 0.005
SERVICE_SIGMA = 0.3
STRAGGLER_FRACTION = 0.02
STRAGGLER_FACTOR = 20.0
DEADLINE_S = 0.21
WORKER_PROCESSES = 4
DEFAULT_SEED = 4
COLD_START_S = 3.0
ENTRY_COUNT = 5
MISBEHAVING_SERVERS = (0, 11)
SERVICE = ServiceName('trip-desk')
ZONE = ZoneName('a')
ENTRY_CLASSES = {'ours': Entry, 'baseline': BaselineEntry}


def quantile_ms(values: list[float], fraction: float) -> float | None:
    """Return a quantile of seconds in milliseconds; None without values."""
    if not values:
        return None
    values = sorted(values)
    position = min(int(fraction * len(values)), len(values) - 1)
    return round(values[position] * 1e3, 2)


def ratio(numerator: float | None, denominator: float | None) -> float | None:
    """Return a rounded quotient; None if it is undefined."""
    if numerator is None or not denominator:
        return None
    return round(numerator / denominator, 3)


def draw_service_s(rng: random.Random, sigma: float) -> float:
    """Draw the log-normal service time of a sub-request, in seconds."""
    return MEDIAN_SERVICE_S * rng.lognormvariate(0.0, sigma)


def straggling_requests(rng, sigma):
    """Return service times of which a random fraction straggles."""

    def service_s(now: float) -> float:
        slow = STRAGGLER_FACTOR if rng.random() < STRAGGLER_FRACTION else 1.0
        return slow * draw_service_s(rng, sigma)

    return service_s


def straggling_servers(rng, sigma, offset, count):
    """Return one server's service times while some servers are slow.

    Every two seconds another group of servers is slow.
    """

    def service_s(now: float) -> float:
        position = (offset + int(now / 2.0) * 7) % count
        slow = (
            STRAGGLER_FACTOR if position < count * STRAGGLER_FRACTION else 1.0
        )
        return slow * draw_service_s(rng, sigma)

    return service_s


def simulate_fan_out(
    kind: str,
    shards: int,
    queries: int,
    per_s: float,
    mode: str,
    sigma: float,
    seed: int = DEFAULT_SEED,
) -> dict[str, float]:
    """Simulate queries to all shards with stragglers; return latencies."""
    rng = random.Random(seed)
    events = EventQueue()
    count = shards * 3
    servers = {}
    for index in range(count):
        match mode:
            case 'requests':
                service_s = straggling_requests(rng, sigma)
            case 'servers':
                service_s = straggling_servers(rng, sigma, index, count)
            case 'none':

                def service_s(now: float) -> float:
                    return draw_service_s(rng, sigma)

        server = Server(events, f't{index}', service_s, slots=4)
        servers[server.id] = server
    ids = list(servers)
    replicas = [ids[index::shards] for index in range(shards)]
    result = Result()
    entry = ENTRY_CLASSES[kind](events, servers, replicas, result, rng)
    for index in range(queries):
        query = Query(
            RequestId(f'q{index}'),
            Priority.INTERACTIVE,
            0.0,
            math.inf,
            range(shards),
        )
        events.schedule(index / per_s, entry.arrive, query)
    events.run()
    latencies_s = [answer[2] for answer in result.answers[queries // 10 :]]
    return {
        'p50_ms': quantile_ms(latencies_s, 0.5),
        'p99_ms': quantile_ms(latencies_s, 0.99),
        'extra': round(
            result.extra_sub_requests / result.first_sub_requests, 4
        ),
        'partial': result.partial,
    }


@dataclasses.dataclass(frozen=True)
class TierShape:
    """Size a simulated tier and the fan-out of its queries."""

    servers: int
    slots: int
    shards: int
    shards_per_query: int
    latency_tolerance: float


DESK = TierShape(
    servers=40, slots=2, shards=20, shards_per_query=8, latency_tolerance=2.5
)
ROSTER = TierShape(
    servers=4, slots=4, shards=1, shards_per_query=1, latency_tolerance=1.05
)


@dataclasses.dataclass(frozen=True)
class Phases:
    """Say when the offered load is light or heavy.

    Times are seconds since the start; loads are fractions of the capacity.
    """

    heavy_start_s: float = 5.0
    heavy_end_s: float = 10.0
    end_s: float = 17.0
    light_load: float = 0.5
    heavy_load: float = 2.0
    entry_lost_at_s: float = math.inf

    def load(self, now: float) -> float:
        """Return the offered load as a fraction of the capacity."""
        is_heavy = self.heavy_start_s <= now < self.heavy_end_s
        return self.heavy_load if is_heavy else self.light_load


class QueryGenerator:
    """Send queries; only the rate of non-interactive ones follows the load."""

    def __init__(self, events, entries, shape, phases, capacity, rng):
        self._events = events
        self._entries = entries
        self._shape = shape
        self._phases = phases
        self._capacity = capacity
        self._rng = rng
        self._serial = 0
        events.schedule(0.0, self._arrive)
        if phases.entry_lost_at_s < math.inf:
            events.schedule(phases.entry_lost_at_s, self._stop_first_entry)

    def _arrive(self) -> None:
        now = self._events.now
        load = self._phases.load(now)
        if now < self._phases.end_s:
            pause_s = self._rng.expovariate(self._capacity * load)
            self._events.schedule(now + pause_s, self._arrive)
        self._serial += 1
        shards = range(self._shape.shards)
        query = Query(
            RequestId(f'q{self._serial}'),
            self._priority(load),
            now,
            now + DEADLINE_S,
            self._rng.sample(shards, self._shape.shards_per_query),
        )
        alive = [entry for entry in self._entries if entry.alive]
        self._rng.choice(alive).arrive(query)

    def _priority(self, load: float) -> Priority:
        draw = self._rng.random()
        if draw < 0.2 * self._phases.light_load / load:
            return Priority.INTERACTIVE
        return Priority.NORMAL if draw < 0.6 else Priority.BATCH

    def _stop_first_entry(self) -> None:
        self._entries[0].stop_abruptly()


def simulate_overload(
    kind: str,
    sigma: float,
    shape: TierShape,
    phases: Phases,
    seed: int = DEFAULT_SEED,
):
    """Simulate five entries while the load changes or an entry crashes."""
    rng = random.Random(seed + 1)
    events = EventQueue()
    servers = {}
    for index in range(shape.servers):
        server = Server(
            events,
            f't{index}',
            lambda _: draw_service_s(rng, sigma),
            shape.slots,
            50,
        )
        servers[server.id] = server
    ids = list(servers)
    replicas = [
        ids[position :: shape.shards] for position in range(shape.shards)
    ]
    mean_s = MEDIAN_SERVICE_S * math.exp(sigma**2 / 2)
    capacity = shape.servers * shape.slots / mean_s / shape.shards_per_query
    result = Result()
    cfg = LimitSettings(latency_tolerance=shape.latency_tolerance)
    entries = [
        ENTRY_CLASSES[kind](events, servers, replicas, result, rng, cfg)
        for _ in range(ENTRY_COUNT)
    ]
    QueryGenerator(events, entries, shape, phases, capacity, rng)
    events.run(phases.heavy_start_s)
    before = (
        result.accepted,
        result.first_sub_requests + result.extra_sub_requests,
    )
    events.run(phases.heavy_end_s)
    accepted = result.accepted - before[0]
    sent = result.first_sub_requests + result.extra_sub_requests - before[1]
    events.run(phases.end_s + 1.0)
    figures = summarize_overload(result, phases, capacity)
    figures['amplification'] = round(
        sent / accepted / shape.shards_per_query, 4
    )
    return figures


def summarize_overload(result: Result, phases: Phases, capacity: float):
    """Summarize goodput, latency and refusals of each phase."""
    urgent = Priority.INTERACTIVE
    start, stop = phases.heavy_start_s + 1.0, phases.heavy_end_s
    after = phases.heavy_end_s + 5.0
    if phases.entry_lost_at_s < math.inf:
        start = phases.entry_lost_at_s + 3.0
    calm_ms = quantile_ms(
        result.latencies(1.0, phases.heavy_start_s, urgent), 0.99
    )
    busy_ms = quantile_ms(result.latencies(start, stop, urgent), 0.99)
    after_ms = quantile_ms(result.latencies(after, phases.end_s, urgent), 0.99)
    heavy_goodput = len(result.latencies(start, stop)) / (stop - start)
    after_goodput = None
    if after < phases.end_s:
        after_goodput = len(result.latencies(after, phases.end_s))
        after_goodput /= phases.end_s - after
    offered = capacity * phases.light_load
    return {
        'goodput': round(heavy_goodput / capacity, 3),
        'urgent_calm_p99_ms': calm_ms,
        'urgent_heavy_p99_ms': busy_ms,
        'urgent_ratio': ratio(busy_ms, calm_ms),
        'after_p99_ms': after_ms,
        'after_goodput_of_offered': ratio(after_goodput, offered),
        'refusal_p99_ms': quantile_ms(result.refusal_waits_s, 0.99),
        'refused': dict(result.refused),
        'urgent_refused': sum(
            count
            for reason, count in result.refused.items()
            if reason.startswith(urgent.value)
        ),
        'partial': result.partial,
    }


def simulate_uneven_servers(kind: str, mode: str, seed: int = DEFAULT_SEED):
    """Simulate replicas that report a wrong load or start cold."""
    rng = random.Random(seed + 2)
    events = EventQueue()
    servers = {}
    for index in range(20):
        misbehaves = index in MISBEHAVING_SERVERS
        misreports_load = misbehaves and mode == 'lying'
        service_s = uneven_service_times(rng, mode, misbehaves)
        server = Server(
            events, f't{index}', service_s, 4, misreports_load=misreports_load
        )
        servers[server.id] = server
    ids = list(servers)
    replicas = [ids[position::5] for position in range(5)]
    result = Result()
    entries = [
        ENTRY_CLASSES[kind](events, servers, replicas, result, rng)
        for _ in range(ENTRY_COUNT)
    ]
    per_s = 0.6 * 80 / (MEDIAN_SERVICE_S * math.exp(SERVICE_SIGMA**2 / 2)) / 5
    for index in range(int(6.0 * per_s)):
        query = Query(
            RequestId(f'q{index}'),
            Priority.INTERACTIVE,
            0.0,
            math.inf,
            range(5),
        )
        events.schedule(index / per_s, rng.choice(entries).arrive, query)
    events.run()
    latencies_s = result.latencies(start=1.0)
    return {
        'p50_ms': quantile_ms(latencies_s, 0.5),
        'p99_ms': quantile_ms(latencies_s, 0.99),
        'extra': round(
            result.extra_sub_requests / result.first_sub_requests, 4
        ),
    }


def uneven_service_times(rng: random.Random, mode: str, misbehaves: bool):
    """Return the service times of a usual or a misbehaving server."""

    def service_s(now: float) -> float:
        factor = 1.0
        if misbehaves and mode == 'lying':
            factor = 3.0
        if misbehaves and mode == 'cold':
            warm = min(max(now - 2.0, 0.0) / COLD_START_S, 1.0)
            factor = 10.0 - 9.0 * warm if now >= 2.0 else 1.0
        return factor * draw_service_s(rng, SERVICE_SIGMA)

    return service_s


def make_chooser(count: int) -> tuple[ReplicaChooser, list[TargetId]]:
    """Return a replica chooser with latency and load data of its targets."""
    chooser = ReplicaChooser(ZONE, random.Random(1))
    ids = [TargetId(f't{index}') for index in range(count)]
    for target in ids:
        chooser.declare(
            declared.Target(
                id=target,
                host='127.0.0.1',
                port=1,
                zone=ZONE,
                shards=(ShardId('s0'),),
            )
        )
        chooser.started(target, 0.0)
        chooser.finished(target, Outcome.OK, MEDIAN_SERVICE_S, 0.0)
        chooser.reported(target, LoadReport(in_flight=1), 0.0)
    return chooser, ids


def measure_cost_us(call) -> float:
    """Return the duration of a call in microseconds, best of three runs."""
    return round(min(timeit.repeat(call, number=20_000, repeat=3)) * 50, 3)


def measure_costs() -> dict[str, float]:
    """Measure the time of each routing decision, in microseconds."""
    figures = {}
    for count in (2, 3, 4, 8, 16):
        chooser, ids = make_chooser(count)
        figures[f'choose_{count}_us'] = measure_cost_us(
            lambda: chooser.choose(ids, 0.1)
        )
    slope = figures['choose_16_us'] - figures['choose_2_us']
    figures['choose_slope_us_per_candidate'] = round(slope / 14, 3)
    target = ids[0]
    report = LoadReport(in_flight=1)
    figures['started_finished_us'] = measure_cost_us(
        lambda: (
            chooser.started(target, 0.1),
            chooser.finished(target, Outcome.OK, MEDIAN_SERVICE_S, 0.1),
        )
    )
    figures['reported_us'] = measure_cost_us(
        lambda: chooser.reported(target, report, 0.1)
    )
    tracker = LatencyTracker()
    figures['observe_us'] = measure_cost_us(
        lambda: tracker.observe('k', MEDIAN_SERVICE_S, 0.1)
    )
    window = tracker.window('k', 0.1)
    figures['window_observe_us'] = measure_cost_us(
        lambda: window.observe(MEDIAN_SERVICE_S, 0.1)
    )
    policy = HedgePolicy(tracker, 0.05)
    figures['hedge_delay_us'] = measure_cost_us(
        lambda: policy.delay_s('k', 0.1)
    )
    figures['hedge_sent_us'] = measure_cost_us(lambda: policy.sent('k', False))
    budgets = RetryBudgets(0.05)
    figures['deposit_us'] = measure_cost_us(
        lambda: budgets.deposit(SERVICE, target)
    )
    figures['withdraw_us'] = measure_cost_us(
        lambda: budgets.withdraw(SERVICE, target)
    )
    admission = Admission(LimitSettings(), random.Random(1))

    def admit() -> None:
        request_id = RequestId('q')
        admission.arrive(request_id, Priority.NORMAL, 1.0, 1.0, 0.1)
        admission.finished(request_id, MEDIAN_SERVICE_S, 0.1)

    figures['admit_finish_us'] = measure_cost_us(admit)
    return figures


def check_goals(figures) -> dict[str, bool]:
    """Tell for each goal whether the figures reach it."""
    reached = {}
    for mode in ('requests', 'servers'):
        ours = figures[f'wide40 {mode} ours']
        baseline = figures[f'wide40 {mode} baseline']
        reached[f'wide40 {mode} p99'] = (
            ours['p99_ms'] <= 0.35 * baseline['p99_ms']
        )
        reached[f'wide40 {mode} extra'] = ours['extra'] <= 0.05
        wide = figures[f'wide850 {mode} ours']
        bound = 2.0 * figures['wide850 none baseline']['p50_ms']
        reached[f'wide850 {mode} p99'] = wide['p99_ms'] <= bound
        reached[f'wide850 {mode} extra'] = wide['extra'] <= 0.05
    for name in ('desk', 'roster'):
        ours = figures[f'overload {name} ours']
        reached[f'{name} goodput'] = ours['goodput'] >= 0.9
        reached[f'{name} urgent'] = ours['urgent_ratio'] <= 1.3
        reached[f'{name} amplification'] = ours['amplification'] <= 1.06
        reached[f'{name} refusals'] = ours['refusal_p99_ms'] <= 5.0
        reached[f'{name} recovery'] = (
            ours['after_p99_ms'] <= 1.3 * ours['urgent_calm_p99_ms']
        )
    entry_lost = figures['lost desk ours']
    reached['lost urgent'] = entry_lost['urgent_ratio'] <= 1.3
    for mode in ('lying', 'cold'):
        ours = figures[f'{mode} ours']['p99_ms']
        reached[mode] = ours < figures[f'{mode} baseline']['p99_ms']
    return reached


def submit_simulations(pool, kind: str, seed: int):
    """Submit all simulations of one kind of entry; yield names, futures."""
    for mode in ('requests', 'servers', 'none'):
        yield (
            f'wide40 {mode} {kind}',
            pool.submit(
                simulate_fan_out,
                kind,
                40,
                4_000,
                100.0,
                mode,
                SERVICE_SIGMA,
                seed,
            ),
        )
        yield (
            f'wide850 {mode} {kind}',
            pool.submit(
                simulate_fan_out,
                kind,
                850,
                400,
                40.0,
                mode,
                SERVICE_SIGMA,
                seed,
            ),
        )
    entry_lost = Phases(
        heavy_start_s=4.0,
        heavy_end_s=10.0,
        end_s=10.0,
        heavy_load=0.5,
        entry_lost_at_s=4.0,
    )
    for name, shape in (('desk', DESK), ('roster', ROSTER)):
        yield (
            f'overload {name} {kind}',
            pool.submit(
                simulate_overload, kind, SERVICE_SIGMA, shape, Phases(), seed
            ),
        )
    yield (
        f'lost desk {kind}',
        pool.submit(
            simulate_overload, kind, SERVICE_SIGMA, DESK, entry_lost, seed
        ),
    )
    for mode in ('lying', 'cold'):
        yield (
            f'{mode} {kind}',
            pool.submit(simulate_uneven_servers, kind, mode, seed),
        )


def main() -> None:
    """Print the figures; the last line is one JSON object."""
    began = time.monotonic()
    seed = int(sys.argv[1]) if sys.argv[1:] else DEFAULT_SEED
    figures: dict[str, object] = {'costs': measure_costs()}
    print('costs', figures['costs'], flush=True)
    with concurrent.futures.ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        jobs = [
            job
            for kind in ENTRY_CLASSES
            for job in submit_simulations(pool, kind, seed)
        ]
        for name, job in jobs:
            figures[name] = job.result()
            print(name, figures[name], flush=True)
    figures['verdict'] = check_goals(figures)
    figures['elapsed_s'] = round(time.monotonic() - began, 1)
    print(json.dumps(figures, allow_nan=False))


if __name__ == '__main__':
    main()
