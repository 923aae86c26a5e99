"""Pools of connections to targets, within each target's connection limit.

All nodes share the limit of a target. Each node opens at most its equal share,
but at least one connection.
"""

from __future__ import annotations

import asyncio
import enum
import random
import typing

from ..admission.order import Waiting
from ..admission.order import WaitingOrder
from ..background import log_task_failure
from ..background import Supervisor
from ..metrics import Metrics
from ..placement.relays import RelayRole
from ..routing.shares import ConnectRateLimit
from ..types import Clock
from ..types import TargetId
from ..types import ZoneName
from .byte_limits import MessageMemory
from .target_connection import TargetConnection
from .target_connection import TCP_USER_TIMEOUT_S
from .targets import Target

# Time allowed for opening a connection. A reachable target accepts within two
# round trips. Packets to an unreachable one can be dropped without any reply,
# so that only this timeout ends the attempt.
CONNECT_TIMEOUT_S = 0.4
# Time allowed for a connection that only checks whether targets are reachable.
PROBE_TIMEOUT_S = 0.15
# Time for which other nodes are asked to send to a target that has accepted no
# connection. With a longer time, a restarted target would be asked through
# them for longer.
UNREACHABLE_S = 1.5
# An idle connection is used for this fraction of the idle timeout that the
# target announces; after that the target has possibly closed it.
IDLE_TIMEOUT_FRACTION = 0.7
# Longest idle time after which a connection is still used, for targets that
# announce no idle timeout. Such targets keep idle connections open for longer
# than this.
DEFAULT_MAX_IDLE_S = 8.0
# Fraction of a target's connection limit that all nodes together may use; each
# node gets an equal share of it, but at least one connection.
SHARED_FRACTION = 0.8
# A relay of a target, through which other nodes send to it, may open this part
# of the connections that all nodes together may use. Several nodes may take
# themselves for its relay for a moment, and other nodes send directly if they
# reach no relay.
RELAY_SHARE_DIVISOR = 8
# Time after which a node that is not a target's relay closes an idle
# connection to it. Repeats of one request come within this time.
NOT_RELAY_MAX_IDLE_S = 0.5
# Time that a small target needs to accept a connection. With a larger value,
# warm() waits longer before it opens another connection to the same target.
CONNECT_COST_MS = 6.0
# Number of connections that warm() keeps open to each target, so that a
# request need not wait until a connection is opened.
WARM_CONNECTIONS = 1
WARM_PERIOD_S = 0.25
# Largest number of connections that one call of warm() opens, to all targets
# together.
MAX_WARM_CONNECTS = 16

# Delay before check() tries to connect to a target. A process that dies can
# close its connections before its listening socket, so that without the delay
# the connection would still be accepted.
CONNECT_CHECK_DELAY_S = 0.05

OnConnection = typing.Callable[[TargetConnection | None], None]


class WaitRank(typing.NamedTuple):
    """Hold what decides the order of requests that wait for a connection."""

    priority: int
    share_group: str
    deadline_at: float


# With the same rank, requests get connections in the order of their arrival.
FIRST_COME = WaitRank(0, '', 0.0)


class ConnectCheck(enum.Enum):
    """Results of checking whether a target accepts connections.

    SILENT: the target did not respond, or connecting failed with another
    network error than a refusal or reset. UNKNOWN: the target is not
    registered, or its address changed during the check.
    """

    ACCEPTS = 'accepts'
    REFUSES = 'refuses'
    SILENT = 'silent'
    UNKNOWN = 'unknown'


