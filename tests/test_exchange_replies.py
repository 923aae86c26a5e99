"""Test that a copy of an earlier reply is not taken for a request's reply."""

import types

import pytest

from sesameward.platform.wire import PlatformWire
from sesameward.serving.exchange import SubRequestExchange
from sesameward.serving.target_connection import Reply

OWN = [(b'Sesameward-Request-Id', b'own')]
OTHER = [(b'Sesameward-Request-Id', b'other')]


@pytest.fixture
def is_own():
    """Return a function that checks if a reply is taken for the right one.

    It returns True if a reply with the given headers is taken for the reply to
    the current request, whose id is "own". All calls share one connection.
    """
    conn = types.SimpleNamespace(echoes_request_ids=False)

    def run(headers):
        exchange = SubRequestExchange(
            types.SimpleNamespace(wire=PlatformWire()),
            types.SimpleNamespace(request_id='own'),
            't',
            lambda: True,
            lambda result: None,
        )
        exchange._conn = conn
        return exchange._is_own_reply(Reply(200, b'OK', headers, b''))

    return run


def test_reply_that_names_another_request_is_not_the_own(is_own):
    assert is_own(OWN)
    assert not is_own(OTHER)


def test_reply_without_a_name_is_the_own_where_none_has_one(is_own):
    assert is_own([])
    assert is_own([])


# A copy of an earlier reply may have lost its request id.
def test_reply_without_a_name_is_not_the_own_where_others_have_one(is_own):
    assert is_own(OWN)
    assert not is_own([])
