"""Keep a local copy of all store objects of one kind, with few store calls.

Load pattern: if all nodes watched the store, each change would make it answer
all of them at once, and each call uses some of its capacity. The store may
also refuse some nodes while it serves others. So one node watches the store
for changes of a kind of objects, with a call that waits for them. Each time
that it has read the store, it publishes a rumor, called a reading; the other
nodes pull the changes from it or from each other. A node that gets no reading
for too long watches the store itself. Each node waits for a different time
before that, so that they don't all call the store at once.
"""

from __future__ import annotations

import asyncio
import collections.abc
import random
import typing

import msgspec

from .. import logs
from ..background import Supervisor
from ..configuration.objects import ObjectReplica
from ..configuration.spread import Backoff
from ..exceptions import CompactedError
from ..exceptions import PeerUnavailableError
from ..exceptions import PlatformError
from ..exceptions import PlatformThrottledError
from ..messages import Delta
from ..messages import Member
from ..messages import Pull
from ..messages import Rumor
from ..messages import StoredObject
from ..messages import Urgency
from ..metrics import Metrics
from ..types import Clock
from ..types import NodeId
from ..types import Revision
from .delivery import Delivery
from .delivery import OnUpdate
from .epochs import Order
from .epochs import Position
from .latest_task import LatestTask
from .node_order import NodeOrder
from .store_copy import Changed
from .store_copy import Objects
from .store_copy import Reading
from .store_copy import Refused
from .store_copy import Restored
from .store_copy import StoreCopy
from .store_log import StoreLog
from .takeover import next_version
from .takeover import Takeover

TOPIC = 'reading'
RUMOR_TTL_S = 5.0

# A watch times out this long after the time for which the store may hold it,
# so that the answer has time to arrive.
WATCH_TIMEOUT_MARGIN_S = 0.5
LIST_TIMEOUT_S = 1.5
# Least time between two rumors of a node that it has read one kind of objects
# from the store. The gossip's budget carries about four small rumors a second.
PUBLISH_INTERVAL_S = 0.25
# A starting node waits at most this long for gossip to find another node from
# which it can pull objects.
START_PEERS_TIMEOUT_S = 0.5
START_POLL_S = 0.02
# Interval at which a node that does not watch the store checks whether it
# should.
FOLLOWER_POLL_S = 0.1
BACKOFF_BASE_S = 0.1
BACKOFF_CAP_S = 1.0
# Pause between two pulls from the source, the node from which this node pulls
# first. Usually the source has pulled the objects itself within this time.
SOURCE_RETRY_S = 0.04
# Limits on the pulls after a rumor that a node has read the store: first from
# the source, then from the node that read the store. If no pull returns the
# objects, this node waits for the next such rumor.
SOURCE_TRIES = 3
READER_TRIES = 3
# Limit on the concurrent list calls of a node that has no objects yet.
MAX_START_LISTS = 8
# Number of other nodes that a starting node pulls from.
MAX_START_PULLS = 2
# Reading has stopped if the objects have not been known to be current, and
# the loop that reads them has failed, for this time. A restart takes up to
# 1 s, and other nodes may read the store meanwhile.
STOPPED_AFTER_S = 10.0
# Reading has also stopped if a round of the loop takes this long. The longest
# one lists 200 pages in 1.5 s each and pauses for 30 s, as the store asked.
MAX_ROUND_S = 400.0


class Store(typing.Protocol):
    """Interface to the objects in the platform's store."""

    async def list(
        self, kind: str, timeout_s: float, allow_stale: bool = False
    ) -> tuple[Position, list[StoredObject]]:
        """Return all objects, and the position of the store that they reflect.

        If allow_stale is True, the store may return an older state, which
        costs it less; a watch from the returned position then returns later
        changes. Raises PlatformError if the store can't be read.
        """

    async def watch(
        self, kind: str, since: Revision, wait_s: float, timeout_s: float
    ) -> tuple[Position, list[StoredObject]]:
        """Wait for changes; return the new position and the changed objects.

        The changes are those after the revision given by the parameter since,
        up to the returned position. The store holds the call for up to wait_s
        until something changes. Raises CompactedError if the store no longer
        has all these changes, and PlatformError if it can't be read.
        """


