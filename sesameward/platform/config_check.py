"""Check a platform configuration before it is sent to the store.

Nothing here reads files or calls the store. Keys of organisations appear in
results only as fingerprints.
"""

from __future__ import annotations

import collections
import difflib
import enum
import hashlib
import math
import types
import typing

import msgspec

from ..exceptions import DeclarationError
from ..messages import StoredObject
from . import objects
from ..types import Revision

# Enough to tell the keys of a deployment apart, and of no use as a key.
FINGERPRINT_CHARS = 8
# The default of retry_ratio in the settings of nodes.
DEFAULT_RETRY_RATIO = 0.2
# Greater ratios allow more attempts than any route needs, and can't be told
# from each other below.
MAX_RETRY_RATIO = 100.0
# An attempt that fewer requests than this share can reach without exceeding
# the retry budget is considered useless.
USEFUL_ATTEMPT_SHARE = 0.01
# Below this similarity an unknown field is considered one of the platform's
# own, which nodes ignore, and not a misspelt one.
MISSPELT_SIMILARITY = 0.8
# Fields of the platform that nodes don't read but that resemble some they do.
FOREIGN_FIELDS = frozenset({'warmup_s'})
MILLISECONDS_REMEDY = 'write milliseconds as a number, such as 250'
REMEDIES = {
    'version': 'write a whole number, higher than the one in force',
    'route_type': "write 'safe' or 'unsafe'",
    'timeout_ms': MILLISECONDS_REMEDY,
    'target_latency_ms': MILLISECONDS_REMEDY,
    'header_timeout_ms': MILLISECONDS_REMEDY,
    'idle_timeout_ms': MILLISECONDS_REMEDY,
    'max_attempts': 'write a whole number, 1 or more',
    'max_conns': 'write a whole number, 1 or more',
    'max_header_bytes': 'write a whole number, such as 16384',
    'max_body_bytes': 'write a whole number, such as 262144',
    'public': 'write true or false',
    'api_keys': 'write a list of texts',
    'name': 'write 1 to 200 characters, without spaces at the ends',
}
DEFAULT_REMEDY = 'write a value of the expected kind'
# Fields whose decrease can make requests fail that succeed now.
FIELDS_NOT_TO_LOWER = frozenset(
    {
        'timeout_ms',
        'max_attempts',
        'max_conns',
        'warmup_per_s',
        'rate_per_s',
        'burst',
        'max_header_bytes',
        'max_body_bytes',
        'header_timeout_ms',
        'idle_timeout_ms',
    }
)
# Fields of which 0 and null both mean that there is no limit.
UNLIMITED_IF_0 = frozenset({'rate_per_s'})
REMOVAL_EFFECTS = {
    'route': 'requests to its prefix get 404 or another route',
    'service': 'its targets get the default connection limit',
    'organisation': 'requests with its keys get 401, unless another has them',
}
KEYS_REMOVED_EFFECT = (
    'requests with the removed keys get 401, unless another organisation '
    'has them'
)
PATH_CHANGE_EFFECT = 'requests to the old path get 404 or another route'
# What callers notice of each new value.
CHANGE_EFFECTS = {
    'hostname': lambda _: PATH_CHANGE_EFFECT,
    'path_prefix': lambda _: PATH_CHANGE_EFFECT,
    'route_type': lambda route_type: (
        'requests may run more than once'
        if route_type == 'safe'
        else 'requests that may have run are no longer repeated'
    ),
    'public': lambda is_public: (
        'requests need no key and belong to no organisation'
        if is_public
        else 'requests need a key'
    ),
}


class Severity(enum.Enum):
    """Tell whether a node or the store would refuse the configuration."""

    ERROR = 'error'
    WARNING = 'warning'


class Finding(msgspec.Struct, frozen=True):
    """Describe a problem of a configuration.

    place is the path of the field.
    """

    severity: Severity
    place: str
    problem: str
    remedy: str


