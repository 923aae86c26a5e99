"""Seal messages with a MAC; refuse altered, old and repeated messages.

A sealed message has a MAC, then a header (a random id of the sending process
called session, a sequence number and the time), then the body. The body is not
encrypted.
"""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
import struct

from ..exceptions import IntegrityError

MAC_BYTES = 16
# A message is refused if the time in its header differs by more than this from
# the local clock.
MAX_AGE_S = 30.0
# Number of sequence numbers, up to the highest one received, that are
# remembered per session to refuse repeated messages. Lower ones are refused.
REPLAY_WINDOW_SIZE = 1_024

# Number of sessions that are remembered. Each process has one, and those of
# ended processes are forgotten after some minutes. A session takes 0.4 KB.
MAX_SESSIONS = 15_000

_HEADER = struct.Struct('>8sQQ')
_MIN_BYTES = MAC_BYTES + _HEADER.size
_WINDOW_MASK = (1 << REPLAY_WINDOW_SIZE) - 1

OVERHEAD_BYTES = _MIN_BYTES


@dataclasses.dataclass(slots=True)
class _ReplayWindow:
    highest_sequence: int
    seen_bits: int
    received_at: float


class MessageAuthenticator:
    """Seal messages with the first key; verify those of any key, each once."""

    def __init__(self, keys: tuple[str, ...], session: bytes):
        self._session = session
        self._sequence = 0
        self._windows: dict[bytes, _ReplayWindow] = {}
        self._sessions_dropped_at = 0.0
        self.set_keys(keys)

    def set_keys(self, keys: tuple[str, ...]) -> None:
        """Replace the keys.

        The first key seals messages. Messages sealed with any are accepted.
        """
        self._keys = tuple(
            hashlib.blake2b(key.encode()).digest() for key in keys
        )

    def sign(self, body: bytes, context: str, now: float) -> bytes:
        """Return the body sealed for one context; now is wall time.

        The context is the receiver's address, or the digest of the request if
        the body is a reply. The receiver needs the same context to verify the
        message, so that a message cannot be redirected.
        """
        self._sequence += 1
        header = _HEADER.pack(self._session, self._sequence, int(now * 1_000))
        signed = header + body
        return _mac(self._keys[0], context, signed) + signed

    def verify(self, data: bytes, context: str, now: float) -> bytes:
        """Return the body of a message that is authentic and not repeated.

        Raise IntegrityError if the message is refused: too short, sealed with
        another key or context, too old, received before, or of one sender too
        many.
        """
        if len(data) < _MIN_BYTES:
            raise IntegrityError(
                'short',
                'the message is shorter than a sesameward header; '
                'find out which other program sends to this port',
            )
        signed = data[MAC_BYTES:]
        if not self._is_authentic(data[:MAC_BYTES], context, signed):
            raise IntegrityError(
                'foreign',
                'no key of this agent matches the MAC of the message; '
                'give all agents the same keys, '
                'and send to each agent at the address that it announces',
            )
        session, sequence, sent_ms = _HEADER.unpack_from(signed)
        if abs(now - sent_ms / 1_000) > MAX_AGE_S:
            raise IntegrityError(
                'stale',
                'the time of sealing in the message header '
                'is too far from the local clock; '
                'synchronize the clocks of the VMs',
            )
        if not self._mark_received(session, sequence, now):
            raise IntegrityError(
                'replayed',
                'the message was received before, '
                'or many newer messages of its sender were; '
                'find out which host repeats or delays messages',
            )
        return signed[_HEADER.size :]

    def _is_authentic(self, mac: bytes, context: str, signed: bytes) -> bool:
        return any(
            hmac.compare_digest(mac, _mac(key, context, signed))
            for key in self._keys
        )

    def _mark_received(
        self, session: bytes, sequence: int, now: float
    ) -> bool:
        """Record a sequence number; return False if repeated or too low."""
        self._drop_old_sessions(now)
        window = self._windows.get(session)
        if window is None:
            if len(self._windows) >= MAX_SESSIONS:
                raise IntegrityError(
                    'too_many_senders',
                    f'more than {MAX_SESSIONS} processes have sent messages '
                    'within minutes; '
                    'find out which host sends under ever new names',
                )
            self._windows[session] = _ReplayWindow(sequence, 1, now)
            return True
        if sequence > window.highest_sequence:
            shift = min(sequence - window.highest_sequence, REPLAY_WINDOW_SIZE)
            window.seen_bits = (window.seen_bits << shift | 1) & _WINDOW_MASK
            window.highest_sequence = sequence
            window.received_at = now
            return True
        bit = 1 << (window.highest_sequence - sequence)
        if bit > _WINDOW_MASK or window.seen_bits & bit:
            return False
        window.seen_bits |= bit
        return True

    def _drop_old_sessions(self, now: float) -> None:
        """Remove the replay windows of sessions without recent messages.

        Repetitions of their messages are refused by the time in the header.
        """
        if abs(now - self._sessions_dropped_at) < MAX_AGE_S:
            return
        self._sessions_dropped_at = now
        self._windows = {
            session: window
            for session, window in self._windows.items()
            if abs(now - window.received_at) <= 3 * MAX_AGE_S
        }


def _mac(key: bytes, context: str, signed: bytes) -> bytes:
    keyed = hashlib.blake2b(
        context.encode() + b'\0', key=key, digest_size=MAC_BYTES
    )
    keyed.update(signed)
    return keyed.digest()
