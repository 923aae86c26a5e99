"""Seal datagrams with keyed digests and refuse altered or repeated ones."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
import struct

from ..exceptions import IntegrityError

DIGEST_BYTES = 16
MAX_AGE_S = 30.0
WINDOW_COUNT = 1_024

_HEAD = struct.Struct('>8sQQ')
_MIN_BYTES = DIGEST_BYTES + _HEAD.size
_WINDOW_MASK = (1 << WINDOW_COUNT) - 1

OVERHEAD_BYTES = _MIN_BYTES


@dataclasses.dataclass(slots=True)
class _Window:
    highest: int
    seen: int
    heard_at: float


class Seals:
    """Seal with the first key, open with any, accept each datagram once."""

    def __init__(self, keys: tuple[str, ...], session: bytes):
        self._session = session
        self._count = 0
        self._windows: dict[bytes, _Window] = {}
        self._swept_at = 0.0
        self.set_keys(keys)

    def set_keys(self, keys: tuple[str, ...]) -> None:
        """Replace all keys while running."""
        self._keys = tuple(
            hashlib.blake2b(key.encode()).digest() for key in keys
        )

    def seal(self, body: bytes, to: str, now: float) -> bytes:
        """Return the body sealed for one receiver; now is wall time."""
        self._count += 1
        head = _HEAD.pack(self._session, self._count, int(now * 1_000))
        sealed = head + body
        return _digest(self._keys[0], to, sealed) + sealed

    def open(self, data: bytes, to: str, now: float) -> bytes:
        """Return the body; raise IntegrityError and change nothing."""
        if len(data) < _MIN_BYTES:
            raise IntegrityError('short', 'send sesameward datagrams only')
        sealed = data[DIGEST_BYTES:]
        if not self._is_authentic(data[:DIGEST_BYTES], to, sealed):
            raise IntegrityError(
                'foreign', 'give all agents the same keys and addresses'
            )
        session, count, sent_ms = _HEAD.unpack_from(sealed)
        if abs(now - sent_ms / 1_000) > MAX_AGE_S:
            raise IntegrityError('stale', 'synchronize the clocks of the VMs')
        if not self._is_first(session, count, now):
            raise IntegrityError('replayed', 'look for who repeats datagrams')
        return sealed[_HEAD.size :]

    def _is_authentic(self, digest: bytes, to: str, sealed: bytes) -> bool:
        return any(
            hmac.compare_digest(digest, _digest(key, to, sealed))
            for key in self._keys
        )

    def _is_first(self, session: bytes, count: int, now: float) -> bool:
        self._sweep(now)
        window = self._windows.get(session)
        if window is None:
            self._windows[session] = _Window(count, 1, now)
            return True
        if count > window.highest:
            shift = min(count - window.highest, WINDOW_COUNT)
            window.seen = (window.seen << shift | 1) & _WINDOW_MASK
            window.highest = count
            window.heard_at = now
            return True
        bit = 1 << (window.highest - count)
        if bit > _WINDOW_MASK or window.seen & bit:
            return False
        window.seen |= bit
        return True

    def _sweep(self, now: float) -> None:
        """Forget sessions whose datagrams would all be stale by now."""
        if abs(now - self._swept_at) < MAX_AGE_S:
            return
        self._swept_at = now
        self._windows = {
            session: window
            for session, window in self._windows.items()
            if abs(now - window.heard_at) <= 3 * MAX_AGE_S
        }


def _digest(key: bytes, to: str, sealed: bytes) -> bytes:
    keyed = hashlib.blake2b(
        to.encode() + b'\0', key=key, digest_size=DIGEST_BYTES
    )
    keyed.update(sealed)
    return keyed.digest()
