"""Define routes and find the route of a request."""

from __future__ import annotations

import enum
import typing

import msgspec

from ..types import ServiceName

RouteName = typing.NewType('RouteName', str)
Version = typing.NewType('Version', int)


class Repeat(enum.Enum):
    """Say whether the requests of a route may run more than once."""

    SAFE = 'safe'
    ONCE = 'once'


class OneService(msgspec.Struct, frozen=True):
    """Send each request to a target of one service."""

    service: ServiceName


class Part(msgspec.Struct, frozen=True):
    """Hold the weight of a service in a split."""

    service: ServiceName
    weight: float


class Split(msgspec.Struct, frozen=True):
    """Send each request to one of several services, in shares by weight."""

    parts: tuple[Part, ...]


class Shards(msgspec.Struct, frozen=True):
    """Send each request to all shards and merge their top_k records.

    Each shard is a service. min_coverage is the share of shards, 0 to 1, that
    must reply for an answer.
    """

    services: tuple[ServiceName, ...]
    top_k: int
    min_coverage: float


Destination = OneService | Split | Shards


class Route(msgspec.Struct, frozen=True):
    """Define how requests with a host and path prefix are served.

    timeout_s limits the whole request, objective_s is the latency within
    which an answer has its full value, max_attempts limits the targets that
    may run the request (for each shard). Priority 0 is the most urgent.
    """

    name: RouteName
    host: str
    prefix: str
    repeat: Repeat
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    destination: Destination

    def services(self) -> tuple[ServiceName, ...]:
        """Return all services that the route may send to."""
        match self.destination:
            case OneService(service):
                return (service,)
            case Split(parts):
                return tuple(part.service for part in parts)
            case Shards(services):
                return services


class Service(msgspec.Struct, frozen=True):
    """Limit the connections of all nodes together to a service's target."""

    name: ServiceName
    max_connections: int


class CallerLimits(msgspec.Struct, frozen=True):
    """Limit the size and duration of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """Index the routes of one configuration version; immutable."""

    def __init__(
        self,
        version: Version,
        routes: typing.Iterable[Route],
        services: typing.Iterable[Service],
        limits: CallerLimits,
    ):
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any.

        path must not include the query string.
        """
        prefixes = self._hosts.get(host)
        if prefixes is None:
            prefixes = self._hosts.get(_host_without_port(host))
            if prefixes is None:
                return None
        # Prefixes end with a slash, so only the path up to each of its
        # slashes can match.
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def _host_without_port(host: str) -> str:
    return host.partition(':')[0].lower()
