"""Keep the live entries and this entry's part of the connections."""

from __future__ import annotations

import random
import typing

import msgspec

from ..configuration.feed import NodesUpdate
from ..messages import Address
from ..messages import Addresses
from ..types import NodeId
from ..types import ZoneName

MAX_ADDRESSES = 32
MIN_WEIGHT = 0.05
# How far an entry may exceed its fair part of first places for being near.
SLACK = 1.15
# First places remembered for each entry; the older ones count by half.
REMEMBERED = 20

_Key = tuple[NodeId, int]


class Nodes:
    """Answer which entries callers may use."""

    def __init__(self, own: Address, rng: random.Random):
        self._own = own
        self._rng = rng
        # First places given to each entry, over its weight.
        self._served: dict[_Key, float] = {}
        self._update = NodesUpdate(Addresses((own,), 1.0), {})
        self._admit((own,))

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
        self._admit(update.addresses.addresses)

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
        listed = self._update.addresses
        found = [a for a in listed.addresses if a.weight > 0.0]
        found = found or list(listed.addresses)
        if not found:
            return listed
        self._rng.shuffle(found)
        first = self._choose_first(found, near)
        found.remove(first)
        found.sort(key=lambda address: address.zone != near)
        chosen = (first, *found[: MAX_ADDRESSES - 1])
        return Addresses(chosen, listed.ttl_s)

    def _choose_first(self, found: list[Address], near: ZoneName) -> Address:
        """Choose a near entry unless it has had its fair share.

        Chance alone, or a zone with many callers and few entries, would
        send an entry far more callers than another.
        """
        served = self._served
        total = sum(served[_key(a)] * _weight(a) for a in found) + 1.0
        fair = total / sum(_weight(a) for a in found)

        def after(address: Address) -> float:
            return served[_key(address)] + 1.0 / _weight(address)

        def has_room(address: Address) -> bool:
            return total <= 2.0 or after(address) <= fair * SLACK

        nearest = [a for a in found if a.zone == near and has_room(a)]
        first = min(nearest or found, key=after)
        served[_key(first)] = after(first)
        if total > REMEMBERED * len(found):
            self._served = {key: n / 2.0 for key, n in served.items()}
        return first

    def _admit(self, addresses: typing.Iterable[Address]) -> None:
        """Let new entries start level with the others."""
        served = self._served
        known = [served[_key(a)] for a in addresses if _key(a) in served]
        level = sum(known) / max(len(known), 1)
        self._served = {_key(a): served.get(_key(a), level) for a in addresses}


def _key(address: Address) -> _Key:
    return address.node, address.incarnation


def _weight(address: Address) -> float:
    return address.weight or MIN_WEIGHT
