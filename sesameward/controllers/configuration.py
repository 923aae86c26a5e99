"""Keep this node's copy of the declared configuration up to date."""

from __future__ import annotations

import asyncio
import collections.abc
import functools
import itertools
import random

from .. import logs
from ..background import keep_running
from ..configuration import declared
from ..configuration.objects import ObjectReplica
from ..configuration.platform_client import PlatformClient
from ..configuration.spread import Backoff
from ..configuration.spread import PullTree
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

# A hint is a rumor with this topic and key. It names the newest revision of
# the configuration and an agent that has it.
HINT_TOPIC = 'config'
HINT_KEY = 'revision'
HINT_TTL_S = 30.0

WATCH_LONG_POLL_S = 30.0
WATCH_PAUSE_S = 0.25
# How often an agent that does not watch the store checks whether it has become
# one of the agents of its zone that do.
ROLE_CHECK_PERIOD_S = 2.0
BACKOFF_BASE_S = 0.5
BACKOFF_CAP_S = 30.0
RECONCILE_PERIOD_S = 10.0
BOOT_PEERS = 3
# An agent that doesn't watch the store lists its objects only after more than
# this many failed attempts to load them from other agents.
BOOT_PEER_TRIES = 5
# How long a pull, another agent's request for objects, waits at most for a
# revision that this node does not have yet.
MAX_PULL_HOLD_S = 1.0
# An agent that watches the store waits this long for its own watch to deliver
# a hinted revision before it pulls the revision from another agent.
WATCHER_PULL_DELAY_S = 1.0
# If another agent has different objects at the same revision, this node lists
# the store, but not again within this time.
RELIST_MIN_INTERVAL_S = 60.0
# The longest pause before a background loop restarts after an exception.
MAX_RESTART_PAUSE_S = 2.0
PULL_TRIES = 8
PULL_RETRY_PAUSE_S = 0.2
MAX_HELD_PULLS = 64

PullFrom = collections.abc.Callable[
    [Member, Pull], collections.abc.Awaitable[Delta]
]
OnChange = collections.abc.Callable[[list[StoredObject]], None]


