"""Run seeded histories over real processes."""

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
MAX_SENDS = 4
MAX_SHORTENED = 3


class Sums(msgspec.Struct):
    """Count what came out of a run."""

    queries: int = 0
    complete: int = 0
    ended: int = 0
    bookings: int = 0
    told_yes: int = 0


class Callers:
    """Ask the entries which addresses to use, then use them."""

    def __init__(self, world: World, seed: int):
        self._world = world
        self._seed = seed
        self._halt = threading.Event()
        self._ports: tuple[int, ...] = ()
        self._threads = [
            threading.Thread(target=work, args=(random.Random(f'{seed}{n}'),))
            for n, work in enumerate(
                [self._refresh]
                + [self._query] * QUERY_CALLERS
                + [self._book] * BOOKING_CALLERS
            )
        ]
        self._lock = threading.Lock()
        self.sums = Sums()

    def __enter__(self) -> Callers:
        while not self._ports:
            self._ask()
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self._halt.set()
        for thread in self._threads:
            thread.join()

    def _ask(self) -> None:
        for entry in list(self._world.tier.entries):
            with contextlib.suppress(
                OSError, RuntimeError, http.client.HTTPException, ValueError
            ):
                found = call(
                    entry.ports['port'], '/v1/addresses', timeout_s=0.5
                ).json()
                ports = tuple(a['port'] for a in found['addresses'])
                # An entry that has just started knows no addresses yet.
                if ports:
                    self._ports = ports
                    return

    def _refresh(self, rng: random.Random) -> None:
        while not self._halt.wait(1.0):
            self._ask()

    def _place(self, rng: random.Random) -> observe.Place | None:
        return self._world.place_of(rng.choice(self._ports))

    def _query(self, rng: random.Random) -> None:
        while not self._halt.wait(rng.uniform(0.01, 0.08)):
            place = self._place(rng)
            if place is None:
                continue
            keys = None
            if rng.random() < 0.4:
                shards = rng.sample(self._world.tier.shard_ids(), 2)
                keys = tuple(f'{s}-{rng.randrange(10):04d}' for s in shards)
            reply = observe.Query(self._world.observer, place, keys).run()
            with self._lock:
                self.sums.queries += 1
                self.sums.ended += reply.end is not None
                self.sums.complete += bool(reply.end and reply.end.complete)

    def _book(self, rng: random.Random) -> None:
        number = 0
        name = f'{self._seed}-{rng.getrandbits(32):08x}'
        while not self._halt.wait(rng.uniform(0.05, 0.2)):
            number += 1
            key = f'{name}-{number}'
            if rng.random() < 0.2:
                self._book_at_once(key, rng)
            else:
                self._book_until_told(key, rng)

    def _book_until_told(self, key: str, rng: random.Random) -> None:
        for attempt in range(1, MAX_SENDS + 1):
            place = self._place(rng)
            if place is None:
                continue
            reply = observe.book(self._world.observer, place, key, attempt)
            if reply.run is observe.RunState.YES:
                self._count(True)
                if rng.random() < 0.8:
                    return
            time.sleep(rng.uniform(0.02, 0.3))
        self._count(False)

    def _book_at_once(self, key: str, rng: random.Random) -> None:
        places = [self._place(rng) for _ in range(3)]
        threads = [
            threading.Thread(
                target=observe.book,
                args=(self._world.observer, place, key, attempt),
            )
            for attempt, place in enumerate(places, 1)
            if place is not None
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _count(self, told: bool) -> None:
        with self._lock:
            self.sums.bookings += 1
            self.sums.told_yes += told


class Troubles:
    """Cause a seeded sequence of changes and faults."""

    def __init__(self, world: World, poller: observe.StatusPoller, seed: int):
        self._world = world
        self._poller = poller
        self._rng = random.Random(f'troubles {seed}')
        self.names: list[str] = []

    def run(self, until: float) -> None:
        """Cause one trouble after another."""
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
            trouble = kinds.pop()
            self.names.append(trouble.__name__)
            others = threading.Thread(target=self._second)
            others.start()
            trouble()
            others.join()

    def _second(self) -> None:
        time.sleep(self._rng.uniform(0.0, 0.5))
        if self._rng.random() < 0.5:
            self.operators_race()

    def _target(self) -> str:
        return self._rng.choice(sorted(self._world.tier.targets))

    def _index(self) -> int:
        return self._rng.randrange(len(self._world.tier.entries))

    def _wait(self, low_s: float = 0.5, high_s: float = 2.5) -> None:
        time.sleep(self._rng.uniform(low_s, high_s))

    def target_killed(self) -> None:
        """Kill a target and start it again."""
        target = self._target()
        self._world.tier.targets[target].kill()
        self._wait()
        self._world.restart_target(target)

    def target_frozen(self) -> None:
        """Pause a target."""
        process = self._world.tier.targets[self._target()]
        self._world.signal(process, signal.SIGSTOP)
        self._wait()
        self._world.signal(process, signal.SIGCONT)

    def target_draining(self) -> None:
        """Let a target leave and come back."""
        target = self._target()
        self._world.drain(target)
        self._wait(3.5, 5.0)
        self._world.drain(target, on=False)

    def target_troubled(self) -> None:
        """Show one of the faults of targets."""
        target = self._target()
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
        self.names.append(next(iter(fault)))
        self._world.faults(target, **fault)
        self._wait()
        self._world.faults(target)

    def entry_killed(self) -> None:
        """Kill an entry and start it again."""
        index = self._index()
        self._world.kill_entry(index)
        self._wait()
        self._world.start_entry(index)

    def entry_frozen(self) -> None:
        """Pause an entry."""
        index = self._index()
        entry = self._world.tier.entries[index]
        self._world.signal(entry, signal.SIGSTOP)
        self._wait(1.0, 4.0)
        self._poller.unsettle(index)
        self._world.signal(entry, signal.SIGCONT)
        self._poller.unsettle(index)

    def entry_stopped(self) -> None:
        """Shut an entry down gracefully and start it again."""
        index = self._index()
        self._world.stop_entry(index)
        self._world.tier.entries[index].wait(40.0)
        self._world.start_entry(index)
        self._poller.unsettle(index)

    def node_replaced(self) -> None:
        """Replace a VM."""
        index = self._index()
        self._world.restart_node(index)
        self._poller.unsettle(index)

    def agent_frozen(self) -> None:
        """Pause an agent."""
        index = self._index()
        agent = self._world.tier.agents[index]
        self._world.signal(agent, signal.SIGSTOP)
        self._wait(1.0, 4.0)
        self._poller.unsettle(index)
        self._world.signal(agent, signal.SIGCONT)
        self._poller.unsettle(index)

    def store_troubled(self) -> None:
        """Show one of the faults of the platform."""
        fault = self._rng.choice(
            [
                {'outage': True},
                {'slow_ms': 300},
                {'lose_replies': 5},
                {'lose_requests': 5},
                {'reject_rate': 0.3},
            ]
        )
        self.names.append(next(iter(fault)))
        self._world.store(**fault)
        self._wait()
        self._world.store()

    def operators_race(self) -> None:
        """Let two operators change the same object."""
        self._world.apply(
            self._rng.randrange(900, 1_000), self._rng.randrange(1_000, 1_100)
        )


class Result(msgspec.Struct):
    """Hold a run's records and what they show."""

    seed: int
    history: list[rec.Record]
    found: list[checks.Violation]
    troubles: list[str]
    sums: Sums

    def lines(self) -> list[str]:
        """Return the run as text."""
        text = [
            f'seed {self.seed}: {len(self.history)} records, '
            f'{self.sums.queries} queries ({self.sums.ended} ended, '
            f'{self.sums.complete} complete), {self.sums.bookings} bookings '
            f'({self.sums.told_yes} told yes), '
            f'{len(self.found)} violations; {", ".join(self.troubles)}'
        ]
        for violation in self.found[:MAX_SHORTENED]:
            text.append(shrink.render(self.history, violation, self.seed))
        for violation in self.found[MAX_SHORTENED:]:
            text.append(
                f'{violation.check} broken for {violation.subject}: '
                f'{violation.problem}'
            )
        return text


def run(seed: int, length_s: float = LENGTH_S) -> Result:
    """Start a tier, cause troubles under load and check the records."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        observer = observe.Observer(pathlib.Path(folder) / 'callers.jsonl')
        stack.callback(observer.close)
        tier = stack.enter_context(Tier(SHAPE))
        world = World(tier, observer, seed)
        poller = observe.StatusPoller(observer, tier)
        poller.start()
        stack.callback(poller.stop)
        troubles = Troubles(world, poller, seed)
        with Callers(world, seed) as callers:
            troubles.run(time.monotonic() + length_s)
            time.sleep(1.0)
        poller.stop()
        history = observe.gather(tier, observer)
    found = checks.check(history)
    return Result(seed, history, found, troubles.names, callers.sums)
