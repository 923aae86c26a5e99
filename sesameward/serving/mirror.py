"""Keep all objects of one kind current while few nodes ask the store.

Load pattern: a change wakes every watch, each call is priced, and the store
may turn some nodes away while it serves others. So one node of all watches a
kind and the others follow it; a node that has heard of no fresh reading for
too long watches itself, in an order that spreads these takeovers in time.
"""

from __future__ import annotations

import asyncio
import collections.abc
import random
import typing

import msgspec

from .. import logs
from ..configuration.objects import ObjectBook
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
from .node_order import NodeOrder
from .takeover import next_reading
from .takeover import Takeover

TOPIC = 'reading'
RUMOR_TTL_S = 5.0

WATCH_SLACK_S = 0.5
LIST_TIMEOUT_S = 1.5
# A reading is told this much later at most if others were just told; the
# gossip's budget carries about four small rumors a second.
TELL_GAP_S = 0.25
# How long a start waits for the first peer.
FIRST_PEERS_S = 0.5
FIRST_LOOK_S = 0.02
IDLE_LOOK_S = 0.1
BACKOFF_BASE_S = 0.1
BACKOFF_CAP_S = 1.0
# A node's source has mostly heard of a reading within this time.
SOURCE_GAP_S = 0.04
SOURCE_TRIES = 3
READER_TRIES = 3
# Calls of a node that has read nothing which may wait for an answer.
FIRST_CALLS = 8
# At its start a node asks its peers before it lists by itself.
START_PEERS = 2


class Store(typing.Protocol):
    """Read the objects of the platform's store."""

    async def list(
        self, kind: str, timeout_s: float, may_be_old: bool = False
    ) -> tuple[Revision, list[StoredObject]]:
        """Return all objects as of a revision; raise PlatformError.

        What may be old is cheap, and a watch from its revision on brings it
        up to date.
        """

    async def watch(
        self, kind: str, since: Revision, wait_s: float, timeout_s: float
    ) -> tuple[Revision, list[StoredObject]]:
        """Return what changed since; raise CompactedError."""


class Reading(msgspec.Struct, frozen=True, array_like=True):
    """Tell that a node has just read the store.

    Nothing changed after the revision until through.
    """

    node: NodeId
    revision: Revision
    through: Revision


PullFrom = collections.abc.Callable[
    [Member, Pull], collections.abc.Awaitable[Delta]
]
OnChange = collections.abc.Callable[[list[StoredObject]], None]


