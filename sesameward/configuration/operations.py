"""Read, compare and write declared objects on behalf of operators."""

from __future__ import annotations

import asyncio
import collections.abc
import functools
import pathlib
import typing
import uuid

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import yaml

from . import declared
from ..exceptions import ConflictError
from ..exceptions import DeclarationError
from ..exceptions import PlatformError
from ..exceptions import PlatformThrottledError
from ..exceptions import PlatformUnavailableError
from ..exceptions import ReferencedError
from ..messages import StoredObject
from ..types import ChangeId
from ..types import Revision
from ..types import TargetId
from .objects import decode_stored
from .platform_client import PlatformClient

# The kind and the name of an object.
ObjectKey = tuple[str, str]
Value = typing.TypeVar('Value')

MAX_THROTTLED_TRIES = 10
MAX_DRAIN_TRIES = 5


class Step(msgspec.Struct, frozen=True):
    """Hold one object to write and the stored object that it replaces."""

    item: declared.Declared
    stored: StoredObject | None = None

    @property
    def key(self) -> ObjectKey:
        """Return the kind and the name of the object."""
        return declared.kind_of(self.item), self.item.name

    @property
    def expected(self) -> Revision | None:
        """Return the revision that the write replaces; None to create."""
        return self.stored.revision if self.stored else None

    @property
    def before(self) -> declared.Declared | None:
        """Return the object as stored now; None if absent or invalid."""
        if self.stored is None:
            return None
        try:
            return declared.decode(self.stored.kind, self.stored.value)
        except DeclarationError:
            return None

    @property
    def has_changes(self) -> bool:
        """Return whether the write would change what is stored."""
        return self.stored is None or self.before != self.item


class Applied(msgspec.Struct, frozen=True):
    """Describe one object in the store after an apply.

    changed is False if the object was already stored as declared.
    """

    kind: str
    name: str
    revision: Revision
    changed: bool


class Outcome(msgspec.Struct, frozen=True):
    """Hold the objects that an apply wrote or found unchanged.

    error is None if the apply succeeded.
    """

    applied: tuple[Applied, ...]
    error: Exception | None = None

    @property
    def revision(self) -> Revision:
        """Return the highest revision of the applied objects; 0 if none."""
        return max((a.revision for a in self.applied), default=Revision(0))


class _Document(msgspec.Struct):
    kind: str


def read(paths: collections.abc.Iterable[str]) -> list[declared.Declared]:
    """Read and validate the objects in YAML files.

    Raise DeclarationError for a file that can't be read, an invalid object
    and an object that is declared twice.
    """
    items: dict[ObjectKey, declared.Declared] = {}
    for path in paths:
        for number, document in enumerate(_load_documents(path)):
            try:
                item = _decode_document(document)
            except DeclarationError as exc:
                raise DeclarationError(
                    f'{path}[{number}].{exc.field}', exc.problem, exc.remedy
                ) from exc
            key = declared.kind_of(item), item.name
            if key in items:
                raise DeclarationError(
                    f'{path}[{number}].name',
                    f'{" ".join(key)} is declared twice',
                    'keep one of them',
                )
            items[key] = item
    return list(items.values())


def _load_documents(path: str) -> list[object]:
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        documents = list(yaml.safe_load_all(text))
    except OSError as exc:
        raise DeclarationError(
            path, exc.strerror or str(exc), 'give the path of a readable file'
        ) from exc
    except (yaml.YAMLError, UnicodeDecodeError) as exc:
        problem = ' '.join(str(exc).split())
        raise DeclarationError(
            path, problem, 'write valid YAML in UTF-8'
        ) from exc
    return [document for document in documents if document is not None]


def _decode_document(document: object) -> declared.Declared:
    if not isinstance(document, dict):
        raise DeclarationError(
            '$',
            'is not a mapping',
            "write the object as a mapping that has a 'kind' field",
        )
    fields = {str(k): v for k, v in document.items()}
    kind = fields.pop('kind', None)
    try:
        data = msgspec.json.encode(fields)
    except (RecursionError, TypeError) as exc:
        raise DeclarationError(
            '$', str(exc), 'use only values that JSON can express'
        ) from exc
    # decode() checks the size. The object is stored with the defaults of all
    # omitted fields, so it can be too large although the file is not.
    # Therefore the form that will be stored is decoded as well.
    return declared.decode(
        str(kind), declared.encode(declared.decode(str(kind), data))
    )