class TargetPool:
    """Connections to one target, and requests waiting for a connection."""

    __slots__ = (
        'closed',
        'connecting',
        'idle',
        'open',
        'target',
        'unreachable_until',
        '_order',
    )

    def __init__(self, target: Target):
        self.target = target
        self.unreachable_until = 0.0
        self.idle: list[TargetConnection] = []
        self.open: set[TargetConnection] = set()
        self.connecting = 0
        # None while nothing waits: a node may know 30,000 targets.
        self._order: WaitingOrder | None = None
        self.closed = False

    @property
    def waiting_count(self) -> int:
        """Return the number of requests that wait for a connection."""
        return 0 if self._order is None else len(self._order)

    def add_waiting(self, on_connection: OnConnection, rank: WaitRank) -> None:
        """Add a request that waits for a connection."""
        if self._order is None:
            self._order = WaitingOrder()
        self._order.add(Waiting(*rank, on_connection))

    def take_waiting(self) -> OnConnection | None:
        """Remove the next waiting request and return its callback."""
        entry = None if self._order is None else self._order.take()
        return None if entry is None else entry.item

    def drop_waiting(self) -> None:
        """Pass None to all requests that wait for a connection."""
        while (on_connection := self.take_waiting()) is not None:
            on_connection(None)
        self._order = None

    def pass_on(self, conn: TargetConnection, now: float) -> None:
        """Offer a connection to waiting requests until one uses it.

        A request that ended while it waited does not use it, and counts as
        not served.
        """
        order = self._order
        while order is not None and conn.usable:
            entry = order.take()
            if entry is None:
                self._order = None
                return
            entry.item(conn)
            order.ratios.count(entry, not conn.usable, now)

    @property
    def connection_count(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self.open) + self.connecting


