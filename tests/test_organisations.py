"""Test how callers are identified by their keys, without a network."""

import json
import math

import pytest

from sesameward.exceptions import DeclarationError
from sesameward.messages import StoredObject
from sesameward.organisations.identity import Identity
from sesameward.organisations.identity import KeyRefusal
from sesameward.platform.objects import ObjectDecoder
from sesameward.platform.wire import PlatformWire
from sesameward.serving.http_server import Request

TENANTS = [
    {'name': 'acme', 'api_keys': ['k1', 'k2'], 'priority': 0},
    {'name': 'Zoë & Söhne', 'api_keys': ['k2', 'k3', ''], 'rate_per_s': 9},
]


def decode(**fields):
    spec = {'version': 3, 'routes': [], **fields}
    stored = StoredObject('config', 'main', 7, json.dumps(spec).encode())
    return ObjectDecoder().routes(stored)


def make_request(*headers):
    headers = [(b'Host', b'h'), (b'Sesameward-Request-Id', b'abc'), *headers]
    return Request(b'GET', b'/', '/', b'', 'h', headers, b'', 0.0, True)


def test_organisations_are_decoded():
    acme, other = decode(tenants=TENANTS).organisations
    assert (acme.name, acme.keys, acme.priority) == ('acme', ('k1', 'k2'), 0)
    assert (acme.rate_per_s, acme.burst) == (0.0, 0.0)
    assert (other.priority, other.rate_per_s) == (None, 9.0)


# Guards against keys being required where the configuration has no list of
# organisations, and against serving without keys where the list is empty.
def test_absent_and_empty_lists_differ():
    assert decode().organisations is None
    assert decode(tenants=[]).organisations == ()


# Guards against a header injected by the name of an organisation.
@pytest.mark.parametrize('name', ['', 'a\r\nB: c', 'a\n', ' a', 'a ', 'a\x00'])
def test_name_that_is_no_header_value_is_refused(name):
    with pytest.raises(DeclarationError) as caught:
        decode(tenants=[{'name': name, 'api_keys': ['secret-1']}])
    assert 'secret-1' not in str(caught.value)


# Guards against keys in log lines, which show errors and reprs.
def test_keys_are_in_no_error_and_no_repr():
    with pytest.raises(DeclarationError) as caught:
        decode(tenants=[{'name': 'a', 'api_keys': ['secret-1', 7]}])
    assert 'secret-1' not in str(caught.value)
    table = decode(tenants=[{'name': 'a', 'api_keys': ['secret-1']}])
    assert 'secret-1' not in repr(table.organisations)


@pytest.mark.parametrize(
    ('keys', 'name'),
    [
        ((b'k1',), 'acme'),
        ((b'k2',), 'acme'),
        ((b'k3',), 'Zoë & Söhne'),
        ((), None),
        ((b'',), None),
        ((b'k4',), None),
        ((b'k1', b'k1'), None),
        ((b'k1, k2',), None),
    ],
)
def test_one_known_key_identifies_its_first_holder(keys, name):
    identity = Identity(math.inf)
    found = identity.identify(decode(tenants=TENANTS), keys, 0.0)
    if name is None:
        assert found is KeyRefusal.UNKNOWN
    else:
        assert found.name == name


# Guards against keys of an earlier table that are still accepted.
def test_withdrawn_key_is_unknown_in_the_next_table():
    identity = Identity(math.inf)
    assert identity.identify(decode(tenants=TENANTS), [b'k1'], 0.0)
    found = identity.identify(decode(tenants=TENANTS[1:]), [b'k1'], 0.0)
    assert found is KeyRefusal.UNKNOWN


def test_stale_keys_are_refused_only_if_the_settings_say_so():
    table = decode(tenants=TENANTS)
    assert Identity(5.0).identify(table, [b'k1'], 5.1) is KeyRefusal.STALE
    assert Identity(5.0).identify(table, [b'k1'], 4.9).name == 'acme'
    assert Identity(math.inf).identify(table, [b'k1'], 1e6).name == 'acme'


# Guards against a key or a forged name that reaches a target, in the head that
# targets and helper nodes get.
def test_head_has_neither_a_key_nor_a_name_of_the_callers():
    wire = PlatformWire()
    asked = wire.read_request(
        make_request(
            (b'X-API-KEY', b' secret-1 '),
            (b'x-api-key', b'secret-2'),
            (b'sesameward-TENANT', b'forged'),
            (b'Sesameward-Tenant', b'forged'),
            (b'Connection', b'X-Api-Key, Sesameward-Tenant'),
        ),
        with_keys=True,
    )
    assert asked.api_keys == (b'secret-1', b'secret-2')
    wire.add_organisation(asked, 'Zoë')
    assert b'secret' not in asked.head
    assert b'forged' not in asked.head
    assert asked.head.count('\r\nSesameward-Tenant: Zoë\r\n'.encode()) == 1


def test_head_is_unchanged_without_organisations():
    headers = (b'X-Api-Key', b'k'), (b'Sesameward-Tenant', b't')
    asked = PlatformWire().read_request(make_request(*headers))
    assert b'\r\nX-Api-Key: k\r\nSesameward-Tenant: t\r\n' in asked.head
    assert asked.api_keys == ()
