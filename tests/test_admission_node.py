"""Test admission with node processes, and its gate without any."""

import asyncio
import collections
import itertools
import signal
import time
import types

import msgspec
import pytest

from sesameward.admission.control import Control
from sesameward.admission.control import End
from sesameward.metrics import Metrics
from sesameward.placement.relays import RelayRole
from sesameward.serving.admission_gate import AdmissionGate
from sesameward.serving.http_caller import HttpCaller
from sesameward.serving.pools import WaitRank
from sesameward.standin.fleet import INTERNAL_PORTS
from tests import promises
from tests.scenarios import wait_until
from tests.scenarios import with_fleet
from tests.test_gather_run import Responder
from tests.test_pools import run_with_pools  # noqa: F401

URGENT = {'name': 'urgent', 'api_keys': ['k0'], 'priority': 0}
LEAST_URGENT = {'name': 'bulk', 'api_keys': ['k2'], 'priority': 2}
# Work of a request at a target, and requests that wait there at most.
WORK_S = 0.1
TARGET_QUEUE = 4
# The two targets of the service have two slots each: 40 requests a second.
BURST_INTERVAL_S = 0.01
BURST_S = 4.0
# Every tenth request is urgent.
URGENT_EVERY = 10


async def ask(fleet, node, key, answers):
    request_id = fleet.request_id()
    started_at = time.monotonic()
    reply = await fleet.ask(
        node, '/safe/1', request_id, headers=(('X-Api-Key', key),)
    )
    took_s = time.monotonic() - started_at
    answers.append((key, request_id, reply.status, took_s))


async def read(node, path):
    client = HttpCaller(node.host, INTERNAL_PORTS[1])
    try:
        asked = f'GET {path} HTTP/1.1\r\nHost: h\r\n\r\n'.encode()
        return (await client.call(asked, 2.0)).body
    finally:
        client.close()


async def send_burst(fleet):
    answers, tasks = [], []
    numbers = itertools.count()
    until = time.monotonic() + BURST_S
    while time.monotonic() < until:
        n = next(numbers)
        key = 'k2' if n % URGENT_EVERY else 'k0'
        node = fleet.nodes[n % len(fleet.nodes)]
        tasks.append(asyncio.create_task(ask(fleet, node, key, answers)))
        await asyncio.sleep(BURST_INTERVAL_S)
    await asyncio.gather(*tasks)
    assert len(answers) == len(tasks)
    return answers


# Guards against urgent requests that are refused while the least urgent ones
# fill the targets, against requests that run although they were refused, and
# against waiting requests that a leaving node does not answer.
@with_fleet()
async def test_burst_at_targets_with_few_slots(fleet):
    fleet.put_config(tenants=[URGENT, LEAST_URGENT])
    for target in fleet.targets.values():
        target.faults.work_s = WORK_S
        target.faults.queue_limit = TARGET_QUEUE

    async def is_keyed():
        replies = [await fleet.ask(node, '/safe/1') for node in fleet.nodes]
        return all(reply.status == 401 for reply in replies)

    await wait_until(is_keyed, 3.0)
    answers = await send_burst(fleet)
    by_key = collections.defaultdict(collections.Counter)
    for key, request_id, status, _ in answers:
        by_key[key][status] += 1
        if status == 503:
            assert promises.runs_of(fleet, request_id) == []
    assert by_key['k2'][200] > 0
    served = {k: one[200] / one.total() for k, one in by_key.items()}
    assert served['k0'] > served['k2']
    metrics = b''.join([await read(one, '/metrics') for one in fleet.nodes])
    assert b'waited' in metrics
    node = fleet.nodes[0]
    last: list = []
    tasks = [
        asyncio.create_task(ask(fleet, node, 'k2', last)) for _ in range(20)
    ]
    await asyncio.sleep(0.03)
    status = msgspec.json.decode(await read(node, '/status'))
    assert [one['priority'] for one in status['admission']] == [2]
    node.send(signal.SIGTERM)
    await asyncio.gather(*tasks)
    assert {one[2] for one in last} <= {200, 503}


@pytest.fixture
def gate():
    """Return a function that runs a scenario with a gate and a full service.

    The scenario also gets a function that submits a request and returns it,
    the started requests and the refused ones.
    """

    def run(scenario):
        async def main():
            loop = asyncio.get_running_loop()
            one_gate = AdmissionGate(
                None, Metrics('t'), loop.time, lambda: True
            )
            one_gate.control = Control()
            started, refused = [], []
            one_gate.start = lambda arrival, now: started.append(arrival)
            one_gate.refuse = lambda arrival, after_s: refused.append(arrival)

            def submit(timeout_s=0.2):
                now = loop.time()
                arrival = types.SimpleNamespace(
                    req=types.SimpleNamespace(arrived_at=now, path='/'),
                    asked=types.SimpleNamespace(request_id='r1'),
                    route=types.SimpleNamespace(name='r'),
                    responder=Responder(),
                    organisation=None,
                    priority=1,
                    share_group='r',
                    deadline_at=now + timeout_s,
                    service='s',
                )
                one_gate.submit(arrival, now)
                return arrival

            first = submit()
            running = submit()
            first.on_end(End.REFUSED)
            await scenario(one_gate, submit, running, started, refused)

        asyncio.run(main())

    return run


# Guards against waiting requests that are answered after their deadline, and
# against entries that remain when their caller has gone.
def test_waiting_request_is_refused_in_time_or_abandoned(gate):
    async def scenario(one_gate, submit, running, started, refused):
        kept, left = submit(), submit()
        assert len(one_gate.runs) == 2
        left.responder.on_gone()
        assert len(one_gate.runs) == 1
        await asyncio.sleep(0.2)
        assert refused == [kept]
        assert len(one_gate.runs) == len(one_gate.control.order) == 0
        running.on_end(End.SERVED)
        submit()
        assert len(started) == 3

    gate(scenario)


# Guards against a request that is started with a fault and then takes the
# room of others for ever.
def test_fault_at_the_start_frees_the_room(gate):
    async def scenario(one_gate, submit, running, started, refused):
        def fail(arrival, now):
            raise ValueError('fault of the test')

        first, second = submit(), submit()
        start, one_gate.start = one_gate.start, fail
        running.on_end(End.SERVED)
        await asyncio.sleep(0)
        assert first.responder.answer.status == 500
        one_gate.start = start
        await asyncio.sleep(0.01)
        assert started[-1] is second or second.responder.answer is not None

    gate(scenario)


# Guards against urgent requests that wait for a connection behind others.
@pytest.mark.parametrize('is_ordered', [False, True])
def test_connections_go_to_the_most_urgent_request(
    run_with_pools,  # noqa: F811
    is_ordered,
):
    async def scenario(pools, standin, _):
        pools.orders_waiting = lambda: is_ordered
        pools.role = lambda target_id: RelayRole.OTHER
        served = []

        def waiter(name):
            return lambda conn: served.append(name)

        for name, priority in (('late', 2), ('urgent', 0)):
            pools.acquire(
                'i-1', waiter(name), rank=WaitRank(priority, 'r', 1.0)
            )
        await asyncio.sleep(0.1)
        expected = ['late', 'urgent']
        assert served == (expected[::-1] if is_ordered else expected)

    run_with_pools(scenario)
