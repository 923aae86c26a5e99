"""Tests of which targets get requests after a registration or target ends.

A registration lapses if the target does not renew it; a target that stops on
purpose announces its departure.
"""

import pytest

from sesameward.serving.targets import LAPSED_KEEP_S
from sesameward.serving.targets import Target
from sesameward.serving.targets import TargetState
from sesameward.serving.targets import TargetTable


def make_target(target_id, service='s', state=TargetState.READY):
    return Target(target_id, service, 'h', 1, 'z', 2, state)


@pytest.fixture
def table():
    table = TargetTable()
    table.put(make_target('a'))
    table.put(make_target('b'))
    return table


def expire(table, now):
    """Return the ids of the targets that the table removes."""
    return [target.id for target in table.expire(now)]


def test_draining_targets_get_no_work(table):
    table.put(make_target('a', state=TargetState.DRAINING))
    assert table.candidates('s') == ('b',)


def test_last_draining_target_gets_no_work_either(table):
    table.put(make_target('a', state=TargetState.DRAINING))
    table.put(make_target('b', state=TargetState.DRAINING))
    assert table.candidates('s') == ()


def test_lapsed_target_gives_way_to_others(table):
    table.mark_registration_gone('a', 0.0)
    assert table.candidates('s') == ('b',)


def test_lapsed_targets_serve_where_a_store_outage_took_all(table):
    table.mark_registration_gone('a', 0.0)
    table.mark_registration_gone('b', 0.0)
    assert table.candidates('s') == ('a', 'b')
    assert expire(table, LAPSED_KEEP_S - 0.1) == []
    assert table.candidates('s') == ('a', 'b')


def test_lapsed_targets_are_gone_after_a_while(table):
    table.mark_registration_gone('a', 0.0)
    table.mark_registration_gone('b', 0.0)
    assert sorted(expire(table, LAPSED_KEEP_S)) == ['a', 'b']
    assert table.candidates('s') == ()
    assert table.get('a') is None


def test_second_lapse_does_not_prolong_the_first(table):
    table.mark_registration_gone('a', 0.0)
    table.mark_registration_gone('a', LAPSED_KEEP_S)
    assert expire(table, LAPSED_KEEP_S) == ['a']


def test_returning_target_is_whole_again(table):
    table.mark_registration_gone('a', 0.0)
    table.put(make_target('a'))
    assert table.candidates('s') == ('a', 'b')
    assert expire(table, 10 * LAPSED_KEEP_S) == []


def test_id_that_moves_to_another_service_leaves_the_first(table):
    table.put(make_target('a', service='t'))
    assert table.candidates('s') == ('b',)
    assert table.candidates('t') == ('a',)


# Issue 17: a target that announced its departure gets no more requests.


def test_target_that_said_it_leaves_gets_no_work(table):
    assert table.mark_leaving('a')
    assert not table.mark_leaving('a')
    assert table.candidates('s') == ('b',)
    assert table.is_leaving_or_gone('a')


def test_registration_does_not_take_the_word_back(table):
    table.mark_leaving('a')
    table.put(make_target('a'))
    assert table.candidates('s') == ('b',)


def test_word_outlasts_a_lapse_of_the_registration(table):
    table.mark_leaving('a')
    table.mark_registration_gone('a', 0.0)
    table.expire(LAPSED_KEEP_S)
    table.put(make_target('a'))
    assert table.candidates('s') == ('b',)


def test_word_of_a_lapsed_target_ends_its_last_work(table):
    for target_id in 'ab':
        table.mark_registration_gone(target_id, 0.0)
    table.mark_leaving('a')
    assert table.candidates('s') == ('b',)
    assert sorted(expire(table, LAPSED_KEEP_S)) == ['a', 'b']


def test_word_may_come_before_the_registration(table):
    table.mark_leaving('c')
    table.put(make_target('c'))
    assert table.candidates('s') == ('a', 'b')


def test_later_start_under_the_same_id_is_another_target():
    table = TargetTable()
    table.put(make_started_target('a', 5))
    table.mark_leaving('a', 5)
    table.put(make_started_target('a', 9))
    assert table.candidates('s') == ('a',)
    assert not table.mark_leaving('a', 5)
    assert table.candidates('s') == ('a',)


def make_started_target(target_id, started_ms):
    return Target(
        target_id,
        's',
        'h',
        1,
        'z',
        2,
        TargetState.READY,
        started_ms=started_ms,
    )
