"""Test the adapter's settings, stored objects, store calls and headers."""

import asyncio
import json
import os
import resource
import socket
import subprocess
import sys
import time

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from sesameward.exceptions import CompactedError
from sesameward.exceptions import DeclarationError
from sesameward.exceptions import PlatformThrottledError
from sesameward.exceptions import PlatformUnavailableError
from sesameward.exceptions import SettingsError
from sesameward.messages import StoredObject
from sesameward.metrics import Metrics
from sesameward.platform import boot
from sesameward.platform import json_parts
from sesameward.platform.objects import ObjectDecoder
from sesameward.platform.store import DEFAULT_RETRY_AFTER_S
from sesameward.platform.store import MAX_RETRY_AFTER_S
from sesameward.platform.store import StoreCalls
from sesameward.platform.wire import MAX_WARMUP_S
from sesameward.platform.wire import PlatformEndpointAdapter
from sesameward.platform.wire import PlatformWire
from sesameward.serving.directory import Addresses
from sesameward.serving.epochs import Position
from sesameward.serving.http_server import Answer
from sesameward.serving.http_server import HttpServer
from sesameward.serving.http_server import Request
from sesameward.serving.node import SUSPENDED_AFTER_S
from sesameward.serving.routes import OneService
from sesameward.serving.routes import Repeat
from sesameward.serving.routes import Shards
from sesameward.serving.routes import Split
from sesameward.serving.routes import WeightedService
from sesameward.serving.target_connection import Reply
from sesameward.serving.targets import TargetState
from sesameward.standin.object_store import ObjectStore

SETTINGS = {
    'node': 'n1',
    'ip': '10.0.0.1',
    'zone': 'z1',
    'region': 'r',
    'zones': {'z1': 'r', 'z2': 'r'},
    'listen': {
        'front': '10.0.0.1:80',
        'ready': '10.0.0.1:81',
        'directory': '10.0.0.1:82',
        'control': '10.0.0.1:83',
    },
    'internal_ports': [7000, 7015],
    'seeds': ['10.0.0.2:83'],
    'platform': {'address': '10.0.0.9:90', 'form': 'objects'},
    'bounds': {
        'retry_budget_ratio': 0.2,
        'retry_budget_slack': 54,
        'budget_window_s': 10,
        'config_ms': 3000,
        'drain_ms': 2000,
        'grace_s': 6,
        'ttl_max_s': 5,
    },
    'unknown_field': [1, 2],
}


def parse_settings(**changes):
    return boot.parse('boot.json', json.dumps(SETTINGS | changes).encode())


def test_settings_are_translated():
    cfg = parse_settings()
    assert (cfg.node, cfg.zone) == ('n1', 'z1')
    assert str(cfg.callers) == '10.0.0.1:80'
    assert str(cfg.gossip) == '10.0.0.1:7000'
    assert (cfg.peer_port, cfg.metrics_port) == (7001, 7015)
    assert [str(seed) for seed in cfg.seeds] == ['10.0.0.2:7000']
    assert cfg.bounds.in_force_s == 2.0
    assert cfg.bounds.retry_slack == 54
    assert cfg.bounds.evac_s is None
    assert cfg.bounds.warmup_overshoot is None


def test_settings_of_cold_targets_and_evacuations_are_translated():
    added = {'evac_ms': 5_000, 'warmup_overshoot': 2, 'warmup_slack': 0}
    cfg = parse_settings(bounds=SETTINGS['bounds'] | added)
    assert cfg.bounds.evac_s == 5.0
    assert cfg.bounds.warmup_overshoot == 2.0
    assert cfg.bounds.warmup_slack == 0.0


def test_limits_are_read_and_never_above_those_of_the_process():
    cfg = parse_settings(limits={'memory_mb': 200, 'max_fds': 500})
    assert (cfg.memory_bytes, cfg.max_fds) == (200_000_000, 500)
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert parse_settings().max_fds <= soft
    assert parse_settings(limits={'max_fds': 10**9}).max_fds <= soft


