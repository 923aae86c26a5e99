"""Test how a request to one service is passed on through helper nodes."""

import asyncio
import random

import pytest

from sesameward.messages import Address
from sesameward.messages import Member
from sesameward.metrics import Metrics
from sesameward.platform.wire import PlatformWire
from sesameward.serving.attempts import AttemptPolicy
from sesameward.serving.attempts import SubRequestFailure
from sesameward.serving.budget_window import BudgetWindow
from sesameward.serving.crashes import Crashes
from sesameward.serving.delegation import BatchResults
from sesameward.serving.delegation import Delegation
from sesameward.serving.delegation import ItemResult
from sesameward.serving.delegation import WholeReply
from sesameward.serving.deps import Deps
from sesameward.serving.exchange import ExchangeDeps
from sesameward.serving.http_server import Request
from sesameward.serving.limit_exchange import LimitExchange
from sesameward.serving.relay_run import RelayRun
from sesameward.serving.replica_choice import ReplicaSelector
from sesameward.serving.routes import OneService
from sesameward.serving.routes import Repeat
from sesameward.serving.routes import Route
from sesameward.serving.run import Arrival
from sesameward.serving.run import identity_of
from sesameward.serving.splits import Splits
from sesameward.serving.target_limits import TargetLimits
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.serving.targets import TargetTable
from sesameward.serving.wire import RequestHeaders
from tests.test_delegate_server import lose_links
from tests.test_gather_run import Delegates
from tests.test_gather_run import Responder

HELPERS = tuple(f'helper-{n}' for n in range(6))
REPLY = WholeReply(200, b'OK', [(b'Sesameward-Server-Stamp', b's')], b'body')


class RefusedPools:
    """Stand in for Pools: no target accepts a connection."""

    def __init__(self):
        self.tried = []

    def acquire(self, target_id, on_connection, max_idle_s, rank):
        self.tried.append(target_id)
        on_connection(None)

    def is_unreachable(self, target_id):
        return False


class Helpers(Delegates):
    """Record whether batches were finished without being cancelled."""

    def __init__(self):
        super().__init__()
        self.finished = []

    def finish_batch(self, node, batch, is_answered):
        self.finished.append(is_answered)


@pytest.fixture
def relay():
    """Return a function that runs a scenario with one request.

    The scenario gets the messages to helpers, the pools and the responder.
    """

    def run(scenario, repeat=Repeat.SAFE, cut_off=True, helpers=HELPERS):
        async def main():
            loop = asyncio.get_running_loop()
            targets = TargetTable()
            selector = ReplicaSelector('z', random.Random(1))
            for n in range(2):
                target = Target(
                    f't{n}', 's', 'h', 1, 'z', 2, TargetState.READY
                )
                targets.put(target)
                selector.declare(target)
            limits = TargetLimits('me', 'me:1', loop.time())
            metrics = Metrics('t')
            pools = RefusedPools()
            tools = ExchangeDeps(
                PlatformWire(),
                AttemptPolicy(
                    targets,
                    selector,
                    BudgetWindow(0.2, 50.0, 10.0, loop.time() - 100.0),
                    limits,
                ),
                pools,
                Crashes('me', metrics, random.Random(1)),
                LimitExchange('me', limits, tuple, print, metrics, loop.time),
                metrics,
                loop.time,
            )
            if cut_off:
                lose_links(tools.links, targets)
            delegation = Delegation('me', 'z')
            delegation.set_members(
                tuple(
                    Member(
                        name,
                        'z',
                        'h',
                        1,
                        2,
                        3,
                        entries=(Address(name, 'h', 1, 'z', 1.0),),
                    )
                    for name in helpers
                )
            )
            delegates = Helpers()
            deps = Deps(tools, delegation, delegates, Splits(), random.random)
            destination = OneService('s')
            route = Route('r', 'h', '/', repeat, 5.0, 0.1, 1, 2, destination)
            req = Request(
                b'GET', b'/', '/', b'', 'h', [], b'', loop.time(), True
            )
            responder = Responder()
            arrival = Arrival(
                req,
                RequestHeaders('r1', None, b''),
                route,
                1,
                responder,
                identity_of(req),
            )
            RelayRun(deps, arrival, 's').start(loop.time())
            return scenario(delegates, pools, responder)

        return asyncio.run(main())

    return run