class Configuration:
    """Copy the declared objects from the store or from other agents.

    A few agents of each zone watch the store; the others pull new revisions
    from agents that have them. An older revision never replaces a newer one.
    """

    def __init__(
        self,
        node: NodeId,
        pull_tree: PullTree,
        platform: PlatformClient,
        pull: PullFrom,
        members: collections.abc.Callable[
            [], collections.abc.Sequence[Member]
        ],
        publish: collections.abc.Callable[[Rumor], None],
        metrics: Metrics,
        rng: random.Random,
    ):
        self.replica = ObjectReplica(metrics)
        self._node = node
        self._pull_tree = pull_tree
        self._platform = platform
        self._pull = pull
        self._members = members
        self._publish = publish
        self._metrics = metrics
        self._rng = rng
        self._callbacks: list[OnChange] = []
        # Called when the revision advances and no object changes. The agent
        # sets it.
        self.on_same_objects: collections.abc.Callable[[], None] = lambda: None
        self._tasks: list[asyncio.Task] = []
        self._revision_advanced = asyncio.Event()
        self._hint_received = asyncio.Event()
        self._newest_hint = Rumor(HINT_TOPIC, HINT_KEY, 0)
        self._held_pulls = 0
        self._watching = False
        self._next_relist_at = 0.0
        self.ready = asyncio.Event()

    @property
    def revision(self) -> Revision:
        """Return the newest revision up to which this node has all changes."""
        return self.replica.revision

    @property
    def watching(self) -> bool:
        """Return whether this node watches the store itself."""
        return self._watching

    def on_change(self, callback: OnChange) -> None:
        """Register a callback that receives the objects that changed."""
        self._callbacks.append(callback)

    def start(self) -> None:
        """Start the background loops that keep the objects up to date.

        They load the objects once, watch the store, pull revisions that
        rumors announce, and compare the objects with those of other agents.
        """
        for run_loop in (
            self._boot,
            self._watch_store,
            self._follow_hints,
            self._reconcile,
        ):
            self._tasks.append(
                asyncio.ensure_future(
                    keep_running(
                        run_loop,
                        functools.partial(
                            self._record_fault, run_loop.__name__
                        ),
                        self._rng,
                        MAX_RESTART_PAUSE_S,
                    )
                )
            )

    async def stop(self) -> None:
        """Cancel the background loops and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def handle_hint(self, rumor: Rumor) -> None:
        """Handle a rumor that another agent has a newer revision."""
        if rumor.topic != HINT_TOPIC or rumor.key != HINT_KEY:
            return
        if rumor.version > max(self.revision, self._newest_hint.version):
            self._newest_hint = rumor
            self._hint_received.set()

    async def answer_pull(self, request: Pull) -> Delta:
        """Return the objects that the requesting agent lacks.

        If this node does not have the wanted revision yet, wait for it up to
        the request's wait_s, but at most MAX_PULL_HOLD_S.
        """
        if request.wanted > self.revision and request.wait_s > 0.0:
            await self._hold_pull(request.wanted, request.wait_s)
        return self.replica.delta(request.digest, request.after)

    async def _hold_pull(self, wanted: Revision, wait_s: float) -> None:
        if self._held_pulls >= MAX_HELD_PULLS:
            self._metrics.count('config_refused', 'too_many_held_pulls')
            return
        self._held_pulls += 1
        try:
            async with asyncio.timeout(min(wait_s, MAX_PULL_HOLD_S)):
                while self.revision < wanted:
                    await self._revision_advanced.wait()
        except TimeoutError:
            self._metrics.count('config_pulls', 'held_in_vain')
        finally:
            self._held_pulls -= 1

    def _after_update(
        self, old_revision: Revision, changed: list[StoredObject]
    ) -> None:
        if self.revision > old_revision:
            advanced, self._revision_advanced = (
                self._revision_advanced,
                asyncio.Event(),
            )
            advanced.set()
        if changed:
            logs.log_event(
                'config_in_force',
                revision=self.revision,
                objects=[f'{o.kind}/{o.name}@{o.revision}' for o in changed],
            )
            self._metrics.count('config_changes', amount=len(changed))
        if self.revision > 0:
            self.ready.set()
        for callback in self._callbacks if changed else ():
            self._run_callback(callback, changed)
        if self.revision > old_revision and not changed:
            self.on_same_objects()

    def _run_callback(
        self, callback: OnChange, changed: list[StoredObject]
    ) -> None:
        # The other callbacks must get the change even if this one fails.
        try:
            callback(changed)
        except Exception as exc:
            self._record_fault('callback', exc)

    def _record_fault(self, where: str, exc: Exception) -> None:
        self._metrics.count('config_faults', type(exc).__name__)
        logs.log_event('config_fault', where=where, error=str(exc))

    def _publish_hint(self) -> None:
        rumor = Rumor(
            HINT_TOPIC,
            HINT_KEY,
            self.revision,
            self._node.encode(),
            HINT_TTL_S,
            Urgency.CURRENT,
        )
        if rumor.version > self._newest_hint.version:
            self._newest_hint = rumor
        self._publish(rumor)

    # Methods for the first load of the objects, from agents or the store.

    async def _boot(self) -> None:
        backoff = Backoff(self._rng, BACKOFF_BASE_S, BACKOFF_CAP_S)
        for attempt in itertools.count():
            await self._boot_from_peers()
            if self.ready.is_set():
                return
            # At first, only agents that watch the store list its objects. If
            # all agents of a starting fleet did, the store would be
            # overloaded.
            watches = self._pull_tree.watches(self._members())
            if watches or attempt >= BOOT_PEER_TRIES:
                await self._try_list_store()
            if self.ready.is_set():
                return
            await asyncio.sleep(backoff.next_s())

    async def _boot_from_peers(self) -> None:
        peers = self._pull_tree.sample_others(self._members(), BOOT_PEERS)
        pulls = [self._pull_from(peer) for peer in peers]
        await asyncio.gather(*pulls)

    async def _try_list_store(self) -> None:
        try:
            await self._list_store()
        except PlatformError as exc:
            self._metrics.count('config_retries', type(exc).__name__)

    # Methods that watch the store or list its objects.

    async def _watch_store(self) -> None:
        backoff = Backoff(self._rng, BACKOFF_BASE_S, BACKOFF_CAP_S)
        seen_through = Revision(0)
        await self.ready.wait()
        while True:
            self._set_watching(self._pull_tree.watches(self._members()))
            if not self._watching:
                seen_through = Revision(0)
                await asyncio.sleep(
                    self._rng.uniform(0.5, 1.0) * ROLE_CHECK_PERIOD_S
                )
                continue
            try:
                seen_through = await self._watch_once(seen_through)
            except PlatformError as exc:
                self._metrics.count('config_retries', type(exc).__name__)
                await asyncio.sleep(backoff.next_s())
            else:
                backoff.reset()
                await asyncio.sleep(WATCH_PAUSE_S)

    async def _watch_once(self, seen_through: Revision) -> Revision:
        since = max(seen_through, self.revision)
        try:
            through, events = await self._platform.watch(
                declared.KINDS, since, WATCH_LONG_POLL_S
            )
        except CompactedError:
            return await self._list_store()
        if events:
            self._apply_events(events)
        return through

    def _apply_events(self, events: list[StoredObject]) -> None:
        old_revision = self.revision
        newest = max(event.revision for event in events)
        self._after_update(old_revision, self.replica.apply(events, newest))
        if self.revision > old_revision:
            self._publish_hint()

    async def _list_store(self) -> Revision:
        objects: list[StoredObject] = []
        revisions = []
        for kind in declared.KINDS:
            revision, listed = await self._platform.list(kind)
            revisions.append(revision)
            objects += listed
        old_revision = self.revision
        changed = self.replica.replace(objects, min(revisions))
        self._after_update(old_revision, changed)
        self.ready.set()
        if changed:
            self._publish_hint()
        return min(revisions)

    def _set_watching(self, watching: bool) -> None:
        if watching != self._watching:
            self._watching = watching
            logs.log_event('config_watching', watching=watching)

    # Methods that pull objects from other agents.

    async def _follow_hints(self) -> None:
        while True:
            await self._hint_received.wait()
            self._hint_received.clear()
            await self._pull_hinted_revision()

    async def _pull_hinted_revision(self) -> None:
        if self._watching:
            await asyncio.sleep(WATCHER_PULL_DELAY_S)
        if self.revision >= self._newest_hint.version:
            return
        for attempt in range(PULL_TRIES):
            members = self._members()
            origin = NodeId(self._newest_hint.body.decode(errors='replace'))
            peer = self._pull_tree.parent(members, origin)
            if attempt or peer is None:
                peer = next(
                    iter(self._pull_tree.sample_others(members, 1)), None
                )
            if peer is not None:
                await self._pull_from(
                    peer, Revision(self._newest_hint.version)
                )
            if self.revision >= self._newest_hint.version:
                return
            pause_s = PULL_RETRY_PAUSE_S * 2.0 ** min(attempt, 4)
            await asyncio.sleep(self._rng.uniform(0.0, pause_s))
        # Drop the hint, because no agent had its revision. If that revision
        # does not exist, the hint would hide correct ones of lower revisions.
        self._metrics.count('config_pulls', 'gave_up')
        self._newest_hint = Rumor(HINT_TOPIC, HINT_KEY, self.revision)

    async def _reconcile(self) -> None:
        while True:
            await asyncio.sleep(
                self._rng.uniform(0.5, 1.5) * RECONCILE_PERIOD_S
            )
            for peer in self._pull_tree.sample_others(self._members(), 1):
                await self._pull_from(peer)

    async def _pull_from(
        self, peer: Member, wanted: Revision = Revision(0)
    ) -> None:
        wait_s = MAX_PULL_HOLD_S if wanted else 0.0
        request = Pull(self.replica.digest(), wanted, wait_s)
        try:
            delta = await self._pull(peer, request)
        except PeerUnavailableError:
            self._metrics.count('config_retries', 'peer_unavailable')
            return
        self._metrics.count('config_pulls', 'answered')
        old_revision = self.revision
        self._after_update(old_revision, self.replica.apply_delta(delta))
        if not self.replica.is_consistent_with(delta):
            await self._relist_store()

    async def _relist_store(self) -> None:
        self._metrics.count('config_pulls', 'mismatch')
        now = asyncio.get_running_loop().time()
        if now < self._next_relist_at:
            return
        self._next_relist_at = now + RELIST_MIN_INTERVAL_S
        await self._try_list_store()
