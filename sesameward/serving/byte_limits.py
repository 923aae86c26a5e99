"""Limit the memory that received HTTP messages take on a node.

Load pattern: a target, a caller or the store sends an endless stream of header
lines, bytes of one header, chunk extensions, trailers, interim replies or body
bytes. Each message therefore has a limit for its body and another for all its
other bytes. Bytes are counted as they arrive, because the parser reports a
header only once it is complete.

Load pattern: many targets or callers send large messages at once. All messages
of a node share one limit. When it is exceeded, the largest message among the
newer half is dropped and its connection closed. The older half is spared,
because most of its messages belong to requests to which some targets have
already replied. Messages below MIN_LARGE_BYTES are dropped only if no larger
ones are left.
"""

from __future__ import annotations

import enum
import typing

import msgspec

from .caller_memory import CallerMemory
from .caller_memory import DEFAULT_MAX_FDS
from .caller_memory import LOW_WATER_FRACTION
from .caller_memory import NodeMemory
from .topk import RECORD_BYTES

# Bytes allowed for the first line of a request and for line ends, in addition
# to the limit for header fields.
FIRST_LINE_BYTES = 4_096
# Bytes of chunk framing allowed for each byte of a body. A chunk of one byte
# has five bytes of framing; 8 allows for chunk sizes with more digits.
FRAMING_BYTES_PER_BODY_BYTE = 8
# Limit in bytes for the status line and headers of a reply. The replies of
# targets have heads of a few hundred bytes. The limit bounds the memory that a
# node uses if a faulty target sends headers without end.
MAX_REPLY_HEAD_BYTES = 32 * 1_024
# Limit for the body of a reply that is relayed to a caller. The configuration
# has no setting for it.
MAX_REPLY_BYTES = 16 * 1024 * 1024
# Limit for the body of a reply of the store: JSON with a page of objects of
# about 1 MB, or with one object of up to 1 MiB.
MAX_STORE_REPLY_BYTES = 8 * 1024 * 1024
# Limit for a shard's reply to a top-k query, as a multiple of the size of
# top_k records. A reply can hold further records, which are not used.
PART_SIZE_FACTOR = 32
# Lower bound of the size limit for a shard's reply to a top-k query, which
# otherwise depends on top_k.
MIN_PART_BYTES = 64 * 1024
# Fraction of the VM's memory that received messages may take. The rest is
# needed, because a process takes some 60 MB without messages, and a body takes
# twice its size while its pieces are joined.
MESSAGE_MEMORY_FRACTION = 0.25
# Limit for all messages of a node together, used if a MessageMemory is created
# without a limit: MESSAGE_MEMORY_FRACTION of the memory of the smallest VM
# (300 MB).
DEFAULT_MESSAGE_BYTES = 75_000_000
# Fraction of the memory for messages that callers' connections may take, and
# that connections of other nodes may. The rest is for replies of targets.
CALLERS_FRACTION = 0.6
NODES_FRACTION = 0.2
# Replies of targets from this size are dropped before smaller ones. Most
# replies are smaller, and dropping one of them frees little.
MIN_LARGE_BYTES = 16 * 1024


class ExceededLimit(enum.Enum):
    """Limits that a message can exceed.

    HEAD: limit for bytes other than the body, exceeded before the headers were
    complete. FRAMING: the same limit, exceeded after the headers. BODY: limit
    for bytes of the body. NODE: memory limit for all messages of the node
    together.
    """

    HEAD = 'head'
    FRAMING = 'framing'
    BODY = 'body'
    NODE = 'node'


class MessageLimits(msgspec.Struct, frozen=True):
    """Size limits of one message.

    max_head_bytes limits all bytes outside the body: first line, headers,
    chunk framing and trailers. Each received byte of the body raises this
    limit by FRAMING_BYTES_PER_BODY_BYTE.
    """

    max_head_bytes: int = MAX_REPLY_HEAD_BYTES
    max_body_bytes: int = MAX_REPLY_BYTES


REPLY_LIMITS = MessageLimits()
STORE_LIMITS = MessageLimits(max_body_bytes=MAX_STORE_REPLY_BYTES)


def part_limits(top_k: int) -> MessageLimits:
    """Return the size limits of one shard's reply to a top-k query."""
    needed_bytes = PART_SIZE_FACTOR * top_k * RECORD_BYTES
    return MessageLimits(
        max_body_bytes=min(max(needed_bytes, MIN_PART_BYTES), MAX_REPLY_BYTES)
    )


def exceeded_limit(
    limits: MessageLimits, received: int, body: int, has_head: bool
) -> ExceededLimit | None:
    """Return which limit a message exceeds, or None.

    received counts all bytes of the message, body those of its body.
    """
    if body > limits.max_body_bytes:
        return ExceededLimit.BODY
    max_other_bytes = (
        limits.max_head_bytes + FRAMING_BYTES_PER_BODY_BYTE * body
    )
    if received - body > max_other_bytes:
        return ExceededLimit.FRAMING if has_head else ExceededLimit.HEAD
    return None


