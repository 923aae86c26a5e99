"""Choose the node addresses that a caller should connect to."""

from __future__ import annotations

import random
import typing

import msgspec

from ..messages import Member
from ..types import MemberState
from ..types import ZoneName

MAX_ADDRESSES = 64
# A caller with a single address has no alternative when that node fails, and
# keeps trying it until the time to live of its address list ends.
MIN_ADDRESSES = 2
# Callers look up the addresses again after this time. With 2 s, half of the
# callers of a small deployment had to do so before a request, and the lookup
# took a fifth of the latency objective.
ADDRESS_TTL_S = 5.0
# Nodes without connections to targets serve callers through other nodes, which
# takes longer. They are left out if at least this part of the nodes has
# connections. If these were fewer, they would get too many callers.
MIN_LINKED_SHARE = 1 / 3


class Addresses(msgspec.Struct, frozen=True):
    """List of host:port addresses and the time for which it is valid."""

    addresses: tuple[str, ...]
    ttl_s: float


class Directory:
    """Choice of the nodes that a caller is told to connect to.

    These are the live nodes of the caller's zone. If the zone has a single
    node, one of another zone is added as a spare; if it has none, the nodes of
    all zones are chosen.

    Load pattern: callers open a new connection for most requests. To a node of
    another zone, the handshake and then the request and its answer cross
    between the zones four times in all. Nodes of other zones are therefore
    listed only as a spare or if the caller's zone has no node.

    Load pattern: some nodes, also most or all of a zone, are cut off from all
    targets for seconds. They are left out while enough others are listed.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    def addresses(
        self,
        members: typing.Sequence[Member],
        zone: ZoneName,
        max_ttl_s: float,
    ) -> Addresses:
        """Return the node addresses for a caller in the given zone.

        Nodes of that zone come first, in random order, then the others, in
        random order. The time to live is at most max_ttl_s.
        """
        usable = _usable(members)
        self._rng.shuffle(usable)
        # The sort is stable, so the nodes of the caller's zone stay in random
        # order, and so do those of other zones.
        usable.sort(key=lambda member: member.zone != zone)
        local_count = sum(member.zone == zone for member in usable)
        # If the caller's zone has no node, all nodes are listed, because none
        # is nearer to the caller than the others.
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
    usable = alive or ready
    linked = [m for m in usable if m.reaches_targets]
    if len(linked) >= MIN_LINKED_SHARE * len(usable):
        return linked
    return usable
