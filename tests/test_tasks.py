"""Test that no background work of a node ends without a sign.

Each task of docs/design/tasks.md fails once. A loop must be restarted; other
work must end with its consequence. Both must be counted and logged.
"""

import asyncio
import pathlib
import random
import re
import types

from grpclib import const
from grpclib.server import Server
import pytest

import sesameward
from sesameward.codec import MsgpackCodec
from sesameward.membership.events import RumorAccepted
from sesameward.membership.events import Send
from sesameward.membership.events import TimerDue
from sesameward.membership.gossip import Gossip
from sesameward.membership.swim import Swim
from sesameward.messages import Member
from sesameward.messages import Rumor
from sesameward.metrics import Metrics
from sesameward.serving.admission_gate import AdmissionGate
from sesameward.serving.byte_limits import MessageMemory
from sesameward.serving.delegate_client import DelegateClient
from sesameward.serving.delegate_client import Envelope
from sesameward.serving.delegate_client import METHOD
from sesameward.serving.delegation import BatchResults
from sesameward.serving.delegation import DelegatedBatch
from sesameward.serving.delegation import Delegation
from sesameward.serving.listening import listen
from sesameward.serving import mirror
from sesameward.serving.pools import ConnectCheck
from sesameward.serving.pools import Pools
from sesameward.serving.run import End
from sesameward.serving.run import Run
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.standin.object_store import ObjectStore
from tests.local_node import make_node
from tests.local_node import make_settings
from tests.local_node import random_host
from tests.test_platform_adapter import REGISTRATION
from tests.test_platform_adapter import ROUTE

WAIT_S = 8.0
TARGET = Target('i-1', 's', '127.0.0.1', 1, 'z', 2, TargetState.READY)


class FailOnce:
    """Count the calls of a function; the first of them fails."""

    def __init__(self, function):
        self.calls = 0
        self._function = function

    def __call__(self, *args, **kwargs):
        self.calls += 1
        if self.calls == 1:
            raise RecursionError
        return self._function(*args, **kwargs)


class FailingConnection:
    """Connection of a caller; the first check of its time limits fails."""

    def __init__(self):
        self.close_if_timed_out = FailOnce(lambda now: None)

    def close_if_idle(self):
        return True


async def wait_until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.02)


@pytest.fixture
def with_node():
    """Return a function that runs a scenario beside a node of this process.

    prepare gets the node before it is started.
    """

    async def main(scenario, prepare):
        store = ObjectStore()
        port = await store.open_door('n1')
        cfg = make_settings(random_host(), port, evac_ms=5_000)
        store.put(
            'config',
            'main',
            {
                'version': 1,
                'routes': [ROUTE | {'service': 's'}],
                'services': [{'name': 's', 'max_conns': 25}],
            },
        )
        store.put('servers', 'i-1', REGISTRATION | {'state': 'ready'})
        node = make_node(cfg)
        prepared = prepare(node)
        running = asyncio.ensure_future(node.run(listen(cfg.callers)))
        try:
            await scenario(node, store, prepared)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            store.stop()

    return lambda scenario, prepare=lambda node: None: asyncio.run(
        main(scenario, prepare)
    )


def fail_once(owner, name):
    """Replace a method of an object by one whose first call fails."""
    failing = FailOnce(getattr(owner, name))
    setattr(owner, name, failing)
    return failing


def fail_timeouts(node):
    conn = FailingConnection()
    node.callers.connections.add(conn)
    return conn.close_if_timed_out


LOOPS = {
    'upkeep': lambda node: fail_once(node, '_flush_logs'),
    'registration': lambda node: fail_once(node._adapter.registry, 'nodes'),
    'limits': lambda node: fail_once(node.limits, 'is_active'),
    'organisation limits': lambda node: fail_once(
        node.organisation_limits, 'is_active'
    ),
    'admission': lambda node: fail_once(node.admission, 'is_active'),
    'mirror config': lambda node: fail_once(
        node.routes_mirror, '_should_watch'
    ),
    'mirror servers': lambda node: fail_once(
        node.targets_mirror, '_should_watch'
    ),
    'mirror evacuations': lambda node: fail_once(
        node.evacuations_mirror, '_should_watch'
    ),
    'gossip join': lambda node: fail_once(
        node.peers.gossip, '_unknown_endpoints'
    ),
    'caller timeouts': fail_timeouts,
}


