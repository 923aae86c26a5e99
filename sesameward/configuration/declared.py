"""Define and validate the objects that operators declare."""

from __future__ import annotations

import typing

import msgspec

from ..exceptions import DeclarationError
from ..types import Generation
from ..types import Priority
from ..types import RecordVersion
from ..types import ServiceName
from ..types import ShardId
from ..types import TargetId
from ..types import ZoneName

MAX_OBJECT_BYTES = 900_000
MAX_DEADLINE_MS = 600_000

Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
PositiveInt = typing.Annotated[int, msgspec.Meta(ge=1)]
Name = typing.Annotated[
    str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')
]


class Shard(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Declare a shard, which owns the record keys in [start, end).

    An end of None means that the range has no upper bound.
    """

    id: ShardId
    start: str = ''
    end: str | None = None

    def owns(self, key: str) -> bool:
        """Return whether the record key lies in this shard's range."""
        return self.start <= key and (self.end is None or key < self.end)


class ShardMap(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Assign every record key to exactly one shard."""

    generation: Generation
    shards: tuple[Shard, ...]

    def owner(self, key: str) -> Shard:
        """Return the shard that owns the record key."""
        return next(shard for shard in self.shards if shard.owns(key))


class Deadlines(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit how long requests of a service may take, in milliseconds.

    default_ms applies to requests that set no deadline; max_ms is the longest
    deadline that a request may set.
    """

    default_ms: PositiveInt = 210
    max_ms: PositiveInt = 5_000


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Declare one query service and its shard maps."""

    name: Name
    maps: tuple[ShardMap, ...]
    record_versions: tuple[RecordVersion, ...]
    deadlines: Deadlines = Deadlines()
    priority: Priority = Priority.NORMAL
    bookings: bool = False

    @property
    def service(self) -> ServiceName:
        """Return the service's name.

        Pool has a field called service. With this property, callers can read
        the service's name from a Service and from a Pool in the same way.
        """
        return ServiceName(self.name)


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Declare one server of a pool and the shards that it holds."""

    id: TargetId
    host: str
    port: Port
    zone: ZoneName
    shards: tuple[ShardId, ...]
    slots: PositiveInt = 2
    connections: PositiveInt = 25
    connect_ms: float = 6.0
    drain: bool = False


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Declare a group of targets of a service; a service may have several."""

    name: Name
    service: ServiceName
    targets: tuple[Target, ...]


Declared = Service | Pool
KINDS: dict[str, type[Service] | type[Pool]] = {
    'service': Service,
    'pool': Pool,
}


def kind_of(declared: Declared) -> str:
    """Return the kind under which the object is stored."""
    match declared:
        case Service():
            return 'service'
        case Pool():
            return 'pool'


def decode(kind: str, data: bytes) -> Declared:
    """Decode and validate one stored object.

    Raise DeclarationError for an unknown kind, an object that is too large,
    and invalid or contradictory fields.
    """
    if kind not in KINDS:
        raise DeclarationError(
            'kind', f'unknown kind {kind!r}', f'use one of {sorted(KINDS)}'
        )
    if len(data) > MAX_OBJECT_BYTES:
        raise DeclarationError(
            'size',
            f'{len(data)} bytes exceed the limit of {MAX_OBJECT_BYTES}',
            'divide the targets among several pools',
        )
    try:
        declared = msgspec.json.decode(data, type=KINDS[kind])
    except msgspec.DecodeError as exc:
        problem, _, where = str(exc).partition(' - at ')
        raise DeclarationError(
            where.strip('`') or '$', problem, 'correct this field'
        ) from exc
    check(declared)
    return declared


def encode(declared: Declared) -> bytes:
    """Encode one object as JSON, as it is stored."""
    return msgspec.json.encode(declared)


def check(declared: Declared) -> None:
    """Raise DeclarationError if fields of the object contradict each other."""
    match declared:
        case Service():
            _check_service(declared)
        case Pool():
            _check_pool(declared)


def _check_service(service: Service) -> None:
    if not service.maps:
        raise DeclarationError(
            'maps', 'is empty', 'declare at least one shard map'
        )
    if not service.record_versions:
        raise DeclarationError(
            'record_versions',
            'is empty',
            'list the record versions that the service covers',
        )
    _check_deadlines(service.deadlines)
    generations = [m.generation for m in service.maps]
    if len(set(generations)) != len(generations):
        raise DeclarationError(
            'maps',
            'two shard maps have the same generation',
            'give each shard map its own generation',
        )
    shards_by_id: dict[ShardId, Shard] = {}
    for shard_map in service.maps:
        _check_map(shard_map)
        for shard in shard_map.shards:
            if shards_by_id.setdefault(shard.id, shard) != shard:
                raise DeclarationError(
                    f'maps[{shard_map.generation}].shards',
                    f'shard {shard.id} has a different range in another map',
                    'use a new id for each shard with a changed range',
                )


def _check_deadlines(deadlines: Deadlines) -> None:
    if deadlines.max_ms > MAX_DEADLINE_MS:
        raise DeclarationError(
            'deadlines.max_ms',
            f'exceeds the limit of {MAX_DEADLINE_MS} ms',
            'lower max_ms',
        )
    if deadlines.default_ms > deadlines.max_ms:
        raise DeclarationError(
            'deadlines.default_ms',
            'exceeds max_ms',
            'lower default_ms or raise max_ms',
        )


def _check_map(shard_map: ShardMap) -> None:
    field = f'maps[{shard_map.generation}].shards'
    if not shard_map.shards:
        raise DeclarationError(field, 'is empty', 'declare at least one shard')
    if len({s.id for s in shard_map.shards}) != len(shard_map.shards):
        raise DeclarationError(
            field, 'two shards have the same id', 'give each shard its own id'
        )
    expected: str | None = ''
    for shard in sorted(shard_map.shards, key=lambda s: s.start):
        if expected is None or shard.start < expected:
            raise DeclarationError(
                field,
                f'shard {shard.id} overlaps the range of the preceding shard',
                'start each range where the preceding range ends',
            )
        if shard.start > expected:
            raise DeclarationError(
                field,
                f'no shard owns keys from {expected!r} to {shard.start!r}',
                'start each range where the preceding range ends',
            )
        if shard.end is not None and shard.end <= shard.start:
            raise DeclarationError(
                field,
                f'the range of shard {shard.id} is empty',
                'make end greater than start',
            )
        expected = shard.end
    if expected is not None:
        raise DeclarationError(
            field,
            f'no shard owns keys from {expected!r} onwards',
            'omit end on the last shard',
        )


def _check_pool(pool: Pool) -> None:
    ids = {target.id for target in pool.targets}
    if len(ids) != len(pool.targets):
        raise DeclarationError(
            'targets',
            'two targets have the same id',
            'give each target its own id',
        )
    for target in pool.targets:
        if not target.shards:
            raise DeclarationError(
                f'targets[{target.id}].shards',
                'is empty',
                'list the shards that the target holds',
            )


def check_references(pool: Pool, service: Service) -> None:
    """Raise DeclarationError if a shard of the pool is not in the service."""
    known = {s.id for m in service.maps for s in m.shards}
    for target in pool.targets:
        for shard in target.shards:
            if shard not in known:
                raise DeclarationError(
                    f'targets[{target.id}].shards',
                    f'service {service.name} has no shard {shard}',
                    'declare the shard in a map of the service first',
                )