class Operations:
    """Read and change the declared objects in the platform's store."""

    def __init__(self, platform: PlatformClient):
        self._platform = platform

    async def stored(self) -> dict[ObjectKey, StoredObject]:
        """Return all declared objects in the store by kind and name."""
        found: dict[ObjectKey, StoredObject] = {}
        for kind in declared.KINDS:
            _, objects = await _retry_throttled(
                functools.partial(self._platform.list, kind)
            )
            found.update({(o.kind, o.name): o for o in objects})
        return found

    async def plan(self, items: list[declared.Declared]) -> list[Step]:
        """Return the writes in an order that keeps all references valid.

        Raise ReferencedError if there is no such order.
        """
        return plan(items, await self.stored())

    async def apply(
        self, items: list[declared.Declared]
    ) -> Result[Outcome, Outcome]:
        """Write the objects in an order that keeps all references valid.

        A Failure holds the error and the objects written before it.
        """
        applied: list[Applied] = []
        try:
            for step in await self.plan(items):
                applied.append(await self._write(step))
            await self._confirm(applied)
        except (DeclarationError, PlatformError) as exc:
            return Failure(Outcome(tuple(applied), exc))
        return Success(Outcome(tuple(applied)))

    async def drain(self, target: TargetId, drain: bool) -> Applied:
        """Set or clear the drain flag of a declared target.

        Raise DeclarationError if no pool has the target, and ConflictError if
        other operators changed its pool during every attempt.
        """
        for _ in range(MAX_DRAIN_TRIES - 1):
            try:
                return await self._write(await self._drain_step(target, drain))
            except ConflictError:
                # Another operator changed the pool; read it again and keep
                # that change.
                continue
        return await self._write(await self._drain_step(target, drain))

    async def _drain_step(self, target: TargetId, drain: bool) -> Step:
        for stored in (await self.stored()).values():
            step = Step(decode_stored(stored), stored)
            if isinstance(step.item, declared.Pool):
                pool = _with_drain(step.item, target, drain)
                if pool is not None:
                    return Step(pool, stored)
        raise DeclarationError(
            'target',
            f'{target} is not declared',
            'give the id of a declared target',
        )

    async def _write(self, step: Step) -> Applied:
        kind, name = step.key
        if not step.has_changes:
            return Applied(kind, name, step.stored.revision, False)
        value = declared.encode(step.item)
        change = ChangeId(uuid.uuid4().hex)
        revision = await _retry_throttled(
            lambda: self._platform.put(
                kind, name, value, step.expected, change
            )
        )
        return Applied(kind, name, revision, True)

    async def _confirm(self, applied: list[Applied]) -> None:
        # After the plan was made, another operator may have changed a service
        # that a written pool refers to, or a pool of a written service. Both
        # operators read all objects again after writing, so the one who reads
        # last sees both changes and reports a conflict.
        if not any(a.changed for a in applied):
            return
        stored = await self.stored()
        declared_objects = _decode_valid(stored)
        for result in applied:
            key = result.kind, result.name
            if key not in declared_objects:
                raise ConflictError(' '.join(key), highest_revision(stored))
            _check_confirmed(declared_objects[key], declared_objects)


def _with_drain(
    pool: declared.Pool, target: TargetId, drain: bool
) -> declared.Pool | None:
    if all(candidate.id != target for candidate in pool.targets):
        return None
    targets = tuple(
        msgspec.structs.replace(candidate, drain=drain)
        if candidate.id == target
        else candidate
        for candidate in pool.targets
    )
    return msgspec.structs.replace(pool, targets=targets)


async def _retry_throttled(
    call: collections.abc.Callable[[], collections.abc.Awaitable[Value]],
) -> Value:
    for _ in range(MAX_THROTTLED_TRIES):
        try:
            return await call()
        except PlatformThrottledError as exc:
            await asyncio.sleep(exc.retry_after_s)
    raise PlatformUnavailableError(
        f'the call to the platform was throttled {MAX_THROTTLED_TRIES} times; '
        'try again later'
    )


def _check_confirmed(
    item: declared.Declared,
    declared_objects: dict[ObjectKey, declared.Declared],
) -> None:
    try:
        _check_change(item, declared_objects)
    except ReferencedError as exc:
        raise ReferencedError(
            exc.field,
            f'was written, but conflicts with another change: {exc.problem}',
            exc.remedy,
        ) from exc


def highest_revision(stored: dict[ObjectKey, StoredObject]) -> Revision:
    """Return the highest revision of the objects; 0 if there are none."""
    return max((o.revision for o in stored.values()), default=Revision(0))


def plan(
    items: list[declared.Declared], stored: dict[ObjectKey, StoredObject]
) -> list[Step]:
    """Return the writes in an order that keeps all references valid.

    Raise ReferencedError if there is no such order.
    """
    declared_objects = _decode_valid(stored)
    remaining = [
        Step(item, stored.get((declared.kind_of(item), item.name)))
        for item in items
    ]
    steps: list[Step] = []
    while remaining:
        step = _next_step(remaining, declared_objects)
        remaining.remove(step)
        declared_objects[step.key] = step.item
        steps.append(step)
    return steps


def _next_step(
    remaining: list[Step], declared_objects: dict[ObjectKey, declared.Declared]
) -> Step:
    first: ReferencedError | None = None
    for step in remaining:
        try:
            _check_change(step.item, declared_objects)
        except ReferencedError as exc:
            first = first or exc
        else:
            return step
    raise first


def _check_change(
    item: declared.Declared,
    declared_objects: dict[ObjectKey, declared.Declared],
) -> None:
    match item:
        case declared.Service():
            for pool in declared_objects.values():
                if isinstance(pool, declared.Pool):
                    _check_service_covers(item, pool)
        case declared.Pool():
            _check_pool_service(item, declared_objects)


def _check_service_covers(
    service: declared.Service, pool: declared.Pool
) -> None:
    if pool.service != service.service:
        return
    try:
        declared.check_references(pool, service)
    except DeclarationError as exc:
        raise ReferencedError(
            f'service {service.name}: maps',
            f'pool {pool.name} {exc.field}: {exc.problem}',
            'take the shard out of the pool first, or keep it in a map',
        ) from exc


def _check_pool_service(
    pool: declared.Pool, declared_objects: dict[ObjectKey, declared.Declared]
) -> None:
    service = declared_objects.get(('service', pool.service))
    if not isinstance(service, declared.Service):
        raise ReferencedError(
            f'pool {pool.name}: service',
            f'{pool.service} is not declared',
            'apply the service first',
        )
    try:
        declared.check_references(pool, service)
    except DeclarationError as exc:
        raise ReferencedError(
            f'pool {pool.name}: {exc.field}', exc.problem, exc.remedy
        ) from exc


def _decode_valid(
    stored: dict[ObjectKey, StoredObject],
) -> dict[ObjectKey, declared.Declared]:
    declared_objects = {}
    for key, found in stored.items():
        try:
            declared_objects[key] = declared.decode(found.kind, found.value)
        except DeclarationError:
            continue
    return declared_objects
