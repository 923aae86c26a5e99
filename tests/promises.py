"""Check the replies of nodes against the guarantees given to users.

The checks compare replies with the records that simulated targets serve, and
with the requests that reached the targets.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from sesameward.serving.target_connection import Reply
from sesameward.standin.shard_target import RECORD_BYTES
from sesameward.standin.shard_target import records

TOP_K = 10
# A reply with one of these statuses says that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# From this time after its third run on, at most MAX_LATE_ATTEMPTS attempts of
# a request that crashes targets may reach targets.
QUARANTINE_DELAY_S = 4.0
MAX_LATE_ATTEMPTS = 3
# Time within which all nodes must learn that a target is leaving. It starts
# when a caller gets the first answer with the target's leave notice. The
# target must not get requests that callers send later.
LEAVING_DELAY_S = 3.0
# If a target answers 503 with Retry-After, a node may send it at most
# MAX_REQUESTS_IN_REST requests between this time after the answer and the end
# of the wait.
REST_DELAY_S = 0.5
MAX_REQUESTS_IN_REST = 2

# From this time after a target first names a limit on, it gets in any
# LIMIT_WINDOW_S at most LIMIT_FACTOR times what the limit allows, and
# LIMIT_SLACK requests more, from all nodes together.
LIMIT_KNOWN_AFTER_S = 4.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5

# From this time after a node was cut off from all targets on, first tries
# there must be served at least SERVED_RATIO times as often as at the other
# nodes, unless no more than FAILED_SLACK and FAILED_RATIO of all fail there.
SETTLED_S = 4.0
SERVED_RATIO = 2 / 3
FAILED_SLACK = 10
FAILED_RATIO = 1 / 50

# Nodes must handle requests that are sent this long after a configuration was
# written by it or a later one. A node that has once gone by a configuration
# must do so for all requests that are sent this long after.
IN_FORCE_S = 3.0
ROLLBACK_SLACK_S = 0.25


@dataclasses.dataclass(frozen=True)
class Probe:
    """Request that shows which configuration a node goes by.

    Each configuration has one route that no other one has; route is the number
    of the one that the request is for. process is the node's process id.
    lacked_route is True if the node refused it because it knew no such route.
    """

    node: str
    process: int
    route: int
    sent_at: float
    ended_at: float
    is_served: bool
    lacked_route: bool


def header(reply: Reply, name: str) -> str:
    """Return a header's value, or an empty string if it is missing."""
    for header_name, value in reply.headers:
        if header_name.lower() == name.lower().encode():
            return value.decode()
    return ''


def named_targets(reply: Reply, request_id: str) -> list[str]:
    """Return the ids of the targets whose parts a reply merges.

    Check that each part was made for this request.
    """
    stamps = header(reply, 'Sesameward-Part-Stamps')
    targets = []
    for stamp in stamps.split(','):
        target_id, _, stamped_id = stamp.strip().split('.')
        assert stamped_id == request_id, 'a part belongs to another request'
        targets.append(target_id)
    return targets


def check_query(
    fleet, reply: Reply, path: str, request_id: str, shards: int
) -> int:
    """Check a reply that merges shards; return how many shards it covers.

    It must cover each shard at most once, report the missing ones, cover at
    least half, and have the greatest records of the covered shards.
    """
    targets = named_targets(reply, request_id)
    services = [fleet.targets[target_id].service for target_id in targets]
    assert len(set(services)) == len(services), (
        'two parts are from the same shard'
    )
    missing = int(header(reply, 'Sesameward-Missing-Parts') or '0')
    assert len(services) + missing == shards, (
        'parts and missing parts do not add up to all shards'
    )
    assert len(services) >= shards / 2, (
        'fewer than half of the shards are covered'
    )
    ranked = sorted(
        (
            data[offset : offset + RECORD_BYTES]
            for data in (records(service, path) for service in services)
            for offset in range(0, len(data), RECORD_BYTES)
        ),
        reverse=True,
    )
    assert reply.body == b''.join(ranked[:TOP_K]), (
        'the body is not the greatest records'
    )
    return len(services)


def check_single(fleet, reply: Reply, path: str, request_id: str) -> str:
    """Check a reply with status 200 from one target; return its id."""
    target_id, _, stamped_id = header(reply, 'Sesameward-Server-Stamp').split(
        '.'
    )
    assert stamped_id == request_id, 'the answer belongs to another request'
    service = fleet.targets[target_id].service
    assert reply.body == records(service, path), (
        'the body is not that of the service'
    )
    return target_id


def runs_of(fleet, request_id: str) -> list:
    """Return the runs of a request at all targets."""
    return [
        run
        for target in fleet.targets.values()
        for run in target.runs
        if run.request_id == request_id
    ]


def check_once(fleet, reply: Reply | None, request_id: str) -> None:
    """Check that a request ran at most once, or not if refused as not run."""
    runs = runs_of(fleet, request_id)
    assert len(runs) <= 1, 'the request ran more than once'
    if reply is not None and reply.status in NOT_RUN_STATUSES:
        assert not runs, 'the status says not run, but the request ran'


