"""Define the steps of requests and changes at which faults are injected."""

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
from .faults import FaultLocation

TARGET_DELAY_MS = 400
# With targets slowed down by TARGET_DELAY_MS, a query has been dispatched by
# then and has no answer yet.
INJECT_AFTER_S = 0.15
# Shortly before targets that are slowed down by TARGET_DELAY_MS answer.
INJECT_BEFORE_END_S = 0.33
# Time after which a leaving target must get no more work.
LEAVING_WAIT_S = 3.0
IN_FORCE_TIMEOUT_S = 8.0
STEP_TIMEOUT_S = 5.0


class Cell:
    """Run one fault at one step and collect the replies and problems."""

    def __init__(self, place: FaultLocation, fault: Fault):
        self.place = place
        self.world = place.world
        self.fault = fault
        self.replies: list[Reply] = []
        self.problems: list[str] = []
        self._pool = concurrent.futures.ThreadPoolExecutor(8)

    def close(self) -> None:
        """Wait for requests that still run in the background."""
        self._pool.shutdown()

    def inject_fault(self) -> None:
        """Start the cell's fault."""
        self.fault.inject(self.place)

    def slow_down(
        self, instances: list[int], latency_ms: int = TARGET_DELAY_MS
    ) -> None:
        """Add latency to all targets of some instances."""
        for instance in instances:
            for server in range(self.world.tier.shape.servers):
                self.world.set_target_faults(
                    f't{instance}-{server}', latency_ms=latency_ms
                )

    def query(self, node: int | None = None) -> observe.Query:
        """Return an unsent query to one entry, by default the cell's own."""
        node = self.place.node if node is None else node
        return observe.Query(
            self.world.observer, self.world.entry_address(node)
        )

    def query_in_background(
        self, query: observe.Query
    ) -> concurrent.futures.Future:
        """Send a query in the background."""
        return self._pool.submit(query.run)

    def add_reply(self, reply: Reply) -> None:
        """Add the result of a request to those that are judged."""
        self.replies.append(reply)

    def query_other_entries(self) -> None:
        """Send a query to each other entry while the fault is active."""
        for node in range(3):
            if node != self.place.node:
                self.add_reply(self.query(node).run())

    # Methods for booking steps.

    @property
    def key(self) -> str:
        """Return the cell's booking key; it is unique in the run."""
        return f'cell-{self.place.cell_number}'

    def book(self, node: int, attempt: int) -> Reply:
        """Send the cell's booking to one entry and wait for the result."""
        return observe.book(
            self.world.observer,
            self.world.entry_address(node),
            self.key,
            attempt,
            self.place.record_key,
        )

    def book_in_background(self) -> concurrent.futures.Future:
        """Send the booking's first attempt in the background."""
        return self._pool.submit(self.book, self.place.node, 1)

    def resend(self) -> None:
        """Send the booking again to the other entries."""
        others = [n for n in range(3) if n != self.place.node]
        for attempt, node in enumerate(others, 2):
            self.add_reply(self.book(node, attempt))

    def executing_target(self) -> str | None:
        """Return the running target that got the booking, if any."""
        for target, process in self.world.tier.targets.items():
            if (
                process.exit_code is None
                and self.key in (self.world.tier.calls(target)['bookings'])
            ):
                return target
        return None

    def wait_for_dispatch(self) -> None:
        """Wait for the booking's dispatch; make its target the fault's."""
        wait_until(
            lambda: bool(self.executing_target()),
            'the dispatch of the booking',
        )
        self.place.target = self.executing_target()

    def wait_for_claim(self) -> None:
        """Wait until a claim was stored since remember_claim_count."""
        wait_until(self._has_new_claim, 'the claim to be stored')

    def _claim_count(self) -> int:
        port = self.world.tier.platform.ports['port']
        writes = call(port, '/standin/writes').json()
        return sum(w['kind'] == 'booking' for w in writes)

    def remember_claim_count(self) -> None:
        """Save the current number of claim writes for wait_for_claim."""
        self._earlier_claim_count = self._claim_count()

    def _has_new_claim(self) -> bool:
        return self._claim_count() > self._earlier_claim_count

    # Methods for configuration steps.

    def apply(self) -> int:
        """Change a deadline; return the accepted revision, or 0 on failure."""
        deadline_ms = 1_600 + self.place.cell_number % 300
        (outcome,) = self.world.apply_deadlines(deadline_ms)
        if outcome.error is not None:
            return 0
        return outcome.revision

    def wait_in_force(self, revision: int) -> None:
        """Wait until all nodes have the accepted revision in force.

        A node that doesn't within the time limit is a problem of the cell.
        """
        if not revision:
            return
        for agent in self.world.tier.agents:
            try:
                wait_until(
                    lambda a=agent: _lowest_revision(a) >= revision,
                    f'revision {revision} on {agent.name}',
                    IN_FORCE_TIMEOUT_S,
                )
            except TimeoutError as exc:
                self.problems.append(str(exc))


