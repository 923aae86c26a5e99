"""Compare ways to run a booking at most once: store claims and tickets."""

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
TARGET_S = 0.004
STORE_S = 0.003
STORE_TIMEOUT_S = 0.1
STORE_WRITES_PER_S = 300
DEADLINE_S = 1.0
RESEND_S = 0.1
MAX_SENDS = 8
CFG = bookings.BookingSettings()


class Faults(msgspec.Struct, frozen=True):
    """Hold how often things fail and when the store is down."""

    broken: float = 0.0
    connect: float = 0.0
    store_lost: float = 0.0
    kill_every_s: float = 0.0
    outage: tuple[float, float] = (-1.0, -1.0)


class Order(msgspec.Struct, eq=False):
    """Hold one caller's booking over all of its sends."""

    key: BookingKey
    start: float
    sends: int = 0
    effects: int = 0
    told: RunState | None = None
    false_no: bool = False
    elapsed: float = 0.0


class Send(msgspec.Struct, eq=False):
    """Hold one send of a booking at an entry."""

    order: Order
    entry: int
    incarnation: int
    attempt: int
    over: bool = False
    left_gate: bool = False
    booking: bookings.Booking | None = None


class Store:
    """Serve calls in order at a bounded rate, and lose some replies."""

    def __init__(self, bench):
        self.bench = bench
        self.objects = {}
        self.revision = 0
        self.writes = 0
        self.reads = 0
        self.free_at = 0.0

    def call(self, action, reply):
        """Run an action; reply gets None where its answer is lost."""
        bench = self.bench
        start, end = bench.faults.outage
        if start <= bench.now < end:
            return bench.after(STORE_TIMEOUT_S, reply, None)
        latency = bench.rng.lognormvariate(0.0, 0.4) * STORE_S
        if isinstance(action, bookings.ReadClaim):
            self.reads += 1
        else:
            self.writes += 1
            self.free_at = max(self.free_at, bench.now)
            self.free_at += 1.0 / STORE_WRITES_PER_S
            latency += self.free_at - bench.now
        bench.after(latency / 2, self.apply, action, latency / 2, reply)

    def apply(self, action, latency, reply):
        event = self.event(action)
        if self.bench.rng.random() < self.bench.faults.store_lost:
            event, latency = None, STORE_TIMEOUT_S
        self.bench.after(latency, reply, event)

    def event(self, action):
        held = self.objects.get(action.name)
        revision = held[1] if held else None
        match action:
            case bookings.ReadClaim():
                return bookings.ClaimRead(self.view(held))
            case bookings.CreateClaim(name, claim, replaces):
                if revision != replaces:
                    return bookings.ClaimConflict(self.view(held))
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

    def view(self, held):
        if held is None:
            return None
        claim, revision = held
        entry = int(claim.node[1:])
        alive = self.bench.incarnations[entry] == claim.incarnation
        age_s = self.bench.now - claim.created_s
        return bookings.Stored(claim, revision, alive, age_s)


