"""Limit the memory that received HTTP messages take on a node.

A target, a caller or the store may send an endless stream: header lines, one
header, chunk extensions, trailers, interim replies or a body. Each message
therefore has a limit for its body and another for all its other bytes. Bytes
are counted as they arrive, because the parser reports a header only once it
is complete.

Many peers may send large messages at once. All messages of a node share one
limit; when it is exceeded, the largest message of the newer half is dropped,
since most of the older ones have been answered in part already.
"""

from __future__ import annotations

import enum
import typing

import msgspec

from .topk import RECORD_BYTES

# Allowance for the parts of a head that are no header fields: the request or
# status line, and line ends.
FIRST_LINE_BYTES = 4_096
# A chunk of one byte has five bytes of framing; 8 allows for longer chunk
# sizes.
FRAMING_BYTES_PER_BODY_BYTE = 8
# Status line and headers of a reply; targets send a few hundred bytes.
MAX_REPLY_HEAD_BYTES = 32 * 1_024
# Body of a reply that is relayed to a caller; the configuration has no limit
# for it.
MAX_REPLY_BYTES = 16 * 1024 * 1024
# Body of a reply of the store: a page of about 1 MB, or a single object of
# 1 MiB, encoded as JSON.
MAX_STORE_REPLY_BYTES = 8 * 1024 * 1024
# Limit of a shard's part of a top-k result, as a multiple of the size of the
# records that can be used; a part may hold other records too.
PART_SIZE_FACTOR = 32
MIN_PART_BYTES = 64 * 1024
# Fraction of the VM's memory that messages may take. A process takes some
# 60 MB without them, and joining the pieces of a body briefly doubles it.
MESSAGE_PART = 0.25
# Default limit of a node's messages: a quarter of the memory of the smallest
# VM (300 MB).
DEFAULT_MESSAGE_BYTES = 75_000_000
# Messages smaller than this don't count toward the node's limit; the number of
# connections bounds their memory.
MIN_COUNTED_BYTES = 16 * 1024


class Excess(enum.Enum):
    """Name the limit that a message exceeded.

    NODE is the limit of all messages of the node together.
    """

    HEAD = 'head'
    FRAMING = 'framing'
    BODY = 'body'
    NODE = 'node'


class MessageLimits(msgspec.Struct, frozen=True):
    """Size limits of one message.

    max_head_bytes is for everything outside the body: first line, headers,
    chunk framing and trailers. Each received byte of the body adds
    FRAMING_BYTES_PER_BODY_BYTE to it.
    """

    max_head_bytes: int = MAX_REPLY_HEAD_BYTES
    max_body_bytes: int = MAX_REPLY_BYTES


REPLY_LIMITS = MessageLimits()
STORE_LIMITS = MessageLimits(max_body_bytes=MAX_STORE_REPLY_BYTES)


def part_limits(top_k: int) -> MessageLimits:
    """Return the size limits of one shard's part of a top-k result."""
    needed_bytes = PART_SIZE_FACTOR * top_k * RECORD_BYTES
    return MessageLimits(
        max_body_bytes=min(max(needed_bytes, MIN_PART_BYTES), MAX_REPLY_BYTES)
    )


class MessageMeter:
    """Count the bytes of one message as they arrive.

    A message of at least MIN_COUNTED_BYTES counts toward the node's limit,
    and on_cut is called when it must be dropped to keep that limit. Smaller
    messages are bounded by the number of connections.
    """

    __slots__ = ('_ledger', 'body', 'held', 'limits', 'on_cut', 'received')

    def __init__(
        self,
        ledger: Ledger,
        on_cut: typing.Callable[[], None],
        limits: MessageLimits = REPLY_LIMITS,
    ):
        self.limits = limits
        # Bytes received, those of the body among them, and the bytes that
        # count toward the node's limit.
        self.received = 0
        self.body = 0
        self.held = 0
        self.on_cut = on_cut
        self._ledger = ledger

    def start(self, limits: MessageLimits) -> None:
        """Start counting a new message under the given limits."""
        if self.held:
            self._ledger.release(self)
        self.limits = limits
        self.received = 0
        self.body = 0

    def count(self, size_bytes: int) -> None:
        """Count received bytes.

        The caller adds those of the body to body as well.
        """
        self.received += size_bytes
        if self.received >= MIN_COUNTED_BYTES:
            self._ledger.record_growth(self)

    def reset(self) -> None:
        """Stop counting the message; start a new one under the same limits."""
        self.start(self.limits)

    def exceeded_limit(self, has_head: bool) -> Excess | None:
        """Return which limit the message exceeds, or None."""
        if self.body > self.limits.max_body_bytes:
            return Excess.BODY
        max_other_bytes = (
            self.limits.max_head_bytes
            + FRAMING_BYTES_PER_BODY_BYTE * self.body
        )
        if self.received - self.body > max_other_bytes:
            return Excess.FRAMING if has_head else Excess.HEAD
        return None


class Ledger:
    """Keep the memory of a node's large messages within a limit."""

    def __init__(self, limit_bytes: int = DEFAULT_MESSAGE_BYTES):
        self.limit_bytes = limit_bytes
        # Bytes of all large messages.
        self.held = 0
        # Used as an ordered set: the message that first reached
        # MIN_COUNTED_BYTES comes first.
        self._large: dict[MessageMeter, None] = {}

    def record_growth(self, meter: MessageMeter) -> None:
        """Add a message's new bytes.

        Messages are dropped until all together are within the limit.
        """
        self.held += meter.received - meter.held
        meter.held = meter.received
        self._large.setdefault(meter)
        while self.held > self.limit_bytes and self._large:
            self._drop_largest_recent()

    def release(self, meter: MessageMeter) -> None:
        """Stop counting a message's bytes."""
        self.held -= meter.held
        meter.held = 0
        self._large.pop(meter, None)

    def _drop_largest_recent(self) -> None:
        newer_half = list(self._large)[len(self._large) // 2 :]
        victim = max(newer_half, key=lambda meter: meter.held)
        victim.on_cut()
        # on_cut() may have reset the meter already; make sure that the
        # message no longer counts.
        victim.reset()
