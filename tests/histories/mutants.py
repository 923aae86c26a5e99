"""Run an entry or an agent that is patched to break one promise."""

from __future__ import annotations

import enum
import os
import sys

import msgspec

from sesameward import agent
from sesameward.bookings import bookings
from sesameward.clients import target_client
from sesameward.configuration import objects
from sesameward.controllers import routing
from sesameward import entry
from sesameward.filters import booking
from sesameward.routing import fanout
from sesameward.routing import replicas
from sesameward.standin.processes import Process
from sesameward.standin.processes import Tier
from sesameward.types import AttemptId

PROGRAMS = {'sesameward.entry': entry.main, 'sesameward.agent': agent.main}


class Mutant(enum.Enum):
    """Name the patches of entries and agents; each breaks one promise.

    A patch's value is the name of the check that must find violations.
    """

    NONE = ''
    MIXED_SNAPSHOT = 'one_snapshot'
    COVERAGE_OVERSTATED = 'true_coverage'
    REPLY_CROSSED = 'no_cross_talk'
    REFUSED_AFTER_RUN = 'not_run'
    BOOKING_RETRIED = 'booked_once'
    LEAVING_WORKED = 'no_work_when_leaving'
    CUT_BY_SHUTDOWN = 'shutdown_cuts_nothing'
    REVISION_LOWERED = 'revisions_rise'


class MutantTier(Tier):
    """Run a tier whose entries and agents have one mutant's patch."""

    def __init__(self, shape, mutant: Mutant):
        super().__init__(shape)
        self._mutant = mutant

    def run(self, name: str, *args: str) -> Process:
        """Start one process, patched if it is an entry or an agent."""
        if args[0] not in PROGRAMS:
            return super().run(name, *args)
        return super().run(
            name, 'tests.histories.mutants', self._mutant.name, *args
        )


def mix_snapshots() -> None:
    """Accept rows of any snapshot as rows of the query's pinned snapshot.

    An unpatched entry retries shards whose rows are of another snapshot.
    """
    replied = fanout.Fanout.replied

    def accept_all_snapshots(self, attempt, reply, now):
        pinned = self._request.pin.snapshot
        shards = tuple(
            msgspec.structs.replace(s, snapshot=pinned) for s in reply.shards
        )
        reply = msgspec.structs.replace(reply, shards=shards)
        return replied(self, attempt, reply, now)

    fanout.Fanout.replied = accept_all_snapshots


def overstate_coverage() -> None:
    """Count shards that were given up as answered."""

    def give_up(self, shard, reason):
        self._wanted.pop(shard, None)
        self._answered += 1

    fanout.Fanout._give_up = give_up


def cross_replies() -> None:
    """Return to each query the rows of the previous query."""
    replied = fanout.Fanout.replied
    last_rows = {}

    def return_last_rows(self, attempt, reply, now):
        shards = tuple(last_rows.get(s.shard, s) for s in reply.shards)
        last_rows.update({s.shard: s for s in reply.shards})
        reply = msgspec.structs.replace(reply, shards=shards)
        return replied(self, attempt, reply, now)

    fanout.Fanout.replied = return_last_rows


def refuse_after_run() -> None:
    """Treat an answered booking as one that the target refused unrun."""
    translate = booking._to_event

    def treat_as_refused(attempt, answer):
        if answer.reply is not None:
            return bookings.TargetRefused(attempt, 0.0)
        return translate(attempt, answer)

    booking._to_event = treat_as_refused


def retry_bookings() -> None:
    """Send each booking to the target twice, as separate attempts."""
    send = target_client.TargetClient.book

    def send_twice(self, target, message, deadline, finish):
        again = msgspec.structs.replace(
            message, attempt=AttemptId(message.attempt[::-1])
        )
        send(self, target, message, deadline, finish)
        send(self, target, again, deadline, lambda answer: None)

    target_client.TargetClient.book = send_twice


def use_leaving_targets() -> None:
    """Send work also to targets that are leaving."""

    def usable(self, candidates, avoid, now):
        estimates = self._estimates
        return [
            estimates[c]
            for c in candidates
            if c in estimates and c not in avoid
        ]

    routing.Routing.usable = lambda self, target: True
    replicas.ReplicaChooser._usable = usable


def cut_at_shutdown() -> None:
    """Exit at shutdown without waiting for requests in flight."""

    async def exit_now(self):
        os._exit(0)

    entry.Entry.leave = exit_now


def lower_revisions() -> None:
    """Reset the revision to 1 at each change to a revision above 3."""
    apply = objects.ObjectReplica.apply

    def reset_revision(self, *args):
        changed = apply(self, *args)
        if changed and self.revision > 3:
            self.revision = 1
        return changed

    objects.ObjectReplica.apply = reset_revision


PATCHES = {
    Mutant.NONE: lambda: None,
    Mutant.MIXED_SNAPSHOT: mix_snapshots,
    Mutant.COVERAGE_OVERSTATED: overstate_coverage,
    Mutant.REPLY_CROSSED: cross_replies,
    Mutant.REFUSED_AFTER_RUN: refuse_after_run,
    Mutant.BOOKING_RETRIED: retry_bookings,
    Mutant.LEAVING_WORKED: use_leaving_targets,
    Mutant.CUT_BY_SHUTDOWN: cut_at_shutdown,
    Mutant.REVISION_LOWERED: lower_revisions,
}


def main() -> None:
    """Apply the named mutant's patch, then start the named program."""
    name, program = sys.argv[1:3]
    PATCHES[Mutant[name]]()
    sys.argv[1:] = sys.argv[3:]
    PROGRAMS[program]()


if __name__ == '__main__':
    main()