class Mirror:
    """Hold one kind's objects as of a revision that never goes back."""

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
        on_change: OnChange,
        takeover: Takeover,
        metrics: Metrics,
        rng: random.Random,
        clock: Clock,
    ):
        self.kind = kind
        self.book = ObjectBook(metrics, (kind,), lambda stored: None)
        self._node = node
        self._store = store
        self._pull = pull
        self._members = members
        self._order = NodeOrder(kind, node)
        self._publish = publish
        self._on_change = on_change
        self._takeover = takeover
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._read_at = -1e9
        self._started_at = clock()
        self._heard = 0
        self._told_at = -1e9
        self._tell_timer: asyncio.TimerHandle | None = None
        self._position: Revision | None = None
        self._watching = False
        # Stepped in for a node that no longer reads.
        self._acting = False
        self._is_store_lost = False
        self._task: asyncio.Task | None = None
        self._call: asyncio.Task | None = None
        self._catching_up: asyncio.Task | None = None
        self._lacking: Reading | None = None

    @property
    def is_known(self) -> bool:
        """Tell whether the objects have ever been read."""
        return self._read_at > 0.0

    def age_s(self, now: float) -> float:
        """Return how long ago the objects were known to be the newest."""
        return now - self._read_at

    def _age_to_log(self) -> float | None:
        if not self.is_known:
            return None
        return round(self.age_s(self._clock()), 3)

    @property
    def watching(self) -> bool:
        """Tell whether this node watches the store."""
        return self._watching

    def start(self) -> None:
        """Begin to follow or watch."""
        self._started_at = self._clock()
        self._task = asyncio.ensure_future(self._run())
        logs.watch(self._task)

    async def stop(self) -> None:
        """End all calls."""
        if self._tell_timer is not None:
            self._tell_timer.cancel()
        tasks = [t for t in (self._task, self._catching_up) if t is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def doubt(self) -> None:
        """Read again at once; this process stood still for a while."""
        self._read_at = min(
            self._read_at, self._clock() - self._takeover.after_s
        )
        if self._call is not None:
            self._call.cancel()

    def hear(self, rumor: Rumor) -> None:
        """Take in that another node has read the store."""
        if rumor.version <= self._heard:
            return
        self._heard = rumor.version
        reading = msgspec.msgpack.decode(rumor.body, type=Reading)
        if reading.node == self._node:
            return
        if self._order.is_before(reading.node, self._members()):
            self._acting = False
        if reading.revision <= self.book.revision:
            self._caught_up(reading)
        else:
            self._begin_pull(reading)

    def answer(self, request: Pull) -> Delta:
        """Answer the pull of another node."""
        return self.book.delta(request.digest, request.after)

    # Watching.

    async def _run(self) -> None:
        backoff = Backoff(self._rng, BACKOFF_BASE_S, BACKOFF_CAP_S)
        await asyncio.gather(self._ask_peers(), self._list_at_start())
        while True:
            self._set_watching(self._should_watch(self._clock()))
            if not self._watching:
                await asyncio.sleep(IDLE_LOOK_S)
                continue
            try:
                await self._read()
                self._note_store(None)
                backoff.reset()
                await asyncio.sleep(self._takeover.gap_s)
            except PlatformError as exc:
                self._acting = False
                self._metrics.count('store_retries', type(exc).__name__)
                self._note_store(exc)
                pause_s = backoff.next_s()
                if isinstance(exc, PlatformThrottledError):
                    pause_s += exc.retry_after_s
                await asyncio.sleep(pause_s)

    def _note_store(self, exc: PlatformError | None) -> None:
        if (exc is not None) == self._is_store_lost:
            return
        self._is_store_lost = exc is not None
        logs.change(
            'store_lost' if self._is_store_lost else 'store_back',
            kind=self.kind,
            read_age_s=self._age_to_log(),
            error=str(exc) if exc is not None else None,
        )

    async def _read(self) -> None:
        self._call = asyncio.ensure_future(self._read_once())
        try:
            await self._call
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                self._call.cancel()
                raise
        finally:
            self._call = None

    def _should_watch(self, now: float) -> bool:
        rank, count = self._rank()
        if self.is_known:
            self._acting = self._takeover.watches(
                rank, count, self.age_s(now), self._acting
            )
            return self._acting
        return self._takeover.watches_first(rank, now - self._started_at)

    def _rank(self) -> tuple[int, int]:
        return self._order.rank(self._members())

    def _set_watching(self, watching: bool) -> None:
        if watching == self._watching:
            return
        self._watching = watching
        logs.change(
            'store_watch',
            kind=self.kind,
            watching=watching,
            read_age_s=self._age_to_log(),
            revision=self.book.revision,
        )

    async def _read_once(self) -> None:
        if self._position is None:
            # A cheap reading may be old; the watch after it brings the rest.
            await self._list(may_be_old=True)
        wait_s = self._takeover.wait_s
        try:
            through, events = await self._store.watch(
                self.kind,
                self._position,
                wait_s if self.is_known else 0.0,
                wait_s + WATCH_SLACK_S,
            )
        except CompactedError:
            logs.change(
                'store_history_gone', kind=self.kind, since=self._position
            )
            await self._list()
            return
        self._position = max(self._position, through)
        if events:
            newest = max(event.revision for event in events)
            self._took(self.book.apply(events, newest))
        self._tell()

    async def _list(self, may_be_old: bool = False) -> None:
        revision, objects = await self._store.list(
            self.kind, LIST_TIMEOUT_S, may_be_old
        )
        if revision < self.book.revision:
            raise PlatformThrottledError(
                f'the store listed {self.kind} as of {revision}, '
                f'older than {self.book.revision}',
                0.0,
            )
        self._took(self.book.replace(objects, revision))
        self._position = max(self._position or 0, revision)
        if not may_be_old:
            self._tell()

    def _took(self, changed: list[StoredObject]) -> None:
        if changed:
            logs.change(
                'objects_changed',
                kind=self.kind,
                revision=self.book.revision,
                count=len(changed),
            )
            self._on_change(changed)

    def _fresh(self) -> None:
        if not self.is_known:
            logs.change(
                'objects_known', kind=self.kind, revision=self.book.revision
            )
        self._read_at = self._clock()

    def _tell(self) -> None:
        self._fresh()
        now = self._clock()
        if now - self._told_at >= TELL_GAP_S:
            self._publish_reading()
        elif self._tell_timer is None:
            loop = asyncio.get_running_loop()
            self._tell_timer = loop.call_later(
                self._told_at + TELL_GAP_S - now, self._publish_reading
            )

    def _publish_reading(self) -> None:
        self._tell_timer = None
        self._told_at = self._clock()
        rank, _ = self._rank()
        self._heard = next_reading(self._heard, rank)
        reading = Reading(
            self._node, self.book.revision, self._position or Revision(0)
        )
        self._publish(
            Rumor(
                TOPIC,
                self.kind,
                self._heard,
                msgspec.msgpack.encode(reading),
                RUMOR_TTL_S,
                Urgency.CURRENT,
            )
        )

    # Following.

    def _caught_up(self, reading: Reading) -> None:
        self._position = max(self._position or 0, reading.through)
        self._fresh()

    def _begin_pull(self, reading: Reading) -> None:
        self._lacking = reading
        if self._catching_up is None or self._catching_up.done():
            self._catching_up = asyncio.ensure_future(self._catch_up())
            logs.watch(self._catching_up)

    async def _catch_up(self) -> None:
        """Pull until nothing is lacking that others have read."""
        while self._lacking is not None:
            reading, self._lacking = self._lacking, None
            await self._catch_up_with(reading)

    async def _catch_up_with(self, reading: Reading) -> None:
        """Ask the node's source some times, then the reader itself."""
        members = self._members()
        source = self._order.source(reading.node, members)
        reader = self._order.member(reading.node, members)
        for _ in range(SOURCE_TRIES):
            if source is None or source is reader:
                break
            if not await self._pull_from(source):
                break
            if self._reached(reading):
                return
            # Like this node, its source may just have heard of it.
            await asyncio.sleep(SOURCE_GAP_S)
        for _ in range(READER_TRIES):
            if reader is None:
                return
            if await self._pull_from(reader) and self._reached(reading):
                return

    def _reached(self, reading: Reading) -> bool:
        if self.book.revision < reading.revision:
            return False
        self._caught_up(reading)
        return True

    async def _list_at_start(self) -> None:
        """List until something is known.

        The store may never answer a call, so the next does not wait for it.
        """
        calls: set[asyncio.Task] = set()
        next_at = self._clock()
        try:
            while not self.book.revision:
                now = self._clock()
                if now >= next_at and len(calls) < FIRST_CALLS:
                    rank, _ = self._rank()
                    next_at = now + self._takeover.first_gap_s(rank)
                    call = asyncio.ensure_future(self._try_list())
                    logs.watch(call)
                    calls.add(call)
                    call.add_done_callback(calls.discard)
                await asyncio.sleep(FIRST_LOOK_S)
        finally:
            for call in calls:
                call.cancel()

    async def _try_list(self) -> None:
        try:
            await self._list(may_be_old=True)
            self._note_store(None)
        except PlatformError as exc:
            self._metrics.count('store_retries', type(exc).__name__)
            self._note_store(exc)

    async def _ask_peers(self) -> None:
        """Wait a moment for peers and take over what some of them hold."""
        until = self._clock() + FIRST_PEERS_S
        while len(self._members()) < 2 and self._clock() < until:
            await asyncio.sleep(FIRST_LOOK_S)
        members = self._members()
        peers = self._order.near(members) or [
            member for member in members if member.node != self._node
        ]
        for member in self._rng.sample(peers, min(START_PEERS, len(peers))):
            await self._pull_from(member)

    async def _pull_from(self, member: Member) -> bool:
        request = Pull(self.book.digest(), kind=self.kind)
        try:
            delta = await self._pull(member, request)
        except PeerUnavailableError as exc:
            self._metrics.count('mirror_pulls', 'peer_unavailable')
            logs.change(
                'pull_failed',
                kind=self.kind,
                peer=member.node,
                error=str(exc),
                cause=repr(exc.__cause__),
            )
            return False
        self._metrics.count('mirror_pulls', 'answered')
        self._took(self.book.apply_delta(delta))
        return True
