"""Select the log lines of several nodes that explain one request."""

from __future__ import annotations

import collections.abc
import json
import typing

# Events of a node may explain a request if they were logged at most this long
# before it started or after it ended.
LOOKBACK_S = 5.0
LOOKAHEAD_S = 1.0
# Used in place of LOOKBACK_S for events about a target, because the loss of a
# target can affect requests much later than other events do.
TARGET_LOOKBACK_S = 30.0

# Events that may affect any request on the node that logged them.
_NODE_EVENTS = frozenset(
    {
        'started',
        'leaving',
        'stopping',
        'stood_still',
        'ready',
        'not_ready',
        'routes_in_force',
        'routes_refused',
        'store_watch',
        'store_history_gone',
        'store_lost',
        'store_back',
        'pull_failed',
        'helper_heard',
        'helper_lost',
        'helper_quiet',
        'links_lost',
        'links_back',
        'member',
        'reloaded',
        'reload_refused',
        'lines_left_out',
    }
)
# Events that may affect requests to the target or service that they name.
_TARGET_EVENTS = frozenset(
    {
        'target',
        'target_ejected',
        'target_left_out',
        'target_limit',
        'target_refused',
    }
)

LogLine = dict[str, typing.Any]


def parse_lines(texts: collections.abc.Iterable[str]) -> list[LogLine]:
    """Decode the log lines of nodes and sort them by time.

    Text before the JSON object of a line is ignored. Lines without the fields
    of a node's log line are left out.
    """
    lines = []
    for text in texts:
        start = text.find('{')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(line, dict) and 'event' in line and 'at' in line:
            lines.append(line)
    lines.sort(key=lambda line: line['at'])
    return lines


def explain(request_id: str, lines: list[LogLine]) -> list[LogLine]:
    """Return the lines that explain a request, in the given order.

    These are the request's own lines, all earlier lines about equal requests,
    and lines that the same nodes logged around the time of the request about
    events that may have affected it.
    """
    request_lines = [
        line for line in lines if line.get('request') == request_id
    ]
    if not request_lines:
        return []
    nodes = {line.get('node') for line in request_lines}
    targets = set().union(*(_target_ids(line) for line in request_lines))
    services = set().union(*(_service_names(line) for line in request_lines))
    fingerprints = {
        line['fingerprint']
        for line in request_lines
        if line.get('fingerprint')
    }
    ended_at = max(line['at'] for line in request_lines)
    took_s = max(line.get('took_ms', 0.0) for line in request_lines) / 1_000
    started_at = min(line['at'] for line in request_lines) - took_s
    limit_lines = _limits_in_force(lines, started_at, nodes, targets, services)
    selected = []
    for line in lines:
        if line in request_lines or line in limit_lines:
            selected.append(line)
            continue
        if line.get('fingerprint') in fingerprints and line['at'] <= ended_at:
            # Earlier events of equal requests, on any node, can be the reason
            # why this request was refused.
            selected.append(line)
            continue
        event = line['event']
        is_target_event = event in _TARGET_EVENTS
        lookback_s = TARGET_LOOKBACK_S if is_target_event else LOOKBACK_S
        if not started_at - lookback_s <= line['at'] <= ended_at + LOOKAHEAD_S:
            continue
        if line.get('node') not in nodes:
            continue
        if event in _NODE_EVENTS:
            selected.append(line)
        elif is_target_event and (
            line.get('target') in targets or line.get('service') in services
        ):
            selected.append(line)
    return selected


def _limits_in_force(
    lines: list[LogLine],
    at: float,
    nodes: set[str],
    targets: set[str],
    services: set[str],
) -> list[LogLine]:
    """Return the last limit that each node knew of each target, if any."""
    latest: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if (
            line['event'] == 'target_limit'
            and line['at'] <= at
            and line.get('node') in nodes
            and (
                line.get('target') in targets
                or line.get('service') in services
            )
        ):
            latest[line['node'], line['target']] = line
    return [
        line for line in latest.values() if line['limit_per_s'] is not None
    ]


def _target_ids(line: LogLine) -> set[str]:
    """Return the targets that a line names.

    A failure is logged as REASON:TARGET, or as REASON:TARGET@HELPER if the
    sub-request was sent through another node.
    """
    target_ids = {
        item.partition(':')[2].partition('@')[0]
        for field in ('repeats', 'failures')
        for item in line.get(field, ())
    }
    if line.get('target'):
        target_ids.add(line['target'])
    return target_ids


def _service_names(line: LogLine) -> set[str]:
    services = set(line.get('missing', ()))
    if line.get('service'):
        services.add(line['service'])
    return services
