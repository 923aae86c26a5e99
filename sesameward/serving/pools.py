"""Pool connections to targets within this node's share of their limits."""

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

# A reachable target accepts within two round trips; an unreachable one drops
# the packets and never replies.
CONNECT_TIMEOUT_S = 0.4
# An idle connection is used for this fraction of the idle timeout that the
# target announces; after that the target may have closed it.
IDLE_TIMEOUT_FRACTION = 0.7
# Idle time for targets that announce no timeout; they were seen to keep idle
# connections for longer than this.
IDLE_S = 8.0
# Fraction of a target's connection limit that is divided among the nodes.
SHARED_FRACTION = 0.8
# Time for which accepting a connection occupies a slot of a small target.
CONNECT_COST_MS = 6.0
# Connections kept open to each target so that requests need not wait for one.
WARM_CONNECTIONS = 1
WARM_PERIOD_S = 0.25
# New connections that one call of warm() may open, over all targets.
MAX_WARM_CONNECTS = 16

# Delay before a target is checked: a process that dies may close its
# connections before its listening socket.
CONNECT_CHECK_DELAY_S = 0.05

OnConnection = typing.Callable[[TargetConnection | None], None]


class Reach(enum.Enum):
    """Name the result of checking whether a target accepts connections.

    SILENT means no response or another network error; UNKNOWN means that the
    target is not registered or that its address has changed.
    """

    ACCEPTS = 'accepts'
    REFUSES = 'refuses'
    SILENT = 'silent'
    UNKNOWN = 'unknown'


class TargetPool:
    """Connections to one target, and the requests that wait for one."""

    __slots__ = ('closed', 'connecting', 'idle', 'open', 'target', 'waiting')

    def __init__(self, target: Target):
        self.target = target
        self.idle: list[TargetConnection] = []
        self.open: set[TargetConnection] = set()
        self.connecting = 0
        self.waiting: collections.deque[OnConnection] = collections.deque()
        self.closed = False

    @property
    def connection_count(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self.open) + self.connecting


