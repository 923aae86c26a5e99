"""Run a node on the platform."""

from __future__ import annotations

import sys

from . import boot
from ..exceptions import SettingsError
from . import objects
from ..serving.node import Adapter
from ..serving.node import serve
from . import store
from . import wire

EXIT_SETTINGS = 2


def main() -> int:
    """Serve until SIGTERM."""
    name = boot.path()
    try:
        cfg = boot.load(name)
    except SettingsError as exc:
        print(f'sesameward: {exc}', file=sys.stderr)
        return EXIT_SETTINGS
    calls = store.StoreCalls(cfg)
    settings = boot.SettingsFile(name)
    serve(
        cfg,
        Adapter(
            wire=wire.PlatformWire(),
            decoder=objects.ObjectDecoder(),
            store=calls,
            registry=calls,
            queries=wire.PlatformQueries(),
            routes_kind=objects.ROUTES_KIND,
            targets_kind=objects.TARGETS_KIND,
            read_settings=settings.read,
            settings_changed=settings.changed,
        ),
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
