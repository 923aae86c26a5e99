"""Ask targets of this zone for other nodes."""

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

# Parts that come within this time travel in one message.
FLUSH_S = 0.001


class _Work:
    """Carry out one ask."""

    def __init__(self, tools: Tools, ask: Ask, outbox: asyncio.Queue[Parts]):
        self._tools = tools
        self._ask = ask
        self._outbox = outbox
        self._greatest = Greatest(ask.top_k, ask.floor)
        self._marked: dict[int, bytes] = {}
        self._running: dict[int, Exchange] = {}
        self._ends: list[PartEnd] = []
        self._records: list[bytes] = []
        self._flush_timer: asyncio.TimerHandle | None = None
        self.is_wanted = True

    @property
    def is_done(self) -> bool:
        """Tell whether all items have ended."""
        return not self._running

    def begin(self) -> None:
        """Ask all targets."""
        ask = self._ask
        left_s = ask.left_ms / 1_000
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
                    functools.partial(self._took, item),
                ),
            )
            for item in ask.items
        ]
        self._running = {item.no: made for item, made in exchanges}
        for item, exchange in exchanges:
            target = self._tools.view.targets.get(item.target_id)
            if (
                is_refused
                or target is None
                or not tools.view.may_send(item.target_id, tools.clock())
                or self._is_silent(item)
            ):
                self._took(item, Result(End.NOT_SENT))
            else:
                exchange.begin()
        loop = asyncio.get_running_loop()
        loop.call_later(left_s + OVERRUN_S, self._abandon)

    def _is_silent(self, item: Item) -> bool:
        # The asker can still turn to another replica at once; a repeat has
        # no other.
        choice = self._tools.view.choice
        return self._ask.filtered and choice.silent(
            item.target_id, self._tools.clock()
        )

    def mark(self, no: int, floor: bytes) -> None:
        """Let no other part rest on this one."""
        self._marked[no] = floor

    def cancel(self) -> None:
        """End soon; what is nearly done may still end by itself."""
        self.is_wanted = False
        asyncio.get_running_loop().call_later(GONE_S, self._abandon)

    def _abandon(self) -> None:
        self.is_wanted = False
        running = tuple(self._running.values())
        self._running.clear()
        for exchange in running:
            exchange.abandon()

    def _took(self, item: Item, result: Result) -> None:
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
            if self._ask.filtered and item.no not in self._marked:
                self._records.append(self._greatest.add(body))
                part = PartEnd(item.no, None, signature)
            else:
                floor = self._marked.get(item.no, self._ask.floor)
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
    """Serve the streams of other nodes."""

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
        works: dict[AskNo, _Work] = {}
        sender = asyncio.ensure_future(_send_all(stream, outbox))
        try:
            async for envelope in stream:
                self._take(envelope.message, works, outbox)
        except StreamTerminatedError as exc:
            logs.change('asker_lost', error=str(exc))
        finally:
            sender.cancel()
            for work in works.values():
                work.cancel()

    def _take(
        self,
        message: object,
        works: dict[AskNo, _Work],
        outbox: asyncio.Queue[Parts],
    ) -> None:
        match message:
            case Ask(ask=no):
                for done in [n for n, w in works.items() if w.is_done]:
                    del works[done]
                work = works[no] = _Work(self._tools, message, outbox)
                work.begin()
            case Mark(ask, no, floor):
                if ask in works:
                    works[ask].mark(no, floor)
            case Cancel(ask):
                if ask in works:
                    works[ask].cancel()


async def _send_all(
    stream: server.Stream, outbox: asyncio.Queue[Parts]
) -> None:
    while True:
        await stream.send_message(await outbox.get())
