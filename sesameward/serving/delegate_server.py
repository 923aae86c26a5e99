"""Send sub-requests to targets of this zone for nodes of other zones."""

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

# After the first result of a sub-request, this node waits this long for
# further results of the same batch, and sends all of them in one message.
FLUSH_S = 0.001


class _Batch:
    """Send the sub-requests of one batch (its items); queue their results."""

    def __init__(self, tools: Tools, ask: Ask, outbox: asyncio.Queue[Parts]):
        self._tools = tools
        self._ask = ask
        self._outbox = outbox
        self._greatest = Greatest(ask.top_k, ask.floor)
        self._marked_floors: dict[int, bytes] = {}
        self._running: dict[int, Exchange] = {}
        self._item_results: list[PartEnd] = []
        self._records: list[bytes] = []
        self._flush_timer: asyncio.TimerHandle | None = None
        self.is_wanted = True

    @property
    def is_done(self) -> bool:
        """Return True if no sub-request of the batch is still running."""
        return not self._running

    def start(self) -> None:
        """Send the sub-requests of the batch to their targets."""
        ask = self._ask
        remaining_s = ask.remaining_ms / 1_000
        identity = Identity(ask.subject, ask.body)
        tools = self._tools
        is_refused = tools.crashes.is_refused(identity, tools.clock())
        sub = SubRequest(
            ask.request_id,
            ask.route,
            ask.method,
            identity,
            ask.head,
            self._tools.clock() + remaining_s,
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
                or self._skips_silent_target(item)
            ):
                self._on_result(item, Result(End.NOT_SENT))
            else:
                exchange.begin()
        loop = asyncio.get_running_loop()
        loop.call_later(remaining_s + OVERRUN_S, self._abandon)

    def _skips_silent_target(self, item: Item) -> bool:
        # First sub-requests of a query (may_filter is True) are not sent to a
        # target that has stopped answering, because the node that asked for
        # them can use another replica at once. Hedges and retries are sent all
        # the same, because possibly no other replica is left.
        choice = self._tools.view.choice
        return self._ask.may_filter and choice.silent(
            item.target_id, self._tools.clock()
        )

    def send_all_records(self, item_no: int, floor: bytes) -> None:
        """Return for a sub-request all records that are greater than floor.

        The node that sent the batch has repeated this sub-request at another
        target, and possibly uses the reply of that target. So records of other
        sub-requests must not be dropped because this one has greater ones.
        """
        self._marked_floors[item_no] = floor

    def cancel(self) -> None:
        """Send no more results; end the open sub-requests after GONE_S.

        To end a sub-request, its connection to the target is closed. During
        the delay, replies that are nearly complete can still arrive, so that
        their connections need not be closed.
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
            self._item_results.append(
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
                item_result = PartEnd(item.no, None, signature)
            else:
                floor = self._marked_floors.get(item.no, self._ask.floor)
                item_result = PartEnd(
                    item.no, None, signature, above(body, floor)
                )
            self._item_results.append(
                msgspec.structs.replace(item_result, leaving=result.leaving)
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
        if not self._item_results:
            return
        message = Parts(
            self._ask.ask, tuple(self._item_results), b''.join(self._records)
        )
        self._item_results = []
        self._records = []
        self._outbox.put_nowait(message)


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
                    batches[batch_no].send_all_records(item_no, floor)
            case Cancel(batch_no):
                if batch_no in batches:
                    batches[batch_no].cancel()


async def _send_all(
    stream: server.Stream, outbox: asyncio.Queue[Parts]
) -> None:
    while True:
        await stream.send_message(await outbox.get())
