"""Answer a caller's request with the reply of one target of a service."""

from __future__ import annotations

import typing

from . import relay
from ..types import ServiceName
from ..types import TargetId
from .attempts import Send
from .deps import add_retry_after
from .deps import Deps
from .exchange import is_final_status
from .exchange import Result
from .http_server import Answer
from .relay import Relay
from .run import Arrival
from .run import Run
from .target_connection import Reply


class RelayRun(Run):
    """Send a request to a target of a service and pass on its reply."""

    def __init__(self, deps: Deps, arrival: Arrival, service: ServiceName):
        super().__init__(deps, arrival)
        self._reply: Reply | None = None
        self._target_id: TargetId | None = None
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
            return self._plan.failed(send.attempt, end, now)
        if not self._is_over:
            self._reply = result.reply
            self._target_id = send.target_id
        is_final = is_final_status(result.reply.status)
        return self._plan.replied(send.attempt, is_final, now)

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
        )

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
