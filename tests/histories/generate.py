"""Generate synthetic histories, correct or with one broken promise."""

from __future__ import annotations

import enum
import random

from sesameward.messages import End
from sesameward.messages import Missing
from sesameward.messages import Open
from sesameward.types import BookingKey
from sesameward.types import Generation
from sesameward.types import MissingReason
from sesameward.types import NodeId
from sesameward.types import RequestId
from sesameward.types import Revision
from sesameward.types import RunState
from sesameward.types import ServiceName
from sesameward.types import ShardId
from sesameward.types import Snapshot
from sesameward.types import TargetId

from . import checks
from . import records as rec

SERVICE = ServiceName('trip-desk')
ENTRIES = tuple(NodeId(f'e{index}') for index in range(3))
SHARDS = tuple(ShardId(f's{index}') for index in range(4))
LENGTH_S = 60.0
OBJECT = 'service/trip-desk'


class Mutation(enum.Enum):
    """Name the ways in which a generated history can break a promise."""

    MIXED_SNAPSHOT = enum.auto()
    COVERAGE_OVERSTATED = enum.auto()
    ROW_LOST = enum.auto()
    ROW_TWICE = enum.auto()
    SHARD_FORGOTTEN = enum.auto()
    REPLY_CROSSED = enum.auto()
    ID_SHARED = enum.auto()
    REFUSED_AFTER_RUN = enum.auto()
    FALSE_NO = enum.auto()
    BOOKING_RETRIED = enum.auto()
    FALSE_YES = enum.auto()
    LEAVING_WORKED = enum.auto()
    CUT_BY_SHUTDOWN = enum.auto()
    REVISION_LOWERED = enum.auto()
    REVISION_LATE = enum.auto()
    REVISION_UNKNOWN = enum.auto()


# The check that must find each mutation.
CAUGHT_BY = {
    Mutation.MIXED_SNAPSHOT: 'one_snapshot',
    Mutation.COVERAGE_OVERSTATED: 'true_coverage',
    Mutation.ROW_LOST: 'true_coverage',
    Mutation.ROW_TWICE: 'true_coverage',
    Mutation.SHARD_FORGOTTEN: 'true_coverage',
    Mutation.REPLY_CROSSED: 'no_cross_talk',
    Mutation.ID_SHARED: 'no_cross_talk',
    Mutation.REFUSED_AFTER_RUN: 'not_run',
    Mutation.FALSE_NO: 'not_run',
    Mutation.BOOKING_RETRIED: 'booked_once',
    Mutation.FALSE_YES: 'booked_once',
    Mutation.LEAVING_WORKED: 'no_work_when_leaving',
    Mutation.CUT_BY_SHUTDOWN: 'shutdown_cuts_nothing',
    Mutation.REVISION_LOWERED: 'revisions_rise',
    Mutation.REVISION_LATE: 'revisions_rise',
    Mutation.REVISION_UNKNOWN: 'revisions_rise',
}