class Change(enum.Enum):
    """Tell how a part differs from the configuration in force."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


class Difference(msgspec.Struct, frozen=True):
    """Describe how one part differs from the configuration in force.

    attention is the effect on callers that an operator must expect, or '' if
    the difference can't make a request fail that succeeds now.
    """

    change: Change
    part: str
    detail: str = ''
    attention: str = ''


class Report(msgspec.Struct, frozen=True):
    """Hold the result of a check.

    version_in_force is None if it is not known.
    """

    version: int | None
    version_in_force: int | None
    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] = ()

    def count(self, severity: Severity) -> int:
        """Return the number of findings of a severity."""
        return sum(one.severity is severity for one in self.findings)

    @property
    def attentions(self) -> int:
        """Return the number of differences that need attention."""
        return sum(bool(one.attention) for one in self.differences)


class _Config:
    """Hold the valid parts of a configuration, by their field paths.

    incomplete names the fields that have invalid parts. The names of services
    include those in invalid parts, so that an invalid part causes no warnings
    about others.
    """

    def __init__(
        self, data: dict[str, typing.Any], fields: dict[str, typing.Any]
    ):
        self.version: int | None = fields.get('version')
        self.routes = _by_place('routes', fields)
        self.services = _by_place('services', fields)
        self.limits = fields.get('limits')
        self.has_tenants = data.get('tenants') is not None
        self.tenants = _by_place('tenants', fields)
        self.incomplete = frozenset(
            name for name in data if not _is_complete(fields.get(name))
        )
        self.listed_services = {
            part['name']
            for part in _as_list(data.get('services'))
            if isinstance(part, dict) and isinstance(part.get('name'), str)
        }
        self.used_services = (
            set(_mentioned_services(data))
            if isinstance(data.get('routes'), list)
            else None
        )


def _by_place(
    name: str, fields: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    return {
        f'{name}[{index}]': item
        for index, item in enumerate(fields.get(name) or ())
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


def fingerprint(key: str) -> str:
    """Return the first digits of a key's SHA-256."""
    digest = hashlib.sha256(key.encode('utf-8', 'surrogatepass'))
    return digest.hexdigest()[:FINGERPRINT_CHARS]


def max_useful_attempts(retry_ratio: float) -> int:
    """Return the number of attempts that the retry budget can pay for.

    Where each attempt fails with probability p and is repeated without limit,
    a request has p / (1 - p) repeats on average. These equal retry_ratio at
    p = retry_ratio / (1 + retry_ratio). At this p, the share of requests that
    reach attempt n is p ** (n - 1).
    """
    if not retry_ratio > 0.0:
        return 1
    retry_ratio = min(retry_ratio, MAX_RETRY_RATIO)
    failing = retry_ratio / (1.0 + retry_ratio)
    return 1 + int(math.log(USEFUL_ATTEMPT_SHARE) / math.log(failing))


def check(
    text: bytes,
    in_force: bytes | None = None,
    retry_ratio: float = DEFAULT_RETRY_RATIO,
) -> Report:
    """Check the JSON text of a configuration.

    in_force is the text of the configuration in force, if it is known.
    """
    config, findings = _read(text)
    if config is None:
        return Report(None, None, tuple(findings))
    for place, route in config.routes.items():
        findings += _check_route(place, route, retry_ratio)
        findings += _check_destination(place, route, config)
    findings += _check_paths(config)
    findings += _check_hosts_with_port(config)
    findings += _check_names(config)
    findings += _check_unused_services(config)
    findings += _check_organisations(config)
    findings += _check_keys(config)
    findings += _check_caller_limits(config)
    version_in_force = None
    differences: list[Difference] = []
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
            differences = list(_differences(current, config))
            findings += _check_version(config, current, differences)
    findings.sort(key=lambda one: one.severity.value)
    return Report(
        config.version, version_in_force, tuple(findings), tuple(differences)
    )


def _error(place: str, problem: str, remedy: str) -> Finding:
    return Finding(Severity.ERROR, place, problem, remedy)


def _warning(place: str, problem: str, remedy: str) -> Finding:
    return Finding(Severity.WARNING, place, problem, remedy)


