"""Send signals to a node at each step of its start and of its stop.

The node runs in the process of the test. A step, the call of a method, waits
until the node has handled the signals.
"""

import asyncio
import inspect
import os
import signal

from grpclib.const import Status
from grpclib.server import Server
import pytest
import uvloop

from sesameward.exceptions import PeerUnavailableError
from sesameward.exceptions import PlatformUnavailableError
from sesameward.membership.gossip import Gossip
from sesameward.membership.peers import PeerClient
from sesameward.messages import Member
from sesameward.serving.http_caller import HttpCaller
from sesameward.serving.http_server import HttpServer
from sesameward.serving.limit_exchange import LimitExchange
from sesameward.serving.listening import listen
from sesameward.serving.mirror import Mirror
from sesameward.serving.node import Node
from sesameward.serving.peers import Peers
from sesameward.serving.pools import Pools
from sesameward.serving.registration import Registration
from sesameward.standin.object_store import ObjectStore
from sesameward.types import NodeId
from sesameward.types import ZoneName
from tests import local_node

# Time that the node of these tests gives callers to learn that it leaves.
KEEP_LISTENING_S = 0.05
HANDLED_TIMEOUT_S = 2.0
# A step waits this long for a call that the node may answer after it only.
MAX_CALL_WAIT_S = 0.2
REQUEST = (
    b'GET /nowhere HTTP/1.1\r\nHost: h\r\nSesameward-Request-Id: r1\r\n'
    b'Sesameward-Deadline-Ms: 500\r\n\r\n'
)
# Log events of the faults of a node.
FAULTS = ('loop_fault', 'stop_fault', 'task_failed', 'handler_fault')

# Class, method and number of the call at which a start is held up.
START_STEPS = (
    (Peers, 'start', 1),
    (Gossip, 'start', 1),
    (Server, 'start', 1),
    (HttpServer, 'start', 1),
    (HttpServer, 'start', 2),
    (HttpServer, 'start', 3),
    (Mirror, 'start', 1),
    (Mirror, 'start', 2),
    (Node, '_wait_first_reading', 1),
    (HttpServer, 'accept', 4),
    (Node, '_upkeep', 1),
    (Registration, 'run', 1),
    (LimitExchange, 'run', 1),
)
# Steps at which other tasks of the node run on.
WAITING_STEPS = tuple(
    step
    for step in START_STEPS
    if inspect.iscoroutinefunction(getattr(step[0], step[1]))
    and step[0] is not LimitExchange
)
STOP_STEPS = (
    (Peers, 'announce_leaving', 1),
    (HttpServer, 'stop_listening', 1),
    (HttpServer, 'close_idle', 1),
    (HttpServer, 'stop', 1),
    (Mirror, 'stop', 1),
    (Mirror, 'stop', 2),
    (Peers, 'stop', 1),
    (Pools, 'close', 1),
)
SIGNALS = (
    (signal.SIGTERM,),
    (signal.SIGINT,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM),
)
ENDPOINTS = (
    (local_node.READINESS_PORT, '/v1/readyz'),
    (local_node.DIRECTORY_PORT, '/v1/resolve?name=h&region=r&zone=z1'),
    (local_node.METRICS_PORT, '/status'),
    (local_node.METRICS_PORT, '/metrics'),
)


def name_of(value):
    if isinstance(value[0], signal.Signals):
        return '+'.join(number.name for number in value)
    cls, method, call_no = value
    return f'{cls.__name__}.{method}-{call_no}'


@pytest.fixture
def host():
    """Return a loopback address for one node."""
    return local_node.random_host()


@pytest.fixture
def hold_step(monkeypatch, events):
    """Return a function that lets something happen before a step goes on.

    It takes the step, a function and, for steps that can wait, a coroutine
    function that is awaited next.
    """

    def hold(step, act, wait=None):
        cls, name, held_call_no = step
        original = getattr(cls, name)
        calls = 0

        def is_held():
            nonlocal calls
            # The store of the test uses some of the same classes.
            if 'started' not in [event for event, _ in events]:
                return False
            calls += 1
            return calls == held_call_no

        def call(*args, **kwargs):
            if is_held():
                act()
            return original(*args, **kwargs)

        async def call_async(*args, **kwargs):
            if is_held():
                act()
                if wait is not None:
                    await wait()
            return await original(*args, **kwargs)

        is_async = inspect.iscoroutinefunction(original)
        monkeypatch.setattr(cls, name, call_async if is_async else call)

    return hold


@pytest.fixture
def send_at(hold_step, events):
    """Return a function that sends signals to this process at a step.

    The step goes on once the node has handled them, if it can wait.
    """

    def send_at_step(step, signals):
        expected = 0

        def send():
            nonlocal expected
            expected = count_handled(events) + len(signals)
            for number in signals:
                os.kill(os.getpid(), number)

        async def wait_until_handled():
            async with asyncio.timeout(HANDLED_TIMEOUT_S):
                while count_handled(events) < expected:
                    await asyncio.sleep(0)

        hold_step(step, send, wait_until_handled)

    return send_at_step


def send_sigterm():
    os.kill(os.getpid(), signal.SIGTERM)


def count_handled(events):
    return sum(event in ('signal', 'reloaded') for event, _ in events)


