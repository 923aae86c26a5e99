"""Write a summary of the fleet to the store from one node at a time."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import random
import time
import uuid

import msgspec

from .. import logs
from ..configuration.leases import Lease
from ..configuration.leases import LeaseTimes
from ..configuration.leases import LeaseValue
from ..configuration.leases import LeaseWrite
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

LEASE_KIND = 'status'
LEASE_NAME = 'fleet'
# How many nodes compete for the lease, whose holder writes the summary.
CANDIDATE_COUNT = 3
# How often the lease holder checks whether a write of the summary is due.
HOLDER_CHECK_PERIOD_S = 1.0


class ZoneSummary(msgspec.Struct, frozen=True):
    """Count the members of one zone: all, suspected and leaving ones."""

    members: int = 0
    suspected: int = 0
    leaving: int = 0


class FleetSummary(msgspec.Struct, frozen=True):
    """Hold member counts by zone and the writer's configuration revision."""

    revision: Revision
    zones: dict[str, ZoneSummary]


def summarize(
    members: collections.abc.Iterable[Member], revision: Revision
) -> FleetSummary:
    """Count the members of each zone; the zones are sorted by name."""
    by_zone: dict[str, list[Member]] = collections.defaultdict(list)
    for member in members:
        by_zone[member.zone].append(member)
    return FleetSummary(
        revision,
        {
            zone: ZoneSummary(
                len(zone_members),
                sum(
                    member.state.value == 'suspect' for member in zone_members
                ),
                sum(member.leaving for member in zone_members),
            )
            for zone, zone_members in sorted(by_zone.items())
        },
    )


class Rollup:
    """Write the fleet summary while this node holds the lease for it.

    A few nodes, chosen by rendezvous hashing, compete for the lease.
    """

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
        self._logged_held = False
        self._last_members: collections.abc.Sequence[Member] | None = None
        self._was_candidate = False

    def holds(self) -> bool:
        """Return whether this node holds the lease now."""
        return self._lease.holds(self._clock())

    async def run(self) -> None:
        """Call run_once() until cancelled, with jittered pauses between."""
        while True:
            await self.run_once()
            pause_s = (
                HOLDER_CHECK_PERIOD_S if self.holds() else self._times.renew_s
            )
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * pause_s)

    async def run_once(self) -> None:
        """Take or renew the lease if due; the summary is written with it.

        Do nothing if this node does not compete for the lease.
        """
        if not self._is_candidate():
            return
        try:
            if not self.holds():
                await self._read_lease()
            await self._write_if_due()
        except PlatformError as exc:
            self._metrics.count('rollup_retries', type(exc).__name__)
            self._lease.step_down()
        if self.holds() != self._logged_held:
            self._logged_held = not self._logged_held
            logs.log_event('rollup_lease', held=self._logged_held)

    async def release(self) -> None:
        """Release the lease, so that another node can take it at once."""
        claim = self._lease.release(self._clock())
        if claim is not None:
            await self._write_lease(claim)

    def _is_candidate(self) -> bool:
        members = self._members()
        # If the members are the same tuple as before, reuse the last choice of
        # candidates, because a tuple can't change.
        if members is not self._last_members or not isinstance(members, tuple):
            nodes = {member.node for member in members} | {self._node}
            candidates = pick(
                f'{LEASE_KIND}/{LEASE_NAME}', nodes, CANDIDATE_COUNT
            )
            self._last_members = members
            self._was_candidate = self._node in candidates
        return self._was_candidate

    async def _read_lease(self) -> None:
        try:
            stored = await self._platform.get(LEASE_KIND, LEASE_NAME)
        except NotFoundError:
            self._lease.observe(None, None, self._clock())
            return
        try:
            value = msgspec.json.decode(stored.value, type=LeaseValue)
        except msgspec.DecodeError:
            self._metrics.count('rollup_refused', 'undecodable')
            value = None
        self._lease.observe(value, stored.revision, self._clock())

    async def _write_if_due(self) -> None:
        summary = summarize(self._members(), self._revision())
        body = msgspec.Raw(msgspec.json.encode(summary))
        claim = self._lease.claim(self._clock(), body)
        if claim is None:
            return
        sent_at = self._clock()
        revision = await self._write_lease(claim)
        self._lease.record_write(claim, revision, sent_at)

    async def _write_lease(self, claim: LeaseWrite) -> Revision:
        change = ChangeId(uuid.uuid4().hex)
        value = msgspec.json.encode(claim.value)
        try:
            return await self._platform.put(
                LEASE_KIND, LEASE_NAME, value, claim.expected, change
            )
        except ConflictError:
            self._metrics.count('rollup_refused', 'lease_taken')
            raise