def lines(report: Report) -> typing.Iterator[str]:
    """Return the lines that show a report to an operator."""
    for one in report.findings:
        yield f'{one.severity.value}: {one.place}: {one.problem}; {one.remedy}'
    for one in report.differences:
        line = f'{one.change.value}: {one.part}'
        line += f': {one.detail}' if one.detail else ''
        yield line + (f'; attention: {one.attention}' if one.attention else '')
    if report.version_in_force is None:
        comparison = 'not compared'
    else:
        comparison = f'compared with version {report.version_in_force}'
    version = 'unknown' if report.version is None else report.version
    yield (
        f'version {version}, {comparison}: '
        f'{report.count(Severity.ERROR)} errors, '
        f'{report.count(Severity.WARNING)} warnings, '
        f'{len(report.differences)} differences, '
        f'{report.attentions} of them need attention'
    )


# Reading.


def _read(text: bytes) -> tuple[_Config | None, list[Finding]]:
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
    config = _Config(data, fields)
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
        return [_error(place, exc.problem, DEFAULT_REMEDY)]
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
            remedy = REMEDIES.get(field.name, 'add it')
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
        remedy = REMEDIES.get(name, DEFAULT_REMEDY)
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


# Entries that are never used and limits that contradict each other.


def _check_route(
    place: str, route: typing.Any, retry_ratio: float
) -> typing.Iterator[Finding]:
    prefix, host = route.path_prefix, route.hostname
    if not (prefix.startswith('/') and prefix.endswith('/')):
        yield _warning(
            f'{place}.path_prefix',
            f'{prefix!r} never matches: a prefix begins and ends with a slash',
            f'write {"/" + prefix.strip("/") + "/"!r}'.replace('//', '/'),
        )
    elif not prefix.isprintable() or set(prefix) & set(' ?#'):
        yield _warning(
            f'{place}.path_prefix',
            f'{prefix!r} never matches: paths have no spaces, ? or #',
            'write only the path',
        )
    if not host or not host.isprintable() or set(host) & set(' /'):
        yield _warning(
            f'{place}.hostname',
            f'{host!r} never matches: it is no host name',
            'write the host as callers send it, without scheme and path',
        )
    if route.timeout_ms == 0:
        yield _warning(
            f'{place}.timeout_ms',
            'with 0, no request is answered in time',
            'write the milliseconds until a request must be answered',
        )
    elif route.timeout_ms < route.target_latency_ms:
        yield _warning(
            f'{place}.timeout_ms',
            f'{route.timeout_ms:g} ms is shorter than the objective '
            f'(target_latency_ms) of {route.target_latency_ms:g} ms',
            'raise the timeout or lower the objective',
        )
    useful = max_useful_attempts(retry_ratio)
    if route.max_attempts > useful:
        yield _warning(
            f'{place}.max_attempts',
            f'{route.max_attempts} attempts are more than the retry budget of '
            f'{retry_ratio:g} repeats per request allows',
            f'write {useful} or less',
        )


def _check_destination(
    place: str, route: typing.Any, config: _Config
) -> typing.Iterator[Finding]:
    given = [
        name
        for name in ('gather', 'traffic_split', 'service')
        if getattr(route, name) is not None
    ]
    for name in given[1:]:
        yield _warning(
            f'{place}.{name}',
            f'is not used because the route has {given[0]!r}',
            'remove one of them',
        )
    if not route.to_route().services() or not (
        given and getattr(route, given[0])
    ):
        yield _warning(
            f'{place}.{given[0]}' if given else place,
            'the route leads to no service',
            "name one in 'service', 'traffic_split' or 'gather'",
        )
        return
    seen: set[str] = set()
    for path, service in _services(place, route):
        if service not in config.listed_services:
            yield _warning(
                path,
                f"service {service!r} is not listed in 'services'; its "
                'targets get the default connection limit',
                'list the service or correct its name',
            )
        if service in seen:
            yield _warning(
                path,
                f'service {service!r} is in the list twice'
                + (
                    ', so its records are merged twice'
                    if route.gather is not None
                    else ''
                ),
                'remove one entry',
            )
        seen.add(service)
    if route.gather is not None:
        yield from _check_coverage(place, route)
    elif route.traffic_split is not None:
        yield from _check_weights(place, route)
    if route.gather is None and (route.top_k or route.min_coverage):
        yield _warning(
            f'{place}.{"top_k" if route.top_k else "min_coverage"}',
            "has no effect without 'gather'",
            "remove it or name the shards in 'gather'",
        )


