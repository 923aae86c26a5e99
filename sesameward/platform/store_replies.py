"""Decode the replies of the platform's store.

Other writers can store objects that can't be decoded. Such an object is
returned without its content, and does not spoil the others of the reply.
"""

from __future__ import annotations

import typing

import msgspec

from .. import logs
from . import json_parts

_NO_CONTENT = msgspec.Raw(b'null')

T = typing.TypeVar('T')

# Greater numbers do not fit into the messages between nodes.
RevisionNumber = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Meta(msgspec.Struct):
    """Hold an object's name and the revision of its last change."""

    name: str
    revision: RevisionNumber = 0


class Object(msgspec.Struct):
    """Hold a stored object; its spec is null if it could not be decoded."""

    meta: Meta
    spec: msgspec.Raw = _NO_CONTENT


class Listing(msgspec.Struct):
    """Hold one page of a list; as_of is the revision that the page shows.

    unnamed is the number of objects that are left out because their names
    could not be decoded.
    """

    items: tuple[Object, ...]
    more: bool
    as_of: RevisionNumber
    unnamed: int = 0


class Event(msgspec.Struct):
    """Hold a change of an object."""

    object: Object
    deleted: bool


class Events(msgspec.Struct):
    """Hold changes of objects up to the revision in as_of."""

    events: tuple[Event, ...]
    as_of: RevisionNumber


def decode_listing(body: bytes) -> Listing:
    """Decode a page of a list; raise msgspec.DecodeError if it is none."""
    try:
        return _decode(body, Listing)
    except msgspec.DecodeError:
        fields = json_parts.members(body)
    texts = json_parts.elements(_required(fields, 'items'))
    items = tuple(_decode_each(texts, _decode_object))
    return Listing(
        items,
        _decode(_required(fields, 'more'), bool),
        _decode(_required(fields, 'as_of'), RevisionNumber),
        unnamed=len(texts) - len(items),
    )


def decode_events(body: bytes) -> Events:
    """Decode the reply to a watch; raise msgspec.DecodeError if it is none."""
    try:
        return _decode(body, Events)
    except msgspec.DecodeError:
        fields = json_parts.members(body)
    texts = json_parts.elements(_required(fields, 'events'))
    return Events(
        tuple(_decode_each(texts, _decode_event)),
        _decode(_required(fields, 'as_of'), RevisionNumber),
    )


def _decode_each(
    texts: list[bytes], decode: typing.Callable[[bytes], T]
) -> typing.Iterator[T]:
    for text in texts:
        try:
            yield decode(text)
        except msgspec.DecodeError as exc:
            logs.log_event('object_skipped', error=str(exc))


def _decode_event(text: bytes) -> Event:
    fields = json_parts.members(text)
    return Event(
        _decode_object(_required(fields, 'object')),
        _decode(_required(fields, 'deleted'), bool),
    )


def _decode_object(text: bytes) -> Object:
    try:
        return _decode(text, Object)
    except msgspec.DecodeError as exc:
        meta = json_parts.members(_required(json_parts.members(text), 'meta'))
        name = _decode(_required(meta, 'name'), str)
        revision = _decode(meta.get('revision', b'0'), RevisionNumber)
        logs.log_event(
            'object_undecodable', name=name, revision=revision, error=str(exc)
        )
    return Object(Meta(name, revision))


def _decode(text: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(text, type=kind)
    except RecursionError as exc:
        raise msgspec.DecodeError('the text is nested too deeply') from exc


def _required(fields: dict[str, bytes], name: str) -> bytes:
    if name not in fields:
        raise msgspec.DecodeError(f'the field {name} is missing')
    return fields[name]
