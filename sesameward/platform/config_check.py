"""Check a platform configuration before it is sent to the store.

Read the JSON text, and name problems and differences that config_check finds
by the fields of the text. Nothing here reads files or calls the store. Keys of
organisations appear in results only as fingerprints.
"""

from __future__ import annotations

import difflib
import types
import typing

import msgspec

from ..config_check import contradictions
from ..config_check.contradictions import DEFAULT_RETRY_RATIO
from ..config_check.contradictions import max_useful_attempts
from ..config_check import differences
from ..config_check.differences import Difference
from ..config_check.differences import Role
from ..config_check.fingerprints import fingerprint
from ..config_check.problems import Configuration
from ..config_check.problems import Item
from ..config_check.problems import Kind
from ..config_check.problems import Place
from ..config_check.problems import Problem
from ..config_check.problems import Section
from ..config_check.problems import WEIGHT
from ..config_check.report import Finding
from ..config_check.report import lines
from ..config_check.report import Report
from ..config_check.report import Severity
from ..config_check import unused
from . import config_wording
from ..exceptions import DeclarationError
from ..messages import StoredObject
from . import objects
from ..serving.routes import CallerLimits
from ..serving.routes import Shards
from ..serving.routes import Split
from ..types import Revision

__all__ = (
    'check',
    'DEFAULT_RETRY_RATIO',
    'Finding',
    'fingerprint',
    'lines',
    'max_useful_attempts',
    'Report',
    'Severity',
)

# Below this similarity an unknown field is considered one of the platform's
# own, which nodes ignore, and not a misspelt one.
MISSPELT_SIMILARITY = 0.8
# Fields of the platform that nodes don't read but that resemble some they do.
FOREIGN_FIELDS = frozenset({'warmup_s'})


class _StoredParts:
    """Hold the valid parts of a configuration, by their index.

    incomplete names the fields that have invalid parts. The names of services
    include those in invalid parts, so that an invalid part causes no warnings
    about others.
    """

    def __init__(
        self, data: dict[str, typing.Any], fields: dict[str, typing.Any]
    ):
        self.version: int | None = fields.get('version')
        self.routes = _by_index(fields.get('routes'))
        self.services = _by_index(fields.get('services'))
        self.tenants = _by_index(fields.get('tenants'))
        self.limits = fields.get('limits')
        self.has_tenants = data.get('tenants') is not None
        self.incomplete = frozenset(
            name for name in data if not _is_complete(fields.get(name))
        )
        self.plain = Configuration(
            {i: route.to_route() for i, route in self.routes.items()},
            {i: service.to_service() for i, service in self.services.items()},
            {i: tenant.to_organisation() for i, tenant in self.tenants.items()}
            if self.has_tenants
            else None,
            None if self.limits is None else self.limits.to_limits(),
            frozenset(
                part['name']
                for part in _as_list(data.get('services'))
                if isinstance(part, dict) and isinstance(part.get('name'), str)
            ),
            frozenset(_mentioned_services(data))
            if isinstance(data.get('routes'), list)
            else None,
        )

    def comparable(self, section: Section) -> list[differences.Part]:
        """Return the items of a section with their stored fields."""
        match section:
            case Section.ROUTES:
                stored, plain = self.routes, self.plain.routes
            case Section.SERVICES:
                stored, plain = self.services, self.plain.services
            case _:
                stored, plain = self.tenants, self.plain.organisations or {}
        return [_comparable(stored[index], plain[index]) for index in stored]

    def comparable_limits(self) -> differences.Part:
        """Return the limits of callers with their stored fields."""
        stored = self.limits or objects.CallerLimitFields()
        return _comparable(stored, stored.to_limits())

    def path(self, place: Place) -> str:
        """Return the path of a place in the text."""
        path = config_wording.SECTION_NAMES[place.section]
        if place.index is not None:
            path += f'[{place.index}]'
        match place.field:
            case '':
                return path
            case 'destination':
                return path + self._destination_path(place)
            case field if field == WEIGHT:
                return f'{path}.traffic_split[{place.element}].weight'
        path += f'.{config_wording.FIELD_NAMES.get(place.field, place.field)}'
        return path if place.element is None else f'{path}[{place.element}]'

    def _destination_path(self, place: Place) -> str:
        given = _given_destinations(self.routes[place.index])
        match given[:1], place.element:
            case [], _:
                return ''
            case [name], None:
                return f'.{name}'
            case ['service'], _:
                return '.service'
            case ['traffic_split'], element:
                return f'.traffic_split[{element}].service'
            case [name], element:
                return f'.{name}[{element}]'
        raise AssertionError(given)


def _by_index(
    items: typing.Sequence[typing.Any] | None,
) -> dict[int, typing.Any]:
    return {
        index: item
        for index, item in enumerate(items or ())
        if item is not None
    }


def _is_complete(value: typing.Any) -> bool:
    if isinstance(value, tuple):
        return None not in value
    return value is not None


