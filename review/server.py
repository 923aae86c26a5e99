"""Stand in for the servers of a service."""

from __future__ import annotations

import asyncio
import collections
import time
import typing

from . import http

RECORDS = 20


class Run(typing.NamedTuple):
    """One request that a server began to work on."""

    request_id: str
    server: str
    at: float
    method: str
    target: str
    body: bytes


class Server:
    """Run requests in slots, queue a few more, refuse the others.

    It serves one request at a time on a connection. If late_copies is above
    0, one in that many answers is sent a second time, late, where the next
    answer on its connection is due: the server is then faulty.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        slots: int = 2,
        queue: int = 12,
        work_s: float = 0.005,
        late_copies: int = 0,
    ):
        self.id = server_id
        self.service = service
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.late_copies = late_copies
        self.runs: list[Run] = []
        self.refused: collections.Counter[str] = collections.Counter()
        self.answers = 0
        self.copies_due = 0.0
        self.copies: list[str] = []
        self.lines: list[str] = []
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._running = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ''
        self.born = int(time.time() * 1_000)
        self.leaving = False

    async def start(self, host: str) -> None:
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def entry(self, zone: str, state: str = 'ready') -> dict:
        """Return what the server says of itself in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'warmup_left_ms': 0,
            'seq': 1,
            'born': self.born,
        }

    def _note(self, text: str) -> None:
        self.lines.append(f'{time.monotonic():.4f} server {self.id} {text}')

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        copy: bytes | None = None
        self._writers.add(writer)
        try:
            while (message := await http.read(reader)) is not None:
                if copy is not None:
                    writer.write(copy)
                    now_id = message.headers.get('sesameward-request-id')
                    self._note(
                        f'sends the second copy of the answer to {copied_id}; '
                        f'the connection now has request {now_id}'
                    )
                status, data = await self._answer(message)
                writer.write(data)
                await writer.drain()
                copied_id = message.headers.get('sesameward-request-id')
                copy = data if self._sends_copy(status) else None
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _sends_copy(self, status: int) -> bool:
        """Return whether the answer that was just sent is sent again."""
        if not self.late_copies:
            return False
        self.answers += 1
        self.copies_due += 1 / self.late_copies
        if self.copies_due < 1.0 or status != 503:
            return False
        self.copies_due -= 1.0
        return True

    async def _answer(self, message: http.Message) -> tuple[int, bytes]:
        headers = message.headers
        request_id = headers.get('sesameward-request-id', '')
        load = f'{self._running},{self._waiting},{self.slots}'
        echo = {
            'Sesameward-Request-Id': request_id,
            'Sesameward-Server-Load': load,
        }
        if self.leaving:
            echo['Server-Leaving'] = '1'
        expected = headers.get('sesameward-expect-instance', self.id)
        status = 0
        if expected != self.id:
            status = 421
        elif not request_id:
            status = 400
        elif self._waiting >= self.queue and self._free.locked():
            status = 503
        if status:
            self.refused[request_id] += 1
            self._note(f'refuses {request_id} with {status}, not executed')
            return status, http.answer(
                status, {**echo, 'Sesameward-Not-Executed': '1'}, b''
            )
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._running += 1
            self.runs.append(
                Run(
                    request_id,
                    self.id,
                    time.monotonic(),
                    message.start[0],
                    message.start[1],
                    message.body,
                )
            )
            self._note(
                f'runs {request_id}: {message.start[0]} {message.start[1]} '
                f'with a body of {len(message.body)} bytes'
            )
            await asyncio.sleep(self.work_s)
            self._running -= 1
        echo['Sesameward-Server-Stamp'] = f'{self.id}.{request_id}'
        body = b''.join(
            f'{self.id[-4:]:>4}{number:012d}'.encode()
            for number in range(RECORDS)
        )
        return 200, http.answer(200, echo, body)

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
