"""Decode the platform's stored objects into sesameward's types."""

from __future__ import annotations

import re
import typing

import msgspec

from . import addresses
from ..exceptions import DeclarationError
from ..messages import StoredObject
from ..serving.routes import CallerLimits
from ..serving.routes import Destination
from ..serving.routes import OneService
from ..serving.routes import Organisation
from ..serving.routes import OrganisationName
from ..serving.routes import Repeat
from ..serving.routes import Route
from ..serving.routes import RouteName
from ..serving.routes import RouteTable
from ..serving.routes import Service
from ..serving.routes import Shards
from ..serving.routes import Split
from ..serving.routes import Version
from ..serving.routes import WeightedService
from ..serving.targets import Target
from ..serving.targets import TargetState
from ..types import ServiceName
from ..types import TargetId
from ..types import ZoneName

ROUTES_KIND = 'config'
ROUTES_NAME = 'main'
TARGETS_KIND = 'servers'
EVACUATIONS_KIND = 'evacuations'

# Integers that fit into the messages between nodes and into a float. JSON
# allows any, and one of 400 digits makes the arithmetic with it fail.
Int = typing.Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
PositiveInt = typing.Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)]
NonNegativeInt = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
NonNegativeFloat = typing.Annotated[float, msgspec.Meta(ge=0)]
Milliseconds = typing.Annotated[float, msgspec.Meta(ge=0)]

# The name of a target is sent to it in a header, and to other nodes in
# datagrams.
MAX_NAME_CHARS = 200
_NAME = re.compile(rf'[!-~]{{1,{MAX_NAME_CHARS}}}')
# The name of an organisation is sent to targets as the value of a header.
ORGANISATION_NAME_PATTERN = (
    rf'^(?! )[^\x00-\x1f\x7f]{{1,{MAX_NAME_CHARS}}}(?<! )\Z'
)

_REPEAT_BY_ROUTE_TYPE = {'safe': Repeat.SAFE, 'unsafe': Repeat.ONCE}


