"""Write log events, which record changes of state, as JSON lines."""

from __future__ import annotations

import asyncio
import collections
import os.path
import sys
import traceback
import typing

# Innermost calls of a traceback that one log line names.
MAX_LOGGED_CALLS = 4

Sink = typing.Callable[[str, dict[str, object]], None]


def _write_with_eliot(event: str, fields: dict[str, object]) -> None:
    # Imported on first use: programs with another sink save the memory.
    import eliot

    eliot.log_message(message_type=event, **fields)


_sink: Sink = _write_with_eliot


def write_to_stderr(process: str, node: str) -> None:
    """Write all later events to standard error, with process and node."""
    import eliot

    eliot.add_global_fields(process=process, node=node)
    eliot.to_file(sys.stderr)


def set_sink(sink: Sink) -> None:
    """Pass all later events to a sink instead of eliot."""
    global _sink
    _sink = sink


def log_failure(task: asyncio.Future) -> None:
    """Log task_failed if a background task ends with an exception."""
    task.add_done_callback(_log_failure)


def _log_failure(task: asyncio.Future) -> None:
    if not task.cancelled() and task.exception() is not None:
        exc = task.exception()
        log_event('task_failed', error=repr(exc), where=origin_of(exc))


def origin_of(exc: BaseException | None) -> list[str]:
    """Return the innermost calls that raised an exception, outermost first."""
    if exc is None:
        return []
    calls = collections.deque(
        traceback.walk_tb(exc.__traceback__), maxlen=MAX_LOGGED_CALLS
    )
    return [
        f'{os.path.basename(frame.f_code.co_filename)}:{line} '
        f'{frame.f_code.co_name}'
        for frame, line in calls
    ]


def log_event(event: str, **fields: object) -> None:
    """Log one event with its fields."""
    _sink(event, fields)
