"""Define the steps at which a fault strikes."""

from __future__ import annotations

from collections.abc import Callable
import concurrent.futures
import signal
import threading
import time

from sesameward.standin.processes import call
from sesameward.standin.processes import wait_until

from ..histories import observe
from ..histories.observe import Reply
from .faults import Fault
from .faults import Place

SLOW_MS = 400
STRIKE_AFTER_S = 0.15
BEFORE_END_S = 0.33
LEAVING_S = 3.0
IN_FORCE_TIMEOUT_S = 8.0
STEP_TIMEOUT_S = 5.0


class Cell:
    """Run one fault at one step."""

    def __init__(self, place: Place, fault: Fault):
        self.place = place
        self.world = place.world
        self.fault = fault
        self.replies: list[Reply] = []
        self.problems: list[str] = []
        self._pool = concurrent.futures.ThreadPoolExecutor(8)

    def close(self) -> None:
        """Wait for what still runs."""
        self._pool.shutdown()

    def strike(self) -> None:
        """Cause the fault."""
        self.fault.strike(self.place)

    def slow(self, instances: list[int], latency_ms: int = SLOW_MS) -> None:
        """Make targets answer late."""
        for instance in instances:
            for server in range(self.world.tier.shape.servers):
                self.world.faults(
                    f't{instance}-{server}', latency_ms=latency_ms
                )

    def query(self, node: int | None = None) -> observe.Query:
        """Return a query to one entry."""
        node = self.place.node if node is None else node
        return observe.Query(self.world.observer, self.world.place(node))

    def send(self, query: observe.Query) -> concurrent.futures.Future:
        """Run a query in the background."""
        return self._pool.submit(query.run)

    def keep(self, reply: Reply) -> None:
        """Keep how a send ended."""
        self.replies.append(reply)

    def again(self) -> None:
        """Ask the other entries while the fault lasts."""
        for node in range(3):
            if node != self.place.node:
                self.keep(self.query(node).run())

    # Bookings.

    @property
    def key(self) -> str:
        """Return this cell's booking key."""
        return f'cell-{self.place.number}'

    def book(self, node: int, attempt: int) -> Reply:
        """Send the cell's booking."""
        return observe.book(
            self.world.observer,
            self.world.place(node),
            self.key,
            attempt,
            self.place.record_key,
        )

    def book_later(self) -> concurrent.futures.Future:
        """Send the booking in the background."""
        return self._pool.submit(self.book, self.place.node, 1)

    def resend(self) -> None:
        """Send the booking again to the other entries."""
        others = [n for n in range(3) if n != self.place.node]
        for attempt, node in enumerate(others, 2):
            self.keep(self.book(node, attempt))

    def runs_at(self) -> str | None:
        """Return the target at which the booking takes effect."""
        for target, process in self.world.tier.targets.items():
            if (
                process.exit_code is None
                and self.key in (self.world.tier.calls(target)['bookings'])
            ):
                return target
        return None

    def wait_for_run(self) -> None:
        """Wait for the dispatch and let the fault hit its target."""
        wait_until(lambda: bool(self.runs_at()), 'the dispatch')
        self.place.target = self.runs_at()

    def wait_for_claim(self) -> None:
        """Wait until the platform holds a new claim."""
        wait_until(self._claims_rose, 'the claim')

    def _claims(self) -> int:
        port = self.world.tier.platform.ports['port']
        writes = call(port, '/standin/writes').json()
        return sum(w['kind'] == 'booking' for w in writes)

    def count_claims(self) -> None:
        """Remember how many claims there are."""
        self._known = self._claims()

    def _claims_rose(self) -> bool:
        return self._claims() > self._known

    # Configuration.

    def apply(self) -> int:
        """Change a deadline; return the revision that was accepted."""
        base = 1_600 + self.place.number % 300
        (outcome,) = self.world.apply(base)
        if outcome.error is not None:
            return 0
        return outcome.revision

    def wait_in_force(self, revision: int) -> None:
        """Wait until all nodes have the accepted revision in force."""
        if not revision:
            return
        for agent in self.world.tier.agents:
            try:
                wait_until(
                    lambda a=agent: _in_force(a) >= revision,
                    f'revision {revision} on {agent.name}',
                    IN_FORCE_TIMEOUT_S,
                )
            except TimeoutError as exc:
                self.problems.append(str(exc))


def _in_force(agent) -> int:
    status = call(agent.ports['http'], '/v1/status', timeout_s=1.0).json()
    return min(
        [status['revision'], *(e['revision'] for e in status['entries'])]
    )


# Steps of a query.


def query_before_pin(cell: Cell) -> None:
    """Strike, then query at once."""
    cell.strike()
    cell.keep(cell.query().run())
    cell.again()


def query_after_dispatch(cell: Cell) -> None:
    """Strike while all targets work."""
    cell.slow(list(range(4)))
    sent = cell.send(cell.query())
    time.sleep(STRIKE_AFTER_S)
    cell.strike()
    cell.keep(sent.result())
    cell.again()


def query_mid_stream(cell: Cell) -> None:
    """Strike when the first rows have come and others have not."""
    cell.slow([cell.place.instance])
    query = cell.query()
    sent = cell.send(query)
    query.on_rows.wait(STEP_TIMEOUT_S)
    cell.strike()
    cell.keep(sent.result())


