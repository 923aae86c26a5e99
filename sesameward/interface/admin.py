"""Serve the HTTP interface of an agent for its operators."""

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
    """Ask to drain a target or this node; drain=False ends the draining."""

    target: TargetId | None = None
    node: NodeId | None = None
    drain: bool = True


class AdministeredAgent(typing.Protocol):
    """Define the agent's methods and metrics that this interface uses."""

    metrics: Metrics

    def status(self) -> NodeStatus: ...

    def known_members(self) -> list[Member]: ...

    def target_statuses(self) -> tuple[TargetStatus, ...]: ...

    def ready(self) -> bool: ...

    def drain(self, request: DrainRequest) -> None: ...


class _AgentHandler(tornado.web.RequestHandler):
    def initialize(self, agent: AdministeredAgent):
        self.agent = agent

    def send_json(self, message: object, status: int = 200) -> None:
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(message))


class _StatusHandler(_AgentHandler):
    def get(self):
        self.send_json(self.agent.status())


class _MembersHandler(_AgentHandler):
    def get(self):
        self.send_json(self.agent.known_members())


class _TargetsHandler(_AgentHandler):
    def get(self):
        self.send_json(self.agent.target_statuses())


class _DrainHandler(_AgentHandler):
    def post(self):
        try:
            request = msgspec.json.decode(self.request.body, type=DrainRequest)
            self.agent.drain(request)
        except (msgspec.DecodeError, SesamewardError) as exc:
            self.send_json({'problem': str(exc)}, STATUS_BAD_REQUEST)
            return
        self.send_json(request)


class _MetricsHandler(_AgentHandler):
    def get(self):
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.agent.metrics.render())


class _HealthHandler(_AgentHandler):
    def get(self):
        self.finish('ok\n')


class _ReadyHandler(_AgentHandler):
    def get(self):
        ready = self.agent.ready()
        self.set_status(200 if ready else STATUS_UNAVAILABLE)
        self.finish('ok\n' if ready else 'not ready\n')


def make_app(agent: AdministeredAgent) -> tornado.web.Application:
    """Return the application that serves the agent's HTTP interface."""
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
