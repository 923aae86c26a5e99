"""Run cells on one tier, clear their faults and check the promises."""

from __future__ import annotations

import collections
import contextlib
import pathlib
import tempfile
import time

import msgspec

from sesameward.standin.processes import call
from sesameward.standin.processes import Shape
from sesameward.standin.processes import Tier
from sesameward.standin.processes import wait_until

from . import faults
from ..histories import checks
from ..histories import observe
from ..histories import records as rec
from ..histories import shrink
from ..histories.world import World
from . import steps
from .faults import Component
from .faults import Fault

DEADLINE_MS = 1_500
# Time by which a reply may exceed the deadline.
LATE_MARGIN_S = 1.0
SHAPE = Shape(
    nodes=3,
    deadline_ms=DEADLINE_MS,
    max_deadline_ms=5_000,
    work_logs=True,
)
SETTLE_TIMEOUT_S = 25.0
# Time during which an entry sends no work to a target that has said in a
# reply that it is leaving.
LEAVING_AVOIDED_S = 10.0
# Records from earlier cells that checks of a later cell need.
RECORDS_OF_ALL_CELLS = (
    rec.Published,
    rec.ObjectWritten,
    rec.Accepted,
    rec.InForce,
)


class Plan(msgspec.Struct):
    """Define one cell; a non-empty reason says why it is not run."""

    fault: Fault
    step: steps.Step
    reason: str = ''

    @property
    def name(self) -> str:
        """Return the cell's name, by which it can be selected."""
        return f'{self.fault.name} / {self.step.__name__}'


class Verdict(msgspec.Struct):
    """Hold the result of one cell.

    held tells whether all promises held; None means that the cell was not
    run. violation_texts show the first violations with shortened histories.
    """

    name: str
    held: bool | None
    seed: int
    took_s: float = 0.0
    notes: list[str] = []
    violation_texts: list[str] = []

    def table_row(self) -> str:
        """Return the result as one row of the printed table."""
        result = {True: 'held', False: 'NOT HELD', None: 'not run'}[self.held]
        notes = '; '.join(self.notes)
        return (
            f'{self.name:62} {result:8} {self.seed:4} {self.took_s:5.1f}'
            f'  {notes}'
        )


def plans() -> list[Plan]:
    """Return all cells: each step with each fault, then with pairs.

    Steps that drain targets come last among the single faults.
    """
    cells = [
        Plan(fault, step, skip_reason(fault, step))
        for step in steps.ALL_STEPS
        for fault in faults.single_faults()
    ]
    steps_for_pairs = (
        steps.query_after_dispatch,
        steps.query_mid_stream,
        steps.booking_claim_written,
        steps.booking_dispatched,
        steps.change_accepted,
        steps.drain_in_flight,
    )
    cells += [
        Plan(fault, step)
        for step in steps_for_pairs
        for fault in faults.fault_pairs()
    ]
    return cells


def skip_reason(fault: Fault, step: steps.Step) -> str:
    """Return why a fault can't matter at a step, or an empty string."""
    concerns_target = fault.component is Component.TARGET
    if concerns_target and step in steps.CHANGE_STEPS:
        return 'targets have no part in configuration'
    if concerns_target and step is steps.booking_outcome_due:
        return "the target's part of the booking is over"
    if concerns_target and step is steps.booking_resend:
        return 'a resend reads the stored outcome and asks no target'
    if fault.name == 'store reply lost' and step in steps.QUERY_STEPS:
        return 'a query writes nothing to the store'
    if fault.name == 'store reply lost' and step in steps.DRAIN_STEPS:
        return "a target's own drain writes nothing to the store"
    if fault.name == 'store reply lost' and step is steps.change_write_unsure:
        return 'the step itself injects this fault'
    if fault.name == 'target draining' and step in steps.DRAIN_STEPS:
        return 'the step itself injects this fault'
    return ''


def covered_elsewhere() -> list[Verdict]:
    """Return rows for faults that other tests cover instead of cells."""
    return [
        Verdict(
            'lease lapsed while paused / all steps',
            None,
            0,
            notes=[
                'the summary lease takes no part in any step; covered by '
                'tests/test_leases.py; a claim whose holder is paused '
                'beyond its deadline is entry frozen / '
                'booking_claim_written'
            ],
        ),
        Verdict(
            'datagrams lost / all steps',
            None,
            0,
            notes=[
                'no relay on loopback that could drop datagrams; covered by '
                'the tests of the membership protocol without I/O'
            ],
        ),
    ]


