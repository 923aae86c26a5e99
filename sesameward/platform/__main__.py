"""Run a node on the platform."""

from __future__ import annotations

import signal
import sys

# Not typing's: importing that would put off the first line of main().
TYPE_CHECKING = False
if TYPE_CHECKING:
    import socket

    from ..serving.settings import NodeSettings
    from .boot import SettingsFile

EXIT_SETTINGS = 2


def main() -> int:
    """Serve until SIGTERM."""
    # Until the node handles it, SIGHUP would end the process. The rest is
    # imported after this, as that takes most of the start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from . import boot
    from ..exceptions import SettingsError
    from ..serving.listening import listen

    settings = boot.SettingsFile(boot.path())
    try:
        cfg = settings.read()
    except SettingsError as exc:
        print(f'sesameward: {exc}', file=sys.stderr)
        return EXIT_SETTINGS
    # Callers who come during the rest of the start wait, and are not refused.
    _serve(cfg, settings, listen(cfg.callers))
    return 0


def _serve(
    cfg: NodeSettings, settings: SettingsFile, callers: socket.socket
) -> None:
    from . import objects
    from ..serving.node import Adapter
    from ..serving.node import serve
    from . import store
    from . import wire

    calls = store.StoreCalls(cfg)
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
        callers,
    )


if __name__ == '__main__':
    sys.exit(main())
