"""Keep the declared objects in force on this node."""

from __future__ import annotations

import asyncio
import collections.abc
import itertools
import random

from .. import logs
from ..configuration import declared
from ..configuration.objects import ObjectBook
from ..configuration.platform_client import PlatformClient
from ..configuration.spread import Backoff
from ..configuration.spread import Spread
from ..exceptions import CompactedError
from ..exceptions import PeerUnavailableError
from ..exceptions import PlatformError
from ..messages import Delta
from ..messages import Member
from ..messages import Pull
from ..messages import Rumor
from ..messages import StoredObject
from ..messages import Urgency
from ..metrics import Metrics
from ..types import NodeId
from ..types import Revision

TOPIC = 'config'
HINT_KEY = 'revision'
HINT_TTL_S = 30.0

WATCH_WAIT_S = 30.0
WATCH_GAP_S = 0.25
ROLE_S = 2.0
BACKOFF_BASE_S = 0.5
BACKOFF_CAP_S = 30.0
RECONCILE_S = 10.0
BOOT_PEERS = 3
BOOT_PEER_TRIES = 5
PULL_WAIT_S = 1.0
WATCHER_PATIENCE_S = 1.0
RELIST_S = 60.0
FAULT_S = 2.0
PULL_TRIES = 8
PULL_PAUSE_S = 0.2
MAX_HELD_PULLS = 64

PullFrom = collections.abc.Callable[
    [Member, Pull], collections.abc.Awaitable[Delta]
]
OnChange = collections.abc.Callable[[list[StoredObject]], None]


