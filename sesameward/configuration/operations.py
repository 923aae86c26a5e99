"""Apply and compare declared objects on behalf of operators."""

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
from .objects import declared_of
from .platform_client import PlatformClient

Key = tuple[str, str]
Value = typing.TypeVar('Value')

THROTTLED_TRIES = 10
RACED_TRIES = 5


class Step(msgspec.Struct, frozen=True):
    """Hold one object to write and what it replaces."""

    item: declared.Declared
    stored: StoredObject | None = None

    @property
    def key(self) -> Key:
        """Return the kind and the name."""
        return declared.kind_of(self.item), self.item.name

    @property
    def expected(self) -> Revision | None:
        """Return the revision which the write replaces."""
        return self.stored.revision if self.stored else None

    @property
    def before(self) -> declared.Declared | None:
        """Return what is declared now, where it is valid."""
        if self.stored is None:
            return None
        try:
            return declared.decode(self.stored.kind, self.stored.value)
        except DeclarationError:
            return None

    @property
    def changes(self) -> bool:
        """Tell whether the write would change anything."""
        return self.stored is None or self.before != self.item


class Applied(msgspec.Struct, frozen=True):
    """Name one object in the store after an apply."""

    kind: str
    name: str
    revision: Revision
    changed: bool


class Outcome(msgspec.Struct, frozen=True):
    """Hold what an apply wrote before it ended, and why it ended early."""

    applied: tuple[Applied, ...]
    error: Exception | None = None

    @property
    def revision(self) -> Revision:
        """Return the highest revision written or found."""
        return max((a.revision for a in self.applied), default=Revision(0))


class _Document(msgspec.Struct):
    kind: str


def read(paths: collections.abc.Iterable[str]) -> list[declared.Declared]:
    """Read and check the objects of YAML files; raise DeclarationError."""
    items: dict[Key, declared.Declared] = {}
    for path in paths:
        for number, document in enumerate(_documents(path)):
            try:
                item = _convert(document)
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


def _documents(path: str) -> list[object]:
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        documents = list(yaml.safe_load_all(text))
    except OSError as exc:
        raise DeclarationError(
            path, exc.strerror or str(exc), 'name a readable file'
        ) from exc
    except (yaml.YAMLError, UnicodeDecodeError) as exc:
        problem = ' '.join(str(exc).split())
        raise DeclarationError(path, problem, 'write valid YAML') from exc
    return [document for document in documents if document is not None]


def _convert(document: object) -> declared.Declared:
    if not isinstance(document, dict):
        raise DeclarationError('$', 'is no mapping', 'start with kind:')
    fields = {str(k): v for k, v in document.items()}
    kind = fields.pop('kind', None)
    try:
        data = msgspec.json.encode(fields)
    except (RecursionError, TypeError) as exc:
        raise DeclarationError('$', str(exc), 'write plain YAML') from exc
    # What is stored has all fields, so it can be larger than the file.
    return declared.decode(
        str(kind), declared.encode(declared.decode(str(kind), data))
    )