class MessageMeter:
    """Counter of the bytes of one message, which are counted on arrival.

    The message counts toward the memory limit for all messages of the node.
    on_cut is called when it must be dropped because that limit is exceeded.
    """

    __slots__ = (
        '_message_memory',
        'body',
        'held',
        'limits',
        'on_cut',
        'received',
    )

    def __init__(
        self,
        message_memory: MessageMemory,
        on_cut: typing.Callable[[], None],
        limits: MessageLimits = REPLY_LIMITS,
    ):
        self.limits = limits
        # Bytes received, including those of the body.
        self.received = 0
        # Bytes of the body received, without chunk framing.
        self.body = 0
        # Bytes of this message that count toward the node's limit.
        self.held = 0
        self.on_cut = on_cut
        self._message_memory = message_memory

    def start(self, limits: MessageLimits) -> None:
        """Start counting a new message under the given limits."""
        if self.held:
            self._message_memory.release(self)
        self.limits = limits
        self.received = 0
        self.body = 0

    def count(self, size_bytes: int) -> None:
        """Count received bytes of any kind.

        If some of them belong to the body of the message, the caller must also
        add their number to MessageMeter.body.
        """
        self.received += size_bytes
        self._message_memory.record_growth(self)

    def reset(self) -> None:
        """Stop counting this message; count the next under the same limits."""
        self.start(self.limits)

    def close(self) -> None:
        """Stop counting for good.

        The owner and its meter refer to each other, which would keep both
        until the garbage collector finds them.
        """
        self.reset()
        self.on_cut = _do_nothing

    def exceeded_limit(self, has_head: bool) -> ExceededLimit | None:
        """Return which limit the message exceeds, or None."""
        return exceeded_limit(self.limits, self.received, self.body, has_head)


def _do_nothing() -> None:
    pass


class MessageMemory:
    """Account of the memory that others can make a node hold.

    When the limit is exceeded, replies of targets are dropped. What callers
    and other nodes hold is counted in callers and nodes, which have a part of
    the limit each.
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_MESSAGE_BYTES,
        max_fds: int = DEFAULT_MAX_FDS,
    ):
        self.limit_bytes = limit_bytes
        self.callers = CallerMemory(
            int(limit_bytes * CALLERS_FRACTION), max_fds
        )
        self.nodes = NodeMemory(int(limit_bytes * NODES_FRACTION), max_fds)
        # Bytes that all replies take at present.
        self._reply_bytes = 0
        # Used as ordered sets: the message that first reached MIN_LARGE_BYTES
        # comes first in _large, the one that began first in _small.
        self._large: dict[MessageMeter, None] = {}
        self._small: dict[MessageMeter, None] = {}

    @property
    def held_bytes(self) -> int:
        """Return the bytes that replies, callers and nodes take at present."""
        others = self.callers.taken_bytes + self.nodes.taken_bytes
        return self._reply_bytes + others

    def record_growth(self, meter: MessageMeter) -> None:
        """Count the bytes of a message that are not counted yet.

        Messages are dropped until all together are within the limit.
        """
        self._reply_bytes += meter.received - meter.held
        if meter.received >= MIN_LARGE_BYTES:
            if meter.held < MIN_LARGE_BYTES:
                self._small.pop(meter, None)
                self._large[meter] = None
        elif meter.received and not meter.held:
            self._small[meter] = None
        meter.held = meter.received
        if self.held_bytes > self.limit_bytes:
            self._drop_messages()

    def release(self, meter: MessageMeter) -> None:
        """Stop counting the bytes of a message toward the node's limit."""
        self._reply_bytes -= meter.held
        meter.held = 0
        if self._small.pop(meter, meter) is meter:
            self._large.pop(meter, None)

    def _drop_messages(self) -> None:
        while self.held_bytes > self.limit_bytes and self._large:
            newer_half = list(self._large)[len(self._large) // 2 :]
            self._drop(max(newer_half, key=lambda meter: meter.held))
        if self.held_bytes <= self.limit_bytes:
            return
        # The low-water mark keeps the messages from being compared again for
        # each further byte.
        low = LOW_WATER_FRACTION * self.limit_bytes
        newest_first = sorted(
            reversed(list(self._small)[len(self._small) // 2 :]),
            key=lambda meter: meter.held,
            reverse=True,
        )
        older = reversed(list(self._small)[: len(self._small) // 2])
        for victim in (*newest_first, *older):
            if self.held_bytes <= low:
                return
            # An earlier drop may have ended it.
            if victim.held:
                self._drop(victim)

    def _drop(self, victim: MessageMeter) -> None:
        victim.on_cut()
        # The meter is reset here, because on_cut() possibly does not reset it.
        # Otherwise the dropped message would still count toward the limit.
        victim.reset()
