"""Run a seeded load with faults on a tier of processes and check it."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import http.client
import pathlib
import random
import signal
import tempfile
import threading
import time

import msgspec

from sesameward.standin.processes import call
from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier

from . import checks
from . import observe
from . import records as rec
from . import shrink
from .world import World

SHAPE = Shape(
    nodes=3, deadline_ms=1_000, max_deadline_ms=5_000, work_logs=True
)
LENGTH_S = 14.0
QUERY_CALLERS = 4
BOOKING_CALLERS = 3
# Sends of one booking before its caller gives up.
MAX_SENDS = 4
# Violations of a run that are printed with a shortened history.
MAX_RENDERED = 3


class Counts(msgspec.Struct):
    """Count the requests of a run by result."""

    queries: int = 0
    complete: int = 0
    ended: int = 0
    bookings: int = 0
    told_yes: int = 0


class Callers:
    """Send queries and bookings from threads while the context is open.

    All callers use the ports of the entries that an entry lists, and one
    thread refreshes this list each second.
    """

    def __init__(self, world: World, seed: int):
        self._world = world
        self._seed = seed
        self._stop_requested = threading.Event()
        self._ports: tuple[int, ...] = ()
        self._threads = [
            threading.Thread(target=loop, args=(random.Random(f'{seed}{n}'),))
            for n, loop in enumerate(
                [self._refresh_ports]
                + [self._run_queries] * QUERY_CALLERS
                + [self._run_bookings] * BOOKING_CALLERS
            )
        ]
        self._lock = threading.Lock()
        self.counts = Counts()

    def __enter__(self) -> Callers:
        while not self._ports:
            self._fetch_ports()
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self._stop_requested.set()
        for thread in self._threads:
            thread.join()

    def _fetch_ports(self) -> None:
        for entry in list(self._world.tier.entries):
            with contextlib.suppress(
                OSError, RuntimeError, http.client.HTTPException, ValueError
            ):
                listed = call(
                    entry.ports['port'], '/v1/addresses', timeout_s=0.5
                ).json()
                ports = tuple(a['port'] for a in listed['addresses'])
                # The list is empty while an entry has just started.
                if ports:
                    self._ports = ports
                    return

    def _refresh_ports(self, rng: random.Random) -> None:
        while not self._stop_requested.wait(1.0):
            self._fetch_ports()

    def _choose_entry(self, rng: random.Random) -> observe.EntryAddress | None:
        return self._world.entry_at_port(rng.choice(self._ports))

    def _run_queries(self, rng: random.Random) -> None:
        while not self._stop_requested.wait(rng.uniform(0.01, 0.08)):
            address = self._choose_entry(rng)
            if address is None:
                continue
            keys = None
            if rng.random() < 0.4:
                shards = rng.sample(self._world.tier.shard_ids(), 2)
                keys = tuple(f'{s}-{rng.randrange(10):04d}' for s in shards)
            reply = observe.Query(self._world.observer, address, keys).run()
            with self._lock:
                self.counts.queries += 1
                self.counts.ended += reply.end is not None
                self.counts.complete += bool(reply.end and reply.end.complete)

    def _run_bookings(self, rng: random.Random) -> None:
        number = 0
        name = f'{self._seed}-{rng.getrandbits(32):08x}'
        while not self._stop_requested.wait(rng.uniform(0.05, 0.2)):
            number += 1
            key = f'{name}-{number}'
            if rng.random() < 0.2:
                self._book_concurrently(key, rng)
            else:
                self._book_with_resends(key, rng)

    def _book_with_resends(self, key: str, rng: random.Random) -> None:
        for attempt in range(1, MAX_SENDS + 1):
            address = self._choose_entry(rng)
            if address is None:
                continue
            reply = observe.book(self._world.observer, address, key, attempt)
            if reply.run_state is observe.RunState.YES:
                self._count_booking(True)
                if rng.random() < 0.8:
                    return
            time.sleep(rng.uniform(0.02, 0.3))
        self._count_booking(False)

    def _book_concurrently(self, key: str, rng: random.Random) -> None:
        addresses = [self._choose_entry(rng) for _ in range(3)]
        threads = [
            threading.Thread(
                target=observe.book,
                args=(self._world.observer, address, key, attempt),
            )
            for attempt, address in enumerate(addresses, 1)
            if address is not None
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _count_booking(self, was_told_yes: bool) -> None:
        with self._lock:
            self.counts.bookings += 1
            self.counts.told_yes += was_told_yes


class FaultSequence:
    """Inject a seeded sequence of faults and configuration changes.

    The names of the methods are printed in the summary of a run.
    """

    def __init__(self, world: World, poller: observe.StatusPoller, seed: int):
        self._world = world
        self._poller = poller
        # This text is part of the seed; another text changes all sequences.
        self._rng = random.Random(f'troubles {seed}')
        self.fault_names: list[str] = []

    def run(self, until: float) -> None:
        """Inject one fault after another until a monotonic time."""
        kinds: list[Callable[[], None]] = [
            self.target_killed,
            self.target_frozen,
            self.target_draining,
            self.target_troubled,
            self.entry_killed,
            self.entry_frozen,
            self.entry_stopped,
            self.node_replaced,
            self.agent_frozen,
            self.store_troubled,
            self.operators_race,
            self._world.next_snapshot,
            self._world.repartition,
        ]
        self._rng.shuffle(kinds)
        while time.monotonic() < until and kinds:
            inject = kinds.pop()
            self.fault_names.append(inject.__name__)
            race = threading.Thread(target=self._maybe_race_operators)
            race.start()
            inject()
            race.join()

    def _maybe_race_operators(self) -> None:
        time.sleep(self._rng.uniform(0.0, 0.5))
        if self._rng.random() < 0.5:
            self.operators_race()

    def _choose_target(self) -> str:
        return self._rng.choice(sorted(self._world.tier.targets))

    def _choose_node(self) -> int:
        return self._rng.randrange(len(self._world.tier.entries))

    def _wait(self, low_s: float = 0.5, high_s: float = 2.5) -> None:
        time.sleep(self._rng.uniform(low_s, high_s))

    def target_killed(self) -> None:
        """Kill a target and restart it."""
        target = self._choose_target()
        self._world.tier.targets[target].kill()
        self._wait()
        self._world.restart_target(target)

    def target_frozen(self) -> None:
        """Suspend a target for a while."""
        process = self._world.tier.targets[self._choose_target()]
        self._world.send_signal(process, signal.SIGSTOP)
        self._wait()
        self._world.send_signal(process, signal.SIGCONT)

    def target_draining(self) -> None:
        """Drain a target and let it serve again."""
        target = self._choose_target()
        self._world.drain(target)
        self._wait(3.5, 5.0)
        self._world.drain(target, is_leaving=False)

    def target_troubled(self) -> None:
        """Enable a simulated fault of a stand-in target for a while."""
        target = self._choose_target()
        fault = self._rng.choice(
            [
                {'straggler_chance': 0.3, 'straggler_ms': 800},
                {'shed_chance': 0.5},
                {'cold_ms': 100},
                {'lie_idle': True, 'latency_ms': 150},
                {'lose_reply_chance': 0.3},
                {'drop_connections': True},
                {'wrong_attempt': True},
                {'wrong_snapshot': True},
            ]
        )
        self.fault_names.append(next(iter(fault)))
        self._world.set_target_faults(target, **fault)
        self._wait()
        self._world.set_target_faults(target)

    def entry_killed(self) -> None:
        """Kill an entry and restart it."""
        index = self._choose_node()
        self._world.kill_entry(index)
        self._wait()
        self._world.start_entry(index)

    def entry_frozen(self) -> None:
        """Suspend an entry for a while."""
        index = self._choose_node()
        entry = self._world.tier.entries[index]
        self._world.send_signal(entry, signal.SIGSTOP)
        self._wait(1.0, 4.0)
        self._poller.allow_catch_up(index)
        self._world.send_signal(entry, signal.SIGCONT)
        self._poller.allow_catch_up(index)

    def entry_stopped(self) -> None:
        """Shut an entry down gracefully and restart it."""
        index = self._choose_node()
        self._world.stop_entry(index)
        self._world.tier.entries[index].wait(40.0)
        self._world.start_entry(index)
        self._poller.allow_catch_up(index)

    def node_replaced(self) -> None:
        """Restart the agent and the entry of a node, as on a new VM."""
        index = self._choose_node()
        self._world.restart_node(index)
        self._poller.allow_catch_up(index)

    def agent_frozen(self) -> None:
        """Suspend an agent for a while."""
        index = self._choose_node()
        agent = self._world.tier.agents[index]
        self._world.send_signal(agent, signal.SIGSTOP)
        self._wait(1.0, 4.0)
        self._poller.allow_catch_up(index)
        self._world.send_signal(agent, signal.SIGCONT)
        self._poller.allow_catch_up(index)

    def store_troubled(self) -> None:
        """Enable a simulated fault of the platform for a while."""
        fault = self._rng.choice(
            [
                {'outage': True},
                {'slow_ms': 300},
                {'lose_replies': 5},
                {'lose_requests': 5},
                {'reject_rate': 0.3},
            ]
        )
        self.fault_names.append(next(iter(fault)))
        self._world.set_store_faults(**fault)
        self._wait()
        self._world.set_store_faults()

    def operators_race(self) -> None:
        """Let two operators change the same object concurrently."""
        self._world.apply_deadlines(
            self._rng.randrange(900, 1_000), self._rng.randrange(1_000, 1_100)
        )


class Result(msgspec.Struct):
    """Hold the records of a run, its violations, faults and counts."""

    seed: int
    history: list[rec.Record]
    violations: list[checks.Violation]
    fault_names: list[str]
    counts: Counts

    def lines(self) -> list[str]:
        """Return a summary line and the violations; the first in full."""
        text = [
            f'seed {self.seed}: {len(self.history)} records, '
            f'{self.counts.queries} queries ({self.counts.ended} ended, '
            f'{self.counts.complete} complete), '
            f'{self.counts.bookings} bookings '
            f'({self.counts.told_yes} told yes), '
            f'{len(self.violations)} violations; {", ".join(self.fault_names)}'
        ]
        for violation in self.violations[:MAX_RENDERED]:
            text.append(shrink.render(self.history, violation, self.seed))
        for violation in self.violations[MAX_RENDERED:]:
            text.append(
                f'{violation.check} broken for {violation.subject}: '
                f'{violation.problem}'
            )
        return text


def run(seed: int, length_s: float = LENGTH_S) -> Result:
    """Start a tier, inject faults under load and check the records."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        observer = observe.Observer(pathlib.Path(folder) / 'callers.jsonl')
        stack.callback(observer.close)
        tier = stack.enter_context(Tier(SHAPE))
        world = World(tier, observer, seed)
        poller = observe.StatusPoller(observer, tier)
        poller.start()
        stack.callback(poller.stop)
        fault_sequence = FaultSequence(world, poller, seed)
        with Callers(world, seed) as callers:
            fault_sequence.run(time.monotonic() + length_s)
            time.sleep(1.0)
        poller.stop()
        history = observe.collect_history(tier, observer)
    violations = checks.check(history)
    return Result(
        seed, history, violations, fault_sequence.fault_names, callers.counts
    )