def _services(
    place: str, route: typing.Any
) -> typing.Iterator[tuple[str, str]]:
    if route.gather is not None:
        for index, service in enumerate(route.gather):
            yield f'{place}.gather[{index}]', service
    elif route.traffic_split is not None:
        for index, part in enumerate(route.traffic_split):
            yield f'{place}.traffic_split[{index}].service', part.service
    else:
        yield f'{place}.service', route.service


def _check_coverage(place: str, route: typing.Any) -> typing.Iterator[Finding]:
    if route.min_coverage > 1:
        yield _warning(
            f'{place}.min_coverage',
            f'{route.min_coverage:g} can never be met: all shards are 1',
            'write a share from 0 to 1',
        )
    elif route.min_coverage < 0:
        yield _warning(
            f'{place}.min_coverage',
            f'{route.min_coverage:g} is below 0',
            'write a share from 0 to 1',
        )
    elif math.ceil(route.min_coverage * len(route.gather) - 1e-9) > len(
        set(route.gather)
    ):
        yield _warning(
            f'{place}.min_coverage',
            f'{route.min_coverage:g} of {len(route.gather)} shards can not be '
            f'met: only {len(set(route.gather))} are different',
            'remove repeated shards or lower the coverage',
        )
    if route.top_k == 0:
        yield _warning(
            f'{place}.top_k',
            'with 0, answers hold no records',
            'write the number of records of an answer',
        )


def _check_weights(place: str, route: typing.Any) -> typing.Iterator[Finding]:
    total = sum(part.weight for part in route.traffic_split)
    for index, part in enumerate(route.traffic_split):
        path = f'{place}.traffic_split[{index}].weight'
        if part.weight < 0:
            yield _warning(
                path,
                f'{part.weight:g} is below 0, which makes all shares wrong',
                'write a weight above 0',
            )
        elif part.weight == 0:
            yield _warning(
                path,
                f'with 0, service {part.service!r} gets no requests'
                if total
                else 'all weights are 0, so the first part gets all requests',
                'write a weight above 0 or remove the part',
            )


def _check_paths(config: _Config) -> typing.Iterator[Finding]:
    # Later routes replace earlier ones, as in RouteTable.
    last: dict[tuple[str, str], str] = {}
    for place, route in config.routes.items():
        last[_path(route)] = place
    for place, route in config.routes.items():
        host, prefix = _path(route)
        if last[host, prefix] != place:
            yield _warning(
                place,
                f'route {route.name!r} never matches: {last[host, prefix]} '
                'has the same host and prefix and replaces it',
                'remove one of them or change its prefix',
            )
        with_slash = last.get((host, prefix + '/'))
        if with_slash and not prefix.endswith('/'):
            yield _warning(
                place,
                f'route {route.name!r} is hidden by {with_slash}, whose '
                'prefix is the same with a slash at its end',
                'remove one of them or change its prefix',
            )


def _check_hosts_with_port(config: _Config) -> typing.Iterator[Finding]:
    hosts = {route.hostname.lower() for route in config.routes.values()}
    for place, route in config.routes.items():
        host, colon, _ = route.hostname.lower().partition(':')
        if colon and host in hosts:
            yield _warning(
                f'{place}.hostname',
                f'hides all routes of host {host!r} from requests to '
                f'{route.hostname!r}',
                'write the host without a port, or repeat the routes',
            )


def _check_names(config: _Config) -> typing.Iterator[Finding]:
    for what, items, effect in (
        ('route', config.routes, 'counters and splits mix them up'),
        ('service', config.services, 'nodes use only the last one'),
        ('organisation', config.tenants, 'targets can not tell them apart'),
    ):
        first: dict[str, str] = {}
        for place, item in items.items():
            if first.setdefault(item.name, place) != place:
                yield _warning(
                    f'{place}.name',
                    f'{what} {item.name!r} is also {first[item.name]}; '
                    f'{effect}',
                    'remove or rename one of them',
                )


