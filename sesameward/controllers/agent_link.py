"""Keep an entry fed by the agent of its VM, or by another one."""

from __future__ import annotations

import asyncio
import random
import typing

from grpclib.client import Channel
from grpclib.client import UnaryStreamMethod
from grpclib.client import UnaryUnaryMethod
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from .. import logs
from ..codec import MsgpackCodec
from ..configuration import feed
from ..messages import Address
from ..metrics import Metrics
from ..settings import Endpoint

REPORT_PERIOD_S = 0.5
REPORT_TIMEOUT_S = 2.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
# An agent which sends nothing for so long is taken for frozen.
SILENCE_S = 3.0
# How long another agent is followed before the own one is tried again.
GUEST_S = 10.0

_LOST = (GRPCError, StreamTerminatedError, OSError, asyncio.TimeoutError)

Work = typing.Callable[[Channel], typing.Awaitable[None]]


class AgentLink:
    """Follow an agent's updates and report to it.

    The entry goes on with the last state while no agent answers.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        address: Address,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._own = endpoint
        self._followed = endpoint
        self._others: tuple[Endpoint, ...] = ()
        self._address = address
        self._metrics = metrics
        self._rng = rng
        self._tasks: list[asyncio.Task] = []
        self._hurry = asyncio.Event()
        self.connected = False
        self.apply: typing.Callable[[feed.Update], None] = lambda _: None
        self.acked: typing.Callable[[feed.ReportAck], None] = lambda _: None
        self.make_report: typing.Callable[[], feed.Report] | None = None
        self.requeue: typing.Callable[[feed.Report], None] = lambda _: None

    @property
    def is_guest(self) -> bool:
        """Tell whether the agent of another VM is followed."""
        return self._followed != self._own

    def start(self) -> None:
        """Begin to follow and to report."""
        self._tasks = [
            asyncio.ensure_future(self._keep_following()),
            asyncio.ensure_future(self._keep_reporting()),
        ]
        for task in self._tasks:
            logs.watch(task)

    def set_others(self, others: tuple[Endpoint, ...]) -> None:
        """Replace the agents to follow while the own one is gone."""
        self._others = others

    def hurry(self) -> None:
        """Send the next report now."""
        self._hurry.set()

    async def stop(self) -> None:
        """End both tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep_following(self) -> None:
        wait_s = RETRY_MIN_S
        while True:
            lasted_s = await self._use(self._followed, self._follow)
            wait_s = self._next_wait_s(wait_s, lasted_s)
            self._choose_next()
            await asyncio.sleep(wait_s * self._rng.uniform(0.5, 1.0))

    async def _keep_reporting(self) -> None:
        wait_s = RETRY_MIN_S
        while True:
            lasted_s = await self._use(self._followed, self._report)
            wait_s = self._next_wait_s(wait_s, lasted_s)
            await asyncio.sleep(wait_s * self._rng.uniform(0.5, 1.0))

    def _next_wait_s(self, wait_s: float, lasted_s: float) -> float:
        if lasted_s > RETRY_MAX_S:
            return RETRY_MIN_S
        return min(wait_s * 2, RETRY_MAX_S)

    def _choose_next(self) -> None:
        if self.is_guest or not self._others:
            self._followed = self._own
            return
        self._followed = self._rng.choice(self._others)
        self._metrics.count('agent_fallbacks')

    async def _use(self, endpoint: Endpoint, work: Work) -> float:
        """Work over one channel until it fails; return how long it did."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        channel = Channel(endpoint.host, endpoint.port, codec=MsgpackCodec())
        try:
            await work(channel)
        except _LOST:
            self._metrics.count('agent_lost')
        finally:
            channel.close()
        return loop.time() - began_at

    async def _follow(self, channel: Channel) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + GUEST_S if self.is_guest else float('inf')
        method = UnaryStreamMethod(
            channel, feed.WATCH, feed.WatchRequest, feed.UpdateEnvelope
        )
        request = feed.WatchRequest(self._address)
        try:
            async with asyncio.timeout(SILENCE_S):
                stream = await method.open().__aenter__()
                await stream.send_message(request, end=True)
            while loop.time() < until:
                async with asyncio.timeout(SILENCE_S):
                    envelope = await stream.recv_message()
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
        followed = self._followed
        while followed == self._followed:
            self._hurry.clear()
            report = self.make_report()
            try:
                ack = await method(report, timeout=REPORT_TIMEOUT_S)
            except _LOST:
                self.requeue(report)
                raise
            self.acked(ack)
            try:
                await asyncio.wait_for(self._hurry.wait(), REPORT_PERIOD_S)
            except asyncio.TimeoutError:
                pass

    def _set_connected(self, connected: bool) -> None:
        if connected != self.connected:
            self.connected = connected
            logs.change(
                'agent_link',
                connected=connected,
                agent=str(self._followed),
                guest=self.is_guest,
            )
