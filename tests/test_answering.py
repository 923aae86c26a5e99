"""Test that a reply can move the hedge timer of a query forward."""

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
LEAD_WAIT_S = 0.02
HEDGE_DELAY_S = 0.01
DEADLINE_S = 5.0


class FakeParts:
    """Stand in for all components of the filter; record sub-requests."""

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
    cancel = record_wait = deposit = trial_ended = sent

    def withdraw(self, *args):
        return True

    def delay_s(self, key, now, hedges, priority):
        return None if hedges else HEDGE_DELAY_S


class RecordingCaller(list):
    """Record the frames that are sent to a caller."""

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
        RecordingCaller(),
        service=service,
        query=QueryBody(),
        versions=(RecordVersion(1),),
        deadline_at=now + DEADLINE_S,
        fingerprint=Fingerprint('f'),
        quarantine_admission=Lead(LEAD_WAIT_S),
        pin=Pin(service.maps[0], SNAPSHOT, groups),
    )


def send_reply(parts, index):
    """Pass the filter a reply to the sub-request at this index."""
    _, query = parts.queries[index]
    reply = TargetReply(
        query.attempt, tuple(ShardReply(s, SNAPSHOT) for s in query.shards)
    )
    parts.on_result(query.attempt, QueryResult(Outcome.OK, reply))


def test_silent_lead_is_hedged_once_another_target_answers(service):
    asyncio.run(check_silent_lead(service))


async def check_silent_lead(service):
    parts = FakeParts()
    exchange = make_exchange(service)

    async def proceed(_):
        pass

    answer_task = asyncio.create_task(
        answering.AnswerQuery(parts)(exchange, proceed)
    )
    await asyncio.sleep(3 * LEAD_WAIT_S)
    assert len(parts.queries) == 2
    send_reply(parts, 1)
    await asyncio.sleep(5 * HEDGE_DELAY_S)
    lead, _, *hedges = parts.queries
    assert [query.shards for _, query in hedges] == [lead[1].shards]
    send_reply(parts, 2)
    await asyncio.wait_for(answer_task, 1.0)
    assert exchange.caller[-1].complete
