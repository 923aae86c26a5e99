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
# An entry whose latest report is older than this counts as failed, so callers
# no longer get its address.
REPORT_MAX_AGE_S = 2.0
MAX_QUEUED_UPDATES = 1_000


@dataclasses.dataclass(slots=True)
class _LatestReport:
    """Hold the latest report of an entry and the time when it arrived."""

    report: feed.Report
    at: float


class FeedHub:
    """Stream the agent's state to entries and receive their reports.

    Entries of other VMs connect to this agent while their own is down. They
    get updates too, but reports() leaves them out.
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
        # Callback for each report, including those of other VMs' entries. The
        # agent sets it.
        self.on_report: typing.Callable[[feed.Report], None] = lambda _: None

    def send(self, update: feed.Update) -> None:
        """Queue an update for each connected entry."""
        for queue in tuple(self._queues):
            if queue.qsize() >= MAX_QUEUED_UPDATES:
                # The entry reads its stream too slowly, so end the stream. The
                # entry gets the whole state when it connects again.
                self._queues.discard(queue)
                continue
            queue.put_nowait(update)

    def reports(self) -> list[feed.Report]:
        """Return the latest report of each entry of this VM.

        Entries without a report in the last REPORT_MAX_AGE_S are left out.
        """
        min_received_at = self._clock() - REPORT_MAX_AGE_S
        for key, latest in list(self._latest_reports.items()):
            if latest.at < min_received_at:
                logs.log_event('entry_silent', port=latest.report.address.port)
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
        """Handle an entry's report; reply with the agent's revision."""
        report = await stream.recv_message()
        if report.node == self._node:
            key = (report.address.host, report.address.port)
            self._latest_reports[key] = _LatestReport(report, self._clock())
        self.on_report(report)
        await stream.send_message(feed.ReportAck(self._revision()))

    def __mapping__(self) -> dict[str, Handler]:
        return {
            feed.WATCH_METHOD: Handler(
                self.watch,
                Cardinality.UNARY_STREAM,
                feed.WatchRequest,
                feed.UpdateEnvelope,
            ),
            feed.REPORT_METHOD: Handler(
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
