"""Decide which node holds a lease, and fence former holders.

The lease is an object in the store that also contains the holder's state. Each
write names the revision that it replaces. A former holder, such as one that
was paused, names a revision that its successor has already replaced, so the
store refuses the write.
"""

from __future__ import annotations

import msgspec

from ..types import NodeId
from ..types import Revision


EMPTY_BODY = msgspec.Raw(b'null')


class LeaseTimes(msgspec.Struct, frozen=True):
    """Set the periods of a lease; renew_s < fence_s < ttl_s must hold.

    The holder renews the lease every renew_s, and stops acting as the holder
    when fence_s have passed since it sent the last renewal that the store
    accepted. Another node may take the lease ttl_s after it first saw that
    renewal. A renewal is seen only after it was sent and ttl_s exceeds
    fence_s, so the holder has stopped by then.
    """

    renew_s: float = 5.0
    fence_s: float = 10.0
    ttl_s: float = 15.0


class LeaseValue(msgspec.Struct, frozen=True):
    """Hold a lease as stored.

    term rises by one when a node takes the lease; renewals leave it as it is.
    released means that the holder gave the lease up; body is the holder's
    state.
    """

    holder: NodeId
    term: int
    released: bool = False
    body: msgspec.Raw = EMPTY_BODY


class LeaseWrite(msgspec.Struct, frozen=True):
    """Describe a conditional write of the lease, to be sent by the caller.

    expected is the revision that the write must replace; None means that the
    lease must not exist yet.
    """

    value: LeaseValue
    expected: Revision | None


class Lease:
    """Track one lease as seen by one node.

    All times are seconds of this node's monotonic clock. They are never
    compared with times of another node.
    """

    def __init__(self, node: NodeId, times: LeaseTimes):
        self._node = node
        self._times = times
        self._value: LeaseValue | None = None
        self._revision: Revision | None = None
        self._seen_at = 0.0
        self._renewed_at: float | None = None

    @property
    def term(self) -> int:
        """Return the current term; 0 before a node first took the lease."""
        return self._value.term if self._value else 0

    @property
    def revision(self) -> Revision | None:
        """Return the last known revision, which the next write replaces."""
        return self._revision

    def holds(self, now: float) -> bool:
        """Return whether this node may act as the holder at time now."""
        if self._renewed_at is None:
            return False
        return now - self._renewed_at < self._times.fence_s

    def observe(
        self, value: LeaseValue | None, revision: Revision | None, now: float
    ) -> None:
        """Record the lease that was read from the store.

        value is None if the store has no lease or if it can't be decoded. If
        the revision is not the last known one, this node stops acting as the
        holder.
        """
        if revision == self._revision:
            return
        self._value, self._revision = value, revision
        self._seen_at = now
        self._renewed_at = None

    def claim(
        self, now: float, body: msgspec.Raw = EMPTY_BODY
    ) -> LeaseWrite | None:
        """Return the write that takes or renews the lease, if one is due.

        body is the state that the write stores with the lease.
        """
        value = self._value
        if value is None:
            return self._claim_term(1, body)
        if self.holds(now):
            if now - self._renewed_at < self._times.renew_s:
                return None
            return self._claim_term(value.term, body)
        if not self._is_free(value, now):
            return None
        return self._claim_term(value.term + 1, body)

    def _is_free(self, value: LeaseValue, now: float) -> bool:
        if value.released or value.holder == self._node:
            return True
        return now - self._seen_at >= self._times.ttl_s

    def _claim_term(self, term: int, body: msgspec.Raw) -> LeaseWrite:
        return LeaseWrite(
            LeaseValue(self._node, term, body=body), self._revision
        )

    def record_write(
        self, claim: LeaseWrite, revision: Revision, sent_at: float
    ) -> None:
        """Record that the store accepted a write that was sent at sent_at."""
        self._value, self._revision = claim.value, revision
        self._seen_at = sent_at
        self._renewed_at = sent_at

    def step_down(self) -> None:
        """Stop acting as the holder; another node may have the lease."""
        self._renewed_at = None

    def release(self, now: float) -> LeaseWrite | None:
        """Stop holding the lease and return the write that releases it.

        The write lets another node take over at once. Return None if this
        node does not hold the lease.
        """
        if not self.holds(now):
            return None
        self._renewed_at = None
        value = msgspec.structs.replace(self._value, released=True)
        return LeaseWrite(value, self._revision)