PullFrom = collections.abc.Callable[
    [Member, Pull], collections.abc.Awaitable[Delta]
]


class Mirror:
    """Hold a copy of all store objects of one kind.

    The copy is filled from the store or from other nodes, and its position
    never goes back. on_update is called with the objects that were added,
    changed or deleted, or with all objects of a restored store. kept returns
    the objects that are in force though the store shows older ones, in_force
    all that are in force, for a node that has read a store restored since.
    on_kept is called with what another node returned of these. has_pulled is
    True once this node has pulled what other nodes know at its start, or has
    found none.
    """

    def __init__(
        self,
        kind: str,
        node: NodeId,
        store: Store,
        pull: PullFrom,
        members: collections.abc.Callable[
            [], collections.abc.Sequence[Member]
        ],
        publish: collections.abc.Callable[[Rumor], None],
        on_update: OnUpdate,
        takeover: Takeover,
        metrics: Metrics,
        rng: random.Random,
        clock: Clock,
    ):
        self.kind = kind
        self.copy = StoreCopy(kind, metrics)
        self.kept: collections.abc.Callable[[], Objects] = tuple
        self.in_force: collections.abc.Callable[[], Objects] = tuple
        self.on_kept: collections.abc.Callable[[Objects], None] = lambda _: (
            None
        )
        self._node = node
        self._store = store
        self._pull = pull
        self._members = members
        self._order = NodeOrder(kind, node)
        self._publish = publish
        self._delivery = Delivery(kind, on_update, metrics)
        self._takeover = takeover
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._fresh_at = -1e9
        self._started_at = clock()
        self._rumor_version = 0
        self._published_at = -1e9
        self._publish_timer: asyncio.TimerHandle | None = None
        self._watching = False
        # Whether this node watches the store, because it is first in rank or
        # because no other node published in time that it had read the store.
        self._took_over = False
        self._store_log = StoreLog(kind, metrics)
        self._supervisor = Supervisor(metrics, rng, clock)
        self._loop_name = f'mirror {kind}'
        self._round_at = clock()
        self._read_task: asyncio.Task | None = None
        # Whether the next read must list the objects. The changes in a watch
        # may be what made the last read fail, and the store sends them again.
        self._must_list = False
        # Only the newest reading that arrives during a pull is handled after.
        self._catch_up = LatestTask(
            f'catch up {kind}', self._catch_up_with, self._supervisor, metrics
        )
        self.has_pulled = False
        self._kept_pulls = LatestTask(
            f'pull kept {kind}', self._pull_kept, self._supervisor, metrics
        )

    @property
    def replica(self) -> ObjectReplica:
        """Return the objects that the store had when it was last read."""
        return self.copy.replica

    @property
    def was_read(self) -> bool:
        """Return True if the objects are or once were known to be current."""
        return self._fresh_at > 0.0

    def age_s(self, now: float) -> float:
        """Return the time since the objects were last known to be current."""
        return now - self._fresh_at

    def _logged_age_s(self) -> float | None:
        if not self.was_read:
            return None
        return round(self.age_s(self._clock()), 3)

    @property
    def watching(self) -> bool:
        """Return True if this node watches the store itself."""
        return self._watching

    def start(self) -> None:
        """Start to fill the copy, and to watch the store when needed."""
        self._started_at = self._clock()
        self._round_at = self._started_at
        self._supervisor.start_loop(self._loop_name, self._run)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        if self._publish_timer is not None:
            self._publish_timer.cancel()
        tasks = self._supervisor.stop()
        await asyncio.gather(*tasks, return_exceptions=True)

    def has_stopped(self, now: float) -> bool:
        """Return True if a fault of this node keeps the objects outdated.

        While only the store can't be read, the result is False.
        """
        return self.age_s(now) >= STOPPED_AFTER_S and (
            self._supervisor.failing_s(self._loop_name) >= STOPPED_AFTER_S
            or now - self._round_at >= MAX_ROUND_S
        )

    def refresh(self) -> None:
        """Treat the objects as outdated and read them again at once.

        Called after the process was suspended or blocked: this node may have
        missed changes, and the connection of its pending store call may be
        broken.
        """
        self._fresh_at = min(
            self._fresh_at, self._clock() - self._takeover.takeover_age_s
        )
        if self._read_task is not None:
            self._read_task.cancel()

    def on_rumor(self, rumor: Rumor) -> None:
        """Handle the rumor that a node has read the store.

        This node pulls the objects if its own are of an earlier revision.
        """
        if rumor.version <= self._rumor_version:
            return
        self._rumor_version = rumor.version
        reading = msgspec.msgpack.decode(rumor.body, type=Reading)
        if reading.node == self._node:
            return
        if self.copy.order(reading) is Order.EARLIER:
            self._ignore(reading)
            return
        if self._order.ranks_before(reading.node, self._members()):
            self._took_over = False
        if not self._has_reached(reading):
            self._catch_up.put(reading)

    def _ignore(self, reading: Reading) -> None:
        self._metrics.count('readings_ignored', 'earlier_epoch')
        logs.log_event(
            'reading_ignored',
            kind=self.kind,
            by=reading.node,
            epoch=reading.epoch,
            revision=reading.revision,
            own_epoch=self.copy.epoch,
            own_revision=self.replica.revision,
        )

    def answer(self, request: Pull) -> Delta:
        """Answer another node's pull with the objects that it lacks."""
        delta = self.copy.answer(request)
        if not request.wants_kept or delta.cursor is not None:
            return delta
        # A starting node may read a restored store before this node does.
        is_restored = self.copy.order(request) is Order.LATER
        kept = (self.in_force() if is_restored else ()) or self.kept()
        return msgspec.structs.replace(delta, kept=tuple(kept))

    def start_pull_kept(self, node: NodeId) -> None:
        """Pull the objects that a node has in force against the store."""
        self._kept_pulls.put(node)

    async def _pull_kept(self, node: NodeId) -> None:
        member = self._order.member(node, self._members())
        for _ in range(READER_TRIES):
            if member is None or await self._pull_from(member, True):
                return

    # Reading the store.

    async def _run(self) -> None:
        self._took_over = False
        backoff = Backoff(self._rng, BACKOFF_BASE_S, BACKOFF_CAP_S)
        await self._fill_at_start()
        while True:
            self._set_watching(self._should_watch(self._clock()))
            if not self._watching:
                self._record_round()
                await asyncio.sleep(FOLLOWER_POLL_S)
                continue
            try:
                await self._read()
                self._record_round()
                self._store_log.record_call(None, self._logged_age_s())
                backoff.reset()
                await asyncio.sleep(self._takeover.read_gap_s)
            except PlatformError as exc:
                self._record_round()
                self._took_over = False
                self._metrics.count('store_retries', type(exc).__name__)
                self._store_log.record_call(exc, self._logged_age_s())
                pause_s = backoff.next_s()
                if isinstance(exc, PlatformThrottledError):
                    pause_s += exc.retry_after_s
                await asyncio.sleep(pause_s)

    async def _fill_at_start(self) -> None:
        """Pull and list the objects at the same time.

        If one of both fails, the other is cancelled, so that it doesn't go on
        beside the next start of the loop.
        """
        work = [
            asyncio.ensure_future(self._pull_at_start()),
            asyncio.ensure_future(self._list_at_start()),
        ]
        try:
            await asyncio.gather(*work)
        finally:
            for task in work:
                task.cancel()

    def _record_round(self) -> None:
        now = self._round_at = self._clock()
        self._supervisor.record_round(self._loop_name)
        self._delivery.retry(now)

    async def _read(self) -> None:
        self._read_task = asyncio.ensure_future(self._read_once())
        try:
            await self._read_task
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                self._read_task.cancel()
                raise
        except Exception as exc:
            self._must_list |= not isinstance(exc, PlatformError)
            raise
        finally:
            self._read_task = None

    def _should_watch(self, now: float) -> bool:
        rank, count = self._rank()
        if self.was_read:
            self._took_over = self._takeover.should_watch(
                rank, count, self.age_s(now), self._took_over
            )
            return self._took_over
        return self._takeover.should_read_first(rank, now - self._started_at)

    def _rank(self) -> tuple[int, int]:
        return self._order.rank(self._members())

    def _set_watching(self, watching: bool) -> None:
        if watching == self._watching:
            return
        self._watching = watching
        logs.log_event(
            'store_watch',
            kind=self.kind,
            watching=watching,
            read_age_s=self._logged_age_s(),
            revision=self.replica.revision,
        )

    async def _read_once(self) -> None:
        if self.copy.complete_through is None:
            # A list with allow_stale costs the store less. It may lack recent
            # changes, but the watch below returns those.
            await self._list(allow_stale=True)
        if self._must_list:
            await self._list()
            self._must_list = False
        since = self.copy.watch_position()
        wait_s = self._takeover.wait_s
        try:
            position, events = await self._store.watch(
                self.kind,
                since.revision,
                wait_s if self.was_read else 0.0,
                wait_s + WATCH_TIMEOUT_MARGIN_S,
            )
        except CompactedError:
            logs.log_event(
                'store_history_gone',
                kind=self.kind,
                since=since.revision,
            )
            await self._list()
            return
        self._store_log.record_position(position, self.replica.revision)
        match self.copy.apply_watch(since, position, events):
            case Refused(reason):
                self._metrics.count('watches_refused', reason)
                logs.log_event(
                    'watch_refused',
                    kind=self.kind,
                    reason=reason,
                    since=since.revision,
                    epoch=position.epoch,
                    own_epoch=self.copy.epoch,
                )
                await self._list()
            case update:
                self._report(update)
                self._schedule_publish()

    async def _list(self, allow_stale: bool = False) -> None:
        position, objects = await self._store.list(
            self.kind, LIST_TIMEOUT_S, allow_stale
        )
        self._store_log.record_position(position, self.replica.revision)
        match self.copy.apply_list(position, objects):
            case Refused(reason):
                self._refuse_list(position, reason)
            case update:
                self._report(update)
        if not allow_stale:
            self._schedule_publish()

    def _refuse_list(self, position: Position, reason: str) -> None:
        self._metrics.count('lists_refused', reason)
        own_revision = self.replica.revision
        logs.log_event(
            'list_refused',
            kind=self.kind,
            reason=reason,
            revision=position.revision,
            own_revision=own_revision,
            epoch=position.epoch,
            own_epoch=self.copy.epoch,
        )
        raise PlatformThrottledError(
            f'the store listed {self.kind} as of revision '
            f'{position.revision}, older than revision {own_revision} of '
            'this node',
            0.0,
        )

    def _report(self, update: Changed | Restored) -> None:
        match update:
            case Changed([]):
                return
            case Changed(objects):
                logs.log_event(
                    'objects_changed',
                    kind=self.kind,
                    revision=self.replica.revision,
                    count=len(objects),
                )
            case Restored(objects):
                self._metrics.count('store_restores', self.kind)
                logs.log_event(
                    'store_restored',
                    kind=self.kind,
                    epoch=self.copy.epoch,
                    revision=self.replica.revision,
                    count=len(objects),
                )
        self._delivery.deliver(update)

    def _mark_fresh(self) -> None:
        if not self.was_read:
            logs.log_event(
                'objects_known', kind=self.kind, revision=self.replica.revision
            )
        self._fresh_at = self._clock()

    def _schedule_publish(self) -> None:
        self._mark_fresh()
        now = self._clock()
        if now - self._published_at >= PUBLISH_INTERVAL_S:
            self._publish_reading()
        elif self._publish_timer is None:
            loop = asyncio.get_running_loop()
            self._publish_timer = loop.call_later(
                self._published_at + PUBLISH_INTERVAL_S - now,
                self._publish_reading,
            )

    def _publish_reading(self) -> None:
        self._publish_timer = None
        self._published_at = self._clock()
        rank, _ = self._rank()
        self._rumor_version = next_version(self._rumor_version, rank)
        reading = self.copy.reading(self._node)
        self._publish(
            Rumor(
                TOPIC,
                self.kind,
                self._rumor_version,
                msgspec.msgpack.encode(reading),
                RUMOR_TTL_S,
                Urgency.CURRENT,
            )
        )

    # Pulling the objects that another node has read from the store.

    async def _catch_up_with(self, reading: Reading) -> None:
        """Pull the objects that another node has read from the store.

        They are pulled from the source, the node that NodeOrder assigns. If
        the source fails or does not get the objects in time, they are pulled
        from the node that read the store.
        """
        members = self._members()
        source = self._order.pull_source(reading.node, members)
        reader = self._order.member(reading.node, members)
        is_restored = self.copy.order(reading) is Order.LATER
        for _ in range(SOURCE_TRIES):
            if source is None or source is reader:
                break
            if not await self._pull_from(source, is_restored):
                break
            if self._has_reached(reading):
                return
            # The source got the same rumor that the store was read, so it is
            # possibly still pulling the objects itself.
            await asyncio.sleep(SOURCE_RETRY_S)
        for _ in range(READER_TRIES):
            if reader is None:
                return
            if await self._pull_from(
                reader, is_restored
            ) and self._has_reached(reading):
                return

    def _has_reached(self, reading: Reading) -> bool:
        if self.copy.confirm(reading):
            self._mark_fresh()
            return True
        return self.copy.order(reading) is Order.EARLIER

    async def _list_at_start(self) -> None:
        """List the store's objects until this node has some.

        The objects may also come from another node. The store possibly never
        answers a call, so the next call is sent before the earlier ones are
        answered.
        """
        calls: set[asyncio.Task] = set()
        next_at = self._clock()
        try:
            while not self.replica.revision:
                now = self._clock()
                if now >= next_at and len(calls) < MAX_START_LISTS:
                    rank, _ = self._rank()
                    next_at = now + self._takeover.first_list_gap_s(rank)
                    call = self._supervisor.start(
                        f'first list {self.kind}', self._try_list()
                    )
                    calls.add(call)
                    call.add_done_callback(calls.discard)
                self._round_at = now
                await asyncio.sleep(START_POLL_S)
        finally:
            for call in calls:
                call.cancel()

    async def _try_list(self) -> None:
        try:
            await self._list(allow_stale=True)
            self._store_log.record_call(None, self._logged_age_s())
        except PlatformError as exc:
            self._metrics.count('store_retries', type(exc).__name__)
            self._store_log.record_call(exc, self._logged_age_s())

    async def _pull_at_start(self) -> None:
        """Wait until another node is known, and pull its objects.

        Pulls from up to MAX_START_PULLS nodes. Nodes of other zones are used
        only if this zone has no other node.
        """
        until = self._clock() + START_PEERS_TIMEOUT_S
        while len(self._members()) < 2 and self._clock() < until:
            await asyncio.sleep(START_POLL_S)
        members = self._members()
        peers = self._order.zone_peers(members) or [
            member for member in members if member.node != self._node
        ]
        for member in self._rng.sample(
            peers, min(MAX_START_PULLS, len(peers))
        ):
            await self._pull_from(member, True)
        self.has_pulled = True

    async def _pull_from(
        self, member: Member, wants_kept: bool = False
    ) -> bool:
        request = self.copy.pull_request(wants_kept)
        try:
            delta = await self._pull(member, request)
        except PeerUnavailableError as exc:
            self._metrics.count('mirror_pulls', 'peer_unavailable')
            logs.log_event(
                'pull_failed',
                kind=self.kind,
                peer=member.node,
                error=str(exc),
                cause=repr(exc.__cause__),
            )
            return False
        match self.copy.apply_delta(delta):
            case Refused(reason):
                self._metrics.count('mirror_pulls', reason)
                logs.log_event(
                    'pull_refused',
                    kind=self.kind,
                    peer=member.node,
                    reason=reason,
                    epoch=delta.epoch,
                    own_epoch=self.copy.epoch,
                )
            case update:
                self._metrics.count('mirror_pulls', 'answered')
                self._report(update)
        if delta.kept:
            self.on_kept(delta.kept)
        has_advanced = request.epoch != self.copy.epoch
        is_earlier = self.copy.order(delta) is Order.EARLIER
        if wants_kept and has_advanced and is_earlier:
            # This node has read a restored store since it sent the request.
            return await self._pull_from(member, wants_kept)
        return True
