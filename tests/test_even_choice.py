"""Test how evenly many nodes load targets, without a network."""

import bisect
import heapq
import random

import pytest

from sesameward.messages import LoadReport
from sesameward.routing.replicas import ReplicaChooser
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.types import Outcome

WORK_S = 0.01
SLOTS = 2
SPEEDS = (0.8, 1.0, 1.3) * 4
SLOW_S, SLOW_FACTOR, SLOW_FRACTION = 0.6, 2.5, 0.15


class SimTarget:
    """Run requests in slots, first come, first served; keep past figures."""

    def __init__(self, speed):
        self.speed, self.slow = speed, 1.0
        self.running, self.queue, self.served = 0, [], 0
        self.times, self.past = [0.0], [(0, 0, 100)]

    def note(self, now):
        pace = round(100 * self.slow / self.speed)
        self.times.append(now)
        self.past.append((self.running, len(self.queue), pace))

    def report_at(self, at, with_pace):
        index = bisect.bisect_right(self.times, at) - 1
        running, queued, pace = self.past[max(index, 0)]
        return LoadReport(running, queued, pace=pace if with_pace else 0)


def simulate(
    count, period_s, load, with_pace, make=ReplicaChooser, end_s=8.0, seed=1
):
    """Return busiest over mean and the 99th percentile of the wait.

    Each of count choosers gets a new figure of each target every period_s, at
    its own times. The busiest is the target with the most slot time used in
    relation to the mean, and the wait is in seconds.
    """
    rng, slow_rng = random.Random(seed), random.Random(seed)
    targets = {f't{n}': SimTarget(speed) for n, speed in enumerate(SPEEDS)}
    choosers = [make('z', random.Random(n)) for n in range(count)]
    for chooser in choosers:
        for name in targets:
            chooser.declare(
                Target(name, 's', 'h', 1, 'z', SLOTS, TargetState.READY)
            )
    offsets = [{n: rng.random() * period_s for n in targets} for _ in choosers]
    seen, waits = {}, []
    rate = load * sum(SPEEDS) * SLOTS / WORK_S
    events = [(0.0, 0, 'slow', None), (0.0, 1, 'arrive', None)]
    numbers = iter(range(2, 10**9))

    def push(at, kind, data):
        heapq.heappush(events, (at, next(numbers), kind, data))

    def run(target, job, now):
        waits.append(now - job[2])
        target.running += 1
        work_s = rng.uniform(0.5, 1.5) * WORK_S * target.slow / target.speed
        target.served += work_s
        push(now + work_s, 'end', job)

    while events[0][0] < end_s:
        now, _, kind, job = heapq.heappop(events)
        if kind == 'slow':
            for target in targets.values():
                is_slow = slow_rng.random() < SLOW_FRACTION
                target.slow = SLOW_FACTOR if is_slow else 1.0
                target.note(now)
            push(now + SLOW_S, 'slow', None)
        elif kind == 'arrive':
            push(now + rng.expovariate(rate), 'arrive', None)
            no = rng.randrange(count)
            for name, target in targets.items():
                at = now - (now - offsets[no][name]) % period_s
                if at > seen.get((no, name), 0.0):
                    seen[no, name] = at
                    report = target.report_at(at, with_pace)
                    if with_pace:
                        choosers[no].reported_elsewhere(name, report, at)
                    else:
                        choosers[no].reported(name, report, at)
            name = choosers[no].choose(tuple(targets), now)
            choosers[no].started(name, now)
            target = targets[name]
            if target.running < SLOTS:
                run(target, (no, name, now), now)
            else:
                target.queue.append((no, name, now))
            target.note(now)
        else:
            no, name, sent_at = job
            target = targets[name]
            target.running -= 1
            choosers[no].finished(name, Outcome.OK, now - sent_at, now)
            if target.queue:
                run(target, target.queue.pop(0), now)
            target.note(now)
    busy = [target.served for target in targets.values()]
    waits.sort()
    busiest = max(busy) * len(busy) / sum(busy)
    return busiest, waits[int(len(waits) * 0.99)]
