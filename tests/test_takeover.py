"""Check that nodes replace a lost watcher in turn and in time."""

import pytest

from sesameward.serving.takeover import next_version
from sesameward.serving.takeover import READ_ALLOWANCE_S
from sesameward.serving.takeover import Takeover


@pytest.mark.parametrize(
    ('in_force_s', 'count'), [(3.0, 5), (3.0, 9), (5.0, 24), (5.0, 32)]
)
def test_all_take_over_before_a_change_is_due(in_force_s, count):
    takeover = Takeover(in_force_s, 0.0)
    latest_s = in_force_s - READ_ALLOWANCE_S
    for rank in range(count):
        assert takeover.should_watch(rank, count, latest_s)


def test_first_node_always_watches_and_the_others_wait():
    takeover = Takeover(3.0, 0.0)
    assert takeover.should_watch(0, 5, 0.0)
    assert not any(takeover.should_watch(rank, 5, 1.2) for rank in range(1, 5))


def test_nodes_take_over_one_after_the_other():
    takeover = Takeover(5.0, 0.0)
    takeover_ages = []
    for rank in range(1, 32):
        age_s = 0.0
        while not takeover.should_watch(rank, 32, age_s):
            age_s += 0.01
        takeover_ages.append(round(age_s, 2))
    assert takeover_ages == sorted(takeover_ages)
    assert len(set(takeover_ages)) > 20


def test_starts_are_staggered():
    takeover = Takeover(3.0, 0.25)
    assert not takeover.should_read_first(0, 0.2)
    assert takeover.should_read_first(0, 0.25)
    assert not takeover.should_read_first(2, 0.5)
    assert takeover.should_read_first(2, 0.7)


def test_lower_rank_wins_among_readings_published_together():
    latest = 0
    for _ in range(3):
        versions = [next_version(latest, rank) for rank in range(5)]
        assert min(versions) > latest
        assert versions == sorted(versions, reverse=True)
        assert len(set(versions)) == len(versions)
        latest = versions[3]
        # A reading published at the same time as the last one has a lower
        # version than any reading after that.
        assert next_version(latest, 4) > max(versions)
