"""Check this node's connections to targets, and tell the other nodes."""

from __future__ import annotations

import asyncio
import typing

from .. import logs
from ..metrics import Metrics
from ..types import Clock
from .pools import ConnectCheck
from .pools import Pools
from .replica_choice import ReplicaSelector
from .target_links import CHECK_DELAY_S
from .target_links import LinkState
from .target_links import TargetLinks
from .targets import TargetTable

# If no target has sent anything for this time, although a sub-request waits
# for its reply, targets are checked. Single targets pause for up to 0.12 s.
SILENT_AFTER_S = 0.15


class LinkWatch:
    """Open the connections that TargetLinks wants to see checked.

    publish is called with False when all connections are lost, and with True
    when they are back.
    """

    def __init__(
        self,
        links: TargetLinks,
        pools: Pools,
        targets: TargetTable,
        selector: ReplicaSelector,
        publish: typing.Callable[[bool], None],
        metrics: Metrics,
        clock: Clock,
    ):
        self._links = links
        self._pools = pools
        self._targets = targets
        self._selector = selector
        self._publish = publish
        self._metrics = metrics
        self._clock = clock
        self._silence_timer: asyncio.TimerHandle | None = None
        self._waiting: list[typing.Callable[[], None]] = []
        links.on_change = self._on_change
        links.on_settled = self._on_settled
        links.has_open = lambda: pools.has_open

    def on_failure(self, silent_since: float, was_open: bool) -> None:
        """Have targets checked, unless one answers in the meantime.

        was_open is False if the connection could not be opened.
        """
        now = self._clock()
        if self._links.record_failure(silent_since, now, was_open):
            asyncio.get_running_loop().call_later(CHECK_DELAY_S, self._check)

    def on_contact(self) -> None:
        """Record that a target replied or accepted a connection."""
        self._links.record_contact(self._clock())

    def on_sent(self) -> None:
        """Look in a while whether any target has replied since.

        Called for each sub-request that this node sends to a target.
        """
        if self._silence_timer is None:
            self._arm_silence_timer(SILENT_AFTER_S)

    def _arm_silence_timer(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._silence_timer = loop.call_later(delay_s, self._check_silence)

    def _check_silence(self) -> None:
        self._silence_timer = None
        open_since = self._selector.oldest_open_at()
        if open_since is None:
            return
        left_s = open_since + SILENT_AFTER_S - self._clock()
        if left_s <= 0.0:
            self.on_failure(open_since, was_open=True)
        self._arm_silence_timer(left_s if left_s > 0.0 else SILENT_AFTER_S)

    def when_settled(self, act: typing.Callable[[], None]) -> None:
        """Call act once it is known whether all connections are lost.

        Until then, the failure of a target is perhaps this node's own.
        """
        if self._links.state is LinkState.SUSPECTED:
            self._waiting.append(act)
        else:
            act()

    def check_periodically(self) -> None:
        """Check a few targets while all connections are lost."""
        if self._links.is_lost:
            self._check()

    def _check(self) -> None:
        now = self._clock()
        for target_id in self._links.targets_to_check(self._targets, now):
            self._pools.probe(target_id, self._on_checked)

    def _on_checked(self, reach: ConnectCheck) -> None:
        # A target that accepts was reported through on_contact().
        if reach is ConnectCheck.ACCEPTS:
            return
        is_refusal = reach is ConnectCheck.REFUSES
        if self._links.check_failed(is_refusal):
            self._check()

    def _on_settled(self) -> None:
        waiting, self._waiting = self._waiting, []
        for act in waiting:
            act()

    def _on_change(self, is_lost: bool, for_s: float) -> None:
        self._metrics.count('links', 'lost' if is_lost else 'back')
        if is_lost:
            logs.log_event(
                'links_lost',
                no_reply_s=round(for_s, 3),
                checked=self._links.checked,
                targets=len(self._targets),
            )
            self._selector.forget_silences()
        else:
            logs.log_event('links_back', after_s=round(for_s, 3))
        self._publish(not is_lost)
