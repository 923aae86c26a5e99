"""Send sub-requests to targets for other nodes.

These are nodes of other zones, or nodes that have lost their connections.
"""

from __future__ import annotations

import asyncio
import functools

from grpclib import const
from grpclib.exceptions import StreamTerminatedError
from grpclib import server
import msgspec

from .. import logs
from .attempts import NOTHING_SENT
from .attempts import SubRequestFailure
from .byte_limits import MessageMemory
from .byte_limits import part_limits
from .byte_limits import REPLY_LIMITS
from .crashes import RequestIdentity
from .delegate_client import Envelope
from .delegate_client import METHOD
from .delegation import BatchItem
from .delegation import BatchNo
from .delegation import BatchResults
from .delegation import CancelBatch
from .delegation import DelegatedBatch
from .delegation import ItemResult
from .delegation import LoadFigures
from .delegation import MarkSentElsewhere
from .delegation import TargetNotice
from .delegation import WholeReply
from .exchange import CANCEL_GRACE_S
from .exchange import DEADLINE_GRACE_S
from .exchange import ExchangeDeps
from .exchange import Result
from .exchange import SubRequest
from .exchange import SubRequestExchange
from .result_outbox import ResultOutbox
from .topk import Greatest
from .topk import records_above

# After the first result of a sub-request, this node waits this long for
# further results of the same batch, and sends all of them in one message.
FLUSH_S = 0.001
# The same for batches to targets with relays, except that the last results of
# a batch never wait. Each message costs the node that asked some 50 us, and a
# query has batches at several relays, whose results come over some 5 ms.
RELAYED_FLUSH_S = 0.005
# Batches of fewer sub-requests to targets with relays are acknowledged at
# once. Their few targets may all pause, for longer than this node may send
# nothing before it is taken for frozen.
MIN_UNACKNOWLEDGED_ITEMS = 4
# Figures of a target's load that are older than this are not passed on. They
# have almost no weight in a choice, and bytes between zones are expensive.
MAX_FIGURES_AGE_S = 2.0


