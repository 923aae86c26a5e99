"""Step in for a watcher that is lost, neither all at once nor too late."""

import pytest

from sesameward.serving.takeover import next_reading
from sesameward.serving.takeover import READ_S
from sesameward.serving.takeover import Takeover


@pytest.mark.parametrize(
    ('in_force_s', 'count'), [(3.0, 5), (3.0, 9), (5.0, 24), (5.0, 32)]
)
def test_all_step_in_before_a_change_is_due(in_force_s, count):
    takeover = Takeover(in_force_s, 0.0)
    latest_s = in_force_s - READ_S
    for rank in range(count):
        assert takeover.watches(rank, count, latest_s)


def test_first_node_always_watches_and_the_others_wait():
    takeover = Takeover(3.0, 0.0)
    assert takeover.watches(0, 5, 0.0)
    assert not any(takeover.watches(rank, 5, 1.2) for rank in range(1, 5))


def test_nodes_step_in_one_after_the_other():
    takeover = Takeover(5.0, 0.0)
    begins = []
    for rank in range(1, 32):
        age_s = 0.0
        while not takeover.watches(rank, 32, age_s):
            age_s += 0.01
        begins.append(round(age_s, 2))
    assert begins == sorted(begins)
    assert len(set(begins)) > 20


def test_starts_are_staggered():
    takeover = Takeover(3.0, 0.25)
    assert not takeover.watches_first(0, 0.2)
    assert takeover.watches_first(0, 0.25)
    assert not takeover.watches_first(2, 0.5)
    assert takeover.watches_first(2, 0.7)


def test_reading_of_the_lower_rank_wins_of_those_told_together():
    heard = 0
    for _ in range(3):
        told = [next_reading(heard, rank) for rank in range(5)]
        assert min(told) > heard
        assert told == sorted(told, reverse=True)
        assert len(set(told)) == len(told)
        heard = told[3]
        # What was told together with another does not outrun the next.
        assert next_reading(heard, 4) > max(told)