@pytest.mark.parametrize(
    ('changes', 'field'),
    [
        ({'node': 7}, 'node'),
        ({'platform': {}}, 'platform'),
        ({'platform': {'address': 'nowhere'}}, 'platform.address'),
        ({'internal_ports': [1]}, 'internal_ports'),
        ({'bounds': SETTINGS['bounds'] | {'grace_s': -1}}, 'bounds.grace_s'),
        (
            {'listen': SETTINGS['listen'] | {'front': 'x:99999'}},
            'listen.front',
        ),
    ],
)
def test_wrong_settings_name_field_and_remedy(changes, field):
    with pytest.raises(SettingsError) as caught:
        parse_settings(**changes)
    assert caught.value.field == field
    assert caught.value.remedy


def test_missing_settings_name_the_field():
    data = {k: v for k, v in SETTINGS.items() if k != 'zone'}
    with pytest.raises(SettingsError, match='zone'):
        boot.parse('boot.json', json.dumps(data).encode())


def make_stored(spec, name='main', kind='config'):
    return StoredObject(kind, name, 7, json.dumps(spec).encode())


ROUTE = {
    'name': 'r1',
    'hostname': 'h',
    'path_prefix': '/p/',
    'route_type': 'safe',
    'timeout_ms': 250,
    'target_latency_ms': 44,
    'priority': 2,
    'max_attempts': 2,
}


@pytest.mark.parametrize(
    ('extra', 'destination'),
    [
        ({'service': 's'}, OneService('s')),
        (
            {'traffic_split': [{'service': 's', 'weight': 3}]},
            Split((WeightedService('s', 3.0),)),
        ),
        (
            {'gather': ['s', 't'], 'top_k': 5, 'min_coverage': 0.75},
            Shards(('s', 't'), 5, 0.75),
        ),
    ],
)
def test_routes_are_translated(extra, destination):
    spec = {
        'version': 12,
        'routes': [ROUTE | extra],
        'services': [
            {'name': 's', 'max_conns': 25},
            {'name': 't', 'max_conns': 25, 'warmup_per_s': 0},
        ],
        'limits': {'idle_timeout_ms': 15_000},
    }
    table = ObjectDecoder().routes(make_stored(spec))
    (route,) = table.routes
    assert table.version == 12
    assert route.destination == destination
    assert (route.timeout_s, route.objective_s) == (0.25, 0.044)
    assert route.repeat is Repeat.SAFE
    assert table.services['s'].max_connections == 25
    assert table.services['s'].warmup_per_s is None
    assert table.services['t'].warmup_per_s == 0.0
    assert table.limits.idle_timeout_s == 15.0


def test_other_objects_beside_the_configuration_are_refused():
    with pytest.raises(DeclarationError):
        ObjectDecoder().routes(make_stored({'version': 1}, name='other'))


# Guards against a configuration that is accepted, but whose numbers make the
# messages about it or the arithmetic with them fail.
@pytest.mark.parametrize('number', [2**63, 10**400])
@pytest.mark.parametrize(
    'field', ['version', 'priority', 'top_k', 'max_conns']
)
def test_configuration_with_too_large_a_number_is_refused(field, number):
    service = {'name': 's', 'max_conns': 25}
    spec = {
        'version': 12,
        'routes': [ROUTE | {'service': 's'}],
        'services': [service],
    }
    ObjectDecoder().routes(make_stored(spec))
    holders = {
        'version': spec,
        'max_conns': service,
        'priority': spec['routes'][0],
        'top_k': spec['routes'][0],
    }
    holders[field][field] = number
    with pytest.raises(DeclarationError):
        ObjectDecoder().routes(make_stored(spec))


REGISTRATION = {
    'service': 's',
    'address': '10.0.0.3:8080',
    'zone': 'z1',
    'version': 'v1',
    'slots': 2,
    'state': 'draining',
    'warmup_left_ms': 1500,
    'seq': 4,
    'born': 1_700_000_000_000,
}


def test_targets_are_translated():
    target = ObjectDecoder().target(
        make_stored(REGISTRATION, 'i-1', 'servers')
    )
    assert (target.id, target.host, target.port) == ('i-1', '10.0.0.3', 8080)
    assert target.state is TargetState.DRAINING
    assert target.drain
    assert target.warmup_s == 1.5
    assert target.seq == 4
    assert target.started_ms == REGISTRATION['born']


