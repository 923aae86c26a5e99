"""Test that a node stays registered in a store that loses registrations."""

import asyncio
import random

import pytest

from sesameward.exceptions import PlatformUnavailableError
from sesameward.metrics import Metrics
from sesameward.serving.registration import LIST_INTERVAL_S
from sesameward.serving.registration import REGISTER_SPREAD_S
from sesameward.serving.registration import Registration
from tests.test_platform_adapter import settings_for


class Registry:
    """Hold the registered addresses; a stale list is returned first."""

    def __init__(self):
        self.addresses = []
        self.registrations = 0
        self.is_away = False
        self.lists_nothing = 0

    async def register(self, cfg):
        if self.is_away:
            raise PlatformUnavailableError('the store is away')
        self.registrations += 1
        self.addresses.append(cfg.gossip)

    async def nodes(self):
        if self.is_away:
            raise PlatformUnavailableError('the store is away')
        if self.lists_nothing:
            self.lists_nothing -= 1
            return []
        return list(self.addresses)


@pytest.fixture
def registry():
    return Registry()


def play(registry, steps, seed=1):
    """Run a node; before each further check, call the next one of steps.

    Returns the pauses between the checks, in seconds.
    """
    pauses = []
    pending = list(steps)

    async def sleep(pause_s):
        pauses.append(pause_s)
        if not pending:
            raise asyncio.CancelledError
        pending.pop(0)()

    registration = Registration(
        settings_for(1),
        registry,
        lambda addresses: None,
        Metrics('t'),
        random.Random(seed),
        sleep,
    )
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(registration.run())
    return pauses


def nothing():
    pass


# Guards against a node that no later node finds in the store, because the
# store was restored from a copy from before it registered.
def test_node_registers_again_after_a_restore(registry):
    pauses = play(registry, [registry.addresses.clear, nothing])
    assert registry.registrations == 2
    assert len(registry.addresses) == 1
    assert pauses[1] <= REGISTER_SPREAD_S
    assert pauses[2] >= 0.8 * LIST_INTERVAL_S


def test_nodes_do_not_all_register_again_at_once():
    pauses = []
    for seed in range(300):
        registry = Registry()
        pauses.append(play(registry, [registry.addresses.clear], seed)[1])
    in_one_second = max(
        sum(at <= pause < at + 1.0 for pause in pauses) for at in pauses
    )
    # The store takes 400 writes a second; a registration takes two at most.
    assert 2 * in_one_second < 400


def test_older_list_after_the_registration_costs_no_write(registry):
    registry.lists_nothing = 1
    play(registry, [nothing, nothing])
    assert registry.registrations == 1


def test_store_that_is_away_leaves_the_registration(registry):
    def go_away():
        registry.is_away = True

    def come_back():
        registry.is_away = False

    play(registry, [go_away, nothing, come_back, nothing])
    assert registry.registrations == 1