# Guards against a loop that ends for good, and nothing says so.
@pytest.mark.parametrize('name', LOOPS)
def test_loop_that_fails_is_restarted(with_node, events, name):
    async def scenario(node, store, failing):
        await wait_until(lambda: failing.calls > 1)
        assert node.metrics.value('loops_restarted', name) == 1

    with_node(scenario, LOOPS[name])
    (fields,) = [one for event, one in events if event == 'loop_restarted']
    assert fields['loop'] == name
    assert fields['error'] == 'RecursionError()'
    assert any('test_tasks.py' in call for call in fields['where'])


# Guards against a node that no longer notices dead nodes: its timer was not
# set again until the next datagram came.
def test_timer_of_gossip_goes_on_after_a_failure(
    with_node, events, monkeypatch
):
    rounds = []
    handle = Swim.handle

    def fail_first(self, now, event):
        if isinstance(event, TimerDue):
            rounds.append(now)
            if len(rounds) == 1:
                raise RecursionError
        return handle(self, now, event)

    monkeypatch.setattr(Swim, 'handle', fail_first)

    async def scenario(node, store, _):
        await wait_until(lambda: len(rounds) > 2)
        assert node.metrics.value('loops_restarted', 'gossip timer') == 1

    with_node(scenario)
    (fields,) = [one for event, one in events if event == 'loop_restarted']
    assert fields['loop'] == 'gossip timer'


# Guards against one step of the upkeep that keeps the node from starting, and
# all later steps, such as announcing the node, from being taken.
def test_steps_of_the_upkeep_are_taken_after_one_has_failed(with_node):
    checks = []

    def fail(*args):
        raise RecursionError

    def prepare(node):
        node.cold.settle = fail
        node._check_settings = lambda: checks.append(1)

    async def scenario(node, store, _):
        await wait_until(lambda: node.peers.gossip.me.entries)
        await wait_until(lambda: len(checks) > 1)
        assert node.metrics.value('loops_restarted', 'upkeep') > 1

    with_node(scenario, prepare)


# Guards against a node that stays ready though it has stopped reading, and
# whose routes and targets are outdated for good.
@pytest.mark.parametrize('is_other_offered', [False, True])
@pytest.mark.parametrize('kind', ['config', 'servers', 'evacuations'])
def test_node_whose_reading_has_stopped_is_not_ready(
    with_node, events, monkeypatch, kind, is_other_offered
):
    monkeypatch.setattr(mirror, 'STOPPED_AFTER_S', 0.5)

    async def scenario(node, store, _):
        await wait_until(lambda: node.ready() and node.peers.gossip.me.entries)
        node._is_other_offered = lambda: is_other_offered
        store_mirror = next(m for m in node._mirrors if m.kind == kind)
        should_watch = store_mirror._should_watch

        def fail(now):
            raise RecursionError

        store_mirror._should_watch = fail
        await wait_until(lambda: not node.ready())
        await wait_until(
            lambda: node.metrics.value('reading_stopped', kind) == 1
        )
        # Without another node, callers are better off with an outdated one.
        is_offered = bool(node.peers.gossip.me.entries)
        assert is_offered is not is_other_offered
        store_mirror._should_watch = should_watch
        await wait_until(lambda: 'reading' in [event for event, _ in events])
        assert node.ready()

    with_node(scenario)
    names = [event for event, _ in events if event.startswith('reading')]
    assert names == ['reading_stopped', 'reading']
    readiness = [e for e, _ in events if e in ('ready', 'not_ready')]
    assert readiness[:3] == ['ready', 'not_ready', 'ready']


