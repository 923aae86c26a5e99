"""Order the declared objects so that none ever goes back."""

from __future__ import annotations

import collections.abc
import hashlib

import msgspec

from . import declared
from ..exceptions import DeclarationError
from ..messages import Delta
from ..messages import Digest
from ..messages import Rejected
from ..messages import StoredObject
from ..metrics import Metrics
from ..types import Revision
from ..types import ServiceName

MAX_TOMBSTONES = 4_096
CHECKSUM_BYTES = 8
PAGE_BYTES = 1_000_000

Key = tuple[str, str]
# Returns the decoded object; raises DeclarationError.
Check = collections.abc.Callable[[StoredObject], object]


class _Held(msgspec.Struct):
    """Hold the newest object of a key and the newest one that is valid."""

    newest: StoredObject
    valid: StoredObject | None = None
    problem: str = ''
    service: ServiceName | None = None


class ObjectBook:
    """Hold the declared objects in force.

    The book is complete through its revision: it has seen every change up to
    there. Changes above it are taken in too, but don't raise the revision.
    """

    def __init__(
        self,
        metrics: Metrics | None = None,
        kinds: collections.abc.Container[str] = declared.KINDS.keys(),
        check: Check | None = None,
    ):
        self._metrics = metrics
        self._kinds = kinds
        self._check = check or _checked
        self._held: dict[Key, _Held] = {}
        self._floor = Revision(0)
        self._checksum = 0
        self.revision = Revision(0)

    def __len__(self) -> int:
        return sum(not h.newest.deleted for h in self._held.values())

    def apply(
        self,
        objects: collections.abc.Iterable[StoredObject],
        revision: Revision = Revision(0),
        since: Revision = Revision(0),
    ) -> list[StoredObject]:
        """Take in objects; return those newly in force.

        The objects are all the changes after since through revision; the book
        becomes complete through there if it was complete through since.
        """
        complete = self.revision
        changed = []
        for stored in sorted(objects, key=lambda o: o.revision):
            changed += self._offer(stored, complete)
        if since <= complete:
            self.revision = max(complete, revision)
        self._drop_tombstones()
        return changed

    def replace(
        self,
        objects: collections.abc.Iterable[StoredObject],
        revision: Revision,
    ) -> list[StoredObject]:
        """Take in all objects as of a revision; absent ones are deleted."""
        objects = list(objects)
        if revision < self.revision:
            self._count('stale_listing')
            return []
        changed = self.apply(objects, revision)
        present = {(stored.kind, stored.name) for stored in objects}
        for key, held in list(self._held.items()):
            if key in present or held.newest.revision > revision:
                continue
            if not held.newest.deleted:
                changed.append(_tombstone(held.newest, revision))
            self._forget(key)
        self._floor = max(self._floor, revision)
        return changed

    def apply_delta(self, delta: Delta) -> list[StoredObject]:
        """Take in what another agent sent."""
        if delta.full:
            return self.replace(delta.objects, delta.revision)
        return self.apply(delta.objects, delta.revision, delta.since)

    def digest(self) -> Digest:
        """Return the revision and a checksum of the live objects."""
        return Digest(self.revision, self._checksum)

    def agrees(self, delta: Delta) -> bool:
        """Tell whether equal revisions mean equal objects."""
        if delta.revision != self.revision:
            return True
        return delta.checksum == self._checksum

    def delta(self, digest: Digest, after: Revision | None = None) -> Delta:
        """Return a page of what the other book lacks."""
        since = digest.revision
        full = since < self._floor
        start = Revision(0) if full else since
        page, cursor = self._page(start if after is None else after)
        return Delta(since, self.revision, page, full, cursor, self._checksum)

    def in_force(self) -> dict[Key, StoredObject]:
        """Return the objects in force."""
        return {
            key: held.valid
            for key, held in self._held.items()
            if held.valid is not None and not held.valid.deleted
        }

    def rejected(self) -> tuple[Rejected, ...]:
        """Return the objects which are kept out of force."""
        return tuple(
            Rejected(kind, name, held.newest.revision, held.problem)
            for (kind, name), held in sorted(self._held.items())
            if held.problem
        )

    def service(self, name: ServiceName) -> declared.Service | None:
        """Return the service in force."""
        held = self._held.get(('service', name))
        return declared_of(held.valid) if held else None

    def services(self) -> dict[ServiceName, declared.Service]:
        """Return the services in force."""
        return {
            item.service: item
            for item in self._decoded('service')
            if isinstance(item, declared.Service)
        }

    def pools(self, service: ServiceName) -> list[declared.Pool]:
        """Return the pools of a service in force."""
        return [
            item
            for item in self._decoded('pool', service)
            if isinstance(item, declared.Pool)
        ]

    def all_pools(self) -> collections.abc.Iterator[declared.Pool]:
        """Decode the pools in force one by one."""
        for item in self._decoded('pool'):
            if isinstance(item, declared.Pool):
                yield item

    def _decoded(
        self, kind: str, service: ServiceName | None = None
    ) -> collections.abc.Iterator[declared.Declared]:
        for (held_kind, _), held in sorted(self._held.items()):
            if held_kind != kind:
                continue
            if service is not None and held.service != service:
                continue
            item = declared_of(held.valid)
            if item is not None:
                yield item

    def _offer(
        self, stored: StoredObject, complete: Revision
    ) -> list[StoredObject]:
        if stored.kind not in self._kinds:
            self._count('unknown_kind')
            return []
        key = stored.kind, stored.name
        held = self._held.get(key)
        if held is None:
            return self._add(key, stored, complete)
        if stored.revision > held.newest.revision:
            self._set_newest(key, held, stored)
            return self._validate(held, stored)
        if held.problem and stored.revision > _revision(held.valid):
            return self._validate(held, stored)
        if stored.revision < held.newest.revision:
            self._count('stale')
        return []

    def _add(
        self, key: Key, stored: StoredObject, complete: Revision
    ) -> list[StoredObject]:
        # A book that is complete through a revision and lacks the key knows
        # that the object was deleted since.
        if stored.revision <= max(complete, self._floor):
            self._count('stale')
            return []
        held = _Held(stored)
        self._held[key] = held
        self._checksum ^= _checksum(stored)
        return self._validate(held, stored)

    def _set_newest(self, key: Key, held: _Held, stored: StoredObject) -> None:
        self._checksum ^= _checksum(held.newest) ^ _checksum(stored)
        held.newest = stored

    def _validate(
        self, held: _Held, stored: StoredObject
    ) -> list[StoredObject]:
        try:
            item = self._check(stored)
        except DeclarationError as exc:
            if stored is held.newest:
                held.problem = str(exc)
                self._count('invalid')
            return []
        if stored is held.newest:
            held.problem = ''
        held.valid = stored
        held.service = getattr(item, 'service', None)
        return [stored]

    def _forget(self, key: Key) -> None:
        self._checksum ^= _checksum(self._held.pop(key).newest)

    def _drop_tombstones(self) -> None:
        gone = [k for k, h in self._held.items() if h.newest.deleted]
        if len(gone) <= MAX_TOMBSTONES:
            return
        gone.sort(key=lambda k: self._held[k].newest.revision)
        for key in gone[: -MAX_TOMBSTONES // 2]:
            revision = self._held[key].newest.revision
            if revision > self.revision:
                break
            self._floor = max(self._floor, revision)
            self._forget(key)

    def _page(
        self, after: Revision
    ) -> tuple[tuple[StoredObject, ...], Revision | None]:
        newer = [h for h in self._held.values() if h.newest.revision > after]
        page: list[StoredObject] = []
        size = 0
        cursor = after
        for held in sorted(newer, key=lambda h: h.newest.revision):
            size += len(held.newest.value)
            if size > PAGE_BYTES and page:
                return tuple(page), cursor
            page.append(held.newest)
            if held.problem and held.valid is not None:
                page.append(held.valid)
            cursor = held.newest.revision
        return tuple(page), None

    def _count(self, reason: str) -> None:
        if self._metrics is not None:
            self._metrics.count('config_refused', reason)


def declared_of(stored: StoredObject | None) -> declared.Declared | None:
    """Decode a valid object; None where it is deleted."""
    if stored is None or stored.deleted:
        return None
    return msgspec.json.decode(stored.value, type=declared.KINDS[stored.kind])


def _checked(stored: StoredObject) -> declared.Declared | None:
    if stored.deleted:
        return None
    item = declared.decode(stored.kind, stored.value)
    if item.name != stored.name:
        raise DeclarationError(
            'name', f'is {item.name}, not {stored.name}', 'make them equal'
        )
    return item


def _revision(stored: StoredObject | None) -> Revision:
    return stored.revision if stored else Revision(0)


def _tombstone(stored: StoredObject, revision: Revision) -> StoredObject:
    return StoredObject(stored.kind, stored.name, revision, deleted=True)


def _checksum(stored: StoredObject) -> int:
    if stored.deleted:
        return 0
    data = f'{stored.kind}\0{stored.name}\0{stored.revision}'.encode()
    digest = hashlib.blake2b(data, digest_size=CHECKSUM_BYTES).digest()
    return int.from_bytes(digest, 'big')
