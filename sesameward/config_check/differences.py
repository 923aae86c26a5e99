"""Compare two configurations, and name the effects on callers.

Fields are compared as they are stored, because the plain types hold less: a
limit that is missing is the same there as one of 0. Each field has a role,
which tells how to show it and what its change means.
"""

from __future__ import annotations

import collections
import enum
import math
import typing

import msgspec

from ..serving.routes import CallerLimits
from ..serving.routes import Organisation
from ..serving.routes import Repeat
from ..serving.routes import Route
from ..serving.routes import Version
from .fingerprints import fingerprint
from .problems import Item
from .problems import Kind
from .problems import Place
from .problems import Problem
from .problems import Section
from .unused import path_of

PATH_CHANGE_EFFECT = 'requests to the old path get 404 or another route'
REMOVAL_EFFECTS = {
    Section.ROUTES: 'requests to its prefix get 404 or another route',
    Section.SERVICES: 'its targets get the default connection limit',
    Section.ORGANISATIONS: (
        'requests with its keys get 401, unless another has them'
    ),
}
KEYS_REMOVED_EFFECT = (
    'requests with the removed keys get 401, unless another organisation '
    'has them'
)
NOUNS = {
    Section.ROUTES: 'route',
    Section.SERVICES: 'service',
    Section.ORGANISATIONS: 'organisation',
}


class Role(enum.Enum):
    """Tell what a field means.

    The decrease of a LIMIT can make requests fail that succeed now. A RATE is
    a limit of which 0 and a missing value both mean that there is none.
    """

    OTHER = enum.auto()
    PATH = enum.auto()
    REPEAT = enum.auto()
    PUBLIC = enum.auto()
    KEYS = enum.auto()
    SHARDS = enum.auto()
    WEIGHTS = enum.auto()
    COVERAGE = enum.auto()
    LIMIT = enum.auto()
    RATE = enum.auto()


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


class Field(msgspec.Struct, frozen=True):
    """Hold one stored field of an item."""

    name: str
    role: Role
    value: typing.Any


class Part(msgspec.Struct, frozen=True):
    """Hold an item, or the limits of callers, with its stored fields."""

    item: Item | CallerLimits
    fields: tuple[Field, ...]


def version_problem(
    version: Version, in_force: Version, is_same: bool
) -> Problem | None:
    """Return the problem of a version that is not higher than another one.

    is_same tells whether the configurations don't differ otherwise.
    """
    if version > in_force:
        return None
    return Problem(
        Place(Section.VERSION),
        Kind.VERSION_IN_FORCE
        if is_same and version == in_force
        else Kind.VERSION_NOT_HIGHER,
        {'version': version, 'in_force': in_force, 'next': in_force + 1},
    )


def of_items(
    section: Section,
    before: typing.Sequence[Part],
    after: typing.Sequence[Part],
) -> typing.Iterator[Difference]:
    """Compare the items of a section by their names."""
    old = {part.item.name: part for part in reversed(before)}
    new = {part.item.name: part for part in reversed(after)}
    for name in sorted(old.keys() | new.keys()):
        what = f'{NOUNS[section]} {name!r}'
        if name not in old:
            yield Difference(Change.ADDED, what, _summary(new[name]))
        elif name not in new:
            items = [part.item for part in new.values()]
            yield _removal(section, what, old[name], items)
        else:
            yield from of_fields(what, old[name], new[name])


def of_fields(
    what: str, before: Part, after: Part
) -> typing.Iterator[Difference]:
    """Compare the fields of two versions of a part, called what."""
    for old, new in zip(before.fields, after.fields):
        if old.value == new.value:
            continue
        is_list = old.role in (Role.KEYS, Role.SHARDS)
        if is_list and old.value and new.value:
            if collections.Counter(old.value) != collections.Counter(
                new.value
            ):
                yield _list_difference(what, old, new)
            continue
        yield Difference(
            Change.CHANGED,
            what,
            f'{old.name}: {_show(old)} -> {_show(new)}',
            _attention(old, new, after.item),
        )


def of_organisation_lists(
    had_list: bool, has_list: bool
) -> typing.Iterator[Difference]:
    """Compare whether configurations have organisations at all."""
    if has_list and not had_list:
        yield Difference(
            Change.ADDED,
            'organisations',
            attention='requests to routes that are not public need a key',
        )
    elif had_list and not has_list:
        yield Difference(
            Change.REMOVED,
            'organisations',
            attention='no request needs a key any more',
        )


def _removal(
    section: Section, what: str, part: Part, remaining: list[Item]
) -> Difference:
    effect, detail = REMOVAL_EFFECTS[section], ''
    match part.item:
        case Route() as removed:
            detail = f'{removed.host}{removed.prefix}'
            for route in remaining:
                if path_of(route) == path_of(removed):
                    detail += f' now has route {route.name!r}'
                    effect = ''
                    break
        case Organisation():
            (keys,) = (one for one in part.fields if one.role is Role.KEYS)
            detail = f'{keys.name}={_show(keys)}'
    return Difference(Change.REMOVED, what, detail, effect)


def _summary(part: Part) -> str:
    return ', '.join(
        f'{field.name}={_show(field)}'
        for field in part.fields
        if field.value is not None
    )


def _list_difference(what: str, old: Field, new: Field) -> Difference:
    are_keys = old.role is Role.KEYS
    show = fingerprint if are_keys else str
    added = sorted(show(one) for one in set(new.value) - set(old.value))
    removed = sorted(show(one) for one in set(old.value) - set(new.value))
    detail = f'{old.name}: {len(old.value)} -> {len(new.value)}'
    if added:
        detail += f', added {" ".join(added)}'
    if removed:
        detail += f', removed {" ".join(removed)}'
    attention = ''
    if removed and are_keys:
        attention = KEYS_REMOVED_EFFECT
    elif removed:
        attention = 'answers lack the records of the removed shards'
    return Difference(Change.CHANGED, what, detail, attention)


def _show(field: Field) -> str:
    match field.role, field.value:
        case _, None:
            return 'none'
        case Role.KEYS, keys:
            shown = ' '.join(sorted(map(fingerprint, keys)))
            return f'{len(keys)} ({shown})' if keys else '0'
        case Role.WEIGHTS, parts:
            return ' '.join(f'{one.service}:{one.weight:g}' for one in parts)
        case Role.SHARDS, shards:
            return f'{len(shards)} shards'
        case _, bool():
            return str(field.value).lower()
        case _, float():
            return f'{field.value:g}'
    return str(field.value)


def _attention(old: Field, new: Field, item: Item | CallerLimits) -> str:
    """Return what callers notice when a field of an item changes."""
    match new.role:
        case Role.PATH:
            return PATH_CHANGE_EFFECT
        case Role.REPEAT if item.repeat is Repeat.SAFE:
            return 'requests may run more than once'
        case Role.REPEAT:
            return 'requests that may have run are no longer repeated'
        case Role.PUBLIC if new.value:
            return 'requests need no key and belong to no organisation'
        case Role.PUBLIC:
            return 'requests need a key'
        case Role.KEYS if old.value:
            return KEYS_REMOVED_EFFECT
        case Role.COVERAGE if new.value > old.value:
            return 'queries that miss shards may fail'
        case Role.LIMIT | Role.RATE if _limit(new) < _limit(old):
            return 'a lower limit may refuse or fail requests'
    return ''


def _limit(field: Field) -> float:
    """Return the value of a limit, infinite if there is none."""
    if field.value is None or (field.role is Role.RATE and not field.value):
        return math.inf
    return field.value