@given(
    st.dictionaries(
        st.sampled_from(sorted(REGISTRATION)),
        st.none() | st.integers(-5, 5) | st.text(max_size=5) | st.booleans(),
        min_size=1,
    )
)
def test_forged_entries_are_refused_or_readable(changes):
    try:
        target = ObjectDecoder().target(
            make_stored(REGISTRATION | changes, 'i-1', 'servers')
        )
    except DeclarationError as exc:
        assert exc.remedy
    else:
        assert target.slots >= 1
        assert 0 < len(target.host)


LARGEST_OBJECT_BYTES = 1_048_576
NESTED = b'[' * 3_000 + b']' * 3_000


# Guards against a registration that is accepted, but whose address or numbers
# make the connections to it or the messages about it fail.
@pytest.mark.parametrize(
    'changes',
    [
        {'address': '127.0.0.1:\u00b2'},
        {'address': '127.0.0.1:' + '1' * 5_000},
        {'address': '127.0.0.1:\u0661'},
        {'address': '127.0.0.1:65536'},
        {'address': 'a..b:80'},
        {'address': 'x' * 64 + ':80'},
        {'address': 'a\x00b:80'},
        {'address': 'somewhere:80'},
        {'address': ':80'},
        {'born': 10**30},
        {'slots': 10**30},
        {'seq': 10**30},
        {'unknown': 'nested'},
    ],
)
def test_registration_that_can_not_be_used_is_refused(changes):
    text = json.dumps(REGISTRATION | changes).encode()
    text = text.replace(b'"nested"', NESTED)
    stored = StoredObject('servers', 'i-1', 7, text)
    with pytest.raises(DeclarationError) as caught:
        ObjectDecoder().target(stored)
    assert caught.value.remedy


# Guards against a registration whose name adds headers to the requests that
# are sent to its target, or does not fit into a datagram.
@pytest.mark.parametrize(
    'name', ['', 'i-1\r\nX-Header: 1', 'i 1', 'i-\u00e9', 'i' * 201]
)
def test_registration_with_an_unusable_name_is_refused(name):
    with pytest.raises(DeclarationError, match='name'):
        ObjectDecoder().target(make_stored(REGISTRATION, name, 'servers'))


def test_bytes_that_are_no_json_are_refused():
    with pytest.raises(DeclarationError):
        ObjectDecoder().target(StoredObject('servers', 'i-1', 7, b'\xff{'))


# Calls to the store.


def settings_for(port):
    return parse_settings(platform={'address': f'127.0.0.1:{port}'})


@pytest.fixture
def run_with_store():
    """Return a function that runs a scenario against a stand-in store."""

    def run(scenario):
        async def main():
            store = ObjectStore()
            cfg = settings_for(await store.open_door('d'))
            try:
                return await scenario(store, StoreCalls(cfg), cfg)
            finally:
                store.stop()

        return asyncio.run(main())

    return run


def test_lists_are_read_page_by_page(run_with_store):
    async def scenario(store, calls, cfg):
        for n in range(120):
            store.put('servers', f'i-{n:03}', {'n': n})
        position, objects = await calls.list('servers', 1.0)
        assert position == Position(store.revision, store.era)
        assert len(objects) == 120
        assert json.loads(objects[7].value) == {'n': 7}

    run_with_store(scenario)


def test_watch_tells_changes_and_removals(run_with_store):
    async def scenario(store, calls, cfg):
        since, _ = await calls.list('servers', 1.0)
        watch = asyncio.create_task(
            calls.watch('servers', since.revision, 1.0, 2.0)
        )
        await asyncio.sleep(0.05)
        store.put('servers', 'i-1', {'n': 1})
        through, (event,) = await watch
        assert (event.name, event.deleted) == ('i-1', False)
        store.delete('servers', 'i-1')
        _, (event,) = await calls.watch('servers', through.revision, 1.0, 2.0)
        assert (event.name, event.deleted) == ('i-1', True)

    run_with_store(scenario)


def test_forgotten_history_is_told(run_with_store):
    async def scenario(store, calls, cfg):
        since, _ = await calls.list('servers', 1.0)
        store.put('servers', 'i-1', {})
        store.forget_history()
        with pytest.raises(CompactedError):
            await calls.watch('servers', since.revision, 0.1, 1.0)

    run_with_store(scenario)


