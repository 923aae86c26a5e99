"""Run the simulated platform or simulated targets as a process."""

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
    """Start a server, print its port and wait for SIGTERM or SIGINT.

    start begins to listen and returns one port or a tuple of ports. They are
    printed as one line of JSON, with the key port or ports.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    bound_ports = start()
    key = 'port' if isinstance(bound_ports, int) else 'ports'
    sys.stdout.buffer.write(msgspec.json.encode({key: bound_ports}) + b'\n')
    sys.stdout.flush()
    await stopped.wait()


def platform(
    *,
    host: str = '127.0.0.1',
    port: int = 0,
    writes_per_s: float = 500.0,
    reads_per_s: float = 2_000.0,
) -> None:
    """Serve the platform's object API and VM list from memory.

    :param port: where to listen; 0 picks a free port
    :param writes_per_s: limit of writes; calls above it get 429
    :param reads_per_s: limit of all other calls; calls above it get 429
    """

    async def serve() -> None:
        server = Platform(writes_per_s, reads_per_s)
        await serve_until_signal(lambda: server.start(host, port))
        await server.stop()

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
    :param slots: how many queries one target runs at once; others wait
    :param latency_ms: how long a request runs
    :param records: how many records each shard holds
    :param seed: seed of the first target's random faults; each further
        target adds one
    :param work_log: file to which each step of each request is appended;
        returned records then also contain the request that they answer
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
            listeners = zip(states, ports, strict=True)
            return tuple(serve_target(s, host, p) for s, p in listeners)

        await serve_until_signal(start)

    asyncio.run(serve())


COMMANDS = {'platform': platform, 'target': target}


def main(argv: list[str] | None = None) -> None:
    """Run the subcommand platform or target."""
    defopt.run(COMMANDS, argv=argv)


if __name__ == '__main__':
    main()
