"""Test the check of a platform configuration before it is sent."""

from __future__ import annotations

import asyncio
import copy
import json
import subprocess
import sys

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from sesameward.config_check.problems import Kind
from sesameward.config_check.problems import Section
from sesameward.exceptions import DeclarationError
from sesameward.messages import StoredObject
from sesameward.platform import cmdline
from sesameward.platform import config_check
from sesameward.platform import config_wording
from sesameward.platform import objects
from sesameward.platform.objects import ObjectDecoder
from sesameward.standin.object_store import ObjectStore

KEY = 'key-of-the-first-organisation'
OTHER_KEY = 'key-of-the-second-organisation'
ROUTE = {
    'name': 'single',
    'hostname': 'h',
    'path_prefix': '/one/',
    'route_type': 'safe',
    'timeout_ms': 250,
    'target_latency_ms': 44,
    'priority': 2,
    'max_attempts': 2,
    'service': 's',
}
QUERY = {
    'name': 'query',
    'hostname': 'h',
    'path_prefix': '/query/',
    'route_type': 'safe',
    'timeout_ms': 250,
    'target_latency_ms': 44,
    'gather': ['s', 't'],
    'top_k': 10,
    'min_coverage': 0.5,
}
CONFIG = {
    'version': 7,
    'routes': [ROUTE, QUERY],
    'services': [
        {'name': 's', 'max_conns': 25, 'health_path': '/h', 'warmup_s': 3},
        {'name': 't', 'max_conns': 25, 'warmup_per_s': 2},
    ],
    'limits': {'max_body_bytes': 1_000, 'idle_timeout_ms': 15_000},
    'tenants': [
        {'name': 'o', 'api_keys': [KEY], 'rate_per_s': 9, 'burst': 9},
        {'name': 'p', 'api_keys': [OTHER_KEY], 'priority': 0},
    ],
}
REMOVED = object()


def change(path, value, config=CONFIG):
    """Return a copy of a configuration with one field set or removed."""
    changed = copy.deepcopy(config)
    *parents, last = path
    part = changed
    for name in parents:
        part = part[name]
    if value is REMOVED:
        del part[last]
    elif isinstance(part, list) and last == len(part):
        part.append(value)
    else:
        part[last] = value
    return changed


def encode(config):
    return json.dumps(config).encode()


def check(config, in_force=None):
    text = None if in_force is None else encode(in_force)
    return config_check.check(encode(config), text)


def split(*weights):
    parts = [
        {'service': name, 'weight': weight}
        for name, weight in zip('st', weights)
    ]
    route = {k: v for k, v in ROUTE.items() if k != 'service'}
    return route | {'traffic_split': parts}


