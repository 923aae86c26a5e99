"""Test sesamewardctl as a script sees it: output and exit codes."""

from __future__ import annotations

import http.server
import json
import signal
import subprocess
import sys
import threading
import urllib.request

import msgspec
import pytest
import yaml

from sesameward import cmdline
from sesameward.configuration import declared
from sesameward.messages import EntryStatus
from sesameward.messages import Member
from sesameward.messages import NodeStatus
from sesameward.messages import Rejected


@pytest.fixture(scope='module')
def standin():
    """Run the platform stand-in as a process; return its URL."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'sesameward.standin.cmdline', 'platform'],
        stdout=subprocess.PIPE,
    )
    port = json.loads(process.stdout.readline())['port']
    yield f'http://127.0.0.1:{port}'
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0


@pytest.fixture
def platform(standin):
    """Return the URL of an empty platform without faults."""
    post(standin, '/standin/faults', {})
    yield standin
    post(standin, '/standin/faults', {})
    post(standin, '/standin/clear', {})


def post(url, path, body):
    data = json.dumps(body).encode()
    with urllib.request.urlopen(url + path, data, timeout=5.0) as resp:
        return json.load(resp)


@pytest.fixture
def files(tmp_path, service, pool):
    """Write declared objects to a YAML file and return its path."""

    def write(*items, name='objects.yaml', **fields):
        documents = [
            {'kind': declared.kind_of(item)}
            | msgspec.to_builtins(item)
            | fields
            for item in items or (pool, service)
        ]
        path = tmp_path / name
        path.write_text(yaml.safe_dump_all(documents))
        return str(path)

    return write


@pytest.fixture
def ctl(capsys):
    """Run sesamewardctl; return its exit code, output and errors."""

    def run(*args):
        with pytest.raises(SystemExit) as caught:
            cmdline.main(list(args))
        printed = capsys.readouterr()
        return caught.value.code, printed.out, printed.err

    return run


@pytest.fixture
def agents():
    """Serve agents' HTTP endpoints from one dictionary per agent."""
    servers = []
    posted = []

    def start(pages):
        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                page = pages.get(self.path)
                self.send_response(404 if page is None else 200)
                self.end_headers()
                self.wfile.write(msgspec.json.encode(page))

            def do_POST(self):
                size = int(self.headers['Content-Length'])
                posted.append(json.loads(self.rfile.read(size)))
                self.send_response(404 if posted[-1].get('target') else 200)
                self.end_headers()

            def log_message(self, *_):
                pass

        server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        servers.append(server)
        return server.server_address[1]

    start.posted = posted
    yield start
    for server in servers:
        server.shutdown()
        server.server_close()


def fleet(agents, *statuses):
    pages = [{'/v1/status': s} if s else {} for s in statuses]
    ports = [agents(page) for page in pages]
    members = [
        Member(f'n{i}', 'a', '127.0.0.1', 0, 0, port)
        for i, port in enumerate(ports)
    ]
    pages[0]['/v1/members'] = members
    pages[0]['/v1/targets'] = [{'target': 't0', 'leaving': True}]
    return f'127.0.0.1:{ports[0]}'


def test_apply_get_diff(ctl, platform, files):
    path = files()
    url = ('--platform', platform)
    assert ctl('diff', path, *url)[0] == 1
    code, out, _ = ctl('apply', path, *url, '-o', 'json')
    rows = json.loads(out)
    assert code == 0
    assert [row['kind'] for row in rows] == ['service', 'pool']
    assert all(row['changed'] for row in rows)
    code, out, _ = ctl('apply', path, *url, '-o', 'json')
    assert code == 0 and not any(r['changed'] for r in json.loads(out))
    assert ctl('diff', path, *url) == (0, '', '')
    code, out, _ = ctl('get', 'pool', *url)
    assert code == 0 and 'trip-desk-0' in out
    code, out, _ = ctl('get', 'service', 'trip-desk', *url)
    assert code == 0 and yaml.safe_load(out)['kind'] == 'service'


