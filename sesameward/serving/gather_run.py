"""Run a query over shards and merge the replies.

Sub-requests to targets in another zone are sent in a batch to a helper node of
that zone, if one is usable. The helper node sends them to the targets and
returns only those records of the replies that can be among the top_k greatest.
"""

from __future__ import annotations

import typing

from . import gather
from ..messages import Member
from ..types import NodeId
from ..types import Outcome
from ..types import ServiceName
from .attempts import Send
from .attempts import SendReason
from .attempts import SubRequestFailure
from .delegation import BatchItem
from .delegation import BatchNo
from .delegation import BatchResults
from .delegation import DelegatedBatch
from .delegation import ItemResult
from .delegation import MarkSentElsewhere
from .deps import add_retry_after
from .deps import Deps
from .exchange import Result
from .gather import Gather
from .gather import Trial
from .http_server import Answer
from .replica_choice import Token
from .routes import Shards
from .run import Arrival
from .run import Run
from .targets import DepartureSource
from .topk import Greatest

# Assumed upper bound of the network time for one way between a caller and this
# node. The actual time is 1 ms in one deployment and 3 ms in the other. The
# time of all trips is subtracted from the latency objective, so that a partial
# answer reaches the caller within the objective.
CALLER_ONE_WAY_S = 0.003
# Assumed time from the decision to answer until the last byte of the answer is
# sent. Like the time of the network trips, it is subtracted from the latency
# objective.
ANSWER_SEND_S = 0.003


class _HelperBatch:
    """Track one batch of sub-requests that was sent to a helper node.

    The field open holds the sub-requests without a result, by their number in
    the batch. The helper node filters the records: it drops those that other
    replies of the batch push out of the top_k greatest. If this node leaves
    one of these replies unused, filtered_unusable is set. Filtered records are
    then no longer merged, because some of the top_k are possibly missing.
    """

    def __init__(self, node: NodeId, no: BatchNo):
        self.node = node
        self.no = no
        self.open: dict[int, tuple[Send, Token]] = {}
        self.filtered_unusable = False


