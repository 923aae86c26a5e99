"""Send sub-requests to targets for other nodes.

These are nodes of other zones, or nodes that have lost their connections.
"""

from __future__ import annotations

import asyncio
import functools
import typing

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
from .peer_connections import current_source
from .peer_connections import Source
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
# Memory that a batch takes without its request, and that each of its
# sub-requests takes until it has ended.
BATCH_BYTES = 2 * 1_024
ITEM_BYTES = 1_024


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
        source: Source | None = None,
        on_done: typing.Callable[[], None] = lambda: None,
    ):
        self._tools = tools
        self._batch = batch
        self._source = source
        self._on_done = on_done
        self._held_bytes = 0
        # Numbers of the sub-requests whose exchange has not ended. Those that
        # wait for a connection remain after the batch was abandoned.
        self._unended: set[int] = set()
        self._sub: SubRequest | None = None
        self._end_timer: asyncio.TimerHandle | None = None
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
        size_bytes = _request_bytes(batch) + ITEM_BYTES * len(batch.items)
        if self._source is not None:
            if self._source.refuses_batch(size_bytes):
                self._refuse()
                return
            self._hold(size_bytes)
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
        self._sub = sub
        exchanges = [
            (
                item,
                SubRequestExchange(
                    self._tools,
                    sub,
                    item.target_id,
                    functools.partial(self._is_item_wanted, item.no),
                    functools.partial(self._on_result, item),
                ),
            )
            for item in batch.items
        ]
        self._running = {item.no: exchange for item, exchange in exchanges}
        self._unended = set(self._running)
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
        if self._running:
            loop = asyncio.get_running_loop()
            self._end_timer = loop.call_later(
                remaining_s + DEADLINE_GRACE_S, self._end
            )

    def _refuse(self) -> None:
        """Report that nothing of the batch was sent, for lack of memory."""
        self._item_results = [
            ItemResult(item.no, SubRequestFailure.NOT_SENT)
            for item in self._batch.items
        ]
        self._flush()
        self._on_done()

    def _hold(self, size_bytes: int) -> None:
        if self._source is not None:
            self._held_bytes += size_bytes
            self._source.hold_batch(size_bytes)

    def _is_item_wanted(self, item_no: int) -> bool:
        if not self.is_wanted:
            # The exchange asks when it could send, and then ends.
            self._item_ended(item_no)
        return self.is_wanted

    def _item_ended(self, item_no: int) -> None:
        if item_no not in self._unended:
            return
        self._unended.discard(item_no)
        self._hold(-ITEM_BYTES)
        if not self._unended:
            self._release()

    def _release(self) -> None:
        """Stop counting the batch, of which nothing is left."""
        if self._end_timer is not None:
            self._end_timer.cancel()
            self._end_timer = None
        self._unended.clear()
        if self._held_bytes:
            self._hold(-self._held_bytes)

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

    def detach(self) -> None:
        """Cancel the batch, whose node is gone.

        It ends at once if batches of nodes that are gone hold too much, also
        if it must not run twice: how it ended is told to nobody.
        """
        if self._source is None or self._source.memory.may_detach:
            self.cancel()
        else:
            self._abandon()

    def _abandon(self) -> None:
        self.is_wanted = False
        running = tuple(self._running.values())
        self._running.clear()
        for exchange in running:
            exchange.abandon()
        if self._sub is not None and self._unended:
            # What waits for a connection ends without a further look at the
            # request.
            freed_bytes = min(self._held_bytes, _request_bytes(self._batch))
            self._sub.head = b''
            self._sub.identity = RequestIdentity(b'', b'')
            self._batch = msgspec.structs.replace(
                self._batch, head=b'', body=b'', subject=b'', items=()
            )
            self._sub = None
            self._hold(_request_bytes(self._batch) - freed_bytes)
        self._on_done()

    def _end(self) -> None:
        """End what is left of the batch at its deadline."""
        self._end_timer = None
        self._abandon()
        self._release()

    def _on_result(self, item: BatchItem, result: Result) -> None:
        self._item_ended(item.no)
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
            self._on_done()
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


def _request_bytes(batch: DelegatedBatch) -> int:
    """Return the memory that a batch takes without its sub-requests."""
    return BATCH_BYTES + len(batch.subject) + len(batch.head) + len(batch.body)


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
        source = current_source()
        outbox = ResultOutbox(self._memory, self._tools.metrics, source)
        batches: dict[BatchNo, _Batch] = {}
        self._streams.append(batches)
        sender = asyncio.ensure_future(_send_all(stream, outbox))
        try:
            async for envelope in stream:
                self._on_message(envelope.message, batches, outbox, source)
                if source is not None:
                    await source.wait_for_room()
        except StreamTerminatedError as exc:
            logs.log_event('delegation_stream_lost', error=str(exc))
        finally:
            sender.cancel()
            self._streams.remove(batches)
            for batch in tuple(batches.values()):
                batch.detach()
            outbox.close()

    def _on_message(
        self,
        message: object,
        batches: dict[BatchNo, _Batch],
        outbox: ResultOutbox,
        source: Source | None,
    ) -> None:
        match message:
            case DelegatedBatch(batch_no=batch_no):
                if batch_no in batches:
                    # Only the newer one can be cancelled by this number.
                    batches[batch_no].cancel()
                batch = batches[batch_no] = _Batch(
                    self._tools,
                    message,
                    outbox,
                    not self._is_closed,
                    source,
                    functools.partial(_drop_done, batches, batch_no),
                )
                batch.start()
            case MarkSentElsewhere(batch_no, item_no, floor):
                if batch_no in batches:
                    batches[batch_no].send_all_records(item_no, floor)
            case CancelBatch(batch_no):
                if batch_no in batches:
                    batches[batch_no].cancel()


def _drop_done(batches: dict[BatchNo, _Batch], batch_no: BatchNo) -> None:
    batch = batches.get(batch_no)
    if batch is not None and batch.is_done:
        del batches[batch_no]


async def _send_all(stream: server.Stream, outbox: ResultOutbox) -> None:
    while True:
        await stream.send_message(await outbox.get())
