"""Tests that LineWriter keeps its rate and buffer limits and never blocks."""

import json
import os

import pytest

from sesameward.serving.lines import LINES_PER_S
from sesameward.serving.lines import LineWriter
from sesameward.serving.lines import MAX_PENDING_BYTES


@pytest.fixture
def pipe():
    """Yield both descriptors of a pipe that nothing but the test reads."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader, writer=None):
    data = b''
    while True:
        if writer is not None:
            writer.flush()
        try:
            piece = os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        if not piece:
            break
        data += piece
    return [json.loads(line) for line in data.splitlines()]


def test_line_holds_event_and_fields(pipe):
    reader, writer = pipe
    LineWriter(writer, 'n1').write('thing', {'a': 1, 'b': ('x',)})
    (line,) = read_lines(reader)
    assert (line['node'], line['event'], line['a']) == ('n1', 'thing', 1)
    assert line['b'] == ['x']


def test_each_event_has_a_bound_a_second(pipe):
    reader, writer = pipe
    line_writer = LineWriter(writer, 'n1')
    for n in range(5 * LINES_PER_S):
        line_writer.write('often', {'n': n})
    line_writer.write('rare', {})
    written = [line['event'] for line in read_lines(reader)]
    # The rate limit applies to each second of the wall clock, and the writes
    # may extend over two of them.
    assert LINES_PER_S <= written.count('often') <= 2 * LINES_PER_S
    assert written.count('rare') == 1
    assert (
        sum(line_writer.dropped_counts.values()) > 0
        or 'lines_left_out' in written
    )


def test_what_was_left_out_is_told(pipe, monkeypatch):
    reader, writer = pipe
    line_writer = LineWriter(writer, 'n1', lines_per_s=1)
    now = [1_000.0]
    monkeypatch.setattr('time.time', lambda: now[0])
    for _ in range(3):
        line_writer.write('often', {})
    now[0] = 1_001.0
    line_writer.write('other', {})
    left_out_lines = [
        line
        for line in read_lines(reader)
        if line['event'] == 'lines_left_out'
    ]
    assert [line['events'] for line in left_out_lines] == [{'often': 2}]


def test_reader_that_stops_never_blocks_and_memory_stays_bounded(pipe):
    reader, writer = pipe
    line_writer = LineWriter(writer, 'n1', lines_per_s=1_000_000)
    for n in range(20_000):
        line_writer.write('event', {'n': n, 'text': 'x' * 100})
    assert len(line_writer._pending) <= MAX_PENDING_BYTES
    assert line_writer.dropped_counts['event'] > 0
    # The lines that were not dropped can be read later, complete and in order.
    numbers = [line['n'] for line in read_lines(reader, line_writer)]
    assert len(numbers) > 1_000
    assert numbers == sorted(numbers)


def test_reader_that_is_gone_is_counted(pipe):
    reader, writer = os.pipe()
    os.close(reader)
    line_writer = LineWriter(writer, 'n1')
    line_writer.write('event', {})
    assert line_writer.dropped_counts['unwritable'] == 1
    os.close(writer)
