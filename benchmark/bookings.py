"""Compare methods to run a booking at most once: claims and tickets.

Claims are objects in the platform's store; tickets are held by the entry
that issued them. The baseline retries without either.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import json
import random
import sys
import time

import msgspec

from sesameward.bookings import bookings
from sesameward.bookings import claim_gate
from sesameward.bookings import tickets
from sesameward.types import BookingKey
from sesameward.types import NodeId
from sesameward.types import RequestId
from sesameward.types import Revision
from sesameward.types import RunState
from sesameward.types import ServiceName
from sesameward.types import TargetId

ENTRIES = 5
SERVICE = ServiceName('trip-desk')
TARGETS = (TargetId('t0'), TargetId('t1'))
RESULT = msgspec.Raw(b'{"seat":7}')
CALLER_HOP_S = 0.0015
TARGET_HOP_S = 0.0005
TARGET_MEAN_S = 0.004
STORE_MEDIAN_S = 0.003
STORE_TIMEOUT_S = 0.1
STORE_WRITES_PER_S = 300
DEADLINE_S = 1.0
RESEND_S = 0.1
MAX_SENDS = 8
CFG = bookings.BookingSettings()


class Faults(msgspec.Struct, frozen=True):
    """Set probabilities of failures, entry restarts and a store outage.

    The outage is its start and end in seconds.
    """

    broken_chance: float = 0.0
    connect_failure_chance: float = 0.0
    store_reply_lost_chance: float = 0.0
    restart_every_s: float = 0.0
    outage: tuple[float, float] = (-1.0, -1.0)


class Order(msgspec.Struct, eq=False):
    """Track a caller's booking over all requests sent for it."""

    key: BookingKey
    start: float
    sends: int = 0
    effects: int = 0
    reported_run: RunState | None = None
    falsely_told_no: bool = False
    elapsed: float = 0.0


class Send(msgspec.Struct, eq=False):
    """Track one request for a booking at an entry."""

    order: Order
    entry: int
    incarnation: int
    attempt: int
    closed: bool = False
    left_gate: bool = False
    booking: bookings.Booking | None = None


