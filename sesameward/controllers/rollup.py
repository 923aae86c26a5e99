"""Write a summary of the fleet into the store from one node at a time."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import random
import time
import uuid

import msgspec

from .. import logs
from ..configuration.leases import Claim
from ..configuration.leases import Lease
from ..configuration.leases import LeaseTimes
from ..configuration.leases import LeaseValue
from ..configuration.platform_client import PlatformClient
from ..exceptions import ConflictError
from ..exceptions import NotFoundError
from ..exceptions import PlatformError
from ..messages import Member
from ..metrics import Metrics
from ..rendezvous import pick
from ..types import ChangeId
from ..types import Clock
from ..types import NodeId
from ..types import Revision

KIND = 'status'
NAME = 'fleet'
CANDIDATES = 3
STEP_S = 1.0


class ZoneSummary(msgspec.Struct, frozen=True):
    """Count the members of one zone."""

    members: int = 0
    suspected: int = 0
    leaving: int = 0


class FleetSummary(msgspec.Struct, frozen=True):
    """Sum up the members, and the revision in force on the holder."""

    revision: Revision
    zones: dict[str, ZoneSummary]


def summarize(
    members: collections.abc.Iterable[Member], revision: Revision
) -> FleetSummary:
    """Count members by zone."""
    by_zone: dict[str, list[Member]] = collections.defaultdict(list)
    for member in members:
        by_zone[member.zone].append(member)
    return FleetSummary(
        revision,
        {
            zone: ZoneSummary(
                len(found),
                sum(m.state.value == 'suspect' for m in found),
                sum(m.leaving for m in found),
            )
            for zone, found in sorted(by_zone.items())
        },
    )


class Rollup:
    """Hold the lease of the summary, or stand by for it."""

    def __init__(
        self,
        node: NodeId,
        platform: PlatformClient,
        members: collections.abc.Callable[
            [], collections.abc.Sequence[Member]
        ],
        revision: collections.abc.Callable[[], Revision],
        metrics: Metrics,
        rng: random.Random,
        times: LeaseTimes = LeaseTimes(),
        clock: Clock = time.monotonic,
    ):
        self._node = node
        self._platform = platform
        self._members = members
        self._revision = revision
        self._metrics = metrics
        self._rng = rng
        self._times = times
        self._clock = clock
        self._lease = Lease(node, times)
        self._held = False
        self._ranked: collections.abc.Sequence[Member] | None = None
        self._candidate = False

    def holds(self) -> bool:
        """Tell whether this node writes the summary at the moment."""
        return self._lease.holds(self._clock())

    async def run(self) -> None:
        """Step until cancelled; the pause between reads has jitter."""
        while True:
            await self.step()
            pause_s = STEP_S if self.holds() else self._times.renew_s
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * pause_s)

    async def step(self) -> None:
        """Read the lease where it isn't held; write where that is due."""
        if not self._is_candidate():
            return
        try:
            if not self.holds():
                await self._observe()
            await self._claim()
        except PlatformError as exc:
            self._metrics.count('rollup_retries', type(exc).__name__)
            self._lease.lost()
        if self.holds() != self._held:
            self._held = not self._held
            logs.change('rollup_lease', held=self._held)

    async def release(self) -> None:
        """Let another candidate take over at once."""
        claim = self._lease.release(self._clock())
        if claim is not None:
            await self._write(claim)

    def _is_candidate(self) -> bool:
        members = self._members()
        # A tuple can't change, so the choice holds while it is the same.
        if members is not self._ranked or not isinstance(members, tuple):
            nodes = {m.node for m in members} | {self._node}
            chosen = pick(f'{KIND}/{NAME}', nodes, CANDIDATES)
            self._ranked = members
            self._candidate = self._node in chosen
        return self._candidate

    async def _observe(self) -> None:
        try:
            stored = await self._platform.get(KIND, NAME)
        except NotFoundError:
            self._lease.observe(None, None, self._clock())
            return
        try:
            value = msgspec.json.decode(stored.value, type=LeaseValue)
        except msgspec.DecodeError:
            self._metrics.count('rollup_refused', 'undecodable')
            value = None
        self._lease.observe(value, stored.revision, self._clock())

    async def _claim(self) -> None:
        summary = summarize(self._members(), self._revision())
        body = msgspec.Raw(msgspec.json.encode(summary))
        claim = self._lease.claim(self._clock(), body)
        if claim is None:
            return
        sent = self._clock()
        revision = await self._write(claim)
        self._lease.claimed(claim, revision, sent)

    async def _write(self, claim: Claim) -> Revision:
        change = ChangeId(uuid.uuid4().hex)
        value = msgspec.json.encode(claim.value)
        try:
            return await self._platform.put(
                KIND, NAME, value, claim.expected, change
            )
        except ConflictError:
            self._metrics.count('rollup_refused', 'lease_taken')
            raise
