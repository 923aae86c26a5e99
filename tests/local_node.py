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
from tests.test_platform_adapter import SETTINGS

CALLERS_PORT = 7020
READINESS_PORT = 7021
DIRECTORY_PORT = 7022
CONTROL_PORT = 7023
# Internal ports in the settings of the other tests.
PEER_PORT = 7001
METRICS_PORT = 7015


def random_host():
    """Return a loopback address that hardly any other node uses."""
    return f'127.250.{random.randrange(1, 250)}.{random.randrange(1, 250)}'


def make_settings(host, store_port, **bounds):
    """Return the settings of a node that knows no other node."""
    return parse_settings(
        ip=host,
        listen={
            'front': f'{host}:{CALLERS_PORT}',
            'ready': f'{host}:{READINESS_PORT}',
            'directory': f'{host}:{DIRECTORY_PORT}',
            'control': f'{host}:{CONTROL_PORT}',
        },
        seeds=[],
        platform={'address': f'127.0.0.1:{store_port}'},
        bounds=SETTINGS['bounds'] | bounds,
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
