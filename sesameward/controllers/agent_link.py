"""Keep an entry fed by the agent of its VM."""

from __future__ import annotations

import asyncio
import random
import typing

from grpclib.client import Channel
from grpclib.client import UnaryStreamMethod
from grpclib.client import UnaryUnaryMethod
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from .. import feed
from .. import logs
from ..codec import MsgpackCodec
from ..messages import Address
from ..metrics import Metrics
from ..settings import Endpoint

REPORT_PERIOD_S = 0.5
REPORT_TIMEOUT_S = 2.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
# An agent which sends nothing for so long is taken for frozen.
SILENCE_S = 5.0

_LOST = (GRPCError, StreamTerminatedError, OSError, asyncio.TimeoutError)


class AgentLink:
    """Follow the agent's updates and report to it.

    The entry goes on with the last state while the agent is gone.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        address: Address,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._endpoint = endpoint
        self._address = address
        self._metrics = metrics
        self._rng = rng
        self._tasks: list[asyncio.Task] = []
        self._hurry = asyncio.Event()
        self.connected = False
        self.apply: typing.Callable[[feed.Update], None] = lambda _: None
        self.make_report: typing.Callable[[], feed.Report] | None = None

    def start(self) -> None:
        """Begin to follow and to report."""
        self._tasks = [
            asyncio.ensure_future(self._keep(self._follow)),
            asyncio.ensure_future(self._keep(self._report)),
        ]

    def hurry(self) -> None:
        """Send the next report now."""
        self._hurry.set()

    async def stop(self) -> None:
        """End both tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep(
        self, work: typing.Callable[[Channel], typing.Awaitable[None]]
    ) -> None:
        wait_s = RETRY_MIN_S
        while True:
            channel = Channel(
                self._endpoint.host,
                self._endpoint.port,
                codec=MsgpackCodec(),
            )
            began_at = asyncio.get_running_loop().time()
            try:
                await work(channel)
            except _LOST:
                self._metrics.count('agent_lost')
            finally:
                channel.close()
            lasted_s = asyncio.get_running_loop().time() - began_at
            wait_s = RETRY_MIN_S if lasted_s > RETRY_MAX_S else wait_s * 2
            wait_s = min(wait_s, RETRY_MAX_S)
            await asyncio.sleep(wait_s * self._rng.uniform(0.5, 1.0))

    async def _follow(self, channel: Channel) -> None:
        method = UnaryStreamMethod(
            channel, feed.WATCH, feed.WatchRequest, feed.UpdateEnvelope
        )
        try:
            async with method.open() as stream:
                await asyncio.wait_for(
                    stream.send_message(
                        feed.WatchRequest(self._address), end=True
                    ),
                    SILENCE_S,
                )
                while True:
                    envelope = await asyncio.wait_for(
                        stream.recv_message(), SILENCE_S
                    )
                    if envelope is None:
                        return
                    self._set_connected(True)
                    self.apply(envelope.update)
        finally:
            self._set_connected(False)

    async def _report(self, channel: Channel) -> None:
        method = UnaryUnaryMethod(
            channel, feed.REPORT, feed.Report, feed.ReportAck
        )
        while True:
            self._hurry.clear()
            report = self.make_report()
            try:
                await method(report, timeout=REPORT_TIMEOUT_S)
            except _LOST:
                self.requeue(report)
                raise
            try:
                await asyncio.wait_for(self._hurry.wait(), REPORT_PERIOD_S)
            except asyncio.TimeoutError:
                pass

    def requeue(self, report: feed.Report) -> None:
        """Keep the rumors of a lost report for the next one."""

    def _set_connected(self, connected: bool) -> None:
        if connected != self.connected:
            self.connected = connected
            logs.change('agent_link', connected=connected)
