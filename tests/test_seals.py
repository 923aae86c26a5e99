"""Test that only authentic and fresh datagrams are opened, once."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
import pytest

from sesameward.exceptions import IntegrityError
from sesameward.membership.seals import MAX_AGE_S
from sesameward.membership.seals import Seals
from sesameward.membership.seals import WINDOW_COUNT

NOW = 1_790_000_000.0
HERE = '127.0.0.1:7000'


def seals(*keys, session=b'sender--'):
    """Return the seals of one process."""
    return Seals(keys or ('key',), session)


def reason_of(receiver, data, to=HERE, now=NOW):
    """Return why a datagram was refused."""
    with pytest.raises(IntegrityError) as caught:
        receiver.open(data, to, now)
    return caught.value.reason


@hypothesis.given(st.binary(max_size=200))
def test_a_sealed_body_is_opened_once(body):
    receiver = seals()
    sealed = seals().seal(body, HERE, NOW)
    assert receiver.open(sealed, HERE, NOW + 1) == body
    assert reason_of(receiver, sealed) == 'replayed'


@hypothesis.given(st.data())
def test_no_altered_datagram_is_opened(data):
    sealed = seals().seal(b'some body', HERE, NOW)
    place = data.draw(st.integers(0, len(sealed) - 1))
    flip = data.draw(st.integers(1, 255))
    altered = bytearray(sealed)
    altered[place] ^= flip
    receiver = seals()
    assert reason_of(receiver, bytes(altered)) == 'foreign'
    assert receiver.open(sealed, HERE, NOW) == b'some body'


def test_a_datagram_for_another_receiver_is_foreign():
    sealed = seals().seal(b'x', '127.0.0.1:7001', NOW)
    assert reason_of(seals(), sealed) == 'foreign'


@pytest.mark.parametrize('skew_s', [-MAX_AGE_S - 1, MAX_AGE_S + 1])
def test_a_datagram_of_another_time_is_stale(skew_s):
    sealed = seals().seal(b'x', HERE, NOW + skew_s)
    assert reason_of(seals(), sealed) == 'stale'


def test_short_datagrams_are_refused():
    assert reason_of(seals(), b'') == 'short'


def test_keys_are_rotated_in_two_steps():
    old, new = seals('a'), seals('a', session=b'receiver')
    new.set_keys(('b', 'a'))
    assert new.open(old.seal(b'x', HERE, NOW), HERE, NOW) == b'x'
    old.set_keys(('a', 'b'))
    assert old.open(new.seal(b'y', HERE, NOW), HERE, NOW) == b'y'
    new.set_keys(('b',))
    assert reason_of(new, seals('a').seal(b'x', HERE, NOW)) == 'foreign'


@hypothesis.given(st.permutations(range(40)), st.integers(1, 8))
def test_reordered_datagrams_are_opened_once_each(order, repeats):
    sender, receiver = seals(), seals()
    sealed = [sender.seal(bytes([n]), HERE, NOW) for n in range(40)]
    for number in order:
        assert receiver.open(sealed[number], HERE, NOW) == bytes([number])
        for _ in range(repeats):
            assert reason_of(receiver, sealed[number]) == 'replayed'


def test_datagrams_older_than_the_window_are_refused():
    sender, receiver = seals(), seals()
    first = sender.seal(b'x', HERE, NOW)
    for _ in range(WINDOW_COUNT):
        last = sender.seal(b'x', HERE, NOW)
    receiver.open(last, HERE, NOW)
    assert reason_of(receiver, first) == 'replayed'


def test_a_replay_is_refused_after_its_session_was_forgotten():
    sender, receiver = seals(), seals()
    sealed = sender.seal(b'x', HERE, NOW)
    receiver.open(sealed, HERE, NOW)
    other = seals(session=b'another-')
    for step in range(1, 12):
        now = NOW + step * MAX_AGE_S / 2
        receiver.open(other.seal(b'y', HERE, now), HERE, now)
        expected = 'replayed' if step <= 2 else 'stale'
        assert reason_of(receiver, sealed, now=now) == expected
