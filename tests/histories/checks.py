"""Check each promise from the records alone."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence

import msgspec

from sesameward.types import RunState

from . import records as rec

LEAVING_S = 3.0
IN_FORCE_S = 5.0


class Violation(msgspec.Struct, frozen=True):
    """Name a broken promise and whom it concerns."""

    check: str
    subject: str
    problem: str


History = Sequence[rec.Record]
Check = Callable[[History], Iterator[Violation]]


class Answer:
    """Gather the frames of one send."""

    def __init__(self, sent: rec.QuerySent):
        self.sent = sent
        self.open: rec.OpenReceived | None = None
        self.end: rec.EndReceived | None = None
        self.rows: list[rec.RowsReceived] = []

    @property
    def keys(self) -> list[str]:
        """Return the keys of all rows."""
        return [row.key for frame in self.rows for row in frame.rows]


def answers(history: History) -> dict[str, Answer]:
    """Return the answer of each query by its send."""
    found: dict[str, Answer] = {}
    for record in history:
        match record:
            case rec.QuerySent():
                found[record.send] = Answer(record)
            case rec.OpenReceived() if record.send in found:
                found[record.send].open = record
            case rec.RowsReceived() if record.send in found:
                found[record.send].rows.append(record)
            case rec.EndReceived() if record.send in found:
                found[record.send].end = record
    return found


def of(history: History, kind: type) -> list:
    """Return the records of one kind."""
    return [record for record in history if isinstance(record, kind)]


def one_snapshot(history: History) -> Iterator[Violation]:
    """Find answers whose rows come from several snapshots."""
    for send, answer in answers(history).items():
        if answer.open is None:
            continue
        pinned = answer.open.frame.snapshot
        for frame in answer.rows:
            for row in frame.rows:
                if row.snapshot != pinned:
                    yield Violation(
                        'one_snapshot',
                        send,
                        f'{row.key} of {frame.shard} is of snapshot '
                        f'{row.snapshot}, the answer of {pinned}',
                    )


def true_coverage(history: History) -> Iterator[Violation]:
    """Find answers which hold other records than their coverage says."""
    published = {
        (p.service, p.generation, p.snapshot): p
        for p in of(history, rec.Published)
    }
    for send, answer in answers(history).items():
        if answer.open is None or answer.end is None:
            continue
        opened = answer.open.frame
        version = (opened.service, opened.generation, opened.snapshot)
        if version not in published:
            yield Violation(
                'true_coverage', send, f'{version} was never published'
            )
            continue
        for problem in coverage_problems(answer, published[version]):
            yield Violation('true_coverage', send, problem)


def coverage_problems(answer: Answer, truth: rec.Published) -> Iterator[str]:
    """Compare one answer with what its snapshot held."""
    end = answer.end.frame
    asked = wanted(answer.sent, truth)
    missing = [m.shard for m in end.missing]
    if answer.open.frame.shards != end.asked:
        yield f'open says {answer.open.frame.shards} shards, end {end.asked}'
    if end.asked != len(asked):
        yield f'says {end.asked} shards asked instead of {len(asked)}'
    if len(set(missing)) != len(missing) or set(missing) - set(asked):
        yield 'names a missing shard twice or one not asked'
    if end.answered != end.asked - len(missing):
        yield 'answered and missing do not add up to asked'
    if end.complete != (not missing and not end.uncovered_records):
        yield f'says complete {end.complete} with {len(missing)} missing'
    got = collections.Counter(answer.keys)
    if got and max(got.values()) > 1:
        yield f'gives {got.most_common(1)[0][0]} more than once'
    by_shard = collections.defaultdict(set)
    for frame in answer.rows:
        by_shard[frame.shard] |= {row.key for row in frame.rows}
    for shard, keys in asked.items():
        if shard not in missing and by_shard[shard] != keys:
            yield (
                f'{shard} counts as answered, lacks '
                f'{sorted(keys - by_shard[shard])}, has too much '
                f'{sorted(by_shard[shard] - keys)}'
            )
    for shard in set(by_shard) - set(asked):
        yield f'gives rows of {shard}, which was not asked'


def wanted(sent: rec.QuerySent, truth: rec.Published) -> dict[str, set[str]]:
    """Return the keys which each asked shard has to give."""
    held = truth.shards
    if sent.keys is None:
        return {shard: set(keys) for shard, keys in held.items()}
    named = {shard: set(keys) & set(sent.keys) for shard, keys in held.items()}
    if not truth.starts:
        return {shard: keys for shard, keys in named.items() if keys}
    # A shard is asked for a key of its range also where it lacks the key.
    owners = {owner(truth.starts, key) for key in sent.keys}
    return {shard: named[shard] for shard in owners}


def owner(starts: dict[str, str], key: str) -> str:
    """Return the shard whose range holds the key."""
    return max(
        (shard for shard, start in starts.items() if start <= key),
        key=lambda shard: starts[shard],
    )


def no_cross_talk(history: History) -> Iterator[Violation]:
    """Find rows and frames which belong to another caller's request."""
    owners: dict[str, str] = {}
    for send, answer in answers(history).items():
        for frame in answer.rows:
            for row in frame.rows:
                if row.token != send:
                    yield Violation(
                        'no_cross_talk', send, f'has a row of {row.token}'
                    )
        if answer.open is None:
            continue
        request = answer.open.frame.request_id
        if owners.setdefault(request, send) != send:
            yield Violation(
                'no_cross_talk', send, f'shares its id with {owners[request]}'
            )
        if answer.end and answer.end.frame.request_id != request:
            yield Violation(
                'no_cross_talk', send, 'ends with the id of another answer'
            )


