"""Test how the messages of a helper are merged into an answer.

A helper is a node that sends a batch of sub-requests to targets of its zone.
It merges the records of all replies in a message, so either all replies of
the message or none may count in the answer.
"""

import asyncio
import math
import random

import pytest

from sesameward.messages import Address
from sesameward.messages import Member
from sesameward.metrics import Metrics
from sesameward.placement.relays import Relays
from sesameward.serving.attempts import AttemptPolicy
from sesameward.serving.attempts import SubRequestFailure
from sesameward.serving.budget_window import BudgetWindow
from sesameward.serving.crashes import Crashes
from sesameward.serving.delegation import BatchResults
from sesameward.serving.delegation import Delegation
from sesameward.serving.delegation import ItemResult
from sesameward.serving.delegation import LoadFigures
from sesameward.serving.deps import Deps
from sesameward.serving.exchange import ExchangeDeps
from sesameward.serving.gather_run import delivery_s
from sesameward.serving.gather_run import GatherRun
from sesameward.serving.http_server import Answer
from sesameward.serving.http_server import Request
from sesameward.serving.limit_exchange import LimitExchange
from sesameward.serving.replica_choice import ReplicaSelector
from sesameward.serving.round_trip import round_trip_s
from sesameward.serving.routes import Repeat
from sesameward.serving.routes import Route
from sesameward.serving.routes import Shards
from sesameward.serving.run import Arrival
from sesameward.serving.run import identity_of
from sesameward.serving.splits import Splits
from sesameward.serving.target_limits import TargetLimits
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.serving.targets import TargetTable
from sesameward.serving.wire import RequestHeaders

RECORDS = b'c' * 16 + b'b' * 16 + b'a' * 16


class Wire:
    """Stand in for PlatformWire: put signatures into the header names."""

    def merged_answer(self, signatures, missing, body):
        return Answer(200, [(s, b'') for s in signatures], body)


class Delegates:
    """Stand in for DelegateClient: record batches, ignore other messages."""

    def __init__(self):
        self.asks = []

    def next_batch_no(self):
        return len(self.asks) + 1

    def send_batch(self, member, batch, on_results):
        self.asks.append((batch, on_results))

    def send_message(self, node, message):
        pass

    def finish_batch(self, node, batch, is_answered):
        pass


class Responder:
    """Record the answer to the caller instead of sending it."""

    def __init__(self):
        self.on_gone = None
        self.answer = None

    def send(self, answer):
        self.answer = answer

    def raw_transport(self):
        return None


@pytest.fixture
def query():
    """Return a function that runs a scenario with one query.

    The sub-requests to all three shards go to one helper in a single batch.
    late_s is the time from the query's arrival to the start of the scenario.
    The messages to helpers are in the attribute delegates.asks.
    """

    class Pools:
        def __init__(self):
            self.tried = []

        def acquire(self, target_id, on_connection, max_idle_s, rank):
            self.tried.append(target_id)

        def is_unreachable(self, target_id):
            return False

    def run(
        scenario,
        late_s,
        helpers=('helper',),
        zone='far',
        relayed=(),
        on_trial=False,
    ):
        async def main():
            loop = asyncio.get_running_loop()
            targets = TargetTable()
            selector = ReplicaSelector('z', random.Random(1))
            for n in range(3):
                target = Target(
                    f't{n}', f's{n}', 'h', 1, zone, 2, TargetState.READY
                )
                targets.put(target)
                selector.declare(target)
            budget = BudgetWindow(0.0, 0.0, 10.0, loop.time())
            limits = TargetLimits('me', 'me:1', loop.time())
            tools = ExchangeDeps(
                Wire(),
                AttemptPolicy(targets, selector, budget, limits),
                run.pools,
                Crashes('me', Metrics('t'), random.Random(1)),
                LimitExchange(
                    'me', limits, tuple, print, Metrics('t'), loop.time
                ),
                run.metrics,
                loop.time,
                relays=Relays('me'),
            )
            members = tuple(
                Member(
                    name,
                    zone,
                    'h',
                    1,
                    2,
                    3,
                    entries=(Address(name, 'h', 1, zone, 1.0),),
                )
                for name in helpers
            )
            tools.relays.update(members, [(one, zone) for one in relayed])
            run.relays = tools.relays
            delegation = Delegation('me', 'z')
            delegation.set_members(members)
            delegates = run.delegates = Delegates()
            run.selector = selector
            deps = Deps(tools, delegation, delegates, Splits(), random.random)
            route = Route(
                'r',
                'h',
                '/',
                Repeat.SAFE,
                5.0,
                0.1,
                1,
                2,
                Shards(('s0', 's1', 's2'), 10, 0.5),
            )
            arrived_at = loop.time() - late_s
            req = Request(
                b'GET', b'/', '/', b'', 'h', [], b'', arrived_at, True
            )
            responder = Responder()
            arrival = Arrival(
                req,
                RequestHeaders('r1', None, b''),
                route,
                1,
                responder,
                identity_of(req),
                on_trial,
            )
            GatherRun(deps, arrival).start(loop.time())
            if relayed:
                return scenario(delegates.asks, run.pools.tried)
            ((batch, on_results),) = delegates.asks
            return scenario(batch, on_results, responder)

        return asyncio.run(main())

    run.pools = Pools()
    run.metrics = Metrics('t')
    return run


