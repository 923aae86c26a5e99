"""Keep the live entries and this entry's part of the connections."""

from __future__ import annotations

import random

import msgspec

from ..feed import NodesUpdate
from ..messages import Address
from ..messages import Addresses
from ..types import NodeId
from ..types import ZoneName


class Nodes:
    """Answer which entries callers may use."""

    def __init__(self, own: Address, rng: random.Random):
        self._own = own
        self._rng = rng
        self._update = NodesUpdate(Addresses((own,), 1.0), {})

    def apply(self, update: NodesUpdate, is_guest: bool) -> None:
        """Take over what an agent says.

        The shares are those of the agent's own VM, so that a guest keeps
        what its own agent said last.
        """
        if is_guest:
            update = msgspec.structs.replace(
                update, shares=self._update.shares
            )
        self._update = update

    def alive(self, node: NodeId, incarnation: int) -> bool:
        """Tell whether this very process of an entry is still live."""
        if (node, incarnation) == (self._own.node, self._own.incarnation):
            return True
        return any(
            (a.node, a.incarnation) == (node, incarnation)
            for a in self._update.live
        )

    def share(self, connections: int) -> int:
        """Return how many connections to one server this entry may use."""
        return self._update.shares.get(connections, 0)

    @property
    def connected(self) -> bool:
        """Tell whether this entry may hold connections at all."""
        return any(self._update.shares.values())

    def addresses(self, zone: ZoneName | None) -> Addresses:
        """Return the entries to use, those of the zone first."""
        near = self._own.zone if zone is None else zone
        found = list(self._update.addresses.addresses)
        self._rng.shuffle(found)
        found.sort(key=lambda address: address.zone != near)
        return Addresses(tuple(found), self._update.addresses.ttl_s)