# Specs of other writers that can't be decoded.
UNDECODABLE_SPECS = [
    NESTED,
    b'{"service": %s}' % NESTED,
    b'{"unknown": {"a": %s}, "service": "s"}' % NESTED,
    b'"\\ud800"',
    b'{"service": "\\ud800"}',
    b'{"\\udfff": 1}',
    b'{"text": "]}, \\" [{", "a": "\\ud800"}',
]


# Guards against one object that can't be decoded making the whole reply
# unreadable, in each list and watch for as long as it is stored.
@pytest.mark.parametrize('spec', UNDECODABLE_SPECS)
def test_object_that_can_not_be_decoded_harms_no_others(run_with_store, spec):
    async def scenario(store, calls, cfg):
        store.put('servers', 'i-1', {'n': 1})
        since = store.revision
        store.put('servers', 'i-2', msgspec.Raw(spec))
        store.put('servers', 'i-3', {'n': 3})
        _, objects = await calls.list('servers', 1.0)
        assert [json.loads(o.value) for o in objects] == [
            {'n': 1},
            None,
            {'n': 3},
        ]
        _, events = await calls.watch('servers', since, 0.0, 1.0)
        assert [o.name for o in events] == ['i-2', 'i-3']
        assert [json.loads(o.value) for o in events] == [None, {'n': 3}]
        with pytest.raises(DeclarationError):
            ObjectDecoder().target(events[0])

    run_with_store(scenario)


# Guards against a list that ends early where a whole page has no object with a
# readable name: the objects after it would count as deleted.
def test_page_without_any_readable_name_is_no_end_of_a_list():
    name = (
        b'{"items": [{"meta": {"name": "\\ud800"}}], "more": %s, "as_of": 3}'
    )

    def handle(req, responder):
        responder.send(Answer(200, [], name % b'true'))

    async def main():
        server = HttpServer(handle, Metrics('t'), lambda: 0.0)
        await server.start('127.0.0.1', 0)
        try:
            await StoreCalls(settings_for(server.port)).list('servers', 1.0)
        finally:
            server.stop()

    with pytest.raises(PlatformUnavailableError, match='unnamed'):
        asyncio.run(main())


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


@given(st.lists(JSON_VALUES), st.sampled_from([None, 1]))
def test_elements_of_an_array_are_found(values, indent):
    text = json.dumps(values, indent=indent).encode()
    parts = json_parts.elements(text)
    assert [json.loads(part) for part in parts] == values


@given(st.dictionaries(st.text(), JSON_VALUES), st.sampled_from([None, 1]))
def test_members_of_an_object_are_found(fields, indent):
    text = json.dumps(fields, indent=indent).encode()
    parts = json_parts.members(text)
    assert {name: json.loads(one) for name, one in parts.items()} == fields


@given(st.binary(max_size=30))
def test_text_that_is_no_json_is_split_or_refused(text):
    for split in (json_parts.elements, json_parts.members):
        try:
            split(text)
        except msgspec.DecodeError:
            continue


