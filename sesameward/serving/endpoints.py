"""Answer what is asked of a node beside callers' requests."""

from __future__ import annotations

import typing

import msgspec

from ..messages import Member
from ..metrics import Metrics
from ..types import ZoneName
from .directory import Addresses
from .directory import Directory
from .http_server import Answer
from .http_server import Request
from .http_server import Responder
from .node_status import NodeStatus


class Queries(typing.Protocol):
    """Translate the directory's and readiness' calls."""

    def is_resolve(self, req: Request) -> bool:
        """Tell whether a request asks for addresses."""

    def is_readiness(self, req: Request) -> bool:
        """Tell whether a request asks for readiness."""

    def caller_zone(self, req: Request) -> ZoneName:
        """Return where the caller is; empty where it does not say."""

    def addresses_answer(self, addresses: Addresses) -> Answer:
        """Return addresses in the caller's format."""


class Endpoints:
    """Serve readiness, the directory, metrics and status."""

    def __init__(
        self,
        queries: Queries,
        directory: Directory,
        members: typing.Callable[[], typing.Sequence[Member]],
        ready: typing.Callable[[], bool],
        status: typing.Callable[[], NodeStatus],
        max_ttl_s: float,
        metrics: Metrics,
    ):
        self._queries = queries
        self._directory = directory
        self._members = members
        self._ready = ready
        self._status = status
        self._max_ttl_s = max_ttl_s
        self._metrics = metrics

    def readiness(self, req: Request, responder: Responder) -> None:
        """Tell whether callers should come."""
        if not self._queries.is_readiness(req):
            responder.send(Answer(404))
        else:
            responder.send(Answer(200 if self._ready() else 503))

    def directory(self, req: Request, responder: Responder) -> None:
        """Tell a caller which nodes to use."""
        if not self._queries.is_resolve(req):
            responder.send(Answer(404))
            return
        found = self._directory.addresses(
            self._members(), self._queries.caller_zone(req), self._max_ttl_s
        )
        if not found.addresses:
            self._metrics.count('resolves', 'no_node')
            responder.send(Answer(503))
            return
        self._metrics.count('resolves', 'answered')
        responder.send(self._queries.addresses_answer(found))

    def operators(self, req: Request, responder: Responder) -> None:
        """Show the counters, or what the node believes."""
        match req.path:
            case '/metrics':
                headers = [(b'Content-Type', b'text/plain; version=0.0.4')]
                answer = Answer(200, headers, self._metrics.render())
            case '/status':
                headers = [(b'Content-Type', b'application/json')]
                body = msgspec.json.encode(self._status())
                answer = Answer(200, headers, body)
            case _:
                answer = Answer(404)
        responder.send(answer)