# The path of the changed field, its value, and the severities and places of
# the findings. No others may appear.
CASES = [
    (('version',), 7, []),
    (('version',), 'x', ['error version']),
    (('version',), REMOVED, ['error version']),
    (('routes',), REMOVED, ['error routes']),
    (('limits', 'max_body_bytes'), 0, ['error limits.max_body_bytes']),
    (('limits', 'max_header_bytes'), 0, ['error limits.max_header_bytes']),
    (('limits', 'header_timeout_ms'), 0, ['warning limits.header_timeout_ms']),
    (('services', 0, 'max_conns'), 0, ['error services[0].max_conns']),
    (('services', 2), {'name': 'u', 'max_conns': 1}, ['warning services[2]']),
    (
        ('services', 2),
        {'name': 's', 'max_conns': 1},
        ['warning services[2].name'],
    ),
    (
        ('services', 1),
        {'name': 'tt', 'max_conns': 1},
        ['warning routes[1].gather[1]', 'warning services[1]'],
    ),
    (('routes', 0, 'timeout_ms'), 43, ['warning routes[0].timeout_ms']),
    (('routes', 0, 'timeout_ms'), 44, []),
    (('routes', 0, 'timeout_ms'), 0, ['warning routes[0].timeout_ms']),
    (('routes', 0, 'max_attempts'), 3, []),
    (('routes', 0, 'max_attempts'), 4, ['warning routes[0].max_attempts']),
    (('routes', 0, 'max_attempts'), 0, ['error routes[0].max_attempts']),
    (('routes', 0, 'path_prefix'), '/one', ['warning routes[0].path_prefix']),
    (('routes', 0, 'path_prefix'), '/', []),
    (('routes', 0, 'path_prefix'), '/query/', ['warning routes[0]']),
    (('routes', 0, 'path_prefix'), '/query/more/', []),
    (
        ('routes', 0, 'path_prefix'),
        '/query',
        ['warning routes[0].path_prefix', 'warning routes[0]'],
    ),
    (('routes', 0, 'hostname'), 'http://h', ['warning routes[0].hostname']),
    (('routes', 0, 'hostname'), 'H:80', ['warning routes[0].hostname']),
    (('routes', 0, 'name'), 'query', ['warning routes[1].name']),
    (('routes', 0, 'service'), 'u', ['warning routes[0].service']),
    (('routes', 0, 'service'), REMOVED, ['warning routes[0]']),
    (('routes', 0), split(1, 3), []),
    (
        ('routes', 0),
        split(0, 3),
        ['warning routes[0].traffic_split[0].weight'],
    ),
    (
        ('routes', 0),
        split(4, -3),
        ['warning routes[0].traffic_split[1].weight'],
    ),
    (('routes', 0, 'top_k'), 3, ['warning routes[0].top_k']),
    (('routes', 1, 'service'), 's', ['warning routes[1].service']),
    (('routes', 1, 'max_atempts'), 3, ['warning routes[1].max_atempts']),
    (
        ('routes', 1, 'gather'),
        [],
        ['warning routes[1].gather', 'warning services[1]'],
    ),
    (
        ('routes', 1, 'gather'),
        ['s', 't', 't'],
        ['warning routes[1].gather[2]'],
    ),
    (('routes', 1, 'top_k'), 0, ['warning routes[1].top_k']),
    (('routes', 1, 'min_coverage'), 1, []),
    (('routes', 1, 'min_coverage'), 1.1, ['warning routes[1].min_coverage']),
    (('routes', 1, 'min_coverage'), -1, ['warning routes[1].min_coverage']),
    (('tenants',), REMOVED, []),
    (('tenants',), [], ['warning tenants']),
    (('tenants', 0, 'burst'), 8, ['warning tenants[0].burst']),
    (('tenants', 0, 'rate_per_s'), 0, ['warning tenants[0].burst']),
    (('tenants', 0, 'rate_per_s'), -1, ['error tenants[0].rate_per_s']),
    (('tenants', 0, 'name'), ' o', ['error tenants[0].name']),
    (('tenants', 0, 'name'), 'p', ['warning tenants[1].name']),
    (('tenants', 0, 'api_keys'), [], ['warning tenants[0].api_keys']),
    (('tenants', 0, 'api_keys'), [''], ['warning tenants[0].api_keys[0]']),
    (
        ('tenants', 0, 'api_keys'),
        [KEY, OTHER_KEY],
        ['warning tenants[1].api_keys[0]'],
    ),
    (
        ('tenants', 0, 'api_keys'),
        [KEY, KEY],
        ['warning tenants[0].api_keys[1]'],
    ),
    (('tenants', 0, 'api_keys'), KEY, ['error tenants[0].api_keys']),
    (('tenants', 0, 'api_keys'), [KEY, 1], ['error tenants[0].api_keys[1]']),
]


# Guards against faults that the check misses, and against findings about
# configurations and fields that are in order.
@pytest.mark.parametrize(('path', 'value', 'expected'), CASES)
def test_findings(path, value, expected):
    report = check(change(path, value))
    found = [f'{one.severity.value} {one.place}' for one in report.findings]
    assert sorted(found) == sorted(expected)
    assert all(one.problem and one.remedy for one in report.findings)


# Guards against a check that stops at the first error, and against warnings
# about valid parts that an invalid one refers to.
def test_all_errors_are_reported():
    config = change(('routes', 0, 'timeout_ms'), 'x')
    config = change(('routes', 1, 'route_type'), 'sfe', config)
    config = change(('services', 0, 'max_conns'), 0, config)
    report = check(config, change(('version',), 6))
    assert [one.place for one in report.findings] == [
        'routes[0].timeout_ms',
        'routes[1].route_type',
        'services[0].max_conns',
    ]
    assert report.differences == ()


@pytest.mark.parametrize(
    ('text', 'place'),
    [
        (b'', 'file'),
        (b'{"version": 1,}', 'file'),
        (b'\xff', 'file'),
        (b'[]', 'file'),
        (b'[' * 100_000, 'file'),
        (b'{"meta": {"name": "other"}, "spec": []}', 'meta.name'),
    ],
)
def test_text_that_is_no_configuration(text, place):
    report = config_check.check(text)
    assert report.findings[0].place == place
    assert report.count(config_check.Severity.ERROR)


# Guards against a version that nodes ignore because they have a newer one.
@pytest.mark.parametrize(
    ('version', 'is_error'), [(6, True), (7, True), (8, False)]
)
def test_version_must_be_higher(version, is_error):
    report = check(change(('version',), version), CONFIG)
    assert [one.place for one in report.findings] == ['version'] * is_error
    assert report.differences == ()


