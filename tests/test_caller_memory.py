"""Tests of the account of callers' memory, without a network.

They guard against callers who together exceed their part of a node's memory
or descriptors, and against closing the connections of ordinary callers first.
"""

import hypothesis
from hypothesis import strategies as st

from sesameward.metrics import Metrics
from sesameward.serving.attempts import SubRequestFailure
from sesameward.serving.byte_limits import MessageMemory
from sesameward.serving.caller_memory import CallerMemory
from sesameward.serving.caller_memory import CONNECTION_BYTES
from sesameward.serving.delegation import BatchNo
from sesameward.serving.delegation import BatchResults
from sesameward.serving.delegation import ItemResult
from sesameward.serving.delegation import WholeReply
from sesameward.serving.result_outbox import ResultOutbox

LIMIT_BYTES = 100 * CONNECTION_BYTES


class Connection:
    """Fake connection that records how it was closed."""

    def __init__(self, since=0.0):
        self.held_bytes = 0
        self.since = since
        self.closed = None

    def waits_since(self):
        return self.since

    def close_for_memory(self):
        self.closed = 'memory'

    def close_for_descriptors(self):
        self.closed = 'descriptors'


def open_connections(memory, sinces, now=0.0):
    conns = [Connection(since) for since in sinces]
    for conn in conns:
        memory.add(conn, now)
    return conns


def test_connection_that_held_most_for_longest_is_closed(events):
    memory = CallerMemory(LIMIT_BYTES)
    old, new, small = open_connections(memory, [0.0, 9.0, 0.0])
    memory.set_held(old, LIMIT_BYTES // 3, 9.0)
    memory.set_held(new, LIMIT_BYTES // 2, 9.0)
    assert [conn.closed for conn in (old, new, small)] == [None] * 3
    memory.set_held(new, LIMIT_BYTES - 1, 9.0)
    # new holds most, but has hardly kept the node waiting.
    assert [conn.closed for conn in (old, small)] == ['memory', None]
    assert events[0][0] == 'caller_cut'


def test_caller_who_waits_keeps_its_connection(events):
    memory = CallerMemory(LIMIT_BYTES, max_fds=220)
    assert memory.max_connections == 10
    conns = open_connections(memory, [None] * 5 + [float(n) for n in range(6)])
    closed = [n for n, conn in enumerate(conns) if conn.closed]
    assert closed == [5, 6]
    assert memory.connection_count == 9


def test_newest_connections_are_closed_if_all_callers_wait(events):
    memory = CallerMemory(LIMIT_BYTES, max_fds=220)
    conns = open_connections(memory, [None] * 11)
    assert [n for n, conn in enumerate(conns) if conn.closed] == [9, 10]


def test_log_lines_are_bounded(events):
    memory = CallerMemory(LIMIT_BYTES, max_fds=220)
    open_connections(memory, [0.0] * 500)
    assert len(events) == 1


@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, 30),
            st.integers(0, LIMIT_BYTES // 2),
            st.sampled_from(['add', 'hold', 'remove']),
        ),
        max_size=80,
    )
)
def test_account_is_exact_and_within_its_limits(steps):
    memory = CallerMemory(LIMIT_BYTES, max_fds=230)
    conns = {}
    for now, (number, size, what) in enumerate(steps):
        conn = conns.get(number)
        if what == 'add' and conn is None:
            conn = conns[number] = Connection(float(now))
            memory.add(conn, now)
        elif what == 'hold' and conn is not None:
            memory.set_held(conn, size, now)
        elif what == 'remove' and conn is not None:
            memory.remove(conns.pop(number))
        is_open = [c for c in conns.values() if c.closed is None]
        assert memory.held_bytes == sum(c.held_bytes for c in is_open)
        assert memory.held_bytes <= LIMIT_BYTES
        assert memory.connection_count == len(is_open) <= 15
    for conn in conns.values():
        memory.remove(conn)
    assert memory.held_bytes == memory.closing_bytes == 0


def test_results_for_a_node_that_does_not_read_are_bounded():
    # Guards against a helper node whose queue of replies grows without end.
    memory = MessageMemory(1_000_000)
    outbox = ResultOutbox(memory, Metrics('t'))
    for number in range(10):
        reply = WholeReply(200, b'OK', [], b'x' * 300_000)
        item = ItemResult(number, None, reply=reply)
        outbox.put_nowait(BatchResults(BatchNo(number), (item,)))
        assert memory.held_bytes <= 1_000_000
    entries = [outbox._queue.get_nowait() for _ in range(10)]
    kept = [e for e in entries if e.message.item_results[0].reply is not None]
    assert len(kept) == 3
    for entry in entries:
        (item,) = entry.message.item_results
        assert item.reply or item.end is SubRequestFailure.FAILED
        entry.meter.reset()
    assert memory.held_bytes == 0