class Pools:
    """Connection pools of all targets, which open and reuse connections.

    on_unreachable is called when a connection to a target can't be opened.
    on_failure is called when a connection can't be opened or ends with a
    network error, with the time since when the target has sent nothing, and
    with True if the connection was open. on_contact is called when a target
    has accepted a connection. While may_connect returns False, connections are
    opened only by probe(), and acquire() passes none. role returns whether
    this node is a relay of a target.
    """

    def __init__(
        self,
        metrics: Metrics,
        rng: random.Random,
        clock: Clock,
        on_unreachable: typing.Callable[[TargetId], None],
        message_memory: MessageMemory | None = None,
    ):
        self.on_failure: typing.Callable[[float, bool], None] = (
            lambda silent_since, was_open: None
        )
        self.on_contact: typing.Callable[[], None] = lambda: None
        self.may_connect: typing.Callable[[], bool] = lambda: True
        self.role: typing.Callable[[TargetId], RelayRole] = lambda target_id: (
            RelayRole.UNRELAYED
        )
        self.orders_waiting: typing.Callable[[], bool] = lambda: False
        self._message_memory = message_memory or MessageMemory()
        self._metrics = metrics
        self._clock = clock
        self._on_unreachable = on_unreachable
        self._warm_policy = ConnectRateLimit(rng)
        self._supervisor = Supervisor(metrics, rng, clock)
        self._pools: dict[TargetId, TargetPool] = {}
        self._limits: typing.Callable[[Target], int] = lambda _: 1
        self._nodes = 1
        self._cut_off_nodes = 0

    def set_limits(
        self,
        limits: typing.Callable[[Target], int],
        nodes: int,
        cut_off_nodes: int = 0,
    ) -> None:
        """Set the connection limits of targets and how many nodes share them.

        The function limits is called with a target and returns the number of
        connections that all nodes together may open to it. Nodes that are cut
        off from the targets can't use their shares, but the targets may still
        count the connection that each of them keeps open.
        """
        self._limits = limits
        self._cut_off_nodes = min(cut_off_nodes, max(nodes - 1, 0))
        self._nodes = max(nodes, 1) - self._cut_off_nodes

    @property
    def nodes(self) -> int:
        """Return the number of nodes that share the limits."""
        return self._nodes + self._cut_off_nodes

    def needs_relay(self, target: Target) -> bool:
        """Return True if a node's share of the connections is below one."""
        return int(self._limits(target) * SHARED_FRACTION) < self.nodes

    def declare(self, target: Target) -> None:
        """Add a target or update its registration.

        If the address changed, idle connections to the old address are closed,
        and requests that wait for a connection get None.
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
        pool.drop_waiting()

    def close(self) -> None:
        """Close all connections, even those with a request in progress."""
        for target_id in tuple(self._pools):
            pool = self._pools[target_id]
            self.forget(target_id)
            for conn in tuple(pool.open):
                conn.close()

    def has_idle(self, target_id: TargetId) -> bool:
        """Return whether there is an idle connection to the target."""
        pool = self._pools.get(target_id)
        return pool is not None and bool(pool.idle)

    def acquire(
        self,
        target_id: TargetId,
        on_connection: OnConnection,
        max_idle_s: float = DEFAULT_MAX_IDLE_S,
        rank: WaitRank = FIRST_COME,
    ) -> None:
        """Pass an idle or new connection, or None, to on_connection.

        None means that the target is unknown or can't be reached. If this node
        already uses its share of the target's connections, the request waits
        until one of them is free. Connections idle for max_idle_s or longer
        are closed instead of reused. rank decides which of the waiting
        requests gets a connection first, if orders_waiting() returns True.
        """
        pool = self._pools.get(target_id)
        if pool is None:
            on_connection(None)
            return
        if not self.may_connect():
            on_connection(None)
            return
        conn = self._take_idle(pool, max_idle_s)
        if conn is not None:
            on_connection(conn)
            return
        pool.add_waiting(
            on_connection, rank if self.orders_waiting() else FIRST_COME
        )
        if pool.connecting < pool.waiting_count:
            self._open_connection(pool)

    def is_unreachable(self, target_id: TargetId) -> bool:
        """Return True if a target has just accepted no connection.

        It is False if there is another connection to the target.
        """
        pool = self._pools.get(target_id)
        return (
            pool is not None
            and not pool.open
            and self._clock() < pool.unreachable_until
        )

    @property
    def has_open(self) -> bool:
        """Return True if there is a connection to any target."""
        return any(pool.open for pool in self._pools.values())

    def probe(
        self,
        target_id: TargetId,
        on_reach: typing.Callable[[ConnectCheck], None],
    ) -> None:
        """Try at once to open a connection; pass the result to on_reach.

        A connection that exceeds this node's share is closed again. A failure
        is not reported to on_unreachable.
        """
        pool = self._pools.get(target_id)
        if pool is None:
            on_reach(ConnectCheck.UNKNOWN)
            return
        pool.connecting += 1
        self._supervisor.start('connection', self._probe(pool, on_reach))

    async def _probe(
        self,
        pool: TargetPool,
        on_reach: typing.Callable[[ConnectCheck], None],
    ) -> None:
        on_reach(await self._connect(pool, is_probe=True))

    def check(
        self,
        target_id: TargetId,
        on_reach: typing.Callable[[ConnectCheck], None],
    ) -> None:
        """Try to open a connection to a target; pass the result to on_reach.

        A connection that is opened is kept in the target's pool.
        """
        self._supervisor.start('connection', self._check(target_id, on_reach))

    async def _check(
        self,
        target_id: TargetId,
        on_reach: typing.Callable[[ConnectCheck], None],
    ) -> None:
        await asyncio.sleep(CONNECT_CHECK_DELAY_S)
        pool = self._pools.get(target_id)
        if pool is None or pool.closed:
            on_reach(ConnectCheck.UNKNOWN)
            return
        pool.connecting += 1
        reach = await self._connect(pool)
        on_reach(ConnectCheck.UNKNOWN if pool.closed else reach)

    def warm(
        self,
        delegated_zones: typing.Collection[ZoneName] = (),
        evacuated_zones: typing.Collection[ZoneName] = (),
    ) -> None:
        """Close expired idle connections; connect to targets without any.

        Each call opens at most MAX_WARM_CONNECTS connections, and none to
        draining targets or to targets in delegated_zones, whose requests go
        through another node, nor to those in evacuated_zones. Of a target with
        relays, only the first one keeps a connection open.
        """
        now = self._clock()
        remaining = MAX_WARM_CONNECTS if self.may_connect() else 0
        for pool in self._pools.values():
            role = self.role(pool.target.id)
            self._close_expired(pool, role, now)
            if pool.connection_count >= WARM_CONNECTIONS or pool.target.drain:
                continue
            if pool.target.zone in evacuated_zones:
                continue
            match role:
                case RelayRole.UNRELAYED:
                    if pool.target.zone in delegated_zones:
                        continue
                case RelayRole.SECOND | RelayRole.OTHER:
                    continue
            if remaining > 0 and self._warm_policy.grant(
                pool.target.id, CONNECT_COST_MS, 1, now
            ):
                remaining -= 1
                self._open_connection(pool)

    def _connection_share(self, target: Target) -> int:
        shared = int(self._limits(target) * SHARED_FRACTION)
        match self.role(target.id):
            case RelayRole.FIRST | RelayRole.SECOND:
                return max(1, shared // RELAY_SHARE_DIVISOR)
            case RelayRole.OTHER:
                return 1
        held = self._cut_off_nodes * WARM_CONNECTIONS
        return max(1, (shared - held) // self._nodes)

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

    def _close_expired(
        self, pool: TargetPool, role: RelayRole, now: float
    ) -> None:
        while pool.idle:
            conn = pool.idle[0]
            idle_limit_s = _max_idle_s(conn)
            if role is RelayRole.OTHER:
                idle_limit_s = min(idle_limit_s, NOT_RELAY_MAX_IDLE_S)
            if conn.usable and now - conn.last_used_at < idle_limit_s:
                return
            pool.idle.pop(0)
            conn.close()

    def _open_connection(self, pool: TargetPool) -> None:
        if pool.closed or pool.connection_count >= self._connection_share(
            pool.target
        ):
            return
        pool.connecting += 1
        self._supervisor.start('connection', self._connect(pool))

    async def _connect(
        self, pool: TargetPool, is_probe: bool = False
    ) -> ConnectCheck:
        target = pool.target
        started_at = self._clock()
        loop = asyncio.get_running_loop()
        self._metrics.count('target_connections', 'opened')
        try:
            async with asyncio.timeout(
                PROBE_TIMEOUT_S if is_probe else CONNECT_TIMEOUT_S
            ):
                _, conn = await loop.create_connection(
                    lambda: TargetConnection(
                        lambda conn: self._connection_freed(pool, conn),
                        self._message_memory,
                    ),
                    target.host,
                    target.port,
                )
        except Exception as exc:
            # ValueError, and UnicodeError as a kind of it, mean that the host
            # is no address. Whatever the exception is, the requests must not
            # wait until their deadlines.
            if not isinstance(exc, OSError | ValueError):
                log_task_failure(self._metrics, 'connection', exc)
            pool.connecting -= 1
            self._metrics.count('target_connections', type(exc).__name__)
            pool.unreachable_until = self._clock() + UNREACHABLE_S
            self.on_failure(started_at, False)
            if not pool.closed and not is_probe:
                self._on_unreachable(target.id)
            pool.drop_waiting()
            is_refusal = isinstance(
                exc, ConnectionRefusedError | ConnectionResetError
            )
            return ConnectCheck.REFUSES if is_refusal else ConnectCheck.SILENT
        pool.connecting -= 1
        self.on_contact()
        pool.unreachable_until = 0.0
        pool.open.add(conn)
        if is_probe and pool.connection_count > self._connection_share(target):
            conn.close()
        else:
            self._connection_freed(pool, conn)
        return ConnectCheck.ACCEPTS

    def _connection_freed(
        self, pool: TargetPool, conn: TargetConnection
    ) -> None:
        if not conn.usable:
            if conn in pool.open and conn.network_error is not None:
                silent_s = _silence_s(conn.network_error)
                self.on_failure(self._clock() - silent_s, True)
            pool.open.discard(conn)
            if conn in pool.idle:
                pool.idle.remove(conn)
            if pool.connecting < pool.waiting_count:
                self._open_connection(pool)
            return
        if pool.closed:
            conn.close()
            return
        conn.last_used_at = self._clock()
        pool.pass_on(conn, conn.last_used_at)
        if conn.usable and conn not in pool.idle:
            pool.idle.append(conn)


def _silence_s(exc: Exception) -> float:
    """Return how long the target had sent nothing before a network error."""
    return TCP_USER_TIMEOUT_S if isinstance(exc, TimeoutError) else 0.0


def _max_idle_s(conn: TargetConnection) -> float:
    if conn.keep_alive_timeout_s is None:
        return DEFAULT_MAX_IDLE_S
    return conn.keep_alive_timeout_s * IDLE_TIMEOUT_FRACTION