def test_references_are_kept_in_both_directions(
    ctl, platform, files, service, pool
):
    url = ('--platform', platform)
    code, _, err = ctl('apply', files(pool), *url)
    assert code == 1 and 'apply the service first' in err
    assert ctl('apply', files(), *url)[0] == 0
    whole = declared.ShardMap(2, (declared.Shard('s9'),))
    moved = msgspec.structs.replace(service, maps=(whole,))
    for command in ('apply', 'validate'):
        code, _, err = ctl(command, files(moved), *url)
        assert code == 1 and 's0' in err and 'out of the pool' in err
    both = msgspec.structs.replace(service, maps=(*service.maps, whole))
    targets = tuple(
        msgspec.structs.replace(t, shards=('s9',)) for t in pool.targets
    )
    moved_pool = msgspec.structs.replace(pool, targets=targets)
    assert ctl('apply', files(moved_pool, both), *url)[0] == 0
    assert ctl('apply', files(moved), *url)[0] == 0


def test_invalid_files_name_field_and_remedy(ctl, platform, files, service):
    url = ('--platform', platform)
    code, _, err = ctl('apply', files(service, record_versions=[]), *url)
    assert code == 2 and 'objects.yaml[0].record_versions' in err
    code, _, err = ctl('validate', files(service, colour='red'))
    assert code == 2 and 'colour' in err
    code, _, err = ctl('validate', files(service, service))
    assert code == 2 and 'twice' in err
    assert ctl('validate')[0] == 2
    assert ctl('validate', '/no/such')[0] == 2
    assert ctl('get', 'nonsense', *url)[0] == 2
    assert ctl('get', 'pool')[0] == 2
    assert ctl('nonsense')[0] == 2


def test_platform_faults(ctl, platform, files):
    url = ('--platform', platform)
    assert ctl('get', 'pool', 'none', *url)[0] == 1
    post(platform, '/standin/faults', {'lose_replies': 2})
    assert ctl('apply', files(), *url)[0] == 0
    post(platform, '/standin/faults', {'outage': True})
    code, _, err = ctl('get', 'pool', *url)
    assert code == 3 and err.count('\n') == 1 and 'try again' in err


def test_many_objects_wait_for_the_budget(
    ctl, platform, files, service, pool, monkeypatch
):
    monkeypatch.setattr(cmdline, 'CALLS_PER_S', 50.0)
    pools = [
        msgspec.structs.replace(pool, name=f'trip-desk-{i}') for i in range(60)
    ]
    code, out, _ = ctl(
        'apply', files(service, *pools), '--platform', platform, '-o', 'json'
    )
    assert code == 0 and len(json.loads(out)) == 61


def test_wait_names_who_lags(ctl, platform, files, agents):
    path = files()
    url = ('--platform', platform)
    _, out, _ = ctl('apply', path, *url, '-o', 'json')
    revision = max(row['revision'] for row in json.loads(out))
    good = NodeStatus('n0', revision, (EntryStatus('e0', revision),))
    agent = fleet(agents, good)
    args = ('apply', path, *url, '--wait', '0.3', '--agent')
    assert ctl(*args, agent)[0] == 0
    agent = fleet(
        agents,
        good,
        None,
        NodeStatus('n2', revision - 1),
        NodeStatus('n3', revision, (EntryStatus('e3', revision - 1),)),
        NodeStatus('n4', revision, (), (Rejected('pool', 'p', 1, 'bad'),)),
        NodeStatus('other', revision),
    )
    code, _, err = ctl(*args, agent)
    assert code == 4
    named = [line.split(':')[0] for line in err.splitlines()]
    assert named[:-1] == ['n1', 'n2', 'n3 entry e3', 'n4', 'n5']
    assert ctl(*args, '127.0.0.1:1')[0] == 4
    assert ctl('apply', path, *url, '--wait', '1')[0] == 2


def test_agent_commands(ctl, agents):
    agent = fleet(agents, NodeStatus('n0', 7), NodeStatus('n1', 5), None)
    code, out, _ = ctl('status', '--agent', agent, '-o', 'json')
    assert code == 0
    assert [row['lag'] for row in json.loads(out)] == [0, 2, None]
    assert 'no answer' in ctl('status', '--agent', agent)[1]
    assert 'n2' in ctl('members', '--agent', agent)[1]
    assert 't0' in ctl('targets', '--agent', agent)[1]
    code, _, err = ctl('drain', 'target', 't0', '--agent', agent)
    assert code == 1 and 'refused' in err
    assert ctl('drain', 'node', 'n0', '--undo', '--agent', agent)[0] == 0
    assert agents.posted == [
        {'target': 't0', 'drain': True},
        {'node': 'n0', 'drain': False},
    ]
    assert ctl('status', '--agent', '127.0.0.1:1')[0] == 3