def not_run(history: History) -> Iterator[Violation]:
    """Find requests which were told not to have run, but ran."""
    ran = {r.token for r in of(history, rec.TargetRan)}
    sent = {b.send: b for b in of(history, rec.BookingSent)}
    booked = of(history, rec.TargetBooked)
    for told in of(history, rec.Told):
        if told.run is not RunState.NO:
            continue
        if told.send in ran:
            yield Violation('not_run', told.send, 'told no, but a target ran')
        mine = sent.get(told.send)
        for effect in booked if mine is not None else ():
            cause = sent.get(effect.token)
            if (effect.key, effect.digest) != (mine.key, mine.digest):
                continue
            if cause is not None and cause.attempt <= mine.attempt:
                yield Violation(
                    'not_run',
                    told.send,
                    f'told no, but send {effect.token} of the key ran',
                )


def booked_once(history: History) -> Iterator[Violation]:
    """Find bookings that took effect twice or were told wrongly."""
    sent = {b.send: b for b in of(history, rec.BookingSent)}
    effects = collections.defaultdict(list)
    for effect in of(history, rec.TargetBooked):
        effects[effect.key].append(effect)
    for key, booked in effects.items():
        for effect in booked:
            if effect.token not in sent:
                yield Violation(
                    'booked_once', key, f'ran for unknown {effect.token}'
                )
        if len(booked) > 1:
            yield Violation(
                'booked_once', key, f'took effect {len(booked)} times'
            )
    counts = collections.Counter(t.send for t in of(history, rec.Told))
    for send, count in counts.items():
        if count > 1:
            yield Violation('booked_once', send, f'was told {count} times')
    for told in of(history, rec.Told):
        if told.send not in sent or told.run is not RunState.YES:
            continue
        mine = sent[told.send]
        if not any(
            effect.digest == mine.digest and effect.at <= told.at
            for effect in effects[mine.key]
        ):
            yield Violation(
                'booked_once', told.send, 'told yes, but it had not run'
            )


def no_work_when_leaving(history: History) -> Iterator[Violation]:
    """Find work sent to a target long after it began to leave."""
    leaving: dict[str, float] = {}
    for record in history:
        match record:
            case rec.TargetLeaving(at, target):
                leaving.setdefault(target, at)
            case rec.TargetBack(_, target):
                leaving.pop(target, None)
            case rec.TargetGot(at, target, token) if target in leaving:
                since_s = at - leaving[target]
                if since_s > LEAVING_S:
                    yield Violation(
                        'no_work_when_leaving',
                        target,
                        f'got {token} {since_s:.1f} s after it began to leave',
                    )


def shutdown_cuts_nothing(history: History) -> Iterator[Violation]:
    """Find requests cut by an entry's graceful shutdown."""
    entries = {
        record.send: record.entry
        for record in history
        if isinstance(record, (rec.QuerySent, rec.BookingSent))
    }
    stopping: set[str] = set()
    for record in history:
        match record:
            case rec.EntryStopping(_, entry):
                stopping.add(entry)
            case rec.EntryKilled(_, entry) | rec.EntryStarted(_, entry):
                stopping.discard(entry)
            case rec.Cut(_, send) if entries.get(send) in stopping:
                yield Violation(
                    'shutdown_cuts_nothing',
                    send,
                    f'was cut by the shutdown of {entries[send]}',
                )


def revisions_rise(history: History) -> Iterator[Violation]:
    """Find configuration which went back, is unknown or came late."""
    written: dict[str, set[int]] = collections.defaultdict(set)
    accepted: dict[str, list[rec.Accepted]] = collections.defaultdict(list)
    seen: dict[tuple[str, int, str], int] = {}
    for record in history:
        match record:
            case rec.ObjectWritten(_, name, revision):
                if written[name] and revision <= max(written[name]):
                    yield _revision(name, f'{revision} was written late')
                written[name].add(revision)
            case rec.Accepted(_, name, revision):
                if revision not in written[name]:
                    yield _revision(name, f'{revision} was never written')
                accepted[name].append(record)
            case rec.InForce():
                yield from _check_in_force(record, written, accepted, seen)


def _check_in_force(
    record: rec.InForce,
    written: dict[str, set[int]],
    accepted: dict[str, list[rec.Accepted]],
    seen: dict[tuple[str, int, str], int],
) -> Iterator[Violation]:
    name, revision = record.name, record.revision
    place = (record.node, record.incarnation, name)
    who = f'{name} on {record.node}'
    if revision < seen.get(place, 0):
        yield _revision(who, f'went from {seen[place]} back to {revision}')
    seen[place] = max(seen.get(place, 0), revision)
    if revision not in written[name]:
        yield _revision(who, f'is at {revision}, which was never written')
    for change in accepted[name]:
        age_s = record.at - change.at
        if revision < change.revision and age_s > IN_FORCE_S:
            yield _revision(
                who, f'lacks {change.revision} after {age_s:.1f} s'
            )


def _revision(subject: str, problem: str) -> Violation:
    return Violation('revisions_rise', subject, problem)


CHECKS: tuple[Check, ...] = (
    one_snapshot,
    true_coverage,
    no_cross_talk,
    not_run,
    booked_once,
    no_work_when_leaving,
    shutdown_cuts_nothing,
    revisions_rise,
)


def check(history: History) -> list[Violation]:
    """Return what breaks any promise."""
    return [found for each in CHECKS for found in each(history)]