# Guards against a node that stands still while it searches a large object.
@pytest.mark.parametrize('unit', [b'\\"', b'{', b'[1],['])
def test_large_text_is_split_in_short_time(unit):
    text = b'["' if unit == b'\\"' else b'['
    text += unit * (LARGEST_OBJECT_BYTES // len(unit))
    for split in (json_parts.elements, json_parts.members):
        started_at = time.process_time()
        with pytest.raises(msgspec.DecodeError):
            split(text)
        # A node that stands still for longer counts as suspended.
        assert time.process_time() - started_at < SUSPENDED_AFTER_S


def test_registration_is_found_and_repeatable(run_with_store):
    async def scenario(store, calls, cfg):
        await calls.register(cfg)
        await calls.register(cfg)
        assert [str(one) for one in await calls.nodes()] == ['10.0.0.1:7000']

    run_with_store(scenario)


# Guards against a node that finds only the first page of the other nodes, and
# takes its own registration for lost since it is on a later page.
# Guards against nodes that find no others because one registration of a node
# is not valid.
@pytest.mark.parametrize(
    'spec',
    [
        b'null',
        b'{"host": 7}',
        b'{"host": "a..b", "port": 80}',
        b'{"host": "10.0.0.5", "port": -1}',
        b'{"host": "10.0.0.5", "port": 80, "unknown": %s}' % NESTED,
    ],
)
def test_invalid_registration_of_a_node_harms_no_others(run_with_store, spec):
    async def scenario(store, calls, cfg):
        await calls.register(cfg)
        store.put('sesameward-nodes', 'n0', msgspec.Raw(spec))
        assert await calls.nodes() == [cfg.gossip]

    run_with_store(scenario)


def test_nodes_are_read_page_by_page(run_with_store):
    async def scenario(store, calls, cfg):
        for n in range(120):
            spec = {'host': f'10.0.1.{n}', 'port': 7000}
            store.put('sesameward-nodes', f'node-{n:03}', spec)
        assert len(await calls.nodes()) == 120

    run_with_store(scenario)


@pytest.mark.parametrize('fault', ['busy_for', 'silent_for'])
def test_store_that_turns_away_is_unavailable(run_with_store, fault):
    async def scenario(store, calls, cfg):
        getattr(store.faults, fault).add('d')
        with pytest.raises(PlatformUnavailableError):
            await calls.list('servers', 0.2)
        getattr(store.faults, fault).clear()
        await calls.list('servers', 1.0)

    run_with_store(scenario)


@pytest.mark.parametrize(
    ('era', 'position'),
    [
        (None, Position(1)),
        (0, Position(1, 0)),
        (12, Position(1, 12)),
        (b'-1', Position(1, is_epoch_valid=False)),
        (b'', Position(1, is_epoch_valid=False)),
        (b'2.5', Position(1, is_epoch_valid=False)),
        (b'9' * 5_000, Position(1, is_epoch_valid=False)),
    ],
)
def test_epoch_of_the_store_is_read(run_with_store, era, position):
    async def scenario(store, calls, cfg):
        store.era = era
        assert await calls.list('servers', 1.0) == (position, [])
        assert await calls.watch('servers', 1, 0.0, 1.0) == (position, [])

    run_with_store(scenario)


# Guards against an epoch that is not seen because the store names it under the
# deployment's prefix, as it does most headers.
@pytest.mark.parametrize('header', [b'Store-Era', b'Sesameward-Store-Era'])
def test_epoch_is_read_under_both_names(run_with_store, header):
    async def scenario(store, calls, cfg):
        store.era, store.era_header = 12, header
        assert await calls.list('servers', 1.0) == (Position(1, 12), [])

    run_with_store(scenario)


def test_pages_of_two_epochs_are_no_list():
    async def main():
        eras = [b'1', b'2']

        def handle(req, responder):
            item = b'{"meta": {"name": "i-%s", "revision": 1}}' % eras[0]
            body = b'{"items": [%s], "more": %s, "as_of": 7}' % (
                item,
                b'true' if len(eras) > 1 else b'false',
            )
            headers = [(b'Store-Era', eras.pop(0))]
            responder.send(Answer(200, headers, body))

        server = HttpServer(
            handle, Metrics('t'), asyncio.get_running_loop().time
        )
        await server.start('127.0.0.1', 0)
        with pytest.raises(PlatformUnavailableError):
            await StoreCalls(settings_for(server.port)).list('servers', 1.0)
        server.stop()

    asyncio.run(main())


# The values that are no time, or a very long one, guard against a node that
# never reads the store again.
@pytest.mark.parametrize(
    ('value', 'retry_after_s'),
    [
        (b'0.7', 0.7),
        (b'0', 0.0),
        (b'1e9', MAX_RETRY_AFTER_S),
        (b'9' * 5_000, MAX_RETRY_AFTER_S),
        (b'inf', MAX_RETRY_AFTER_S),
        (b'nan', DEFAULT_RETRY_AFTER_S),
        (b'-1', DEFAULT_RETRY_AFTER_S),
        (b'soon', DEFAULT_RETRY_AFTER_S),
    ],
)
def test_rates_are_told_with_when_to_come_back(value, retry_after_s):
    async def main():
        def handle(req, responder):
            responder.send(Answer(429, [(b'Retry-After', value)]))

        server = HttpServer(
            handle, Metrics('t'), asyncio.get_running_loop().time
        )
        await server.start('127.0.0.1', 0)
        with pytest.raises(PlatformThrottledError) as caught:
            await StoreCalls(settings_for(server.port)).list('servers', 1.0)
        assert caught.value.retry_after_s == retry_after_s
        server.stop()

    asyncio.run(main())


# Guards against a revision that the node can't name to other nodes.
@pytest.mark.parametrize('as_of', [b'-1', b'9' * 30, b'9' * 5_000])
def test_list_as_of_no_possible_revision_is_refused(as_of):
    body = b'{"items": [], "more": false, "as_of": %s}' % as_of

    async def main():
        server = HttpServer(
            lambda req, responder: responder.send(Answer(200, body=body)),
            Metrics('t'),
            asyncio.get_running_loop().time,
        )
        await server.start('127.0.0.1', 0)
        with pytest.raises(PlatformUnavailableError):
            await StoreCalls(settings_for(server.port)).list('servers', 1.0)
        server.stop()

    asyncio.run(main())


# If the connection were used again after the late reply to an earlier call,
# each later call would get the reply to the call before it.
def test_connection_with_an_unreadable_answer_is_not_used_again():
    async def main():
        connections = []
        bodies = [b'{"late": 1}', b'{"items": [], "more": false, "as_of": 7}']

        def handle(req, responder):
            connections.append(responder._conn)
            responder.send(Answer(200, body=bodies.pop(0)))

        server = HttpServer(
            handle, Metrics('t'), asyncio.get_running_loop().time
        )
        await server.start('127.0.0.1', 0)
        calls = StoreCalls(settings_for(server.port))
        with pytest.raises(PlatformUnavailableError):
            await calls.list('servers', 1.0)
        assert await calls.list('servers', 1.0) == (Position(7), [])
        assert connections[0] is not connections[1]
        server.stop()

    asyncio.run(main())


def test_pages_without_end_are_no_list():
    async def main():
        request_targets = []

        def handle(req, responder):
            request_targets.append(req.target)
            item = b'{"meta": {"name": "i-1", "revision": 1}}'
            body = b'{"items": [%s], "more": true, "as_of": 7}' % item
            responder.send(Answer(200, body=body))

        server = HttpServer(
            handle, Metrics('t'), asyncio.get_running_loop().time
        )
        await server.start('127.0.0.1', 0)
        with pytest.raises(PlatformUnavailableError):
            await StoreCalls(settings_for(server.port)).list('servers', 1.0)
        assert len(request_targets) == 2
        server.stop()

    asyncio.run(main())


# Request and reply headers.


def make_request(headers, method=b'GET', body=b''):
    return Request(
        method, b'/p/1?q=2', '/p/1', b'q=2', 'h', headers, body, 0.0, True
    )


HEADERS = [
    (b'Host', b'h'),
    (b'Sesameward-Request-Id', b'abc'),
    (b'Sesameward-Deadline-Ms', b'250'),
    (b'Sesameward-Expect-Instance', b'i-evil'),
    (b'X-Other', b'1'),
    (b'Connection', b'keep-alive, X-Hop'),
    (b'X-Hop', b'2'),
    (b'Transfer-Encoding', b'chunked'),
]


def test_request_is_passed_on_with_its_own_headers_only():
    wire = PlatformWire()
    request_info = wire.read_request(make_request(HEADERS, b'POST', b'body'))
    assert (request_info.request_id, request_info.caller_timeout_s) == (
        'abc',
        0.25,
    )
    data = wire.sub_request(request_info.head, b'body', 'i-1', 0.2)
    head, _, body = data.partition(b'\r\n\r\n')
    assert head.split(b'\r\n') == [
        b'POST /p/1?q=2 HTTP/1.1',
        b'Host: h',
        b'Sesameward-Request-Id: abc',
        b'X-Other: 1',
        b'Content-Length: 4',
        b'Sesameward-Deadline-Ms: 200',
        b'Sesameward-Expect-Instance: i-1',
    ]
    assert body == b'body'


def test_request_without_an_id_is_none():
    assert PlatformWire().read_request(make_request(HEADERS[:1])) is None


@pytest.mark.parametrize('value', [b'', b'x', b'-5', b'0'])
def test_unreadable_patience_is_none(value):
    headers = [*HEADERS[:2], (b'Sesameward-Deadline-Ms', value)]
    request_info = PlatformWire().read_request(make_request(headers))
    assert request_info.caller_timeout_s is None


def test_reply_is_read():
    reply_info = PlatformWire().read_reply(
        Reply(
            200,
            b'OK',
            [
                (b'Sesameward-Request-Id', b'abc'),
                (b'sesameward-server-stamp', b'st'),
                (b'Sesameward-Server-Load', b'3,1,8'),
                (b'Content-Encoding', b'gzip'),
            ],
            b'',
        )
    )
    assert (reply_info.request_id, reply_info.signature) == ('abc', b'st')
    assert (reply_info.load.in_flight, reply_info.load.queued) == (3, 1)
    assert reply_info.is_encoded
    assert not reply_info.not_run


# Guards against dropping the load of targets that also report their pace.
@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (b'3,1,8', (3, 1, 0)),
        (b' 3 , 1 , 8 ', (3, 1, 0)),
        (b'3,1,8,250', (3, 1, 250)),
        (b'3, 1, 8, 250', (3, 1, 250)),
        (b'3,1,8,0', (3, 1, 0)),
        (b'3,1,8,99999999', (3, 1, 10_000)),
        (b'3,1', None),
        (b'3,1,8,', None),
        (b'3,1,8,x', None),
        (b'3,1,8,-1', None),
        (b'3,1,8,250,1', None),
        (b'3,1,8,' + b'9' * 5_000, None),
        (b'9' * 5_000 + b',1,8', None),
    ],
)
def test_load_has_three_or_four_figures(value, expected):
    headers = [(b'Sesameward-Server-Load', value)]
    load = PlatformWire().read_reply(Reply(200, b'', headers, b'')).load
    found = load and (load.in_flight, load.queued, load.pace)
    assert found == expected


