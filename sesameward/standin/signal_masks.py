"""Read which signals a process ignores or handles."""

from __future__ import annotations

import pathlib
import re
import signal


def is_in_mask(pid: int, mask_name: str, signum: signal.Signals) -> bool:
    """Return whether a mask of /proc/PID/status contains a signal.

    SigIgn has the ignored signals, SigCgt those with a handler.
    """
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    (mask,) = re.findall(
        rf'^{mask_name}:\s*([0-9a-f]+)$', status, re.MULTILINE
    )
    return bool(int(mask, 16) >> (signum - 1) & 1)
