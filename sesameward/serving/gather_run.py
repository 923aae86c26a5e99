"""Run a query over shards and merge the replies.

Sub-requests to targets in another zone are sent in a batch to a helper node of
that zone, if one is usable. The helper node sends them to the targets and
returns only those records of the replies that can be among the top_k greatest.
"""

from __future__ import annotations

import typing

import msgspec

from . import gather
from ..messages import Member
from ..types import ServiceName
from .attempts import Send
from .attempts import SendReason
from .attempts import SubRequestFailure
from .byte_limits import MessageMeter
from .delegating_run import DelegatingRun
from .delegating_run import HelperBatch
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
from .round_trip import round_trip_s
from .routes import Route
from .routes import Shards
from .run import Arrival
from .topk import Greatest
from .topk import RECORD_BYTES

# Least round-trip time between a caller and this node that is assumed. The
# time of all trips is subtracted from the latency objective, so that a partial
# answer reaches the caller within the objective. Where callers are 1 ms away,
# the measured 2.2 ms left too little for delays on the way, and a late answer
# has almost no value.
MIN_ROUND_TRIP_S = 0.006
# Assumed time from the decision to answer until the first byte of the answer
# is sent. Like the time of the network trips and that of the answer's bytes on
# this node's link, it is subtracted from the latency objective.
ANSWER_SEND_S = 0.003
# Expected size of an answer: its head, and the signature of each shard's
# reply. With 90 shards on a link of 12.5 Mbit/s it takes 3 ms to send.
ANSWER_HEAD_BYTES = 200
SIGNATURE_BYTES = 50
# Memory that a record takes which a run keeps, and a signature in addition to
# its text.
KEPT_RECORD_BYTES = 60
KEPT_SIGNATURE_BYTES = 48
# At most this part of the objective is subtracted. The round-trip time of a
# caller on a slow link may be longer than the objective itself.
MAX_DELIVERY_SHARE = 0.5


def delivery_s(
    route: Route,
    is_first_on_connection: bool,
    rtt_s: float | None,
    link_bytes_per_s: float,
) -> float:
    """Return the part of a route's objective, in seconds, spent outside runs.

    This is the time of the network trips between the caller and this node,
    those of the TCP handshake included, and the time to send the answer.
    """
    shards = typing.cast(Shards, route.destination)
    answer_bytes = (
        ANSWER_HEAD_BYTES
        + SIGNATURE_BYTES * len(shards.services)
        + RECORD_BYTES * shards.top_k
    )
    round_trips = 2 if is_first_on_connection else 1
    spent_s = (
        round_trips * max(rtt_s or 0.0, MIN_ROUND_TRIP_S)
        + ANSWER_SEND_S
        + answer_bytes / link_bytes_per_s
    )
    return min(spent_s, MAX_DELIVERY_SHARE * route.objective_s)


class GatherRun(DelegatingRun):
    """Send a query to its shards, some through helper nodes; merge replies."""

    def __init__(self, deps: Deps, arrival: Arrival):
        super().__init__(deps, arrival)
        req, route = arrival.req, arrival.route
        self._shards = typing.cast(Shards, route.destination)
        self._signatures: list[bytes] = []
        self._greatest = Greatest(self._shards.top_k)
        # Counts what is kept of replies until the last shard has answered.
        self._meter = MessageMeter(
            deps.message_memory, self._finish_without_memory
        )
        rtt_s = round_trip_s(arrival.responder.raw_transport())
        cutoff_s = route.objective_s - delivery_s(
            route, req.is_first_on_connection, rtt_s, deps.link_bytes_per_s
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

    def _choose_helper(self, send: Send) -> Member | None:
        if self._tools.links.is_lost:
            return super()._choose_helper(send)
        if self._plan.on_trial:
            # A query on trial is sent to its target directly, so that this
            # node sees whether the connection breaks.
            return None
        if self._tools.relays.get(send.target_id) is not None:
            return super()._choose_helper(send)
        target = self._tools.policy.targets.get(send.target_id)
        if target is None:
            return None
        helper = self._deps.delegation.choose_helper(
            target.zone, self._tools.clock()
        )
        return helper or super()._choose_helper(send)

    def _send(self, send: Send) -> None:
        if send.reason is not SendReason.FIRST:
            self._notify_helpers_of_repeat(send.shard)
        super()._send(send)

    def _needs_result(self, send: Send) -> bool:
        return self._plan.needs_result(send.shard)

    def _is_held(self, send: Send) -> bool:
        return self._plan.is_held(send.attempt)

    def _apply_result(self, send: Send, result: Result, now: float) -> list:
        if result.end is not None or result.reply is None:
            end = self._record_failure(send, result.end)
            return self._plan_failed(send, end, now)
        if self._plan.needs_result(send.shard):
            self._keep(result.signature or b'', result.reply.body)
        return self._plan.replied(send.shard, send.attempt, now)

    def _keep(self, signature: bytes | None, body: bytes) -> None:
        """Keep what the answer needs of a reply, and count it.

        If all messages of the node exceed their memory, the request may end.
        """
        if self._is_over:
            return
        known = len(self._greatest)
        self._greatest.add(body)
        size_bytes = KEPT_RECORD_BYTES * (len(self._greatest) - known)
        if signature is not None:
            self._signatures.append(signature)
            size_bytes += KEPT_SIGNATURE_BYTES + len(signature)
        self._meter.count(size_bytes)

    def _finish_without_memory(self) -> None:
        """End the request, whose replies take too much memory.

        It has run at some targets, so the answer is 504.
        """
        if self._is_over:
            return
        self._is_over = True
        self._tools.metrics.count('messages_cut', 'gather')
        self._signatures = []
        self._greatest = Greatest(self._shards.top_k)
        self._respond(Answer(504), 'no_memory')

    def _release(self, was_served: bool = False) -> None:
        self._meter.close()
        # The run stays until its last sub-request has ended.
        self._signatures = []
        self._greatest = Greatest(0)
        super()._release(was_served)

    def _plan_failed(
        self, send: Send, failure: SubRequestFailure, now: float
    ) -> list:
        return self._plan.failed(send.shard, send.attempt, failure, now)

    # Sub-requests sent through helper nodes.

    def _make_batch(
        self, no: BatchNo, is_first: bool, sends: list[Send], now: float
    ) -> DelegatedBatch:
        return msgspec.structs.replace(
            super()._make_batch(no, is_first, sends, now),
            top_k=self._shards.top_k,
            floor=self._greatest.floor,
            on_trial=self._plan.on_trial,
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
        self, batch: HelperBatch, parts: BatchResults | None
    ) -> None:
        if parts is not None:
            self._merge_filtered(batch, parts)
        super()._on_helper_message(batch, parts)

    def _merge_filtered(self, batch: HelperBatch, parts: BatchResults) -> None:
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
            self._keep(None, parts.records)

    def _apply_helper_reply(
        self,
        batch: HelperBatch,
        send: Send,
        end: ItemResult,
        is_wanted: bool,
        now: float,
    ) -> list:
        if end.whole is None and batch.filtered_unusable:
            self._tools.metrics.count('parts_unusable')
            return self._apply_helper_failure(
                batch, send, SubRequestFailure.FAILED, now
            )
        if is_wanted:
            self._keep(end.signature, end.whole or b'')
        service = self._shards.services[send.shard]
        self._tools.crashes.target_survived(self._sub.identity, service, now)
        return self._plan.replied(send.shard, send.attempt, now)

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
