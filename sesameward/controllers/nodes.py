"""Track the live entries and this entry's share of target connections."""

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
# Replaces weight 0, which an overloaded entry has, because counts are divided
# by the weight.
MIN_WEIGHT = 0.05
# An entry of the caller's zone is preferred as the first address, unless it
# would then have been first more often than its fair share times this factor.
MAX_NEAR_OVERSHARE = 1.15
# Each entry's count says how often it was the first address given to a caller.
# If first addresses were given out more than this many times per entry, all
# counts are halved, so that recent choices weigh more.
MAX_FIRST_PLACES_PER_ENTRY = 20

_ProcessKey = tuple[NodeId, int]


class Nodes:
    """Choose the entries that callers should use; hold this entry's shares.

    A share is the part of a target's connection limit that this entry may use.
    """

    def __init__(self, own: Address, rng: random.Random):
        self._own = own
        self._rng = rng
        # How often each entry was the first address that a caller got, divided
        # by the entry's weight. The entry with the lowest count is next.
        self._first_counts: dict[_ProcessKey, float] = {}
        self._update = NodesUpdate(Addresses((own,), 1.0), {})
        self._keep_counts((own,))

    def apply(self, update: NodesUpdate, from_fallback_agent: bool) -> None:
        """Apply an agent's update of the live entries and connection shares.

        An agent computes shares only for entries of its own VM. So an update
        from another VM's agent leaves this entry's shares unchanged.
        """
        if from_fallback_agent:
            update = msgspec.structs.replace(
                update, shares=self._update.shares
            )
        self._update = update
        self._keep_counts(update.addresses.addresses)

    def alive(self, node: NodeId, incarnation: int) -> bool:
        """Return whether the entry process with this incarnation is live."""
        if (node, incarnation) == (self._own.node, self._own.incarnation):
            return True
        return any(
            (a.node, a.incarnation) == (node, incarnation)
            for a in self._update.live
        )

    def connection_share(self, connections: int) -> int:
        """Return how many connections this entry may open to one target.

        connections is the target's connection limit for all entries.
        """
        return self._update.shares.get(connections, 0)

    @property
    def has_connection_share(self) -> bool:
        """Return whether this entry may open connections to any target."""
        return any(self._update.shares.values())

    def addresses(self, zone: ZoneName | None) -> Addresses:
        """Return up to MAX_ADDRESSES entries, those of the zone first.

        If zone is None, this entry's zone is used. The first address can be
        of another zone, to divide the callers evenly. Overloaded entries,
        which have weight 0, are left out unless all are overloaded.
        """
        near_zone = self._own.zone if zone is None else zone
        listed = self._update.addresses
        usable = [a for a in listed.addresses if a.weight > 0.0]
        usable = usable or list(listed.addresses)
        if not usable:
            return listed
        self._rng.shuffle(usable)
        first = self._choose_first(usable, near_zone)
        usable.remove(first)
        usable.sort(key=lambda address: address.zone != near_zone)
        chosen = (first, *usable[: MAX_ADDRESSES - 1])
        return Addresses(chosen, listed.ttl_s)

    def _choose_first(
        self, usable: list[Address], near_zone: ZoneName
    ) -> Address:
        """Choose the entry whose address a caller gets first.

        Prefer an entry of the caller's zone that is within its fair share. A
        random choice, or a zone with many callers and few entries, would send
        some entries far more callers than others.
        """
        counts = self._first_counts
        total = sum(counts[_process_key(a)] * _weight(a) for a in usable) + 1.0
        fair_count = total / sum(_weight(a) for a in usable)

        def count_after(address: Address) -> float:
            return counts[_process_key(address)] + 1.0 / _weight(address)

        def has_room(address: Address) -> bool:
            return (
                total <= 2.0
                or count_after(address) <= fair_count * MAX_NEAR_OVERSHARE
            )

        near_entries = [
            a for a in usable if a.zone == near_zone and has_room(a)
        ]
        first = min(near_entries or usable, key=count_after)
        counts[_process_key(first)] = count_after(first)
        if total > MAX_FIRST_PLACES_PER_ENTRY * len(usable):
            self._first_counts = {
                key: count / 2.0 for key, count in counts.items()
            }
        return first

    def _keep_counts(self, addresses: typing.Iterable[Address]) -> None:
        """Drop the counts of removed entries and add those of new ones.

        New entries start at the mean count. If they started at 0, all callers
        would get them first until their counts had caught up.
        """
        counts = self._first_counts
        known_counts = [
            counts[_process_key(a)]
            for a in addresses
            if _process_key(a) in counts
        ]
        mean_count = sum(known_counts) / max(len(known_counts), 1)
        self._first_counts = {
            _process_key(a): counts.get(_process_key(a), mean_count)
            for a in addresses
        }


def _process_key(address: Address) -> _ProcessKey:
    return address.node, address.incarnation


def _weight(address: Address) -> float:
    return address.weight or MIN_WEIGHT