def make_ends(*numbers):
    return tuple(ItemResult(n, None, b's%d' % n) for n in numbers)


def test_message_that_ends_a_late_query_counts_whole(query):
    def scenario(batch, on_results, responder):
        # After the cutoff two of three shards are enough, but the records of
        # this message are merged from the replies of all three.
        on_results(BatchResults(batch.batch_no, make_ends(0, 1, 2), RECORDS))
        names = [name for name, _ in responder.answer.headers]
        assert names == [b's0', b's1', b's2']
        assert responder.answer.body == RECORDS

    query(scenario, late_s=1.0)


# Guards against learning the load of targets only from direct replies.
def test_figures_in_a_helper_message_are_recorded_unless_older(query):
    def scenario(batch, on_results, responder):
        newer = LoadFigures('t1', 3, 1, 250, 40)
        older = LoadFigures('t1', 9, 9, 900, 400)
        wrong = LoadFigures('t2', 1, 1, 0, 0)
        unknown = LoadFigures('t9', 1, 1, 100, 0)
        on_results(
            BatchResults(
                batch.batch_no,
                make_ends(1),
                RECORDS[:16],
                figures=(newer, older, wrong, unknown),
            )
        )
        view = query.selector.load_view('t1')
        assert (view.load, view.pace) == (4, 2.5)
        assert query.selector.load_view('t2') is None

    query(scenario, late_s=0.0)


def test_whole_answer_over_several_messages(query):
    def scenario(batch, on_results, responder):
        on_results(BatchResults(batch.batch_no, make_ends(1), RECORDS[:16]))
        on_results(BatchResults(batch.batch_no, make_ends(0, 2), RECORDS[16:]))
        names = [name for name, _ in responder.answer.headers]
        assert sorted(names) == [b's0', b's1', b's2']
        assert responder.answer.body == RECORDS

    query(scenario, late_s=0.0)


def test_lost_helper_leaves_no_part_behind(query):
    def scenario(batch, on_results, responder):
        on_results(BatchResults(batch.batch_no, make_ends(1), RECORDS[:16]))
        on_results(None)
        assert responder.answer is None

    query(scenario, late_s=0.0)


# At nodes that reached all targets, queries failed too: a helper without any
# connection refused its sub-requests at once, so it was the least busy one and
# got all of them, and the targets were blamed.
def test_helper_without_connections_is_left_for_another(query):
    def scenario(batch, on_results, responder):
        ends = [
            ItemResult(n, SubRequestFailure.NOT_SENT, no_links=True)
            for n in range(3)
        ]
        on_results(BatchResults(batch.batch_no, tuple(ends)))
        _, (retry, on_retry_results) = query.delegates.asks
        assert [item.target_id for item in retry.items] == ['t0', 't1', 't2']
        results = [
            ItemResult(n, None, b's%d' % n, RECORDS[n * 16 :][:16])
            for n in range(3)
        ]
        on_retry_results(BatchResults(retry.batch_no, tuple(results)))
        assert responder.answer.body == RECORDS

    query(scenario, late_s=0.0, helpers=('helper', 'other'))


