"""Tests of the memory limits for received messages, without a network.

They guard against targets or callers that exhaust a node's memory by sending
bytes without end, on one connection or on many at once.
"""

import hypothesis
from hypothesis import strategies as st
import pytest

from sesameward.serving.byte_limits import ExceededLimit
from sesameward.serving.byte_limits import MAX_REPLY_BYTES
from sesameward.serving.byte_limits import MessageLimits
from sesameward.serving.byte_limits import MessageMemory
from sesameward.serving.byte_limits import MessageMeter
from sesameward.serving.byte_limits import MIN_LARGE_BYTES
from sesameward.serving.byte_limits import part_limits

LIMITS = MessageLimits(max_head_bytes=1_000, max_body_bytes=5_000)
LARGE = 2 * MIN_LARGE_BYTES


@pytest.fixture
def message_memory():
    return MessageMemory(10 * LARGE)


@pytest.fixture
def receive(message_memory):
    """Return a function that counts received bytes of a named message.

    Its attribute cut lists the names of the messages that were dropped because
    all together exceeded the memory limit.
    """
    meters, cut = {}, []

    def receive_bytes(name, size):
        if name not in meters:
            meters[name] = MessageMeter(
                message_memory, lambda: cut.append(name), LIMITS
            )
        meters[name].count(size)
        return meters[name]

    receive_bytes.cut = cut
    return receive_bytes


def test_head_ends_at_its_bound(receive):
    meter = receive('a', 1_000)
    assert meter.exceeded_limit(False) is None
    meter.count(1)
    assert meter.exceeded_limit(False) is ExceededLimit.HEAD


def test_framing_ends_at_the_heads_bound(receive):
    meter = receive('a', 1_000)
    meter.count(1)
    assert meter.exceeded_limit(True) is ExceededLimit.FRAMING


def test_chunks_of_one_byte_are_no_excess(receive):
    meter = receive('a', 200)
    for _ in range(5_000):
        meter.count(6)
        meter.body += 1
        assert meter.exceeded_limit(True) is None


def test_body_ends_at_its_bound(receive):
    meter = receive('a', 5_002)
    meter.body += 5_000
    assert meter.exceeded_limit(True) is None
    meter.body += 1
    assert meter.exceeded_limit(True) is ExceededLimit.BODY


def test_part_is_bounded_by_the_records_that_can_matter():
    assert part_limits(50).max_body_bytes == 64 * 1024
    assert part_limits(1_000).max_body_bytes == 32 * 1_000 * 16
    assert part_limits(10**9).max_body_bytes == MAX_REPLY_BYTES


def test_largest_of_the_newest_half_is_cut(receive, message_memory):
    for name, size in [('old', 5), ('older', 2), ('new', 2), ('newer', 1)]:
        receive(name, size * LARGE)
    assert receive.cut == []
    receive('newest', LARGE)
    assert receive.cut == ['new']
    assert message_memory.held_bytes == 9 * LARGE


def test_small_messages_are_cut_after_all_large_ones(receive, message_memory):
    # Guards against very many small replies, which took memory uncounted, and
    # against cutting them while larger ones hold the memory.
    small = MIN_LARGE_BYTES - 1
    receive('large', 2 * LARGE)
    for number in range(16):
        receive(number, small)
    assert (receive.cut, message_memory.held_bytes) == (
        [],
        2 * LARGE + 16 * small,
    )
    receive(16, small)
    assert receive.cut == ['large']
    for number in range(17, 20):
        receive(number, small)
    assert receive.cut == ['large']
    receive(20, small + 1)
    assert receive.cut == ['large', 20]
    receive(21, small)
    assert message_memory.held_bytes <= 9 * LARGE
    # The newer half is cut first.
    assert all(name == 'large' or name >= 10 for name in receive.cut)


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(0, 4 * LARGE), st.booleans()),
        max_size=60,
    )
)
def test_bound_holds_and_nothing_is_lost_from_the_count(steps):
    message_memory = MessageMemory(10 * LARGE)
    meters = [
        MessageMeter(message_memory, lambda: None, LIMITS) for _ in range(10)
    ]
    for number, size, ends in steps:
        meters[number].count(size)
        if ends:
            meters[number].reset()
        assert message_memory.held_bytes == sum(
            meter.received for meter in meters
        )
        assert message_memory.held_bytes <= 10 * LARGE
    for meter in meters:
        meter.reset()
    assert message_memory.held_bytes == 0