def answer(delegates, **fields):
    """Let the helper that was asked last answer its only item."""
    batch, on_results = delegates.asks[-1]
    end = fields.pop('end', None)
    on_results(BatchResults(batch.batch_no, (ItemResult(0, end, **fields),)))


@pytest.mark.parametrize('repeat', list(Repeat))
def test_request_at_a_node_without_links_goes_through_a_helper(relay, repeat):
    def scenario(delegates, pools, responder):
        ((batch, _),) = delegates.asks
        assert batch.is_single
        assert batch.runs_once is (repeat is Repeat.ONCE)
        answer(delegates, reply=REPLY)
        assert (responder.answer.status, responder.answer.body) == (
            200,
            b'body',
        )
        assert pools.tried == []

    relay(scenario, repeat)


# Most helpers may have lost their links too, and not have told it yet.
def test_helpers_without_links_are_tried_one_after_the_other(relay):
    def scenario(delegates, pools, responder):
        for n in range(len(HELPERS) - 1):
            assert len(delegates.asks) == n + 1
            answer(delegates, end=SubRequestFailure.NOT_SENT, no_links=True)
        answer(delegates, reply=REPLY)
        assert responder.answer.status == 200

    relay(scenario, Repeat.ONCE)


def test_request_that_no_helper_can_send_is_refused(relay):
    def scenario(delegates, pools, responder):
        while responder.answer is None:
            answer(delegates, end=SubRequestFailure.NOT_SENT, no_links=True)
        assert responder.answer.status == 503

    relay(scenario, helpers=HELPERS[:3])


# New connections of this node are refused, so that each target that it tried
# by itself failed too.
def test_request_that_could_not_be_sent_goes_through_a_helper(relay):
    def scenario(delegates, pools, responder):
        assert len(pools.tried) == 1
        ((batch, _),) = delegates.asks
        assert batch.items[0].target_id not in pools.tried
        answer(delegates, reply=REPLY)
        assert responder.answer.status == 200

    relay(scenario, Repeat.ONCE, cut_off=False)


# The helper was killed, or its answer was lost.
def test_request_that_runs_once_is_not_sent_again_by_a_second_helper(relay):
    def scenario(delegates, pools, responder):
        delegates.asks[-1][1](None)
        assert len(delegates.asks) == 1
        assert responder.answer.status == 502

    relay(scenario, Repeat.ONCE)


def test_safe_request_of_a_lost_helper_is_sent_again(relay):
    def scenario(delegates, pools, responder):
        delegates.asks[-1][1](None)
        assert len(delegates.asks) == 2
        answer(delegates, reply=REPLY)
        assert responder.answer.status == 200

    relay(scenario)


@pytest.mark.parametrize('repeat', list(Repeat))
def test_batch_is_cancelled_when_the_caller_leaves_if_it_may_be(relay, repeat):
    def scenario(delegates, pools, responder):
        responder.on_gone()
        assert delegates.finished == [repeat is Repeat.ONCE]

    relay(scenario, repeat)


# A helper of an earlier release takes the request for part of a query.
def test_result_without_a_reply_is_a_failure(relay):
    def scenario(delegates, pools, responder):
        answer(delegates, signature=b's', whole=b'')
        assert responder.answer.status == 502

    relay(scenario, Repeat.ONCE)


# A helper of an earlier release passes on replies with statuses that HTTP does
# not know; the caller would take them for answers.
@pytest.mark.parametrize('status', [0, 99, 101, 600, 999])
def test_reply_with_an_odd_status_is_a_failure(relay, status):
    odd = WholeReply(status, b'Odd', REPLY.headers, b'body')

    def runs_once(delegates, pools, responder):
        answer(delegates, reply=odd)
        assert responder.answer.status == 502

    def is_sent_again(delegates, pools, responder):
        answer(delegates, reply=odd)
        answer(delegates, reply=REPLY)
        assert responder.answer.status == 200

    relay(runs_once, Repeat.ONCE)
    relay(is_sent_again)
