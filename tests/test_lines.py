"""Tests that the log writer keeps its limits and never blocks."""

import json
import os

import pytest

from sesameward.serving.lines import LINES_PER_S
from sesameward.serving.lines import LineWriter
from sesameward.serving.lines import MAX_PENDING_BYTES


@pytest.fixture
def pipe():
    """Yield the descriptors of a pipe that is read only by the test."""
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
    lines = LineWriter(writer, 'n1')
    for n in range(5 * LINES_PER_S):
        lines.write('often', {'n': n})
    lines.write('rare', {})
    written = [line['event'] for line in read_lines(reader)]
    # The writes may fall into two seconds of the wall clock.
    assert LINES_PER_S <= written.count('often') <= 2 * LINES_PER_S
    assert written.count('rare') == 1
    assert sum(lines.left_out.values()) > 0 or 'lines_left_out' in written


def test_what_was_left_out_is_told(pipe, monkeypatch):
    reader, writer = pipe
    lines = LineWriter(writer, 'n1', lines_per_s=1)
    now = [1_000.0]
    monkeypatch.setattr('time.time', lambda: now[0])
    for _ in range(3):
        lines.write('often', {})
    now[0] = 1_001.0
    lines.write('other', {})
    left_out_lines = [
        line
        for line in read_lines(reader)
        if line['event'] == 'lines_left_out'
    ]
    assert [line['events'] for line in left_out_lines] == [{'often': 2}]


def test_reader_that_stops_never_blocks_and_memory_stays_bounded(pipe):
    reader, writer = pipe
    lines = LineWriter(writer, 'n1', lines_per_s=1_000_000)
    for n in range(20_000):
        lines.write('event', {'n': n, 'text': 'x' * 100})
    assert len(lines._pending) <= MAX_PENDING_BYTES
    assert lines.left_out['event'] > 0
    # When reading resumes, the lines are complete and in order.
    numbers = [line['n'] for line in read_lines(reader, lines)]
    assert len(numbers) > 1_000
    assert numbers == sorted(numbers)


def test_reader_that_is_gone_is_counted(pipe):
    reader, writer = os.pipe()
    os.close(reader)
    lines = LineWriter(writer, 'n1')
    lines.write('event', {})
    assert lines.left_out['unwritable'] == 1
    os.close(writer)
