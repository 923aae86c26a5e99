"""Test how the answering filter keeps its timer."""

from __future__ import annotations

import asyncio
import time

from sesameward.clients.target_client import QueryResult
from sesameward.filters import answering
from sesameward.filters.exchange import Exchange
from sesameward.messages import QueryBody
from sesameward.messages import ShardReply
from sesameward.messages import TargetReply
from sesameward.metrics import Metrics
from sesameward.quarantine.quarantine import Lead
from sesameward.routing.snapshots import Group
from sesameward.routing.snapshots import Pin
from sesameward.types import Fingerprint
from sesameward.types import Outcome
from sesameward.types import RecordVersion
from sesameward.types import RequestId
from sesameward.types import ShardId
from sesameward.types import Snapshot
from sesameward.types import TargetId

SNAPSHOT = Snapshot(1)
LEAD_S = 0.02
HEDGE_S = 0.01
DEADLINE_S = 5.0


class Parts:
    """Stand in for all that a run shares; record what is sent."""

    enabled = True

    def __init__(self):
        self.metrics = Metrics('test')
        self.clock = time.monotonic
        self.client = self.routing = self.suspects = self
        self.budgets = self.hedges = self.latencies = self.chooser = self
        self.queries = []
        self.on_result = None

    def query(self, target, query, on_result):
        self.queries.append((target, query))
        self.on_result = on_result

    def choose(self, candidates, now, avoid=()):
        return next((c for c in candidates if c not in avoid), None)

    def sent(self, *args):
        pass

    started = finished = ended = succeeded = observe = sent
    cancel = late = deposit = trial_ended = sent

    def withdraw(self, *args):
        return True

    def delay_s(self, key, now, hedges, priority):
        return None if hedges else HEDGE_S


class Frames(list):
    """Record the frames of a caller."""

    send = list.append


def make_exchange(service):
    groups = tuple(
        Group((ShardId(f's{i}'),), (TargetId(f't{i}a'), TargetId(f't{i}b')))
        for i in range(2)
    )
    now = time.monotonic()
    return Exchange(
        RequestId('r'),
        service.name,
        {},
        b'',
        now,
        Frames(),
        service=service,
        query=QueryBody(),
        versions=(RecordVersion(1),),
        deadline_at=now + DEADLINE_S,
        fingerprint=Fingerprint('f'),
        trial=Lead(LEAD_S),
        pin=Pin(service.maps[0], SNAPSHOT, groups),
    )


def answer(parts, index):
    """Let the target answer whose query was sent at this place."""
    _, query = parts.queries[index]
    reply = TargetReply(
        query.attempt, tuple(ShardReply(s, SNAPSHOT) for s in query.shards)
    )
    parts.on_result(query.attempt, QueryResult(Outcome.OK, reply))


def test_silent_lead_is_hedged_once_another_target_answers(service):
    asyncio.run(check_silent_lead(service))


async def check_silent_lead(service):
    parts = Parts()
    exchange = make_exchange(service)

    async def proceed(_):
        pass

    run = asyncio.create_task(answering.Answer(parts)(exchange, proceed))
    await asyncio.sleep(3 * LEAD_S)
    assert len(parts.queries) == 2
    answer(parts, 1)
    await asyncio.sleep(5 * HEDGE_S)
    lead, _, *hedges = parts.queries
    assert [query.shards for _, query in hedges] == [lead[1].shards]
    answer(parts, 2)
    await asyncio.wait_for(run, 1.0)
    assert exchange.caller[-1].complete