# Nodes serve on while the store fails: all of them would be unready at once.
def test_node_stays_ready_while_only_the_store_fails(with_node, monkeypatch):
    monkeypatch.setattr(mirror, 'STOPPED_AFTER_S', 0.5)

    async def scenario(node, store, _):
        await wait_until(node.ready)
        store.faults.silent_for.add('n1')
        for store_mirror in node._mirrors:
            store_mirror.refresh()
        routes_mirror = node.routes_mirror
        await wait_until(lambda: routes_mirror.age_s(node._clock()) > 4.0)
        assert node.ready()

    with_node(scenario)


# Guards against a loop that hangs: it fails in no way that could be counted.
def test_reading_that_hangs_counts_as_stopped(with_node, monkeypatch):
    async def scenario(node, store, _):
        await wait_until(node.ready)
        store_mirror = node.routes_mirror
        hanging = asyncio.Event()
        store_mirror._read = hanging.wait
        store_mirror.refresh()
        # The round before the one that hangs ends in this time.
        await asyncio.sleep(0.5)
        late = node._clock() + mirror.MAX_ROUND_S
        assert not store_mirror.has_stopped(late - 1.0)
        assert store_mirror.has_stopped(late)

    with_node(scenario)


# Work that is not repeated.


# Guards against requests that wait until their deadlines, and a share of the
# target's connections that is lost, after any failure to connect.
def test_connection_that_fails_in_any_way_leaves_nobody_waiting(events):
    metrics = Metrics('t')

    async def main():
        loop = asyncio.get_running_loop()
        pools = Pools(metrics, random.Random(1), loop.time, lambda _: None)
        pools.declare(TARGET)

        async def fail(*args):
            raise RuntimeError

        loop.create_connection = fail
        acquired = loop.create_future()
        pools.acquire('i-1', acquired.set_result)
        assert await asyncio.wait_for(acquired, WAIT_S) is None
        for start in (pools.probe, pools.check):
            checked = loop.create_future()
            start('i-1', checked.set_result)
            reach = await asyncio.wait_for(checked, WAIT_S)
            assert reach is ConnectCheck.SILENT
        assert pools._pools['i-1'].connection_count == 0

    asyncio.run(main())
    assert metrics.value('tasks_failed', 'connection') == 3
    assert [event for event, _ in events] == ['task_failed'] * 3


# Guards against a helper whose stream stays open though nothing is sent on it
# any more: each later batch would wait until its deadline.
def test_stream_whose_sender_fails_ends(events):
    metrics = Metrics('t')

    class Helper:
        def __mapping__(self):
            return {
                METHOD: const.Handler(
                    self.serve,
                    const.Cardinality.STREAM_STREAM,
                    Envelope,
                    BatchResults,
                )
            }

        async def serve(self, stream):
            async for _ in stream:
                pass

    async def main():
        loop = asyncio.get_running_loop()
        server = Server([Helper()], codec=MsgpackCodec())
        await server.start('127.0.0.1', 0)
        port = server._server.sockets[0].getsockname()[1]
        helper = Member('b1', 'b', '127.0.0.1', 1, port, 1)
        client = DelegateClient(
            Delegation('me', 'z'), metrics, loop.time, MessageMemory()
        )
        ended = loop.create_future()
        # No message can hold an integer of that size.
        batch = DelegatedBatch(
            1, 'r', 'r', b'GET', b'', b'', b'', 2**70, 1, (), False
        )
        client.send_batch(helper, batch, ended.set_result)
        assert await asyncio.wait_for(ended, WAIT_S) is None
        await asyncio.sleep(0.05)
        client.close()
        server.close()

    asyncio.run(main())
    assert metrics.value('tasks_failed', 'stream to helper') == 1
    names = [event for event, _ in events]
    assert names == ['helper_lost', 'task_failed']


@pytest.fixture
def gossip():
    """Return gossip that sends no datagrams and never calls other nodes."""
    metrics = Metrics('t')
    gossip = Gossip(
        types.SimpleNamespace(
            membership=types.SimpleNamespace(keys=('key',)), seeds=()
        ),
        Member('n1', 'z', 'h', 1, 2, 3),
        metrics,
        random.Random(1),
        transport=types.SimpleNamespace(),
    )
    gossip.metrics = metrics
    return gossip