class _Batch:
    """Send the sub-requests of one batch (its items); queue their results.

    If may_send is False, nothing is sent, as by a node without connections:
    the sub-requests must go through another helper node.
    """

    def __init__(
        self,
        tools: ExchangeDeps,
        batch: DelegatedBatch,
        outbox: ResultOutbox,
        may_send: bool = True,
    ):
        self._tools = tools
        self._batch = batch
        self._outbox = outbox
        self._may_send = may_send
        self._is_relayed = False
        self._greatest = Greatest(batch.top_k, batch.floor)
        self._marked_floors: dict[int, bytes] = {}
        self._running: dict[int, SubRequestExchange] = {}
        self._target_ids = {item.no: item.target_id for item in batch.items}
        self._item_results: list[ItemResult] = []
        self._records: list[bytes] = []
        self._flush_timer: asyncio.TimerHandle | None = None
        self.is_wanted = True

    @property
    def is_done(self) -> bool:
        """Return True if no sub-request of the batch is still running."""
        return not self._running

    def start(self) -> None:
        """Send the sub-requests of the batch to their targets."""
        batch = self._batch
        remaining_s = batch.remaining_ms / 1_000
        identity = RequestIdentity(batch.subject, batch.body)
        tools = self._tools
        is_refused = tools.crashes.is_refused(identity, tools.clock())
        self._is_relayed = any(
            tools.relays.get(item.target_id) is not None
            for item in batch.items
        )
        if batch.is_single or (
            self._is_relayed and len(batch.items) < MIN_UNACKNOWLEDGED_ITEMS
        ):
            # Its target may need longer than this node may be silent.
            self._outbox.put_nowait(BatchResults(batch.batch_no, ()))
        sub = SubRequest(
            batch.request_id,
            batch.route,
            batch.method,
            identity,
            batch.head,
            self._tools.clock() + remaining_s,
            batch.priority,
            is_shard=not batch.is_single,
            runs_once=batch.runs_once,
            on_trial=batch.on_trial,
            sees_whole_request=False,
            limits=(
                REPLY_LIMITS if batch.is_single else part_limits(batch.top_k)
            ),
            share_group=batch.share_group or batch.route,
        )
        exchanges = [
            (
                item,
                SubRequestExchange(
                    self._tools,
                    sub,
                    item.target_id,
                    lambda: self.is_wanted,
                    functools.partial(self._on_result, item),
                ),
            )
            for item in batch.items
        ]
        self._running = {item.no: exchange for item, exchange in exchanges}
        for item, exchange in exchanges:
            target = self._tools.policy.targets.get(item.target_id)
            if tools.links.is_lost or not self._may_send:
                self._on_result(item, Result(SubRequestFailure.NO_LINKS))
            elif (
                is_refused
                or target is None
                or not tools.policy.may_send(item.target_id, tools.clock())
                or self._skips_slow_target(item)
            ):
                self._on_result(item, Result(SubRequestFailure.NOT_SENT))
            else:
                exchange.start()
        loop = asyncio.get_running_loop()
        loop.call_later(remaining_s + DEADLINE_GRACE_S, self._abandon)

    def _skips_slow_target(self, item: BatchItem) -> bool:
        # First sub-requests of a query (may_filter is True) are not sent to a
        # target that has stopped answering, because the node that asked for
        # them can use another replica at once. Hedges and retries are sent all
        # the same, because possibly no other replica is left.
        if not self._batch.may_filter:
            return False
        selector = self._tools.policy.selector
        now = self._tools.clock()
        if selector.silent(item.target_id, now):
            return True
        # A relay gets the requests of all nodes for its targets, so it sees
        # that one is paused or slow when the others know nothing of it yet. A
        # hedge of theirs would come later, and be charged to the retry budget.
        has_relays = self._tools.relays.get(item.target_id) is not None
        return has_relays and selector.paused(item.target_id, now)

    def send_all_records(self, item_no: int, floor: bytes) -> None:
        """Return for a sub-request all records that are greater than floor.

        The node that sent the batch has repeated this sub-request at another
        target, and possibly uses the reply of that target. So records of other
        sub-requests must not be dropped because this one has greater ones.
        """
        self._marked_floors[item_no] = floor

    def cancel(self) -> None:
        """Send no more results; end open sub-requests after CANCEL_GRACE_S.

        To end a sub-request, its connection to the target is closed. During
        the delay, replies that are nearly complete can still arrive, so that
        their connections need not be closed. A request that must not run twice
        is not ended, because nobody else may send it again.
        """
        self.is_wanted = False
        if not self._batch.runs_once:
            loop = asyncio.get_running_loop()
            loop.call_later(CANCEL_GRACE_S, self._abandon)

    def _abandon(self) -> None:
        self.is_wanted = False
        running = tuple(self._running.values())
        self._running.clear()
        for exchange in running:
            exchange.abandon()

    def _on_result(self, item: BatchItem, result: Result) -> None:
        if self._running.pop(item.no, None) is None:
            return
        if self._batch.is_single:
            self._log_single(item, result)
        if not self.is_wanted:
            self._pass_on_notice(item, result)
            return
        if result.end is not None or result.reply is None:
            end = result.end or SubRequestFailure.FAILED
            no_links = end is SubRequestFailure.NO_LINKS or (
                end is SubRequestFailure.NOT_SENT
                and self._tools.links.is_doubtful
            )
            if end in NOTHING_SENT:
                # Nodes of an earlier release don't know the other reasons.
                end = SubRequestFailure.NOT_SENT
            self._item_results.append(
                ItemResult(
                    item.no,
                    end,
                    leaving=result.leaving,
                    rest_s=result.rest_s,
                    no_permit_s=result.no_permit_s,
                    no_links=no_links,
                )
            )
        elif self._batch.is_single:
            reply = result.reply
            self._item_results.append(
                ItemResult(
                    item.no,
                    None,
                    leaving=result.leaving,
                    rest_s=result.rest_s,
                    reply=WholeReply(
                        reply.status, reply.reason, reply.headers, reply.body
                    ),
                )
            )
        else:
            signature = result.signature or b''
            body = result.reply.body
            if self._batch.may_filter and item.no not in self._marked_floors:
                self._records.append(self._greatest.add(body))
                item_result = ItemResult(item.no, None, signature)
            else:
                floor = self._marked_floors.get(item.no, self._batch.floor)
                item_result = ItemResult(
                    item.no, None, signature, records_above(body, floor)
                )
            self._item_results.append(
                msgspec.structs.replace(item_result, leaving=result.leaving)
            )
        if not self._running:
            self._flush()
        elif self._flush_timer is None:
            loop = asyncio.get_running_loop()
            delay_s = RELAYED_FLUSH_S if self._is_relayed else FLUSH_S
            self._flush_timer = loop.call_later(delay_s, self._flush)

    def _log_single(self, item: BatchItem, result: Result) -> None:
        reply = result.reply
        logs.log_event(
            'helped',
            request=self._batch.request_id,
            target=item.target_id,
            end=None if result.end is None else result.end.value,
            status=None if reply is None else reply.status,
            needed=self.is_wanted,
        )

    def _pass_on_notice(self, item: BatchItem, result: Result) -> None:
        # The other node has no more use for the reply, but must know that the
        # target leaves or wants no requests: it may send to it by itself.
        if result.leaving or result.rest_s > 0.0:
            notice = TargetNotice(
                item.target_id, result.leaving, result.rest_s
            )
            self._outbox.put_nowait(
                BatchResults(self._batch.batch_no, (), notices=(notice,))
            )

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        if not self._item_results:
            return
        message = BatchResults(
            self._batch.batch_no,
            tuple(self._item_results),
            b''.join(self._records),
            figures=self._collect_figures(),
        )
        self._item_results = []
        self._records = []
        self._outbox.put_nowait(message)

    def _collect_figures(self) -> tuple[LoadFigures, ...]:
        now = self._tools.clock()
        figures = []
        for result in self._item_results:
            target_id = self._target_ids[result.no]
            view = self._tools.policy.selector.load_view(target_id)
            if view is None or now - view.taken_at > MAX_FIGURES_AGE_S:
                continue
            figures.append(
                LoadFigures(
                    target_id,
                    view.report.in_flight,
                    view.report.queued,
                    view.report.pace,
                    int((now - view.taken_at) * 1_000),
                )
            )
        return tuple(figures)


