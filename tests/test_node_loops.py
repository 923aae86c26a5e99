"""Test that the background loops of a node survive unexpected exceptions."""

import asyncio

import pytest

from sesameward.serving.listening import listen
from sesameward.standin.object_store import ObjectStore
from tests.local_node import make_node
from tests.local_node import make_settings
from tests.local_node import random_host

REPEATED_TIMEOUT_S = 5.0


class FailingOnce:
    """Count the calls of a function; the first of them fails."""

    def __init__(self, result):
        self.calls = 0
        self._result = result

    def __call__(self):
        self.calls += 1
        if self.calls == 1:
            raise RecursionError
        return self._result


class Registry:
    def __init__(self):
        self.list_nodes = FailingOnce([])

    async def register(self, cfg):
        pass

    async def nodes(self):
        return self.list_nodes()


@pytest.fixture
def run_node():
    """Return a function that runs a node in this process.

    The function takes the check for new settings and the registry, and waits
    until a condition holds.
    """

    async def main(settings_changed, registry, condition):
        store = ObjectStore()
        cfg = make_settings(random_host(), await store.open_door('n1'))
        node = make_node(cfg, registry, settings_changed)
        running = asyncio.ensure_future(node.run(listen(cfg.callers)))
        try:
            async with asyncio.timeout(REPEATED_TIMEOUT_S):
                while not condition():
                    await asyncio.sleep(0.02)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            store.stop()

    def run(settings_changed, registry, condition):
        asyncio.run(main(settings_changed, registry, condition))

    return run


# Guards against a node that no longer drops expired targets, opens connections
# or reads its settings, because one round of the upkeep failed.
def test_upkeep_goes_on_after_an_unexpected_exception(run_node):
    settings_changed = FailingOnce(False)
    run_node(settings_changed, Registry(), lambda: settings_changed.calls > 1)


# Guards against a node that no longer looks for other nodes in the store,
# because one call failed.
def test_registration_goes_on_after_an_unexpected_exception(run_node):
    registry = Registry()
    run_node(
        FailingOnce(False), registry, lambda: registry.list_nodes.calls > 1
    )
