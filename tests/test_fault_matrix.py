"""Run a selection of the fault matrix that is short enough for each build."""

from __future__ import annotations

import pytest

from .fault_matrix import matrix

CELLS = (
    'target killed / query_after_dispatch',
    'target lacks the snapshot / query_before_pin',
    'target straggling / query_mid_stream',
    'entry killed / query_after_dispatch',
    'target killed / booking_dispatched',
    'entry killed / booking_claim_written',
    'entry killed / booking_outcome_due',
    'store reply lost / booking_before_claim',
    'store down / booking_resend',
    'agent frozen / change_accepted',
    'operators racing / change_write_unsure',
    'target killed / drain_in_flight',
)


@pytest.fixture(scope='module')
def running_matrix():
    with matrix.Matrix() as running:
        yield running


@pytest.mark.parametrize('name', CELLS)
def test_promises_hold_in(running_matrix, name):
    plan = next(plan for plan in matrix.plans() if plan.name == name)
    verdict = running_matrix.run(plan)
    assert verdict.held, '\n'.join(
        [verdict.table_row(), *verdict.violation_texts]
    )


def test_each_cell_has_its_own_name():
    names = [plan.name for plan in matrix.plans()]
    assert len(set(names)) == len(names)
