"""Name the problems of a configuration and the places where they are."""

from __future__ import annotations

import enum
import typing

import msgspec

from ..serving.routes import CallerLimits
from ..serving.routes import Organisation
from ..serving.routes import Route
from ..serving.routes import Service
from ..types import ServiceName

Item = Route | Service | Organisation


class Section(enum.Enum):
    """Parts of a configuration."""

    ROUTES = 'routes'
    SERVICES = 'services'
    ORGANISATIONS = 'organisations'
    LIMITS = 'limits'
    VERSION = 'version'


class Place(typing.NamedTuple):
    """Name the place of a problem.

    index is that of the item in its section, field the attribute of its plain
    type, and element that of an element of the field. Elements of a route's
    destination are its services; the field WEIGHT is the weight of one.
    """

    section: Section
    index: int | None = None
    field: str = ''
    element: int | None = None


# A field of Place that is not an attribute of Route itself.
WEIGHT = 'weight'


class Kind(enum.Enum):
    """Kinds of problems."""

    PREFIX_WITHOUT_SLASHES = enum.auto()
    PREFIX_NOT_A_PATH = enum.auto()
    NOT_A_HOST = enum.auto()
    NO_TIME = enum.auto()
    TIMEOUT_BELOW_OBJECTIVE = enum.auto()
    TOO_MANY_ATTEMPTS = enum.auto()
    NO_SERVICE = enum.auto()
    SERVICE_NOT_LISTED = enum.auto()
    SERVICE_TWICE = enum.auto()
    SHARD_TWICE = enum.auto()
    COVERAGE_ABOVE_1 = enum.auto()
    COVERAGE_BELOW_0 = enum.auto()
    COVERAGE_NOT_MET = enum.auto()
    NO_RECORDS = enum.auto()
    WEIGHT_BELOW_0 = enum.auto()
    WEIGHT_0 = enum.auto()
    ALL_WEIGHTS_0 = enum.auto()
    ROUTE_REPLACED = enum.auto()
    ROUTE_HIDDEN = enum.auto()
    HOST_WITH_PORT = enum.auto()
    ROUTE_NAME_TWICE = enum.auto()
    SERVICE_NAME_TWICE = enum.auto()
    ORGANISATION_NAME_TWICE = enum.auto()
    SERVICE_UNUSED = enum.auto()
    NO_ORGANISATIONS = enum.auto()
    NO_KEY = enum.auto()
    KEY_UNUSABLE = enum.auto()
    KEY_TWICE = enum.auto()
    BURST_WITHOUT_RATE = enum.auto()
    BURST_BELOW_RATE = enum.auto()
    CALLERS_CUT_OFF = enum.auto()
    VERSION_IN_FORCE = enum.auto()
    VERSION_NOT_HIGHER = enum.auto()


class Problem(msgspec.Struct, frozen=True):
    """Describe a problem; values has what a text about it needs."""

    place: Place
    kind: Kind
    values: dict[str, object] = {}


class Configuration(msgspec.Struct, frozen=True):
    """Hold the parts of a configuration that could be read, by index.

    organisations is None if the configuration has no list of them. limits is
    None if they could not be read. listed_services and used_services have also
    the services that are named in unreadable parts; used_services is None if
    no routes could be read.
    """

    routes: dict[int, Route]
    services: dict[int, Service]
    organisations: dict[int, Organisation] | None
    limits: CallerLimits | None
    listed_services: frozenset[ServiceName]
    used_services: frozenset[ServiceName] | None
