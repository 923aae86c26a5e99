"""Write changes of state as JSON lines."""

from __future__ import annotations

import asyncio
import sys

import eliot


def start(process: str, node: str) -> None:
    """Send all later log lines to standard error."""
    eliot.add_global_fields(process=process, node=node)
    eliot.to_file(sys.stderr)


def watch(task: asyncio.Future) -> None:
    """Log the end of a background task by an error."""
    task.add_done_callback(_tell_failure)


def _tell_failure(task: asyncio.Future) -> None:
    if not task.cancelled() and task.exception() is not None:
        change('task_failed', error=repr(task.exception()))


def change(event: str, **fields: object) -> None:
    """Log one change of state."""
    eliot.log_message(message_type=event, **fields)
