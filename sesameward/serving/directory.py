"""Tell callers which nodes to connect to."""

from __future__ import annotations

import collections
import random
import typing

import msgspec

from ..messages import Member
from ..types import MemberState
from ..types import ServiceName
from ..types import ZoneName
from .targets import TargetTable

MAX_ADDRESSES = 64
# Callers ask again after this time. Half of the callers of a small deployment
# came back after two seconds and paid a fifth of the objective for asking.
TTL_S = 5.0
# Nodes of a zone are near the targets where the zone holds at least this
# part of the services that one query asks.
NEAR_PART = 0.7
# Fewer near nodes than this part of all would be a bottleneck.
MIN_NEAR_PART = 0.35
MIN_NEAR = 2


class Addresses(msgspec.Struct, frozen=True):
    """List host:port addresses and how long to keep them."""

    addresses: tuple[str, ...]
    ttl_s: float


class Directory:
    """Choose among live nodes those near the targets of most requests."""

    def __init__(self, targets: TargetTable, rng: random.Random):
        self._targets = targets
        self._rng = rng

    def addresses(
        self,
        members: typing.Sequence[Member],
        services: typing.Collection[ServiceName],
        zone: ZoneName,
        max_ttl_s: float,
    ) -> Addresses:
        """Return the nodes for a caller, in random order."""
        usable = _usable(members)
        own = [m for m in usable if m.zone == zone]
        usable = own or usable
        near_zones = self._near_zones(services)
        near = [m for m in usable if m.zone in near_zones]
        if len(near) >= max(MIN_NEAR, MIN_NEAR_PART * len(usable)):
            usable = near
        found = [
            f'{address.host}:{address.port}'
            for member in usable
            for address in member.entries
        ]
        self._rng.shuffle(found)
        return Addresses(tuple(found[:MAX_ADDRESSES]), min(TTL_S, max_ttl_s))

    def _near_zones(
        self, services: typing.Collection[ServiceName]
    ) -> set[ZoneName]:
        counts: collections.Counter[ZoneName] = collections.Counter()
        for service in services:
            zones = set()
            for target_id in self._targets.candidates(service):
                target = self._targets.get(target_id)
                if target is not None:
                    zones.add(target.zone)
            counts.update(zones)
        least = NEAR_PART * len(services)
        return {zone for zone, count in counts.items() if count >= least}


def _usable(members: typing.Sequence[Member]) -> list[Member]:
    ready = [m for m in members if m.entries and not m.leaving]
    alive = [m for m in ready if m.state is MemberState.ALIVE]
    return alive or ready
