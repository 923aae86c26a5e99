"""Check each promise on a history, which is a list of records."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence

import msgspec

from sesameward.types import RunState

from . import records as rec

# Time after a target begins to leave within which it may still get work.
LEAVING_BOUND_S = 3.0
# Time after its acceptance within which a change must be in force everywhere.
IN_FORCE_BOUND_S = 5.0


class Violation(msgspec.Struct, frozen=True):
    """Describe how a promise was broken.

    check is the name of the check that found it, subject the id of the send,
    booking, target or object concerned.
    """

    check: str
    subject: str
    problem: str


History = Sequence[rec.Record]
Check = Callable[[History], Iterator[Violation]]


class Answer:
    """Collect the frames of the answer to one query."""

    def __init__(self, sent: rec.QuerySent):
        self.sent = sent
        self.open: rec.OpenReceived | None = None
        self.end: rec.EndReceived | None = None
        self.rows: list[rec.RowsReceived] = []

    @property
    def keys(self) -> list[str]:
        """Return the keys of all rows, repeated ones included."""
        return [row.key for frame in self.rows for row in frame.rows]


def answers_by_send(history: History) -> dict[str, Answer]:
    """Return the answers to all queries by their send ids."""
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


def records_of_type(history: History, kind: type) -> list:
    """Return the records that are instances of one class."""
    return [record for record in history if isinstance(record, kind)]


def one_snapshot(history: History) -> Iterator[Violation]:
    """Find answers with rows of a snapshot other than the announced one."""
    for send, answer in answers_by_send(history).items():
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
                        f'{row.snapshot}, the answer announces {pinned}',
                    )


def true_coverage(history: History) -> Iterator[Violation]:
    """Find answers whose rows do not match the coverage they state."""
    published = {
        (record.service, record.generation, record.snapshot): record
        for record in records_of_type(history, rec.Published)
    }
    for send, answer in answers_by_send(history).items():
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


def coverage_problems(
    answer: Answer, snapshot: rec.Published
) -> Iterator[str]:
    """Yield the differences between an answer and its snapshot."""
    end = answer.end.frame
    asked = expected_keys(answer.sent, snapshot)
    missing = [m.shard for m in end.missing]
    if answer.open.frame.shards != end.asked:
        yield (
            f'open frame says {answer.open.frame.shards} shards, '
            f'end frame {end.asked}'
        )
    if end.asked != len(asked):
        yield f'end frame says {end.asked} shards asked, not {len(asked)}'
    if len(set(missing)) != len(missing) or set(missing) - set(asked):
        yield 'names a missing shard twice, or one that was not asked'
    if end.answered != end.asked - len(missing):
        yield 'answered and missing do not add up to asked'
    if end.complete != (not missing and not end.uncovered_records):
        yield f'says complete={end.complete}, {len(missing)} shards missing'
    key_counts = collections.Counter(answer.keys)
    if key_counts and max(key_counts.values()) > 1:
        yield f'has key {key_counts.most_common(1)[0][0]} more than once'
    received_keys = collections.defaultdict(set)
    for frame in answer.rows:
        received_keys[frame.shard] |= {row.key for row in frame.rows}
    for shard, keys in asked.items():
        if shard not in missing and received_keys[shard] != keys:
            yield (
                f'{shard} counts as answered, but lacks keys '
                f'{sorted(keys - received_keys[shard])} and has unexpected '
                f'keys {sorted(received_keys[shard] - keys)}'
            )
    for shard in set(received_keys) - set(asked):
        yield f'has rows of {shard}, which was not asked'


def expected_keys(
    sent: rec.QuerySent, snapshot: rec.Published
) -> dict[str, set[str]]:
    """Return the keys that each shard asked by a query must return."""
    keys_by_shard = snapshot.shards
    if sent.keys is None:
        return {shard: set(keys) for shard, keys in keys_by_shard.items()}
    asked_keys = {
        shard: set(keys) & set(sent.keys)
        for shard, keys in keys_by_shard.items()
    }
    if not snapshot.starts:
        return {shard: keys for shard, keys in asked_keys.items() if keys}
    # A shard is asked for each key in its range, even if it lacks the key.
    owners = {owning_shard(snapshot.starts, key) for key in sent.keys}
    return {shard: asked_keys[shard] for shard in owners}


def owning_shard(starts: dict[str, str], key: str) -> str:
    """Return the shard whose range holds the key."""
    return max(
        (shard for shard, start in starts.items() if start <= key),
        key=lambda shard: starts[shard],
    )


def no_cross_talk(history: History) -> Iterator[Violation]:
    """Find rows and frames that belong to another caller's request."""
    owners: dict[str, str] = {}
    for send, answer in answers_by_send(history).items():
        for frame in answer.rows:
            for row in frame.rows:
                if row.token != send:
                    yield Violation(
                        'no_cross_talk', send, f'has a row for {row.token}'
                    )
        if answer.open is None:
            continue
        request = answer.open.frame.request_id
        if owners.setdefault(request, send) != send:
            yield Violation(
                'no_cross_talk',
                send,
                f'shares its request id with {owners[request]}',
            )
        if answer.end and answer.end.frame.request_id != request:
            yield Violation(
                'no_cross_talk',
                send,
                'ends with the request id of another answer',
            )


