"""Test that the checks catch real processes which break a promise."""

from __future__ import annotations

import threading
import time

import pytest

from sesameward.standin.processes import Shape

from . import checks
from . import observe
from .mutants import Mutant
from .mutants import MutantTier
from .world import World

SHAPE = Shape(
    nodes=2,
    instances=2,
    shards=4,
    deadline_ms=600,
    max_deadline_ms=5_000,
    work_logs=True,
)


@pytest.mark.parametrize('mutant', Mutant)
def test_broken_promise_is_caught(tmp_path, mutant):
    found = {violation.check for violation in run(tmp_path, mutant)}
    if mutant is Mutant.NONE:
        assert not found
    else:
        assert mutant.value in found


def test_each_check_has_a_mutant():
    broken = {mutant.value for mutant in Mutant} - {''}
    assert broken == {check.__name__ for check in checks.CHECKS}


def run(tmp_path, mutant):
    """Return the violations of one run which touches all promises."""
    observer = observe.Observer(tmp_path / 'callers.jsonl')
    with MutantTier(SHAPE, mutant) as tier:
        world = World(tier, observer)
        poller = observe.StatusPoller(observer, tier)
        poller.start()
        bookings(world)
        configuration(world)
        wrong_and_late_targets(world)
        leaving_target(world)
        leaving_entry(world)
        poller.stop()
        history = observe.gather(tier, observer)
    observer.close()
    return checks.check(history)


def queries(world, count):
    for number in range(count):
        observe.Query(world.observer, world.place(number % 2)).run()


def bookings(world):
    for number in range(3):
        observe.book(world.observer, world.place(0), f'booking-{number}', 1)
        observe.book(world.observer, world.place(1), f'booking-{number}', 2)


def configuration(world):
    for deadline_ms in (601, 602, 603):
        world.apply(deadline_ms)
        time.sleep(0.4)


def wrong_and_late_targets(world):
    for server in range(2):
        world.faults(f't0-{server}', wrong_snapshot=True)
    queries(world, 6)
    for server in range(2):
        world.faults(f't0-{server}', latency_ms=1_500)
    queries(world, 2)
    for server in range(2):
        world.faults(f't0-{server}')


def leaving_target(world):
    world.drain('t1-0')
    until = time.monotonic() + checks.LEAVING_S + 0.5
    while time.monotonic() < until:
        queries(world, 2)
        time.sleep(0.1)
    world.drain('t1-0', on=False)


def leaving_entry(world):
    for target in world.tier.targets:
        world.faults(target, latency_ms=400)
    query = observe.Query(world.observer, world.place(1))
    thread = threading.Thread(target=query.run)
    thread.start()
    time.sleep(0.15)
    world.stop_entry(1)
    thread.join()
