"""Queue of the results that a helper node sends to another node.

Load pattern: the other node reads slowly while targets reply to it. The
replies count toward the memory for messages. When they exceed it, the largest
are dropped and their sub-requests reported as failed. What is left then, the
results themselves, counts for the connection.
"""

from __future__ import annotations

import asyncio

import msgspec

from ..metrics import Metrics
from .attempts import SubRequestFailure
from .byte_limits import MessageMemory
from .byte_limits import MessageMeter
from .delegation import BatchResults
from .delegation import ItemResult
from .peer_connections import Source

# Memory that a message takes without the replies in it, and that each result
# and each figure of a target's load takes.
MESSAGE_BYTES = 1_024
RESULT_BYTES = 256


class _Entry:
    """One message that waits, with the meter of its size.

    own_bytes is the memory that it takes without replies.
    """

    def __init__(
        self, message: BatchResults, memory: MessageMemory, metrics: Metrics
    ):
        self.message = message
        self.own_bytes = MESSAGE_BYTES + RESULT_BYTES * (
            len(message.item_results) + len(message.figures)
        )
        self.meter = MessageMeter(memory, self._drop_replies)
        self._metrics = metrics

    def _drop_replies(self) -> None:
        """Report the sub-requests of this message as failed.

        FAILED says that the targets possibly ran them.
        """
        self._metrics.count('messages_cut', 'helper')
        self.message = msgspec.structs.replace(
            self.message,
            item_results=tuple(
                ItemResult(
                    item.no,
                    item.end or SubRequestFailure.FAILED,
                    leaving=item.leaving,
                    rest_s=item.rest_s,
                    no_permit_s=item.no_permit_s,
                    no_links=item.no_links,
                )
                for item in self.message.item_results
            ),
            records=b'',
        )


class ResultOutbox:
    """Results for one node, which wait until it has read earlier ones."""

    def __init__(
        self,
        memory: MessageMemory,
        metrics: Metrics,
        source: Source | None = None,
    ):
        self._source = source
        self._memory = memory
        self._metrics = metrics
        self._queue: asyncio.Queue[_Entry] = asyncio.Queue()
        # The entry whose message is being sent.
        self._sent: _Entry | None = None

    def put_nowait(self, message: BatchResults) -> None:
        """Queue a message and count its size."""
        entry = _Entry(message, self._memory, self._metrics)
        size_bytes = _size_bytes(message)
        if size_bytes:
            entry.meter.count(size_bytes)
        self._hold(entry.own_bytes)
        self._queue.put_nowait(entry)

    async def get(self) -> BatchResults:
        """Return the next message; it counts until the next call."""
        self._release_sent()
        self._sent = await self._queue.get()
        return self._sent.message

    def close(self) -> None:
        """Drop all messages, because the other node is gone."""
        self._release_sent()
        while not self._queue.empty():
            self._release(self._queue.get_nowait())

    def _release_sent(self) -> None:
        if self._sent is not None:
            self._release(self._sent)
            self._sent = None

    def _release(self, entry: _Entry) -> None:
        entry.meter.close()
        self._hold(-entry.own_bytes)

    def _hold(self, size_bytes: int) -> None:
        if self._source is not None:
            self._source.hold(size_bytes)


def _size_bytes(message: BatchResults) -> int:
    size = len(message.records)
    for item in message.item_results:
        size += len(item.whole or b'') + len(item.signature)
        if item.reply is not None:
            size += len(item.reply.body)
    return size
