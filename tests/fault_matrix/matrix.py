"""Run cells on one tier, heal between them and check each."""

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
from .faults import Fault
from .faults import Side

DEADLINE_MS = 1_500
LATE_MARGIN_S = 1.0
SHAPE = Shape(
    nodes=3,
    deadline_ms=DEADLINE_MS,
    max_deadline_ms=5_000,
    work_logs=True,
)
SETTLE_TIMEOUT_S = 25.0
# How long an entry keeps work from a target that said it leaves.
IN_BAND_LEAVING_S = 10.0
KEPT = (rec.Published, rec.ObjectWritten, rec.Accepted, rec.InForce)


class Plan(msgspec.Struct):
    """Name one cell; reason says why it is not run."""

    fault: Fault
    step: steps.Step
    reason: str = ''

    @property
    def name(self) -> str:
        """Return the cell's name."""
        return f'{self.fault.name} / {self.step.__name__}'


class Verdict(msgspec.Struct):
    """Hold what came of a cell."""

    name: str
    held: bool | None
    seed: int
    took_s: float = 0.0
    notes: list[str] = []
    shown: list[str] = []

    def line(self) -> str:
        """Return the cell's row of the table."""
        word = {True: 'held', False: 'NOT HELD', None: 'not run'}[self.held]
        notes = '; '.join(self.notes)
        return (
            f'{self.name:62} {word:8} {self.seed:4} {self.took_s:5.1f}'
            f'  {notes}'
        )


def plans() -> list[Plan]:
    """Return all cells, those of leaving targets last."""
    cells = [
        Plan(fault, step, senseless(fault, step))
        for step in steps.ALL
        for fault in faults.single()
    ]
    likely = (
        steps.query_after_dispatch,
        steps.query_mid_stream,
        steps.booking_claim_written,
        steps.booking_dispatched,
        steps.change_accepted,
        steps.drain_in_flight,
    )
    cells += [Plan(fault, step) for step in likely for fault in faults.pairs()]
    return cells


def senseless(fault: Fault, step: steps.Step) -> str:
    """Return why a cell makes no sense, or nothing."""
    works = fault.side is Side.TARGET
    if works and step in steps.CHANGE:
        return 'targets have no part in configuration'
    if works and step is steps.booking_outcome_due:
        return "the target's part of the booking is over"
    if works and step is steps.booking_resend:
        return 'a resend reads the stored outcome and asks no target'
    if fault.name == 'store reply lost' and step in steps.QUERY:
        return 'a query writes nothing to the store'
    if fault.name == 'store reply lost' and step in steps.DRAIN:
        return "a target's own drain writes nothing to the store"
    if fault.name == 'store reply lost' and step is steps.change_write_unsure:
        return 'is the step itself'
    if fault.name == 'target draining' and step in steps.DRAIN:
        return 'is the step itself'
    return ''


def elsewhere() -> list[Verdict]:
    """Name the faults which are crossed with steps by pure decisions."""
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
                'no relay on loopback; covered by the pure decisions of '
                'membership'
            ],
        ),
    ]


class Matrix:
    """Own the tier on which cells run."""

    def __init__(self, seed: int = 1):
        self._seed = seed
        self._stack = contextlib.ExitStack()
        self._known: set[checks.Violation] = set()
        self._drained_at: dict[int, float] = {}
        self._number = seed * 1_000

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
        """Run one cell and heal what it broke."""
        if plan.reason:
            return Verdict(plan.name, None, self._seed, notes=[plan.reason])
        self._number += 1
        place = self._place()
        began_at = time.monotonic()
        cell = steps.Cell(place, plan.fault)
        cell.revision = 0
        try:
            plan.step(cell)
        except (TimeoutError, OSError) as exc:
            cell.problems.append(f'{type(exc).__name__}: {exc}')
        finally:
            cell.close()
        self._heal(plan, cell)
        history = self._history(began_at)
        took_s = time.monotonic() - began_at
        return self._judge(plan, cell, history, took_s)

    def _place(self) -> faults.Place:
        number = self._number
        place = faults.Place(self.world, number % 4, number // 4 % 2, 0)
        place.poller = self.poller
        place.number = number
        self._wait_for_instance(place.instance)
        return place

    def _wait_for_instance(self, instance: int) -> None:
        # An entry would use one replica less than the cell means to test.
        for other in (instance, (instance + 2) % 4):
            back_at = self._drained_at.get(other, 0.0) + IN_BAND_LEAVING_S
            time.sleep(max(0.0, back_at - time.monotonic()))

    def _heal(self, plan: Plan, cell: steps.Cell) -> None:
        try:
            plan.fault.heal(cell.place)
            self.world.store()
            for target in self.tier.targets:
                self.world.faults(target)
            if plan.step in steps.DRAIN or 'draining' in plan.fault.name:
                now = time.monotonic()
                self._drained_at[cell.place.instance] = now
                self._drained_at[(cell.place.instance + 2) % 4] = now
            cell.wait_in_force(cell.revision)
            self.settle()
        except (TimeoutError, OSError) as exc:
            cell.problems.append(f'did not heal: {exc}')

    def settle(self) -> None:
        """Wait until all nodes know all nodes and targets as healthy."""
        for index, entry in enumerate(self.tier.entries):
            wait_until(
                lambda e=entry: self._knows_all(e),
                'addresses',
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

    def _knows_all(self, entry) -> bool:
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
            and _holds(s['report'], self.world.snapshots[-1])
            for s in statuses
        )

    def _history(self, began_at: float) -> list[rec.Record]:
        history = observe.gather(self.tier, self.observer)
        return [r for r in history if r.at >= began_at or isinstance(r, KEPT)]

    def _judge(
        self,
        plan: Plan,
        cell: steps.Cell,
        history: list[rec.Record],
        took_s: float,
    ) -> Verdict:
        found = [v for v in checks.check(history) if v not in self._known]
        self._known.update(found)
        notes = list(cell.problems)
        notes += [f'{v.check}: {v.subject}: {v.problem}' for v in found]
        if plan.fault.in_time:
            notes += [
                f'{r.send} took {r.took_s:.1f} s'
                for r in cell.replies
                if r.late or r.took_s > DEADLINE_MS / 1e3 + LATE_MARGIN_S
            ]
        held = not notes
        shown = [shrink.render(history, v, self._seed) for v in found[:2]]
        notes += _observations(cell)
        return Verdict(
            plan.name, held, self._seed, round(took_s, 1), notes, shown
        )


def _holds(report: dict, snapshot: int) -> bool:
    held = report['holds']
    return held is not None and all(snapshot in v for v in held.values())


def _observations(cell: steps.Cell) -> list[str]:
    """Return what a reader may want to know of a cell that held."""
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
    cut = sum(r.cut for r in cell.replies)
    if cut:
        notes.append(f'{cut} cut')
    told = [
        f'{r.run.value}{f" ({r.kind})" if r.kind else ""}'
        for r in cell.replies
        if r.run is not None
    ]
    if told:
        notes.append(f'told {", ".join(told[:6])}')
    return notes
