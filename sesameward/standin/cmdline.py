"""Run the stand-ins for trying out, tests and benchmarks."""

from __future__ import annotations

import asyncio
import signal
import sys

import defopt
import msgspec

from .platform import Platform


async def serve_until_signal(start) -> None:
    """Start a stand-in, print its port and wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    port = start()
    sys.stdout.buffer.write(msgspec.json.encode({'port': port}) + b'\n')
    sys.stdout.flush()
    await stopped.wait()


def platform(
    *,
    host: str = '127.0.0.1',
    port: int = 0,
    writes_per_s: float = 500.0,
    reads_per_s: float = 2_000.0,
) -> None:
    """Serve the platform's object API and VM list from memory."""

    async def serve() -> None:
        standin = Platform(writes_per_s, reads_per_s)
        await serve_until_signal(lambda: standin.start(host, port))
        await standin.stop()

    asyncio.run(serve())


COMMANDS = {'platform': platform}


def main(argv: list[str] | None = None) -> None:
    """Run the subcommand that the arguments name."""
    defopt.run(COMMANDS, argv=argv)


if __name__ == '__main__':
    main()
