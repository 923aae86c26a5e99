"""Test when the limit that a target names holds, and when it has ended."""

import msgspec
import pytest

from sesameward.serving.named_limits import GIVE_UP_AFTER_S
from sesameward.serving.named_limits import GIVE_UP_REPLIES
from sesameward.serving.named_limits import NamedLimits
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.serving.targets import TargetTable

NOW = 100.0


@pytest.fixture
def limits():
    return NamedLimits()


@pytest.fixture
def changes(limits):
    seen = []
    limits.on_change = lambda target_id, limit, before: seen.append(
        (target_id, limit, before)
    )
    return seen


def add_unnamed(limits, count, now):
    for _ in range(count):
        limits.record_reply('t', 5, None, now)


def test_each_change_is_reported_once(limits, changes):
    for limit in (8.5, 8.5, 20.0):
        limits.record_reply('t', 5, limit, NOW)
    assert limits.get('t') == 20.0
    assert changes == [('t', 8.5, None), ('t', 20.0, 8.5)]


def test_limit_that_replies_no_longer_name_ends(limits, changes):
    limits.record_reply('t', 5, 8.5, NOW)
    later = NOW + GIVE_UP_AFTER_S
    add_unnamed(limits, GIVE_UP_REPLIES - 1, later)
    limits.end_unnamed(later)
    assert limits.get('t') == 8.5
    add_unnamed(limits, 1, later)
    limits.end_unnamed(later - 0.1)
    assert limits.get('t') == 8.5
    limits.end_unnamed(later)
    assert limits.get('t') is None
    assert changes[-1] == ('t', None, 8.5)


def test_limit_named_by_some_replies_holds(limits):
    for n in range(100):
        add_unnamed(limits, GIVE_UP_REPLIES - 1, NOW + n)
        limits.record_reply('t', 5, 8.5, NOW + n)
        limits.end_unnamed(NOW + n)
    assert limits.get('t') == 8.5


def test_limit_ends_with_the_process_that_named_it(limits):
    limits.record_reply('t', 5, 8.5, NOW)
    target = Target('t', 's', 'h', 1, 'z', 2, TargetState.READY, started_ms=5)
    limits.on_target_added(target)
    assert limits.get('t') == 8.5
    limits.on_target_added(msgspec.structs.replace(target, started_ms=6))
    assert limits.get('t') is None


def test_limit_of_a_target_that_stays_away_is_dropped(limits):
    limits.record_reply('t', 5, 8.5, NOW)
    limits.drop_absent(TargetTable(), NOW + 10.0)
    assert limits.get('t') == 8.5
    limits.drop_absent(TargetTable(), NOW + 60.0)
    assert limits.get('t') is None


@pytest.fixture
def coordinator():
    return NamedLimits()


def test_evidence_is_sent_once_and_renewed(limits):
    limits.record_reply('t', 5, 8.5, NOW)
    assert len(limits.unreported(NOW)) == 1
    limits.record_reply('t', 5, 8.5, NOW + 0.5)
    assert limits.unreported(NOW + 0.6) == ()
    assert len(limits.unreported(NOW + 1.5)) == 1
    limits.report_again()
    assert len(limits.unreported(NOW + 1.5)) == 1


def test_coordinator_adds_up_the_replies_of_all_nodes(coordinator):
    nodes = [NamedLimits() for _ in range(GIVE_UP_REPLIES)]
    for node in nodes:
        node.record_reply('t', 5, 8.5, NOW)
        coordinator.merge(node.unreported(NOW), NOW)
    later = NOW + GIVE_UP_AFTER_S
    for node in nodes:
        add_unnamed(node, 1, later)
        coordinator.merge(node.unreported(later), later)
    coordinator.end_unnamed(later)
    assert coordinator.get('t') is None
    for node in nodes:
        node.apply(coordinator.changes_since(0), later)
        assert node.get('t') is None


def test_late_evidence_does_not_renew_an_ended_limit(coordinator, limits):
    limits.record_reply('t', 5, 8.5, NOW)
    coordinator.merge(limits.unreported(NOW), NOW)
    later = NOW + GIVE_UP_AFTER_S
    add_unnamed(coordinator, GIVE_UP_REPLIES, later)
    coordinator.end_unnamed(later)
    add_unnamed(limits, 1, later)
    coordinator.merge(limits.unreported(later), later + 0.2)
    assert coordinator.get('t') is None
    limits.record_reply('t', 5, 8.5, later)
    limits.report_again()
    coordinator.merge(limits.unreported(later), later + 0.2)
    assert coordinator.get('t') == 8.5


def test_one_node_that_sees_the_limit_keeps_it_for_all(coordinator, limits):
    other = NamedLimits()
    for node in (limits, other):
        node.record_reply('t', 5, 8.5, NOW)
        coordinator.merge(node.unreported(NOW), NOW)
    for n in range(1, 40):
        now = NOW + 0.5 * n
        add_unnamed(other, 3, now)
        limits.record_reply('t', 5, 8.5, now)
        for node in (limits, other):
            coordinator.merge(node.unreported(now), now)
        coordinator.end_unnamed(now)
        assert coordinator.get('t') == 8.5


def test_older_evidence_does_not_replace_newer(coordinator, limits):
    limits.record_reply('t', 5, 8.5, NOW)
    old = limits.unreported(NOW)
    coordinator.record_reply('t', 5, 2.0, NOW + 1.0)
    coordinator.merge([msgspec.structs.replace(old[0], age_s=2.0)], NOW + 2.0)
    assert coordinator.get('t') == 2.0


def test_decision_older_than_a_reply_is_not_applied(coordinator, limits):
    coordinator.record_reply('t', 5, 2.0, NOW)
    limits.record_reply('t', 5, 8.5, NOW + 1.0)
    limits.apply(coordinator.changes_since(0), requested_at=NOW + 0.5)
    assert limits.get('t') == 8.5
    limits.apply(coordinator.changes_since(0), requested_at=NOW + 1.5)
    assert limits.get('t') == 2.0
