"""Write log events, which record changes of state, as JSON lines."""

from __future__ import annotations

import asyncio
import sys
import typing

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
        log_event('task_failed', error=repr(task.exception()))


def log_event(event: str, **fields: object) -> None:
    """Log one event with its fields."""
    _sink(event, fields)