def check_crashing(runs, disturbed: Collection[str] = ()) -> int:
    """Check that a crashing request is kept from targets after three runs.

    Expects the runs of all its attempts, and returns their number. Attempts
    in disturbed, which a disturbed node sent, are not counted, nor are those
    within QUARANTINE_DELAY_S of the third run.
    """
    runs = sorted(runs, key=lambda run: run.at)
    if len(runs) >= 3:
        free_until = runs[2].at + QUARANTINE_DELAY_S
        late = {run.request_id for run in runs if run.at > free_until}
        late -= set(disturbed)
        assert len(late) <= MAX_LATE_ATTEMPTS, (
            f'{len(late)} attempts ran that should be quarantined'
        )
    return len(runs)


def check_left(arrivals, sent_at, told_at, disturbed=()) -> None:
    """Check that a target that says it leaves gets no later requests.

    sent_at maps ids of requests to the times at which callers sent them.
    told_at is when a caller got the first answer in which the target says so.
    Requests in disturbed are not counted.
    """
    late = [
        arrival.request_id
        for arrival in arrivals
        if arrival.request_id in sent_at
        and sent_at[arrival.request_id] > told_at + LEAVING_DELAY_S
        and arrival.request_id not in disturbed
    ]
    assert not late, f'{late[:3]} reached a target that had said it leaves'


def check_limit(times, limit: float, named_at: float) -> int:
    """Check that a target gets no more than the limit that it names allows.

    times holds the arrivals of all its requests. Return the largest number of
    requests within LIMIT_WINDOW_S.
    """
    times = sorted(at for at in times if at >= named_at + LIMIT_KNOWN_AFTER_S)
    most = 0
    first = 0
    for index, at in enumerate(times):
        while at - times[first] >= LIMIT_WINDOW_S:
            first += 1
        most = max(most, index - first + 1)
    allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit + LIMIT_SLACK
    assert most <= allowed, (
        f'{most} requests within {LIMIT_WINDOW_S} s, {allowed} allowed'
    )
    return most


def check_stranded(
    stranded: Collection[bool], others: Collection[bool]
) -> None:
    """Check that callers of nodes without targets are served like others.

    Both collections tell of each first try, at stranded and at other nodes,
    whether it was served.
    """
    if not stranded or not others:
        return
    failed = len(stranded) - sum(stranded)
    allowed = FAILED_SLACK + FAILED_RATIO * (len(stranded) + len(others))
    share = sum(stranded) / len(stranded)
    other_share = sum(others) / len(others)
    assert failed <= allowed or share >= SERVED_RATIO * other_share, (
        f'{sum(stranded)} of {len(stranded)} requests served at stranded '
        f'nodes, {sum(others)} of {len(others)} at the others'
    )


def check_rests(arrivals, rest_s: float, is_excused=None) -> None:
    """Check that one node honours a target's 503 answers with Retry-After.

    rest_s is the value of Retry-After. is_excused tells whether the node was
    disturbed between two times; such answers are not checked.
    """
    for refused in arrivals:
        if not refused.told_rest:
            continue
        until = refused.at + rest_s
        if is_excused is not None and is_excused(refused.at, until):
            continue
        in_rest = [
            arrival
            for arrival in arrivals
            if refused.at + REST_DELAY_S < arrival.at <= until
        ]
        assert len(in_rest) <= MAX_REQUESTS_IN_REST, (
            f'{len(in_rest)} requests during its rest after Retry-After'
        )


def check_in_force(
    probes: Collection[Probe],
    written_at: Mapping[int, float],
    is_disturbed: Callable[[Probe], bool],
) -> None:
    """Check that configurations are in force in time.

    written_at has the time when the configuration with each route was written.
    Probes for which is_disturbed returns True don't count.
    """
    for probe in probes:
        newest = _newest_route(written_at, probe.ended_at)
        if probe.lacked_route and probe.route == newest:
            due_at = written_at[probe.route] + IN_FORCE_S
        elif probe.is_served and probe.route < newest:
            due_at = written_at[probe.route + 1] + IN_FORCE_S
        else:
            continue
        assert probe.sent_at <= due_at or is_disturbed(probe), (
            f'{probe.node} goes by an old configuration '
            f'{probe.sent_at - due_at:.2f} s after the newer one was due: '
            f'{probe}'
        )


def check_never_back(
    probes: Sequence[Probe], written_at: Mapping[int, float]
) -> None:
    """Check that no process goes back to an older configuration."""
    for probe in probes:
        newest = _newest_route(written_at, probe.ended_at)
        gone_by = max(
            (
                other.route
                for other in probes
                if other.is_served
                and (other.node, other.process) == (probe.node, probe.process)
                and other.ended_at + ROLLBACK_SLACK_S < probe.sent_at
            ),
            default=0,
        )
        is_back = (probe.is_served and probe.route < gone_by) or (
            probe.lacked_route and probe.route == gone_by == newest
        )
        assert not is_back, (
            f'{probe.node} went back from route {gone_by}: {probe}'
        )


def _newest_route(written_at: Mapping[int, float], now: float) -> int:
    return max(
        (route for route, at in written_at.items() if at <= now), default=0
    )