def _lowest_revision(agent) -> int:
    status = call(agent.ports['http'], '/v1/status', timeout_s=1.0).json()
    return min(
        [status['revision'], *(e['revision'] for e in status['entries'])]
    )


# Steps of a query.


def query_before_pin(cell: Cell) -> None:
    """Inject the fault immediately before a query."""
    cell.inject_fault()
    cell.add_reply(cell.query().run())
    cell.query_other_entries()


def query_after_dispatch(cell: Cell) -> None:
    """Inject the fault while all targets execute the query."""
    cell.slow_down(list(range(4)))
    pending_reply = cell.query_in_background(cell.query())
    time.sleep(INJECT_AFTER_S)
    cell.inject_fault()
    cell.add_reply(pending_reply.result())
    cell.query_other_entries()


def query_mid_stream(cell: Cell) -> None:
    """Inject the fault after the first rows, before the last."""
    cell.slow_down([cell.place.instance])
    query = cell.query()
    pending_reply = cell.query_in_background(query)
    query.rows_received.wait(STEP_TIMEOUT_S)
    cell.inject_fault()
    cell.add_reply(pending_reply.result())


def query_before_end(cell: Cell) -> None:
    """Inject the fault shortly before the last rows arrive."""
    cell.slow_down([cell.place.instance])
    pending_reply = cell.query_in_background(cell.query())
    time.sleep(INJECT_BEFORE_END_S)
    cell.inject_fault()
    cell.add_reply(pending_reply.result())


# Steps of a booking.


def booking_before_claim(cell: Cell) -> None:
    """Inject the fault immediately before a booking."""
    cell.inject_fault()
    cell.add_reply(cell.book(cell.place.node, 1))
    cell.resend()


def booking_claim_written(cell: Cell) -> None:
    """Inject the fault when the claim is stored but not yet confirmed."""
    cell.remember_claim_count()
    cell.world.set_store_faults(
        slow_reply_ms=TARGET_DELAY_MS, only_kind='booking'
    )
    pending_reply = cell.book_in_background()
    cell.wait_for_claim()
    cell.world.set_store_faults()
    cell.inject_fault()
    cell.add_reply(pending_reply.result())
    cell.resend()


def booking_dispatched(cell: Cell) -> None:
    """Inject the fault while the target executes the booking."""
    cell.slow_down([cell.place.instance])
    pending_reply = cell.book_in_background()
    cell.wait_for_dispatch()
    cell.inject_fault()
    cell.add_reply(pending_reply.result())
    cell.resend()


def booking_outcome_due(cell: Cell) -> None:
    """Inject the fault after the reply, before the outcome is stored."""
    cell.slow_down([cell.place.instance], 250)
    pending_reply = cell.book_in_background()
    cell.wait_for_dispatch()
    cell.world.set_store_faults(slow_ms=TARGET_DELAY_MS)
    cell.add_reply(pending_reply.result())
    cell.inject_fault()
    cell.resend()


def booking_resend(cell: Cell) -> None:
    """Inject the fault between a booking and its resends."""
    cell.add_reply(cell.book(cell.place.node, 1))
    cell.inject_fault()
    cell.resend()


# Steps of a configuration change.


def change_before_write(cell: Cell) -> None:
    """Inject the fault immediately before a configuration change."""
    cell.inject_fault()
    cell.revision = cell.apply()


