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
def standin_url():
    """Run the platform's stand-in as a process; return its URL."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'sesameward.standin.cmdline', 'platform'],
        stdout=subprocess.PIPE,
    )
    port = json.loads(process.stdout.readline())['port']
    yield f'http://127.0.0.1:{port}'
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0


@pytest.fixture
def platform(standin_url):
    """Return the URL of a stand-in without objects and faults."""
    post_json(standin_url, '/standin/faults', {})
    yield standin_url
    post_json(standin_url, '/standin/faults', {})
    post_json(standin_url, '/standin/clear', {})


def post_json(url, path, body):
    data = json.dumps(body).encode()
    with urllib.request.urlopen(url + path, data, timeout=5.0) as resp:
        return json.load(resp)


@pytest.fixture
def write_files(tmp_path, service, pool):
    """Return a function that writes objects to a YAML file.

    It returns the path; its keywords add or replace fields of each object.
    """

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
def run_ctl(capsys):
    """Return a function that runs sesamewardctl in this process.

    It returns the exit code, the standard output and the standard error.
    """

    def run(*args):
        with pytest.raises(SystemExit) as raised:
            cmdline.main(list(args))
        captured = capsys.readouterr()
        return raised.value.code, captured.out, captured.err

    return run


@pytest.fixture
def start_agent():
    """Return a function that starts a fake agent; it returns the port.

    The agent answers GET with the reply that its dictionary has for the path,
    else with 404. It keeps what is posted, and refuses to drain a target.
    """
    servers = []
    posted = []

    def start(replies):
        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                reply = replies.get(self.path)
                self.send_response(404 if reply is None else 200)
                self.end_headers()
                self.wfile.write(msgspec.json.encode(reply))

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


def start_fleet(start_agent, *statuses):
    """Start an agent per status, None for one without; return the first.

    The first agent knows all as members.
    """
    fleet_replies = [{'/v1/status': s} if s else {} for s in statuses]
    ports = [start_agent(replies) for replies in fleet_replies]
    members = [
        Member(f'n{i}', 'a', '127.0.0.1', 0, 0, port)
        for i, port in enumerate(ports)
    ]
    fleet_replies[0]['/v1/members'] = members
    fleet_replies[0]['/v1/targets'] = [{'target': 't0', 'leaving': True}]
    return f'127.0.0.1:{ports[0]}'


def test_apply_get_diff(run_ctl, platform, write_files):
    path = write_files()
    url = ('--platform', platform)
    assert run_ctl('diff', path, *url)[0] == 1
    code, out, _ = run_ctl('apply', path, *url, '-o', 'json')
    rows = json.loads(out)
    assert code == 0
    assert [row['kind'] for row in rows] == ['service', 'pool']
    assert all(row['changed'] for row in rows)
    code, out, _ = run_ctl('apply', path, *url, '-o', 'json')
    assert code == 0 and not any(r['changed'] for r in json.loads(out))
    assert run_ctl('diff', path, *url) == (0, '', '')
    code, out, _ = run_ctl('get', 'pool', *url)
    assert code == 0 and 'trip-desk-0' in out
    code, out, _ = run_ctl('get', 'service', 'trip-desk', *url)
    assert code == 0 and yaml.safe_load(out)['kind'] == 'service'


def test_references_are_kept_in_both_directions(
    run_ctl, platform, write_files, service, pool
):
    url = ('--platform', platform)
    code, _, err = run_ctl('apply', write_files(pool), *url)
    assert code == 1 and 'apply the service first' in err
    assert run_ctl('apply', write_files(), *url)[0] == 0
    new_map = declared.ShardMap(2, (declared.Shard('s9'),))
    moved_service = msgspec.structs.replace(service, maps=(new_map,))
    for command in ('apply', 'validate'):
        code, _, err = run_ctl(command, write_files(moved_service), *url)
        assert code == 1 and 's0' in err and 'out of the pool' in err
    both_maps = msgspec.structs.replace(service, maps=(*service.maps, new_map))
    targets = tuple(
        msgspec.structs.replace(t, shards=('s9',)) for t in pool.targets
    )
    moved_pool = msgspec.structs.replace(pool, targets=targets)
    assert run_ctl('apply', write_files(moved_pool, both_maps), *url)[0] == 0
    assert run_ctl('apply', write_files(moved_service), *url)[0] == 0


def test_invalid_files_name_field_and_remedy(
    run_ctl, platform, write_files, service
):
    url = ('--platform', platform)
    code, _, err = run_ctl(
        'apply', write_files(service, record_versions=[]), *url
    )
    assert code == 2 and 'objects.yaml[0].record_versions' in err
    code, _, err = run_ctl('validate', write_files(service, colour='red'))
    assert code == 2 and 'colour' in err
    code, _, err = run_ctl('validate', write_files(service, service))
    assert code == 2 and 'twice' in err
    assert run_ctl('validate')[0] == 2
    assert run_ctl('validate', '/no/such')[0] == 2
    assert run_ctl('get', 'nonsense', *url)[0] == 2
    assert run_ctl('get', 'pool')[0] == 2
    assert run_ctl('nonsense')[0] == 2


def test_platform_faults(run_ctl, platform, write_files):
    url = ('--platform', platform)
    assert run_ctl('get', 'pool', 'none', *url)[0] == 1
    post_json(platform, '/standin/faults', {'lose_replies': 2})
    assert run_ctl('apply', write_files(), *url)[0] == 0
    post_json(platform, '/standin/faults', {'outage': True})
    code, _, err = run_ctl('get', 'pool', *url)
    assert code == 3 and err.count('\n') == 1 and 'try again' in err


def test_many_objects_wait_for_the_budget(
    run_ctl, platform, write_files, service, pool, monkeypatch
):
    monkeypatch.setattr(cmdline, 'CALLS_PER_S', 50.0)
    pools = [
        msgspec.structs.replace(pool, name=f'trip-desk-{i}') for i in range(60)
    ]
    code, out, _ = run_ctl(
        'apply',
        write_files(service, *pools),
        '--platform',
        platform,
        '-o',
        'json',
    )
    assert code == 0 and len(json.loads(out)) == 61


def test_wait_names_who_lags(run_ctl, platform, write_files, start_agent):
    path = write_files()
    url = ('--platform', platform)
    _, out, _ = run_ctl('apply', path, *url, '-o', 'json')
    revision = max(row['revision'] for row in json.loads(out))
    up_to_date = NodeStatus('n0', revision, (EntryStatus('e0', revision),))
    agent = start_fleet(start_agent, up_to_date)
    args = ('apply', path, *url, '--wait', '0.3', '--agent')
    assert run_ctl(*args, agent)[0] == 0
    agent = start_fleet(
        start_agent,
        up_to_date,
        None,
        NodeStatus('n2', revision - 1),
        NodeStatus('n3', revision, (EntryStatus('e3', revision - 1),)),
        NodeStatus('n4', revision, (), (Rejected('pool', 'p', 1, 'bad'),)),
        NodeStatus('other', revision),
    )
    code, _, err = run_ctl(*args, agent)
    assert code == 4
    lagging = [line.split(':')[0] for line in err.splitlines()]
    assert lagging[:-1] == ['n1', 'n2', 'n3 entry e3', 'n4', 'n5']
    assert run_ctl(*args, '127.0.0.1:1')[0] == 4
    assert run_ctl('apply', path, *url, '--wait', '1')[0] == 2


def test_agent_commands(run_ctl, start_agent):
    agent = start_fleet(
        start_agent, NodeStatus('n0', 7), NodeStatus('n1', 5), None
    )
    code, out, _ = run_ctl('status', '--agent', agent, '-o', 'json')
    assert code == 0
    assert [row['lag'] for row in json.loads(out)] == [0, 2, None]
    assert 'no answer' in run_ctl('status', '--agent', agent)[1]
    assert 'n2' in run_ctl('members', '--agent', agent)[1]
    assert 't0' in run_ctl('targets', '--agent', agent)[1]
    code, _, err = run_ctl('drain', 'target', 't0', '--agent', agent)
    assert code == 1 and 'refused' in err
    assert run_ctl('drain', 'node', 'n0', '--undo', '--agent', agent)[0] == 0
    assert start_agent.posted == [
        {'target': 't0', 'drain': True},
        {'node': 'n0', 'drain': False},
    ]
    assert run_ctl('status', '--agent', '127.0.0.1:1')[0] == 3