def not_run(history: History) -> Iterator[Violation]:
    """Find requests that ran although the caller was told that they didn't.

    For a booking, earlier attempts of the same key must not run either.
    """
    ran = {r.token for r in records_of_type(history, rec.TargetRan)}
    sent = {b.send: b for b in records_of_type(history, rec.BookingSent)}
    booked = records_of_type(history, rec.TargetBooked)
    for told in records_of_type(history, rec.Told):
        if told.run is not RunState.NO:
            continue
        if told.send in ran:
            yield Violation(
                'not_run',
                told.send,
                'caller was told that it did not run, but a target ran it',
            )
        own_booking = sent.get(told.send)
        for effect in booked if own_booking is not None else ():
            cause = sent.get(effect.token)
            if (effect.key, effect.digest) != (
                own_booking.key,
                own_booking.digest,
            ):
                continue
            if cause is not None and cause.attempt <= own_booking.attempt:
                yield Violation(
                    'not_run',
                    told.send,
                    f'caller was told that it did not run, but send '
                    f'{effect.token} of the same key ran',
                )


def booked_once(history: History) -> Iterator[Violation]:
    """Find bookings that took effect twice or got a wrong result."""
    sent = {b.send: b for b in records_of_type(history, rec.BookingSent)}
    effects = collections.defaultdict(list)
    for effect in records_of_type(history, rec.TargetBooked):
        effects[effect.key].append(effect)
    for key, booked in effects.items():
        for effect in booked:
            if effect.token not in sent:
                yield Violation(
                    'booked_once',
                    key,
                    f'took effect for unknown send {effect.token}',
                )
        if len(booked) > 1:
            yield Violation(
                'booked_once', key, f'took effect {len(booked)} times'
            )
    counts = collections.Counter(
        t.send for t in records_of_type(history, rec.Told)
    )
    for send, count in counts.items():
        if count > 1:
            yield Violation('booked_once', send, f'got {count} results')
    for told in records_of_type(history, rec.Told):
        if told.send not in sent or told.run is not RunState.YES:
            continue
        own_booking = sent[told.send]
        if not any(
            effect.digest == own_booking.digest and effect.at <= told.at
            for effect in effects[own_booking.key]
        ):
            yield Violation(
                'booked_once',
                told.send,
                'caller was told that it ran, but it had not',
            )


def no_work_when_leaving(history: History) -> Iterator[Violation]:
    """Find work sent to a target too long after it began to leave."""
    leaving: dict[str, float] = {}
    for record in history:
        match record:
            case rec.TargetLeaving(at, target):
                leaving.setdefault(target, at)
            case rec.TargetBack(_, target):
                leaving.pop(target, None)
            case rec.TargetGot(at, target, token) if target in leaving:
                since_s = at - leaving[target]
                if since_s > LEAVING_BOUND_S:
                    yield Violation(
                        'no_work_when_leaving',
                        target,
                        f'got {token} {since_s:.1f} s after it began to leave',
                    )


def shutdown_cuts_nothing(history: History) -> Iterator[Violation]:
    """Find requests that an entry's graceful shutdown cut off."""
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
                    f'was cut off by the shutdown of {entries[send]}',
                )


def revisions_rise(history: History) -> Iterator[Violation]:
    """Find wrong revisions in force.

    A node must not return to an earlier revision, show one that was never
    written, or have an accepted change in force too late.
    """
    written: dict[str, set[int]] = collections.defaultdict(set)
    accepted: dict[str, list[rec.Accepted]] = collections.defaultdict(list)
    highest_seen: dict[tuple[str, int, str], int] = {}
    for record in history:
        match record:
            case rec.ObjectWritten(_, name, revision):
                if written[name] and revision <= max(written[name]):
                    yield _revision_violation(
                        name,
                        f'{revision} was not written in ascending order',
                    )
                written[name].add(revision)
            case rec.Accepted(_, name, revision):
                if revision not in written[name]:
                    yield _revision_violation(
                        name, f'{revision} was accepted, but never written'
                    )
                accepted[name].append(record)
            case rec.InForce():
                yield from _check_in_force(
                    record, written, accepted, highest_seen
                )


def _check_in_force(
    record: rec.InForce,
    written: dict[str, set[int]],
    accepted: dict[str, list[rec.Accepted]],
    highest_seen: dict[tuple[str, int, str], int],
) -> Iterator[Violation]:
    name, revision = record.name, record.revision
    position = (record.node, record.incarnation, name)
    subject = f'{name} on {record.node}'
    if revision < highest_seen.get(position, 0):
        yield _revision_violation(
            subject, f'went back from {highest_seen[position]} to {revision}'
        )
    highest_seen[position] = max(highest_seen.get(position, 0), revision)
    if revision not in written[name]:
        yield _revision_violation(
            subject, f'has {revision} in force, which was never written'
        )
    for change in accepted[name]:
        age_s = record.at - change.at
        if revision < change.revision and age_s > IN_FORCE_BOUND_S:
            yield _revision_violation(
                subject,
                f'lacks {change.revision} {age_s:.1f} s after its acceptance',
            )


def _revision_violation(subject: str, problem: str) -> Violation:
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
    """Return the violations that all checks find."""
    return [found for each in CHECKS for found in each(history)]