def _as_list(value: typing.Any) -> list:
    return value if isinstance(value, list) else []


def _mentioned_services(
    data: dict[str, typing.Any],
) -> typing.Iterator[str]:
    for route in _as_list(data.get('routes')):
        if not isinstance(route, dict):
            continue
        parts = _as_list(route.get('traffic_split'))
        for name in (
            route.get('service'),
            *_as_list(route.get('gather')),
            *(one.get('service') for one in parts if isinstance(one, dict)),
        ):
            if isinstance(name, str):
                yield name


def _given_destinations(route: typing.Any) -> list[str]:
    return [
        name
        for name in config_wording.DESTINATION_FIELDS
        if getattr(route, name) is not None
    ]


def check(
    text: bytes,
    in_force: bytes | None = None,
    retry_ratio: float = DEFAULT_RETRY_RATIO,
) -> Report:
    """Check the JSON text of a configuration.

    in_force is the text of the configuration in force, if it is known.
    """
    parts, findings = _read(text)
    if parts is None:
        return Report(None, None, tuple(findings))
    for index in parts.routes:
        findings += _check_route(index, parts, retry_ratio)
    for find in (
        unused.in_paths,
        unused.in_hosts,
        unused.in_names,
        unused.in_services_without_route,
        unused.in_organisations,
        unused.in_keys,
        contradictions.in_caller_limits,
    ):
        findings += [_finding(one, parts) for one in find(parts.plain)]
    version_in_force = None
    found: list[Difference] = []
    if in_force is not None:
        current, errors = _read(in_force)
        if errors or current is None:
            findings += [
                _warning(
                    f'in force: {one.place}',
                    one.problem,
                    'this part of the version in force is not compared',
                )
                for one in errors
            ]
        if current is not None:
            version_in_force = current.version
            found = list(_differences(current, parts))
            findings += _check_version(parts, current, not found)
    findings.sort(key=lambda one: one.severity.value)
    return Report(
        parts.version, version_in_force, tuple(findings), tuple(found)
    )


def _error(place: str, problem: str, remedy: str) -> Finding:
    return Finding(Severity.ERROR, place, problem, remedy)


def _warning(place: str, problem: str, remedy: str) -> Finding:
    return Finding(Severity.WARNING, place, problem, remedy)


def _finding(problem: Problem, parts: _StoredParts) -> Finding:
    """Return a problem in the words of the text."""
    values = {
        name: parts.path(value) if isinstance(value, Place) else value
        for name, value in problem.values.items()
    }
    text, remedy = config_wording.WORDING[problem.kind]
    is_error = problem.kind in config_wording.ERROR_KINDS
    return Finding(
        Severity.ERROR if is_error else Severity.WARNING,
        parts.path(problem.place),
        text.format_map(values),
        remedy.format_map(values),
    )


# Reading.


def _read(text: bytes) -> tuple[_StoredParts | None, list[Finding]]:
    findings: list[Finding] = []
    try:
        data = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return None, [_error('file', str(exc), 'write one JSON object')]
    if isinstance(data, dict) and 'spec' in data and 'routes' not in data:
        # The store sends and takes the configuration with its name.
        meta = data.get('meta')
        name = meta.get('name') if isinstance(meta, dict) else None
        if name != objects.ROUTES_NAME:
            findings.append(
                _error(
                    'meta.name',
                    f'is not {objects.ROUTES_NAME!r}',
                    f'name the object {objects.ROUTES_NAME!r}',
                )
            )
        data = data['spec']
    if not isinstance(data, dict):
        problem = f'holds {_json_kind(data)}, not an object'
        remedy = "write an object with 'version' and 'routes'"
        return None, [*findings, _error('file', problem, remedy)]
    fields = _convert_fields(data, objects.StoredConfig, '', findings)
    config = _StoredParts(data, fields)
    if not any(one.severity is Severity.ERROR for one in findings):
        findings += _decode_as_node(data)
    return config, findings


def _decode_as_node(data: dict[str, typing.Any]) -> list[Finding]:
    stored = StoredObject(
        objects.ROUTES_KIND,
        objects.ROUTES_NAME,
        Revision(1),
        msgspec.json.encode(data),
    )
    try:
        objects.ObjectDecoder().routes(stored)
    except DeclarationError as exc:
        place = exc.field.removeprefix('$.')
        return [_error(place, exc.problem, config_wording.DEFAULT_REMEDY)]
    return []