class DelegateHandler:
    """gRPC handler of the streams on which other nodes send batches."""

    def __init__(
        self, tools: ExchangeDeps, memory: MessageMemory | None = None
    ):
        self._tools = tools
        self._memory = memory or MessageMemory()
        self._is_closed = False
        # The batches of each open stream.
        self._streams: list[dict[BatchNo, _Batch]] = []

    def close(self) -> None:
        """Send nothing of further batches; those begun go on."""
        self._is_closed = True

    @property
    def is_idle(self) -> bool:
        """Return True if no sub-request of another node is running."""
        return all(
            batch.is_done
            for batches in self._streams
            for batch in batches.values()
        )

    def __mapping__(self) -> dict[str, const.Handler]:
        """Return the methods for grpclib's Server."""
        return {
            METHOD: const.Handler(
                self._serve,
                const.Cardinality.STREAM_STREAM,
                Envelope,
                BatchResults,
            )
        }

    async def _serve(self, stream: server.Stream) -> None:
        outbox = ResultOutbox(self._memory, self._tools.metrics)
        batches: dict[BatchNo, _Batch] = {}
        self._streams.append(batches)
        sender = asyncio.ensure_future(_send_all(stream, outbox))
        try:
            async for envelope in stream:
                self._on_message(envelope.message, batches, outbox)
        except StreamTerminatedError as exc:
            logs.log_event('delegation_stream_lost', error=str(exc))
        finally:
            sender.cancel()
            self._streams.remove(batches)
            for batch in batches.values():
                batch.cancel()
            outbox.close()

    def _on_message(
        self,
        message: object,
        batches: dict[BatchNo, _Batch],
        outbox: ResultOutbox,
    ) -> None:
        match message:
            case DelegatedBatch(batch_no=batch_no):
                for done in [n for n, b in batches.items() if b.is_done]:
                    del batches[done]
                batch = batches[batch_no] = _Batch(
                    self._tools, message, outbox, not self._is_closed
                )
                batch.start()
            case MarkSentElsewhere(batch_no, item_no, floor):
                if batch_no in batches:
                    batches[batch_no].send_all_records(item_no, floor)
            case CancelBatch(batch_no):
                if batch_no in batches:
                    batches[batch_no].cancel()


async def _send_all(stream: server.Stream, outbox: ResultOutbox) -> None:
    while True:
        await stream.send_message(await outbox.get())
