"""Call another HTTP service over a few kept connections."""

from __future__ import annotations

import asyncio
import functools

from ..exceptions import PlatformUnavailableError
from .byte_limits import Ledger
from .byte_limits import MessageLimits
from .byte_limits import REPLY_LIMITS
from .target_connection import Broken
from .target_connection import Reply
from .target_connection import TargetConnection

CONNECT_TIMEOUT_S = 0.5
MAX_IDLE = 2


class HttpCaller:
    """Send requests to one address, each once."""

    def __init__(
        self,
        host: str,
        port: int,
        limits: MessageLimits = REPLY_LIMITS,
        ledger: Ledger | None = None,
    ):
        self._host = host
        self._port = port
        self._limits = limits
        self._ledger = ledger or Ledger()
        self._idle: list[TargetConnection] = []

    async def call(self, data: bytes, timeout_s: float) -> Reply:
        """Return the reply; raise PlatformUnavailableError."""
        loop = asyncio.get_running_loop()
        done: asyncio.Future[Reply | Broken] = loop.create_future()
        conn = None
        try:
            async with asyncio.timeout(timeout_s):
                conn = self._take() or await self._connect()
                conn.send(
                    data,
                    functools.partial(_settle, done),
                    _is_own,
                    limits=self._limits,
                )
                what = await done
        except (OSError, TimeoutError) as exc:
            raise self._unavailable(type(exc).__name__) from exc
        finally:
            # A connection without a reply returns nothing further.
            if conn is not None and not done.done():
                conn.abandon()
        if isinstance(what, Broken):
            raise self._unavailable(what.value)
        if conn.usable and len(self._idle) < MAX_IDLE:
            self._idle.append(conn)
        else:
            conn.close()
        return what

    def close(self) -> None:
        """Close the kept connections; later calls open others."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def _take(self) -> TargetConnection | None:
        while self._idle:
            conn = self._idle.pop()
            if conn.usable:
                return conn
        return None

    async def _connect(self) -> TargetConnection:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, conn = await loop.create_connection(
                lambda: TargetConnection(lambda _: None, self._ledger),
                self._host,
                self._port,
            )
        return conn

    def _unavailable(self, problem: str) -> PlatformUnavailableError:
        return PlatformUnavailableError(
            f'{self._host}:{self._port} did not answer ({problem}); '
            'it is called again soon'
        )


def _settle(done: asyncio.Future, what: Reply | Broken) -> None:
    if not done.done():
        done.set_result(what)


def _is_own(reply: Reply) -> bool:
    return True