class Operations:
    """Read and change the declared objects in the store."""

    def __init__(self, platform: PlatformClient):
        self._platform = platform

    async def stored(self) -> dict[Key, StoredObject]:
        """Return all declared objects of the store."""
        found: dict[Key, StoredObject] = {}
        for kind in declared.KINDS:
            _, objects = await _paced(
                functools.partial(self._platform.list, kind)
            )
            found.update({(o.kind, o.name): o for o in objects})
        return found

    async def plan(self, items: list[declared.Declared]) -> list[Step]:
        """Return the writes in an order that keeps references whole."""
        return plan(items, await self.stored())

    async def apply(
        self, items: list[declared.Declared]
    ) -> Result[Outcome, Outcome]:
        """Write the objects; a failure holds what was written before it."""
        applied: list[Applied] = []
        try:
            for step in await self.plan(items):
                applied.append(await self._write(step))
            await self._confirm(applied)
        except (DeclarationError, PlatformError) as exc:
            return Failure(Outcome(tuple(applied), exc))
        return Success(Outcome(tuple(applied)))

    async def drain(self, target: TargetId, drain: bool) -> Applied:
        """Declare that a target drains, or no longer does."""
        for _ in range(RACED_TRIES - 1):
            try:
                return await self._write(await self._drain_step(target, drain))
            except ConflictError:
                # Another operator changed the pool; keep that change too.
                continue
        return await self._write(await self._drain_step(target, drain))

    async def _drain_step(self, target: TargetId, drain: bool) -> Step:
        for stored in (await self.stored()).values():
            step = Step(declared_of(stored), stored)
            if isinstance(step.item, declared.Pool):
                pool = _with_drain(step.item, target, drain)
                if pool is not None:
                    return Step(pool, stored)
        raise DeclarationError(
            'target', f'{target} is not declared', 'name a declared target'
        )

    async def _write(self, step: Step) -> Applied:
        kind, name = step.key
        if not step.changes:
            return Applied(kind, name, step.stored.revision, False)
        value = declared.encode(step.item)
        change = ChangeId(uuid.uuid4().hex)
        revision = await _paced(
            lambda: self._platform.put(
                kind, name, value, step.expected, change
            )
        )
        return Applied(kind, name, revision, True)

    async def _confirm(self, applied: list[Applied]) -> None:
        # Another operator may have changed the other side of a reference in
        # the meantime; whoever reads last sees both writes.
        if not any(a.changed for a in applied):
            return
        stored = await self.stored()
        world = _world(stored)
        for done in applied:
            key = done.kind, done.name
            if key not in world:
                raise ConflictError(' '.join(key), stored_revision(stored))
            _check_confirmed(world[key], world)


def _with_drain(
    pool: declared.Pool, target: TargetId, drain: bool
) -> declared.Pool | None:
    if all(found.id != target for found in pool.targets):
        return None
    targets = tuple(
        msgspec.structs.replace(found, drain=drain)
        if found.id == target
        else found
        for found in pool.targets
    )
    return msgspec.structs.replace(pool, targets=targets)


async def _paced(
    call: collections.abc.Callable[[], collections.abc.Awaitable[Value]],
) -> Value:
    for _ in range(THROTTLED_TRIES):
        try:
            return await call()
        except PlatformThrottledError as exc:
            await asyncio.sleep(exc.retry_after_s)
    raise PlatformUnavailableError(
        f'the platform was over its rates {THROTTLED_TRIES} times; '
        'try again later'
    )


def _check_confirmed(
    item: declared.Declared, world: dict[Key, declared.Declared]
) -> None:
    try:
        _check_change(item, world)
    except ReferencedError as exc:
        raise ReferencedError(
            exc.field,
            f'was written, but after another change {exc.problem}',
            exc.remedy,
        ) from exc


def stored_revision(stored: dict[Key, StoredObject]) -> Revision:
    """Return the highest revision among objects."""
    return max((o.revision for o in stored.values()), default=Revision(0))


def plan(
    items: list[declared.Declared], stored: dict[Key, StoredObject]
) -> list[Step]:
    """Order the writes so that references hold after each of them."""
    world = _world(stored)
    left = [
        Step(item, stored.get((declared.kind_of(item), item.name)))
        for item in items
    ]
    steps: list[Step] = []
    while left:
        step = _next_step(left, world)
        left.remove(step)
        world[step.key] = step.item
        steps.append(step)
    return steps


def _next_step(left: list[Step], world: dict[Key, declared.Declared]) -> Step:
    first: ReferencedError | None = None
    for step in left:
        try:
            _check_change(step.item, world)
        except ReferencedError as exc:
            first = first or exc
        else:
            return step
    raise first


def _check_change(
    item: declared.Declared, world: dict[Key, declared.Declared]
) -> None:
    match item:
        case declared.Service():
            for pool in world.values():
                if isinstance(pool, declared.Pool):
                    _check_service_keeps(item, pool)
        case declared.Pool():
            _check_pool_known(item, world)


def _check_service_keeps(
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


def _check_pool_known(
    pool: declared.Pool, world: dict[Key, declared.Declared]
) -> None:
    service = world.get(('service', pool.service))
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


def _world(
    stored: dict[Key, StoredObject],
) -> dict[Key, declared.Declared]:
    world = {}
    for key, found in stored.items():
        try:
            world[key] = declared.decode(found.kind, found.value)
        except DeclarationError:
            continue
    return world
