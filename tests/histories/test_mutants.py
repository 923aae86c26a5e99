"""Test that the checks find promises that patched processes break."""

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
    violated_checks = {violation.check for violation in run(tmp_path, mutant)}
    if mutant is Mutant.NONE:
        assert not violated_checks
    else:
        assert mutant.value in violated_checks


def test_each_check_has_a_mutant():
    covered_checks = {mutant.value for mutant in Mutant} - {''}
    assert covered_checks == {check.__name__ for check in checks.CHECKS}


def run(tmp_path, mutant):
    """Return the violations of one run that exercises all promises."""
    observer = observe.Observer(tmp_path / 'callers.jsonl')
    with MutantTier(SHAPE, mutant) as tier:
        world = World(tier, observer)
        poller = observe.StatusPoller(observer, tier)
        poller.start()
        send_bookings(world)
        change_configuration(world)
        query_wrong_and_late_targets(world)
        drain_target(world)
        stop_entry(world)
        poller.stop()
        history = observe.collect_history(tier, observer)
    observer.close()
    return checks.check(history)


def send_queries(world, count):
    for number in range(count):
        observe.Query(world.observer, world.entry_address(number % 2)).run()


def send_bookings(world):
    for number in range(3):
        observe.book(
            world.observer, world.entry_address(0), f'booking-{number}', 1
        )
        observe.book(
            world.observer, world.entry_address(1), f'booking-{number}', 2
        )


def change_configuration(world):
    for deadline_ms in (601, 602, 603):
        world.apply_deadlines(deadline_ms)
        time.sleep(0.4)


def query_wrong_and_late_targets(world):
    for server in range(2):
        world.set_target_faults(f't0-{server}', wrong_snapshot=True)
    send_queries(world, 6)
    for server in range(2):
        world.set_target_faults(f't0-{server}', latency_ms=1_500)
    send_queries(world, 2)
    for server in range(2):
        world.set_target_faults(f't0-{server}')


def drain_target(world):
    world.drain('t1-0')
    deadline = time.monotonic() + checks.LEAVING_BOUND_S + 0.5
    while time.monotonic() < deadline:
        send_queries(world, 2)
        time.sleep(0.1)
    world.drain('t1-0', is_leaving=False)


def stop_entry(world):
    for target in world.tier.targets:
        world.set_target_faults(target, latency_ms=400)
    query = observe.Query(world.observer, world.entry_address(1))
    thread = threading.Thread(target=query.run)
    thread.start()
    time.sleep(0.15)
    world.stop_entry(1)
    thread.join()
