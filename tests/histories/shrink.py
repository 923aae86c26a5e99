"""Shorten a history that breaks a promise and format it as text."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import typing

import msgspec

from . import checks
from . import records as rec

Item = typing.TypeVar('Item')


def shrink(
    items: Sequence[Item], fails: Callable[[Sequence[Item]], bool]
) -> list[Item]:
    """Return a part that still fails and has no superfluous item.

    fails tells whether a part fails; it must be true for all items together.
    """
    kept = list(items)
    size = max(len(kept) // 2, 1)
    while True:
        start, shortened = 0, False
        while start < len(kept):
            rest = kept[:start] + kept[start + size :]
            if fails(rest):
                kept, shortened = rest, True
            else:
                start += size
        if size == 1 and not shortened:
            return kept
        size = max(size // 2, 1)


def shorten(
    history: checks.History, violation: checks.Violation
) -> list[rec.Record]:
    """Return a minimal part of a history with the same violation."""
    return shrink(history, lambda part: violation in checks.check(part))


def render(
    history: checks.History, violation: checks.Violation, seed: int
) -> str:
    """Format a violation with its seed and its shortened history."""
    lines = [
        f'{violation.check} broken for {violation.subject} (seed {seed}): '
        f'{violation.problem}'
    ]
    for record in shorten(history, violation):
        fields = msgspec.structs.asdict(record)
        at = fields.pop('at')
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        lines.append(f'  {at:10.4f} {type(record).__name__} {text}')
    return '\n'.join(lines)