@pytest.mark.parametrize(
    ('status', 'headers', 'not_run'),
    [
        (503, [(b'Sesameward-Not-Executed', b'1')], True),
        (503, [], False),
        (421, [], True),
        (500, [], False),
    ],
)
def test_only_the_targets_own_word_means_not_run(status, headers, not_run):
    reply_info = PlatformWire().read_reply(Reply(status, b'', headers, b''))
    assert reply_info.not_run is not_run


def test_reply_goes_back_unchanged_but_for_the_connection():
    headers = [
        (b'Content-Type', b'x/y'),
        (b'Sesameward-Server-Stamp', b'st'),
        (b'Keep-Alive', b'timeout=3'),
        (b'Content-Length', b'2'),
    ]
    answer = PlatformWire().reply_answer(Reply(201, b'Made', headers, b'hi'))
    assert (answer.status, answer.reason, answer.body) == (201, b'Made', b'hi')
    assert answer.headers == headers[:2]


def test_merged_answer_tells_its_parts_and_what_is_missing():
    answer = PlatformWire().merged_answer([b'a', b'b'], 1, b'x')
    assert answer.headers == [
        (b'Sesameward-Part-Stamps', b'a, b'),
        (b'Sesameward-Missing-Parts', b'1'),
    ]
    assert len(PlatformWire().merged_answer([b'a'], 0, b'').headers) == 1


