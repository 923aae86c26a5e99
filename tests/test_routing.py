"""Test how long an entry avoids leaving targets and missing snapshots."""

from __future__ import annotations

import random

import pytest

from sesameward.configuration.declared import encode
from sesameward.configuration.declared import kind_of
from sesameward.configuration.feed import ConfigUpdate
from sesameward.controllers.catalog import Catalog
from sesameward.controllers.routing import LEAVING_S
from sesameward.controllers.routing import MISSING_SNAPSHOT_S
from sesameward.controllers.routing import Routing
from sesameward.messages import LoadReport
from sesameward.messages import StoredObject
from sesameward.messages import TargetStatus
from sesameward.routing.replicas import ReplicaChooser
from sesameward.types import Outcome
from sesameward.types import ZoneName

SHARDS = ('s0', 's1')


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def routing(service, pool, clock):
    """Return a routing over two targets that the agent reports as usable."""
    catalog = Catalog()
    stored = tuple(
        StoredObject(
            kind_of(declared_object),
            declared_object.name,
            1,
            encode(declared_object),
        )
        for declared_object in (service, pool)
    )
    catalog.apply(ConfigUpdate(1, stored))
    routing = Routing(
        catalog, ReplicaChooser(ZoneName('a'), random.Random(1)), clock
    )
    routing.declare()
    report = LoadReport(holds={s: (1,) for s in SHARDS})
    for target in pool.targets:
        routing.apply_status(TargetStatus(target.id, report=report))
    return routing


def pinned_targets(routing, service):
    return {
        target_id
        for group in routing.pin(service).groups
        for target_id in group.candidates
    }


def refuse_as_draining(routing, clock, target):
    routing.chooser.started(target, clock())
    routing.chooser.finished(target, Outcome.DRAINING, 0.001, clock())
    routing.mark_leaving(target)


def test_target_that_left_unseen_by_the_agent_is_used_again(
    routing, service, clock
):
    refuse_as_draining(routing, clock, 't0')
    assert pinned_targets(routing, service) == {'t1'}
    clock.now += LEAVING_S + 0.1
    assert pinned_targets(routing, service) == {'t0', 't1'}
    assert routing.chooser.choose(('t0',), clock()) == 't0'


def test_target_that_leaves_gets_nothing_while_the_agent_is_gone(
    routing, service, clock
):
    routing.agent_connected = lambda: False
    refuse_as_draining(routing, clock, 't0')
    for _ in range(5):
        clock.now += LEAVING_S + 0.1
        assert pinned_targets(routing, service) == {'t1'}
    routing.agent_connected = lambda: True
    clock.now += LEAVING_S + 0.1
    assert pinned_targets(routing, service) == {'t0', 't1'}


def test_snapshot_that_was_lacking_for_a_moment_is_used_again(
    routing, service, clock
):
    routing.mark_missing_snapshot('t0', SHARDS, 1)
    assert pinned_targets(routing, service) == {'t1'}
    clock.now += MISSING_SNAPSHOT_S + 0.1
    assert pinned_targets(routing, service) == {'t0', 't1'}
