"""Test that the background loops of a node survive unexpected exceptions."""

import asyncio
import random

import pytest

from sesameward.platform.objects import ObjectDecoder
from sesameward.platform.objects import ROUTES_KIND
from sesameward.platform.objects import TARGETS_KIND
from sesameward.platform.store import StoreCalls
from sesameward.platform.wire import PlatformEndpointAdapter
from sesameward.platform.wire import PlatformWire
from sesameward.serving.listening import listen
from sesameward.serving.node import Adapter
from sesameward.serving.node import Node
from sesameward.standin.object_store import ObjectStore
from tests.test_platform_adapter import parse_settings

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
        host = f'127.250.{random.randrange(1, 250)}.{random.randrange(1, 250)}'
        store = ObjectStore()
        cfg = parse_settings(
            ip=host,
            listen={
                name: f'{host}:{7020 + index}'
                for index, name in enumerate(
                    ('front', 'ready', 'directory', 'control')
                )
            },
            seeds=[],
            platform={'address': f'127.0.0.1:{await store.open_door("n1")}'},
        )
        adapter = Adapter(
            wire=PlatformWire(),
            decoder=ObjectDecoder(),
            store=StoreCalls(cfg),
            registry=registry,
            queries=PlatformEndpointAdapter(),
            routes_kind=ROUTES_KIND,
            targets_kind=TARGETS_KIND,
            read_settings=lambda: cfg,
            settings_changed=settings_changed,
        )
        node = Node(cfg, adapter)
        running = asyncio.ensure_future(node.run(listen(cfg.callers)))
        try:
            async with asyncio.timeout(REPEATED_TIMEOUT_S):
                while not condition():
                    await asyncio.sleep(0.02)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            await node._stop()
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
