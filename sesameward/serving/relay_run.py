"""Answer a caller's request with the reply of one target of a service."""

from __future__ import annotations

import typing

import msgspec

from . import relay
from ..types import NodeId
from ..types import ServiceName
from ..types import TargetId
from .attempts import Send
from .attempts import SubRequestFailure
from .delegating_run import DelegatingRun
from .delegating_run import HelperBatch
from .delegation import BatchNo
from .delegation import DelegatedBatch
from .delegation import ItemResult
from .deps import add_retry_after
from .deps import Deps
from .exchange import is_final_status
from .exchange import Result
from .http_server import Answer
from .relay import Relay
from .run import Arrival
from .target_connection import FINAL_STATUSES
from .target_connection import Reply


class RelayRun(DelegatingRun):
    """Send a request to a target of a service and pass on its reply."""

    def __init__(self, deps: Deps, arrival: Arrival, service: ServiceName):
        super().__init__(deps, arrival)
        self._reply: Reply | None = None
        self._target_id: TargetId | None = None
        # The helper node that sent the request to the target, if any.
        self._helper: NodeId | None = None
        self._plan = Relay(
            arrival.route,
            service,
            self._tools.policy,
            self._deadline_at,
            arrival.on_trial,
        )

    def _apply_result(self, send: Send, result: Result, now: float) -> list:
        if result.reply is None:
            end = self._record_failure(send, result.end)
            return self._plan_failed(send, end, now)
        return self._apply_reply(send, result.reply, None, now)

    def _apply_reply(
        self, send: Send, reply: Reply, helper: NodeId | None, now: float
    ) -> list:
        if not self._is_over:
            self._reply = reply
            self._target_id = send.target_id
            self._helper = helper
        is_final = is_final_status(reply.status)
        return self._plan.replied(send.attempt, is_final, now)

    def _plan_failed(
        self, send: Send, failure: SubRequestFailure, now: float
    ) -> list:
        return self._plan.failed(send.attempt, failure, now)

    def _make_batch(
        self, no: BatchNo, is_first: bool, sends: list[Send], now: float
    ) -> DelegatedBatch:
        return msgspec.structs.replace(
            super()._make_batch(no, is_first, sends, now),
            is_single=True,
            runs_once=self._sub.runs_once,
        )

    def _apply_helper_reply(
        self,
        batch: HelperBatch,
        send: Send,
        end: ItemResult,
        is_wanted: bool,
        now: float,
    ) -> list:
        if end.reply is None or end.reply.status not in FINAL_STATUSES:
            # The helper node runs an earlier release, which does not return
            # whole replies, or also returns those with a status that HTTP
            # does not know.
            return self._apply_helper_failure(
                batch, send, SubRequestFailure.FAILED, now
            )
        whole = end.reply
        reply = Reply(whole.status, whole.reason, whole.headers, whole.body)
        if is_final_status(reply.status):
            self._tools.crashes.target_survived(
                self._sub.identity, self._plan.service, now
            )
        return self._apply_reply(send, reply, batch.node, now)

    def _finish(self, action: relay.Finish) -> None:
        match action.verdict:
            case relay.Verdict.REPLY:
                answer = self._answer_from_reply()
                self._report_success()
            case relay.Verdict.REFUSED:
                answer = Answer(503)
                add_retry_after(self._deps, answer, action.rest_s)
            case relay.Verdict.TIMEOUT:
                answer = Answer(504)
            case _:
                answer = Answer(502)
                add_retry_after(self._deps, answer)
        self._respond(
            answer,
            action.verdict.value,
            service=self._plan.service,
            target=self._target_id,
            helper=self._helper,
        )
        # The run is part of reference cycles, which would keep the reply until
        # the garbage collector finds them.
        self._reply = None

    def _report_success(self) -> None:
        reply = typing.cast(Reply, self._reply)
        if 200 <= reply.status < 300:
            now = self._tools.clock()
            self._tools.crashes.request_succeeded(self._sub.identity, now)

    def _answer_from_reply(self) -> Answer:
        reply = typing.cast(Reply, self._reply)
        if reply.status in (408, 421, 429, 503):
            # The caller takes these statuses to mean that the request was not
            # run. The target did not confirm that, so they are not passed on.
            return Answer(502)
        return self._tools.wire.reply_answer(reply)
