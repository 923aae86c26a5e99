"""Send sub-requests to targets directly, or in batches through helper nodes.

A helper node sends the sub-requests to the targets and returns the results.
"""

from __future__ import annotations

import typing

from ..messages import LoadReport
from ..messages import Member
from ..placement.relays import NO_RELAYS
from ..placement.relays import RelayRole
from ..types import NodeId
from ..types import Outcome
from .attempts import Send
from .attempts import SendReason
from .attempts import SubRequestFailure
from .delegation import BatchItem
from .delegation import BatchNo
from .delegation import BatchResults
from .delegation import DelegatedBatch
from .delegation import ItemResult
from .delegation import LoadFigures
from .deps import Deps
from .exchange import Result
from .replica_choice import Token
from .routes import Repeat
from .run import Arrival
from .run import Run
from .targets import DepartureSource


# How sub-requests to targets with relays are counted, by who sends them. A
# relay that sends by itself counts as that relay.
_RELAYED_BY = {
    RelayRole.FIRST: 'first',
    RelayRole.SECOND: 'second',
    RelayRole.OTHER: 'other',
    RelayRole.UNRELAYED: 'direct',
}


class HelperBatch:
    """Track one batch of sub-requests that was sent to a helper node.

    The field open holds the sub-requests without a result, by their number in
    the batch. The helper node filters the records of a query: it drops those
    that other replies of the batch push out of the top_k greatest. If this
    node leaves one of these replies unused, filtered_unusable is set. Filtered
    records are then no longer merged, because some of the top_k are possibly
    missing.
    """

    def __init__(self, node: NodeId, no: BatchNo):
        self.node = node
        self.no = no
        self.open: dict[int, tuple[Send, Token]] = {}
        self.filtered_unusable = False