def change_write_unsure(cell: Cell) -> None:
    """Inject the fault, then lose the store's reply to the write.

    Faults of the store that already delay or prevent the reply are kept.
    """
    cell.inject_fault()
    if cell.fault.name not in ('store down', 'store slow'):
        cell.world.set_store_faults(lose_replies=1, only_kind='service')
    cell.revision = cell.apply()


def change_accepted(cell: Cell) -> None:
    """Inject the fault as soon as the change is confirmed."""
    cell.revision = cell.apply()
    cell.inject_fault()


def change_partly_in_force(cell: Cell) -> None:
    """Inject the fault while one agent lags behind the change."""
    node = (cell.place.node + 1) % 3
    agent = cell.world.tier.agents[node]
    cell.place.poller.allow_catch_up(node)
    cell.world.send_signal(agent, signal.SIGSTOP)
    cell.revision = cell.apply()
    time.sleep(0.3)
    cell.inject_fault()
    time.sleep(0.3)
    cell.place.poller.allow_catch_up(node)
    cell.world.send_signal(agent, signal.SIGCONT)
    cell.place.poller.allow_catch_up(node)


# Steps of a drain.


class BackgroundQueries:
    """Query two entries in the background while the context is open."""

    def __init__(self, cell: Cell):
        self._cell = cell
        self._stop_requested = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(node,))
            for node in range(2)
        ]

    def __enter__(self) -> BackgroundQueries:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self._stop_requested.set()
        for thread in self._threads:
            thread.join()

    def _run(self, node: int) -> None:
        while not self._stop_requested.wait(0.05):
            self._cell.add_reply(self._cell.query(node).run())


def drain_before(cell: Cell) -> None:
    """Inject the fault, then drain another target under load."""
    cell.inject_fault()
    target = _target_to_drain(cell)
    cell.world.drain(target)
    with BackgroundQueries(cell):
        time.sleep(LEAVING_WAIT_S + 0.5)
    cell.world.drain(target, is_leaving=False)


def drain_in_flight(cell: Cell) -> None:
    """Inject the fault while a draining target executes a query."""
    target = _target_to_drain(cell)
    cell.slow_down([int(target[1])])
    pending_reply = cell.query_in_background(cell.query())
    time.sleep(INJECT_AFTER_S)
    cell.world.drain(target)
    cell.inject_fault()
    cell.add_reply(pending_reply.result())
    cell.world.drain(target, is_leaving=False)


def drain_after(cell: Cell) -> None:
    """Inject the fault when a target has been draining for a while."""
    target = _target_to_drain(cell)
    cell.world.drain(target)
    with BackgroundQueries(cell):
        time.sleep(LEAVING_WAIT_S)
        cell.inject_fault()
        time.sleep(0.7)
    cell.world.drain(target, is_leaving=False)


def drain_entry_in_flight(cell: Cell) -> None:
    """Inject the fault while an entry shuts down with a query in flight."""
    node = (cell.place.node + 2) % 3
    cell.slow_down(list(range(4)))
    pending_reply = cell.query_in_background(cell.query(node))
    time.sleep(INJECT_AFTER_S)
    cell.world.stop_entry(node)
    cell.inject_fault()
    cell.add_reply(pending_reply.result())
    cell.world.kill_entry(node)
    cell.world.start_entry(node)
    cell.place.poller.allow_catch_up(node)


def _target_to_drain(cell: Cell) -> str:
    return f't{(cell.place.instance + 2) % 4}-0'


Step = Callable[[Cell], None]
QUERY_STEPS: tuple[Step, ...] = (
    query_before_pin,
    query_after_dispatch,
    query_mid_stream,
    query_before_end,
)
BOOKING_STEPS: tuple[Step, ...] = (
    booking_before_claim,
    booking_claim_written,
    booking_dispatched,
    booking_outcome_due,
    booking_resend,
)
CHANGE_STEPS: tuple[Step, ...] = (
    change_before_write,
    change_write_unsure,
    change_accepted,
    change_partly_in_force,
)
DRAIN_STEPS: tuple[Step, ...] = (
    drain_before,
    drain_in_flight,
    drain_after,
    drain_entry_in_flight,
)
ALL_STEPS = QUERY_STEPS + BOOKING_STEPS + CHANGE_STEPS + DRAIN_STEPS