class Bench:
    """Run callers, entries, targets and the store on one event queue."""

    def __init__(self, way, per_s, run_s, faults=None):
        self.way = way
        self.faults = faults or Faults()
        self.rng = random.Random(5)
        self.now = 0.0
        self.events = []
        self.sequence = itertools.count()
        self.incarnations = [0] * ENTRIES
        self.store = Store(self)
        self.books = [self.new_book(i) for i in range(ENTRIES)]
        self.gates = [
            claim_gate.ClaimGate(claim_gate.ClaimGateSettings(), self.rng)
            for _ in range(ENTRIES)
        ]
        self.flying = collections.defaultdict(list)
        self.orders = []
        self.sends = []
        at = 0.0
        while (at := at + self.rng.expovariate(per_s)) < run_s:
            self.after(at, self.begin)
        self.end_s = run_s + 3.0
        kill_s = self.faults.kill_every_s
        if kill_s:
            for index in range(int(run_s / kill_s)):
                self.after(index * kill_s, self.kill, index % ENTRIES)

    def new_book(self, entry):
        return tickets.Tickets(
            NodeId(f'e{entry}'),
            self.incarnations[entry],
            tickets.TicketSettings(),
            random.Random(entry),
        )

    def after(self, delay, step, *args):
        at = self.now + delay
        heapq.heappush(self.events, (at, next(self.sequence), step, args))

    def run(self):
        while self.events:
            self.now, _, step, args = heapq.heappop(self.events)
            if self.now > self.end_s:
                break
            step(*args)
        return self

    # Callers.

    def begin(self):
        order = Order(BookingKey(f'k{len(self.orders)}'), self.now)
        self.orders.append(order)
        if self.way == 'tickets':
            self.after(2 * CALLER_HOP_S, self.issue, order)
        else:
            self.send(order)

    def issue(self, order):
        book = self.books[self.rng.randrange(ENTRIES)]
        order.key = BookingKey(str(book.issue(self.now)))
        self.send(order)

    def send(self, order):
        if order.told in (RunState.YES,) or order.sends >= MAX_SENDS:
            return
        order.sends += 1
        entry = self.rng.randrange(ENTRIES)
        if self.way == 'tickets':
            entry = int(tickets.parse(order.key).node[1:])
        send = Send(order, entry, self.incarnations[entry], order.sends)
        self.sends.append(send)
        self.flying[entry].append(send)
        self.after(CALLER_HOP_S, self.arrive, send)
        self.after(DEADLINE_S + RESEND_S, self.give_up, send)

    def give_up(self, send):
        """Send again what had no answer at all."""
        if not send.over:
            send.over = True
            self.send(send.order)

    def tell(self, send, run, retry_after_s=None):
        if send.incarnation == self.incarnations[send.entry]:
            self.after(CALLER_HOP_S, self.told, send, run, retry_after_s)

    def told(self, send, run, retry_after_s):
        if send.over:
            return
        send.over = True
        order = send.order
        order.told = run
        if run is RunState.NO and order.effects:
            order.false_no = True
        if run is RunState.YES:
            order.elapsed = self.now - order.start
        elif retry_after_s is not None:
            self.after(retry_after_s + RESEND_S, self.send, order)

    # Entries.

    def kill(self, entry):
        self.incarnations[entry] += 1
        self.books[entry] = self.new_book(entry)
        for send in self.flying.pop(entry, ()):
            self.after(CALLER_HOP_S, self.give_up, send)

    def arrive(self, send):
        if send.incarnation != self.incarnations[send.entry]:
            return
        match self.way:
            case 'ungated_claims':
                self.arrive_claim(send)
            case 'claims' if self.gates[send.entry].enter():
                self.arrive_claim(send)
            case 'claims':
                run = bookings.unclaimed_run(send.attempt)
                wait_s = self.gates[send.entry].retry_after_s()
                self.tell(send, run, wait_s)
            case 'tickets':
                self.arrive_ticket(send)
            case 'baseline':
                self.dispatch_blind(send, 0)

    def arrive_claim(self, send):
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
        self.act(send, send.booking.start(self.now, self.now))
        self.after(DEADLINE_S, self.feed, send, bookings.DeadlinePassed())

    def feed(self, send, event):
        if send.incarnation == self.incarnations[send.entry]:
            self.act(send, send.booking.handle(event, self.now))

    def act(self, send, actions):
        for action in actions:
            match action:
                case bookings.Reply(result):
                    retry_s = None if result.repeated else RESEND_S
                    self.tell(send, result.run, retry_s)
                case bookings.Refuse(_, run, retry_after_s):
                    self.tell(send, run, retry_after_s)
                case bookings.Dispatch(_, attempt):
                    self.dispatch(send, attempt)
                case bookings.CreateClaim():
                    lost = bookings.ClaimUnsure()
                    self.call_store(send, action, lost)
                case bookings.ReadClaim(_, after_s):
                    lost = bookings.ReadFailed()
                    self.after(after_s, self.call_store, send, action, lost)
                case _:
                    lost = bookings.OutcomeUnsure()
                    wait_s = action.after_s
                    self.after(wait_s, self.call_store, send, action, lost)

    def call_store(self, send, action, lost):
        start = self.now

        def answered(event):
            if isinstance(action, bookings.CreateClaim):
                took_s = self.now - start if event is not None else None
                self.leave_gate(send, took_s)
            self.feed(send, event or lost)

        self.store.call(action, answered)

    def leave_gate(self, send, took_s):
        """Free the claim's place with its first answer."""
        if self.way == 'claims' and not send.left_gate:
            send.left_gate = True
            self.gates[send.entry].leave(took_s, self.now)

    def dispatch(self, send, attempt):
        outcome, delay = self.at_target(send)
        match outcome:
            case 'answered':
                event = bookings.TargetAnswered(attempt, RESULT)
            case 'unsent':
                event = bookings.ConnectFailed(attempt)
            case 'broken':
                event = bookings.ConnectionBroken(attempt)
        self.after(delay, self.feed, send, event)

    def arrive_ticket(self, send):
        ticket = tickets.parse(send.order.key)
        book = self.books[send.entry]
        alive = ticket.incarnation == self.incarnations[send.entry]
        attempt = send.attempt
        decision = book.admit(ticket, 'd', attempt, alive, self.now)
        match decision:
            case tickets.Run():
                outcome, delay = self.at_target(send)
                self.after(delay, self.end_ticket, send, ticket, outcome)
            case tickets.Repeat():
                self.tell(send, RunState.YES)
            case tickets.Refuse('in_progress', run):
                self.tell(send, run, RESEND_S)
            case tickets.Refuse(_, run):
                self.tell(send, run)

    def end_ticket(self, send, ticket, outcome):
        if send.incarnation != self.incarnations[send.entry]:
            return
        book = self.books[send.entry]
        match outcome:
            case 'answered':
                book.done(ticket, RESULT)
                self.tell(send, RunState.YES)
            case 'unsent':
                book.unsent(ticket, send.attempt)
                self.tell(send, RunState.NO, RESEND_S)
            case 'broken':
                book.lost(ticket)
                self.tell(send, RunState.UNKNOWN)

    def dispatch_blind(self, send, tries):
        """Retry whatever failed, as a plain proxy would do."""
        outcome, delay = self.at_target(send)
        if outcome == 'answered':
            self.after(delay, self.tell, send, RunState.YES)
        elif tries < 2:
            self.after(delay, self.dispatch_blind, send, tries + 1)
        else:
            self.after(delay, self.tell, send, RunState.NO, RESEND_S)

    # Targets.

    def at_target(self, send):
        """Return how a dispatch ends and when the entry learns it."""
        chance = self.rng.random()
        if chance < self.faults.connect:
            return 'unsent', 2 * TARGET_HOP_S
        run_s = self.rng.expovariate(1.0 / TARGET_S)
        self.after(TARGET_HOP_S + run_s, self.take_effect, send.order)
        delay = 2 * TARGET_HOP_S + run_s
        if chance < self.faults.connect + self.faults.broken:
            return 'broken', delay
        return 'answered', delay

    def take_effect(self, order):
        order.effects += 1

    def figures(self):
        done = [o for o in self.orders if o.told is RunState.YES]
        elapsed = sorted(o.elapsed for o in done)
        count = len(self.orders)
        ran = [o for o in self.orders if o.effects]
        return {
            'bookings': count,
            'ran_twice': sum(o.effects > 1 for o in self.orders),
            'told_no_falsely': sum(o.false_no for o in self.orders),
            'yes': round(len(done) / count, 4),
            'unknown_at_last': sum(
                o.told in (RunState.UNKNOWN, None) for o in self.orders
            ),
            'ran_but_not_told_yes': sum(
                o.told is not RunState.YES for o in ran
            ),
            'p50_ms': round(elapsed[len(elapsed) // 2] * 1e3, 2),
            'p99_ms': round(elapsed[int(len(elapsed) * 0.99)] * 1e3, 2),
            'store_writes': round(self.store.writes / count, 3),
            'store_reads': round(self.store.reads / count, 3),
        }


WAYS = ('baseline', 'claims', 'ungated_claims', 'tickets')
FAULTS = {
    'calm': Faults(),
    'faults': Faults(
        broken=0.01, connect=0.02, store_lost=0.02, kill_every_s=0.5
    ),
    'store_down_2_of_10_s': Faults(outage=(4.0, 6.0)),
    'faults_and_store_down': Faults(
        broken=0.01,
        connect=0.02,
        store_lost=0.02,
        kill_every_s=0.5,
        outage=(4.0, 6.0),
    ),
}
RATES = (50, 100, 140, 200, 400)


def measure_cost() -> float:
    """Return the microseconds of all decisions of one booking."""
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
    """Print a line for each run, then the figures as JSON."""
    figures: dict[str, object] = {}
    for name, faults in FAULTS.items():
        for way in WAYS:
            row = Bench(way, 100, 10.0, faults).run().figures()
            figures[f'{way}.{name}'] = row
            print(f'{way:14} {name:22}', *row.values(), file=sys.stderr)
    for per_s in RATES:
        for way in ('claims', 'ungated_claims'):
            row = Bench(way, per_s, 5.0).run().figures()
            figures[f'{way}.at_{per_s}_per_s'] = row
            name = f'{per_s} a second'
            print(f'{way:14} {name:22}', *row.values(), file=sys.stderr)
    claim = bookings.Claim(
        SERVICE, BookingKey('k' * 36), 'd' * 40, 'n' * 32, NodeId('e0'),
        1, 1, 1e9, 1.0, bookings.ClaimState.DONE, RESULT,
    )  # fmt: skip
    figures['claim_bytes'] = len(bookings.encode_claim(claim))
    figures['decisions_us'] = round(measure_cost(), 1)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