# Three failures in a row eject a target; those of its helpers are not its own.
def test_target_is_not_blamed_for_helpers_without_connections(query):
    def scenario(batch, on_results, responder):
        told = []
        query.selector.on_ejected = lambda target_id, for_s: told.append(
            target_id
        )
        for _ in range(4):
            batch, on_results = query.delegates.asks[-1]
            ends = [
                ItemResult(item.no, SubRequestFailure.NOT_SENT, no_links=True)
                for item in batch.items
            ]
            on_results(BatchResults(batch.batch_no, tuple(ends)))
        assert told == []

    query(scenario, late_s=0.0, helpers=tuple(f'h{n}' for n in range(5)))


def targets_of(batch):
    return [item.target_id for item in batch.items]


# Guards against a message for each item, which costs both nodes processor
# time, and against targets of the own zone that are not relayed.
@pytest.mark.parametrize('zone', ['z', 'far'])
def test_targets_of_one_relay_go_in_one_batch(query, zone):
    def scenario(asks, tried):
        batches = [targets_of(batch) for batch, _ in asks]
        assert sorted(sum(batches, [])) == ['t0', 't1', 't2']
        firsts = [
            {query.relays.get(one).first for one in batch} for batch in batches
        ]
        assert all(len(nodes) == 1 for nodes in firsts)
        assert len(firsts) == len(set.union(*firsts))
        assert tried == []
        assert query.metrics.value('relayed', 'first') == 3

    query(scenario, 0.0, ('h0', 'h1', 'h2'), zone, ('t0', 't1', 't2'))


# Where each node may have a connection of its own, targets of the own zone get
# their sub-requests directly, although others have relays.
def test_targets_without_relays_are_sent_to_directly(query):
    def scenario(asks, tried):
        assert [targets_of(batch) for batch, _ in asks] == [['t1']]
        assert tried == ['t0', 't2']

    query(scenario, 0.0, ('h0', 'h1'), 'z', ('t1',))


def test_query_on_trial_goes_through_no_relay(query):
    def scenario(asks, tried):
        assert asks == []
        assert len(tried) == 1

    query(scenario, 0.0, ('h0', 'h1'), 'z', ('t0', 't1', 't2'), True)


def test_relayed_target_without_helpers_is_sent_to_directly(query):
    def scenario(asks, tried):
        assert asks == []
        assert tried == ['t0', 't1', 't2']
        assert query.metrics.value('relayed', 'direct') == 3

    query(scenario, 0.0, (), 'z', ('t0', 't1', 't2'))


# A caller on a slow path, or a slow link of this node, delays the answer. With
# the cutoff of a fast path, partial answers come just after the objective.
@pytest.mark.parametrize(
    'is_first, rtt_s, link_bytes_per_s, expected_s',
    [
        (False, 0.002, math.inf, 0.009),
        (True, 0.008, math.inf, 0.019),
        (False, 0.008, 60_000, 0.011 + 0.51 / 60),
        (False, None, math.inf, 0.009),
        (True, 0.2, math.inf, 0.05),
    ],
)
def test_time_to_deliver_an_answer(
    is_first, rtt_s, link_bytes_per_s, expected_s
):
    route = Route(
        'r',
        'h',
        '/',
        Repeat.SAFE,
        5.0,
        0.1,
        1,
        2,
        Shards(('s0', 's1', 's2'), 10, 0.5),
    )
    spent_s = delivery_s(route, is_first, rtt_s, link_bytes_per_s)
    assert spent_s == pytest.approx(expected_s)


# The kernel measures the path to each caller; without it the cutoff would be
# right for one deployment only.
def test_round_trip_time_of_a_connection_is_read():
    async def main():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        transport, _ = await loop.create_connection(
            asyncio.Protocol, '127.0.0.1', port
        )
        rtt_s = round_trip_s(transport)
        transport.close()
        server.close()
        return rtt_s

    assert 0.0 < asyncio.run(main()) < 1.0
    assert round_trip_s(None) is None
