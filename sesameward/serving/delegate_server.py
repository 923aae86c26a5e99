"""Send sub-requests to targets of this zone on behalf of other nodes."""

from __future__ import annotations

import asyncio
import functools

from grpclib import const
from grpclib.exceptions import StreamTerminatedError
from grpclib import server
import msgspec

from .. import logs
from .attempts import End
from .byte_limits import part_limits
from .crashes import Identity
from .delegate_client import Envelope
from .delegate_client import METHOD
from .delegation import Ask
from .delegation import AskNo
from .delegation import Cancel
from .delegation import Item
from .delegation import Mark
from .delegation import PartEnd
from .delegation import Parts
from .exchange import Exchange
from .exchange import GONE_S
from .exchange import OVERRUN_S
from .exchange import Result
from .exchange import SubRequest
from .exchange import Tools
from .topk import above
from .topk import Greatest

# Results that come within this time are sent in one message.
FLUSH_S = 0.001


class _Batch:
    """Carry out one batch of sub-requests and queue its results."""

    def __init__(self, tools: Tools, ask: Ask, outbox: asyncio.Queue[Parts]):
        self._tools = tools
        self._ask = ask
        self._outbox = outbox
        self._greatest = Greatest(ask.top_k, ask.floor)
        self._marked_floors: dict[int, bytes] = {}
        self._running: dict[int, Exchange] = {}
        self._ends: list[PartEnd] = []
        self._records: list[bytes] = []
        self._flush_timer: asyncio.TimerHandle | None = None
        self.is_wanted = True

    @property
    def is_done(self) -> bool:
        """Return whether all items have a result or were abandoned."""
        return not self._running

    def start(self) -> None:
        """Send the request to the targets of all items."""
        ask = self._ask
        left_s = ask.remaining_ms / 1_000
        identity = Identity(ask.subject, ask.body)
        tools = self._tools
        is_refused = tools.crashes.is_refused(identity, tools.clock())
        sub = SubRequest(
            ask.request_id,
            ask.route,
            ask.method,
            identity,
            ask.head,
            self._tools.clock() + left_s,
            True,
            False,
            judges_silence=False,
            limits=part_limits(ask.top_k),
        )
        exchanges = [
            (
                item,
                Exchange(
                    self._tools,
                    sub,
                    item.target_id,
                    lambda: self.is_wanted,
                    functools.partial(self._on_result, item),
                ),
            )
            for item in ask.items
        ]
        self._running = {item.no: exchange for item, exchange in exchanges}
        for item, exchange in exchanges:
            target = self._tools.view.targets.get(item.target_id)
            if (
                is_refused
                or target is None
                or not tools.view.may_send(item.target_id, tools.clock())
                or self._is_silent(item)
            ):
                self._on_result(item, Result(End.NOT_SENT))
            else:
                exchange.begin()
        loop = asyncio.get_running_loop()
        loop.call_later(left_s + OVERRUN_S, self._abandon)

    def _is_silent(self, item: Item) -> bool:
        # In the first batch of a query the sender can still turn to another
        # replica at once. A hedge or retry (may_filter is false) has no other.
        choice = self._tools.view.choice
        return self._ask.may_filter and choice.silent(
            item.target_id, self._tools.clock()
        )

    def mark(self, item_no: int, floor: bytes) -> None:
        """Send all records of an item above floor, without filtering.

        The item was also sent to another target, so the filtering of other
        items must not depend on its records.
        """
        self._marked_floors[item_no] = floor

    def cancel(self) -> None:
        """Abandon the batch after GONE_S, so that replies may still end.

        That keeps the connections of sub-requests that are nearly done.
        """
        self.is_wanted = False
        asyncio.get_running_loop().call_later(GONE_S, self._abandon)

    def _abandon(self) -> None:
        self.is_wanted = False
        running = tuple(self._running.values())
        self._running.clear()
        for exchange in running:
            exchange.abandon()

    def _on_result(self, item: Item, result: Result) -> None:
        if self._running.pop(item.no, None) is None or not self.is_wanted:
            return
        if result.end is not None or result.reply is None:
            self._ends.append(
                PartEnd(
                    item.no,
                    result.end or End.FAILED,
                    leaving=result.leaving,
                    rest_s=result.rest_s,
                )
            )
        else:
            signature = result.signature or b''
            body = result.reply.body
            if self._ask.may_filter and item.no not in self._marked_floors:
                self._records.append(self._greatest.add(body))
                part = PartEnd(item.no, None, signature)
            else:
                floor = self._marked_floors.get(item.no, self._ask.floor)
                part = PartEnd(item.no, None, signature, above(body, floor))
            self._ends.append(
                msgspec.structs.replace(part, leaving=result.leaving)
            )
        if not self._running:
            self._flush()
        elif self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(FLUSH_S, self._flush)

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        if not self._ends:
            return
        parts = Parts(
            self._ask.ask, tuple(self._ends), b''.join(self._records)
        )
        self._ends = []
        self._records = []
        self._outbox.put_nowait(parts)


class DelegateHandler:
    """gRPC handler of the streams on which other nodes send batches."""

    def __init__(self, tools: Tools):
        self._tools = tools

    def __mapping__(self) -> dict[str, const.Handler]:
        """Return the methods for grpclib's Server."""
        return {
            METHOD: const.Handler(
                self._serve,
                const.Cardinality.STREAM_STREAM,
                Envelope,
                Parts,
            )
        }

    async def _serve(self, stream: server.Stream) -> None:
        outbox: asyncio.Queue[Parts] = asyncio.Queue()
        batches: dict[AskNo, _Batch] = {}
        sender = asyncio.ensure_future(_send_all(stream, outbox))
        try:
            async for envelope in stream:
                self._on_message(envelope.message, batches, outbox)
        except StreamTerminatedError as exc:
            logs.change('delegation_stream_lost', error=str(exc))
        finally:
            sender.cancel()
            for batch in batches.values():
                batch.cancel()

    def _on_message(
        self,
        message: object,
        batches: dict[AskNo, _Batch],
        outbox: asyncio.Queue[Parts],
    ) -> None:
        match message:
            case Ask(ask=batch_no):
                for done in [n for n, b in batches.items() if b.is_done]:
                    del batches[done]
                batch = batches[batch_no] = _Batch(
                    self._tools, message, outbox
                )
                batch.start()
            case Mark(batch_no, item_no, floor):
                if batch_no in batches:
                    batches[batch_no].mark(item_no, floor)
            case Cancel(batch_no):
                if batch_no in batches:
                    batches[batch_no].cancel()


async def _send_all(
    stream: server.Stream, outbox: asyncio.Queue[Parts]
) -> None:
    while True:
        await stream.send_message(await outbox.get())