def test_directory_calls_are_translated():
    queries = PlatformEndpointAdapter()
    req = Request(
        b'GET',
        b'/v1/resolve?zone=z1',
        '/v1/resolve',
        b'name=h&zone=z1',
        'h',
        [],
        b'',
        0.0,
        True,
    )
    assert queries.is_resolve(req)
    assert not queries.is_readiness(req)
    assert queries.caller_zone(req) == 'z1'
    answer = queries.addresses_answer(Addresses(('h:1',), 5.0))
    assert json.loads(answer.body) == {'addrs': ['h:1'], 'ttl_s': 5.0}


# Runs the platform's main module. When that imports the node module, the hook
# connects to the callers' port, prints "listening" and exits.
MAIN_WITH_IMPORT_HOOK = """
import importlib.abc, os, runpy, socket, sys

class Probe(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == 'sesameward.serving.node':
            socket.create_connection(('127.0.0.1', int(sys.argv[1])), 2.0)
            print('listening', flush=True)
            os._exit(0)

sys.meta_path.insert(0, Probe())
runpy.run_module('sesameward.platform', run_name='__main__')
"""


def test_node_listens_before_the_rest_of_its_program_is_read(tmp_path):
    with socket.socket() as probe_socket:
        probe_socket.bind(('127.0.0.1', 0))
        port = probe_socket.getsockname()[1]
    path = tmp_path / 'boot.json'
    listen = SETTINGS['listen'] | {'front': f'127.0.0.1:{port}'}
    path.write_text(json.dumps(SETTINGS | {'listen': listen}))
    process = subprocess.run(
        [sys.executable, '-c', MAIN_WITH_IMPORT_HOOK, str(port)],
        env={**os.environ, 'SESAMEWARD_NODE_FILE': str(path)},
        capture_output=True,
        text=True,
        timeout=30.0,
        check=False,
    )
    assert process.stdout == 'listening\n', process.stderr


