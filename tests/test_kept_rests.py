"""Test that the rests of dropped targets are kept, but not without end."""

import pytest

from sesameward.serving import kept_rests
from sesameward.serving.kept_rests import KeptRests
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState


def make_target(name, started_ms=5):
    return Target(
        name, 's', 'h', 1, 'z', 2, TargetState.READY, started_ms=started_ms
    )


@pytest.fixture
def rests():
    return KeptRests()


def test_rest_is_kept_until_it_ends(rests):
    rests.keep(make_target('i-1'), 60.0, 0.0)
    rests.keep(make_target('i-2'), 60.0, 0.0)
    assert rests.take(make_target('i-1'), 10.0) == 50.0
    assert rests.take(make_target('i-1'), 10.0) == 0.0
    assert rests.take(make_target('i-2'), 61.0) == 0.0


# A process that started later did not ask for the rest.
def test_rest_of_an_earlier_process_is_forgotten(rests):
    rests.keep(make_target('i-1'), 60.0, 0.0)
    assert rests.take(make_target('i-1', started_ms=9), 10.0) == 0.0
    assert len(rests) == 0


# Guards against memory that grows with each target that ever rested.
def test_number_of_kept_rests_is_limited(rests, monkeypatch):
    monkeypatch.setattr(kept_rests, 'MAX_KEPT', 3)
    for number in range(10):
        rests.keep(make_target(f'i-{number}'), 60.0, 0.0)
    assert len(rests) == 3
    assert rests.take(make_target('i-9'), 1.0) == 59.0
    rests.keep(make_target('i-10'), 200.0, 100.0)
    assert len(rests) == 1
    rests.keep(make_target('i-11'), 90.0, 100.0)
    assert len(rests) == 1
