"""Define routes and find the route of a request."""

from __future__ import annotations

import enum
import typing

import msgspec

from ..types import ServiceName

OrganisationName = typing.NewType('OrganisationName', str)
RouteName = typing.NewType('RouteName', str)
Version = typing.NewType('Version', int)


class Repeat(enum.Enum):
    """Permission to run a route's requests more than once.

    SAFE allows it. A request of a ONCE route is repeated only if it surely has
    not run.
    """

    SAFE = 'safe'
    ONCE = 'once'


class OneService(msgspec.Struct, frozen=True):
    """Destination of a route that sends each request to one service."""

    service: ServiceName


class WeightedService(msgspec.Struct, frozen=True):
    """Hold one service of a Split and its weight.

    Its share of the requests is its weight divided by the sum of all weights.
    """

    service: ServiceName
    weight: float


class Split(msgspec.Struct, frozen=True):
    """Destination of a route that divides its requests among services.

    The weight of each service determines its share of the requests.
    """

    parts: tuple[WeightedService, ...]


class Shards(msgspec.Struct, frozen=True):
    """Destination of a route that sends queries to all shards.

    Each shard is a service; the records of their replies are merged. top_k is
    the number of greatest records in the answer, min_coverage the share of
    shards, 0 to 1, that must reply for an answer.
    """

    services: tuple[ServiceName, ...]
    top_k: int
    min_coverage: float


Destination = OneService | Split | Shards


class Route(msgspec.Struct, frozen=True):
    """Define how requests with a host and path prefix are served.

    timeout_s is the longest time until a request is answered. objective_s is
    the latency objective: a later answer has little value to the caller.
    max_attempts limits the attempts per request, or per shard of a query; an
    attempt that the target surely did not run doesn't count. Priority 0 is the
    most urgent. A request of a public route needs no key.
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
    is_public: bool = False

    def services(self) -> tuple[ServiceName, ...]:
        """Return all services to which the route sends requests."""
        match self.destination:
            case OneService(service):
                return (service,)
            case Split(parts):
                return tuple(part.service for part in parts)
            case Shards(services):
                return services


class Service(msgspec.Struct, frozen=True):
    """Define a service and the connection limit of its targets.

    max_connections limits the connections of all nodes together to each
    target. warmup_per_s is the number of requests that a cold target may get
    in a second; None if its targets never count as cold.
    """

    name: ServiceName
    max_connections: int
    warmup_per_s: float | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Hold the limits of callers' requests and of their idle connections.

    header_timeout_s limits the time from the first byte of a request until it
    is complete, and idle_timeout_s the time that a connection stays open
    without a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Organisation(msgspec.Struct, frozen=True):
    """Define an organisation, whose callers identify it by a key.

    priority overrides that of the routes, unless it is None. All nodes
    together run at most rate_per_s requests of the organisation, and up to
    burst at once after a pause; rate_per_s is 0 if there is no limit.
    """

    name: OrganisationName
    keys: tuple[str, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    def __repr__(self) -> str:
        # Without the keys, which must not get into a log line.
        return f'Organisation({self.name!r})'


class RouteTable:
    """Find routes of one configuration version by host and path.

    The table is immutable; each new configuration has a new one.
    organisations is None if the configuration has no list of them: then no
    request needs a key.
    """

    def __init__(
        self,
        version: Version,
        routes: typing.Iterable[Route],
        services: typing.Iterable[Service],
        limits: CallerLimits,
        organisations: typing.Iterable[Organisation] | None = None,
    ):
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.organisations = (
            None if organisations is None else tuple(organisations)
        )
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of a path, or None.

        path must not include the query string.
        """
        prefixes = self._hosts.get(host)
        if prefixes is None:
            prefixes = self._hosts.get(_host_without_port(host))
            if prefixes is None:
                return None
        # Prefixes end with a slash, so the path is compared up to each of its
        # slashes, the last one first.
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def _host_without_port(host: str) -> str:
    return host.partition(':')[0].lower()
