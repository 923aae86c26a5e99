"""Connect an entry to the agent of its VM, or to another VM's agent."""

from __future__ import annotations

import asyncio
import random
import typing

from grpclib.client import UnaryStreamMethod
from grpclib.client import UnaryUnaryMethod
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from .. import logs
from ..channels import Channel
from ..codec import MsgpackCodec
from ..configuration import feed
from ..messages import Address
from ..metrics import Metrics
from ..settings import Endpoint

REPORT_PERIOD_S = 0.5
REPORT_TIMEOUT_S = 2.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
# An agent that sends nothing on the stream of updates for this long counts as
# hung, because a running agent sends keepalives more often.
AGENT_SILENCE_TIMEOUT_S = 3.0
# How long the entry gets updates from another VM's agent before it tries the
# agent of its own VM again.
FALLBACK_AGENT_MAX_S = 10.0

_CONNECTION_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
)

ChannelWork = typing.Callable[[Channel], typing.Awaitable[None]]


class AgentLink:
    """Receive updates from an agent and send it the entry's reports.

    If the agent of the entry's own VM fails, the entry tries an agent of
    another VM, then its own again, and so on. While no agent answers, the
    entry works with the last state that it received.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        address: Address,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._own_agent = endpoint
        self._current_agent = endpoint
        self._fallback_agents: tuple[Endpoint, ...] = ()
        self._address = address
        self._metrics = metrics
        self._rng = rng
        self._tasks: list[asyncio.Task] = []
        self._report_due = asyncio.Event()
        self.connected = False
        # Callbacks, which the entry sets: apply gets each update, and acked
        # the agent's reply to each report that make_report returned. requeue
        # gets a report that was not delivered, so that its rumors are sent
        # with a later report.
        self.on_update: typing.Callable[[feed.Update], None] = lambda _: None
        self.on_ack: typing.Callable[[feed.ReportAck], None] = lambda _: None
        self.make_report: typing.Callable[[], feed.Report] | None = None
        self.requeue: typing.Callable[[feed.Report], None] = lambda _: None

    @property
    def uses_fallback_agent(self) -> bool:
        """Return whether the agent in use is that of another VM."""
        return self._current_agent != self._own_agent

    def start(self) -> None:
        """Start the tasks that receive updates and send reports."""
        self._tasks = [
            asyncio.ensure_future(self._receive_with_retries()),
            asyncio.ensure_future(self._report_with_retries()),
        ]
        for task in self._tasks:
            logs.log_failure(task)

    def set_fallback_agents(self, agents: tuple[Endpoint, ...]) -> None:
        """Set the other VMs' agents, to be used if this VM's agent fails."""
        self._fallback_agents = agents

    def report_now(self) -> None:
        """Send the next report now instead of after the report period."""
        self._report_due.set()

    async def stop(self) -> None:
        """Cancel the tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _receive_with_retries(self) -> None:
        wait_s = RETRY_MIN_S
        while True:
            duration_s = await self._run_on_channel(
                self._current_agent, self._receive_updates
            )
            wait_s = self._next_wait_s(wait_s, duration_s)
            self._choose_agent()
            await asyncio.sleep(wait_s * self._rng.uniform(0.5, 1.0))

    async def _report_with_retries(self) -> None:
        wait_s = RETRY_MIN_S
        while True:
            duration_s = await self._run_on_channel(
                self._current_agent, self._send_reports
            )
            wait_s = self._next_wait_s(wait_s, duration_s)
            await asyncio.sleep(wait_s * self._rng.uniform(0.5, 1.0))

    def _next_wait_s(self, wait_s: float, duration_s: float) -> float:
        if duration_s > RETRY_MAX_S:
            return RETRY_MIN_S
        return min(wait_s * 2, RETRY_MAX_S)

    def _choose_agent(self) -> None:
        if self.uses_fallback_agent or not self._fallback_agents:
            self._current_agent = self._own_agent
            return
        self._current_agent = self._rng.choice(self._fallback_agents)
        self._metrics.count('agent_fallbacks')

    async def _run_on_channel(
        self, endpoint: Endpoint, work: ChannelWork
    ) -> float:
        """Run work on a new connection; return how many seconds it took.

        Connection errors end the work; they are counted and not raised.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        channel = Channel(endpoint.host, endpoint.port, codec=MsgpackCodec())
        try:
            await work(channel)
        except _CONNECTION_ERRORS:
            self._metrics.count('agent_lost')
        finally:
            channel.close()
        return loop.time() - started_at

    async def _receive_updates(self, channel: Channel) -> None:
        loop = asyncio.get_running_loop()
        use_until = (
            loop.time() + FALLBACK_AGENT_MAX_S
            if self.uses_fallback_agent
            else float('inf')
        )
        method = UnaryStreamMethod(
            channel, feed.WATCH_METHOD, feed.WatchRequest, feed.UpdateEnvelope
        )
        request = feed.WatchRequest(self._address)
        try:
            async with asyncio.timeout(AGENT_SILENCE_TIMEOUT_S):
                stream = await method.open().__aenter__()
                await stream.send_message(request, end=True)
            while loop.time() < use_until:
                async with asyncio.timeout(AGENT_SILENCE_TIMEOUT_S):
                    envelope = await stream.recv_message()
                if envelope is None:
                    return
                self._set_connected(True)
                self.on_update(envelope.update)
        finally:
            self._set_connected(False)

    async def _send_reports(self, channel: Channel) -> None:
        method = UnaryUnaryMethod(
            channel, feed.REPORT_METHOD, feed.Report, feed.ReportAck
        )
        reporting_to = self._current_agent
        while reporting_to == self._current_agent:
            self._report_due.clear()
            report = self.make_report()
            try:
                ack = await method(report, timeout=REPORT_TIMEOUT_S)
            except _CONNECTION_ERRORS:
                self.requeue(report)
                raise
            self.on_ack(ack)
            try:
                await asyncio.wait_for(
                    self._report_due.wait(), REPORT_PERIOD_S
                )
            except asyncio.TimeoutError:
                pass

    def _set_connected(self, connected: bool) -> None:
        if connected != self.connected:
            self.connected = connected
            logs.log_event(
                'agent_link',
                connected=connected,
                agent=str(self._current_agent),
                guest=self.uses_fallback_agent,
            )
