"""Check the promises to organisations, cold targets and evacuated zones.

The checks compare what simulated targets received with what the store held.
All times are in seconds on the monotonic clock of the test.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from sesameward.standin.fleet import DEADLINE_MS
from sesameward.standin.fleet import MAX_CONFIG_DELAY_MS

CONFIG_S = MAX_CONFIG_DELAY_MS / 1_000
# Settings of the nodes; those of quotas are the defaults.
QUOTA_WINDOW_S = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20.0
DEADLINE_S = DEADLINE_MS / 1_000
EVAC_S = 2.0
WARMUP_PER_S = 10.0
WARMUP_OVERSHOOT = 1.5
WARMUP_SLACK = 5.0
COLD_WINDOW_S = 1.0
# The page names no time within which nodes must know that a target is cold.
# Registrations are pushed by the store within a fraction of a second.
COLD_KNOWN_AFTER_S = 1.5
# A process that has refused a key must refuse it in all requests that are sent
# this long after, until a newer configuration has the key.
ROLLBACK_SLACK_S = 0.25
# A request with one of these statuses has not run and never will.
REFUSALS = (401, 429, 503)


@dataclasses.dataclass
class Span:
    """Time for which the store holds something; until may be infinite."""

    since: float
    until: float = math.inf


@dataclasses.dataclass(frozen=True)
class Limit:
    """Limit of an organisation; rate_per_s is 0 if there is none.

    since is when it was written, until the time up to which it may be in
    force.
    """

    rate_per_s: float
    burst: float
    since: float
    until: float = math.inf


@dataclasses.dataclass(frozen=True)
class KeyedRequest:
    """Request that a caller sent with one key.

    status is that of the answer, 0 if there was none. process is the process
    id of the node.
    """

    request_id: str
    node: str
    process: int
    key: str
    sent_at: float
    ended_at: float
    status: int


def settled_at(
    since: float, quiet_s: float, disturbances: Sequence[float]
) -> float:
    """Return when quiet_s had passed without a disturbance, after since.

    disturbances must be sorted.
    """
    for at in disturbances[bisect.bisect_left(disturbances, since) :]:
        if at >= since + quiet_s:
            break
        since = at
    return since + quiet_s


def check_identity(
    runs: Iterable,
    names_by_request: Mapping[str, str],
    all_names: Collection[str],
    secret: str,
) -> None:
    """Check that targets get the organisation's name and never a key.

    names_by_request has the organisations of requests whose key is known.
    secret is a text that all keys contain.
    """
    for run in runs:
        names = [
            value.decode()
            for name, value in run.headers
            if name.lower() == b'sesameward-tenant'
        ]
        expected = names_by_request.get(run.request_id)
        if run.path.startswith('/public/'):
            assert not names, (
                f'{run.request_id} on a public route belongs to {names}'
            )
        else:
            assert len(names) == 1 and (
                names[0] == expected
                if expected is not None
                else names[0] in all_names
            ), f'{run.request_id} of {expected} came as one of {names}'
        for name, value in run.headers:
            assert name.lower() != b'x-api-key' and secret not in (
                value.decode('latin-1')
            ), f'{run.request_id} reached {run.target} with a key in {name}'


def check_keys(
    requests: Iterable[KeyedRequest],
    ran_at: Mapping[str, Sequence[float]],
    held: Mapping[str, Sequence[Span]],
    is_excused: Callable[[KeyedRequest], bool],
) -> None:
    """Check that requests run only with keys of a configuration in force.

    ran_at has the times of all runs of each request, held the times for which
    the store held each key. is_excused tells whether a node may not have known
    yet that a key was withdrawn.
    """
    for asked in requests:
        for at in ran_at.get(asked.request_id, ()):
            spans = [s for s in held.get(asked.key, ()) if s.since <= at]
            assert spans, (
                f'{asked.request_id} ran with a key that no configuration held'
            )
            late_s = at - max(span.until for span in spans) - CONFIG_S
            assert late_s <= 0.0 or is_excused(asked), (
                f'{asked} ran {late_s:.2f} s after its key had to be refused'
            )


def check_keys_never_back(
    requests: Sequence[KeyedRequest],
    ran_at: Mapping[str, Sequence[float]],
    held: Mapping[str, Sequence[Span]],
) -> None:
    """Check that no process accepts a key again that it has refused."""
    refused = [asked for asked in requests if asked.status == 401]
    for asked in requests:
        if not ran_at.get(asked.request_id):
            continue
        for other in refused:
            if (other.node, other.process, other.key) != (
                asked.node,
                asked.process,
                asked.key,
            ) or other.ended_at + ROLLBACK_SLACK_S >= asked.sent_at:
                continue
            # The node refused the key either before it was added or after it
            # was withdrawn; only in the second case it must go on to do so.
            spans = held.get(asked.key, ())
            was_added = any(
                span.since <= asked.ended_at and span.until > other.sent_at
                for span in spans
            )
            assert was_added, (
                f'{asked} ran although the process had refused its key in '
                f'{other}'
            )


def check_valid_keys(
    requests: Iterable[KeyedRequest],
    held: Mapping[str, Sequence[Span]],
    is_excused: Callable[[KeyedRequest], bool],
) -> None:
    """Check that no request with a key in force gets the final status 401."""
    for asked in requests:
        is_valid = any(
            span.since + CONFIG_S < asked.sent_at
            and asked.ended_at <= span.until
            for span in held.get(asked.key, ())
        )
        assert not (is_valid and asked.status == 401) or is_excused(asked), (
            f'{asked} got 401 though its key was in force'
        )


def check_refusals(
    requests: Iterable[KeyedRequest], ran_at: Mapping[str, Sequence[float]]
) -> None:
    """Check that refused requests have not run."""
    for asked in requests:
        assert not (
            asked.status in REFUSALS and ran_at.get(asked.request_id)
        ), f'{asked} was refused, but ran'


def check_quota(times: Iterable[float], limits: Collection[Limit]) -> int:
    """Check that an organisation's requests stay within the bound.

    times has one time for each request that ran. limits are all limits of the
    organisation. Return the largest number of requests in a window in which
    there was a limit all the time.
    """
    times = sorted(times)
    most = 0
    for first, at in enumerate(times):
        end = at + QUOTA_WINDOW_S
        in_force = [one for one in limits if one.since < end > at < one.until]
        if not all(one.rate_per_s for one in in_force):
            continue
        count = bisect.bisect_left(times, end) - first
        allowed = QUOTA_SLACK + (1.0 + QUOTA_OVERSHOOT) * max(
            one.rate_per_s * QUOTA_WINDOW_S + one.burst for one in in_force
        )
        assert count <= allowed, (
            f'{count} requests ran within {QUOTA_WINDOW_S} s from {at:.2f} '
            f'on, {allowed:g} are allowed'
        )
        most = max(most, count)
    return most


def without_delayed(arrivals: Iterable, sent_at: Mapping[str, float]) -> list:
    """Return the arrivals that the network has not held back for long.

    sent_at has the times at which callers sent requests. Nodes send nothing
    after the deadline of a request, so what arrives later was sent before. A
    link that hangs delivers it when it is healed (seed 304, length 10).
    """
    return [
        arrival
        for arrival in arrivals
        if arrival.at
        <= sent_at.get(arrival.request_id, arrival.at) + DEADLINE_S
    ]


def check_evacuated(
    arrivals: Iterable,
    checked: Iterable[Span],
    is_excused: Callable[[float], bool],
) -> int:
    """Check that a target of an evacuated zone gets nothing.

    checked are the times in which all nodes must keep to it. Return how many
    arrivals were excused.
    """
    excused = 0
    spans = tuple(checked)
    for arrival in arrivals:
        for span in spans:
            if not span.since <= arrival.at < span.until:
                continue
            if is_excused(arrival.at):
                excused += 1
                continue
            raise AssertionError(
                f'{arrival.request_id} arrived {arrival.at - span.since:.2f} '
                's after nothing more was to be sent to the zone'
            )
    return excused


def check_cold(
    times: Iterable[float],
    checked: Iterable[Span],
    is_excused: Callable[[float], bool],
) -> int:
    """Check that a cold target gets no more than its bound in any second.

    checked are the times in which all nodes must keep to it. Return the
    largest number of requests in a second.
    """
    allowed = WARMUP_PER_S * WARMUP_OVERSHOOT + WARMUP_SLACK
    most = 0
    all_times = sorted(times)
    for span in checked:
        inside = [at for at in all_times if span.since <= at < span.until]
        for first, at in enumerate(inside):
            end = bisect.bisect_left(inside, at + COLD_WINDOW_S)
            count = end - first
            assert count <= allowed or is_excused(at), (
                f'{count} requests within {COLD_WINDOW_S} s, '
                f'{at - span.since:.2f} s after its rate had to be kept; '
                f'{allowed:g} are allowed'
            )
            most = max(most, count)
    return most
