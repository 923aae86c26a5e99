"""Run a node that uses this package as its adapter to the platform."""

from __future__ import annotations

import signal
import sys

# Stands in for typing.TYPE_CHECKING: importing typing would delay the call in
# main() that ignores SIGHUP, and a SIGHUP before that call ends the process.
TYPE_CHECKING = False
if TYPE_CHECKING:
    import socket

    from ..serving.settings import NodeSettings
    from .boot import SettingsFile

EXIT_SETTINGS = 2
EXIT_START = 3


def main() -> int:
    """Serve until SIGTERM; return the exit code of the process."""
    # SIGINT ends the process as SIGTERM does, without a traceback.
    signal.signal(signal.SIGINT, signal.SIG_DFL)
    # Ignore SIGHUP, which would end the process, until the node installs its
    # handlers. The other modules are imported after this call, because their
    # import takes most of the start-up time.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from . import boot
    from ..exceptions import SettingsError
    from ..exceptions import StartError
    from ..serving.listening import listen

    settings_file = boot.SettingsFile(boot.settings_path())
    try:
        cfg = settings_file.read()
    except SettingsError as exc:
        print(f'sesameward: {exc}', file=sys.stderr)
        return EXIT_SETTINGS
    try:
        # The socket listens before the remaining modules are imported, so that
        # callers who connect during start-up wait instead of being refused.
        _serve(cfg, settings_file, listen(cfg.callers))
    except StartError as exc:
        print(f'sesameward: {exc}', file=sys.stderr)
        return EXIT_START
    return 0


def _serve(
    cfg: NodeSettings, settings_file: SettingsFile, listener: socket.socket
) -> None:
    from . import objects
    from ..serving.node import Adapter
    from ..serving.node import serve
    from . import store
    from . import wire

    store_calls = store.StoreCalls(cfg)
    serve(
        cfg,
        Adapter(
            wire=wire.PlatformWire(),
            decoder=objects.ObjectDecoder(),
            store=store_calls,
            registry=store_calls,
            queries=wire.PlatformEndpointAdapter(),
            routes_kind=objects.ROUTES_KIND,
            targets_kind=objects.TARGETS_KIND,
            evacuations_kind=objects.EVACUATIONS_KIND,
            read_settings=settings_file.read,
            settings_changed=settings_file.changed,
        ),
        listener,
    )


if __name__ == '__main__':
    sys.exit(main())