def _check_unused_services(config: _Config) -> typing.Iterator[Finding]:
    if config.used_services is None:
        return
    for place, service in config.services.items():
        if service.name not in config.used_services:
            yield _warning(
                place,
                f'no route uses service {service.name!r}',
                'remove it or add a route to it',
            )


def _check_organisations(config: _Config) -> typing.Iterator[Finding]:
    if config.has_tenants and not config.tenants:
        yield _warning(
            'tenants',
            'is empty: every request to a route that is not public gets 401',
            'list organisations, or remove the field if no key is needed',
        )
    for place, tenant in config.tenants.items():
        if not tenant.api_keys:
            yield _warning(
                f'{place}.api_keys',
                f'organisation {tenant.name!r} has no key, so no request '
                'belongs to it',
                'add a key or remove the organisation',
            )
        rate, burst = tenant.rate_per_s or 0.0, tenant.burst or 0.0
        if burst and not rate:
            yield _warning(
                f'{place}.burst',
                'has no effect without rate_per_s',
                'write a rate or remove the burst',
            )
        elif burst < rate:
            yield _warning(
                f'{place}.burst',
                f'{burst:g} is below what one second of the rate needs '
                f'({rate:g})',
                f'write {rate:g} or more',
            )


def _check_keys(config: _Config) -> typing.Iterator[Finding]:
    owners: dict[str, tuple[str, str]] = {}
    for place, tenant in config.tenants.items():
        for index, key in enumerate(tenant.api_keys):
            path = f'{place}.api_keys[{index}]'
            if not key or key != key.strip() or not key.isprintable():
                yield _warning(
                    path,
                    'never matches: it is empty, or has spaces at its ends or '
                    'control characters',
                    'write the key as callers send it in X-Api-Key',
                )
            owner, name = owners.setdefault(key, (path, tenant.name))
            if owner != path:
                yield _warning(
                    path,
                    f'key {fingerprint(key)} is also {owner}, and belongs to '
                    f'organisation {name!r}',
                    'remove it from one of them',
                )


def _check_caller_limits(config: _Config) -> typing.Iterator[Finding]:
    for name in ('header_timeout_ms', 'idle_timeout_ms'):
        if config.limits is not None and getattr(config.limits, name) == 0:
            yield _warning(
                f'limits.{name}',
                'with 0, nodes disconnect callers at once',
                MILLISECONDS_REMEDY,
            )


# Comparison with the configuration in force.


def _check_version(
    config: _Config, current: _Config, differences: list[Difference]
) -> typing.Iterator[Finding]:
    if config.version is None or current.version is None:
        return
    if config.version <= current.version:
        same = config.version == current.version and not differences
        yield _error(
            'version',
            f'{config.version} is not higher than {current.version}, which is '
            'in force' + (' with the same content' if same else ''),
            'there is nothing to send'
            if same
            else f'write {current.version + 1} or more',
        )


def _differences(
    before: _Config, after: _Config
) -> typing.Iterator[Difference]:
    invalid = before.incomplete | after.incomplete
    for field, what, old, new in (
        ('routes', 'route', before.routes, after.routes),
        ('services', 'service', before.services, after.services),
        ('tenants', 'organisation', before.tenants, after.tenants),
    ):
        if field == 'tenants' and before.has_tenants != after.has_tenants:
            continue
        if field not in invalid:
            yield from _compare(what, old, new)
    if 'limits' not in invalid:
        default = objects.CallerLimitFields()
        yield from _compare_fields(
            'limits', before.limits or default, after.limits or default
        )
    if after.has_tenants and not before.has_tenants:
        yield Difference(
            Change.ADDED,
            'organisations',
            attention='requests to routes that are not public need a key',
        )
    elif before.has_tenants and not after.has_tenants:
        yield Difference(
            Change.REMOVED,
            'organisations',
            attention='no request needs a key any more',
        )


