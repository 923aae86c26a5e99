"""Test organisations with real node processes and simulated targets."""

import asyncio
import itertools
import signal
import time

import pytest

from sesameward.exceptions import PlatformUnavailableError
from sesameward.platform import boot
from sesameward.rendezvous import pick
from sesameward.serving.http_caller import HttpCaller
from sesameward.standin.fleet import INTERNAL_PORTS
from sesameward.standin.fleet import MAX_CONFIG_DELAY_MS
from tests import promises
from tests.scenarios import wait_until
from tests.scenarios import with_fleet

KEY = 'secret-key-1'
SECOND_KEY = 'secret-key-2'


def tenant(**fields):
    return {'name': 'acme', 'api_keys': [KEY], **fields}


async def put_tenants(fleet, *tenants, key=KEY, status=(200,)):
    """Write organisations; wait until all nodes answer the key by a status."""
    fleet.put_config(extra_routes=('/public/',), tenants=tenants)

    async def is_in_force():
        for node in fleet.nodes:
            keyless = await ask(fleet, node, '/safe/ready')
            keyed = await ask(fleet, node, '/safe/ready', key)
            if keyless.status != 401 or keyed.status not in status:
                return False
        return True

    await wait_until(is_in_force, MAX_CONFIG_DELAY_MS / 1_000)


async def ask(fleet, node, path, *keys, request_id=None, headers=()):
    headers = (*headers, *(('X-Api-Key', key) for key in keys))
    return await fleet.ask(node, path, request_id, headers=headers)


def sent_headers(fleet, request_id):
    """Return the headers of all runs of a request, names in lower case."""
    return [
        (name.lower(), value)
        for run in promises.runs_of(fleet, request_id)
        for name, value in run.headers
    ]


def names_of(headers):
    return {v for name, v in headers if name == b'sesameward-tenant'}


# Guards against keys passed on to targets, directly or by helpers in other
# zones, and against names of organisations that a caller forged.
@with_fleet()
async def test_targets_get_the_organisation_and_never_the_key(fleet):
    await put_tenants(fleet, tenant())
    forged = ('sesameward-tenant', 'forged'), ('Sesameward-Tenant', 'x')
    for node in fleet.nodes:
        for path in ('/q/1', '/once/1', '/safe/1'):
            request_id = fleet.request_id()
            reply = await ask(
                fleet, node, path, KEY, request_id=request_id, headers=forged
            )
            assert reply.status == 200
            headers = sent_headers(fleet, request_id)
            assert names_of(headers) == {b'acme'}
            assert not any(name == b'x-api-key' for name, _ in headers)
        request_id = fleet.request_id()
        reply = await ask(
            fleet,
            node,
            '/public/1',
            'unknown',
            request_id=request_id,
            headers=forged,
        )
        assert reply.status == 200
        headers = sent_headers(fleet, request_id)
        assert headers
        assert names_of(headers) == set()
        assert not any(name == b'x-api-key' for name, _ in headers)


@with_fleet()
async def test_unknown_missing_and_several_keys_reach_no_target(fleet):
    await put_tenants(fleet, tenant())
    for keys in ((), ('unknown',), (KEY, KEY), (KEY, 'unknown')):
        for node in fleet.nodes:
            request_id = fleet.request_id()
            reply = await ask(
                fleet, node, '/q/1', *keys, request_id=request_id
            )
            assert reply.status == 401
            assert promises.runs_of(fleet, request_id) == []
    reply = await ask(fleet, fleet.nodes[0], '/nowhere/')
    assert reply.status == 404


# Guards against a withdrawn key that works again after a restart, or while a
# restored store shows the configuration that still has it. One of the nodes
# watches the store: without it the others learn late that it was restored.
@pytest.mark.parametrize('restarted', range(3))
def test_withdrawn_key_stays_withdrawn(restarted):
    @with_fleet()
    async def scenario(fleet):
        await put_tenants(fleet, tenant(api_keys=[KEY, SECOND_KEY]))
        copy = fleet.store.copy()
        await put_tenants(
            fleet, tenant(api_keys=[SECOND_KEY]), key=KEY, status=(401,)
        )
        fleet.store.restore(copy)
        await check_withdrawn(fleet, fleet.nodes[restarted])

    scenario()