# The path of the changed field, its value, what a line about the difference
# says, and whether it needs attention.
@pytest.mark.parametrize(
    ('path', 'value', 'text', 'needs_attention'),
    [
        (('routes', 0), REMOVED, "removed: route 'single'", True),
        (
            ('routes', 2),
            ROUTE | {'name': 'new', 'path_prefix': '/new/'},
            "added: route 'new': hostname=h, path_prefix=/new/",
            False,
        ),
        (
            ('routes', 0, 'timeout_ms'),
            300,
            "changed: route 'single': timeout_ms: 250 -> 300",
            False,
        ),
        (
            ('routes', 0, 'name'),
            'renamed',
            "removed: route 'single': h/one/ now has route 'renamed'",
            False,
        ),
        (('routes', 0, 'timeout_ms'), 200, 'timeout_ms: 250 -> 200', True),
        (('routes', 0, 'public'), True, 'public: false -> true', True),
        (('routes', 0, 'route_type'), 'unsafe', 'safe -> unsafe', True),
        (('routes', 1, 'gather'), ['s'], 'gather: 2 -> 1, removed t', True),
        (('routes', 1, 'gather'), ['t', 's'], None, False),
        (('services', 1), REMOVED, "removed: service 't'", True),
        (('services', 1, 'max_conns'), 30, 'max_conns: 25 -> 30', False),
        (('services', 1, 'max_conns'), 20, 'max_conns: 25 -> 20', True),
        (('services', 1, 'warmup_per_s'), REMOVED, '2 -> none', False),
        (('limits', 'max_body_bytes'), 999, '1000 -> 999', True),
        (('tenants',), REMOVED, 'removed: organisations', True),
        (('tenants', 1), REMOVED, "removed: organisation 'p'", True),
        (('tenants', 0, 'rate_per_s'), 0, 'rate_per_s: 9 -> 0', False),
        (('tenants', 1, 'rate_per_s'), 5, 'rate_per_s: none -> 5', True),
        (
            ('tenants', 0, 'api_keys'),
            ['new'],
            'api_keys: 1 -> 1, added 11507a0e, removed '
            + config_check.fingerprint(KEY),
            True,
        ),
        (
            ('tenants', 0, 'api_keys', 1),
            'new',
            'api_keys: 1 -> 2, added 11507a0e',
            False,
        ),
    ],
)
def test_differences(path, value, text, needs_attention):
    report = check(
        change(('version',), 8, change(path, value)),
        CONFIG,
    )
    lines = '\n'.join(config_check.lines(report))
    if text is None:
        assert report.differences == ()
    else:
        assert text in lines
    assert bool(report.attentions) is needs_attention


# Guards against a retry budget that allows fewer attempts than are written.
@pytest.mark.parametrize(
    ('ratio', 'attempts'),
    [(0.0, 1), (0.01, 1), (0.2, 3), (1.0, 7), (1e300, 463)],
)
def test_attempts_that_the_retry_budget_allows(ratio, attempts):
    assert config_check.max_useful_attempts(ratio) == attempts


# Guards against kinds of problems without a text, and against roles of fields
# that no stored object has.
def test_all_problems_and_roles_are_named():
    assert set(config_wording.WORDING) == set(Kind)
    assert set(config_wording.SECTION_NAMES) == set(Section)
    fields = set()
    for kind in (
        objects._Route,
        objects._Service,
        objects._Tenant,
        objects.CallerLimitFields,
    ):
        fields.update(kind.__struct_fields__)
    assert set(config_wording.FIELD_ROLES) <= fields
    assert set(config_wording.FIELD_NAMES.values()) <= fields


names = st.text('abcdefgh', min_size=1, max_size=4)
# Long and of other characters than names, so that no name contains a key.
keys = st.text('QRSTUVWXYZ', min_size=12, max_size=24)


@st.composite
def configs(draw):
    services = draw(st.lists(names, min_size=1, max_size=4, unique=True))
    some = st.sampled_from(services)
    destination = st.one_of(
        st.fixed_dictionaries({'service': some}),
        st.fixed_dictionaries(
            {
                'gather': st.lists(some, max_size=4),
                'top_k': st.integers(0, 50),
                'min_coverage': st.floats(0, 1),
            }
        ),
        st.fixed_dictionaries(
            {
                'traffic_split': st.lists(
                    st.fixed_dictionaries(
                        {'service': some, 'weight': st.floats(0, 9)}
                    ),
                    max_size=3,
                )
            }
        ),
    )
    route = st.fixed_dictionaries(
        {
            'name': names,
            'hostname': names,
            'path_prefix': names.map('/{}/'.format),
            'route_type': st.sampled_from(['safe', 'unsafe']),
            'timeout_ms': st.integers(0, 9_000),
            'target_latency_ms': st.floats(0, 9_000),
        },
        optional={
            'priority': st.integers(0, 3),
            'max_attempts': st.integers(1, 9),
            'public': st.booleans(),
        },
    )
    config = {
        'version': draw(st.integers(1, 2**40)),
        'routes': [
            draw(route) | draw(destination)
            for _ in range(draw(st.integers(0, 4)))
        ],
        'services': [
            {'name': name, 'max_conns': draw(st.integers(1, 99))}
            for name in services
        ],
    }
    if draw(st.booleans()):
        tenant = st.fixed_dictionaries(
            {'name': names, 'api_keys': st.lists(keys, max_size=4)},
            optional={
                'rate_per_s': st.none() | st.floats(0, 99),
                'burst': st.none() | st.floats(0, 99),
                'priority': st.none() | st.integers(0, 3),
            },
        )
        config['tenants'] = draw(st.lists(tenant, max_size=4))
    return config


