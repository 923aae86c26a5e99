"""Find the entry which decides on a fingerprint's trials and ask it."""

from __future__ import annotations

import asyncio
import typing

import msgspec

from .. import logs
from ..exceptions import PeerUnavailableError
from ..messages import Address
from ..messages import Rumor
from ..metrics import Metrics
from ..quarantine.quarantine import Admission
from ..quarantine.quarantine import home
from ..quarantine.trials import AdmitRequest
from ..quarantine.trials import Event
from ..quarantine.trials import EventKind
from ..quarantine.trials import TrialClient
from ..types import Clock
from ..types import Fingerprint
from ..types import NodeId

HOME_TIMEOUT_S = 0.1
HOME_DOWN_S = 3.0
TELL_TIMEOUT_S = 1.0
# To more entries than this, verdicts go by gossip alone.
MAX_TOLD_ENTRIES = 32


class Homes:
    """Ask other entries; pass over one that did not answer for a while."""

    def __init__(
        self,
        own: Address,
        client: TrialClient,
        metrics: Metrics,
        clock: Clock,
    ):
        self._own = _name(own)
        self._client = client
        self._metrics = metrics
        self._clock = clock
        self._entries: dict[NodeId, Address] = {self._own: own}
        self._down_until: dict[NodeId, float] = {}
        self._untold: list[Rumor] = []
        self._tasks: set[asyncio.Task] = set()

    def take(self, addresses: typing.Iterable[Address]) -> None:
        """Take over which entries are live."""
        self._entries = {
            _name(address): address
            for address in addresses
            if address.grpc_port
        }
        self._client.keep(self._entries.values())
        for name in self._down_until.keys() - self._entries.keys():
            del self._down_until[name]

    def is_elsewhere(self, fp: Fingerprint) -> bool:
        """Tell whether another entry decides on a fingerprint."""
        return bool(self._entries) and home(fp, self._entries) != self._own

    async def admit(self, req: AdmitRequest) -> Admission | None:
        """Return the home's decision; None leaves it to this entry."""
        req = msgspec.structs.replace(req, asker=self._own)
        return await self._ask(
            req.fp, lambda address: self._admit(address, req)
        )

    async def _admit(self, address: Address, req: AdmitRequest) -> Admission:
        try:
            return await self._client.admit(address, req, HOME_TIMEOUT_S)
        except PeerUnavailableError:
            self.run(self._withdraw(address, req))
            raise

    async def _withdraw(self, address: Address, req: AdmitRequest) -> None:
        """End the trial that a home may have granted after the time for it.

        Equal requests would wait for it, and nobody here will end it.
        """
        event = Event(EventKind.ENDED, req.fp, asker=req.asker)
        try:
            await self._client.report(address, event, TELL_TIMEOUT_S)
            self._metrics.count('trials_withdrawn')
        except PeerUnavailableError as exc:
            # Such a trial ends after the time for trials.
            self._metrics.count('trials_withdrawn', 'unreachable')
            logs.change(
                'trial_not_withdrawn', fingerprint=req.fp, error=str(exc)
            )

    async def report(self, event: Event) -> tuple[Rumor, ...] | None:
        """Return the home's verdicts; None leaves it to this entry."""
        return await self._ask(
            event.fp,
            lambda address: self._client.report(
                address, event, HOME_TIMEOUT_S
            ),
        )

    def tell(self, rumor: Rumor) -> None:
        """Push a verdict to the other entries, unless they are many."""
        if len(self._entries) > MAX_TOLD_ENTRIES:
            self._metrics.count('verdicts_untold', 'many_entries')
            return
        if not self._untold:
            asyncio.get_running_loop().call_soon(self._tell_all)
        self._untold.append(rumor)

    def run(self, work: typing.Coroutine) -> None:
        """Run some work in the background until close()."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """End all work and close the connections."""
        for task in self._tasks:
            task.cancel()
        self._client.close()

    async def _ask(
        self,
        fp: Fingerprint,
        ask: typing.Callable[[Address], typing.Awaitable],
    ) -> typing.Any:
        name = self._find(fp)
        if name is None or name == self._own:
            return None
        if name in self._down_until:
            # Only this request waits to see whether it is back.
            self._down_until[name] = self._clock() + HOME_DOWN_S
        try:
            reply = await ask(self._entries[name])
        except PeerUnavailableError as exc:
            self._set_down(name, exc)
            return None
        if self._down_until.pop(name, None) is not None:
            logs.change('home_back', entry=name)
        return reply

    def _find(self, fp: Fingerprint) -> NodeId | None:
        if not self._entries:
            return None
        first = home(fp, self._entries)
        now = self._clock()
        if self._down_until.get(first, 0.0) <= now:
            return first
        self._metrics.count('home_fallbacks', 'down')
        up = [n for n in self._entries if self._down_until.get(n, 0.0) <= now]
        return home(fp, up) if up else None

    def _set_down(self, name: NodeId, exc: PeerUnavailableError) -> None:
        is_late = isinstance(exc.__cause__, asyncio.TimeoutError)
        reason = 'timeout' if is_late else 'unreachable'
        self._metrics.count('home_fallbacks', reason)
        if name not in self._down_until:
            logs.change('home_down', entry=name, reason=reason)
        if name in self._entries:
            self._down_until[name] = self._clock() + HOME_DOWN_S

    def _tell_all(self) -> None:
        rumors = tuple(self._untold)
        self._untold.clear()
        for name, address in self._entries.items():
            if name != self._own:
                self.run(self._tell(address, rumors))

    async def _tell(self, address: Address, rumors: tuple[Rumor, ...]) -> None:
        try:
            await self._client.tell(address, rumors, TELL_TIMEOUT_S)
        except PeerUnavailableError:
            # It hears of them by gossip.
            self._metrics.count('verdicts_untold', 'unreachable')


def _name(address: Address) -> NodeId:
    """Name an entry; a VM may run several."""
    return NodeId(f'{address.node}:{address.port}')
