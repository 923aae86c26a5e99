"""Answer operators over HTTP on an agent."""

from __future__ import annotations

import typing

import msgspec
import tornado.web

from ..exceptions import SesamewardError
from ..messages import Member
from ..messages import NodeStatus
from ..messages import TargetStatus
from ..metrics import Metrics
from ..types import NodeId
from ..types import TargetId

STATUS_UNAVAILABLE = 503
STATUS_BAD_REQUEST = 400


class DrainRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask to drain a target or this node, or to stop draining."""

    target: TargetId | None = None
    node: NodeId | None = None
    drain: bool = True


class Administered(typing.Protocol):
    """Offer an agent's state to its operators."""

    metrics: Metrics

    def status(self) -> NodeStatus: ...

    def known_members(self) -> list[Member]: ...

    def target_statuses(self) -> tuple[TargetStatus, ...]: ...

    def ready(self) -> bool: ...

    def drain(self, request: DrainRequest) -> None: ...


class _Handler(tornado.web.RequestHandler):
    def initialize(self, agent: Administered):
        self.agent = agent

    def send(self, message: object, status: int = 200) -> None:
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(message))


class _StatusHandler(_Handler):
    def get(self):
        self.send(self.agent.status())


class _MembersHandler(_Handler):
    def get(self):
        self.send(self.agent.known_members())


class _TargetsHandler(_Handler):
    def get(self):
        self.send(self.agent.target_statuses())


class _DrainHandler(_Handler):
    def post(self):
        try:
            request = msgspec.json.decode(self.request.body, type=DrainRequest)
            self.agent.drain(request)
        except (msgspec.DecodeError, SesamewardError) as exc:
            self.send({'problem': str(exc)}, STATUS_BAD_REQUEST)
            return
        self.send(request)


class _MetricsHandler(_Handler):
    def get(self):
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.agent.metrics.render())


class _HealthHandler(_Handler):
    def get(self):
        self.finish('ok\n')


class _ReadyHandler(_Handler):
    def get(self):
        ready = self.agent.ready()
        self.set_status(200 if ready else STATUS_UNAVAILABLE)
        self.finish('ok\n' if ready else 'not ready\n')


def make_app(agent: Administered) -> tornado.web.Application:
    """Return the agent's HTTP interface."""
    shared = {'agent': agent}
    return tornado.web.Application(
        [
            ('/v1/status', _StatusHandler, shared),
            ('/v1/members', _MembersHandler, shared),
            ('/v1/targets', _TargetsHandler, shared),
            ('/v1/drain', _DrainHandler, shared),
            ('/metrics', _MetricsHandler, shared),
            ('/healthz', _HealthHandler, shared),
            ('/readyz', _ReadyHandler, shared),
        ],
        log_function=lambda _: None,
    )
