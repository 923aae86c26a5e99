"""Build a node that runs in the process of the test."""

import random

from sesameward.platform.objects import ObjectDecoder
from sesameward.platform.objects import ROUTES_KIND
from sesameward.platform.objects import TARGETS_KIND
from sesameward.platform.store import StoreCalls
from sesameward.platform.wire import PlatformEndpointAdapter
from sesameward.platform.wire import PlatformWire
from sesameward.serving.node import Adapter
from sesameward.serving.node import Node
from tests.test_platform_adapter import parse_settings

FIRST_PORT = 7020


def make_settings(store_port):
    """Return settings with a loopback address that no other node uses."""
    host = f'127.250.{random.randrange(1, 250)}.{random.randrange(1, 250)}'
    return parse_settings(
        ip=host,
        listen={
            name: f'{host}:{FIRST_PORT + index}'
            for index, name in enumerate(
                ('front', 'ready', 'directory', 'control')
            )
        },
        seeds=[],
        platform={'address': f'127.0.0.1:{store_port}'},
    )


def make_node(cfg, registry=None, settings_changed=lambda: False):
    """Return a node; registry replaces its registrations in the store."""
    store = StoreCalls(cfg)
    adapter = Adapter(
        wire=PlatformWire(),
        decoder=ObjectDecoder(),
        store=store,
        registry=registry or store,
        queries=PlatformEndpointAdapter(),
        routes_kind=ROUTES_KIND,
        targets_kind=TARGETS_KIND,
        read_settings=lambda: cfg,
        settings_changed=settings_changed,
    )
    return Node(cfg, adapter)
