"""Feed the entries of this VM and take in their reports."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Stream

from .. import logs
from ..configuration import feed
from ..messages import Address
from ..types import Clock
from ..types import NodeId
from ..types import Revision

KEEPALIVE_S = 1.0
# An entry whose reports are older than this is taken for failed.
REPORT_AGE_S = 2.0
MAX_QUEUED_UPDATES = 1_000


@dataclasses.dataclass(slots=True)
class _Entry:
    report: feed.Report
    at: float


class FeedHub:
    """Serve the feed; state is sent whole at first, then as it changes.

    Entries of other VMs may follow while their own agent is gone; they are
    fed but not counted.
    """

    def __init__(
        self,
        node: NodeId,
        revision: typing.Callable[[], Revision],
        first: typing.Callable[[], list[feed.Update]],
        clock: Clock,
    ):
        self._node = node
        self._revision = revision
        self._first = first
        self._clock = clock
        self._queues: set[asyncio.Queue[feed.Update]] = set()
        self._entries: dict[tuple[str, int], _Entry] = {}
        self.on_report: typing.Callable[[feed.Report], None] = lambda _: None

    def send(self, update: feed.Update) -> None:
        """Send an update to all entries."""
        for queue in tuple(self._queues):
            if queue.qsize() >= MAX_QUEUED_UPDATES:
                # The entry is stuck; it gets the whole state once it
                # connects again.
                self._queues.discard(queue)
                continue
            queue.put_nowait(update)

    def reports(self) -> list[feed.Report]:
        """Return the recent report of each entry of this VM."""
        oldest = self._clock() - REPORT_AGE_S
        for key, entry in list(self._entries.items()):
            if entry.at < oldest:
                logs.change('entry_silent', port=entry.report.address.port)
                del self._entries[key]
        return [entry.report for entry in self._entries.values()]

    def addresses(self) -> tuple[Address, ...]:
        """Return the entries which callers may use."""
        return tuple(
            report.address
            for report in self.reports()
            if report.ready and not report.leaving
        )

    async def watch(self, stream: Stream) -> None:
        """Stream updates to one entry."""
        await stream.recv_message()
        queue: asyncio.Queue[feed.Update] = asyncio.Queue()
        for update in self._first():
            queue.put_nowait(update)
        self._queues.add(queue)
        try:
            while queue in self._queues:
                update = await self._next(queue)
                await stream.send_message(feed.UpdateEnvelope(update))
        finally:
            self._queues.discard(queue)

    async def report(self, stream: Stream) -> None:
        """Take in one entry's report."""
        report = await stream.recv_message()
        if report.node == self._node:
            key = (report.address.host, report.address.port)
            self._entries[key] = _Entry(report, self._clock())
        self.on_report(report)
        await stream.send_message(feed.ReportAck(self._revision()))

    def __mapping__(self) -> dict[str, Handler]:
        return {
            feed.WATCH: Handler(
                self.watch,
                Cardinality.UNARY_STREAM,
                feed.WatchRequest,
                feed.UpdateEnvelope,
            ),
            feed.REPORT: Handler(
                self.report,
                Cardinality.UNARY_UNARY,
                feed.Report,
                feed.ReportAck,
            ),
        }

    async def _next(self, queue: asyncio.Queue[feed.Update]) -> feed.Update:
        try:
            return await asyncio.wait_for(queue.get(), KEEPALIVE_S)
        except asyncio.TimeoutError:
            return feed.Keepalive()
