"""Keep connections to each target within its share of the limit."""

from __future__ import annotations

import asyncio
import collections
import enum
import random
import typing

from .. import logs
from ..metrics import Metrics
from ..routing.shares import WarmPolicy
from ..types import Clock
from ..types import TargetId
from ..types import ZoneName
from .byte_limits import Ledger
from .target_connection import TargetConnection
from .targets import Target

# A reachable target accepts within two round trips; a dark one never does.
CONNECT_TIMEOUT_S = 0.4
# Part of the idle time that a target announces after which it may be gone.
IDLE_PART = 0.7
# Where a target announces nothing; seen to be kept for longer than this.
IDLE_S = 8.0
# Part of a target's connections that is divided among the nodes.
USED_PART = 0.8
# How long one new connection keeps a slot of a small target busy.
CONNECT_MS = 6.0
# Connections kept open to each target so that no request waits for one.
WARM = 1
WARM_PERIOD_S = 0.25
# New connections that one round of warming may open, over all targets.
WARM_BATCH = 16

# A process that dies closes its connections and its listener in any order.
CHECK_DELAY_S = 0.05

OnConnection = typing.Callable[[TargetConnection | None], None]


class Reach(enum.Enum):
    """Say what became of an attempt to connect."""

    ACCEPTS = 'accepts'
    REFUSES = 'refuses'
    SILENT = 'silent'
    UNKNOWN = 'unknown'


class Pool:
    """Hold the connections to one target."""

    __slots__ = ('closed', 'connecting', 'idle', 'open', 'target', 'waiting')

    def __init__(self, target: Target):
        self.target = target
        self.idle: list[TargetConnection] = []
        self.open: set[TargetConnection] = set()
        self.connecting = 0
        self.waiting: collections.deque[OnConnection] = collections.deque()
        self.closed = False

    @property
    def total(self) -> int:
        """Return how many connections the target may count as ours."""
        return len(self.open) + self.connecting


