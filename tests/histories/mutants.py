"""Run an entry or an agent which breaks one promise on purpose."""

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
    """Name the promise to break and the check that has to see it."""

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
    """Start the mutant in place of each entry and agent."""

    def __init__(self, shape, mutant: Mutant):
        super().__init__(shape)
        self._mutant = mutant

    def run(self, name: str, *args: str) -> Process:
        """Start one process."""
        if args[0] not in PROGRAMS:
            return super().run(name, *args)
        return super().run(
            name, 'tests.histories.mutants', self._mutant.name, *args
        )


def mix_snapshots() -> None:
    """Take each reply for one of the pinned snapshot."""
    replied = fanout.Fanout.replied

    def take_all(self, attempt, reply, now):
        pinned = self._request.pin.snapshot
        shards = tuple(
            msgspec.structs.replace(s, snapshot=pinned) for s in reply.shards
        )
        reply = msgspec.structs.replace(reply, shards=shards)
        return replied(self, attempt, reply, now)

    fanout.Fanout.replied = take_all


def overstate_coverage() -> None:
    """Count shards given up as answered."""

    def give_up(self, shard, reason):
        self._wanted.pop(shard, None)
        self._answered += 1

    fanout.Fanout._give_up = give_up


def cross_replies() -> None:
    """Give each caller the rows which the last one asked for."""
    replied = fanout.Fanout.replied
    last = {}

    def swap(self, attempt, reply, now):
        shards = tuple(last.get(s.shard, s) for s in reply.shards)
        last.update({s.shard: s for s in reply.shards})
        reply = msgspec.structs.replace(reply, shards=shards)
        return replied(self, attempt, reply, now)

    fanout.Fanout.replied = swap


def refuse_after_run() -> None:
    """Take an answered booking for one that was refused."""
    translate = booking._event

    def deny(attempt, answer):
        if answer.reply is not None:
            return bookings.TargetRefusedUnrun(attempt, 0.0)
        return translate(attempt, answer)

    booking._event = deny


def retry_bookings() -> None:
    """Send each booking twice."""
    send = target_client.TargetClient.book

    def send_twice(self, target, message, deadline, finish):
        again = msgspec.structs.replace(
            message, attempt=AttemptId(message.attempt[::-1])
        )
        send(self, target, message, deadline, finish)
        send(self, target, again, deadline, lambda answer: None)

    target_client.TargetClient.book = send_twice


def use_leaving() -> None:
    """Send work to targets that leave."""

    def known(self, candidates, avoid, now):
        known = self._estimates
        return [known[c] for c in candidates if c in known and c not in avoid]

    routing.Routing.usable = lambda self, target: True
    replicas.ReplicaChooser._usable = known


def cut_at_shutdown() -> None:
    """Exit without waiting for what is in flight."""

    async def leave(self):
        os._exit(0)

    entry.Entry.leave = leave


def lower_revisions() -> None:
    """Go back to the first revision at each change."""
    apply = objects.ObjectBook.apply

    def fall_back(self, *args):
        changed = apply(self, *args)
        if changed and self.revision > 3:
            self.revision = 1
        return changed

    objects.ObjectBook.apply = fall_back


MUTATE = {
    Mutant.NONE: lambda: None,
    Mutant.MIXED_SNAPSHOT: mix_snapshots,
    Mutant.COVERAGE_OVERSTATED: overstate_coverage,
    Mutant.REPLY_CROSSED: cross_replies,
    Mutant.REFUSED_AFTER_RUN: refuse_after_run,
    Mutant.BOOKING_RETRIED: retry_bookings,
    Mutant.LEAVING_WORKED: use_leaving,
    Mutant.CUT_BY_SHUTDOWN: cut_at_shutdown,
    Mutant.REVISION_LOWERED: lower_revisions,
}


def main() -> None:
    """Break a promise, then start the program with its arguments."""
    name, program = sys.argv[1:3]
    MUTATE[Mutant[name]]()
    sys.argv[1:] = sys.argv[3:]
    PROGRAMS[program]()


if __name__ == '__main__':
    main()