class Pools:
    """Open, reuse and close connections to all targets.

    on_unreachable is called when a connection to a target can't be opened.
    """

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
        self._warm_policy = WarmPolicy(rng)
        self._pools: dict[TargetId, TargetPool] = {}
        self._limits: typing.Callable[[Target], int] = lambda _: 1
        self._nodes = 1

    def set_limits(
        self, limits: typing.Callable[[Target], int], nodes: int
    ) -> None:
        """Set the connection limits of targets and how many nodes share them.

        limits returns a target's limit for all nodes together.
        """
        self._limits = limits
        self._nodes = max(nodes, 1)

    def declare(self, target: Target) -> None:
        """Add a target or update its registration.

        A change of address closes the idle connections to the old one.
        """
        pool = self._pools.get(target.id)
        if pool is not None:
            old = pool.target
            if (old.host, old.port) == (target.host, target.port):
                pool.target = target
                return
            self.forget(target.id)
        self._pools[target.id] = TargetPool(target)

    def forget(self, target_id: TargetId) -> None:
        """Remove a target and close its idle connections.

        Requests in progress go on; those waiting for a connection get None.
        """
        pool = self._pools.pop(target_id, None)
        self._warm_policy.forget(target_id)
        if pool is None:
            return
        pool.closed = True
        for conn in pool.idle:
            conn.close()
        pool.idle.clear()
        while pool.waiting:
            pool.waiting.popleft()(None)

    def close(self) -> None:
        """Close all connections, also those with a request in progress."""
        for target_id in tuple(self._pools):
            pool = self._pools[target_id]
            self.forget(target_id)
            for conn in tuple(pool.open):
                conn.close()

    def idle(self, target_id: TargetId) -> bool:
        """Return whether there is an idle connection to the target."""
        pool = self._pools.get(target_id)
        return pool is not None and bool(pool.idle)

    def acquire(
        self,
        target_id: TargetId,
        on_connection: OnConnection,
        max_idle_s: float = IDLE_S,
    ) -> None:
        """Call back with an idle or new connection, or with None.

        None means that the target is unknown or can't be reached. Connections
        idle for max_idle_s or longer are not reused.
        """
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
            self._open_connection(pool)

    def check(
        self, target_id: TargetId, on_reach: typing.Callable[[Reach], None]
    ) -> None:
        """Try a new connection to a target and call back with the result."""
        task = asyncio.ensure_future(self._check(target_id, on_reach))
        logs.watch(task)

    async def _check(
        self, target_id: TargetId, on_reach: typing.Callable[[Reach], None]
    ) -> None:
        await asyncio.sleep(CONNECT_CHECK_DELAY_S)
        pool = self._pools.get(target_id)
        if pool is None or pool.closed:
            on_reach(Reach.UNKNOWN)
            return
        pool.connecting += 1
        reach = await self._connect(pool)
        on_reach(Reach.UNKNOWN if pool.closed else reach)

    def warm(self, delegated_zones: typing.Collection[ZoneName] = ()) -> None:
        """Close expired idle connections, and connect where none is open.

        Each call opens at most MAX_WARM_CONNECTS connections. Targets in
        delegated_zones get none: their requests go through another node.
        """
        now = self._clock()
        remaining = MAX_WARM_CONNECTS
        for pool in self._pools.values():
            self._close_expired(pool, now)
            if pool.connection_count >= WARM_CONNECTIONS or pool.target.drain:
                continue
            if pool.target.zone in delegated_zones:
                continue
            if remaining > 0 and self._warm_policy.grant(
                pool.target.id, CONNECT_COST_MS, 1, now
            ):
                remaining -= 1
                self._open_connection(pool)

    def _connection_share(self, target: Target) -> int:
        return max(
            1, int(self._limits(target) * SHARED_FRACTION) // self._nodes
        )

    def _take_idle(
        self, pool: TargetPool, max_idle_s: float
    ) -> TargetConnection | None:
        now = self._clock()
        while pool.idle:
            conn = pool.idle.pop()
            idle_limit_s = min(max_idle_s, _max_idle_s(conn))
            if conn.usable and now - conn.last_used_at < idle_limit_s:
                return conn
            conn.close()
        return None

    def _close_expired(self, pool: TargetPool, now: float) -> None:
        while pool.idle:
            conn = pool.idle[0]
            if conn.usable and now - conn.last_used_at < _max_idle_s(conn):
                return
            pool.idle.pop(0)
            conn.close()

    def _open_connection(self, pool: TargetPool) -> None:
        if pool.closed or pool.connection_count >= self._connection_share(
            pool.target
        ):
            return
        pool.connecting += 1
        task = asyncio.ensure_future(self._connect(pool))
        logs.watch(task)

    async def _connect(self, pool: TargetPool) -> Reach:
        target = pool.target
        loop = asyncio.get_running_loop()
        self._metrics.count('target_connections', 'opened')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, conn = await loop.create_connection(
                    lambda: TargetConnection(
                        lambda conn: self._connection_freed(pool, conn),
                        self._ledger,
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
        self._connection_freed(pool, conn)
        return Reach.ACCEPTS

    def _connection_freed(
        self, pool: TargetPool, conn: TargetConnection
    ) -> None:
        if not conn.usable:
            pool.open.discard(conn)
            if conn in pool.idle:
                pool.idle.remove(conn)
            if pool.waiting and pool.connecting < len(pool.waiting):
                self._open_connection(pool)
            return
        if pool.closed:
            conn.close()
            return
        conn.last_used_at = self._clock()
        # A waiting request that has ended in the meantime does not use the
        # connection, so it is offered to the next one.
        while pool.waiting and conn.usable:
            pool.waiting.popleft()(conn)
        if conn.usable and conn not in pool.idle:
            pool.idle.append(conn)


def _max_idle_s(conn: TargetConnection) -> float:
    if conn.keep_alive_timeout_s is None:
        return IDLE_S
    return conn.keep_alive_timeout_s * IDLE_TIMEOUT_FRACTION