def query_before_end(cell: Cell) -> None:
    """Strike when the last rows are about to come."""
    cell.slow([cell.place.instance])
    sent = cell.send(cell.query())
    time.sleep(BEFORE_END_S)
    cell.strike()
    cell.keep(sent.result())


# Steps of a booking.


def booking_before_claim(cell: Cell) -> None:
    """Strike, then book at once."""
    cell.strike()
    cell.keep(cell.book(cell.place.node, 1))
    cell.resend()


def booking_claim_written(cell: Cell) -> None:
    """Strike when the claim is written and its answer on the way."""
    cell.count_claims()
    cell.world.store(slow_reply_ms=SLOW_MS, only_kind='booking')
    sent = cell.book_later()
    cell.wait_for_claim()
    cell.world.store()
    cell.strike()
    cell.keep(sent.result())
    cell.resend()


def booking_dispatched(cell: Cell) -> None:
    """Strike when the target runs the booking."""
    cell.slow([cell.place.instance])
    sent = cell.book_later()
    cell.wait_for_run()
    cell.strike()
    cell.keep(sent.result())
    cell.resend()


def booking_outcome_due(cell: Cell) -> None:
    """Strike when the caller is told and the outcome is not yet stored."""
    cell.slow([cell.place.instance], 250)
    sent = cell.book_later()
    cell.wait_for_run()
    cell.world.store(slow_ms=SLOW_MS)
    cell.keep(sent.result())
    cell.strike()
    cell.resend()


def booking_resend(cell: Cell) -> None:
    """Strike between a booking and its resend."""
    cell.keep(cell.book(cell.place.node, 1))
    cell.strike()
    cell.resend()


# Steps of a configuration change.


def change_before_write(cell: Cell) -> None:
    """Strike, then apply at once."""
    cell.strike()
    cell.revision = cell.apply()


def change_write_unsure(cell: Cell) -> None:
    """Strike, then lose the reply to the write."""
    cell.strike()
    if cell.fault.name not in ('store down', 'store slow'):
        cell.world.store(lose_replies=1, only_kind='service')
    cell.revision = cell.apply()


def change_accepted(cell: Cell) -> None:
    """Strike as soon as the operator is told."""
    cell.revision = cell.apply()
    cell.strike()


def change_partly_in_force(cell: Cell) -> None:
    """Strike while one agent lags."""
    node = (cell.place.node + 1) % 3
    agent = cell.world.tier.agents[node]
    cell.place.poller.unsettle(node)
    cell.world.signal(agent, signal.SIGSTOP)
    cell.revision = cell.apply()
    time.sleep(0.3)
    cell.strike()
    time.sleep(0.3)
    cell.place.poller.unsettle(node)
    cell.world.signal(agent, signal.SIGCONT)
    cell.place.poller.unsettle(node)


# Steps of a drain.


class Load:
    """Query two entries in the background."""

    def __init__(self, cell: Cell):
        self._cell = cell
        self._halt = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(node,))
            for node in range(2)
        ]

    def __enter__(self) -> Load:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self._halt.set()
        for thread in self._threads:
            thread.join()

    def _run(self, node: int) -> None:
        while not self._halt.wait(0.05):
            self._cell.keep(self._cell.query(node).run())


def drain_before(cell: Cell) -> None:
    """Strike, then let the target leave."""
    cell.strike()
    drained = _drained(cell)
    cell.world.drain(drained)
    with Load(cell):
        time.sleep(LEAVING_S + 0.5)
    cell.world.drain(drained, on=False)


def drain_in_flight(cell: Cell) -> None:
    """Strike while a leaving target still works."""
    drained = _drained(cell)
    cell.slow([int(drained[1])])
    sent = cell.send(cell.query())
    time.sleep(STRIKE_AFTER_S)
    cell.world.drain(drained)
    cell.strike()
    cell.keep(sent.result())
    cell.world.drain(drained, on=False)


def drain_after(cell: Cell) -> None:
    """Strike when a target has left."""
    drained = _drained(cell)
    cell.world.drain(drained)
    with Load(cell):
        time.sleep(LEAVING_S)
        cell.strike()
        time.sleep(0.7)
    cell.world.drain(drained, on=False)


def drain_entry_in_flight(cell: Cell) -> None:
    """Strike while an entry shuts down and a query runs on it."""
    node = (cell.place.node + 2) % 3
    cell.slow(list(range(4)))
    sent = cell.send(cell.query(node))
    time.sleep(STRIKE_AFTER_S)
    cell.world.stop_entry(node)
    cell.strike()
    cell.keep(sent.result())
    cell.world.kill_entry(node)
    cell.world.start_entry(node)
    cell.place.poller.unsettle(node)


def _drained(cell: Cell) -> str:
    return f't{(cell.place.instance + 2) % 4}-0'


Step = Callable[[Cell], None]
QUERY: tuple[Step, ...] = (
    query_before_pin,
    query_after_dispatch,
    query_mid_stream,
    query_before_end,
)
BOOKING: tuple[Step, ...] = (
    booking_before_claim,
    booking_claim_written,
    booking_dispatched,
    booking_outcome_due,
    booking_resend,
)
CHANGE: tuple[Step, ...] = (
    change_before_write,
    change_write_unsure,
    change_accepted,
    change_partly_in_force,
)
DRAIN: tuple[Step, ...] = (
    drain_before,
    drain_in_flight,
    drain_after,
    drain_entry_in_flight,
)
ALL = QUERY + BOOKING + CHANGE + DRAIN
