"""Tests of the account of callers' memory, without a network.

They guard against callers who together exceed their part of a node's memory
or descriptors, and against closing the connections of ordinary callers first.
"""

import asyncio
import socket
import time

from grpclib import client
from grpclib import const
from grpclib.exceptions import GRPCError
import hypothesis
from hypothesis import strategies as st
import pytest

from sesameward.codec import MsgpackCodec
from sesameward.metrics import Metrics
from sesameward.serving.attempts import SubRequestFailure
from sesameward.serving.byte_limits import MessageMemory
from sesameward.serving.caller_memory import CallerMemory
from sesameward.serving.caller_memory import CONNECTION_BYTES
from sesameward.serving.caller_memory import NODE_CONNECTION_BYTES
from sesameward.serving.caller_memory import NodeMemory
from sesameward.serving.delegation import BatchNo
from sesameward.serving.delegation import BatchResults
from sesameward.serving.delegation import ItemResult
from sesameward.serving.delegation import WholeReply
from sesameward.serving.peer_connections import current_source
from sesameward.serving.peer_connections import HelperSource
from sesameward.serving.peer_connections import PeerChannel
from sesameward.serving.peer_connections import PeerServer
from sesameward.serving.peer_connections import Source
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


def test_batches_of_the_heaviest_node_are_refused_first(events):
    # Guards against refusing batches of ordinary nodes while another one
    # holds the memory.
    async def main():
        memory = NodeMemory(1_000_000, max_fds=1_000)
        heavy, light = (
            Source(memory, Metrics('t'), time.monotonic) for _ in range(2)
        )
        heavy.hold_batch(800_000)
        assert heavy.refuses_batch(100)
        assert not light.refuses_batch(50_000)
        heavy.hold_batch(-800_000)
        assert not heavy.refuses_batch(100)

    asyncio.run(main())


def test_batch_counts_until_it_ends_also_without_its_connection():
    # Guards against nodes that connect again and again and leave batches.
    async def main():
        memory = NodeMemory(1_000_000, max_fds=1_000)
        source = Source(memory, Metrics('t'), time.monotonic)
        source.hold(1_000)
        source.hold_batch(300_000)
        source.close()
        assert memory.held_bytes == 0
        assert memory.detached_bytes == 300_000
        assert not memory.may_detach
        source.hold(-1_000)
        source.hold_batch(-300_000)
        assert memory.held_bytes == memory.detached_bytes == 0

    asyncio.run(main())


def test_source_over_its_share_waits_until_it_holds_less(events):
    async def main():
        memory = NodeMemory(1_000_000, max_fds=1_000)
        metrics = Metrics('t')
        source = Source(memory, metrics, time.monotonic)
        source.hold(memory.share_bytes)
        waiting = asyncio.ensure_future(source.wait_for_room())
        await asyncio.sleep(0.01)
        assert not waiting.done()
        assert metrics.value('peer_pauses') == 1
        source.hold(-memory.share_bytes)
        await waiting

    asyncio.run(main())


def test_results_of_helpers_count_as_replies_until_they_are_read():
    # Guards against helpers that send results faster than they are read.
    async def main():
        memory = MessageMemory(1_000_000)
        aborted = []
        source = HelperSource(
            memory, Metrics('t'), time.monotonic, lambda: aborted.append(1)
        )
        for size in (400_000, -399_000, 10_000, -11_000, 900_000, -1):
            source.hold(size)
            assert memory.held_bytes == source.held_bytes
        assert not aborted
        source.hold(200_000)
        assert aborted
        assert memory.held_bytes == 0

    asyncio.run(main())


def test_connection_of_a_node_counts_nothing_after_its_calls():
    # Guards against an account that grows with each message, until ordinary
    # nodes are refused. The message is larger than what is parsed at once.
    class Handler:
        def __mapping__(self):
            types = const.Cardinality.UNARY_UNARY, bytes, bytes
            return {'/t/T': const.Handler(self.serve, *types)}

        async def serve(self, stream):
            source = current_source()
            await stream.send_message(await stream.recv_message())
            held.append(source.held_bytes)

    held = []

    async def main():
        memory = MessageMemory(50_000_000)
        clock, metrics = time.monotonic, Metrics('t')
        server = PeerServer(
            [Handler()], memory.nodes, metrics, clock, codec=MsgpackCodec()
        )
        listener = socket.create_server(('127.0.0.1', 0))
        await server.start(sock=listener)
        port = listener.getsockname()[1]
        channel = PeerChannel(
            '127.0.0.1', port, memory, metrics, clock, codec=MsgpackCodec()
        )
        method = client.UnaryUnaryMethod(channel, '/t/T', bytes, bytes)
        for size in (10, 300_000, 2_000_000):
            assert await method(b'x' * size) == b'x' * size
            await asyncio.sleep(0.05)
            assert memory.held_bytes == NODE_CONNECTION_BYTES
        too_long = memory.nodes.share_bytes + 1
        with pytest.raises(GRPCError):
            await method(b'x' * too_long)
        assert metrics.value('messages_cut', 'peer_message') == 1
        assert await method(b'x') == b'x'
        await asyncio.sleep(0.05)
        assert memory.held_bytes == NODE_CONNECTION_BYTES
        channel.close()
        await asyncio.sleep(0.05)
        assert memory.held_bytes == 0
        server.close()
        assert all(size > NODE_CONNECTION_BYTES for size in held)

    asyncio.run(main())