@pytest.mark.parametrize(
    'name', [b'Server-Leaving', b'sesameward-server-LEAVING']
)
@pytest.mark.parametrize('status', [200, 500, 503])
def test_each_answer_may_say_that_its_target_leaves(name, status):
    reply = Reply(status, b'', [(name, b'1')], b'')
    assert PlatformWire().read_reply(reply).leaving


@pytest.mark.parametrize(
    ('status', 'value'), [(421, b'1'), (200, b'0'), (200, b'')]
)
def test_no_other_answer_says_so(status, value):
    reply = Reply(status, b'', [(b'Server-Leaving', value)], b'')
    assert not PlatformWire().read_reply(reply).leaving


@pytest.mark.parametrize(
    ('status', 'value', 'retry_after_s'),
    [
        (503, b'2', 2.0),
        (503, b' 0.25 ', 0.25),
        (429, b'1', 1.0),
        (200, b'2', 0.0),
        (503, b'-1', 0.0),
        (503, b'soon', 0.0),
        (503, b'nan', 0.0),
        (503, b'inf', 0.0),
        (503, b'', 0.0),
        (503, b'Wed, 21 Oct 2026 07:28:00 GMT', 0.0),
    ],
)
def test_only_a_refusal_with_a_time_asks_for_rest(
    status, value, retry_after_s
):
    reply = Reply(status, b'', [(b'Retry-After', value)], b'')
    assert PlatformWire().read_reply(reply).retry_after_s == retry_after_s


@pytest.mark.parametrize(
    ('values', 'limit', 'invalid'),
    [
        (('8.5',), 8.5, 0),
        (('0',), 0.0, 0),
        (('1e3',), 1000.0, 0),
        ((' 8 ',), 8.0, 0),
        (('9', '8.5'), 8.5, 0),
        (('9, x',), 9.0, 1),
        (('-1',), None, 1),
        (('nan',), None, 1),
        (('inf',), None, 1),
        (('1_0',), None, 1),
        (('',), None, 1),
        (('9' * 400,), None, 1),
        ((), None, 0),
    ],
)
@pytest.mark.parametrize('status', [200, 503])
def test_limit_of_a_target_is_read(values, limit, invalid, status):
    headers = [(b'Server-Limit', value.encode()) for value in values]
    info = PlatformWire().read_reply(Reply(status, b'', headers, b''))
    assert (info.limit_per_s, info.invalid_limits) == (limit, invalid)


def test_limit_of_another_target_is_ignored():
    reply = Reply(421, b'', [(b'Server-Limit', b'8.5')], b'')
    assert PlatformWire().read_reply(reply).limit_per_s is None


@pytest.mark.parametrize(
    ('values', 'warmup_s'),
    [
        (('1500',), 1.5),
        ((' 0 ',), 0.0),
        (('0.5',), 0.0005),
        (('20', '1500'), 1.5),
        (('x', '1500'), 1.5),
        (('9' * 400,), MAX_WARMUP_S),
        (('-1',), None),
        (('nan',), None),
        (('',), None),
        ((), None),
    ],
)
@pytest.mark.parametrize('status', [200, 503])
def test_time_for_which_a_target_stays_cold_is_read(values, warmup_s, status):
    headers = [(b'Sesameward-Warmup-Ms', value.encode()) for value in values]
    info = PlatformWire().read_reply(Reply(status, b'', headers, b''))
    assert info.warmup_s == warmup_s


def test_time_of_another_target_is_ignored():
    reply = Reply(421, b'', [(b'Sesameward-Warmup-Ms', b'9')], b'')
    assert PlatformWire().read_reply(reply).warmup_s is None