class DelegatingRun(Run):
    """Send a request's sub-requests, some of them through helper nodes.

    Subclasses decide which ones, add to the message of a batch, and pass its
    successful results to the plan.
    """

    def __init__(self, deps: Deps, arrival: Arrival):
        super().__init__(deps, arrival)
        self._unsent_batches: dict[tuple[NodeId, bool], list[Send]] = {}
        self._helpers: dict[NodeId, Member] = {}
        self._open_batches: dict[BatchNo, HelperBatch] = {}
        self._lacks_connection = False

    def _choose_helper(self, send: Send) -> Member | None:
        """Return the helper node for a sub-request; None to send it directly.

        This node can't send it itself if its connections to all targets are
        lost, or if this target has just refused one. Where new connections are
        refused by all targets, the next one would refuse too, so a request
        that lacked one connection goes through helpers from then on.

        Where the target has relays, one of them sends. A request on trial is
        sent directly all the same, so that this node sees whether the
        connection breaks.
        """
        tools = self._tools
        target = tools.policy.targets.get(send.target_id)
        if target is None:
            return None
        delegation = self._deps.delegation
        relays = tools.relays.get(target.id)
        now = tools.clock()
        if (
            tools.links.is_lost
            or self._lacks_connection
            or tools.pools.is_unreachable(target.id)
        ):
            return delegation.choose_helper(
                target.zone, now, True, relays or NO_RELAYS
            )
        if relays is None or self._is_on_trial():
            return None
        role, member = delegation.choose_relay(relays, target.zone, now)
        tools.metrics.count('relayed', _RELAYED_BY[role])
        return member

    def _is_on_trial(self) -> bool:
        return self._sub.on_trial

    def _make_batch(
        self, no: BatchNo, is_first: bool, sends: list[Send], now: float
    ) -> DelegatedBatch:
        """Return the message of a batch; subclasses add their own fields."""
        sub = self._sub
        return DelegatedBatch(
            no,
            sub.request_id,
            sub.route,
            sub.method,
            sub.identity.subject,
            sub.head,
            sub.identity.body,
            max(1, int((self._deadline_at - now) * 1_000)),
            0,
            tuple(
                BatchItem(index, send.target_id)
                for index, send in enumerate(sends)
            ),
            is_first,
            priority=self._route.priority,
            on_trial=sub.on_trial,
            share_group=sub.share_group,
        )

    def _apply_helper_reply(
        self,
        batch: HelperBatch,
        send: Send,
        end: ItemResult,
        is_wanted: bool,
        now: float,
    ) -> list:
        raise NotImplementedError

    def _perform(self, actions: typing.Iterable) -> None:
        super()._perform(actions)
        if self._unsent_batches:
            batches, self._unsent_batches = self._unsent_batches, {}
            for (node, is_first), sends in batches.items():
                self._send_batch(self._helpers[node], is_first, sends)

    def _send(self, send: Send) -> None:
        helper = self._choose_helper(send)
        if helper is None:
            super()._send(send)
            return
        self._helpers[helper.node] = helper
        key = helper.node, send.reason is SendReason.FIRST
        self._unsent_batches.setdefault(key, []).append(send)

    def _send_batch(
        self, helper: Member, is_first: bool, sends: list[Send]
    ) -> None:
        if self._is_over:
            return
        now = self._tools.clock()
        no = self._deps.delegates.next_batch_no()
        batch = self._open_batches[no] = HelperBatch(helper.node, no)
        selector = self._tools.policy.selector
        for index, send in enumerate(sends):
            token = selector.sent(
                send.target_id, self._route.name, now, through_helper=True
            )
            batch.open[index] = send, token
        self._deps.delegates.send_batch(
            helper,
            self._make_batch(no, is_first, sends, now),
            lambda parts: self._on_helper_message(batch, parts),
        )

    def _on_exchange_end(
        self, send: Send, number: int, result: Result
    ) -> None:
        self._lacks_connection |= result.no_connection
        super()._on_exchange_end(send, number, result)

    def _on_helper_message(
        self, batch: HelperBatch, parts: BatchResults | None
    ) -> None:
        if parts is None:
            ends = [
                ItemResult(index, SubRequestFailure.FAILED)
                for index in batch.open
            ]
            self._apply_item_results(batch, ends, Outcome.CANCELLED)
            return
        self._record_figures(parts.figures)
        self._apply_item_results(batch, parts.item_results, Outcome.ERROR)

    def _record_figures(self, figures: tuple[LoadFigures, ...]) -> None:
        now = self._tools.clock()
        for one in figures:
            if one.pace <= 0 or min(one.running, one.waiting, one.age_ms) < 0:
                continue
            report = LoadReport(one.running, one.waiting, pace=one.pace)
            is_newer = self._tools.policy.selector.reported_elsewhere(
                one.target_id, report, now - one.age_ms / 1_000
            )
            self._tools.metrics.count(
                'load_figures', 'newer' if is_newer else 'older'
            )

    def _is_needed(self, batch: HelperBatch, end: ItemResult) -> bool:
        opened = batch.open.get(end.no)
        return opened is not None and self._needs_result(opened[0])

    def _apply_item_results(
        self,
        batch: HelperBatch,
        ends: typing.Sequence[ItemResult],
        failure: Outcome,
    ) -> None:
        now = self._tools.clock()
        if any(end.no_links for end in ends):
            # Retries of these sub-requests must go through other nodes.
            self._deps.delegation.record_no_links(batch.node, now)
            self._tools.metrics.count('helpers_without_links')
        # The records in a helper node's message are merged from all its
        # results. So each result that was needed when the message arrived is
        # counted in the answer, even if an earlier one in the message ends the
        # query.
        wanted = {end.no for end in ends if self._is_needed(batch, end)}
        actions: list = []
        for end in ends:
            opened = batch.open.pop(end.no, None)
            if opened is None:
                continue
            send, token = opened
            outcome = Outcome.OK if end.end is None else failure
            if end.no_links:
                outcome = Outcome.CANCELLED
            self._tools.policy.selector.ended(token, outcome, now)
            actions += self._apply_item_result(
                batch, send, end, end.no in wanted, now
            )
        if not batch.open:
            self._open_batches.pop(batch.no, None)
            self._deps.delegates.finish_batch(batch.node, batch.no, True)
        self._perform(actions)

    def _apply_item_result(
        self,
        batch: HelperBatch,
        send: Send,
        end: ItemResult,
        is_wanted: bool,
        now: float,
    ) -> list:
        if end.leaving:
            self._tools.on_leaving(send.target_id, DepartureSource.HELPER)
        if end.rest_s > 0.0:
            self._tools.policy.selector.back_off(
                send.target_id, end.rest_s, now
            )
        if end.no_permit_s > 0.0:
            self._tools.policy.limits.record_none_left(
                send.target_id, self._route.priority, end.no_permit_s, now
            )
        if end.end is None:
            return self._apply_helper_reply(batch, send, end, is_wanted, now)
        failure = end.end
        if end.no_links:
            failure = SubRequestFailure.NO_LINKS
        elif end.no_permit_s > 0.0:
            failure = SubRequestFailure.NO_PERMIT
        return self._apply_helper_failure(batch, send, failure, now)

    def _apply_helper_failure(
        self,
        batch: HelperBatch,
        send: Send,
        failure: SubRequestFailure,
        now: float,
    ) -> list:
        self._record_failure(send, failure, batch.node)
        return self._plan_failed(send, failure, now)

    def _plan_failed(
        self, send: Send, failure: SubRequestFailure, now: float
    ) -> list:
        raise NotImplementedError

    def _release(self, was_served: bool = False) -> None:
        super()._release(was_served)
        now = self._tools.clock()
        # A request that must not run twice goes on at its target, as if this
        # node had sent it: nobody else may send it again.
        may_run_on = self._route.repeat is Repeat.ONCE
        for batch in tuple(self._open_batches.values()):
            for _, token in batch.open.values():
                self._tools.policy.selector.ended(
                    token, Outcome.CANCELLED, now
                )
            self._deps.delegates.finish_batch(batch.node, batch.no, may_run_on)
        self._open_batches.clear()