async def check_withdrawn(fleet, restarted):
    """Restart a node; check its answers to KEY from the first one on."""
    restarted.send(signal.SIGKILL)
    restarted.process.wait()
    restarted.start()
    answers = 0
    while answers < 10:
        try:
            reply = await ask(fleet, restarted, '/safe/1', KEY)
        except PlatformUnavailableError:
            # The node does not listen yet.
            await asyncio.sleep(0.005)
            continue
        assert reply.status in (401, 503)
        answers += 1
    await fleet.wait_until_ready()
    for node in fleet.nodes:
        for _ in range(10):
            reply = await ask(fleet, node, '/safe/1', KEY)
            assert reply.status in (401, 503)
        assert (await ask(fleet, node, '/safe/1', SECOND_KEY)).status == 200


# Guards against a final 401 for a key that a newer configuration may have, and
# against keys served for too long where the settings forbid that.
@pytest.mark.parametrize('fail_closed', [False, True])
def test_node_without_news_refuses_as_the_settings_say(fail_closed):
    @with_fleet(bounds={'fail_closed': fail_closed, 'revoke_ms': 1_000})
    async def scenario(fleet):
        await put_tenants(fleet, tenant())
        fleet.store.faults.silent_for |= {n.name for n in fleet.nodes}
        node = fleet.nodes[0]

        async def is_doubtful():
            reply = await ask(fleet, node, '/safe/1', 'unknown')
            assert reply.status in (401, 503)
            return reply.status == 503

        await wait_until(is_doubtful, 8.0)
        reply = await ask(fleet, node, '/safe/1', KEY)
        assert reply.status == (503 if fail_closed else 200)
        assert (await ask(fleet, node, '/public/1')).status == 200

    scenario()


# Guards against keys in what a node shows to operators.
@with_fleet()
async def test_no_log_line_status_or_metric_shows_a_key(fleet):
    await put_tenants(fleet, tenant())
    for node in fleet.nodes:
        await ask(fleet, node, '/safe/1', 'secret-unknown')
        await ask(fleet, node, '/nowhere/', KEY)

        async def is_logged():
            refused = node.lines('refused')
            return {'unknown_key', 'no_route'} <= {
                line['reason'] for line in refused
            }

        await wait_until(is_logged, 2.0)
        assert 'secret' not in node.log.read_text()
        client = HttpCaller(node.host, INTERNAL_PORTS[1])
        for path in ('/status', '/metrics'):
            reply = await client.call(
                f'GET {path} HTTP/1.1\r\nHost: h\r\n\r\n'.encode(), 2.0
            )
            assert reply.status == 200
            assert b'secret' not in reply.body
            assert (b'acme' in reply.body) == (path == '/status')
        client.close()


def test_settings_file_without_the_new_bounds_serves_known_keys():
    bounds = boot._Bounds(0.2, 50, 10, 3_000, 2_000, 6, 5)
    assert (bounds.fail_closed, bounds.revoke_ms) == (False, 5_000)


WINDOW_S = 5.0
RATE_PER_S = 6.0
BURST = 6.0


async def count_over_limit(fleet, interval_s, length_s):
    """Send requests to all nodes in turn; check refusals; return both counts.

    A refused request must not have run at any target.
    """
    tasks = []

    async def send(node):
        request_id = fleet.request_id()
        reply = await ask(fleet, node, '/once/1', KEY, request_id=request_id)
        assert reply.status in (200, 429)
        if reply.status == 429:
            names = {name.lower() for name, _ in reply.headers}
            assert b'retry-after' in names
            assert promises.runs_of(fleet, request_id) == []
        return reply.status

    for n in range(int(length_s / interval_s)):
        node = fleet.nodes[n % len(fleet.nodes)]
        tasks.append(asyncio.create_task(send(node)))
        await asyncio.sleep(interval_s)
    statuses = await asyncio.gather(*tasks)
    return statuses.count(200), statuses.count(429)


