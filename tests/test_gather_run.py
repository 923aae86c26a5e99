"""Test how the messages of a helper are merged into an answer.

The records of a message are filtered over all its replies, so its replies are
counted either all or not at all.
"""

import asyncio
import random

import pytest

from sesameward.messages import Address
from sesameward.messages import Member
from sesameward.metrics import Metrics
from sesameward.serving.attempts import View
from sesameward.serving.budget_window import BudgetWindow
from sesameward.serving.choice import Choice
from sesameward.serving.crashes import Crashes
from sesameward.serving.delegation import Delegation
from sesameward.serving.delegation import PartEnd
from sesameward.serving.delegation import Parts
from sesameward.serving.deps import Deps
from sesameward.serving.exchange import Tools
from sesameward.serving.gather_run import GatherRun
from sesameward.serving.http_server import Answer
from sesameward.serving.http_server import Request
from sesameward.serving.routes import Repeat
from sesameward.serving.routes import Route
from sesameward.serving.routes import Shards
from sesameward.serving.run import Arrival
from sesameward.serving.run import identity_of
from sesameward.serving.splits import Splits
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.serving.targets import TargetTable
from sesameward.serving.wire import Asked

RECORDS = b'c' * 16 + b'b' * 16 + b'a' * 16


class Wire:
    """Build an answer that shows the merged signatures and records."""

    def merged_answer(self, signatures, missing, body):
        return Answer(200, [(s, b'') for s in signatures], body)


class Delegates:
    """Record the messages that ask a helper; ignore all others."""

    def __init__(self):
        self.asks = []

    def next_no(self):
        return len(self.asks) + 1

    def ask(self, member, ask, on_parts):
        self.asks.append((ask, on_parts))

    def tell(self, node, message):
        pass

    def end(self, node, ask, is_answered):
        pass


class Responder:
    """Record the answer."""

    def __init__(self):
        self.on_gone = None
        self.answer = None

    def send(self, answer):
        self.answer = answer


@pytest.fixture
def query():
    """Run a scenario with a query whose shards are all behind one helper.

    late_s is how long before the run the query arrived.
    """

    def run(scenario, late_s):
        async def main():
            loop = asyncio.get_running_loop()
            targets = TargetTable()
            choice = Choice('z', random.Random(1))
            for n in range(3):
                target = Target(
                    f't{n}', f's{n}', 'h', 1, 'far', 2, TargetState.READY
                )
                targets.put(target)
                choice.declare(target)
            budget = BudgetWindow(0.0, 0.0, 10.0, loop.time())
            tools = Tools(
                Wire(),
                View(targets, choice, budget),
                None,
                Crashes('me', Metrics('t'), random.Random(1)),
                Metrics('t'),
                loop.time,
            )
            delegation = Delegation('me', 'z')
            entry = Address('helper', 'h', 1, 'far', 1.0)
            delegation.set_members(
                (Member('helper', 'far', 'h', 1, 2, 3, entries=(entry,)),)
            )
            delegates = Delegates()
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
                Asked('r1', None, b''),
                route,
                1,
                responder,
                identity_of(req),
            )
            GatherRun(deps, arrival).begin(loop.time())
            ((ask, on_parts),) = delegates.asks
            return scenario(ask, on_parts, responder)

        return asyncio.run(main())

    return run


def make_ends(*numbers):
    return tuple(PartEnd(n, None, b's%d' % n) for n in numbers)


def test_message_that_ends_a_late_query_counts_whole(query):
    def scenario(ask, on_parts, responder):
        # Two of three shards are enough after the cutoff, but the message's
        # records are of all three.
        on_parts(Parts(ask.ask, make_ends(0, 1, 2), RECORDS))
        names = [name for name, _ in responder.answer.headers]
        assert names == [b's0', b's1', b's2']
        assert responder.answer.body == RECORDS

    query(scenario, late_s=1.0)


def test_whole_answer_over_several_messages(query):
    def scenario(ask, on_parts, responder):
        on_parts(Parts(ask.ask, make_ends(1), RECORDS[:16]))
        on_parts(Parts(ask.ask, make_ends(0, 2), RECORDS[16:]))
        names = [name for name, _ in responder.answer.headers]
        assert sorted(names) == [b's0', b's1', b's2']
        assert responder.answer.body == RECORDS

    query(scenario, late_s=0.0)


def test_lost_helper_leaves_no_part_behind(query):
    def scenario(ask, on_parts, responder):
        on_parts(Parts(ask.ask, make_ends(1), RECORDS[:16]))
        on_parts(None)
        assert responder.answer is None

    query(scenario, late_s=0.0)
