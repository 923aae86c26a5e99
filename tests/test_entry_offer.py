"""Test when a node is announced to callers."""

from __future__ import annotations

import pytest

from sesameward.serving.entry_offer import EntryOffer


def ask(is_other_offered):
    return lambda: is_other_offered


def test_ready_node_is_announced_and_told_once():
    """Guards against an announcement in each round."""
    offer = EntryOffer()
    assert not offer.is_offered
    assert offer.update(True, True, ask(True))
    assert offer.is_offered
    assert not offer.update(True, True, ask(True))


@pytest.mark.parametrize('is_other_offered', [False, True])
def test_node_that_is_not_ready_is_announced_if_no_other_is(is_other_offered):
    """Guards against callers without any address."""
    offer = EntryOffer()
    offer.update(True, True, ask(True))
    changed = offer.update(False, True, ask(is_other_offered))
    assert changed is is_other_offered
    assert offer.is_offered is not is_other_offered


def test_last_resort_stays_announced_when_others_return():
    """Guards against nodes that are announced and withdrawn in turn."""
    offer = EntryOffer()
    assert offer.update(False, True, ask(False))
    assert not offer.update(False, True, ask(True))
    assert offer.is_offered
    offer.update(True, True, ask(True))
    assert offer.update(False, True, ask(True))
    assert not offer.is_offered


def test_node_that_can_not_serve_is_never_announced():
    """Guards against callers sent to a node without routes."""
    offer = EntryOffer()
    assert not offer.update(False, False, ask(False))
    offer.update(False, True, ask(False))
    assert offer.update(False, False, ask(False))
    assert not offer.is_offered