# Guards against an exchange with another node that fails without a sign.
def test_failed_sync_is_logged_and_the_next_one_runs(gossip, events):
    async def main():
        member = Member('n2', 'z', 'h', 1, 2, 3)
        gossip._run_exchange = FailOnce(None)
        gossip._start_sync(member)
        await asyncio.sleep(0.01)

        async def run_exchange(member):
            return False

        gossip._run_exchange = run_exchange
        gossip._start_sync(member)
        await asyncio.sleep(0.01)

    asyncio.run(main())
    assert gossip.metrics.value('tasks_failed', 'gossip sync') == 1
    assert gossip.metrics.value('syncs') == 1
    assert [event for event, _ in events] == ['task_failed']


# Guards against datagrams that are not sent, such as answers to probes,
# because the handling of a rumor failed.
def test_rumor_that_fails_harms_nothing_else(gossip, events):
    handled = []
    sent = []

    def fail(rumor):
        raise RecursionError

    gossip.subscribe('topic', fail)
    gossip.subscribe('topic', handled.append)
    gossip._send = lambda *args: sent.append(args)
    rumor = Rumor('topic', 'key', 1, b'', 1.0)
    gossip._run_actions([RumorAccepted(rumor), Send('h', 1, None)])
    assert handled == [rumor]
    assert sent == [('h', 1, None)]
    assert gossip.metrics.value('rumors_failed', 'topic') == 1
    assert [event for event, _ in events] == ['rumor_failed']


# Guards against a request without an answer: its timer is what ends it if its
# targets don't reply.
def test_request_whose_timer_fails_is_answered():
    metrics = Metrics('t')
    answers = []
    ends = []
    run = Run.__new__(Run)

    def fail(now):
        raise RecursionError

    run._plan = types.SimpleNamespace(on_timer=fail)
    run._tools = types.SimpleNamespace(metrics=metrics, clock=lambda: 0.0)
    run._deps = types.SimpleNamespace(runs={run})
    run._req = types.SimpleNamespace(path='/')
    run._responder = types.SimpleNamespace(send=answers.append)
    run._sub = types.SimpleNamespace(on_trial=False)
    run._on_end = ends.append
    run._was_shed = run._is_over = False
    run._timer = None
    run._exchanges = set()
    run._on_timer()
    assert [answer.status for answer in answers] == [500]
    assert ends == [End.OTHER]
    assert run._is_over
    assert not run._deps.runs
    assert metrics.value('handler_faults', 'RecursionError') == 1


# Guards against a request that neither waits nor is answered any more.
def test_request_whose_wait_can_not_be_ended_is_answered():
    metrics = Metrics('t')
    answers = []
    arrival = types.SimpleNamespace(
        req=types.SimpleNamespace(path='/'),
        responder=types.SimpleNamespace(send=answers.append),
    )
    claim = types.SimpleNamespace(item=arrival)
    gate = AdmissionGate.__new__(AdmissionGate)

    def fail(claim, now):
        raise RecursionError

    gate._metrics = metrics
    gate._clock = lambda: 0.0
    gate._leave_queue = lambda claim: None
    gate._timers = [claim]
    gate.control = types.SimpleNamespace(expire=fail)
    gate._expire(claim)
    assert [answer.status for answer in answers] == [500]
    assert metrics.value('handler_faults', 'RecursionError') == 1


PACKAGES = ('admission', 'membership', 'organisations', 'platform', 'serving')
# Modules with tasks that are not under the supervisor, and their number. Those
# of mirror and delegate_client are awaited by a task that is; the others are
# named in docs/design/tasks.md as left.
OTHER_TASKS = {
    'mirror.py': 3,
    'delegate_client.py': 2,
    'delegate_server.py': 1,
    'limit_exchange.py': 1,
}


# Guards against a new task that may end unnoticed.
def test_tasks_are_started_by_the_supervisor():
    root = pathlib.Path(sesameward.__file__).parent
    for package in PACKAGES:
        for path in (root / package).glob('*.py'):
            text = path.read_text()
            count = len(re.findall(r'ensure_future\(|create_task\(', text))
            assert count <= OTHER_TASKS.get(path.name, 0), path
