"""HTTP client for one service, with a few keep-alive connections."""

from __future__ import annotations

import asyncio
import functools

from ..exceptions import PlatformUnavailableError
from .byte_limits import MessageLimits
from .byte_limits import MessageMemory
from .byte_limits import REPLY_LIMITS
from .target_connection import ExchangeFailure
from .target_connection import Reply
from .target_connection import TargetConnection

CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_CONNECTIONS = 2


class HttpCaller:
    """HTTP client for one address; it sends each request only once."""

    def __init__(
        self,
        host: str,
        port: int,
        limits: MessageLimits = REPLY_LIMITS,
        message_memory: MessageMemory | None = None,
    ):
        self._host = host
        self._port = port
        self._limits = limits
        self._message_memory = message_memory or MessageMemory()
        self._idle: list[TargetConnection] = []

    async def call(self, data: bytes, timeout_s: float) -> Reply:
        """Send an encoded request and return the reply.

        Raises PlatformUnavailableError if no complete reply arrives within
        timeout_s.
        """
        loop = asyncio.get_running_loop()
        done: asyncio.Future[Reply | ExchangeFailure] = loop.create_future()
        conn = None
        try:
            async with asyncio.timeout(timeout_s):
                conn = self._take_idle() or await self._connect()
                conn.send(
                    data,
                    functools.partial(_set_result, done),
                    _is_own,
                    limits=self._limits,
                )
                result = await done
        except (OSError, TimeoutError) as exc:
            raise self._unavailable(type(exc).__name__) from exc
        finally:
            # The reply to this request can still arrive, so the connection
            # can't be used for another one.
            if conn is not None and not done.done():
                conn.abandon()
        if isinstance(result, ExchangeFailure):
            raise self._unavailable(result.value)
        if conn.usable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(conn)
        else:
            conn.close()
        return result

    def close(self) -> None:
        """Close idle connections; a later call opens a new connection."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def _take_idle(self) -> TargetConnection | None:
        while self._idle:
            conn = self._idle.pop()
            if conn.usable:
                return conn
        return None

    async def _connect(self) -> TargetConnection:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, conn = await loop.create_connection(
                lambda: TargetConnection(lambda _: None, self._message_memory),
                self._host,
                self._port,
            )
        return conn

    def _unavailable(self, reason: str) -> PlatformUnavailableError:
        return PlatformUnavailableError(
            f'no complete reply from {self._host}:{self._port} ({reason}); '
            'this client does not repeat the request'
        )


def _set_result(done: asyncio.Future, result: Reply | ExchangeFailure) -> None:
    if not done.done():
        done.set_result(result)


def _is_own(reply: Reply) -> bool:
    return True