class Pools:
    """Open, reuse and close connections to all targets."""

    def __init__(
        self,
        metrics: Metrics,
        rng: random.Random,
        clock: Clock,
        on_unreachable: typing.Callable[[TargetId], None],
        ledger: Ledger | None = None,
    ):
        self._ledger = ledger or Ledger()
        self._metrics = metrics
        self._clock = clock
        self._on_unreachable = on_unreachable
        self._warm = WarmPolicy(rng)
        self._pools: dict[TargetId, Pool] = {}
        self._limits: typing.Callable[[Target], int] = lambda _: 1
        self._nodes = 1

    def set_limits(
        self, limits: typing.Callable[[Target], int], nodes: int
    ) -> None:
        """Take in all nodes' limit for a target and who shares it."""
        self._limits = limits
        self._nodes = max(nodes, 1)

    def declare(self, target: Target) -> None:
        """Add a target or take over its changed registration."""
        pool = self._pools.get(target.id)
        if pool is not None:
            old = pool.target
            if (old.host, old.port) == (target.host, target.port):
                pool.target = target
                return
            self.forget(target.id)
        self._pools[target.id] = Pool(target)

    def forget(self, target_id: TargetId) -> None:
        """Drop a target; running requests still end."""
        pool = self._pools.pop(target_id, None)
        self._warm.forget(target_id)
        if pool is None:
            return
        pool.closed = True
        for conn in pool.idle:
            conn.close()
        pool.idle.clear()
        while pool.waiting:
            pool.waiting.popleft()(None)

    def close(self) -> None:
        """Close all connections."""
        for target_id in tuple(self._pools):
            pool = self._pools[target_id]
            self.forget(target_id)
            for conn in tuple(pool.open):
                conn.close()

    def idle(self, target_id: TargetId) -> bool:
        """Tell whether a request could leave for the target at once."""
        pool = self._pools.get(target_id)
        return pool is not None and bool(pool.idle)

    def acquire(
        self,
        target_id: TargetId,
        on_connection: OnConnection,
        max_idle_s: float = IDLE_S,
    ) -> None:
        """Call back with a connection, or None where there is none."""
        pool = self._pools.get(target_id)
        if pool is None:
            on_connection(None)
            return
        conn = self._take_idle(pool, max_idle_s)
        if conn is not None:
            on_connection(conn)
            return
        pool.waiting.append(on_connection)
        if pool.connecting < len(pool.waiting):
            self._open_one(pool)

    def check(
        self, target_id: TargetId, on_reach: typing.Callable[[Reach], None]
    ) -> None:
        """Call back with whether a target takes a new connection."""
        task = asyncio.ensure_future(self._check(target_id, on_reach))
        logs.watch(task)

    async def _check(
        self, target_id: TargetId, on_reach: typing.Callable[[Reach], None]
    ) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        pool = self._pools.get(target_id)
        if pool is None or pool.closed:
            on_reach(Reach.UNKNOWN)
            return
        pool.connecting += 1
        reach = await self._connect(pool)
        on_reach(Reach.UNKNOWN if pool.closed else reach)

    def warm(self, helped: typing.Collection[ZoneName] = ()) -> None:
        """Open connections where none is kept, a few at a time.

        Targets in a helped zone are asked through another node.
        """
        now = self._clock()
        left = WARM_BATCH
        for pool in self._pools.values():
            self._close_old(pool, now)
            if pool.total >= WARM or pool.target.drain:
                continue
            if pool.target.zone in helped:
                continue
            if left > 0 and self._warm.grant(
                pool.target.id, CONNECT_MS, 1, now
            ):
                left -= 1
                self._open_one(pool)

    def _share(self, target: Target) -> int:
        return max(1, int(self._limits(target) * USED_PART) // self._nodes)

    def _take_idle(
        self, pool: Pool, max_idle_s: float
    ) -> TargetConnection | None:
        now = self._clock()
        while pool.idle:
            conn = pool.idle.pop()
            limit_s = min(max_idle_s, _idle_s(conn))
            if conn.usable and now - conn.used_at < limit_s:
                return conn
            conn.close()
        return None

    def _close_old(self, pool: Pool, now: float) -> None:
        while pool.idle:
            conn = pool.idle[0]
            if conn.usable and now - conn.used_at < _idle_s(conn):
                return
            pool.idle.pop(0)
            conn.close()

    def _open_one(self, pool: Pool) -> None:
        if pool.closed or pool.total >= self._share(pool.target):
            return
        pool.connecting += 1
        task = asyncio.ensure_future(self._connect(pool))
        logs.watch(task)

    async def _connect(self, pool: Pool) -> Reach:
        target = pool.target
        loop = asyncio.get_running_loop()
        self._metrics.count('target_connections', 'opened')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, conn = await loop.create_connection(
                    lambda: TargetConnection(
                        lambda conn: self._freed(pool, conn), self._ledger
                    ),
                    target.host,
                    target.port,
                )
        except (OSError, TimeoutError) as exc:
            pool.connecting -= 1
            self._metrics.count('target_connections', type(exc).__name__)
            if not pool.closed:
                self._on_unreachable(target.id)
            while pool.waiting:
                pool.waiting.popleft()(None)
            is_refusal = isinstance(
                exc, ConnectionRefusedError | ConnectionResetError
            )
            return Reach.REFUSES if is_refusal else Reach.SILENT
        pool.connecting -= 1
        pool.open.add(conn)
        self._freed(pool, conn)
        return Reach.ACCEPTS

    def _freed(self, pool: Pool, conn: TargetConnection) -> None:
        if not conn.usable:
            pool.open.discard(conn)
            if conn in pool.idle:
                pool.idle.remove(conn)
            if pool.waiting and pool.connecting < len(pool.waiting):
                self._open_one(pool)
            return
        if pool.closed:
            conn.close()
            return
        conn.used_at = self._clock()
        # A request that no longer waits leaves the connection unused.
        while pool.waiting and conn.usable:
            pool.waiting.popleft()(conn)
        if conn.usable and conn not in pool.idle:
            pool.idle.append(conn)


def _idle_s(conn: TargetConnection) -> float:
    if conn.idle_limit_s is None:
        return IDLE_S
    return conn.idle_limit_s * IDLE_PART
