"""Read and write HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio
import typing


class Message(typing.NamedTuple):
    """One request or answer; start holds the words of its first line."""

    start: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start[1])


async def read(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None if the peer closed before it."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise ConnectionError('closed within a head') from exc
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.lower()] = value.strip()
    body = b''
    try:
        if headers.get('transfer-encoding') == 'chunked':
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    break
                body += chunk[:-2]
        else:
            length = int(headers.get('content-length', 0))
            body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as exc:
        raise ConnectionError('closed within a body') from exc
    return Message(lines[0].split(' ', 2), headers, body)


def answer(
    status: int, headers: typing.Mapping[str, str], body: bytes
) -> bytes:
    """Return the bytes of an answer."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


def request(
    method: str,
    path: str,
    headers: typing.Mapping[str, str],
    body: bytes = b'',
) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def call(
    host: str, port: int, data: bytes, timeout_s: float
) -> Message | None:
    """Send a request on a new connection; None if there is no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(data)
            return await read(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
