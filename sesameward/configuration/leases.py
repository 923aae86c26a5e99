"""Decide who holds a lease, and fence a holder that was paused.

The holder's state is stored in the lease itself: a write of a former holder
expects a revision that its successor has replaced, so the store refuses it.
"""

from __future__ import annotations

import msgspec

from ..types import NodeId
from ..types import Revision


EMPTY = msgspec.Raw(b'null')


class LeaseTimes(msgspec.Struct, frozen=True):
    """Time a lease: renew_s < fence_s < ttl_s.

    The holder stops at fence_s after it sent the renewal that the store took.
    Others wait for ttl_s after they saw that renewal, which is later.
    """

    renew_s: float = 5.0
    fence_s: float = 10.0
    ttl_s: float = 15.0


class LeaseValue(msgspec.Struct, frozen=True):
    """Hold a lease and its holder's state; term counts the holders."""

    holder: NodeId
    term: int
    released: bool = False
    body: msgspec.Raw = EMPTY


class Claim(msgspec.Struct, frozen=True):
    """Ask the edge to write the lease where its revision is unchanged."""

    value: LeaseValue
    expected: Revision | None


class Lease:
    """Follow one lease; only monotonic clocks of single nodes are compared."""

    def __init__(self, node: NodeId, times: LeaseTimes):
        self._node = node
        self._times = times
        self._value: LeaseValue | None = None
        self._revision: Revision | None = None
        self._seen_at = 0.0
        self._held_from: float | None = None

    @property
    def term(self) -> int:
        """Return the number of the holder's term; 0 before the first."""
        return self._value.term if self._value else 0

    @property
    def revision(self) -> Revision | None:
        """Return the revision which each write of the holder expects."""
        return self._revision

    def holds(self, now: float) -> bool:
        """Tell whether this node may act as the holder at the moment."""
        if self._held_from is None:
            return False
        return now - self._held_from < self._times.fence_s

    def observe(
        self, value: LeaseValue | None, revision: Revision | None, now: float
    ) -> None:
        """Note what the store holds."""
        if revision == self._revision:
            return
        self._value, self._revision = value, revision
        self._seen_at = now
        self._held_from = None

    def claim(self, now: float, body: msgspec.Raw = EMPTY) -> Claim | None:
        """Return the write that is due, if any; it carries the state."""
        value = self._value
        if value is None:
            return self._claim_term(1, body)
        if self.holds(now):
            if now - self._held_from < self._times.renew_s:
                return None
            return self._claim_term(value.term, body)
        if not self._is_free(value, now):
            return None
        return self._claim_term(value.term + 1, body)

    def _is_free(self, value: LeaseValue, now: float) -> bool:
        if value.released or value.holder == self._node:
            return True
        return now - self._seen_at >= self._times.ttl_s

    def _claim_term(self, term: int, body: msgspec.Raw) -> Claim:
        return Claim(LeaseValue(self._node, term, body=body), self._revision)

    def claimed(self, claim: Claim, revision: Revision, sent: float) -> None:
        """Note that the store took a write which was sent at that time."""
        self._value, self._revision = claim.value, revision
        self._seen_at = sent
        self._held_from = sent

    def lost(self) -> None:
        """Note that the store refused a write: another one came first."""
        self._held_from = None

    def release(self, now: float) -> Claim | None:
        """Return the write that lets another node take over at once."""
        if not self.holds(now):
            return None
        self._held_from = None
        value = msgspec.structs.replace(self._value, released=True)
        return Claim(value, self._revision)
