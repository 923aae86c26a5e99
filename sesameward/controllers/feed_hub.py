"""Stream updates to the entries of this VM and collect their reports."""

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

KEEPALIVE_PERIOD_S = 1.0
# An entry whose latest report is older than this counts as failed.
REPORT_MAX_AGE_S = 2.0
MAX_QUEUED_UPDATES = 1_000


@dataclasses.dataclass(slots=True)
class _LatestReport:
    """Hold the latest report of an entry and the time when it arrived."""

    report: feed.Report
    at: float


class FeedHub:
    """Stream the state to entries, whole at first, and take their reports.

    Entries of other VMs may connect while their own agent is down. They get
    updates too, but their reports don't count as those of this VM's entries.
    """

    def __init__(
        self,
        node: NodeId,
        revision: typing.Callable[[], Revision],
        initial_updates: typing.Callable[[], list[feed.Update]],
        clock: Clock,
    ):
        self._node = node
        self._revision = revision
        self._initial_updates = initial_updates
        self._clock = clock
        self._queues: set[asyncio.Queue[feed.Update]] = set()
        self._latest_reports: dict[tuple[str, int], _LatestReport] = {}
        # Gets each report, also from entries of other VMs; the agent sets it.
        self.on_report: typing.Callable[[feed.Report], None] = lambda _: None

    def send(self, update: feed.Update) -> None:
        """Queue an update for each connected entry."""
        for queue in tuple(self._queues):
            if queue.qsize() >= MAX_QUEUED_UPDATES:
                # The entry doesn't read its stream. End the stream; the entry
                # gets the whole state when it connects again.
                self._queues.discard(queue)
                continue
            queue.put_nowait(update)

    def reports(self) -> list[feed.Report]:
        """Return the latest reports of this VM's entries; drop failed ones."""
        min_received_at = self._clock() - REPORT_MAX_AGE_S
        for key, latest in list(self._latest_reports.items()):
            if latest.at < min_received_at:
                logs.change('entry_silent', port=latest.report.address.port)
                del self._latest_reports[key]
        return [latest.report for latest in self._latest_reports.values()]

    def addresses(self) -> tuple[Address, ...]:
        """Return the addresses of this VM's entries that callers may use."""
        return tuple(
            report.address
            for report in self.reports()
            if report.ready and not report.leaving
        )

    async def watch(self, stream: Stream) -> None:
        """Stream the whole state and then each update to one entry."""
        await stream.recv_message()
        queue: asyncio.Queue[feed.Update] = asyncio.Queue()
        for update in self._initial_updates():
            queue.put_nowait(update)
        self._queues.add(queue)
        try:
            while queue in self._queues:
                update = await self._next_update(queue)
                await stream.send_message(feed.UpdateEnvelope(update))
        finally:
            self._queues.discard(queue)

    async def report(self, stream: Stream) -> None:
        """Handle one entry's report; reply with the revision in force."""
        report = await stream.recv_message()
        if report.node == self._node:
            key = (report.address.host, report.address.port)
            self._latest_reports[key] = _LatestReport(report, self._clock())
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

    async def _next_update(
        self, queue: asyncio.Queue[feed.Update]
    ) -> feed.Update:
        try:
            return await asyncio.wait_for(queue.get(), KEEPALIVE_PERIOD_S)
        except asyncio.TimeoutError:
            return feed.Keepalive()