def _convert_fields(
    value: dict[str, typing.Any],
    kind: type[msgspec.Struct],
    place: str,
    findings: list[Finding],
) -> dict[str, typing.Any]:
    found: dict[str, typing.Any] = {}
    fields = msgspec.structs.fields(kind)
    for field in fields:
        path = f'{place}.{field.name}' if place else field.name
        if field.name in value:
            found[field.name] = _convert(
                value[field.name], field.type, path, findings
            )
        elif field.required:
            remedy = config_wording.REMEDIES.get(field.name, 'add it')
            findings.append(_error(path, 'the field is missing', remedy))
    names = [field.name for field in fields]
    for name in value.keys() - set(names) - FOREIGN_FIELDS:
        similar = difflib.get_close_matches(
            name, names, 1, MISSPELT_SIMILARITY
        )
        if similar and similar[0] not in value:
            findings.append(
                _warning(
                    f'{place}.{name}' if place else name,
                    'nodes ignore this field, which they do not know',
                    f'rename it if {similar[0]!r} is meant',
                )
            )
    return found


def _convert(
    value: typing.Any,
    kind: typing.Any,
    place: str,
    findings: list[Finding],
) -> typing.Any:
    """Return the converted value, or None after adding errors."""
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        if value is None:
            return None
        (kind,) = (
            one for one in typing.get_args(kind) if one is not types.NoneType
        )
    if typing.get_origin(kind) is tuple and isinstance(value, list):
        item_kind = typing.get_args(kind)[0]
        return tuple(
            _convert(item, item_kind, f'{place}[{index}]', findings)
            for index, item in enumerate(value)
        )
    is_struct = isinstance(kind, type) and issubclass(kind, msgspec.Struct)
    if is_struct and isinstance(value, dict):
        before = _count_errors(findings)
        fields = _convert_fields(value, kind, place, findings)
        return kind(**fields) if _count_errors(findings) == before else None
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as exc:
        problem = str(exc).partition(' - at ')[0]
        name = place.rpartition('.')[2].partition('[')[0]
        remedy = config_wording.REMEDIES.get(
            name, config_wording.DEFAULT_REMEDY
        )
        findings.append(_error(place, problem, remedy))
    return None


def _count_errors(findings: list[Finding]) -> int:
    return sum(one.severity is Severity.ERROR for one in findings)


def _json_kind(value: object) -> str:
    match value:
        case None:
            return 'null'
        case list():
            return 'a list'
        case str():
            return 'a text'
        case bool():
            return 'true or false'
    return 'a number'


# Problems and differences, named by the fields of the text.


def _check_route(
    index: int, parts: _StoredParts, retry_ratio: float
) -> typing.Iterator[Finding]:
    config, stored = parts.plain, parts.routes[index]
    route = config.routes[index]
    destination = route.destination
    for one in unused.in_path(index, route):
        yield _finding(one, parts)
    for one in contradictions.in_route(index, route, retry_ratio):
        yield _finding(one, parts)
    place = Place(Section.ROUTES, index)
    given = _given_destinations(stored)
    for name in given[1:]:
        yield _warning(
            f'{parts.path(place)}.{name}',
            f'is not used because the route has {given[0]!r}',
            'remove one of them',
        )
    if unused.leads_nowhere(destination):
        nowhere = place._replace(field='destination')
        yield _finding(Problem(nowhere, Kind.NO_SERVICE), parts)
        return
    for one in unused.in_services(index, route, config):
        yield _finding(one, parts)
    match destination:
        case Shards():
            for one in contradictions.in_shards(index, destination):
                yield _finding(one, parts)
        case Split():
            for one in unused.in_split(index, destination):
                yield _finding(one, parts)
    if stored.gather is None and (stored.top_k or stored.min_coverage):
        name = 'top_k' if stored.top_k else 'min_coverage'
        yield _warning(
            f'{parts.path(place)}.{name}',
            "has no effect without 'gather'",
            "remove it or name the shards in 'gather'",
        )


def _check_version(
    parts: _StoredParts, current: _StoredParts, is_same: bool
) -> typing.Iterator[Finding]:
    if parts.version is None or current.version is None:
        return
    problem = differences.version_problem(
        parts.version, current.version, is_same
    )
    if problem is not None:
        yield _finding(problem, parts)


def _differences(
    before: _StoredParts, after: _StoredParts
) -> typing.Iterator[Difference]:
    invalid = before.incomplete | after.incomplete
    for section in differences.NOUNS:
        name = config_wording.SECTION_NAMES[section]
        if name == 'tenants' and before.has_tenants != after.has_tenants:
            continue
        if name not in invalid:
            yield from differences.of_items(
                section, before.comparable(section), after.comparable(section)
            )
    if 'limits' not in invalid:
        yield from differences.of_fields(
            'limits', before.comparable_limits(), after.comparable_limits()
        )
    yield from differences.of_organisation_lists(
        before.has_tenants, after.has_tenants
    )


def _comparable(
    stored: msgspec.Struct, plain: Item | CallerLimits
) -> differences.Part:
    return differences.Part(
        plain,
        tuple(
            differences.Field(
                name,
                config_wording.FIELD_ROLES.get(name, Role.OTHER),
                getattr(stored, name),
            )
            for name in stored.__struct_fields__
            if name != 'name'
        ),
    )