class GatherRun(Run):
    """Send a query to its shards, some through helper nodes; merge replies."""

    def __init__(self, deps: Deps, arrival: Arrival):
        super().__init__(deps, arrival)
        req, route = arrival.req, arrival.route
        self._shards = typing.cast(Shards, route.destination)
        self._signatures: list[bytes] = []
        self._greatest = Greatest(self._shards.top_k)
        self._unsent_batches: dict[tuple[NodeId, bool], list[Send]] = {}
        self._helpers: dict[NodeId, Member] = {}
        self._open_batches: dict[BatchNo, _HelperBatch] = {}
        # Network trips between the caller and this node: the request and the
        # answer; before the first request of a connection also the two trips
        # of the TCP handshake.
        one_way_trips = 4 if req.is_first_on_connection else 2
        cutoff_s = (
            route.objective_s
            - one_way_trips * CALLER_ONE_WAY_S
            - ANSWER_SEND_S
        )
        self._plan = Gather(
            route,
            self._tools.policy,
            min(req.arrived_at + cutoff_s, self._deadline_at),
            self._deadline_at,
            self._trial(arrival),
        )

    def _trial(self, arrival: Arrival) -> Trial | None:
        if not arrival.on_trial:
            return None
        service_names = self._tools.crashes.crashed_services(arrival.identity)
        return Trial(frozenset(ServiceName(place) for place in service_names))

    def _perform(self, actions: typing.Iterable) -> None:
        super()._perform(actions)
        if self._unsent_batches:
            batches, self._unsent_batches = self._unsent_batches, {}
            for (node, is_first), sends in batches.items():
                self._send_batch(self._helpers[node], is_first, sends)

    def _send(self, send: Send) -> None:
        if send.reason is not SendReason.FIRST:
            self._notify_helpers_of_repeat(send.shard)
        target = self._tools.policy.targets.get(send.target_id)
        helper = None
        # A query on trial is sent to its target directly, so that this node
        # sees whether the connection breaks.
        if target is not None and not self._plan.on_trial:
            helper = self._deps.delegation.choose_helper(
                target.zone, self._tools.clock()
            )
        if helper is None:
            super()._send(send)
            return
        self._helpers[helper.node] = helper
        key = helper.node, send.reason is SendReason.FIRST
        self._unsent_batches.setdefault(key, []).append(send)

    def _needs_result(self, send: Send) -> bool:
        return self._plan.needs_result(send.shard)

    def _is_held(self, send: Send) -> bool:
        return self._plan.is_held(send.attempt)

    def _apply_result(self, send: Send, result: Result, now: float) -> list:
        if result.end is not None or result.reply is None:
            end = self._record_failure(send, result.end)
            return self._plan.failed(send.shard, send.attempt, end, now)
        if self._plan.needs_result(send.shard):
            self._signatures.append(result.signature or b'')
            self._greatest.add(result.reply.body)
        return self._plan.replied(send.shard, send.attempt, now)

    # Sub-requests sent through helper nodes.

    def _send_batch(
        self, helper: Member, is_first: bool, sends: list[Send]
    ) -> None:
        if self._is_over:
            return
        tools = self._tools
        now = tools.clock()
        no = self._deps.delegates.next_batch_no()
        batch = self._open_batches[no] = _HelperBatch(helper.node, no)
        selector = tools.policy.selector
        for index, send in enumerate(sends):
            token = selector.sent(
                send.target_id, self._route.name, now, through_helper=True
            )
            batch.open[index] = send, token
        sub = self._sub
        message = DelegatedBatch(
            no,
            sub.request_id,
            sub.route,
            sub.method,
            sub.identity.subject,
            sub.head,
            sub.identity.body,
            max(1, int((self._deadline_at - now) * 1_000)),
            self._shards.top_k,
            tuple(
                BatchItem(index, send.target_id)
                for index, send in enumerate(sends)
            ),
            is_first,
            self._greatest.floor,
            self._route.priority,
        )
        self._deps.delegates.send_batch(
            helper,
            message,
            lambda parts: self._on_helper_message(batch, parts),
        )

    def _notify_helpers_of_repeat(self, shard: int) -> None:
        """Send MarkSentElsewhere to helpers with open sub-requests to a shard.

        The shard's sub-request is now repeated, and the reply to the repeat is
        possibly used instead of the helper node's. So the helper node must not
        drop records of other shards because this shard has greater ones.
        """
        for batch in self._open_batches.values():
            for index, (send, _) in batch.open.items():
                if send.shard == shard:
                    self._deps.delegates.send_message(
                        batch.node,
                        MarkSentElsewhere(
                            batch.no, index, self._greatest.floor
                        ),
                    )

    def _on_helper_message(
        self, batch: _HelperBatch, parts: BatchResults | None
    ) -> None:
        if parts is None:
            ends = [
                ItemResult(index, SubRequestFailure.FAILED)
                for index in batch.open
            ]
            self._apply_item_results(batch, ends, Outcome.CANCELLED)
            return
        filtered = [
            end
            for end in parts.item_results
            if end.end is None and end.whole is None
        ]
        # A query returns the top_k greatest records of all shards. A helper
        # node drops records that other replies of its batch push out of the
        # top_k. If this node does not use one of these replies, the filtered
        # ones of the batch possibly lack records that belong to the top_k, so
        # they count as failed from now on.
        if any(not self._is_needed(batch, end) for end in filtered):
            batch.filtered_unusable = True
        if filtered and not batch.filtered_unusable:
            self._greatest.add(parts.records)
        self._apply_item_results(batch, parts.item_results, Outcome.ERROR)

    def _is_needed(self, batch: _HelperBatch, end: ItemResult) -> bool:
        opened = batch.open.get(end.no)
        return opened is not None and self._plan.needs_result(opened[0].shard)

    def _apply_item_results(
        self,
        batch: _HelperBatch,
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
        batch: _HelperBatch,
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
        if end.end is not None:
            failure = end.end
            if end.no_links:
                failure = SubRequestFailure.NO_LINKS
            elif end.no_permit_s > 0.0:
                failure = SubRequestFailure.NO_PERMIT
            self._record_failure(send, failure, batch.node)
            return self._plan.failed(send.shard, send.attempt, failure, now)
        if end.whole is None and batch.filtered_unusable:
            self._tools.metrics.count('parts_unusable')
            self._record_failure(send, SubRequestFailure.FAILED, batch.node)
            return self._plan.failed(
                send.shard, send.attempt, SubRequestFailure.FAILED, now
            )
        if is_wanted:
            self._signatures.append(end.signature)
            if end.whole is not None:
                self._greatest.add(end.whole)
        service = self._shards.services[send.shard]
        self._tools.crashes.target_survived(self._sub.identity, service, now)
        return self._plan.replied(send.shard, send.attempt, now)

    def _release(self) -> None:
        super()._release()
        now = self._tools.clock()
        for batch in tuple(self._open_batches.values()):
            for _, token in batch.open.values():
                self._tools.policy.selector.ended(
                    token, Outcome.CANCELLED, now
                )
            self._deps.delegates.finish_batch(batch.node, batch.no, False)
        self._open_batches.clear()

    def _finish(self, action: gather.Finish) -> None:
        shard_count = len(self._shards.services)
        missing = shard_count - len(self._signatures)
        if action.ending is gather.Ending.COMPLETE:
            now = self._tools.clock()
            self._tools.crashes.request_succeeded(self._sub.identity, now)
        match action.ending:
            case gather.Ending.COMPLETE | gather.Ending.PARTIAL:
                answer = self._tools.wire.merged_answer(
                    self._signatures,
                    missing,
                    self._greatest.body(),
                )
            case _:
                answer = Answer(504 if action.may_have_run else 503)
                add_retry_after(self._deps, answer, action.rest_s)
        self._respond(
            answer,
            action.ending.value,
            shards=shard_count,
            missing=[
                self._shards.services[index] for index in self._plan.missing()
            ],
        )
