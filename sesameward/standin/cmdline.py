"""Run the stand-ins for trying out, tests and benchmarks."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

import defopt
import msgspec

from .platform import Platform
from .target import serve as serve_target
from .target import TargetState
from .worklog import WorkLog


async def serve_until_signal(start) -> None:
    """Start a stand-in, print its port and wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    started = start()
    name = 'port' if isinstance(started, int) else 'ports'
    sys.stdout.buffer.write(msgspec.json.encode({name: started}) + b'\n')
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


def target(
    *,
    shards: list[str],
    host: str = '127.0.0.1',
    ports: tuple[int, ...] = (0,),
    slots: int = 2,
    latency_ms: float = 2.0,
    records: int = 10,
    seed: int = 1,
    work_log: pathlib.Path | None = None,
) -> None:
    """Serve one or more targets which hold the same shards.

    :param shards: ids of the shards, separated by spaces
    :param ports: one port for each target; 0 picks a free one
    :param work_log: where to write all work; records then echo it too
    """

    async def serve() -> None:
        log = WorkLog(work_log) if work_log else None
        states = [
            TargetState(
                tuple(shards), slots, latency_ms, records, seed + i, log
            )
            for i in range(len(ports))
        ]

        def start() -> tuple[int, ...]:
            bound = zip(states, ports, strict=True)
            return tuple(serve_target(s, host, p) for s, p in bound)

        await serve_until_signal(start)

    asyncio.run(serve())


COMMANDS = {'platform': platform, 'target': target}


def main(argv: list[str] | None = None) -> None:
    """Run the subcommand that the arguments name."""
    defopt.run(COMMANDS, argv=argv)


if __name__ == '__main__':
    main()
