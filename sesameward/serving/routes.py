"""Hold the routes in force and find the one of a request."""

from __future__ import annotations

import enum
import typing

import msgspec

from ..types import ServiceName

RouteName = typing.NewType('RouteName', str)
Version = typing.NewType('Version', int)


class Repeat(enum.Enum):
    """Say whether a request may run more than once."""

    SAFE = 'safe'
    ONCE = 'once'


class OneService(msgspec.Struct, frozen=True):
    """Send each request to a target of one service."""

    service: ServiceName


class Part(msgspec.Struct, frozen=True):
    """Give a service its weight in a split."""

    service: ServiceName
    weight: float


class Split(msgspec.Struct, frozen=True):
    """Divide requests among services by weight."""

    parts: tuple[Part, ...]


class Shards(msgspec.Struct, frozen=True):
    """Ask a target of each shard and merge the greatest records.

    min_coverage is the share of shards, 0 to 1, below which an answer is a
    failure.
    """

    services: tuple[ServiceName, ...]
    top_k: int
    min_coverage: float


Destination = OneService | Split | Shards


class Route(msgspec.Struct, frozen=True):
    """Say how the requests of a host and path prefix are served.

    timeout_s bounds the whole request, objective_s is the latency within
    which an answer has its full value. Priority 0 is the most urgent.
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
    """Bound what all nodes together may open to a target of a service."""

    name: ServiceName
    max_connections: int


class CallerLimits(msgspec.Struct, frozen=True):
    """Bound what a caller may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """Find routes of one version of the configuration; never changed."""

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
        """Return the route of the longest prefix; path has no query."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            prefixes = self._hosts.get(_plain_host(host))
            if prefixes is None:
                return None
        # Prefixes end with a slash, so only these cuts can match.
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def _plain_host(host: str) -> str:
    return host.partition(':')[0].lower()