def keys_of(config):
    return {
        key
        for tenant in config.get('tenants', ())
        for key in tenant['api_keys']
    }


def output_of(report):
    encoded = msgspec.json.encode(msgspec.to_builtins(report)).decode()
    return '\n'.join([encoded, *config_check.lines(report)])


# Guards against errors about what nodes accept, and against keys in output.
@given(configs(), configs())
def test_valid_configurations_have_no_errors(config, other):
    stored = StoredObject('config', 'main', 1, encode(config))
    ObjectDecoder().routes(stored)
    assert check(config).count(config_check.Severity.ERROR) == 0
    output = output_of(check(config, other))
    assert not any(key in output for key in keys_of(config) | keys_of(other))


# Guards against keys in the messages about invalid fields, and against a
# configuration that nodes refuse but the check accepts.
@given(configs(), st.data())
def test_damaged_configurations(config, data):
    damaged = copy.deepcopy(config)
    part = damaged
    while True:
        places = list(part) if isinstance(part, dict) else range(len(part))
        if not places:
            break
        place = data.draw(st.sampled_from(list(places)))
        if data.draw(st.booleans()) and isinstance(part[place], dict | list):
            part = part[place]
            continue
        part[place] = data.draw(
            st.sampled_from([None, -1, 0, 1.5, 'x', [], {}, [None], True])
        )
        break
    report = check(damaged, config)
    try:
        ObjectDecoder().routes(
            StoredObject('config', 'main', 1, encode(damaged))
        )
    except DeclarationError:
        is_refused = True
    else:
        is_refused = False
    errors = [
        one
        for one in check(damaged).findings
        if one.severity is config_check.Severity.ERROR
    ]
    assert bool(errors) is is_refused
    assert not any(key in output_of(report) for key in keys_of(config))


# The command.


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a configuration; it returns the path."""

    def write_file(config, name='config.json'):
        path = tmp_path / name
        path.write_bytes(encode(config))
        return str(path)

    return write_file


def run_ctl(*args):
    process = subprocess.run(
        [sys.executable, '-m', cmdline.__name__, 'check-config', *args],
        capture_output=True,
        text=True,
        timeout=60.0,
    )
    assert 'Traceback' not in process.stderr
    return process.returncode, process.stdout


# Guards against a script that sends a configuration which nodes refuse.
def test_exit_codes(write, tmp_path):
    path = write(CONFIG)
    assert run_ctl(path)[0] == 0
    older = write(change(('version',), 6), 'older.json')
    assert run_ctl(path, '--in-force', older)[0] == 0
    more = change(('version',), 6, change(('limits', 'max_body_bytes'), 2_000))
    code, out = run_ctl(path, '--in-force', write(more, 'more.json'))
    assert code == 1 and '2000 -> 1000; attention' in out
    weak = write(change(('tenants', 0, 'burst'), 1), 'weak.json')
    code, out = run_ctl(weak, '-o', 'json')
    assert code == 1
    assert json.loads(out)['findings'][0]['place'] == 'tenants[0].burst'
    assert run_ctl(path, '--in-force', path)[0] == 2
    code, out = run_ctl(str(tmp_path / 'none'), '-o', 'json')
    assert code == 2 and json.loads(out)['exit_code'] == 2
    code, out = run_ctl(path, '--in-force', 'no-such-file')
    assert code == 2 and '--in-force' in out
    code, out = run_ctl(path, '--in-force', '127.0.0.1:1')
    assert code == 2 and 'the store' in out


# Guards against a comparison with something else than the stored version.
def test_comparison_with_the_store(write):
    async def main():
        store = ObjectStore()
        address = f'127.0.0.1:{await store.open_door("d")}'
        args = write(change(('version',), 8)), '--in-force'
        try:
            empty = await asyncio.to_thread(run_ctl, *args, address)
            store.put('config', 'main', CONFIG)
            compared = await asyncio.to_thread(
                run_ctl, *args, f'http://{address}', '-o', 'json'
            )
        finally:
            store.stop()
        return empty, compared

    empty, (code, out) = asyncio.run(main())
    assert empty[0] == 0 and 'not compared' in empty[1]
    assert code == 0 and json.loads(out)['version_in_force'] == 7
