"""Bound the bytes that others can make a node hold.

Load pattern: targets, callers or the store send bytes that are no message,
without end: header lines, one header, chunk extensions, trailers, interim
answers or a body. Each message has a bound for its body and one for all bytes
beside it, counted as they arrive; a parser tells of a header only once it is
whole.

Load pattern: many of them send large messages at once. All messages of a node
share one bound; beyond it the largest of the newest half is cut, since older
ones have mostly been answered in part already.
"""

from __future__ import annotations

import enum
import typing

import msgspec

from .topk import RECORD_BYTES

# A head beside its fields: the first line, and line ends.
FIRST_LINE_BYTES = 4_096
# Chunks of one byte take five more each; 8 leaves room for longer sizes.
FRAMING_PER_BODY_BYTE = 8
# A target's head has a few hundred bytes.
MAX_REPLY_HEAD_BYTES = 32 * 1_024
# A reply that is passed on; the configuration has no bound for it.
MAX_REPLY_BYTES = 16 * 1024 * 1024
# A page of the store's objects: about 1 MB, or one object of 1 MiB, as JSON.
MAX_STORE_REPLY_BYTES = 8 * 1024 * 1024
# A part holds the greatest records and others; 32 times what can be used.
PART_FACTOR = 32
MIN_PART_BYTES = 64 * 1024
# Part of the VM's memory that messages may take. A process takes some 60 MB
# without them, and joining a body holds it twice for a moment.
MESSAGE_PART = 0.25
# A quarter of the smallest VM's memory (300 MB).
DEFAULT_MESSAGE_BYTES = 75_000_000
# Smaller messages are bounded by the number of connections alone.
MIN_CUT_BYTES = 16 * 1024


class Excess(enum.Enum):
    """Say which bound a message broke."""

    HEAD = 'head'
    FRAMING = 'framing'
    BODY = 'body'
    NODE = 'node'


class MessageLimits(msgspec.Struct, frozen=True):
    """Bound one message; head_bytes also bounds what frames its body."""

    head_bytes: int = MAX_REPLY_HEAD_BYTES
    body_bytes: int = MAX_REPLY_BYTES


REPLY_LIMITS = MessageLimits()
STORE_LIMITS = MessageLimits(body_bytes=MAX_STORE_REPLY_BYTES)


def part_limits(top_k: int) -> MessageLimits:
    """Return the bounds of one shard's part of the greatest records."""
    needed = PART_FACTOR * top_k * RECORD_BYTES
    return MessageLimits(
        body_bytes=min(max(needed, MIN_PART_BYTES), MAX_REPLY_BYTES)
    )


class MessageMeter:
    """Count the bytes of one message as they arrive.

    What is smaller than MIN_CUT_BYTES is not held against the node's bound:
    it is bounded by the number of connections, and costs nothing here.
    """

    __slots__ = ('_ledger', 'body', 'cut', 'held', 'limits', 'received')

    def __init__(
        self,
        ledger: Ledger,
        cut: typing.Callable[[], None],
        limits: MessageLimits = REPLY_LIMITS,
    ):
        self.limits = limits
        self.received = 0
        self.body = 0
        self.held = 0
        self.cut = cut
        self._ledger = ledger

    def begin(self, limits: MessageLimits) -> None:
        """Count a new message."""
        if self.held:
            self._ledger.release(self)
        self.limits = limits
        self.received = 0
        self.body = 0

    def take(self, size: int) -> None:
        """Take in that bytes have arrived; body counts its part of them."""
        self.received += size
        if self.received >= MIN_CUT_BYTES:
            self._ledger.hold(self)

    def end(self) -> None:
        """Stop holding the message; count anew under the same bounds."""
        self.begin(self.limits)

    def excess(self, has_head: bool) -> Excess | None:
        """Return the bound that the message breaks."""
        if self.body > self.limits.body_bytes:
            return Excess.BODY
        most = self.limits.head_bytes + FRAMING_PER_BODY_BYTE * self.body
        if self.received - self.body > most:
            return Excess.FRAMING if has_head else Excess.HEAD
        return None


class Ledger:
    """Hold the bytes of all large messages that a node has in memory."""

    def __init__(self, limit_bytes: int = DEFAULT_MESSAGE_BYTES):
        self.limit_bytes = limit_bytes
        self.held = 0
        # In the order in which they grew large, oldest first.
        self._large: dict[MessageMeter, None] = {}

    def hold(self, meter: MessageMeter) -> None:
        """Add what a message grew by; cut some where all are too large."""
        self.held += meter.received - meter.held
        meter.held = meter.received
        self._large.setdefault(meter)
        while self.held > self.limit_bytes and self._large:
            self._cut_one()

    def release(self, meter: MessageMeter) -> None:
        """Drop a message's bytes."""
        self.held -= meter.held
        meter.held = 0
        self._large.pop(meter, None)

    def _cut_one(self) -> None:
        newest = list(self._large)[len(self._large) // 2 :]
        victim = max(newest, key=lambda meter: meter.held)
        victim.cut()
        # Whatever cut() did, the message no longer counts.
        victim.end()
