"""Test dividing requests among services by weight."""

import collections

import pytest

from sesameward.serving.routes import Split
from sesameward.serving.routes import WeightedService
from sesameward.serving.splits import Splits


@pytest.mark.parametrize('weights', [(1, 1), (7, 3), (90, 10), (5, 3, 2)])
def test_shares_are_exact_over_short_runs(weights):
    split = Split(
        tuple(
            WeightedService(f's{n}', weight)
            for n, weight in enumerate(weights)
        )
    )
    splits = Splits()
    total = sum(weights)
    picked = collections.Counter(splits.pick('r', split) for _ in range(total))
    assert picked == {f's{n}': w for n, w in enumerate(weights)}


def test_new_weights_start_afresh():
    splits = Splits()
    for _ in range(7):
        splits.pick(
            'r', Split((WeightedService('a', 1), WeightedService('b', 9)))
        )
    only_a = Split((WeightedService('a', 1), WeightedService('b', 0)))
    assert {splits.pick('r', only_a) for _ in range(5)} == {'a'}
