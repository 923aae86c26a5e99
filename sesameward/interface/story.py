"""Tell the story of one request from the logs of several nodes."""

from __future__ import annotations

import collections.abc
import json
import typing

# Changes of belief this long before a request began may explain it.
BEFORE_S = 5.0
AFTER_S = 1.0
# A target that left may be missed for much longer.
TARGETS_BEFORE_S = 30.0

# Events that change what a node believes, with the fields that tell how.
_BELIEFS = frozenset(
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
        'helper_lost',
        'helper_quiet',
        'member',
        'reloaded',
        'reload_refused',
        'lines_left_out',
    }
)
_ABOUT_TARGETS = frozenset(
    {'target', 'target_ejected', 'target_left_out', 'target_refused'}
)

Line = dict[str, typing.Any]


def read(texts: collections.abc.Iterable[str]) -> list[Line]:
    """Return the log lines among these, the earliest first.

    Lines that are no log lines of a node are passed over.
    """
    found = []
    for text in texts:
        start = text.find('{')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(line, dict) and 'event' in line and 'at' in line:
            found.append(line)
    found.sort(key=lambda line: line['at'])
    return found


def explain(request_id: str, lines: list[Line]) -> list[Line]:
    """Return the request's own lines and the beliefs that bear on it."""
    own = [line for line in lines if line.get('request') == request_id]
    if not own:
        return []
    nodes = {line.get('node') for line in own}
    targets = set().union(*(_targets(line) for line in own))
    services = set().union(*(_services(line) for line in own))
    fingerprints = {
        line['fingerprint'] for line in own if line.get('fingerprint')
    }
    ended = max(line['at'] for line in own)
    took_s = max(line.get('took_ms', 0.0) for line in own) / 1_000
    begun = min(line['at'] for line in own) - took_s
    story = []
    for line in lines:
        if line in own:
            story.append(line)
            continue
        if line.get('fingerprint') in fingerprints and line['at'] <= ended:
            # Equal requests, on any node and however long ago.
            story.append(line)
            continue
        event = line['event']
        about_target = event in _ABOUT_TARGETS
        before_s = TARGETS_BEFORE_S if about_target else BEFORE_S
        if not begun - before_s <= line['at'] <= ended + AFTER_S:
            continue
        if line.get('node') not in nodes:
            continue
        if event in _BELIEFS:
            story.append(line)
        elif about_target and (
            line.get('target') in targets or line.get('service') in services
        ):
            story.append(line)
    return story


def _targets(line: Line) -> set[str]:
    named = {
        entry.partition(':')[2]
        for field in ('repeats', 'failures')
        for entry in line.get(field, ())
    }
    if line.get('target'):
        named.add(line['target'])
    return named


def _services(line: Line) -> set[str]:
    services = set(line.get('missing', ()))
    if line.get('service'):
        services.add(line['service'])
    return services
