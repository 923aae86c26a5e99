"""Rate-limited writer of JSON log lines to a file descriptor."""

from __future__ import annotations

import collections
import os
import time

import msgspec

# Largest number of log lines with the same event name that are written in one
# second. Further ones are dropped and counted; the log line lines_left_out,
# written in a later second, reports the counts.
LINES_PER_S = 50
# Largest number of bytes buffered while the reader of the log is slow. Log
# lines that do not fit are dropped and counted.
MAX_PENDING_BYTES = 256 * 1024


class LineWriter:
    """Writer of log lines to a file descriptor, which never blocks.

    Lines above the rate limit or the buffer size are dropped. dropped_counts
    holds their number by event name, until a lines_left_out line reports it.
    """

    def __init__(self, fd: int, node: str, lines_per_s: int = LINES_PER_S):
        self._fd = fd
        self._node = node
        self._lines_per_s = lines_per_s
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        self._current_second = 0
        self._written_counts: collections.Counter[str] = collections.Counter()
        self._pending = bytearray()
        self.dropped_counts: collections.Counter[str] = collections.Counter()
        os.set_blocking(fd, False)

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Write one line, or drop and count it if it exceeds a limit."""
        now = time.time()
        if int(now) != self._current_second:
            self._start_second(now)
        self._written_counts[event] += 1
        if self._written_counts[event] > self._lines_per_s:
            self.dropped_counts[event] += 1
            return
        self._append(now, event, fields)

    def flush(self) -> None:
        """Write buffered log bytes until the file descriptor accepts no more.

        The bytes that it does not accept stay in the buffer.
        """
        if not self._pending:
            return
        try:
            written = os.write(self._fd, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader of the log has closed its end, so the buffered lines
            # are dropped. The count 'unwritable' says how often that happened.
            written = len(self._pending)
            self.dropped_counts['unwritable'] += 1
        del self._pending[:written]

    def _start_second(self, now: float) -> None:
        self._current_second = int(now)
        self._written_counts.clear()
        if self.dropped_counts:
            dropped_counts = dict(self.dropped_counts)
            self.dropped_counts.clear()
            self._append(now, 'lines_left_out', {'events': dropped_counts})

    def _append(
        self, now: float, event: str, fields: dict[str, object]
    ) -> None:
        line = {'at': round(now, 3), 'node': self._node, 'event': event}
        line.update(fields)
        data = self._encode(line)
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.dropped_counts[event] += 1
            return
        self._pending += data
        self._pending += b'\n'
        self.flush()