class Store:
    """Simulate a store with a bounded write rate that loses some replies."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.objects = {}
        self.revision = 0
        self.writes = 0
        self.reads = 0
        self.writes_free_at = 0.0

    def call(self, action, reply):
        """Run an action and pass its event to reply; None if that is lost."""
        simulation = self.simulation
        start, end = simulation.faults.outage
        if start <= simulation.now < end:
            return simulation.after(STORE_TIMEOUT_S, reply, None)
        latency = simulation.rng.lognormvariate(0.0, 0.4) * STORE_MEDIAN_S
        if isinstance(action, bookings.ReadClaim):
            self.reads += 1
        else:
            self.writes += 1
            self.writes_free_at = max(self.writes_free_at, simulation.now)
            self.writes_free_at += 1.0 / STORE_WRITES_PER_S
            latency += self.writes_free_at - simulation.now
        simulation.after(latency / 2, self.apply, action, latency / 2, reply)

    def apply(self, action, latency, reply):
        event = self.execute(action)
        if (
            self.simulation.rng.random()
            < self.simulation.faults.store_reply_lost_chance
        ):
            event, latency = None, STORE_TIMEOUT_S
        self.simulation.after(latency, reply, event)

    def execute(self, action):
        stored = self.objects.get(action.name)
        revision = stored[1] if stored else None
        match action:
            case bookings.ReadClaim():
                return bookings.ClaimRead(self.describe_claim(stored))
            case bookings.CreateClaim(name, claim, replaces):
                if revision != replaces:
                    return bookings.ClaimConflict(self.describe_claim(stored))
                return bookings.ClaimCreated(self.put(name, claim))
            case _:
                if revision != action.revision:
                    return bookings.OutcomeConflict()
                self.put(action.name, action.claim)
                return bookings.OutcomeWritten()

    def put(self, name, claim):
        self.revision += 1
        self.objects[name] = (claim, Revision(self.revision))
        return Revision(self.revision)

    def describe_claim(self, stored):
        if stored is None:
            return None
        claim, revision = stored
        entry = int(claim.node[1:])
        alive = self.simulation.incarnations[entry] == claim.incarnation
        age_s = self.simulation.now - claim.created_s
        return bookings.StoredClaim(claim, revision, alive, age_s)


class Simulation:
    """Simulate callers, entries, targets and the store in virtual time."""

    def __init__(self, method, per_s, run_s, faults=None):
        self.method = method
        self.faults = faults or Faults()
        self.rng = random.Random(5)
        self.now = 0.0
        self.events = []
        self.sequence = itertools.count()
        self.incarnations = [0] * ENTRIES
        self.store = Store(self)
        self.ticket_books = [self.new_ticket_book(i) for i in range(ENTRIES)]
        self.gates = [
            claim_gate.ClaimGate(claim_gate.ClaimGateSettings(), self.rng)
            for _ in range(ENTRIES)
        ]
        self.in_flight = collections.defaultdict(list)
        self.orders = []
        self.sends = []
        at = 0.0
        while (at := at + self.rng.expovariate(per_s)) < run_s:
            self.after(at, self.start_order)
        self.end_s = run_s + 3.0
        restart_interval_s = self.faults.restart_every_s
        if restart_interval_s:
            for index in range(int(run_s / restart_interval_s)):
                self.after(
                    index * restart_interval_s,
                    self.restart_entry,
                    index % ENTRIES,
                )

    def new_ticket_book(self, entry):
        return tickets.Tickets(
            NodeId(f'e{entry}'),
            self.incarnations[entry],
            tickets.TicketSettings(),
            random.Random(entry),
        )

    def after(self, delay, callback, *args):
        at = self.now + delay
        heapq.heappush(self.events, (at, next(self.sequence), callback, args))

    def run(self):
        while self.events:
            self.now, _, callback, args = heapq.heappop(self.events)
            if self.now > self.end_s:
                break
            callback(*args)
        return self

    # Simulated callers.

    def start_order(self):
        order = Order(BookingKey(f'k{len(self.orders)}'), self.now)
        self.orders.append(order)
        if self.method == 'tickets':
            self.after(2 * CALLER_HOP_S, self.issue, order)
        else:
            self.send(order)

    def issue(self, order):
        ticket_book = self.ticket_books[self.rng.randrange(ENTRIES)]
        order.key = BookingKey(str(ticket_book.issue(self.now)))
        self.send(order)

    def send(self, order):
        if order.reported_run in (RunState.YES,) or order.sends >= MAX_SENDS:
            return
        order.sends += 1
        entry = self.rng.randrange(ENTRIES)
        if self.method == 'tickets':
            entry = int(tickets.parse(order.key).node[1:])
        send = Send(order, entry, self.incarnations[entry], order.sends)
        self.sends.append(send)
        self.in_flight[entry].append(send)
        self.after(CALLER_HOP_S, self.arrive, send)
        self.after(DEADLINE_S + RESEND_S, self.on_send_timeout, send)

    def on_send_timeout(self, send):
        """Send the booking again if this request got no answer."""
        if not send.closed:
            send.closed = True
            self.send(send.order)

    def send_answer(self, send, run, retry_after_s=None):
        if send.incarnation == self.incarnations[send.entry]:
            self.after(
                CALLER_HOP_S, self.receive_answer, send, run, retry_after_s
            )

    def receive_answer(self, send, run, retry_after_s):
        if send.closed:
            return
        send.closed = True
        order = send.order
        order.reported_run = run
        if run is RunState.NO and order.effects:
            order.falsely_told_no = True
        if run is RunState.YES:
            order.elapsed = self.now - order.start
        elif retry_after_s is not None:
            self.after(retry_after_s + RESEND_S, self.send, order)

    # Simulated entries.

    def restart_entry(self, entry):
        self.incarnations[entry] += 1
        self.ticket_books[entry] = self.new_ticket_book(entry)
        for send in self.in_flight.pop(entry, ()):
            self.after(CALLER_HOP_S, self.on_send_timeout, send)

    def arrive(self, send):
        if send.incarnation != self.incarnations[send.entry]:
            return
        match self.method:
            case 'ungated_claims':
                self.arrive_with_claim(send)
            case 'claims' if self.gates[send.entry].try_acquire():
                self.arrive_with_claim(send)
            case 'claims':
                run = bookings.unclaimed_run(send.attempt)
                wait_s = self.gates[send.entry].retry_after_s()
                self.send_answer(send, run, wait_s)
            case 'tickets':
                self.arrive_with_ticket(send)
            case 'baseline':
                self.dispatch_unprotected(send, 0)

    def arrive_with_claim(self, send):
        order = send.order
        req = bookings.BookingRequest(
            request_id=RequestId('r'),
            service=SERVICE,
            key=order.key,
            digest='d',
            attempt=send.attempt,
            deadline=self.now + DEADLINE_S,
            targets=TARGETS,
        )
        node = NodeId(f'e{send.entry}')
        claimer = bookings.Claimer(node, send.incarnation)
        send.booking = bookings.Booking(req, claimer, CFG, self.rng)
        self.apply_actions(send, send.booking.start(self.now, self.now))
        self.after(
            DEADLINE_S, self.handle_event, send, bookings.DeadlinePassed()
        )

    def handle_event(self, send, event):
        if send.incarnation == self.incarnations[send.entry]:
            self.apply_actions(send, send.booking.handle(event, self.now))

    def apply_actions(self, send, actions):
        for action in actions:
            match action:
                case bookings.Reply(result):
                    retry_s = None if result.repeated else RESEND_S
                    self.send_answer(send, result.run, retry_s)
                case bookings.Refuse(_, run, retry_after_s):
                    self.send_answer(send, run, retry_after_s)
                case bookings.Dispatch(_, attempt):
                    self.dispatch(send, attempt)
                case bookings.CreateClaim():
                    failure = bookings.ClaimCreateUnconfirmed()
                    self.call_store(send, action, failure)
                case bookings.ReadClaim(_, after_s):
                    failure = bookings.ReadFailed()
                    self.after(after_s, self.call_store, send, action, failure)
                case _:
                    failure = bookings.OutcomeUnconfirmed()
                    wait_s = action.after_s
                    self.after(wait_s, self.call_store, send, action, failure)

    def call_store(self, send, action, failure):
        start = self.now

        def answered(event):
            if isinstance(action, bookings.CreateClaim):
                took_s = self.now - start if event is not None else None
                self.leave_gate(send, took_s)
            self.handle_event(send, event or failure)

        self.store.call(action, answered)

    def leave_gate(self, send, took_s):
        """Leave the claim gate once, at the first answer to the claim."""
        if self.method == 'claims' and not send.left_gate:
            send.left_gate = True
            self.gates[send.entry].release(took_s, self.now)

    def dispatch(self, send, attempt):
        outcome, delay = self.run_at_target(send)
        match outcome:
            case 'answered':
                event = bookings.TargetAnswered(attempt, RESULT)
            case 'unsent':
                event = bookings.ConnectFailed(attempt)
            case 'broken':
                event = bookings.ConnectionBroken(attempt)
        self.after(delay, self.handle_event, send, event)

    def arrive_with_ticket(self, send):
        ticket = tickets.parse(send.order.key)
        ticket_book = self.ticket_books[send.entry]
        alive = ticket.incarnation == self.incarnations[send.entry]
        attempt = send.attempt
        decision = ticket_book.admit(ticket, 'd', attempt, alive, self.now)
        match decision:
            case tickets.Run():
                outcome, delay = self.run_at_target(send)
                self.after(
                    delay, self.finish_with_ticket, send, ticket, outcome
                )
            case tickets.Repeat():
                self.send_answer(send, RunState.YES)
            case tickets.Refuse('in_progress', run):
                self.send_answer(send, run, RESEND_S)
            case tickets.Refuse(_, run):
                self.send_answer(send, run)

    def finish_with_ticket(self, send, ticket, outcome):
        if send.incarnation != self.incarnations[send.entry]:
            return
        ticket_book = self.ticket_books[send.entry]
        match outcome:
            case 'answered':
                ticket_book.record_result(ticket, RESULT)
                self.send_answer(send, RunState.YES)
            case 'unsent':
                ticket_book.record_not_run(ticket, send.attempt)
                self.send_answer(send, RunState.NO, RESEND_S)
            case 'broken':
                ticket_book.record_no_reply(ticket)
                self.send_answer(send, RunState.UNKNOWN)

    def dispatch_unprotected(self, send, tries):
        """Dispatch without claim or ticket; retry failures as a proxy does."""
        outcome, delay = self.run_at_target(send)
        if outcome == 'answered':
            self.after(delay, self.send_answer, send, RunState.YES)
        elif tries < 2:
            self.after(delay, self.dispatch_unprotected, send, tries + 1)
        else:
            self.after(delay, self.send_answer, send, RunState.NO, RESEND_S)

    # Simulated targets.

    def run_at_target(self, send):
        """Run a booking; return its outcome and when the entry learns it."""
        draw = self.rng.random()
        if draw < self.faults.connect_failure_chance:
            return 'unsent', 2 * TARGET_HOP_S
        run_s = self.rng.expovariate(1.0 / TARGET_MEAN_S)
        self.after(TARGET_HOP_S + run_s, self.take_effect, send.order)
        delay = 2 * TARGET_HOP_S + run_s
        if (
            draw
            < self.faults.connect_failure_chance + self.faults.broken_chance
        ):
            return 'broken', delay
        return 'answered', delay

    def take_effect(self, order):
        order.effects += 1

    def figures(self):
        done = [
            order
            for order in self.orders
            if order.reported_run is RunState.YES
        ]
        elapsed = sorted(order.elapsed for order in done)
        count = len(self.orders)
        executed = [order for order in self.orders if order.effects]
        return {
            'bookings': count,
            'ran_twice': sum(order.effects > 1 for order in self.orders),
            'told_no_falsely': sum(
                order.falsely_told_no for order in self.orders
            ),
            'yes': round(len(done) / count, 4),
            'unknown_at_last': sum(
                order.reported_run in (RunState.UNKNOWN, None)
                for order in self.orders
            ),
            'ran_but_not_told_yes': sum(
                order.reported_run is not RunState.YES for order in executed
            ),
            'p50_ms': round(elapsed[len(elapsed) // 2] * 1e3, 2),
            'p99_ms': round(elapsed[int(len(elapsed) * 0.99)] * 1e3, 2),
            'store_writes': round(self.store.writes / count, 3),
            'store_reads': round(self.store.reads / count, 3),
        }


METHODS = ('baseline', 'claims', 'ungated_claims', 'tickets')
FAULTS = {
    'calm': Faults(),
    'faults': Faults(
        broken_chance=0.01,
        connect_failure_chance=0.02,
        store_reply_lost_chance=0.02,
        restart_every_s=0.5,
    ),
    'store_down_2_of_10_s': Faults(outage=(4.0, 6.0)),
    'faults_and_store_down': Faults(
        broken_chance=0.01,
        connect_failure_chance=0.02,
        store_reply_lost_chance=0.02,
        restart_every_s=0.5,
        outage=(4.0, 6.0),
    ),
}
RATES_PER_S = (50, 100, 140, 200, 400)


def measure_cost() -> float:
    """Return the mean time of a booking's decisions in microseconds."""
    count = 5_000
    claimer = bookings.Claimer(NodeId('e0'), 1)
    rng = random.Random(1)
    start = time.perf_counter()
    for index in range(count):
        req = bookings.BookingRequest(
            RequestId('r'), SERVICE, BookingKey(str(index)), 'd', 1, 9.0,
            TARGETS,
        )  # fmt: skip
        booking = bookings.Booking(req, claimer, CFG, rng)
        (create,) = booking.start(0.0, 0.0)
        bookings.encode_claim(create.claim)
        (send,) = booking.handle(bookings.ClaimCreated(Revision(1)), 0.0)
        event = bookings.TargetAnswered(send.attempt, RESULT)
        _, write = booking.handle(event, 0.0)
        bookings.encode_claim(write.claim)
        booking.handle(bookings.OutcomeWritten(), 0.0)
    return (time.perf_counter() - start) / count * 1e6


def main() -> None:
    """Print each run to standard error, then all figures as JSON."""
    figures: dict[str, object] = {}
    for name, faults in FAULTS.items():
        for method in METHODS:
            row = Simulation(method, 100, 10.0, faults).run().figures()
            figures[f'{method}.{name}'] = row
            print(f'{method:14} {name:22}', *row.values(), file=sys.stderr)
    for per_s in RATES_PER_S:
        for method in ('claims', 'ungated_claims'):
            row = Simulation(method, per_s, 5.0).run().figures()
            figures[f'{method}.at_{per_s}_per_s'] = row
            name = f'{per_s} a second'
            print(f'{method:14} {name:22}', *row.values(), file=sys.stderr)
    claim = bookings.Claim(
        SERVICE, BookingKey('k' * 36), 'd' * 40, 'n' * 32, NodeId('e0'),
        1, 1, 1e9, 1.0, bookings.ClaimState.DONE, RESULT,
    )  # fmt: skip
    figures['claim_bytes'] = len(bookings.encode_claim(claim))
    figures['decisions_us'] = round(measure_cost(), 1)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