class Generator:
    """Generate one history; apply the mutation once, at a random place."""

    def __init__(self, seed: int, mutation: Mutation | None = None):
        self._rng = random.Random(seed)
        self._mutation = mutation
        self._is_mutated = False
        self._history: list[rec.Record] = []
        self._published: dict[int, dict[ShardId, tuple[str, ...]]] = {}
        self._last_number = 0

    def run(self) -> list[rec.Record]:
        """Return the generated records, sorted by time."""
        self._add_snapshots()
        self._add_config_changes()
        self._add_leaving_target()
        for _ in range(20):
            self._add_query(self._rng.uniform(1.0, LENGTH_S - 5.0))
        for _ in range(10):
            self._add_booking(self._rng.uniform(1.0, LENGTH_S - 5.0))
        self._add_entry_shutdown()
        return sorted(self._history, key=lambda record: record.at)

    def _mutates_here(self, mutation: Mutation) -> bool:
        """Decide at random whether to apply the history's mutation here."""
        if mutation is not self._mutation or self._is_mutated:
            return False
        self._is_mutated = self._rng.random() < 0.3
        return self._is_mutated

    def _add(self, record: rec.Record) -> None:
        self._history.append(record)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    # Queries.

    def _add_snapshots(self) -> None:
        for snapshot in range(1, 4):
            shards = {
                shard: tuple(f'{shard}-{n}' for n in range(snapshot + 1))
                for shard in SHARDS
            }
            self._published[snapshot] = shards
            self._add(
                rec.Published(
                    0.0, SERVICE, Generation(1), Snapshot(snapshot), shards
                )
            )

    def _add_query(self, at: float) -> None:
        send = f'q{self._next_number()}'
        entry = self._rng.choice(ENTRIES)
        self._add(rec.QuerySent(at, send, entry, SERVICE))
        if self._rng.random() < 0.15:
            return self._add_refusal(send, at + 0.01)
        if self._rng.random() < 0.1:
            self._add(rec.EntryKilled(at + 0.005, entry))
            self._add(rec.Cut(at + 0.01, send))
            self._add(rec.EntryStarted(at + 0.02, entry))
            return
        self._add_answer(send, at)

    def _add_refusal(self, send: str, at: float) -> None:
        refusal = rec.Told(at, send, RunState.NO, refused=True)
        if self._mutates_here(Mutation.REFUSED_AFTER_RUN):
            self._add(rec.TargetRan(at + 1.0, TargetId('t0'), send))
        self._add(refusal)

    def _add_answer(self, send: str, at: float) -> None:
        snapshot = Snapshot(self._rng.randrange(1, 4))
        request_id = RequestId(f'r-{send}')
        if self._mutates_here(Mutation.ID_SHARED):
            for earlier in checks.records_of_type(
                self._history, rec.OpenReceived
            ):
                request_id = earlier.frame.request_id
        opened = Open(
            request_id, SERVICE, Generation(1), snapshot, len(SHARDS)
        )
        self._add(rec.OpenReceived(at + 0.01, send, opened))
        missing = []
        for shard in SHARDS:
            late = self._rng.random() < 0.1
            if late and not self._mutates_here(Mutation.COVERAGE_OVERSTATED):
                missing.append(Missing(shard, MissingReason.DEADLINE))
            elif not late:
                self._add_shard_rows(send, shard, snapshot, at + 0.02)
        self._add_end(send, request_id, missing, at + 0.05)

    def _add_shard_rows(
        self, send: str, shard: ShardId, snapshot: Snapshot, at: float
    ) -> None:
        target = TargetId(f't{self._rng.randrange(2)}-{shard}')
        self._add(rec.TargetGot(at, target, send))
        self._add(rec.TargetRan(at, target, send))
        row_snapshot = snapshot
        if self._mutates_here(Mutation.MIXED_SNAPSHOT):
            row_snapshot = Snapshot(snapshot % 3 + 1)
        keys = list(self._published[snapshot][shard])
        if self._mutates_here(Mutation.ROW_LOST):
            keys.pop()
        if self._mutates_here(Mutation.ROW_TWICE):
            keys.append(keys[0])
        token = 'other' if self._mutates_here(Mutation.REPLY_CROSSED) else send
        rows = tuple(rec.Row(key, row_snapshot, token) for key in keys)
        self._add(rec.RowsReceived(at + 0.01, send, shard, rows))

    def _add_end(
        self, send: str, request_id: RequestId, missing: list, at: float
    ) -> None:
        asked = len(SHARDS)
        if missing and self._mutates_here(Mutation.SHARD_FORGOTTEN):
            missing, asked = missing[1:], asked - 1
        frame = End(
            request_id,
            not missing,
            asked,
            asked - len(missing),
            tuple(missing),
        )
        self._add(rec.EndReceived(at, send, frame))

    # Bookings.

    def _add_booking(self, at: float) -> None:
        key = BookingKey(f'k{self._next_number()}')
        has_run = False
        for attempt in range(1, self._rng.randrange(2, 4)):
            at += self._rng.uniform(0.5, 1.0)
            has_run = self._add_booking_attempt(key, attempt, has_run, at)

    def _add_booking_attempt(
        self, key: BookingKey, attempt: int, has_run: bool, at: float
    ) -> bool:
        send = f'b{self._next_number()}'
        entry = self._rng.choice(ENTRIES)
        self._add(rec.BookingSent(at, send, entry, key, 'd', attempt))
        may_run = self._rng.random() < 0.7
        runs_now = may_run and not has_run
        if has_run and self._mutates_here(Mutation.BOOKING_RETRIED):
            runs_now = True
        if runs_now:
            target = TargetId('t0-s0')
            self._add(rec.TargetGot(at + 0.01, target, send))
            self._add(rec.TargetBooked(at + 0.01, target, send, key, 'd'))
        has_run = has_run or runs_now
        run = RunState.YES if has_run else RunState.NO
        if has_run and self._mutates_here(Mutation.FALSE_NO):
            run = RunState.NO
        elif not has_run and self._mutates_here(Mutation.FALSE_YES):
            run = RunState.YES
        elif self._rng.random() < 0.2:
            run = RunState.UNKNOWN
        self._add(rec.Told(at + 0.05, send, run))
        return has_run

    # Leaving targets, entry shutdowns and configuration changes.

    def _add_leaving_target(self) -> None:
        target = TargetId('leaving')
        self._add(rec.TargetLeaving(10.0, target))
        late = self._mutates_here(Mutation.LEAVING_WORKED)
        for at in (9.0, 12.0, 15.0 if late else 12.9):
            self._add(rec.TargetGot(at, target, f'w{at}'))
        self._add(rec.TargetBack(20.0, target))
        self._add(rec.TargetGot(30.0, target, 'back'))

    def _add_entry_shutdown(self) -> None:
        entry = self._rng.choice(ENTRIES)
        for index in range(4):
            at = LENGTH_S - 1.0 - index * 0.1
            send = f'q{self._next_number()}'
            self._add(rec.QuerySent(at, send, entry, SERVICE))
            if self._mutates_here(Mutation.CUT_BY_SHUTDOWN):
                self._add(rec.Cut(LENGTH_S + 0.1, send))
            else:
                self._add_answer(send, at + 1.1)
        self._add(rec.EntryStopping(LENGTH_S, entry))

    def _add_config_changes(self) -> None:
        for index in range(1, 5):
            at, revision = index * 10.0, Revision(index * 7)
            self._add(rec.ObjectWritten(at, OBJECT, revision))
            self._add(rec.Accepted(at + 0.01, OBJECT, revision))
            for entry in ENTRIES:
                self._add_in_force(entry, at, revision)

    def _add_in_force(
        self, entry: NodeId, at: float, revision: Revision
    ) -> None:
        takes_s = self._rng.uniform(0.1, 2.0)
        if self._mutates_here(Mutation.REVISION_LATE):
            takes_s = checks.IN_FORCE_BOUND_S + 2.0
        for after_s in range(1, 10):
            shown_revision = (
                revision if after_s >= takes_s else Revision(revision - 7)
            )
            if shown_revision and self._mutates_here(
                Mutation.REVISION_UNKNOWN
            ):
                shown_revision = Revision(revision - 1)
            if after_s == 9 and self._mutates_here(Mutation.REVISION_LOWERED):
                shown_revision = Revision(revision - 7)
            if shown_revision:
                self._add(
                    rec.InForce(at + after_s, entry, 1, OBJECT, shown_revision)
                )


def generate(seed: int, mutation: Mutation | None = None) -> list[rec.Record]:
    """Return the history of one seed, with the mutation if one is given."""
    return Generator(seed, mutation).run()
