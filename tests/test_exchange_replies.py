"""Test that a reply is told apart from copies of earlier replies."""

import types

import pytest

from sesameward.platform.wire import PlatformWire
from sesameward.serving.exchange import Exchange
from sesameward.serving.target_connection import Reply

OWN = [(b'Sesameward-Request-Id', b'own')]
OTHER = [(b'Sesameward-Request-Id', b'other')]


@pytest.fixture
def is_own():
    """Return a function that tells whether a reply is taken as its own.

    All calls share one connection.
    """
    conn = types.SimpleNamespace(names_requests=False)

    def run(headers):
        exchange = Exchange(
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