def _compare(
    what: str,
    before: dict[str, typing.Any],
    after: dict[str, typing.Any],
) -> typing.Iterator[Difference]:
    old = {item.name: item for item in reversed(before.values())}
    new = {item.name: item for item in reversed(after.values())}
    for name in sorted(old.keys() | new.keys()):
        part = f'{what} {name!r}'
        if name not in old:
            yield Difference(Change.ADDED, part, _summary(new[name]))
        elif name not in new:
            yield _removal(what, old[name], new.values())
        else:
            yield from _compare_fields(part, old[name], new[name])


def _removal(
    what: str, item: typing.Any, remaining: typing.Iterable[typing.Any]
) -> Difference:
    effect, detail = REMOVAL_EFFECTS[what], ''
    if what == 'route':
        detail = f'{item.hostname}{item.path_prefix}'
        for route in remaining:
            if _path(route) == _path(item):
                detail += f' now has route {route.name!r}'
                effect = ''
                break
    elif what == 'organisation':
        detail = f'api_keys={_show("api_keys", item.api_keys)}'
    return Difference(Change.REMOVED, f'{what} {item.name!r}', detail, effect)


def _path(route: typing.Any) -> tuple[str, str]:
    return route.hostname.lower(), route.path_prefix


def _summary(item: msgspec.Struct) -> str:
    return ', '.join(
        f'{field}={_show(field, getattr(item, field))}'
        for field in item.__struct_fields__
        if field != 'name' and getattr(item, field) is not None
    )


def _compare_fields(
    part: str, old: msgspec.Struct, new: msgspec.Struct
) -> typing.Iterator[Difference]:
    for field in old.__struct_fields__:
        before, after = getattr(old, field), getattr(new, field)
        if before == after:
            continue
        if field in ('api_keys', 'gather') and before and after:
            if collections.Counter(before) == collections.Counter(after):
                continue
            yield _compare_lists(part, field, before, after)
            continue
        yield Difference(
            Change.CHANGED,
            part,
            f'{field}: {_show(field, before)} -> {_show(field, after)}',
            _attention(field, before, after),
        )


def _compare_lists(
    part: str, field: str, before: tuple[str, ...], after: tuple[str, ...]
) -> Difference:
    show = fingerprint if field == 'api_keys' else str
    added = sorted(show(one) for one in set(after) - set(before))
    removed = sorted(show(one) for one in set(before) - set(after))
    detail = f'{field}: {len(before)} -> {len(after)}'
    if added:
        detail += f', added {" ".join(added)}'
    if removed:
        detail += f', removed {" ".join(removed)}'
    attention = ''
    if removed and field == 'api_keys':
        attention = KEYS_REMOVED_EFFECT
    elif removed:
        attention = 'answers lack the records of the removed shards'
    return Difference(Change.CHANGED, part, detail, attention)


def _show(field: str, value: typing.Any) -> str:
    match field, value:
        case _, None:
            return 'none'
        case 'api_keys', keys:
            shown = ' '.join(sorted(map(fingerprint, keys)))
            return f'{len(keys)} ({shown})' if keys else '0'
        case 'traffic_split', parts:
            return ' '.join(f'{one.service}:{one.weight:g}' for one in parts)
        case 'gather', shards:
            return f'{len(shards)} shards'
        case _, bool():
            return str(value).lower()
        case _, float():
            return f'{value:g}'
    return str(value)


def _attention(field: str, before: typing.Any, after: typing.Any) -> str:
    if field in CHANGE_EFFECTS:
        return CHANGE_EFFECTS[field](after)
    if field == 'api_keys' and before:
        return KEYS_REMOVED_EFFECT
    if field == 'min_coverage' and after > before:
        return 'queries that miss shards may fail'
    if field in FIELDS_NOT_TO_LOWER:
        none = math.inf
        if field in UNLIMITED_IF_0:
            before, after = before or none, after or none
        before = none if before is None else before
        after = none if after is None else after
        if after < before:
            return 'a lower limit may refuse or fail requests'
    return ''
