"""Find entries of a configuration that never match or take effect."""

from __future__ import annotations

import typing

from ..serving.routes import Destination
from ..serving.routes import OneService
from ..serving.routes import Organisation
from ..serving.routes import Route
from ..serving.routes import Shards
from ..serving.routes import Split
from .contradictions import in_organisation_limit
from .fingerprints import fingerprint
from .problems import Configuration
from .problems import Item
from .problems import Kind
from .problems import Place
from .problems import Problem
from .problems import Section
from .problems import WEIGHT


def in_path(index: int, route: Route) -> typing.Iterator[Problem]:
    """Return the problems of a host or prefix that no request can have."""
    prefix, host = route.prefix, route.host
    place = Place(Section.ROUTES, index, 'prefix')
    if not (prefix.startswith('/') and prefix.endswith('/')):
        suggestion = f'/{prefix.strip("/")}/'.replace('//', '/')
        yield Problem(
            place,
            Kind.PREFIX_WITHOUT_SLASHES,
            {'prefix': prefix, 'suggestion': suggestion},
        )
    elif not prefix.isprintable() or set(prefix) & set(' ?#'):
        yield Problem(place, Kind.PREFIX_NOT_A_PATH, {'prefix': prefix})
    if not host or not host.isprintable() or set(host) & set(' /'):
        yield Problem(
            place._replace(field='host'), Kind.NOT_A_HOST, {'host': host}
        )


def leads_nowhere(destination: Destination) -> bool:
    """Return True if a destination has no service."""
    match destination:
        case OneService(service):
            return not service
        case Split(parts):
            return not parts
        case Shards(services):
            return not services


def in_services(
    index: int, route: Route, config: Configuration
) -> typing.Iterator[Problem]:
    """Return the problems of the services that a route names."""
    is_query = isinstance(route.destination, Shards)
    seen: set[str] = set()
    for number, service in enumerate(route.services()):
        place = Place(Section.ROUTES, index, 'destination', number)
        if service not in config.listed_services:
            yield Problem(place, Kind.SERVICE_NOT_LISTED, {'service': service})
        if service in seen:
            yield Problem(
                place,
                Kind.SHARD_TWICE if is_query else Kind.SERVICE_TWICE,
                {'service': service},
            )
        seen.add(service)


def in_split(index: int, split: Split) -> typing.Iterator[Problem]:
    """Return the parts of a split that get no or wrong shares."""
    total = sum(part.weight for part in split.parts)
    for number, part in enumerate(split.parts):
        place = Place(Section.ROUTES, index, WEIGHT, number)
        if part.weight < 0:
            yield Problem(place, Kind.WEIGHT_BELOW_0, {'weight': part.weight})
        elif part.weight == 0:
            yield Problem(
                place,
                Kind.WEIGHT_0 if total else Kind.ALL_WEIGHTS_0,
                {'service': part.service},
            )


def path_of(route: Route) -> tuple[str, str]:
    """Return the host and prefix by which a route is found."""
    return route.host.lower(), route.prefix


def in_paths(config: Configuration) -> typing.Iterator[Problem]:
    """Return the routes that others replace or hide."""
    # Later routes replace earlier ones, as in RouteTable.
    last = {path_of(route): index for index, route in config.routes.items()}
    for index, route in config.routes.items():
        host, prefix = path_of(route)
        place = Place(Section.ROUTES, index)
        if last[host, prefix] != index:
            other = Place(Section.ROUTES, last[host, prefix])
            yield Problem(
                place,
                Kind.ROUTE_REPLACED,
                {'route': route.name, 'other': other},
            )
        with_slash = last.get((host, prefix + '/'))
        if with_slash is not None and not prefix.endswith('/'):
            other = Place(Section.ROUTES, with_slash)
            yield Problem(
                place,
                Kind.ROUTE_HIDDEN,
                {'route': route.name, 'other': other},
            )


def in_hosts(config: Configuration) -> typing.Iterator[Problem]:
    """Return the hosts with a port that hide those without."""
    hosts = {route.host.lower() for route in config.routes.values()}
    for index, route in config.routes.items():
        host, colon, _ = route.host.lower().partition(':')
        if colon and host in hosts:
            yield Problem(
                Place(Section.ROUTES, index, 'host'),
                Kind.HOST_WITH_PORT,
                {'host': host, 'with_port': route.host},
            )


def in_names(config: Configuration) -> typing.Iterator[Problem]:
    """Return the items that have the name of another one."""
    sections: tuple[tuple[Section, typing.Mapping[int, Item], Kind], ...] = (
        (Section.ROUTES, config.routes, Kind.ROUTE_NAME_TWICE),
        (Section.SERVICES, config.services, Kind.SERVICE_NAME_TWICE),
        (
            Section.ORGANISATIONS,
            config.organisations or {},
            Kind.ORGANISATION_NAME_TWICE,
        ),
    )
    for section, items, kind in sections:
        first: dict[str, int] = {}
        for index, item in items.items():
            known = first.setdefault(item.name, index)
            if known != index:
                yield Problem(
                    Place(section, index, 'name'),
                    kind,
                    {'name': item.name, 'other': Place(section, known)},
                )


def in_services_without_route(
    config: Configuration,
) -> typing.Iterator[Problem]:
    """Return the services that no route uses."""
    if config.used_services is None:
        return
    for index, service in config.services.items():
        if service.name not in config.used_services:
            yield Problem(
                Place(Section.SERVICES, index),
                Kind.SERVICE_UNUSED,
                {'service': service.name},
            )


def in_organisations(config: Configuration) -> typing.Iterator[Problem]:
    """Return the problems of organisations, except those of their keys."""
    if config.organisations is None:
        return
    if not config.organisations:
        yield Problem(Place(Section.ORGANISATIONS), Kind.NO_ORGANISATIONS)
    for index, organisation in config.organisations.items():
        if not organisation.keys:
            yield Problem(
                Place(Section.ORGANISATIONS, index, 'keys'),
                Kind.NO_KEY,
                {'organisation': organisation.name},
            )
        yield from in_organisation_limit(
            index, organisation.rate_per_s, organisation.burst
        )


def in_keys(config: Configuration) -> typing.Iterator[Problem]:
    """Return the keys that never match or belong to another organisation."""
    owners: dict[str, tuple[Place, Organisation]] = {}
    for index, organisation in (config.organisations or {}).items():
        for number, key in enumerate(organisation.keys):
            place = Place(Section.ORGANISATIONS, index, 'keys', number)
            if not key or key != key.strip() or not key.isprintable():
                yield Problem(place, Kind.KEY_UNUSABLE)
            other, owner = owners.setdefault(key, (place, organisation))
            if other != place:
                yield Problem(
                    place,
                    Kind.KEY_TWICE,
                    {
                        'fingerprint': fingerprint(key),
                        'other': other,
                        'organisation': owner.name,
                    },
                )
