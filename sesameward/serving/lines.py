"""Write JSON log lines to a descriptor, rate-limited and without blocking."""

from __future__ import annotations

import collections
import os
import time

import msgspec

# Lines that each event may write in a second. Further ones are dropped and
# counted; the counts are logged as lines_left_out in a later second.
LINES_PER_S = 50
# Bytes buffered for a slow reader; lines that do not fit are dropped and
# counted.
MAX_PENDING_BYTES = 256 * 1024


class LineWriter:
    """Write log lines to a descriptor and never block.

    Lines above the rate limit or the buffer size are dropped and counted by
    event in left_out.
    """

    def __init__(self, fd: int, node: str, lines_per_s: int = LINES_PER_S):
        self._fd = fd
        self._node = node
        self._lines_per_s = lines_per_s
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        self._current_second = 0
        self._written_counts: collections.Counter[str] = collections.Counter()
        self._pending = bytearray()
        self.left_out: collections.Counter[str] = collections.Counter()
        os.set_blocking(fd, False)

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Write one line, or count it if the event exceeds its rate limit."""
        now = time.time()
        if int(now) != self._current_second:
            self._start_second(now)
        self._written_counts[event] += 1
        if self._written_counts[event] > self._lines_per_s:
            self.left_out[event] += 1
            return
        self._append(now, event, fields)

    def flush(self) -> None:
        """Write as much of the buffered lines as the descriptor accepts."""
        if not self._pending:
            return
        try:
            written = os.write(self._fd, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone: the buffered lines are lost, and only the
            # counter shows it.
            written = len(self._pending)
            self.left_out['unwritable'] += 1
        del self._pending[:written]

    def _start_second(self, now: float) -> None:
        self._current_second = int(now)
        self._written_counts.clear()
        if self.left_out:
            left_out = dict(self.left_out)
            self.left_out.clear()
            self._append(now, 'lines_left_out', {'events': left_out})

    def _append(
        self, now: float, event: str, fields: dict[str, object]
    ) -> None:
        line = {'at': round(now, 3), 'node': self._node, 'event': event}
        line.update(fields)
        data = self._encode(line)
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.left_out[event] += 1
            return
        self._pending += data
        self._pending += b'\n'
        self.flush()
