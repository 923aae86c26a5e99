"""Replicate declared objects so that none reverts to an older revision."""

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

# The kind and the name of an object.
ObjectKey = tuple[str, str]
# Returns the decoded object; raises DeclarationError if it is invalid.
CheckObject = collections.abc.Callable[[StoredObject], object]


class _ObjectState(msgspec.Struct):
    """Hold the newest version of an object and its newest valid version.

    The newest valid version is in force. problem says why the newest version
    is invalid, and is empty if that version is valid. service is the service
    to which the version in force belongs.
    """

    newest: StoredObject
    valid: StoredObject | None = None
    problem: str = ''
    service: ServiceName | None = None


class ObjectReplica:
    """Keep this node's replica of declared objects.

    The replica includes every change up to its revision. Changes after that
    can be applied too, but don't raise the revision while earlier changes may
    be missing.
    """

    def __init__(
        self,
        metrics: Metrics | None = None,
        kinds: collections.abc.Container[str] = declared.KINDS.keys(),
        check: CheckObject | None = None,
    ):
        self._metrics = metrics
        self._kinds = kinds
        self._check = check or _decode_and_check
        self._states: dict[ObjectKey, _ObjectState] = {}
        self._compacted_through = Revision(0)
        self._checksum = 0
        self.revision = Revision(0)

    def __len__(self) -> int:
        return sum(not s.newest.deleted for s in self._states.values())

    def apply(
        self,
        objects: collections.abc.Iterable[StoredObject],
        revision: Revision = Revision(0),
        since: Revision = Revision(0),
    ) -> list[StoredObject]:
        """Apply changed objects and return those newly in force.

        objects are all that changed after the revision given as since, up to
        the one given as revision. If the replica includes every change up to
        since, its own revision is raised to revision. Otherwise it may lack
        earlier changes, so its own revision stays.
        """
        complete_through = self.revision
        changed = []
        for stored in sorted(objects, key=lambda o: o.revision):
            changed += self._apply_object(stored, complete_through)
        if since <= complete_through:
            self.revision = max(complete_through, revision)
        self._drop_old_tombstones()
        return changed

    def replace(
        self,
        objects: collections.abc.Iterable[StoredObject],
        revision: Revision,
    ) -> list[StoredObject]:
        """Apply a complete listing as of a revision; delete absent objects.

        Return the changed objects: those newly in force and the tombstones of
        those deleted. A listing older than the replica changes nothing.
        """
        objects = list(objects)
        if revision < self.revision:
            self._count_refused('stale_listing')
            return []
        changed = self.apply(objects, revision)
        present = {(stored.kind, stored.name) for stored in objects}
        for key, state in list(self._states.items()):
            if key in present or state.newest.revision > revision:
                continue
            if not state.newest.deleted:
                changed.append(_tombstone(state.newest, revision))
            self._remove(key)
        self._compacted_through = max(self._compacted_through, revision)
        return changed

    def apply_delta(self, delta: Delta) -> list[StoredObject]:
        """Apply a delta from another replica; return the changed objects."""
        if delta.full:
            return self.replace(delta.objects, delta.revision)
        return self.apply(delta.objects, delta.revision, delta.since)

    def digest(self) -> Digest:
        """Return the revision and a checksum of all objects not deleted."""
        return Digest(self.revision, self._checksum)

    def is_consistent_with(self, delta: Delta) -> bool:
        """Return whether the sender of a delta may hold the same objects.

        Return False only if it has the same revision but another checksum.
        """
        if delta.revision != self.revision:
            return True
        return delta.checksum == self._checksum

    def delta(self, digest: Digest, after: Revision | None = None) -> Delta:
        """Return a page of the changes that another replica lacks.

        digest is that of the other replica; after is the cursor of the
        preceding page, or None for the first page.
        """
        since = digest.revision
        full = since < self._compacted_through
        start = Revision(0) if full else since
        page, cursor = self._page(start if after is None else after)
        return Delta(since, self.revision, page, full, cursor, self._checksum)

    def in_force(self) -> dict[ObjectKey, StoredObject]:
        """Return the objects in force, each in its newest valid version."""
        return {
            key: state.valid
            for key, state in self._states.items()
            if state.valid is not None and not state.valid.deleted
        }

    def rejected(self) -> tuple[Rejected, ...]:
        """Return the objects whose newest version is invalid, and why."""
        return tuple(
            Rejected(kind, name, state.newest.revision, state.problem)
            for (kind, name), state in sorted(self._states.items())
            if state.problem
        )

    def service(self, name: ServiceName) -> declared.Service | None:
        """Return the service that is in force under a name, if any."""
        state = self._states.get(('service', name))
        return decode_stored(state.valid) if state else None

    def services(self) -> dict[ServiceName, declared.Service]:
        """Return all services in force by name."""
        return {
            item.service: item
            for item in self._decode_in_force('service')
            if isinstance(item, declared.Service)
        }

    def pools(self, service: ServiceName) -> list[declared.Pool]:
        """Return the pools in force that belong to a service."""
        return [
            item
            for item in self._decode_in_force('pool', service)
            if isinstance(item, declared.Pool)
        ]

    def all_pools(self) -> collections.abc.Iterator[declared.Pool]:
        """Yield all pools in force, decoding them one by one."""
        for item in self._decode_in_force('pool'):
            if isinstance(item, declared.Pool):
                yield item

    def _decode_in_force(
        self, kind: str, service: ServiceName | None = None
    ) -> collections.abc.Iterator[declared.Declared]:
        for (state_kind, _), state in sorted(self._states.items()):
            if state_kind != kind:
                continue
            if service is not None and state.service != service:
                continue
            item = decode_stored(state.valid)
            if item is not None:
                yield item

    def _apply_object(
        self, stored: StoredObject, complete_through: Revision
    ) -> list[StoredObject]:
        if stored.kind not in self._kinds:
            self._count_refused('unknown_kind')
            return []
        key = stored.kind, stored.name
        state = self._states.get(key)
        if state is None:
            return self._add(key, stored, complete_through)
        if stored.revision > state.newest.revision:
            self._set_newest(key, state, stored)
            return self._put_in_force_if_valid(state, stored)
        if state.problem and stored.revision > _revision_of(state.valid):
            return self._put_in_force_if_valid(state, stored)
        if stored.revision < state.newest.revision:
            self._count_refused('stale')
        return []

    def _add(
        self, key: ObjectKey, stored: StoredObject, complete_through: Revision
    ) -> list[StoredObject]:
        # Every change up to this revision has been applied. As the object is
        # absent, it was deleted later, so this version of it is stale.
        if stored.revision <= max(complete_through, self._compacted_through):
            self._count_refused('stale')
            return []
        state = _ObjectState(stored)
        self._states[key] = state
        self._checksum ^= _object_checksum(stored)
        return self._put_in_force_if_valid(state, stored)

    def _set_newest(
        self, key: ObjectKey, state: _ObjectState, stored: StoredObject
    ) -> None:
        self._checksum ^= _object_checksum(state.newest) ^ _object_checksum(
            stored
        )
        state.newest = stored

    def _put_in_force_if_valid(
        self, state: _ObjectState, stored: StoredObject
    ) -> list[StoredObject]:
        try:
            item = self._check(stored)
        except DeclarationError as exc:
            if stored is state.newest:
                state.problem = str(exc)
                self._count_refused('invalid')
            return []
        if stored is state.newest:
            state.problem = ''
        state.valid = stored
        state.service = getattr(item, 'service', None)
        return [stored]

    def _remove(self, key: ObjectKey) -> None:
        self._checksum ^= _object_checksum(self._states.pop(key).newest)

    def _drop_old_tombstones(self) -> None:
        tombstones = [k for k, s in self._states.items() if s.newest.deleted]
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        tombstones.sort(key=lambda k: self._states[k].newest.revision)
        for key in tombstones[: -MAX_TOMBSTONES // 2]:
            revision = self._states[key].newest.revision
            if revision > self.revision:
                break
            self._compacted_through = max(self._compacted_through, revision)
            self._remove(key)

    def _page(
        self, after: Revision
    ) -> tuple[tuple[StoredObject, ...], Revision | None]:
        newer = [s for s in self._states.values() if s.newest.revision > after]
        page: list[StoredObject] = []
        size_bytes = 0
        cursor = after
        for state in sorted(newer, key=lambda s: s.newest.revision):
            size_bytes += len(state.newest.value)
            if size_bytes > PAGE_BYTES and page:
                return tuple(page), cursor
            page.append(state.newest)
            if state.problem and state.valid is not None:
                page.append(state.valid)
            cursor = state.newest.revision
        return tuple(page), None

    def _count_refused(self, reason: str) -> None:
        if self._metrics is not None:
            self._metrics.count('config_refused', reason)


def decode_stored(stored: StoredObject | None) -> declared.Declared | None:
    """Decode an object known to be valid; return None if it is deleted."""
    if stored is None or stored.deleted:
        return None
    return msgspec.json.decode(stored.value, type=declared.KINDS[stored.kind])


def _decode_and_check(stored: StoredObject) -> declared.Declared | None:
    if stored.deleted:
        return None
    item = declared.decode(stored.kind, stored.value)
    if item.name != stored.name:
        raise DeclarationError(
            'name',
            f'is {item.name}, but the object is stored as {stored.name}',
            'store the object under its own name',
        )
    return item


def _revision_of(stored: StoredObject | None) -> Revision:
    return stored.revision if stored else Revision(0)


def _tombstone(stored: StoredObject, revision: Revision) -> StoredObject:
    return StoredObject(stored.kind, stored.name, revision, deleted=True)


def _object_checksum(stored: StoredObject) -> int:
    if stored.deleted:
        return 0
    data = f'{stored.kind}\0{stored.name}\0{stored.revision}'.encode()
    digest = hashlib.blake2b(data, digest_size=CHECKSUM_BYTES).digest()
    return int.from_bytes(digest, 'big')
