"""Tell callers which nodes to connect to."""

from __future__ import annotations

import random
import typing

import msgspec

from ..messages import Member
from ..types import MemberState
from ..types import ZoneName

MAX_ADDRESSES = 64
# A caller with a single address has none left when that node is lost, and
# keeps asking it until its answer runs out.
MIN_ADDRESSES = 2
# Callers ask again after this time. Half of the callers of a small deployment
# came back after two seconds and paid a fifth of the objective for asking.
TTL_S = 5.0


class Addresses(msgspec.Struct, frozen=True):
    """List host:port addresses and how long to keep them."""

    addresses: tuple[str, ...]
    ttl_s: float


class Directory:
    """Choose among live nodes those of the caller's zone, and a spare.

    Load pattern: callers open a connection for most requests, and each
    crossing between zones counts four times until the answer is there.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    def addresses(
        self,
        members: typing.Sequence[Member],
        zone: ZoneName,
        max_ttl_s: float,
    ) -> Addresses:
        """Return the nodes for a caller, those of its zone first."""
        usable = _usable(members)
        self._rng.shuffle(usable)
        # The sort is stable, so nodes of equal distance stay shuffled.
        usable.sort(key=lambda member: member.zone != zone)
        near = sum(member.zone == zone for member in usable)
        # Nobody is far from a caller whose zone has no node.
        count = max(near, MIN_ADDRESSES) if near else len(usable)
        found = [
            f'{address.host}:{address.port}'
            for member in usable[:count]
            for address in member.entries
        ]
        return Addresses(tuple(found[:MAX_ADDRESSES]), min(TTL_S, max_ttl_s))


def _usable(members: typing.Sequence[Member]) -> list[Member]:
    ready = [m for m in members if m.entries and not m.leaving]
    alive = [m for m in ready if m.state is MemberState.ALIVE]
    return alive or ready
