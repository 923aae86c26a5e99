"""Call the home of a fingerprint: the entry that decides on its trials.

A trial sends a request that may crash targets to a single target first.
"""

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
from ..quarantine.trials import EventKind
from ..quarantine.trials import TrialClient
from ..quarantine.trials import TrialEvent
from ..types import Clock
from ..types import Fingerprint
from ..types import NodeId

HOME_TIMEOUT_S = 0.1
# An entry that did not answer is not chosen as a home for this long.
HOME_RETRY_AFTER_S = 3.0
# Time-out of background calls to other entries, for which no request waits.
BACKGROUND_CALL_TIMEOUT_S = 1.0
# With more live entries than this, verdicts on requests are not pushed to each
# entry; only gossip spreads them.
MAX_PUSH_ENTRIES = 32


class FingerprintHomes:
    """Call the homes of fingerprints and push verdicts to other entries.

    A verdict is a rumor about a fingerprint: that its requests may crash
    targets, or that it is cleared. If an entry does not answer, another entry
    is the home of its fingerprints for HOME_RETRY_AFTER_S.
    """

    def __init__(
        self,
        own: Address,
        client: TrialClient,
        metrics: Metrics,
        clock: Clock,
    ):
        self._own_id = _entry_id(own)
        self._client = client
        self._metrics = metrics
        self._clock = clock
        self._entries: dict[NodeId, Address] = {self._own_id: own}
        self._down_until: dict[NodeId, float] = {}
        self._pending_verdicts: list[Rumor] = []
        self._tasks: set[asyncio.Task] = set()

    def set_live_entries(self, addresses: typing.Iterable[Address]) -> None:
        """Set the live entries and close the connections to all others."""
        self._entries = {
            _entry_id(address): address
            for address in addresses
            if address.grpc_port
        }
        self._client.close_others(self._entries.values())
        for entry_id in self._down_until.keys() - self._entries.keys():
            del self._down_until[entry_id]

    def is_decided_elsewhere(self, fp: Fingerprint) -> bool:
        """Return whether another entry is the home of a fingerprint."""
        return bool(self._entries) and home(fp, self._entries) != self._own_id

    async def admit(self, req: AdmitRequest) -> Admission | None:
        """Return the home's decision on how a request may be sent.

        Return None if this entry must decide, because it is the home or the
        home did not answer.
        """
        req = msgspec.structs.replace(req, asker=self._own_id)
        return await self._call_home(
            req.fp, lambda address: self._admit(address, req)
        )

    async def _admit(self, address: Address, req: AdmitRequest) -> Admission:
        try:
            return await self._client.admit(address, req, HOME_TIMEOUT_S)
        except PeerUnavailableError:
            self.run_in_background(self._withdraw(address, req))
            raise

    async def _withdraw(self, address: Address, req: AdmitRequest) -> None:
        """End a trial that the home may have granted after the time-out.

        Equal requests wait while a trial is open. Because the grant did not
        arrive, no request of this entry would end the trial.
        """
        event = TrialEvent(EventKind.ENDED, req.fp, asker=req.asker)
        try:
            await self._client.report(
                address, event, BACKGROUND_CALL_TIMEOUT_S
            )
            self._metrics.count('trials_withdrawn')
        except PeerUnavailableError as exc:
            # The home did not get the report. It ends the trial after
            # trial_timeout_s.
            self._metrics.count('trials_withdrawn', 'unreachable')
            logs.log_event(
                'trial_not_withdrawn', fingerprint=req.fp, error=str(exc)
            )

    async def report(self, event: TrialEvent) -> tuple[Rumor, ...] | None:
        """Report an event to the home and return the home's verdicts.

        Return None if this entry must judge the event, because it is the home
        or the home did not answer.
        """
        return await self._call_home(
            event.fp,
            lambda address: self._client.report(
                address, event, HOME_TIMEOUT_S
            ),
        )

    def push_verdict(self, rumor: Rumor) -> None:
        """Push a verdict on a request to the other entries.

        If there are more than MAX_PUSH_ENTRIES entries, do nothing, because
        gossip spreads the verdict. All verdicts of one event loop iteration
        are sent together.
        """
        if len(self._entries) > MAX_PUSH_ENTRIES:
            self._metrics.count('verdicts_untold', 'many_entries')
            return
        if not self._pending_verdicts:
            asyncio.get_running_loop().call_soon(self._push_pending)
        self._pending_verdicts.append(rumor)

    def run_in_background(self, coroutine: typing.Coroutine) -> None:
        """Run a coroutine until it ends or close() cancels it."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel the background coroutines and close the connections."""
        for task in self._tasks:
            task.cancel()
        self._client.close()

    async def _call_home(
        self,
        fp: Fingerprint,
        call: typing.Callable[[Address], typing.Awaitable],
    ) -> typing.Any:
        entry_id = self._pick_home(fp)
        if entry_id is None or entry_id == self._own_id:
            return None
        if entry_id in self._down_until:
            # The home did not answer before, and this request alone tries it
            # again. Until it answers, other requests use another home.
            self._down_until[entry_id] = self._clock() + HOME_RETRY_AFTER_S
        try:
            reply = await call(self._entries[entry_id])
        except PeerUnavailableError as exc:
            self._mark_down(entry_id, exc)
            return None
        if self._down_until.pop(entry_id, None) is not None:
            logs.log_event('home_up', entry=entry_id)
        return reply

    def _pick_home(self, fp: Fingerprint) -> NodeId | None:
        if not self._entries:
            return None
        preferred = home(fp, self._entries)
        now = self._clock()
        if self._down_until.get(preferred, 0.0) <= now:
            return preferred
        self._metrics.count('home_fallbacks', 'down')
        available = [
            entry_id
            for entry_id in self._entries
            if self._down_until.get(entry_id, 0.0) <= now
        ]
        return home(fp, available) if available else None

    def _mark_down(self, entry_id: NodeId, exc: PeerUnavailableError) -> None:
        timed_out = isinstance(exc.__cause__, asyncio.TimeoutError)
        reason = 'timeout' if timed_out else 'unreachable'
        self._metrics.count('home_fallbacks', reason)
        if entry_id not in self._down_until:
            logs.log_event('home_down', entry=entry_id, reason=reason)
        if entry_id in self._entries:
            self._down_until[entry_id] = self._clock() + HOME_RETRY_AFTER_S

    def _push_pending(self) -> None:
        rumors = tuple(self._pending_verdicts)
        self._pending_verdicts.clear()
        for entry_id, address in self._entries.items():
            if entry_id != self._own_id:
                self.run_in_background(self._push(address, rumors))

    async def _push(self, address: Address, rumors: tuple[Rumor, ...]) -> None:
        try:
            await self._client.push_verdicts(
                address, rumors, BACKGROUND_CALL_TIMEOUT_S
            )
        except PeerUnavailableError:
            # The entry receives the verdicts by gossip.
            self._metrics.count('verdicts_untold', 'unreachable')


def _entry_id(address: Address) -> NodeId:
    """Return an ID that is unique among the entries of all VMs.

    It contains the VM and the port, because a VM can run several entries.
    """
    return NodeId(f'{address.node}:{address.port}')