class Matrix:
    """Run cells one after another on one tier and judge each."""

    def __init__(self, seed: int = 1):
        self._seed = seed
        self._stack = contextlib.ExitStack()
        self._reported_violations: set[checks.Violation] = set()
        self._drained_at: dict[int, float] = {}
        self._cell_number = seed * 1_000

    def __enter__(self) -> Matrix:
        with contextlib.ExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            path = pathlib.Path(folder) / 'callers.jsonl'
            self.observer = observe.Observer(path)
            stack.callback(self.observer.close)
            self.tier = stack.enter_context(Tier(SHAPE))
            self.world = World(self.tier, self.observer, self._seed)
            self.poller = observe.StatusPoller(self.observer, self.tier)
            self.poller.start()
            stack.callback(self.poller.stop)
            self.settle()
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc: object) -> None:
        self._stack.close()

    def run(self, plan: Plan) -> Verdict:
        """Run one cell, clear its fault and return the result."""
        if plan.reason:
            return Verdict(plan.name, None, self._seed, notes=[plan.reason])
        self._cell_number += 1
        place = self._next_location()
        began_at = time.monotonic()
        cell = steps.Cell(place, plan.fault)
        cell.revision = 0
        try:
            plan.step(cell)
        except (TimeoutError, OSError) as exc:
            cell.problems.append(f'{type(exc).__name__}: {exc}')
        finally:
            cell.close()
        self._recover(plan, cell)
        history = self._cell_history(began_at)
        took_s = time.monotonic() - began_at
        return self._verdict(plan, cell, history, took_s)

    def _next_location(self) -> faults.FaultLocation:
        cell_number = self._cell_number
        place = faults.FaultLocation(
            self.world, cell_number % 4, cell_number // 4 % 2, 0
        )
        place.poller = self.poller
        place.cell_number = cell_number
        self._wait_for_instance(place.instance)
        return place

    def _wait_for_instance(self, instance: int) -> None:
        # Entries still avoid targets that were drained recently, so the cell
        # would run with one replica less than intended.
        for other in (instance, (instance + 2) % 4):
            usable_at = self._drained_at.get(other, 0.0) + LEAVING_AVOIDED_S
            time.sleep(max(0.0, usable_at - time.monotonic()))

    def _recover(self, plan: Plan, cell: steps.Cell) -> None:
        try:
            plan.fault.clear(cell.place)
            self.world.set_store_faults()
            for target in self.tier.targets:
                self.world.set_target_faults(target)
            if plan.step in steps.DRAIN_STEPS or 'draining' in plan.fault.name:
                now = time.monotonic()
                self._drained_at[cell.place.instance] = now
                self._drained_at[(cell.place.instance + 2) % 4] = now
            cell.wait_in_force(cell.revision)
            self.settle()
        except (TimeoutError, OSError) as exc:
            cell.problems.append(f'did not recover: {exc}')

    def settle(self) -> None:
        """Wait until all nodes see all entries and targets as healthy."""
        for index, entry in enumerate(self.tier.entries):
            wait_until(
                lambda e=entry: self._knows_all_entries(e),
                'an entry to know all entry addresses',
                SETTLE_TIMEOUT_S,
            )
            wait_until(
                lambda e=entry: self.tier.is_whole(e),
                entry.name,
                SETTLE_TIMEOUT_S,
            )
            agent = self.tier.agents[index]
            wait_until(
                lambda a=agent: self._all_live(a),
                f'targets of {agent.name}',
                SETTLE_TIMEOUT_S,
            )

    def _knows_all_entries(self, entry) -> bool:
        found = call(entry.ports['port'], '/v1/addresses').json()
        ports = {a['port'] for a in found['addresses']}
        return ports == {e.ports['port'] for e in self.tier.entries}

    def _all_live(self, agent) -> bool:
        statuses = call(agent.ports['http'], '/v1/targets').json()
        return len(statuses) == len(self.tier.targets) and all(
            s['live']
            and not s['leaving']
            and s['report'] is not None
            and not s['report']['draining']
            and _holds_snapshot(s['report'], self.world.snapshots[-1])
            for s in statuses
        )

    def _cell_history(self, began_at: float) -> list[rec.Record]:
        history = observe.collect_history(self.tier, self.observer)
        return [
            r
            for r in history
            if r.at >= began_at or isinstance(r, RECORDS_OF_ALL_CELLS)
        ]

    def _verdict(
        self,
        plan: Plan,
        cell: steps.Cell,
        history: list[rec.Record],
        took_s: float,
    ) -> Verdict:
        found = [
            v
            for v in checks.check(history)
            if v not in self._reported_violations
        ]
        self._reported_violations.update(found)
        notes = list(cell.problems)
        notes += [f'{v.check}: {v.subject}: {v.problem}' for v in found]
        if plan.fault.can_be_in_time:
            notes += [
                f'{r.send} took {r.took_s:.1f} s'
                for r in cell.replies
                if r.timed_out or r.took_s > DEADLINE_MS / 1e3 + LATE_MARGIN_S
            ]
        held = not notes
        violation_texts = [
            shrink.render(history, v, self._seed) for v in found[:2]
        ]
        notes += _summarise_replies(cell)
        return Verdict(
            plan.name,
            held,
            self._seed,
            round(took_s, 1),
            notes,
            violation_texts,
        )


def _holds_snapshot(report: dict, snapshot: int) -> bool:
    held = report['holds']
    return held is not None and all(snapshot in v for v in held.values())


def _summarise_replies(cell: steps.Cell) -> list[str]:
    """Summarise incomplete, cut and refused replies for the table."""
    notes = []
    ends = [r.end for r in cell.replies if r.end is not None]
    partial = [e for e in ends if not e.complete]
    if partial:
        reasons = collections.Counter(
            m.reason.value for e in partial for m in e.missing
        )
        shards = ', '.join(f'{n} {name}' for name, n in reasons.items())
        notes.append(
            f'incomplete {len(partial)} of {len(ends)} (shards: {shards})'
        )
    cut_count = sum(r.cut for r in cell.replies)
    if cut_count:
        notes.append(f'replies cut off: {cut_count}')
    run_states = [
        f'{r.run_state.value}'
        f'{f" ({r.refusal_kind})" if r.refusal_kind else ""}'
        for r in cell.replies
        if r.run_state is not None
    ]
    if run_states:
        notes.append(f'run states told: {", ".join(run_states[:6])}')
    return notes
