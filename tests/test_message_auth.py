"""Test that only authentic, recent and unrepeated datagrams are opened."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
import pytest

from sesameward.exceptions import IntegrityError
from sesameward.membership import message_auth
from sesameward.membership.message_auth import MAX_AGE_S
from sesameward.membership.message_auth import MessageAuthenticator
from sesameward.membership.message_auth import REPLAY_WINDOW_SIZE

NOW = 1_790_000_000.0
RECEIVER = '127.0.0.1:7000'


def build_seals(*keys, session=b'sender--'):
    """Return the MessageAuthenticator of one process, with the given keys."""
    return MessageAuthenticator(keys or ('key',), session)


def refusal_reason(receiver, data, context=RECEIVER, now=NOW):
    """Open a datagram that must be refused; return the reason."""
    with pytest.raises(IntegrityError) as caught:
        receiver.verify(data, context, now)
    return caught.value.reason


@hypothesis.given(st.binary(max_size=200))
def test_a_sealed_body_is_opened_once(body):
    receiver = build_seals()
    sealed = build_seals().sign(body, RECEIVER, NOW)
    assert receiver.verify(sealed, RECEIVER, NOW + 1) == body
    assert refusal_reason(receiver, sealed) == 'replayed'


@hypothesis.given(st.data())
def test_no_altered_datagram_is_opened(data):
    sealed = build_seals().sign(b'some body', RECEIVER, NOW)
    position = data.draw(st.integers(0, len(sealed) - 1))
    mask = data.draw(st.integers(1, 255))
    altered = bytearray(sealed)
    altered[position] ^= mask
    receiver = build_seals()
    assert refusal_reason(receiver, bytes(altered)) == 'foreign'
    assert receiver.verify(sealed, RECEIVER, NOW) == b'some body'


def test_a_datagram_for_another_receiver_is_foreign():
    sealed = build_seals().sign(b'x', '127.0.0.1:7001', NOW)
    assert refusal_reason(build_seals(), sealed) == 'foreign'


@pytest.mark.parametrize('skew_s', [-MAX_AGE_S - 1, MAX_AGE_S + 1])
def test_a_datagram_of_another_time_is_stale(skew_s):
    sealed = build_seals().sign(b'x', RECEIVER, NOW + skew_s)
    assert refusal_reason(build_seals(), sealed) == 'stale'


def test_short_datagrams_are_refused():
    assert refusal_reason(build_seals(), b'') == 'short'


def test_keys_are_rotated_in_two_steps():
    first, second = build_seals('a'), build_seals('a', session=b'receiver')
    second.set_keys(('b', 'a'))
    assert (
        second.verify(first.sign(b'x', RECEIVER, NOW), RECEIVER, NOW) == b'x'
    )
    first.set_keys(('a', 'b'))
    assert (
        first.verify(second.sign(b'y', RECEIVER, NOW), RECEIVER, NOW) == b'y'
    )
    second.set_keys(('b',))
    assert (
        refusal_reason(second, build_seals('a').sign(b'x', RECEIVER, NOW))
        == 'foreign'
    )


@hypothesis.given(st.permutations(range(40)), st.integers(1, 8))
def test_reordered_datagrams_are_opened_once_each(order, repeats):
    sender, receiver = build_seals(), build_seals()
    sealed = [sender.sign(bytes([n]), RECEIVER, NOW) for n in range(40)]
    for number in order:
        assert receiver.verify(sealed[number], RECEIVER, NOW) == bytes(
            [number]
        )
        for _ in range(repeats):
            assert refusal_reason(receiver, sealed[number]) == 'replayed'


def test_datagrams_older_than_the_window_are_refused():
    sender, receiver = build_seals(), build_seals()
    first = sender.sign(b'x', RECEIVER, NOW)
    for _ in range(REPLAY_WINDOW_SIZE):
        last = sender.sign(b'x', RECEIVER, NOW)
    receiver.verify(last, RECEIVER, NOW)
    assert refusal_reason(receiver, first) == 'replayed'


def test_a_replay_is_refused_after_its_session_was_forgotten():
    sender, receiver = build_seals(), build_seals()
    sealed = sender.sign(b'x', RECEIVER, NOW)
    receiver.verify(sealed, RECEIVER, NOW)
    other = build_seals(session=b'another-')
    for step in range(1, 12):
        now = NOW + step * MAX_AGE_S / 2
        receiver.verify(other.sign(b'y', RECEIVER, now), RECEIVER, now)
        expected = 'replayed' if step <= 2 else 'stale'
        assert refusal_reason(receiver, sealed, now=now) == expected


def test_number_of_remembered_senders_is_bounded(monkeypatch):
    # Guards against datagrams that each name a new sender.
    monkeypatch.setattr(message_auth, 'MAX_SESSIONS', 10)
    receiver = build_seals()

    def seal(number):
        sender = build_seals(session=b'sender%02d' % number)
        return sender.sign(b'body', RECEIVER, NOW)

    for number in range(10):
        receiver.verify(seal(number), RECEIVER, NOW)
    assert refusal_reason(receiver, seal(10)) == 'too_many_senders'
    later = build_seals(session=b'sender99').sign(
        b'body', RECEIVER, NOW + 4 * MAX_AGE_S
    )
    receiver.verify(later, RECEIVER, NOW + 4 * MAX_AGE_S)
