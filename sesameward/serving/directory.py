"""Choose the node addresses that a caller should connect to."""

from __future__ import annotations

import random
import typing

import msgspec

from ..messages import Member
from ..types import MemberState
from ..types import ZoneName

MAX_ADDRESSES = 64
# A caller with a single address has no alternative when that node is lost, and
# keeps trying it until the TTL of the address list ends.
MIN_ADDRESSES = 2
# Callers look up the addresses again after this time. With two seconds, half
# of the callers of a small deployment had to look them up again, which cost
# them a fifth of the latency objective.
ADDRESS_TTL_S = 5.0


class Addresses(msgspec.Struct, frozen=True):
    """List of host:port addresses and the time for which it is valid."""

    addresses: tuple[str, ...]
    ttl_s: float


class Directory:
    """Choose live nodes in the caller's zone, or all if it has none.

    If the zone has a single node, one of another zone is added as a spare.
    Other nodes of other zones are left out because callers open a connection
    for most requests, and then the latency between zones counts four times
    before the answer is there.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    def addresses(
        self,
        members: typing.Sequence[Member],
        zone: ZoneName,
        max_ttl_s: float,
    ) -> Addresses:
        """Return the node addresses for a caller, those in its zone first."""
        usable = _usable(members)
        self._rng.shuffle(usable)
        # The sort is stable, so the order within each group stays random.
        usable.sort(key=lambda member: member.zone != zone)
        local_count = sum(member.zone == zone for member in usable)
        # If the caller's zone has no node, any node is as good as another.
        count = max(local_count, MIN_ADDRESSES) if local_count else len(usable)
        node_addresses = [
            f'{address.host}:{address.port}'
            for member in usable[:count]
            for address in member.entries
        ]
        return Addresses(
            tuple(node_addresses[:MAX_ADDRESSES]),
            min(ADDRESS_TTL_S, max_ttl_s),
        )


def _usable(members: typing.Sequence[Member]) -> list[Member]:
    ready = [m for m in members if m.entries and not m.leaving]
    alive = [m for m in ready if m.state is MemberState.ALIVE]
    return alive or ready
