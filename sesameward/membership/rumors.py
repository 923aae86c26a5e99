"""Store the rumors that this agent knows until they expire."""

from __future__ import annotations

import dataclasses
import hashlib

import msgspec

from ..messages import Rumor

EXPIRED_RETENTION_S = 60.0
# Memory that a stored rumor takes in addition to its text (measured: 941 bytes
# with 110 bytes of text, queued for other members).
RUMOR_BYTES = 850

Key = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _StoredRumor:
    rumor: Rumor
    expires_at: float
    digest: int


class Rumors:
    """Store the highest version of the rumor of each topic and key."""

    def __init__(self):
        self._stored: dict[Key, _StoredRumor] = {}
        # Memory that all stored rumors take.
        self.held_bytes = 0

    def growth_bytes(self, rumor: Rumor) -> int:
        """Return the memory by which storing a rumor enlarges held_bytes."""
        stored = self._stored.get((rumor.topic, rumor.key))
        known_bytes = 0 if stored is None else _size_of(stored.rumor)
        return _size_of(rumor) - known_bytes

    def merge(self, rumor: Rumor, now: float) -> bool:
        """Store a rumor if it is newer than the known one; tell if it was."""
        key = (rumor.topic, rumor.key)
        stored = self._stored.get(key)
        if stored is not None and _precedence(rumor) <= _precedence(
            stored.rumor
        ):
            return False
        self.held_bytes += self.growth_bytes(rumor)
        self._stored[key] = _StoredRumor(
            rumor, now + rumor.ttl_s, _digest_of(rumor)
        )
        return True

    def get(self, key: Key, now: float) -> Rumor | None:
        """Return the rumor of a key with its remaining time to live.

        Return None if it is unknown or expired.
        """
        stored = self._stored.get(key)
        if stored is None or stored.expires_at <= now:
            return None
        return msgspec.structs.replace(
            stored.rumor, ttl_s=stored.expires_at - now
        )

    def unexpired(self, now: float) -> list[Rumor]:
        """Return all unexpired rumors with their remaining times to live."""
        found = (self.get(key, now) for key in self._stored)
        return [rumor for rumor in found if rumor is not None]

    def digest(self, now: float) -> int:
        """Return one digest of all unexpired rumors, to compare two agents."""
        digest = 0
        for stored in self._stored.values():
            if stored.expires_at > now:
                digest ^= stored.digest
        return digest

    def expire(self, now: float) -> None:
        """Drop rumors EXPIRED_RETENTION_S after they expired.

        Other agents may send a rumor a little longer. As long as it is stored
        here, it is not accepted as new again.
        """
        self._stored = {
            key: stored
            for key, stored in self._stored.items()
            if stored.expires_at + EXPIRED_RETENTION_S > now
        }
        self.held_bytes = sum(
            _size_of(stored.rumor) for stored in self._stored.values()
        )


def _size_of(rumor: Rumor) -> int:
    text_bytes = len(rumor.topic) + len(rumor.key) + len(rumor.body)
    return RUMOR_BYTES + text_bytes


def _precedence(rumor: Rumor) -> tuple[int, bytes]:
    return rumor.version, rumor.body


def _digest_of(rumor: Rumor) -> int:
    text = f'{rumor.topic} {rumor.key} {rumor.version} '.encode()
    digest = hashlib.blake2b(text + rumor.body, digest_size=8)
    return int.from_bytes(digest.digest(), 'big')
