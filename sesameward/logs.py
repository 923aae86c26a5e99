"""Write changes of state as JSON lines."""

from __future__ import annotations

import sys

import eliot


def start(process: str, node: str) -> None:
    """Send all later log lines to standard error."""
    eliot.add_global_fields(process=process, node=node)
    eliot.to_file(sys.stderr)


def change(event: str, **fields: object) -> None:
    """Log one change of state."""
    eliot.log_message(message_type=event, **fields)