class Configuration:
    """Watch the store or pull from other agents; never go back."""

    def __init__(
        self,
        node: NodeId,
        spread: Spread,
        platform: PlatformClient,
        pull: PullFrom,
        members: collections.abc.Callable[
            [], collections.abc.Sequence[Member]
        ],
        publish: collections.abc.Callable[[Rumor], None],
        metrics: Metrics,
        rng: random.Random,
    ):
        self.book = ObjectBook(metrics)
        self._node = node
        self._spread = spread
        self._platform = platform
        self._pull = pull
        self._members = members
        self._publish = publish
        self._metrics = metrics
        self._rng = rng
        self._callbacks: list[OnChange] = []
        self._tasks: list[asyncio.Task] = []
        self._advanced = asyncio.Event()
        self._hinted = asyncio.Event()
        self._hint = Rumor(TOPIC, HINT_KEY, 0)
        self._held_pulls = 0
        self._watching = False
        self._relist_at = 0.0
        self.ready = asyncio.Event()

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self.book.revision

    @property
    def watching(self) -> bool:
        """Tell whether this node watches the store."""
        return self._watching

    def on_change(self, callback: OnChange) -> None:
        """Call back with the objects newly in force."""
        self._callbacks.append(callback)

    def start(self) -> None:
        """Start to boot, watch, follow hints and reconcile."""
        for loop in (self._boot, self._watch, self._follow, self._reconcile):
            self._tasks.append(asyncio.ensure_future(self._keep_up(loop)))

    async def stop(self) -> None:
        """End all loops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _keep_up(
        self, loop: collections.abc.Callable[[], collections.abc.Awaitable]
    ) -> None:
        # A fault in one loop must not leave the node on an old revision.
        while True:
            try:
                return await loop()
            except Exception as exc:
                self._note_fault(loop.__name__, exc)
                await asyncio.sleep(self._rng.uniform(0.5, 1.0) * FAULT_S)

    def hear(self, rumor: Rumor) -> None:
        """Note that another agent has a higher revision."""
        if rumor.topic != TOPIC or rumor.key != HINT_KEY:
            return
        if rumor.version > max(self.revision, self._hint.version):
            self._hint = rumor
            self._hinted.set()

    async def answer(self, request: Pull) -> Delta:
        """Answer the pull of another agent."""
        if request.wanted > self.revision and request.wait_s > 0.0:
            await self._hold(request.wanted, request.wait_s)
        return self.book.delta(request.digest, request.after)

    async def _hold(self, wanted: Revision, wait_s: float) -> None:
        if self._held_pulls >= MAX_HELD_PULLS:
            self._metrics.count('config_refused', 'too_many_held_pulls')
            return
        self._held_pulls += 1
        try:
            async with asyncio.timeout(min(wait_s, PULL_WAIT_S)):
                while self.revision < wanted:
                    await self._advanced.wait()
        except TimeoutError:
            self._metrics.count('config_pulls', 'held_in_vain')
        finally:
            self._held_pulls -= 1

    def _took(self, before: Revision, changed: list[StoredObject]) -> None:
        if self.revision > before:
            advanced, self._advanced = self._advanced, asyncio.Event()
            advanced.set()
        if changed:
            logs.change(
                'config_in_force',
                revision=self.revision,
                objects=[f'{o.kind}/{o.name}@{o.revision}' for o in changed],
            )
            self._metrics.count('config_changes', amount=len(changed))
        if self.revision > 0:
            self.ready.set()
        for callback in self._callbacks if changed else ():
            self._call_back(callback, changed)

    def _call_back(
        self, callback: OnChange, changed: list[StoredObject]
    ) -> None:
        # The other callbacks must hear of the change all the same.
        try:
            callback(changed)
        except Exception as exc:
            self._note_fault('callback', exc)

    def _note_fault(self, where: str, exc: Exception) -> None:
        self._metrics.count('config_faults', type(exc).__name__)
        logs.change('config_fault', where=where, error=str(exc))

    def _tell(self) -> None:
        rumor = Rumor(
            TOPIC,
            HINT_KEY,
            self.revision,
            self._node.encode(),
            HINT_TTL_S,
            Urgency.CURRENT,
        )
        if rumor.version > self._hint.version:
            self._hint = rumor
        self._publish(rumor)

    # Boot.

    async def _boot(self) -> None:
        backoff = Backoff(self._rng, BACKOFF_BASE_S, BACKOFF_CAP_S)
        for attempt in itertools.count():
            await self._boot_from_peers()
            if self.ready.is_set():
                return
            # The others wait for their watchers, so that a fleet which starts
            # all at once doesn't fall upon the store.
            watches = self._spread.watches(self._members())
            if watches or attempt >= BOOT_PEER_TRIES:
                await self._list_or_count()
            if self.ready.is_set():
                return
            await asyncio.sleep(backoff.next_s())

    async def _boot_from_peers(self) -> None:
        peers = self._spread.others(self._members(), BOOT_PEERS)
        pulls = [self._pull_from(peer) for peer in peers]
        await asyncio.gather(*pulls)

    async def _list_or_count(self) -> None:
        try:
            await self._list()
        except PlatformError as exc:
            self._metrics.count('config_retries', type(exc).__name__)

    # The store.

    async def _watch(self) -> None:
        backoff = Backoff(self._rng, BACKOFF_BASE_S, BACKOFF_CAP_S)
        position = Revision(0)
        await self.ready.wait()
        while True:
            self._set_watching(self._spread.watches(self._members()))
            if not self._watching:
                position = Revision(0)
                await asyncio.sleep(self._rng.uniform(0.5, 1.0) * ROLE_S)
                continue
            try:
                position = await self._watch_once(position)
            except PlatformError as exc:
                self._metrics.count('config_retries', type(exc).__name__)
                await asyncio.sleep(backoff.next_s())
            else:
                backoff.reset()
                await asyncio.sleep(WATCH_GAP_S)

    async def _watch_once(self, position: Revision) -> Revision:
        since = max(position, self.revision)
        try:
            through, events = await self._platform.watch(
                declared.KINDS, since, WATCH_WAIT_S
            )
        except CompactedError:
            return await self._list()
        if events:
            self._take_events(events)
        return through

    def _take_events(self, events: list[StoredObject]) -> None:
        before = self.revision
        newest = max(event.revision for event in events)
        self._took(before, self.book.apply(events, newest))
        if self.revision > before:
            self._tell()

    async def _list(self) -> Revision:
        objects: list[StoredObject] = []
        revisions = []
        for kind in declared.KINDS:
            revision, listed = await self._platform.list(kind)
            revisions.append(revision)
            objects += listed
        before = self.revision
        changed = self.book.replace(objects, min(revisions))
        self._took(before, changed)
        self.ready.set()
        if changed:
            self._tell()
        return min(revisions)

    def _set_watching(self, watching: bool) -> None:
        if watching != self._watching:
            self._watching = watching
            logs.change('config_watching', watching=watching)

    # Other agents.

    async def _follow(self) -> None:
        while True:
            await self._hinted.wait()
            self._hinted.clear()
            await self._catch_up()

    async def _catch_up(self) -> None:
        if self._watching:
            await asyncio.sleep(WATCHER_PATIENCE_S)
        if self.revision >= self._hint.version:
            return
        for attempt in range(PULL_TRIES):
            members = self._members()
            origin = NodeId(self._hint.body.decode(errors='replace'))
            peer = self._spread.parent(members, origin)
            if attempt or peer is None:
                peer = next(iter(self._spread.others(members, 1)), None)
            if peer is not None:
                await self._pull_from(peer, Revision(self._hint.version))
            if self.revision >= self._hint.version:
                return
            pause_s = PULL_PAUSE_S * 2.0 ** min(attempt, 4)
            await asyncio.sleep(self._rng.uniform(0.0, pause_s))
        # Forget the hint, so that one false hint doesn't hide true ones.
        self._metrics.count('config_pulls', 'gave_up')
        self._hint = Rumor(TOPIC, HINT_KEY, self.revision)

    async def _reconcile(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * RECONCILE_S)
            for peer in self._spread.others(self._members(), 1):
                await self._pull_from(peer)

    async def _pull_from(
        self, peer: Member, wanted: Revision = Revision(0)
    ) -> None:
        wait_s = PULL_WAIT_S if wanted else 0.0
        request = Pull(self.book.digest(), wanted, wait_s)
        try:
            delta = await self._pull(peer, request)
        except PeerUnavailableError:
            self._metrics.count('config_retries', 'peer_unavailable')
            return
        self._metrics.count('config_pulls', 'answered')
        before = self.revision
        self._took(before, self.book.apply_delta(delta))
        if not self.book.agrees(delta):
            await self._relist()

    async def _relist(self) -> None:
        self._metrics.count('config_pulls', 'mismatch')
        now = asyncio.get_running_loop().time()
        if now < self._relist_at:
            return
        self._relist_at = now + RELIST_S
        await self._list_or_count()