# Guards against each node allowing the whole limit, or only its own part.
@with_fleet()
async def test_limit_is_kept_over_three_nodes_and_used(fleet):
    # A new process has its whole share after 4 s, and no permits before.
    await put_tenants(
        fleet,
        tenant(rate_per_s=RATE_PER_S, burst=BURST),
        status=(200, 429),
    )
    await asyncio.sleep(6.0)
    assert await count_over_limit(fleet, 1 / 5.0, 4.0) == (20, 0)
    for target in fleet.targets.values():
        target.runs.clear()
    began_at = time.time()
    admitted, refused = await count_over_limit(fleet, 1 / 54.0, 8.0)
    assert refused > admitted
    assert admitted >= 0.9 * RATE_PER_S * 8.0
    times = sorted(
        run.at for target in fleet.targets.values() for run in target.runs
    )
    bound = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 20.0
    for at in times:
        assert sum(at <= other < at + WINDOW_S for other in times) <= bound
    for node in fleet.nodes:
        over = [
            line
            for line in node.lines('refused')
            if line['reason'] == 'over_limit' and line['at'] >= began_at
        ]
        assert over
        assert {line['organisation'] for line in over} == {'acme'}
        # One line a second at most, however long the requests took to send;
        # 10 ms allow for the two clocks of the interval and of the line.
        for line, following in itertools.pairwise(over):
            assert following['at'] - line['at'] >= 0.99


async def wait_for_coordinator(fleet, nodes):
    """Wait until running nodes agree on the coordinator; return its node."""
    names = [node.name for node in nodes]
    coordinator = pick('limits', names, 1)[0]

    async def is_chosen():
        chosen = [
            node.lines('organisation_coordinator')[-1:]
            for node in nodes
            if node.name != coordinator
        ]
        return all(
            lines and lines[0]['coordinator'] == coordinator
            for lines in chosen
        )

    await wait_until(is_chosen, 15.0)
    return next(node for node in nodes if node.name == coordinator)


# Guards against a killed coordinator that keeps the shares for the rest of the
# lease: nodes called it in vain for about 2 s, and refused requests meanwhile.
# That they change it after one failed call does not depend on the load.
@with_fleet()
async def test_killed_coordinator_is_replaced_after_one_call(fleet):
    await put_tenants(
        fleet, tenant(rate_per_s=1000.0, burst=1000.0), status=(200, 429)
    )
    coordinator = await wait_for_coordinator(fleet, fleet.nodes)
    others = [node for node in fleet.nodes if node is not coordinator]
    known = {n.name: len(n.lines('limit_call_failed')) for n in others}
    coordinator.send(signal.SIGKILL)
    coordinator.process.wait()

    def changes(node):
        lines = node.lines('organisation_coordinator')
        return [line for line in lines if line['before'] == coordinator.name]

    async def is_replaced():
        return all(changes(node) for node in others)

    await wait_until(is_replaced, 15.0)
    for node in others:
        failed = node.lines('limit_call_failed')[known[node.name] :]
        changed_at = changes(node)[0]['at']
        # A node that had no processor time sees a call time out as well.
        before = [
            line
            for line in failed
            if line['at'] <= changed_at and 'TimeoutError' not in line['error']
        ]
        assert [line['coordinator'] for line in before] == [coordinator.name]
    for node in others:

        async def is_admitted(node=node):
            return (await ask(fleet, node, '/safe/1', KEY)).status == 200

        await wait_until(is_admitted, 15.0)


# Guards against messages between nodes for limits that nobody has.
@with_fleet()
async def test_nothing_is_exchanged_without_a_limit(fleet):
    await put_tenants(fleet, tenant())
    await asyncio.sleep(2.0)
    for node in fleet.nodes:
        assert (await ask(fleet, node, '/safe/1', KEY)).status == 200
        assert node.lines('organisation_coordinator') == []
