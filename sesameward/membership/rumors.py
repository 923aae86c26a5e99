"""Keep the rumors which have not yet expired."""

from __future__ import annotations

import dataclasses
import hashlib

import msgspec

from ..messages import Rumor

MEMORY_S = 60.0

Key = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Kept:
    rumor: Rumor
    expires_at: float
    digest: int


class Rumors:
    """Keep the highest version of each topic and key until it expires."""

    def __init__(self):
        self._kept: dict[Key, _Kept] = {}

    def merge(self, rumor: Rumor, now: float) -> bool:
        """Keep the rumor; tell whether its version is new here."""
        key = (rumor.topic, rumor.key)
        kept = self._kept.get(key)
        if kept is not None and _rank(rumor) <= _rank(kept.rumor):
            return False
        self._kept[key] = _Kept(rumor, now + rumor.ttl_s, _digest_of(rumor))
        return True

    def get(self, key: Key, now: float) -> Rumor | None:
        """Return the rumor with the rest of its time to live."""
        kept = self._kept.get(key)
        if kept is None or kept.expires_at <= now:
            return None
        return msgspec.structs.replace(kept.rumor, ttl_s=kept.expires_at - now)

    def current(self, now: float) -> list[Rumor]:
        """Return all rumors which have not expired."""
        found = (self.get(key, now) for key in self._kept)
        return [rumor for rumor in found if rumor is not None]

    def digest(self, now: float) -> int:
        """Return one digest of all rumors which have not expired."""
        digest = 0
        for kept in self._kept.values():
            if kept.expires_at > now:
                digest ^= kept.digest
        return digest

    def expire(self, now: float) -> None:
        """Forget rumors a while after their time to live.

        Others may hold a rumor a little longer; the memory keeps it from
        being heard as new once more.
        """
        self._kept = {
            key: kept
            for key, kept in self._kept.items()
            if kept.expires_at + MEMORY_S > now
        }


def _rank(rumor: Rumor) -> tuple[int, bytes]:
    return rumor.version, rumor.body


def _digest_of(rumor: Rumor) -> int:
    text = f'{rumor.topic} {rumor.key} {rumor.version} '.encode()
    digest = hashlib.blake2b(text + rumor.body, digest_size=8)
    return int.from_bytes(digest.digest(), 'big')
