"""Write bounded JSON lines to standard output without ever blocking."""

from __future__ import annotations

import collections
import os
import time

import msgspec

# Lines of one event a second; more are counted and told once a second.
LINES_PER_S = 50
# Bytes kept for a reader that is slow; more are counted as lost.
MAX_PENDING_BYTES = 256 * 1024


class LineWriter:
    """Send log lines to a descriptor; drop and count what is too much."""

    def __init__(self, fd: int, node: str, per_s: int = LINES_PER_S):
        self._fd = fd
        self._node = node
        self._per_s = per_s
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._pending = bytearray()
        self.left_out: collections.Counter[str] = collections.Counter()
        os.set_blocking(fd, False)

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Write one line, or count it where the event is too frequent."""
        now = time.time()
        if int(now) != self._second:
            self._turn(now)
        self._counts[event] += 1
        if self._counts[event] > self._per_s:
            self.left_out[event] += 1
            return
        self._put(now, event, fields)

    def flush(self) -> None:
        """Write what a slow reader left; keep the rest."""
        if not self._pending:
            return
        try:
            written = os.write(self._fd, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; the counter below still tells.
            written = len(self._pending)
            self.left_out['unwritable'] += 1
        del self._pending[:written]

    def _turn(self, now: float) -> None:
        self._second = int(now)
        self._counts.clear()
        if self.left_out:
            left_out = dict(self.left_out)
            self.left_out.clear()
            self._put(now, 'lines_left_out', {'events': left_out})

    def _put(self, now: float, event: str, fields: dict[str, object]) -> None:
        line = {'at': round(now, 3), 'node': self._node, 'event': event}
        line.update(fields)
        data = self._encode(line)
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.left_out[event] += 1
            return
        self._pending += data
        self._pending += b'\n'
        self.flush()