class _Part(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    """Hold a route as stored.

    The route leads to one service, to the weighted services of traffic_split,
    or to all services of gather, which are the shards of one data set.
    target_latency_ms is the latency objective of the route.
    """

    name: str
    hostname: str
    path_prefix: str
    route_type: typing.Literal['safe', 'unsafe']
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds
    priority: Int = 0
    max_attempts: PositiveInt = 1
    service: str | None = None
    traffic_split: tuple[_Part, ...] | None = None
    gather: tuple[str, ...] | None = None
    top_k: NonNegativeInt = 0
    min_coverage: float = 0.0
    public: bool = False

    def destination(self) -> Destination:
        """Return the service or services that the route leads to."""
        if self.gather is not None:
            return Shards(
                tuple(ServiceName(name) for name in self.gather),
                self.top_k,
                self.min_coverage,
            )
        if self.traffic_split is not None:
            return Split(
                tuple(
                    WeightedService(ServiceName(part.service), part.weight)
                    for part in self.traffic_split
                )
            )
        return OneService(ServiceName(self.service or ''))

    def to_route(self) -> Route:
        """Convert to the Route that the node uses, with times in seconds."""
        return Route(
            name=RouteName(self.name),
            host=self.hostname,
            prefix=self.path_prefix,
            repeat=_REPEAT_BY_ROUTE_TYPE[self.route_type],
            timeout_s=self.timeout_ms / 1_000,
            objective_s=self.target_latency_ms / 1_000,
            priority=self.priority,
            max_attempts=self.max_attempts,
            destination=self.destination(),
            is_public=self.public,
        )


class _Service(msgspec.Struct):
    """Hold a service as stored.

    max_conns limits the connections that all nodes together open to one target
    of the service. warmup_per_s limits the requests that all nodes together
    send to a cold target in a second; without it, none counts as cold.
    """

    name: str
    max_conns: PositiveInt
    warmup_per_s: NonNegativeFloat | None = None

    def to_service(self) -> Service:
        """Convert to the Service that the node uses."""
        return Service(
            ServiceName(self.name), self.max_conns, self.warmup_per_s
        )


class _Tenant(msgspec.Struct):
    """Hold an organisation as stored.

    A rate of 0 or null means that there is no limit.
    """

    name: typing.Annotated[
        str, msgspec.Meta(pattern=ORGANISATION_NAME_PATTERN)
    ]
    api_keys: tuple[str, ...] = ()
    priority: Int | None = None
    rate_per_s: NonNegativeFloat | None = None
    burst: NonNegativeFloat | None = None

    def to_organisation(self) -> Organisation:
        """Convert to the Organisation that the node uses."""
        return Organisation(
            OrganisationName(self.name),
            self.api_keys,
            self.priority,
            self.rate_per_s or 0.0,
            self.burst or 0.0,
        )


class CallerLimitFields(msgspec.Struct):
    """Hold the limits of callers as stored."""

    max_header_bytes: PositiveInt = 16_384
    max_body_bytes: PositiveInt = 262_144
    header_timeout_ms: Milliseconds = 3_000
    idle_timeout_ms: Milliseconds = 15_000

    def to_limits(self) -> CallerLimits:
        """Convert to the CallerLimits that the node uses, in seconds."""
        return CallerLimits(
            self.max_header_bytes,
            self.max_body_bytes,
            self.header_timeout_ms / 1_000,
            self.idle_timeout_ms / 1_000,
        )


class StoredConfig(msgspec.Struct):
    """Hold the configuration as stored."""

    version: Int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: CallerLimitFields = msgspec.field(
        default_factory=CallerLimitFields
    )
    tenants: tuple[_Tenant, ...] | None = None


class _Server(msgspec.Struct):
    """Hold the registration of a target as stored.

    slots is the number of requests that the target runs at the same time.
    A target is slow for some time after its start: warmup_left_ms is what
    remained of this time when the registration was written, born is the start
    in Unix milliseconds.
    """

    service: str
    address: str
    zone: str
    slots: PositiveInt
    state: typing.Literal['ready', 'draining']
    seq: NonNegativeInt
    version: str = ''
    warmup_left_ms: Milliseconds = 0
    born: NonNegativeInt = 0


class ObjectDecoder:
    """Decode the configuration and the targets from stored objects.

    All methods raise DeclarationError if an object is not valid.
    """

    def __init__(self):
        self._config = msgspec.json.Decoder(StoredConfig)
        self._server = msgspec.json.Decoder(_Server)

    def routes(self, stored: StoredObject) -> RouteTable:
        """Return the routes, services and limits of a configuration object."""
        if stored.name != ROUTES_NAME:
            raise DeclarationError(
                'name',
                f'unexpected name {stored.name} of a configuration object',
                f'name the object {ROUTES_NAME}',
            )
        config = _decode(self._config, stored)
        return RouteTable(
            Version(config.version),
            [route.to_route() for route in config.routes],
            [service.to_service() for service in config.services],
            config.limits.to_limits(),
            None
            if config.tenants is None
            else [tenant.to_organisation() for tenant in config.tenants],
        )

    def target(self, stored: StoredObject) -> Target:
        """Return the target that a stored registration describes."""
        server = _decode(self._server, stored)
        if not _NAME.fullmatch(stored.name):
            raise DeclarationError(
                'name',
                f'unusable name {stored.name[:MAX_NAME_CHARS]!r}',
                f'use 1 to {MAX_NAME_CHARS} visible ASCII characters',
            )
        try:
            address = addresses.parse(server.address)
        except ValueError as exc:
            raise DeclarationError(
                'address',
                f'invalid address {server.address!r}',
                'write it as IP:PORT',
            ) from exc
        return Target(
            id=TargetId(stored.name),
            service=ServiceName(server.service),
            host=address.host,
            port=address.port,
            zone=ZoneName(server.zone),
            slots=server.slots,
            state=TargetState(server.state),
            warmup_s=server.warmup_left_ms / 1_000,
            started_ms=server.born,
            seq=server.seq,
        )


def _decode(decoder: msgspec.json.Decoder, stored: StoredObject):
    try:
        return decoder.decode(stored.value)
    except (msgspec.DecodeError, RecursionError) as exc:
        # msgspec raises RecursionError for text that is nested too deeply.
        problem, _, json_path = str(exc).partition(' - at ')
        raise DeclarationError(
            json_path.strip('`') or stored.name,
            problem,
            'correct the object in the store',
        ) from exc
