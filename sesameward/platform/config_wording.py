"""Word the problems of a configuration with the names of stored fields."""

from __future__ import annotations

from ..config_check.differences import Role
from ..config_check.problems import Kind
from ..config_check.problems import Section

MILLISECONDS_REMEDY = 'write milliseconds as a number, such as 250'
# What to write into a field whose value can not be read.
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
# Fields of the text by the attributes of plain types; others have their name.
FIELD_NAMES = {
    'header_timeout_s': 'header_timeout_ms',
    'host': 'hostname',
    'idle_timeout_s': 'idle_timeout_ms',
    'keys': 'api_keys',
    'prefix': 'path_prefix',
    'timeout_s': 'timeout_ms',
}
SECTION_NAMES = {
    Section.ROUTES: 'routes',
    Section.SERVICES: 'services',
    Section.ORGANISATIONS: 'tenants',
    Section.LIMITS: 'limits',
    Section.VERSION: 'version',
}
# Fields of which a route has one, in the order in which nodes look for them.
DESTINATION_FIELDS = ('gather', 'traffic_split', 'service')
FIELD_ROLES = {
    'api_keys': Role.KEYS,
    'burst': Role.LIMIT,
    'gather': Role.SHARDS,
    'header_timeout_ms': Role.LIMIT,
    'hostname': Role.PATH,
    'idle_timeout_ms': Role.LIMIT,
    'max_attempts': Role.LIMIT,
    'max_body_bytes': Role.LIMIT,
    'max_conns': Role.LIMIT,
    'max_header_bytes': Role.LIMIT,
    'min_coverage': Role.COVERAGE,
    'path_prefix': Role.PATH,
    'public': Role.PUBLIC,
    'rate_per_s': Role.RATE,
    'route_type': Role.REPEAT,
    'timeout_ms': Role.LIMIT,
    'traffic_split': Role.WEIGHTS,
    'warmup_per_s': Role.LIMIT,
}
ERROR_KINDS = (Kind.VERSION_IN_FORCE, Kind.VERSION_NOT_HIGHER)
SHARE_REMEDY = 'write a share from 0 to 1'
ONE_ENTRY_REMEDY = 'remove one entry'
ONE_NAME_REMEDY = 'remove or rename one of them'
PREFIX_REMEDY = 'remove one of them or change its prefix'
# Text and remedy of each kind of problem.
WORDING = {
    Kind.PREFIX_WITHOUT_SLASHES: (
        '{prefix!r} never matches: a prefix begins and ends with a slash',
        'write {suggestion!r}',
    ),
    Kind.PREFIX_NOT_A_PATH: (
        '{prefix!r} never matches: paths have no spaces, ? or #',
        'write only the path',
    ),
    Kind.NOT_A_HOST: (
        '{host!r} never matches: it is no host name',
        'write the host as callers send it, without scheme and path',
    ),
    Kind.NO_TIME: (
        'with 0, no request is answered in time',
        'write the milliseconds until a request must be answered',
    ),
    Kind.TIMEOUT_BELOW_OBJECTIVE: (
        '{timeout_ms:g} ms is shorter than the objective (target_latency_ms) '
        'of {objective_ms:g} ms',
        'raise the timeout or lower the objective',
    ),
    Kind.TOO_MANY_ATTEMPTS: (
        '{attempts} attempts are more than the retry budget of {ratio:g} '
        'repeats per request allows',
        'write {useful} or less',
    ),
    Kind.NO_SERVICE: (
        'the route leads to no service',
        "name one in 'service', 'traffic_split' or 'gather'",
    ),
    Kind.SERVICE_NOT_LISTED: (
        "service {service!r} is not listed in 'services'; its targets get the "
        'default connection limit',
        'list the service or correct its name',
    ),
    Kind.SERVICE_TWICE: (
        'service {service!r} is in the list twice',
        ONE_ENTRY_REMEDY,
    ),
    Kind.SHARD_TWICE: (
        'service {service!r} is in the list twice, so its records are merged '
        'twice',
        ONE_ENTRY_REMEDY,
    ),
    Kind.COVERAGE_ABOVE_1: (
        '{coverage:g} can never be met: all shards are 1',
        SHARE_REMEDY,
    ),
    Kind.COVERAGE_BELOW_0: ('{coverage:g} is below 0', SHARE_REMEDY),
    Kind.COVERAGE_NOT_MET: (
        '{coverage:g} of {shards} shards can not be met: only {different} are '
        'different',
        'remove repeated shards or lower the coverage',
    ),
    Kind.NO_RECORDS: (
        'with 0, answers hold no records',
        'write the number of records of an answer',
    ),
    Kind.WEIGHT_BELOW_0: (
        '{weight:g} is below 0, which makes all shares wrong',
        'write a weight above 0',
    ),
    Kind.WEIGHT_0: (
        'with 0, service {service!r} gets no requests',
        'write a weight above 0 or remove the part',
    ),
    Kind.ALL_WEIGHTS_0: (
        'all weights are 0, so the first part gets all requests',
        'write a weight above 0 or remove the part',
    ),
    Kind.ROUTE_REPLACED: (
        'route {route!r} never matches: {other} has the same host and prefix '
        'and replaces it',
        PREFIX_REMEDY,
    ),
    Kind.ROUTE_HIDDEN: (
        'route {route!r} is hidden by {other}, whose prefix is the same with '
        'a slash at its end',
        PREFIX_REMEDY,
    ),
    Kind.HOST_WITH_PORT: (
        'hides all routes of host {host!r} from requests to {with_port!r}',
        'write the host without a port, or repeat the routes',
    ),
    Kind.ROUTE_NAME_TWICE: (
        'route {name!r} is also {other}; counters and splits mix them up',
        ONE_NAME_REMEDY,
    ),
    Kind.SERVICE_NAME_TWICE: (
        'service {name!r} is also {other}; nodes use only the last one',
        ONE_NAME_REMEDY,
    ),
    Kind.ORGANISATION_NAME_TWICE: (
        'organisation {name!r} is also {other}; targets can not tell them '
        'apart',
        ONE_NAME_REMEDY,
    ),
    Kind.SERVICE_UNUSED: (
        'no route uses service {service!r}',
        'remove it or add a route to it',
    ),
    Kind.NO_ORGANISATIONS: (
        'is empty: every request to a route that is not public gets 401',
        'list organisations, or remove the field if no key is needed',
    ),
    Kind.NO_KEY: (
        'organisation {organisation!r} has no key, so no request belongs to '
        'it',
        'add a key or remove the organisation',
    ),
    Kind.KEY_UNUSABLE: (
        'never matches: it is empty, or has spaces at its ends or control '
        'characters',
        'write the key as callers send it in X-Api-Key',
    ),
    Kind.KEY_TWICE: (
        'key {fingerprint} is also {other}, and belongs to organisation '
        '{organisation!r}',
        'remove it from one of them',
    ),
    Kind.BURST_WITHOUT_RATE: (
        'has no effect without rate_per_s',
        'write a rate or remove the burst',
    ),
    Kind.BURST_BELOW_RATE: (
        '{burst:g} is below what one second of the rate needs ({rate:g})',
        'write {rate:g} or more',
    ),
    Kind.CALLERS_CUT_OFF: (
        'with 0, nodes disconnect callers at once',
        MILLISECONDS_REMEDY,
    ),
    Kind.VERSION_IN_FORCE: (
        '{version} is not higher than {in_force}, which is in force with the '
        'same content',
        'there is nothing to send',
    ),
    Kind.VERSION_NOT_HIGHER: (
        '{version} is not higher than {in_force}, which is in force',
        'write {next} or more',
    ),
}
