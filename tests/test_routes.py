"""Test finding the route of a request."""

import pytest

from sesameward.serving.routes import CallerLimits
from sesameward.serving.routes import OneService
from sesameward.serving.routes import Repeat
from sesameward.serving.routes import Route
from sesameward.serving.routes import RouteTable


def make_route(name, prefix, host='a.example'):
    return Route(
        name, host, prefix, Repeat.SAFE, 1.0, 0.1, 1, 2, OneService(name)
    )


@pytest.fixture
def table():
    routes = [
        make_route('short', '/x/'),
        make_route('long', '/x/y/'),
        make_route('other', '/x/', 'b.example'),
        make_route('root', '/', 'c.example'),
    ]
    return RouteTable(1, routes, [], CallerLimits())


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('a.example', '/x/1', 'short'),
        ('a.example', '/x/', 'short'),
        ('a.example', '/x/y/1', 'long'),
        ('a.example', '/x/y', 'short'),
        ('a.example', '/x/yy/1', 'short'),
        ('A.Example:8080', '/x/y/z/1', 'long'),
        ('b.example', '/x/y/1', 'other'),
        ('c.example', '/anything/at/all', 'root'),
    ],
)
def test_longest_prefix_wins(table, host, path, name):
    assert table.find(host, path).name == name


@pytest.mark.parametrize(
    ('host', 'path'),
    [('a.example', '/x'), ('a.example', '/'), ('d.example', '/x/1')],
)
def test_no_route(table, host, path):
    assert table.find(host, path) is None


def test_lookup_stays_cheap_with_thousands_of_routes():
    routes = [make_route(f'r{n}', f'/p{n}/') for n in range(5_000)]
    table = RouteTable(1, routes, [], CallerLimits())
    assert table.find('a.example', '/p4999/a/b/c/d').name == 'r4999'
