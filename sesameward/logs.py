"""Write changes of state as JSON lines."""

from __future__ import annotations

import asyncio
import sys
import typing

Sink = typing.Callable[[str, dict[str, object]], None]


def _to_eliot(event: str, fields: dict[str, object]) -> None:
    # Imported late: programs that use another sink save its memory.
    import eliot

    eliot.log_message(message_type=event, **fields)


_sink: Sink = _to_eliot


def start(process: str, node: str) -> None:
    """Send all later log lines to standard error."""
    import eliot

    eliot.add_global_fields(process=process, node=node)
    eliot.to_file(sys.stderr)


def send_to(sink: Sink) -> None:
    """Hand all later log lines to a sink."""
    global _sink
    _sink = sink


def watch(task: asyncio.Future) -> None:
    """Log the end of a background task by an error."""
    task.add_done_callback(_tell_failure)


def _tell_failure(task: asyncio.Future) -> None:
    if not task.cancelled() and task.exception() is not None:
        change('task_failed', error=repr(task.exception()))


def change(event: str, **fields: object) -> None:
    """Log one change of state."""
    _sink(event, fields)
