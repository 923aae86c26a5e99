"""Serve a node's readiness, directory, metrics and status endpoints."""

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


class EndpointAdapter(typing.Protocol):
    """Interface for decoding readiness checks and lookups of node addresses.

    It also encodes the answers to lookups. The platform package implements it
    for the platform's request format.
    """

    def is_resolve(self, req: Request) -> bool:
        """Return whether a request is a lookup of node addresses."""

    def is_readiness(self, req: Request) -> bool:
        """Return whether a request is a readiness check."""

    def caller_zone(self, req: Request) -> ZoneName:
        """Return the caller's zone; empty if the request does not name it."""

    def addresses_answer(self, addresses: Addresses) -> Answer:
        """Encode node addresses as the answer to a lookup."""


class Endpoints:
    """Handlers of readiness checks, address lookups, metrics and status."""

    def __init__(
        self,
        queries: EndpointAdapter,
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
        """Answer a readiness check: 200 if the node is ready, else 503."""
        if not self._queries.is_readiness(req):
            responder.send(Answer(404))
        else:
            responder.send(Answer(200 if self._ready() else 503))

    def directory(self, req: Request, responder: Responder) -> None:
        """Answer a lookup with node addresses, or 503 if no node is usable."""
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
        """Answer an operator's request for /metrics or /status."""
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