@pytest.fixture
def run_node(monkeypatch, host):
    """Return a function that runs a node while a caller waits for it.

    It returns what the caller gets. A node that still runs after grace_s fails
    the test.
    """
    monkeypatch.setattr(
        'sesameward.serving.node.KEEP_LISTENING_S', KEEP_LISTENING_S
    )

    async def main():
        store = ObjectStore()
        cfg = local_node.make_settings(host, await store.open_door('n1'))
        node = local_node.make_node(cfg)
        listener = listen(cfg.callers)
        reader, writer = await asyncio.open_connection(
            cfg.callers.host, cfg.callers.port
        )
        writer.write(REQUEST)
        running = asyncio.ensure_future(node.run(listener))
        try:
            async with asyncio.timeout(cfg.bounds.grace_s):
                await asyncio.shield(running)
            try:
                return await reader.read()
            except ConnectionResetError:
                return b''
        finally:
            writer.close()
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            store.stop()

    return lambda: uvloop.run(main())


def check_answer(answer):
    """Check that the caller got a whole answer, or none."""
    if answer:
        head, _, body = answer.partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 503 ')
        assert f'Content-Length: {len(body)}'.encode() in head.split(b'\r\n')


# Guards against a node that ignores SIGTERM for good, and is then killed with
# requests in flight, because the signal came while its parts were starting.
@pytest.mark.parametrize('signals', SIGNALS, ids=name_of)
@pytest.mark.parametrize('step', START_STEPS, ids=name_of)
def test_signal_at_each_step_of_the_start_ends_the_node(
    step, signals, send_at, run_node, events
):
    send_at(step, signals)
    check_answer(run_node())
    names = [event for event, _ in events]
    assert 'signal' in names
    assert names[-1] == 'stopped'
    assert not set(FAULTS) & set(names)


# Guards against a node that ends, or serves in part, because it was told to
# read its settings again while its parts were starting.
@pytest.mark.parametrize('step', START_STEPS[:-1], ids=name_of)
def test_sighup_at_each_step_of_the_start_changes_nothing(
    step, send_at, run_node, events
):
    send_at(step, (signal.SIGHUP,))
    send_at(START_STEPS[-1], (signal.SIGTERM,))
    check_answer(run_node())
    names = [event for event, _ in events]
    assert names.index('reloaded') < names.index('signal')
    stages = [fields['stage'] for event, fields in events if event == 'signal']
    assert stages == ['serving']
    assert not set(FAULTS) & set(names)


# Guards against a further signal that keeps a leaving node from stopping.
@pytest.mark.parametrize('signals', SIGNALS, ids=name_of)
@pytest.mark.parametrize('step', STOP_STEPS, ids=name_of)
def test_signal_at_each_step_of_the_stop_changes_nothing(
    step, signals, send_at, run_node, events
):
    send_at((Registration, 'run', 1), (signal.SIGTERM,))
    send_at(step, signals)
    check_answer(run_node())
    names = [event for event, _ in events]
    assert names.count('leaving') == names.count('stopped') == 1
    assert not set(FAULTS) & set(names)


# Guards against a node that cuts off requests in flight, or runs on, because
# it could not tell the other nodes that it leaves.
def test_node_that_fails_to_announce_its_leaving_waits_for_requests(
    monkeypatch, send_at, run_node, events
):
    def fail(peers):
        raise RuntimeError('no announcement')

    monkeypatch.setattr(Peers, 'announce_leaving', fail)
    send_at((Registration, 'run', 1), (signal.SIGTERM,))
    check_answer(run_node())
    names = [event for event, _ in events]
    assert names.index('stop_fault') < names.index('stopping')
    assert names[-1] == 'stopped'


# Guards against a node that answers 500 while it starts, because endpoints are
# served before what they tell of is up.
@pytest.mark.parametrize('step', WAITING_STEPS, ids=name_of)
def test_no_endpoint_fails_while_the_node_starts(
    step, host, hold_step, send_at, run_node, events
):
    statuses = {}

    async def ask_endpoints():
        for port, path in ENDPOINTS:
            caller = HttpCaller(host, port)
            head = f'GET {path} HTTP/1.1\r\nHost: n\r\n\r\n'
            try:
                reply = await caller.call(head.encode(), HANDLED_TIMEOUT_S)
                statuses[path] = reply.status
            except PlatformUnavailableError:
                statuses[path] = None
            finally:
                caller.close()

    hold_step(step, lambda: None, ask_endpoints)
    send_at((LimitExchange, 'run', 1), (signal.SIGTERM,))
    check_answer(run_node())
    assert len(statuses) == len(ENDPOINTS)
    assert set(statuses.values()) <= {None, 200, 503}
    assert not set(FAULTS) & {event for event, _ in events}


# Guards against calls of other nodes that fail, with a traceback in the log,
# because this node answers them before its gossip has started.
@pytest.mark.parametrize('step', WAITING_STEPS, ids=name_of)
def test_no_call_of_a_node_fails_while_this_one_starts(
    step, host, hold_step, run_node
):
    statuses, calls = [], []

    async def call():
        port = local_node.PEER_PORT
        member = Member(NodeId('n2'), ZoneName('z1'), host, 1, port, 1)
        try:
            await PeerClient().sync(member, b'not sealed')
        except PeerUnavailableError as exc:
            statuses.append(getattr(exc.__cause__, 'status', None))

    async def start_call():
        calls.append(asyncio.ensure_future(call()))
        await asyncio.wait(calls, timeout=MAX_CALL_WAIT_S)

    async def finish_call():
        await asyncio.wait(calls)

    hold_step(step, lambda: None, start_call)
    hold_step((LimitExchange, 'run', 1), send_sigterm, finish_call)
    check_answer(run_node())
    # The call is refused because it has no valid seal, or not taken at all.
    assert statuses[0] in (None, Status.UNAUTHENTICATED)
